"""Test the choice by reported use, mostly with a model of many senders."""

import random
import unittest

import msgspec
from msgspec.structs import replace

from jasmineramp import routing, routing_outcomes
from jasmineramp.clock import Millis
from jasmineramp.ids import DomainId, NodeId
from jasmineramp.load_estimates import LoadEstimate, UseTotals
from jasmineramp.load_reports import LoadReport
from jasmineramp.membership_messages import Instance, Upstream
from jasmineramp.mesh.calls import Failure
from jasmineramp.mesh.metrics_text import render_metrics
from jasmineramp.mesh.node_metrics import Gauges, NodeMetrics
from jasmineramp.mesh.observation import outcome_of
from jasmineramp.refusals import RefusalCode, RunState
from jasmineramp.routing_outcomes import CallOutcome
from tests.fakes.load_model import (
    SERVICE,
    Load,
    Model,
    Result,
    choose_at_random,
    choose_by_reports,
    choose_with_full_knowledge,
)

NODES = 83
NOW = Millis(100_000)
NO_NODES: frozenset[NodeId] = frozenset()
# What the release before load estimates chose in `scripted_choices`.
EARLIER_CHOICES = (
    '020131121311211322200001111133300200003333133200031113333233'
    '200033332222222100022221111111033311110000000322200002222233'
)


def run_today(load: Load) -> Result:
    return Model(load, nodes=0).run(choose_by_reports)


def run_by_use(load: Load) -> Result:
    return Model(load, nodes=NODES).run(choose_by_reports)


def make_state(nodes: int, instances: int = 4) -> routing.RoutingState:
    state = routing.RoutingState(DomainId('0'), random.Random(7), Millis(0))
    routing.set_nodes(state, nodes)
    for number in range(instances):
        upstream = Upstream(SERVICE, 80, 33, 100)
        node, domain = NodeId(str(number)), DomainId(str(number % 2))
        instance = Instance(node, domain, 1, upstream)
        routing.put_instance(state, instance, Millis(0))
    return state


def report(
    state: routing.RoutingState,
    node: str,
    load: LoadReport,
    outcome: CallOutcome = CallOutcome.succeeded,
) -> None:
    routing_outcomes.record_outcome(
        state, NodeId(node), outcome, NOW, load=load
    )


def choose(state: routing.RoutingState, now: Millis = NOW) -> str:
    return str(routing.choose(state, SERVICE, NO_NODES, now).node)


def scripted_choices(state: routing.RoutingState) -> str:
    chosen = ''
    for step in range(120):
        node = choose(state, Millis(NOW + 9 * step))
        chosen += node
        if step % 3:
            load = LoadReport(step * 7 % 5, 40 + step % 11)
            outcome = (
                CallOutcome.failed if step % 8 == 7 else (CallOutcome.succeeded)
            )
            now = Millis(NOW + 9 * step)
            routing_outcomes.record_outcome(
                state, NodeId(node), outcome, now, load=load
            )
    return chosen


class ModelTest(unittest.TestCase):
    """Guard against uneven load while reports are old."""

    def test_use_is_more_even_than_by_two_choices(self) -> None:
        for load in (Load(load=0.8), Load(load=0.9)):
            with self.subTest(load=load.load):
                at_random = Model(load, 0).run(choose_at_random)
                today, by_use = run_today(load), run_by_use(load)
                full = Model(load, 0).run(choose_with_full_knowledge)
                self.assertLess(by_use.spread, 0.75 * today.spread)
                self.assertLess(by_use.spread, 0.75 * at_random.spread)
                self.assertLess(full.spread, by_use.spread)
                self.assertLess(by_use.worst, 1.15)
                self.assertLess(by_use.found_busy, 0.6 * today.found_busy)
                self.assertLess(by_use.remote, 0.5 * today.remote)

    def test_briefly_slow_instances_get_fewer_calls(self) -> None:
        load = Load(load=0.8, slow=(2_500, 3_100, 6))
        today, by_use = run_today(load), run_by_use(load)
        self.assertLess(by_use.spread, 0.6 * today.spread)
        self.assertLess(by_use.found_busy, 0.6 * today.found_busy)

    def test_burst_is_spread(self) -> None:
        load = Load(load=0.7, burst=(2_500, 3_500, 1.5))
        today, by_use = run_today(load), run_by_use(load)
        self.assertLess(by_use.found_busy, today.found_busy)
        self.assertLess(by_use.remote, today.remote)

    def test_short_chains_beside_long_calls_find_free_slots(self) -> None:
        chains = ((3, 6, 30), (1, 1, 620))
        load = Load(load=0.8, instances=23, slots=15, chains=chains)
        today, by_use = run_today(load), run_by_use(load)
        self.assertLess(by_use.spread, 0.6 * today.spread)
        self.assertLess(by_use.found_busy, 0.5 * today.found_busy)

    def test_instance_that_fails_quickly_attracts_no_calls(self) -> None:
        # It looks idle; its even share would be 1 of 33 calls.
        load = Load(load=0.8, failing=1, failing_from=2_000)
        result = run_by_use(load)
        self.assertLess(result.calls[0], sum(result.calls) / 33)


class ChoiceTest(unittest.TestCase):
    """Check for which services and instances the estimates are used."""

    def test_choice_is_as_before_where_slots_are_many(self) -> None:
        for nodes in (0, 33):
            state = make_state(nodes)
            self.assertEqual(scripted_choices(state), EARLIER_CHOICES)

    def test_instance_without_a_report_is_chosen_as_before(self) -> None:
        # One of the previous release among others must not starve.
        state = make_state(NODES, instances=6)
        for node in '02':
            report(state, node, LoadReport(busy=10, limit=31))
        chosen = []
        for _ in range(60):
            chosen.append(choose(state))
            report(
                state,
                chosen[-1],
                LoadReport(busy=10, limit=0 if chosen[-1] == '4' else 31),
            )
        self.assertGreater(chosen.count('4'), 10)

    def test_domain_is_left_only_for_a_clearly_lower_use(self) -> None:
        for local, remote, is_left in (
            (27, 10, False),
            (31, 28, False),
            (31, 10, True),
        ):
            state = make_state(NODES)
            for node in '0213':
                busy = remote if node in '13' else local
                report(state, node, LoadReport(busy=busy, limit=31))
            self.assertEqual(choose(state) in '13', is_left, (local, remote))

    def test_instance_that_hangs_gets_few_calls(self) -> None:
        # Its last report says that it is idle.
        state = make_state(NODES)
        busy, idle = (
            LoadReport(0, 200, busy=20, limit=31),
            LoadReport(0, 200, limit=31),
        )
        report(state, '0', idle)
        report(state, '2', busy)
        chosen = ''
        for step in range(200):
            now = Millis(NOW + 20 * step)
            chosen += choose(state, now)
            if chosen[-1] == '2':
                routing_outcomes.record_outcome(
                    state, NodeId('2'), CallOutcome.succeeded, now, load=busy
                )
        self.assertLess(chosen.count('0'), 30)
        self.assertNotIn('0', chosen[50:])

    def test_refusal_counts_as_full_whatever_the_report_says(self) -> None:
        # A cold or starved instance refuses although its slots are free.
        state = make_state(NODES)
        report(state, '2', LoadReport(busy=20, limit=31))
        report(state, '0', LoadReport(limit=31), CallOutcome.shed)
        self.assertEqual(choose(state), '2')

    def test_refusal_for_all_instances_says_nothing_of_one(self) -> None:
        # Counted as full, it would send calls to another domain.
        failure = Failure(
            RefusalCode.overloaded, RunState.not_run, is_for_all=True
        )
        self.assertEqual(outcome_of(failure), CallOutcome.cancelled)
        for_itself = replace(failure, is_for_all=False)
        self.assertEqual(outcome_of(for_itself), CallOutcome.shed)


class LoadEstimateTest(unittest.TestCase):
    """Check the arithmetic of an estimate."""

    def test_report_nears_the_mean_and_own_calls_are_added(self) -> None:
        estimate = LoadEstimate()
        load = LoadReport(capacity=200, busy=0, limit=40)
        estimate.record(load, NOW, has_refused=False)
        self.assertEqual(estimate.estimate(0.8, 0, NOW), 0)
        estimate.count_sent(NOW)
        estimate.count_sent(NOW)
        self.assertEqual(estimate.estimate(0.8, 2, NOW), 2 / 40)
        later = estimate.estimate(0.8, 0, Millis(NOW + 200))
        self.assertTrue(0.3 < later < 0.7, later)

    def test_metrics_compare_belief_and_replies(self) -> None:
        state = make_state(NODES)
        choose(state)
        for busy in (31, 62):
            report(state, '0', LoadReport(busy=busy, limit=31))
        totals = state.estimate_metrics.totals
        self.assertEqual(totals[SERVICE], UseTotals(1, 1, 2, 1))
        gauges = Gauges(
            *(0,) * 6,
            *({},) * 3,
            use_totals=totals,
            left_domain={SERVICE: 3},
        )
        text = render_metrics(NodeMetrics(), gauges).decode()
        for line in (
            'use_replies_total{name="orders"} 1.0',
            'use_reported_total{name="orders"} 2.0',
            'use_error_total{name="orders"} 1.0',
            'left_domain_total{name="orders"} 3.0',
        ):
            self.assertIn(line, text)

    def test_previous_release_reads_a_report(self) -> None:
        encoded = msgspec.msgpack.encode(LoadReport(3, 5, 1, busy=9, limit=9))
        earlier = msgspec.defstruct(
            'Earlier',
            [
                ('queued', int),
                ('capacity', float),
                ('shed_level', int),
                ('healthy', bool),
            ],
            array_like=True,
        )
        self.assertEqual(
            msgspec.msgpack.decode(encoded, type=earlier).queued, 3
        )
        old = msgspec.msgpack.encode([3, 5.0, 1, True])
        decoded = msgspec.msgpack.decode(old, type=LoadReport)
        self.assertEqual(decoded.limit, 0)
