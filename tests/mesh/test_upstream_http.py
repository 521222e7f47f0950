"""Test that each answer of a faulty upstream is matched to its own call."""

import asyncio
import unittest

from jasmineramp.mesh.caller_connection import CallerConnection
from jasmineramp.mesh.caller_messages import CallerResponse
from jasmineramp.mesh.calls import CallerRequest
from tests.fakes.mesh import Fleet

SIGNATURE = b'X-Jasmineramp-Response-Signature: s\r\n'
REFUSAL = (
    b'HTTP/1.1 503 Full\r\nX-Jasmineramp-Not-Executed: 1\r\n%s'
    b'Content-Length: 0\r\n\r\n'
)
NAMED_REFUSAL = REFUSAL % b'X-Jasmineramp-Request-Id: id-1\r\n'
UNNAMED_REFUSAL = REFUSAL % b''
HEAD = (
    b'HTTP/1.1 200 OK\r\n' + SIGNATURE + b'X-Jasmineramp-Request-Id: id-1\r\n'
)


class FaultyUpstreamTest(unittest.IsolatedAsyncioTestCase):
    """Test a node whose upstream writes other bytes than its answer."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        await self.fleet.start(1)
        self.addAsyncCleanup(self.fleet.close)
        self.upstream = self.fleet.upstreams[0]

    def connection(self) -> CallerConnection:
        """Return the connection of the only call in progress."""
        return next(
            each for each in self.upstream.server.connections if each.is_busy()
        )

    async def refuse(self, _request: CallerRequest) -> CallerResponse:
        """Refuse a call as not run."""
        return CallerResponse(503, [(b'X-Jasmineramp-Not-Executed', b'1')])

    async def refuse_first_call(self) -> None:
        """Refuse the call id-1, whose connection is kept."""
        self.upstream.behave = self.refuse
        status, _, _ = await self.fleet.call(0, '/buy/1', 'id-1')
        self.assertEqual(status, 503)
        self.assertEqual(len(self.upstream.server.connections), 1)

    async def call_after(self, surplus: bytes, request_id: str) -> int:
        """Call while the upstream writes surplus bytes before its answer."""

        async def answer(request: CallerRequest) -> CallerResponse:
            if len(self.upstream.server.connections) == 1:
                self.connection().transport.write(surplus)
                await asyncio.sleep(0.05)
            return CallerResponse(200, [], request.target)

        self.upstream.behave = answer
        status, _, _ = await self.fleet.call(0, '/buy/1', request_id)
        return status

    # Guards against ids of callers that fill the memory of idle connections.
    async def test_long_ids_are_told_apart_but_not_kept(self) -> None:
        ids = ['x' * 10_000 + str(number) for number in range(3)]
        for request_id in ids:
            await self.fleet.call(0, '/read/1', request_id)
        (connection,) = self.fleet.nodes[0].gate.pool.idle
        for request_id in ids:
            self.assertTrue(connection.has_carried(request_id))
        self.assertFalse(connection.has_carried('x' * 10_000))
        self.assertLess(sum(map(len, connection.carried)), 1000)

    # Guards against a HEAD request that waits for a body until its deadline.
    async def test_answer_to_head_has_no_body(self) -> None:
        for number in range(2):
            status, _, body = await self.fleet.call(
                0, '/read/1', f'id-{number}', method='HEAD'
            )
            self.assertEqual((status, body), (200, b''))

    # Guards against REFUSED and TWICE: an earlier refusal, written once more on
    # a kept connection, that answers a call which runs.
    async def test_repeated_refusal_of_the_same_id_is_not_believed(
        self,
    ) -> None:
        await self.refuse_first_call()
        self.assertEqual(await self.call_after(NAMED_REFUSAL, 'id-1'), 200)

    async def test_repeated_refusal_of_another_id_is_not_believed(
        self,
    ) -> None:
        await self.refuse_first_call()
        self.assertEqual(await self.call_after(NAMED_REFUSAL, 'id-2'), 200)
        # What else the connection holds back is not waited for.
        self.assertFalse(self.fleet.nodes[0].gate.pool.idle)

    async def test_refusal_without_an_id_on_a_kept_connection_is_unknown(
        self,
    ) -> None:
        await self.refuse_first_call()
        self.assertEqual(await self.call_after(UNNAMED_REFUSAL, 'id-2'), 502)
        self.assertEqual(self.upstream.ran['id-2'], 1)

    async def break_off(self, answer: bytes) -> int:
        """Call while the upstream writes a part of an answer and closes."""

        async def write_part(_request: CallerRequest) -> None:
            connection = self.connection()
            connection.transport.write(answer)
            connection.transport.close()
            await asyncio.sleep(0.05)

        self.upstream.behave = write_part
        status, _, _ = await self.fleet.call(0, '/buy/1', 'id-1')
        return status

    # Guards against MIXED: an answer that ends in its head, and is passed on as
    # a whole one with an empty or short body.
    async def test_answer_that_ends_in_its_head_is_a_failure(self) -> None:
        head = HEAD + b'Content-Length: 4\r\n'
        interim = b'HTTP/1.1 100 Continue\r\n\r\n'
        for part in (
            *(head[:end] for end in range(0, len(head), 9)),
            head,
            interim,
            interim + head,
            b'HTTP/1.1 103 Early Hints\r\n' + SIGNATURE + b'\r\n',
        ):
            with self.subTest(part=part):
                self.assertEqual(await self.break_off(part), 502)

    # Guards against a status that does not exist which is passed on, waited
    # behind, or taken as a sign that the call has not run.
    async def test_invalid_status_is_a_failure_at_once(self) -> None:
        async def write_and_wait(_request: CallerRequest) -> None:
            self.connection().transport.write(head)
            await asyncio.Event().wait()

        self.upstream.behave = write_and_wait
        for status in (b'000', b'600'):
            head = (
                b'HTTP/1.1 %s X\r\n%sX-Jasmineramp-Not-Executed: 1\r\n'
                b'Content-Length: 0\r\n\r\n'
            ) % (status, SIGNATURE)
            with self.subTest(status):
                answered, _, _ = await self.fleet.call(0, '/buy/1', 'id-1')
                self.assertEqual(answered, 502)

    async def test_answer_that_ends_in_its_head_after_another_one(
        self,
    ) -> None:
        self.upstream.behave = self.upstream.succeed
        for part in (b'', b'\r\n', HEAD):
            status, _, _ = await self.fleet.call(0, '/buy/1', 'id-1')
            self.assertEqual(status, 200)
            self.assertEqual(await self.break_off(part), 502)
            self.upstream.behave = self.upstream.succeed
