"""Admit calls by token buckets that borrow shares from other nodes."""

from collections.abc import Sequence

import msgspec

from jasmineramp.clock import Millis
from jasmineramp.effects import SendMessage
from jasmineramp.ids import BucketId
from jasmineramp.rate_borrowing import (
    RATE_REQUEST_INTERVAL_MS,
    accept_hints,
    accept_loan,
    demand,
    pending_messages,
    renew_loans,
    request_rate,
    return_borrowed,
    subtract_requested,
)
from jasmineramp.rate_buckets import (
    LOAN_TERM_MS,
    NEVER,
    WHOLE_TOKEN,
    Bucket,
    RateLimit,
    RateTable,
    rate_table,
)
from jasmineramp.rate_demand import MAX_WAIT_MS
from jasmineramp.rate_lending import accept_return, lend
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
    'LoanPending',
    'RateExceeded',
    'RateLimit',
    'RateState',
    'RateTable',
    'SlotLease',
    'TokenTaken',
    'accept_hints',
    'accept_limits',
    'accept_loan',
    'accept_return',
    'describe_excess',
    'expire',
    'has_lent',
    'lend',
    'pending_messages',
    'rate_table',
    'report_demand',
    'restore_limits',
    'set_exchange',
    'set_limits',
    'set_slot',
    'take_token',
    'take_tokens',
    'tick',
]

REPORT_INTERVAL_MS = 500.0
ANSWER_TIMEOUT_MS = 30.0


class TokenTaken(msgspec.Struct, frozen=True):
    """The call is admitted."""


class RateExceeded(msgspec.Struct, frozen=True):
    """The call is refused; rates in calls/s, retry_after in milliseconds."""

    bucket: BucketId
    held_rate: float
    limit: float
    retry_after: float


class LoanPending(msgspec.Struct, frozen=True):
    """The call has to wait for tokens, at most until the given time."""

    bucket: BucketId
    until: Millis


TOKEN_TAKEN = TokenTaken()
TakeResult = TokenTaken | RateExceeded | LoanPending


def take_token(
    state: RateState,
    name: BucketId,
    now: Millis,
    *,
    parked: bool = False,
) -> TakeResult:
    """Take a token for a call; parked marks a call that is already waiting.

    A bucket that is not in the table has no limit.
    """
    bucket = state.buckets.get(name)
    if bucket is None:
        return TOKEN_TAKEN
    if not parked:
        bucket.arrivals += 1
    bucket.advance(now)
    if bucket.tokens < WHOLE_TOKEN:
        return _handle_empty_bucket(state, bucket, now, parked)
    _spend_token(state, bucket, parked)
    return TOKEN_TAKEN


def take_tokens(
    state: RateState,
    names: Sequence[BucketId],
    now: Millis,
    *,
    parked: bool = False,
) -> TakeResult:
    """Take a token from each bucket, or from none if one of them is empty."""
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
        return _handle_empty_bucket(state, empty, now, parked)
    for name in names:
        bucket = state.buckets.get(name)
        if bucket is not None:
            _spend_token(state, bucket, parked)
    return TOKEN_TAKEN


def _spend_token(state: RateState, bucket: Bucket, parked: bool) -> None:
    bucket.tokens -= 1
    bucket.admitted += 1
    if parked:
        borrower = state.borrowers[bucket.identity]
        borrower.parked = max(0, borrower.parked - 1)
    if bucket.token_loans:
        loan = bucket.token_loans[0]
        share_loan = bucket.borrowed[loan]
        share_loan.tokens -= 1
        if share_loan.tokens < WHOLE_TOKEN:
            return_borrowed(state, bucket, share_loan)


def _handle_empty_bucket(
    state: RateState,
    bucket: Bucket,
    now: Millis,
    parked: bool,
) -> TakeResult:
    borrower = state.borrowers[bucket.identity]
    # Calls that are already waiting get the next tokens.
    ahead = 1 + borrower.parked - bucket.tokens
    wait = ahead / bucket.tokens_per_ms if bucket.tokens_per_ms else NEVER
    if wait <= MAX_WAIT_MS:
        state.wake(bucket.identity, Millis(now + wait))
    elif state.exchange is None or now + MAX_WAIT_MS < borrower.next_request_at:
        return describe_excess(state, bucket.identity)
    if not parked:
        borrower.park(now)
    state.needs_tokens.add(bucket.identity)
    state.has_output = True
    return LoanPending(bucket.identity, Millis(now + MAX_WAIT_MS))


def describe_excess(state: RateState, name: BucketId) -> RateExceeded:
    """Return the refusal of a call for an empty bucket."""
    bucket = state.buckets[name]
    limit = state.tables[-1].limits.get(name)
    missing = 1 - bucket.tokens
    return RateExceeded(
        name,
        bucket.held_rate,
        limit.per_second if limit else 0,
        min(
            missing / bucket.tokens_per_ms if bucket.tokens_per_ms else NEVER,
            LOAN_TERM_MS,
        ),
    )


def has_lent(state: RateState) -> bool:
    """Return whether a part of the local share is lent to another node."""
    buckets = (*state.buckets.values(), *state.retired.values())
    return any(bucket.lent for bucket in buckets)


def expire(state: RateState, now: Millis) -> None:
    """Remove expired shares and requests; drop lenders that do not answer.

    A lender is dropped after ANSWER_TIMEOUT_MS, a request removed after
    LOAN_TERM_MS.
    """
    for bucket in state.buckets.values():
        if now >= bucket.next_change:
            bucket.advance(now)
    ended = []
    for number, request in state.requests.items():
        if request.sent + LOAN_TERM_MS <= now:
            ended.append(number)
        if not request.overdue and request.sent + ANSWER_TIMEOUT_MS <= now:
            for requested in request.requested_loans.values():
                subtract_requested(state, requested, request)
                borrower = state.borrowers.get(requested.bucket)
                if borrower is not None:
                    borrower.drop_lender(request.lender)
            request.overdue = True
    for number in ended:
        state.requests.pop(number)


def report_demand(state: RateState, now: Millis) -> DemandReport:
    """Return the demand for buckets in use, and count it as reported.

    It covers demand that changed or was last reported REPORT_REFRESH_MS ago.
    """
    demands = []
    for name, borrower in state.borrowers.items():
        bucket = state.buckets[name]
        # A node that became idle reports this once, so its rate can be lent.
        in_use = borrower.needed_rate or borrower.reported_need
        if in_use or bucket.borrowed or bucket.lent:
            bucket.advance(now)
            if borrower.must_report(bucket.held_rate, now):
                demands.append(demand(bucket, borrower))
    return DemandReport(tuple(demands))


def tick(state: RateState, now: Millis) -> list[SendMessage]:
    """Update rates and return the messages to send; call every 50 ms."""
    expire(state, now)
    elapsed = now - state.measured_at
    if elapsed <= 0:
        return pending_messages(state, now)
    state.measured_at = now
    for name, borrower in state.borrowers.items():
        bucket = state.buckets[name]
        if bucket.arrivals or borrower.arrival_rate:
            borrower.measure(bucket.arrivals, bucket.admitted, elapsed)
            bucket.arrivals = bucket.admitted = 0
            borrower.reset_parked(now)
    if now >= state.next_rate_request_at:
        state.next_rate_request_at = Millis(now + RATE_REQUEST_INTERVAL_MS)
        for name, borrower in state.borrowers.items():
            bucket = state.buckets[name]
            if borrower.needed_rate or bucket.borrowed:
                bucket.advance(now)
                request_rate(state, bucket, borrower, now)
                renew_loans(state, bucket, borrower, now)
    messages = pending_messages(state, now)
    if now >= state.next_report_at and state.exchange is not None:
        state.next_report_at = Millis(now + REPORT_INTERVAL_MS)
        report = report_demand(state, now)
        if report.demands:
            messages.append(SendMessage(state.exchange, report))
    return messages
