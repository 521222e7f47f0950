"""Send calls to the own upstream over kept-alive HTTP connections."""

import contextlib
import socket
import threading
from collections.abc import Callable
from http.client import HTTPException
from http.client import HTTPResponse as PlainResponse
from typing import NamedTuple

import msgspec
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse as UpstreamAnswer

from jasmineramp.call_messages import Attempt, AttemptKind, RunHere
from jasmineramp.clock import MILLIS_PER_SECOND, Clock
from jasmineramp.http_messages import Header, HttpRequest, HttpResponse
from jasmineramp.ids import CallId

CONTEXT_HEADER = 'Jasmineramp-Context'
DEADLINE_HEADER = 'Jasmineramp-Deadline-Ms'
REQUEST_HEADER = 'Jasmineramp-Request-Id'
HOST = '127.0.0.1'
# A larger response does not fit into one message to another node.
LARGEST_RESPONSE_BYTES = 48 * 1024 * 1024
# How often running calls are checked for their deadline and their caller.
WATCH_SECONDS = 0.1

_CONNECT_SECONDS = 1.0
_LEAST_SECONDS = 0.001
_SHED_STATUS = 503
_READ_BYTES = 256 * 1024
# ValueError covers requests that can't be encoded.
_FAILURES = (OSError, HTTPError, HTTPException, ValueError)
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
    """Hold how an attempt ended and the response, if there is one."""

    attempt: Attempt
    response: HttpResponse | None = None


class _Run(msgspec.Struct):
    """Hold a running call; broken says why its connection was broken."""

    sock: socket.socket
    deadline: float
    caller_left: CallerCheck
    broken: AttemptKind | None = None


class _CheckedResponse(PlainResponse):
    """Notice bytes that follow the end of the response."""

    surplus = False

    def _close_conn(self) -> None:
        stream = self.fp
        if stream is not None and not self.will_close:
            # peek reads once when nothing is buffered; it must not wait.
            raw = getattr(stream.raw, '_sock', None)
            if raw is not None:
                raw.settimeout(0)
            with contextlib.suppress(OSError):
                self.surplus = bool(stream.peek(1))
        super()._close_conn()  # type: ignore[misc]


def _stays() -> bool:
    return False


def drop_hop_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers that concern more than one connection."""
    return tuple(pair for pair in headers if pair[0].lower() not in _HOP_BY_HOP)


class UpstreamClient:
    """Run calls on the own upstream over a pool of connections.

    No more connections are open than calls ran at the same time, which
    keeps them within the connections that the upstream announced.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.lock = threading.Lock()
        self.busy: dict[CallId, _Run] = {}
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
        caller_left: CallerCheck = _stays,
    ) -> UpstreamResult:
        """Send a call and read its whole response before the deadline."""
        remaining = decision.deadline - self.clock.now()
        seconds = remaining / MILLIS_PER_SECOND
        if seconds < _LEAST_SECONDS:
            return UpstreamResult(Attempt(AttemptKind.unreachable))
        try:
            connection = self._connect(decision.port, seconds)
        except _FAILURES:
            return UpstreamResult(Attempt(AttemptKind.unreachable))
        # http.client drops its socket when a body lasts until the close.
        run = _Run(connection.sock, decision.deadline, caller_left)
        call_id = decision.header.call_id
        with self.lock:
            self.busy[call_id] = run
        try:
            result = self._exchange(connection, decision, request)
        except _FAILURES as error:
            timed_out = _is_timeout(error)
            kind = AttemptKind.timed_out if timed_out else AttemptKind.lost
            result = UpstreamResult(Attempt(kind))
        finally:
            with self.lock:
                self.busy.pop(call_id, None)
        if run.broken is not None:
            # The end of a broken connection can look like that of a body.
            result = UpstreamResult(Attempt(run.broken))
        if result.response is None:
            # A late response must never be read by the next call.
            connection.close()
        return result

    def cancel(self, call_id: CallId) -> None:
        """Break the connection of a running call."""
        with self.lock:
            run = self.busy.get(call_id)
            if run is not None:
                _break(run, AttemptKind.cancelled)

    def close(self) -> None:
        """Close the idle connections and break those of running calls."""
        self.closed.set()
        with self.lock:
            idle = tuple(self.idle)
            self.idle.clear()
            for run in self.busy.values():
                _break(run, AttemptKind.cancelled)
        for connection in idle:
            connection.close()

    def watch(self) -> None:
        """Break runs that are past their deadline or that nobody awaits.

        The timeout of the socket starts again with every byte, so it does
        not end a response that arrives slowly.
        """
        now = self.clock.now()
        with self.lock:
            for run in self.busy.values():
                if now > run.deadline:
                    _break(run, AttemptKind.timed_out)
                elif run.caller_left():
                    _break(run, AttemptKind.cancelled)

    def _watch(self) -> None:
        while not self.closed.wait(WATCH_SECONDS):
            self.watch()

    def _connect(self, port: int, seconds: float) -> HTTPConnection:
        while True:
            with self.lock:
                connection = self.idle.pop() if self.idle else None
            if connection is None:
                break
            # A connection that the upstream closed while it was idle must
            # not be used: a failure after sending would be ambiguous.
            if connection.port == port and connection.is_connected:
                connection.timeout = seconds
                return connection
            connection.close()
        timeout = min(_CONNECT_SECONDS, seconds)
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
        answer = connection.getresponse()
        body = _read_body(answer)
        fields = tuple(answer.headers.items())
        self._release(connection, answer)
        response = HttpResponse(
            answer.status,
            answer.reason or '',
            drop_hop_headers(fields),
            body,
        )
        kind = AttemptKind.answered
        if answer.status == _SHED_STATUS:
            kind = AttemptKind.shed
        return UpstreamResult(Attempt(kind, answer.status), response)

    def _release(
        self,
        connection: HTTPConnection,
        answer: UpstreamAnswer,
    ) -> None:
        original = getattr(answer, '_original_response', None)
        surplus = getattr(original, 'surplus', True)
        closes = answer.headers.get('connection', '').lower() == 'close'
        # Bytes after the response would be read as the next response.
        if surplus or closes or not connection.is_connected:
            connection.close()
            return
        with self.lock:
            if not self.closed.is_set():
                self.idle.append(connection)
                return
        connection.close()


def _read_body(answer: UpstreamAnswer) -> bytes:
    """Read the whole body; raise HTTPException if it is too large."""
    if (answer.length_remaining or 0) > LARGEST_RESPONSE_BYTES:
        raise HTTPException('response is too large')
    if answer.length_remaining is not None:
        return answer.read(decode_content=False)
    parts: list[bytes] = []
    size = 0
    for part in answer.stream(_READ_BYTES, decode_content=False):
        parts.append(part)
        size += len(part)
        if size > LARGEST_RESPONSE_BYTES:
            raise HTTPException('response is too large')
    return b''.join(parts)


def _break(run: _Run, reason: AttemptKind) -> None:
    """Shut a connection down; the caller holds the lock of the client.

    Without the lock, the connection could belong to the next call.
    """
    if run.broken is not None:
        return
    run.broken = reason
    with contextlib.suppress(OSError):
        run.sock.shutdown(socket.SHUT_RDWR)


def _is_timeout(error: BaseException) -> bool:
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, TimeoutError):
            return True
        cause = cause.__cause__ or cause.__context__
    return False
