"""Behave as instances whose answers are long, late or early."""

import asyncio
import contextlib

from tests.fakes.mesh import HOST

SLOW_WORK_S = 3.5
EARLY_STATUS = 413
# The buffer of a connection; the node keeps what does not fit.
STREAM_BYTES = 65_536
_END_OF_HEAD = b'\r\n\r\n'


class StreamInstance:
    """Serve requests as streams, in place of `FakeUpstream.server`.

    A GET is answered with as many bytes as the last part of its path says, or
    with few after SLOW_WORK_S. While `answers_early`, a request with a body is
    answered before its body is read, and nothing more is read from its
    connection.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.answers_early = False
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def listen(self, host: str = HOST, port: int = 0) -> None:
        """Listen on an address."""
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=STREAM_BYTES
        )

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                await self._answer(reader, writer)
        writer.transport.abort()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(_END_OF_HEAD)
        first, *lines = head.removesuffix(_END_OF_HEAD).split(b'\r\n')
        method, target, _ = first.split(b' ')
        headers = {}
        for line in lines:
            name, _, content = line.partition(b': ')
            headers[name.lower()] = content
        request_id = headers[b'x-jasmineramp-request-id']
        length = int(headers.get(b'content-length', 0))
        if length and self.answers_early:
            self._write(writer, EARLY_STATUS, request_id, 0)
            await asyncio.Event().wait()
        await reader.readexactly(length)
        size = 100
        if target.endswith(b'/slow'):
            await asyncio.sleep(SLOW_WORK_S)
        elif method == b'GET':
            size = int(target.rpartition(b'/')[2])
        self._write(writer, 200, request_id, size)
        await writer.drain()

    def _write(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        request_id: bytes,
        size: int,
    ) -> None:
        head = (
            b'HTTP/1.1 %d Status\r\n'
            b'X-Jasmineramp-Request-Id: %s\r\n'
            b'X-Jasmineramp-Response-Signature: %s\r\n'
            b'Content-Length: %d\r\n\r\n'
        )
        values = (status, request_id, self.name.encode(), size)
        writer.write(head % values + b'x' * size)
