"""Lend parts of the local share and handle their return."""

from jasmineramp.clock import Millis
from jasmineramp.ids import BucketId, NodeId
from jasmineramp.rate_buckets import (
    LOAN_TERM_MS,
    MAX_CLOCK_DRIFT,
    WHOLE_TOKEN,
    Bucket,
    LoanKey,
    ShareLoan,
    has_small_burst,
)
from jasmineramp.rate_messages import (
    Grant,
    Loan,
    LoanRequest,
    LoanReturn,
    RequestedLoan,
)
from jasmineramp.rate_state import RateState

MIN_LENT_FRACTION = 0.02
RETURN_RETRY_MS = 5.0
MAX_RETRY_MS = 500.0


def lend(
    state: RateState,
    sender: NodeId,
    request: LoanRequest,
    now: Millis,
) -> Loan:
    """Lend parts of the local shares; read `now` after receiving the request.

    With an earlier time, the term could end here before it ends at the
    borrower.
    """
    grants = []
    retry_after_ms: float = 0
    # Rate first: token loans could use up the burst that a rate loan needs.
    for requested in sorted(request.requested_loans, key=lambda one: -one.rate):
        bucket = state.buckets.get(requested.bucket)
        if bucket is not None:
            key = (sender, request.session, requested.loan_id)
            grant = _lend_one(state, bucket, key, requested, now)
            if grant is not None:
                grants.append(grant)
            elif requested.tokens:
                retry_after_ms = max(
                    retry_after_ms, _token_retry_ms(state, bucket)
                )
    renewed = tuple(
        loan
        for loan in request.renewals
        if _renew_one(state, (sender, request.session, loan), now)
    )
    return Loan(
        request.session,
        request.number,
        tuple(grants),
        renewed,
        LOAN_TERM_MS,
        retry_after_ms,
    )


def _token_retry_ms(state: RateState, bucket: Bucket) -> float:
    if bucket.unlent.burst < WHOLE_TOKEN:
        # Token loans are returned as soon as their tokens are spent.
        return RETURN_RETRY_MS if bucket.lent else MAX_RETRY_MS
    missing = 1 + _reserved_tokens(state, bucket) - bucket.tokens
    if bucket.tokens_per_ms <= 0:
        return MAX_RETRY_MS
    return round(min(missing / bucket.tokens_per_ms, MAX_RETRY_MS), 1)


def _reserved_tokens(state: RateState, bucket: Bucket) -> int:
    """Return the number of tokens reserved for local calls.

    Owners of a small-burst bucket reserve none, because they hold the tokens
    for all nodes.
    """
    if has_small_burst(state.tables[-1], bucket.identity):
        return 0
    return 1 if state.borrowers[bucket.identity].needed_rate else 0


def _lend_one(
    state: RateState,
    bucket: Bucket,
    key: LoanKey,
    requested: RequestedLoan,
    now: Millis,
) -> Grant | None:
    bucket.advance(now)
    share_loan = bucket.lent.get(key)
    if share_loan is None:
        term = min(requested.term_ms, LOAN_TERM_MS) * (1 + MAX_CLOCK_DRIFT)
        until = Millis(now + term)
        # Loans must end before another node can take over the slot.
        if not bucket.base_share_in_force or until > bucket.base_share_until:
            return None
        assert state.lease is not None
        share_loan = ShareLoan(
            key[0], requested.loan_id, state.lease.slot, 0, 0, until
        )
        need = state.borrowers[bucket.identity].needed_rate
        if requested.rate > 0:
            _set_lent_rate(bucket, share_loan, requested, need)
        else:
            _set_lent_tokens(
                bucket, share_loan, requested, _reserved_tokens(state, bucket)
            )
        if share_loan.burst_fraction <= 0:
            return None
        bucket.lend(key, share_loan, share_loan.tokens)
    return Grant(
        requested.loan_id,
        share_loan.slot,
        share_loan.rate_fraction,
        share_loan.burst_fraction,
        share_loan.tokens,
    )


def _set_lent_tokens(
    bucket: Bucket,
    share_loan: ShareLoan,
    requested: RequestedLoan,
    reserve: int,
) -> None:
    spare = min(bucket.tokens - reserve, bucket.unlent.burst)
    tokens = min(requested.tokens, int(spare + 1 - WHOLE_TOKEN))
    if tokens >= 1:
        share_loan.tokens = tokens
        share_loan.burst_fraction = tokens / bucket.base_share.burst


def _set_lent_rate(
    bucket: Bucket, share_loan: ShareLoan, requested: RequestedLoan, need: float
) -> None:
    unlent = bucket.unlent
    spare = min(unlent.rate, bucket.held_rate - need, requested.rate)
    if (
        bucket.base_share.rate <= 0
        or spare < MIN_LENT_FRACTION * bucket.base_share.rate
    ):
        return
    fraction = spare / bucket.base_share.rate
    burst = min(unlent.burst, fraction * bucket.base_share.burst)
    if need:
        burst = min(burst, unlent.burst - 1)
    if burst <= 0 or burst < requested.minimum_burst:
        return
    share_loan.rate_fraction = fraction
    share_loan.burst_fraction = burst / bucket.base_share.burst
    # These tokens would exceed the reduced burst.
    share_loan.tokens = max(0, min(burst, bucket.tokens - bucket.burst + burst))


def _renew_one(state: RateState, key: LoanKey, now: Millis) -> bool:
    bucket = state.buckets_by_loan.get(key)
    if bucket is None or bucket.identity not in state.borrowers:
        return False
    bucket.advance(now)
    share_loan = bucket.lent.get(key)
    until = Millis(now + LOAN_TERM_MS * (1 + MAX_CLOCK_DRIFT))
    if (
        share_loan is None
        or share_loan.recalled
        or until > bucket.base_share_until
    ):
        return False
    need = state.borrowers[bucket.identity].needed_rate
    returning = sum(
        one.rate_fraction for one in bucket.lent.values() if one.recalled
    )
    if need > bucket.held_rate + returning * bucket.base_share.rate:
        share_loan.recalled = True
        return False
    return bucket.renew_lent(key, until)


def accept_return(
    state: RateState,
    sender: NodeId,
    loan_return: LoanReturn,
    now: Millis,
) -> frozenset[BucketId]:
    """End returned loans; return the buckets whose calls can be retried."""
    changed = set()
    for returned in loan_return.loans:
        key = (sender, loan_return.session, returned.loan_id)
        bucket = state.buckets_by_loan.get(key)
        if bucket is not None:
            bucket.advance(now)
            if key in bucket.lent:
                bucket.end_lent(key, returned.tokens)
                changed.add(bucket.identity)
    return frozenset(changed)
