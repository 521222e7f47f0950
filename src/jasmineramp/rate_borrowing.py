"""Borrow shares and tokens from other nodes."""

import math

import msgspec

from jasmineramp.clock import Millis
from jasmineramp.effects import SendMessage
from jasmineramp.ids import BucketId, NodeId
from jasmineramp.rate_buckets import (
    LOAN_TERM_MS,
    NEVER,
    Bucket,
    ShareLoan,
    has_small_burst,
)
from jasmineramp.rate_demand import MAX_WAIT_MS, MIN_SHIFTED_FRACTION, Borrower
from jasmineramp.rate_messages import (
    Demand,
    DemandReport,
    Grant,
    LenderHints,
    Loan,
    LoanRequest,
    LoanReturn,
    RequestedLoan,
    ReturnedLoan,
)
from jasmineramp.rate_state import OpenRequest, RateState

TOKEN_LOAN_TERM_MS = 250.0
HINT_INTERVAL_MS = 20.0
DENIED_HINT_INTERVAL_MS = 500.0
STEADY_HINT_INTERVAL_MS = 2000.0
RATE_REQUEST_INTERVAL_MS = 100.0
RENEWAL_INTERVAL_MS = 1000.0
MAX_REQUESTED_TOKENS = 32
# A missing rate below this fraction of the needed rate, or within the random
# variation of arrivals, is covered by token loans.
MIN_MISSING_FRACTION = 0.05
# Rate is borrowed only while the bucket is filled to at most this fraction.
LOW_FILL_FRACTION = 0.5
# The burst of a small-burst bucket is too small to lend its rate to nodes that
# need less than this fraction of it.
SMALL_BURST_MIN_NEED_FRACTION = 0.5


def accept_loan(
    state: RateState,
    sender: NodeId,
    loan: Loan,
    now: Millis,
) -> frozenset[BucketId]:
    """Add the granted loans; return the buckets whose calls can be retried.

    A duplicate answer has no effect, because the first one closes the request.
    """
    request = state.requests.get(loan.number)
    if (
        loan.session != state.session
        or request is None
        or request.lender != sender
    ):
        return frozenset()
    del state.requests[loan.number]
    requested_loans = dict(request.requested_loans)
    changed = set()
    for grant in loan.grants:
        requested = requested_loans.pop(grant.loan_id, None)
        if requested is not None:
            subtract_requested(state, requested, request)
            if _accept_grant(state, requested, grant, request, now):
                changed.add(requested.bucket)
    for requested in requested_loans.values():
        subtract_requested(state, requested, request)
        if requested.tokens and requested.bucket in state.borrowers:
            state.borrowers[requested.bucket].record_denial(
                sender, loan.retry_after_ms, now
            )
            changed.add(requested.bucket)
    for renewed in request.renewals.intersection(loan.renewed):
        bucket = state.buckets_by_loan.get(renewed)
        if bucket is not None:
            bucket.advance(now)
            until = Millis(request.sent + min(loan.term_ms, LOAN_TERM_MS))
            bucket.renew_borrowed(renewed, until)
    for name in sorted(changed):
        _retry_token_request(state, name)
    return frozenset(changed)


def _accept_grant(
    state: RateState,
    requested: RequestedLoan,
    grant: Grant,
    request: OpenRequest,
    now: Millis,
) -> bool:
    bucket = state.buckets.get(requested.bucket)
    until = Millis(request.sent + requested.term_ms)
    if bucket is None or until <= now:
        return False
    bucket.advance(now)
    share_loan = ShareLoan(
        request.lender,
        grant.loan_id,
        grant.slot,
        grant.rate_fraction,
        grant.burst_fraction,
        until,
        tokens=grant.tokens,
        renew_at=Millis(request.sent + requested.term_ms / 2),
    )
    bucket.borrow(share_loan, grant.tokens)
    if requested.tokens:
        state.borrowers[requested.bucket].record_token_grant(request.lender)
        bucket.token_loans.append(share_loan.loan_id)
    else:
        state.borrowers[requested.bucket].record_rate_grant()
    return True


def subtract_requested(
    state: RateState, requested: RequestedLoan, request: OpenRequest
) -> None:
    """Subtract a requested loan from the requested rate and tokens."""
    borrower = state.borrowers.get(requested.bucket)
    if borrower is not None and not request.overdue:
        borrower.requested_rate -= requested.rate
        borrower.requested_tokens -= requested.tokens


def _retry_token_request(state: RateState, name: BucketId) -> None:
    borrower = state.borrowers.get(name)
    if borrower is not None and borrower.parked:
        state.needs_tokens.add(name)
        state.has_output = True


def accept_hints(state: RateState, hints: LenderHints, now: Millis) -> None:
    """Store the hinted lenders and request missing rate from them."""
    for hint in hints.buckets:
        borrower = state.borrowers.get(hint.bucket)
        if borrower is not None:
            borrower.add_lenders(hint.lenders, state.node)
            _retry_token_request(state, hint.bucket)
            request_rate(state, state.buckets[hint.bucket], borrower, now)


def return_borrowed(
    state: RateState, bucket: Bucket, share_loan: ShareLoan
) -> None:
    """Return a loan before its term ends."""
    tokens = bucket.end_borrowed(share_loan.loan_id)
    state.returns[share_loan.peer].append(
        ReturnedLoan(share_loan.loan_id, tokens)
    )
    state.has_output = True


def demand(
    bucket: Bucket, borrower: Borrower, *, urgent: bool = False
) -> Demand:
    """Return the demand for a bucket as reported to the exchange.

    Its held rate includes the rate requested from lenders.
    """
    return Demand(
        bucket.identity,
        round(bucket.held_rate + borrower.requested_rate, 3),
        round(borrower.admitted_rate, 3),
        round(borrower.needed_rate, 3),
        urgent,
    )


def request_rate(
    state: RateState,
    bucket: Bucket,
    borrower: Borrower,
    now: Millis,
) -> None:
    """Request missing rate from lenders, then hints from the exchange."""
    need = borrower.needed_rate
    missing = need - bucket.held_rate - borrower.requested_rate
    min_missing = need * MIN_MISSING_FRACTION + math.sqrt(need)
    if (
        missing <= min_missing
        or bucket.tokens > bucket.burst * LOW_FILL_FRACTION
    ):
        return
    limit = state.tables[-1].limits.get(bucket.identity)
    if limit is None or (
        has_small_burst(state.tables[-1], bucket.identity)
        and need < limit.per_second * SMALL_BURST_MIN_NEED_FRACTION
    ):
        return
    for lender, rate in borrower.lenders.items():
        if rate > 0 and missing > 0:
            part = min(rate, missing)
            missing -= part
            borrower.lenders[lender] = 0
            _request_rate_from(state, lender, bucket, borrower, part)
    if missing > min_missing:
        probed = borrower.lenders_to_probe(missing, now)
        for lender in probed:
            part = missing / len(probed)
            _request_rate_from(state, lender, bucket, borrower, part)
        shifted = missing > need * MIN_SHIFTED_FRACTION
        _request_hints(
            state,
            bucket,
            borrower,
            now,
            RATE_REQUEST_INTERVAL_MS if shifted else STEADY_HINT_INTERVAL_MS,
        )


def _request_rate_from(
    state: RateState,
    lender: NodeId,
    bucket: Bucket,
    borrower: Borrower,
    part: float,
) -> None:
    # Rate is unusable if the burst is less than a whole token.
    short = max(0, 1 - bucket.burst)
    requested = RequestedLoan(0, bucket.identity, part, short, 0, LOAN_TERM_MS)
    _add_request(state, lender, bucket, borrower, requested)


def _request_tokens(state: RateState, name: BucketId, now: Millis) -> None:
    borrower = state.borrowers.get(name)
    if borrower is None:
        return
    missing = (
        min(borrower.parked, MAX_REQUESTED_TOKENS) - borrower.requested_tokens
    )
    if missing <= 0:
        return
    bucket = state.buckets[name]
    lender = borrower.next_lender(now)
    if lender is None:
        interval = (
            DENIED_HINT_INTERVAL_MS
            if borrower.lender_queue
            else HINT_INTERVAL_MS
        )
        _request_hints(state, bucket, borrower, now, interval)
        if now < borrower.next_request_at <= now + MAX_WAIT_MS:
            state.wake(name, borrower.next_request_at)
    else:
        _add_request(
            state,
            lender,
            bucket,
            borrower,
            RequestedLoan(0, name, 0, 0, missing, TOKEN_LOAN_TERM_MS),
        )


def _request_hints(
    state: RateState,
    bucket: Bucket,
    borrower: Borrower,
    now: Millis,
    interval: float,
) -> None:
    if borrower.allow_hint_request(now, interval):
        state.urgent.add(bucket.identity)
        state.has_output = True


def _add_request(
    state: RateState,
    lender: NodeId,
    bucket: Bucket,
    borrower: Borrower,
    requested: RequestedLoan,
) -> None:
    state.last_loan_id += 1
    requested = msgspec.structs.replace(requested, loan_id=state.last_loan_id)
    borrower.requested_rate += requested.rate
    borrower.requested_tokens += requested.tokens
    state.requested_loans[lender].append(requested)
    state.has_output = True


def renew_loans(
    state: RateState,
    bucket: Bucket,
    borrower: Borrower,
    now: Millis,
) -> None:
    """Request renewal of the rate loans due; give back those not needed."""
    surplus = bucket.held_rate - borrower.needed_rate
    for share_loan in tuple(bucket.borrowed.values()):
        if share_loan.rate_fraction and now >= share_loan.renew_at:
            rate = share_loan.rate_fraction * share_loan.share.rate
            if surplus >= rate:
                surplus -= rate
                return_borrowed(state, bucket, share_loan)
            else:
                share_loan.renew_at = Millis(now + RENEWAL_INTERVAL_MS)
                state.renewals[share_loan.peer].append(share_loan.loan_id)
                state.has_output = True


def pending_messages(state: RateState, now: Millis) -> list[SendMessage]:
    """Return the messages to send; call after every event.

    Also call it at state.wake_at, after retrying the parked calls. Messages to
    the local node are to be delivered as if received.
    """
    if now >= state.wake_at:
        state.needs_tokens |= state.waking
        state.waking.clear()
        state.wake_at = NEVER
    elif not state.has_output:
        return []
    for name in sorted(state.needs_tokens):
        _request_tokens(state, name, now)
    state.needs_tokens.clear()
    messages = []
    if state.urgent and state.exchange is not None:
        demands = [
            demand(state.buckets[name], state.borrowers[name], urgent=True)
            for name in sorted(state.urgent & state.buckets.keys())
        ]
        messages.append(
            SendMessage(state.exchange, DemandReport(tuple(demands)))
        )
    state.urgent.clear()
    for lender, returns in state.returns.items():
        messages.append(
            SendMessage(lender, LoanReturn(state.session, tuple(returns)))
        )
    state.returns.clear()
    for lender in dict.fromkeys((*state.requested_loans, *state.renewals)):
        messages.append(
            SendMessage(lender, _make_loan_request(state, lender, now))
        )
    state.requested_loans.clear()
    state.renewals.clear()
    state.has_output = False
    return messages


def _make_loan_request(
    state: RateState, lender: NodeId, now: Millis
) -> LoanRequest:
    requested_loans = tuple(state.requested_loans.get(lender, ()))
    renewals = tuple(state.renewals.get(lender, ()))
    state.last_request_number += 1
    # The term starts now, so it ends here before it ends at the lender.
    state.requests[state.last_request_number] = OpenRequest(
        lender,
        now,
        {requested.loan_id: requested for requested in requested_loans},
        frozenset(renewals),
    )
    return LoanRequest(
        state.session, state.last_request_number, requested_loans, renewals
    )
