"""Hold what an entry node knows about the instances of services."""

from itertools import accumulate

from jasmineramp.clock import Millis
from jasmineramp.ids import Importance, NodeId
from jasmineramp.membership_messages import Instance, UpstreamState

SLOW_START_MS = 10_000
LEAST_SLOW_START = 0.1
CAPACITY_FACTOR = 8
# A slot of the own domain that serves less than this part of what a slot of
# the middle one of the others serves makes calls late although it is free.
SLOW_PART = 0.6


class Target:
    """Hold what this node knows about one instance."""

    __slots__ = (
        'announced_weight',
        'capacity',
        'cold_until',
        'connections',
        'ejected_until',
        'ejections',
        'failure_rate',
        'in_flight',
        'instance',
        'last_ejection',
        'node',
        'queued',
        'report_until',
        'shed_level',
        'slots',
        'weight',
    )

    def __init__(self, instance: Instance, cold_until: float) -> None:
        self.in_flight = 0
        self.node = instance.node
        self.restart(instance, cold_until)

    def restart(self, instance: Instance, cold_until: float) -> None:
        """Forget the figures of an earlier incarnation."""
        self.cold_until = cold_until
        self.failure_rate = float(0)
        self.ejected_until = float(0)
        self.last_ejection = float(0)
        self.ejections = 0
        self.queued = float(0)
        self.report_until = float(0)
        self.shed_level = 0
        self.capacity = float(0)
        self.weight = float(1)
        self.update(instance)

    def update(self, instance: Instance) -> None:
        """Take over the announced figures."""
        self.instance = instance
        self.connections = max(1, instance.upstream.connections)
        self.slots = max(1, instance.upstream.slots)
        self.announced_weight = max(1e-3, instance.upstream.weight)

    def is_ready(self) -> bool:
        """Tell whether the instance accepts new calls."""
        return self.instance.upstream.state is UpstreamState.ready

    def warmth(self, now: Millis) -> float:
        """Return the share of the weight that counts during slow start."""
        if now >= self.cold_until:
            return 1
        elapsed = SLOW_START_MS - (self.cold_until - now)
        return max(LEAST_SLOW_START, elapsed / SLOW_START_MS)

    def load(self, now: Millis) -> float:
        """Return the calls in flight and queued per unit of weight."""
        busy = float(self.in_flight)
        if now < self.report_until:
            busy += self.queued
        if now >= self.cold_until:
            return busy / self.weight
        return busy / (self.weight * self.warmth(now))

    def is_full(self, now: Millis) -> bool:
        """Tell whether another failure domain should be considered."""
        if self.in_flight >= self.slots:
            return True
        return now < self.report_until and self.queued > 0

    def sheds(self, importance: Importance, now: Millis) -> bool:
        """Tell whether a fresh report refuses calls of the importance."""
        return now < self.report_until and self.shed_level > importance


def weigh(targets: list[Target]) -> None:
    """Set the weights to the reported capacities where these are known.

    A misleading report changes the announced weight of an instance, relative
    to the others, by a bounded factor only.
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
            max(target.capacity or expected, expected / CAPACITY_FACTOR),
            expected * CAPACITY_FACTOR,
        )


class Pool:
    """Hold the selectable instances of a service in one failure domain."""

    __slots__ = ('cumulative', 'targets', 'total')

    def __init__(self, targets: list[Target]) -> None:
        self.targets = targets
        self.cumulative = list(accumulate(each.weight for each in targets))
        self.total = self.cumulative[-1]

    def speed(self) -> float:
        """Return the measured rate of one slot, 0 if none is measured."""
        measured = [each for each in self.targets if each.capacity]
        slots = sum(each.slots for each in measured)
        return sum(each.weight for each in measured) / max(1, slots)

    def spare(self, now: Millis) -> int:
        """Return the slots that are not known to be in use."""
        return sum(
            each.slots - each.in_flight
            for each in self.targets
            if not each.is_full(now)
        )


def is_slow(home: Pool | None, others: list[Pool]) -> bool:
    """Tell whether a slot at home serves far less than in other domains."""
    if home is None or not others:
        return False
    speeds = sorted(pool.speed() for pool in others)
    return 0 < home.speed() < SLOW_PART * speeds[(len(speeds) - 1) // 2]


class Service:
    """Hold all instances of a service."""

    def __init__(self) -> None:
        self.targets: dict[NodeId, Target] = {}
        self.home: Pool | None = None
        self.is_home_slow = False
        self.others: list[Pool] = []
        # Running totals of the spare slots of the other domains.
        self.shares: list[float] = []
        self.rebuild_at = float(0)
        self.spare_until = float(0)
        self.failure_rate = float(0)
