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

INITIAL_RETRY_DELAY_MS = 200.0
MAX_RETRY_DELAY_MS = 5000.0


class StoreStep:
    """Run one operation at a time, retrying until its outcome is known.

    An operation that was not done is retried after a jittered delay. After an
    unknown outcome or a conflict of a compare-and-swap the key is read back,
    because an earlier attempt may have caused the conflict. A lease name is
    used by one process only, so a conflict of a grant proves that an earlier
    attempt took effect; sent_at is then the time of the first attempt.
    """

    def __init__(
        self,
        role: Role,
        prefix: str,
        rng: random.Random,
        max_retry_delay_ms: float = MAX_RETRY_DELAY_MS,
    ) -> None:
        self.role = role
        self.max_retry_delay_ms = max_retry_delay_ms
        self.prefix = prefix
        self.random = rng
        self.operation: Operation | None = None
        self.tag = ''
        self.sent_count = 0
        self.failures = 0
        self.reading_back = False
        self.retry_at: Millis | None = None
        self.started_at = Millis(0)
        self.sent_at = Millis(0)

    @property
    def busy(self) -> bool:
        """Return whether an operation is in progress."""
        return self.operation is not None

    def start(self, operation: Operation, now: Millis) -> list[Effect]:
        """Start an operation; one in progress is abandoned."""
        self.operation = operation
        self.started_at = now
        self.failures = 0
        self.reading_back = False
        return self._send(operation, now)

    def cancel(self) -> None:
        """Abandon the operation in progress; its answer will be ignored."""
        self.operation = None
        self.tag = ''
        self.retry_at = None
        # Callers read the failures to decide whether the store accepts writes.
        self.failures = 0

    def answered(
        self, event: StoreAnswered, now: Millis
    ) -> tuple[StoreAnswer | None, list[Effect]]:
        """Handle an answer; return the final one (done or conflict) or None."""
        operation = self.operation
        if operation is None or event.tag != self.tag:
            return None, []
        outcome = event.answer.outcome
        if outcome is Outcome.not_done:
            return None, self._schedule_retry(now)
        if self.reading_back and isinstance(operation, CompareAndSwap):
            return self._resolve(operation, event.answer, now)
        if isinstance(operation, CompareAndSwap):
            if outcome is not Outcome.done:
                self.reading_back = True
                return None, self._send(Get(operation.key), now)
        elif outcome is Outcome.unknown:
            return None, self._schedule_retry(now)
        elif isinstance(operation, GrantLease):
            if outcome is Outcome.conflict:
                self.sent_at = self.started_at
            return self._finish(StoreAnswer(Outcome.done))
        return self._finish(event.answer)

    def tick(self, now: Millis) -> list[Effect]:
        """Retry the operation once its delay has elapsed."""
        if self.retry_at is None or now < self.retry_at:
            return []
        operation = self.operation
        if operation is None:
            return []
        if self.reading_back:
            return self._send(Get(operation.key), now)
        return self._send(operation, now)

    def _resolve(
        self, operation: CompareAndSwap, stored: StoreAnswer, now: Millis
    ) -> tuple[StoreAnswer | None, list[Effect]]:
        if stored.revision and stored.body == operation.body:
            return self._finish(stored)
        if stored.revision == operation.revision:
            # Nothing has been written yet, but the lost request may still
            # arrive. The retry sends the same body, so that whichever write
            # succeeds is recognised by its body.
            self.reading_back = False
            return None, self._schedule_retry(now)
        return self._finish(
            StoreAnswer(Outcome.conflict, stored.revision, stored.body)
        )

    def _finish(
        self, answer: StoreAnswer
    ) -> tuple[StoreAnswer | None, list[Effect]]:
        self.cancel()
        return answer, []

    def _send(self, operation: Operation, now: Millis) -> list[Effect]:
        self.sent_count += 1
        self.tag = f'{self.prefix}/{self.sent_count}'
        self.retry_at = None
        self.sent_at = now
        return [StoreRequest(self.role, self.tag, operation)]

    def _schedule_retry(self, now: Millis) -> list[Effect]:
        max_delay_ms = min(
            INITIAL_RETRY_DELAY_MS * 2**self.failures, self.max_retry_delay_ms
        )
        self.failures = min(self.failures + 1, 10)
        self.tag = ''
        self.retry_at = later(
            now, self.random.uniform(max_delay_ms / 2, max_delay_ms)
        )
        return []
