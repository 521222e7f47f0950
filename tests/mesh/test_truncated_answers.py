"""Test that a truncated or malformed answer is never taken for a whole one.

Pattern: an instance in trouble answers a long upload at once, without a length,
and ends the connection while the upload is being written; or it sends a status
that does not exist.
"""

import asyncio
import enum
import unittest
from collections.abc import Awaitable, Callable

import uvloop

from jasmineramp.mesh.calls import Answer
from jasmineramp.mesh.receive_limits import (
    MEBIBYTE,
    ReceiveBudget,
    ReceiveLimits,
)
from jasmineramp.mesh.upstream_connection import BrokenExchangeError
from jasmineramp.mesh.upstream_pool import UpstreamPool
from jasmineramp.platform.headers import read_response

HOST = '127.0.0.1'
# Well below the deadline of a call; an exchange fails within milliseconds.
TIMEOUT_S = 3
UPLOAD = bytes(range(256)) * (8 * MEBIBYTE // 256)
SIGNED = b'X-Jasmineramp-Response-Signature: s\r\n'
OK = b'HTTP/1.1 200 OK\r\n' + SIGNED
INVALID_STATUSES = (
    b'000', b'099', b'600', b'999', b'20', b'2000', b'+200', b'-200', b' 200',
    b'2 0', b'', b'2x0',
)  # fmt: skip
LOOPS = (asyncio.new_event_loop, uvloop.new_event_loop)
Script = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[object]
]


class End(enum.Enum):
    """Name how a server ends its answer."""

    none = 'none'
    end_of_stream = 'end of stream'
    reset = 'reset'


async def exchange(script: Script, body: bytes) -> Answer:
    """Send a call to a server that reads the head and follows a script."""
    tasks = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        tasks.append(asyncio.current_task())
        await reader.readuntil(b'\r\n\r\n')
        await script(reader, writer)

    # The small limit makes the server stop to read the body.
    server = await asyncio.start_server(serve, HOST, 0, limit=1024)
    limits = ReceiveLimits(MEBIBYTE, 4 * MEBIBYTE)
    port = server.sockets[0].getsockname()[1]
    pool = UpstreamPool(
        HOST, port, read_response, limits, ReceiveBudget(limits.total_bytes)
    )
    connection = await pool.connect()
    head = b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % len(body)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            answer, _ = await connection.send(
                head + body, 'id-1', head_only=False
            )
        # The server goes on to read the body of the request.
        await asyncio.wait(filter(None, tasks), timeout=TIMEOUT_S)
        return answer
    finally:
        server.close()
        if connection.is_open:
            connection.close()
        for task in filter(None, tasks):
            task.cancel()
        await asyncio.gather(*filter(None, tasks), return_exceptions=True)


class TruncatedAnswerTest(unittest.TestCase):
    """Test both event loops, as each reports the end of a stream itself."""

    def run_exchange(self, script: Script, body: bytes = UPLOAD) -> list[bytes]:
        """Return the body of the answer with each event loop."""
        bodies = []
        for factory in LOOPS:
            with asyncio.Runner(loop_factory=factory) as runner:
                bodies.append(runner.run(exchange(script, body)).body)
        return bodies

    def check_broken(self, part: bytes, end: End, body: bytes) -> None:
        """Check that the exchange fails at once with each event loop."""

        async def answer_in_part(
            _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.05)
            if end is End.reset:
                # Bytes of the request are unread, so this sends a reset.
                writer.transport.abort()
            elif end is End.end_of_stream:
                writer.write_eof()
            await asyncio.Event().wait()

        for factory in LOOPS:
            with (
                self.subTest(part=part, end=end, loop=factory),
                asyncio.Runner(loop_factory=factory) as runner,
                self.assertRaises(BrokenExchangeError),
            ):
                runner.run(exchange(answer_in_part, body))

    # Guards against a part of an answer that is passed on as a whole one, and
    # against one that is waited for until the deadline.
    def test_answer_that_ends_before_the_request_was_written(self) -> None:
        for head in (
            OK,
            OK + b'Connection: close\r\n',
            OK + b'Content-Length: 9\r\n',
            OK + b'Transfer-Encoding: chunked\r\n',
        ):
            for end in (End.end_of_stream, End.reset):
                self.check_broken(head + b'\r\n4\r\npart', end, UPLOAD)

    # Guards against statuses that do not exist, passed on or waited behind.
    def test_invalid_status_is_a_broken_exchange(self) -> None:
        for status in INVALID_STATUSES:
            for framing in (b'Content-Length: 0\r\n', b''):
                part = b'HTTP/1.1 ' + status + b' X\r\n' + SIGNED + framing
                self.check_broken(part + b'\r\n', End.none, b'')

    # Guards against valid answers that are lost with the invalid ones.
    def test_answer_without_a_length_after_the_whole_request(self) -> None:
        async def answer_and_end(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readexactly(len(UPLOAD))
            writer.write(OK + b'\r\nwhole')
            writer.close()

        self.assertEqual(self.run_exchange(answer_and_end), [b'whole'] * 2)

    def test_answer_with_a_length_before_the_body_was_read(self) -> None:
        received = []

        async def answer_first(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(OK + b'Content-Length: 5\r\n\r\nearly')
            await asyncio.sleep(0.05)
            received.append(await reader.readexactly(len(UPLOAD)))

        self.assertEqual(self.run_exchange(answer_first), [b'early'] * 2)
        self.assertEqual(received, [UPLOAD] * 2)
