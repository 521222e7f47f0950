"""Adapt the concurrency limit of one upstream instance to its latency."""

import enum
import math

import msgspec

from jasmineramp.clock import ORIGIN, Millis, later
from jasmineramp.ids import RowName

# A window needs enough samples for a mean, and must be long enough for a
# change of the limit to take effect.
MIN_WINDOW_MS = 100
WINDOW_SAMPLES = 40
MIN_SAMPLES = 5
# From this length on, MIN_SAMPLES close a window: slow calls yield few samples,
# and a longer window would adapt too late.
LONG_WINDOW_MS = 500
# The baseline latency of a row is the mean of its warm-up windows and then
# follows the latency of each window with this time constant.
BASELINE_TIME_CONSTANT_MS = 10_000
WARMUP_WINDOWS = 5
# Tolerated ratio of the latency in a window to the baseline. The spread covers
# the deviation of a mean, which falls with the square root of the samples.
TOLERANCE = 1.1
TOLERANCE_SPREAD = 1.5
# One window of high latency lowers the limit by at most
# SMOOTHING * (1 - MIN_GRADIENT) of it.
MIN_GRADIENT = 0.5
SMOOTHING = 0.7
# Ratio to which the running calls must fall before the limiter checks whether
# latency fell with them.
DESCENT_CHECK_RATIO = 0.65
# Latency is proportional to a power of the running calls: at least 1 if they
# contend, 0 if latency has another cause. The threshold lies between.
LATENCY_EXPONENT = 0.65
# A cold instance cannot use its announced slots yet, and latency measured
# while it is overloaded would become the baseline.
STARTUP_LIMIT_RATIO = 0.25
STARTUP_GROWTH_RATIO = 0.25
STARTUP_WINDOW_SAMPLES = 20
# A lower limit yields too few samples to detect that latency recovered, and
# costs too much when a slow downstream service is mistaken for
# contention.
FLOOR_RATIO = 0.25
BUSY_RATIO = 0.9
INITIAL_SERVICE_TIME_MS = 10
SERVICE_TIME_GAIN = 0.05
# Without decay, an estimate above every deadline would refuse all calls and
# never receive a sample again.
ESTIMATE_HALF_LIFE_MS = 1000


class CallOutcome(enum.Enum):
    """Outcome of a started call at its upstream."""

    succeeded = 'succeeded'
    failed = 'failed'
    timed_out = 'timed_out'
    shed = 'shed'
    cancelled = 'cancelled'


_OVERLOAD_OUTCOMES = frozenset((CallOutcome.timed_out, CallOutcome.shed))
_MEASURED_OUTCOMES = frozenset(
    (CallOutcome.succeeded, CallOutcome.timed_out),
)


class LatencySample(msgspec.Struct, frozen=True, gc=False):
    """Report one ended call; the latency is in milliseconds."""

    latency_ms: float
    outcome: CallOutcome = CallOutcome.succeeded
    row: RowName = RowName('')


class _RowLatency(msgspec.Struct):
    """Hold the baseline latency of one row and its samples in this window.

    Windows counts the windows in which the row had samples.
    """

    baseline_ms: float = 0
    windows: int = 0
    total_ms: float = 0
    count: int = 0


class _Descent(msgspec.Struct):
    """Hold the state at and since the first decrease of the limit.

    The maximum ratio is that of window to baseline latency, the maximum
    concurrency the mean number of running calls in a window. The check ratio
    is the concurrency, relative to that maximum, below which latency is
    checked; it is checked in windows that begin after check_from.
    """

    start_limit: float
    max_ratio: float
    max_concurrency: float
    check_ratio: float = DESCENT_CHECK_RATIO
    check_from: Millis | None = None


class Limiter:
    """Limit the number of running calls of one instance.

    The limit stays between a quarter of the ceiling (at least 1) and the
    ceiling, which is the smaller of the announced slots and connections.
    """

    def __init__(self, slots: int, connections: int | None = None) -> None:
        self.rows: dict[RowName, _RowLatency] = {}
        self.running = 0
        self.running_time_ms: float = 0
        self.integrated_until = ORIGIN
        self.peak_running = 0
        self.window_start = ORIGIN
        self.samples = 0
        self.overloads = 0
        self.descent: _Descent | None = None
        self.ceiling = 1
        self.limit: float = 1
        self.resize(slots, connections)
        self.in_startup = True
        self._set_limit(self.ceiling * STARTUP_LIMIT_RATIO)

    def resize(self, slots: int, connections: int | None = None) -> None:
        """Apply newly announced slots and connections."""
        at_ceiling = self.limit >= self.ceiling
        max_limit = slots if connections is None else min(slots, connections)
        self.ceiling = max(1, max_limit)
        if at_ceiling:
            self.limit = self.ceiling
        self._set_limit(self.limit)

    def started(self, now: Millis) -> None:
        """Count a call that starts at the upstream."""
        self._add_running_time(now)
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)

    def finished(self, sample: LatencySample, now: Millis) -> None:
        """Record the sample of a call that ended and adapt the limit."""
        self._add_running_time(now)
        self.running -= 1
        # A timed-out call counts as two samples: as an overload and for its
        # latency.
        if sample.outcome in _OVERLOAD_OUTCOMES:
            self.overloads += 1
            self.samples += 1
        if sample.outcome in _MEASURED_OUTCOMES:
            self._record_latency(sample)
        elapsed_ms = now - self.window_start
        required = self._required_samples(elapsed_ms)
        if elapsed_ms >= MIN_WINDOW_MS and self.samples >= required:
            self._close_window(now)

    def _required_samples(self, elapsed_ms: float) -> float:
        if elapsed_ms >= LONG_WINDOW_MS:
            return MIN_SAMPLES
        if self.in_startup:
            return STARTUP_WINDOW_SAMPLES
        if self.descent is None:
            return WINDOW_SAMPLES
        # A low limit yields few samples, and a decrease must not take long.
        return min(WINDOW_SAMPLES, MIN_SAMPLES + 2 * self.limit)

    def _add_running_time(self, now: Millis) -> None:
        self.running_time_ms += self.running * (now - self.integrated_until)
        self.integrated_until = now

    def _record_latency(self, sample: LatencySample) -> None:
        row = self.rows.get(sample.row)
        if row is None:
            row = _RowLatency()
            self.rows[sample.row] = row
        row.total_ms += sample.latency_ms
        row.count += 1
        self.samples += 1

    def _close_window(self, now: Millis) -> None:
        elapsed_ms = now - self.window_start
        ratio = self._latency_ratio()
        tolerance = TOLERANCE + TOLERANCE_SPREAD / math.sqrt(self.samples)
        if ratio > tolerance:
            limit = self._limit_after_slow_window(ratio, tolerance / ratio, now)
        else:
            self.descent = None
            limit = self.limit
            if self._is_busy():
                limit += self._limit_increase()
        limit -= self.limit * self.overloads / self.samples / 2
        if ratio > tolerance or self.overloads or limit >= self.ceiling:
            self.in_startup = False
        self._set_limit(limit)
        self._update_baselines(elapsed_ms)
        self.window_start = now
        self.samples = 0
        self.overloads = 0
        self.running_time_ms = 0
        self.peak_running = self.running

    def _is_busy(self) -> bool:
        return self.peak_running >= math.floor(self.limit) * BUSY_RATIO

    def _limit_increase(self) -> float:
        if self.in_startup:
            # The limit grows only after a baseline is known.
            known = any(
                row.windows >= WARMUP_WINDOWS for row in self.rows.values()
            )
            return self.limit * STARTUP_GROWTH_RATIO if known else 0
        return math.sqrt(self.limit) / 2

    def _latency_ratio(self) -> float:
        known = [row for row in self.rows.values() if row.windows > 1]
        actual = math.fsum(row.total_ms for row in known)
        expected_total = math.fsum(row.baseline_ms * row.count for row in known)
        return actual / expected_total if expected_total > 0 else 1

    def _limit_after_slow_window(
        self, ratio: float, gradient: float, now: Millis
    ) -> float:
        """Return the limit after a window with a high latency ratio.

        The limit falls as long as latency falls with concurrency.

        Latency that does not fall together with the number of running calls
        has another cause, such as a slow downstream service. It becomes the
        baseline.
        """
        factor = 1 - SMOOTHING * (1 - max(MIN_GRADIENT, gradient))
        concurrency = self.running_time_ms / (now - self.window_start)
        descent = self.descent
        if descent is None:
            self.descent = _Descent(self.limit, ratio, concurrency)
            return self.limit * factor
        concurrency_ratio = concurrency / descent.max_concurrency
        at_floor = self.limit <= self._floor()
        if concurrency_ratio > descent.check_ratio and not at_floor:
            descent.max_ratio = max(descent.max_ratio, ratio)
            descent.max_concurrency = max(descent.max_concurrency, concurrency)
            return self.limit * factor
        if descent.check_from is None:
            descent.check_from = later(now, self._mean_latency_ms())
        if self.window_start < descent.check_from:
            # Calls that started before the decrease end in this window.
            descent.max_ratio = max(descent.max_ratio, ratio)
            return self.limit
        if ratio > descent.max_ratio * concurrency_ratio**LATENCY_EXPONENT:
            return self._adopt_baseline(ratio, descent.start_limit)
        if at_floor:
            return self._adopt_baseline(ratio, self.limit)
        # Further decreases are compared with the same maximum, which removes
        # the noise of a single window.
        descent.check_ratio = concurrency_ratio * DESCENT_CHECK_RATIO
        descent.check_from = None
        return self.limit * factor

    def _mean_latency_ms(self) -> float:
        total_ms = math.fsum(row.total_ms for row in self.rows.values())
        return total_ms / max(1, sum(row.count for row in self.rows.values()))

    def _adopt_baseline(self, ratio: float, limit: float) -> float:
        """Make the latency of this window the baseline."""
        for row in self.rows.values():
            row.baseline_ms *= ratio
        self.descent = None
        return limit

    def _update_baselines(self, elapsed_ms: float) -> None:
        # While the limit keeps calls waiting, a slow rise of latency comes
        # from the calls that run; a baseline that rose with it would raise
        # the limit.
        may_rise = self.limit >= self.ceiling or not self._is_busy()
        for row in self.rows.values():
            if row.count:
                _update_baseline(row, elapsed_ms, may_rise=may_rise)
            row.total_ms = 0
            row.count = 0

    def _floor(self) -> float:
        return max(1, self.ceiling * FLOOR_RATIO)

    def _set_limit(self, limit: float) -> None:
        self.limit = min(self.ceiling, max(self._floor(), limit))


def _update_baseline(
    row: _RowLatency, elapsed_ms: float, *, may_rise: bool
) -> None:
    row.windows += 1
    gap_ms = row.total_ms / row.count - row.baseline_ms
    if gap_ms < 0 or may_rise or row.windows <= WARMUP_WINDOWS:
        row.baseline_ms += gap_ms * _baseline_gain(row, elapsed_ms)


def _baseline_gain(row: _RowLatency, elapsed_ms: float) -> float:
    # Only short calls finish in the first window, so the second window
    # replaces its mean.
    if row.windows <= WARMUP_WINDOWS:
        return 1 / max(1, row.windows - 1)
    return min(1, elapsed_ms / BASELINE_TIME_CONSTANT_MS)


class _Estimate(msgspec.Struct, gc=False):
    """Hold a mean and the time of its last sample."""

    mean_ms: float
    updated_at: Millis


class ServiceTimes:
    """Estimate the service time of calls by row, in milliseconds."""

    def __init__(self) -> None:
        self.rows: dict[RowName, _Estimate] = {}
        self.overall = _Estimate(INITIAL_SERVICE_TIME_MS, ORIGIN)

    def expected_ms(self, row: RowName, now: Millis) -> float:
        """Return the estimate in ms, which decays while no samples arrive."""
        estimate = self.rows.get(row) or self.overall
        age = now - estimate.updated_at
        if age <= ESTIMATE_HALF_LIFE_MS:
            return estimate.mean_ms
        return float(
            estimate.mean_ms * 0.5 ** (age / ESTIMATE_HALF_LIFE_MS - 1)
        )

    def measured_ms(self, row: RowName) -> float:
        """Return the mean of the last calls of a row in ms, 0 without any."""
        estimate = self.rows.get(row)
        return estimate.mean_ms if estimate is not None else 0

    def recent_rows(self, now: Millis, max_age_ms: float) -> list[RowName]:
        """Return the rows with a call that finished within max_age_ms."""
        return [
            row
            for row, estimate in self.rows.items()
            if now - estimate.updated_at <= max_age_ms
        ]

    def record(self, row: RowName, latency_ms: float, now: Millis) -> None:
        """Record the latency of a finished call in milliseconds."""
        estimate = self.rows.get(row)
        if estimate is None:
            self.rows[row] = _Estimate(latency_ms, now)
        else:
            _update(estimate, latency_ms, now)
        _update(self.overall, latency_ms, now)


def _update(estimate: _Estimate, latency_ms: float, now: Millis) -> None:
    estimate.mean_ms += SERVICE_TIME_GAIN * (latency_ms - estimate.mean_ms)
    estimate.updated_at = now
