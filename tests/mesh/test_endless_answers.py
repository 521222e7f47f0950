"""Test that upstreams which never stop sending are cut off."""

import asyncio
import gc
import tracemalloc
import unittest
from collections import Counter

from jasmineramp.ids import NodeId
from jasmineramp.mesh.node import Node
from jasmineramp.mesh.receive_limits import (
    MEBIBYTE,
    Bound,
    ReceiveBudget,
    ReceiveLimits,
)
from jasmineramp.mesh.upstream_connection import (
    BrokenExchangeError,
    OversizedAnswerError,
    UpstreamConnection,
)
from jasmineramp.mesh.upstream_pool import UpstreamPool
from jasmineramp.platform.headers import read_response
from tests.fakes.endless import (
    BODY_NAMES,
    CHUNKED,
    ENDLESS,
    FILLER,
    HEAD,
    HEAD_NAMES,
    HOST,
    EndlessServer,
)
from tests.fakes.mesh import Fleet

REQUEST = b'GET / HTTP/1.1\r\nX-Jasmineramp-Request-Id: id-1\r\n\r\n'
TIMEOUT_S = 5
# Below the slots of the two upstreams.
CONCURRENT_CALLS = 4
# Bodies are limited to 1 MiB.
MEMORY_BYTES = 16 * MEBIBYTE
LIMITS = ReceiveLimits(2 * MEBIBYTE, 4 * MEBIBYTE)


class PoolTest(unittest.IsolatedAsyncioTestCase):
    """Test one connection to an upstream that sends without end."""

    async def asyncSetUp(self) -> None:
        self.servers: list[EndlessServer] = []
        self.budget = ReceiveBudget(LIMITS.total_bytes)

    async def asyncTearDown(self) -> None:
        for server in self.servers:
            server.close()
        await asyncio.sleep(0)

    async def connect(self, start: bytes, piece: bytes) -> UpstreamConnection:
        """Return a connection to a server that sends these bytes."""
        server = EndlessServer(start, piece)
        self.servers.append(server)
        port = await server.listen()
        pool = UpstreamPool(HOST, port, read_response, LIMITS, self.budget)
        return await pool.connect()

    async def exchange(self, connection: UpstreamConnection) -> object:
        """Send a call and return its answer within the time limit."""
        async with asyncio.timeout(TIMEOUT_S):
            return await connection.send(REQUEST, 'id-1', head_only=False)

    async def test_each_endless_answer_is_cut_at_a_bound(self) -> None:
        """The exchange fails, the connection closes, the memory is bounded."""
        for name, (start, piece) in ENDLESS.items():
            with self.subTest(name):
                connection = await self.connect(start, piece)
                gc.collect()
                tracemalloc.start()
                with self.assertRaises(BrokenExchangeError) as context:
                    await self.exchange(connection)
                _, peak = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertLess(peak, 3 * LIMITS.body_bytes)
                self.assertFalse(connection.is_open)
                self.assertEqual(self.budget.used_bytes, 0)
                error = context.exception
                if name in HEAD_NAMES:
                    self.assertIs(error.excess.bound, Bound.head)  # type: ignore
                elif name in BODY_NAMES:
                    self.assertIs(error.excess.bound, Bound.body)  # type: ignore
                async with asyncio.timeout(TIMEOUT_S):
                    while not self.servers[-1].closed_count:
                        await asyncio.sleep(0.01)

    async def test_cut_answers_are_freed_without_the_collector(self) -> None:
        """Connection and parser form a cycle that holds the body."""
        self.addCleanup(gc.enable)
        gc.collect()
        gc.disable()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for name in ('chunks', 'body without a length') * 3:
            connection = await self.connect(*ENDLESS[name])
            with self.assertRaises(OversizedAnswerError):
                await self.exchange(connection)
        del connection
        current, _ = tracemalloc.get_traced_memory()
        self.assertLess(current, LIMITS.body_bytes)

    async def test_answers_of_unknown_length_never_wait_for_memory(
        self,
    ) -> None:
        self.budget.try_reserve(LIMITS.total_bytes - MEBIBYTE)
        connection = await self.connect(
            CHUNKED, b'10000\r\n' + FILLER + b'\r\n'
        )
        with self.assertRaises(OversizedAnswerError) as context:
            await self.exchange(connection)
        self.assertIs(context.exception.excess.bound, Bound.memory)

    async def test_large_answers_wait_for_memory(self) -> None:
        """An answer of known length is paused and read once memory is free."""
        self.budget.try_reserve(LIMITS.total_bytes)
        size = 16 * len(FILLER)
        connection = await self.connect(
            HEAD + b'Content-Length: %d\r\n\r\n' % size, FILLER
        )
        waiting = asyncio.ensure_future(self.exchange(connection))
        async with asyncio.timeout(TIMEOUT_S):
            while not self.budget.waiting:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        self.assertFalse(waiting.done())
        self.assertLess(connection.buffer.body_bytes, size)
        self.budget.release(LIMITS.total_bytes)
        answer, _ = await waiting  # type: ignore[misc]
        self.assertEqual(answer.body, FILLER * 16)
        self.assertEqual(self.budget.used_bytes, 0)

    async def test_bytes_behind_an_answer_never_start_the_next_one(
        self,
    ) -> None:
        """The head of a fake answer that breaks off stays without effect."""
        for surplus in (
            b'HTTP/1.1 200 OK\r\nX-Jasmineramp-Response-Signature: s\r\nX: ',
            b'HTTP/1.1 2',
            b'garbage',
            FILLER,
        ):
            with self.subTest(surplus[:20]):
                whole = HEAD + b'Content-Length: 2\r\n\r\nok' + surplus
                connection = await self.connect(whole, b'')
                answer, _ = await self.exchange(connection)  # type: ignore
                self.assertEqual(answer.body, b'ok')
                self.assertIsNone(connection.pool.take_idle(1000, 'id-2'))

    async def test_bytes_on_an_idle_connection_close_it(self) -> None:
        connection = await self.connect(
            HEAD + b'Content-Length: 2\r\n\r\nok', b''
        )
        await self.exchange(connection)
        connection.data_received(b'HTTP/1.1 200 OK\r\n')
        self.assertIsNone(connection.pool.take_idle(1000, 'id-2'))


class NodeTest(unittest.IsolatedAsyncioTestCase):
    """Test two nodes, one beside an upstream that sends without end."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet(MEMORY_BYTES)
        await self.fleet.start(2)
        self.server: EndlessServer | None = None

    async def asyncTearDown(self) -> None:
        if self.server is not None:
            self.server.close()
        await self.fleet.close()

    async def break_upstream(self, server: EndlessServer) -> Node:
        """Put a server in place of the upstream of the first node."""
        node = self.fleet.nodes[0]
        self.fleet.upstreams[0].server.stop()
        node.gate.pool.close()
        node.gate.pool.is_closed = False
        self.server = server
        await server.listen(*node.settings.upstream)
        return node

    async def call_all(self, path: str, count: int) -> Counter[int]:
        """Send calls through the second node and return their statuses."""
        statuses: Counter[int] = Counter()
        for first in range(0, count, CONCURRENT_CALLS):
            replies = await asyncio.gather(
                *(
                    self.fleet.call(1, path, f'{path}-{first + each}')
                    for each in range(CONCURRENT_CALLS)
                )
            )
            for status, _, body in replies:
                self.assertNotIn(FILLER[:100], body)
                self.assertIn(status, {200, 502})
                statuses[status] += 1
        return statuses

    async def test_other_calls_are_answered_meanwhile(self) -> None:
        """A cut call may have run; the instance counts as failing."""
        for name in ('chunks', 'header lines'):
            with self.subTest(name):
                await self.asyncTearDown()
                await self.asyncSetUp()
                node = await self.break_upstream(EndlessServer(*ENDLESS[name]))
                statuses = await self.call_all('/buy/1', 24)
                self.assertGreater(statuses[200], 0)
                self.assertGreater(statuses[502], 0)
                cut = node.metrics.cut_answers
                self.assertEqual(sum(cut.values()), statuses[502])
                self.assertEqual(node.gate.running(), 0)
                target = self.fleet.nodes[1].routes.targets[NodeId('n0')]
                self.assertGreater(
                    target.ejected_until, self.fleet.nodes[1].clock.now()
                )
                statuses = await self.call_all('/buy/2', 8)
                self.assertEqual(statuses[200], 8)

    async def test_idempotent_call_is_sent_again(self) -> None:
        await self.break_upstream(EndlessServer(*ENDLESS['trailers']))
        credit = self.fleet.nodes[1].retry_budget.credit
        for each in range(4):
            credit.clear()
            status, _, _ = await self.fleet.call(1, '/read/1', f'id-{each}')
            self.assertEqual(status, 200)

    async def test_trickle_ends_at_the_timeout_of_the_row(self) -> None:
        """Bytes that arrive slowly for ever hold their slot no longer."""
        node = await self.break_upstream(EndlessServer(HEAD, b'X: y\r\n', 0.02))
        results = await asyncio.gather(
            *(
                self.fleet.call(0, '/inner/1', f'id-{each}', key='')
                for each in range(6)
            )
        )
        statuses = {status for status, _, _ in results}
        self.assertLessEqual(statuses, {200, 504})
        self.assertIn(504, statuses)
        self.assertEqual(node.gate.running(), 0)

    async def test_caller_that_leaves_ends_the_answer(self) -> None:
        node = await self.break_upstream(EndlessServer(HEAD, b'X: y\r\n', 0.02))
        server = self.server
        assert server is not None
        calls = [
            asyncio.ensure_future(
                self.fleet.call(0, '/read/1', f'id-{each}', deadline=9000)
            )
            for each in range(6)
        ]
        await self.fleet.until(lambda: len(server.heads) > 1)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        await self.fleet.until(lambda: not node.gate.running())
        await self.fleet.until(lambda: server.closed_count == len(server.heads))
