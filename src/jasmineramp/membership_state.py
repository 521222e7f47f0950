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

SUSPICION_TIMEOUT_MS = 3_000
TOMBSTONE_LIFETIME_MS = 24 * 3_600_000
GOSSIP_SEND_FACTOR = 1
MAX_CHANGES_PER_MESSAGE = 16
# Older results say little about the current connectivity.
RESULT_LIFETIME_MS = 4_000
CONFIRM_TIMEOUT_MS = 3_000
# Ticks come every 50 ms; a longer gap means that the process was paused.
PAUSE_THRESHOLD_MS = 2_000
# Other nodes forget dead incarnations after 24 h, so a view older than this
# is discarded instead of merged.
VIEW_LIFETIME_MS = 12 * 3_600_000
MAX_SAVED_CONTACTS = 8
ANNOUNCEMENT_GRACE_MS = 1_500


class ProbeKind(enum.Enum):
    """Name the reason why a ping was sent."""

    member = 'member'
    domain = 'domain'
    contact = 'contact'
    relay = 'relay'


class Probe:
    """Hold a ping that is waiting for its ack."""

    __slots__ = (
        'indirect_requested',
        'kind',
        'relay',
        'revision',
        'sent_at',
        'target',
    )

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
        self.indirect_requested = False
        self.relay: tuple[NodeId, int] | None = None


class PingResults:
    """Hold the latest ping result per node, for recent pings only."""

    def __init__(self) -> None:
        self.by_node: dict[NodeId, tuple[float, bool]] = {}

    def record(self, node: NodeId, now: float, *, answered: bool) -> None:
        """Replace the result of a node; now is in ms."""
        self.by_node.pop(node, None)
        self.by_node[node] = (now, answered)
        self._drop_old(now)

    def has_enough_answers(self, now: float) -> bool:
        """Return whether at least half of the recent pings were answered.

        The result is False if there was no ping.
        """
        self._drop_old(now)
        answered = sum(is_answer for _, is_answer in self.by_node.values())
        return bool(answered) and answered * 2 >= len(self.by_node)

    def _drop_old(self, now: float) -> None:
        while self.by_node:
            node, (time, _) = next(iter(self.by_node.items()))
            if now - time <= RESULT_LIFETIME_MS:
                return
            self.by_node.pop(node)


class MembershipState:
    """Hold what one node knows about all nodes.

    The incarnation must exceed that of the previous process with the same
    node id, for example the wall-clock time of the start in ms.
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
        self.pending_gossip: dict[NodeId, int] = {}
        self.suspicion_deadlines: dict[NodeId, float] = {}
        self.unreachable_nodes: set[NodeId] = set()
        self.tombstones: dict[NodeId, float] = {}
        self.pending_instance_changes: dict[NodeId, None] = {}

        self.sequence = 0
        self.probes: dict[int, Probe] = {}
        self.local_domain_results = PingResults()
        self.other_domain_results = PingResults()
        self.remaining_members: list[NodeId] = []
        self.remaining_domains: list[DomainId] = []
        self.domain_checked_at: dict[DomainId, float] = {}
        self.remaining_contacts: list[NodeId] = []
        self.ping_rounds = 0

        self.last_tick_at = now
        self.next_ping_at = float(now)
        self.next_domain_ping_at = float(now)
        self.next_housekeeping_at = float(now)
        self.next_sync_at = float(now)
        self.last_announcement_at = float(now)
        self.last_answer_at = float(now)
        self.reported: tuple[NodeId, int] | None = None
        self.newest_revision = (entry.revision, entry.node)

        self.is_current = not self.seeds
        self.confirm_deadline = now + CONFIRM_TIMEOUT_MS

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
    """Merge received entries; queue changes for gossip and log them."""
    effects: list[Effect] = []
    for received in entries:
        known = state.view.entries.get(received.node)
        if known == received:
            continue
        if received.node == state.node:
            _refute(state, received, now)
            continue
        joined = received if known is None else join_entries(known, received)
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
    state.pending_instance_changes[node] = None
    state.suspicion_deadlines.pop(node, None)
    state.unreachable_nodes.discard(node)
    is_suspect = entry.status is MemberStatus.suspect
    # Only nodes in the suspect's failure domain may declare it dead.
    if is_suspect and entry.domain == state.domain:
        state.suspicion_deadlines[node] = now + SUSPICION_TIMEOUT_MS
    if is_member(entry):
        state.tombstones.pop(node, None)
    else:
        state.tombstones.setdefault(node, now + TOMBSTONE_LIFETIME_MS)
    if known is None or not _is_logged_change(known, entry):
        return []
    return [_member_changed_event(entry)]


def update_local_entry(
    state: MembershipState,
    now: Millis,
    **fields: object,
) -> None:
    """Change the local entry under a new version and queue it for gossip."""
    state.entry = msgspec.structs.replace(
        state.entry,
        version=state.entry.version + 1,
        **fields,
    )
    state.view.put(state.entry)
    state.pending_instance_changes[state.node] = None
    enqueue(state, state.node)


def mark_reachable(state: MembershipState, node: NodeId) -> None:
    """Make a member available again after it answered."""
    if node in state.unreachable_nodes:
        state.unreachable_nodes.discard(node)
        state.pending_instance_changes[node] = None


def mark_unreachable(state: MembershipState, node: NodeId) -> None:
    """Make a member unavailable on this node without gossiping it."""
    state.unreachable_nodes.add(node)
    state.pending_instance_changes[node] = None


def enqueue(state: MembershipState, node: NodeId) -> None:
    """Queue the entry of a node for the next pings and acks.

    The number of sends grows with the logarithm of the member count.
    """
    scale = math.log2(state.view.member_count + 2)
    state.pending_gossip[node] = math.ceil(GOSSIP_SEND_FACTOR * scale)


def dequeue_changes(
    state: MembershipState,
    peer: NodeId,
) -> tuple[NodeEntry, ...]:
    """Return queued entries for a message and count them as sent.

    Entries with the most remaining sends go first. A suspected or dead peer
    also gets its entry, queued or not.
    """
    entries = state.view.entries
    chosen = list(state.pending_gossip)
    if len(chosen) > MAX_CHANGES_PER_MESSAGE:
        chosen.sort(key=state.pending_gossip.__getitem__, reverse=True)
        chosen = chosen[:MAX_CHANGES_PER_MESSAGE]
    for node in chosen:
        state.pending_gossip[node] -= 1
        if not state.pending_gossip[node] or node not in entries:
            state.pending_gossip.pop(node)
    known = entries.get(peer)
    # A node must receive its entry to refute being suspected or dead.
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
    """Record whether a node answered the latest ping to it."""
    entry = state.view.entries.get(node)
    if entry is not None:
        is_local = entry.domain == state.domain
        results = (
            state.local_domain_results
            if is_local
            else state.other_domain_results
        )
        results.record(node, now, answered=answered)


def is_connected(state: MembershipState, now: Millis) -> bool:
    """Return whether half of the pings in either group were answered.

    The groups are the local failure domain and all others. A node, rack or
    domain that is partitioned must not declare the rest dead.
    """
    local = state.local_domain_results.has_enough_answers(now)
    return local or state.other_domain_results.has_enough_answers(now)


def detect_pause(state: MembershipState, now: Millis) -> None:
    """Mark the local view as unconfirmed after a pause of the process."""
    pause = now - state.last_tick_at
    if pause <= PAUSE_THRESHOLD_MS:
        return
    state.last_tick_at = now
    state.is_current = False
    state.confirm_deadline = now + CONFIRM_TIMEOUT_MS
    # Late acks of pings from before the pause do not confirm the view.
    state.probes.clear()
    state.last_answer_at = now
    state.last_announcement_at = max(
        state.last_announcement_at, now - ANNOUNCEMENT_GRACE_MS
    )
    state.next_sync_at = now
    state.next_ping_at = now
    state.next_domain_ping_at = now
    for domain in state.view.domains.values():
        domain.misses = 0
    if pause > VIEW_LIFETIME_MS:
        _discard_other_entries(state, now)


def _refute(state: MembershipState, received: NodeEntry, now: Millis) -> None:
    local = state.entry
    if local.status is MemberStatus.left:
        return
    is_same = received.incarnation == local.incarnation
    needs_refutation = is_same and (
        received.status or received.version > local.version
    )
    if received.incarnation > local.incarnation or needs_refutation:
        update_local_entry(state, now, incarnation=received.incarnation + 1)


def _is_logged_change(known: NodeEntry, entry: NodeEntry) -> bool:
    return (
        known.status is not entry.status
        or known.incarnation != entry.incarnation
        or _upstream_state(known) is not _upstream_state(entry)
    )


def _upstream_state(entry: NodeEntry) -> object:
    return None if entry.upstream is None else entry.upstream.state


def _member_changed_event(entry: NodeEntry) -> RecordEvent:
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


def _discard_other_entries(state: MembershipState, now: Millis) -> None:
    addresses = [
        entry.address
        for node, entry in state.view.entries.items()
        if node != state.node and is_member(entry)
    ]
    count = min(MAX_SAVED_CONTACTS, len(addresses))
    state.seeds |= set(state.random.sample(addresses, count))
    state.pending_instance_changes.update(dict.fromkeys(state.view.entries))
    state.view = View()
    state.view.put(state.entry)
    for table in (
        state.pending_gossip,
        state.suspicion_deadlines,
        state.tombstones,
    ):
        table.clear()
    state.unreachable_nodes.clear()
    state.remaining_members.clear()
    state.remaining_domains.clear()
    state.remaining_contacts.clear()
