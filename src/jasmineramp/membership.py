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
from jasmineramp.membership_pings import MISSES_UNTIL_UNREACHABLE, spread
from jasmineramp.membership_probes import handle, run_timers
from jasmineramp.membership_state import (
    MembershipState,
    notice_pause,
    replace_own,
)
from jasmineramp.membership_view import is_member

HOUSEKEEPING_MS = 250
ISOLATED_MS = 5_000
ANNOUNCEMENT_MS = 3_000


class InstanceChange(msgspec.Struct, frozen=True):
    """Report an instance that appeared, changed or became unavailable."""

    node: NodeId
    instance: Instance | None


def tick(state: MembershipState, now: Millis) -> list[Effect]:
    """Send due pings and let timers expire; call every 50 ms."""
    notice_pause(state, now)
    state.ticked_at = now
    effects = run_timers(state, now)
    if now >= state.housekeeping_at:
        state.housekeeping_at = now + HOUSEKEEPING_MS
        _keep_house(state, now)
    return effects


def receive(
    state: MembershipState,
    sender: NodeId,
    message: MembershipMessage,
    now: Millis,
) -> list[Effect]:
    """React to a message from another node."""
    # A message may be handled before the first tick after a pause.
    notice_pause(state, now)
    return handle(message, state, sender, now)


def announce(
    state: MembershipState,
    upstream: Upstream,
    now: Millis,
) -> list[Effect]:
    """Take over an announcement of the own upstream."""
    state.announced_at = now
    if state.entry.upstream == upstream:
        return []
    replace_own(state, now, upstream=upstream)
    if upstream.state is UpstreamState.draining:
        return spread(state)
    return []


def leave(state: MembershipState, now: Millis) -> list[Effect]:
    """Tell the others that this node stops; it must not be used after."""
    replace_own(state, now, status=MemberStatus.left, upstream=None)
    return spread(state)


def set_revision(state: MembershipState, revision: Revision) -> None:
    """Publish the configuration revision that is in force on this node."""
    state.entry = msgspec.structs.replace(state.entry, revision=revision)
    state.view.put_revision(state.entry)


def set_rate_slot(
    state: MembershipState,
    slot: int | None,
    now: Millis,
) -> None:
    """Publish the rate slot that this node holds."""
    if state.entry.rate_slot != slot:
        replace_own(state, now, rate_slot=slot)


def add_seeds(state: MembershipState, addresses: Iterable[str]) -> None:
    """Add initial contacts, such as those read from the platform."""
    state.seeds |= set(addresses) - {state.entry.address}


def is_current(state: MembershipState) -> bool:
    """Tell whether the view has been confirmed since start or pause."""
    return state.is_current


def is_available(state: MembershipState, domain: DomainId) -> bool:
    """Tell whether a failure domain can be reached from this node."""
    found = state.view.domains.get(domain)
    return found is not None and found.available


def domains(state: MembershipState) -> list[DomainId]:
    """Return the known failure domains, sorted."""
    return sorted(state.view.domains)


def alive(state: MembershipState) -> list[NodeId]:
    """Return the sorted ids of all available members.

    Only the own node is available until the view has been confirmed.
    """
    found: list[NodeId] = []
    for domain in state.view.domains:
        found.extend(alive_in(state, domain))
    return sorted(found)


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
    """Return the lowest available id of a domain.

    None is returned until the view has been confirmed, so that a node that
    was paused does not act for its failure domain.
    """
    if not state.is_current:
        return None
    for node in state.view.members(domain):
        if _is_reachable(state, node, domain):
            return node
    return None


def entry_of(state: MembershipState, node: NodeId) -> NodeEntry | None:
    """Return the entry of a node, also of a dead one."""
    return state.view.entries.get(node)


def address_of(state: MembershipState, node: NodeId) -> str:
    """Return the address of a node; a seed's id is its address."""
    entry = state.view.entries.get(node)
    return node if entry is None else entry.address


def newest_revision(state: MembershipState) -> tuple[int, NodeId]:
    """Return the highest revision heard of and a node that has it."""
    return state.newest_revision


def instances(state: MembershipState) -> list[Instance]:
    """Return all available instances and forget the pending changes."""
    state.changed_instances.clear()
    found = [_instance(state, node) for node in state.view.entries]
    return [instance for instance in found if instance is not None]


def instance_changes(state: MembershipState) -> list[InstanceChange]:
    """Return the changes of instances since the last call."""
    if not state.changed_instances:
        return []
    changed = list(state.changed_instances)
    state.changed_instances.clear()
    return [InstanceChange(node, _instance(state, node)) for node in changed]


def _instance(state: MembershipState, node: NodeId) -> Instance | None:
    entry = state.view.entries.get(node)
    if entry is None or entry.upstream is None or not is_member(entry):
        return None
    domain = state.view.domains[entry.domain]
    if node != state.node and (node in state.held or not domain.available):
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
        and node not in state.held
        and state.view.domains[domain].available
    )


def _keep_house(state: MembershipState, now: Millis) -> None:
    for name, domain in state.view.domains.items():
        if name == state.domain:
            available = now - state.answered_at <= ISOLATED_MS
        else:
            available = domain.misses < MISSES_UNTIL_UNREACHABLE
        if available != domain.available:
            domain.available = available
            state.changed_instances.update(dict.fromkeys(domain.members))
    upstream = state.entry.upstream
    if upstream is not None and now - state.announced_at > ANNOUNCEMENT_MS:
        replace_own(state, now, upstream=None)
    if not state.is_current and now >= state.confirm_until:
        # Nobody has answered: the node serves what it can on its own.
        state.is_current = True
    _purge_tombstones(state, now)


def _purge_tombstones(state: MembershipState, now: Millis) -> None:
    while state.tombstones:
        node, until = next(iter(state.tombstones.items()))
        if now < until:
            return
        state.tombstones.pop(node)
        state.view.forget(node)
