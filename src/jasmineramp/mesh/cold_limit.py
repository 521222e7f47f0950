"""Decide when calls to an instance that is still warming up may start.

Handles an instance that starts, or comes back with its failure domain, while
many nodes send to it: it tolerates a few calls a second and crashes well above.
"""

import math
from collections import deque

import msgspec

from jasmineramp.clock import MILLIS_PER_SECOND, Millis, later
from jasmineramp.ids import ServiceName
from jasmineramp.start_pacing import StartPacing

# The operators' rule counts arrivals in any one second. Calls sent in this
# additional time may arrive in the same second.
ARRIVAL_SPREAD_MS = 300
WINDOW_MS = MILLIS_PER_SECOND + ARRIVAL_SPREAD_MS
# Calls that may start at once after a pause.
MAX_BURST = 2
# After the cold time the rate doubles at this interval, for RAMP_MS in all: to
# 64 times the cold rate.
RAMP_DOUBLING_MS = 500
RAMP_MS = 3_000
RAMP_BURST_MS = 50
MIN_RATE_PER_S = 0.1
# Rounding must not delay a call by another timer.
NEGLIGIBLE_WAIT_MS = 0.001
# A start that is younger than this may not have announced its cold time yet.
MIN_FRESH_MS = 10_000
# The next announcement is seconds away.
MAX_COLD_MS = 3_600_000
# An instance announces itself every 1.5 s.
UNKNOWN_COLD_MS = 1_500
# An announcement that arrives sooner after an evacuation may have been sent
# before its end, as when the node was stopped in between.
MIN_CONFIRMATION_MS = 1_000
_NEVER = Millis(float('-inf'))


class ColdRule(msgspec.Struct, frozen=True):
    """Hold the rule of the operators for the cold instances of a service.

    In any one second an instance may receive at most `per_s` x `over` + `slack`
    calls. There is no limit if `per_s` is 0. `start_ms` is the usual cold time.
    """

    per_s: float = 0
    start_ms: float = 0
    over: float = 1.5
    slack: float = 8
    service: ServiceName = ServiceName('')

    def bound(self) -> float:
        """Return the number of calls that may arrive in one second."""
        return self.per_s * self.over + self.slack

    def burst(self) -> float:
        """Return the number of calls that may start at once."""
        return max(1, min(MAX_BURST, (self.bound() - self.per_s) / 2))

    def rate(self) -> float:
        """Return the calls a second that may start."""
        within_bound = (self.bound() - self.burst()) / WINDOW_MS
        within_bound_per_s = within_bound * MILLIS_PER_SECOND
        return min(self.per_s, max(MIN_RATE_PER_S, within_bound_per_s))


class ColdLimit(StartPacing):
    """Limit the starts of calls at one instance while it is cold.

    The instance counts as cold until its first announcement.
    """

    def __init__(self, rule: ColdRule) -> None:
        self.rule = rule
        self.cold_until = _NEVER
        self.ramp_until = _NEVER
        self.awaits_announcement = True
        # Not after a start of the node alone, of which peers need not know.
        self.is_suspected = False
        self.accepted_from = _NEVER
        self.tokens = float(0)
        self.refilled_at = _NEVER
        self.interval_ms = float(0)
        # Starts of the last WINDOW_MS, also before the instance turned cold.
        self.starts: deque[Millis] = deque()

    def set_rule(self, rule: ColdRule) -> None:
        """Apply a changed rule."""
        self.rule = rule

    def cell(self) -> tuple[str, str, float]:
        """Return row, column and value of the table cell that limits."""
        return self.rule.service, 'cold_per_s', self.rule.per_s

    def is_cold(self, now: Millis) -> bool:
        """Return whether the instance counts as cold."""
        return self.rule.per_s > 0 and (
            self.awaits_announcement or now < self.cold_until
        )

    def is_limited(self, now: Millis) -> bool:
        """Return whether the instance is cold or its rate still rises."""
        return self.is_cold(now) or (
            self.rule.per_s > 0 and now < self.ramp_until
        )

    def remaining_ms(self, now: Millis) -> float:
        """Return how much longer peers should take the instance for cold."""
        if not self.is_cold(now):
            return 0
        unknown_ms = UNKNOWN_COLD_MS if self.is_suspected else 0
        return max(unknown_ms, self.cold_until - now)

    def announce(self, cold_ms: float, now: Millis) -> None:
        """Apply the cold time that an instance has announced."""
        if cold_ms <= 0 and now < self.accepted_from:
            return
        if cold_ms > 0:
            # An absurd time must not reach the frames to peers.
            self.cold_until = later(now, min(cold_ms, MAX_COLD_MS))
            self.ramp_until = later(self.cold_until, RAMP_MS)
        elif now < self.cold_until:
            self.cold_until = now
            self.ramp_until = later(now, RAMP_MS)
        self.awaits_announcement = False
        self.is_suspected = False

    def await_announcement(self, accepted_from: Millis) -> None:
        """Count the instance as cold until it announces its cold time.

        What it announces before `accepted_from` may be older than the reason.
        """
        self.awaits_announcement = True
        self.is_suspected = True
        self.accepted_from = accepted_from

    def rate(self, now: Millis) -> float:
        """Return the calls a second that may start, infinite if not limited."""
        if self.is_cold(now):
            return self.rule.rate()
        if not self.is_limited(now):
            return math.inf
        doublings = (now - self.cold_until) / RAMP_DOUBLING_MS
        return self.rule.rate() * math.pow(2, doublings)

    def may_start(self, now: Millis) -> bool:
        """Return whether a call may start now."""
        return self.wait_ms(now) <= 0

    def wait_ms(self, now: Millis) -> float:
        """Return the time until a call may start."""
        self._refill(now)
        if not self.interval_ms:
            return 0
        wait_ms = (1 - self.tokens) * self.interval_ms
        allowed = max(1, math.floor(self.rule.bound()))
        if self.is_cold(now) and len(self.starts) >= allowed:
            wait_ms = max(wait_ms, self.starts[-allowed] + WINDOW_MS - now)
        return wait_ms if wait_ms > NEGLIGIBLE_WAIT_MS else 0

    def started(self, now: Millis) -> None:
        """Count a call that has started."""
        if not self.rule.per_s:
            return
        self.starts.append(now)
        while self.starts[0] <= now - WINDOW_MS:
            self.starts.popleft()
        if self.interval_ms:
            self.tokens -= 1

    def _refill(self, now: Millis) -> None:
        rate = self.rate(now)
        if math.isinf(rate):
            self.interval_ms = 0
            return
        if not self.interval_ms:
            # It has just turned cold.
            self.tokens = 0
            self.refilled_at = now
        burst = self.rule.burst()
        if not self.is_cold(now):
            burst = max(burst, rate * RAMP_BURST_MS / MILLIS_PER_SECOND)
        elapsed_ms = max(0, now - self.refilled_at)
        refill = elapsed_ms * rate / MILLIS_PER_SECOND
        self.tokens = min(burst, self.tokens + refill)
        self.refilled_at = now
        self.interval_ms = MILLIS_PER_SECOND / rate


def is_fresh(born: int, unix_now: int, rule: ColdRule) -> bool:
    """Return whether an instance may not have announced its cold time yet.

    `born` is the Unix time of its start in ms, on the clock of this VM.
    """
    return unix_now - born < max(rule.start_ms, MIN_FRESH_MS)
