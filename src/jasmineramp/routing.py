"""Choose the instance of a service that runs a call."""

import enum
import random
from bisect import bisect
from collections.abc import Iterable
from itertools import accumulate

from jasmineramp.clock import MILLIS_PER_SECOND, Millis
from jasmineramp.ids import DomainId, Importance, NodeId, ServiceName
from jasmineramp.load_reports import LoadReport
from jasmineramp.membership_messages import Instance
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
SPARE_SLOTS_REFRESH_MS = 100
SAMPLING_ATTEMPTS = 6
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
    if service.local_pool is not None:
        target = _pick(state.random, service.local_pool, exclude, now)
    if service.remote_pools and (
        target is None
        or target.is_full(now)
        or (service.is_local_slow and not is_large)
    ):
        remote = _pick_remote(state.random, service, exclude, now)
        if target is None or (
            remote is not None and remote.load(now) < target.load(now)
        ):
            target = remote
    if target is None:
        target = _least_loaded_ready(service, exclude, now)
        if target is None:
            return None
    target.in_flight += 1
    target.count_cold_call(now)
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


def _pick(
    rng: random.Random,
    pool: Pool,
    exclude: frozenset[NodeId],
    now: Millis,
) -> Target | None:
    if len(pool.targets) == 1:
        return _least_loaded(pool.targets, exclude, now)
    best: Target | None = None
    for _ in range(SAMPLING_ATTEMPTS):
        target = _draw(rng, pool, now)
        if target is best or target is None:
            continue
        if target.is_paced(now) or not _is_usable(target, exclude):
            continue
        if best is not None:
            return target if target.load(now) < best.load(now) else best
        best = target
    return best or _least_loaded(pool.targets, exclude, now)


def _draw(rng: random.Random, pool: Pool, now: Millis) -> Target | None:
    targets = pool.targets
    index = bisect(pool.cumulative_weights, rng.random() * pool.total_weight)
    # Rounding may place the draw at the end of the last range.
    target = targets[min(index, len(targets) - 1)]
    if now < target.cold_until and rng.random() > target.slow_start_factor(now):
        return None
    return target


def _pick_remote(
    rng: random.Random,
    service: Service,
    exclude: frozenset[NodeId],
    now: Millis,
) -> Target | None:
    pools = service.remote_pools
    if now >= service.spare_slots_valid_until:
        service.spare_slots_valid_until = now + SPARE_SLOTS_REFRESH_MS
        service.cumulative_shares = list(
            accumulate(pool.spare_slots(now) for pool in pools)
        )
        if not service.cumulative_shares[-1]:
            service.cumulative_shares = list(
                accumulate(pool.total_weight for pool in pools)
            )
    drawn = rng.random() * service.cumulative_shares[-1]
    index = min(bisect(service.cumulative_shares, drawn), len(pools) - 1)
    target = _pick(rng, pools[index], exclude, now)
    if target is not None:
        return target
    remote_targets = [each for pool in pools for each in pool.targets]
    return _least_loaded(remote_targets, exclude, now)


def _least_loaded_ready(
    service: Service,
    exclude: frozenset[NodeId],
    now: Millis,
) -> Target | None:
    # An ejected instance is better than none, but a draining one is not.
    # A cold one refuses with the time after which it has room.
    ready = [each for each in service.targets.values() if each.is_ready()]
    return _least_loaded(ready, exclude, now, is_last_resort=True)


def _is_usable(target: Target, exclude: frozenset[NodeId]) -> bool:
    return target.in_flight < target.connections and target.node not in exclude


def _least_loaded(
    targets: list[Target],
    exclude: frozenset[NodeId],
    now: Millis,
    *,
    is_last_resort: bool = False,
) -> Target | None:
    usable = [
        each
        for each in targets
        if _is_usable(each, exclude)
        and (is_last_resort or not each.is_paced(now))
    ]
    return min(usable, key=lambda each: each.load(now), default=None)


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
    pools = {name: Pool(members) for name, members in by_domain.items()}
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
    target.report_valid_until = now + REPORT_LIFETIME_MS


def _record_failure(service: Service, target: Target, now: Millis) -> None:
    target.failure_rate += FAILURE_SMOOTHING * (1 - target.failure_rate)
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
