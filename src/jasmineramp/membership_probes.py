"""Ping other nodes, judge missing answers and answer pings."""

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
    miss_domain,
    note_answer,
    ping,
    ping_domain,
    ping_unavailable,
)
from jasmineramp.membership_state import (
    MembershipState,
    Probe,
    ProbeKind,
    enqueue,
    hold,
    is_connected,
    merge,
    record_result,
    release,
    replace_entry,
)
from jasmineramp.membership_sync import (
    answer_digest,
    answer_request,
    compare_marks,
    start_sync,
    take_entries,
)
from jasmineramp.membership_view import is_member

PING_MS = 500
# Confirms the view of a node that starts or wakes up quickly.
CONFIRM_PING_MS = 200
DOMAIN_PING_MS = 1_000
DIRECT_MS = 400
PROBE_MS = 1_000
INDIRECT_PINGS = 2
CONTACT_ROUNDS = 10


def run_timers(state: MembershipState, now: Millis) -> list[Effect]:
    """Send due pings and judge pings without an answer."""
    effects: list[Effect] = []
    if now >= state.ping_at:
        pause = PING_MS if state.is_current else CONFIRM_PING_MS
        state.ping_at = now + pause
        effects.extend(_ping_members(state, now))
    if now >= state.domain_ping_at:
        state.domain_ping_at = now + DOMAIN_PING_MS
        effects.extend(ping_domain(state, now))
        effects.extend(ping_unavailable(state, now))
    if state.probes:
        effects.extend(_judge_probes(state, now))
    if state.suspects:
        effects.extend(_judge_suspects(state, now))
    return effects


@singledispatch
def handle(
    message: MembershipMessage,
    state: MembershipState,
    sender: NodeId,
    now: Millis,
) -> list[Effect]:
    """React to a message by its type."""
    raise NotImplementedError(type(message))


@handle.register
def _handle_ping(
    message: Ping,
    state: MembershipState,
    sender: NodeId,
    now: Millis,
) -> list[Effect]:
    if message.target not in {'', state.node}:
        # The address belonged to another node before.
        return []
    effects = merge(state, (message.entry, *message.changes), now)
    peer = message.entry.node
    note_answer(state, message.entry)
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
    differing = compare_marks(state, message.marks)
    probe = state.probes.pop(message.sequence, None)
    if probe is None:
        return effects
    state.answered_at = now
    note_answer(state, message.entry)
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
    if state.held and is_connected(state, now):
        # The node was cut off and is not any more.
        for held in list(state.held):
            release(state, held)
    # An ack passed on by a helper does not mean that the target has heard.
    if peer == _lowest(state):
        state.reported = (peer, probe.revision)
    if differing:
        effects.extend(start_sync(state, peer, differing, now))
    elif message.marks or message.digest == state.view.digest:
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
    return take_entries(state, sender, message, now)


def _ping_members(state: MembershipState, now: Millis) -> list[Effect]:
    state.rounds += 1
    targets = []
    member = _next_member(state)
    if member is not None:
        targets.append(member)
    # The lowest member gathers revisions; it hears of a new one directly.
    lowest = _lowest(state)
    report = (lowest, state.entry.revision)
    if lowest not in {state.node, member} and state.reported != report:
        targets.append(lowest)
    effects: list[Effect] = [
        ping(state, target, ProbeKind.member, now) for target in targets
    ]
    if not targets or state.rounds % CONTACT_ROUNDS == 0:
        contact = _choose_contact(state)
        if contact is not None:
            effects.append(ping(state, contact, ProbeKind.contact, now))
    return effects


def _lowest(state: MembershipState) -> NodeId:
    for node in state.view.members(state.domain):
        if node not in state.held:
            return node
    return state.node


def _next_member(state: MembershipState) -> NodeId | None:
    members = state.view.members(state.domain)
    if not state.ring:
        state.ring = [node for node in members if node != state.node]
        state.random.shuffle(state.ring)
    while state.ring:
        node = state.ring.pop()
        if is_member(state.view.entries[node]):
            return node
    return None


def _choose_contact(state: MembershipState) -> NodeId | None:
    # Finds members that were declared dead while they were cut off and
    # nodes that returned at their address while no seed was running.
    if not state.contact_ring:
        entries = state.view.entries
        known = {each.address for each in entries.values()}
        state.contact_ring.extend(state.tombstones)
        state.contact_ring.extend(map(NodeId, sorted(state.seeds - known)))
        state.random.shuffle(state.contact_ring)
    return state.contact_ring.pop() if state.contact_ring else None


def _judge_probes(state: MembershipState, now: Millis) -> list[Effect]:
    effects: list[Effect] = []
    for sequence, probe in list(state.probes.items()):
        waited = now - probe.sent_at
        if waited >= PROBE_MS:
            state.probes.pop(sequence)
            effects.extend(_judge_probe(state, probe, now))
        elif waited >= DIRECT_MS and not probe.asked:
            probe.asked = True
            if probe.kind is ProbeKind.member:
                effects.extend(_ask_helpers(state, sequence, probe))
    return effects


def _ask_helpers(
    state: MembershipState,
    sequence: int,
    probe: Probe,
) -> list[Effect]:
    helpers = [
        node
        for node in state.view.members(state.domain)
        if node not in {state.node, probe.target}
    ]
    count = min(INDIRECT_PINGS, len(helpers))
    request = PingRequest(probe.target, sequence, state.entry)
    return [
        SendMessage(helper, request)
        for helper in state.random.sample(helpers, count)
    ]


def _judge_probe(
    state: MembershipState,
    probe: Probe,
    now: Millis,
) -> list[Effect]:
    entry = state.view.entries.get(probe.target)
    if entry is None or not is_member(entry):
        return []
    if probe.kind is ProbeKind.domain:
        return miss_domain(state, probe.target, now)
    if probe.kind is not ProbeKind.member:
        return []
    record_result(state, probe.target, now, answered=False)
    if not is_connected(state, now):
        hold(state, probe.target)
        return []
    if entry.status is not MemberStatus.alive:
        return []
    suspected = msgspec.structs.replace(entry, status=MemberStatus.suspect)
    effects = replace_entry(state, entry, suspected, now)
    enqueue(state, probe.target)
    # The suspect must hear of the suspicion before it is declared dead.
    return [*effects, ping(state, probe.target, ProbeKind.contact, now)]


def _judge_suspects(state: MembershipState, now: Millis) -> list[Effect]:
    effects: list[Effect] = []
    for node, until in list(state.suspects.items()):
        if now < until:
            continue
        entry = state.view.entries[node]
        if is_connected(state, now):
            dead = msgspec.structs.replace(entry, status=MemberStatus.dead)
            effects.extend(replace_entry(state, entry, dead, now))
            enqueue(state, node)
        elif node not in state.held:
            hold(state, node)
    return effects
