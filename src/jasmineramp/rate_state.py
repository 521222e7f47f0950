"""Hold the buckets of one node, its rate slot and its open requests."""

from collections import defaultdict
from collections.abc import Iterable

import msgspec

from jasmineramp.clock import Millis
from jasmineramp.ids import BucketId, NodeId, Revision
from jasmineramp.rate_buckets import (
    DRIFT,
    NEVER,
    TERM_MS,
    Bucket,
    LentKey,
    RateTable,
)
from jasmineramp.rate_demand import Borrower
from jasmineramp.rate_messages import ReturnedLoan, Want


class SlotLease(msgspec.Struct, frozen=True):
    """Hold a rate slot until a time; fresh if no live loans can exist.

    A slot is fresh when its platform key was absent: the predecessor has
    released it or its lease has lapsed, both after the end of all loans.
    """

    slot: int
    until: Millis
    fresh: bool


class OpenRequest(msgspec.Struct):
    """Remember a loan request until its answer or the end of the term."""

    lender: NodeId
    sent: Millis
    wants: dict[int, Want]
    renewals: frozenset[int]
    overdue: bool = False


class RateState:
    """Own all buckets of one node.

    The session must differ from that of every earlier process of the node,
    because loans of a predecessor must not be taken for own ones.
    """

    def __init__(self, node: NodeId, session: int, now: Millis) -> None:
        self.node = node
        self.session = session
        self.exchange: NodeId | None = None
        self.tables: tuple[RateTable, ...] = ()
        self.accepted = False
        self.lease: SlotLease | None = None
        self.base_from = NEVER
        self.buckets: dict[BucketId, Bucket] = {}
        self.retired: dict[BucketId, Bucket] = {}
        self.borrowers: dict[BucketId, Borrower] = {}
        self.index: dict[LentKey | int, Bucket] = {}
        self.requests: dict[int, OpenRequest] = {}
        self.last_number = 0
        self.last_loan = 0
        self.asking: set[BucketId] = set()
        self.urgent: set[BucketId] = set()
        self.wants: dict[NodeId, list[Want]] = defaultdict(list)
        self.renewals: dict[NodeId, list[int]] = defaultdict(list)
        self.returns: dict[NodeId, list[ReturnedLoan]] = defaultdict(list)
        self.has_output = False
        self.wake_at = NEVER
        self.waking: set[BucketId] = set()
        self.measured_at = now
        self.report_at = now
        self.rates_at = now

    def wake(self, name: BucketId, at: Millis) -> None:
        """Ask to be called for a bucket at a time, before the next tick."""
        self.waking.add(name)
        self.wake_at = min(self.wake_at, at)


def set_exchange(state: RateState, exchange: NodeId | None) -> None:
    """Name the node to send demand to; it may be the node itself."""
    state.exchange = exchange


def set_limits(state: RateState, table: RateTable, now: Millis) -> None:
    """Put the newest table in force next to those not yet superseded.

    A table must be acknowledged as in force only after this call.
    """
    if not state.tables or table.revision > state.tables[-1].revision:
        state.tables = (*state.tables, table)
        _rebase(state, now)


def restore_limits(
    state: RateState,
    tables: Iterable[RateTable],
    now: Millis,
) -> None:
    """Put all tables since the accepted one in force, in order.

    A node may hear of the newest table first and of the accepted one last.
    """
    state.tables = tuple(tables)
    state.accepted = True
    _rebase(state, now)


def accept_limits(state: RateState, revision: Revision, now: Millis) -> None:
    """Drop the tables before a revision that every node has in force.

    A node has no base share before it knows an accepted table.
    """
    if any(table.revision == revision for table in state.tables):
        state.accepted = True
        state.tables = tuple(
            table for table in state.tables if table.revision >= revision
        )
        _rebase(state, now)


def set_slot(state: RateState, lease: SlotLease | None, now: Millis) -> None:
    """Take, prolong or give up a rate slot.

    A slot taken over from another process stays unused until the loans of
    that process have ended.
    """
    if lease is None:
        state.base_from = NEVER
    elif (
        state.lease is None
        or state.lease.slot != lease.slot
        or state.lease.until <= now
    ):
        wait = 0 if lease.fresh else TERM_MS * (1 + DRIFT)
        state.base_from = Millis(now + wait)
    state.lease = lease
    _rebase(state, now)


def _rebase(state: RateState, now: Millis) -> None:
    lease = state.lease if state.accepted else None
    slot = lease.slot if lease else None
    until = lease.until if lease else NEVER
    names = {name for table in state.tables for name in table.limits}
    for name in state.buckets.keys() - names:
        # The bucket may come back while parts of its share are still lent.
        state.retired[name] = state.buckets.pop(name)
        state.borrowers.pop(name)
    for name in sorted(names - state.buckets.keys()):
        bucket = state.retired.pop(name, None)
        state.buckets[name] = bucket or Bucket(name, state.index, now)
        state.borrowers[name] = Borrower()
    for retired in tuple(state.retired.values()):
        retired.set_base((), None, NEVER, NEVER, now)
        if not retired.lent and not retired.borrowed:
            state.retired.pop(retired.identity)
    for bucket in state.buckets.values():
        bucket.set_base(state.tables, slot, state.base_from, until, now)
