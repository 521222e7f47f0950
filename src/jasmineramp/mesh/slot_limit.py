"""Limit the running calls of an upstream by its announced slots."""

from jasmineramp.clock import Millis
from jasmineramp.limits import LatencySample, Limiter

# Upstreams slow down when nearly all of their slots are in use.
USABLE_SLOT_FRACTION = 0.94


class SlotLimiter(Limiter):
    """Set the limit to the usable fraction of the announced slots.

    The limit does not adapt to latency: calls hold a slot while they wait for
    calls further down the graph, so latency says little about this upstream.
    """

    def __init__(self, slots: int, connections: int | None = None) -> None:
        super().__init__(slots, connections)
        self.resize(slots, connections)

    def resize(self, slots: int, connections: int | None = None) -> None:
        """Set the announced numbers of slots and connections."""
        usable = max(1, int(slots * USABLE_SLOT_FRACTION))
        self.ceiling = (
            usable if connections is None else min(usable, max(1, connections))
        )
        self.limit = self.ceiling

    def started(self, now: Millis) -> None:
        """Count a call that has started at the upstream."""
        self.running += 1

    def finished(self, sample: LatencySample, now: Millis) -> None:
        """Count a call that has ended."""
        self.running -= 1
