"""Translate the headers of requests and responses."""

from jasmineramp.clock import MILLIS_PER_SECOND
from jasmineramp.mesh.caller_http import CallerResponse
from jasmineramp.mesh.calls import (
    Answer,
    CallerRequest,
    CallHead,
    Failure,
    Headers,
    ResponseHead,
    UpstreamCall,
)
from jasmineramp.refusals import RunState

REQUEST_ID = b'X-Jasmineramp-Request-Id'
DEADLINE = b'X-Jasmineramp-Deadline-Ms'
CREDENTIAL = b'X-Jasmineramp-Credential'
EXPECTED_INSTANCE = b'X-Jasmineramp-Expect-Instance'
TENANT = b'X-Jasmineramp-Tenant'
CALLER_SERVICE = b'X-Jasmineramp-Caller-Service'
SIGNATURE = b'x-jasmineramp-response-signature'
NOT_EXECUTED = b'x-jasmineramp-not-executed'
INSTANCE = b'x-jasmineramp-instance-id'

_REQUEST_ID = REQUEST_ID.lower()
_DEADLINE = DEADLINE.lower()
_CREDENTIAL = CREDENTIAL.lower()
# Headers that concern one connection only.
_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
# Headers that the node sets itself, whatever the caller sent.
_SET_HERE = frozenset(
    (
        _REQUEST_ID,
        _DEADLINE,
        _CREDENTIAL,
        EXPECTED_INSTANCE.lower(),
        TENANT.lower(),
        CALLER_SERVICE.lower(),
        SIGNATURE,
        NOT_EXECUTED,
        INSTANCE,
    )
)
_NOT_FORWARDED = _HOP_BY_HOP | _SET_HERE
_HOST = b'host'
_READ = frozenset((_REQUEST_ID, _DEADLINE, _CREDENTIAL, _HOST))


def read_request(request: CallerRequest) -> CallHead:
    """Return what the headers of a caller's request say."""
    named: frozenset[bytes] = frozenset()
    said: dict[bytes, str] = {}
    kept: Headers = []
    for header in request.headers:
        lowered = header[0].lower()
        if lowered in _READ:
            said[lowered] = header[1].decode('latin-1')
        elif lowered == b'connection':
            named = named or _split_names(header[1])
        if lowered not in _NOT_FORWARDED:
            kept.append(header)
    if named:
        kept = [header for header in kept if header[0].lower() not in named]
    return CallHead(
        said.get(_REQUEST_ID, ''),
        _read_number(said.get(_DEADLINE, '')),
        said.get(_CREDENTIAL, ''),
        _without_port(said.get(_HOST, '')),
        kept,
    )


def write_call(call: UpstreamCall, left_ms: float) -> bytes:
    """Return the request that goes to the upstream."""
    lines = [b'%s %s HTTP/1.1' % (call.method, call.target)]
    lines.extend(b'%s: %s' % header for header in call.headers)
    lines.append(b'%s: %s' % (REQUEST_ID, call.request_id.encode('latin-1')))
    lines.append(b'%s: %d' % (DEADLINE, max(1, int(left_ms))))
    if call.instance:
        lines.append(b'%s: %s' % (EXPECTED_INSTANCE, call.instance.encode()))
    if call.workspace:
        lines.append(b'%s: %s' % (TENANT, call.workspace.encode()))
    lines.append(b'%s: %s' % (CALLER_SERVICE, call.caller_service.encode()))
    if call.body or call.method not in {b'GET', b'HEAD', b'DELETE'}:
        lines.append(b'Content-Length: %d' % len(call.body))
    lines.append(b'\r\n')
    return b'\r\n'.join(lines) + call.body


def read_response(headers: Headers) -> ResponseHead:
    """Return what the headers of an upstream's response say."""
    said = {name.lower(): value for name, value in headers}
    return ResponseHead(
        said.get(_REQUEST_ID, b'').decode('latin-1'),
        SIGNATURE in said,
        NOT_EXECUTED in said,
        b'content-encoding' in said,
        said.get(INSTANCE, b'').decode('latin-1'),
    )


def write_answer(answer: Answer) -> CallerResponse:
    """Return an upstream's answer as the response to the caller."""
    headers = [
        header
        for header in answer.headers
        if header[0].lower() not in _HOP_BY_HOP
    ]
    return CallerResponse(answer.status, headers, answer.body, answer.reason)


def write_failure(
    failure: Failure, status: int, body: bytes, request_id: str
) -> CallerResponse:
    """Return a failure as the response to the caller.

    Only 429 and 503 say that the call did not run.
    """
    headers: Headers = [(b'Content-Type', b'application/json')]
    if request_id:
        headers.append((REQUEST_ID, request_id.encode('latin-1')))
    if failure.run is RunState.not_run and failure.retry_after_ms is not None:
        seconds = failure.retry_after_ms / MILLIS_PER_SECOND
        headers.append((b'Retry-After', f'{seconds:.3f}'.encode()))
    return CallerResponse(status, headers, body)


def _split_names(value: bytes) -> frozenset[bytes]:
    return frozenset(part.strip().lower() for part in value.split(b','))


def _read_number(text: str) -> float | None:
    return float(text) if text.isdecimal() else None


def _without_port(host: str) -> str:
    return host.partition(':')[0].lower()
