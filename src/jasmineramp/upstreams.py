"""Send calls to the own upstream over kept-alive HTTP connections."""

import contextlib
import socket
import threading
from http.client import HTTPException
from typing import NamedTuple

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from jasmineramp.call_messages import Attempt, AttemptKind, RunHere
from jasmineramp.clock import Clock
from jasmineramp.http_messages import Header, HttpRequest, HttpResponse
from jasmineramp.ids import CallId

CONTEXT_HEADER = 'Jasmineramp-Context'
DEADLINE_HEADER = 'Jasmineramp-Deadline-Ms'
REQUEST_HEADER = 'Jasmineramp-Request-Id'
HOST = '127.0.0.1'

_MILLIS_PER_SECOND = 1000
_CONNECT_SECONDS = 1.0
_LEAST_SECONDS = 0.001
_SHED_STATUS = 503
_FAILURES = (OSError, HTTPError, HTTPException)
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
    )
)


class UpstreamResult(NamedTuple):
    """Hold how an attempt ended and the response, if there is one."""

    attempt: Attempt
    response: HttpResponse | None = None


def drop_hop_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers that concern more than one connection."""
    return tuple(pair for pair in headers if pair[0].lower() not in _HOP_BY_HOP)


class UpstreamClient:
    """Run calls on the own upstream, one connection per thread."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.local = threading.local()
        self.lock = threading.Lock()
        self.busy: dict[CallId, HTTPConnection] = {}
        self.opened: set[HTTPConnection] = set()
        self.cancelled: set[CallId] = set()

    def run(self, decision: RunHere, request: HttpRequest) -> UpstreamResult:
        """Send a call and read its whole response before the deadline."""
        remaining = decision.deadline - self.clock.now()
        seconds = remaining / _MILLIS_PER_SECOND
        if seconds < _LEAST_SECONDS:
            return UpstreamResult(Attempt(AttemptKind.unreachable))
        call_id = decision.header.call_id
        try:
            connection = self._connect(decision.port)
        except _FAILURES:
            return UpstreamResult(Attempt(AttemptKind.unreachable))
        with self.lock:
            self.busy[call_id] = connection
        try:
            return self._exchange(connection, decision, request, remaining)
        except TimeoutError:
            return self._fail(connection, AttemptKind.timed_out)
        except _FAILURES as error:
            kind = AttemptKind.lost
            if _is_timeout(error):
                kind = AttemptKind.timed_out
            if call_id in self.cancelled:
                kind = AttemptKind.cancelled
            return self._fail(connection, kind)
        finally:
            with self.lock:
                self.busy.pop(call_id, None)
                self.cancelled.discard(call_id)

    def cancel(self, call_id: CallId) -> None:
        """Break the connection of a running call."""
        with self.lock:
            connection = self.busy.get(call_id)
            if connection is None:
                return
            self.cancelled.add(call_id)
        sock = connection.sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close all connections."""
        with self.lock:
            opened = tuple(self.opened)
            self.opened.clear()
        for connection in opened:
            connection.close()

    def _connect(self, port: int) -> HTTPConnection:
        connection: HTTPConnection | None = getattr(
            self.local,
            'connection',
            None,
        )
        if connection is not None:
            # A connection that the upstream closed while it was idle must
            # not be used: a failure after sending would be ambiguous.
            if connection.port == port and connection.is_connected:
                return connection
            self._discard(connection)
        connection = HTTPConnection(HOST, port, timeout=_CONNECT_SECONDS)
        connection.connect()
        with self.lock:
            self.opened.add(connection)
        self.local.connection = connection
        return connection

    def _exchange(
        self,
        connection: HTTPConnection,
        decision: RunHere,
        request: HttpRequest,
        remaining: float,
    ) -> UpstreamResult:
        headers = dict(request.headers)
        headers[CONTEXT_HEADER] = decision.context
        headers[REQUEST_HEADER] = decision.header.request_id
        headers[DEADLINE_HEADER] = str(int(remaining))
        if connection.sock is not None:
            connection.sock.settimeout(remaining / _MILLIS_PER_SECOND)
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
        body = answer.read(decode_content=False)
        fields = tuple(answer.headers.items())
        closes = answer.headers.get('connection', '').lower() == 'close'
        if closes or not connection.is_connected:
            self._discard(connection)
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

    def _fail(
        self,
        connection: HTTPConnection,
        kind: AttemptKind,
    ) -> UpstreamResult:
        # A late response must never be read by the next call.
        self._discard(connection)
        return UpstreamResult(Attempt(kind))

    def _discard(self, connection: HTTPConnection) -> None:
        connection.close()
        self.local.connection = None
        with self.lock:
            self.opened.discard(connection)


def _is_timeout(error: BaseException) -> bool:
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, TimeoutError):
            return True
        cause = cause.__cause__ or cause.__context__
    return False
