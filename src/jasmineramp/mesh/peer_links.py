"""Exchange frames with the nodes of other VMs over TCP."""

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

import msgspec

from jasmineramp.ids import NodeId
from jasmineramp.mesh.peer_messages import (
    PROTOCOL_VERSION,
    AskNews,
    Cancel,
    Ended,
    FrameBuffer,
    Hello,
    News,
    PeerFrame,
    Ping,
    Pong,
    QuotaTaken,
    Run,
    StateChanged,
    TakeQuota,
    decode_frame,
    encode_frame,
)

CONNECT_TIMEOUT_S = 0.5
# A peer in another failure domain answers a ping within a few milliseconds.
PING_AFTER_S = 0.25
SILENCE_S = 1.0
RECONNECT_AFTER_S = 0.25
USER_TIMEOUT_MS = 1_500


class LinkLostError(Exception):
    """Report that a link ended while a reply was awaited."""


class LinkDownError(Exception):
    """Report that a frame was not sent, because there is no connection."""


class PeerServing(Protocol):
    """Handle what peers ask of this node."""

    def run_for_peer(self, session: 'PeerSession', frame: Run) -> None:
        """Run a call at the upstream of this VM."""

    def cancel_for_peer(self, session: 'PeerSession', stream: int) -> None:
        """Give up a call."""

    def take_for_peer(self, frame: TakeQuota) -> float | None:
        """Return 0, a wait in ms, or None if this node is no owner."""

    def tell_peer(self, frame: AskNews) -> News:
        """Return what is newer than what a peer knows."""


class _FrameProtocol(asyncio.Protocol):
    """Read and write frames on one connection."""

    def __init__(self) -> None:
        self.frames = FrameBuffer()
        self.is_open = False
        self.loop = asyncio.get_running_loop()
        self.heard = self.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.is_open = True
        _limit_unacknowledged(self.transport)

    def data_received(self, data: bytes) -> None:
        """Handle the frames that are complete."""
        self.heard = self.loop.time()
        try:
            for body in self.frames.feed(data):
                self.handle(decode_frame(body))
        except (ValueError, msgspec.MsgspecError):
            # A peer of another release, or no peer at all.
            self.transport.abort()

    def write(self, frame: PeerFrame) -> None:
        """Send a frame; one on a closed connection is dropped."""
        if self.is_open:
            self.transport.write(encode_frame(frame))

    def handle(self, frame: PeerFrame) -> None:
        """Handle one frame."""
        raise NotImplementedError


class PeerSession(_FrameProtocol):
    """Serve the frames of one peer that has connected to this node."""

    def __init__(
        self, serving: PeerServing, sessions: 'set[PeerSession]'
    ) -> None:
        super().__init__()
        self.serving = serving
        self.sessions = sessions
        self.streams: dict[int, object] = {}
        sessions.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up the calls of the peer."""
        self.is_open = False
        self.sessions.discard(self)
        for stream in list(self.streams):
            self.serving.cancel_for_peer(self, stream)

    def handle(self, frame: PeerFrame) -> None:
        """Handle one frame."""
        match frame:
            case Hello() if frame.version != PROTOCOL_VERSION:
                # The peer finds this node unreachable and calls others.
                self.transport.abort()
            case Run():
                self.serving.run_for_peer(self, frame)
            case Cancel():
                self.serving.cancel_for_peer(self, frame.stream)
            case TakeQuota():
                wait_ms = self.serving.take_for_peer(frame)
                self.write(QuotaTaken(frame.stream, wait_ms))
            case AskNews():
                self.write(self.serving.tell_peer(frame))
            case Ping():
                self.write(Pong())


class _LinkConnection(_FrameProtocol):
    """Read the replies on the connection of a link."""

    def __init__(self, link: 'PeerLink') -> None:
        super().__init__()
        self.link = link

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what waits for a reply."""
        self.is_open = False
        self.link.connection_ended(self)

    def handle(self, frame: PeerFrame) -> None:
        """Handle one frame."""
        match frame:
            case Ended() | QuotaTaken() | News():
                self.link.reply(frame.stream, frame)
            case StateChanged():
                self.link.on_state(frame)


class PeerLink:
    """Hold the connection from this node to one peer."""

    def __init__(
        self,
        own: NodeId,
        peer: NodeId,
        address: tuple[str, int],
        on_state: Callable[[StateChanged], None],
        on_change: Callable[[NodeId, str], None],
    ) -> None:
        self.own = own
        self.peer = peer
        self.address = address
        self.on_state = on_state
        self.on_change = on_change
        self.connection: _LinkConnection | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.failed_at = float('-inf')
        self.waiting: dict[int, asyncio.Future[PeerFrame]] = {}
        self.next_stream = 0
        self.pinged_at = float('-inf')

    def is_up(self) -> bool:
        """Tell whether a frame can be sent now."""
        return self.connection is not None and self.connection.is_open

    def is_suspect(self) -> bool:
        """Tell whether the last attempt to connect failed."""
        return not self.is_up() and self.failed_at > float('-inf')

    def ensure(self) -> None:
        """Start to connect unless there is a connection."""
        now = asyncio.get_running_loop().time()
        if (
            not self.is_up()
            and self.connecting is None
            and now - self.failed_at >= RECONNECT_AFTER_S
        ):
            loop = asyncio.get_running_loop()
            self.connecting = loop.create_task(self._connect())

    async def ready(self) -> bool:
        """Return whether the link is up, after connecting if need be."""
        if self.is_up() or self.is_suspect():
            # A suspect is tried in the background; calls do not wait for it.
            return self.is_up()
        self.ensure()
        if self.connecting is not None:
            await asyncio.shield(self.connecting)
        return self.is_up()

    def ask(
        self, frame_of: Callable[[int], PeerFrame]
    ) -> 'tuple[int, asyncio.Future[PeerFrame]]':
        """Send a frame that gets a reply; raise LinkDownError."""
        if self.connection is None or not self.connection.is_open:
            raise LinkDownError(self.peer)
        self.next_stream += 1
        stream = self.next_stream
        loop = self.connection.loop
        if not self.waiting:
            # Silence counts from the moment that a reply is owed.
            self.connection.heard = loop.time()
        future: asyncio.Future[PeerFrame] = loop.create_future()
        self.waiting[stream] = future
        self.connection.write(frame_of(stream))
        return stream, future

    def cancel(self, stream: int) -> None:
        """Give up a call."""
        if self.waiting.pop(stream, None) is not None and self.connection:
            self.connection.write(Cancel(stream))

    def forget(self, stream: int) -> None:
        """Ignore a reply that comes too late."""
        self.waiting.pop(stream, None)

    def reply(self, stream: int, frame: PeerFrame) -> None:
        """Hand a reply to whoever waits for it."""
        future = self.waiting.pop(stream, None)
        if future is not None and not future.done():
            future.set_result(frame)

    def check(self, now: float) -> None:
        """Ping a silent peer and give up one that stays silent."""
        connection = self.connection
        if connection is None or not self.waiting:
            return
        silent = now - connection.heard
        if silent > SILENCE_S:
            connection.transport.abort()
            self.connection_ended(connection)
        elif silent > PING_AFTER_S and now - self.pinged_at > PING_AFTER_S:
            self.pinged_at = now
            connection.write(Ping())

    def connection_ended(self, connection: _LinkConnection) -> None:
        """Fail what waits for a reply on the connection."""
        if connection is not self.connection:
            return
        connection.is_open = False
        self.connection = None
        waiting = self.waiting
        self.waiting = {}
        self.failed_at = asyncio.get_running_loop().time()
        self.on_change(self.peer, f'lost while {len(waiting)} calls waited')
        for future in waiting.values():
            if not future.done():
                future.set_exception(LinkLostError(self.peer))

    def close(self) -> None:
        """Close the connection for good."""
        self.on_change = _ignore_change
        if self.connecting is not None:
            self.connecting.cancel()
        if self.connection is not None:
            self.connection.transport.close()

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: _LinkConnection(self), *self.address
                )
        except (OSError, TimeoutError) as error:
            is_news = not self.is_suspect()
            self.failed_at = loop.time()
            if is_news:
                self.on_change(self.peer, f'unreachable: {error!r}')
            return
        finally:
            self.connecting = None
        was_suspect = self.is_suspect()
        self.failed_at = float('-inf')
        self.connection = connection
        if was_suspect:
            self.on_change(self.peer, 'reached again')
        connection.write(Hello(self.own, PROTOCOL_VERSION))


def _ignore_change(_peer: NodeId, _reason: str) -> None:
    """Ignore what becomes of a closed link."""


def _limit_unacknowledged(transport: asyncio.Transport) -> None:
    # A peer behind a partition does not reset the connection.
    sock = transport.get_extra_info('socket')
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
