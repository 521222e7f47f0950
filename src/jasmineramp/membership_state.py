"""Hold the membership state of a node and merge entries into it."""

import enum
import math
import random
from collections.abc import Iterable

import msgspec

from jasmineramp.clock import Millis
from jasmineramp.effects import Effect, EventKind, RecordEvent
from jasmineramp.ids import DomainId, NodeId
from jasmineramp.membership_messages import (
    MemberStatus,
    NodeEntry,
)
from jasmineramp.membership_view import (
    View,
    differs,
    is_member,
    join_entries,
)

SUSPECT_MS = 3_000
TOMBSTONE_MS = 24 * 3_600_000
GOSSIP_FACTOR = 1
MAXIMUM_CHANGES = 16
# A result older than this says little about the present connections.
RESULT_VALID_MS = 4_000
CONFIRM_MS = 3_000
# Ticks come every 50 ms; a longer silence means that the process stood still.
PAUSE_MS = 2_000
# Others forget dead incarnations after 24 h; older views are not merged.
FORGET_MS = 12 * 3_600_000
CONTACTS_KEPT = 8
ANNOUNCEMENT_GRACE_MS = 1_500


class ProbeKind(enum.Enum):
    """Tell why a ping was sent."""

    member = 'member'
    domain = 'domain'
    contact = 'contact'
    relay = 'relay'


class Probe:
    """Hold a ping that has not been answered."""

    __slots__ = ('asked', 'kind', 'relay', 'revision', 'sent_at', 'target')

    def __init__(
        self,
        target: NodeId,
        kind: ProbeKind,
        sent_at: Millis,
        revision: int,
    ) -> None:
        self.target = target
        self.kind = kind
        self.sent_at = sent_at
        self.revision = revision
        self.asked = False
        self.relay: tuple[NodeId, int] | None = None


class Results:
    """Hold the last result of recent pings, one per node."""

    def __init__(self) -> None:
        self.by_node: dict[NodeId, tuple[float, bool]] = {}

    def record(self, node: NodeId, now: float, *, answered: bool) -> None:
        """Replace the result of a node."""
        self.by_node.pop(node, None)
        self.by_node[node] = (now, answered)
        self._drop_old(now)

    def are_good(self, now: float) -> bool:
        """Tell whether there are results and half of them are answers."""
        self._drop_old(now)
        answered = sum(found for _, found in self.by_node.values())
        return bool(answered) and answered * 2 >= len(self.by_node)

    def _drop_old(self, now: float) -> None:
        while self.by_node:
            node, (time, _) = next(iter(self.by_node.items()))
            if now - time <= RESULT_VALID_MS:
                return
            self.by_node.pop(node)


class MembershipState:
    """Hold what one node knows about all nodes.

    The incarnation must exceed that of the predecessor with the same node
    id, for example milliseconds of wall-clock time at the start.
    """

    def __init__(
        self,
        entry: NodeEntry,
        seeds: Iterable[str],
        rng: random.Random,
        now: Millis,
    ) -> None:
        self.entry = entry
        self.seeds = set(seeds) - {entry.address}
        self.random = rng
        self.view = View()
        self.view.put(entry)
        self.gossip: dict[NodeId, int] = {}
        self.suspects: dict[NodeId, float] = {}
        self.held: set[NodeId] = set()
        self.tombstones: dict[NodeId, float] = {}
        self.changed_instances: dict[NodeId, None] = {}

        self.sequence = 0
        self.probes: dict[int, Probe] = {}
        self.own_results = Results()
        self.foreign_results = Results()
        self.ring: list[NodeId] = []
        self.domain_ring: list[DomainId] = []
        self.checked_domains: dict[DomainId, float] = {}
        self.contact_ring: list[NodeId] = []
        self.rounds = 0

        self.ticked_at = now
        self.ping_at = float(now)
        self.domain_ping_at = float(now)
        self.housekeeping_at = float(now)
        self.sync_at = float(now)
        self.announced_at = float(now)
        self.answered_at = float(now)
        self.reported: tuple[NodeId, int] | None = None
        self.newest_revision = (entry.revision, entry.node)

        self.is_current = not self.seeds
        self.confirm_until = now + CONFIRM_MS

    @property
    def node(self) -> NodeId:
        """Return the id of this node."""
        return self.entry.node

    @property
    def domain(self) -> DomainId:
        """Return the failure domain of this node."""
        return self.entry.domain

    def digest(self) -> int | None:
        """Return the digest of the view once the view is confirmed.

        Two nodes that were paused together must not confirm each other.
        """
        return self.view.digest if self.is_current else None


def merge(
    state: MembershipState,
    entries: Iterable[NodeEntry],
    now: Millis,
    *,
    queue: bool = True,
) -> list[Effect]:
    """Merge heard entries; queue changes for gossip and record them."""
    effects: list[Effect] = []
    for heard in entries:
        known = state.view.entries.get(heard.node)
        if known == heard:
            continue
        if heard.node == state.node:
            _refute(state, heard, now)
            continue
        joined = heard if known is None else join_entries(known, heard)
        if joined.revision > state.newest_revision[0]:
            state.newest_revision = (joined.revision, joined.node)
        if known is None or differs(known, joined):
            effects.extend(replace_entry(state, known, joined, now))
            if queue:
                enqueue(state, joined.node)
        elif joined is not known:
            state.view.put_revision(joined)
    return effects


def replace_entry(
    state: MembershipState,
    known: NodeEntry | None,
    entry: NodeEntry,
    now: Millis,
) -> list[Effect]:
    """Store a changed entry and start or stop its timers."""
    node = entry.node
    state.view.put(entry)
    state.changed_instances[node] = None
    state.suspects.pop(node, None)
    state.held.discard(node)
    is_suspect = entry.status is MemberStatus.suspect
    # Other failure domains wait for the verdict of the suspect's own one.
    if is_suspect and entry.domain == state.domain:
        state.suspects[node] = now + SUSPECT_MS
    if is_member(entry):
        state.tombstones.pop(node, None)
    else:
        state.tombstones.setdefault(node, now + TOMBSTONE_MS)
    if known is None or not _is_notable(known, entry):
        return []
    return [_describe(entry)]


def replace_own(
    state: MembershipState,
    now: Millis,
    **fields: object,
) -> None:
    """Change the own entry under a new version and queue it for gossip."""
    state.entry = msgspec.structs.replace(
        state.entry,
        version=state.entry.version + 1,
        **fields,
    )
    state.view.put(state.entry)
    state.changed_instances[state.node] = None
    enqueue(state, state.node)


def release(state: MembershipState, node: NodeId) -> None:
    """Make a member available again that has answered."""
    if node in state.held:
        state.held.discard(node)
        state.changed_instances[node] = None


def hold(state: MembershipState, node: NodeId) -> None:
    """Make a member unavailable to this node without telling others."""
    state.held.add(node)
    state.changed_instances[node] = None


def enqueue(state: MembershipState, node: NodeId) -> None:
    """Queue the entry of a node for the next pings and acks."""
    scale = math.log2(state.view.member_count + 2)
    state.gossip[node] = math.ceil(GOSSIP_FACTOR * scale)


def take_changes(
    state: MembershipState,
    peer: NodeId,
) -> tuple[NodeEntry, ...]:
    """Return queued entries for a message, those sent least often first."""
    entries = state.view.entries
    chosen = list(state.gossip)
    if len(chosen) > MAXIMUM_CHANGES:
        chosen.sort(key=state.gossip.__getitem__, reverse=True)
        chosen = chosen[:MAXIMUM_CHANGES]
    for node in chosen:
        state.gossip[node] -= 1
        if not state.gossip[node] or node not in entries:
            state.gossip.pop(node)
    known = entries.get(peer)
    # A suspected or dead node can refute only what it hears about itself.
    if known is not None and known.status and peer not in chosen:
        chosen.append(peer)
    return tuple(entries[node] for node in chosen if node in entries)


def record_result(
    state: MembershipState,
    node: NodeId,
    now: Millis,
    *,
    answered: bool,
) -> None:
    """Remember whether a node answered the last ping to it."""
    entry = state.view.entries.get(node)
    if entry is not None:
        is_own = entry.domain == state.domain
        results = state.own_results if is_own else state.foreign_results
        results.record(node, now, answered=answered)


def is_connected(state: MembershipState, now: Millis) -> bool:
    """Tell whether half of the own or of the other domains answers.

    A node, rack or domain that is cut off must not declare the rest dead.
    """
    own = state.own_results.are_good(now)
    return own or state.foreign_results.are_good(now)


def notice_pause(state: MembershipState, now: Millis) -> None:
    """Distrust the own view after a pause of the process."""
    pause = now - state.ticked_at
    if pause <= PAUSE_MS:
        return
    state.ticked_at = now
    state.is_current = False
    state.confirm_until = now + CONFIRM_MS
    # Late answers to pings from before the pause confirm nothing.
    state.probes.clear()
    state.answered_at = now
    state.announced_at = max(state.announced_at, now - ANNOUNCEMENT_GRACE_MS)
    state.sync_at = now
    state.ping_at = now
    state.domain_ping_at = now
    for domain in state.view.domains.values():
        domain.misses = 0
    if pause > FORGET_MS:
        _forget_others(state, now)


def _refute(state: MembershipState, heard: NodeEntry, now: Millis) -> None:
    own = state.entry
    if own.status is MemberStatus.left:
        return
    is_same = heard.incarnation == own.incarnation
    is_mark = is_same and (heard.status or heard.version > own.version)
    if heard.incarnation > own.incarnation or is_mark:
        replace_own(state, now, incarnation=heard.incarnation + 1)


def _is_notable(known: NodeEntry, entry: NodeEntry) -> bool:
    return (
        known.status is not entry.status
        or known.incarnation != entry.incarnation
        or _upstream_state(known) is not _upstream_state(entry)
    )


def _upstream_state(entry: NodeEntry) -> object:
    return None if entry.upstream is None else entry.upstream.state


def _describe(entry: NodeEntry) -> RecordEvent:
    upstream = entry.upstream
    return RecordEvent(
        EventKind.member_changed,
        {
            'member': entry.node,
            'domain': entry.domain,
            'incarnation': entry.incarnation,
            'status': entry.status.name,
            'upstream': None if upstream is None else upstream.state.name,
        },
    )


def _forget_others(state: MembershipState, now: Millis) -> None:
    known = [
        entry.address
        for node, entry in state.view.entries.items()
        if node != state.node and is_member(entry)
    ]
    count = min(CONTACTS_KEPT, len(known))
    state.seeds |= set(state.random.sample(known, count))
    state.changed_instances.update(dict.fromkeys(state.view.entries))
    state.view = View()
    state.view.put(state.entry)
    for kept in (state.gossip, state.suspects, state.tombstones):
        kept.clear()
    state.held.clear()
    state.ring.clear()
    state.domain_ring.clear()
    state.contact_ring.clear()
