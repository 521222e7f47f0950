"""Serve responses that never end."""

import asyncio
import contextlib

HOST = '127.0.0.1'
PIECE_BYTES = 64 * 1024
HEAD = (
    b'HTTP/1.1 200 OK\r\n'
    b'X-Jasmineramp-Response-Signature: s\r\n'
    b'X-Jasmineramp-Request-Id: %s\r\n'
)
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
FILLER = b'x' * PIECE_BYTES
HEADER_LINE = b'X-Filler: 0123456789\r\n'
TINY_CHUNK = b'1\r\nx\r\n'
INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\n'


def _fill(piece: bytes) -> bytes:
    return piece * (PIECE_BYTES // len(piece))


# By name: what comes first and what is then repeated without end.
ENDLESS = {
    'body without a length': (HEAD + b'\r\n', FILLER),
    'body with a huge length': (
        HEAD + b'Content-Length: 99999999999\r\n\r\n',
        FILLER,
    ),
    'chunks': (CHUNKED, b'10000\r\n' + FILLER + b'\r\n'),
    'tiny chunks': (CHUNKED, _fill(TINY_CHUNK)),
    'chunk extension': (CHUNKED, b'1;x=' + FILLER),
    'header lines': (HEAD, _fill(HEADER_LINE)),
    'trailers': (CHUNKED + b'0\r\n', _fill(HEADER_LINE)),
    'header name': (HEAD, FILLER),
    'header value': (HEAD + b'X-Long: ', FILLER),
    'reason phrase': (b'HTTP/1.1 200 ', FILLER),
    'interim responses': (b'', _fill(INTERIM)),
    'bytes that are not HTTP': (b'', FILLER),
}
# Cut by their number of bytes; the rest is malformed at once.
HEAD_NAMES = frozenset(
    (
        'header lines',
        'trailers',
        'header name',
        'header value',
        'reason phrase',
        'interim responses',
        'tiny chunks',
    )
)
BODY_NAMES = frozenset(
    (
        'body without a length',
        'body with a huge length',
        'chunks',
    )
)


class EndlessServer:
    """Answer every request with a start and a piece repeated until closed.

    Without a piece the connection stays open and silent.
    """

    def __init__(
        self, start: bytes, piece: bytes, interval_s: float = 0
    ) -> None:
        self.start = start
        self.piece = piece
        self.interval_s = interval_s
        self.closed_count = 0
        self.heads: list[bytes] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def listen(self, host: str = HOST, port: int = 0) -> int:
        """Listen and return the port."""
        self.server = await asyncio.start_server(self._serve, host, port)
        return int(self.server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop listening and end the responses."""
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
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self._answer(reader, writer)
        self.closed_count += 1
        writer.transport.abort()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        self.heads.append(head)
        writer.write(self.start.replace(b'%s', _request_id(head)))
        while self.piece:
            writer.write(self.piece)
            await writer.drain()
            await asyncio.sleep(self.interval_s)
        await reader.read()


def _request_id(head: bytes) -> bytes:
    for line in head.split(b'\r\n'):
        name, _, value = line.partition(b': ')
        if name.lower() == b'x-jasmineramp-request-id':
            return value
    return b''
