"""Test that changes of the directory leave calls in progress alone."""

import asyncio
import unittest

import msgspec

from jasmineramp.clock import Millis
from jasmineramp.ids import Revision
from jasmineramp.membership_messages import UpstreamState
from jasmineramp.mesh.caller_messages import CallerResponse
from jasmineramp.mesh.calls import CallerRequest
from jasmineramp.mesh.directory import ABSENCE_GRACE_MS, entry_key
from jasmineramp.mesh.peer_links import PeerLink
from jasmineramp.mesh.store import StoreItem
from tests.fakes.mesh import Fleet

LATER_REVISION = Revision(1_000_000)


class LearnedEntryTest(unittest.IsolatedAsyncioTestCase):
    """Test an entry that comes from another node, not from the store."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        await self.fleet.start(2)
        self.addAsyncCleanup(self.fleet.close)
        node, peer = self.fleet.nodes
        self.view = node.fleet
        self.now = node.clock.now()
        self.name = peer.settings.node
        owner = peer.registration.name_as_owner()
        assert owner is not None
        self.owner = owner

    # Guards against a node that has left and stays a member, because others
    # still name it.
    def test_known_entry_does_not_bring_back_an_absent_node(self) -> None:
        directory = self.view.directory
        directory.replace_all((), Millis(self.now - ABSENCE_GRACE_MS))
        self.view.learn_entry(self.owner)
        self.view.expire()
        self.assertNotIn(self.name, directory.members)
        self.view.learn_entry(self.owner)
        self.assertNotIn(self.name, directory.members)

    def test_later_entry_is_learned(self) -> None:
        directory = self.view.directory
        directory.replace_all((), Millis(self.now - ABSENCE_GRACE_MS))
        self.view.expire()
        item = msgspec.structs.replace(self.owner.item, revision=LATER_REVISION)
        self.view.learn_entry(msgspec.structs.replace(self.owner, item=item))
        self.assertIn(self.name, directory.members)


class LinkOfChangedMemberTest(unittest.IsolatedAsyncioTestCase):
    """Test two nodes; the first one runs a call at the second."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        await self.fleet.start(2)
        self.node, self.peer = self.fleet.nodes
        self.upstream = self.fleet.upstreams[1]
        self.upstream.behave = self.answer_when_released
        self.released = asyncio.Event()
        self.assertEqual(await self.fleet.announce(0, 'draining'), 200)

    async def asyncTearDown(self) -> None:
        await self.fleet.close()

    async def answer_when_released(
        self, _request: CallerRequest
    ) -> CallerResponse:
        """Work on a call until the test releases it."""
        await self.released.wait()
        return CallerResponse(200, [], b'done')

    async def start_call(self) -> 'asyncio.Task[tuple[int, object, bytes]]':
        """Start a call at the first node; return when its upstream works."""
        call = asyncio.create_task(self.fleet.call(0, '/buy/1', 'id-1'))
        await self.fleet.until(lambda: bool(self.upstream.ran))
        return call

    def find_link(self) -> PeerLink:
        """Return the first node's link to the second."""
        return self.node.entry.links[self.peer.settings.node]

    def expire_peer(self) -> None:
        """Remove the second node as if its entry had been absent too long."""
        directory = self.node.fleet.directory
        now = self.node.clock.now()
        directory.replace_all((), Millis(now - ABSENCE_GRACE_MS))
        self.node.fleet.expire()
        self.assertNotIn(self.peer.settings.node, directory.members)

    def return_peer(self) -> None:
        """Apply an entry that the second node has written again."""
        entry = self.peer.local_upstream.registration.make_entry(1)
        item = StoreItem(
            entry_key(entry.node), LATER_REVISION, msgspec.json.encode(entry)
        )
        fleet = self.node.fleet
        fleet.apply_entries(
            fleet.directory.apply((item,), self.node.clock.now())
        )

    async def finish(
        self, call: 'asyncio.Task[tuple[int, object, bytes]]'
    ) -> None:
        """Release the call after a while and expect its answer."""
        self.node.fleet.check_links()
        await asyncio.sleep(0)
        self.node.fleet.check_links()
        self.released.set()
        status, _, body = await call
        self.assertEqual((status, body), (200, b'done'))
        self.assertFalse(self.upstream.cancelled)

    # Guards against 502 for calls at a node that was restarted and is at work,
    # but whose new entry arrives after the removal of its old one.
    async def test_call_survives_the_removal_of_its_node(self) -> None:
        call = await self.start_call()
        self.expire_peer()
        await self.finish(call)

    # Guards against the same loss when a new entry names another address.
    async def test_call_survives_a_new_address_of_its_node(self) -> None:
        call = await self.start_call()
        member = self.node.fleet.directory.members[self.peer.settings.node]
        moved = msgspec.structs.replace(member, port=member.port + 1)
        self.node.fleet.apply_entries([moved])
        await self.finish(call)

    async def test_removed_node_gets_no_new_call(self) -> None:
        call = await self.start_call()
        self.expire_peer()
        status, _, _ = await self.fleet.call(0, '/read/1', 'id-2')
        self.assertEqual(status, 503)
        self.assertEqual(self.upstream.ran['id-2'], 0)
        await self.finish(call)

    async def test_link_of_a_removed_node_is_closed_after_its_calls(
        self,
    ) -> None:
        call = await self.start_call()
        link = self.find_link()
        self.expire_peer()
        await self.finish(call)
        await self.fleet.until(lambda: not link.is_up())
        self.assertEqual(self.node.fleet.retired_links, [])

    async def test_link_of_a_removed_node_is_closed_with_the_node(
        self,
    ) -> None:
        call = await self.start_call()
        link = self.find_link()
        self.expire_peer()
        self.node.fleet.close()
        await self.fleet.until(lambda: not link.is_up())
        status, _, _ = await call
        self.assertEqual(status, 502)

    async def test_returned_node_gets_calls_while_earlier_ones_end(
        self,
    ) -> None:
        call = await self.start_call()
        link = self.find_link()
        self.expire_peer()
        self.return_peer()
        other = asyncio.create_task(self.fleet.call(0, '/buy/1', 'id-2'))
        await self.fleet.until(lambda: self.upstream.ran['id-2'] == 1)
        self.assertIsNot(self.find_link(), link)
        self.assertTrue(link.pending_replies)
        await self.finish(call)
        status, _, _ = await other
        self.assertEqual(status, 200)

    # Guards against a node that is taken for draining, because an earlier
    # process of it reports that over a link that is no longer used.
    async def test_retired_link_reports_no_state(self) -> None:
        call = await self.start_call()
        self.expire_peer()
        self.return_peer()
        self.peer.local_upstream.notify_peers(UpstreamState.draining)
        await self.finish(call)
        status, _, _ = await self.fleet.call(0, '/read/1', 'id-2')
        self.assertEqual(status, 200)

    async def test_silent_peer_fails_calls_of_a_removed_node(self) -> None:
        """The link is still checked for liveness after the removal."""
        call = await self.start_call()
        link = self.find_link()
        self.expire_peer()
        self.assertIsNotNone(link.connection)
        link.connection.last_received = float('-inf')  # type: ignore
        status, _, _ = await call
        self.assertEqual(status, 502)
