"""Limit the retries of a request by one ledger at its entry node."""

import enum
import hashlib
import random as random_module
from typing import NewType

import msgspec

from jasmineramp.clock import Millis, later
from jasmineramp.ids import CallId, ContextToken, RequestId
from jasmineramp.refusals import RefusalCode, RunState
from jasmineramp.retry_messages import RetryAnswer, RetryRequest

FIRST_BACKOFF_MS = 10
MAX_BACKOFF_MS = 500
# An answer takes one round trip, which is under 200 ms between regions.
ANSWER_TIMEOUT_MS = 250
DIGEST_BYTES = 16
# Failures of a single instance. The other codes would recur on any instance
# or result from retries further down the call chain.
RETRYABLE_CODES = frozenset(
    (
        RefusalCode.overloaded,
        RefusalCode.draining,
        RefusalCode.upstream_lost,
    ),
)

Fingerprint = NewType('Fingerprint', bytes)


class Retry(msgspec.Struct, frozen=True, gc=False):
    """Identify a retry by its call and attempt, 1 for the first retry."""

    call_id: CallId
    attempt: int


class FailedCall(msgspec.Struct, frozen=True, gc=False):
    """Describe a failed call that may be retried.

    The attempt is 1 for the first retry. The two flags come from routing:
    whether another instance could run the call, and whether all instances
    of the service refuse calls of its importance because of overload.
    """

    attempt: int
    code: RefusalCode
    run: RunState
    idempotent: bool
    deadline: Millis
    has_other_instance: bool
    all_overloaded: bool


class NoRetryReason(enum.Enum):
    """Define the reasons for not retrying a call."""

    code = 'code'
    may_have_run = 'may_have_run'
    no_other_instance = 'no_other_instance'
    all_overloaded = 'all_overloaded'
    deadline = 'deadline'


class RetryAfter(msgspec.Struct, frozen=True, gc=False):
    """Permit a retry after a delay in ms if the ledger grants it."""

    delay: Millis


class NoRetry(msgspec.Struct, frozen=True, gc=False):
    """Forbid the retry and return the failure to the caller."""

    reason: NoRetryReason


class RetryLedger(msgspec.Struct):
    """Count the retries of one request at its entry node.

    Retries granted to other nodes are recorded, so that a repeated message
    gets the same answer and is not charged again.
    """

    max_retries: int
    deadline: Millis
    spent: int = 0
    granted: set[Retry] = msgspec.field(default_factory=set)


class RetryState:
    """Hold the ledgers, pending requests and onward calls of one node.

    An onward call is made by an upstream while it serves another call.
    """

    def __init__(self) -> None:
        self.ledgers: dict[RequestId, RetryLedger] = {}
        self.answer_deadlines: dict[Retry, Millis] = {}
        self.onward_calls: dict[ContextToken, set[Fingerprint]] = {}


def open_request(
    state: RetryState,
    request_id: RequestId,
    max_retries: int,
    deadline: Millis,
) -> None:
    """Open a ledger with the maximum from the retries column of the row."""
    if request_id not in state.ledgers:
        state.ledgers[request_id] = RetryLedger(max_retries, deadline)


def close_request(state: RetryState, request_id: RequestId) -> None:
    """Close the ledger of a request, which denies its later retries."""
    state.ledgers.pop(request_id, None)


def spend(state: RetryState, request_id: RequestId, now: Millis) -> bool:
    """Charge a retry at the entry node; return False if none remains."""
    ledger = state.ledgers.get(request_id)
    if ledger is None or now >= ledger.deadline:
        return False
    if ledger.spent >= ledger.max_retries:
        return False
    ledger.spent += 1
    return True


def answer_request(
    state: RetryState,
    request: RetryRequest,
    now: Millis,
) -> RetryAnswer:
    """Charge a retry requested by another node and return the answer.

    A granted retry stays charged even if its answer is lost.
    """
    retry = Retry(request.call_id, request.attempt)
    ledger = state.ledgers.get(request.request_id)
    granted = ledger is not None and retry in ledger.granted
    if ledger is not None and not granted:
        granted = spend(state, request.request_id, now)
        if granted:
            ledger.granted.add(retry)
    return RetryAnswer(
        request.request_id,
        request.call_id,
        request.attempt,
        granted,
    )


def request_retry(
    state: RetryState,
    request_id: RequestId,
    retry: Retry,
    now: Millis,
) -> RetryRequest:
    """Return a request to the entry node; without an answer, no retry."""
    state.answer_deadlines[retry] = later(now, ANSWER_TIMEOUT_MS)
    return RetryRequest(request_id, retry.call_id, retry.attempt)


def accept_answer(
    state: RetryState,
    message: RetryAnswer,
    now: Millis,
) -> bool | None:
    """Return whether the retry was granted, or None if not pending.

    A late or repeated answer returns None; the caller must not retry then.
    """
    deadline = state.answer_deadlines.pop(
        Retry(message.call_id, message.attempt), None
    )
    if deadline is None or now >= deadline:
        return None
    return message.granted


def expire(state: RetryState, now: Millis) -> list[Retry]:
    """Return the retries whose answer is overdue; call on every tick.

    The caller must treat them as denied. Removes ledgers past their deadline.
    """
    overdue = [
        retry
        for retry, answer_deadline in state.answer_deadlines.items()
        if answer_deadline <= now
    ]
    for retry in overdue:
        del state.answer_deadlines[retry]
    ended = [
        request_id
        for request_id, ledger in state.ledgers.items()
        if ledger.deadline <= now
    ]
    for request_id in ended:
        del state.ledgers[request_id]
    return overdue


def backoff(attempt: int, random: random_module.Random) -> Millis:
    """Return a delay in ms with full jitter; attempts count from 1."""
    doublings = min(attempt - 1, MAX_BACKOFF_MS.bit_length())
    max_delay = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2**doublings)
    return Millis(random.uniform(0, max_delay))


def plan_retry(
    failed: FailedCall,
    random: random_module.Random,
    now: Millis,
) -> RetryAfter | NoRetry:
    """Return whether a failed call may be retried, and after which delay.

    The ledger must grant the retry as well.
    """
    if failed.code not in RETRYABLE_CODES:
        return NoRetry(NoRetryReason.code)
    if not failed.idempotent and failed.run is not RunState.not_run:
        return NoRetry(NoRetryReason.may_have_run)
    if failed.all_overloaded:
        return NoRetry(NoRetryReason.all_overloaded)
    if not failed.has_other_instance:
        return NoRetry(NoRetryReason.no_other_instance)
    delay = backoff(failed.attempt, random)
    if now + delay >= failed.deadline:
        return NoRetry(NoRetryReason.deadline)
    return RetryAfter(delay)


def fingerprint(method: str, target: str, body: bytes) -> Fingerprint:
    """Return a digest of an onward call; the target includes the query."""
    digest = hashlib.blake2b(body, digest_size=DIGEST_BYTES)
    request_line = f'{method} {target}\n'.encode()
    combined = hashlib.blake2b(
        request_line + digest.digest(), digest_size=DIGEST_BYTES
    )
    return Fingerprint(combined.digest())


def is_repeat(
    state: RetryState,
    token: ContextToken,
    onward: Fingerprint,
) -> bool:
    """Record an onward call and return whether the token made it before.

    A repeat counts as a retry and must be granted by the ledger.
    """
    previous = state.onward_calls.setdefault(token, set())
    if onward in previous:
        return True
    previous.add(onward)
    return False


def forget_token(state: RetryState, token: ContextToken) -> None:
    """Remove the onward calls of a call that ended."""
    state.onward_calls.pop(token, None)
