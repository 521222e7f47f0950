"""Run store operations in the background within the node's call budget."""

import contextlib
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

from jasmineramp.clock import Clock
from jasmineramp.store_budget import StoreBudget
from jasmineramp.store_messages import (
    Operation,
    Outcome,
    Role,
    StoreAnswer,
    StoreAnswered,
    StoreRequest,
)

THREADS = 6
# A longer wait is answered as not done; the policies try again by themselves.
LONGEST_WAIT_MS = 500
_MILLIS_PER_SECOND = 1000


class RoleStore(Protocol):
    """Run an operation and count it under a role."""

    def run(
        self, operation: Operation, role: Role | None = None
    ) -> StoreAnswer:
        """Run an operation and return its answer; never raises."""


class StoreWorker:
    """Send store requests and deliver their answers as events."""

    def __init__(
        self,
        store: RoleStore | None,
        budget: StoreBudget,
        clock: Clock,
        deliver: Callable[[StoreAnswered], None],
    ) -> None:
        self.store = store
        self.budget = budget
        self.clock = clock
        self.deliver = deliver
        self.lock = threading.Lock()
        self.executor = ThreadPoolExecutor(THREADS, 'store')

    def submit(self, request: StoreRequest) -> None:
        """Run a request in the background; nothing happens after close."""
        with contextlib.suppress(RuntimeError):
            self.executor.submit(self._run, request)

    def close(self) -> None:
        """Start no further request."""
        self.executor.shutdown(wait=False, cancel_futures=True)

    def _run(self, request: StoreRequest) -> None:
        answer = StoreAnswer(Outcome.not_done, detail='no platform')
        if self.store is not None:
            answer = self._run_within_budget(self.store, request)
        self.deliver(
            StoreAnswered(
                request.role,
                request.tag,
                request.operation,
                answer,
            ),
        )

    def _run_within_budget(
        self,
        store: RoleStore,
        request: StoreRequest,
    ) -> StoreAnswer:
        until = self.clock.now() + LONGEST_WAIT_MS
        wait = self._admit(request)
        while wait:
            if self.clock.now() + wait > until:
                return StoreAnswer(Outcome.not_done, detail='over the budget')
            time.sleep(wait / _MILLIS_PER_SECOND)
            wait = self._admit(request)
        answer = store.run(request.operation, request.role)
        with self.lock:
            self.budget.finished(
                request.role,
                request.operation,
                answer.outcome,
                self.clock.now(),
            )
        return answer

    def _admit(self, request: StoreRequest) -> float:
        with self.lock:
            return self.budget.admit(
                request.role,
                request.operation,
                self.clock.now(),
            )
