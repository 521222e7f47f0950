"""Test the admission of calls on one instance and at entry nodes."""

import collections
import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jasmineramp import admission
from jasmineramp.admission import AdmissionState, Refuse, Start
from jasmineramp.clock import Millis
from jasmineramp.fair_queue import QueuedCall
from jasmineramp.ids import (
    CallId,
    Importance,
    NodeId,
    RowName,
    ServiceName,
    WorkspaceId,
)
from jasmineramp.limits import CallOutcome, Limiter
from jasmineramp.refusals import RefusalCode
from jasmineramp.shed_levels import ShedLevels

SERVICE = ServiceName('orders')
OK = CallOutcome.succeeded


def make_call(number: int, workspace: str = 'a', **changes) -> QueuedCall:
    fields = {
        'call_id': CallId(str(number)),
        'workspace': WorkspaceId(workspace),
        'row': RowName('row'),
        'importance': Importance(3),
        'hop': 0,
        'deadline': Millis(1e9),
    }
    return QueuedCall(**(fields | changes))


def make_state(slots: int, service_ms: float = 10, **options) -> AdmissionState:
    state = AdmissionState(Limiter(slots), **options)
    state.service_times.record(RowName('row'), service_ms, Millis(0))
    return state


class MaxWaitTest(unittest.TestCase):
    """Test calls with a limit on their own time in the queue.

    Pattern: urgent calls with a short objective meet a full service.
    """

    def setUp(self) -> None:
        self.state = make_state(1, service_ms=40)
        self.offer(1)

    def offer(self, number: int, **changes) -> object:
        """Offer a call and return the decision on it."""
        call = make_call(number, **changes)
        return admission.offer(self.state, call, Millis(0))[0]

    def test_call_that_would_wait_longer_is_refused_at_once(self) -> None:
        self.assertIsInstance(self.offer(2), admission.Wait)
        decision = self.offer(3, max_wait_ms=30)
        self.assertIsInstance(decision, Refuse)
        self.assertIs(decision.code, RefusalCode.overloaded)

    def test_call_ahead_of_less_important_ones_waits(self) -> None:
        self.offer(2)
        decision = self.offer(3, max_wait_ms=30, importance=Importance(4))
        self.assertIsInstance(decision, admission.Wait)

    def test_overdue_call_is_refused_alone(self) -> None:
        self.offer(2)
        self.offer(3, max_wait_ms=30, importance=Importance(4))
        early = admission.expire(self.state, Millis(29))
        self.assertEqual(early, [])
        late = admission.expire(self.state, Millis(30))
        self.assertEqual([each.call.call_id for each in late], [CallId('3')])


class DecisionTracker:
    """Record decisions and check the invariants after each batch."""

    def __init__(self, state: AdmissionState) -> None:
        self.state = state
        self.waiting: dict[CallId, QueuedCall] = {}
        self.running: dict[CallId, QueuedCall] = {}
        self.started: set[CallId] = set()
        self.refused: set[CallId] = set()

    def record(self, decisions) -> None:
        overloaded = 0
        for decision in decisions:
            call = decision.call
            self.waiting.pop(call.call_id, None)
            if isinstance(decision, Start):
                assert call.call_id not in self.started | self.refused
                assert call.importance >= overloaded
                self.started.add(call.call_id)
                self.running[call.call_id] = call
                assert len(self.running) <= self.state.limiter.limit
            elif isinstance(decision, Refuse):
                assert call.call_id not in self.started | self.refused
                self.refused.add(call.call_id)
                if decision.code is RefusalCode.overloaded:
                    overloaded = max(overloaded, call.importance)
            else:
                self.waiting[call.call_id] = call
        assert all(
            call.importance >= overloaded for call in self.waiting.values()
        )
        assert self.waiting.keys() == self.state.queue.entries.keys()


STEPS = st.lists(
    st.tuples(
        st.sampled_from(('offer', 'offer', 'offer', 'finish', 'tick')),
        st.integers(1, 5),  # importance
        st.sampled_from('abc'),
        st.integers(0, 2),  # hop
        st.sampled_from(
            (1, 7, 40, 300)
        ),  # ms: time step, or 1/50 of the time to the deadline
        st.sampled_from((OK, CallOutcome.timed_out, CallOutcome.shed)),
    ),
    max_size=120,
)


class QueuePropertyTest(unittest.TestCase):
    """Check the order of the queue in arbitrary histories."""

    @settings(deadline=None, max_examples=150)
    @given(STEPS, st.integers(1, 4), st.integers(1, 6))
    def test_order_limit_and_refusals_hold(
        self, steps, slots, capacity
    ) -> None:
        """Guard against priority inversion, exceeded limits and late refusals.

        No call is refused as overloaded while a less important one waits or
        starts, and no call is refused after it started.
        """
        state = make_state(
            slots, max_queue_wait_ms=60, max_queued_calls=capacity
        )
        tracker = DecisionTracker(state)
        now = 0.0
        for number, step in enumerate(steps):
            kind, importance, workspace, hop, time, outcome = step
            if kind == 'offer':
                call = make_call(
                    number,
                    workspace,
                    importance=Importance(importance),
                    hop=hop,
                    deadline=Millis(now + 50 * time),
                )
                tracker.record(admission.offer(state, call, Millis(now)))
            elif kind == 'finish' and tracker.running:
                call_id = next(iter(tracker.running))
                del tracker.running[call_id]
                now += time
                tracker.record(
                    admission.finish(state, call_id, outcome, Millis(now))
                )
            else:
                now += time
                tracker.record(admission.expire(state, Millis(now)))
        while tracker.running:
            call_id = next(iter(tracker.running))
            del tracker.running[call_id]
            tracker.record(admission.finish(state, call_id, OK, Millis(now)))
        self.assertEqual(state.queue.work_ms, 0)
        for share in state.queue.shares.values():
            self.assertAlmostEqual(share.normalized_work, 0)

    @settings(deadline=None, max_examples=40)
    @given(
        st.lists(
            st.tuples(st.integers(1, 5), st.sampled_from((4, 10, 25))),
            min_size=2,
            max_size=6,
        ),
        st.integers(1, 12),
    )
    def test_backlogged_workspaces_share_by_weight(self, rows, slots) -> None:
        """Guard against shares that follow call counts or ignore weights.

        The calls of the workspaces take different times.
        """
        state = make_state(slots, max_queue_wait_ms=1e9)
        numbers = itertools.count()
        served: collections.Counter[str] = collections.Counter()
        cost = {str(index): row[1] for index, row in enumerate(rows)}
        ends: list[tuple[float, CallId, str]] = []
        now = 0.0

        def run(decisions) -> None:
            for decision in decisions:
                if isinstance(decision, Start):
                    name = decision.call.workspace
                    ends.append((now + cost[name], decision.call.call_id, name))

        def add(name: str) -> None:
            weight = rows[int(name)][0]
            call = make_call(
                next(numbers), name, weight=weight, row=RowName(name)
            )
            run(admission.offer(state, call, Millis(now)))

        for name in cost:
            for _ in range(2 * slots + 2):
                add(name)
        for _ in range(1200):
            ends.sort()
            now, call_id, name = ends.pop(0)
            served[name] += cost[name]
            run(admission.finish(state, call_id, OK, Millis(now)))
            add(name)
        shares = [served[name] / rows[int(name)][0] for name in cost]
        slack = 2 * (slots + 2) * 25
        self.assertLess(max(shares) - min(shares), slack)


class QueueTest(unittest.TestCase):
    """Check single rules of the queue."""

    def offer_all(self, state, *calls) -> list:
        decisions = []
        for call in calls:
            decisions += admission.offer(state, call, Millis(0))
        return decisions

    def start_order(self, state, now: float = 0) -> list[str]:
        order = []
        while state.running:
            call_id = next(iter(state.running))
            now += 10
            order += [
                decision.call.call_id
                for decision in admission.finish(
                    state, call_id, OK, Millis(now)
                )
            ]
        return order

    def test_orders_by_importance_then_admitted_requests_then_arrival(
        self,
    ) -> None:
        state = make_state(1)
        self.offer_all(
            state,
            make_call(0),
            make_call(1, importance=2, hop=1),
            make_call(2),
            make_call(3),
            make_call(4, hop=2),
            make_call(5, importance=5),
        )
        self.assertEqual(self.start_order(state), ['5', '4', '2', '3', '1'])

    def test_important_calls_are_charged_to_the_workspace(self) -> None:
        """Guard against a workspace that gains from importance and share.

        The service of its important calls must lower its share in the other
        bands.
        """
        state = make_state(1)
        important = [make_call(n, importance=5) for n in range(4)]
        self.offer_all(state, *important, make_call(8), make_call(9, 'b'))
        self.assertEqual(self.start_order(state)[-2:], ['9', '8'])

    def test_new_workspace_gets_the_lowest_backlogged_start_tag(self) -> None:
        """Guard against a new workspace that inherits another one's charge."""
        state = make_state(1)
        self.offer_all(state, *(make_call(n, importance=5) for n in range(5)))
        self.offer_all(state, *(make_call(n, 'b') for n in range(10, 14)))
        for number in range(4):
            now = Millis(10 * number + 10)
            admission.finish(state, CallId(str(number)), OK, now)
        self.offer_all(state, make_call(20, 'c'))
        self.assertLess(self.start_order(state, 40).index('20'), 2)

    def test_idle_time_gives_no_credit(self) -> None:
        """Guard against a workspace that accumulates service while idle."""
        state = make_state(1)
        self.offer_all(state, *(make_call(n) for n in range(20)))
        for number in range(10):
            now = Millis(10 * number + 10)
            admission.finish(state, CallId(str(number)), OK, now)
        self.offer_all(state, *(make_call(n, 'late') for n in range(30, 40)))
        started = self.start_order(state, 100)[:10]
        late = [call_id for call_id in started if int(call_id) >= 30]
        self.assertIn(len(late), (5, 6))

    def test_actual_service_time_is_charged(self) -> None:
        """Guard against shares by expected instead of actual service times."""
        state = make_state(1)
        self.offer_all(state, make_call(0))
        self.offer_all(state, *(make_call(n, 'slow') for n in range(100, 110)))
        self.offer_all(state, *(make_call(n, 'fast') for n in range(200, 210)))
        now = 0.0
        order = []
        while state.running:
            call_id = next(iter(state.running))
            now += 15 if call_id.startswith('1') else 5
            decisions = admission.finish(state, call_id, OK, Millis(now))
            order += [decision.call.call_id for decision in decisions]
        slow = [call_id for call_id in order[:12] if call_id[0] == '1']
        self.assertLessEqual(len(slow), 4)

    def test_full_queue_evicts_from_the_workspace_with_most_work(self) -> None:
        """Guard against a large workspace that displaces small ones."""
        state = make_state(1, max_queued_calls=4)
        calls = [make_call(0, 'small'), make_call(1, 'small')]
        large = [make_call(n, 'large') for n in range(2, 5)]
        self.offer_all(state, *calls, *large)
        decisions = self.offer_all(state, make_call(6, 'new'))
        self.assertEqual(
            [decision.call.call_id for decision in decisions], ['6', '4']
        )
        self.assertEqual(decisions[1].column, 'weight')
        self.assertEqual(decisions[1].row, 'large')

    def test_refuses_calls_that_would_miss_their_deadline(self) -> None:
        state = make_state(1, 100, max_queue_wait_ms=1000)
        state.queue.insert(
            state.queue.create_entry(make_call(1, importance=5), 150, Millis(0))
        )
        state.running[CallId('0')] = state.queue.entries[CallId('1')]
        code = RefusalCode.deadline_exceeded
        for importance, wait in ((5, 150), (3, 150)):
            late = make_call(2, importance=importance, deadline=Millis(249))
            (refusal,) = self.offer_all(state, late)
            self.assertEqual(refusal.code, code)
            self.assertEqual(refusal.figure, wait + 100)
        soon = make_call(3, 'b', importance=5, deadline=Millis(249))
        self.assertIsInstance(self.offer_all(state, soon)[0], admission.Wait)

    def test_high_estimate_decays_and_admits_calls_again(self) -> None:
        """Guard against an estimate above every deadline that never recovers.

        It would refuse every call, and a refused call gives no sample.
        """
        state = make_state(1, 5000)
        call = make_call(1, deadline=Millis(500))
        self.assertIsInstance(self.offer_all(state, call)[0], Refuse)
        later = make_call(1, deadline=Millis(6500))
        decisions = admission.offer(state, later, Millis(6000))
        self.assertIsInstance(decisions[0], Start)

    def test_calls_are_refused_after_the_maximum_queue_wait(self) -> None:
        state = make_state(1)
        low = make_call(2, importance=1)
        self.offer_all(state, make_call(0), make_call(1), low)
        self.assertEqual(admission.expire(state, Millis(199)), [])
        decisions = admission.expire(state, Millis(200))
        self.assertEqual(
            [decision.code for decision in decisions],
            [RefusalCode.overloaded] * 2,
        )

    def test_withdraw_cancel_and_drain_refuse_queued_calls(self) -> None:
        state = make_state(1)
        calls = [make_call(n, key=f'key{n}') for n in range(5)]
        self.offer_all(state, *calls)
        code = RefusalCode.key_unknown
        decisions = admission.withdraw(
            state, lambda call: call.key == 'key2', Millis(1), code
        )
        self.assertEqual(decisions, [Refuse(calls[2], code)])
        self.assertEqual(
            admission.cancel(state, CallId('1')),
            [Refuse(calls[1], RefusalCode.cancelled)],
        )
        self.assertEqual(
            admission.drain(state),
            [Refuse(call, RefusalCode.draining) for call in calls[3:]],
        )
        self.assertEqual(
            self.offer_all(state, make_call(9))[0].code, RefusalCode.draining
        )
        admission.resize(state, 2, None, Millis(2))
        self.assertIsInstance(self.offer_all(state, make_call(9))[0], Start)

    def test_duplicate_offer_and_finish_change_nothing(self) -> None:
        """Guard against a repeated message that runs a call twice."""
        state = make_state(1)
        self.offer_all(state, make_call(0), make_call(1))
        self.assertEqual(self.offer_all(state, make_call(0), make_call(1)), [])
        admission.finish(state, CallId('0'), OK, Millis(1))
        self.assertEqual(
            admission.finish(state, CallId('0'), OK, Millis(1)), []
        )
        self.assertEqual(len(state.running), 1)


class ShedLevelTest(unittest.TestCase):
    """Check the refusals at entry nodes by shed level."""

    def test_level_is_the_lowest_importance_in_a_full_queue(self) -> None:
        state = make_state(1, max_queued_calls=2)
        for number in range(3):
            self.assertEqual(admission.shed_level(state, Millis(0)), 1)
            call = make_call(number, importance=4)
            admission.offer(state, call, Millis(0))
        self.assertEqual(admission.shed_level(state, Millis(0)), 4)

    def test_level_expires_and_lets_probes_through(self) -> None:
        levels = ShedLevels()
        levels.observe(SERVICE, NodeId('n1'), Importance(4), Millis(0))
        passed = [
            not levels.refuses(SERVICE, Importance(3), Millis(1))
            for _ in range(100)
        ]
        self.assertEqual(sum(passed), 2)
        self.assertFalse(levels.refuses(SERVICE, Importance(4), Millis(1)))
        self.assertFalse(levels.refuses(SERVICE, Importance(3), Millis(1000)))
        levels.expire(Millis(1000))
        self.assertFalse(levels.levels_by_service)

    def test_an_instance_that_sheds_nothing_keeps_calls_admitted(
        self,
    ) -> None:
        levels = ShedLevels()
        levels.observe(SERVICE, NodeId('n1'), Importance(4), Millis(0))
        levels.observe(SERVICE, NodeId('n2'), Importance(1), Millis(0))
        self.assertEqual(levels.level(SERVICE, Millis(1)), 1)
