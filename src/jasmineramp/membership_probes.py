"""Ping other nodes, detect missing acks and answer pings."""

from functools import singledispatch

import msgspec

from jasmineramp.clock import Millis
from jasmineramp.effects import Effect, SendMessage
from jasmineramp.ids import NodeId
from jasmineramp.membership_messages import (
    Ack,
    DomainDigest,
    Entries,
    EntryRequest,
    MembershipMessage,
    MemberStatus,
    Ping,
    PingRequest,
)
from jasmineramp.membership_pings import (
    ack,
    check_domains,
    ping,
    ping_domain,
    ping_unavailable,
    record_answer,
    record_missing_answer,
)
from jasmineramp.membership_state import (
    MembershipState,
    Probe,
    ProbeKind,
    enqueue,
    is_connected,
    mark_reachable,
    mark_unreachable,
    merge,
    record_result,
    replace_entry,
)
from jasmineramp.membership_sync import (
    answer_digest,
    answer_request,
    differing_domains,
    receive_entries,
    start_sync,
)
from jasmineramp.membership_view import is_member

PING_INTERVAL_MS = 500
# Confirms the view of a node sooner after a start or a pause.
CONFIRM_PING_INTERVAL_MS = 200
DOMAIN_PING_INTERVAL_MS = 1_000
DIRECT_ACK_TIMEOUT_MS = 400
PROBE_TIMEOUT_MS = 1_000
INDIRECT_PINGS = 2
ROUNDS_PER_CONTACT_PING = 10


def run_timers(state: MembershipState, now: Millis) -> list[Effect]:
    """Send due pings and handle timeouts of pings and suspicions."""
    effects: list[Effect] = []
    if now >= state.next_ping_at:
        interval = (
            PING_INTERVAL_MS if state.is_current else CONFIRM_PING_INTERVAL_MS
        )
        state.next_ping_at = now + interval
        effects.extend(_ping_members(state, now))
    if now >= state.next_domain_ping_at:
        state.next_domain_ping_at = now + DOMAIN_PING_INTERVAL_MS
        effects.extend(ping_domain(state, now))
        effects.extend(ping_unavailable(state, now))
    if state.probes:
        effects.extend(_expire_probes(state, now))
    if state.suspicion_deadlines:
        effects.extend(_expire_suspicions(state, now))
    return effects


@singledispatch
def handle(
    message: MembershipMessage,
    state: MembershipState,
    sender: NodeId,
    now: Millis,
) -> list[Effect]:
    """Dispatch a message by its type."""
    raise NotImplementedError(type(message))


@handle.register
def _handle_ping(
    message: Ping,
    state: MembershipState,
    sender: NodeId,
    now: Millis,
) -> list[Effect]:
    if message.target not in {'', state.node}:
        # The ping is meant for the previous node at this address.
        return []
    effects = merge(state, (message.entry, *message.changes), now)
    peer = message.entry.node
    record_answer(state, message.entry)
    effects.extend(check_domains(state, message, now))
    answer = ack(state, peer, message.sequence, message.digest)
    return [*effects, SendMessage(peer, answer)]


@handle.register
def _handle_ack(
    message: Ack,
    state: MembershipState,
    sender: NodeId,
    now: Millis,
) -> list[Effect]:
    effects = merge(state, (message.entry, *message.changes), now)
    peer = message.entry.node
    differing = differing_domains(state, message.domain_digests)
    probe = state.probes.pop(message.sequence, None)
    if probe is None:
        return effects
    state.last_answer_at = now
    record_answer(state, message.entry)
    effects.extend(check_domains(state, message, now))
    if probe.kind is not ProbeKind.contact:
        record_result(state, message.target, now, answered=True)
    if probe.relay is not None:
        requester, sequence = probe.relay
        answer = ack(
            state,
            requester,
            sequence,
            state.digest(),
            message.target,
        )
        effects.append(SendMessage(requester, answer))
    if state.unreachable_nodes and is_connected(state, now):
        # The local node is connected again.
        for member in list(state.unreachable_nodes):
            mark_reachable(state, member)
    # A relayed ack does not prove that the target received the revision.
    if peer == _lowest_member(state):
        state.reported = (peer, probe.revision)
    if differing:
        effects.extend(start_sync(state, peer, differing, now))
    elif message.domain_digests or message.digest == state.view.digest:
        state.is_current = True
    return effects


@handle.register
def _handle_ping_request(
    message: PingRequest,
    state: MembershipState,
    sender: NodeId,
    now: Millis,
) -> list[Effect]:
    effects = merge(state, (message.entry,), now)
    relayed = ping(state, message.target, ProbeKind.relay, now)
    relay = (message.entry.node, message.sequence)
    state.probes[state.sequence].relay = relay
    return [*effects, relayed]


@handle.register
def _handle_digest(
    message: DomainDigest,
    state: MembershipState,
    sender: NodeId,
    now: Millis,
) -> list[Effect]:
    return answer_digest(state, sender, message)


@handle.register
def _handle_request(
    message: EntryRequest,
    state: MembershipState,
    sender: NodeId,
    now: Millis,
) -> list[Effect]:
    return answer_request(state, sender, message)


@handle.register
def _handle_entries(
    message: Entries,
    state: MembershipState,
    sender: NodeId,
    now: Millis,
) -> list[Effect]:
    return receive_entries(state, sender, message, now)


def _ping_members(state: MembershipState, now: Millis) -> list[Effect]:
    state.ping_rounds += 1
    targets = []
    member = _next_member(state)
    if member is not None:
        targets.append(member)
    # The lowest member collects revisions; report a new one directly.
    lowest = _lowest_member(state)
    report = (lowest, state.entry.revision)
    if lowest not in {state.node, member} and state.reported != report:
        targets.append(lowest)
    effects: list[Effect] = [
        ping(state, target, ProbeKind.member, now) for target in targets
    ]
    if not targets or state.ping_rounds % ROUNDS_PER_CONTACT_PING == 0:
        contact = _choose_contact(state)
        if contact is not None:
            effects.append(ping(state, contact, ProbeKind.contact, now))
    return effects


def _lowest_member(state: MembershipState) -> NodeId:
    for node in state.view.members(state.domain):
        if node not in state.unreachable_nodes:
            return node
    return state.node


def _next_member(state: MembershipState) -> NodeId | None:
    members = state.view.members(state.domain)
    if not state.remaining_members:
        state.remaining_members = [
            node for node in members if node != state.node
        ]
        state.random.shuffle(state.remaining_members)
    while state.remaining_members:
        node = state.remaining_members.pop()
        if is_member(state.view.entries[node]):
            return node
    return None


def _choose_contact(state: MembershipState) -> NodeId | None:
    # Reconnects to members that were declared dead during a partition and to
    # nodes that restarted at their address while no seed was running.
    if not state.remaining_contacts:
        entries = state.view.entries
        known_addresses = {each.address for each in entries.values()}
        state.remaining_contacts.extend(state.tombstones)
        state.remaining_contacts.extend(
            map(NodeId, sorted(state.seeds - known_addresses))
        )
        state.random.shuffle(state.remaining_contacts)
    return state.remaining_contacts.pop() if state.remaining_contacts else None


def _expire_probes(state: MembershipState, now: Millis) -> list[Effect]:
    effects: list[Effect] = []
    for sequence, probe in list(state.probes.items()):
        waited = now - probe.sent_at
        if waited >= PROBE_TIMEOUT_MS:
            state.probes.pop(sequence)
            effects.extend(_handle_missing_ack(state, probe, now))
        elif waited >= DIRECT_ACK_TIMEOUT_MS and not probe.indirect_requested:
            probe.indirect_requested = True
            if probe.kind is ProbeKind.member:
                effects.extend(_request_indirect_pings(state, sequence, probe))
    return effects


def _request_indirect_pings(
    state: MembershipState,
    sequence: int,
    probe: Probe,
) -> list[Effect]:
    relays = [
        node
        for node in state.view.members(state.domain)
        if node not in {state.node, probe.target}
    ]
    count = min(INDIRECT_PINGS, len(relays))
    request = PingRequest(probe.target, sequence, state.entry)
    return [
        SendMessage(relay, request)
        for relay in state.random.sample(relays, count)
    ]


def _handle_missing_ack(
    state: MembershipState,
    probe: Probe,
    now: Millis,
) -> list[Effect]:
    entry = state.view.entries.get(probe.target)
    if entry is None or not is_member(entry):
        return []
    if probe.kind is ProbeKind.domain:
        return record_missing_answer(state, probe.target, now)
    if probe.kind is not ProbeKind.member:
        return []
    record_result(state, probe.target, now, answered=False)
    if not is_connected(state, now):
        mark_unreachable(state, probe.target)
        return []
    if entry.status is not MemberStatus.alive:
        return []
    suspected = msgspec.structs.replace(entry, status=MemberStatus.suspect)
    effects = replace_entry(state, entry, suspected, now)
    enqueue(state, probe.target)
    # Ping the suspect, so that it can refute before it is declared dead.
    return [*effects, ping(state, probe.target, ProbeKind.contact, now)]


def _expire_suspicions(state: MembershipState, now: Millis) -> list[Effect]:
    effects: list[Effect] = []
    for node, deadline in list(state.suspicion_deadlines.items()):
        if now < deadline:
            continue
        entry = state.view.entries[node]
        if is_connected(state, now):
            dead = msgspec.structs.replace(entry, status=MemberStatus.dead)
            effects.extend(replace_entry(state, entry, dead, now))
            enqueue(state, node)
        elif node not in state.unreachable_nodes:
            mark_unreachable(state, node)
    return effects
