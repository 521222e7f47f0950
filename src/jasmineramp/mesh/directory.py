"""Hold the nodes of the fleet and their upstreams as the store lists them."""

import ipaddress

import msgspec

from jasmineramp.clock import Millis
from jasmineramp.decoding import Count, ForeignDecoder, Port, Slots
from jasmineramp.ids import DomainId, NodeId, Revision, ServiceName
from jasmineramp.membership_messages import Instance, Upstream, UpstreamState
from jasmineramp.mesh.departures import (
    Departed,
    Departures,
    decode_departures,
)
from jasmineramp.mesh.store import StoreItem

KEY_PREFIX = 'jasmineramp/nodes/'
_DEPARTURES_SUFFIX = '/departures'
# Entries whose leases expired during a store outage are written again within
# 2 s of its end.
ABSENCE_GRACE_MS = 2_300


class MemberEntry(msgspec.Struct, frozen=True):
    """Hold the entry that a node registers for itself and its upstream.

    `born` is the Unix time in ms at which the instance started.
    """

    node: NodeId
    version: Count
    domain: DomainId
    host: str
    port: Port
    service: ServiceName = ServiceName('')
    instance: str = ''
    born: Count = 0
    slots: Slots = 0
    state: UpstreamState = UpstreamState.starting

    def to_instance(self) -> Instance:
        """Return the upstream as an instance for routing."""
        upstream = Upstream(
            self.service, self.port, self.slots, self.slots, 1, self.state
        )
        return Instance(
            self.node, self.domain, hash((self.instance, self.born)), upstream
        )


_decoder = ForeignDecoder(msgspec.json.Decoder(MemberEntry))


class Directory:
    """Hold the entries of all nodes.

    A deleted entry is kept for ABSENCE_GRACE_MS, because leases may expire
    while the store is unavailable. An instance whose departure was ever listed
    counts as draining, whatever a later entry says.
    """

    def __init__(self) -> None:
        self.members: dict[NodeId, MemberEntry] = {}
        self.absent_since: dict[NodeId, Millis] = {}
        self.unreadable: set[str] = set()
        self.departures: dict[NodeId, Departures] = {}
        # Entries are ordered by store revision, because the clocks of VMs may
        # differ.
        self.revisions: dict[NodeId, Revision] = {}

    def replace_all(
        self, items: tuple[StoreItem, ...], now: Millis
    ) -> list[MemberEntry]:
        """Apply a full listing; return the entries that changed."""
        changed = []
        listed = set()
        for item in items:
            listed.add(_node_of(item.key))
            entry = self._put(item, now)
            if entry is not None:
                changed.append(entry)
        for node in self.members:
            if node not in listed:
                self.absent_since.setdefault(node, now)
        return changed

    def apply(
        self, items: tuple[StoreItem, ...], now: Millis
    ) -> list[MemberEntry]:
        """Apply changes in order; return the entries that changed."""
        changed = []
        for item in items:
            if item.value is None:
                if _node_of(item.key) in self.members:
                    self.absent_since.setdefault(_node_of(item.key), now)
                continue
            entry = self._put(item, now)
            if entry is not None:
                changed.append(entry)
        return changed

    def departed_at(self, node: NodeId) -> tuple[Departed, ...]:
        """Return the known departures of the instances at a node."""
        departures = self.departures.get(node)
        return () if departures is None else departures.facts()

    def expire(self, now: Millis) -> list[MemberEntry]:
        """Remove and return the entries whose grace period has expired."""
        for node, departures in list(self.departures.items()):
            departures.expire(now)
            if not departures.latest:
                del self.departures[node]
        expired = []
        for node, since in list(self.absent_since.items()):
            if now - since >= ABSENCE_GRACE_MS:
                del self.absent_since[node]
                expired.append(self.members.pop(node))
        return expired

    def drop(self, node: NodeId) -> MemberEntry | None:
        """Remove and return the entry of a node, None if there is none."""
        self.absent_since.pop(node, None)
        return self.members.pop(node, None)

    def _put(self, item: StoreItem, now: Millis) -> MemberEntry | None:
        if item.key.endswith(_DEPARTURES_SUFFIX):
            return self._put_departures(item, now)
        entry = read_entry(item)
        if entry is None:
            self.unreadable.add(item.key)
            return None
        self.absent_since.pop(entry.node, None)
        if item.revision <= self.revisions.get(entry.node, 0):
            return None
        self.revisions[entry.node] = item.revision
        entry = self._apply_departures(entry, now)
        self.members[entry.node] = entry
        # An entry with the same content still counts as changed, because a new
        # process of the node may have written it.
        return entry

    def _put_departures(
        self, item: StoreItem, now: Millis
    ) -> MemberEntry | None:
        facts = read_departures(item)
        if facts is None:
            self.unreadable.add(item.key)
            return None
        node = _node_of(item.key.removesuffix(_DEPARTURES_SUFFIX))
        self.departures.setdefault(node, Departures()).merge(facts, now)
        member = self.members.get(node)
        if member is None:
            return None
        entry = self._apply_departures(member, now)
        if entry is member:
            return None
        self.members[node] = entry
        return entry

    def _apply_departures(self, entry: MemberEntry, now: Millis) -> MemberEntry:
        """Return the entry as draining if its instance has left."""
        node = entry.node
        if entry.state is UpstreamState.draining:
            departed = Departed(entry.instance, entry.born)
            self.departures.setdefault(node, Departures()).add(departed, now)
        elif node in self.departures and self.departures[node].binds(
            entry.instance, entry.born
        ):
            return msgspec.structs.replace(entry, state=UpstreamState.draining)
        return entry


def read_entry(item: StoreItem) -> MemberEntry | None:
    """Return the entry in an item, None if it is not a node's entry."""
    try:
        entry = _decoder.decode(item.value or b'')
        ipaddress.ip_address(entry.host)
    except ValueError:
        return None
    return entry if entry.node == _node_of(item.key) else None


def read_departures(item: StoreItem) -> tuple[Departed, ...] | None:
    """Return the departures in an item, None if it holds something else."""
    return decode_departures(item.value or b'')


def departures_key(node: NodeId) -> str:
    """Return the store key of the departures of a node's instances."""
    return f'{KEY_PREFIX}{node}{_DEPARTURES_SUFFIX}'


def entry_key(node: NodeId) -> str:
    """Return the store key of a node's entry."""
    return f'{KEY_PREFIX}{node}'


def _node_of(key: str) -> NodeId:
    return NodeId(key.removeprefix(KEY_PREFIX))
