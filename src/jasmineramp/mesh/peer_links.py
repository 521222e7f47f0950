"""Keep a connection to each of the other nodes and match its replies."""

import asyncio
import contextlib
from collections.abc import Callable

from jasmineramp.ids import NodeId
from jasmineramp.mesh.departures import Departed
from jasmineramp.mesh.evacuations import EvacuationView
from jasmineramp.mesh.frame_buffer import BudgetedFrameBuffer
from jasmineramp.mesh.peer_messages import (
    PROTOCOL_VERSION,
    Cancel,
    Hello,
    PeerFrame,
    Ping,
    QuotaReply,
    RunReply,
    StateChanged,
    UpdateReply,
    decode_frame,
    is_run_reply,
    read_reply_stream,
)
from jasmineramp.mesh.peer_protocol import FrameProtocol
from jasmineramp.mesh.receive_limits import (
    DEFAULT_MEMORY_BYTES,
    ReceiveBudget,
    Reservation,
    limits_for,
)
from jasmineramp.refusals import RefusalCode

CONNECT_TIMEOUT_S = 0.5
# A peer in another failure domain answers a ping within a few milliseconds.
PING_INTERVAL_S = 0.25
SILENCE_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.25
# Of the budget: a reply has run, so it may exceed what requests may take.
MAX_REPLY_USE = 1.5


class NoReplyError(Exception):
    """Report that a request was sent but its reply will not come."""

    code = RefusalCode.upstream_lost
    detail = ''


class LinkLostError(NoReplyError):
    """Report that the connection was lost while a reply was pending."""

    detail = 'link to the peer was lost'


class ReplyDroppedError(NoReplyError):
    """Report that too little memory was left for a reply."""

    code = RefusalCode.overloaded
    detail = 'too little memory for the answer'


class LinkDownError(Exception):
    """Report that a frame was not sent because the link is not connected."""


class _LinkConnection(FrameProtocol):
    """Read the replies on the connection of a peer link."""

    def __init__(self, link: 'PeerLink') -> None:
        super().__init__(link.budget)
        self.frames = BudgetedFrameBuffer(
            link.budget, max_use=MAX_REPLY_USE, may_drop=is_run_reply
        )
        self.link = link

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the requests whose replies are pending."""
        super().connection_lost(exc)
        self.frames.close()
        self.is_open = False
        self.link.on_connection_lost(self)

    def receive(self, data: bytes) -> None:
        """Handle the frames that are complete."""
        for received in self.frames.feed(data):
            if received.is_dropped:
                stream = read_reply_stream(received.content)
                self.link.fail_reply(stream, ReplyDroppedError(self.link.peer))
            elif received.reservation is None:
                self.handle(decode_frame(received.content))
            else:
                self._receive_large(received.content, received.reservation)

    def _receive_large(self, content: bytes, memory: Reservation) -> None:
        with contextlib.ExitStack() as stack:
            # By then the connection of the caller has counted the answer.
            stack.callback(self.loop.call_soon, memory.release)
            self.handle(decode_frame(content))

    def handle(self, frame: PeerFrame) -> None:
        """Handle one frame."""
        match frame:
            case RunReply() | QuotaReply() | UpdateReply():
                self.link.deliver_reply(frame.stream, frame)
            case StateChanged():
                self.link.on_state(frame)


def _know_none(_peer: NodeId) -> tuple[Departed, ...]:
    """Know of no departure."""
    return ()


def _know_no_evacuations() -> EvacuationView | None:
    """Know nothing of evacuated domains."""


class PeerLink:
    """Maintain the outgoing connection to one peer and match its replies."""

    def __init__(
        self,
        local_node: NodeId,
        peer: NodeId,
        address: tuple[str, int],
        on_state: Callable[[StateChanged], None],
        on_change: Callable[[NodeId, str], None],
        *,
        departed_at: Callable[[NodeId], tuple[Departed, ...]] = _know_none,
        evacuations: Callable[[], EvacuationView | None] = _know_no_evacuations,
        budget: ReceiveBudget | None = None,
    ) -> None:
        self.local_node = local_node
        self.peer = peer
        self.address = address
        self.on_state = on_state
        self.on_change = on_change
        self.departed_at = departed_at
        self.evacuations = evacuations
        self.budget = budget or ReceiveBudget(
            limits_for(DEFAULT_MEMORY_BYTES).total_bytes
        )
        self.connection: _LinkConnection | None = None
        self.connecting: asyncio.Task[None] | None = None
        # One for each request that waits for the connection.
        self.waiters: set[object] = set()
        self.failed_at = float('-inf')
        self.pending_replies: dict[int, asyncio.Future[PeerFrame]] = {}
        self.next_stream = 0
        self.pinged_at = float('-inf')

    def is_up(self) -> bool:
        """Return whether a frame can be sent now."""
        return self.connection is not None and self.connection.is_open

    def has_failed(self) -> bool:
        """Return whether the link is down after a loss or failed connect."""
        return not self.is_up() and self.failed_at > float('-inf')

    def is_congested(self) -> bool:
        """Return whether too much waits to be sent for further calls."""
        return self.connection is not None and self.connection.is_congested()

    def settle(self) -> None:
        """Count what has been sent since."""
        if self.connection is not None:
            self.connection.settle()

    def is_in_use(self) -> bool:
        """Return whether requests wait for replies or for the connection."""
        return bool(self.pending_replies or self.waiters)

    def start_connecting(self) -> None:
        """Start connecting unless connected, connecting or in the delay."""
        now = asyncio.get_running_loop().time()
        if (
            not self.is_up()
            and self.connecting is None
            and now - self.failed_at >= RECONNECT_DELAY_S
        ):
            loop = asyncio.get_running_loop()
            self.connecting = loop.create_task(self._connect())

    async def wait_until_up(self) -> bool:
        """Connect if necessary and return whether the link is up."""
        if self.is_up() or self.has_failed():
            # A failed link reconnects in the background; calls do not wait.
            return self.is_up()
        self.start_connecting()
        if self.connecting is not None:
            with contextlib.ExitStack() as stack:
                waiter = object()
                self.waiters.add(waiter)
                stack.callback(self.waiters.discard, waiter)
                # Unlike a plain await, this outlives a cancelled attempt.
                await asyncio.wait((self.connecting,))
        return self.is_up()

    def send_request(
        self, make_frame: Callable[[int], PeerFrame]
    ) -> 'tuple[int, asyncio.Future[PeerFrame]]':
        """Send a frame and return its stream and the future of its reply.

        Raise LinkDownError if the link is not connected.
        """
        if self.connection is None or not self.connection.is_open:
            raise LinkDownError(self.peer)
        self.next_stream += 1
        stream = self.next_stream
        loop = self.connection.loop
        if not self.pending_replies:
            # Silence is measured only while a reply is pending.
            self.connection.last_received = loop.time()
        future: asyncio.Future[PeerFrame] = loop.create_future()
        self.pending_replies[stream] = future
        self.connection.write(make_frame(stream))
        return stream, future

    def cancel(self, stream: int) -> None:
        """Cancel a call."""
        if (
            self.pending_replies.pop(stream, None) is not None
            and self.connection
        ):
            self.connection.write(Cancel(stream))

    def discard_reply(self, stream: int) -> None:
        """Ignore a reply that arrives late."""
        self.pending_replies.pop(stream, None)

    def deliver_reply(self, stream: int, frame: PeerFrame) -> None:
        """Deliver a reply to the request of its stream."""
        future = self.pending_replies.pop(stream, None)
        if future is not None and not future.done():
            future.set_result(frame)

    def fail_reply(self, stream: int, error: Exception) -> None:
        """Fail the request of a stream."""
        future = self.pending_replies.pop(stream, None)
        if future is not None and not future.done():
            future.set_exception(error)

    def check_liveness(self, now: float) -> None:
        """Ping a silent peer; abort the connection at the silence timeout."""
        connection = self.connection
        if connection is None or not self.pending_replies:
            return
        silent_s = now - connection.last_received
        if silent_s > SILENCE_TIMEOUT_S:
            connection.transport.abort()
            self.on_connection_lost(connection)
        elif (
            silent_s > PING_INTERVAL_S
            and now - self.pinged_at > PING_INTERVAL_S
        ):
            self.pinged_at = now
            connection.write(Ping())

    def on_connection_lost(self, connection: _LinkConnection) -> None:
        """Fail the pending requests of a connection that ended."""
        if connection is not self.connection:
            return
        connection.is_open = False
        self.connection = None
        pending_replies = self.pending_replies
        self.pending_replies = {}
        self.failed_at = asyncio.get_running_loop().time()
        self.on_change(
            self.peer, f'lost with {len(pending_replies)} replies pending'
        )
        for future in pending_replies.values():
            if not future.done():
                future.set_exception(LinkLostError(self.peer))

    def retire(self) -> None:
        """Stop reporting changes; requests in progress go on."""
        self.on_change = _ignore_change
        self.on_state = _ignore_state

    def close(self) -> None:
        """Close the connection permanently and stop reporting changes."""
        self.retire()
        if self.connecting is not None:
            self.connecting.cancel()
        if self.connection is not None:
            self.connection.is_open = False
            self.connection.transport.close()

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: _LinkConnection(self), *self.address
                )
        except (OSError, TimeoutError) as error:
            is_first_failure = not self.has_failed()
            self.failed_at = loop.time()
            if is_first_failure:
                self.on_change(self.peer, f'unreachable: {error!r}')
            return
        finally:
            self.connecting = None
        had_failed = self.has_failed()
        self.failed_at = float('-inf')
        self.connection = connection
        if had_failed:
            self.on_change(self.peer, 'reconnected')
        connection.write(
            Hello(
                self.local_node,
                PROTOCOL_VERSION,
                self.departed_at(self.peer),
                self.evacuations(),
            )
        )


def _ignore_change(_peer: NodeId, _reason: str) -> None:
    """Ignore a change of a link that was retired."""


def _ignore_state(_frame: StateChanged) -> None:
    """Ignore what a retired link reports about its upstream."""
