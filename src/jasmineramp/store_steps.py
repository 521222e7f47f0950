"""Run store operations one at a time until their outcome is known."""

import random

from jasmineramp.clock import Millis, later
from jasmineramp.effects import Effect
from jasmineramp.store_messages import (
    CompareAndSwap,
    Get,
    GrantLease,
    Operation,
    Outcome,
    Role,
    StoreAnswer,
    StoreAnswered,
    StoreRequest,
)

FIRST_RETRY_MS = 200.0
LAST_RETRY_MS = 5000.0


class StoreStep:
    """Hold the one operation in progress and resolve its outcome.

    An operation that is not done is sent again after a jittered delay. A
    compare-and-swap with an unknown outcome or a conflict is read back, since
    an earlier attempt may be what the conflict is about. Lease names are used
    by one process only, so a conflict of a grant proves that an earlier
    attempt took effect; the lease then counts from the first attempt.
    """

    def __init__(
        self,
        role: Role,
        prefix: str,
        source: random.Random,
        last_retry_ms: float = LAST_RETRY_MS,
    ) -> None:
        self.role = role
        self.last_retry_ms = last_retry_ms
        self.prefix = prefix
        self.random = source
        self.operation: Operation | None = None
        self.tag = ''
        self.count = 0
        self.failures = 0
        self.checking = False
        self.retry_at: Millis | None = None
        self.started_at = Millis(0)
        self.sent_at = Millis(0)

    @property
    def busy(self) -> bool:
        """Tell whether an operation is in progress."""
        return self.operation is not None

    def start(self, operation: Operation, now: Millis) -> list[Effect]:
        """Begin an operation; any former one is forgotten."""
        self.operation = operation
        self.started_at = now
        self.failures = 0
        self.checking = False
        return self._send(operation, now)

    def cancel(self) -> None:
        """Forget the operation in progress; its answer is ignored."""
        self.operation = None
        self.tag = ''
        self.retry_at = None
        # Callers read the count to tell whether the store takes writes.
        self.failures = 0

    def answered(
        self, event: StoreAnswered, now: Millis
    ) -> tuple[StoreAnswer | None, list[Effect]]:
        """Take an answer; return the resolved one, done or conflict."""
        operation = self.operation
        if operation is None or event.tag != self.tag:
            return None, []
        outcome = event.answer.outcome
        if outcome is Outcome.not_done:
            return None, self._delay(now)
        if self.checking and isinstance(operation, CompareAndSwap):
            return self._resolve(operation, event.answer, now)
        if isinstance(operation, CompareAndSwap):
            if outcome is not Outcome.done:
                self.checking = True
                return None, self._send(Get(operation.key), now)
        elif outcome is Outcome.unknown:
            return None, self._delay(now)
        elif isinstance(operation, GrantLease):
            if outcome is Outcome.conflict:
                self.sent_at = self.started_at
            return self._end(StoreAnswer(Outcome.done))
        return self._end(event.answer)

    def tick(self, now: Millis) -> list[Effect]:
        """Send the operation again once its delay has passed."""
        if self.retry_at is None or now < self.retry_at:
            return []
        operation = self.operation
        if operation is None:
            return []
        if self.checking:
            return self._send(Get(operation.key), now)
        return self._send(operation, now)

    def _resolve(
        self, operation: CompareAndSwap, found: StoreAnswer, now: Millis
    ) -> tuple[StoreAnswer | None, list[Effect]]:
        if found.revision and found.body == operation.body:
            return self._end(found)
        if found.revision == operation.revision:
            # Nothing was written yet, but the lost request may still arrive.
            # The same body is sent, so either write can be recognised.
            self.checking = False
            return None, self._delay(now)
        return self._end(
            StoreAnswer(Outcome.conflict, found.revision, found.body)
        )

    def _end(
        self, answer: StoreAnswer
    ) -> tuple[StoreAnswer | None, list[Effect]]:
        self.cancel()
        return answer, []

    def _send(self, operation: Operation, now: Millis) -> list[Effect]:
        self.count += 1
        self.tag = f'{self.prefix}/{self.count}'
        self.retry_at = None
        self.sent_at = now
        return [StoreRequest(self.role, self.tag, operation)]

    def _delay(self, now: Millis) -> list[Effect]:
        longest = min(FIRST_RETRY_MS * 2**self.failures, self.last_retry_ms)
        self.failures = min(self.failures + 1, 10)
        self.tag = ''
        self.retry_at = later(now, self.random.uniform(longest / 2, longest))
        return []
