"""Test the choice and ejection of instances."""

import random
import unittest
from collections import Counter

from hypothesis import given, strategies
from msgspec.structs import replace

from jasmineramp import outlier_ejection, routing, routing_outcomes
from jasmineramp.clock import Millis
from jasmineramp.ids import DomainId, Importance, NodeId, ServiceName
from jasmineramp.load_reports import LoadReport
from jasmineramp.membership_messages import Instance, Upstream, UpstreamState
from jasmineramp.routing_outcomes import CallOutcome
from jasmineramp.routing_targets import SLOW_START_MS

SERVICE = ServiceName('orders')
LOCAL_DOMAIN = DomainId('a')
START = Millis(0)
WARM = Millis(100_000)
NO_NODES: frozenset[NodeId] = frozenset()


def make_instance(
    name: str, domain: DomainId = LOCAL_DOMAIN, **fields: object
) -> Instance:
    upstream = replace(Upstream(SERVICE, 80, 10, 100), **fields)
    return Instance(NodeId(name), domain, 1, upstream)


def make_state(*instances: Instance) -> routing.RoutingState:
    state = routing.RoutingState(LOCAL_DOMAIN, random.Random(7), START)
    routing.set_instances(state, instances, START)
    return state


def pick(
    state: routing.RoutingState,
    now: Millis = WARM,
    exclude: frozenset[NodeId] = NO_NODES,
) -> str | None:
    chosen = routing.choose(state, SERVICE, exclude, now)
    return None if chosen is None else chosen.node


def fail(
    state: routing.RoutingState, name: str, times: int, now: Millis = WARM
) -> None:
    for _ in range(times):
        routing_outcomes.record_outcome(
            state, NodeId(name), CallOutcome.failed, now
        )


def count_choices(
    state: routing.RoutingState, calls: int, now: Millis
) -> Counter:
    """Run calls one after the other; return how many each instance got."""
    chosen = Counter()
    for _ in range(calls):
        name = pick(state, now)
        chosen[name] += 1
        routing_outcomes.record_outcome(
            state, NodeId(name), CallOutcome.succeeded, now
        )
    return chosen


class ChooseTest(unittest.TestCase):
    """Check which instances are chosen for calls."""

    def test_load_is_compared_per_unit_of_weight(self) -> None:
        state = make_state(
            make_instance('big', weight=3), make_instance('small')
        )
        chosen = Counter(pick(state) for _ in range(8))
        self.assertEqual(chosen, {'big': 6, 'small': 2})

    def test_idle_instances_share_by_weight(self) -> None:
        state = make_state(
            make_instance('big', weight=9), make_instance('small')
        )
        share = count_choices(state, 2000, WARM)['small']
        self.assertTrue(120 < share < 280, share)

    def test_a_slow_local_domain_shares_its_calls(self) -> None:
        """Guard against slow calls while a faster instance is idle."""
        for capacity, expected in ((30.0, range(5, 12)), (80.0, range(1))):
            state = make_state(
                make_instance('local'), make_instance('remote', DomainId('b'))
            )
            for name, each in (('local', capacity), ('remote', 100.0)):
                routing.choose(state, SERVICE, NO_NODES, WARM)
                report = LoadReport(0, each)
                routing_outcomes.record_outcome(
                    state,
                    NodeId(name),
                    CallOutcome.succeeded,
                    WARM,
                    load=report,
                )
            later = Millis(WARM + routing_outcomes.REBUILD_DELAY_MS)
            for target in state.targets.values():
                target.in_flight = 0
            chosen = Counter(pick(state, later) for _ in range(8))
            with self.subTest(capacity=capacity):
                self.assertIn(chosen['remote'], expected)
            for target in state.targets.values():
                target.in_flight = 0
            for _ in range(8):
                instance = routing.choose(
                    state, SERVICE, NO_NODES, later, is_large=True
                )
                self.assertEqual(instance and instance.node, 'local')

    def test_draining_and_starting_instances_get_no_calls(self) -> None:
        state = make_state(
            make_instance('a', state=UpstreamState.draining),
            make_instance('b', state=UpstreamState.starting),
        )
        self.assertIsNone(pick(state))

    def test_drain_takes_effect_on_the_next_call(self) -> None:
        state = make_state(make_instance('a'), make_instance('b'))
        count_choices(state, 10, WARM)
        routing.put_instance(
            state, make_instance('a', state=UpstreamState.draining), WARM
        )
        self.assertEqual(set(count_choices(state, 50, WARM)), {'b'})

    def test_excluded_instance_is_never_chosen(self) -> None:
        state = make_state(make_instance('a'), make_instance('b'))
        tried = frozenset({NodeId('a')})
        self.assertEqual({pick(state, WARM, tried) for _ in 'x' * 9}, {'b'})
        self.assertIsNone(pick(state, exclude=tried | {NodeId('b')}))

    def test_connections_bound_the_calls_in_flight(self) -> None:
        state = make_state(make_instance('a', connections=2))
        self.assertEqual([pick(state) for _ in range(3)], ['a', 'a', None])

    def test_local_domain_is_preferred_until_it_is_full(self) -> None:
        state = make_state(
            make_instance('near', slots=4),
            make_instance('far', DomainId('b'), slots=4),
        )
        chosen = [pick(state) for _ in range(6)]
        self.assertEqual(chosen[:4], ['near'] * 4)
        self.assertEqual(chosen[4:], ['far'] * 2)

    def test_other_domains_share_by_spare_slots(self) -> None:
        state = make_state(
            make_instance('b', DomainId('b'), slots=90),
            make_instance('c', DomainId('c'), slots=10),
        )
        share = count_choices(state, 1000, WARM)['c']
        self.assertTrue(50 < share < 160, share)

    def test_reported_queue_counts_within_bounds_and_expires(self) -> None:
        state = make_state(make_instance('a'), make_instance('b'))
        for name, queued in (('a', 10**9), ('b', 1)):
            pick(state, exclude=frozenset({NodeId('ab'.replace(name, ''))}))
            routing_outcomes.record_outcome(
                state,
                NodeId(name),
                CallOutcome.succeeded,
                WARM,
                load=LoadReport(queued=queued),
            )
        chosen = Counter(pick(state) for _ in range(19))
        self.assertTrue(chosen['a'] > 3, chosen)
        later = Millis(WARM + routing_outcomes.REPORT_LIFETIME_MS)
        state.targets[NodeId('a')].in_flight = 0
        state.targets[NodeId('b')].in_flight = 1
        self.assertEqual(pick(state, later), 'a')

    def test_reported_capacity_corrects_the_weight_within_bounds(self) -> None:
        for capacity, lowest, highest in ((400, 120, 280), (10**9, 60, 180)):
            state = make_state(make_instance('a'), make_instance('b'))
            for name, reported in (('a', 100), ('b', capacity)):
                routing_outcomes.record_outcome(
                    state,
                    NodeId(name),
                    CallOutcome.succeeded,
                    WARM,
                    load=LoadReport(capacity=reported),
                )
            share = count_choices(state, 1000, WARM)['a']
            self.assertTrue(lowest < share < highest, (capacity, share))

    def test_cold_instance_receives_calls_gradually(self) -> None:
        state = make_state(make_instance('old'))
        routing.put_instance(state, make_instance('new'), WARM)
        calls_by_age = [
            count_choices(state, 1000, Millis(WARM + age))['new']
            for age in (0, 5_000, 10_000)
        ]
        self.assertTrue(20 < calls_by_age[0] < 150, calls_by_age)
        self.assertTrue(
            calls_by_age[0] < calls_by_age[1] < calls_by_age[2],
            calls_by_age,
        )
        self.assertTrue(430 < calls_by_age[2] < 570, calls_by_age)

    def test_refuses_what_all_instances_shed_except_probes(self) -> None:
        state = make_state(make_instance('a'), make_instance('b'))
        for name in 'ab':
            self.assertFalse(
                routing.all_shed(state, SERVICE, Importance(2), WARM)
            )
            routing_outcomes.record_outcome(
                state,
                NodeId(name),
                CallOutcome.shed,
                WARM,
                load=LoadReport(shed_level=3),
            )
        admitted = sum(
            routing.admits(state, SERVICE, Importance(2), WARM)
            for _ in range(1000)
        )
        self.assertTrue(5 < admitted < 45, admitted)
        self.assertTrue(routing.admits(state, SERVICE, Importance(3), WARM))

    def test_calls_in_flight_on_a_returning_node_still_count(self) -> None:
        state = make_state(make_instance('a', connections=2))
        pick(state)
        routing.remove_instance(state, NodeId('a'))
        again = replace(make_instance('a', connections=2), incarnation=2)
        routing.put_instance(state, again, WARM)
        self.assertEqual([pick(state), pick(state)], ['a', None])


class EjectionTest(unittest.TestCase):
    """Check that outliers are ejected, but never more than half."""

    def test_outlier_is_ejected_and_returns(self) -> None:
        state = make_state(make_instance('a'), make_instance('b'))
        count_choices(state, 10, WARM)
        fail(state, 'a', 4)
        self.assertEqual(set(count_choices(state, 50, WARM)), {'b'})
        later = Millis(WARM + outlier_ejection.BASE_EJECTION_MS + SLOW_START_MS)
        self.assertEqual(set(count_choices(state, 50, later)), {'a', 'b'})

    def test_failure_of_all_instances_ejects_none(self) -> None:
        state = make_state(*(make_instance(name) for name in 'abcd'))
        for _ in range(30):
            for name in 'abcd':
                fail(state, name, 1)
        self.assertEqual(len(count_choices(state, 100, WARM)), 4)

    def test_failures_of_an_earlier_incarnation_are_ignored(self) -> None:
        state = make_state(make_instance('a'), make_instance('b'))
        for _ in range(10):
            routing_outcomes.record_outcome(
                state, NodeId('a'), CallOutcome.failed, WARM, incarnation=0
            )
        self.assertEqual(set(count_choices(state, 50, WARM)), {'a', 'b'})

    def eject(self, state: routing.RoutingState, names: str) -> None:
        for name in names:
            for _ in range(100):
                node = NodeId('d')
                routing_outcomes.record_outcome(
                    state, node, CallOutcome.succeeded, WARM
                )
            fail(state, name, 8)

    def test_at_most_half_are_ejected_when_a_majority_fails(self) -> None:
        state = make_state(*(make_instance(name) for name in 'abcd'))
        self.eject(state, 'abc')
        self.assertEqual(set(count_choices(state, 50, WARM)), {'c', 'd'})

    def test_departures_end_ejections_above_half(self) -> None:
        state = make_state(*(make_instance(name) for name in 'abcd'))
        self.eject(state, 'ab')
        routing.remove_instance(state, NodeId('c'))
        routing.remove_instance(state, NodeId('d'))
        self.assertEqual([pick(state) for _ in range(4)], ['a'] * 4)

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from('abcdefg'),
                strategies.sampled_from(['fail', 'succeed', 'leave', 'join']),
                strategies.integers(0, 3000),
            ),
            max_size=60,
        )
    )
    def test_never_ejects_more_than_half_or_chooses_an_ejected_one(
        self, steps: list[tuple[str, str, int]]
    ) -> None:
        state = make_state(*(make_instance(name) for name in 'abcdefg'))
        now = WARM
        for name, action, pause in steps:
            now = Millis(now + pause)
            node = NodeId(name)
            if action == 'fail':
                fail(state, name, 6, now)
            elif action == 'succeed':
                routing_outcomes.record_outcome(
                    state, node, CallOutcome.succeeded, now
                )
            elif action == 'leave':
                routing.remove_instance(state, node)
            else:
                routing.put_instance(state, make_instance(name), now)
            chosen = pick(state, now)
            targets = list(state.targets.values())
            ejected = [each for each in targets if now < each.ejected_until]
            self.assertLessEqual(2 * len(ejected), len(targets))
            if chosen is None:
                self.assertEqual(targets, [])
                continue
            routing_outcomes.record_outcome(
                state, NodeId(chosen), CallOutcome.cancelled, now
            )
            self.assertNotIn(chosen, {each.node for each in ejected})
