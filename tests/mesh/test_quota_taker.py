"""Test one workspace at many times its rate.

Pattern: most requests are refused for the rate, so what a refusal costs decides
how much else the nodes can do.
"""

import asyncio
import unittest
from unittest import mock

from jasmineramp.clock import ManualClock
from jasmineramp.ids import NodeId, Revision, WorkspaceId
from jasmineramp.mesh.peer_messages import (
    BucketOwner,
    QuotaReply,
    QuotaRequest,
    decode_frame,
    encode_frame,
)
from jasmineramp.mesh.quota_taker import (
    GIVE_WAY_MS,
    MAX_EMPTY_MS,
    FleetQuotaClient,
)
from jasmineramp.mesh.quotas import OwnedQuotas, OwnerLookup
from jasmineramp.mesh.route_table import RankedWorkspace
from jasmineramp.mesh.store import StoreItem
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
            NodeId('n0'),
            lambda _now: True,
            self.clock,
            name_as_owner=mock.Mock(),
            learn_entry=mock.Mock(),
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


class SuccessionTest(unittest.IsolatedAsyncioTestCase):
    """Test nodes that see a new owner at different times."""

    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.clients: dict[NodeId, FleetQuotaClient] = {}
        ranking = OwnerLookup()
        ranking.set_nodes(NodeId(f'n{each}') for each in range(4))
        self.new, self.old, *self.others = ranking.rank(ROW.name)
        for node in ranking.nodes:
            self.add(node)
        for node in (self.old, self.others[0]):
            self.clients[node].set_nodes((self.old, *self.others))
        for node in (self.new, self.others[1]):
            self.clients[node].set_nodes(ranking.nodes)
        patch = mock.patch(
            'jasmineramp.mesh.quota_taker.ask_peer', side_effect=self.ask
        )
        patch.start()
        self.addCleanup(patch.stop)

    def add(self, node: NodeId) -> None:
        """Add a node with links to all others."""
        client = FleetQuotaClient(
            node,
            lambda _now: True,
            self.clock,
            name_as_owner=lambda: BucketOwner(
                node, StoreItem(node, Revision(1))
            ),
            learn_entry=lambda owner: client.set_nodes(
                {*client.owners.nodes, owner.node}
            ),
        )
        for number in range(4):
            link = mock.Mock(peer=NodeId(f'n{number}'))
            link.has_failed.return_value = False
            link.wait_until_up = mock.AsyncMock(return_value=True)
            client.links[link.peer] = link
        self.clients[node] = client

    async def ask(
        self, link: mock.Mock, make_frame: object, _timeout_s: float
    ) -> QuotaReply:
        """Answer as the node at the other end of a link."""
        frame = decode_frame(encode_frame(make_frame(1))[4:])  # type: ignore
        reply = self.clients[link.peer].answer(frame, ROW)  # type: ignore
        return decode_frame(encode_frame(reply)[4:])  # type: ignore

    async def take(self, node: NodeId) -> float:
        """Take a token at a node and let the notices arrive."""
        wait_ms = await self.clients[node].take(WORKSPACE)
        for _ in range(3):
            await asyncio.sleep(0)
        return wait_ms

    # Guards against QUOTA: two nodes that own the rate of one workspace, one of
    # which has not seen the other.
    async def test_rate_is_granted_once_while_views_differ(self) -> None:
        granted = 0
        for _ in range(5 * 4 * ROW.rate):
            self.clock.advance(1000 / (4 * ROW.rate))
            for node in self.clients:
                granted += not await self.take(node)
        self.assertLessEqual(granted, 5 * ROW.rate + ROW.burst + 4)
        self.assertGreaterEqual(granted, 0.9 * 5 * ROW.rate)

    async def test_nodes_that_ask_the_owner_before_learn_the_new_one(
        self,
    ) -> None:
        self.assertEqual(await self.take(self.new), 0)
        asking = self.clients[self.others[0]]
        asking.set_nodes((self.old, *self.others))
        self.assertEqual(asking.owners.find(ROW.name), self.old)
        self.clock.advance(1000)
        self.assertEqual(await self.take(self.others[0]), 0)
        self.assertEqual(asking.owners.find(ROW.name), self.new)
        self.assertFalse(asking.local.buckets)

    async def test_node_that_is_not_known_yet_does_not_own_the_bucket(
        self,
    ) -> None:
        """The owner does not give way to a node that comes after it."""
        client = self.clients[self.new]
        late = BucketOwner(self.old, StoreItem(self.old, Revision(1)))
        client.answer(QuotaRequest(1, ROW.name, late), ROW)
        self.assertEqual(await self.take(self.new), 0)

    # Guards against a rate that nobody grants after the end of a new owner.
    async def test_owner_is_back_when_its_successor_has_gone(self) -> None:
        await self.take(self.new)
        client = self.clients[self.old]
        self.assertIsNone(client.take_as_owner(ROW))
        client.set_nodes((self.old, *self.others))
        self.assertEqual(client.take_as_owner(ROW), 0)

    async def test_notice_binds_only_until_the_entry_must_be_known(
        self,
    ) -> None:
        client = self.clients[self.old]
        client.learn_entry = mock.Mock()
        await self.take(self.new)
        self.assertIsNone(client.take_as_owner(ROW))
        self.clock.advance(GIVE_WAY_MS)
        self.assertEqual(client.take_as_owner(ROW), 0)
