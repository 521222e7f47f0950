"""Hold the table of one node, its rates per revision and its contact."""

import random
import zlib
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from jasmineramp.acknowledgements import AcknowledgementState
from jasmineramp.clock import Millis, later
from jasmineramp.configuration_messages import CopyRequest, Offer
from jasmineramp.ids import DomainId, NodeId, Revision
from jasmineramp.table import Table, WorkspaceRow
from jasmineramp.table_files import MAXIMUM_VALUE_BYTES

# Bounds what one node sends when many ask at once, in bytes.
COPY_BURST_BYTES = 1_000_000
COPY_BYTES_PER_MS = 500
# More revisions than a day brings; equal rates share one table.
MAXIMUM_RATE_TABLES = 2_000
# Digests of keys, most of a large table, compress to half at any level.
COMPRESSION_LEVEL = 1
WATCHERS = 2
TREE_DEGREE = 4

START = Millis(0)
NO_REVISION = Revision(0)


class Members(msgspec.Struct, frozen=True):
    """Hold the alive members, sorted, and a contact per other domain."""

    alive: tuple[NodeId, ...]
    contacts: Mapping[DomainId, NodeId]


def make_members(
    node: NodeId,
    alive: Sequence[NodeId],
    contacts: Mapping[DomainId, NodeId],
) -> Members:
    """Return the members with the own node included, in order."""
    return Members(tuple(sorted({node, *alive})), contacts)


class ConfigurationState:
    """Hold the table of one node and what spreads it.

    Domains are the failure domains named in the settings; with
    has_platform False the node keeps the table in memory only.
    """

    def __init__(
        self,
        node: NodeId,
        domain: DomainId,
        seed: int,
        domains: Iterable[DomainId] = (),
        *,
        has_platform: bool = True,
    ) -> None:
        self.node = node
        self.random = random.Random(seed)
        self.has_platform = has_platform
        self.revision = NO_REVISION
        self.accepted = NO_REVISION
        self.table: Table | None = None
        self.body = b''
        self.packed = b''
        # The rates of each revision that was in force since the accepted
        # one: a node must stay within all of them (design, section 7.1).
        self.rate_tables: dict[Revision, Table] = {}
        self.rejected: set[Revision] = set()
        self.last_contact: Millis | None = None
        self.offerers: dict[NodeId, Revision] = {}
        self.newest_offered = NO_REVISION
        self.has_request = False
        self.requested_until: Millis | None = None
        self.asked_at: Millis | None = None
        self.next_offer = START
        self.next_acknowledgement = START
        self.acknowledged: tuple[NodeId, Revision] | None = None
        self.acknowledge_interval: float = 0
        self.next_report = START
        self.report_interval: float = 0
        self.watch_sent: Millis | None = None
        self.next_watch = START
        self.watch_failures = 0
        self.copy_budget: float = COPY_BURST_BYTES
        self.budget_time = START
        self.acknowledgements = AcknowledgementState(domain, domains)


def accepted_rates(state: ConfigurationState) -> Table | None:
    """Return the rows of the accepted revision, without keys."""
    return state.rate_tables.get(state.accepted)


def contact_age(state: ConfigurationState, now: Millis) -> float | None:
    """Return ms since the platform last answered a watcher, if ever."""
    return None if state.last_contact is None else now - state.last_contact


def serves_workspace(
    state: ConfigurationState,
    row: WorkspaceRow,
    now: Millis,
) -> bool:
    """Tell whether the keys of a workspace may still be served."""
    if row.offline_grace_ms is None or not state.has_platform:
        return True
    age = contact_age(state, now)
    return age is not None and age <= row.offline_grace_ms


def note_contact(state: ConfigurationState, time: Millis) -> None:
    """Note that the platform answered at a time on the own clock."""
    if state.last_contact is None or time > state.last_contact:
        state.last_contact = time


def is_watcher(state: ConfigurationState, members: Members) -> bool:
    """Tell whether the node is one of those that watch the platform."""
    return state.node in members.alive[:WATCHERS]


def neighbours(state: ConfigurationState, members: Members) -> list[NodeId]:
    """Return parent and children in the tree over the sorted members."""
    alive = members.alive
    index = alive.index(state.node)
    first = TREE_DEGREE * index + 1
    children = list(alive[first : first + TREE_DEGREE])
    if index:
        children.append(alive[(index - 1) // TREE_DEGREE])
    return children


def make_offer(
    state: ConfigurationState,
    now: Millis,
    *,
    asks: bool = False,
    echo: float | None = None,
) -> Offer:
    """Return an offer of the own revision; asks requests an answer."""
    return Offer(
        state.revision,
        state.accepted,
        now if asks else None,
        echo,
        contact_age(state, now),
    )


def lacks(
    state: ConfigurationState,
    revision: Revision,
    accepted: Revision,
) -> bool:
    """Tell whether a node with these revisions has something to copy."""
    if revision > state.revision and revision not in state.rejected:
        return True
    return state.accepted < accepted < state.revision and (
        accepted not in state.rate_tables
    )


def keep_rates(
    state: ConfigurationState,
    revision: Revision,
    table: Table,
) -> None:
    """Keep the rates of a revision; equal neighbours share one table."""
    rates = msgspec.structs.replace(table, keys=())
    state.rate_tables[revision] = rates
    # A copy can bring the rates of an older revision.
    order = sorted(state.rate_tables)
    position = order.index(revision)
    if position and state.rate_tables[order[position - 1]] == rates:
        state.rate_tables[revision] = state.rate_tables[order[position - 1]]
    if order[-1] == revision and len(order) > MAXIMUM_RATE_TABLES:
        # The accepted revision stays; the oldest of the others goes.
        del order[1]
    state.rate_tables = {kept: state.rate_tables[kept] for kept in order}


def drop_rates(state: ConfigurationState) -> None:
    """Drop the rates of revisions before the accepted one."""
    state.rate_tables = {
        revision: rates
        for revision, rates in state.rate_tables.items()
        if revision >= state.accepted
    }


def spend_copy(
    state: ConfigurationState,
    request: CopyRequest,
    now: Millis,
) -> bool:
    """Tell whether a request brings news and the byte budget allows it."""
    if (
        request.revision >= state.revision
        and request.accepted >= state.accepted
    ):
        return False
    earned = (now - state.budget_time) * COPY_BYTES_PER_MS
    state.budget_time = now
    state.copy_budget = min(COPY_BURST_BYTES, state.copy_budget + earned)
    if state.copy_budget <= 0:
        return False
    state.copy_budget -= len(pack_body(state))
    return True


def pack_body(state: ConfigurationState) -> bytes:
    """Return the compressed body, made once per revision."""
    if not state.packed:
        state.packed = zlib.compress(state.body, COMPRESSION_LEVEL)
    return state.packed


def unpack_body(packed: bytes) -> bytes:
    """Return the body of a copy; empty if damaged or too large."""
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(packed, MAXIMUM_VALUE_BYTES)
    except zlib.error:
        return b''
    return body if unpacker.eof else b''


def due(state: ConfigurationState, now: Millis, interval: float) -> Millis:
    """Return a time about an interval away; jitter spreads the nodes."""
    return later(now, interval * state.random.uniform(0.9, 1.1))
