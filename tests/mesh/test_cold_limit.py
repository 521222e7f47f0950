"""Test how many calls reach an instance that is still cold."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jasmineramp import admission, routing, routing_outcomes
from jasmineramp.admission import AdmissionState, Decision, Refuse, Start
from jasmineramp.clock import ManualClock, Millis, later
from jasmineramp.fair_queue import QueuedCall
from jasmineramp.ids import (
    CallId,
    DomainId,
    Importance,
    NodeId,
    RowName,
    ServiceName,
    WorkspaceId,
)
from jasmineramp.limits import CallOutcome
from jasmineramp.load_reports import LoadReport
from jasmineramp.membership_messages import Instance, Upstream, UpstreamState
from jasmineramp.mesh.cold_limit import (
    MIN_CONFIRMATION_MS,
    ColdLimit,
    ColdRule,
)
from jasmineramp.mesh.slot_limit import SlotLimiter

RULE = ColdRule(6.5, 5000)
ORDERS = ServiceName('orders')
COLD_MS = 5000
SLOTS = 40
WORK_MS = 100
STEP_MS = 5


def busiest_second(times: list[float], second_ms: float = 1000) -> int:
    """Return the most calls in any one second."""
    return max(
        (sum(first <= each < first + second_ms for each in times))
        for first in times
    )


class Gate:
    """Hold the admission of one instance and the times of its starts."""

    def __init__(self, cold_ms: float, clock: ManualClock) -> None:
        self.clock = clock
        self.cold = ColdLimit(RULE)
        self.cold.announce(cold_ms, clock.now())
        self.state = AdmissionState(SlotLimiter(SLOTS), pacing=self.cold)
        self.starts: list[float] = []

    def offer(
        self, name: str, importance: int = 3, wait_ms: float = 200
    ) -> list[Decision]:
        """Offer a call; return the decisions, its own first."""
        now = self.clock.now()
        call = QueuedCall(
            CallId(name),
            WorkspaceId('shop'),
            RowName('read'),
            Importance(importance),
            0,
            Millis(now + 2000),
            max_wait_ms=wait_ms,
        )
        return self.count(admission.offer(self.state, call, now))

    def tick(self) -> list[Decision]:
        """End the calls that are done, start and refuse queued ones."""
        now = self.clock.now()
        decisions: list[Decision] = []
        for call_id, entry in list(self.state.running.items()):
            if now - entry.state_since >= WORK_MS:
                decisions += admission.finish(
                    self.state, call_id, CallOutcome.succeeded, now
                )
        return self.count(decisions + admission.expire(self.state, now))

    def count(self, decisions: list[Decision]) -> list[Decision]:
        """Note the starts among decisions."""
        for each in decisions:
            if isinstance(each, Start):
                self.starts.append(self.clock.now())
        return decisions

    def load(self) -> LoadReport:
        """Return what peers are told."""
        now = self.clock.now()
        queued = len(self.state.queue.entries)
        cold_ms = self.cold.remaining_ms(now)
        if not cold_ms:
            return LoadReport(queued, SLOTS * 1000 / WORK_MS)
        is_full = queued or not self.cold.may_start(now)
        return LoadReport(
            int(is_full), 6.5, 0, True, cold_per_s=6.5, cold_ms=cold_ms
        )


class ColdLimitTest(unittest.TestCase):
    """Test one instance that tolerates 6.5 calls a second."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.gate = Gate(COLD_MS, self.clock)

    # Guards against FAILBACK: bursts, changes between cold and warm, or calls
    # that arrive later than they were sent, exceed the bound in some second.
    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(st.tuples(st.integers(0, 400), st.integers(0, 40))),
        st.sampled_from((RULE, ColdRule(6.5, 5000, 1, 2), ColdRule(40, 9, 2))),
    )
    def test_no_second_exceeds_the_bound(
        self, steps: list[tuple[int, int]], rule: ColdRule
    ) -> None:
        self.setUp()
        self.gate.cold.set_rule(rule)
        for pause, calls in [*steps, *[(20, 5)] * 80]:
            self.clock.advance(pause)
            self.gate.cold.announce(COLD_MS, self.clock.now())
            self.gate.tick()
            for each in range(calls):
                self.gate.offer(f'{self.clock.now()}-{each}')
        # What starts in 1.3 s may arrive in one second.
        calls = busiest_second(self.gate.starts, 1300)
        self.assertLessEqual(calls, rule.bound())

    # Guards against FAILBACK: a heartbeat sent before the end of an evacuation
    # and handled after it, as by a node that was stopped in between.
    def test_announcement_right_after_an_evacuation_may_be_old(self) -> None:
        cold = ColdLimit(RULE)
        cold.await_announcement(later(self.clock.now(), MIN_CONFIRMATION_MS))
        self.clock.advance(3)
        cold.announce(0, self.clock.now())
        self.assertTrue(cold.is_cold(self.clock.now()))
        self.clock.advance(1500)
        cold.announce(0, self.clock.now())
        self.assertFalse(cold.is_cold(self.clock.now()))

    # Guards against FAILBACK: calls that started or queued before the instance
    # turned cold, with those after it.
    def test_calls_before_the_change_count_too(self) -> None:
        self.gate.cold.announce(0, self.clock.now())
        self.clock.advance(4000)
        for each in range(60):
            self.gate.offer(str(each))
        self.gate.starts.clear()
        self.gate.cold.announce(COLD_MS, self.clock.now())
        self.gate.cold.wait_ms(self.clock.now())
        refused = admission.evict_excess(self.gate.state, self.clock.now())
        self.assertGreater(len(refused), 18)
        for _ in range(int(1000 / STEP_MS)):
            self.clock.advance(STEP_MS)
            self.gate.tick()
        self.assertFalse(self.gate.starts)

    # Guards against memory that grows with the rate that the operators allow.
    def test_starts_are_forgotten(self) -> None:
        self.gate.cold.set_rule(ColdRule(1e12))
        self.gate.cold.announce(0, self.clock.now())
        for each in range(100):
            self.gate.cold.started(Millis(each * 100))
        self.assertLess(len(self.gate.cold.starts), 15)

    # Guards against a refusal that comes late, or says to return too early.
    def test_refusal_is_immediate_and_follows_from_the_limit(self) -> None:
        impatient = self.gate.offer('impatient', 3, 10)[0]
        self.assertIsInstance(impatient, Refuse)
        decisions = [self.gate.offer(f'{each}')[0] for each in range(20)]
        refusal = decisions[-1]
        assert isinstance(refusal, Refuse)
        self.assertEqual((refusal.column, refusal.limit), ('cold_per_s', 6.5))
        self.assertAlmostEqual(refusal.retry_after or 0, 2000 / 6.5, delta=1)

    # Guards against a less important call that keeps the place of a more
    # important one.
    def test_more_important_call_takes_the_place(self) -> None:
        self.gate.offer('low', 2)
        decisions = self.gate.offer('high', 4)
        self.assertNotIsInstance(decisions[0], Refuse)
        self.assertIsInstance(decisions[1], Refuse)

    # Guards against an instance that stays idle after its cold time.
    def test_rate_rises_to_full_use_after_the_cold_time(self) -> None:
        cold = self.gate.cold
        rates = [cold.rate(Millis(COLD_MS + each)) for each in (-1, 0, 1000)]
        self.assertEqual(rates, [6.5, 6.5, 26])
        self.assertFalse(cold.is_limited(Millis(COLD_MS + 3000)))

    # Guards against a flood before the instance has announced its cold time:
    # after a start of the node, and after the end of an evacuation.
    def test_unannounced_cold_time_counts_as_cold(self) -> None:
        cold = ColdLimit(RULE)
        self.assertTrue(cold.is_cold(Millis(0)))
        # Peers keep sending, as it is likely warm.
        self.assertFalse(cold.remaining_ms(Millis(0)))
        cold.announce(0, Millis(0))
        self.assertFalse(cold.is_limited(Millis(0)))
        cold.await_announcement(Millis(0))
        self.assertTrue(cold.is_cold(Millis(9e6)))
        self.assertFalse(ColdLimit(ColdRule()).is_cold(Millis(0)))


class ReturningDomainTest(unittest.TestCase):
    """Test ten senders without a network; domain a comes back cold."""

    def setUp(self) -> None:
        self.clock = ManualClock(Millis(1000))
        self.random = random.Random(7)
        self.gates = {
            NodeId(f'{domain}{number}'): Gate(
                COLD_MS if domain == 'a' else 0, self.clock
            )
            for domain in 'abc'
            for number in range(3)
        }
        instances = [
            Instance(
                node,
                DomainId(node[0]),
                1,
                Upstream(ORDERS, 1, SLOTS, SLOTS, 1, UpstreamState.ready),
            )
            for node in self.gates
        ]
        self.senders = [
            routing.RoutingState(
                DomainId('aaaabbbccc'[each]), self.random, Millis(0)
            )
            for each in range(10)
        ]
        for sender in self.senders:
            routing.set_instances(sender, instances, self.clock.now())
        # Sender, node and earlier nodes of each call that has not ended.
        self.open: dict[str, tuple[int, NodeId, frozenset[NodeId]]] = {}
        self.sent = self.lost = 0

    def send(self, name: str, sender: int, tried: frozenset[NodeId]) -> None:
        """Send a call to an instance that was not tried."""
        routes = self.senders[sender]
        chosen = routing.choose(routes, ORDERS, tried, self.clock.now())
        if chosen is None or len(tried) > 2:
            self.lost += 1
            return
        self.open[name] = (sender, chosen.node, tried)
        gate = self.gates[chosen.node]
        self.apply(gate, gate.offer(name))

    def apply(self, gate: Gate, decisions: list[Decision]) -> None:
        """Send refused calls to another instance."""
        for each in decisions:
            if isinstance(each, Refuse):
                name = str(each.call.call_id)
                sender, node, tried = self.end(
                    name, routing_outcomes.CallOutcome.shed
                )
                self.send(name, sender, tried | {node})

    def end(
        self, name: str, outcome: routing_outcomes.CallOutcome
    ) -> tuple[int, NodeId, frozenset[NodeId]]:
        """End a call and report the load of its instance to its sender."""
        sender, node, tried = self.open.pop(name)
        routing_outcomes.record_outcome(
            self.senders[sender],
            node,
            outcome,
            self.clock.now(),
            load=self.gates[node].load(),
        )
        return sender, node, tried

    def run_for(self, duration_ms: int) -> None:
        """Let each sender send 60 calls a second."""
        for _ in range(duration_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            for gate in self.gates.values():
                running = set(gate.state.running)
                self.apply(gate, gate.tick())
                for done in running - set(gate.state.running):
                    self.end(str(done), routing_outcomes.CallOutcome.succeeded)
            for sender in range(10):
                if self.random.random() < 60 * STEP_MS / 1000:
                    self.sent += 1
                    self.send(str(self.sent), sender, frozenset())

    # Guards against FAILBACK: a domain that is flooded or idle while it is
    # cold, callers that are refused, or a domain that is not used afterwards.
    def test_cold_domain_is_neither_flooded_nor_idle(self) -> None:
        self.run_for(COLD_MS)
        for node, gate in self.gates.items():
            if node.startswith('a'):
                self.assertLessEqual(busiest_second(gate.starts), 9)
                self.assertGreater(len(gate.starts), 6.5 * 5 / 2)
        self.assertLess(self.lost, self.sent / 100)
        self.run_for(12_000)
        before = {node: len(gate.starts) for node, gate in self.gates.items()}
        self.run_for(3_000)
        runs = {
            node: len(gate.starts) - before[node]
            for node, gate in self.gates.items()
        }
        share = sum(runs[node] for node in runs if node[0] == 'a')
        self.assertGreater(share, sum(runs.values()) / 4)
