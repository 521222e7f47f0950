"""Serve callers and the local upstream over HTTP."""

import contextlib
import posixpath
import secrets
import socket
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus
from typing import Annotated, Any, Literal
from urllib.parse import unquote_to_bytes, urlsplit

import msgspec
from waitress.channel import HTTPChannel
from waitress.task import ErrorTask, WSGITask

from jasmineramp.authentication import digest_key
from jasmineramp.call_messages import CallArrived
from jasmineramp.call_runner import CallRunner
from jasmineramp.claim_log import digest_body
from jasmineramp.clock import MILLIS_PER_SECOND
from jasmineramp.credentials import find_key, strip_headers, strip_query
from jasmineramp.decoding import ForeignDecoder
from jasmineramp.http_messages import Header, HttpRequest, HttpResponse
from jasmineramp.ids import (
    CallId,
    ContextToken,
    IdempotencyKey,
    NodeId,
    ServiceName,
)
from jasmineramp.membership_messages import Upstream, UpstreamState
from jasmineramp.refusals import Refusal, RefusalCode, RunState
from jasmineramp.retries import fingerprint
from jasmineramp.upstreams import (
    CONTEXT_HEADER,
    DEADLINE_HEADER,
    REQUEST_HEADER,
    drop_hop_headers,
)

ANNOUNCE_PATH = '/.jasmineramp/announce'
IDEMPOTENCY_HEADER = 'idempotency-key'
_INTERNAL_HEADERS = frozenset(
    name.lower() for name in (CONTEXT_HEADER, DEADLINE_HEADER, REQUEST_HEADER)
)
_MAX_IDEMPOTENCY_KEY_LENGTH = 255
_CANCELLED_STATUS = 499
_DISCARD_READ_BYTES = 65_536

Environ = dict[str, Any]
StartResponse = Callable[..., Any]


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the announcement of an upstream; see docs/interfaces.md."""

    service: ServiceName
    port: Annotated[int, msgspec.Meta(gt=0, lt=65_536)]
    slots: Annotated[int, msgspec.Meta(ge=1)]
    connections: Annotated[int, msgspec.Meta(ge=1)]
    weight: Annotated[float, msgspec.Meta(gt=0)] = 1
    state: Literal['starting', 'ready', 'draining'] = 'ready'


_announcement_decoder = ForeignDecoder(msgspec.json.Decoder(Announcement))


class RefusalTask(ErrorTask):  # type: ignore[misc]
    """Answer a request that cannot be parsed with a typed refusal."""

    def execute(self) -> None:
        """Write the refusal and close the connection."""
        status = self.request.error.code
        code = RefusalCode.request_malformed
        run = RunState.not_run
        if status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
            code = RefusalCode.body_too_large
        elif status == HTTPStatus.INTERNAL_SERVER_ERROR:
            code = RefusalCode.internal_error
            run = RunState.unknown
        refusal = Refusal(code, run)
        body = b''.join(_send_refusal(refusal, self._start))
        self.set_close_on_finish()
        self.channel.lingers = True
        self.content_length = len(body)
        self.write(body)

    def _start(self, status: str, headers: list[Header]) -> None:
        self.status = status
        self.response_headers.extend(headers)


class CallerTask(WSGITask):  # type: ignore[misc]
    """Close kept-alive connections after the next response during a stop."""

    def build_response_header(self) -> Any:
        """Return the status line and headers of the response."""
        if getattr(self.channel.server, 'stopping', False):
            self.request.headers['CONNECTION'] = 'close'
        return super().build_response_header()


class CallerChannel(HTTPChannel):  # type: ignore[misc]
    """Serve one connection of a caller."""

    task_class = CallerTask
    error_task_class = RefusalTask

    # Closing with unread data resets the connection, which can destroy the
    # refusal of a request that is too large.
    lingers = False
    lingering = False

    def readable(self) -> bool:
        """Return whether to wait for data to read."""
        return self.lingering or super().readable()

    def writable(self) -> bool:
        """Return whether to wait until data can be sent."""
        return not self.lingering and super().writable()

    def handle_read(self) -> None:
        """Read data, or discard the rest of a request that is too large."""
        if self.lingering:
            self.recv(_DISCARD_READ_BYTES)
        else:
            super().handle_read()

    def handle_close(self) -> None:
        """Close the connection; if it lingers, after the caller closed it."""
        if self.lingers and not self.lingering and self.connected:
            self.lingering = True
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_WR)
                return
        super().handle_close()


def has_open_requests(server: Any) -> bool:
    """Return whether a request is running or a response is unsent."""
    return any(
        channel.requests or channel.total_outbufs_len
        for channel in list(server.active_channels.values())
    )


class Gateway:
    """Answer HTTP requests as a WSGI application."""

    def __init__(
        self,
        node: NodeId,
        runner: CallRunner,
        announce: Callable[[Upstream], None],
    ) -> None:
        self.node = node
        self.runner = runner
        self.announce = announce

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request."""
        if environ['PATH_INFO'] == ANNOUNCE_PATH:
            return self._handle_announcement(environ, start_response)
        headers = tuple(_read_headers(environ))
        call = self._read_call(environ, headers)
        if isinstance(call, Refusal):
            return _send_refusal(call, start_response)
        arrived, request = call
        caller_left = environ.get('waitress.client_disconnected', _never_left)
        result = self.runner.run(arrived, request, caller_left)
        if isinstance(result, Refusal):
            return _send_refusal(result, start_response)
        return _send_response(result, arrived.call_id, start_response)

    def _read_call(
        self,
        environ: Environ,
        headers: tuple[Header, ...],
    ) -> tuple[CallArrived, HttpRequest] | Refusal:
        fields = {name.lower(): text for name, text in headers}
        call_id = CallId(f'{self.node}-{secrets.token_hex(8)}')
        remaining_ms = _parse_remaining_ms(fields.get(DEADLINE_HEADER.lower()))
        idempotency_key = fields.get(IDEMPOTENCY_HEADER)
        if remaining_ms is None or (
            idempotency_key is not None
            and not 0 < len(idempotency_key) <= _MAX_IDEMPOTENCY_KEY_LENGTH
        ):
            column = 'timeout_ms' if remaining_ms is None else 'idempotent'
            return Refusal(
                RefusalCode.request_malformed,
                column=column,
                node=self.node,
            )
        query = environ['QUERY_STRING']
        path = _read_path(environ)
        if path is None:
            return Refusal(
                RefusalCode.request_malformed,
                column='path',
                node=self.node,
            )
        forwarded_query = strip_query(query)
        target = f'{path}?{forwarded_query}' if forwarded_query else path
        method = environ['REQUEST_METHOD']
        body = environ['wsgi.input'].read()
        key = find_key(headers, query)
        context = fields.get(CONTEXT_HEADER.lower())
        arrived = CallArrived(
            call_id=call_id,
            method=method,
            path=environ['PATH_INFO'],
            nonce=secrets.token_hex(16),
            key=digest_key(key) if key else None,
            context=ContextToken(context) if context else None,
            idempotency_key=(
                IdempotencyKey(idempotency_key) if idempotency_key else None
            ),
            body_digest=digest_body(body) if idempotency_key else 0,
            fingerprint=fingerprint(method, target, body) if context else b'',
            remaining_ms=remaining_ms if remaining_ms >= 0 else None,
        )
        forwarded_headers = tuple(
            pair
            for pair in drop_hop_headers(strip_headers(headers, key))
            if pair[0].lower() not in _INTERNAL_HEADERS
        )
        return arrived, HttpRequest(method, target, forwarded_headers, body)

    def _handle_announcement(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        if not environ['REMOTE_ADDR'].startswith('127.'):
            start_response('403 Forbidden', [('Content-Length', '0')])
            return []
        try:
            announcement = _announcement_decoder.decode(
                environ['wsgi.input'].read()
            )
        except msgspec.MsgspecError as error:
            return _send_json(
                HTTPStatus.BAD_REQUEST,
                {'error': str(error), 'remedy': 'see docs/interfaces.md'},
                start_response,
            )
        upstream = Upstream(
            announcement.service,
            announcement.port,
            announcement.slots,
            announcement.connections,
            announcement.weight,
            UpstreamState[announcement.state],
        )
        self.announce(upstream)
        return _send_json(HTTPStatus.OK, {'node': self.node}, start_response)


def _read_headers(environ: Environ) -> Iterator[Header]:
    for name, text in environ.items():
        if name.startswith('HTTP_'):
            yield name[5:].replace('_', '-').title(), text
    if environ.get('CONTENT_TYPE'):
        yield 'Content-Type', environ['CONTENT_TYPE']


def _read_path(environ: Environ) -> str | None:
    """Return the path to send upstream, or None if it is ambiguous.

    The decoded path selects the row. A path that the upstream could
    interpret as another one would run under the wrong row, such as an open
    one.
    """
    path: str = environ['REQUEST_URI'].partition('?')[0]
    if not path.startswith('/'):
        path = urlsplit(path).path
    decoded = unquote_to_bytes(path.encode('latin-1')).decode('latin-1')
    if decoded != environ['PATH_INFO'] or not path.isascii():
        return None
    if '\\' in decoded or not decoded.isprintable():
        return None
    without_slash = decoded.rstrip('/') or '/'
    return path if posixpath.normpath(decoded) == without_slash else None


def _parse_remaining_ms(text: str | None) -> float | None:
    """Return the time in ms, -1 if absent, or None if malformed."""
    if text is None:
        return -1
    return float(text) if text.isdecimal() else None


def _send_response(
    response: HttpResponse,
    call_id: CallId,
    start_response: StartResponse,
) -> Iterable[bytes]:
    headers = [
        *(
            pair
            for pair in response.headers
            if pair[0].lower() not in _INTERNAL_HEADERS
        ),
        ('Content-Length', str(len(response.body))),
        (REQUEST_HEADER, call_id),
    ]
    reason = ''.join(filter(str.isprintable, response.reason))
    headers = [(name, ' '.join(text.split('\r\n'))) for name, text in headers]
    start_response(f'{response.status} {reason}', headers)
    return [response.body]


def _send_refusal(
    refusal: Refusal,
    start_response: StartResponse,
) -> Iterable[bytes]:
    document = msgspec.to_builtins(refusal)
    document['status'] = refusal.status
    return _send_json(refusal.status, document, start_response)


def _send_json(
    status: int,
    document: Any,
    start_response: StartResponse,
) -> Iterable[bytes]:
    body = msgspec.json.encode(document)
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
    ]
    retry_after = document.get('retry_after')
    if retry_after is not None:
        seconds = max(1, round(retry_after / MILLIS_PER_SECOND))
        headers.append(('Retry-After', str(seconds)))
    if document.get('request_id'):
        headers.append((REQUEST_HEADER, document['request_id']))
    reason = (
        'Refused' if status == _CANCELLED_STATUS else HTTPStatus(status).phrase
    )
    start_response(f'{status} {reason}', headers)
    return [body]


def _never_left() -> bool:
    return False
