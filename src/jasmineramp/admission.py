"""Decide which calls of one instance start, wait or are refused."""

from collections.abc import Callable, Iterable

import msgspec

from jasmineramp.clock import MILLIS_PER_SECOND, ORIGIN, Millis, later
from jasmineramp.fair_queue import Entry, FairQueue, QueuedCall
from jasmineramp.ids import CallId, Importance, NodeId, ServiceName
from jasmineramp.limits import (
    CallOutcome,
    LatencySample,
    Limiter,
    ServiceTimes,
)
from jasmineramp.refusals import RefusalCode
from jasmineramp.table import LEAST_IMPORTANCE

QUEUE_BOUND = 200
QUEUE_CAPACITY = 1000
# A queue that is this full evicts within milliseconds at 3 times the demand.
SHED_FILL = 0.75
SHED_VALIDITY = 1000
PROBE_INTERVAL = 50


class Decision(msgspec.Struct, frozen=True, gc=False):
    """Base of what the queue decides on a call."""

    call: QueuedCall


class Start(Decision, frozen=True, gc=False):
    """Send the call to the upstream now."""


class Wait(Decision, frozen=True, gc=False):
    """Keep the call until a later decision on it."""


class Refuse(Decision, frozen=True, gc=False):
    """Refuse the call, which has not run; times are milliseconds.

    Row and column name the table cell that decided.
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
        queue_bound: float = QUEUE_BOUND,
        queue_capacity: int = QUEUE_CAPACITY,
    ) -> None:
        self.limiter = limiter
        self.queue_bound = queue_bound
        self.queue_capacity = queue_capacity
        self.service_times = ServiceTimes()
        self.running: dict[CallId, Entry] = {}
        self.queue = FairQueue()
        self.draining = False

    def expected_wait(self) -> float:
        """Return the expected wait of the last queued call in ms."""
        return self.queue.work / self.limiter.limit

    def fill(self) -> float:
        """Return how full the queue is; above 1 it evicts calls."""
        return max(
            self.expected_wait() / self.queue_bound,
            len(self.queue.entries) / self.queue_capacity,
        )


def offer(
    state: AdmissionState,
    call: QueuedCall,
    now: Millis,
) -> list[Decision]:
    """Decide on a new call; decisions on other calls follow in the list.

    A call id that is already running or queued yields no decision.
    """
    queue = state.queue
    if call.call_id in state.running or call.call_id in queue.entries:
        return []
    if state.draining:
        return [Refuse(call, RefusalCode.draining)]
    cost = state.service_times.expected(call.row, now)
    if now + cost > call.deadline:
        return [_refuse_deadline(call, cost, now)]
    entry = queue.entry(call, cost, now)
    if not queue.entries and len(state.running) + 1 <= state.limiter.limit:
        return [_start(state, entry, now)]
    wait = _expected_start(state, entry, now)
    if now + wait + cost > call.deadline:
        return [_refuse_deadline(call, wait + cost, now)]
    queue.insert(entry)
    decisions = _dispatch(state, now)
    while state.fill() > 1:
        decisions.append(_evict(state))
    own = [decision for decision in decisions if decision.call is call]
    others = [decision for decision in decisions if decision.call is not call]
    return (own or [Wait(call)]) + others


def finish(
    state: AdmissionState,
    call_id: CallId,
    outcome: CallOutcome,
    now: Millis,
) -> list[Decision]:
    """End a running call and start queued ones in its place."""
    entry = state.running.pop(call_id, None)
    if entry is None:
        return []
    latency = now - entry.since
    row = entry.call.row
    state.queue.settle(entry, latency)
    state.limiter.finished(LatencySample(latency, outcome, row), now)
    if outcome is CallOutcome.succeeded or outcome is CallOutcome.timed_out:
        state.service_times.record(row, latency, now)
    return _dispatch(state, now) if state.queue.entries else []


def expire(state: AdmissionState, now: Millis) -> list[Decision]:
    """Refuse queued calls that have no chance any more; call every tick."""
    decisions = _dispatch(state, now)
    overdue = 0
    oldest = now - state.queue_bound
    for entry in list(state.queue.entries.values()):
        if now + entry.cost > entry.call.deadline:
            state.queue.remove(entry)
            decisions.append(_refuse_deadline(entry.call, entry.cost, now))
        elif entry.since <= oldest:
            overdue = max(overdue, entry.call.importance)
    # Calls below an overdue one stand behind it. They are refused with it,
    # so that no important call is refused while a less important one waits.
    for queued in list(state.queue.entries.values()):
        late = queued.since <= oldest and queued.call.importance == overdue
        if late or queued.call.importance < overdue:
            decisions.append(_refuse_overload(state, queued))
            state.queue.remove(queued)
    state.queue.drop_idle()
    return decisions


def withdraw(
    state: AdmissionState,
    predicate: Callable[[QueuedCall], bool],
    now: Millis,
    code: RefusalCode = RefusalCode.cancelled,
) -> list[Decision]:
    """Refuse the queued calls that match, as for a withdrawn key."""
    entries = [
        entry for entry in state.queue.entries.values() if predicate(entry.call)
    ]
    return _refuse_all(state, entries, code)


def cancel(state: AdmissionState, call_id: CallId) -> list[Decision]:
    """Refuse one queued call whose caller has gone."""
    entry = state.queue.entries.get(call_id)
    entries = [] if entry is None else [entry]
    return _refuse_all(state, entries, RefusalCode.cancelled)


def drain(state: AdmissionState) -> list[Decision]:
    """Refuse the queued calls and every later one; running calls finish."""
    state.draining = True
    entries = list(state.queue.entries.values())
    return _refuse_all(state, entries, RefusalCode.draining)


def resize(
    state: AdmissionState,
    slots: int,
    connections: int | None,
    now: Millis,
) -> list[Decision]:
    """Adopt announced slots and connections and accept calls (again)."""
    state.draining = False
    state.limiter.resize(slots, connections)
    return _dispatch(state, now)


def capacity(state: AdmissionState) -> float:
    """Return the calls a second at full use, 0 when it is not known."""
    overall = state.service_times.overall
    if overall.updated == ORIGIN or overall.mean <= 0:
        return 0
    return state.limiter.limit / overall.mean * MILLIS_PER_SECOND


def shed_level(state: AdmissionState, now: Millis) -> Importance:
    """Return the importance below which calls are currently refused.

    It is the least importance, which refuses nothing, unless the queue is
    nearly full. A full queue refuses whatever is below its last call.
    """
    if state.fill() < SHED_FILL:
        return LEAST_IMPORTANCE
    return state.queue.least_importance()


class _InstanceLevel(msgspec.Struct, frozen=True, gc=False):
    """Hold the shed level of one instance until it lapses."""

    level: Importance
    until: Millis


class ShedLevels:
    """Refuse calls early at the entry node, by the instances' shed levels."""

    def __init__(self) -> None:
        self.services: dict[ServiceName, dict[NodeId, _InstanceLevel]] = {}
        self.refusals: dict[ServiceName, int] = {}

    def observe(
        self,
        service: ServiceName,
        node: NodeId,
        level: Importance,
        now: Millis,
    ) -> None:
        """Adopt the shed level that a response of an instance carries."""
        levels = self.services.setdefault(service, {})
        levels[node] = _InstanceLevel(level, later(now, SHED_VALIDITY))

    def level(self, service: ServiceName, now: Millis) -> Importance:
        """Return the least valid level among the instances of a service.

        A call may run on the instance that sheds the least.
        """
        levels = self.services.get(service)
        if not levels:
            return LEAST_IMPORTANCE
        return min(
            (entry.level for entry in levels.values() if entry.until > now),
            default=LEAST_IMPORTANCE,
        )

    def refuses(
        self,
        service: ServiceName,
        importance: Importance,
        now: Millis,
    ) -> bool:
        """Tell whether to refuse a call; 1 in 50 goes through as a probe."""
        if importance >= self.level(service, now):
            return False
        count = self.refusals.get(service, 0) + 1
        self.refusals[service] = count % PROBE_INTERVAL
        return count < PROBE_INTERVAL

    def expire(self, now: Millis) -> None:
        """Forget lapsed levels; call every tick."""
        for service, levels in list(self.services.items()):
            for node, entry in list(levels.items()):
                if entry.until <= now:
                    del levels[node]
            if not levels:
                del self.services[service]


def _expected_start(
    state: AdmissionState,
    entry: Entry,
    now: Millis,
) -> float:
    wait = state.expected_wait()
    # The order matters only when the whole queue would take too long.
    if now + wait + entry.cost <= entry.call.deadline:
        return wait
    return state.queue.work_ahead(entry) / state.limiter.limit


def _start(state: AdmissionState, entry: Entry, now: Millis) -> Start:
    state.queue.charge(entry)
    entry.since = now
    state.running[entry.call.call_id] = entry
    state.limiter.started(now)
    return Start(entry.call)


def _dispatch(state: AdmissionState, now: Millis) -> list[Decision]:
    queue = state.queue
    decisions: list[Decision] = []
    while queue.entries and len(state.running) + 1 <= state.limiter.limit:
        entry = queue.first()
        queue.remove(entry)
        if now + entry.cost > entry.call.deadline:
            decisions.append(_refuse_deadline(entry.call, entry.cost, now))
        else:
            decisions.append(_start(state, entry, now))
    return decisions


def _evict(state: AdmissionState) -> Refuse:
    entry, among_equals = state.queue.last()
    refuse = _refuse_overload(state, entry, among_equals=among_equals)
    state.queue.remove(entry)
    return refuse


def _refuse_overload(
    state: AdmissionState,
    entry: Entry,
    *,
    among_equals: bool = False,
) -> Refuse:
    call = entry.call
    return Refuse(
        call,
        RefusalCode.overloaded,
        row=call.workspace if among_equals else call.row,
        column='weight' if among_equals else 'importance',
        figure=state.expected_wait(),
        limit=state.queue_bound,
        retry_after=state.queue_bound,
    )


def _refuse_deadline(call: QueuedCall, needed: float, now: Millis) -> Refuse:
    return Refuse(
        call,
        RefusalCode.deadline_exceeded,
        row=call.row,
        column='timeout_ms',
        figure=needed,
        limit=call.deadline - now,
    )


def _refuse_all(
    state: AdmissionState,
    entries: Iterable[Entry],
    code: RefusalCode,
) -> list[Decision]:
    decisions: list[Decision] = []
    for entry in entries:
        state.queue.remove(entry)
        decisions.append(Refuse(entry.call, code))
    return decisions
