"""Turn answers and refusals at an instance into results of calls."""

from jasmineramp.admission import Refuse
from jasmineramp.limits import CallOutcome
from jasmineramp.mesh.calls import (
    Answer,
    CallResult,
    Failure,
    ResponseHead,
    run_unknown_failure,
)
from jasmineramp.refusals import RefusalCode, RunState

MISDIRECTED_REQUEST_STATUS = 421


def result_of_answer(answer: Answer, head: ResponseHead) -> CallResult:
    """Return an answer of an upstream, or why it does not count as one."""
    if head.not_run or answer.status == MISDIRECTED_REQUEST_STATUS:
        return Failure(
            RefusalCode.overloaded,
            RunState.not_run,
            f'upstream refused with status {answer.status}',
            may_have_arrived=True,
        )
    if not head.has_signature or head.is_encoded:
        # The response has no signature header or has a content encoding.
        return run_unknown_failure(
            RefusalCode.upstream_lost, 'response is not genuine'
        )
    return answer


def outcome_of(result: CallResult) -> CallOutcome:
    """Return the outcome of a call for the concurrency limit."""
    if isinstance(result, Answer):
        if result.is_server_error():
            return CallOutcome.failed
        return CallOutcome.succeeded
    if result.code is RefusalCode.deadline_exceeded:
        return CallOutcome.timed_out
    if result.run is RunState.not_run:
        return CallOutcome.shed
    return CallOutcome.failed


def failure_of(refusal: Refuse) -> Failure:
    """Return a refusal by the queue as the result of the call."""
    return Failure(
        refusal.code,
        RunState.not_run,
        row=refusal.row,
        column=refusal.column,
        figure=refusal.figure,
        limit=refusal.limit,
        retry_after_ms=refusal.retry_after,
    )
