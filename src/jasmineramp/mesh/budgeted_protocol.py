"""Count what waits in the write buffers of connections between nodes."""

import asyncio

from jasmineramp.mesh.receive_limits import (
    KIBIBYTE,
    ReceiveBudget,
    Reservation,
)

# The transport reports only what exceeds this, so that frames which are sent
# at once need no accounting.
HIGH_WATER_BYTES = 64 * KIBIBYTE
# Of the budget; a connection that holds more gets no more calls or answers.
CONGESTED_FRACTION = 1 / 4


class BudgetedProtocol(asyncio.Protocol):
    """Charge a budget for the write buffer of a connection."""

    def __init__(self, budget: ReceiveBudget) -> None:
        self.unsent = Reservation(budget)
        self.congested_bytes = int(budget.total_bytes * CONGESTED_FRACTION)
        self.is_write_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        # Writing resumes, and counting ends, once everything has been sent.
        self.transport.set_write_buffer_limits(high=HIGH_WATER_BYTES, low=0)

    def connection_lost(self, exc: Exception | None) -> None:
        """Free the memory of the write buffer."""
        self.is_write_paused = False
        self.unsent.release()

    def pause_writing(self) -> None:
        """Start to count."""
        self.is_write_paused = True
        self.settle()

    def resume_writing(self) -> None:
        """Stop counting."""
        self.is_write_paused = False
        self.unsent.release()

    def settle(self) -> None:
        """Count the bytes that have not been sent yet."""
        if self.is_write_paused:
            self.unsent.resize(self.transport.get_write_buffer_size())

    def is_congested(self) -> bool:
        """Return whether more should wait for what has not been sent."""
        if not self.is_write_paused:
            return False
        self.settle()
        return self.unsent.size > self.congested_bytes
