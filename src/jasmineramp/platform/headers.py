"""Translate the headers of requests and responses."""

from jasmineramp.clock import MILLIS_PER_SECOND
from jasmineramp.mesh.caller_messages import CallerResponse
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
# Headers that apply to a single connection and are not forwarded.
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
# Headers that only the node sets; values from the caller are dropped.
_SET_BY_NODE = frozenset(
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
_NOT_FORWARDED = _HOP_BY_HOP | _SET_BY_NODE
_HOST = b'host'
_PARSED_HEADERS = frozenset((_REQUEST_ID, _DEADLINE, _CREDENTIAL, _HOST))


def read_request(request: CallerRequest) -> CallHead:
    """Return the parsed headers of a caller's request."""
    names_in_connection: frozenset[bytes] = frozenset()
    values: dict[bytes, str] = {}
    forwarded: Headers = []
    for header in request.headers:
        lower_name = header[0].lower()
        if lower_name in _PARSED_HEADERS:
            values[lower_name] = header[1].decode('latin-1')
        elif lower_name == b'connection':
            names_in_connection = names_in_connection or _split_names(header[1])
        if lower_name not in _NOT_FORWARDED:
            forwarded.append(header)
    if names_in_connection:
        forwarded = [
            header
            for header in forwarded
            if header[0].lower() not in names_in_connection
        ]
    return CallHead(
        values.get(_REQUEST_ID, ''),
        _parse_number(values.get(_DEADLINE, '')),
        values.get(_CREDENTIAL, ''),
        _normalize_host(values.get(_HOST, '')),
        forwarded,
    )


def write_call(call: UpstreamCall, remaining_ms: float) -> bytes:
    """Return the encoded request for the upstream."""
    lines = [b'%s %s HTTP/1.1' % (call.method, call.target)]
    lines.extend(b'%s: %s' % header for header in call.headers)
    lines.append(b'%s: %s' % (REQUEST_ID, call.request_id.encode('latin-1')))
    lines.append(b'%s: %d' % (DEADLINE, max(1, int(remaining_ms))))
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
    """Return the parsed headers of an upstream's response."""
    values = {name.lower(): value for name, value in headers}
    return ResponseHead(
        values.get(_REQUEST_ID, b'').decode('latin-1'),
        SIGNATURE in values,
        NOT_EXECUTED in values,
        b'content-encoding' in values,
        values.get(INSTANCE, b'').decode('latin-1'),
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

    Only statuses 429 and 503 tell the caller that the call did not run.
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


def _parse_number(text: str) -> float | None:
    return float(text) if text.isdecimal() else None


def _normalize_host(host: str) -> str:
    return host.partition(':')[0].lower()
