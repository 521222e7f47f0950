"""Test the HTTP connections of callers."""

import asyncio
import gc
import unittest
import weakref

from jasmineramp.mesh.caller_http import CallerResponse, CallerServer
from jasmineramp.mesh.calls import CallerRequest
from jasmineramp.mesh.route_table import CallerLimits

HOST = '127.0.0.1'
REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
DEADLINE_S = 5


class CallerServerTest(unittest.IsolatedAsyncioTestCase):
    """Guard against closed connections that stay in memory."""

    async def test_closed_connections_are_freed_at_once(self) -> None:
        """A closed connection is freed without the garbage collector.

        A reference cycle between connection and parser would keep the
        connection of each request in memory until the next collection.
        """
        connection_refs: list[weakref.ref[object]] = []

        async def handle(request: CallerRequest) -> CallerResponse:
            connection_refs.extend(map(weakref.ref, server.connections))
            return CallerResponse(200, [], request.target)

        server = CallerServer(handle, CallerLimits)
        await server.listen(HOST, 0)
        assert server.server is not None
        port = server.server.sockets[0].getsockname()[1]
        self.addCleanup(gc.enable)
        gc.disable()
        for _ in range(3):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(REQUEST)
            self.assertTrue((await reader.read()).endswith(b'/'))
            writer.close()
        async with asyncio.timeout(DEADLINE_S):
            while any(each() is not None for each in connection_refs):
                await asyncio.sleep(0.01)
        self.assertEqual(len(connection_refs), 3)
        server.stop()
