"""Define the responses to callers and their form on the wire."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus

from jasmineramp.mesh.calls import CallerRequest, Headers

CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Sent while too little memory is free for a request.
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

    def encode_head(self, *, keep_alive: bool) -> bytes:
        """Return the status line and the headers."""
        lines = [
            b'HTTP/1.1 %d %s' % (self.status, self.reason),
            *(b'%s: %s' % header for header in self.headers),
            b'Content-Length: %d' % len(self.body),
        ]
        if not keep_alive:
            lines.append(b'Connection: close')
        lines.append(b'\r\n')
        return b'\r\n'.join(lines)


def make_refusal(status: HTTPStatus) -> CallerResponse:
    """Return the response to a request that is unusable or finds no room."""
    is_temporary = status is HTTPStatus.SERVICE_UNAVAILABLE
    return CallerResponse(status, [_RETRY_AFTER] if is_temporary else [])


Handler = Callable[[CallerRequest], Awaitable[CallerResponse]]
# Tells whether a request may run beside others of its connection.
KindReader = Callable[[CallerRequest], bool]
