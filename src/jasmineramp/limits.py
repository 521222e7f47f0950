"""Adapt the concurrency limit of one upstream instance to its latency."""

import enum
import math

import msgspec

from jasmineramp.clock import ORIGIN, Millis, later
from jasmineramp.ids import RowName

# A window needs enough samples for a mean and enough time for an effect.
WINDOW = 100
WINDOW_SAMPLES = 40
LEAST_SAMPLES = 5
# Slow calls yield few samples; a longer window would adapt too late.
LONGEST_WINDOW = 500
# Time constants with which the long-term latency follows the short-term one.
LONG_TERM = 10_000
FIRST_WINDOWS = 5
# Tolerated ratio of short-term to long-term latency. The spread covers the
# variation of a mean, which falls with the square root of the samples.
TOLERANCE = 1.1
TOLERANCE_SPREAD = 1.5
LEAST_GRADIENT = 0.5
SMOOTHING = 0.7
# Fall of the running calls after which the latency must have fallen too.
DESCENT = 0.65
# Latency grows with the running calls by an exponent of at least 1 when they
# contend, and by 0 when it has another cause. The threshold lies between.
LATENCY_EXPONENT = 0.65
# A cold instance cannot use its announced slots yet, and latency measured
# while it is overloaded would be taken for the usual one.
START_SHARE = 0.25
START_GROWTH = 0.25
START_SAMPLES = 20
# A smaller limit yields too few samples to notice that latency recovered, and
# costs too much when a slow back end is taken for contention.
FLOOR_SHARE = 0.25
BUSY_SHARE = 0.9
INITIAL_SERVICE_TIME = 10
SERVICE_TIME_GAIN = 0.05
# Without decay, an estimate above every deadline would refuse all calls and
# would never see a sample again.
ESTIMATE_HALF_LIFE = 1000


class CallOutcome(enum.Enum):
    """Tell how a started call ended at its upstream."""

    succeeded = 'succeeded'
    failed = 'failed'
    timed_out = 'timed_out'
    shed = 'shed'
    cancelled = 'cancelled'


_OVERLOAD = frozenset((CallOutcome.timed_out, CallOutcome.shed))
_MEASURED = frozenset(
    (CallOutcome.succeeded, CallOutcome.timed_out),
)


class LatencySample(msgspec.Struct, frozen=True, gc=False):
    """Report one ended call; the latency is in milliseconds."""

    latency: float
    outcome: CallOutcome = CallOutcome.succeeded
    row: RowName = RowName('')


class _RowLatency(msgspec.Struct):
    """Hold the latencies of one row in milliseconds."""

    long_term: float = 0
    windows: int = 0
    total: float = 0
    count: int = 0


class _Descent(msgspec.Struct):
    """Hold the worst window since the limit began to fall.

    The ratio is short-term over long-term latency.
    """

    limit: float
    ratio: float
    concurrency: float
    judged_fall: float = DESCENT
    judged_from: Millis | None = None


class Limiter:
    """Bound the number of running calls of one instance.

    The limit stays between a quarter of the ceiling (at least 1) and the
    ceiling, which is the smaller of the announced slots and connections.
    """

    def __init__(self, slots: int, connections: int | None = None) -> None:
        self.rows: dict[RowName, _RowLatency] = {}
        self.running = 0
        self.running_time: float = 0
        self.changed = ORIGIN
        self.peak = 0
        self.window_start = ORIGIN
        self.samples = 0
        self.overloads = 0
        self.descent: _Descent | None = None
        self.ceiling = 1
        self.limit: float = 1
        self.resize(slots, connections)
        self.starting = True
        self._set_limit(self.ceiling * START_SHARE)

    def resize(self, slots: int, connections: int | None = None) -> None:
        """Adopt newly announced slots and connections."""
        at_ceiling = self.limit >= self.ceiling
        bounds = slots if connections is None else min(slots, connections)
        self.ceiling = max(1, bounds)
        if at_ceiling:
            self.limit = self.ceiling
        self._set_limit(self.limit)

    def started(self, now: Millis) -> None:
        """Count a call that starts at the upstream."""
        self._integrate(now)
        self.running += 1
        self.peak = max(self.peak, self.running)

    def finished(self, sample: LatencySample, now: Millis) -> None:
        """Take the sample of a call that ended and adapt the limit."""
        self._integrate(now)
        self.running -= 1
        if sample.outcome in _OVERLOAD:
            self.overloads += 1
            self.samples += 1
        if sample.outcome in _MEASURED:
            self._measure(sample)
        elapsed = now - self.window_start
        needed = self._needed_samples(elapsed)
        if elapsed >= WINDOW and self.samples >= needed:
            self._close_window(now)

    def _needed_samples(self, elapsed: float) -> float:
        if elapsed >= LONGEST_WINDOW:
            return LEAST_SAMPLES
        if self.starting:
            return START_SAMPLES
        if self.descent is None:
            return WINDOW_SAMPLES
        # A low limit yields few samples, and a descent must not take long.
        return min(WINDOW_SAMPLES, LEAST_SAMPLES + 2 * self.limit)

    def _integrate(self, now: Millis) -> None:
        self.running_time += self.running * (now - self.changed)
        self.changed = now

    def _measure(self, sample: LatencySample) -> None:
        row = self.rows.get(sample.row)
        if row is None:
            row = _RowLatency()
            self.rows[sample.row] = row
        row.total += sample.latency
        row.count += 1
        self.samples += 1

    def _close_window(self, now: Millis) -> None:
        elapsed = now - self.window_start
        ratio = self._ratio()
        tolerance = TOLERANCE + TOLERANCE_SPREAD / math.sqrt(self.samples)
        if ratio > tolerance:
            limit = self._descend(ratio, tolerance / ratio, now)
        else:
            self.descent = None
            limit = self.limit
            if self._is_busy():
                limit += self._increase()
        limit -= self.limit * self.overloads / self.samples / 2
        if ratio > tolerance or self.overloads or limit >= self.ceiling:
            self.starting = False
        self._set_limit(limit)
        self._update_long_term(elapsed)
        self.window_start = now
        self.samples = 0
        self.overloads = 0
        self.running_time = 0
        self.peak = self.running

    def _is_busy(self) -> bool:
        return self.peak >= math.floor(self.limit) * BUSY_SHARE

    def _increase(self) -> float:
        if self.starting:
            # Latency is learned before more calls run.
            known = any(
                row.windows >= FIRST_WINDOWS for row in self.rows.values()
            )
            return self.limit * START_GROWTH if known else 0
        return math.sqrt(self.limit) / 2

    def _ratio(self) -> float:
        known = [row for row in self.rows.values() if row.windows > 1]
        measured = math.fsum(row.total for row in known)
        usual = math.fsum(row.long_term * row.count for row in known)
        return measured / usual if usual > 0 else 1

    def _descend(self, ratio: float, gradient: float, now: Millis) -> float:
        """Return a lower limit while latency follows the running calls.

        Latency that does not fall together with the number of running calls
        has another cause, such as a slow service further down.
        """
        lower = 1 - SMOOTHING * (1 - max(LEAST_GRADIENT, gradient))
        concurrency = self.running_time / (now - self.window_start)
        descent = self.descent
        if descent is None:
            self.descent = _Descent(self.limit, ratio, concurrency)
            return self.limit * lower
        fall = concurrency / descent.concurrency
        at_floor = self.limit <= self._floor()
        if fall > descent.judged_fall and not at_floor:
            descent.ratio = max(descent.ratio, ratio)
            descent.concurrency = max(descent.concurrency, concurrency)
            return self.limit * lower
        if descent.judged_from is None:
            descent.judged_from = later(now, self._mean_latency())
        if self.window_start < descent.judged_from:
            # Calls that started before the fall end in this window.
            descent.ratio = max(descent.ratio, ratio)
            return self.limit
        if ratio > descent.ratio * fall**LATENCY_EXPONENT:
            return self._adopt_latency(ratio, descent.limit)
        if at_floor:
            return self._adopt_latency(ratio, self.limit)
        # Later falls are judged against the same start, which takes the
        # noise of a single window out.
        descent.judged_fall = fall * DESCENT
        descent.judged_from = None
        return self.limit * lower

    def _mean_latency(self) -> float:
        total = math.fsum(row.total for row in self.rows.values())
        return total / max(1, sum(row.count for row in self.rows.values()))

    def _adopt_latency(self, ratio: float, limit: float) -> float:
        """Take the present latency as usual from now on."""
        for row in self.rows.values():
            row.long_term *= ratio
        self.descent = None
        return limit

    def _update_long_term(self, elapsed: float) -> None:
        # While the limit holds calls back, latency that creeps up is that of
        # the calls the limit lets through, and would raise the limit.
        may_rise = self.limit >= self.ceiling or not self._is_busy()
        for row in self.rows.values():
            if row.count:
                _follow(row, elapsed, may_rise=may_rise)
            row.total = 0
            row.count = 0

    def _floor(self) -> float:
        return max(1, self.ceiling * FLOOR_SHARE)

    def _set_limit(self, limit: float) -> None:
        self.limit = min(self.ceiling, max(self._floor(), limit))


def _follow(row: _RowLatency, elapsed: float, *, may_rise: bool) -> None:
    row.windows += 1
    gap = row.total / row.count - row.long_term
    if gap < 0 or may_rise or row.windows <= FIRST_WINDOWS:
        row.long_term += gap * _gain(row, elapsed)


def _gain(row: _RowLatency, elapsed: float) -> float:
    # The calls that finish in the first window are the short ones, so the
    # mean of the later ones replaces it.
    if row.windows <= FIRST_WINDOWS:
        return 1 / max(1, row.windows - 1)
    return min(1, elapsed / LONG_TERM)


class _Estimate(msgspec.Struct, gc=False):
    """Hold a mean in milliseconds and the time of its last sample."""

    mean: float
    updated: Millis


class ServiceTimes:
    """Estimate the service time of calls by row, in milliseconds."""

    def __init__(self) -> None:
        self.rows: dict[RowName, _Estimate] = {}
        self.overall = _Estimate(INITIAL_SERVICE_TIME, ORIGIN)

    def expected(self, row: RowName, now: Millis) -> float:
        """Return the estimate, which decays while no samples arrive."""
        estimate = self.rows.get(row) or self.overall
        age = now - estimate.updated
        if age <= ESTIMATE_HALF_LIFE:
            return estimate.mean
        return float(estimate.mean * 0.5 ** (age / ESTIMATE_HALF_LIFE - 1))

    def record(self, row: RowName, latency: float, now: Millis) -> None:
        """Take the latency of a finished call."""
        estimate = self.rows.get(row)
        if estimate is None:
            self.rows[row] = _Estimate(latency, now)
        else:
            _update(estimate, latency, now)
        _update(self.overall, latency, now)


def _update(estimate: _Estimate, latency: float, now: Millis) -> None:
    estimate.mean += SERVICE_TIME_GAIN * (latency - estimate.mean)
    estimate.updated = now
