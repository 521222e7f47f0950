"""Test that repeats do not multiply over the hops of a call graph.

Pattern: answers are lost while callers press, and each repeated call makes its
own calls again.
"""

import random
import unittest
from collections import Counter

from jasmineramp.ids import ServiceName
from jasmineramp.mesh.retry_budget import (
    TOP_IMPORTANCE,
    RepeatBudget,
    RetryBudget,
)

SERVICE = ServiceName('orders')
RATIO = 0.2
SLACK = 40


class RepeatBudgetTest(unittest.TestCase):
    """The repeats at all instances together stay within the bound."""

    def test_repeats_of_a_chain_stay_within_the_bound_at_each_service(
        self,
    ) -> None:
        """Every second call fails and is sent again where that is allowed."""
        rng = random.Random(3)
        chain = [
            [RepeatBudget(RATIO, SLACK) for _ in range(5)] for _ in range(4)
        ]
        for budget in (each for service in chain for each in service):
            budget.set_instances(5)
        firsts: Counter[int] = Counter()
        repeats: Counter[int] = Counter()

        def call(depth: int, *, is_repeat: bool, is_resent: bool) -> None:
            if depth == len(chain):
                return
            budget = rng.choice(chain[depth])
            if not is_repeat:
                budget.count_first()
                firsts[depth] += 1
            elif not is_resent:
                budget.charge()
            elif not budget.take(TOP_IMPORTANCE):
                return
            repeats[depth] += is_repeat
            call(depth + 1, is_repeat=is_repeat, is_resent=False)
            if not is_resent and rng.random() < 0.5:
                call(depth, is_repeat=True, is_resent=True)

        for _ in range(2000):
            call(0, is_repeat=False, is_resent=False)
        for depth in range(len(chain)):
            self.assertEqual(firsts[depth], 2000)
            self.assertLessEqual(repeats[depth], RATIO * 2000 + SLACK)
        self.assertGreaterEqual(repeats[len(chain) - 1], 0.8 * RATIO * 2000)

    def test_slack_is_divided_among_the_instances(self) -> None:
        total = 0
        for _ in range(57):
            budget = RepeatBudget(0, 213)
            budget.set_instances(57)
            while budget.take(TOP_IMPORTANCE):
                total += 1
        self.assertLessEqual(total, 213)
        self.assertGreaterEqual(total, 57)

    def test_important_calls_come_first_when_credit_is_scarce(self) -> None:
        """Without the reserve, the more frequent calls would use it up."""
        for instances in (5, 15):
            with self.subTest(instances):
                self.check_order(instances)

    def check_order(self, instances: int) -> None:
        """Let a fifth of the calls be important; all want to be repeated."""
        budget = RepeatBudget(RATIO, SLACK)
        budget.set_instances(instances)
        taken: Counter[int] = Counter()
        for turn in range(4000):
            budget.count_first()
            importance = TOP_IMPORTANCE if turn % 5 == 0 else TOP_IMPORTANCE - 2
            taken[importance] += budget.take(importance)
        self.assertGreater(taken[TOP_IMPORTANCE], 4 * RATIO * 0.9 * 800)
        self.assertLess(taken[TOP_IMPORTANCE - 2], 0.2 * taken[TOP_IMPORTANCE])


class RetryBudgetTest(unittest.TestCase):
    """A node sends no more repeats than the ratio."""

    def test_repeats_of_a_node_stay_within_the_ratio(self) -> None:
        budget = RetryBudget(RATIO, 47)
        budget.set_nodes(12)
        repeats = 0
        for _ in range(1000):
            budget.count_send(SERVICE)
            repeats += budget.take(SERVICE)
        self.assertLessEqual(repeats, 1000 * RATIO + 47 / 12)

    def test_slack_is_divided_among_the_nodes(self) -> None:
        total = 0
        for _ in range(83):
            budget = RetryBudget(RATIO, 114)
            budget.set_nodes(83)
            total += budget.take(SERVICE)
        self.assertLessEqual(total, 114)

    def test_no_slack_grants_no_repeat_before_the_first_send(self) -> None:
        budget = RetryBudget(0, 0)
        self.assertFalse(budget.take(SERVICE))
