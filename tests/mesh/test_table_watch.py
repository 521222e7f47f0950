"""Test which tables replace or confirm the one of a node."""

import unittest

from jasmineramp.clock import ManualClock, Millis
from jasmineramp.ids import NodeId, Revision
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.freshness import Freshness
from jasmineramp.mesh.route_table import RouteTable
from jasmineramp.mesh.store_revisions import make_revision
from jasmineramp.mesh.table_watch import TableWatch
from jasmineramp.platform.store_client import StoreClient


def decode(content: bytes, revision: Revision) -> RouteTable:
    """Return a table whose content is its version."""
    return RouteTable(revision, content.decode(), serial=int(content))


class TableWatchTest(unittest.TestCase):
    """Test a node that has read version 5 at revision 20."""

    def setUp(self) -> None:
        self.tables: list[str] = []
        self.freshness = Freshness(apply_ms=2000, revoke_ms=5000)
        self.watch = TableWatch(
            StoreClient('127.0.0.1', 1),
            'table',
            decode,
            on_table=lambda table: self.tables.append(table.version),
            freshness=self.freshness,
            log=DecisionLog(NodeId('n0'), 1),
            clock=ManualClock(),
        )
        self.apply(0, 20, b'5')

    def apply(self, era: int, number: int, content: bytes) -> bool:
        """Apply a table that was just read."""
        self.read_at = Millis(self.freshness.confirmed_at + 1)
        if self.read_at == float('-inf'):
            self.read_at = Millis(0)
        revision = make_revision(era, number)
        return self.watch.apply_table(revision, content, self.read_at)

    def is_confirmed(self) -> bool:
        """Return whether the last read has confirmed the table."""
        return self.freshness.confirmed_at == self.read_at

    # Guards against a later version that is taken for the known one, because
    # its revision was given out before.
    def test_reissued_revision_brings_a_later_version(self) -> None:
        for number in (12, 20):
            with self.subTest(number):
                self.setUp()
                self.assertTrue(self.apply(1, number, b'6'))
                self.assertEqual(self.tables, ['5', '6'])
                self.assertTrue(self.is_confirmed())

    # Guards against an older version that comes back or counts as proof that no
    # key was withdrawn.
    def test_older_version_of_a_later_era_is_refused(self) -> None:
        self.assertFalse(self.apply(1, 12, b'4'))
        self.assertEqual(self.tables, ['5'])
        self.assertFalse(self.is_confirmed())
        self.assertTrue(self.apply(1, 13, b'5'))
        self.assertTrue(self.is_confirmed())

    def test_same_table_at_another_revision_is_not_loaded_again(self) -> None:
        self.assertTrue(self.apply(1, 12, b'5'))
        self.assertEqual(self.tables, ['5'])
        self.assertTrue(self.is_confirmed())

    def test_read_of_an_earlier_era_confirms_nothing(self) -> None:
        self.apply(1, 12, b'6')
        self.assertFalse(self.apply(0, 30, b'7'))
        self.assertEqual(self.tables, ['5', '6'])
        self.assertFalse(self.is_confirmed())
