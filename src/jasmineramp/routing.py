"""Choose the instance of a service that runs a call."""

import enum
import random
from collections.abc import Iterable

from jasmineramp.clock import MILLIS_PER_SECOND, Millis
from jasmineramp.fast_instances import Objective, choose_fast
from jasmineramp.ids import DomainId, Importance, NodeId, ServiceName
from jasmineramp.load_estimates import EstimateMetrics, GroupUse
from jasmineramp.load_reports import LoadReport
from jasmineramp.membership_messages import Instance
from jasmineramp.routing_choice import least_loaded, select
from jasmineramp.routing_targets import (
    MAX_COLD_INTERVAL_MS,
    SLOW_START_MS,
    Pool,
    Service,
    Target,
    is_domain_slow,
    set_weights,
)

# A node that has just started discovers every instance for the first time, so
# instances that it discovers in this time do not count as cold.
INITIAL_DISCOVERY_MS = 5_000
REPORT_LIFETIME_MS = 1_000
PROBE_RATIO = 0.02
MIN_CAPACITY_CHANGE_RATIO = 0.1
REBUILD_DELAY_MS = 500

# Four consecutive failures of an instance without earlier ones exceed the
# ejection failure rate.
FAILURE_SMOOTHING = 0.2
EJECTION_FAILURE_RATE = 0.5
# Failures that all instances share are no reason to eject one of them, so an
# instance must also exceed this multiple of the failure rate of the service.
EJECTION_SERVICE_RATE_FACTOR = 1.5
BASE_EJECTION_MS = 5_000
MAX_EJECTION_MS = 60_000
EJECTION_COUNT_RESET_MS = 120_000


class CallOutcome(enum.Enum):
    """Outcome of a call to an instance."""

    succeeded = 'succeeded'
    failed = 'failed'
    shed = 'shed'
    cancelled = 'cancelled'


class RoutingState:
    """Hold the instances of all services as one entry node knows them."""

    def __init__(
        self,
        domain: DomainId,
        rng: random.Random,
        now: Millis,
    ) -> None:
        self.domain = domain
        self.random = rng
        self.initial_discovery_until = now + INITIAL_DISCOVERY_MS
        self.services: dict[ServiceName, Service] = {}
        self.targets: dict[NodeId, Target] = {}
        self.evacuated: frozenset[DomainId] = frozenset()
        # Nodes of the fleet, 0 if unknown.
        self.nodes = 0
        self.estimate_metrics = EstimateMetrics()


def set_nodes(state: RoutingState, nodes: int) -> None:
    """Set the number of nodes of the fleet, which choose independently."""
    if nodes != state.nodes:
        state.nodes = nodes
        for service in state.services.values():
            service.rebuild_pools_at = 0


def believed_use(
    state: RoutingState, node: NodeId, now: Millis
) -> float | None:
    """Return the estimated use of an instance, None if it is not used."""
    target = state.targets.get(node)
    if target is None or not target.has_report():
        return None
    service = state.services.get(target.instance.upstream.service)
    if service is None or not service.uses_estimates:
        return None
    return service.estimate(target, now)


def set_instances(
    state: RoutingState,
    instances: Iterable[Instance],
    now: Millis,
) -> None:
    """Replace the set of known instances."""
    known = {instance.node: instance for instance in instances}
    for node in list(state.targets):
        if node not in known:
            remove_instance(state, node)
    for instance in known.values():
        put_instance(state, instance, now)


def put_instance(state: RoutingState, instance: Instance, now: Millis) -> None:
    """Add an instance or apply a change to it."""
    cold_until = float(0)
    if now >= state.initial_discovery_until:
        cold_until = now + SLOW_START_MS
    target = state.targets.get(instance.node)
    if target is None:
        target = Target(instance, cold_until)
        state.targets[instance.node] = target
    elif target.instance == instance:
        if _is_listed(state, target):
            return
        target.restart(instance, cold_until)
    else:
        _update_target(state, target, instance, cold_until)
    target.is_evacuated = instance.domain in state.evacuated
    service = state.services.setdefault(instance.upstream.service, Service())
    service.targets[instance.node] = target
    service.rebuild_pools_at = 0


def remove_instance(state: RoutingState, node: NodeId) -> None:
    """Remove an instance; its calls in flight count until they end."""
    target = state.targets.get(node)
    if target is None:
        return
    name = target.instance.upstream.service
    service = state.services.get(name)
    if service is not None and service.targets.pop(node, None) is not None:
        service.rebuild_pools_at = 0
        if not service.targets:
            state.services.pop(name)
    if not target.in_flight:
        state.targets.pop(node)


def set_evacuated(
    state: RoutingState, domains: frozenset[DomainId], now: Millis
) -> None:
    """Exclude the instances of these failure domains and no others.

    Those that come back get calls gradually.
    """
    state.evacuated = domains
    for service in state.services.values():
        for target in service.targets.values():
            was_evacuated = target.is_evacuated
            target.is_evacuated = target.instance.domain in domains
            if was_evacuated and not target.is_evacuated:
                target.cold_until = now + SLOW_START_MS
        service.rebuild_pools_at = 0


def nodes_in_domain(
    state: RoutingState, service_name: ServiceName, domain: DomainId
) -> frozenset[NodeId]:
    """Return the nodes of a failure domain with an instance of a service."""
    service = state.services.get(service_name, Service())
    return frozenset(
        node
        for node, target in service.targets.items()
        if target.instance.domain == domain
    )


def choose(
    state: RoutingState,
    service_name: ServiceName,
    exclude: frozenset[NodeId],
    now: Millis,
    *,
    is_large: bool = False,
    objective: Objective | None = None,
) -> Instance | None:
    """Choose an instance and count the call as in flight on it.

    Return None if no instance is usable. An instance of another domain is
    considered if no local instance is usable, the chosen one is full or the
    local domain is slow. A slow domain alone does not suffice for a call with
    a large body (is_large). The caller must end the call with record_outcome,
    whatever its outcome.
    """
    service = state.services.get(service_name)
    if service is None:
        return None
    if now >= service.rebuild_pools_at:
        _rebuild(state, service, now)
    target = None
    if objective is not None:
        target = choose_fast(
            state.random,
            service,
            objective,
            exclude,
            now,
            domain=state.domain,
            nodes=max(state.nodes, len(state.targets)),
            is_large=is_large,
        )
    if target is None:
        target = select(state.random, service, exclude, now, is_large=is_large)
    if target is None:
        target = _least_loaded_ready(service, exclude, now)
        if target is None:
            return None
    target.in_flight += 1
    target.count_cold_call(now)
    target.estimate.count_sent(now)
    if service.uses_estimates and target.instance.domain != state.domain:
        state.estimate_metrics.left_domain[service_name] += 1
    return target.instance


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
        target.failure_rate -= FAILURE_SMOOTHING * target.failure_rate
        service.failure_rate -= (
            FAILURE_SMOOTHING * service.failure_rate / len(service.targets)
        )
    elif outcome is CallOutcome.failed:
        _record_failure(service, target, now)


def record_cold(
    state: RoutingState,
    node: NodeId,
    per_s: float,
    cold_ms: float,
    now: Millis,
) -> None:
    """Limit the calls to an instance that is cold; end the limit if not."""
    target = state.targets.get(node)
    if target is None or not (per_s or now < target.cold_limit_until):
        return
    first_interval_ms = float(0)
    if per_s:
        # The nodes of its domain, which call it most, learn it at once and
        # must not call it at once.
        domain = target.instance.domain
        nodes = sum(
            each.instance.domain == domain for each in state.targets.values()
        )
        mean_ms = nodes * MILLIS_PER_SECOND / per_s
        first_interval_ms = min(
            MAX_COLD_INTERVAL_MS, mean_ms * state.random.random() * 2
        )
    target.limit_cold(per_s, cold_ms, first_interval_ms, now)


def has_untried_instance(
    state: RoutingState,
    service_name: ServiceName,
    exclude: frozenset[NodeId],
) -> bool:
    """Return whether there is a ready instance that is not excluded."""
    service = state.services.get(service_name)
    return service is not None and any(
        target.is_ready() and node not in exclude
        for node, target in service.targets.items()
    )


def all_shed(
    state: RoutingState,
    service_name: ServiceName,
    importance: Importance,
    now: Millis,
) -> bool:
    """Return whether all ready instances shed calls of this importance.

    The result is False if no instance is ready.
    """
    service = state.services.get(service_name)
    if service is None:
        return False
    any_ready = False
    for target in service.targets.values():
        if target.is_ready():
            if not target.sheds(importance, now):
                return False
            any_ready = True
    return any_ready


def admits(
    state: RoutingState,
    service_name: ServiceName,
    importance: Importance,
    now: Millis,
) -> bool:
    """Return whether to admit a call; probes pass where all instances shed."""
    if not all_shed(state, service_name, importance, now):
        return True
    return state.random.random() < PROBE_RATIO


def _is_listed(state: RoutingState, target: Target) -> bool:
    service = state.services.get(target.instance.upstream.service)
    return service is not None and target.node in service.targets


def _update_target(
    state: RoutingState,
    target: Target,
    instance: Instance,
    cold_until: float,
) -> None:
    previous = target.instance
    if previous.upstream.service != instance.upstream.service:
        service = state.services.get(previous.upstream.service)
        if service is not None:
            service.targets.pop(target.node, None)
            service.rebuild_pools_at = 0
    if previous.incarnation != instance.incarnation:
        target.restart(instance, cold_until)
        return
    was_ready = target.is_ready()
    target.update(instance)
    if target.is_ready() and not was_ready:
        target.cold_until = cold_until


def _least_loaded_ready(
    service: Service,
    exclude: frozenset[NodeId],
    now: Millis,
) -> Target | None:
    # An ejected instance is better than none, but a draining one is not.
    # A cold one refuses with the time after which it has room.
    ready = [each for each in service.targets.values() if each.is_ready()]
    return least_loaded(ready, exclude, now, is_last_resort=True)


def _rebuild(state: RoutingState, service: Service, now: Millis) -> None:
    ready = [each for each in service.targets.values() if each.is_ready()]
    ejected = [each for each in ready if now < each.ejected_until]
    # After departures, more than half of the instances may be ejected.
    ejected.sort(key=lambda each: each.ejected_until)
    while len(ejected) * 2 > len(ready):
        ejected.pop(0).ejected_until = 0
    set_weights(ready)
    by_domain: dict[DomainId, list[Target]] = {}
    for target in ready:
        if now >= target.ejected_until:
            by_domain.setdefault(target.instance.domain, []).append(target)
    pools = {
        name: Pool(members, service.group_uses.setdefault(name, GroupUse()))
        for name, members in by_domain.items()
    }
    service.uses_estimates = all(each.slots < state.nodes for each in ready)
    service.local_pool = pools.pop(state.domain, None)
    service.remote_pools = list(pools.values())
    service.is_local_slow = is_domain_slow(
        service.local_pool, service.remote_pools
    )
    service.spare_slots_valid_until = 0
    service.rebuild_pools_at = min(
        (each.ejected_until for each in ejected),
        default=float('inf'),
    )


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


def _record_failure(service: Service, target: Target, now: Millis) -> None:
    target.failure_rate += FAILURE_SMOOTHING * (1 - target.failure_rate)
    target.estimate.failed_at = now
    service.failure_rate += (
        FAILURE_SMOOTHING * (1 - service.failure_rate) / len(service.targets)
    )
    threshold = max(
        EJECTION_FAILURE_RATE,
        EJECTION_SERVICE_RATE_FACTOR * service.failure_rate,
    )
    if target.failure_rate <= threshold or now < target.ejected_until:
        return
    ready = [each for each in service.targets.values() if each.is_ready()]
    ejected = [each for each in ready if now < each.ejected_until]
    if (len(ejected) + 1) * 2 > len(ready):
        return
    if now - target.last_ejection_at > EJECTION_COUNT_RESET_MS:
        target.ejections = 0
    duration = min(BASE_EJECTION_MS * 2**target.ejections, MAX_EJECTION_MS)
    target.ejections += 1
    target.last_ejection_at = now
    target.ejected_until = now + duration
    # After an ejection, calls return gradually.
    target.cold_until = target.ejected_until + SLOW_START_MS
    target.failure_rate = 0
    service.rebuild_pools_at = 0
