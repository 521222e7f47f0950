"""Choose the instance of a service that runs a call."""

import enum
import random
from bisect import bisect
from collections.abc import Iterable
from itertools import accumulate

from jasmineramp.clock import Millis
from jasmineramp.ids import DomainId, Importance, NodeId, ServiceName
from jasmineramp.load_reports import LoadReport
from jasmineramp.membership_messages import Instance
from jasmineramp.routing_targets import (
    SLOW_START_MS,
    Pool,
    Service,
    Target,
    is_slow,
    weigh,
)

# A node that has just started sees every instance for the first time; these
# instances are not cold.
FIRST_VIEW_MS = 5_000
REPORT_VALID_MS = 1_000
SPARE_REFRESH_MS = 100
SAMPLING_ATTEMPTS = 6
PROBE_RATIO = 0.02
CAPACITY_CHANGE = 0.1
REWEIGH_MS = 500

# Four consecutive failures of a sound instance pass the ejection rate.
FAILURE_SMOOTHING = 0.2
EJECTION_RATE = 0.5
# A failure that all instances share is not a reason to eject one of them.
EJECTION_FACTOR = 1.5
EJECTION_MS = 5_000
MAXIMUM_EJECTION_MS = 60_000
EJECTION_MEMORY_MS = 120_000


class CallOutcome(enum.Enum):
    """Tell how a call to an instance ended."""

    succeeded = 'succeeded'
    failed = 'failed'
    shed = 'shed'
    cancelled = 'cancelled'


class RoutingState:
    """Hold what one entry node knows about the instances of all services."""

    def __init__(
        self,
        domain: DomainId,
        rng: random.Random,
        now: Millis,
    ) -> None:
        self.domain = domain
        self.random = rng
        self.first_view_until = now + FIRST_VIEW_MS
        self.services: dict[ServiceName, Service] = {}
        self.targets: dict[NodeId, Target] = {}


def set_instances(
    state: RoutingState,
    instances: Iterable[Instance],
    now: Millis,
) -> None:
    """Replace the set of known instances."""
    wanted = {instance.node: instance for instance in instances}
    for node in list(state.targets):
        if node not in wanted:
            remove_instance(state, node)
    for instance in wanted.values():
        put_instance(state, instance, now)


def put_instance(state: RoutingState, instance: Instance, now: Millis) -> None:
    """Add an instance or take over a change of it."""
    cold_until = float(0)
    if now >= state.first_view_until:
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
    service = state.services.setdefault(instance.upstream.service, Service())
    service.targets[instance.node] = target
    service.rebuild_at = 0


def remove_instance(state: RoutingState, node: NodeId) -> None:
    """Remove an instance; its running calls still count until they end."""
    target = state.targets.get(node)
    if target is None:
        return
    name = target.instance.upstream.service
    service = state.services.get(name)
    if service is not None and service.targets.pop(node, None) is not None:
        service.rebuild_at = 0
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
) -> Instance | None:
    """Choose an instance and count the call as in flight on it.

    A large call leaves the own domain only when that is full.
    The caller ends the call with observe, whatever becomes of it.
    """
    service = state.services.get(service_name)
    if service is None:
        return None
    if now >= service.rebuild_at:
        _rebuild(state, service, now)
    target = None
    if service.home is not None:
        target = _pick(state.random, service.home, exclude, now)
    if service.others and (
        target is None
        or target.is_full(now)
        or (service.is_home_slow and not is_large)
    ):
        other = _pick_elsewhere(state.random, service, exclude, now)
        if target is None or (
            other is not None and other.load(now) < target.load(now)
        ):
            target = other
    if target is None:
        target = _last_resort(service, exclude, now)
        if target is None:
            return None
    target.in_flight += 1
    return target.instance


def observe(
    state: RoutingState,
    node: NodeId,
    outcome: CallOutcome,
    now: Millis,
    *,
    load: LoadReport | None = None,
    incarnation: int | None = None,
) -> None:
    """End a call on an instance and learn from its outcome.

    The outcome of a call to an earlier incarnation says nothing about the
    present one.
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
        _take_report(service, target, load, now)
    if outcome is CallOutcome.succeeded:
        target.failure_rate -= FAILURE_SMOOTHING * target.failure_rate
        service.failure_rate -= (
            FAILURE_SMOOTHING * service.failure_rate / len(service.targets)
        )
    elif outcome is CallOutcome.failed:
        _take_failure(service, target, now)


def has_other(
    state: RoutingState,
    service_name: ServiceName,
    exclude: frozenset[NodeId],
) -> bool:
    """Tell whether a ready instance is left that is not excluded."""
    service = state.services.get(service_name)
    return service is not None and any(
        target.is_ready() and node not in exclude
        for node, target in service.targets.items()
    )


def refuses(
    state: RoutingState,
    service_name: ServiceName,
    importance: Importance,
    now: Millis,
) -> bool:
    """Tell whether every selectable instance sheds the importance."""
    service = state.services.get(service_name)
    if service is None:
        return False
    found = False
    for target in service.targets.values():
        if target.is_ready():
            if not target.sheds(importance, now):
                return False
            found = True
    return found


def admits(
    state: RoutingState,
    service_name: ServiceName,
    importance: Importance,
    now: Millis,
) -> bool:
    """Refuse early what all instances shed, but for a few probes."""
    if not refuses(state, service_name, importance, now):
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
    before = target.instance
    if before.upstream.service != instance.upstream.service:
        service = state.services.get(before.upstream.service)
        if service is not None:
            service.targets.pop(target.node, None)
            service.rebuild_at = 0
    if before.incarnation != instance.incarnation:
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
        if target is best or target is None or not _is_usable(target, exclude):
            continue
        if best is not None:
            return target if target.load(now) < best.load(now) else best
        best = target
    return best or _least_loaded(pool.targets, exclude, now)


def _draw(rng: random.Random, pool: Pool, now: Millis) -> Target | None:
    targets = pool.targets
    index = bisect(pool.cumulative, rng.random() * pool.total)
    # Rounding may place the draw at the very end of the last range.
    target = targets[min(index, len(targets) - 1)]
    if now < target.cold_until and rng.random() > target.warmth(now):
        return None
    return target


def _pick_elsewhere(
    rng: random.Random,
    service: Service,
    exclude: frozenset[NodeId],
    now: Millis,
) -> Target | None:
    pools = service.others
    if now >= service.spare_until:
        service.spare_until = now + SPARE_REFRESH_MS
        service.shares = list(accumulate(pool.spare(now) for pool in pools))
        if not service.shares[-1]:
            service.shares = list(accumulate(pool.total for pool in pools))
    drawn = rng.random() * service.shares[-1]
    index = min(bisect(service.shares, drawn), len(pools) - 1)
    target = _pick(rng, pools[index], exclude, now)
    if target is not None:
        return target
    everywhere = [each for pool in pools for each in pool.targets]
    return _least_loaded(everywhere, exclude, now)


def _last_resort(
    service: Service,
    exclude: frozenset[NodeId],
    now: Millis,
) -> Target | None:
    # An ejected instance is better than none; a draining one is not.
    ready = [each for each in service.targets.values() if each.is_ready()]
    return _least_loaded(ready, exclude, now)


def _is_usable(target: Target, exclude: frozenset[NodeId]) -> bool:
    return target.in_flight < target.connections and target.node not in exclude


def _least_loaded(
    targets: list[Target],
    exclude: frozenset[NodeId],
    now: Millis,
) -> Target | None:
    usable = [each for each in targets if _is_usable(each, exclude)]
    return min(usable, key=lambda each: each.load(now), default=None)


def _rebuild(state: RoutingState, service: Service, now: Millis) -> None:
    ready = [each for each in service.targets.values() if each.is_ready()]
    ejected = [each for each in ready if now < each.ejected_until]
    # Departures may have left more than half of the instances ejected.
    ejected.sort(key=lambda each: each.ejected_until)
    while len(ejected) * 2 > len(ready):
        ejected.pop(0).ejected_until = 0
    weigh(ready)
    by_domain: dict[DomainId, list[Target]] = {}
    for target in ready:
        if now >= target.ejected_until:
            by_domain.setdefault(target.instance.domain, []).append(target)
    pools = {name: Pool(found) for name, found in by_domain.items()}
    service.home = pools.pop(state.domain, None)
    service.others = list(pools.values())
    service.is_home_slow = is_slow(service.home, service.others)
    service.spare_until = 0
    service.rebuild_at = min(
        (each.ejected_until for each in ejected),
        default=float('inf'),
    )


def _take_report(
    service: Service,
    target: Target,
    load: LoadReport,
    now: Millis,
) -> None:
    # A misleading report must not keep an instance idle for long or attract
    # every call: it is bounded by the slots and valid for a short time.
    target.queued = min(max(load.queued, 0), target.slots)
    if not load.healthy:
        target.queued = max(target.queued, 1)
    change = abs(load.capacity - target.capacity)
    if load.capacity > 0 and change > CAPACITY_CHANGE * target.capacity:
        target.capacity = load.capacity
        service.rebuild_at = min(service.rebuild_at, now + REWEIGH_MS)
    target.shed_level = load.shed_level
    target.report_until = now + REPORT_VALID_MS


def _take_failure(service: Service, target: Target, now: Millis) -> None:
    target.failure_rate += FAILURE_SMOOTHING * (1 - target.failure_rate)
    service.failure_rate += (
        FAILURE_SMOOTHING * (1 - service.failure_rate) / len(service.targets)
    )
    bound = max(EJECTION_RATE, EJECTION_FACTOR * service.failure_rate)
    if target.failure_rate <= bound or now < target.ejected_until:
        return
    ready = [each for each in service.targets.values() if each.is_ready()]
    ejected = [each for each in ready if now < each.ejected_until]
    if (len(ejected) + 1) * 2 > len(ready):
        return
    if now - target.last_ejection > EJECTION_MEMORY_MS:
        target.ejections = 0
    duration = min(EJECTION_MS * 2**target.ejections, MAXIMUM_EJECTION_MS)
    target.ejections += 1
    target.last_ejection = now
    target.ejected_until = now + duration
    # Calls return gradually to an instance that has been ejected.
    target.cold_until = target.ejected_until + SLOW_START_MS
    target.failure_rate = 0
    service.rebuild_at = 0
