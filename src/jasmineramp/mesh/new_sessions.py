"""Bound the connections that have not said which node they come from."""

import asyncio
from collections import Counter

# Other nodes send their first frame right after connecting; a lost packet
# delays it by about a second.
HELLO_TIMEOUT_S = 5.0
REPLACEABLE_AFTER_S = 1.0


class NewSessions:
    """Hold the connections whose first frame has not arrived."""

    def __init__(self, max_count: int) -> None:
        self.max_count = max_count
        # For the metrics.
        self.counts: Counter[str] = Counter()
        self.connected_at: dict[asyncio.Transport, float] = {}

    def add(self, transport: asyncio.Transport) -> None:
        """Add a connection; abort one if there are too many."""
        now = asyncio.get_running_loop().time()
        if len(self.connected_at) >= self.max_count:
            oldest, connected_at = next(iter(self.connected_at.items()))
            if now - connected_at < REPLACEABLE_AFTER_S:
                self._abort(transport)
                return
            self._abort(oldest)
        self.connected_at[transport] = now

    def discard(self, transport: asyncio.Transport) -> None:
        """Remove a connection that has sent its first frame or has ended."""
        self.connected_at.pop(transport, None)

    def expire(self) -> None:
        """Abort the connections whose first frame does not arrive."""
        now = asyncio.get_running_loop().time()
        for transport, connected_at in list(self.connected_at.items()):
            if now - connected_at < HELLO_TIMEOUT_S:
                return
            self._abort(transport)

    def _abort(self, transport: asyncio.Transport) -> None:
        self.counts['new_session'] += 1
        self.discard(transport)
        transport.abort()
