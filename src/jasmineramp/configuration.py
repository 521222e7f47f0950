"""Put the newest table in force on a node and distribute it.

The two members with the lowest ids watch the platform. Other nodes get a
table in three messages: an offer of a revision, a request and a copy. Each
change travels along a tree over the sorted members. Periodic offers to a
random member reach nodes missed because of lost messages or differing views.
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
    admit_copy_request,
    compress_body,
    decompress_body,
    drop_superseded_rates,
    is_watcher,
    jittered_time,
    make_offer,
    record_contact,
    should_request_copy,
    store_rates,
)
from jasmineramp.configuration_watch import end_watch, watch
from jasmineramp.effects import Effect, EventKind, RecordEvent, SendMessage
from jasmineramp.exceptions import TableError
from jasmineramp.ids import NodeId, Revision
from jasmineramp.messages import Message
from jasmineramp.store_messages import Role, StoreAnswered
from jasmineramp.table_files import decode_table, encode_table

# Avoids a copy between failure domains if a local member has it as well.
REMOTE_REQUEST_DELAY_MS = 100
# The interval of repeated acknowledgements and reports doubles from the
# initial one to the maximum.
INITIAL_REPEAT_INTERVAL_MS = 250
# Repeats never stop: a collector that restarted under the same id has lost
# the acknowledgements.
MAX_REPEAT_INTERVAL_MS = 5_000


def adopt(
    state: ConfigurationState,
    revision: Revision,
    body: bytes,
    members: Members,
    now: Millis,
) -> list[Effect]:
    """Put a revision in force if it is newer than the one in force.

    A revision whose body can't be decoded is rejected for good.
    """
    if revision <= state.revision or revision in state.rejected:
        return []
    try:
        table = decode_table(body)
    except TableError as error:
        state.rejected.add(revision)
        state.newest_offered = state.revision
        fields = {'revision': revision, 'error': str(error)}
        return [RecordEvent(EventKind.configuration_rejected, fields)]
    store_rates(state, revision, table)
    state.revision = revision
    state.table = table
    state.body = body
    state.compressed_body = b''
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
    """Return the watch, offers, requests and acknowledgements that are due."""
    effects: list[Effect] = []
    if state.has_platform and is_watcher(state, members):
        effects += watch(state, now)
    if state.next_request_at is not None and now >= state.next_request_at:
        _clear_request(state)
        state.next_offer_at = now
    if state.offerers and state.next_request_at is None:
        effects += _request_copy(state, members, now)
    if now >= state.next_offer_at:
        effects += offer_periodically(state, members, now)
    if _is_acknowledgement_due(state, members, now):
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
    """Handle a configuration message; ignore all others."""
    return _receive(message, state, sender, members, now)


def answered(
    state: ConfigurationState,
    event: StoreAnswered,
    members: Members,
    now: Millis,
) -> list[Effect]:
    """Handle the answer to a configuration store request."""
    if event.role is Role.acknowledgement:
        acknowledgements.handle_store_answer(state.acknowledgements, event, now)
        return []
    if event.role is not Role.configuration or state.watch_sent_at is None:
        return []
    end_watch(state, event.answer, state.watch_sent_at, now)
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
    # Only an echo of the latest query of this process is valid.
    query_time = state.last_query_at
    age = message.contact_age
    if (
        query_time is not None
        and message.echo == query_time
        and age is not None
    ):
        record_contact(state, later(query_time, -age))
    effects: list[Effect] = []
    if should_request_copy(state, message.revision, message.accepted):
        state.offerers[sender] = message.revision
        state.newest_offered = max(state.newest_offered, message.revision)
        if sender not in members.alive:
            # A local member probably offers the same within milliseconds.
            if state.next_request_at is None:
                state.next_request_at = later(now, REMOTE_REQUEST_DELAY_MS)
        elif not state.is_request_pending:
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
    if not admit_copy_request(state, message, now):
        return []
    body = compress_body(state) if message.revision < state.revision else b''
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
    _clear_request(state)
    effects: list[Effect] = []
    body = decompress_body(message.body)
    if body and message.revision > state.revision:
        effects = adopt(state, message.revision, body, members, now)
        if state.revision == message.revision:
            state.compressed_body = message.body
    if message.accepted_body and message.accepted > state.accepted:
        try:
            store_rates(
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
        if should_request_copy(state, revision, state.accepted)
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
    acknowledgements.record_acknowledgement(
        state.acknowledgements, sender, message.revisions
    )
    return []


@_receive.register
def _receive_report(
    message: DomainAcknowledgement,
    state: ConfigurationState,
    sender: NodeId,
    members: Members,
    now: Millis,
) -> list[Effect]:
    acknowledgements.record_domain_report(state.acknowledgements, message)
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
    nodes = [
        node for node, offered in state.offerers.items() if offered == newest
    ]
    local_nodes = [node for node in nodes if node in members.alive]
    node = state.random.choice(local_nodes or nodes)
    # A request after a timeout goes to another node.
    state.offerers.pop(node)
    state.is_request_pending = True
    state.next_request_at = later(now, REQUEST_TIMEOUT_MS)
    return [SendMessage(node, CopyRequest(state.revision, state.accepted))]


def _clear_request(state: ConfigurationState) -> None:
    state.is_request_pending = False
    state.next_request_at = None


def _accept(
    state: ConfigurationState,
    accepted: Revision,
    members: Members,
    now: Millis,
) -> list[Effect]:
    if accepted <= state.accepted or accepted not in state.rate_tables:
        return []
    state.accepted = accepted
    drop_superseded_rates(state)
    if accepted == state.revision:
        state.acknowledgement_interval_ms = MAX_REPEAT_INTERVAL_MS
        state.next_acknowledgement_at = jittered_time(
            state, now, MAX_REPEAT_INTERVAL_MS
        )
    return [
        RecordEvent(EventKind.configuration_accepted, {'revision': accepted}),
        *offer_to_neighbours(state, members, now),
    ]


def _is_acknowledgement_due(
    state: ConfigurationState,
    members: Members,
    now: Millis,
) -> bool:
    current = (members.alive[0], state.revision)
    return (
        state.last_acknowledgement != current
        or now >= state.next_acknowledgement_at
    )


def _acknowledge(
    state: ConfigurationState,
    members: Members,
    now: Millis,
) -> list[Effect]:
    collector = members.alive[0]
    current = (collector, state.revision)
    if state.last_acknowledgement != current:
        state.acknowledgement_interval_ms = INITIAL_REPEAT_INTERVAL_MS
    state.next_acknowledgement_at = jittered_time(
        state, now, state.acknowledgement_interval_ms
    )
    state.acknowledgement_interval_ms = min(
        MAX_REPEAT_INTERVAL_MS,
        state.acknowledgement_interval_ms * 2,
    )
    state.last_acknowledgement = current
    revisions = tuple(state.rate_tables)
    if collector == state.node:
        acknowledgements.record_acknowledgement(
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
    collected = state.acknowledgements
    previous = collected.by_domain.get(collected.domain)
    report = acknowledgements.summarize(
        collected,
        members.alive,
        members.contacts,
    )
    effects: list[Effect] = []
    if report != previous or now >= state.next_report_at:
        if report != previous:
            state.report_interval_ms = INITIAL_REPEAT_INTERVAL_MS
        state.next_report_at = jittered_time(
            state, now, state.report_interval_ms
        )
        state.report_interval_ms = min(
            MAX_REPEAT_INTERVAL_MS,
            state.report_interval_ms * 2,
        )
        effects += [
            SendMessage(node, report)
            for _, node in sorted(members.contacts.items())
        ]
    accepted = acknowledgements.accepted_revision(collected)
    effects += _accept(state, accepted, members, now)
    if not state.has_platform:
        return effects
    return effects + acknowledgements.write_records(
        collected,
        state.node,
        members.alive,
        state.revision,
        now,
    )
