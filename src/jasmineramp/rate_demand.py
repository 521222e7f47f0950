"""Estimate the demand for a bucket and limit requests to lenders."""

import itertools
import math
from collections import deque
from collections.abc import Iterable

from jasmineramp.clock import MILLIS_PER_SECOND, Millis
from jasmineramp.ids import NodeId
from jasmineramp.rate_messages import Lender

# A longer average stops lenders from lending for seconds after a load shift.
AVERAGING_TIME_MS = 300
HEADROOM_FACTOR = 1.15
# A lower demand counts as none.
MIN_DEMAND_PER_S = 0.02
MAX_WAIT_MS = 50
HINT_INTERVAL_MS = 20
INITIAL_BACKOFF_MS = 5.0
MAX_BACKOFF_MS = 500.0
DENIALS_PER_ROUND = 4
MAX_KNOWN_LENDERS = 512
LENDERS_PER_PROBE = 4
MIN_REPORTED_CHANGE = 0.25
REPORT_REFRESH_MS = 4000.0
MIN_PROBE_INTERVAL_MS = 100.0
SHIFT_PROBE_INTERVAL_MS = 400.0
# Demand counts as shifted to this node if more than this fraction is missing.
MIN_SHIFTED_FRACTION = 0.5
MAX_PROBE_INTERVAL_MS = 3200.0


class Borrower:
    """Track demand for and lenders of one bucket at one node."""

    __slots__ = (
        'admitted_rate',
        'arrival_rate',
        'backoff',
        'denials',
        'lender_queue',
        'lenders',
        'next_hint_at',
        'next_probe_at',
        'next_request_at',
        'parked',
        'parked_at',
        'probe_interval',
        'probed_at',
        'reported_at',
        'reported_held_rate',
        'reported_need',
        'requested_rate',
        'requested_tokens',
        'retry_at',
    )

    def __init__(self) -> None:
        self.arrival_rate: float = 0
        self.admitted_rate: float = 0
        self.parked = 0
        self.parked_at = Millis(-math.inf)
        self.next_request_at = Millis(-math.inf)
        self.retry_at: dict[NodeId, Millis] = {}
        self.backoff = INITIAL_BACKOFF_MS
        self.denials = 0
        self.reported_at = Millis(-math.inf)
        self.reported_held_rate: float = 0
        self.reported_need: float = 0
        self.next_probe_at = Millis(-math.inf)
        self.probed_at = Millis(-math.inf)
        self.probe_interval = MIN_PROBE_INTERVAL_MS
        self.next_hint_at = Millis(-math.inf)
        self.lenders: dict[NodeId, float] = {}
        self.lender_queue: deque[NodeId] = deque()
        self.requested_rate: float = 0
        self.requested_tokens = 0

    @property
    def needed_rate(self) -> float:
        """Return the rate that the node should hold, in calls per second."""
        return (
            self.arrival_rate * HEADROOM_FACTOR
            if self.arrival_rate > MIN_DEMAND_PER_S
            else 0
        )

    def measure(self, arrivals: int, admitted: int, elapsed: float) -> None:
        """Add the calls of an interval (milliseconds) to the averages."""
        part = 1 - math.exp(-elapsed / AVERAGING_TIME_MS)
        per_second = MILLIS_PER_SECOND / elapsed
        self.arrival_rate += (arrivals * per_second - self.arrival_rate) * part
        self.admitted_rate += (
            admitted * per_second - self.admitted_rate
        ) * part

    def park(self, now: Millis) -> None:
        """Count a call that waits for tokens."""
        self.parked += 1
        self.parked_at = now

    def reset_parked(self, now: Millis) -> None:
        """Reset the count of waiting calls once all have timed out."""
        if self.parked and now - self.parked_at > MAX_WAIT_MS:
            self.parked = 0

    def add_lenders(
        self, lenders: Iterable[Lender], local_node: NodeId
    ) -> None:
        """Add hinted lenders; the newest are asked first."""
        for lender in lenders:
            if lender.node != local_node:
                if lender.node not in self.lenders:
                    self.lender_queue.appendleft(lender.node)
                    self.next_request_at = Millis(-math.inf)
                self.lenders[lender.node] = lender.rate
        while len(self.lender_queue) > MAX_KNOWN_LENDERS:
            dropped = self.lender_queue.pop()
            self.lenders.pop(dropped)
            self.retry_at.pop(dropped, None)

    def drop_lender(self, node: NodeId) -> None:
        """Remove a lender that does not answer."""
        if self.lenders.pop(node, None) is not None:
            self.lender_queue.remove(node)
            self.retry_at.pop(node, None)

    def next_lender(self, now: Millis) -> NodeId | None:
        """Return a lender that may have tokens and move it to the queue end."""
        if now < self.next_request_at:
            return None
        for node in self.lender_queue:
            if self.retry_at.get(node, now) <= now:
                self.lender_queue.remove(node)
                self.lender_queue.append(node)
                return node
        return None

    def must_report(self, held: float, now: Millis) -> bool:
        """Return whether to report demand, and if so count it as reported."""
        need = self.needed_rate
        change = max(
            abs(held - self.reported_held_rate), abs(need - self.reported_need)
        )
        largest = max(held, need)
        small = change < MIN_REPORTED_CHANGE * largest + math.sqrt(largest)
        if small and now - self.reported_at < REPORT_REFRESH_MS:
            return False
        self.reported_held_rate = held
        self.reported_need = need
        self.reported_at = now
        return True

    def lenders_to_probe(self, missing: float, now: Millis) -> list[NodeId]:
        """Return the lenders to ask for rate next, if a probe is due."""
        if missing > self.needed_rate * MIN_SHIFTED_FRACTION:
            # Most of the demand is new, so earlier denials say little.
            self.probe_interval = min(
                self.probe_interval, SHIFT_PROBE_INTERVAL_MS
            )
            self.next_probe_at = min(
                self.next_probe_at,
                Millis(self.probed_at + SHIFT_PROBE_INTERVAL_MS),
            )
        if now < self.next_probe_at:
            return []
        self.probed_at = now
        self.next_probe_at = Millis(now + self.probe_interval)
        self.probe_interval = min(
            self.probe_interval * 2, MAX_PROBE_INTERVAL_MS
        )
        probed = list(itertools.islice(self.lender_queue, LENDERS_PER_PROBE))
        for node in probed:
            self.lender_queue.remove(node)
            self.lender_queue.append(node)
        return probed

    def record_rate_grant(self) -> None:
        """Probe sooner, because some lender has spare rate."""
        self.probe_interval = max(
            self.probe_interval / 2, MIN_PROBE_INTERVAL_MS
        )
        self.next_probe_at = Millis(self.probed_at + self.probe_interval)

    def allow_hint_request(self, now: Millis, interval: float) -> bool:
        """Return whether to ask the exchange, once per interval (ms)."""
        if now < self.next_hint_at:
            return False
        self.next_hint_at = Millis(now + interval)
        return True

    def record_denial(
        self, lender: NodeId, retry_after_ms: float, now: Millis
    ) -> None:
        """Skip a lender until it may have tokens.

        Each round of denials doubles the backoff, so that an exhausted bucket
        causes few requests.
        """
        self.denials += 1
        if lender in self.lenders:
            wait = min(max(retry_after_ms, self.backoff), MAX_BACKOFF_MS)
            self.retry_at[lender] = Millis(now + wait)
        if self.denials >= min(DENIALS_PER_ROUND, len(self.lender_queue)):
            self.denials = 0
            self.next_request_at = Millis(now + self.backoff)
            self.backoff = min(self.backoff * 2, MAX_BACKOFF_MS)
        if self.lender_queue and len(self.retry_at) == len(self.lender_queue):
            soonest = min(self.retry_at.values())
            self.next_request_at = Millis(max(self.next_request_at, soonest))

    def record_token_grant(self, lender: NodeId) -> None:
        """Reset the backoff, because some lender has tokens."""
        self.denials = 0
        self.backoff = INITIAL_BACKOFF_MS
        self.next_request_at = Millis(-math.inf)
        self.retry_at.pop(lender, None)
