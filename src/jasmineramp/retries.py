"""Keep all retries of a request within one total at its entry node."""

import enum
import hashlib
import random as random_module
from typing import NewType

import msgspec

from jasmineramp.clock import Millis, later
from jasmineramp.ids import CallId, ContextToken, RequestId
from jasmineramp.refusals import RefusalCode, RunState
from jasmineramp.retry_messages import RetryAnswer, RetryRequest

FIRST_BACKOFF = 10
LARGEST_BACKOFF = 500
# An answer takes one round trip; between regions that is under 200 ms.
ANSWER_TIMEOUT = 250
DIGEST_BYTES = 16
# Failures of one instance. The other codes would repeat on any instance, or
# were caused by retries further down the chain.
RETRYABLE_CODES = frozenset(
    (
        RefusalCode.overloaded,
        RefusalCode.draining,
        RefusalCode.upstream_lost,
    ),
)

Fingerprint = NewType('Fingerprint', bytes)


class Retry(msgspec.Struct, frozen=True, gc=False):
    """Name one retry: the call and its attempt, 1 for the first retry."""

    call_id: CallId
    attempt: int


class FailedCall(msgspec.Struct, frozen=True, gc=False):
    """Describe a call that failed and might be retried.

    The attempt is 1 for the first retry. The two flags come from routing:
    whether another instance could take the call, and whether all instances
    of the service refuse for overload.
    """

    attempt: int
    code: RefusalCode
    run: RunState
    idempotent: bool
    deadline: Millis
    other_instance: bool
    all_overloaded: bool


class NoRetryReason(enum.Enum):
    """Tell why a call is not retried."""

    code = 'code'
    may_have_run = 'may_have_run'
    no_other_instance = 'no_other_instance'
    all_overloaded = 'all_overloaded'
    deadline = 'deadline'


class RetryAfter(msgspec.Struct, frozen=True, gc=False):
    """Permit a retry after a delay in ms, if the ledger grants it."""

    delay: Millis


class NoRetry(msgspec.Struct, frozen=True, gc=False):
    """Forbid the retry; the failure goes to the caller."""

    reason: NoRetryReason


class RetryLedger(msgspec.Struct):
    """Count the retries of one request at its entry node.

    Granted retries of other nodes are kept, so that a repeated message gets
    the same answer and is not charged again.
    """

    total: int
    deadline: Millis
    spent: int = 0
    granted: set[Retry] = msgspec.field(default_factory=set)


class RetryState:
    """Hold the ledgers, open questions and onward calls of one node."""

    def __init__(self) -> None:
        self.ledgers: dict[RequestId, RetryLedger] = {}
        self.asked: dict[Retry, Millis] = {}
        self.onward: dict[ContextToken, set[Fingerprint]] = {}


def open_request(
    state: RetryState,
    request_id: RequestId,
    total: int,
    deadline: Millis,
) -> None:
    """Open the ledger of a request with the retries column of its row."""
    if request_id not in state.ledgers:
        state.ledgers[request_id] = RetryLedger(total, deadline)


def close_request(state: RetryState, request_id: RequestId) -> None:
    """Close the ledger; every later retry of the request is denied."""
    state.ledgers.pop(request_id, None)


def spend(state: RetryState, request_id: RequestId, now: Millis) -> bool:
    """Charge one retry at the entry node; False when none is left."""
    ledger = state.ledgers.get(request_id)
    if ledger is None or now >= ledger.deadline:
        return False
    if ledger.spent >= ledger.total:
        return False
    ledger.spent += 1
    return True


def answer(
    state: RetryState,
    request: RetryRequest,
    now: Millis,
) -> RetryAnswer:
    """Charge a retry that another node asks for and answer it.

    A grant whose answer is lost stays charged.
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


def ask(
    state: RetryState,
    request_id: RequestId,
    retry: Retry,
    now: Millis,
) -> RetryRequest:
    """Ask the entry node for a retry; no answer means no retry."""
    state.asked[retry] = later(now, ANSWER_TIMEOUT)
    return RetryRequest(request_id, retry.call_id, retry.attempt)


def accept_answer(
    state: RetryState,
    message: RetryAnswer,
    now: Millis,
) -> bool | None:
    """Return whether the retry was granted; None for a late or second answer.

    The caller must not retry on None.
    """
    until = state.asked.pop(Retry(message.call_id, message.attempt), None)
    if until is None or now >= until:
        return None
    return message.granted


def expire(state: RetryState, now: Millis) -> list[Retry]:
    """Return the retries whose answer is overdue; call every tick.

    The caller must give them up. Ledgers past their deadline are dropped.
    """
    overdue = [retry for retry, until in state.asked.items() if until <= now]
    for retry in overdue:
        del state.asked[retry]
    ended = [
        request_id
        for request_id, ledger in state.ledgers.items()
        if ledger.deadline <= now
    ]
    for request_id in ended:
        del state.ledgers[request_id]
    return overdue


def backoff(attempt: int, random: random_module.Random) -> Millis:
    """Return a delay in ms with full jitter; the attempt starts at 1."""
    doublings = min(attempt - 1, LARGEST_BACKOFF.bit_length())
    longest = min(LARGEST_BACKOFF, FIRST_BACKOFF * 2**doublings)
    return Millis(random.uniform(0, longest))


def plan_retry(
    failed: FailedCall,
    random: random_module.Random,
    now: Millis,
) -> RetryAfter | NoRetry:
    """Decide whether a failed call may be retried, and after which delay.

    The ledger has to grant the retry as well.
    """
    if failed.code not in RETRYABLE_CODES:
        return NoRetry(NoRetryReason.code)
    if not failed.idempotent and failed.run is not RunState.not_run:
        return NoRetry(NoRetryReason.may_have_run)
    if failed.all_overloaded:
        return NoRetry(NoRetryReason.all_overloaded)
    if not failed.other_instance:
        return NoRetry(NoRetryReason.no_other_instance)
    delay = backoff(failed.attempt, random)
    if now + delay >= failed.deadline:
        return NoRetry(NoRetryReason.deadline)
    return RetryAfter(delay)


def fingerprint(method: str, target: str, body: bytes) -> Fingerprint:
    """Return a digest of an onward call; the target includes the query."""
    digest = hashlib.blake2b(body, digest_size=DIGEST_BYTES)
    head = f'{method} {target}\n'.encode()
    whole = hashlib.blake2b(head + digest.digest(), digest_size=DIGEST_BYTES)
    return Fingerprint(whole.digest())


def is_repeat(
    state: RetryState,
    token: ContextToken,
    onward: Fingerprint,
) -> bool:
    """Record an onward call; True when the token has made it before.

    A repeat counts as a retry: the ledger has to grant it.
    """
    seen = state.onward.setdefault(token, set())
    if onward in seen:
        return True
    seen.add(onward)
    return False


def forget_token(state: RetryState, token: ContextToken) -> None:
    """Drop the onward calls of a running call that has ended."""
    state.onward.pop(token, None)
