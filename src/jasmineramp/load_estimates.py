"""Estimate the use of instances from load reports that are out of date.

The load handled here: many nodes send a few calls a second each to an
instance, so that a node's own calls say nothing about it and its report is as
old as the last reply from it.
"""

import math
from collections import defaultdict

import msgspec

from jasmineramp.clock import MILLIS_PER_SECOND, Millis
from jasmineramp.ids import ServiceName
from jasmineramp.load_reports import LoadReport

# The use that is assumed of a domain without reports. It is low, so that a
# domain that has not been heard of for a while is tried again.
UNKNOWN_USE = 0.5
DOMAIN_USE_LIFETIME_MS = 1_000
# Weight of one report in the mean of its domain while reports are frequent.
DOMAIN_USE_GAIN = 0.1
# A report is trusted for about one turnover of the calls that ran when it was
# made, which is the mean duration of a call.
UNKNOWN_TURNOVER_MS = 150
MIN_TURNOVER_MS = 100
MAX_TURNOVER_MS = 1_000
# A wrong report counts as at most this use.
MAX_USE = 3.0
# One failure of an instance with none before raises its failure rate to 0.2,
# which says little. Two in a row raise it to 0.36.
TOLERATED_FAILURE_RATE = 0.3
# Bounds the use that is estimated for an instance that only fails.
MIN_SUCCESS_RATE = 0.1
# After this time without a further failure, an instance is tried again.
FAILURE_LIFETIME_MS = 3_000
# Without a reply, the time since the calls were sent, summed over them and in
# turnovers, exceeds this by chance once in 150 times. An instance that hangs
# exceeds it within 0.5 s at 6 calls a second of 160 ms.
TOLERATED_SILENCE = 5.0
USE_PER_SILENCE = 0.2


class DomainUse:
    """Hold the mean reported use of the instances of one domain."""

    __slots__ = ('mean', 'reported_at')

    def __init__(self) -> None:
        self.mean = UNKNOWN_USE
        self.reported_at = -math.inf

    def use(self, now: Millis) -> float:
        """Return the mean, which nears UNKNOWN_USE without reports."""
        trust = math.exp((self.reported_at - now) / DOMAIN_USE_LIFETIME_MS)
        return UNKNOWN_USE + (self.mean - UNKNOWN_USE) * trust

    def record(self, use: float, now: Millis) -> None:
        """Add the use in one report; it counts more after a pause."""
        trust = math.exp((self.reported_at - now) / DOMAIN_USE_LIFETIME_MS)
        self.mean += (1 - (1 - DOMAIN_USE_GAIN) * trust) * (use - self.mean)
        self.reported_at = now


class LoadEstimate:
    """Hold the last reported use of one instance and what was sent since.

    The limit is the number of calls that the instance can run, 0 if it has
    not reported one.
    """

    __slots__ = (
        'domain_use',
        'failed_at',
        'limit',
        'reported_at',
        'sent',
        'sent_at_sum',
        'turnover_ms',
        'use',
    )

    def __init__(self) -> None:
        self.domain_use = DomainUse()
        self.use = float(0)
        self.limit = 0
        self.reported_at = -math.inf
        self.turnover_ms = float(UNKNOWN_TURNOVER_MS)
        self.sent = 0
        self.sent_at_sum = float(0)
        self.failed_at = -math.inf

    def count_sent(self, now: Millis) -> None:
        """Count a call that is sent to the instance."""
        self.sent += 1
        self.sent_at_sum += now

    def record(
        self, report: LoadReport, now: Millis, *, has_refused: bool
    ) -> None:
        """Replace the report; an instance that refuses counts as full."""
        self.limit = report.limit
        self.sent = 0
        self.sent_at_sum = 0
        if not report.limit:
            return
        self.use = min(report.busy / report.limit, MAX_USE)
        self.domain_use.record(self.use, now)
        if has_refused or not report.healthy:
            self.use = max(self.use, 1)
        self.reported_at = now
        if report.capacity > 0:
            turnover_ms = report.limit * MILLIS_PER_SECOND / report.capacity
            self.turnover_ms = min(
                max(turnover_ms, MIN_TURNOVER_MS), MAX_TURNOVER_MS
            )

    def estimate(self, mean: float, in_flight: int, now: Millis) -> float:
        """Return the use now, from the report and own calls sent since.

        As the calls that ran at the time of the report end, the use nears the
        mean of the domain.
        """
        trust = math.exp((self.reported_at - now) / self.turnover_ms)
        use = mean + (self.use - mean) * trust
        sent = min(self.sent, in_flight)
        if not sent:
            return use
        use += sent / max(1, self.limit)
        silence_ms = sent * (now - self.sent_at_sum / self.sent)
        excess = silence_ms / self.turnover_ms - TOLERATED_SILENCE
        return use + USE_PER_SILENCE * max(0, excess)

    def correct_for_failures(
        self, use: float, failure_rate: float, now: Millis
    ) -> float:
        """Return the use that an instance would have if its calls succeeded.

        An instance that fails quickly looks idle. It must not attract calls,
        so it counts as used more than the mean of its domain.
        """
        trust = math.exp((self.failed_at - now) / FAILURE_LIFETIME_MS)
        success_rate = max(MIN_SUCCESS_RATE, 1 - failure_rate)
        corrected = (
            max(use / success_rate, self.domain_use.use(now)) + failure_rate
        )
        return use + (corrected - use) * trust


class UseTotals(msgspec.Struct):
    """Sum what this node believed and what the replies then said."""

    replies: int = 0
    believed: float = 0
    reported: float = 0
    error: float = 0


class EstimateMetrics:
    """Count the choices by estimated use and their errors, by service."""

    def __init__(self) -> None:
        self.totals: defaultdict[ServiceName, UseTotals] = defaultdict(
            UseTotals
        )
        self.left_domain: defaultdict[ServiceName, int] = defaultdict(int)

    def record(
        self, service: ServiceName, believed: float, reported: float
    ) -> None:
        """Count one reply."""
        totals = self.totals[service]
        totals.replies += 1
        totals.believed += believed
        totals.reported += reported
        totals.error += abs(believed - reported)
