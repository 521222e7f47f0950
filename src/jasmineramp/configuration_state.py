"""Hold the table of one node, its rates per revision and last contact."""

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

# Limit the bytes that one node sends when many request copies at once.
COPY_BURST_BYTES = 1_000_000
COPY_BYTES_PER_MS = 500
# Exceeds the revisions of a day; revisions with equal rates share a table.
MAX_RATE_TABLES = 2_000
# A large table consists mostly of key digests, which compress to half their
# size at any level.
COMPRESSION_LEVEL = 1
WATCHER_COUNT = 2
TREE_DEGREE = 4

START = Millis(0)
NO_REVISION = Revision(0)


class Members(msgspec.Struct, frozen=True):
    """Hold the sorted alive members of the local failure domain.

    The contacts are one node in each other failure domain.
    """

    alive: tuple[NodeId, ...]
    contacts: Mapping[DomainId, NodeId]


def make_members(
    node: NodeId,
    alive: Sequence[NodeId],
    contacts: Mapping[DomainId, NodeId],
) -> Members:
    """Return the sorted members, including the local node."""
    return Members(tuple(sorted({node, *alive})), contacts)


class ConfigurationState:
    """Hold the table of one node and the state of its distribution.

    The domains are the failure domains named in the settings. Without a
    platform the node holds the table in memory only.
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
        self.compressed_body = b''
        # The table without keys of each revision in force since the accepted
        # one. A node applies the lowest rates of all of them.
        self.rate_tables: dict[Revision, Table] = {}
        self.rejected: set[Revision] = set()
        self.last_contact_at: Millis | None = None
        self.offerers: dict[NodeId, Revision] = {}
        self.newest_offered = NO_REVISION
        # The next request is the timeout of a pending request, otherwise the
        # end of the delay before a request.
        self.is_request_pending = False
        self.next_request_at: Millis | None = None
        self.last_query_at: Millis | None = None
        self.next_offer_at = START
        self.next_acknowledgement_at = START
        self.last_acknowledgement: tuple[NodeId, Revision] | None = None
        self.acknowledgement_interval_ms: float = 0
        self.next_report_at = START
        self.report_interval_ms: float = 0
        self.watch_sent_at: Millis | None = None
        self.next_watch_at = START
        self.watch_failures = 0
        self.copy_budget_bytes: float = COPY_BURST_BYTES
        self.copy_budget_updated_at = START
        self.acknowledgements = AcknowledgementState(domain, domains)


def accepted_rates(state: ConfigurationState) -> Table | None:
    """Return the rows of the accepted revision, without keys."""
    return state.rate_tables.get(state.accepted)


def contact_age(state: ConfigurationState, now: Millis) -> float | None:
    """Return the ms since the platform last answered a watcher.

    The result is None if it never did.
    """
    return (
        None if state.last_contact_at is None else now - state.last_contact_at
    )


def serves_workspace(
    state: ConfigurationState,
    row: WorkspaceRow,
    now: Millis,
) -> bool:
    """Return whether the keys of a workspace may still be served.

    Without a recent contact they may be served for the offline grace.
    """
    if row.offline_grace_ms is None or not state.has_platform:
        return True
    age = contact_age(state, now)
    return age is not None and age <= row.offline_grace_ms


def record_contact(state: ConfigurationState, time: Millis) -> None:
    """Record that the platform answered at a time on the local clock."""
    if state.last_contact_at is None or time > state.last_contact_at:
        state.last_contact_at = time


def is_watcher(state: ConfigurationState, members: Members) -> bool:
    """Return whether the node is one of those that watch the platform."""
    return state.node in members.alive[:WATCHER_COUNT]


def tree_neighbours(
    state: ConfigurationState, members: Members
) -> list[NodeId]:
    """Return the parent and children in the tree over the sorted members."""
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
    wants_answer: bool = False,
    echo: float | None = None,
) -> Offer:
    """Return an offer of the local revision.

    wants_answer requests an answer; echo answers an earlier request.
    """
    return Offer(
        state.revision,
        state.accepted,
        now if wants_answer else None,
        echo,
        contact_age(state, now),
    )


def should_request_copy(
    state: ConfigurationState,
    revision: Revision,
    accepted: Revision,
) -> bool:
    """Return whether to request a copy from a node with these revisions."""
    if revision > state.revision and revision not in state.rejected:
        return True
    return state.accepted < accepted < state.revision and (
        accepted not in state.rate_tables
    )


def store_rates(
    state: ConfigurationState,
    revision: Revision,
    table: Table,
) -> None:
    """Store the rates of a revision.

    Successive revisions with equal rates share one table.
    """
    rates = msgspec.structs.replace(table, keys=())
    state.rate_tables[revision] = rates
    # A copy can bring the rates of an older revision.
    order = sorted(state.rate_tables)
    position = order.index(revision)
    if position and state.rate_tables[order[position - 1]] == rates:
        state.rate_tables[revision] = state.rate_tables[order[position - 1]]
    if order[-1] == revision and len(order) > MAX_RATE_TABLES:
        # Keep the accepted revision and delete the oldest of the others.
        del order[1]
    state.rate_tables = {each: state.rate_tables[each] for each in order}


def drop_superseded_rates(state: ConfigurationState) -> None:
    """Drop the rates of revisions before the accepted one."""
    state.rate_tables = {
        revision: rates
        for revision, rates in state.rate_tables.items()
        if revision >= state.accepted
    }


def admit_copy_request(
    state: ConfigurationState,
    request: CopyRequest,
    now: Millis,
) -> bool:
    """Return whether to send a copy, and charge it to the byte budget.

    A copy is sent if it holds a newer revision and the budget is positive.
    """
    if (
        request.revision >= state.revision
        and request.accepted >= state.accepted
    ):
        return False
    refill = (now - state.copy_budget_updated_at) * COPY_BYTES_PER_MS
    state.copy_budget_updated_at = now
    state.copy_budget_bytes = min(
        COPY_BURST_BYTES, state.copy_budget_bytes + refill
    )
    if state.copy_budget_bytes <= 0:
        return False
    state.copy_budget_bytes -= len(compress_body(state))
    return True


def compress_body(state: ConfigurationState) -> bytes:
    """Return the compressed body, computed once per revision."""
    if not state.compressed_body:
        state.compressed_body = zlib.compress(state.body, COMPRESSION_LEVEL)
    return state.compressed_body


def decompress_body(compressed_body: bytes) -> bytes:
    """Return the body of a copy, or b'' if it is damaged or too large."""
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(compressed_body, MAXIMUM_VALUE_BYTES)
    except zlib.error:
        return b''
    return body if decompressor.eof else b''


def jittered_time(
    state: ConfigurationState, now: Millis, interval_ms: float
) -> Millis:
    """Return the time after an interval with 10 % jitter.

    The jitter keeps the nodes from acting at the same time.
    """
    return later(now, interval_ms * state.random.uniform(0.9, 1.1))
