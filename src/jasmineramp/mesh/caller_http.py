"""Serve HTTP/1.1 to callers on the event loop."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import httptools

from jasmineramp.clock import MILLIS_PER_SECOND
from jasmineramp.mesh.caller_pipeline import PendingRequest, Pipeline
from jasmineramp.mesh.calls import CallerRequest, Headers
from jasmineramp.mesh.receive_limits import (
    DEFAULT_MEMORY_BYTES,
    MAX_BODY_BYTES,
    RESERVATION_STEP_BYTES,
    SMALL_BODY_BYTES,
    Bound,
    MessageBuffer,
    ReceiveBudget,
    Reservation,
    limits_for,
)
from jasmineramp.mesh.route_table import CallerLimits

WRITE_HIGH_WATER_BYTES = 256 * 1024
LISTEN_BACKLOG = 1024
# A caller sends its first request right after connecting, and it is reset if
# the connection is closed before the request is read.
NEW_CONNECTION_ALLOWANCE_MS = 500
# Sent while too little memory is free for a large body.
_RETRY_AFTER = (b'Retry-After', b'0.5')
_REASON_PHRASES = {
    status.value: status.phrase.encode() for status in HTTPStatus
}


class CallerResponse:
    """Hold a response to a caller; Content-Length is added on writing."""

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
        self.reason = reason or _REASON_PHRASES.get(status, b'Unknown')


Handler = Callable[[CallerRequest], Awaitable[CallerResponse]]
# Tells whether a request may run beside others of its connection.
KindReader = Callable[[CallerRequest], bool]


class OpenRequests:
    """Count the requests in progress, as a context manager."""

    def __init__(self) -> None:
        self.count = 0

    def __enter__(self) -> None:
        self.count += 1

    def __exit__(self, *_: object) -> None:
        self.count -= 1


class CallerServer:
    """Accept the connections of one listening address."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        budget: ReceiveBudget | None = None,
        is_idempotent: KindReader | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.is_idempotent = is_idempotent or _is_never_idempotent
        self.budget = budget or ReceiveBudget(
            limits_for(DEFAULT_MEMORY_BYTES).total_bytes
        )
        self.connections: set[CallerConnection] = set()
        self.is_draining = False
        self.pipelined: Counter[str] = Counter()
        self.open_requests = OpenRequests()
        self.server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Listen on an address."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: CallerConnection(self),
            host,
            port,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )

    def drain(self) -> None:
        """Close each connection after its next response."""
        self.is_draining = True

    def close_idle(self) -> None:
        """Close the connections without a request in progress or expected."""
        for connection in list(self.connections):
            if connection.is_idle():
                connection.transport.close()

    def stop(self) -> None:
        """Stop listening and close the remaining connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.transport.close()

    def expire(self, now: float) -> None:
        """Close connections that exceed the idle or header timeout."""
        limits = self.limits()
        for connection in list(self.connections):
            connection.expire(now, limits)


class CallerConnection(asyncio.Protocol):
    """Parse the requests of one connection and answer them in order."""

    def __init__(self, server: CallerServer) -> None:
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.parser = httptools.HttpRequestParser(self)
        self.pipeline: Pipeline[CallerRequest, CallerResponse] = Pipeline(
            server.is_idempotent, _body_bytes, server.pipelined
        )
        self.tasks: set[asyncio.Task[None]] = set()
        self.is_closed = False
        self.timeout_started = self.loop.time()
        self.has_begun_request = False
        self.buffer = MessageBuffer(MAX_BODY_BYTES)
        self.reservation = Reservation(server.budget)
        # Bodies of the queued requests and those in progress.
        self.queued_bytes = 0
        self._reset()

    def _reset(self) -> None:
        self.target = b''
        self.headers: Headers = []
        self.header_bytes = 0
        self.is_reading_head = False
        self.is_reading_body = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests in progress."""
        self._abandon()
        self.reservation.release()
        # Breaks the reference cycle with the parser, so that the connection is
        # freed without the garbage collector; most serve only one request.
        del self.parser

    def eof_received(self) -> bool:
        """Treat the end of the caller's stream as a disconnect."""
        self._abandon()
        return False

    def data_received(self, data: bytes) -> None:
        """Feed the parser; reject malformed and oversized requests."""
        if self.pipeline.is_complete:
            return
        if self.is_reading_body:
            self.buffer.received_bytes += len(data)
            self.timeout_started = self.loop.time()
        else:
            self.header_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            self._reject(HTTPStatus.BAD_REQUEST)
        if (
            self.is_reading_head
            or self.is_reading_body
            or self.buffer.body_bytes
        ):
            self._check_limits(self.server.limits())

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset()
        self.buffer.start_exchange()
        self.has_begun_request = True
        self.is_reading_head = True
        self.timeout_started = self.loop.time()

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self.headers.append((name, value))
        if name.lower() == b'expect' and value.lower() == b'100-continue':
            self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_headers_complete(self) -> None:
        """Start reading the body; ignore a protocol upgrade."""
        self.is_reading_head = False
        self.is_reading_body = True
        self.header_bytes = 0
        if self.parser.should_upgrade():
            self.headers = [
                each for each in self.headers if each[0].lower() != b'upgrade'
            ]

    def on_body(self, body: bytes) -> None:
        """Collect a chunk of the body."""
        self.buffer.add_body(body)

    def on_message_complete(self) -> None:
        """Queue the request behind earlier ones of the connection."""
        self.is_reading_body = False
        self.timeout_started = self.loop.time()
        request = CallerRequest(
            self.parser.get_method(),
            self.target,
            self.headers,
            self.buffer.take_body(),
            read_at=self.loop.time(),
        )
        if self.pipeline.add(
            request, closes=not self.parser.should_keep_alive()
        ):
            self.queued_bytes += len(request.body)
            self._start_requests()

    def is_idle(self) -> bool:
        """Return whether no request is in progress or expected soon."""
        return not (
            self.is_busy() or self.is_reading_request() or self.is_new()
        )

    def is_busy(self) -> bool:
        """Return whether a request is queued or in progress."""
        return bool(self.pipeline.pending)

    def is_reading_request(self) -> bool:
        """Return whether a request has been received only in part."""
        return self.is_reading_head or self.is_reading_body

    def is_new(self) -> bool:
        """Return whether the first request may still be on its way."""
        if self.has_begun_request:
            return False
        age_s = self.loop.time() - self.timeout_started
        return age_s * MILLIS_PER_SECOND < NEW_CONNECTION_ALLOWANCE_MS

    def expire(self, now: float, limits: CallerLimits) -> None:
        """Close the connection at the idle or the header timeout.

        The idle timeout also applies between the pieces of a body and to a
        response that the caller does not read.
        """
        if self.tasks:
            return
        limit_ms = (
            limits.header_timeout_ms
            if self.is_reading_head
            else limits.idle_timeout_ms
        )
        if (now - self.timeout_started) * MILLIS_PER_SECOND <= limit_ms:
            return
        if self.transport.get_write_buffer_size():
            self.transport.abort()
        else:
            self.transport.close()

    def _check_limits(self, limits: CallerLimits) -> None:
        buffer = self.buffer
        if self.is_reading_head and self.header_bytes > limits.max_header_bytes:
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        excess = buffer.find_excess()
        if excess is not None and excess.bound is Bound.head:
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        if excess is not None or buffer.body_bytes > limits.max_body_bytes:
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        size = self.queued_bytes + buffer.body_bytes
        if (
            self.is_reading_body
            and size > max(SMALL_BODY_BYTES, self.reservation.size)
            and not self.reservation.try_resize(size + RESERVATION_STEP_BYTES)
        ):
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE)

    def _start_requests(self) -> None:
        for pending in self.pipeline.take_startable():
            task = self.loop.create_task(self._answer(pending))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _answer(
        self, pending: PendingRequest[CallerRequest, CallerResponse]
    ) -> None:
        request = pending.request
        if request is None:
            return
        request.waited_ms = (
            self.loop.time() - request.read_at
        ) * MILLIS_PER_SECOND
        with self.server.open_requests:
            response = await self.server.handler(request)
        self.timeout_started = self.loop.time()
        self.queued_bytes -= len(request.body)
        if not self.queued_bytes and not self.is_reading_body:
            self.reservation.release()
        if self.is_closed:
            return
        self.pipeline.finish(pending, response, closes=self.server.is_draining)
        self._write_responses()

    def _write_responses(self) -> None:
        pipeline = self.pipeline
        writable = pipeline.take_writable()
        last = len(writable) - 1
        for position, (pending, response) in enumerate(writable):
            request = pending.request
            self._write(
                response,
                not (position == last and pipeline.is_finished()),
                head_only=request is not None and request.method == b'HEAD',
            )
        if pipeline.is_finished():
            self.transport.close()
        else:
            self._start_requests()

    def _write(
        self, response: CallerResponse, keep_alive: bool, *, head_only: bool
    ) -> None:
        lines = [
            b'HTTP/1.1 %d %s' % (response.status, response.reason),
            *(b'%s: %s' % header for header in response.headers),
            b'Content-Length: %d' % len(response.body),
        ]
        if not keep_alive:
            lines.append(b'Connection: close')
        lines.append(b'\r\n')
        head = b'\r\n'.join(lines)
        self.transport.write(head if head_only else head + response.body)

    def _reject(self, status: HTTPStatus) -> None:
        if self.pipeline.is_complete:
            return
        response = CallerResponse(status, [])
        if status is HTTPStatus.SERVICE_UNAVAILABLE:
            response.headers.append(_RETRY_AFTER)
        self.pipeline.reject(response)
        self._write_responses()

    def _abandon(self) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        self.pipeline.clear()
        self.server.connections.discard(self)
        for task in self.tasks:
            task.cancel()


def _is_never_idempotent(_request: CallerRequest) -> bool:
    return False


def _body_bytes(response: CallerResponse) -> int:
    return len(response.body)
