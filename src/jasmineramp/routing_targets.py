"""Hold what an entry node knows about the instances of services."""

from itertools import accumulate
from typing import NamedTuple

from jasmineramp.clock import Millis
from jasmineramp.ids import DomainId, Importance, NodeId, RowName
from jasmineramp.load_estimates import (
    TOLERATED_FAILURE_RATE,
    DomainUse,
    LoadEstimate,
)
from jasmineramp.membership_messages import Instance, UpstreamState

SLOW_START_MS = 10_000
MIN_SLOW_START_FACTOR = 0.1
MAX_CAPACITY_FACTOR = 8
# Bounds what the reports of an instance make a node keep.
MAX_TIMED_ROWS = 32
# A node calls a cold instance at an interval that grows when the instance has
# no room and shrinks when it has, as it does not know who else sends.
COLD_INTERVAL_GROWTH = 1.5
COLD_INTERVAL_DECAY = 0.7
MIN_COLD_INTERVAL_MS = 50
MAX_COLD_INTERVAL_MS = 10_000
# The local domain is slow if its rate per slot is below this ratio of the
# median of the other domains. Its calls take longer even in a free slot.
SLOW_DOMAIN_RATIO = 0.6


class Target:
    """Hold the state of one instance as this node knows it."""

    __slots__ = (
        'announced_weight',
        'capacity',
        'cold_interval_ms',
        'cold_limit_until',
        'cold_per_s',
        'cold_until',
        'cold_until_before',
        'connections',
        'ejected_until',
        'ejections',
        'estimate',
        'failure_rate',
        'in_flight',
        'instance',
        'is_evacuated',
        'last_ejection_at',
        'next_cold_call_at',
        'node',
        'queued',
        'report_valid_until',
        'row_times',
        'shed_level',
        'slots',
        'weight',
    )

    def __init__(self, instance: Instance, cold_until: float) -> None:
        self.in_flight = 0
        self.is_evacuated = False
        self.node = instance.node
        self.restart(instance, cold_until)

    def restart(self, instance: Instance, cold_until: float) -> None:
        """Reset all state except the calls in flight."""
        self.cold_until = cold_until
        self.cold_until_before = cold_until
        self.cold_per_s = float(0)
        self.cold_limit_until = float(0)
        self.cold_interval_ms = float(0)
        self.next_cold_call_at = float(0)
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
        # The mean service times in ms that the instance has told, by row.
        self.row_times: dict[RowName, float] = {}
        self.update(instance)

    def update(self, instance: Instance) -> None:
        """Apply the announced slots, connections and weight."""
        self.instance = instance
        self.connections = max(1, instance.upstream.connections)
        self.slots = max(1, instance.upstream.slots)
        self.announced_weight = max(1e-3, instance.upstream.weight)

    def record_row_time(self, row: RowName, time_ms: float) -> None:
        """Record the mean service time of a row; 0 if it is unknown."""
        if time_ms > 0 and (
            row in self.row_times or len(self.row_times) < MAX_TIMED_ROWS
        ):
            self.row_times[row] = time_ms

    def is_ready(self) -> bool:
        """Return whether the instance accepts new calls."""
        return (
            self.instance.upstream.state is UpstreamState.ready
            and not self.is_evacuated
        )

    def is_usable(self, exclude: frozenset[NodeId]) -> bool:
        """Return whether it is not excluded and has a connection left.

        Readiness and ejection are checked where a pool is built.
        """
        return self.in_flight < self.connections and self.node not in exclude

    def slow_start_factor(self, now: Millis) -> float:
        """Return the fraction of the weight that counts during slow start."""
        if now >= self.cold_until or now < self.cold_limit_until:
            # Calls to a cold instance are spaced instead.
            return 1
        elapsed = SLOW_START_MS - (self.cold_until - now)
        return max(MIN_SLOW_START_FACTOR, elapsed / SLOW_START_MS)

    def has_report(self) -> bool:
        """Return whether the instance has reported its use."""
        return self.estimate.limit > 0

    def limit_cold(
        self,
        per_s: float,
        cold_ms: float,
        first_interval_ms: float,
        now: Millis,
    ) -> None:
        """Apply what a cold instance tolerates."""
        was_cold = now < self.cold_limit_until
        if not per_s or not cold_ms:
            if was_cold:
                self.cold_limit_until = now
                # It was not certain that the instance is cold, or the node
                # beside it raises the rate by itself.
                self.cold_until = self.cold_until_before
            return
        if not was_cold:
            self.cold_until_before = self.cold_until
        self.cold_limit_until = now + cold_ms
        self.cold_until = self.cold_limit_until + SLOW_START_MS
        if not was_cold or per_s != self.cold_per_s:
            self.cold_per_s = per_s
            self.cold_interval_ms = first_interval_ms
            self.next_cold_call_at = now + first_interval_ms

    def is_paced(self, now: Millis) -> bool:
        """Return whether this node has used its part of a cold instance."""
        return now < self.cold_limit_until and now < self.next_cold_call_at

    def count_cold_call(self, now: Millis) -> None:
        """Count a call to the instance, if it is cold."""
        if now < self.cold_limit_until:
            self.next_cold_call_at = now + self.cold_interval_ms

    def adapt_cold_interval(self, *, is_full: bool) -> None:
        """Adapt the part of this node to what the instance has reported."""
        factor = COLD_INTERVAL_GROWTH if is_full else COLD_INTERVAL_DECAY
        self.cold_interval_ms = min(
            MAX_COLD_INTERVAL_MS,
            max(MIN_COLD_INTERVAL_MS, self.cold_interval_ms * factor),
        )

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
    """Hold the instances of a service in one failure domain to choose from.

    Only ready instances that are not ejected are in a pool.
    """

    __slots__ = ('cumulative_weights', 'domain_use', 'targets', 'total_weight')

    def __init__(self, targets: list[Target], domain_use: DomainUse) -> None:
        self.targets = targets
        self.domain_use = domain_use
        for target in targets:
            target.estimate.domain_use = domain_use
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


class FastChoice(NamedTuple):
    """Hold the instances to prefer for a row until the choice expires."""

    targets: tuple[Target, ...]
    valid_until: Millis


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
        self.fast_choices: dict[tuple[RowName, bool], FastChoice] = {}
        # Whether instances are compared by their estimated use. This holds if
        # all have fewer slots than the fleet has nodes: a node then has less
        # than one call of its own on an instance.
        self.uses_estimates = False
        self.domain_uses: dict[DomainId, DomainUse] = {}

    def ready_targets(self) -> list[Target]:
        """Return the instances that accept new calls."""
        return [each for each in self.targets.values() if each.is_ready()]

    def tolerated_failure_rate(self) -> float:
        """Return the rate above which failures correct the estimated use.

        Failures that all instances share are no reason to avoid one.
        """
        return max(TOLERATED_FAILURE_RATE, 2 * self.failure_rate)

    def estimate(self, target: Target, now: Millis) -> float:
        """Return the use of an instance as this node believes it."""
        use = target.estimate.estimate(
            target.estimate.domain_use.use(now), target.in_flight, now
        )
        if target.failure_rate > self.tolerated_failure_rate():
            use = target.estimate.correct_for_failures(
                use, target.failure_rate, now
            )
        if now >= target.cold_until:
            return use
        return use / target.slow_start_factor(now)
