"""Count what a node does; the number of names is bounded."""

import bisect
from collections import Counter
from collections.abc import Mapping

import msgspec

from jasmineramp.ids import RowName, ServiceName
from jasmineramp.mesh.calls import Answer, CallEnd
from jasmineramp.refusals import RunState

# Upper ends in ms; the objectives of calls lie between 300 ms and 3 s.
LATENCY_BUCKETS_MS = (
    1, 2, 5, 10, 20, 50, 100, 200, 300, 500, 800, 1200, 2000, 5000, 15_000,
)  # fmt: skip
LARGEST_ROWS = 500
OTHER_ROWS = RowName('other')


class Histogram:
    """Count times in ms by bucket."""

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BUCKETS_MS) + 1)
        self.total = float(0)

    def record(self, time_ms: float) -> None:
        """Count one time."""
        self.counts[bisect.bisect_left(LATENCY_BUCKETS_MS, time_ms)] += 1
        self.total += time_ms

    def cumulative(self) -> list[tuple[str, float]]:
        """Return the counts up to the end of each bucket, in seconds."""
        pairs = []
        count = 0
        for end, here in zip(LATENCY_BUCKETS_MS, self.counts, strict=False):
            count += here
            pairs.append((str(end / 1000), float(count)))
        pairs.append(('+Inf', float(count + self.counts[-1])))
        return pairs


class Gauges(msgspec.Struct):
    """Hold figures of the moment; times are milliseconds."""

    running: int
    queued: int
    limit: float
    nodes: int
    table_age_ms: float
    loop_lag_ms: float
    retry_credit: Mapping[ServiceName, float]
    store_calls: Mapping[tuple[str, str], int]


class NodeMetrics:
    """Hold the counters and histograms of one node."""

    def __init__(self) -> None:
        self.calls: Counter[tuple[RowName, str]] = Counter()
        self.refusals: Counter[str] = Counter()
        self.repeats: Counter[str] = Counter()
        self.rows: set[RowName] = set()
        self.call_time = Histogram()
        self.upstream_time = Histogram()

    def record_call(self, row: RowName, end: CallEnd, took_ms: float) -> None:
        """Count a call of this VM's callers that has ended."""
        self.calls[self._bounded(row), outcome_of(end)] += 1
        if isinstance(end, Answer):
            self.call_time.record(took_ms)
        else:
            self.refusals[end.code.value] += 1

    def _bounded(self, row: RowName) -> RowName:
        if row not in self.rows:
            if len(self.rows) >= LARGEST_ROWS:
                return OTHER_ROWS
            self.rows.add(row)
        return row


def outcome_of(end: CallEnd) -> str:
    """Return answered, failed_upstream, refused or failed."""
    if isinstance(end, Answer):
        return 'answered' if end.status < 500 else 'failed_upstream'  # noqa: PLR2004
    return 'refused' if end.run is RunState.not_run else 'failed'
