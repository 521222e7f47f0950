"""Estimate the demand for one bucket and pace the search for lenders."""

import math
from collections import deque
from collections.abc import Iterable

from jasmineramp.clock import Millis
from jasmineramp.ids import NodeId
from jasmineramp.rate_messages import Lender

FAST_MS = 300
SLOW_MS = 2000
HEADROOM = 1.15
# A demand below this many calls a second counts as none.
LEAST_DEMAND = 0.02
WAIT_MS = 50
HINT_INTERVAL_MS = 20
FIRST_PAUSE_MS = 10.0
LONGEST_PAUSE_MS = 500.0
DENIALS_PER_ROUND = 4
LENDERS_KEPT = 128


class Borrower:
    """Follow demand and lenders of one bucket at one node."""

    __slots__ = (
        'asked_rate',
        'asked_tokens',
        'denials',
        'exhausted_until',
        'fast',
        'hint_at',
        'lenders',
        'order',
        'parked',
        'parked_at',
        'pause',
        'slow',
        'used',
    )

    def __init__(self) -> None:
        self.fast: float = 0
        self.slow: float = 0
        self.used: float = 0
        self.parked = 0
        self.parked_at = Millis(-math.inf)
        self.exhausted_until = Millis(-math.inf)
        self.pause = FIRST_PAUSE_MS
        self.denials = 0
        self.hint_at = Millis(-math.inf)
        self.lenders: dict[NodeId, float] = {}
        self.order: deque[NodeId] = deque()
        self.asked_rate: float = 0
        self.asked_tokens = 0

    @property
    def need(self) -> float:
        """Return the calls a second that should be held."""
        demand = max(self.fast, self.slow)
        return demand * HEADROOM if demand > LEAST_DEMAND else 0

    def measure(self, arrivals: int, admitted: int, elapsed: float) -> None:
        """Take in the calls of an interval in milliseconds."""
        fast = 1 - math.exp(-elapsed / FAST_MS)
        slow = 1 - math.exp(-elapsed / SLOW_MS)
        rate = arrivals * 1000 / elapsed
        self.fast += (rate - self.fast) * fast
        self.slow += (rate - self.slow) * slow
        self.used += (admitted * 1000 / elapsed - self.used) * fast

    def park(self, now: Millis) -> None:
        """Count a call that waits for a loan."""
        self.parked += 1
        self.parked_at = now

    def forget_parked(self, now: Millis) -> None:
        """Drop the count of waiting calls once all must have given up."""
        if self.parked and now - self.parked_at > WAIT_MS:
            self.parked = 0

    def add_lenders(self, lenders: Iterable[Lender], own: NodeId) -> None:
        """Remember hinted lenders; the newest are asked first."""
        for lender in lenders:
            if lender.node != own:
                if lender.node not in self.lenders:
                    self.order.appendleft(lender.node)
                self.lenders[lender.node] = lender.rate
        while len(self.order) > LENDERS_KEPT:
            self.lenders.pop(self.order.pop())

    def drop_lender(self, node: NodeId) -> None:
        """Forget a lender that does not answer."""
        if self.lenders.pop(node, None) is not None:
            self.order.remove(node)

    def next_lender(self) -> NodeId | None:
        """Return the lender to ask for tokens and move it to the end."""
        if not self.order:
            return None
        self.order.rotate(-1)
        return self.order[-1]

    def wants_hints(self, now: Millis, interval: float) -> bool:
        """Return whether the exchange may be asked, at most this often."""
        if now < self.hint_at:
            return False
        self.hint_at = Millis(now + interval)
        return True

    def deny(self, now: Millis) -> None:
        """Pause after a round of denials, longer each time."""
        self.denials += 1
        if self.denials >= min(DENIALS_PER_ROUND, len(self.order)):
            self.denials = 0
            self.parked = 0
            self.exhausted_until = Millis(now + self.pause)
            self.pause = min(self.pause * 2, LONGEST_PAUSE_MS)

    def grant(self) -> None:
        """End the pause: some lender has tokens."""
        self.denials = 0
        self.pause = FIRST_PAUSE_MS
        self.exhausted_until = Millis(-math.inf)
