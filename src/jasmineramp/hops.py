"""Run calls on the local instance through its admission queue."""

from collections.abc import Iterable

from jasmineramp import admission, membership, retries
from jasmineramp.admission import AdmissionState, Decision, Refuse, Start
from jasmineramp.call_messages import (
    Attempt,
    AttemptKind,
    CallHeader,
    CancelRun,
    Decide,
    HopArrived,
    HopRefused,
    RunHere,
)
from jasmineramp.clock import Millis, later
from jasmineramp.effects import Effect, EventKind, RecordEvent
from jasmineramp.fair_queue import QueuedCall
from jasmineramp.ids import CallId, ContextToken, KeyDigest
from jasmineramp.limits import CallOutcome, Limiter
from jasmineramp.load_reports import LoadReport
from jasmineramp.membership_messages import Upstream, UpstreamState
from jasmineramp.refusals import Refusal, RefusalCode
from jasmineramp.state import NodeState, PendingHop, RunningCall
from jasmineramp.table import LEAST_IMPORTANCE

# Bounds the memory of the call ids that detect repeated messages; a repeat
# arrives within seconds, if at all.
MAX_RECENT_HOPS = 20_000

_OUTCOMES = {
    AttemptKind.answered: CallOutcome.succeeded,
    AttemptKind.shed: CallOutcome.shed,
    AttemptKind.timed_out: CallOutcome.timed_out,
    AttemptKind.cancelled: CallOutcome.cancelled,
}


def announce(
    state: NodeState,
    upstream: Upstream,
    now: Millis,
) -> list[Effect]:
    """Apply an announcement of the local upstream."""
    if state.stopping:
        # The node has left the membership; an announcement must not rejoin it.
        return []
    effects = membership.announce(state.membership, upstream, now)
    previous = state.upstream
    state.upstream = upstream
    if upstream == previous:
        return effects
    effects.append(
        RecordEvent(
            EventKind.upstream_changed,
            {
                'upstream': upstream.service,
                'state': upstream.state.name,
                'slots': upstream.slots,
            },
        ),
    )
    if previous is not None and previous.service != upstream.service:
        effects += _refuse_queued(state, now)
    if upstream.state is UpstreamState.draining:
        return effects + drain(state, now)
    if state.admission is None:
        limiter = Limiter(upstream.slots, upstream.connections)
        state.admission = AdmissionState(limiter)
        return effects
    decisions = admission.resize(
        state.admission,
        upstream.slots,
        upstream.connections,
        now,
    )
    return effects + _apply_decisions(state, decisions, now)


def drain(state: NodeState, now: Millis) -> list[Effect]:
    """Refuse queued and new calls; let running calls finish."""
    if state.admission is None:
        return []
    return _apply_decisions(state, admission.drain(state.admission), now)


def _refuse_queued(state: NodeState, now: Millis) -> list[Effect]:
    """Refuse the queued calls to the service of the previous upstream."""
    if state.admission is None:
        return []
    decisions = admission.withdraw(
        state.admission,
        lambda call: True,
        now,
        RefusalCode.draining,
    )
    return _apply_decisions(state, decisions, now)


def handle_hop(
    state: NodeState, event: HopArrived, now: Millis
) -> list[Effect]:
    """Admit or refuse a call sent by another node."""
    header = event.header
    if header.call_id in state.recent_hops:
        # The transport may repeat a message; only the first is answered.
        # A call that was cancelled before it arrived needs no answer.
        return []
    _record_hop(state, header.call_id)
    return offer(state, header, event.nonce, header.call_id, now)


def _record_hop(state: NodeState, call_id: CallId) -> None:
    state.recent_hops[call_id] = None
    if len(state.recent_hops) > MAX_RECENT_HOPS:
        state.recent_hops.popitem(last=False)


def offer(
    state: NodeState,
    header: CallHeader,
    nonce: str,
    waiter_id: CallId,
    now: Millis,
) -> list[Effect]:
    """Offer an attempt to the admission queue of the local instance."""
    queue = state.admission
    upstream = state.upstream
    if queue is None or upstream is None or upstream.service != header.service:
        refusal = Refusal(RefusalCode.no_upstream, row=header.row)
        return [Decide(waiter_id, HopRefused(refusal, report_load(state, now)))]
    if state.refuse_hops_at is not None and now >= state.refuse_hops_at:
        refusal = Refusal(RefusalCode.draining, row=header.row)
        return [Decide(waiter_id, HopRefused(refusal, report_load(state, now)))]
    if is_key_withdrawn(state, header):
        refusal = Refusal(RefusalCode.key_unknown, row=header.workspace)
        return [Decide(waiter_id, HopRefused(refusal, report_load(state, now)))]
    deadline = later(now, header.remaining_ms)
    state.pending_hops[header.call_id] = PendingHop(
        header,
        nonce,
        deadline,
        waiter_id,
    )
    queued = QueuedCall(
        call_id=header.call_id,
        workspace=header.workspace,
        row=header.row,
        importance=header.importance,
        hop=header.hop,
        deadline=deadline,
        weight=header.weight,
        request_id=header.request_id,
        key=header.key,
    )
    return _apply_decisions(state, admission.offer(queue, queued, now), now)


def is_key_withdrawn(state: NodeState, header: CallHeader) -> bool:
    """Return whether the workspace of a call no longer has its key.

    A node with an older revision may not know the key yet and trusts the
    sender.
    """
    if not header.key or header.revision > state.configuration.revision:
        return False
    return state.keys.find_workspace(header.key) != header.workspace


def finish(
    state: NodeState,
    call_id: CallId,
    attempt: Attempt,
    now: Millis,
) -> list[Effect]:
    """End an attempt that ran on the local instance."""
    running = state.running.pop(call_id, None)
    if running is None:
        return []
    state.contexts.pop(running.context, None)
    retries.forget_token(state.retries, running.context)
    if state.admission is None:
        return []
    outcome = _OUTCOMES.get(attempt.kind, CallOutcome.failed)
    return _apply_decisions(
        state,
        admission.finish(state.admission, call_id, outcome, now),
        now,
    )


def cancel_remote(
    state: NodeState,
    call_id: CallId,
    now: Millis,
) -> list[Effect]:
    """Cancel an attempt that another node abandoned, even before it arrives."""
    if call_id not in state.recent_hops:
        _record_hop(state, call_id)
    return cancel(state, call_id, now)


def cancel(state: NodeState, call_id: CallId, now: Millis) -> list[Effect]:
    """Cancel an attempt that is no longer awaited."""
    if call_id in state.running:
        return [CancelRun(call_id)]
    if state.admission is None:
        return []
    return _apply_decisions(
        state, admission.cancel(state.admission, call_id), now
    )


def withdraw_keys(
    state: NodeState,
    withdrawn: frozenset[KeyDigest],
    now: Millis,
) -> list[Effect]:
    """Refuse queued calls whose key is no longer granted."""
    if state.admission is None or not withdrawn:
        return []
    decisions = admission.withdraw(
        state.admission,
        lambda call: call.key in withdrawn,
        now,
        RefusalCode.key_unknown,
    )
    return _apply_decisions(state, decisions, now)


def tick(state: NodeState, now: Millis) -> list[Effect]:
    """Refuse queued calls past their deadline."""
    if state.admission is None:
        return []
    return _apply_decisions(state, admission.expire(state.admission, now), now)


def report_load(state: NodeState, now: Millis) -> LoadReport:
    """Return the load report to send with an answer."""
    queue = state.admission
    if queue is None:
        return LoadReport(shed_level=LEAST_IMPORTANCE)
    return LoadReport(
        queued=len(queue.queue.entries),
        capacity=admission.capacity(queue),
        shed_level=admission.shed_level(queue, now),
    )


def _apply_decisions(
    state: NodeState,
    decisions: Iterable[Decision],
    now: Millis,
) -> list[Effect]:
    effects: list[Effect] = []
    for decision in decisions:
        pending = state.pending_hops.get(decision.call.call_id)
        if pending is None:
            continue
        if isinstance(decision, Start):
            effects.append(_start(state, pending))
        elif isinstance(decision, Refuse):
            effects.append(_refuse(state, pending, decision, now))
    return effects


def _start(state: NodeState, pending: PendingHop) -> Effect:
    header = pending.header
    state.pending_hops.pop(header.call_id)
    context = ContextToken(f'{header.call_id}-{pending.nonce}')
    running = RunningCall(header, pending.deadline, context)
    state.running[header.call_id] = running
    state.contexts[context] = running
    port = state.upstream.port if state.upstream else 0
    return Decide(
        pending.waiter_id,
        RunHere(header, context, port, pending.deadline),
    )


def _refuse(
    state: NodeState,
    pending: PendingHop,
    decision: Refuse,
    now: Millis,
) -> Effect:
    state.pending_hops.pop(pending.header.call_id)
    refusal = Refusal(
        decision.code,
        row=decision.row or pending.header.row,
        column=decision.column,
        figure=decision.figure,
        limit=decision.limit,
        retry_after=decision.retry_after,
        node=state.node,
        revision=state.configuration.revision,
        request_id=pending.header.request_id,
    )
    return Decide(
        pending.waiter_id, HopRefused(refusal, report_load(state, now))
    )
