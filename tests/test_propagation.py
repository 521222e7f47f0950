"""Test how a state change of one policy affects the others."""

import unittest

from jasmineramp import configuration, propagation
from jasmineramp.clock import Millis
from jasmineramp.configuration_state import store_rates
from jasmineramp.ids import DomainId, NodeId, Revision, WorkspaceId
from jasmineramp.node import build_state
from jasmineramp.rates import SlotLease, set_slot
from jasmineramp.settings import Settings
from jasmineramp.table import Table, WorkspaceRow, workspace_bucket
from jasmineramp.table_files import encode_table

ACCEPTED, PENDING = Revision(5), Revision(7)
OFFICE = WorkspaceId('office')


def make_table(rate: float) -> Table:
    return Table((), (WorkspaceRow(OFFICE, rate, 100),), (), 2)


class RateTablesTest(unittest.TestCase):
    """Guard against a node without rate shares while an edit is pending."""

    def setUp(self) -> None:
        settings = Settings(
            NodeId('n0'), DomainId('d0'), (DomainId('d0'),), '', '', '', 'p'
        )
        self.state = build_state(settings, 1, Millis(0))
        set_slot(self.state.rates, SlotLease(0, Millis(1e9), True), Millis(0))

    def share_after_updates(self, *, accepted_first: bool) -> float:
        """Receive both revisions and return the rate share of the bucket."""
        state = self.state
        if accepted_first:
            store_rates(state.configuration, ACCEPTED, make_table(40))
        configuration.adopt(
            state.configuration,
            PENDING,
            encode_table(make_table(60)),
            state.members,
            Millis(1),
        )
        propagation.adopt_table(state, Millis(1))
        store_rates(state.configuration, ACCEPTED, make_table(40))
        state.configuration.accepted = ACCEPTED
        propagation.adopt_table(state, Millis(2))
        bucket = state.rates.buckets[workspace_bucket(OFFICE)]
        bucket.advance(Millis(3))
        return bucket.held_rate

    def test_new_node_uses_the_accepted_rates(self) -> None:
        self.assertAlmostEqual(
            self.share_after_updates(accepted_first=True), 20
        )

    def test_watcher_uses_accepted_rates_that_arrive_last(self) -> None:
        self.assertAlmostEqual(
            self.share_after_updates(accepted_first=False), 20
        )
