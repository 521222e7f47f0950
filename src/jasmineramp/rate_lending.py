"""Lend shares of the own rate slot and take them back."""

from jasmineramp.clock import Millis
from jasmineramp.ids import BucketId, NodeId
from jasmineramp.rate_buckets import (
    DRIFT,
    TERM_MS,
    WHOLE_TOKEN,
    Bucket,
    LentKey,
    Slice,
    is_narrow,
)
from jasmineramp.rate_messages import (
    Grant,
    Loan,
    LoanRequest,
    LoanReturn,
    Want,
)
from jasmineramp.rate_state import RateState

SMALLEST_FRACTION = 0.02
RETURN_MS = 5.0
LONGEST_RETRY_MS = 500.0


def lend(
    state: RateState,
    sender: NodeId,
    request: LoanRequest,
    now: Millis,
) -> Loan:
    """Lower own shares and lend them; read now after receiving the request.

    Otherwise the term could end here before it ends at the borrower.
    """
    grants = []
    retry: float = 0
    # A token loan served first could leave no burst to go with the rate.
    for want in sorted(request.wants, key=lambda one: -one.rate):
        bucket = state.buckets.get(want.bucket)
        if bucket is not None:
            key = (sender, request.session, want.loan)
            grant = _lend_one(state, bucket, key, want, now)
            if grant is not None:
                grants.append(grant)
            elif want.tokens:
                retry = max(retry, _next_token(state, bucket))
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
        TERM_MS,
        retry,
    )


def _next_token(state: RateState, bucket: Bucket) -> float:
    if bucket.free.burst < WHOLE_TOKEN:
        # Token loans come back as soon as they are used.
        return RETURN_MS if bucket.lent else LONGEST_RETRY_MS
    missing = 1 + _reserve(state, bucket) - bucket.tokens
    if bucket.rate <= 0:
        return LONGEST_RETRY_MS
    return round(min(missing / bucket.rate, LONGEST_RETRY_MS), 1)


def _reserve(state: RateState, bucket: Bucket) -> int:
    """Return the tokens to keep for own calls.

    The owners of a narrow bucket keep none: they hold the tokens of all.
    """
    if is_narrow(state.tables[-1], bucket.identity):
        return 0
    return 1 if state.borrowers[bucket.identity].need else 0


def _lend_one(
    state: RateState,
    bucket: Bucket,
    key: LentKey,
    want: Want,
    now: Millis,
) -> Grant | None:
    bucket.advance(now)
    piece = bucket.lent.get(key)
    if piece is None:
        term = min(want.term, TERM_MS) * (1 + DRIFT)
        until = Millis(now + term)
        # Loans end before the slot can pass on to another node.
        if not bucket.base_in_force or until > bucket.base_until:
            return None
        assert state.lease is not None
        piece = Slice(key[0], want.loan, state.lease.slot, 0, 0, until)
        need = state.borrowers[bucket.identity].need
        if want.rate > 0:
            _offer_rate(bucket, piece, want, need)
        else:
            _offer_tokens(bucket, piece, want, _reserve(state, bucket))
        if piece.burst <= 0:
            return None
        bucket.lend(key, piece, piece.tokens)
    return Grant(want.loan, piece.slot, piece.rate, piece.burst, piece.tokens)


def _offer_tokens(
    bucket: Bucket, piece: Slice, want: Want, reserve: int
) -> None:
    spare = min(bucket.tokens - reserve, bucket.free.burst)
    tokens = min(want.tokens, int(spare + 1 - WHOLE_TOKEN))
    if tokens >= 1:
        piece.tokens = tokens
        piece.burst = tokens / bucket.base.burst


def _offer_rate(bucket: Bucket, piece: Slice, want: Want, need: float) -> None:
    free = bucket.free
    spare = min(free.rate, bucket.held - need, want.rate)
    if bucket.base.rate <= 0 or spare < SMALLEST_FRACTION * bucket.base.rate:
        return
    fraction = spare / bucket.base.rate
    burst = min(free.burst, fraction * bucket.base.burst)
    if need:
        burst = min(burst, free.burst - 1)
    if burst <= 0 or burst < want.minimum_burst:
        return
    piece.rate = fraction
    piece.burst = burst / bucket.base.burst
    # These tokens would not fit into the lowered burst.
    piece.tokens = max(0, min(burst, bucket.tokens - bucket.burst + burst))


def _renew_one(state: RateState, key: LentKey, now: Millis) -> bool:
    bucket = state.index.get(key)
    if bucket is None or bucket.identity not in state.borrowers:
        return False
    bucket.advance(now)
    piece = bucket.lent.get(key)
    until = Millis(now + TERM_MS * (1 + DRIFT))
    if piece is None or piece.recalled or until > bucket.base_until:
        return False
    need = state.borrowers[bucket.identity].need
    returning = sum(one.rate for one in bucket.lent.values() if one.recalled)
    if need > bucket.held + returning * bucket.base.rate:
        piece.recalled = True
        return False
    return bucket.renew_lent(key, until)


def return_loan(
    state: RateState,
    sender: NodeId,
    loan_return: LoanReturn,
    now: Millis,
) -> frozenset[BucketId]:
    """Take loans back early; return the buckets whose calls may go on."""
    changed = set()
    for returned in loan_return.loans:
        key = (sender, loan_return.session, returned.loan)
        bucket = state.index.get(key)
        if bucket is not None:
            bucket.advance(now)
            if key in bucket.lent:
                bucket.end_lent(key, returned.tokens)
                changed.add(bucket.identity)
    return frozenset(changed)
