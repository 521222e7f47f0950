"""Test overload of a deep hop while the first hop still has room.

Pattern: each request makes five calls to a service further down that can
serve only half of them. Without feedback the first hop admits every request,
and nearly all of them fail after they have used slots.
"""

import random
import unittest
from collections import Counter

from jasmineramp.ids import Importance
from jasmineramp.mesh.calls import Answer, Failure
from jasmineramp.mesh.downstream import (
    MIN_ADMITTED_SHARE,
    DownstreamPressure,
    was_refused_for_load,
)
from jasmineramp.refusals import RefusalCode, RunState

ORDER = Importance(5)
BROWSE = Importance(3)
CALLS_PER_REQUEST = 5
TICKS_PER_SECOND = 10
# Calls that the deep service starts in a tick.
CAPACITY = 200
# A refusal shows after the services between, four ticks in all.
DELAY_TICKS = 4


class DeepOverload:
    """Simulate nodes of a first hop that share one deep service.

    Each node has a pressure of its own. In a tick, the deep service serves the
    calls in order of importance until its capacity is used.
    """

    def __init__(self, nodes: int, *, has_feedback: bool) -> None:
        self.random = random.Random(7)
        self.pressures = [DownstreamPressure(self.random) for _ in range(nodes)]
        self.has_feedback = has_feedback
        self.served: Counter[int] = Counter()
        self.offered: Counter[int] = Counter()
        self.wasted = 0
        self.in_flight: list[list[tuple[int, int]]] = []

    def run(self, seconds: float, orders: int, browses: int) -> None:
        """Offer that many requests in each tick."""
        for _ in range(int(seconds * TICKS_PER_SECOND)):
            admitted = [
                (importance, self.random.randrange(len(self.pressures)))
                for importance, count in ((ORDER, orders), (BROWSE, browses))
                for _ in range(count)
            ]
            self.offered.update({ORDER: orders, BROWSE: browses})
            if self.has_feedback:
                admitted = [
                    (importance, node)
                    for importance, node in admitted
                    if self.pressures[node].admits(importance)
                ]
            self.in_flight.append(admitted)
            if len(self.in_flight) > DELAY_TICKS:
                self._serve(self.in_flight.pop(0))
            for pressure in self.pressures:
                pressure.adapt()

    def _serve(self, requests: list[tuple[int, int]]) -> None:
        calls = [
            (importance, self.random.random(), index, node)
            for index, (importance, node) in enumerate(requests)
            for _ in range(CALLS_PER_REQUEST)
        ]
        calls.sort(key=lambda call: (-call[0], call[1]))
        failed = set()
        had_room = len(calls) <= 0.75 * CAPACITY
        for position, (importance, _, index, node) in enumerate(calls):
            was_refused = position >= CAPACITY
            self.pressures[node].record(
                importance, was_refused=was_refused, had_room=had_room
            )
            if was_refused:
                failed.add(index)
        for index, (importance, _) in enumerate(requests):
            if index in failed:
                self.wasted += 1
            else:
                self.served[importance] += 1


class DeepOverloadTest(unittest.TestCase):
    """Test who is served when a deep hop has half of the capacity needed."""

    def play(self, *, has_feedback: bool) -> DeepOverload:
        """Return a run with 10 orders and 70 browses for 40 possible."""
        overload = DeepOverload(20, has_feedback=has_feedback)
        overload.run(20, orders=10, browses=70)
        return overload

    def test_most_of_the_capacity_ends_in_whole_requests(self) -> None:
        without = self.play(has_feedback=False)
        with_feedback = self.play(has_feedback=True)
        possible = 20 * TICKS_PER_SECOND * CAPACITY / CALLS_PER_REQUEST
        self.assertGreater(with_feedback.served.total(), 0.8 * possible)
        self.assertGreater(
            with_feedback.served[BROWSE], 1.5 * without.served[BROWSE]
        )
        self.assertLess(with_feedback.wasted, 0.25 * without.wasted)

    def test_important_requests_are_not_refused_for_the_others(self) -> None:
        overload = self.play(has_feedback=True)
        self.assertGreater(
            overload.served[ORDER], 0.95 * overload.offered[ORDER]
        )

    def test_everything_is_admitted_again_soon_after_the_overload(self) -> None:
        overload = self.play(has_feedback=True)
        overload.run(2, orders=10, browses=20)
        served = overload.served[BROWSE]
        overload.run(4, orders=10, browses=20)
        self.assertGreater(
            overload.served[BROWSE] - served, 0.95 * 4 * TICKS_PER_SECOND * 20
        )

    def test_some_requests_pass_while_nothing_is_served(self) -> None:
        pressure = DownstreamPressure(random.Random(7))
        for _ in range(200):
            for _ in range(10):
                pressure.record(BROWSE, was_refused=True)
            pressure.adapt()
        self.assertEqual(pressure.admitted_shares()[BROWSE], MIN_ADMITTED_SHARE)
        # Guards against callers told to return before they can be admitted.
        self.assertGreater(pressure.recovery_ms(BROWSE), 2000)
        self.assertEqual(pressure.recovery_ms(ORDER), 0)
        self.assertTrue(any(pressure.admits(BROWSE) for _ in range(200)))
        self.assertTrue(pressure.admits(ORDER))

    def test_few_calls_give_no_verdict(self) -> None:
        pressure = DownstreamPressure(random.Random(7))
        pressure.record(BROWSE, was_refused=True)
        pressure.adapt()
        self.assertEqual(pressure.admitted_shares(), {})

    def test_few_refusals_do_not_make_an_instance_starved(self) -> None:
        """Its server errors then have other causes, and may be repeated."""
        pressure = DownstreamPressure(random.Random(7))
        for each in range(200):
            pressure.record(BROWSE, was_refused=each % 40 == 0)
        self.assertFalse(pressure.is_starved())
        for _ in range(20):
            pressure.record(BROWSE, was_refused=True)
        self.assertTrue(pressure.is_starved())


class RefusedForLoadTest(unittest.TestCase):
    """Test which results count as refused for lack of slots."""

    def test_only_refusals_for_load_count(self) -> None:
        refusal = Failure(RefusalCode.overloaded, RunState.not_run)
        by_instance = Failure(
            RefusalCode.overloaded, RunState.not_run, may_have_arrived=True
        )
        lost = Failure(RefusalCode.upstream_lost, RunState.unknown)
        gone = Failure(RefusalCode.no_upstream, RunState.not_run)
        late = Failure(RefusalCode.deadline_exceeded, RunState.not_run)
        self.assertTrue(was_refused_for_load(refusal, is_starved=False))
        for other in (by_instance, lost, gone, late):
            self.assertFalse(was_refused_for_load(other, is_starved=True))

    def test_server_errors_count_only_below_a_starved_instance(self) -> None:
        broken = Answer(500, b'', [], b'')
        whole = Answer(200, b'', [], b'')
        self.assertTrue(was_refused_for_load(broken, is_starved=True))
        self.assertFalse(was_refused_for_load(broken, is_starved=False))
        self.assertFalse(was_refused_for_load(whole, is_starved=True))
