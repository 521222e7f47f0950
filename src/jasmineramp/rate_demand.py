"""Estimate the demand for one bucket and pace the search for lenders."""

import itertools
import math
from collections import deque
from collections.abc import Iterable

from jasmineramp.clock import MILLIS_PER_SECOND, Millis
from jasmineramp.ids import NodeId
from jasmineramp.rate_messages import Lender

# A longer memory keeps lenders from lending for seconds after a shift.
MEMORY_MS = 300
HEADROOM = 1.15
# A demand below this many calls a second counts as none.
LEAST_DEMAND = 0.02
WAIT_MS = 50
HINT_INTERVAL_MS = 20
FIRST_PAUSE_MS = 5.0
LONGEST_PAUSE_MS = 500.0
DENIALS_PER_ROUND = 4
LENDERS_KEPT = 512
PROBES = 4
SMALLEST_CHANGE = 0.25
TOLD_LIFE_MS = 4000.0
FIRST_PROBE_PAUSE_MS = 100.0
SHIFT_PROBE_PAUSE_MS = 400.0
SHIFTED_PART = 0.5
LONGEST_PROBE_PAUSE_MS = 3200.0


class Borrower:
    """Follow demand and lenders of one bucket at one node."""

    __slots__ = (
        'arriving',
        'asked_rate',
        'asked_tokens',
        'denials',
        'hint_at',
        'lenders',
        'next_ask',
        'order',
        'parked',
        'parked_at',
        'pause',
        'probe_at',
        'probe_pause',
        'probed_at',
        'ready',
        'told_at',
        'told_held',
        'told_need',
        'used',
    )

    def __init__(self) -> None:
        self.arriving: float = 0
        self.used: float = 0
        self.parked = 0
        self.parked_at = Millis(-math.inf)
        self.next_ask = Millis(-math.inf)
        self.ready: dict[NodeId, Millis] = {}
        self.pause = FIRST_PAUSE_MS
        self.denials = 0
        self.told_at = Millis(-math.inf)
        self.told_held: float = 0
        self.told_need: float = 0
        self.probe_at = Millis(-math.inf)
        self.probed_at = Millis(-math.inf)
        self.probe_pause = FIRST_PROBE_PAUSE_MS
        self.hint_at = Millis(-math.inf)
        self.lenders: dict[NodeId, float] = {}
        self.order: deque[NodeId] = deque()
        self.asked_rate: float = 0
        self.asked_tokens = 0

    @property
    def need(self) -> float:
        """Return the calls a second that should be held."""
        return self.arriving * HEADROOM if self.arriving > LEAST_DEMAND else 0

    def measure(self, arrivals: int, admitted: int, elapsed: float) -> None:
        """Take in the calls of an interval in milliseconds."""
        part = 1 - math.exp(-elapsed / MEMORY_MS)
        per_second = MILLIS_PER_SECOND / elapsed
        self.arriving += (arrivals * per_second - self.arriving) * part
        self.used += (admitted * per_second - self.used) * part

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
                    self.next_ask = Millis(-math.inf)
                self.lenders[lender.node] = lender.rate
        while len(self.order) > LENDERS_KEPT:
            dropped = self.order.pop()
            self.lenders.pop(dropped)
            self.ready.pop(dropped, None)

    def drop_lender(self, node: NodeId) -> None:
        """Forget a lender that does not answer."""
        if self.lenders.pop(node, None) is not None:
            self.order.remove(node)
            self.ready.pop(node, None)

    def next_lender(self, now: Millis) -> NodeId | None:
        """Return a lender that may have tokens and move it to the end."""
        if now < self.next_ask:
            return None
        for node in self.order:
            if self.ready.get(node, now) <= now:
                self.order.remove(node)
                self.order.append(node)
                return node
        return None

    def must_report(self, held: float, now: Millis) -> bool:
        """Return whether the exchange knows too little of the demand."""
        need = self.need
        change = max(abs(held - self.told_held), abs(need - self.told_need))
        largest = max(held, need)
        small = change < SMALLEST_CHANGE * largest + math.sqrt(largest)
        if small and now - self.told_at < TOLD_LIFE_MS:
            return False
        self.told_held = held
        self.told_need = need
        self.told_at = now
        return True

    def probe(self, missing: float, now: Millis) -> list[NodeId]:
        """Return lenders to ask for rate although none is hinted."""
        if missing > self.need * SHIFTED_PART:
            # Most of the demand is new, so that old denials mean little.
            self.probe_pause = min(self.probe_pause, SHIFT_PROBE_PAUSE_MS)
            self.probe_at = min(
                self.probe_at, Millis(self.probed_at + SHIFT_PROBE_PAUSE_MS)
            )
        if now < self.probe_at:
            return []
        self.probed_at = now
        self.probe_at = Millis(now + self.probe_pause)
        self.probe_pause = min(self.probe_pause * 2, LONGEST_PROBE_PAUSE_MS)
        probed = list(itertools.islice(self.order, PROBES))
        for node in probed:
            self.order.remove(node)
            self.order.append(node)
        return probed

    def lent_rate(self) -> None:
        """Probe sooner: some lender has rate to spare."""
        self.probe_pause = max(self.probe_pause / 2, FIRST_PROBE_PAUSE_MS)
        self.probe_at = Millis(self.probed_at + self.probe_pause)

    def wants_hints(self, now: Millis, interval: float) -> bool:
        """Return whether the exchange may be asked, at most this often."""
        if now < self.hint_at:
            return False
        self.hint_at = Millis(now + interval)
        return True

    def deny(self, lender: NodeId, retry: float, now: Millis) -> None:
        """Spare a lender until it may have tokens (milliseconds).

        Each round of denials makes the pause before the next one longer,
        so that an exhausted bucket causes few requests.
        """
        self.denials += 1
        if lender in self.lenders:
            wait = min(max(retry, self.pause), LONGEST_PAUSE_MS)
            self.ready[lender] = Millis(now + wait)
        if self.denials >= min(DENIALS_PER_ROUND, len(self.order)):
            self.denials = 0
            self.next_ask = Millis(now + self.pause)
            self.pause = min(self.pause * 2, LONGEST_PAUSE_MS)
        if self.order and len(self.ready) == len(self.order):
            soonest = min(self.ready.values())
            self.next_ask = Millis(max(self.next_ask, soonest))

    def grant(self, lender: NodeId) -> None:
        """End the pause: some lender has tokens."""
        self.denials = 0
        self.pause = FIRST_PAUSE_MS
        self.next_ask = Millis(-math.inf)
        self.ready.pop(lender, None)
