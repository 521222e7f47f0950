"""Implement the token buckets of one node and the shares that fill them.

The rate and burst of a bucket apply to the whole fleet. They are divided
equally among all rate slots, or among some of them if the burst is small. A
node can lend the share of its slot to other nodes.
"""

import functools
import hashlib
import heapq
import math
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import msgspec

from jasmineramp.clock import MILLIS_PER_SECOND, Millis
from jasmineramp.ids import BucketId, NodeId, Revision
from jasmineramp.table import Table, call_bucket, workspace_bucket

# Maximum relative difference between the rates of two clocks.
MAX_CLOCK_DRIFT = 0.01
LOAN_TERM_MS = 5000.0
MIN_OWNER_BURST = 2
NEVER = Millis(math.inf)
# Rounding errors can leave a sum of share fractions slightly below one token.
# The difference stays in the bucket as debt, so it does not accumulate.
WHOLE_TOKEN = 1 - 1e-9
# Sums are recomputed after this many changes, so that rounding errors do not
# accumulate.
CHANGES_PER_RECOMPUTE = 256

# Borrower, session of the borrower, loan number.
LoanKey = tuple[NodeId, int, int]


class RateLimit(msgspec.Struct, frozen=True):
    """Fleet-wide limit of a bucket: rate in calls/s and burst in calls."""

    per_second: float
    burst: float


class RateTable(msgspec.Struct, frozen=True):
    """Limits of all buckets in one revision of the table."""

    revision: Revision
    slots: int
    limits: Mapping[BucketId, RateLimit]


class Share(NamedTuple):
    """Part of a fleet-wide limit: rate in calls/s and burst in calls."""

    rate: float
    burst: float


NO_SHARE = Share(0, 0)


def rate_table(table: Table, revision: Revision) -> RateTable:
    """Return the limits of the workspaces and call rows of a table."""
    limits = {
        workspace_bucket(row.name): RateLimit(row.rate, row.burst)
        for row in table.workspaces
    }
    for call in table.calls:
        if call.rate is not None and call.burst is not None:
            limits[call_bucket(call.name)] = RateLimit(call.rate, call.burst)
    return RateTable(revision, table.rate_slots, limits)


@functools.lru_cache(maxsize=4096)
def _choose_owners(bucket: BucketId, slots: int, count: int) -> frozenset[int]:
    def rank(slot: int) -> bytes:
        name = f'{bucket}/{slot}'.encode()
        return hashlib.blake2b(name, digest_size=8).digest()

    return frozenset(heapq.nsmallest(count, range(slots), key=rank))


def has_small_burst(table: RateTable, bucket: BucketId) -> bool:
    """Return whether the burst is too small to be split among all slots."""
    limit = table.limits.get(bucket)
    return limit is not None and limit.burst < MIN_OWNER_BURST * table.slots


def owner_slots(table: RateTable, bucket: BucketId) -> range | frozenset[int]:
    """Return the rate slots that own a share of a bucket."""
    limit = table.limits[bucket]
    if not has_small_burst(table, bucket):
        return range(table.slots)
    # An owner can do little with a burst of less than two calls.
    count = max(1, int(limit.burst // MIN_OWNER_BURST))
    return _choose_owners(bucket, table.slots, count)


def slot_share(
    tables: Sequence[RateTable],
    bucket: BucketId,
    slot: int | None,
) -> Share:
    """Return the minimum share of a rate slot over several tables."""
    rate = burst = math.inf
    for table in tables:
        limit = table.limits.get(bucket)
        if limit is not None:
            owners = owner_slots(table, bucket)
            if slot is None or slot not in owners:
                return NO_SHARE
            count = len(owners)
            rate = min(rate, limit.per_second / count)
            burst = min(burst, limit.burst / count)
    return NO_SHARE if rate == math.inf else Share(rate, burst)


class ShareLoan(msgspec.Struct):
    """Part of the share of a rate slot that one node has lent to another.

    The peer is the borrower of a lent loan or the lender of a borrowed one. A
    recalled loan is no longer renewed. Rate and burst are fractions of the
    share. `tokens` is the number of tokens
    transferred with the loan; a borrower returns a token loan once it has
    spent as many.
    """

    peer: NodeId
    loan_id: int
    slot: int
    rate_fraction: float
    burst_fraction: float
    until: Millis
    share: Share = NO_SHARE
    tokens: float = 0
    recalled: bool = False
    renew_at: Millis = NEVER


class Bucket:
    """Token bucket of one node, filled by its base share and its loans.

    The base share is that of the rate slot of the node.
    """

    __slots__ = (
        'admitted',
        'arrivals',
        'base_share',
        'base_share_from',
        'base_share_in_force',
        'base_share_until',
        'borrowed',
        'borrowed_burst',
        'borrowed_expiries',
        'borrowed_rate',
        'buckets_by_loan',
        'burst',
        'changes',
        'identity',
        'lent',
        'lent_burst_fraction',
        'lent_expiries',
        'lent_rate_fraction',
        'next_change',
        'tables',
        'token_loans',
        'tokens',
        'tokens_per_ms',
        'updated_at',
    )

    def __init__(
        self,
        identity: BucketId,
        index: dict[LoanKey | int, 'Bucket'],
        now: Millis,
    ) -> None:
        self.identity = identity
        self.buckets_by_loan = index
        self.tables: Sequence[RateTable] = ()
        self.base_share = NO_SHARE
        self.base_share_from = NEVER
        self.base_share_until = NEVER
        self.base_share_in_force = False
        self.borrowed: dict[int, ShareLoan] = {}
        self.borrowed_expiries: list[tuple[Millis, int]] = []
        self.borrowed_rate: float = 0
        self.borrowed_burst: float = 0
        self.lent: dict[LoanKey, ShareLoan] = {}
        self.lent_expiries: list[tuple[Millis, LoanKey]] = []
        self.lent_rate_fraction: float = 0
        self.lent_burst_fraction: float = 0
        self.token_loans: list[int] = []
        self.changes = 0
        self.next_change = NEVER
        self.tokens_per_ms: float = 0
        self.burst: float = 0
        # Starts empty: an earlier process may have spent the tokens.
        self.tokens: float = 0
        self.updated_at = now
        self.arrivals = 0
        self.admitted = 0

    @property
    def held_rate(self) -> float:
        """Return the current rate in calls per second."""
        return self.tokens_per_ms * MILLIS_PER_SECOND * (1 + MAX_CLOCK_DRIFT)

    @property
    def unlent(self) -> Share:
        """Return the part of the base share that is not lent."""
        if not self.base_share_in_force:
            return NO_SHARE
        return Share(
            self.base_share.rate * max(0, 1 - self.lent_rate_fraction),
            self.base_share.burst * max(0, 1 - self.lent_burst_fraction),
        )

    def set_base_share(
        self,
        tables: Sequence[RateTable],
        slot: int | None,
        start: Millis,
        until: Millis,
        now: Millis,
    ) -> None:
        """Set limits and rate slot; discard tokens above the new burst."""
        self.advance(now)
        self.tables = tables
        self.base_share = slot_share(tables, self.identity, slot)
        self.base_share_from = start
        self.base_share_until = until
        self.base_share_in_force = start <= now < until
        for share_loan in self.borrowed.values():
            share_loan.share = slot_share(
                tables, self.identity, share_loan.slot
            )
        self._recompute_sums()

    def advance(self, now: Millis) -> None:
        """Remove expired shares and add the tokens accrued until now."""
        if now >= self.next_change:
            self._apply_expiries(now)
        self._refill(now)

    def lend(self, key: LoanKey, share_loan: ShareLoan, tokens: float) -> None:
        """Subtract a loan from the share; call before announcing the loan."""
        self.lent[key] = share_loan
        self.buckets_by_loan[key] = self
        self.lent_rate_fraction += share_loan.rate_fraction
        self.lent_burst_fraction += share_loan.burst_fraction
        self.tokens -= tokens
        heapq.heappush(self.lent_expiries, (share_loan.until, key))
        self._update_sums()

    def renew_lent(self, key: LoanKey, until: Millis) -> bool:
        """Extend a lent loan; return False if it has already ended."""
        share_loan = self.lent.get(key)
        if share_loan is None:
            return False
        if until > share_loan.until:
            share_loan.until = until
            heapq.heappush(self.lent_expiries, (until, key))
        return True

    def end_lent(self, key: LoanKey, tokens: float) -> None:
        """End a lent loan and add the tokens that the borrower returned."""
        share_loan = self.lent.pop(key)
        self.buckets_by_loan.pop(key, None)
        self.lent_rate_fraction -= share_loan.rate_fraction
        self.lent_burst_fraction -= share_loan.burst_fraction
        if self.base_share_in_force:
            self.tokens += min(
                tokens, share_loan.burst_fraction * self.base_share.burst
            )
        self._update_sums()

    def borrow(self, share_loan: ShareLoan, tokens: float) -> None:
        """Add a loan with at most the tokens that its lender gave up."""
        share_loan.share = slot_share(
            self.tables, self.identity, share_loan.slot
        )
        self.borrowed[share_loan.loan_id] = share_loan
        self.buckets_by_loan[share_loan.loan_id] = self
        self.borrowed_rate += share_loan.rate_fraction * share_loan.share.rate
        self.borrowed_burst += (
            share_loan.burst_fraction * share_loan.share.burst
        )
        self.tokens += min(
            tokens, share_loan.burst_fraction * share_loan.share.burst
        )
        heapq.heappush(
            self.borrowed_expiries, (share_loan.until, share_loan.loan_id)
        )
        self._update_sums()

    def renew_borrowed(self, loan: int, until: Millis) -> None:
        """Extend a borrowed loan unless it has already ended."""
        share_loan = self.borrowed.get(loan)
        if share_loan is not None and until > share_loan.until:
            share_loan.until = until
            heapq.heappush(self.borrowed_expiries, (until, loan))

    def end_borrowed(self, loan: int) -> float:
        """End a borrowed loan; return the tokens above the reduced burst."""
        share_loan = self.borrowed.pop(loan)
        self.buckets_by_loan.pop(loan, None)
        if self.token_loans and loan in self.token_loans:
            self.token_loans.remove(loan)
        self.borrowed_rate -= share_loan.rate_fraction * share_loan.share.rate
        self.borrowed_burst -= (
            share_loan.burst_fraction * share_loan.share.burst
        )
        before = self.tokens
        self._update_sums()
        return max(0, before - self.tokens)

    def _apply_expiries(self, now: Millis) -> None:
        while self.borrowed_expiries and self.borrowed_expiries[0][0] <= now:
            end, loan = heapq.heappop(self.borrowed_expiries)
            share_loan = self.borrowed.get(loan)
            if share_loan is not None and share_loan.until == end:
                self._expire_base_share(end)
                self._refill(end)
                self.end_borrowed(loan)
        self._expire_base_share(now)
        self._refill(now)
        while self.lent_expiries and self.lent_expiries[0][0] <= now:
            end, key = heapq.heappop(self.lent_expiries)
            lent = self.lent.get(key)
            if lent is not None and lent.until == end:
                self.end_lent(key, 0)
        if self.base_share_from <= now < self.base_share_until:
            self.base_share_in_force = True
        self._update_sums()

    def _expire_base_share(self, now: Millis) -> None:
        if self.base_share_until <= now:
            self._refill(self.base_share_until)
            self.base_share_in_force = False
            self.base_share_from = NEVER
            self._update_sums()

    def _refill(self, now: Millis) -> None:
        if now > self.updated_at:
            tokens = self.tokens + (now - self.updated_at) * self.tokens_per_ms
            self.tokens = min(tokens, self.burst)
            self.updated_at = now

    def _update_sums(self) -> None:
        self.changes += 1
        if self.changes % CHANGES_PER_RECOMPUTE:
            self._apply_sums()
        else:
            self._recompute_sums()

    def _recompute_sums(self) -> None:
        borrowed = self.borrowed.values()
        self.borrowed_rate = sum(
            one.rate_fraction * one.share.rate for one in borrowed
        )
        self.borrowed_burst = sum(
            one.burst_fraction * one.share.burst for one in borrowed
        )
        self.lent_rate_fraction = sum(
            one.rate_fraction for one in self.lent.values()
        )
        self.lent_burst_fraction = sum(
            one.burst_fraction for one in self.lent.values()
        )
        self._apply_sums()

    def _apply_sums(self) -> None:
        if not self.borrowed:
            self.borrowed_rate = self.borrowed_burst = 0
        if not self.lent:
            self.lent_rate_fraction = self.lent_burst_fraction = 0
        unlent = self.unlent
        rate = unlent.rate + max(0, self.borrowed_rate)
        # Keeps a fast clock from filling the bucket above the rate.
        self.tokens_per_ms = rate / (MILLIS_PER_SECOND * (1 + MAX_CLOCK_DRIFT))
        self.burst = unlent.burst + max(0, self.borrowed_burst)
        self.tokens = min(self.tokens, self.burst)
        self.next_change = min(
            self.borrowed_expiries[0][0] if self.borrowed_expiries else NEVER,
            self.lent_expiries[0][0] if self.lent_expiries else NEVER,
            self.base_share_until
            if self.base_share_in_force
            else self.base_share_from,
        )
