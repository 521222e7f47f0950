"""Define a call as it passes through the nodes, and how it can end."""

import enum

import msgspec

from jasmineramp.clock import Millis
from jasmineramp.ids import RowName, ServiceName, WorkspaceId
from jasmineramp.refusals import RefusalCode, RunState

Headers = list[tuple[bytes, bytes]]


class CallerRequest(msgspec.Struct, gc=False):
    """Hold a whole request as read from a caller's connection."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class CallHead(msgspec.Struct, gc=False):
    """Hold what the headers of a request say.

    The headers are those that go to the upstream unchanged; the caller's key
    is not among them. The deadline is what is left, in milliseconds.
    """

    request_id: str
    deadline_ms: float | None
    key: str
    host: str
    headers: Headers


class UpstreamCall(msgspec.Struct, array_like=True, gc=False):
    """Hold a call as the node beside the chosen upstream gets it.

    Time left is in milliseconds, because clocks of VMs are not compared. A
    hop above 0 marks a call of a request that already runs.
    """

    request_id: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    left_ms: float
    row: RowName
    workspace: WorkspaceId
    caller_service: ServiceName
    service: ServiceName
    instance: str
    importance: int
    hop: int
    repeatable: bool


class Answer(msgspec.Struct, array_like=True, gc=False, tag=1):
    """Hold the complete answer of an upstream."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes


class Failure(msgspec.Struct, array_like=True, gc=False, tag=2):
    """Tell why there is no answer, and which cell decided.

    `arrived` tells that the upstream has seen the call. Times are
    milliseconds.
    """

    code: RefusalCode
    run: RunState
    detail: str = ''
    row: str = ''
    column: str = ''
    figure: float | None = None
    limit: float | None = None
    retry_after_ms: float | None = None
    arrived: bool = False


CallEnd = Answer | Failure


class ResponseHead(msgspec.Struct, gc=False):
    """Hold what the headers of an upstream's response say.

    An empty request id means that the response names none.
    """

    request_id: str
    is_signed: bool
    not_run: bool
    is_encoded: bool
    instance: str


class CallKind(enum.Enum):
    """Tell whether a call may run more than once."""

    idempotent = 'idempotent'
    once = 'once'


def not_run(
    code: RefusalCode,
    detail: str = '',
    retry_after_ms: float | None = None,
) -> Failure:
    """Return the failure of a call that did not run and never will."""
    return Failure(
        code, RunState.not_run, detail, retry_after_ms=retry_after_ms
    )


def unknown(code: RefusalCode, detail: str) -> Failure:
    """Return the failure of a call that was sent and may have run."""
    return Failure(code, RunState.unknown, detail, arrived=True)


class Deadline(msgspec.Struct, frozen=True, gc=False):
    """Bound a call by the caller's patience and by the row's timeout.

    Both are times of this node's clock.
    """

    patience: Millis
    timeout: Millis

    def end(self) -> Millis:
        """Return the earlier of the two."""
        return min(self.patience, self.timeout)
