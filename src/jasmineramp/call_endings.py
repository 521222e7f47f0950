"""End calls: refuse them, close their ledger and finish their claim."""

import msgspec

from jasmineramp import idempotency, retries
from jasmineramp.call_messages import (
    Attempt,
    AttemptKind,
    CallArrived,
    CallHeader,
    Decide,
    Refused,
)
from jasmineramp.claim_messages import ClaimResult
from jasmineramp.clock import Millis
from jasmineramp.effects import CountRefusal, Effect, EventKind, RecordEvent
from jasmineramp.ids import RequestId, RowName, WorkspaceId
from jasmineramp.refusals import Refusal, RefusalCode, RunState
from jasmineramp.state import EntryCall, NodeState
from jasmineramp.table import CallRow

_NO_WORKSPACE = WorkspaceId('')


def refuse(
    state: NodeState,
    call: EntryCall,
    refusal: Refusal,
    now: Millis,
) -> list[Effect]:
    """Refuse a call; release its claim only if the call did not run."""
    if call.may_have_run and refusal.run is RunState.not_run:
        # An earlier attempt may have run, however the last one ended.
        refusal = msgspec.structs.replace(refusal, run=RunState.unknown)
    close(state, call)
    effects: list[Effect] = []
    if call.claimed:
        possibly_ran = refusal.run is not RunState.not_run
        effects += idempotency.finish(
            state.claims,
            call.arrived.call_id,
            ClaimResult.unknown if possibly_ran else ClaimResult.not_run,
            now,
        )
    return effects + _answer_refusal(state, call.arrived, refusal, call.header)


def refuse_early(
    state: NodeState,
    event: CallArrived,
    code: RefusalCode,
    row: CallRow | None = None,
) -> list[Effect]:
    """Refuse a call before an EntryCall exists for it."""
    refusal = Refusal(code, row=row.name if row else '')
    return _answer_refusal(state, event, refusal, None)


def close(state: NodeState, call: EntryCall) -> None:
    """Remove a call; closing the first call of a request ends the request."""
    state.calls.pop(call.arrived.call_id, None)
    state.parked.pop(call.arrived.call_id, None)
    if call.arrived.context is not None:
        running = state.contexts.get(call.arrived.context)
        if running is not None:
            running.onward.discard(call.arrived.call_id)
    if call.header.hop == 0:
        retries.close_request(state.retries, call.header.request_id)


def finish_claim(
    state: NodeState,
    call: EntryCall,
    attempt: Attempt,
    now: Millis,
) -> list[Effect]:
    """Report the end of a claimed call that may have run."""
    if not call.claimed:
        return []
    claim_end = ClaimResult.unknown
    if attempt.kind in {AttemptKind.answered, AttemptKind.shed}:
        claim_end = ClaimResult.done
    return idempotency.finish(
        state.claims,
        call.arrived.call_id,
        claim_end,
        now,
        status=attempt.status,
        response=attempt.response,
    )


def _answer_refusal(
    state: NodeState,
    event: CallArrived,
    refusal: Refusal,
    header: CallHeader | None,
) -> list[Effect]:
    request_id = header.request_id if header else RequestId(event.call_id)
    full_refusal = Refusal(
        refusal.code,
        refusal.run,
        row=refusal.row,
        column=refusal.column,
        figure=refusal.figure,
        limit=refusal.limit,
        retry_after=refusal.retry_after,
        node=refusal.node or state.node,
        revision=refusal.revision or state.configuration.revision,
        request_id=request_id,
    )
    workspace = header.workspace if header else _NO_WORKSPACE
    fields = {
        'request_id': request_id,
        'workspace': workspace,
        'call': header.row if header else RowName(refusal.row),
        'hop': header.hop if header else 0,
        'code': full_refusal.code.value,
        'run': full_refusal.run.value,
        'row': full_refusal.row,
        'column': full_refusal.column,
        'figure': full_refusal.figure,
        'limit': full_refusal.limit,
        'decided_by': full_refusal.node,
        'revision': full_refusal.revision,
    }
    return [
        Decide(event.call_id, Refused(full_refusal)),
        RecordEvent(EventKind.call_refused, fields),
        CountRefusal(workspace, full_refusal),
    ]
