"""Propagate state changes between the policies of a node."""

from jasmineramp import (
    configuration,
    exchange,
    hops,
    idempotency,
    membership,
    rate_slots,
    rates,
    routing,
)
from jasmineramp.authentication import KeyRing
from jasmineramp.call_messages import TableLoaded
from jasmineramp.clock import Millis, later
from jasmineramp.configuration_state import make_members
from jasmineramp.effects import Effect, EventKind, RecordEvent
from jasmineramp.exchange import RateMember
from jasmineramp.ids import DomainId, NodeId, Revision
from jasmineramp.rate_buckets import NEVER
from jasmineramp.rate_slots import RateSlotState, SlotSettings
from jasmineramp.rates import SlotLease, rate_table
from jasmineramp.state import NodeState
from jasmineramp.table import CallIndex, Table

REFRESH_MS = 200
# Within this time, gossip informs the nodes that send calls of the stop.
STOP_GRACE_MS = 2000


def refresh(state: NodeState, now: Millis) -> list[Effect]:
    """Inform the policies of the current nodes and instances."""
    for change in membership.instance_changes(state.membership):
        if change.instance is None:
            routing.remove_instance(state.routing, change.node)
        else:
            routing.put_instance(state.routing, change.instance, now)
    if now < state.refresh_at:
        return []
    state.refresh_at = later(now, REFRESH_MS)
    by_domain = {
        domain: membership.alive_in(state.membership, domain)
        for domain in membership.domains(state.membership)
    }
    contacts = {
        domain: nodes[0]
        for domain, nodes in by_domain.items()
        if nodes and domain != state.domain
    }
    local_nodes = by_domain.get(state.domain, [])
    members = make_members(state.node, local_nodes, contacts)
    if members != state.members:
        state.members = members
    return _refresh_shared(state, by_domain, now)


def _refresh_shared(
    state: NodeState,
    by_domain: dict[DomainId, list[NodeId]],
    now: Millis,
) -> list[Effect]:
    alive = {
        node: domain for domain, nodes in by_domain.items() for node in nodes
    }
    if alive == state.alive:
        return []
    state.alive = alive
    exchange.set_members(
        state.exchange,
        [
            RateMember(node, domain, _rate_slot(state, node))
            for node, domain in alive.items()
        ],
    )
    rates.set_exchange(
        state.rates,
        exchange.exchange_of(state.exchange, state.domain),
    )
    return idempotency.set_members(state.claims, alive, now)


def _rate_slot(state: NodeState, node: NodeId) -> int | None:
    entry = membership.entry_of(state.membership, node)
    return None if entry is None else entry.rate_slot


def load_table(
    state: NodeState,
    event: TableLoaded,
    now: Millis,
) -> list[Effect]:
    """Put a table from a file in force, with a rate slot that never expires."""
    lease = SlotLease(event.rate_slot, NEVER, fresh=True)
    rates.set_slot(state.rates, lease, now)
    membership.set_rate_slot(state.membership, event.rate_slot, now)
    effects = configuration.adopt(
        state.configuration,
        event.revision,
        event.body,
        state.members,
        now,
    )
    return effects + adopt_table(state, now)


def adopt_table(state: NodeState, now: Millis) -> list[Effect]:
    """Inform the policies of a new or newly accepted table."""
    effects: list[Effect] = []
    table = state.configuration.table
    revision = state.configuration.revision
    if table is not None and revision != state.table_revision:
        state.table_revision = revision
        previous_keys = state.keys
        state.keys = KeyRing(table)
        state.call_index = CallIndex(table.calls)
        state.workspace_rows = {row.name: row for row in table.workspaces}
        limits = rate_table(table, revision)
        rates.set_limits(state.rates, limits, now)
        exchange.set_table(state.exchange, limits)
        membership.set_revision(state.membership, revision)
        current_keys = state.keys.workspaces
        withdrawn = [
            key
            for key, workspace in previous_keys.workspaces.items()
            if current_keys.get(key) != workspace
        ]
        effects += _set_slots(state, table, now)
        effects += hops.withdraw_keys(state, frozenset(withdrawn), now)
    accepted = state.configuration.accepted
    if accepted != state.accepted_revision:
        state.accepted_revision = accepted
        _accept_rates(state, accepted, now)
    return effects


def _accept_rates(state: NodeState, accepted: Revision, now: Millis) -> None:
    if any(table.revision == accepted for table in state.rates.tables):
        rates.accept_limits(state.rates, accepted, now)
        return
    tables_by_revision = state.configuration.rate_tables
    if accepted in tables_by_revision:
        tables = [
            rate_table(tables_by_revision[revision], revision)
            for revision in sorted(tables_by_revision)
            if revision >= accepted
        ]
        rates.restore_limits(state.rates, tables, now)


def refresh_slot(state: NodeState, now: Millis) -> list[Effect]:
    """Acquire or renew the rate slot and publish its use.

    A stopping node releases its slot once its loans have ended, because the
    next holder uses the whole share at once.
    """
    slots = state.slots
    if slots is None:
        return []
    effects = rate_slots.tick(slots, now)
    if state.stopping and not rates.has_lent(state.rates):
        effects += rate_slots.release(slots, now)
    held = rate_slots.held_slot(slots, now)
    lease = None
    if held is not None and not state.stopping:
        slot = held * len(state.domains) + state.domains.index(state.domain)
        lease = SlotLease(slot, slots.valid_until, slots.fresh)
    if lease != state.rates.lease:
        rates.set_slot(state.rates, lease, now)
        slot_number = None if lease is None else lease.slot
        membership.set_rate_slot(state.membership, slot_number, now)
    return effects


def _set_slots(state: NodeState, table: Table, now: Millis) -> list[Effect]:
    """Apply the number of rate slots of the local failure domain.

    Slots are assigned to the failure domains in turn, so that the number of
    a slot stays the same when an edit changes how many there are.
    """
    if not state.configuration.has_platform:
        return []
    position = state.domains.index(state.domain)
    count = max(0, table.rate_slots - position - 1)
    count = count // len(state.domains) + (table.rate_slots > position)
    if state.slots is not None:
        return rate_slots.set_slots(state.slots, count, now)
    if count:
        entry = state.membership.entry
        settings = SlotSettings(entry.address, entry.incarnation, state.domain)
        seed = state.random.getrandbits(32)
        state.slots = RateSlotState(settings, count, seed)
    return []


def stop(state: NodeState, now: Millis) -> list[Effect]:
    """Begin a graceful stop: refuse new calls and release held resources."""
    if state.stopping:
        return []
    state.stopping = True
    effects: list[Effect] = [RecordEvent(EventKind.node_stopping, {})]
    # Other nodes send calls to this one until they learn of the stop.
    # Refusing those would use up the retries of their requests.
    grace = STOP_GRACE_MS if len(state.alive) > 1 else 0
    state.refuse_hops_at = later(now, grace)
    effects += membership.leave(state.membership, now)
    effects += idempotency.stop(state.claims, now)
    return effects


def needs_ticks(state: NodeState) -> bool:
    """Return whether something waits for the next tick.

    Calls that run here or at another node end without a tick.
    """
    claims = state.claims
    return bool(
        state.parked
        or state.pending_hops
        or state.pending_charges
        or claims.candidate_partitions
        or claims.pending,
    )


def has_open_calls(state: NodeState, now: Millis) -> bool:
    """Return whether a call is open or may still be sent to the node."""
    if state.refuse_hops_at is not None and now < state.refuse_hops_at:
        return True
    return bool(state.calls or state.running or state.pending_hops)


def has_resources_to_release(state: NodeState) -> bool:
    """Return whether a slot, claim partition or outcome must be released."""
    if state.slots is not None and not rate_slots.is_stopped(state.slots):
        return True
    return not idempotency.is_settled(state.claims)
