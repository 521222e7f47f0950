"""Test when the entries may be read from a list that lags."""

import unittest
from unittest import mock

from jasmineramp.clock import ManualClock
from jasmineramp.ids import NodeId, Revision
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.directory import Directory
from jasmineramp.mesh.directory_watch import STALENESS_MS, DirectoryWatch
from jasmineramp.mesh.store import StoreOutcome, StoreReply


class DirectoryWatchTest(unittest.IsolatedAsyncioTestCase):
    """Test lists before and after the store returns from a copy."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        reply = StoreReply(StoreOutcome.done, Revision(1))
        self.store = mock.Mock(
            era=0, list_items=mock.AsyncMock(return_value=reply)
        )
        self.watch = DirectoryWatch(
            self.store,
            Directory(),
            mock.Mock(),
            DecisionLog(NodeId('n0'), 1),
            self.clock,
        )
        await self.watch._list()

    async def is_next_list_stale(self) -> bool:
        """List the entries and return whether the list may lag."""
        await self.watch._list()
        return bool(self.store.list_items.call_args.kwargs['stale'])

    # Guards against entries of the lost past, whose revisions hide later ones.
    async def test_lists_are_current_after_a_new_era(self) -> None:
        self.assertTrue(await self.is_next_list_stale())
        self.store.era = 1
        for _ in range(2):
            self.assertFalse(await self.is_next_list_stale())
        self.clock.advance(STALENESS_MS + 1)
        self.assertTrue(await self.is_next_list_stale())

    async def test_era_that_is_known_at_the_start_is_not_new(self) -> None:
        store = mock.Mock(era=0, list_items=self.store.list_items)
        watch = DirectoryWatch(
            store,
            Directory(),
            mock.Mock(),
            DecisionLog(NodeId('n0'), 1),
            self.clock,
        )
        store.era = 3
        await watch._list()
        self.assertTrue(self.store.list_items.call_args.kwargs['stale'])
