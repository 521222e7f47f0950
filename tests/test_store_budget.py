"""Test the call budget of a node and the load of a fleet on the platform."""

import collections
import heapq
import unittest

from jasmineramp.claim_settings import APPEND_INTERVAL_MS, RENEW_INTERVAL_MS
from jasmineramp.clock import ManualClock, Millis
from jasmineramp.store_budget import (
    DEFAULT_LIMITS,
    BreakerState,
    StoreBudget,
)
from jasmineramp.store_http import BudgetedStore
from jasmineramp.store_messages import (
    CompareAndSwap,
    Get,
    Outcome,
    Role,
    Watch,
)
from tests.fakes.store import FakeStore

NODE_COUNT = 1500
MAX_WRITES_PER_SECOND = 400
MAX_READS_PER_SECOND = 2000
WRITE = CompareAndSwap('slots/a/0', 0, b'')
READ = Get('slots/a/0')


class Fleet:
    """Simulate nodes that call as often as their budgets admit.

    Calls fail from start to end, in ms.
    """

    def __init__(self, role: Role, start: float, end: float) -> None:
        self.role = role
        self.outage_ms = (start, end)
        self.sent: collections.Counter[tuple[bool, int]] = collections.Counter()
        self.recovered: set[int] = set()
        self.budgets = [StoreBudget(seed) for seed in range(NODE_COUNT)]

    def run(self, until: float) -> None:
        queue = [
            (0.0, node, is_read)
            for node in range(NODE_COUNT)
            for is_read in (False, True)
        ]
        while queue:
            now, node, is_read = heapq.heappop(queue)
            if now >= until:
                continue
            budget = self.budgets[node]
            operation = READ if is_read else WRITE
            wait = budget.admit(self.role, operation, Millis(now))
            if not wait:
                self.sent[is_read, int(now / 1000)] += 1
                down = self.outage_ms[0] <= now < self.outage_ms[1]
                outcome = Outcome.not_done if down else Outcome.done
                budget.record_outcome(
                    self.role, operation, outcome, Millis(now + 1)
                )
                if now >= self.outage_ms[1]:
                    self.recovered.add(node)
            heapq.heappush(queue, (now + max(wait, 1) + 0.01, node, is_read))

    def peak_rate(self, is_read: bool) -> int:
        return max(
            count for (kind, _), count in self.sent.items() if kind is is_read
        )


class FleetTest(unittest.TestCase):
    """Guard against a fleet that overloads a platform after an outage.

    Without jitter and empty buckets, all nodes would send their retries and
    bursts in the same second.
    """

    def assert_rates_within_limits(self, fleet: Fleet) -> None:
        self.assertLessEqual(
            fleet.peak_rate(is_read=False), MAX_WRITES_PER_SECOND
        )
        self.assertLessEqual(
            fleet.peak_rate(is_read=True), MAX_READS_PER_SECOND
        )

    def test_long_outage(self) -> None:
        fleet = Fleet(Role.rate_slot, 20_000, 140_000)
        fleet.run(220_000)
        self.assert_rates_within_limits(fleet)
        self.assertEqual(len(fleet.recovered), NODE_COUNT)

    def test_short_outage(self) -> None:
        fleet = Fleet(Role.rate_slot, 20_000, 25_000)
        fleet.run(60_000)
        self.assert_rates_within_limits(fleet)

    def test_start_of_the_whole_fleet_during_an_outage(self) -> None:
        fleet = Fleet(Role.seed, 0, 15_000)
        fleet.run(80_000)
        self.assert_rates_within_limits(fleet)


class BudgetTest(unittest.TestCase):
    """Guard against a breaker that blocks a role and against wrong counts."""

    def test_breaker_opens_probes_once_and_closes(self) -> None:
        budget = StoreBudget(1)
        now = Millis(0)
        for _ in range(3):
            self.assertEqual(budget.admit(Role.claim, WRITE, now), 0)
            budget.record_outcome(Role.claim, WRITE, Outcome.unknown, now)
        self.assertEqual(budget.state(Role.claim), BreakerState.open)
        wait = budget.admit(Role.claim, WRITE, now)
        self.assertGreater(wait, 0)
        self.assertEqual(budget.admit(Role.operator, WRITE, now), 0)
        now = Millis(now + wait)
        self.assertEqual(budget.admit(Role.claim, WRITE, now), 0)
        self.assertGreater(budget.admit(Role.claim, READ, now), 0)
        budget.record_outcome(Role.claim, WRITE, Outcome.conflict, now)
        self.assertEqual(budget.state(Role.claim), BreakerState.closed)
        now = Millis(now + 100)
        self.assertEqual(budget.admit(Role.claim, READ, now), 0)

    def test_budget_allows_writes_for_two_partitions(self) -> None:
        """Guard against an owner whose budget delays or fails its claims."""
        writes_per_partition = (
            1000 / APPEND_INTERVAL_MS + 1000 / RENEW_INTERVAL_MS
        )
        limit = DEFAULT_LIMITS[Role.claim]
        self.assertGreaterEqual(
            limit.writes_per_second, 2 * writes_per_partition
        )

    def test_rate_and_burst_bound_the_calls(self) -> None:
        budget = StoreBudget(1)
        admitted = sum(
            budget.admit(Role.claim, WRITE, Millis(now)) == 0
            for now in range(10_000)
        )
        self.assertIn(admitted, range(240, 12 + 240 + 1))

    def test_no_burst_when_the_breaker_closes(self) -> None:
        budget = StoreBudget(1)
        now = Millis(60_000)
        budget.admit(Role.rate_slot, READ, Millis(0))
        budget.admit(Role.rate_slot, READ, now)
        budget.record_outcome(Role.rate_slot, READ, Outcome.not_done, now)
        now = Millis(now + 60_000)
        self.assertEqual(budget.admit(Role.rate_slot, READ, now), 0)
        budget.record_outcome(Role.rate_slot, READ, Outcome.done, now)
        self.assertEqual(budget.admit(Role.rate_slot, WRITE, now), 10_000)

    def test_waits_grow_up_to_the_maximum_backoff(self) -> None:
        budget = StoreBudget(1)
        now = Millis(0)
        waits = []
        for _ in range(40):
            wait = budget.admit(Role.claim, READ, now)
            waits.append(wait)
            now = Millis(now + wait)
            if not wait:
                budget.record_outcome(Role.claim, READ, Outcome.not_done, now)
        self.assertLessEqual(max(waits), 2000)
        self.assertGreaterEqual(min(waits[-1], waits[-2]) + max(waits), 1000)
        self.assertGreater(len({round(wait) for wait in waits}), 10)

    def test_watch_as_a_probe_blocks_at_most_for_the_maximum_backoff(
        self,
    ) -> None:
        budget = StoreBudget(1)
        now = Millis(0)
        role = Role.configuration
        for _ in range(3):
            budget.admit(role, READ, now)
            budget.record_outcome(role, READ, Outcome.not_done, now)
        now = Millis(now + budget.admit(role, READ, now))
        self.assertEqual(budget.admit(role, Watch('table', 1), now), 0)
        self.assertEqual(budget.admit(role, READ, Millis(now + 2000)), 0)

    def test_refused_operation_does_not_reach_the_store(self) -> None:
        clock = ManualClock()
        store = FakeStore(clock)
        budget = StoreBudget(1)
        budgeted = BudgetedStore(store, budget, clock)
        store.faults.down = True
        for _ in range(10):
            answer = budgeted.run(WRITE, Role.claim)
            self.assertEqual(answer.outcome, Outcome.not_done)
        self.assertEqual(store.calls.total(), 3)
        clock.advance(1000)
        store.faults.down = False
        answer = budgeted.run(READ, Role.claim)
        self.assertEqual(answer.outcome, Outcome.done)
        self.assertEqual(
            budget.counts,
            {
                ('claim', 'CompareAndSwap', 'not_done'): 3,
                ('claim', 'CompareAndSwap', 'refused'): 7,
                ('claim', 'Get', 'done'): 1,
            },
        )
