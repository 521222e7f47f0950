"""Define the messages and platform values that spread the table."""

import msgspec

from jasmineramp.ids import DomainId, NodeId, Revision
from jasmineramp.messages import Message

TABLE_KEY = 'table'
DOMAINS_KEY = 'domains'


def acknowledgement_key(domain: DomainId) -> str:
    """Return the platform key of a failure domain's acknowledgement."""
    return f'acks/{domain}'


class Offer(Message, frozen=True):
    """Offer the sender's revision; a newer receiver offers its own.

    sent_at is the sender's clock and comes back as echo in the answer, so
    that contact_age (ms since the platform answered) counts from the time
    of the question and a late message can't make the contact look fresher.
    """

    revision: Revision
    accepted: Revision
    sent_at: float | None = None
    echo: float | None = None
    contact_age: float | None = None


class CopyRequest(Message, frozen=True):
    """Ask for the table and the rates of the accepted revision."""

    revision: Revision
    accepted: Revision


class Copy(Message, frozen=True):
    """Carry the table in force, compressed, and the accepted rates."""

    revision: Revision
    body: bytes
    accepted: Revision
    accepted_body: bytes


class Acknowledgement(Message, frozen=True):
    """Tell the collector which revisions were in force, newest last."""

    revisions: tuple[Revision, ...]


class DomainAcknowledgement(Message, frozen=True):
    """Tell other failure domains what all members had in force.

    The revision is the lowest in force; revisions were in force on every
    member; domains are all failure domains that the sender knows.
    """

    domain: DomainId
    revision: Revision
    revisions: tuple[Revision, ...]
    domains: tuple[DomainId, ...]


class AcknowledgementRecord(msgspec.Struct, frozen=True):
    """Hold the platform value that jasmineramp-table status reads."""

    domain: DomainId
    revision: Revision
    newest: Revision
    collector: NodeId
    alive: int
    behind: tuple[NodeId, ...] = ()
