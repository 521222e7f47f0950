"""Guard against repeats that multiply over the hops."""

import unittest

from jasmineramp.ids import ServiceName
from jasmineramp.mesh.retry_budget import HOPS, RetryBudget

SERVICE = ServiceName('orders')


class RetryBudgetTest(unittest.TestCase):
    """Repeats stay within the ratio, over all hops together."""

    def test_repeats_stay_within_the_part_of_one_hop(self) -> None:
        budget = RetryBudget(0.2, 47)
        budget.set_nodes(12)
        repeats = 0
        for _ in range(1000):
            budget.count_send(SERVICE)
            repeats += budget.take(SERVICE)
        self.assertLessEqual(repeats, 1000 * 0.2 / HOPS + 47 / HOPS / 12)

    def test_slack_is_divided_among_the_nodes(self) -> None:
        total = 0
        for _ in range(83):
            budget = RetryBudget(0.2, 114)
            budget.set_nodes(83)
            total += budget.take(SERVICE)
        self.assertLessEqual(total, 114)

    def test_idle_time_earns_nothing(self) -> None:
        budget = RetryBudget(0, 0)
        self.assertFalse(budget.take(SERVICE))
