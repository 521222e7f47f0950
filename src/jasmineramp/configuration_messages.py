"""Define the messages and platform values that distribute the table."""

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

    sent_at is a time on the sender's clock that the answer returns as echo.
    contact_age is in ms since the platform answered. The receiver of the
    answer subtracts it from the time of the query, so that a late message
    can't make the contact look more recent.
    """

    revision: Revision
    accepted: Revision
    sent_at: float | None = None
    echo: float | None = None
    contact_age: float | None = None


class CopyRequest(Message, frozen=True):
    """Request a table and accepted rates newer than these revisions.

    They are the revisions that the sender has.
    """

    revision: Revision
    accepted: Revision


class Copy(Message, frozen=True):
    """Carry the compressed table in force and the accepted rates."""

    revision: Revision
    body: bytes
    accepted: Revision
    accepted_body: bytes


class Acknowledgement(Message, frozen=True):
    """Report the revisions that were in force, newest last."""

    revisions: tuple[Revision, ...]


class DomainAcknowledgement(Message, frozen=True):
    """Report to other failure domains what all members had in force.

    revision is the lowest in force on any member, revisions were in force on
    every member, and domains are all failure domains known to the sender.
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
