"""Define node entries, upstream announcements and membership messages."""

import enum

import msgspec

from jasmineramp.ids import DomainId, NodeId, ServiceName
from jasmineramp.messages import Message


class UpstreamState(enum.Enum):
    """State that an upstream announced."""

    starting = 0
    ready = 1
    draining = 2


class MemberStatus(enum.IntEnum):
    """Liveness of one incarnation; a higher status overrides a lower one."""

    alive = 0
    suspect = 1
    dead = 2
    left = 3


class Upstream(msgspec.Struct, frozen=True, array_like=True):
    """Describe the upstream of a node as announced."""

    service: ServiceName
    port: int
    slots: int
    connections: int
    weight: float = 1
    state: UpstreamState = UpstreamState.ready


class Instance(msgspec.Struct, frozen=True):
    """Describe an upstream instance and the node that serves it."""

    node: NodeId
    domain: DomainId
    incarnation: int
    upstream: Upstream


class NodeEntry(msgspec.Struct, frozen=True, array_like=True):
    """Describe a node; only that node raises incarnation and version.

    The revision is that of the configuration in force on the node. A change
    of the revision alone does not raise the version and is not gossiped.
    """

    node: NodeId
    address: str
    domain: DomainId
    incarnation: int
    version: int = 0
    status: MemberStatus = MemberStatus.alive
    upstream: Upstream | None = None
    revision: int = 0
    rate_slot: int | None = None


class DomainViewDigest(msgspec.Struct, frozen=True, array_like=True):
    """Carry the digest of the alive and suspect entries of a domain."""

    domain: DomainId
    digest: int


class EntryVersion(msgspec.Struct, frozen=True, array_like=True):
    """Identify the version of an entry without its content."""

    node: NodeId
    incarnation: int
    version: int
    status: MemberStatus


class Ping(Message, frozen=True):
    """Ask for an Ack; an empty target means any node at the address.

    The digest covers the sender's whole view; it is None while the view is
    not confirmed. Unavailable domains are those that the sender cannot
    reach.
    """

    target: NodeId
    sequence: int
    entry: NodeEntry
    digest: int | None
    changes: tuple[NodeEntry, ...] = ()
    unavailable: tuple[DomainId, ...] = ()


class Ack(Message, frozen=True):
    """Confirm that the target answered the ping with this sequence number.

    The domain digests are set only if the digest differs from that of the ping.
    """

    target: NodeId
    sequence: int
    entry: NodeEntry
    digest: int | None
    changes: tuple[NodeEntry, ...] = ()
    unavailable: tuple[DomainId, ...] = ()
    domain_digests: tuple[DomainViewDigest, ...] = ()


class PingRequest(Message, frozen=True):
    """Ask another node to ping the target and relay its Ack."""

    target: NodeId
    sequence: int
    entry: NodeEntry


class DomainDigest(Message, frozen=True):
    """List the entries of a domain with node ids in an inclusive range.

    An empty bound means that the range is unbounded on that side.
    """

    domain: DomainId
    first: str
    last: str
    digests: tuple[EntryVersion, ...]


class EntryRequest(Message, frozen=True):
    """Ask for the entries of nodes."""

    nodes: tuple[NodeId, ...]


class Entries(Message, frozen=True):
    """Carry entries that the receiver does not have."""

    entries: tuple[NodeEntry, ...]


MembershipMessage = (
    Ping | Ack | PingRequest | DomainDigest | EntryRequest | Entries
)
