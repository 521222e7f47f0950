"""Refuse calls at an instance before they reach its queue."""

from jasmineramp.mesh.calls import Failure, UpstreamCall, not_run_failure
from jasmineramp.mesh.retry_budget import RepeatBudget
from jasmineramp.mesh.upstream_state import Announcement
from jasmineramp.refusals import RefusalCode, RunState


def refuse_misrouted(
    call: UpstreamCall, current: Announcement
) -> Failure | None:
    """Refuse a call that is for another upstream than the current one."""
    if current.service != call.service:
        return not_run_failure(
            RefusalCode.no_upstream, 'upstream is of another service'
        )
    if call.instance and call.instance != current.instance:
        return not_run_failure(
            RefusalCode.no_upstream, 'upstream is another instance'
        )
    return None


def charge_repeat(call: UpstreamCall, budget: RepeatBudget) -> Failure | None:
    """Count a call in the repeat budget; refuse a repeat that exceeds it."""
    if not call.is_repeat:
        budget.count_first()
    elif not call.is_resent:
        budget.charge()
    elif not budget.take(call.importance, call.progress):
        return Failure(
            RefusalCode.overloaded,
            RunState.not_run,
            'the service takes no more repeats',
            row=call.row,
            column='retry_ratio',
            is_for_all=True,
            may_have_arrived=True,
        )
    return None
