"""End attempts of calls and retry them within the limit of the ledger."""

from jasmineramp import hops, idempotency, retries, routing, routing_outcomes
from jasmineramp.call_endings import close, finish_claim, refuse
from jasmineramp.call_messages import (
    Attempt,
    AttemptEnded,
    AttemptKind,
    CancelCall,
    Decide,
    Deliver,
    Refused,
    RetryLater,
)
from jasmineramp.calls import charge, charge_rates, refuse_repeat, route
from jasmineramp.claim_messages import ClaimResult
from jasmineramp.clock import Millis
from jasmineramp.effects import Effect, EventKind, RecordEvent, SendMessage
from jasmineramp.ids import CallId, NodeId
from jasmineramp.refusals import Refusal, RefusalCode, RunState
from jasmineramp.retries import FailedCall, Retry, RetryAfter
from jasmineramp.state import EntryCall, NodeState

_OUTCOMES = {
    AttemptKind.answered: routing_outcomes.CallOutcome.succeeded,
    AttemptKind.shed: routing_outcomes.CallOutcome.shed,
    AttemptKind.refused: routing_outcomes.CallOutcome.shed,
    AttemptKind.cancelled: routing_outcomes.CallOutcome.cancelled,
}
_ABORTED_KINDS = frozenset(
    (AttemptKind.cancelled, AttemptKind.timed_out, AttemptKind.lost),
)
_DEFAULT_REFUSALS = {
    AttemptKind.shed: Refusal(RefusalCode.overloaded, RunState.unknown),
    AttemptKind.unreachable: Refusal(RefusalCode.upstream_lost),
    AttemptKind.lost: Refusal(RefusalCode.upstream_lost, RunState.unknown),
    AttemptKind.timed_out: Refusal(
        RefusalCode.deadline_exceeded,
        RunState.unknown,
    ),
    AttemptKind.cancelled: Refusal(RefusalCode.cancelled, RunState.unknown),
}


def end_attempt(
    state: NodeState,
    event: AttemptEnded,
    now: Millis,
) -> list[Effect]:
    """Deliver the response of an attempt, retry the call or refuse it."""
    call = state.calls.get(event.call_id)
    if call is None:
        return _refuse_closed_call(event.call_id)
    if call.instance is None:
        return []
    attempt = event.attempt
    node = call.instance.node
    effects: list[Effect] = []
    if node == state.node:
        effects += end_run(state, call.attempt_id, attempt, now)
    _record_outcome(state, call, attempt, now)
    if attempt.kind is AttemptKind.answered:
        close(state, call)
        effects += finish_claim(state, call, attempt, now)
        effects.append(_record_finish(call, attempt, node))
        return effects
    return effects + _plan_retry(state, call, attempt, now)


def end_run(
    state: NodeState,
    call_id: CallId,
    attempt: Attempt,
    now: Millis,
) -> list[Effect]:
    """End a run on the local instance and, if aborted, its onward calls.

    The service may leave the connections of its onward calls open.
    """
    running = state.running.get(call_id)
    effects = hops.finish(state, call_id, attempt, now)
    if running is None or attempt.kind not in _ABORTED_KINDS:
        return effects
    for onward in sorted(running.onward):
        effects += abandon(state, onward, now)
        effects += _refuse_closed_call(onward)
    return effects


def _refuse_closed_call(call_id: CallId) -> list[Effect]:
    """Answer a thread that still waits for an abandoned call."""
    refusal = Refusal(RefusalCode.cancelled, RunState.unknown)
    return [Decide(call_id, Refused(refusal))]


def decide_retry(
    state: NodeState,
    retry: Retry,
    now: Millis,
    *,
    granted: bool,
) -> list[Effect]:
    """Continue a call after its retry was granted or denied."""
    call = state.calls.get(state.pending_charges.pop(retry, CallId('')))
    if call is None:
        return []
    return _apply_retry_decision(state, call, now, granted=granted)


def start_retry(state: NodeState, call_id: CallId, now: Millis) -> list[Effect]:
    """Start the next attempt of a call after its backoff."""
    call = state.calls.get(call_id)
    if call is None:
        return _refuse_closed_call(call_id)
    return route(state, call, now)


def abandon(state: NodeState, call_id: CallId, now: Millis) -> list[Effect]:
    """Abandon a call whose caller no longer waits for it."""
    call = state.calls.get(call_id)
    if call is None:
        return []
    close(state, call)
    effects = idempotency.withdraw(state.claims, call_id, now)
    cancelled = Attempt(AttemptKind.cancelled)
    instance = call.instance
    may_run = call.may_have_run
    if instance is not None and instance.node == state.node:
        effects += hops.cancel(state, call.attempt_id, now)
        if call.attempt_id in state.running:
            # The thread of the call has ended and will not report its end.
            may_run = True
            effects += end_run(state, call.attempt_id, cancelled, now)
    elif instance is not None:
        may_run = True
        cancel = CancelCall(call.attempt_id)
        effects.append(SendMessage(instance.node, cancel))
    _record_outcome(state, call, cancelled, now)
    if may_run or not call.claimed:
        return effects + finish_claim(state, call, cancelled, now)
    claim_end = ClaimResult.not_run
    return effects + idempotency.finish(
        state.claims,
        call_id,
        claim_end,
        now,
    )


def _record_outcome(
    state: NodeState,
    call: EntryCall,
    attempt: Attempt,
    now: Millis,
) -> None:
    instance = call.instance
    if instance is None:
        return
    call.instance = None
    routing_outcomes.record_outcome(
        state.routing,
        instance.node,
        _OUTCOMES.get(attempt.kind, routing_outcomes.CallOutcome.failed),
        now,
        load=attempt.load,
        incarnation=instance.incarnation,
    )


def _plan_retry(
    state: NodeState,
    call: EntryCall,
    attempt: Attempt,
    now: Millis,
) -> list[Effect]:
    refusal = attempt.refusal or _DEFAULT_REFUSALS[attempt.kind]
    if refusal.run is not RunState.not_run:
        call.may_have_run = True
    service = call.header.service
    failed = FailedCall(
        attempt=call.attempts,
        code=refusal.code,
        run=refusal.run,
        idempotent=call.row.idempotent,
        deadline=call.deadline,
        has_other_instance=routing.has_untried_instance(
            state.routing, service, call.tried
        ),
        all_overloaded=routing.all_shed(
            state.routing,
            service,
            call.header.importance,
            now,
        ),
    )
    plan = retries.plan_retry(failed, state.random, now)
    if isinstance(plan, RetryAfter):
        call.last_failure = attempt
        call.retry_delay = plan.delay
        granted, effects = charge(state, call, call.attempts, now)
        if granted is None:
            return effects
        return _apply_retry_decision(state, call, now, granted=granted)
    return _fail(state, call, attempt, now)


def _apply_retry_decision(
    state: NodeState,
    call: EntryCall,
    now: Millis,
    *,
    granted: bool,
) -> list[Effect]:
    fields = {
        'request_id': call.header.request_id,
        'row': call.row.name,
        'granted': granted,
    }
    effects: list[Effect] = [RecordEvent(EventKind.retry_decided, fields)]
    if call.awaits_repeat_grant:
        call.awaits_repeat_grant = False
        if granted:
            return effects + charge_rates(state, call, now)
        return effects + refuse_repeat(state, call, now)
    if granted:
        decision = RetryLater(call.retry_delay)
        return [*effects, Decide(call.arrived.call_id, decision)]
    return effects + _fail(state, call, call.last_failure, now)


def _fail(
    state: NodeState,
    call: EntryCall,
    attempt: Attempt | None,
    now: Millis,
) -> list[Effect]:
    attempt = attempt or Attempt(AttemptKind.lost)
    if attempt.kind is AttemptKind.shed:
        close(state, call)
        return [
            Decide(call.arrived.call_id, Deliver()),
            *finish_claim(state, call, attempt, now),
        ]
    refusal = attempt.refusal or _DEFAULT_REFUSALS[attempt.kind]
    return refuse(state, call, refusal, now)


def _record_finish(
    call: EntryCall,
    attempt: Attempt,
    node: NodeId,
) -> RecordEvent:
    return RecordEvent(
        EventKind.call_finished,
        {
            'request_id': call.header.request_id,
            'workspace': call.header.workspace,
            'upstream': call.header.service,
            'hop': call.header.hop,
            'instance': node,
            'attempts': call.attempts,
            'status': attempt.status,
        },
    )
