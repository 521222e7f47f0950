"""Count every refusal by reason and time interval, in bounded memory."""

from collections import deque

import msgspec

from jasmineramp.clock import Millis
from jasmineramp.ids import NodeId
from jasmineramp.refusals import Refusal

INTERVAL_MS = 5_000
INTERVAL_COUNT = 720
# Further reasons in the same interval share one entry.
MAX_REASONS_PER_INTERVAL = 500
OTHER_CODE = 'other'


class Reason(msgspec.Struct, frozen=True):
    """Identify why calls were refused: code, table cell and revision."""

    workspace: str
    code: str
    row: str = ''
    column: str = ''
    revision: int = 0
    run: str = 'not_run'


class ReasonCount(msgspec.Struct):
    """Count the refusals of a reason; figure is the highest one."""

    reason: Reason
    count: int = 0
    figure: float | None = None
    limit: float | None = None


class RefusalQuery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Select refusals; ages are ms before now, an empty text matches all."""

    workspace: str = ''
    oldest_age: float | None = None
    newest_age: float = 0


class RefusalSummary(msgspec.Struct, frozen=True):
    """Answer a query; the counts of the reasons add up to the total.

    The time span from oldest_age to newest_age, in ms before now, covers whole
    intervals. It is complete if none of its intervals has been dropped.
    """

    node: NodeId
    total: int
    reasons: list[ReasonCount]
    oldest_age: float
    newest_age: float
    complete: bool


class _Interval:
    def __init__(self, index: int) -> None:
        self.index = index
        self.counts: dict[Reason, ReasonCount] = {}
        self.totals: dict[str, int] = {}


class RefusalCounts:
    """Hold the refusal counts of one node for at least the last hour."""

    def __init__(self, node: NodeId) -> None:
        self.node = node
        self.intervals: deque[_Interval] = deque(maxlen=INTERVAL_COUNT)
        self.started: Millis | None = None
        self.last_dropped_index: int | None = None


def count(
    counts: RefusalCounts,
    workspace: str,
    refusal: Refusal,
    now: Millis,
) -> None:
    """Count a refusal in the interval of the current time."""
    index = int(now // INTERVAL_MS)
    intervals = counts.intervals
    if not intervals or intervals[-1].index != index:
        if len(intervals) == INTERVAL_COUNT:
            counts.last_dropped_index = intervals[0].index
        intervals.append(_Interval(index))
    interval = intervals[-1]
    reason = Reason(
        workspace,
        refusal.code.value,
        refusal.row,
        refusal.column,
        refusal.revision,
        refusal.run.value,
    )
    totals = interval.totals
    totals[workspace] = totals.get(workspace, 0) + 1
    entry = interval.counts.get(reason)
    if entry is None:
        if len(interval.counts) >= MAX_REASONS_PER_INTERVAL:
            reason = Reason(workspace, OTHER_CODE)
        entry = interval.counts.setdefault(reason, ReasonCount(reason))
    entry.count += 1
    _update_figure(entry, refusal.figure, refusal.limit)


def summarize(
    counts: RefusalCounts,
    query: RefusalQuery,
    now: Millis,
) -> RefusalSummary:
    """Return the counts of all intervals that overlap the query's span."""
    last = int((now - query.newest_age) // INTERVAL_MS)
    first = -1
    if query.oldest_age is not None:
        first = int((now - query.oldest_age) // INTERVAL_MS)
    elif counts.intervals:
        first = counts.intervals[0].index
    merged: dict[Reason, ReasonCount] = {}
    total = 0
    for interval in counts.intervals:
        if first <= interval.index <= last:
            total += _add_interval(merged, interval, query.workspace)
    dropped = counts.last_dropped_index
    return RefusalSummary(
        counts.node,
        total,
        sorted(merged.values(), key=lambda entry: -entry.count),
        now - first * INTERVAL_MS,
        max(0, now - (last + 1) * INTERVAL_MS),
        dropped is None or (query.oldest_age is not None and dropped < first),
    )


def _add_interval(
    merged: dict[Reason, ReasonCount],
    interval: _Interval,
    workspace: str,
) -> int:
    for reason, entry in interval.counts.items():
        if workspace in {'', reason.workspace}:
            merged_entry = merged.setdefault(reason, ReasonCount(reason))
            merged_entry.count += entry.count
            _update_figure(merged_entry, entry.figure, entry.limit)
    if workspace:
        return interval.totals.get(workspace, 0)
    return sum(interval.totals.values())


def _update_figure(
    entry: ReasonCount,
    figure: float | None,
    limit: float | None,
) -> None:
    if figure is not None and (entry.figure is None or figure > entry.figure):
        entry.figure = figure
        entry.limit = limit
    elif entry.limit is None:
        entry.limit = limit
