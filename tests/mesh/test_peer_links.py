"""Test the life of a link while requests wait for it."""

import asyncio
import unittest
from unittest import mock

from jasmineramp.ids import NodeId
from jasmineramp.mesh.peer_links import LinkDownError, PeerLink
from jasmineramp.mesh.peer_messages import Ping

HOST = '127.0.0.1'


def ignore(*_arguments: object) -> None:
    """Ignore a report of the link."""


class PeerLinkTest(unittest.IsolatedAsyncioTestCase):
    """Test a link whose attempt to connect takes as long as the test needs."""

    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.server = await self.loop.create_server(asyncio.Protocol, HOST, 0)
        self.addCleanup(self.server.close)
        address = self.server.sockets[0].getsockname()
        self.link = PeerLink(
            NodeId('n0'), NodeId('n1'), address, ignore, ignore
        )
        self.addCleanup(self.link.close)
        self.may_connect = asyncio.Event()
        connect = self.loop.create_connection

        async def connect_late(*arguments: object) -> object:
            await self.may_connect.wait()
            return await connect(*arguments)  # type: ignore[call-overload]

        patch = mock.patch.object(self.loop, 'create_connection', connect_late)
        patch.start()
        self.addCleanup(patch.stop)

    async def start_waiting(self) -> 'asyncio.Task[bool]':
        """Start a request that waits for the connection."""
        waiting = asyncio.create_task(self.link.wait_until_up())
        await asyncio.sleep(0)
        return waiting

    # Guards against requests that end without any response, because the attempt
    # to connect for which they wait is cancelled.
    async def test_request_learns_that_the_link_was_closed(self) -> None:
        waiting = await self.start_waiting()
        self.link.close()
        self.assertFalse(await waiting)

    async def test_link_is_in_use_until_the_waiting_request_goes_on(
        self,
    ) -> None:
        waiting = await self.start_waiting()
        self.assertTrue(self.link.is_in_use())
        self.may_connect.set()
        while not waiting.done():
            self.assertTrue(self.link.is_in_use())
            await asyncio.sleep(0)
        self.assertTrue(waiting.result())
        self.assertFalse(self.link.is_in_use())

    # Guards against frames that a closed link drops without a word.
    async def test_closed_link_refuses_to_send(self) -> None:
        self.may_connect.set()
        self.assertTrue(await self.link.wait_until_up())
        self.link.close()
        with self.assertRaises(LinkDownError):
            self.link.send_request(lambda _stream: Ping())
