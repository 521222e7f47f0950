"""Define the messages about claims of non-idempotent calls."""

import enum

from jasmineramp.effects import Effect
from jasmineramp.ids import CallId, NodeId, PartitionId
from jasmineramp.messages import Message


class ClaimVerdict(enum.Enum):
    """Name what the partition owner decided about a claim."""

    granted = 'granted'
    running = 'running'
    ran = 'ran'
    unknown = 'unknown'
    reused = 'reused'
    unavailable = 'unavailable'
    not_owner = 'not_owner'


class ClaimResult(enum.Enum):
    """Name how a claimed call ended; not_run requires proof."""

    done = 'done'
    unknown = 'unknown'
    not_run = 'not_run'


class ClaimRequest(Message, frozen=True):
    """Ask the partition owner for a claim.

    Key, body and token are sent as digests. The token identifies one attempt of
    one claimant, so the owner recognises repeats of the message.
    """

    partition: PartitionId
    partitions: int
    key: int
    body_digest: int
    token: int
    deadline_ms: float


class ClaimAnswer(Message, frozen=True):
    """Answer a claim request; not_owner may name the presumed owner."""

    partition: PartitionId
    token: int
    verdict: ClaimVerdict
    status: int = 0
    response: bytes | None = None
    owner: NodeId = NodeId('')


class ClaimOutcome(Message, frozen=True):
    """Report how the call of a claim ended."""

    partition: PartitionId
    token: int
    result: ClaimResult
    status: int = 0
    response: bytes | None = None


class OutcomeAnswer(Message, frozen=True):
    """Confirm that an outcome is in the log, or name the presumed owner."""

    partition: PartitionId
    token: int
    accepted: bool
    owner: NodeId = NodeId('')


class ClaimDecided(Effect, frozen=True):
    """Pass the verdict to the call; it may run only if granted."""

    call_id: CallId
    verdict: ClaimVerdict
    status: int = 0
    response: bytes | None = None
