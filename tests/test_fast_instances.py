"""Test the choice of fast instances for calls with a short objective."""

import random
import unittest
from collections import Counter

from msgspec.structs import replace

from jasmineramp import routing, routing_outcomes
from jasmineramp.clock import Millis
from jasmineramp.fast_instances import Objective
from jasmineramp.ids import DomainId, NodeId, RowName, ServiceName
from jasmineramp.load_reports import LoadReport
from jasmineramp.membership_messages import Instance, Upstream
from jasmineramp.routing_outcomes import CallOutcome

SERVICE = ServiceName('registry')
ROW = RowName('assign')
DOMAINS = ('a', 'b', 'c')
SPEEDS = (0.5, 1, 1, 1.5, 0.5, 1, 1, 1.5)
MEAN_MS = 110
OBJECTIVE_MS = 250
LONG_OBJECTIVE_MS = 1_500
SLOTS = 136
NOW = Millis(100_000)
CALLS = 4_000
# Sigma of the logarithm of the service times.
SPREAD = 0.7


def make_state(domain: str = 'a', slots: int = SLOTS) -> routing.RoutingState:
    """Return a state with instances of unlike speed that have reported."""
    state = routing.RoutingState(DomainId(domain), random.Random(3), Millis(0))
    upstream = Upstream(SERVICE, 80, slots, slots)
    for number in range(len(SPEEDS)):
        node = NodeId(f'n{number}')
        instance = Instance(node, DomainId(DOMAINS[number % 3]), 1, upstream)
        routing.put_instance(state, instance, Millis(0))
        report(state, number)
    return state


def report(state: routing.RoutingState, number: int, **fields: object) -> None:
    """Apply a report of an instance that is hardly used."""
    time_ms = MEAN_MS / SPEEDS[number]
    load = LoadReport(0, 100, timed_row=ROW, row_time_ms=time_ms)
    routing_outcomes.record_outcome(
        state,
        NodeId(f'n{number}'),
        CallOutcome.succeeded,
        NOW,
        load=replace(load, **fields),
    )


def count_speeds(
    state: routing.RoutingState, objective_ms: float, **options: object
) -> Counter[float]:
    """Run calls one after the other; return how many each speed got."""
    speeds: Counter[float] = Counter()
    for _ in range(CALLS):
        chosen = routing.choose(
            state,
            SERVICE,
            frozenset(),
            NOW,
            objective=Objective(ROW, objective_ms) if objective_ms else None,
            **options,
        )
        speeds[SPEEDS[int(chosen.node[1:])]] += 1
        routing_outcomes.record_outcome(
            state, chosen.node, CallOutcome.cancelled, NOW
        )
    return speeds


def late_share(speeds: Counter[float]) -> float:
    """Return the share of calls that last longer than the objective."""
    rng = random.Random(5)
    late = 0
    for speed, calls in speeds.items():
        median_ms = MEAN_MS / speed / 1.28
        late += sum(
            median_ms * rng.lognormvariate(0, SPREAD) > OBJECTIVE_MS
            for _ in range(calls)
        )
    return late / speeds.total()


class FastInstancesTest(unittest.TestCase):
    """Guard against calls that are late at slow instances with free slots."""

    def test_short_objective_prefers_fast_instances(self) -> None:
        """Less than half as many calls are late as with a choice by load."""
        by_speed = count_speeds(make_state(), OBJECTIVE_MS)
        by_load = count_speeds(make_state(), 0)
        self.assertGreater(by_speed[1.5], 0.85 * CALLS)
        self.assertLess(late_share(by_speed), late_share(by_load) / 2)

    def test_all_domains_find_the_fast_ones(self) -> None:
        for domain in DOMAINS:
            speeds = count_speeds(make_state(domain), OBJECTIVE_MS)
            self.assertGreater(speeds[1.5], 0.85 * CALLS, domain)

    def test_long_objective_is_chosen_by_load(self) -> None:
        self.assertEqual(
            count_speeds(make_state(), LONG_OBJECTIVE_MS),
            count_speeds(make_state(), 0),
        )

    def test_few_slots_are_chosen_by_load(self) -> None:
        """All nodes would overrun a fast instance with few slots."""
        few = len(SPEEDS) - 1
        self.assertEqual(
            count_speeds(make_state(slots=few), OBJECTIVE_MS),
            count_speeds(make_state(slots=few), 0),
        )

    def test_slower_instances_are_still_measured(self) -> None:
        speeds = count_speeds(make_state(), OBJECTIVE_MS)
        self.assertGreater(speeds[0.5] + speeds[1], 0.01 * CALLS)

    def test_full_fast_instances_are_left(self) -> None:
        state = make_state()
        for number in (3, 7):
            report(state, number, queued=5)
        speeds = count_speeds(state, OBJECTIVE_MS)
        self.assertGreater(speeds[1], 0.85 * CALLS)

    def test_failing_instance_is_left(self) -> None:
        """Quick failures must not attract the calls."""
        state = make_state()
        for number in (3, 7):
            for _ in range(2):
                routing_outcomes.record_outcome(
                    state, NodeId(f'n{number}'), CallOutcome.failed, NOW
                )
        self.assertGreater(count_speeds(state, OBJECTIVE_MS)[1], 0.85 * CALLS)

    def test_slow_spell_moves_the_calls(self) -> None:
        state = make_state()
        for number in (3, 7):
            report(state, number, row_time_ms=500)
        self.assertGreater(count_speeds(state, OBJECTIVE_MS)[1], 0.85 * CALLS)

    def test_large_bodies_stay_in_the_domain(self) -> None:
        state = make_state('c')
        speeds = count_speeds(state, OBJECTIVE_MS, is_large=True)
        self.assertFalse(speeds[1.5])

    def test_row_times_are_bounded(self) -> None:
        """A peer can't make a node keep any number of rows."""
        state = make_state()
        for number in range(100):
            report(state, 0, timed_row=RowName(f'r{number}'))
        self.assertLessEqual(len(state.targets[NodeId('n0')].row_times), 32)
