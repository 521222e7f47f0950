"""Test which tables replace or confirm the one of a node."""

import asyncio
import unittest
from unittest import mock

from jasmineramp.clock import ManualClock, Millis
from jasmineramp.ids import NodeId, Revision
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.freshness import Freshness
from jasmineramp.mesh.route_table import RouteTable
from jasmineramp.mesh.store import StoreItem, StoreOutcome, StoreReply
from jasmineramp.mesh.store_revisions import make_revision
from jasmineramp.mesh.table_watch import FIRST_POLL_DELAY_MS, TableWatch
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
        self.read_at = Millis(1000)
        self.apply(0, 20, b'5')

    def apply(self, era: int, number: int, content: bytes) -> bool:
        """Apply a table that was read 1 s after the one before."""
        self.read_at = Millis(self.read_at + 1000)
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

    # Guards against a node that stays with the older version of the copy while
    # another node still has the later one.
    def test_later_version_of_an_earlier_era_is_used(self) -> None:
        self.apply(1, 12, b'6')
        self.assertTrue(self.apply(0, 30, b'7'))
        self.assertEqual(self.tables, ['5', '6', '7'])

    # Guards against an evacuation that stays after the operators have written.
    def test_later_version_shows_a_write_of_the_operators(self) -> None:
        evacuations = mock.Mock()
        self.watch.evacuations = evacuations
        self.apply(1, 12, b'5')
        evacuations.record_write.assert_not_called()
        self.apply(1, 12, b'6')
        evacuations.record_write.assert_called_once_with(1)

    # Guards against a table that counts as proven by a read of another one.
    def test_later_version_is_only_as_fresh_as_its_own_read(self) -> None:
        self.apply(1, 12, b'6')
        proven_at = Millis(self.read_at - 500)
        later = make_revision(0, 30)
        self.assertTrue(self.watch.apply_table(later, b'7', proven_at))
        self.assertEqual(self.freshness.confirmed_at, proven_at)
        self.assertFalse(self.apply(1, 13, b'6'))
        self.assertEqual(self.freshness.confirmed_at, proven_at)

    # Guards against an empty reply for the revision of another table.
    def test_revision_names_the_table_that_is_in_force(self) -> None:
        self.apply(1, 12, b'6')
        self.apply(0, 30, b'7')
        self.assertEqual(self.watch.revision, make_revision(0, 30))
        self.assertFalse(self.apply(1, 12, b''))
        self.assertTrue(self.apply(0, 30, b''))

    # Guards against a line in the log for each source that is a poll behind.
    def test_earlier_revision_of_an_era_is_not_decoded(self) -> None:
        self.assertTrue(self.apply(0, 21, b'6'))
        with mock.patch.object(self.watch, 'decode') as decoder:
            self.assertFalse(self.apply(0, 20, b'5'))
        decoder.assert_not_called()
        self.assertEqual(self.tables, ['5', '6'])


class FirstReadTest(unittest.IsolatedAsyncioTestCase):
    """Test a process that has just started."""

    # Guards against a process that uses the older table of a returned store
    # for a whole interval between two reads, though its peers have a later one.
    async def test_others_are_asked_soon_after_the_first_read(self) -> None:
        item = StoreItem('table', Revision(1), b'5')
        reply = StoreReply(StoreOutcome.done, Revision(1), (item,))
        watch = TableWatch(
            mock.Mock(get=mock.AsyncMock(return_value=reply)),
            'table',
            decode,
            on_table=mock.Mock(),
            freshness=Freshness(apply_ms=2000, revoke_ms=5000),
            log=DecisionLog(NodeId('n0'), 1),
            clock=ManualClock(),
        )
        watch.ask_leader = mock.AsyncMock(return_value=False)
        pauses = mock.AsyncMock(side_effect=[None, asyncio.CancelledError])
        with (
            mock.patch.object(asyncio, 'sleep', pauses),
            self.assertRaises(asyncio.CancelledError),
        ):
            await watch.run()
        pauses.assert_any_await(FIRST_POLL_DELAY_MS / 1000)
        self.assertEqual(watch.ask_leader.await_count, 2)
        self.assertEqual(watch.store.get.await_count, 1)
