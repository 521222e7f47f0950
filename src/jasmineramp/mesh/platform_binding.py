"""Define what a node needs of the platform on which it runs."""

from typing import Protocol

from jasmineramp.ids import Revision
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
from jasmineramp.mesh.route_table import RouteTable
from jasmineramp.mesh.upstream_state import Announcement, Leaving


class Dialect(Protocol):
    """Translate between the wire and the product's types."""

    def read_request(self, request: CallerRequest) -> CallHead:
        """Return what the headers of a caller's request say."""

    def write_answer(self, answer: Answer) -> CallerResponse:
        """Return an upstream's answer as the response to the caller."""

    def write_failure(
        self, failure: Failure, status: int, body: bytes, request_id: str
    ) -> CallerResponse:
        """Return a failure as the response to the caller."""


class Platform(Dialect, Protocol):
    """Bind a node to the platform on which it runs."""

    table_key: str

    def decode_table(self, value: bytes, revision: Revision) -> RouteTable:
        """Return the table; raise ValueError that names the place."""

    def write_call(self, call: UpstreamCall, left_ms: float) -> bytes:
        """Return the request that goes to the upstream."""

    def read_response(self, headers: Headers) -> ResponseHead:
        """Return what the headers of an upstream's response say."""

    def is_readiness_check(self, request: CallerRequest) -> bool:
        """Tell whether a request asks for the readiness of the node."""

    def read_announcement(
        self, request: CallerRequest
    ) -> Announcement | Leaving | None:
        """Return what an instance says of itself; raise ValueError."""

    def write_acknowledgement(self) -> CallerResponse:
        """Return the response to an announcement."""
