"""Test that retries do not multiply over the hops of a call graph."""

import unittest

from jasmineramp.ids import ServiceName
from jasmineramp.mesh.retry_budget import MAX_HOPS, RetryBudget

SERVICE = ServiceName('orders')


class RetryBudgetTest(unittest.TestCase):
    """The retries of all hops and nodes together stay within the budget."""

    def test_retries_stay_within_the_share_of_one_hop(self) -> None:
        budget = RetryBudget(0.2, 47)
        budget.set_nodes(12)
        retries = 0
        for _ in range(1000):
            budget.count_send(SERVICE)
            retries += budget.take(SERVICE)
        self.assertLessEqual(
            retries, 1000 * 0.2 / MAX_HOPS + 47 / MAX_HOPS / 12
        )

    def test_slack_is_divided_among_the_nodes(self) -> None:
        total = 0
        for _ in range(83):
            budget = RetryBudget(0.2, 114)
            budget.set_nodes(83)
            total += budget.take(SERVICE)
        self.assertLessEqual(total, 114)

    def test_no_slack_grants_no_retry_before_the_first_send(self) -> None:
        budget = RetryBudget(0, 0)
        self.assertFalse(budget.take(SERVICE))
