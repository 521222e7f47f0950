"""Define the interface to the platform on which a node runs."""

from typing import Protocol

from jasmineramp.ids import DomainId, Revision
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
from jasmineramp.mesh.route_table import RouteTable
from jasmineramp.mesh.upstream_state import Announcement, Departure


class Dialect(Protocol):
    """Translate between HTTP messages and the types of calls."""

    def read_request(self, request: CallerRequest) -> CallHead:
        """Return the parsed headers of a caller's request."""

    def write_answer(self, answer: Answer) -> CallerResponse:
        """Return an upstream's answer as the response to the caller."""

    def write_failure(
        self, failure: Failure, status: int, body: bytes, request_id: str
    ) -> CallerResponse:
        """Return a failure as the response to the caller."""


class Platform(Dialect, Protocol):
    """Bind a node to the platform on which it runs."""

    table_key: str
    # Of all keys that the operators write, the table's too.
    operator_prefix: str

    def decode_table(self, value: bytes, revision: Revision) -> RouteTable:
        """Return the table; raise ValueError that names the invalid field."""

    def read_evacuated_domain(self, key: str) -> DomainId | None:
        """Return the failure domain of an evacuation, None for other keys."""

    def write_call(self, call: UpstreamCall, remaining_ms: float) -> bytes:
        """Return the encoded request for the upstream."""

    def read_response(self, headers: Headers) -> ResponseHead:
        """Return the parsed headers of an upstream's response."""

    def is_readiness_check(self, request: CallerRequest) -> bool:
        """Return whether a request is a readiness check of the node."""

    def read_announcement(
        self, request: CallerRequest
    ) -> Announcement | Departure | None:
        """Return the announcement or departure, None for other requests.

        Raise ValueError if the announcement is invalid.
        """

    def write_acknowledgement(self) -> CallerResponse:
        """Return the response to an announcement."""
