"""Define calls between nodes and their results."""

import enum
from typing import Annotated

import msgspec

from jasmineramp.admission import MAX_QUEUE_WAIT_MS
from jasmineramp.clock import Millis
from jasmineramp.decoding import Count, DurationMs
from jasmineramp.ids import RowName, ServiceName, WorkspaceId
from jasmineramp.refusals import RefusalCode, RunState
from jasmineramp.table import LEAST_IMPORTANCE, MOST_IMPORTANCE

Headers = list[tuple[bytes, bytes]]
MIN_SERVER_ERROR = 500
# Other statuses have no meaning: such a response tells nothing of the call.
MIN_STATUS = 100
MAX_STATUS = 599
# More answered calls of a request are not counted.
MAX_PROGRESS = 64


class CallKind(enum.Enum):
    """Define whether a call may run more than once."""

    idempotent = 'idempotent'
    once = 'once'


class CallerRequest(msgspec.Struct, gc=False):
    """Hold a complete request as read from a caller's connection.

    `read_at` is a time of the event loop in seconds. `waited_ms` is how long
    the request then waited for earlier ones of its connection. `kind` is None
    until the route is looked up.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    read_at: float = 0
    waited_ms: float = 0
    kind: CallKind | None = None


class CallHead(msgspec.Struct, gc=False):
    """Hold the parsed headers of a request.

    `headers` are those that go to the upstream unchanged, without the API
    key. The deadline is the remaining time in milliseconds, None if unset.
    """

    request_id: str
    deadline_ms: float | None
    key: str
    host: str
    headers: Headers


class UpstreamCall(msgspec.Struct, array_like=True, gc=False):
    """Hold a call as it is sent to the node on the VM of the upstream.

    `remaining_ms` is a duration rather than a point in time, because the
    clocks of VMs may differ. `hop` is 0 for a call with a workspace. It is 1
    for a call without one, which counts as part of a request that is already
    running. `max_wait_ms` limits the time in the queue of the upstream.
    `is_resent` tells that an instance may have received the call before,
    `is_repeat` that this holds for it or for the call that makes it.
    `progress` counts the calls that were answered for the same request before.
    `objective_ms` is the remaining time of the latency objective, None if the
    route has none or the sender does not tell.
    """

    request_id: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    remaining_ms: DurationMs
    row: RowName
    workspace: WorkspaceId
    caller_service: ServiceName
    service: ServiceName
    instance: str
    importance: Annotated[
        int, msgspec.Meta(ge=LEAST_IMPORTANCE, le=MOST_IMPORTANCE)
    ]
    hop: Count
    is_idempotent: bool
    max_wait_ms: DurationMs = MAX_QUEUE_WAIT_MS
    is_resent: bool = False
    is_repeat: bool = False
    progress: Count = 0
    objective_ms: DurationMs | None = None


class Answer(msgspec.Struct, array_like=True, gc=False, tag=1):
    """Hold the complete response of an upstream."""

    # Nodes of the previous release may send statuses up to 999.
    status: Annotated[int, msgspec.Meta(ge=200, le=999)]
    reason: bytes
    headers: Headers
    body: bytes

    def is_server_error(self) -> bool:
        """Return whether the upstream failed to answer the call."""
        return self.status >= MIN_SERVER_ERROR


class Failure(msgspec.Struct, array_like=True, gc=False, tag=2):
    """Describe why a call has no answer.

    `row` and `column` name the table entry that caused a refusal, `limit` is
    its value and `figure` the value that was compared with it, None if there
    is none. `may_have_arrived` is true if the upstream may have received the
    call. `is_for_all` is true if other instances would refuse it as well.
    """

    code: RefusalCode
    run: RunState
    detail: str = ''
    row: str = ''
    column: str = ''
    figure: float | None = None
    limit: float | None = None
    retry_after_ms: DurationMs | None = None
    may_have_arrived: bool = False
    is_for_all: bool = False


CallResult = Answer | Failure


class ResponseHead(msgspec.Struct, gc=False):
    """Hold the parsed headers of an upstream's response.

    The request id is empty if the response has none.
    """

    request_id: str
    has_signature: bool
    not_run: bool
    is_encoded: bool
    instance: str


def not_run_failure(
    code: RefusalCode,
    detail: str = '',
    retry_after_ms: float | None = None,
) -> Failure:
    """Return the failure of a call that did not run and will not run."""
    return Failure(
        code, RunState.not_run, detail, retry_after_ms=retry_after_ms
    )


def run_unknown_failure(code: RefusalCode, detail: str) -> Failure:
    """Return the failure of a call that was sent and may have run."""
    return Failure(code, RunState.unknown, detail, may_have_arrived=True)


class Deadline(msgspec.Struct, frozen=True, gc=False):
    """Hold the deadline of the caller and that of the route's timeout.

    Both are times of the local node's clock.
    """

    caller_limit: Millis
    route_limit: Millis

    def earliest(self) -> Millis:
        """Return the earlier of the two deadlines."""
        return min(self.caller_limit, self.route_limit)

    def shorten(self, limit: Millis) -> 'Deadline':
        """Return the deadline that is no later than a limit."""
        return Deadline(min(self.caller_limit, limit), self.route_limit)
