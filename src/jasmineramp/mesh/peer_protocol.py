"""Read and write the frames of a connection between two nodes."""

import asyncio
import socket

import msgspec

from jasmineramp.mesh.budgeted_protocol import BudgetedProtocol
from jasmineramp.mesh.peer_messages import PeerFrame, encode_frame
from jasmineramp.mesh.receive_limits import ReceiveBudget

TCP_USER_TIMEOUT_MS = 1_500


class FrameProtocol(BudgetedProtocol):
    """Read and write frames on one connection."""

    def __init__(self, budget: ReceiveBudget) -> None:
        super().__init__(budget)
        self.is_open = False
        self.loop = asyncio.get_running_loop()
        self.last_received = self.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        super().connection_made(transport)
        self.is_open = True
        _set_tcp_options(self.transport)

    def data_received(self, data: bytes) -> None:
        """Decode and handle the complete frames; abort on a malformed one."""
        self.last_received = self.loop.time()
        try:
            self.receive(data)
        except (ValueError, msgspec.MsgspecError):
            # The sender runs another release or does not speak this protocol.
            self.transport.abort()

    def write(self, frame: PeerFrame) -> None:
        """Send a frame; drop it if the connection is closed."""
        if self.is_open:
            self.transport.write(encode_frame(frame))
            self.settle()

    def has_unsent_bytes(self) -> bool:
        """Return whether a frame is still in the write buffer."""
        return self.is_open and self.transport.get_write_buffer_size() > 0

    def receive(self, data: bytes) -> None:
        """Handle the frames that are complete."""
        raise NotImplementedError


def _set_tcp_options(transport: asyncio.Transport) -> None:
    # A peer behind a network partition never resets the connection.
    sock = transport.get_extra_info('socket')
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
