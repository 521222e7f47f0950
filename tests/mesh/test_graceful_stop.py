"""Test that a planned stop of a node interrupts no call."""

import asyncio
import copy
import unittest
from unittest import mock

from jasmineramp.clock import ORIGIN, ManualClock, Millis
from jasmineramp.mesh.caller_http import CallerResponse
from jasmineramp.mesh.calls import CallerRequest
from jasmineramp.mesh.graceful_stop import (
    CALLER_CLOSE_DELAY_MS,
    POLL_S,
    GracefulStop,
)
from tests.fakes.mesh import CONFIGURATION, KEY, TIMEOUT_S, Fleet

REQUEST = (
    b'GET /read/1 HTTP/1.1\r\nHost: a.example\r\n'
    b'X-Jasmineramp-Request-Id: id-1\r\n'
    b'X-Jasmineramp-Deadline-Ms: 3000\r\n'
    b'X-Jasmineramp-Credential: %s\r\n\r\n' % KEY.encode()
)


class CallsOfUpstreamTest(unittest.IsolatedAsyncioTestCase):
    """Test a node that stops while its upstream makes calls."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        configuration = copy.deepcopy(CONFIGURATION)
        configuration['routes']['buy']['timeout'] = '5s'  # type: ignore
        await self.fleet.start(1, configuration)
        self.node = self.fleet.nodes[0]
        self.addAsyncCleanup(self.fleet.close)

    async def call_when_refusing(
        self, _request: CallerRequest
    ) -> CallerResponse:
        """Make a call as soon as the node refuses new requests."""
        await self.fleet.until(lambda: self.node.admission.is_refusing)
        status, _, body = await self.fleet.call(0, '/inner/1', 'a1.b2', key='')
        return CallerResponse(status, [], body)

    # Guards against calls that fail half-way in a planned stop, because the
    # node refuses the calls that its upstream makes for them.
    async def test_call_of_the_upstream_is_answered_in_the_stop(self) -> None:
        self.fleet.upstreams[0].behave = self.call_when_refusing
        call = asyncio.create_task(
            self.fleet.call(0, '/buy/1', 'a1', deadline=5000)
        )
        await self.fleet.until(lambda: bool(self.fleet.upstreams[0].ran))
        await self.fleet.add(1)
        await self.fleet.until(lambda: len(self.node.routes.targets) > 1)
        stop = asyncio.create_task(self.node.stop())
        status, _, body = await call
        self.assertEqual((status, body), (200, b'/inner/1'))
        await stop


class NewConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Test a stop that already closes the idle connections of callers.

    Its clock stands still, so only an idle node ends it.
    """

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        await self.fleet.start(1)
        self.addAsyncCleanup(self.fleet.close)
        self.node = self.fleet.nodes[0]
        self.stop = GracefulStop(
            self.node.settings.bounds.grace_ms,
            self.node.caller_server,
            self.node.gate,
            admission=self.node.admission,
            withdraw_upstream=mock.AsyncMock(),
            clock=ManualClock(Millis(CALLER_CLOSE_DELAY_MS + 1)),
        )

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect as a caller and return when the node has accepted."""
        reader, writer = await asyncio.open_connection(
            *self.node.settings.outbound
        )
        self.addCleanup(writer.close)
        await self.fleet.until(
            lambda: bool(self.node.caller_server.connections)
        )
        return reader, writer

    # Guards against a reset in place of a response for the request that a
    # caller sends on a new connection to a stopping node.
    async def test_request_on_a_new_connection_is_answered(self) -> None:
        reader, writer = await self.connect()
        stop = asyncio.create_task(self.stop.run(ORIGIN))
        await asyncio.sleep(2 * POLL_S)
        writer.write(REQUEST)
        async with asyncio.timeout(TIMEOUT_S):
            response = await reader.read()
            await stop
        self.assertIn(b' 200 ', response)
        self.assertIn(b'Connection: close', response)

    # Guards against a stop that lasts as long as a connection stays silent.
    async def test_silent_connection_does_not_prolong_the_stop(self) -> None:
        reader, _ = await self.connect()
        async with asyncio.timeout(TIMEOUT_S):
            await self.stop.run(ORIGIN)
            self.assertEqual(await reader.read(), b'')
