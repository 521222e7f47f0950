"""Serve the requests of the nodes that have connected to this one."""

import asyncio
import contextlib
from typing import Protocol

from jasmineramp.mesh.frame_buffer import BudgetedFrameBuffer
from jasmineramp.mesh.new_sessions import NewSessions
from jasmineramp.mesh.peer_messages import (
    PROTOCOL_VERSION,
    Cancel,
    Hello,
    PeerFrame,
    Ping,
    Pong,
    QuotaReply,
    QuotaRequest,
    RunRequest,
    UpdateReply,
    UpdateRequest,
    decode_frame,
    read_call_stream,
)
from jasmineramp.mesh.peer_protocol import FrameProtocol
from jasmineramp.mesh.receive_limits import ReceiveBudget, Reservation


class PeerRequestHandler(Protocol):
    """Handle the requests that peers send to this node."""

    def greet_peer(self, session: 'PeerSession', frame: Hello) -> None:
        """Exchange what a peer that has just connected may not know yet."""

    def run_for_peer(
        self,
        session: 'PeerSession',
        frame: RunRequest,
        memory: Reservation | None = None,
    ) -> None:
        """Run a call at the upstream of this VM, then release its memory."""

    def refuse_for_peer(self, session: 'PeerSession', stream: int) -> None:
        """Refuse a call whose body finds too little memory."""

    def cancel_for_peer(self, session: 'PeerSession', stream: int) -> None:
        """Cancel a call."""

    def take_quota_for_peer(self, frame: QuotaRequest) -> QuotaReply:
        """Return the reply to a request for a token."""

    def updates_for_peer(self, frame: UpdateRequest) -> UpdateReply:
        """Return the table and directory changes that a peer lacks."""


class PeerSession(FrameProtocol):
    """Serve the requests of one peer that has connected to this node."""

    def __init__(
        self,
        handler: PeerRequestHandler,
        sessions: 'set[PeerSession]',
        budget: ReceiveBudget,
        new_sessions: NewSessions,
    ) -> None:
        super().__init__(budget)
        self.frames = BudgetedFrameBuffer(budget)
        self.handler = handler
        self.sessions = sessions
        self.streams: dict[int, object] = {}
        self.new_sessions = new_sessions
        self.is_greeted = False
        sessions.add(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport until the first frame arrives."""
        super().connection_made(transport)
        self.new_sessions.add(self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the calls of the peer."""
        super().connection_lost(exc)
        self.is_open = False
        self.frames.close()
        self.new_sessions.discard(self.transport)
        self.sessions.discard(self)
        for stream in list(self.streams):
            self.handler.cancel_for_peer(self, stream)

    def receive(self, data: bytes) -> None:
        """Handle the frames that are complete."""
        for received in self.frames.feed(data):
            if received.is_dropped:
                stream = read_call_stream(received.content)
                self.handler.refuse_for_peer(self, stream)
            elif received.reservation is None:
                self.handle(decode_frame(received.content))
            else:
                self._receive_large(received.content, received.reservation)
        if self.frames.missing_bytes and not self.is_greeted:
            raise ValueError('the first frame is too large')

    def _receive_large(self, content: bytes, memory: Reservation) -> None:
        with contextlib.ExitStack() as stack:
            stack.callback(memory.release)
            frame = decode_frame(content)
            if isinstance(frame, RunRequest):
                stack.pop_all()
                self.handler.run_for_peer(self, frame, memory)
            else:
                self.handle(frame)

    def handle(self, frame: PeerFrame) -> None:
        """Handle one frame."""
        match frame:
            case Hello() if frame.version != PROTOCOL_VERSION:
                # The peer marks this node unreachable and calls other nodes.
                self.transport.abort()
            case Hello():
                self.is_greeted = True
                self.new_sessions.discard(self.transport)
                self.handler.greet_peer(self, frame)
            case RunRequest():
                self.handler.run_for_peer(self, frame)
            case Cancel():
                self.handler.cancel_for_peer(self, frame.stream)
            case QuotaRequest():
                self.write(self.handler.take_quota_for_peer(frame))
            case UpdateRequest():
                self.write(self.handler.updates_for_peer(frame))
            case Ping():
                self.write(Pong())
