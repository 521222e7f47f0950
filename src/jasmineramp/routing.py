"""Choose the instance of a service that runs a call."""

import random
from collections import Counter
from collections.abc import Iterable

from jasmineramp.clock import Millis
from jasmineramp.fast_instances import Objective, choose_fast
from jasmineramp.ids import DomainId, Importance, NodeId, ServiceName
from jasmineramp.load_estimates import DomainUse, EstimateMetrics
from jasmineramp.membership_messages import Instance
from jasmineramp.outlier_ejection import end_excess_ejections
from jasmineramp.routing_choice import least_loaded, select
from jasmineramp.routing_targets import (
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
PROBE_RATIO = 0.02


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
        # Calls with a short objective that went to a fast instance.
        self.fast_choice_counts: Counter[ServiceName] = Counter()


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
        state.fast_choice_counts[service_name] += target is not None
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
    return least_loaded(
        service.ready_targets(), exclude, now, is_last_resort=True
    )


def _rebuild(state: RoutingState, service: Service, now: Millis) -> None:
    ready = service.ready_targets()
    ejected = end_excess_ejections(ready, now)
    set_weights(ready)
    by_domain: dict[DomainId, list[Target]] = {}
    for target in ready:
        if now >= target.ejected_until:
            by_domain.setdefault(target.instance.domain, []).append(target)
    pools = {
        name: Pool(members, service.domain_uses.setdefault(name, DomainUse()))
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
