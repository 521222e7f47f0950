"""Define HTTP requests and responses as sent between nodes."""

import msgspec

Header = tuple[str, str]


class HttpRequest(msgspec.Struct, frozen=True, array_like=True):
    """Hold a complete request; the target is the path and query."""

    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes


class HttpResponse(msgspec.Struct, frozen=True, array_like=True):
    """Hold a complete response."""

    status: int
    reason: str
    headers: tuple[Header, ...]
    body: bytes
