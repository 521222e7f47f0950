"""Implement the platform interface of the node."""

import msgspec

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
from jasmineramp.platform import announcements, configuration, headers

_ACKNOWLEDGEMENT = b'{}'
_JSON: Headers = [(b'Content-Type', b'application/json')]


class PlatformBinding:
    """Translate between the node and the platform without any policy."""

    table_key = configuration.CONFIGURATION_KEY
    operator_prefix = configuration.OPERATOR_PREFIX

    def decode_table(self, value: bytes, revision: Revision) -> RouteTable:
        """Return the table; raise ValueError that names the invalid field."""
        try:
            return configuration.decode_configuration(value, revision)
        except msgspec.MsgspecError as error:
            raise ValueError(str(error)) from None

    def read_evacuated_domain(self, key: str) -> DomainId | None:
        """Return the failure domain of an evacuation, None for other keys."""
        return configuration.read_evacuated_domain(key)

    def read_request(self, request: CallerRequest) -> CallHead:
        """Return the parsed headers of a caller's request."""
        return headers.read_request(request)

    def write_call(self, call: UpstreamCall, remaining_ms: float) -> bytes:
        """Return the encoded request for the upstream."""
        return headers.write_call(call, remaining_ms)

    def read_response(self, wire_headers: Headers) -> ResponseHead:
        """Return the parsed headers of an upstream's response."""
        return headers.read_response(wire_headers)

    def write_answer(self, answer: Answer) -> CallerResponse:
        """Return an upstream's answer as the response to the caller."""
        return headers.write_answer(answer)

    def write_failure(
        self, failure: Failure, status: int, body: bytes, request_id: str
    ) -> CallerResponse:
        """Return a failure as the response to the caller."""
        return headers.write_failure(failure, status, body, request_id)

    def is_readiness_check(self, request: CallerRequest) -> bool:
        """Return whether a request is a readiness check of the node."""
        return request.target == announcements.READY_PATH

    def read_announcement(
        self, request: CallerRequest
    ) -> Announcement | Departure | None:
        """Return the announcement or departure, None for other requests.

        Raise ValueError if the announcement is invalid.
        """
        target = request.target.decode('latin-1')
        instance = announcements.read_heartbeat_path(target)
        try:
            if instance is not None:
                return announcements.decode_heartbeat(instance, request.body)
            instance = announcements.read_deregister_path(target)
            if instance is not None:
                started_at = announcements.decode_start_time(request.body)
                return Departure(instance, started_at)
        except msgspec.MsgspecError as error:
            raise ValueError(str(error)) from None
        return None

    def write_acknowledgement(self) -> CallerResponse:
        """Return the response to an announcement."""
        return CallerResponse(200, list(_JSON), _ACKNOWLEDGEMENT)
