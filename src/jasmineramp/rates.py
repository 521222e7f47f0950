"""Admit calls by token buckets and borrow shares from other nodes."""

from collections.abc import Sequence

import msgspec

from jasmineramp.clock import Millis
from jasmineramp.effects import SendMessage
from jasmineramp.ids import BucketId
from jasmineramp.rate_borrowing import (
    RATE_INTERVAL_MS,
    accept_hints,
    accept_loan,
    ask_rate,
    close_want,
    demand,
    give_back,
    pending_messages,
    renew_loans,
)
from jasmineramp.rate_buckets import (
    NEVER,
    TERM_MS,
    WHOLE_TOKEN,
    Bucket,
    RateLimit,
    RateTable,
    rate_table,
)
from jasmineramp.rate_demand import WAIT_MS
from jasmineramp.rate_lending import lend, return_loan
from jasmineramp.rate_messages import (
    DemandReport,
)
from jasmineramp.rate_state import (
    RateState,
    SlotLease,
    accept_limits,
    restore_limits,
    set_exchange,
    set_limits,
    set_slot,
)

__all__ = [
    'LoanWanted',
    'RateExceeded',
    'RateLimit',
    'RateState',
    'RateTable',
    'RateTaken',
    'SlotLease',
    'accept_hints',
    'accept_limits',
    'accept_loan',
    'describe_excess',
    'expire',
    'has_lent',
    'lend',
    'pending_messages',
    'rate_table',
    'report_demand',
    'restore_limits',
    'return_loan',
    'set_exchange',
    'set_limits',
    'set_slot',
    'take',
    'take_all',
    'tick',
]

REPORT_INTERVAL_MS = 500.0
ANSWER_MS = 30.0


class RateTaken(msgspec.Struct, frozen=True):
    """Admit the call."""


class RateExceeded(msgspec.Struct, frozen=True):
    """Refuse the call; rates are calls a second, retry_after milliseconds."""

    bucket: BucketId
    held: float
    limit: float
    retry_after: float


class LoanWanted(msgspec.Struct, frozen=True):
    """Let the call wait for a loan, at most until the time."""

    bucket: BucketId
    until: Millis


TAKEN = RateTaken()
TakeResult = RateTaken | RateExceeded | LoanWanted


def take(
    state: RateState,
    name: BucketId,
    now: Millis,
    *,
    parked: bool = False,
) -> TakeResult:
    """Take a token for a call; parked marks a call that has waited.

    A bucket that the table does not name has no limit.
    """
    bucket = state.buckets.get(name)
    if bucket is None:
        return TAKEN
    if not parked:
        bucket.arrivals += 1
    bucket.advance(now)
    if bucket.tokens < WHOLE_TOKEN:
        return _run_short(state, bucket, now, parked)
    _spend(state, bucket, parked)
    return TAKEN


def take_all(
    state: RateState,
    names: Sequence[BucketId],
    now: Millis,
    *,
    parked: bool = False,
) -> TakeResult:
    """Take a token from each bucket, or none if one of them is empty."""
    empty = None
    for name in names:
        bucket = state.buckets.get(name)
        if bucket is not None:
            if not parked:
                bucket.arrivals += 1
            bucket.advance(now)
            if bucket.tokens < WHOLE_TOKEN:
                empty = empty or bucket
    if empty is not None:
        return _run_short(state, empty, now, parked)
    for name in names:
        bucket = state.buckets.get(name)
        if bucket is not None:
            _spend(state, bucket, parked)
    return TAKEN


def _spend(state: RateState, bucket: Bucket, parked: bool) -> None:
    bucket.tokens -= 1
    bucket.admitted += 1
    if parked:
        borrower = state.borrowers[bucket.identity]
        borrower.parked = max(0, borrower.parked - 1)
    if bucket.token_loans:
        loan = bucket.token_loans[0]
        piece = bucket.borrowed[loan]
        piece.tokens -= 1
        if piece.tokens < WHOLE_TOKEN:
            give_back(state, bucket, piece)


def _run_short(
    state: RateState,
    bucket: Bucket,
    now: Millis,
    parked: bool,
) -> TakeResult:
    borrower = state.borrowers[bucket.identity]
    # Calls that wait already get the tokens that come first.
    ahead = 1 + borrower.parked - bucket.tokens
    wait = ahead / bucket.rate if bucket.rate else NEVER
    if wait <= WAIT_MS:
        state.wake(bucket.identity, Millis(now + wait))
    elif state.exchange is None or now + WAIT_MS < borrower.next_ask:
        return describe_excess(state, bucket.identity)
    if not parked:
        borrower.park(now)
    state.asking.add(bucket.identity)
    state.has_output = True
    return LoanWanted(bucket.identity, Millis(now + WAIT_MS))


def describe_excess(state: RateState, name: BucketId) -> RateExceeded:
    """Return the refusal of a call that found its bucket empty."""
    bucket = state.buckets[name]
    limit = state.tables[-1].limits.get(name)
    missing = 1 - bucket.tokens
    return RateExceeded(
        name,
        bucket.held,
        limit.per_second if limit else 0,
        min(missing / bucket.rate if bucket.rate else NEVER, TERM_MS),
    )


def has_lent(state: RateState) -> bool:
    """Tell whether a part of the own share is lent to another node."""
    buckets = (*state.buckets.values(), *state.retired.values())
    return any(bucket.lent for bucket in buckets)


def expire(state: RateState, now: Millis) -> None:
    """End the shares whose time is over and the requests without answer."""
    for bucket in state.buckets.values():
        if now >= bucket.next_change:
            bucket.advance(now)
    ended = []
    for number, request in state.requests.items():
        if request.sent + TERM_MS <= now:
            ended.append(number)
        if not request.overdue and request.sent + ANSWER_MS <= now:
            for want in request.wants.values():
                close_want(state, want, request)
                borrower = state.borrowers.get(want.bucket)
                if borrower is not None:
                    borrower.drop_lender(request.lender)
            request.overdue = True
    for number in ended:
        state.requests.pop(number)


def report_demand(state: RateState, now: Millis) -> DemandReport:
    """Return the demand for the buckets in use where it has changed."""
    demands = []
    for name, borrower in state.borrowers.items():
        bucket = state.buckets[name]
        # A node that has become idle says so once: its rate is spare.
        in_use = borrower.need or borrower.told_need
        if in_use or bucket.borrowed or bucket.lent:
            bucket.advance(now)
            if borrower.must_report(bucket.held, now):
                demands.append(demand(bucket, borrower))
    return DemandReport(tuple(demands))


def tick(state: RateState, now: Millis) -> list[SendMessage]:
    """Let time pass: call every 50 ms and send the returned messages."""
    expire(state, now)
    elapsed = now - state.measured_at
    if elapsed <= 0:
        return pending_messages(state, now)
    state.measured_at = now
    for name, borrower in state.borrowers.items():
        bucket = state.buckets[name]
        if bucket.arrivals or borrower.arriving:
            borrower.measure(bucket.arrivals, bucket.admitted, elapsed)
            bucket.arrivals = bucket.admitted = 0
            borrower.forget_parked(now)
    if now >= state.rates_at:
        state.rates_at = Millis(now + RATE_INTERVAL_MS)
        for name, borrower in state.borrowers.items():
            bucket = state.buckets[name]
            if borrower.need or bucket.borrowed:
                bucket.advance(now)
                ask_rate(state, bucket, borrower, now)
                renew_loans(state, bucket, borrower, now)
    messages = pending_messages(state, now)
    if now >= state.report_at and state.exchange is not None:
        state.report_at = Millis(now + REPORT_INTERVAL_MS)
        report = report_demand(state, now)
        if report.demands:
            messages.append(SendMessage(state.exchange, report))
    return messages
