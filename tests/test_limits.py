"""Test the adaptive concurrency limit."""

import heapq
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jasmineramp.clock import Millis
from jasmineramp.ids import RowName
from jasmineramp.limits import (
    CallOutcome,
    LatencySample,
    Limiter,
    ServiceTimes,
)

OK = CallOutcome.succeeded


def drive(limiter, latency, duration, start=0.0, outcome=None) -> float:
    """Keep the limiter busy; latency is a function of running calls."""
    now = start
    while now < start + duration:
        running = int(limiter.limit)
        while limiter.running < running:
            limiter.started(Millis(now))
        measured = latency(running)
        now += measured
        sample = LatencySample(measured, outcome or OK)
        for _ in range(running):
            limiter.finished(sample, Millis(now))
    return now


def serve(limiter, change, slots=1.0, factor=1.0, *, seed=1, rest=5000):
    """Serve seven tenths of the capacity; return the limit every 100 ms.

    After the time of the change, the upstream has fewer slots (a share of
    100) or a service further down is slower. Calls take 50 ms on average.
    """
    source = random.Random(seed)
    now = served = arrival = shown = 0.0
    waiting = 0
    ends: list[tuple[float, float]] = []
    limits = []
    while now < change + rest:
        real, slow = (100 * slots, factor) if now >= change else (100, 1)
        pace = slow * max(1, limiter.running / real) ** 1.5
        end = now + (ends[0][0] - served) * pace if ends else arrival
        if arrival <= end:
            served += (arrival - now) / pace
            now = arrival
            arrival += source.expovariate(1.4)
            waiting = min(waiting + 1, 400)
        else:
            served, started = heapq.heappop(ends)
            now = end
            limiter.finished(LatencySample(now - started), Millis(now))
        while waiting and limiter.running + 1 <= limiter.limit:
            waiting -= 1
            limiter.started(Millis(now))
            work = source.gammavariate(4, 12.5)
            heapq.heappush(ends, (served + work, now))
        while shown <= now:
            limits.append(limiter.limit)
            shown += 100
    return limits


class LimiterTest(unittest.TestCase):
    """Guard the limit against overload and against needless decreases."""

    def test_falls_to_the_real_slots_and_recovers(self) -> None:
        """Guard against an upstream that has fewer slots than announced."""
        limiter = Limiter(100)
        now = drive(limiter, lambda _: 20, 2000)
        now = drive(limiter, lambda run: 20 * max(1, run / 30) ** 2, 3000, now)
        self.assertLess(limiter.limit, 60)
        drive(limiter, lambda _: 20, 4000, now)
        self.assertEqual(limiter.limit, 100)

    def test_cold_instance_starts_with_few_calls(self) -> None:
        """Guard against overload that is taken for the usual latency."""
        limiter = Limiter(100)
        drive(limiter, lambda run: 20 * max(1, run / 20) ** 2, 3000)
        self.assertLess(limiter.limit, 40)

    def test_slow_back_end_does_not_lower_the_limit_for_long(self) -> None:
        """Guard against a limit that falls although latency stays."""
        for factor in (2, 3, 10):
            limiter = Limiter(100)
            now = drive(limiter, lambda _: 20, 2000)
            drive(limiter, lambda _, slow=20 * factor: slow, 4000, now)
            self.assertEqual(limiter.limit, 100)

    def test_tells_contention_from_a_slow_back_end(self) -> None:
        """Guard against a judgement on calls from before the limit fell."""
        for seed in range(1, 7):
            limits = serve(Limiter(100), 4000, 0.4, seed=seed)
            self.assertEqual(limits[39], 100)
            self.assertLess(max(limits[50:]), 70)
            limits = serve(Limiter(100), 4000, 1, 3, seed=seed)
            self.assertLess(min(limits[40:60]), 100)
            self.assertGreater(min(limits[65:]), 95)

    def test_lasting_contention_does_not_become_usual(self) -> None:
        """Guard against a limit that creeps up while latency is tolerated."""
        for seed in (1, 2):
            limits = serve(Limiter(100), 3000, 0.4, seed=seed, rest=36_000)
            self.assertLess(max(limits[50:]), 62)

    def test_latency_at_the_floor_becomes_the_usual_one(self) -> None:
        """Guard against a limit that stays at the floor for good."""
        limiter = Limiter(100)
        now = drive(limiter, lambda _: 20, 2000)

        def slower(running: float) -> float:
            return 60 * max(1, running / 25)

        drive(limiter, slower, 7000, now)
        self.assertGreater(limiter.limit, 26)

    def test_slow_calls_do_not_delay_the_start(self) -> None:
        """Guard against windows that take seconds to fill."""
        limiter = Limiter(16)
        drive(limiter, lambda _: 300, 8000)
        self.assertEqual(limiter.limit, 16)

    def test_few_timeouts_do_not_close_the_instance(self) -> None:
        """Guard against a limit that one bad row drives to the floor."""
        limiter = Limiter(100)
        now = 0.0
        for number in range(20_000):
            limiter.started(Millis(now))
            if limiter.running < int(limiter.limit):
                continue
            now += 1
            failed = number % 50 == 0
            outcome = CallOutcome.timed_out if failed else OK
            limiter.finished(LatencySample(20, outcome), Millis(now))
        self.assertGreater(limiter.limit, 80)

    def test_grows_from_a_fraction_of_a_slot(self) -> None:
        """Guard against a busy instance that is taken for an idle one."""
        limiter = Limiter(15)
        limiter.limit = 8.95
        drive(limiter, lambda _: 20, 2000)
        self.assertEqual(limiter.limit, 15)

    def test_falls_on_timeouts_and_shedding(self) -> None:
        for outcome in (CallOutcome.timed_out, CallOutcome.shed):
            limiter = Limiter(100)
            drive(limiter, lambda _: 20, 1000, outcome=outcome)
            self.assertLess(limiter.limit, 30)

    def test_does_not_grow_while_idle(self) -> None:
        limiter = Limiter(100)
        now = drive(limiter, lambda _: 20, 500, 0, CallOutcome.shed)
        limits = []
        for _ in range(400):
            now += 20
            limiter.started(Millis(now))
            limiter.finished(LatencySample(20), Millis(now))
            limits.append(limiter.limit)
        # The first window began while the instance was busy.
        self.assertEqual(set(limits[100:]), {limits[100]})
        self.assertLess(limits[100], 50)

    def test_slow_row_is_not_taken_for_overload(self) -> None:
        """Guard against a decrease when the mix of rows changes."""
        limiter = Limiter(50)
        limiter.limit = 50
        now = 0.0
        for number in range(4000):
            now += 1
            row, latency = ('slow', 400) if number > 1000 else ('fast', 10)
            limiter.started(Millis(now))
            sample = LatencySample(latency, row=RowName(row))
            limiter.finished(sample, Millis(now))
        self.assertEqual(limiter.limit, 50)

    @settings(deadline=None)
    @given(
        st.integers(1, 200),
        st.integers(1, 200),
        st.lists(
            st.tuples(st.floats(0, 5000), st.sampled_from(tuple(CallOutcome))),
            max_size=60,
        ),
    )
    def test_stays_within_the_announced_bounds(
        self, slots, connections, samples
    ) -> None:
        limiter = Limiter(slots, connections)
        now = 0.0
        for latency, outcome in samples * 20:
            now += 20
            limiter.started(Millis(now))
            limiter.finished(LatencySample(latency, outcome), Millis(now))
            self.assertLessEqual(limiter.limit, min(slots, connections))
            floor = max(1, min(slots, connections) / 4)
            self.assertGreaterEqual(limiter.limit, floor)

    def test_resize_moves_the_limit(self) -> None:
        limiter = Limiter(10)
        limiter.limit = 10
        limiter.resize(20, 15)
        self.assertEqual(limiter.limit, 15)
        limiter.resize(0, 15)
        self.assertEqual(limiter.limit, 1)


class ServiceTimesTest(unittest.TestCase):
    """Guard the estimates that decide on deadlines."""

    def test_unknown_row_uses_the_mean_of_all(self) -> None:
        times = ServiceTimes()
        for _ in range(200):
            times.record(RowName('a'), 40, Millis(0))
        self.assertEqual(times.expected(RowName('a'), Millis(0)), 40)
        self.assertAlmostEqual(
            times.expected(RowName('b'), Millis(0)), 40, delta=1
        )
