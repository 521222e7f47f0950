"""Test the choice of instances."""

import random
import unittest
from collections import Counter

from hypothesis import given, strategies
from msgspec.structs import replace

from jasmineramp import routing
from jasmineramp.clock import Millis
from jasmineramp.ids import DomainId, Importance, NodeId, ServiceName
from jasmineramp.membership_messages import Instance, Upstream, UpstreamState
from jasmineramp.routing import CallOutcome, LoadReport
from jasmineramp.routing_targets import SLOW_START_MS

SERVICE = ServiceName('orders')
HOME = DomainId('a')
START = Millis(0)
WARM = Millis(100_000)
NOBODY: frozenset[NodeId] = frozenset()


def make_instance(
    name: str, domain: DomainId = HOME, **fields: object
) -> Instance:
    upstream = replace(Upstream(SERVICE, 80, 10, 100), **fields)
    return Instance(NodeId(name), domain, 1, upstream)


def make_state(*instances: Instance) -> routing.RoutingState:
    state = routing.RoutingState(HOME, random.Random(7), START)
    routing.set_instances(state, instances, START)
    return state


def pick(
    state: routing.RoutingState,
    now: Millis = WARM,
    exclude: frozenset[NodeId] = NOBODY,
) -> str | None:
    chosen = routing.choose(state, SERVICE, exclude, now)
    return None if chosen is None else chosen.node


def fail(
    state: routing.RoutingState, name: str, times: int, now: Millis = WARM
) -> None:
    for _ in range(times):
        routing.observe(state, NodeId(name), CallOutcome.failed, now)


def count(state: routing.RoutingState, calls: int, now: Millis) -> Counter:
    """Choose and end calls one after the other."""
    chosen = Counter()
    for _ in range(calls):
        name = pick(state, now)
        chosen[name] += 1
        routing.observe(state, NodeId(name), CallOutcome.succeeded, now)
    return chosen


class ChooseTest(unittest.TestCase):
    """Guard against calls that go to the wrong instance."""

    def test_load_is_compared_per_weight(self) -> None:
        state = make_state(
            make_instance('big', weight=3), make_instance('small')
        )
        chosen = Counter(pick(state) for _ in range(8))
        self.assertEqual(chosen, {'big': 6, 'small': 2})

    def test_idle_instances_share_by_weight(self) -> None:
        state = make_state(
            make_instance('big', weight=9), make_instance('small')
        )
        share = count(state, 2000, WARM)['small']
        self.assertTrue(120 < share < 280, share)

    def test_a_slow_own_domain_shares_its_calls(self) -> None:
        """Calls are not late at a slow instance while a fast one is free."""
        for capacity, expected in ((30.0, range(5, 12)), (80.0, range(1))):
            state = make_state(
                make_instance('home'), make_instance('away', DomainId('b'))
            )
            for name, each in (('home', capacity), ('away', 100.0)):
                routing.choose(state, SERVICE, NOBODY, WARM)
                report = LoadReport(0, each)
                routing.observe(
                    state,
                    NodeId(name),
                    CallOutcome.succeeded,
                    WARM,
                    load=report,
                )
            later = Millis(WARM + routing.REWEIGH_MS)
            for target in state.targets.values():
                target.in_flight = 0
            chosen = Counter(pick(state, later) for _ in range(8))
            with self.subTest(capacity=capacity):
                self.assertIn(chosen['away'], expected)
            for target in state.targets.values():
                target.in_flight = 0
            for _ in range(8):
                instance = routing.choose(
                    state, SERVICE, NOBODY, later, is_large=True
                )
                self.assertEqual(instance and instance.node, 'home')

    def test_draining_and_starting_instances_get_no_calls(self) -> None:
        state = make_state(
            make_instance('a', state=UpstreamState.draining),
            make_instance('b', state=UpstreamState.starting),
        )
        self.assertIsNone(pick(state))

    def test_drain_takes_effect_on_the_next_call(self) -> None:
        state = make_state(make_instance('a'), make_instance('b'))
        count(state, 10, WARM)
        routing.put_instance(
            state, make_instance('a', state=UpstreamState.draining), WARM
        )
        self.assertEqual(set(count(state, 50, WARM)), {'b'})

    def test_excluded_instance_is_never_chosen(self) -> None:
        state = make_state(make_instance('a'), make_instance('b'))
        tried = frozenset({NodeId('a')})
        self.assertEqual({pick(state, WARM, tried) for _ in 'x' * 9}, {'b'})
        self.assertIsNone(pick(state, exclude=tried | {NodeId('b')}))

    def test_connections_bound_the_calls_in_flight(self) -> None:
        state = make_state(make_instance('a', connections=2))
        self.assertEqual([pick(state) for _ in range(3)], ['a', 'a', None])

    def test_own_domain_first_until_it_is_full(self) -> None:
        state = make_state(
            make_instance('near', slots=4),
            make_instance('far', DomainId('b'), slots=4),
        )
        chosen = [pick(state) for _ in range(6)]
        self.assertEqual(chosen[:4], ['near'] * 4)
        self.assertEqual(chosen[4:], ['far'] * 2)

    def test_other_domains_share_by_spare_capacity(self) -> None:
        state = make_state(
            make_instance('b', DomainId('b'), slots=90),
            make_instance('c', DomainId('c'), slots=10),
        )
        share = count(state, 1000, WARM)['c']
        self.assertTrue(50 < share < 160, share)

    def test_reported_queue_is_a_bounded_hint(self) -> None:
        state = make_state(make_instance('a'), make_instance('b'))
        for name, queued in (('a', 10**9), ('b', 1)):
            pick(state, exclude=frozenset({NodeId('ab'.replace(name, ''))}))
            routing.observe(
                state,
                NodeId(name),
                CallOutcome.succeeded,
                WARM,
                load=LoadReport(queued=queued),
            )
        chosen = Counter(pick(state) for _ in range(19))
        self.assertTrue(chosen['a'] > 3, chosen)
        later = Millis(WARM + routing.REPORT_VALID_MS)
        state.targets[NodeId('a')].in_flight = 0
        state.targets[NodeId('b')].in_flight = 1
        self.assertEqual(pick(state, later), 'a')

    def test_reported_capacity_corrects_the_weight_within_bounds(self) -> None:
        for capacity, least, most in ((400, 120, 280), (10**9, 60, 180)):
            state = make_state(make_instance('a'), make_instance('b'))
            for name, reported in (('a', 100), ('b', capacity)):
                routing.observe(
                    state,
                    NodeId(name),
                    CallOutcome.succeeded,
                    WARM,
                    load=LoadReport(capacity=reported),
                )
            share = count(state, 1000, WARM)['a']
            self.assertTrue(least < share < most, (capacity, share))

    def test_cold_instance_starts_slowly(self) -> None:
        state = make_state(make_instance('old'))
        routing.put_instance(state, make_instance('new'), WARM)
        shares = [
            count(state, 1000, Millis(WARM + age))['new']
            for age in (0, 5_000, 10_000)
        ]
        self.assertTrue(20 < shares[0] < 150, shares)
        self.assertTrue(shares[0] < shares[1] < shares[2], shares)
        self.assertTrue(430 < shares[2] < 570, shares)

    def test_all_shedding_refuses_early_but_probes(self) -> None:
        state = make_state(make_instance('a'), make_instance('b'))
        for name in 'ab':
            self.assertFalse(
                routing.refuses(state, SERVICE, Importance(2), WARM)
            )
            routing.observe(
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

    def test_calls_of_a_returning_node_stay_counted(self) -> None:
        state = make_state(make_instance('a', connections=2))
        pick(state)
        routing.remove_instance(state, NodeId('a'))
        again = replace(make_instance('a', connections=2), incarnation=2)
        routing.put_instance(state, again, WARM)
        self.assertEqual([pick(state), pick(state)], ['a', None])


class EjectionTest(unittest.TestCase):
    """Guard against outliers in use and against ejecting too many."""

    def test_outlier_is_ejected_and_returns(self) -> None:
        state = make_state(make_instance('a'), make_instance('b'))
        count(state, 10, WARM)
        fail(state, 'a', 4)
        self.assertEqual(set(count(state, 50, WARM)), {'b'})
        later = Millis(WARM + routing.EJECTION_MS + SLOW_START_MS)
        self.assertEqual(set(count(state, 50, later)), {'a', 'b'})

    def test_failure_of_all_ejects_none(self) -> None:
        state = make_state(*(make_instance(name) for name in 'abcd'))
        for _ in range(30):
            for name in 'abcd':
                fail(state, name, 1)
        self.assertEqual(len(count(state, 100, WARM)), 4)

    def test_failures_of_an_earlier_incarnation_do_not_count(self) -> None:
        state = make_state(make_instance('a'), make_instance('b'))
        for _ in range(10):
            routing.observe(
                state, NodeId('a'), CallOutcome.failed, WARM, incarnation=0
            )
        self.assertEqual(set(count(state, 50, WARM)), {'a', 'b'})

    def eject(self, state: routing.RoutingState, names: str) -> None:
        for name in names:
            for _ in range(100):
                node = NodeId('d')
                routing.observe(state, node, CallOutcome.succeeded, WARM)
            fail(state, name, 8)

    def test_half_stays_when_a_majority_fails(self) -> None:
        state = make_state(*(make_instance(name) for name in 'abcd'))
        self.eject(state, 'abc')
        self.assertEqual(set(count(state, 50, WARM)), {'c', 'd'})

    def test_departures_release_ejected_instances(self) -> None:
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
    def test_never_more_than_half_and_best_available(
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
                routing.observe(state, node, CallOutcome.succeeded, now)
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
            routing.observe(state, NodeId(chosen), CallOutcome.cancelled, now)
            self.assertNotIn(chosen, {each.node for each in ejected})
