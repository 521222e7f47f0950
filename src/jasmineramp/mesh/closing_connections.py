"""Bound the memory of connections that still send after their call."""

import asyncio
from collections import Counter

from jasmineramp.clock import MILLIS_PER_SECOND
from jasmineramp.mesh.receive_limits import ReceiveBudget, Reservation

# Of the budget, all connections together.
MAX_HELD_FRACTION = 1 / 4
MAX_CLOSING_CONNECTIONS = 64
STALL_LIMIT_MS = 30_000.0


class ClosingConnection:
    """Hold what a closing connection has not sent yet."""

    def __init__(
        self,
        transport: asyncio.Transport,
        budget: ReceiveBudget,
        now: float,
    ) -> None:
        self.transport = transport
        self.reservation = Reservation(budget)
        self.progress_at = now

    def settle(self, now: float) -> None:
        """Count the bytes that are left."""
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes != self.reservation.size:
            self.progress_at = now
            self.reservation.resize(unsent_bytes)


class ClosingConnections:
    """Let the requests of answered calls be sent as far as memory allows.

    An upstream may answer before it has read a request, and read on later. The
    rest of the request is of little use, so it is the first to be dropped.
    """

    def __init__(self, budget: ReceiveBudget) -> None:
        self.budget = budget
        # For the metrics.
        self.counts: Counter[str] = Counter()
        self.max_held_bytes = int(budget.total_bytes * MAX_HELD_FRACTION)
        self.connections: dict[asyncio.Transport, ClosingConnection] = {}
        budget.reclaimers.append(self.reclaim)

    def close(self, transport: asyncio.Transport) -> None:
        """Close a connection once it has sent the rest of its request."""
        transport.close()
        if not transport.get_write_buffer_size():
            return
        now = asyncio.get_running_loop().time()
        connection = ClosingConnection(transport, self.budget, now)
        self.connections[transport] = connection
        connection.settle(now)
        # A single request is sent to its end unless others need the memory.
        while len(self.connections) > 1 and self._is_over_limit():
            self._abort_oldest()

    def held_bytes(self) -> int:
        """Return the bytes that all connections have not sent yet."""
        return sum(each.reservation.size for each in self.connections.values())

    def discard(self, transport: asyncio.Transport) -> None:
        """Free the memory of a connection that has ended."""
        connection = self.connections.pop(transport, None)
        if connection is not None:
            connection.reservation.release()

    def expire(self) -> None:
        """Abort the connections whose upstream has stopped reading."""
        now = asyncio.get_running_loop().time()
        for connection in list(self.connections.values()):
            connection.settle(now)
            stalled_ms = (now - connection.progress_at) * MILLIS_PER_SECOND
            if stalled_ms > STALL_LIMIT_MS:
                self._abort(connection)

    def reclaim(self, size: int) -> None:
        """Abort connections until this much memory is free, if possible."""
        while not self.budget.has_room(size):
            if not self._abort_oldest():
                return

    def _is_over_limit(self) -> bool:
        return (
            self.held_bytes() > self.max_held_bytes
            or len(self.connections) > MAX_CLOSING_CONNECTIONS
            or self.budget.used_bytes > self.budget.total_bytes
        )

    def _abort_oldest(self) -> bool:
        """Abort one connection; return False if there is none."""
        if not self.connections:
            return False
        self._abort(next(iter(self.connections.values())))
        return True

    def _abort(self, connection: ClosingConnection) -> None:
        self.counts['request_rest'] += 1
        connection.transport.abort()
        self.discard(connection.transport)
