"""Hold the entries of all nodes and join received ones into them."""

from bisect import bisect_left, insort
from hashlib import blake2b

import msgspec

from jasmineramp.ids import DomainId, NodeId
from jasmineramp.membership_messages import (
    DomainViewDigest,
    MemberStatus,
    NodeEntry,
)

_DIGEST_BYTES = 8


def join_entries(known: NodeEntry, received: NodeEntry) -> NodeEntry:
    """Return the least upper bound of two entries of one node.

    The join is commutative, associative and idempotent, so the order,
    repetition and loss of messages do not matter for the final view.
    """
    if received.incarnation != known.incarnation:
        return received if received.incarnation > known.incarnation else known
    newest = received if received.version > known.version else known
    status = max(known.status, received.status)
    revision = max(known.revision, received.revision)
    if newest.status is status and newest.revision == revision:
        return newest
    return msgspec.structs.replace(newest, status=status, revision=revision)


def is_member(entry: NodeEntry) -> bool:
    """Return whether the entry is that of a live or suspected node."""
    return entry.status < MemberStatus.dead


def differs(known: NodeEntry, joined: NodeEntry) -> bool:
    """Return whether two entries differ in more than the revision."""
    return (
        joined.incarnation != known.incarnation
        or joined.version != known.version
        or joined.status is not known.status
    )


class DomainView:
    """Hold what a node knows about a failure domain."""

    __slots__ = ('available', 'digest', 'members', 'misses')

    def __init__(self) -> None:
        self.members: list[NodeId] = []
        self.digest = 0
        self.misses = 0
        self.available = True


class View:
    """Hold one entry per node, with a sorted member list per domain."""

    def __init__(self) -> None:
        self.entries: dict[NodeId, NodeEntry] = {}
        self.domains: dict[DomainId, DomainView] = {}
        self.member_count = 0
        self.digest = 0

    def put(self, entry: NodeEntry) -> None:
        """Store an entry and update the digests and member lists."""
        known = self.entries.get(entry.node)
        if known is not None:
            self._toggle_member(known, is_new=False)
        self.entries[entry.node] = entry
        self._toggle_member(entry, is_new=True)

    def put_revision(self, entry: NodeEntry) -> None:
        """Store an entry that differs in the revision only."""
        self.entries[entry.node] = entry

    def remove(self, node: NodeId) -> None:
        """Remove an entry."""
        self._toggle_member(self.entries.pop(node), is_new=False)

    def members(self, domain: DomainId) -> list[NodeId]:
        """Return the sorted ids of the members of a domain."""
        view = self.domains.get(domain)
        return [] if view is None else view.members

    def domain_digests(self) -> tuple[DomainViewDigest, ...]:
        """Return the digest of every domain."""
        return tuple(
            DomainViewDigest(name, view.digest)
            for name, view in self.domains.items()
        )

    def _toggle_member(self, entry: NodeEntry, *, is_new: bool) -> None:
        domain = self.domains.get(entry.domain)
        if domain is None:
            domain = DomainView()
            self.domains[entry.domain] = domain
        if not is_member(entry):
            return
        entry_digest = _digest(entry)
        self.digest ^= entry_digest
        domain.digest ^= entry_digest
        if is_new:
            insort(domain.members, entry.node)
            self.member_count += 1
        else:
            domain.members.pop(bisect_left(domain.members, entry.node))
            self.member_count -= 1


def _digest(entry: NodeEntry) -> int:
    text = f'{entry.node} {entry.incarnation} {entry.version} {entry.status:d}'
    hasher = blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(hasher.digest(), 'big')
