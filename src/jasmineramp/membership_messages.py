"""Define node entries, upstream announcements and membership messages."""

import enum

import msgspec

from jasmineramp.ids import DomainId, NodeId, ServiceName
from jasmineramp.messages import Message


class UpstreamState(enum.Enum):
    """Tell what an upstream announced about itself."""

    starting = 0
    ready = 1
    draining = 2


class MemberStatus(enum.IntEnum):
    """Tell the liveness of one incarnation; a higher status wins."""

    alive = 0
    suspect = 1
    dead = 2
    left = 3


class Upstream(msgspec.Struct, frozen=True, array_like=True):
    """Describe the upstream of a node as it announced itself."""

    service: ServiceName
    port: int
    slots: int
    connections: int
    weight: float = 1
    state: UpstreamState = UpstreamState.ready


class Instance(msgspec.Struct, frozen=True):
    """Locate an upstream instance in the fleet."""

    node: NodeId
    domain: DomainId
    incarnation: int
    upstream: Upstream


class NodeEntry(msgspec.Struct, frozen=True, array_like=True):
    """Describe a node; its owner raises incarnation and version.

    The revision is that of the configuration in force on the node. It
    changes without a new version and is not gossiped on its own.
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


class DomainMark(msgspec.Struct, frozen=True, array_like=True):
    """Summarize the entries of all members of a domain that are not dead."""

    domain: DomainId
    digest: int


class EntryDigest(msgspec.Struct, frozen=True, array_like=True):
    """Name the version of an entry."""

    node: NodeId
    incarnation: int
    version: int
    status: MemberStatus


class Ping(Message, frozen=True):
    """Ask for an Ack; an empty target means whoever has the address.

    The digest covers the sender's whole view; it is None while the view is
    not confirmed. Unavailable domains are those that the sender fails to
    reach.
    """

    target: NodeId
    sequence: int
    entry: NodeEntry
    digest: int | None
    changes: tuple[NodeEntry, ...] = ()
    unavailable: tuple[DomainId, ...] = ()


class Ack(Message, frozen=True):
    """Confirm that the target has answered the ping with the sequence.

    The marks are filled in when the digest differs from that of the ping.
    """

    target: NodeId
    sequence: int
    entry: NodeEntry
    digest: int | None
    changes: tuple[NodeEntry, ...] = ()
    unavailable: tuple[DomainId, ...] = ()
    marks: tuple[DomainMark, ...] = ()


class PingRequest(Message, frozen=True):
    """Ask another node to ping the target and to pass on its Ack."""

    target: NodeId
    sequence: int
    entry: NodeEntry


class DomainDigest(Message, frozen=True):
    """List the entries of a domain whose node ids lie in a closed range.

    An empty bound leaves the range open.
    """

    domain: DomainId
    first: str
    last: str
    digests: tuple[EntryDigest, ...]


class EntryRequest(Message, frozen=True):
    """Ask for the entries of nodes."""

    nodes: tuple[NodeId, ...]


class Entries(Message, frozen=True):
    """Carry entries that the receiver lacks."""

    entries: tuple[NodeEntry, ...]


MembershipMessage = (
    Ping | Ack | PingRequest | DomainDigest | EntryRequest | Entries
)
