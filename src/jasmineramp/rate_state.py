"""Hold the buckets, rate slot and open loan requests of one node."""

from collections import defaultdict
from collections.abc import Iterable

import msgspec

from jasmineramp.clock import Millis
from jasmineramp.ids import BucketId, NodeId, Revision
from jasmineramp.rate_buckets import (
    LOAN_TERM_MS,
    MAX_CLOCK_DRIFT,
    NEVER,
    Bucket,
    LoanKey,
    RateTable,
)
from jasmineramp.rate_demand import Borrower
from jasmineramp.rate_messages import RequestedLoan, ReturnedLoan


class SlotLease(msgspec.Struct, frozen=True):
    """Rate slot held until a time; fresh if no active loans of it can exist.

    A slot is fresh if its platform key was absent: the previous holder released
    it or its lease expired, and both happen after all its loans have ended.
    """

    slot: int
    until: Millis
    fresh: bool


class OpenRequest(msgspec.Struct):
    """Loan request without an answer, kept for at most the loan term."""

    lender: NodeId
    sent: Millis
    requested_loans: dict[int, RequestedLoan]
    renewals: frozenset[int]
    overdue: bool = False


class RateState:
    """Rate limiting state of one node.

    The session must differ from that of every earlier process of the node, so
    that their loans are not mistaken for its own.
    """

    def __init__(self, node: NodeId, session: int, now: Millis) -> None:
        self.node = node
        self.session = session
        self.exchange: NodeId | None = None
        self.tables: tuple[RateTable, ...] = ()
        self.has_accepted_table = False
        self.lease: SlotLease | None = None
        self.base_share_from = NEVER
        self.buckets: dict[BucketId, Bucket] = {}
        self.retired: dict[BucketId, Bucket] = {}
        self.borrowers: dict[BucketId, Borrower] = {}
        self.buckets_by_loan: dict[LoanKey | int, Bucket] = {}
        self.requests: dict[int, OpenRequest] = {}
        self.last_request_number = 0
        self.last_loan_id = 0
        self.needs_tokens: set[BucketId] = set()
        self.urgent: set[BucketId] = set()
        self.requested_loans: dict[NodeId, list[RequestedLoan]] = defaultdict(
            list
        )
        self.renewals: dict[NodeId, list[int]] = defaultdict(list)
        self.returns: dict[NodeId, list[ReturnedLoan]] = defaultdict(list)
        self.has_output = False
        self.wake_at = NEVER
        self.waking: set[BucketId] = set()
        self.measured_at = now
        self.next_report_at = now
        self.next_rate_request_at = now

    def wake(self, name: BucketId, at: Millis) -> None:
        """Request a call of pending_messages before the next tick.

        It is called at the given time, to request tokens for the bucket.
        """
        self.waking.add(name)
        self.wake_at = min(self.wake_at, at)


def set_exchange(state: RateState, exchange: NodeId | None) -> None:
    """Set the node that receives demand reports; may be the local node."""
    state.exchange = exchange


def set_limits(state: RateState, table: RateTable, now: Millis) -> None:
    """Apply the newest table in addition to those not yet superseded.

    Acknowledge a table as in force only after this call.
    """
    if not state.tables or table.revision > state.tables[-1].revision:
        state.tables = (*state.tables, table)
        _update_base_shares(state, now)


def restore_limits(
    state: RateState,
    tables: Iterable[RateTable],
    now: Millis,
) -> None:
    """Apply all tables since the accepted one, ordered by revision.

    A node may receive the newest table first and the accepted one last.
    """
    state.tables = tuple(tables)
    state.has_accepted_table = True
    _update_base_shares(state, now)


def accept_limits(state: RateState, revision: Revision, now: Millis) -> None:
    """Drop the tables before a revision that is in force on every node.

    A node has no base share before it knows an accepted table.
    """
    if any(table.revision == revision for table in state.tables):
        state.has_accepted_table = True
        state.tables = tuple(
            table for table in state.tables if table.revision >= revision
        )
        _update_base_shares(state, now)


def set_slot(state: RateState, lease: SlotLease | None, now: Millis) -> None:
    """Acquire, extend or release a rate slot.

    A slot taken over from another process stays unused until the loans of that
    process have ended.
    """
    if lease is None:
        state.base_share_from = NEVER
    elif (
        state.lease is None
        or state.lease.slot != lease.slot
        or state.lease.until <= now
    ):
        wait = 0 if lease.fresh else LOAN_TERM_MS * (1 + MAX_CLOCK_DRIFT)
        state.base_share_from = Millis(now + wait)
    state.lease = lease
    _update_base_shares(state, now)


def _update_base_shares(state: RateState, now: Millis) -> None:
    lease = state.lease if state.has_accepted_table else None
    slot = lease.slot if lease else None
    until = lease.until if lease else NEVER
    names = {name for table in state.tables for name in table.limits}
    for name in state.buckets.keys() - names:
        # The bucket may be added again while parts of its share are lent.
        state.retired[name] = state.buckets.pop(name)
        state.borrowers.pop(name)
    for name in sorted(names - state.buckets.keys()):
        bucket = state.retired.pop(name, None)
        state.buckets[name] = bucket or Bucket(name, state.buckets_by_loan, now)
        state.borrowers[name] = Borrower()
    for retired in tuple(state.retired.values()):
        retired.set_base_share((), None, NEVER, NEVER, now)
        if not retired.lent and not retired.borrowed:
            state.retired.pop(retired.identity)
    for bucket in state.buckets.values():
        bucket.set_base_share(
            state.tables, slot, state.base_share_from, until, now
        )
