"""Define HTTP requests and responses as they pass between nodes."""

import msgspec

Header = tuple[str, str]


class HttpRequest(msgspec.Struct, frozen=True, array_like=True):
    """Hold a whole request; the target is path and query."""

    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes


class HttpResponse(msgspec.Struct, frozen=True, array_like=True):
    """Hold a whole response."""

    status: int
    reason: str
    headers: tuple[Header, ...]
    body: bytes
