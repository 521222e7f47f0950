"""Test that a workspace gets no more than its rate and burst."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from jasmineramp.clock import Millis
from jasmineramp.ids import NodeId, WorkspaceId
from jasmineramp.mesh.quotas import LocalQuotas, OwnedQuotas, OwnerLookup
from jasmineramp.table import WorkspaceRow

ROW = WorkspaceRow(WorkspaceId('w'), 50, 20)
WINDOW_MS = 5_000
WINDOW_S = 5


class OwnedQuotasTest(unittest.TestCase):
    """The bucket of the owner bounds the grants in any time window."""

    @given(st.lists(st.floats(0, 200), min_size=1, max_size=300))
    def test_no_window_exceeds_rate_and_burst(self, gaps: list[float]) -> None:
        quotas = OwnedQuotas()
        now = 0.0
        granted: list[float] = []
        for gap in gaps:
            now += gap
            for _ in range(5):
                if not quotas.take(ROW, 1, Millis(now)):
                    granted.append(now)
        bound = ROW.rate * WINDOW_S + ROW.burst
        for start in granted:
            count = sum(start <= each < start + WINDOW_MS for each in granted)
            self.assertLessEqual(count, bound + 1)

    def test_token_is_available_after_the_returned_wait(self) -> None:
        quotas = OwnedQuotas()
        while not quotas.take(ROW, 1, Millis(0)):
            pass
        wait = quotas.take(ROW, 1, Millis(0))
        self.assertFalse(quotas.take(ROW, 1, Millis(wait + 0.01)))

    def test_unreachable_nodes_lower_the_rate(self) -> None:
        quotas = OwnedQuotas()
        granted = sum(
            not quotas.take(ROW, 0.5, Millis(each)) for each in range(10_000)
        )
        self.assertLessEqual(granted, ROW.rate * 0.5 * 10 + ROW.burst + 1)

    def test_moved_buckets_are_forgotten(self) -> None:
        quotas = OwnedQuotas()
        quotas.take(ROW, 1, Millis(0))
        quotas.retain([])
        self.assertFalse(quotas.buckets)


class LocalQuotasTest(unittest.TestCase):
    """The local buckets of all nodes together stay within the rate."""

    def test_local_fractions_add_up_to_the_rate(self) -> None:
        nodes = [LocalQuotas() for _ in range(12)]
        granted = sum(
            not node.take(ROW, 1 / len(nodes), Millis(each * 10))
            for node in nodes
            for each in range(500)
        )
        self.assertLessEqual(granted, ROW.rate * 5 + len(nodes))


class OwnerLookupTest(unittest.TestCase):
    """Every node computes the same owner."""

    def test_order_of_nodes_does_not_matter(self) -> None:
        left, right = OwnerLookup(), OwnerLookup()
        names = [NodeId(f'n{each}') for each in range(9)]
        left.set_nodes(names)
        right.set_nodes(reversed(names))
        for each in range(50):
            workspace = WorkspaceId(f'w{each}')
            self.assertEqual(left.find(workspace), right.find(workspace))

    def test_departure_moves_only_the_workspaces_of_that_node(self) -> None:
        owners = OwnerLookup()
        names = [NodeId(f'n{each}') for each in range(9)]
        owners.set_nodes(names)
        spaces = [WorkspaceId(f'w{each}') for each in range(90)]
        before = {each: owners.find(each) for each in spaces}
        owners.set_nodes(names[1:])
        for each in spaces:
            if before[each] != names[0]:
                self.assertEqual(owners.find(each), before[each])

    def test_no_nodes_means_no_owner(self) -> None:
        self.assertIsNone(OwnerLookup().find(WorkspaceId('w')))
