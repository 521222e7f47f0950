"""Bound the running calls of an upstream by its announced slots."""

from jasmineramp.clock import Millis
from jasmineramp.limits import LatencySample, Limiter

# Upstreams slow down when their last slots fill.
USABLE_SLOTS = 0.94


class SlotLimiter(Limiter):
    """Keep the limit at the usable part of the announced slots.

    Calls wait for other calls further down while they hold a slot, so their
    latency says little about this upstream.
    """

    def __init__(self, slots: int, connections: int | None = None) -> None:
        super().__init__(slots, connections)
        self.resize(slots, connections)

    def resize(self, slots: int, connections: int | None = None) -> None:
        """Adopt newly announced slots and connections."""
        usable = max(1, int(slots * USABLE_SLOTS))
        self.ceiling = (
            usable if connections is None else min(usable, max(1, connections))
        )
        self.limit = self.ceiling

    def started(self, now: Millis) -> None:
        """Count a call that starts at the upstream."""
        self.running += 1

    def finished(self, sample: LatencySample, now: Millis) -> None:
        """Count a call that ended."""
        self.running -= 1
