"""Count the calls of a node; the number of row labels is bounded."""

import bisect
from collections import Counter
from collections.abc import Mapping

import msgspec

from jasmineramp.ids import DomainId, RowName, ServiceName
from jasmineramp.load_estimates import UseTotals
from jasmineramp.mesh.calls import Answer, CallResult
from jasmineramp.refusals import RunState

# Upper bounds; the latency objectives of calls lie between 300 ms and 3 s.
LATENCY_BUCKETS_MS = (
    1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 800, 1200, 2000, 5000, 15_000,
)  # fmt: skip
MAX_ROWS = 500
OTHER_ROW = RowName('other')


class Histogram:
    """Count durations in ms by bucket."""

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BUCKETS_MS) + 1)
        self.total_ms = float(0)

    def record(self, time_ms: float) -> None:
        """Count one duration."""
        self.counts[bisect.bisect_left(LATENCY_BUCKETS_MS, time_ms)] += 1
        self.total_ms += time_ms

    def cumulative(self) -> list[tuple[str, float]]:
        """Return upper bounds in seconds and their cumulative counts."""
        pairs = []
        count = 0
        for upper_bound, bucket_count in zip(
            LATENCY_BUCKETS_MS, self.counts, strict=False
        ):
            count += bucket_count
            pairs.append((str(upper_bound / 1000), float(count)))
        pairs.append(('+Inf', float(count + self.counts[-1])))
        return pairs


class Gauges(msgspec.Struct):
    """Hold current values for gauges; times are milliseconds."""

    running: int
    queued: int
    limit: float
    nodes: int
    table_age_ms: float
    loop_lag_ms: float
    retry_credit: Mapping[ServiceName, float]
    admitted_share: Mapping[int, float]
    store_calls: Mapping[tuple[str, str], int]
    evacuated: frozenset[DomainId] = frozenset()
    use_totals: Mapping[ServiceName, UseTotals] = {}
    left_domain: Mapping[ServiceName, int] = {}
    fast_choices: Mapping[ServiceName, int] = {}
    cold_ms: float = 0
    caller_connections: int = 0
    message_bytes: int = 0
    message_bytes_limit: int = 0


class NodeMetrics:
    """Hold the counters and histograms of one node."""

    def __init__(self) -> None:
        self.calls: Counter[tuple[RowName, str]] = Counter()
        self.failures_by_code: Counter[str] = Counter()
        self.repeats: Counter[str] = Counter()
        self.cut_answers: Counter[str] = Counter()
        self.cut_connections: Counter[str] = Counter()
        self.pipelined: Counter[str] = Counter()
        self.domain_refusals: Counter[str] = Counter()
        self.cold_refusals = 0
        self.cut_callers: Counter[str] = Counter()
        self.rows: set[RowName] = set()
        self.call_time = Histogram()
        self.upstream_time = Histogram()
        self.retry_after = Histogram()

    def record_call(
        self, row: RowName, result: CallResult, took_ms: float
    ) -> None:
        """Count a finished call of a caller on this VM."""
        self.calls[self._limit_row(row), classify_result(result)] += 1
        if isinstance(result, Answer):
            self.call_time.record(took_ms)
        else:
            self.failures_by_code[result.code.value] += 1

    def _limit_row(self, row: RowName) -> RowName:
        if row not in self.rows:
            if len(self.rows) >= MAX_ROWS:
                return OTHER_ROW
            self.rows.add(row)
        return row


def classify_result(result: CallResult) -> str:
    """Return answered, failed_upstream, refused or failed."""
    if isinstance(result, Answer):
        return 'failed_upstream' if result.is_server_error() else 'answered'
    return 'refused' if result.run is RunState.not_run else 'failed'
