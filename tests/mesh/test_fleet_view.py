"""Test that changes of the directory leave calls in progress alone."""

import asyncio
import unittest
from unittest import mock

import msgspec

from jasmineramp.clock import Millis
from jasmineramp.mesh.caller_http import CallerResponse
from jasmineramp.mesh.calls import CallerRequest
from jasmineramp.mesh.directory import ABSENCE_GRACE_MS
from jasmineramp.mesh.peer_links import PeerLink
from tests.fakes.mesh import KEY, Fleet


def make_request(request_id: str) -> CallerRequest:
    """Return a caller's request that may run once."""
    headers = [
        (b'Host', b'a.example'),
        (b'X-Jasmineramp-Request-Id', request_id.encode()),
        (b'X-Jasmineramp-Deadline-Ms', b'3000'),
        (b'X-Jasmineramp-Credential', KEY.encode()),
    ]
    return CallerRequest(b'GET', b'/buy/1', headers, b'')


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

    async def drop_connection(self, link: PeerLink) -> None:
        """End the connection of a link as if it had never been made."""
        await link.wait_until_up()
        link.close()
        await self.fleet.until(lambda: link.connection is None)
        link.failed_at = float('-inf')

    def expire_peer(self) -> None:
        """Remove the second node as if its entry had been absent too long."""
        directory = self.node.fleet.directory
        now = self.node.clock.now()
        directory.replace_all((), Millis(now - ABSENCE_GRACE_MS))
        self.node.fleet.expire()
        self.assertNotIn(self.peer.settings.node, directory.members)

    async def finish(
        self, call: 'asyncio.Task[tuple[int, object, bytes]]'
    ) -> None:
        """Release the call and expect its answer."""
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

    # Guards against requests without any response, because the link for which
    # they wait is closed while it connects.
    async def test_call_that_waits_for_a_removed_link_gets_a_response(
        self,
    ) -> None:
        loop = asyncio.get_running_loop()
        link = self.find_link()
        await self.drop_connection(link)
        connecting = asyncio.Event()
        connect = loop.create_connection

        async def connect_late(*arguments: object) -> object:
            connecting.set()
            await self.released.wait()
            return await connect(*arguments)  # type: ignore[call-overload]

        with mock.patch.object(loop, 'create_connection', connect_late):
            call = asyncio.create_task(
                self.node.entry.handle(make_request('id-1'))
            )
            await connecting.wait()
            self.expire_peer()
            self.node.fleet.check_links()
            self.released.set()
            response = await call
        self.assertEqual(response.status, 200)

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

    async def test_silent_peer_fails_calls_of_a_removed_node(self) -> None:
        """The link is still checked for liveness after the removal."""
        call = await self.start_call()
        link = self.find_link()
        self.expire_peer()
        self.assertIsNotNone(link.connection)
        link.connection.last_received = float('-inf')  # type: ignore
        status, _, _ = await call
        self.assertEqual(status, 502)
