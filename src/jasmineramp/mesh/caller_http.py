"""Serve HTTP/1.1 to callers on the event loop."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import httptools

from jasmineramp.clock import MILLIS_PER_SECOND
from jasmineramp.mesh.calls import CallerRequest, Headers
from jasmineramp.mesh.route_table import CallerLimits

# Requests that a caller may send ahead on one connection.
LARGEST_PIPELINE = 16
WRITE_HIGH_WATER_BYTES = 256 * 1024
LISTEN_BACKLOG = 1024
_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


class CallerResponse:
    """Hold a response to a caller; the length is added on writing."""

    __slots__ = ('body', 'headers', 'reason', 'status')

    def __init__(
        self,
        status: int,
        headers: Headers,
        body: bytes = b'',
        reason: bytes = b'',
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.reason = reason or _REASONS.get(status, b'Unknown')


Handler = Callable[[CallerRequest], Awaitable[CallerResponse]]


class OpenRequests:
    """Count the requests that are being handled."""

    def __init__(self) -> None:
        self.count = 0

    def __enter__(self) -> None:
        self.count += 1

    def __exit__(self, *_: object) -> None:
        self.count -= 1


class CallerServer:
    """Hold the connections of one listening address."""

    def __init__(
        self, handler: Handler, limits: Callable[[], CallerLimits]
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.connections: set[CallerConnection] = set()
        self.closing = False
        self.open_requests = OpenRequests()
        self.server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Listen at an address."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: CallerConnection(self),
            host,
            port,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )

    def drain(self) -> None:
        """End each connection with its next response."""
        self.closing = True

    def close_idle(self) -> None:
        """Close the connections on which no request is open."""
        for connection in list(self.connections):
            if not connection.is_busy() and not connection.has_partial():
                connection.transport.close()

    def stop(self) -> None:
        """Stop listening and close the connections that are left."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.transport.close()

    def expire(self, now: float) -> None:
        """Close connections that idle or send their head too slowly."""
        limits = self.limits()
        for connection in list(self.connections):
            connection.expire(now, limits)


class CallerConnection(asyncio.Protocol):
    """Parse the requests of one connection and answer them in order."""

    def __init__(self, server: CallerServer) -> None:
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.parser = httptools.HttpRequestParser(self)
        self.queue: deque[tuple[CallerRequest, bool]] = deque()
        self.task: asyncio.Task[None] | None = None
        self.gone = False
        self.rejected = False
        self.since = self.loop.time()
        self._reset()

    def _reset(self) -> None:
        self.target = b''
        self.headers: Headers = []
        self.header_bytes = 0
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.in_head = False
        self.in_body = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request whose caller has gone."""
        self._leave()
        # Parser and connection refer to each other; most connections serve
        # one request and would wait for the collector.
        del self.parser

    def eof_received(self) -> bool:
        """Treat the end of the caller's stream as its leaving."""
        self._leave()
        return False

    def data_received(self, data: bytes) -> None:
        """Feed the parser; refuse what it can't read."""
        if self.rejected:
            return
        if not self.in_body:
            self.header_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            self._reject(HTTPStatus.BAD_REQUEST)
        if self.in_head or self.in_body or self.body_bytes:
            self._check_size(self.server.limits())

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset()
        self.in_head = True
        self.since = self.loop.time()

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self.headers.append((name, value))
        if name.lower() == b'expect' and value.lower() == b'100-continue':
            self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_headers_complete(self) -> None:
        """Expect the body."""
        self.in_head = False
        self.in_body = True
        self.header_bytes = 0
        if self.parser.should_upgrade():
            self.headers = [
                each for each in self.headers if each[0].lower() != b'upgrade'
            ]

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body."""
        self.body.append(body)
        self.body_bytes += len(body)

    def on_message_complete(self) -> None:
        """Queue the request behind those that came before it."""
        self.in_body = False
        self.since = self.loop.time()
        if len(self.queue) >= LARGEST_PIPELINE:
            self._reject(HTTPStatus.BAD_REQUEST)
            return
        request = CallerRequest(
            self.parser.get_method(),
            self.target,
            self.headers,
            b''.join(self.body),
        )
        self.body = []
        self.queue.append((request, self.parser.should_keep_alive()))
        if self.task is None:
            self._start_next()

    def is_busy(self) -> bool:
        """Tell whether a request is open."""
        return self.task is not None or bool(self.queue)

    def has_partial(self) -> bool:
        """Tell whether a request has been read in part."""
        return self.in_head or self.in_body

    def expire(self, now: float, limits: CallerLimits) -> None:
        """Close the connection when it idles or its head takes too long."""
        if self.task is not None or self.in_body:
            return
        allowed = limits.header_ms if self.in_head else limits.idle_ms
        if (now - self.since) * MILLIS_PER_SECOND > allowed:
            self.transport.close()

    def _check_size(self, limits: CallerLimits) -> None:
        if self.in_head and self.header_bytes > limits.header_bytes:
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        if self.body_bytes > limits.body_bytes:
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def _start_next(self) -> None:
        request, keep = self.queue.popleft()
        self.task = self.loop.create_task(self._answer(request, keep))

    async def _answer(self, request: CallerRequest, keep: bool) -> None:
        with self.server.open_requests:
            response = await self.server.handler(request)
        self.task = None
        self.since = self.loop.time()
        if self.gone:
            return
        keep = keep and not self.server.closing
        self._write(response, keep, head_only=request.method == b'HEAD')
        if not keep:
            self.transport.close()
        elif self.queue:
            self._start_next()

    def _write(
        self, response: CallerResponse, keep: bool, *, head_only: bool
    ) -> None:
        lines = [
            b'HTTP/1.1 %d %s' % (response.status, response.reason),
            *(b'%s: %s' % header for header in response.headers),
            b'Content-Length: %d' % len(response.body),
        ]
        if not keep:
            lines.append(b'Connection: close')
        lines.append(b'\r\n')
        head = b'\r\n'.join(lines)
        self.transport.write(head if head_only else head + response.body)

    def _reject(self, status: HTTPStatus) -> None:
        if self.rejected:
            return
        self.rejected = True
        if self.task is None:
            self._write(CallerResponse(status, []), False, head_only=False)
        self.transport.close()

    def _leave(self) -> None:
        if self.gone:
            return
        self.gone = True
        self.queue.clear()
        self.server.connections.discard(self)
        if self.task is not None:
            self.task.cancel()
