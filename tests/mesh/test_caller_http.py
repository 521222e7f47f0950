"""Test the HTTP connections of callers."""

import asyncio
import gc
import unittest
import weakref
from unittest import mock

from jasmineramp.mesh.caller_connection import NEW_CONNECTION_ALLOWANCE_MS
from jasmineramp.mesh.caller_http import CallerServer
from jasmineramp.mesh.caller_messages import CallerResponse
from jasmineramp.mesh.calls import CallerRequest
from jasmineramp.mesh.receive_limits import MEBIBYTE, ReceiveBudget
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


class EndlessRequestTest(unittest.IsolatedAsyncioTestCase):
    """Test callers that send without end."""

    async def asyncSetUp(self) -> None:
        self.handled: list[CallerRequest] = []
        self.limits = CallerLimits(max_body_bytes=MEBIBYTE)
        self.budget = ReceiveBudget(4 * MEBIBYTE)
        self.server = CallerServer(
            self.handle, lambda: self.limits, self.budget
        )
        await self.server.listen(HOST, 0)
        assert self.server.server is not None
        self.port = self.server.server.sockets[0].getsockname()[1]
        self.addCleanup(self.server.stop)

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Answer with the length of the body."""
        self.handled.append(request)
        return CallerResponse(200, [], b'%d' % len(request.body))

    async def send(self, start: bytes, piece: bytes, pieces: int) -> bytes:
        """Send pieces until the server closes; return its response."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(b'POST / HTTP/1.1\r\nHost: a\r\n' + start)
        try:
            async with asyncio.timeout(DEADLINE_S):
                for _ in range(pieces):
                    writer.write(piece)
                    await writer.drain()
                return await reader.readuntil(b'\r\n\r\n')
        except (OSError, asyncio.IncompleteReadError):
            return b''
        finally:
            writer.transport.abort()

    async def test_endless_requests_are_cut(self) -> None:
        chunked = b'Transfer-Encoding: chunked\r\n\r\n'
        filler = b'x' * 65_536
        for name, start, piece in (
            ('header lines', b'', b'X: 0123456789\r\n' * 4096),
            ('trailers', chunked + b'0\r\n', b'X: 0123456789\r\n' * 4096),
            ('chunk extension', chunked, b'1;x=' + filler),
            ('chunks', chunked, b'10000\r\n' + filler + b'\r\n'),
            ('body', b'Content-Length: 999999999\r\n\r\n', filler),
        ):
            with self.subTest(name):
                response = await self.send(start, piece, 4096)
                self.assertNotIn(b' 200 ', response)
                self.assertEqual(self.handled, [])
                async with asyncio.timeout(DEADLINE_S):
                    while self.server.connections:
                        await asyncio.sleep(0.01)
                self.assertEqual(self.budget.used_bytes, 0)

    async def test_large_body_without_memory_is_refused_as_not_run(
        self,
    ) -> None:
        self.budget.try_reserve(self.budget.total_bytes)
        start = b'Content-Length: 200000\r\n\r\n'
        response = await self.send(start, b'x' * 100_000, 2)
        self.assertIn(b' 503 ', response)
        self.assertIn(b'Retry-After', response)
        self.assertEqual(self.handled, [])
        start = b'Content-Length: 1000\r\n\r\n'
        self.assertIn(b' 200 ', await self.send(start, b'x' * 1000, 1))
        self.budget.release(self.budget.total_bytes)
        start = b'Content-Length: 200000\r\n\r\n'
        self.assertIn(b' 200 ', await self.send(start, b'x' * 100_000, 2))
        self.assertEqual(self.budget.used_bytes, 0)

    async def test_body_that_stops_arriving_is_cut(self) -> None:
        """The idle timeout counts from the last piece of the body."""
        _, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(b'POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nxx')
        async with asyncio.timeout(DEADLINE_S):
            while not any(
                connection.is_reading_body
                for connection in self.server.connections
            ):
                await asyncio.sleep(0.01)
        now = asyncio.get_running_loop().time()
        idle_s = self.limits.idle_timeout_ms / 1000
        self.server.expire(now + idle_s - 1)
        await asyncio.sleep(0)
        self.assertEqual(len(self.server.connections), 1)
        self.server.expire(now + idle_s + 1)
        async with asyncio.timeout(DEADLINE_S):
            while self.server.connections:
                await asyncio.sleep(0.01)
        writer.close()


class DrainingServerTest(unittest.IsolatedAsyncioTestCase):
    """Test a server that closes idle connections before its node ends."""

    async def asyncSetUp(self) -> None:
        self.server = CallerServer(self.handle, CallerLimits)
        await self.server.listen(HOST, 0)
        self.addCleanup(self.server.stop)

    async def handle(self, _request: CallerRequest) -> CallerResponse:
        """Answer any request."""
        return CallerResponse(200, [], b'done')

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect and return when the server has accepted."""
        assert self.server.server is not None
        port = self.server.server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection(HOST, port)
        self.addCleanup(writer.close)
        async with asyncio.timeout(DEADLINE_S):
            while not self.server.connections:
                await asyncio.sleep(0)
        return reader, writer

    # Guards against a reset in place of a response for the request that a
    # caller sends on a new connection to a stopping node.
    async def test_request_on_its_way_is_answered(self) -> None:
        reader, writer = await self.connect()
        self.server.drain()
        self.server.close_idle()
        writer.write(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        async with asyncio.timeout(DEADLINE_S):
            response = await reader.read()
        self.assertIn(b' 200 ', response)
        self.assertIn(b'Connection: close', response)
        self.assertTrue(response.endswith(b'done'))

    # Guards against silent connections that keep a stopping node from ending.
    async def test_connection_that_stays_silent_is_closed(self) -> None:
        reader, _ = await self.connect()
        loop = asyncio.get_running_loop()
        later_s = loop.time() + NEW_CONNECTION_ALLOWANCE_MS / 1000
        with mock.patch.object(loop, 'time', return_value=later_s):
            self.server.close_idle()
        async with asyncio.timeout(DEADLINE_S):
            self.assertEqual(await reader.read(), b'')

    # Guards against kept connections that pass for new ones.
    async def test_connection_after_a_response_is_closed_at_once(self) -> None:
        reader, writer = await self.connect()
        writer.write(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
        async with asyncio.timeout(DEADLINE_S):
            await reader.readuntil(b'done')
            self.server.close_idle()
            self.assertEqual(await reader.read(), b'')


class PipeliningTest(unittest.IsolatedAsyncioTestCase):
    """Test requests that a caller sends before the first is answered."""

    async def asyncSetUp(self) -> None:
        self.gates: dict[bytes, asyncio.Event] = {}
        self.cancelled: list[bytes] = []
        self.waited_ms: dict[bytes, float] = {}
        self.server = CallerServer(
            self.handle,
            CallerLimits,
            is_idempotent=lambda request: request.method == b'GET',
        )
        await self.server.listen(HOST, 0)
        self.addCleanup(self.server.stop)
        assert self.server.server is not None
        port = self.server.server.sockets[0].getsockname()[1]
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        self.addCleanup(self.writer.close)

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Answer once the test says so."""
        gate = self.gates[request.target] = asyncio.Event()
        self.waited_ms[request.target] = request.waited_ms
        try:
            await gate.wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            raise
        return CallerResponse(200, [], request.target)

    async def send(self, *lines: bytes, count: int) -> None:
        """Send requests and wait until this many run or have run."""
        for line in lines:
            self.writer.write(line + b' HTTP/1.1\r\nHost: a\r\n\r\n')
        async with asyncio.timeout(DEADLINE_S):
            while len(self.gates) < count:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.02)
        self.assertEqual(len(self.gates), count)

    async def read_all(self) -> list[bytes]:
        """Read to the end; return the target that each response names."""
        async with asyncio.timeout(DEADLINE_S):
            content = await self.reader.read()
        self.assertEqual(content.count(b'Connection: close'), 1)
        return [
            part.partition(b'\r\n\r\n')[2]
            for part in content.split(b'HTTP/1.1 ')[1:]
        ]

    async def test_other_request_waits_and_its_wait_is_counted(self) -> None:
        await self.send(b'GET /1', b'GET /2', b'POST /3', b'GET /4', count=2)
        self.gates[b'/2'].set()
        await asyncio.sleep(0.1)
        self.gates[b'/1'].set()
        await self.send(count=3)
        self.assertGreater(self.waited_ms[b'/3'], 100)
        self.gates[b'/3'].set()
        await self.send(count=4)
        self.server.drain()
        self.gates[b'/4'].set()
        self.assertEqual(await self.read_all(), [b'/1', b'/2', b'/3', b'/4'])

    # Guards against answers cut off by a broken request behind them.
    async def test_answers_before_a_broken_request_go_out(self) -> None:
        await self.send(b'GET /1', b'GET /2', b'\0', count=2)
        self.gates[b'/2'].set()
        self.gates[b'/1'].set()
        self.assertEqual(await self.read_all(), [b'/1', b'/2', b''])

    # Guards against requests passed on behind an answer that closes.
    async def test_last_started_request_closes(self) -> None:
        await self.send(b'GET /1', b'GET /2', b'POST /3', count=2)
        self.server.drain()
        self.gates[b'/1'].set()
        await self.send(b'GET /4', count=2)
        self.gates[b'/2'].set()
        self.assertEqual(await self.read_all(), [b'/1', b'/2'])
        self.assertNotIn(b'/3', self.gates)

    async def test_disconnect_cancels_all(self) -> None:
        await self.send(b'GET /1', b'GET /2', b'POST /3', count=2)
        self.writer.close()
        async with asyncio.timeout(DEADLINE_S):
            while len(self.cancelled) < 2:
                await asyncio.sleep(0.01)
        self.assertNotIn(b'/3', self.gates)
