"""Hold the token bucket of one node and the shares that fill it."""

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

# Largest difference of the rates of two clocks.
DRIFT = 0.01
TERM_MS = 5000.0
SMALLEST_BURST = 2
NEVER = Millis(math.inf)
# Sums of fractions of a share may miss a whole token by rounding; the
# missing part stays as debt, so it does not add up over many calls.
WHOLE_TOKEN = 1 - 1e-9
OPERATIONS_PER_RECOUNT = 256

LentKey = tuple[NodeId, int, int]


class RateLimit(msgspec.Struct, frozen=True):
    """Limit a bucket over the whole fleet: calls a second and calls."""

    per_second: float
    burst: float


class RateTable(msgspec.Struct, frozen=True):
    """Hold the limits of all buckets in one revision of the table."""

    revision: Revision
    slots: int
    limits: Mapping[BucketId, RateLimit]


class Share(NamedTuple):
    """State calls a second and calls at once."""

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


def is_narrow(table: RateTable, bucket: BucketId) -> bool:
    """Return whether only some rate slots own a part of a bucket."""
    limit = table.limits.get(bucket)
    return limit is not None and limit.burst < SMALLEST_BURST * table.slots


def owner_slots(table: RateTable, bucket: BucketId) -> range | frozenset[int]:
    """Return the rate slots that own a part of a bucket."""
    limit = table.limits[bucket]
    if not is_narrow(table, bucket):
        return range(table.slots)
    # A burst under two calls per owner is of little use to each of them.
    count = max(1, int(limit.burst // SMALLEST_BURST))
    return _choose_owners(bucket, table.slots, count)


def slot_share(
    tables: Sequence[RateTable],
    bucket: BucketId,
    slot: int | None,
) -> Share:
    """Return the smallest share of a rate slot under several tables."""
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


class Slice(msgspec.Struct):
    """Hold a part of the share of a rate slot that is on loan.

    Rate and burst are fractions of the share. Tokens came with the loan; a
    borrower returns a token loan once it has used as many.
    """

    peer: NodeId
    loan: int
    slot: int
    rate: float
    burst: float
    until: Millis
    share: Share = NO_SHARE
    tokens: float = 0
    recalled: bool = False
    renew_at: Millis = NEVER


class Bucket:
    """Count the tokens of one bucket at one node."""

    __slots__ = (
        'admitted',
        'arrivals',
        'base',
        'base_from',
        'base_in_force',
        'base_until',
        'borrowed',
        'borrowed_burst',
        'borrowed_ends',
        'borrowed_rate',
        'burst',
        'identity',
        'index',
        'lent',
        'lent_burst',
        'lent_ends',
        'lent_rate',
        'next_change',
        'operations',
        'rate',
        'tables',
        'token_loans',
        'tokens',
        'updated',
    )

    def __init__(
        self,
        identity: BucketId,
        index: dict[LentKey | int, 'Bucket'],
        now: Millis,
    ) -> None:
        self.identity = identity
        self.index = index
        self.tables: Sequence[RateTable] = ()
        self.base = NO_SHARE
        self.base_from = NEVER
        self.base_until = NEVER
        self.base_in_force = False
        self.borrowed: dict[int, Slice] = {}
        self.borrowed_ends: list[tuple[Millis, int]] = []
        self.borrowed_rate: float = 0
        self.borrowed_burst: float = 0
        self.lent: dict[LentKey, Slice] = {}
        self.lent_ends: list[tuple[Millis, LentKey]] = []
        self.lent_rate: float = 0
        self.lent_burst: float = 0
        self.token_loans: list[int] = []
        self.operations = 0
        self.next_change = NEVER
        self.rate: float = 0
        self.burst: float = 0
        # A bucket starts empty: a predecessor may have spent its tokens.
        self.tokens: float = 0
        self.updated = now
        self.arrivals = 0
        self.admitted = 0

    @property
    def held(self) -> float:
        """Return the rate in force in calls a second."""
        return self.rate * MILLIS_PER_SECOND * (1 + DRIFT)

    @property
    def free(self) -> Share:
        """Return the part of the base share that is not lent."""
        if not self.base_in_force:
            return NO_SHARE
        return Share(
            self.base.rate * max(0, 1 - self.lent_rate),
            self.base.burst * max(0, 1 - self.lent_burst),
        )

    def set_base(
        self,
        tables: Sequence[RateTable],
        slot: int | None,
        start: Millis,
        until: Millis,
        now: Millis,
    ) -> None:
        """Change limits or rate slot; tokens above the new burst are lost."""
        self.advance(now)
        self.tables = tables
        self.base = slot_share(tables, self.identity, slot)
        self.base_from = start
        self.base_until = until
        self.base_in_force = start <= now < until
        for piece in self.borrowed.values():
            piece.share = slot_share(tables, self.identity, piece.slot)
        self._recount()

    def advance(self, now: Millis) -> None:
        """End the shares whose time is over and add the tokens due."""
        if now >= self.next_change:
            self._settle(now)
        self._refill(now)

    def lend(self, key: LentKey, piece: Slice, tokens: float) -> None:
        """Lower the share before the loan is announced."""
        self.lent[key] = piece
        self.index[key] = self
        self.lent_rate += piece.rate
        self.lent_burst += piece.burst
        self.tokens -= tokens
        heapq.heappush(self.lent_ends, (piece.until, key))
        self._changed()

    def renew_lent(self, key: LentKey, until: Millis) -> bool:
        """Lend for longer unless the loan has already ended."""
        piece = self.lent.get(key)
        if piece is None:
            return False
        if until > piece.until:
            piece.until = until
            heapq.heappush(self.lent_ends, (until, key))
        return True

    def end_lent(self, key: LentKey, tokens: float) -> None:
        """Take a loan back; only tokens that the borrower gave up return."""
        piece = self.lent.pop(key)
        self.index.pop(key, None)
        self.lent_rate -= piece.rate
        self.lent_burst -= piece.burst
        if self.base_in_force:
            self.tokens += min(tokens, piece.burst * self.base.burst)
        self._changed()

    def borrow(self, piece: Slice, tokens: float) -> None:
        """Add a loan; it starts with no more tokens than its lender paid."""
        piece.share = slot_share(self.tables, self.identity, piece.slot)
        self.borrowed[piece.loan] = piece
        self.index[piece.loan] = self
        self.borrowed_rate += piece.rate * piece.share.rate
        self.borrowed_burst += piece.burst * piece.share.burst
        self.tokens += min(tokens, piece.burst * piece.share.burst)
        heapq.heappush(self.borrowed_ends, (piece.until, piece.loan))
        self._changed()

    def renew_borrowed(self, loan: int, until: Millis) -> None:
        """Use a loan for longer unless it was given up."""
        piece = self.borrowed.get(loan)
        if piece is not None and until > piece.until:
            piece.until = until
            heapq.heappush(self.borrowed_ends, (until, loan))

    def end_borrowed(self, loan: int) -> float:
        """Give a loan up and return the tokens that no longer fit."""
        piece = self.borrowed.pop(loan)
        self.index.pop(loan, None)
        if self.token_loans and loan in self.token_loans:
            self.token_loans.remove(loan)
        self.borrowed_rate -= piece.rate * piece.share.rate
        self.borrowed_burst -= piece.burst * piece.share.burst
        before = self.tokens
        self._changed()
        return max(0, before - self.tokens)

    def _settle(self, now: Millis) -> None:
        while self.borrowed_ends and self.borrowed_ends[0][0] <= now:
            end, loan = heapq.heappop(self.borrowed_ends)
            piece = self.borrowed.get(loan)
            if piece is not None and piece.until == end:
                self._end_base(end)
                self._refill(end)
                self.end_borrowed(loan)
        self._end_base(now)
        self._refill(now)
        while self.lent_ends and self.lent_ends[0][0] <= now:
            end, key = heapq.heappop(self.lent_ends)
            lent = self.lent.get(key)
            if lent is not None and lent.until == end:
                self.end_lent(key, 0)
        if self.base_from <= now < self.base_until:
            self.base_in_force = True
        self._changed()

    def _end_base(self, now: Millis) -> None:
        if self.base_until <= now:
            self._refill(self.base_until)
            self.base_in_force = False
            self.base_from = NEVER
            self._changed()

    def _refill(self, now: Millis) -> None:
        if now > self.updated:
            tokens = self.tokens + (now - self.updated) * self.rate
            self.tokens = min(tokens, self.burst)
            self.updated = now

    def _changed(self) -> None:
        self.operations += 1
        if self.operations % OPERATIONS_PER_RECOUNT:
            self._apply()
        else:
            self._recount()

    def _recount(self) -> None:
        borrowed = self.borrowed.values()
        self.borrowed_rate = sum(one.rate * one.share.rate for one in borrowed)
        self.borrowed_burst = sum(
            one.burst * one.share.burst for one in borrowed
        )
        self.lent_rate = sum(one.rate for one in self.lent.values())
        self.lent_burst = sum(one.burst for one in self.lent.values())
        self._apply()

    def _apply(self) -> None:
        if not self.borrowed:
            self.borrowed_rate = self.borrowed_burst = 0
        if not self.lent:
            self.lent_rate = self.lent_burst = 0
        free = self.free
        rate = free.rate + max(0, self.borrowed_rate)
        # A clock that runs fast must not fill the bucket above the rate.
        self.rate = rate / (MILLIS_PER_SECOND * (1 + DRIFT))
        self.burst = free.burst + max(0, self.borrowed_burst)
        self.tokens = min(self.tokens, self.burst)
        self.next_change = min(
            self.borrowed_ends[0][0] if self.borrowed_ends else NEVER,
            self.lent_ends[0][0] if self.lent_ends else NEVER,
            self.base_until if self.base_in_force else self.base_from,
        )
