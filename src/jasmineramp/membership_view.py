"""Hold the entries of all nodes and merge what is heard about them."""

from bisect import bisect_left, insort
from hashlib import blake2b

import msgspec

from jasmineramp.ids import DomainId, NodeId
from jasmineramp.membership_messages import (
    DomainMark,
    MemberStatus,
    NodeEntry,
)

_DIGEST_BYTES = 8


def join_entries(known: NodeEntry, heard: NodeEntry) -> NodeEntry:
    """Return the least entry that is not older than either.

    The join is commutative, associative and idempotent, so the order,
    repetition and loss of messages do not matter for the final view.
    """
    if heard.incarnation != known.incarnation:
        return heard if heard.incarnation > known.incarnation else known
    newest = heard if heard.version > known.version else known
    status = max(known.status, heard.status)
    revision = max(known.revision, heard.revision)
    if newest.status is status and newest.revision == revision:
        return newest
    return msgspec.structs.replace(newest, status=status, revision=revision)


def is_member(entry: NodeEntry) -> bool:
    """Tell whether the entry is that of a live or suspected node."""
    return entry.status < MemberStatus.dead


def differs(known: NodeEntry, joined: NodeEntry) -> bool:
    """Tell whether two entries of a node differ in more than the revision."""
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
        """Store an entry that replaces the known one."""
        known = self.entries.get(entry.node)
        if known is not None:
            self._toggle(known, is_new=False)
        self.entries[entry.node] = entry
        self._toggle(entry, is_new=True)

    def put_revision(self, entry: NodeEntry) -> None:
        """Store an entry that differs in the revision only."""
        self.entries[entry.node] = entry

    def forget(self, node: NodeId) -> None:
        """Remove an entry."""
        self._toggle(self.entries.pop(node), is_new=False)

    def members(self, domain: DomainId) -> list[NodeId]:
        """Return the sorted ids of the members of a domain."""
        found = self.domains.get(domain)
        return [] if found is None else found.members

    def marks(self) -> tuple[DomainMark, ...]:
        """Summarize every domain."""
        return tuple(
            DomainMark(name, found.digest)
            for name, found in self.domains.items()
        )

    def _toggle(self, entry: NodeEntry, *, is_new: bool) -> None:
        domain = self.domains.get(entry.domain)
        if domain is None:
            domain = DomainView()
            self.domains[entry.domain] = domain
        if not is_member(entry):
            return
        changed = _digest(entry)
        self.digest ^= changed
        domain.digest ^= changed
        if is_new:
            insort(domain.members, entry.node)
            self.member_count += 1
        else:
            domain.members.pop(bisect_left(domain.members, entry.node))
            self.member_count -= 1


def _digest(entry: NodeEntry) -> int:
    text = f'{entry.node} {entry.incarnation} {entry.version} {entry.status:d}'
    found = blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(found.digest(), 'big')
