"""Test flow control and memory of one caller's connection."""

import asyncio
import unittest
from collections import Counter

from jasmineramp.mesh.caller_causes import Cause, CauseCounts
from jasmineramp.mesh.caller_http import CallerServer
from jasmineramp.mesh.caller_messages import CallerResponse
from jasmineramp.mesh.caller_reader import MAX_EMPTY_LINE_BYTES
from jasmineramp.mesh.calls import CallerRequest
from jasmineramp.mesh.receive_limits import (
    MEBIBYTE,
    ReceiveBudget,
    connection_limits_for,
)
from jasmineramp.mesh.route_table import CallerLimits

HOST = '127.0.0.1'
DEADLINE_S = 5
GET = b'GET /%d HTTP/1.1\r\nHost: a\r\n\r\n'
POST = b'POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n'
UPGRADE = (
    b'POST /1 HTTP/1.1\r\nHost: a\r\nConnection: Upgrade, HTTP2-Settings\r\n'
    b'Upgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n%s\r\n\r\n'
)
LONG_RESPONSE_BYTES = 2 * MEBIBYTE


class CallerConnectionBase(unittest.IsolatedAsyncioTestCase):
    """Start a server with a small budget."""

    async def asyncSetUp(self) -> None:
        self.kept: list[tuple[object, object]] = []
        self.targets: list[bytes] = []
        self.bodies: list[bytes] = []
        self.names: list[list[bytes]] = []
        self.response_size = 2
        self.gate = asyncio.Event()
        self.gate.set()
        self.limits = CallerLimits(max_body_bytes=MEBIBYTE)
        self.budget = ReceiveBudget(4 * MEBIBYTE)
        self.counts: Counter[str] = Counter()
        self.lines: list[str] = []
        self.server = CallerServer(
            self.handle,
            lambda: self.limits,
            self.budget,
            max_connections=4,
            causes=CauseCounts(self.counts, self.log),
        )
        await self.server.listen(HOST, 0)
        assert self.server.server is not None
        self.port = self.server.server.sockets[0].getsockname()[1]
        self.addCleanup(self.server.stop)

    def log(self, _event: str, **fields: object) -> None:
        """Record the cause of a line."""
        self.lines.append(str(fields['cause']))

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Answer once the gate is open."""
        self.targets.append(request.target)
        self.bodies.append(request.body)
        self.names.append([name for name, _ in request.headers])
        await self.gate.wait()
        return CallerResponse(200, [], b'x' * self.response_size)

    async def connect(
        self, data: bytes = b''
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect and send."""
        reader, writer = await asyncio.open_connection(
            HOST, self.port, limit=1024
        )
        self.addCleanup(writer.transport.abort)
        # A connection whose reader or writer is freed is closed.
        self.kept.append((reader, writer))
        writer.write(data)
        return reader, writer

    async def until(self, condition: object) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(DEADLINE_S):
            while not condition():  # type: ignore[operator]
                await asyncio.sleep(0.01)

    async def read_all(self, reader: asyncio.StreamReader) -> bytes:
        """Read until the server closes the connection."""
        async with asyncio.timeout(DEADLINE_S):
            return await reader.read()

    def later(self) -> float:
        """Return a time when all timeouts have passed."""
        now = asyncio.get_running_loop().time()
        return now + self.limits.idle_timeout_ms / 1000 + 1


class CallerConnectionTest(CallerConnectionBase):
    """Test one server with a small budget."""

    # Guards against responses that pile up for a caller that reads none.
    async def test_no_request_starts_before_responses_are_taken(self) -> None:
        self.response_size = LONG_RESPONSE_BYTES
        reader, _ = await self.connect(GET % 1 + GET % 2 + GET % 3)
        await self.until(lambda: self.targets)
        await asyncio.sleep(0.2)
        self.assertEqual(self.targets, [b'/1'])
        self.assertGreater(self.budget.used_bytes, MEBIBYTE)
        async with asyncio.timeout(DEADLINE_S):
            for _ in range(3):
                await reader.readuntil(b'\r\n\r\n')
                await reader.readexactly(LONG_RESPONSE_BYTES)
        self.assertEqual(self.targets, [b'/1', b'/2', b'/3'])
        # The last bytes are noticed when the connections are next examined.
        self.server.expire(asyncio.get_running_loop().time())
        await self.until(lambda: not self.budget.used_bytes)

    async def test_reader_that_takes_nothing_is_cut_off(self) -> None:
        self.response_size = LONG_RESPONSE_BYTES
        await self.connect(GET % 1)
        await self.until(lambda: self.budget.used_bytes > MEBIBYTE)
        self.server.expire(self.later())
        await self.until(lambda: not self.server.connections)
        self.assertEqual(self.budget.used_bytes, 0)
        self.assertEqual(self.counts[Cause.slow_reader.value], 1)

    # Guards against refusals in place of responses for requests that were
    # passed on before the caller broke a limit.
    async def test_started_request_is_answered_before_a_refusal(self) -> None:
        self.gate.clear()
        reader, _ = await self.connect(GET % 1 + b'nonsense\r\n\r\n')
        await self.until(lambda: self.targets)
        self.gate.set()
        response = await self.read_all(reader)
        self.assertLess(response.index(b' 200 '), response.index(b' 400 '))

    async def test_request_for_an_upgrade_is_answered(self) -> None:
        reader, writer = await self.connect(
            b'GET /1 HTTP/1.1\r\nHost: a\r\n'
            b'Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n'
        )
        async with asyncio.timeout(DEADLINE_S):
            self.assertIn(b' 200 ', await reader.readuntil(b'xx'))
        # The connection serves further requests.
        writer.write(GET % 2 + b'GET /3 HTTP/1.0\r\n\r\n')
        self.assertEqual((await self.read_all(reader)).count(b' 200 '), 2)

    # Guards against requests that run without the body that was sent.
    async def test_request_for_an_upgrade_keeps_its_body(self) -> None:
        for framing, content in (
            (b'Content-Length: 5', b'hello'),
            (b'Transfer-Encoding: chunked', b'5\r\nhello\r\n0\r\n\r\n'),
        ):
            for pause_at in (None, 90, -3):
                with self.subTest(framing, pause_at=pause_at):
                    self.targets.clear()
                    self.bodies.clear()
                    sent = UPGRADE % framing + content + GET % 2
                    reader, writer = await self.connect(sent[:pause_at])
                    if pause_at is not None:
                        await asyncio.sleep(0.05)
                        writer.write(sent[pause_at:])
                    async with asyncio.timeout(DEADLINE_S):
                        await reader.readuntil(b'\r\n\r\n')
                        await reader.readuntil(b'\r\n\r\n')
                    self.assertEqual(self.targets, [b'/1', b'/2'])
                    self.assertEqual(self.bodies, [b'hello', b''])

    # Guards against trailers that pass for headers and are in no budget.
    async def test_trailers_are_ignored(self) -> None:
        await self.connect(
            b'POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n'
            b'\r\n1\r\nx\r\n0\r\nX-Late: 1\r\n\r\n' + GET % 2
        )
        await self.until(lambda: len(self.targets) == 2)
        self.assertEqual(self.bodies, [b'x', b''])
        self.assertEqual(
            self.names, [[b'Host', b'Transfer-Encoding'], [b'Host']]
        )

    # Guards against a reset that takes the refusal from a caller which is
    # still sending.
    async def test_refusal_reaches_a_caller_that_sends(self) -> None:
        self.assertTrue(self.budget.try_reserve(self.budget.total_bytes))
        size = 900_000
        reader, writer = await self.connect(POST % (1, size))
        for _ in range(9):
            writer.write(b'x' * (size // 10))
            await writer.drain()
            await asyncio.sleep(0.02)
        response = await self.read_all(reader)
        self.assertIn(b' 503 ', response)
        self.assertIn(b'Retry-After', response)
        self.assertEqual(self.targets, [])

    # Guards against 4xx refusals of proper requests that are read ahead.
    async def test_many_requests_at_once_are_all_answered(self) -> None:
        reader, _ = await self.connect(
            b''.join(GET % each for each in range(200))
        )
        async with asyncio.timeout(DEADLINE_S):
            for _ in range(200):
                head = await reader.readuntil(b'\r\n\r\n')
                self.assertIn(b' 200 ', head)
                await reader.readexactly(2)
        self.assertEqual(self.targets, [b'/%d' % n for n in range(200)])
        await self.until(lambda: not self.budget.used_bytes)

    # Guards against requests that run for a caller that left while the node
    # did not read from its connection.
    async def test_nothing_starts_after_a_caller_left_unread(self) -> None:
        self.gate.clear()
        _, writer = await self.connect(
            b''.join(POST % (each, 50_000) + b'x' * 50_000 for each in range(9))
        )
        await self.until(
            lambda: any(each.is_read_paused for each in self.server.connections)
        )
        writer.close()
        await asyncio.sleep(0.1)
        self.gate.set()
        await self.until(lambda: not self.server.connections)
        self.assertEqual(self.targets, [b'/0'])
        self.assertEqual(self.budget.used_bytes, 0)

    async def test_read_ahead_bodies_are_bounded(self) -> None:
        self.gate.clear()
        await self.connect(
            b''.join(
                POST % (each, 200_000) + b'x' * 200_000 for each in range(15)
            )
        )
        await self.until(
            lambda: any(each.is_read_paused for each in self.server.connections)
        )
        self.assertLess(self.budget.used_bytes, MEBIBYTE)

    async def test_empty_lines_are_bounded(self) -> None:
        _, writer = await self.connect(b'\r\n' * (MAX_EMPTY_LINE_BYTES // 4))
        await self.until(lambda: self.server.connections)
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.server.connections), 1)
        writer.write(b'\r\n' * MAX_EMPTY_LINE_BYTES)
        await self.until(lambda: not self.server.connections)
        self.assertEqual(self.counts[Cause.empty_lines.value], 1)

    # Guards against heads that take far more memory than their bytes.
    async def test_unfinished_head_counts_with_its_objects(self) -> None:
        await self.connect(b'GET / HTTP/1.1\r\n' + b'a:\r\n' * 3000)
        await self.until(lambda: self.budget.used_bytes > 400_000)

    async def test_stalled_body_makes_room_for_a_request(self) -> None:
        size = MEBIBYTE - 1000
        stalled = [await self.connect(POST % (9, size)) for _ in range(3)]
        for _, writer in stalled:
            writer.write(b'x' * (size - 1))
        await self.until(lambda: self.budget.used_bytes > 2.9 * MEBIBYTE)
        for connection in self.server.connections:
            connection.progress_at -= 10
        self.assertTrue(self.budget.try_reserve(MEBIBYTE - 80_000))
        reader, _ = await self.connect(POST % (1, 100_000) + b'x' * 100_000)
        async with asyncio.timeout(DEADLINE_S):
            self.assertIn(b' 200 ', await reader.readline())
        self.assertEqual(self.counts[Cause.memory_freed.value], 1)
        self.assertEqual(self.lines, [Cause.memory_freed.value])

    async def test_stalled_connection_goes_at_the_limit(self) -> None:
        """A connection beyond the limit is accepted in place of another."""
        self.gate.clear()
        await self.connect(GET % 1)
        for _ in range(3):
            await self.connect()
        await self.until(lambda: len(self.server.connections) == 4)
        for connection in self.server.connections:
            connection.timeout_started -= 10
        self.gate.set()
        reader, _ = await self.connect(GET % 2)
        async with asyncio.timeout(DEADLINE_S):
            self.assertIn(b' 200 ', await reader.readline())
        self.assertIn(b'/1', self.targets)

    # Guards against refused connections that keep their descriptors.
    async def test_connections_never_exceed_their_limit(self) -> None:
        for _ in range(3):
            for _ in range(4):
                await self.connect(b'GET / HTTP/1.1\r\n')
            await self.until(
                lambda: any(
                    each.is_reading_request()
                    for each in self.server.connections
                )
            )
            for connection in self.server.connections:
                connection.progress_at -= 10
        await asyncio.sleep(0.1)
        self.assertLessEqual(len(self.server.connections), 4)

    def test_descriptors_are_left_for_other_purposes(self) -> None:
        for count in (300, 4_100, 8_192):
            limits = connection_limits_for(count)
            self.assertLess(limits.callers + 3 * limits.internal, count - 40)
            self.assertGreater(limits.callers, count / 2)


class SideBySideTest(CallerConnectionBase):
    """Test requests of one connection that run at the same time."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.server.is_idempotent = lambda request: request.method == b'GET'
        self.faults: dict[bytes, BaseException] = {}
        self.server.handler = self.hold_first

    async def hold_first(self, request: CallerRequest) -> CallerResponse:
        """Answer all but the first request at once, or raise."""
        self.targets.append(request.target)
        if request.target in self.faults:
            raise self.faults[request.target]
        if request.target == b'/0':
            await self.gate.wait()
        return CallerResponse(200, [], b'x' * self.response_size)

    # Guards against memory beyond the budget in answers that wait for an
    # earlier one, and in the requests of all tasks.
    async def test_held_answers_count_until_they_are_sent(self) -> None:
        self.gate.clear()
        self.response_size = 200_000
        reader, _ = await self.connect(GET % 0 + GET % 1)
        await self.until(lambda: self.budget.used_bytes > 200_000)
        self.assertLess(self.budget.used_bytes, 210_000)
        self.gate.set()
        await self.until(lambda: self.budget.used_bytes < 390_000)
        async with asyncio.timeout(DEADLINE_S):
            for _ in range(2):
                await reader.readuntil(b'\r\n\r\n')
                await reader.readexactly(self.response_size)
        self.server.expire(asyncio.get_running_loop().time())
        self.assertEqual(self.budget.used_bytes, 0)

    async def test_running_requests_count_with_their_bodies(self) -> None:
        self.gate.clear()
        get = b'GET /%d HTTP/1.1\r\nContent-Length: 40000\r\n\r\n'
        body = b'x' * 40_000
        _, writer = await self.connect(get % 0 + body + get % 1 + body)
        await self.until(lambda: len(self.targets) == 2)
        self.assertGreater(self.budget.used_bytes, 80_000)
        writer.close()
        await self.until(lambda: not self.server.connections)
        self.assertEqual(self.budget.used_bytes, 0)

    # Guards against a request beyond the budget whose refusal overtakes or
    # cuts off the answers before it.
    async def test_request_without_memory_is_refused_in_its_turn(self) -> None:
        self.gate.clear()
        reader, writer = await self.connect(GET % 0)
        await self.until(lambda: self.targets)
        self.assertTrue(self.budget.try_reserve(4 * MEBIBYTE - 40_000))
        writer.write(POST % (1, 50_000) + b'x' * 50_000)
        await self.until(lambda: self.counts[Cause.no_memory.value])
        self.gate.set()
        async with asyncio.timeout(DEADLINE_S):
            self.assertIn(b' 200 ', await reader.readuntil(b'\r\n\r\n'))
            await reader.readexactly(2)
            self.assertIn(b' 503 ', await reader.readline())
        self.assertEqual(self.targets, [b'/0'])

    # Guards against connections that hang after a fault of the node.
    async def test_fault_of_the_handler_is_answered_in_its_turn(self) -> None:
        self.faults[b'/1'] = ValueError('wrong')
        self.gate.clear()
        reader, _ = await self.connect(GET % 0 + GET % 1 + GET % 2)
        await self.until(lambda: len(self.targets) == 3)
        self.gate.set()
        self.server.drain()
        content = await self.read_all(reader)
        self.assertEqual(
            [each[:3] for each in content.split(b'HTTP/1.1 ')[1:]],
            [b'200', b'500', b'200'],
        )
        self.assertEqual(self.lines, [Cause.internal_error.value])

    async def test_task_without_a_response_closes_the_connection(self) -> None:
        self.faults[b'/1'] = asyncio.CancelledError()
        self.gate.clear()
        await self.connect(GET % 0 + GET % 1)
        await self.until(lambda: self.targets and not self.server.connections)
        self.assertEqual(self.lines, [Cause.internal_error.value])
        self.assertEqual(self.budget.used_bytes, 0)

    # Guards against an interim response in place of an earlier final one.
    async def test_continue_follows_earlier_answers(self) -> None:
        self.gate.clear()
        expect = b'Expect: 100-continue\r\n\r\n'
        reader, writer = await self.connect(
            GET % 0 + (POST % (1, 2)).replace(b'\r\n\r\n', b'\r\n' + expect)
        )
        await self.until(lambda: self.targets)
        self.gate.set()
        async with asyncio.timeout(DEADLINE_S):
            self.assertIn(b' 200 ', await reader.readuntil(b'\r\n\r\n'))
            await reader.readexactly(2)
            self.assertIn(b' 100 ', await reader.readuntil(b'\r\n\r\n'))
            writer.write(b'xx')
            self.assertIn(b' 200 ', await reader.readline())
