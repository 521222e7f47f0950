"""Record the outcomes of calls and the load reports in their replies."""

import enum

from jasmineramp.clock import Millis
from jasmineramp.ids import NodeId
from jasmineramp.load_reports import LoadReport
from jasmineramp.outlier_ejection import record_failure, record_success
from jasmineramp.routing import RoutingState
from jasmineramp.routing_restrictions import record_cold
from jasmineramp.routing_targets import Service, Target

REPORT_LIFETIME_MS = 1_000
MIN_CAPACITY_CHANGE_RATIO = 0.1
REBUILD_DELAY_MS = 500


class CallOutcome(enum.Enum):
    """Outcome of a call to an instance."""

    succeeded = 'succeeded'
    failed = 'failed'
    shed = 'shed'
    cancelled = 'cancelled'


def record_outcome(
    state: RoutingState,
    node: NodeId,
    outcome: CallOutcome,
    now: Millis,
    *,
    load: LoadReport | None = None,
    incarnation: int | None = None,
) -> None:
    """End a call on an instance and update its failure rate and load.

    The outcome of a call to an earlier incarnation is ignored, since it says
    nothing about the current one.
    """
    target = state.targets.get(node)
    if target is None:
        return
    target.in_flight = max(0, target.in_flight - 1)
    service = state.services.get(target.instance.upstream.service)
    if service is None or node not in service.targets:
        if not target.in_flight:
            state.targets.pop(node)
        return
    if incarnation not in {None, target.instance.incarnation}:
        return
    if load is not None:
        _record_use(state, target, load, outcome, now)
        _record_report(service, target, load, now)
        record_cold(state, node, load.cold_per_s, load.cold_ms, now)
    if outcome is CallOutcome.succeeded:
        record_success(service, target)
    elif outcome is CallOutcome.failed:
        record_failure(service, target, now)


def _record_use(
    state: RoutingState,
    target: Target,
    load: LoadReport,
    outcome: CallOutcome,
    now: Millis,
) -> None:
    name = target.instance.upstream.service
    is_estimated = state.services[name].uses_estimates and target.has_report()
    if is_estimated and load.limit:
        state.estimate_metrics.record(
            name,
            state.services[name].estimate(target, now),
            load.busy / load.limit,
        )
    has_refused = outcome is CallOutcome.shed
    target.estimate.record(load, now, has_refused=has_refused)


def _record_report(
    service: Service,
    target: Target,
    load: LoadReport,
    now: Millis,
) -> None:
    # A wrong report must not keep an instance idle for long or attract every
    # call, so the queue is bounded by the slots and the report expires soon.
    target.queued = min(max(load.queued, 0), target.slots)
    # An instance that is not healthy counts as full.
    if not load.healthy:
        target.queued = max(target.queued, 1)
    change = abs(load.capacity - target.capacity)
    if now < target.cold_limit_until:
        target.adapt_cold_interval(is_full=load.queued > 0)
    if (
        load.capacity > 0
        # A cold instance serves its measured capacity again afterwards.
        and not load.cold_per_s
        and change > MIN_CAPACITY_CHANGE_RATIO * target.capacity
    ):
        target.capacity = load.capacity
        service.rebuild_pools_at = min(
            service.rebuild_pools_at, now + REBUILD_DELAY_MS
        )
    target.shed_level = load.shed_level
    target.record_row_time(load.timed_row, load.row_time_ms)
    target.report_valid_until = now + REPORT_LIFETIME_MS
