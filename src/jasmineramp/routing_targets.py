"""Hold what an entry node knows about the instances of services."""

from itertools import accumulate

from jasmineramp.clock import Millis
from jasmineramp.ids import DomainId, Importance, NodeId
from jasmineramp.load_estimates import (
    TOLERATED_FAILURE_RATE,
    GroupUse,
    LoadEstimate,
)
from jasmineramp.membership_messages import Instance, UpstreamState

SLOW_START_MS = 10_000
MIN_SLOW_START_FACTOR = 0.1
MAX_CAPACITY_FACTOR = 8
# The local domain is slow if its rate per slot is below this ratio of the
# median of the other domains. Its calls take longer even in a free slot.
SLOW_DOMAIN_RATIO = 0.6


class Target:
    """Hold the state of one instance as this node knows it."""

    __slots__ = (
        'announced_weight',
        'capacity',
        'cold_until',
        'connections',
        'ejected_until',
        'ejections',
        'estimate',
        'failure_rate',
        'in_flight',
        'instance',
        'last_ejection_at',
        'node',
        'queued',
        'report_valid_until',
        'shed_level',
        'slots',
        'weight',
    )

    def __init__(self, instance: Instance, cold_until: float) -> None:
        self.in_flight = 0
        self.node = instance.node
        self.restart(instance, cold_until)

    def restart(self, instance: Instance, cold_until: float) -> None:
        """Reset all state except the calls in flight."""
        self.cold_until = cold_until
        self.failure_rate = float(0)
        self.ejected_until = float(0)
        self.last_ejection_at = float(0)
        self.ejections = 0
        self.queued = float(0)
        self.report_valid_until = float(0)
        self.shed_level = 0
        self.capacity = float(0)
        self.estimate = LoadEstimate()
        self.weight = float(1)
        self.update(instance)

    def update(self, instance: Instance) -> None:
        """Apply the announced slots, connections and weight."""
        self.instance = instance
        self.connections = max(1, instance.upstream.connections)
        self.slots = max(1, instance.upstream.slots)
        self.announced_weight = max(1e-3, instance.upstream.weight)

    def is_ready(self) -> bool:
        """Return whether the instance accepts new calls."""
        return self.instance.upstream.state is UpstreamState.ready

    def slow_start_factor(self, now: Millis) -> float:
        """Return the fraction of the weight that counts during slow start."""
        if now >= self.cold_until:
            return 1
        elapsed = SLOW_START_MS - (self.cold_until - now)
        return max(MIN_SLOW_START_FACTOR, elapsed / SLOW_START_MS)

    def has_report(self) -> bool:
        """Return whether the instance has reported its use."""
        return self.estimate.limit > 0

    def load(self, now: Millis) -> float:
        """Return the calls in flight and queued, per unit of weight."""
        busy = float(self.in_flight)
        if now < self.report_valid_until:
            busy += self.queued
        if now >= self.cold_until:
            return busy / self.weight
        return busy / (self.weight * self.slow_start_factor(now))

    def is_full(self, now: Millis) -> bool:
        """Return whether calls use all slots or wait in the queue."""
        if self.in_flight >= self.slots:
            return True
        return now < self.report_valid_until and self.queued > 0

    def sheds(self, importance: Importance, now: Millis) -> bool:
        """Return whether a valid report sheds calls of the importance."""
        return now < self.report_valid_until and self.shed_level > importance


def set_weights(targets: list[Target]) -> None:
    """Set each weight to the reported capacity, if it is known.

    A target without one gets its announced weight times the median ratio of
    capacity to announced weight. MAX_CAPACITY_FACTOR limits how far a wrong
    report can move a weight from that value.
    """
    ratios = sorted(
        each.capacity / each.announced_weight
        for each in targets
        if each.capacity
    )
    scale = ratios[(len(ratios) - 1) // 2] if ratios else 1
    for target in targets:
        expected = target.announced_weight * scale
        target.weight = min(
            max(target.capacity or expected, expected / MAX_CAPACITY_FACTOR),
            expected * MAX_CAPACITY_FACTOR,
        )


class Pool:
    """Hold the instances of a service in one failure domain to choose from."""

    __slots__ = ('cumulative_weights', 'group_use', 'targets', 'total_weight')

    def __init__(self, targets: list[Target], group_use: GroupUse) -> None:
        self.targets = targets
        self.group_use = group_use
        for target in targets:
            target.estimate.group = group_use
        self.cumulative_weights = list(
            accumulate(each.weight for each in targets)
        )
        self.total_weight = self.cumulative_weights[-1]

    def has_reports(self) -> bool:
        """Return whether all instances have reported their use."""
        return all(each.has_report() for each in self.targets)

    def slot_rate(self) -> float:
        """Return the mean weight per slot of measured instances, 0 if none."""
        measured = [each for each in self.targets if each.capacity]
        slots = sum(each.slots for each in measured)
        return sum(each.weight for each in measured) / max(1, slots)

    def spare_slots(self, now: Millis) -> int:
        """Return the free slots of instances that are not full."""
        return sum(
            each.slots - each.in_flight
            for each in self.targets
            if not each.is_full(now)
        )


def is_domain_slow(local_pool: Pool | None, remote_pools: list[Pool]) -> bool:
    """Return whether a local slot serves far less than one elsewhere.

    The slot rates are compared with the median of the other domains.
    """
    if local_pool is None or not remote_pools:
        return False
    slot_rates = sorted(pool.slot_rate() for pool in remote_pools)
    return (
        0
        < local_pool.slot_rate()
        < SLOW_DOMAIN_RATIO * slot_rates[(len(slot_rates) - 1) // 2]
    )


class Service:
    """Hold all instances of a service."""

    def __init__(self) -> None:
        self.targets: dict[NodeId, Target] = {}
        self.local_pool: Pool | None = None
        self.is_local_slow = False
        self.remote_pools: list[Pool] = []
        # By remote pool, the running total of the spare slots, or of the
        # weights when no slot is spare.
        self.cumulative_shares: list[float] = []
        self.rebuild_pools_at = float(0)
        self.spare_slots_valid_until = float(0)
        self.failure_rate = float(0)
        # Whether instances are compared by their estimated use. This holds if
        # all have fewer slots than the fleet has nodes: a node then has less
        # than one call of its own on an instance.
        self.uses_estimates = False
        self.group_uses: dict[DomainId, GroupUse] = {}

    def tolerated_failure_rate(self) -> float:
        """Return the rate above which failures correct the estimated use.

        Failures that all instances share are no reason to avoid one.
        """
        return max(TOLERATED_FAILURE_RATE, 2 * self.failure_rate)

    def estimate(self, target: Target, now: Millis) -> float:
        """Return the use of an instance as this node believes it."""
        use = target.estimate.estimate(
            target.estimate.group.use(now), target.in_flight, now
        )
        if target.failure_rate > self.tolerated_failure_rate():
            use = target.estimate.correct_for_failures(
                use, target.failure_rate, now
            )
        if now >= target.cold_until:
            return use
        return use / target.slow_start_factor(now)
