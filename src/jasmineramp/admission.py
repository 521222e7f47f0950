"""Decide which calls of one instance start, wait or are refused."""

from collections.abc import Callable, Iterable

import msgspec

from jasmineramp.clock import MILLIS_PER_SECOND, ORIGIN, Millis
from jasmineramp.fair_queue import FairQueue, QueuedCall, QueueEntry
from jasmineramp.ids import CallId, Importance
from jasmineramp.limits import (
    CallOutcome,
    LatencySample,
    Limiter,
    ServiceTimes,
)
from jasmineramp.refusals import RefusalCode
from jasmineramp.start_pacing import StartPacing
from jasmineramp.table import LEAST_IMPORTANCE

MAX_QUEUE_WAIT_MS = 200
MAX_QUEUED_CALLS = 1000
# At 3 times the demand, a queue filled to this ratio evicts calls within
# milliseconds.
SHED_FILL_RATIO = 0.75


class Decision(msgspec.Struct, frozen=True, gc=False):
    """Base of the decisions on a call."""

    call: QueuedCall


class Start(Decision, frozen=True, gc=False):
    """Send the call to the upstream now."""


class Wait(Decision, frozen=True, gc=False):
    """Keep the call until a later decision on it."""


class Refuse(Decision, frozen=True, gc=False):
    """Refuse the call, which has not run.

    Row and column name the table cell that decided. The figure is the
    observed value, the limit the value it was compared with. The retry delay
    is in milliseconds, and so are figure and limit where they are times.
    """

    code: RefusalCode
    row: str = ''
    column: str = ''
    figure: float | None = None
    limit: float | None = None
    retry_after: float | None = None


class AdmissionState:
    """Hold the running and queued calls of one instance."""

    def __init__(
        self,
        limiter: Limiter,
        max_queue_wait_ms: float = MAX_QUEUE_WAIT_MS,
        max_queued_calls: int = MAX_QUEUED_CALLS,
        pacing: StartPacing | None = None,
    ) -> None:
        self.limiter = limiter
        self.pacing = pacing or StartPacing()
        self.max_queue_wait_ms = max_queue_wait_ms
        self.max_queued_calls = max_queued_calls
        self.service_times = ServiceTimes()
        self.running: dict[CallId, QueueEntry] = {}
        self.queue = FairQueue()
        self.draining = False

    def expected_wait_ms(self) -> float:
        """Return the expected wait of a call behind the whole queue in ms."""
        return max(
            self.queue.work_ms / self.limiter.limit,
            len(self.queue.entries) * self.pacing.interval_ms,
        )

    def may_start(self, now: Millis) -> bool:
        """Return whether one more call may run."""
        return len(
            self.running
        ) + 1 <= self.limiter.limit and self.pacing.may_start(now)

    def fill_ratio(self) -> float:
        """Return the fill ratio of the queue; above 1 it evicts calls."""
        return max(
            self.expected_wait_ms() / self.max_queue_wait_ms,
            len(self.queue.entries) / self.max_queued_calls,
        )


def offer(
    state: AdmissionState,
    call: QueuedCall,
    now: Millis,
) -> list[Decision]:
    """Decide on a new call; the decision on it comes first in the list.

    Decisions on other calls follow. A call id that is already running or
    queued yields no decision.
    """
    queue = state.queue
    if call.call_id in state.running or call.call_id in queue.entries:
        return []
    if state.draining:
        return [Refuse(call, RefusalCode.draining)]
    cost_ms = state.service_times.expected_ms(call.row, now)
    if now + cost_ms > call.deadline:
        return [_refuse_deadline(call, cost_ms, now)]
    entry = queue.create_entry(call, cost_ms, now)
    if not queue.entries and state.may_start(now):
        return [_start(state, entry, now)]
    max_wait_ms = min(call.max_wait_ms, state.max_queue_wait_ms)
    if state.pacing.wait_ms(now) > max_wait_ms:
        return [_refuse_overload(state, entry, now)]
    wait_ms = _expected_wait_ms(state, entry, now)
    if now + wait_ms + cost_ms > call.deadline:
        return [_refuse_deadline(call, wait_ms + cost_ms, now)]
    if call.max_wait_ms < state.max_queue_wait_ms:
        ahead_ms = queue.work_ahead_ms(entry) / state.limiter.limit
        if ahead_ms > call.max_wait_ms:
            return [_refuse_overload(state, entry, now)]
    queue.insert(entry)
    decisions = _dispatch(state, now)
    decisions.extend(evict_excess(state, now))
    for_call = [decision for decision in decisions if decision.call is call]
    for_others = [
        decision for decision in decisions if decision.call is not call
    ]
    return (for_call or [Wait(call)]) + for_others


def finish(
    state: AdmissionState,
    call_id: CallId,
    outcome: CallOutcome,
    now: Millis,
) -> list[Decision]:
    """End a running call and start queued calls in its place."""
    entry = state.running.pop(call_id, None)
    if entry is None:
        return []
    latency_ms = now - entry.state_since
    row = entry.call.row
    state.queue.settle(entry, latency_ms)
    state.limiter.finished(LatencySample(latency_ms, outcome, row), now)
    if outcome is CallOutcome.succeeded or outcome is CallOutcome.timed_out:
        state.service_times.record(row, latency_ms, now)
    return _dispatch(state, now) if state.queue.entries else []


def expire(state: AdmissionState, now: Millis) -> list[Decision]:
    """Refuse calls that waited too long or would miss their deadline.

    Call it every tick.
    """
    decisions = _dispatch(state, now)
    overdue_importance = 0
    arrival_cutoff = now - state.max_queue_wait_ms
    for entry in list(state.queue.entries.values()):
        if now + entry.cost_ms > entry.call.deadline:
            state.queue.remove(entry)
            decisions.append(_refuse_deadline(entry.call, entry.cost_ms, now))
        elif now - entry.state_since >= entry.call.max_wait_ms:
            state.queue.remove(entry)
            decisions.append(_refuse_overload(state, entry, now))
        elif entry.state_since <= arrival_cutoff:
            overdue_importance = max(overdue_importance, entry.call.importance)
    # Calls that are less important than an overdue call queue behind it.
    # They are refused with it, so that no call is refused while a less
    # important one waits.
    for queued in list(state.queue.entries.values()):
        is_overdue = (
            queued.state_since <= arrival_cutoff
            and queued.call.importance == overdue_importance
        )
        if is_overdue or queued.call.importance < overdue_importance:
            decisions.append(_refuse_overload(state, queued, now))
            state.queue.remove(queued)
    state.queue.remove_idle_shares()
    return decisions


def evict_excess(state: AdmissionState, now: Millis) -> list[Decision]:
    """Refuse the calls that the queue is too long for."""
    decisions: list[Decision] = []
    while state.queue.entries and state.fill_ratio() > 1:
        decisions.append(_evict(state, now))
    return decisions


def withdraw(
    state: AdmissionState,
    predicate: Callable[[QueuedCall], bool],
    now: Millis,
    code: RefusalCode = RefusalCode.cancelled,
) -> list[Decision]:
    """Refuse the queued calls that match, such as those of a revoked key."""
    entries = [
        entry for entry in state.queue.entries.values() if predicate(entry.call)
    ]
    return _refuse_all(state, entries, code)


def cancel(state: AdmissionState, call_id: CallId) -> list[Decision]:
    """Refuse a queued call whose caller cancelled it or disconnected."""
    entry = state.queue.entries.get(call_id)
    entries = [] if entry is None else [entry]
    return _refuse_all(state, entries, RefusalCode.cancelled)


def drain(state: AdmissionState) -> list[Decision]:
    """Refuse all queued and later calls; running calls finish."""
    state.draining = True
    entries = list(state.queue.entries.values())
    return _refuse_all(state, entries, RefusalCode.draining)


def resize(
    state: AdmissionState,
    slots: int,
    connections: int | None,
    now: Millis,
) -> list[Decision]:
    """Apply announced slots and connections and accept calls again."""
    state.draining = False
    state.limiter.resize(slots, connections)
    return _dispatch(state, now)


def capacity(state: AdmissionState) -> float:
    """Return the capacity in calls a second, 0 while it is unknown."""
    overall = state.service_times.overall
    if overall.updated_at == ORIGIN or overall.mean_ms <= 0:
        return 0
    return state.limiter.limit / overall.mean_ms * MILLIS_PER_SECOND


def shed_level(state: AdmissionState, now: Millis) -> Importance:
    """Return the importance below which other nodes should refuse calls.

    Unless the queue is nearly full, it is the lowest importance, which
    refuses nothing. Otherwise it is the lowest queued importance.
    """
    if state.fill_ratio() < SHED_FILL_RATIO:
        return LEAST_IMPORTANCE
    return state.queue.min_importance()


def _expected_wait_ms(
    state: AdmissionState,
    entry: QueueEntry,
    now: Millis,
) -> float:
    wait_ms = state.expected_wait_ms()
    # The position matters only when waiting for the whole queue would miss
    # the deadline.
    if now + wait_ms + entry.cost_ms <= entry.call.deadline:
        return wait_ms
    return state.queue.work_ahead_ms(entry) / state.limiter.limit


def _start(state: AdmissionState, entry: QueueEntry, now: Millis) -> Start:
    state.queue.charge(entry)
    entry.state_since = now
    state.running[entry.call.call_id] = entry
    state.limiter.started(now)
    state.pacing.started(now)
    return Start(entry.call)


def _dispatch(state: AdmissionState, now: Millis) -> list[Decision]:
    queue = state.queue
    decisions: list[Decision] = []
    while queue.entries and state.may_start(now):
        entry = queue.next_entry()
        queue.remove(entry)
        if now + entry.cost_ms > entry.call.deadline:
            decisions.append(_refuse_deadline(entry.call, entry.cost_ms, now))
        else:
            decisions.append(_start(state, entry, now))
    return decisions


def _evict(state: AdmissionState, now: Millis) -> Refuse:
    entry, among_workspaces = state.queue.eviction_candidate()
    refusal = _refuse_overload(
        state, entry, now, among_workspaces=among_workspaces
    )
    state.queue.remove(entry)
    return refusal


def _refuse_overload(
    state: AdmissionState,
    entry: QueueEntry,
    now: Millis,
    *,
    among_workspaces: bool = False,
) -> Refuse:
    call = entry.call
    interval_ms = state.pacing.interval_ms
    if interval_ms:
        row, column, limit = state.pacing.cell()
        others = state.queue.entries.keys() - {call.call_id}
        queued_ms = len(others) * interval_ms
        return Refuse(
            call,
            RefusalCode.overloaded,
            row=row,
            column=column,
            limit=limit,
            # The queued calls start before one that returns.
            retry_after=state.pacing.wait_ms(now) + queued_ms,
        )
    return Refuse(
        call,
        RefusalCode.overloaded,
        row=call.workspace if among_workspaces else call.row,
        column='weight' if among_workspaces else 'importance',
        figure=state.expected_wait_ms(),
        limit=state.max_queue_wait_ms,
        retry_after=state.max_queue_wait_ms,
    )


def _refuse_deadline(call: QueuedCall, needed_ms: float, now: Millis) -> Refuse:
    return Refuse(
        call,
        RefusalCode.deadline_exceeded,
        row=call.row,
        column='timeout_ms',
        figure=needed_ms,
        limit=call.deadline - now,
    )


def _refuse_all(
    state: AdmissionState,
    entries: Iterable[QueueEntry],
    code: RefusalCode,
) -> list[Decision]:
    decisions: list[Decision] = []
    for entry in entries:
        state.queue.remove(entry)
        decisions.append(Refuse(entry.call, code))
    return decisions
