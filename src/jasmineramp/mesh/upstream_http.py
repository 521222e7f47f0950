"""Send calls to the upstream of this VM over kept HTTP/1.1 connections."""

import asyncio
import functools
from collections import deque
from collections.abc import Callable

import httptools

from jasmineramp.clock import MILLIS_PER_SECOND
from jasmineramp.mesh.calls import Answer, Headers, ResponseHead

CONNECT_TIMEOUT_S = 0.5
# An upstream may forget an idle connection; what is sent on it is then lost.
FRESH_MS = 250.0
# Shorter than the idle timeout of upstreams.
IDLE_MS = 4_000.0
LARGEST_POOL = 256
_FRAMING = frozenset((b'content-length', b'transfer-encoding'))
_BODILESS = frozenset((204, 304))

HeadReader = Callable[[Headers], ResponseHead]


class ConnectError(Exception):
    """Report that no connection could be made; nothing was sent."""


class StaleConnectionError(Exception):
    """Report that a kept connection ended before any byte of a response."""


class BrokenExchangeError(Exception):
    """Report that a call was sent and its response can't be used."""


class Exchange:
    """Hold one call that waits for its response on a connection."""

    __slots__ = ('future', 'head_only', 'request_id')

    def __init__(
        self,
        request_id: str,
        head_only: bool,
        future: 'asyncio.Future[tuple[Answer, ResponseHead]]',
    ) -> None:
        self.request_id = request_id
        self.head_only = head_only
        self.future = future


class UpstreamConnection(asyncio.Protocol):
    """Exchange one call at a time on a connection."""

    def __init__(self, pool: 'UpstreamPool') -> None:
        self.pool = pool
        self.parser = httptools.HttpResponseParser(self)
        self.exchange: Exchange | None = None
        self.is_open = False
        self.is_used = False
        self.keep = True
        self.idle_since = float('-inf')
        self.idle_limit_ms = IDLE_MS
        self._reset()

    def _reset(self) -> None:
        self.reason = b''
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.has_head = False
        self.is_framed = False
        self.got_bytes = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.is_open = True

    def send(
        self, data: bytes, request_id: str, *, head_only: bool
    ) -> 'asyncio.Future[tuple[Answer, ResponseHead]]':
        """Send a call; the future holds its answer or the exception."""
        loop = asyncio.get_running_loop()
        self.exchange = Exchange(request_id, head_only, loop.create_future())
        self.got_bytes = False
        self.transport.write(data)
        return self.exchange.future

    def data_received(self, data: bytes) -> None:
        """Feed the parser; bytes that nobody waits for end the connection."""
        if self.exchange is None:
            self.close()
            return
        self.got_bytes = True
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(BrokenExchangeError('malformed response'))

    def eof_received(self) -> bool:
        """Complete a response that ends with its connection."""
        self.keep = False
        if self.has_head and not self.is_framed and self.exchange is not None:
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call that waits for a response."""
        self.is_open = False
        self.pool.forget(self)
        if self.exchange is None:
            return
        if self.is_used and not self.got_bytes:
            self._fail(StaleConnectionError('kept connection was closed'))
        else:
            self._fail(BrokenExchangeError(f'connection lost: {exc}'))

    def on_message_begin(self) -> None:
        """Start a response."""
        self._reset()
        self.got_bytes = True

    def on_status(self, status: bytes) -> None:
        """Collect the reason."""
        self.reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        lowered = name.lower()
        if lowered in _FRAMING:
            self.is_framed = True
        elif lowered == b'keep-alive':
            limit = _keep_alive_ms(value)
            self.idle_limit_ms = min(self.idle_limit_ms, limit)
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Complete a response that has no body."""
        self.has_head = True
        self.status = self.parser.get_status_code()
        if self.status in _BODILESS:
            self.is_framed = True

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body."""
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Hand over the response."""
        if self.status < 200:  # noqa: PLR2004
            return
        if not self.parser.should_keep_alive():
            self.keep = False
        self._complete()

    def close(self) -> None:
        """End the connection; a call in progress is given up."""
        self.keep = False
        self.is_open = False
        self.exchange = None
        self.transport.abort()

    def _complete(self) -> None:
        exchange = self.exchange
        if exchange is None:
            # A second response; the connection has lost its framing.
            self.keep = False
            self.transport.close()
            return
        head = self.pool.read_head(self.headers)
        if head.request_id and head.request_id != exchange.request_id:
            # A late second response to an earlier call.
            return
        self.exchange = None
        if self.transport.get_write_buffer_size():
            # The response came before the whole call had been read.
            self.keep = False
        answer = Answer(
            self.status, self.reason, self.headers, b''.join(self.body)
        )
        if not exchange.future.done():
            exchange.future.set_result((answer, head))
        self.pool.give_back(self)

    def _fail(self, error: Exception) -> None:
        exchange = self.exchange
        self.close()
        if exchange is not None and not exchange.future.done():
            exchange.future.set_exception(error)


class UpstreamPool:
    """Hold the connections to the upstream at one address."""

    def __init__(self, host: str, port: int, read_head: HeadReader) -> None:
        self.host = host
        self.port = port
        self.read_head = read_head
        self.idle: deque[UpstreamConnection] = deque()
        self.is_closed = False
        self.opened = 0

    async def connect(self) -> UpstreamConnection:
        """Open a connection; raise ConnectError."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(self), self.host, self.port
                )
        except (OSError, TimeoutError) as error:
            raise ConnectError(str(error)) from None
        self.opened += 1
        return connection

    def take_idle(self, limit_ms: float) -> UpstreamConnection | None:
        """Return the connection used last if it was idle for less."""
        now = asyncio.get_running_loop().time()
        while self.idle:
            connection = self.idle[-1]
            idle_ms = (now - connection.idle_since) * MILLIS_PER_SECOND
            if idle_ms > min(limit_ms, connection.idle_limit_ms):
                return None
            self.idle.pop()
            if connection.is_open and not connection.transport.is_closing():
                return connection
        return None

    def give_back(self, connection: UpstreamConnection) -> None:
        """Keep a connection for a later call if that is allowed."""
        if (
            not connection.keep
            or self.is_closed
            or len(self.idle) >= LARGEST_POOL
        ):
            connection.keep = False
            connection.transport.close()
            return
        connection.is_used = True
        connection.idle_since = asyncio.get_running_loop().time()
        self.idle.append(connection)

    def forget(self, connection: UpstreamConnection) -> None:
        """Drop a connection that has ended."""
        if connection in self.idle:
            self.idle.remove(connection)

    def expire(self) -> None:
        """Close the connections that idled too long."""
        now = asyncio.get_running_loop().time()
        while self.idle:
            connection = self.idle[0]
            idle_ms = (now - connection.idle_since) * MILLIS_PER_SECOND
            if idle_ms <= connection.idle_limit_ms:
                return
            self.idle.popleft()
            connection.keep = False
            connection.transport.close()

    def close(self) -> None:
        """Close the idle connections; calls in progress go on."""
        self.is_closed = True
        while self.idle:
            self.idle.pop().transport.close()


@functools.lru_cache(maxsize=64)
def _keep_alive_ms(value: bytes) -> float:
    """Return how long an announced connection may idle, with a margin."""
    for part in value.split(b','):
        name, _, text = part.strip().partition(b'=')
        if name.lower() == b'timeout' and text.strip().isdigit():
            return int(text) * MILLIS_PER_SECOND / 2
    return IDLE_MS
