"""Borrow shares and tokens from other nodes."""

import math

import msgspec

from jasmineramp.clock import Millis
from jasmineramp.effects import SendMessage
from jasmineramp.ids import BucketId, NodeId
from jasmineramp.rate_buckets import NEVER, TERM_MS, Bucket, Slice, is_narrow
from jasmineramp.rate_demand import SHIFTED_PART, WAIT_MS, Borrower
from jasmineramp.rate_messages import (
    Demand,
    DemandReport,
    Grant,
    LenderHints,
    Loan,
    LoanRequest,
    LoanReturn,
    ReturnedLoan,
    Want,
)
from jasmineramp.rate_state import OpenRequest, RateState

TOKEN_TERM_MS = 250.0
HINT_INTERVAL_MS = 20.0
DENIED_HINT_INTERVAL_MS = 500.0
CALM_HINT_INTERVAL_MS = 2000.0
RATE_INTERVAL_MS = 100.0
RENEWAL_INTERVAL_MS = 1000.0
MOST_TOKENS = 32
# A missing rate below this part of the need, or within the chance of single
# calls, is left to token loans.
SMALLEST_PART = 0.05
# Rate is borrowed only while the bucket is filled less than this.
LOW_PART = 0.5
# A narrow bucket has too little burst to hand its rate to small borrowers.
NARROW_PART = 0.5


def accept_loan(
    state: RateState,
    sender: NodeId,
    loan: Loan,
    now: Millis,
) -> frozenset[BucketId]:
    """Use the granted loans; return the buckets whose calls may go on.

    A second answer to a request changes nothing, because the first one
    ends the request.
    """
    request = state.requests.get(loan.number)
    if (
        loan.session != state.session
        or request is None
        or request.lender != sender
    ):
        return frozenset()
    del state.requests[loan.number]
    wants = dict(request.wants)
    changed = set()
    for grant in loan.grants:
        want = wants.pop(grant.loan, None)
        if want is not None:
            close_want(state, want, request)
            if _accept_one(state, want, grant, request, now):
                changed.add(want.bucket)
    for want in wants.values():
        close_want(state, want, request)
        if want.tokens and want.bucket in state.borrowers:
            state.borrowers[want.bucket].deny(sender, loan.retry, now)
            changed.add(want.bucket)
    for renewed in request.renewals.intersection(loan.renewed):
        bucket = state.index.get(renewed)
        if bucket is not None:
            bucket.advance(now)
            until = Millis(request.sent + min(loan.term, TERM_MS))
            bucket.renew_borrowed(renewed, until)
    for name in sorted(changed):
        _ask_again(state, name)
    return frozenset(changed)


def _accept_one(
    state: RateState,
    want: Want,
    grant: Grant,
    request: OpenRequest,
    now: Millis,
) -> bool:
    bucket = state.buckets.get(want.bucket)
    until = Millis(request.sent + want.term)
    if bucket is None or until <= now:
        return False
    bucket.advance(now)
    piece = Slice(
        request.lender,
        grant.loan,
        grant.slot,
        grant.rate,
        grant.burst,
        until,
        tokens=grant.tokens,
        renew_at=Millis(request.sent + want.term / 2),
    )
    bucket.borrow(piece, grant.tokens)
    if want.tokens:
        state.borrowers[want.bucket].grant(request.lender)
        bucket.token_loans.append(piece.loan)
    else:
        state.borrowers[want.bucket].lent_rate()
    return True


def close_want(state: RateState, want: Want, request: OpenRequest) -> None:
    """Stop counting a want as under way."""
    borrower = state.borrowers.get(want.bucket)
    if borrower is not None and not request.overdue:
        borrower.asked_rate -= want.rate
        borrower.asked_tokens -= want.tokens


def _ask_again(state: RateState, name: BucketId) -> None:
    borrower = state.borrowers.get(name)
    if borrower is not None and borrower.parked:
        state.asking.add(name)
        state.has_output = True


def accept_hints(state: RateState, hints: LenderHints, now: Millis) -> None:
    """Remember the lenders to ask and ask them for missing rate."""
    for hint in hints.buckets:
        borrower = state.borrowers.get(hint.bucket)
        if borrower is not None:
            borrower.add_lenders(hint.lenders, state.node)
            _ask_again(state, hint.bucket)
            ask_rate(state, state.buckets[hint.bucket], borrower, now)


def give_back(state: RateState, bucket: Bucket, piece: Slice) -> None:
    """Return a loan before its term ends."""
    tokens = bucket.end_borrowed(piece.loan)
    state.returns[piece.peer].append(ReturnedLoan(piece.loan, tokens))
    state.has_output = True


def demand(
    bucket: Bucket, borrower: Borrower, *, urgent: bool = False
) -> Demand:
    """Return the demand for a bucket as the exchange sees it."""
    return Demand(
        bucket.identity,
        round(bucket.held + borrower.asked_rate, 3),
        round(borrower.used, 3),
        round(borrower.need, 3),
        urgent,
    )


def ask_rate(
    state: RateState,
    bucket: Bucket,
    borrower: Borrower,
    now: Millis,
) -> None:
    """Ask hinted lenders, or the exchange, for missing rate."""
    need = borrower.need
    missing = need - bucket.held - borrower.asked_rate
    least = need * SMALLEST_PART + math.sqrt(need)
    if missing <= least or bucket.tokens > bucket.burst * LOW_PART:
        return
    limit = state.tables[-1].limits.get(bucket.identity)
    if limit is None or (
        is_narrow(state.tables[-1], bucket.identity)
        and need < limit.per_second * NARROW_PART
    ):
        return
    for lender, rate in borrower.lenders.items():
        if rate > 0 and missing > 0:
            part = min(rate, missing)
            missing -= part
            borrower.lenders[lender] = 0
            _want_rate(state, lender, bucket, borrower, part)
    if missing > least:
        probed = borrower.probe(missing, now)
        for lender in probed:
            part = missing / len(probed)
            _want_rate(state, lender, bucket, borrower, part)
        shifted = missing > need * SHIFTED_PART
        _ask_exchange(
            state,
            bucket,
            borrower,
            now,
            RATE_INTERVAL_MS if shifted else CALM_HINT_INTERVAL_MS,
        )


def _want_rate(
    state: RateState,
    lender: NodeId,
    bucket: Bucket,
    borrower: Borrower,
    part: float,
) -> None:
    # Rate without room for a whole token is of no use.
    short = max(0, 1 - bucket.burst)
    want = Want(0, bucket.identity, part, short, 0, TERM_MS)
    _want(state, lender, bucket, borrower, want)


def _ask_tokens(state: RateState, name: BucketId, now: Millis) -> None:
    borrower = state.borrowers.get(name)
    if borrower is None:
        return
    missing = min(borrower.parked, MOST_TOKENS) - borrower.asked_tokens
    if missing <= 0:
        return
    bucket = state.buckets[name]
    lender = borrower.next_lender(now)
    if lender is None:
        pause = DENIED_HINT_INTERVAL_MS if borrower.order else HINT_INTERVAL_MS
        _ask_exchange(state, bucket, borrower, now, pause)
        if now < borrower.next_ask <= now + WAIT_MS:
            state.wake(name, borrower.next_ask)
    else:
        _want(
            state,
            lender,
            bucket,
            borrower,
            Want(0, name, 0, 0, missing, TOKEN_TERM_MS),
        )


def _ask_exchange(
    state: RateState,
    bucket: Bucket,
    borrower: Borrower,
    now: Millis,
    interval: float,
) -> None:
    if borrower.wants_hints(now, interval):
        state.urgent.add(bucket.identity)
        state.has_output = True


def _want(
    state: RateState,
    lender: NodeId,
    bucket: Bucket,
    borrower: Borrower,
    want: Want,
) -> None:
    state.last_loan += 1
    want = msgspec.structs.replace(want, loan=state.last_loan)
    borrower.asked_rate += want.rate
    borrower.asked_tokens += want.tokens
    state.wants[lender].append(want)
    state.has_output = True


def renew_loans(
    state: RateState,
    bucket: Bucket,
    borrower: Borrower,
    now: Millis,
) -> None:
    """Ask for longer terms and give back what is not needed."""
    surplus = bucket.held - borrower.need
    for piece in tuple(bucket.borrowed.values()):
        if piece.rate and now >= piece.renew_at:
            rate = piece.rate * piece.share.rate
            if surplus >= rate:
                surplus -= rate
                give_back(state, bucket, piece)
            else:
                piece.renew_at = Millis(now + RENEWAL_INTERVAL_MS)
                state.renewals[piece.peer].append(piece.loan)
                state.has_output = True


def pending_messages(state: RateState, now: Millis) -> list[SendMessage]:
    """Return the messages to send; call after every event.

    Call it also at state.wake_at, after another try of the parked calls.
    Messages to the own node are delivered as if received.
    """
    if now >= state.wake_at:
        state.asking |= state.waking
        state.waking.clear()
        state.wake_at = NEVER
    elif not state.has_output:
        return []
    for name in sorted(state.asking):
        _ask_tokens(state, name, now)
    state.asking.clear()
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
    for lender in dict.fromkeys((*state.wants, *state.renewals)):
        messages.append(SendMessage(lender, _request(state, lender, now)))
    state.wants.clear()
    state.renewals.clear()
    state.has_output = False
    return messages


def _request(state: RateState, lender: NodeId, now: Millis) -> LoanRequest:
    wants = tuple(state.wants.get(lender, ()))
    renewals = tuple(state.renewals.get(lender, ()))
    state.last_number += 1
    # The term runs from now, which is before the lender can answer.
    state.requests[state.last_number] = OpenRequest(
        lender,
        now,
        {want.loan: want for want in wants},
        frozenset(renewals),
    )
    return LoanRequest(state.session, state.last_number, wants, renewals)
