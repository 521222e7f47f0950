"""Test when refused callers are told to return."""

import contextlib
import random
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from jasmineramp.clock import MILLIS_PER_SECOND, Millis
from jasmineramp.mesh.return_times import (
    SMALLEST_RETURN_MS,
    CallerTime,
    ReturnTimes,
)
from tests.fakes.burst import Burst, Caller, wait_as_today
from tests.fakes.mesh import Fleet

# Slots, mean work and objective of a service with slow and with fast calls.
SLOW = (15, 620, 3000)
FAST = (136, 110, 250)
times_ms = st.floats(0, 1e5)


class BurstTest(unittest.TestCase):
    """Test a burst of 2 x the capacity for 3 s; callers return once."""

    def count_in_time(
        self, service: tuple[int, float, float], policy: str
    ) -> int:
        slots, work_ms, objective_ms = service
        burst = Burst(slots, ((work_ms, objective_ms, 3, 1),), seed=1)
        rng = random.Random(1)
        times = ReturnTimes(rng)

        def promise(caller: Caller, left_ms: float, now: Millis) -> float:
            if policy == 'constant':
                return 200
            if policy == 'random':
                return rng.uniform(300, 900)
            needed_ms = work_ms + burst.state.expected_wait_ms()
            limit = burst.state.limiter.limit
            return times.promise_ms(
                CallerTime(caller.remaining_ms(now), left_ms, needed_ms),
                now,
                capacity_per_s=limit / work_ms * MILLIS_PER_SECOND,
            )

        def wait(caller: Caller, now: Millis) -> float:
            times.count_arrival(now)
            return wait_as_today(caller, now)

        return len(burst.play(promise, wait).in_time)

    # Guards against callers that return into the burst that refused them, or
    # when their objective has passed.
    def test_more_callers_are_served_in_time(self) -> None:
        for service in (SLOW, FAST):
            with self.subTest(service):
                derived = self.count_in_time(service, 'derived')
                for policy in ('constant', 'random'):
                    other = self.count_in_time(service, policy)
                    self.assertGreater(derived, 1.03 * other, policy)

    # Guards against callers that are refused together and return together.
    def test_callers_of_one_moment_return_one_after_the_other(self) -> None:
        times = ReturnTimes(random.Random(1))
        caller = CallerTime(6000, 3000, 620)
        delays = [
            times.promise_ms(caller, Millis(5000), capacity_per_s=20)
            for _ in range(20)
        ]
        self.assertLess(delays[0], 60)
        self.assertGreater(delays[9], 300)
        for delay in delays:
            near = [each for each in delays if abs(each - delay) < 50]
            self.assertLess(len(near), 8)

    # Guards against a delay that the caller cuts off or that ends too late.
    @given(times_ms, st.none() | times_ms, times_ms, times_ms, times_ms)
    def test_delay_is_one_that_the_caller_can_use(
        self,
        remaining_ms: float,
        objective_ms: float | None,
        needed_ms: float,
        rate: float,
        room_after_ms: float,
    ) -> None:
        caller = CallerTime(remaining_ms, objective_ms, needed_ms)
        delay_ms = ReturnTimes(random.Random(1)).promise_ms(
            caller,
            Millis(0),
            capacity_per_s=rate,
            room_after_ms=room_after_ms,
        )
        self.assertGreaterEqual(delay_ms, SMALLEST_RETURN_MS)
        if delay_ms > SMALLEST_RETURN_MS:
            self.assertLessEqual(delay_ms, remaining_ms / 3)


class RefusedCallerTest(unittest.IsolatedAsyncioTestCase):
    """Test the header of a refusal; the caller has 300 ms left."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        await self.fleet.start(1)
        self.addAsyncCleanup(self.fleet.close)

    async def refused_delay_s(self) -> float:
        status, headers, _ = await self.fleet.call(
            0, '/read/1', 'id-1', deadline=300
        )
        self.assertEqual(status, 503)
        return float(headers['Retry-After'])

    # Guards against delays beyond what a caller honours: a third of its time.
    async def test_delay_of_each_refusal_fits_the_time_of_the_caller(
        self,
    ) -> None:
        gate = self.fleet.nodes[0].gate
        shares = mock.patch.object(
            gate.pressure, 'admitted_shares', return_value=[0.5] * 6
        )
        full = mock.patch.object(gate.admission, 'max_queued_calls', 0.5)
        slots = mock.patch.object(gate.admission.limiter, 'limit', 0.5)
        for patches in (
            (mock.patch('jasmineramp.routing.admits', return_value=False),),
            (
                mock.patch.object(gate.pressure, 'admits', return_value=False),
                shares,
            ),
            (full, slots),
        ):
            with self.subTest(patches), contextlib.ExitStack() as stack:
                for each in patches:
                    stack.enter_context(each)
                self.assertLessEqual(await self.refused_delay_s(), 0.1)
