"""Sample the instances of a service and compare their loads."""

import random
from bisect import bisect
from itertools import accumulate

from jasmineramp.clock import Millis
from jasmineramp.ids import NodeId
from jasmineramp.routing_targets import Pool, Service, Target

SPARE_SLOTS_REFRESH_MS = 100
SAMPLING_ATTEMPTS = 6
# A node's own calls without a reply count three times in comparisons: it then
# spreads its calls evenly. With 33 instances of 33 slots at 0.85 of the
# capacity, 0.03 to 0.05 instead of 0.08 of the calls find no free slot.
EXTRA_SENT_WEIGHT = 2
# Bounds the time of one choice to about 30 us.
MAX_SCANNED_INSTANCES = 32
# Without it, a domain believed to be full would never be tried again.
MIN_SPARE_SHARE = 0.02
# A local instance is left for one of another domain only at or above this
# use, and only if the use of the other is lower by the margin: bytes between
# domains are billed.
LEAVE_DOMAIN_USE = 0.9
LEAVE_DOMAIN_MARGIN = 0.2


def select(
    rng: random.Random,
    service: Service,
    exclude: frozenset[NodeId],
    now: Millis,
    *,
    is_large: bool,
) -> Target | None:
    """Return an instance of the local domain or, if it is full, of another."""
    target = None
    if service.local_pool is not None:
        target = _pick(rng, service, service.local_pool, exclude, now)
    if not service.remote_pools:
        return target
    is_slow = service.is_local_slow and not is_large
    if target is None:
        return _pick_remote(rng, service, exclude, now)
    if is_slow or _may_leave_domain(service, target, now):
        remote = _pick_remote(rng, service, exclude, now)
        if remote is not None and _is_remote_better(
            service, target, remote, now, is_slow=is_slow
        ):
            return remote
    return target


def least_loaded(
    targets: list[Target],
    exclude: frozenset[NodeId],
    now: Millis,
    *,
    is_last_resort: bool = False,
) -> Target | None:
    """Return the usable instance with the lowest load, None if none is.

    As a last resort it may be a cold one that this node has called just now.
    """
    usable = [
        each
        for each in targets
        if each.is_usable(exclude)
        and (is_last_resort or not each.is_paced(now))
    ]
    return min(usable, key=lambda each: each.load(now), default=None)


def _pick(
    rng: random.Random,
    service: Service,
    pool: Pool,
    exclude: frozenset[NodeId],
    now: Millis,
) -> Target | None:
    target = _pick_of_two(rng, pool, exclude, now)
    # An instance without a report or in slow start gets as many calls as two
    # random choices give it.
    if (
        not service.uses_estimates
        or target is None
        or not target.has_report()
        or now < target.cold_until
    ):
        return target
    return _least_used(rng, service, pool, exclude, now) or target


def _least_used(
    rng: random.Random,
    service: Service,
    pool: Pool,
    exclude: frozenset[NodeId],
    now: Millis,
) -> Target | None:
    """Return the usable instance with the lowest estimated use, None if none.

    Nodes get their reports at different times, so they do not all choose the
    same instance. The estimate is that of `Service.estimate`, with the values
    that the instances share calculated once, as this loop is most of the cost
    of a choice.
    """
    best: Target | None = None
    lowest_use = float('inf')
    mean_use = pool.domain_use.use(now)
    tolerated_failure_rate = service.tolerated_failure_rate()
    for target in _scanned(rng, pool):
        estimate = target.estimate
        if not estimate.limit or now < target.cold_until:
            continue
        use = estimate.estimate(mean_use, target.in_flight, now)
        if target.failure_rate > tolerated_failure_rate:
            use = estimate.correct_for_failures(use, target.failure_rate, now)
        sent = min(estimate.sent, target.in_flight)
        use += EXTRA_SENT_WEIGHT * sent / estimate.limit
        if use < lowest_use and target.is_usable(exclude):
            best, lowest_use = target, use
    return best


def _scanned(rng: random.Random, pool: Pool) -> list[Target]:
    targets = pool.targets
    surplus = len(targets) - MAX_SCANNED_INSTANCES
    if surplus <= 0:
        return targets
    start = rng.randrange(len(targets))
    return (targets[start:] + targets[:start])[:MAX_SCANNED_INSTANCES]


def _pick_of_two(
    rng: random.Random,
    pool: Pool,
    exclude: frozenset[NodeId],
    now: Millis,
) -> Target | None:
    if len(pool.targets) == 1:
        return least_loaded(pool.targets, exclude, now)
    best: Target | None = None
    for _ in range(SAMPLING_ATTEMPTS):
        target = _draw(rng, pool, now)
        if target is best or target is None:
            continue
        if target.is_paced(now) or not target.is_usable(exclude):
            continue
        if best is not None:
            return target if target.load(now) < best.load(now) else best
        best = target
    return best or least_loaded(pool.targets, exclude, now)


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
            accumulate(_spare(service, pool, now) for pool in pools)
        )
        if not service.cumulative_shares[-1]:
            service.cumulative_shares = list(
                accumulate(pool.total_weight for pool in pools)
            )
    drawn = rng.random() * service.cumulative_shares[-1]
    index = min(bisect(service.cumulative_shares, drawn), len(pools) - 1)
    target = _pick(rng, service, pools[index], exclude, now)
    if target is not None:
        return target
    remote_targets = [each for pool in pools for each in pool.targets]
    return least_loaded(remote_targets, exclude, now)


def _spare(service: Service, pool: Pool, now: Millis) -> float:
    if service.uses_estimates and pool.has_reports():
        spare_share = 1 - pool.domain_use.use(now)
        return pool.total_weight * max(MIN_SPARE_SHARE, spare_share)
    return pool.spare_slots(now)


def _may_leave_domain(service: Service, target: Target, now: Millis) -> bool:
    """Return whether instances of other domains are considered as well."""
    if service.uses_estimates and target.has_report():
        return service.estimate(target, now) >= LEAVE_DOMAIN_USE
    return target.is_full(now)


def _is_remote_better(
    service: Service,
    target: Target,
    remote: Target,
    now: Millis,
    *,
    is_slow: bool,
) -> bool:
    # The calls of a slow domain take longer even on an idle instance, which
    # its use does not show.
    if (
        service.uses_estimates
        and not is_slow
        and target.has_report()
        and remote.has_report()
    ):
        local_use = service.estimate(target, now)
        return service.estimate(remote, now) <= local_use - LEAVE_DOMAIN_MARGIN
    return remote.load(now) < target.load(now)
