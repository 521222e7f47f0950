"""Define the messages about claims of non-idempotent calls."""

import enum

from jasmineramp.effects import Effect
from jasmineramp.ids import CallId, NodeId, PartitionId
from jasmineramp.messages import Message


class ClaimVerdict(enum.Enum):
    """Tell what the partition owner decided about a claim."""

    granted = 'granted'
    running = 'running'
    ran = 'ran'
    unknown = 'unknown'
    reused = 'reused'
    unavailable = 'unavailable'
    not_owner = 'not_owner'


class ClaimEnd(enum.Enum):
    """Tell how a claimed call ended."""

    done = 'done'
    unknown = 'unknown'
    not_run = 'not_run'


class ClaimRequest(Message, frozen=True):
    """Ask the partition owner for a claim.

    Key, body and token are digests. The token identifies one attempt of one
    claimant, so the owner recognises repeats of the message.
    """

    partition: PartitionId
    partitions: int
    key: int
    body: int
    token: int
    deadline_ms: float


class ClaimAnswer(Message, frozen=True):
    """Answer a claim request; the owner is a hint for not_owner."""

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
    end: ClaimEnd
    status: int = 0
    response: bytes | None = None


class OutcomeAnswer(Message, frozen=True):
    """Confirm that the outcome is in the log, or name the owner."""

    partition: PartitionId
    token: int
    accepted: bool
    owner: NodeId = NodeId('')


class ClaimDecided(Effect, frozen=True):
    """Tell the call whether it may run; only granted lets it run."""

    call_id: CallId
    verdict: ClaimVerdict
    status: int = 0
    response: bytes | None = None
