"""Test one workspace at many times its rate.

Pattern: most requests are refused for the rate, so what a refusal costs decides
how much else the nodes can do.
"""

import unittest
from unittest import mock

from jasmineramp.clock import ManualClock
from jasmineramp.ids import NodeId, WorkspaceId
from jasmineramp.mesh.peer_messages import QuotaReply
from jasmineramp.mesh.quota_taker import MAX_EMPTY_MS, FleetQuotaClient
from jasmineramp.mesh.quotas import OwnedQuotas
from jasmineramp.mesh.route_table import RankedWorkspace
from jasmineramp.table import WorkspaceRow

ROW = WorkspaceRow(WorkspaceId('w'), 50, 10)
WORKSPACE = RankedWorkspace(ROW, None)


class HotWorkspaceTest(unittest.IsolatedAsyncioTestCase):
    """Test a node that asks the owner of the bucket."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.owned = OwnedQuotas()
        self.asked = 0
        self.client = FleetQuotaClient(
            NodeId('n0'), lambda _now: True, self.clock
        )
        self.client.set_nodes([NodeId('n1')])
        link = mock.Mock()
        link.wait_until_up = mock.AsyncMock(return_value=True)
        self.client.links[NodeId('n1')] = link
        patch = mock.patch(
            'jasmineramp.mesh.quota_taker.ask_peer', side_effect=self.answer
        )
        patch.start()
        self.addCleanup(patch.stop)

    async def answer(self, *_: object) -> QuotaReply:
        """Answer as the owner of the bucket."""
        self.asked += 1
        return QuotaReply(1, self.owned.take(ROW, 1, self.clock.now()))

    async def offer(self, seconds: int, per_s: int) -> int:
        """Offer requests evenly and return how many got a token."""
        granted = 0
        for _ in range(seconds * per_s):
            self.clock.advance(1000 / per_s)
            granted += not await self.client.take(WORKSPACE)
        return granted

    async def test_refusals_rarely_ask_the_owner(self) -> None:
        """The workspace still gets its whole rate."""
        granted = await self.offer(10, 1000)
        self.assertGreaterEqual(granted, 0.95 * 10 * ROW.rate)
        self.assertLessEqual(granted, 10 * ROW.rate + ROW.burst + 1)
        self.assertLess(self.asked, 3 * granted)

    async def test_owner_is_asked_again_soon(self) -> None:
        with mock.patch.object(self.owned, 'take', return_value=60_000.0):
            self.assertGreater(await self.client.take(WORKSPACE), 0)
        self.clock.advance(MAX_EMPTY_MS - 1)
        self.assertGreater(await self.client.take(WORKSPACE), 0)
        self.assertEqual(self.asked, 1)
        self.clock.advance(1)
        self.assertEqual(await self.client.take(WORKSPACE), 0)
        self.assertEqual(self.asked, 2)
