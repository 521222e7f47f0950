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
    """Keep the limiter at its limit; return the time in ms at the end.

    Latency is a function of the number of running calls.
    """
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


def serve(
    limiter, change_at, slots=1.0, factor=1.0, *, seed=1, duration_after=5000
):
    """Simulate 70% load on 100 slots; return the limit every 100 ms.

    From the time of the change on, the upstream has fewer slots (a fraction
    of 100) or a downstream service is slower by a factor. Calls take 50 ms
    on average.
    """
    source = random.Random(seed)
    now = served = arrival = next_report_at = 0.0
    waiting = 0
    completions: list[tuple[float, float]] = []
    limits = []
    while now < change_at + duration_after:
        actual_slots, current_factor = (
            (100 * slots, factor) if now >= change_at else (100, 1)
        )
        slowdown = (
            current_factor * max(1, limiter.running / actual_slots) ** 1.5
        )
        end = (
            now + (completions[0][0] - served) * slowdown
            if completions
            else arrival
        )
        if arrival <= end:
            served += (arrival - now) / slowdown
            now = arrival
            arrival += source.expovariate(1.4)
            waiting = min(waiting + 1, 400)
        else:
            served, started = heapq.heappop(completions)
            now = end
            limiter.finished(LatencySample(now - started), Millis(now))
        while waiting and limiter.running + 1 <= limiter.limit:
            waiting -= 1
            limiter.started(Millis(now))
            work = source.gammavariate(4, 12.5)
            heapq.heappush(completions, (served + work, now))
        while next_report_at <= now:
            limits.append(limiter.limit)
            next_report_at += 100
    return limits


class LimiterTest(unittest.TestCase):
    """Check that the limit falls on overload and not for other causes."""

    def test_falls_to_the_actual_slots_and_recovers(self) -> None:
        """Guard against an upstream that has fewer slots than announced."""
        limiter = Limiter(100)
        now = drive(limiter, lambda _: 20, 2000)
        now = drive(limiter, lambda run: 20 * max(1, run / 30) ** 2, 3000, now)
        self.assertLess(limiter.limit, 60)
        drive(limiter, lambda _: 20, 4000, now)
        self.assertEqual(limiter.limit, 100)

    def test_overload_from_the_start_lowers_the_limit(self) -> None:
        """Guard against overload latency that becomes the baseline."""
        limiter = Limiter(100)
        drive(limiter, lambda run: 20 * max(1, run / 20) ** 2, 3000)
        self.assertLess(limiter.limit, 40)

    def test_slow_downstream_service_does_not_lower_the_limit_for_long(
        self,
    ) -> None:
        """Guard against a lowered limit that latency does not follow."""
        for factor in (2, 3, 10):
            limiter = Limiter(100)
            now = drive(limiter, lambda _: 20, 2000)
            drive(
                limiter,
                lambda _, latency=20 * factor: latency,
                4000,
                now,
            )
            self.assertEqual(limiter.limit, 100)

    def test_distinguishes_contention_from_a_slow_downstream_service(
        self,
    ) -> None:
        """Guard against calls from before a decrease that decide the cause."""
        for seed in range(1, 7):
            limits = serve(Limiter(100), 4000, 0.4, seed=seed)
            self.assertEqual(limits[39], 100)
            self.assertLess(max(limits[50:]), 70)
            limits = serve(Limiter(100), 4000, 1, 3, seed=seed)
            self.assertLess(min(limits[40:60]), 100)
            self.assertGreater(min(limits[65:]), 95)

    def test_lasting_contention_does_not_become_the_baseline(self) -> None:
        """Guard against a baseline and a limit that slowly rise together."""
        for seed in (1, 2):
            limits = serve(
                Limiter(100), 3000, 0.4, seed=seed, duration_after=36_000
            )
            self.assertLess(max(limits[50:]), 62)

    def test_latency_at_the_floor_becomes_the_baseline(self) -> None:
        """Guard against a limit that never leaves the floor."""
        limiter = Limiter(100)
        now = drive(limiter, lambda _: 20, 2000)

        def slower(running: float) -> float:
            return 60 * max(1, running / 25)

        drive(limiter, slower, 7000, now)
        self.assertGreater(limiter.limit, 26)

    def test_slow_calls_do_not_delay_startup(self) -> None:
        """Guard against windows that need seconds to collect their samples."""
        limiter = Limiter(16)
        drive(limiter, lambda _: 300, 8000)
        self.assertEqual(limiter.limit, 16)

    def test_few_timeouts_do_not_lower_the_limit_to_the_floor(self) -> None:
        """Guard against one failing row that lowers the limit for all rows."""
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

    def test_grows_from_a_fractional_limit(self) -> None:
        """Guard against a busy instance that counts as idle.

        The running calls can only reach the whole part of the limit.
        """
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

    def test_slow_row_does_not_count_as_overload(self) -> None:
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

    def test_resize_adjusts_the_limit(self) -> None:
        limiter = Limiter(10)
        limiter.limit = 10
        limiter.resize(20, 15)
        self.assertEqual(limiter.limit, 15)
        limiter.resize(0, 15)
        self.assertEqual(limiter.limit, 1)


class ServiceTimesTest(unittest.TestCase):
    """Check the estimates by which calls are refused for their deadline."""

    def test_unknown_row_uses_the_mean_of_all_rows(self) -> None:
        times = ServiceTimes()
        for _ in range(200):
            times.record(RowName('a'), 40, Millis(0))
        self.assertEqual(times.expected_ms(RowName('a'), Millis(0)), 40)
        self.assertAlmostEqual(
            times.expected_ms(RowName('b'), Millis(0)), 40, delta=1
        )
