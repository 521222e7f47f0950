"""Serve the operator interface of a node as a WSGI application."""

from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, Protocol, TypeVar
from urllib.parse import parse_qsl

import msgspec

from jasmineramp.decoding import ForeignDecoder
from jasmineramp.exceptions import JasminerampError
from jasmineramp.refusal_counts import RefusalQuery, RefusalSummary
from jasmineramp.timeline import EventPage, EventQuery

MAX_BODY_BYTES = 65_536
MAX_QUERY_BYTES = 8_192
MAX_AGE_MS = 1e12
LOG_LEVELS = ('debug', 'info', 'warning', 'error')

_QueryT = TypeVar('_QueryT', EventQuery, RefusalQuery)
_StartResponse = Callable[[str, list[tuple[str, str]]], Any]
_Environ = dict[str, Any]


class NodeStatus(msgspec.Struct, frozen=True):
    """Report the state of a node; details hold further values by name."""

    node: str
    domain: str
    state: str
    revision: int = 0
    accepted: int = 0
    details: dict[str, Any] = {}


class LogLevel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set the log level of a node."""

    level: str


_log_level_decoder = ForeignDecoder(msgspec.json.Decoder(LogLevel))


class OperatorView(Protocol):
    """Provide the data of a node; called from the threads of the server."""

    def status(self) -> NodeStatus:
        """Return the state of the node."""

    def events(self, query: EventQuery) -> EventPage:
        """Return the events that match a query."""

    def refusals(self, query: RefusalQuery) -> RefusalSummary:
        """Return the refusal counts that match a query."""

    def drain(self) -> None:
        """Start a graceful stop; repeated calls have no effect."""

    def set_log_level(self, level: str) -> None:
        """Set the minimum log level to one of LOG_LEVELS."""


class RequestError(JasminerampError):
    """Reject a request with an HTTP status."""

    def __init__(self, status: HTTPStatus, message: str, remedy: str) -> None:
        super().__init__(message, remedy)
        self.status = status


class OperatorApplication:
    """Route requests to the view; every response body is a JSON object."""

    def __init__(self, view: OperatorView) -> None:
        self.view = view
        self.routes: dict[str, tuple[str, Callable[[_Environ], Any]]] = {
            '/status': ('GET', self._status),
            '/events': ('GET', self._events),
            '/refusals': ('GET', self._refusals),
            '/drain': ('POST', self._drain),
            '/log_level': ('POST', self._log_level),
        }

    def __call__(
        self,
        environ: _Environ,
        start_response: _StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request."""
        status = HTTPStatus.OK
        try:
            document = self._answer(environ)
        except RequestError as error:
            status = error.status
            document = {'error': error.message, 'remedy': error.remedy}
        except JasminerampError as error:
            status = HTTPStatus.SERVICE_UNAVAILABLE
            document = {'error': error.message, 'remedy': error.remedy}
        body = msgspec.json.encode(document, enc_hook=str)
        start_response(
            f'{status.value} {status.phrase}',
            [
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(body))),
                ('Cache-Control', 'no-store'),
            ],
        )
        return [body]

    def _answer(self, environ: _Environ) -> Any:
        path = environ.get('PATH_INFO', '')
        route = self.routes.get(path)
        if route is None:
            raise RequestError(
                HTTPStatus.NOT_FOUND,
                f'path {path[:80]!r} is not known',
                f'use one of {", ".join(self.routes)}',
            )
        method, answer = route
        if environ.get('REQUEST_METHOD') != method:
            raise RequestError(
                HTTPStatus.METHOD_NOT_ALLOWED,
                f'{path} does not support this method',
                f'use {method}',
            )
        return answer(environ)

    def _status(self, environ: _Environ) -> NodeStatus:
        return self.view.status()

    def _events(self, environ: _Environ) -> EventPage:
        return self.view.events(_read_query(environ, EventQuery))

    def _refusals(self, environ: _Environ) -> RefusalSummary:
        return self.view.refusals(_read_query(environ, RefusalQuery))

    def _drain(self, environ: _Environ) -> dict[str, str]:
        _read_body(environ)
        self.view.drain()
        return {'state': 'draining'}

    def _log_level(self, environ: _Environ) -> LogLevel:
        try:
            log_level = _log_level_decoder.decode(_read_body(environ))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise _malformed(f'the body is not a log level: {error}') from None
        if log_level.level not in LOG_LEVELS:
            raise _malformed(f'level {log_level.level[:80]!r} is not known')
        self.view.set_log_level(log_level.level)
        return log_level


def _read_query(environ: _Environ, query_type: type[_QueryT]) -> _QueryT:
    text = environ.get('QUERY_STRING', '')
    if len(text) > MAX_QUERY_BYTES:
        raise RequestError(
            HTTPStatus.REQUEST_URI_TOO_LONG,
            f'the query has {len(text)} bytes',
            f'use at most {MAX_QUERY_BYTES}',
        )
    try:
        pairs = parse_qsl(
            text,
            keep_blank_values=True,
            strict_parsing=bool(text),
            errors='strict',
        )
        query = msgspec.convert(dict(pairs), query_type, strict=False)
        _check_ages(query.oldest_age, query.newest_age)
    except (ValueError, msgspec.ValidationError) as error:
        raise RequestError(
            HTTPStatus.BAD_REQUEST,
            f'the query is invalid: {error}',
            f'use the parameters {", ".join(query_type.__struct_fields__)}',
        ) from None
    return query


def _check_ages(*ages: float | None) -> None:
    for age in ages:
        if age is not None and not 0 <= age <= MAX_AGE_MS:
            raise ValueError(f'age {age} is not from 0 to {MAX_AGE_MS}')


def _read_body(environ: _Environ) -> bytes:
    text = environ.get('CONTENT_LENGTH') or '0'
    if not text.isascii() or not text.isdigit():
        raise _malformed('the content length is not a number')
    size = int(text[:20])
    if size > MAX_BODY_BYTES:
        raise RequestError(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            f'the body has {size} bytes',
            f'use at most {MAX_BODY_BYTES}',
        )
    body: bytes = environ['wsgi.input'].read(size)
    if len(body) < size:
        raise _malformed('the body is shorter than the content length')
    return body


def _malformed(reason: str) -> RequestError:
    return RequestError(
        HTTPStatus.BAD_REQUEST,
        reason,
        f'send {{"level": "info"}} with one of {", ".join(LOG_LEVELS)}',
    )
