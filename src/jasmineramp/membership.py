"""Spread node entries by gossip and detect nodes that have failed."""

from collections.abc import Iterable

import msgspec

from jasmineramp.clock import Millis
from jasmineramp.effects import Effect
from jasmineramp.ids import DomainId, NodeId, Revision
from jasmineramp.membership_messages import (
    Instance,
    MembershipMessage,
    MemberStatus,
    NodeEntry,
    Upstream,
    UpstreamState,
)
from jasmineramp.membership_pings import (
    MISSES_UNTIL_UNREACHABLE,
    send_local_entry,
)
from jasmineramp.membership_probes import handle, run_timers
from jasmineramp.membership_state import (
    MembershipState,
    detect_pause,
    update_local_entry,
)
from jasmineramp.membership_view import is_member

HOUSEKEEPING_INTERVAL_MS = 250
ISOLATION_TIMEOUT_MS = 5_000
ANNOUNCEMENT_TIMEOUT_MS = 3_000


class InstanceChange(msgspec.Struct, frozen=True):
    """Describe a new, changed or unavailable instance.

    The instance is None when it is unavailable.
    """

    node: NodeId
    instance: Instance | None


def tick(state: MembershipState, now: Millis) -> list[Effect]:
    """Send due pings and run expired timers; call every 50 ms."""
    detect_pause(state, now)
    state.last_tick_at = now
    effects = run_timers(state, now)
    if now >= state.next_housekeeping_at:
        state.next_housekeeping_at = now + HOUSEKEEPING_INTERVAL_MS
        _run_housekeeping(state, now)
    return effects


def receive(
    state: MembershipState,
    sender: NodeId,
    message: MembershipMessage,
    now: Millis,
) -> list[Effect]:
    """Handle a message from another node."""
    # A message may be handled before the first tick after a pause.
    detect_pause(state, now)
    return handle(message, state, sender, now)


def announce(
    state: MembershipState,
    upstream: Upstream,
    now: Millis,
) -> list[Effect]:
    """Publish an announcement of the local upstream."""
    state.last_announcement_at = now
    if state.entry.upstream == upstream:
        return []
    update_local_entry(state, now, upstream=upstream)
    if upstream.state is UpstreamState.draining:
        return send_local_entry(state)
    return []


def leave(state: MembershipState, now: Millis) -> list[Effect]:
    """Announce that this node stops; do not use the state afterwards."""
    update_local_entry(state, now, status=MemberStatus.left, upstream=None)
    return send_local_entry(state)


def set_revision(state: MembershipState, revision: Revision) -> None:
    """Publish the configuration revision in force on this node."""
    state.entry = msgspec.structs.replace(state.entry, revision=revision)
    state.view.put_revision(state.entry)


def set_rate_slot(
    state: MembershipState,
    slot: int | None,
    now: Millis,
) -> None:
    """Publish the rate slot that this node holds."""
    if state.entry.rate_slot != slot:
        update_local_entry(state, now, rate_slot=slot)


def add_seeds(state: MembershipState, addresses: Iterable[str]) -> None:
    """Add initial contacts, such as those read from the platform."""
    state.seeds |= set(addresses) - {state.entry.address}


def is_current(state: MembershipState) -> bool:
    """Return whether the view was confirmed since the last start or pause."""
    return state.is_current


def is_available(state: MembershipState, domain: DomainId) -> bool:
    """Return whether a failure domain can be reached from this node."""
    domain_view = state.view.domains.get(domain)
    return domain_view is not None and domain_view.available


def domains(state: MembershipState) -> list[DomainId]:
    """Return the known failure domains, sorted."""
    return sorted(state.view.domains)


def alive(state: MembershipState) -> list[NodeId]:
    """Return the sorted ids of all available members.

    Only the local node is available until the view is confirmed.
    """
    available: list[NodeId] = []
    for domain in state.view.domains:
        available.extend(alive_in(state, domain))
    return sorted(available)


def alive_in(state: MembershipState, domain: DomainId) -> list[NodeId]:
    """Return the sorted ids of the available members of a domain."""
    return [
        node
        for node in state.view.members(domain)
        if _is_reachable(state, node, domain)
    ]


def lowest_alive(
    state: MembershipState,
    domain: DomainId,
) -> NodeId | None:
    """Return the lowest available node id of a domain.

    The result is None until the view is confirmed, so that a node that was
    paused does not act for its failure domain.
    """
    if not state.is_current:
        return None
    for node in state.view.members(domain):
        if _is_reachable(state, node, domain):
            return node
    return None


def entry_of(state: MembershipState, node: NodeId) -> NodeEntry | None:
    """Return the entry of a node, dead or alive, or None if unknown."""
    return state.view.entries.get(node)


def address_of(state: MembershipState, node: NodeId) -> str:
    """Return the address of a node; a seed's id is its address."""
    entry = state.view.entries.get(node)
    return node if entry is None else entry.address


def newest_revision(state: MembershipState) -> tuple[int, NodeId]:
    """Return the highest known revision and a node that has it."""
    return state.newest_revision


def instances(state: MembershipState) -> list[Instance]:
    """Return all available instances and clear the pending changes."""
    state.pending_instance_changes.clear()
    candidates = [_instance(state, node) for node in state.view.entries]
    return [instance for instance in candidates if instance is not None]


def instance_changes(state: MembershipState) -> list[InstanceChange]:
    """Return the instance changes since the last call."""
    if not state.pending_instance_changes:
        return []
    changed = list(state.pending_instance_changes)
    state.pending_instance_changes.clear()
    return [InstanceChange(node, _instance(state, node)) for node in changed]


def _instance(state: MembershipState, node: NodeId) -> Instance | None:
    entry = state.view.entries.get(node)
    if entry is None or entry.upstream is None or not is_member(entry):
        return None
    domain = state.view.domains[entry.domain]
    if node != state.node and (
        node in state.unreachable_nodes or not domain.available
    ):
        return None
    return Instance(node, entry.domain, entry.incarnation, entry.upstream)


def _is_reachable(
    state: MembershipState,
    node: NodeId,
    domain: DomainId,
) -> bool:
    if node == state.node:
        return True
    return (
        state.is_current
        and node not in state.unreachable_nodes
        and state.view.domains[domain].available
    )


def _run_housekeeping(state: MembershipState, now: Millis) -> None:
    for name, domain in state.view.domains.items():
        if name == state.domain:
            available = now - state.last_answer_at <= ISOLATION_TIMEOUT_MS
        else:
            available = domain.misses < MISSES_UNTIL_UNREACHABLE
        if available != domain.available:
            domain.available = available
            state.pending_instance_changes.update(dict.fromkeys(domain.members))
    upstream = state.entry.upstream
    if (
        upstream is not None
        and now - state.last_announcement_at > ANNOUNCEMENT_TIMEOUT_MS
    ):
        update_local_entry(state, now, upstream=None)
    if not state.is_current and now >= state.confirm_deadline:
        # No node has answered in time: continue without confirmation.
        state.is_current = True
    _purge_tombstones(state, now)


def _purge_tombstones(state: MembershipState, now: Millis) -> None:
    while state.tombstones:
        node, expires_at = next(iter(state.tombstones.items()))
        if now < expires_at:
            return
        state.tombstones.pop(node)
        state.view.remove(node)
