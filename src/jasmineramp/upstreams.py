"""Send calls to the local upstream over kept-alive HTTP connections."""

import contextlib
import socket
import threading
from collections.abc import Callable
from http.client import HTTPException
from http.client import HTTPResponse as StandardResponse
from typing import NamedTuple

import msgspec
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse as PooledResponse

from jasmineramp.call_messages import Attempt, AttemptKind, RunHere
from jasmineramp.clock import MILLIS_PER_SECOND, Clock
from jasmineramp.http_messages import Header, HttpRequest, HttpResponse
from jasmineramp.ids import CallId

CONTEXT_HEADER = 'Jasmineramp-Context'
DEADLINE_HEADER = 'Jasmineramp-Deadline-Ms'
REQUEST_HEADER = 'Jasmineramp-Request-Id'
HOST = '127.0.0.1'
# A larger response does not fit into a message to another node.
MAX_RESPONSE_BYTES = 48 * 1024 * 1024
# How often running calls are checked for their deadline and their caller.
WATCH_INTERVAL_SECONDS = 0.1

_CONNECT_TIMEOUT_SECONDS = 1.0
_MIN_REMAINING_SECONDS = 0.001
_SHED_STATUS = 503
_READ_CHUNK_BYTES = 256 * 1024
# ValueError covers requests that can't be encoded.
_CONNECTION_ERRORS = (OSError, HTTPError, HTTPException, ValueError)
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    )
)

CallerCheck = Callable[[], bool]


class UpstreamResult(NamedTuple):
    """Hold the end of an attempt and its response, if any."""

    attempt: Attempt
    response: HttpResponse | None = None


class _Run(msgspec.Struct):
    """Hold a running call and, if its connection was aborted, the reason."""

    sock: socket.socket
    deadline: float
    caller_left: CallerCheck
    abort_kind: AttemptKind | None = None


class _CheckedResponse(StandardResponse):
    """Detect bytes that follow the end of the response."""

    surplus = False

    def _close_conn(self) -> None:
        stream = self.fp
        if stream is not None and not self.will_close:
            # peek reads once if nothing is buffered; it must not block.
            raw = getattr(stream.raw, '_sock', None)
            if raw is not None:
                raw.settimeout(0)
            with contextlib.suppress(OSError):
                self.surplus = bool(stream.peek(1))
        super()._close_conn()  # type: ignore[misc]


def _never_left() -> bool:
    return False


def drop_hop_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers that are not hop-by-hop."""
    return tuple(pair for pair in headers if pair[0].lower() not in _HOP_BY_HOP)


class UpstreamClient:
    """Run calls on the local upstream over a pool of connections.

    The pool opens no more connections than calls have run concurrently,
    which keeps them within the number that the upstream announced.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.lock = threading.Lock()
        self.running: dict[CallId, _Run] = {}
        self.idle: list[HTTPConnection] = []
        self.closed = threading.Event()
        self.watcher = threading.Thread(
            target=self._watch,
            name='upstream-watcher',
            daemon=True,
        )
        self.watcher.start()

    def run(
        self,
        decision: RunHere,
        request: HttpRequest,
        caller_left: CallerCheck = _never_left,
    ) -> UpstreamResult:
        """Send a call and read its complete response before the deadline."""
        remaining = decision.deadline - self.clock.now()
        seconds = remaining / MILLIS_PER_SECOND
        if seconds < _MIN_REMAINING_SECONDS:
            return UpstreamResult(Attempt(AttemptKind.unreachable))
        try:
            connection = self._connect(decision.port, seconds)
        except _CONNECTION_ERRORS:
            return UpstreamResult(Attempt(AttemptKind.unreachable))
        # http.client drops its socket when a body ends with the connection.
        run = _Run(connection.sock, decision.deadline, caller_left)
        call_id = decision.header.call_id
        with self.lock:
            self.running[call_id] = run
        try:
            result = self._exchange(connection, decision, request)
        except _CONNECTION_ERRORS as error:
            timed_out = _is_timeout(error)
            kind = AttemptKind.timed_out if timed_out else AttemptKind.lost
            result = UpstreamResult(Attempt(kind))
        finally:
            with self.lock:
                self.running.pop(call_id, None)
        if run.abort_kind is not None:
            # The end of an aborted connection can look like the end of a body.
            result = UpstreamResult(Attempt(run.abort_kind))
        if result.response is None:
            # A late response must never be read by the next call.
            connection.close()
        return result

    def cancel(self, call_id: CallId) -> None:
        """Abort the connection of a running call."""
        with self.lock:
            run = self.running.get(call_id)
            if run is not None:
                _abort(run, AttemptKind.cancelled)

    def close(self) -> None:
        """Close the idle connections and abort those of running calls."""
        self.closed.set()
        with self.lock:
            idle = tuple(self.idle)
            self.idle.clear()
            for run in self.running.values():
                _abort(run, AttemptKind.cancelled)
        for connection in idle:
            connection.close()

    def abort_stale_runs(self) -> None:
        """Abort runs past their deadline or whose caller disconnected.

        The socket timeout restarts with every byte, so it does not end a
        response that arrives slowly.
        """
        now = self.clock.now()
        with self.lock:
            for run in self.running.values():
                if now > run.deadline:
                    _abort(run, AttemptKind.timed_out)
                elif run.caller_left():
                    _abort(run, AttemptKind.cancelled)

    def _watch(self) -> None:
        while not self.closed.wait(WATCH_INTERVAL_SECONDS):
            self.abort_stale_runs()

    def _connect(self, port: int, seconds: float) -> HTTPConnection:
        while True:
            with self.lock:
                connection = self.idle.pop() if self.idle else None
            if connection is None:
                break
            # A connection that the upstream closed while idle must not be
            # used: a failure after sending would be ambiguous.
            if connection.port == port and connection.is_connected:
                connection.timeout = seconds
                return connection
            connection.close()
        timeout = min(_CONNECT_TIMEOUT_SECONDS, seconds)
        connection = HTTPConnection(HOST, port, timeout=timeout)
        connection.response_class = _CheckedResponse
        connection.connect()
        connection.timeout = seconds
        return connection

    def _exchange(
        self,
        connection: HTTPConnection,
        decision: RunHere,
        request: HttpRequest,
    ) -> UpstreamResult:
        headers = dict(request.headers)
        headers[CONTEXT_HEADER] = decision.context
        headers[REQUEST_HEADER] = decision.header.request_id
        remaining = max(1, int(decision.deadline - self.clock.now()))
        headers[DEADLINE_HEADER] = str(remaining)
        connection.request(
            request.method,
            request.target,
            body=request.body or None,
            headers=headers,
            preload_content=False,
            decode_content=False,
            enforce_content_length=True,
        )
        reply = connection.getresponse()
        body = _read_body(reply)
        fields = tuple(reply.headers.items())
        self._release(connection, reply)
        response = HttpResponse(
            reply.status,
            reply.reason or '',
            drop_hop_headers(fields),
            body,
        )
        kind = AttemptKind.answered
        if reply.status == _SHED_STATUS:
            kind = AttemptKind.shed
        return UpstreamResult(Attempt(kind, reply.status), response)

    def _release(
        self,
        connection: HTTPConnection,
        response: PooledResponse,
    ) -> None:
        original = getattr(response, '_original_response', None)
        surplus = getattr(original, 'surplus', True)
        closes = response.headers.get('connection', '').lower() == 'close'
        # Bytes after the response would be read as the next response.
        if surplus or closes or not connection.is_connected:
            connection.close()
            return
        with self.lock:
            if not self.closed.is_set():
                self.idle.append(connection)
                return
        connection.close()


def _read_body(response: PooledResponse) -> bytes:
    """Return the complete body; raise HTTPException if it is too large."""
    if (response.length_remaining or 0) > MAX_RESPONSE_BYTES:
        raise HTTPException('response is too large')
    if response.length_remaining is not None:
        return response.read(decode_content=False)
    parts: list[bytes] = []
    size = 0
    for part in response.stream(_READ_CHUNK_BYTES, decode_content=False):
        parts.append(part)
        size += len(part)
        if size > MAX_RESPONSE_BYTES:
            raise HTTPException('response is too large')
    return b''.join(parts)


def _abort(run: _Run, reason: AttemptKind) -> None:
    """Shut down a connection; the caller must hold the lock of the client.

    Without the lock, the connection could already serve the next call.
    """
    if run.abort_kind is not None:
        return
    run.abort_kind = reason
    with contextlib.suppress(OSError):
        run.sock.shutdown(socket.SHUT_RDWR)


def _is_timeout(error: BaseException) -> bool:
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, TimeoutError):
            return True
        cause = cause.__cause__ or cause.__context__
    return False
