"""Keep the newest table in force on a node and spread it.

A table comes from a platform watch of the two members with the lowest ids
or from other nodes: an offer of a revision, a request, a copy. Each change
travels along a tree over the sorted members; periodic offers to a random
member repair what lost messages or different views leave out.
"""

from functools import singledispatch

from jasmineramp import acknowledgements
from jasmineramp.clock import Millis, later
from jasmineramp.configuration_messages import (
    Acknowledgement,
    Copy,
    CopyRequest,
    DomainAcknowledgement,
    Offer,
)
from jasmineramp.configuration_offers import (
    REQUEST_TIMEOUT_MS,
    offer_periodically,
    offer_to_neighbours,
)
from jasmineramp.configuration_state import (
    ConfigurationState,
    Members,
    accepted_rates,
    drop_rates,
    due,
    is_watcher,
    keep_rates,
    lacks,
    make_offer,
    note_contact,
    pack_body,
    spend_copy,
    unpack_body,
)
from jasmineramp.configuration_watch import end_watch, watch
from jasmineramp.effects import Effect, EventKind, RecordEvent, SendMessage
from jasmineramp.exceptions import TableError
from jasmineramp.ids import NodeId, Revision
from jasmineramp.messages import Message
from jasmineramp.store_messages import Role, StoreAnswered
from jasmineramp.table_files import decode_table, encode_table

# Saves a copy between failure domains when the own one has it as well.
FAR_PATIENCE_MS = 100
# Repeats of acknowledgements and reports double up to the longest.
FIRST_REPEAT_MS = 250
# A collector that restarted under its id has lost the acknowledgements.
ACKNOWLEDGE_AGAIN_MS = 5_000


def adopt(
    state: ConfigurationState,
    revision: Revision,
    body: bytes,
    members: Members,
    now: Millis,
) -> list[Effect]:
    """Put a revision in force if it is newer than the one in force."""
    if revision <= state.revision or revision in state.rejected:
        return []
    try:
        table = decode_table(body)
    except TableError as error:
        state.rejected.add(revision)
        state.newest_offered = state.revision
        fields = {'revision': revision, 'error': str(error)}
        return [RecordEvent(EventKind.configuration_rejected, fields)]
    keep_rates(state, revision, table)
    state.revision = revision
    state.table = table
    state.body = body
    state.packed = b''
    return [
        RecordEvent(EventKind.configuration_in_force, {'revision': revision}),
        *offer_to_neighbours(state, members, now),
        *_acknowledge(state, members, now),
    ]


def tick(
    state: ConfigurationState,
    members: Members,
    now: Millis,
) -> list[Effect]:
    """Return what is due: watch, offers, requests, acknowledgements."""
    effects: list[Effect] = []
    if state.has_platform and is_watcher(state, members):
        effects += watch(state, now)
    if state.requested_until is not None and now >= state.requested_until:
        _end_request(state)
        state.next_offer = now
    if state.offerers and state.requested_until is None:
        effects += _request_copy(state, members, now)
    if now >= state.next_offer:
        effects += offer_periodically(state, members, now)
    if _needs_acknowledgement(state, members, now):
        effects += _acknowledge(state, members, now)
    if members.alive[0] == state.node:
        effects += _collect(state, members, now)
    return effects


def receive(
    state: ConfigurationState,
    sender: NodeId,
    message: Message,
    members: Members,
    now: Millis,
) -> list[Effect]:
    """React to a message of this policy; others change nothing."""
    return _receive(message, state, sender, members, now)


def answered(
    state: ConfigurationState,
    event: StoreAnswered,
    members: Members,
    now: Millis,
) -> list[Effect]:
    """React to the answer to a store request of this policy."""
    if event.role is Role.acknowledgement:
        acknowledgements.records_answered(state.acknowledgements, event, now)
        return []
    if event.role is not Role.configuration or state.watch_sent is None:
        return []
    end_watch(state, event.answer, state.watch_sent, now)
    body = event.answer.body
    revision = Revision(event.answer.revision)
    return [] if body is None else adopt(state, revision, body, members, now)


@singledispatch
def _receive(
    message: Message,
    state: ConfigurationState,
    sender: NodeId,
    members: Members,
    now: Millis,
) -> list[Effect]:
    return []


@_receive.register
def _receive_offer(
    message: Offer,
    state: ConfigurationState,
    sender: NodeId,
    members: Members,
    now: Millis,
) -> list[Effect]:
    # An echo counts only if it answers the last question of this process.
    asked = state.asked_at
    age = message.contact_age
    if asked is not None and message.echo == asked and age is not None:
        note_contact(state, later(asked, -age))
    effects: list[Effect] = []
    if lacks(state, message.revision, message.accepted):
        state.offerers[sender] = message.revision
        state.newest_offered = max(state.newest_offered, message.revision)
        if sender not in members.alive:
            # A member is likely to offer the same within milliseconds.
            if state.requested_until is None:
                state.requested_until = later(now, FAR_PATIENCE_MS)
        elif not state.has_request:
            effects += _request_copy(state, members, now)
    else:
        effects += _accept(state, message.accepted, members, now)
    is_behind = (message.revision, message.accepted) < (
        state.revision,
        state.accepted,
    )
    if is_behind or message.sent_at is not None:
        offer = make_offer(state, now, echo=message.sent_at)
        effects.append(SendMessage(sender, offer))
    return effects


@_receive.register
def _receive_request(
    message: CopyRequest,
    state: ConfigurationState,
    sender: NodeId,
    members: Members,
    now: Millis,
) -> list[Effect]:
    if not spend_copy(state, message, now):
        return []
    body = pack_body(state) if message.revision < state.revision else b''
    rates = accepted_rates(state)
    if body and state.accepted == state.revision:
        rates = None
    if rates is None or message.accepted >= state.accepted:
        copy = Copy(state.revision, body, state.accepted, b'')
    else:
        copy = Copy(state.revision, body, state.accepted, encode_table(rates))
    return [SendMessage(sender, copy)]


@_receive.register
def _receive_copy(
    message: Copy,
    state: ConfigurationState,
    sender: NodeId,
    members: Members,
    now: Millis,
) -> list[Effect]:
    _end_request(state)
    effects: list[Effect] = []
    body = unpack_body(message.body)
    if body and message.revision > state.revision:
        effects = adopt(state, message.revision, body, members, now)
        if state.revision == message.revision:
            state.packed = message.body
    if message.accepted_body and message.accepted > state.accepted:
        try:
            keep_rates(
                state,
                message.accepted,
                decode_table(message.accepted_body),
            )
        except TableError as error:
            fields = {'revision': message.accepted, 'error': str(error)}
            effects.append(
                RecordEvent(EventKind.configuration_rejected, fields),
            )
    state.offerers = {
        node: revision
        for node, revision in state.offerers.items()
        if lacks(state, revision, state.accepted)
    }
    return effects + _accept(state, message.accepted, members, now)


@_receive.register
def _receive_acknowledgement(
    message: Acknowledgement,
    state: ConfigurationState,
    sender: NodeId,
    members: Members,
    now: Millis,
) -> list[Effect]:
    acknowledgements.gather(state.acknowledgements, sender, message.revisions)
    return []


@_receive.register
def _receive_report(
    message: DomainAcknowledgement,
    state: ConfigurationState,
    sender: NodeId,
    members: Members,
    now: Millis,
) -> list[Effect]:
    acknowledgements.gather_domain(state.acknowledgements, message)
    collector = members.alive[0]
    if collector == state.node or sender in members.alive:
        return []
    return [SendMessage(collector, message)]


def _request_copy(
    state: ConfigurationState,
    members: Members,
    now: Millis,
) -> list[Effect]:
    newest = max(state.offerers.values())
    nodes = [node for node, held in state.offerers.items() if held == newest]
    near = [node for node in nodes if node in members.alive]
    node = state.random.choice(near or nodes)
    # The next timeout asks another node.
    state.offerers.pop(node)
    state.has_request = True
    state.requested_until = later(now, REQUEST_TIMEOUT_MS)
    return [SendMessage(node, CopyRequest(state.revision, state.accepted))]


def _end_request(state: ConfigurationState) -> None:
    state.has_request = False
    state.requested_until = None


def _accept(
    state: ConfigurationState,
    accepted: Revision,
    members: Members,
    now: Millis,
) -> list[Effect]:
    if accepted <= state.accepted or accepted not in state.rate_tables:
        return []
    state.accepted = accepted
    drop_rates(state)
    if accepted == state.revision:
        state.acknowledge_interval = ACKNOWLEDGE_AGAIN_MS
        state.next_acknowledgement = due(state, now, ACKNOWLEDGE_AGAIN_MS)
    return [
        RecordEvent(EventKind.configuration_accepted, {'revision': accepted}),
        *offer_to_neighbours(state, members, now),
    ]


def _needs_acknowledgement(
    state: ConfigurationState,
    members: Members,
    now: Millis,
) -> bool:
    current = (members.alive[0], state.revision)
    return state.acknowledged != current or now >= state.next_acknowledgement


def _acknowledge(
    state: ConfigurationState,
    members: Members,
    now: Millis,
) -> list[Effect]:
    collector = members.alive[0]
    current = (collector, state.revision)
    if state.acknowledged != current:
        state.acknowledge_interval = FIRST_REPEAT_MS
    state.next_acknowledgement = due(state, now, state.acknowledge_interval)
    state.acknowledge_interval = min(
        ACKNOWLEDGE_AGAIN_MS,
        state.acknowledge_interval * 2,
    )
    state.acknowledged = current
    revisions = tuple(state.rate_tables)
    if collector == state.node:
        acknowledgements.gather(
            state.acknowledgements,
            state.node,
            revisions,
        )
        return []
    return [SendMessage(collector, Acknowledgement(revisions))]


def _collect(
    state: ConfigurationState,
    members: Members,
    now: Millis,
) -> list[Effect]:
    gathered = state.acknowledgements
    before = gathered.by_domain.get(gathered.domain)
    report = acknowledgements.summarize(
        gathered,
        members.alive,
        members.contacts,
    )
    effects: list[Effect] = []
    if report != before or now >= state.next_report:
        if report != before:
            state.report_interval = FIRST_REPEAT_MS
        state.next_report = due(state, now, state.report_interval)
        state.report_interval = min(
            ACKNOWLEDGE_AGAIN_MS,
            state.report_interval * 2,
        )
        effects += [
            SendMessage(node, report)
            for _, node in sorted(members.contacts.items())
        ]
    accepted = acknowledgements.accepted_revision(gathered)
    effects += _accept(state, accepted, members, now)
    if not state.has_platform:
        return effects
    return effects + acknowledgements.write_records(
        gathered,
        state.node,
        members.alive,
        state.revision,
        now,
    )
