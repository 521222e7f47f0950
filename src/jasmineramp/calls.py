"""Process a call from its arrival at a node to its first attempt."""

from jasmineramp import (
    claim_refusals,
    hops,
    idempotency,
    rates,
    retries,
    routing,
)
from jasmineramp.call_endings import close, refuse, refuse_early
from jasmineramp.call_messages import (
    CallArrived,
    CallHeader,
    Decide,
    Forward,
    Replayed,
)
from jasmineramp.claim_messages import ClaimDecided, ClaimResult, ClaimVerdict
from jasmineramp.clock import Millis, later
from jasmineramp.configuration_state import contact_age, serves_workspace
from jasmineramp.effects import Effect, SendMessage
from jasmineramp.ids import (
    CallId,
    IdempotencyKey,
    Importance,
    KeyDigest,
    RequestId,
    WorkspaceId,
)
from jasmineramp.membership import address_of
from jasmineramp.rates import LoanPending, RateExceeded
from jasmineramp.refusals import Refusal, RefusalCode
from jasmineramp.retries import Retry
from jasmineramp.state import EntryCall, NodeState
from jasmineramp.table import CallRow, call_bucket, workspace_bucket

_NO_WORKSPACE = WorkspaceId('')
_NO_KEY = KeyDigest('')
# Retries by the node itself are numbered from 1.
_REPEAT_ATTEMPT = 0


def handle_call(
    state: NodeState, event: CallArrived, now: Millis
) -> list[Effect]:
    """Admit or refuse a new call."""
    table = state.configuration.table
    if table is None:
        return refuse_early(state, event, RefusalCode.configuration_missing)
    row = state.call_index.find(event.method, event.path)
    if row is None:
        return refuse_early(state, event, RefusalCode.route_unknown)
    if event.context is not None:
        return _handle_onward_call(state, event, row, now)
    if state.stopping:
        return refuse_early(state, event, RefusalCode.draining)
    workspace = _NO_WORKSPACE
    if event.key is not None:
        workspace = state.keys.find_workspace(event.key) or _NO_WORKSPACE
    if not workspace and not row.open:
        missing = event.key is None
        code = RefusalCode.key_missing if missing else RefusalCode.key_unknown
        return refuse_early(state, event, code, row)
    call = _open_call(state, event, row, workspace, now)
    return _check_workspace(state, call, now) or charge_rates(state, call, now)


def _open_call(
    state: NodeState,
    event: CallArrived,
    row: CallRow,
    workspace: WorkspaceId,
    now: Millis,
) -> EntryCall:
    workspace_row = state.workspace_rows.get(workspace)
    weight = workspace_row.weight if workspace_row else 1
    remaining_ms = row.timeout_ms
    if event.remaining_ms is not None:
        remaining_ms = min(remaining_ms, event.remaining_ms)
    header = CallHeader(
        call_id=event.call_id,
        request_id=RequestId(event.call_id),
        service=row.service,
        workspace=workspace,
        row=row.name,
        importance=Importance(row.importance),
        hop=0,
        weight=weight * row.weight,
        remaining_ms=remaining_ms,
        entry=state.node,
        revision=state.configuration.revision,
        key=event.key if event.key and workspace else _NO_KEY,
    )
    call = EntryCall(event, header, row, later(now, remaining_ms))
    state.calls[event.call_id] = call
    retries.open_request(
        state.retries,
        header.request_id,
        row.retries,
        call.deadline,
    )
    return call


def _handle_onward_call(
    state: NodeState,
    event: CallArrived,
    row: CallRow,
    now: Millis,
) -> list[Effect]:
    """Continue a request for which the local upstream runs a call."""
    running = state.contexts.get(event.context) if event.context else None
    if running is None or now >= running.deadline:
        return refuse_early(state, event, RefusalCode.context_unknown, row)
    parent = running.header
    deadline = min(running.deadline, later(now, row.timeout_ms))
    if event.remaining_ms is not None:
        deadline = min(deadline, later(now, event.remaining_ms))
    header = CallHeader(
        call_id=event.call_id,
        request_id=parent.request_id,
        service=row.service,
        workspace=parent.workspace,
        row=row.name,
        importance=parent.importance,
        hop=parent.hop + 1,
        weight=parent.weight,
        remaining_ms=deadline - now,
        entry=parent.entry,
        # A node whose revision is older than that of the parent's sender
        # may not know a key that was granted since.
        revision=max(parent.revision, state.configuration.revision),
        key=parent.key,
    )
    call = EntryCall(event, header, row, Millis(deadline))
    state.calls[event.call_id] = call
    running.onward.add(event.call_id)
    onward = retries.Fingerprint(event.fingerprint)
    if retries.is_repeat(state.retries, running.context, onward):
        call.awaits_repeat_grant = True
        granted, effects = charge(state, call, _REPEAT_ATTEMPT, now)
        if granted is False:
            return refuse_repeat(state, call, now)
        if granted is None:
            return effects
    return charge_rates(state, call, now)


def _check_workspace(
    state: NodeState,
    call: EntryCall,
    now: Millis,
) -> list[Effect]:
    row = state.workspace_rows.get(call.header.workspace)
    if row is None or serves_workspace(state.configuration, row, now):
        return []
    refusal = Refusal(
        RefusalCode.key_unknown,
        row=row.name,
        column='offline_grace_ms',
        figure=contact_age(state.configuration, now),
        limit=row.offline_grace_ms,
    )
    return refuse(state, call, refusal, now)


def charge_rates(
    state: NodeState,
    call: EntryCall,
    now: Millis,
    *,
    parked: bool = False,
) -> list[Effect]:
    """Charge the rates of row and workspace, then continue the call."""
    buckets = [call_bucket(call.row.name)]
    if call.header.hop == 0 and call.header.workspace:
        buckets.append(workspace_bucket(call.header.workspace))
    result = rates.take_tokens(state.rates, buckets, now, parked=parked)
    if isinstance(result, LoanPending):
        if call.loan_deadline is None:
            call.loan_deadline = result.until
            state.parked[call.arrived.call_id] = None
            return list(rates.pending_messages(state.rates, now))
        if now < call.loan_deadline:
            return []
    state.parked.pop(call.arrived.call_id, None)
    if isinstance(result, RateExceeded):
        return _refuse_rate(state, call, result, now)
    if isinstance(result, LoanPending):
        exceeded = rates.describe_excess(state.rates, result.bucket)
        return _refuse_rate(state, call, exceeded, now)
    return _start_claim(state, call, now)


def _refuse_rate(
    state: NodeState,
    call: EntryCall,
    exceeded: RateExceeded,
    now: Millis,
) -> list[Effect]:
    _, _, row = exceeded.bucket.partition(':')
    refusal = Refusal(
        RefusalCode.rate_exceeded,
        row=row,
        column='rate',
        figure=exceeded.held_rate,
        limit=exceeded.limit,
        retry_after=exceeded.retry_after,
    )
    return refuse(state, call, refusal, now)


def resume_parked(state: NodeState, now: Millis) -> list[Effect]:
    """Charge calls that wait for a loan again; call after loans and ticks."""
    effects: list[Effect] = []
    for call_id in list(state.parked):
        call = state.calls.get(call_id)
        if call is None:
            state.parked.pop(call_id)
        else:
            effects += charge_rates(state, call, now, parked=True)
    return effects


def _start_claim(
    state: NodeState, call: EntryCall, now: Millis
) -> list[Effect]:
    if call.row.idempotent:
        return route(state, call, now)
    key = _claim_key(call)
    if key is None:
        refusal = Refusal(
            RefusalCode.idempotency_key_missing,
            row=call.row.name,
            column='idempotent',
        )
        return refuse(state, call, refusal, now)
    claim = idempotency.ClaimCall(
        call.arrived.call_id,
        call.header.workspace,
        key,
        call.arrived.body_digest,
        call.deadline - now,
    )
    return idempotency.claim(state.claims, claim, now)


def _claim_key(call: EntryCall) -> IdempotencyKey | None:
    """Return the key that identifies the effect of a call.

    A service that forwards the key of its caller causes another effect, so
    the row is part of the key. Without a key, the request and the content
    identify an onward call, because a retry of the parent call repeats it.
    """
    arrived = call.arrived
    key = arrived.idempotency_key
    if not call.header.hop:
        return key
    content = key or f'{call.header.request_id}\n{arrived.fingerprint.hex()}'
    return IdempotencyKey(f'{call.row.name}\n{content}')


def handle_claim_decision(
    state: NodeState,
    decided: ClaimDecided,
    now: Millis,
) -> list[Effect]:
    """Continue a call after the decision on its claim."""
    call = state.calls.get(decided.call_id)
    if call is None:
        return idempotency.finish(
            state.claims,
            decided.call_id,
            ClaimResult.not_run,
            now,
        )
    if decided.verdict is ClaimVerdict.granted:
        call.claimed = True
        return route(state, call, now)
    if decided.verdict is ClaimVerdict.ran and decided.response is not None:
        close(state, call)
        replayed = Replayed(
            call.header.request_id,
            decided.status,
            decided.response,
        )
        return [Decide(decided.call_id, replayed)]
    refusal = claim_refusals.describe_refusal(decided)
    return refuse(state, call, refusal, now)


def route(state: NodeState, call: EntryCall, now: Millis) -> list[Effect]:
    """Choose an instance and start the next attempt of the call."""
    service = call.header.service
    importance = call.header.importance
    if now >= call.deadline:
        refusal = Refusal(
            RefusalCode.deadline_exceeded,
            row=call.row.name,
            column='timeout_ms',
        )
        return refuse(state, call, refusal, now)
    if hops.is_key_withdrawn(state, call.header):
        refusal = Refusal(RefusalCode.key_unknown, row=call.header.workspace)
        return refuse(state, call, refusal, now)
    if not call.attempts and not routing.admits(
        state.routing,
        service,
        importance,
        now,
    ):
        refusal = Refusal(
            RefusalCode.overloaded_downstream,
            row=call.row.name,
            column='importance',
            figure=importance,
        )
        return refuse(state, call, refusal, now)
    instance = routing.choose(state.routing, service, call.tried, now)
    if instance is None:
        refusal = Refusal(
            RefusalCode.no_upstream,
            row=call.row.name,
            column='service',
        )
        return refuse(state, call, refusal, now)
    call.attempts += 1
    call.instance = instance
    call.tried |= {instance.node}
    call.attempt_id = CallId(f'{call.arrived.call_id}.{call.attempts}')
    header = CallHeader(
        call_id=call.attempt_id,
        request_id=call.header.request_id,
        service=service,
        workspace=call.header.workspace,
        row=call.header.row,
        importance=importance,
        hop=call.header.hop,
        weight=call.header.weight,
        remaining_ms=call.deadline - now,
        entry=call.header.entry,
        revision=call.header.revision,
        key=call.header.key,
    )
    call_id = call.arrived.call_id
    if instance.node == state.node:
        nonce = call.arrived.nonce
        return hops.offer(state, header, nonce, call_id, now)
    address = address_of(state.membership, instance.node)
    forward = Forward(header, instance.node, address, call.deadline)
    return [Decide(call_id, forward)]


def charge(
    state: NodeState,
    call: EntryCall,
    attempt: int,
    now: Millis,
) -> tuple[bool | None, list[Effect]]:
    """Charge a retry to the ledger of the request.

    Return None if the entry node of the request must be asked first.
    """
    request_id = call.header.request_id
    if call.header.entry == state.node:
        return retries.spend(state.retries, request_id, now), []
    retry = Retry(call.arrived.call_id, attempt)
    request = retries.request_retry(state.retries, request_id, retry, now)
    state.pending_charges[retry] = call.arrived.call_id
    return None, [SendMessage(call.header.entry, request)]


def refuse_repeat(
    state: NodeState,
    call: EntryCall,
    now: Millis,
) -> list[Effect]:
    """Refuse a repeated call for which the ledger grants no retry."""
    refusal = Refusal(
        RefusalCode.retries_exhausted,
        row=call.row.name,
        column='retries',
    )
    return refuse(state, call, refusal, now)
