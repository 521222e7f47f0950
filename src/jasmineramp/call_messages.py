"""Define the events, decisions and effects of a call's lifecycle."""

import enum

import msgspec

from jasmineramp.effects import Effect
from jasmineramp.events import Event
from jasmineramp.ids import (
    CallId,
    ContextToken,
    IdempotencyKey,
    Importance,
    KeyDigest,
    NodeId,
    RequestId,
    Revision,
    RowName,
    ServiceName,
    WorkspaceId,
)
from jasmineramp.load_reports import LoadReport
from jasmineramp.membership_messages import Upstream
from jasmineramp.messages import Message
from jasmineramp.refusals import Refusal


class CallHeader(msgspec.Struct, frozen=True, array_like=True):
    """Describe one attempt of a call to the node of its instance.

    The entry is the entry node of the whole request. The weight is the
    product of the weights of workspace and row.
    """

    call_id: CallId
    request_id: RequestId
    service: ServiceName
    workspace: WorkspaceId
    row: RowName
    importance: Importance
    hop: int
    weight: float
    remaining_ms: float
    entry: NodeId
    revision: Revision
    key: KeyDigest = KeyDigest('')


class CallArrived(Event, frozen=True):
    """Report a call from a caller or from the local upstream.

    The nonce is an unguessable string for ids and tokens of this call. The
    body digest distinguishes calls with the same idempotency key.
    """

    call_id: CallId
    method: str
    path: str
    nonce: str
    key: KeyDigest | None = None
    context: ContextToken | None = None
    idempotency_key: IdempotencyKey | None = None
    body_digest: int = 0
    fingerprint: bytes = b''
    remaining_ms: float | None = None


class HopArrived(Event, frozen=True):
    """Report a call that another node sends to the local upstream."""

    header: CallHeader
    nonce: str


class AttemptKind(enum.Enum):
    """Define how an attempt of a call can end."""

    answered = 'answered'
    shed = 'shed'
    refused = 'refused'
    unreachable = 'unreachable'
    lost = 'lost'
    timed_out = 'timed_out'
    cancelled = 'cancelled'


class Attempt(msgspec.Struct, frozen=True):
    """Describe the end of an attempt.

    Unreachable means that nothing was sent; lost means that no response
    arrived.
    """

    kind: AttemptKind
    status: int = 0
    refusal: Refusal | None = None
    load: LoadReport | None = None
    response: bytes | None = None


class AttemptEnded(Event, frozen=True):
    """Report the end of the running attempt of a call."""

    call_id: CallId
    attempt: Attempt


class HopEnded(Event, frozen=True):
    """Report the end of a call that ran for another node."""

    call_id: CallId
    attempt: Attempt


class BackoffEnded(Event, frozen=True):
    """Report that the delay before a retry has elapsed."""

    call_id: CallId


class CallerLeft(Event, frozen=True):
    """Report that the caller no longer waits for a call."""

    call_id: CallId


class UpstreamAnnounced(Event, frozen=True):
    """Report an announcement of the local upstream."""

    upstream: Upstream


class StopRequested(Event, frozen=True):
    """Begin a graceful stop of the node."""


class TableLoaded(Event, frozen=True):
    """Put a table from a file, not from the platform, in force."""

    revision: Revision
    body: bytes
    rate_slot: int


class CallDecision(msgspec.Struct, frozen=True):
    """Base of the instructions to the thread of a call."""


class RunHere(CallDecision, frozen=True):
    """Send the call to the local upstream.

    The deadline is a time of the local clock.
    """

    header: CallHeader
    context: ContextToken
    port: int
    deadline: float


class Forward(CallDecision, frozen=True):
    """Send the call to the node of the chosen instance."""

    header: CallHeader
    node: NodeId
    address: str
    deadline: float


class RetryLater(CallDecision, frozen=True):
    """Wait for the delay in milliseconds, then report BackoffEnded."""

    delay: float


class Refused(CallDecision, frozen=True):
    """Answer the caller with a refusal."""

    refusal: Refusal


class HopRefused(CallDecision, frozen=True):
    """End the attempt, which the node of the instance refused."""

    refusal: Refusal
    load: LoadReport


class Deliver(CallDecision, frozen=True):
    """Return the response of the last attempt to the caller."""


class Replayed(CallDecision, frozen=True):
    """Answer the caller with the stored response of the first call."""

    request_id: RequestId
    status: int
    response: bytes


class Decide(Effect, frozen=True):
    """Pass the decision on a call to the thread that waits for it."""

    call_id: CallId
    decision: CallDecision


class CancelRun(Effect, frozen=True):
    """Close the upstream connection of an attempt that runs on this node."""

    call_id: CallId


class CancelCall(Message, frozen=True):
    """Notify the node of the instance that an attempt was abandoned."""

    call_id: CallId
