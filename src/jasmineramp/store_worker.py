"""Run store operations in the background within the node's call budget."""

import contextlib
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from jasmineramp.store_http import BudgetedStore
from jasmineramp.store_messages import (
    Outcome,
    StoreAnswer,
    StoreAnswered,
    StoreRequest,
)

THREAD_COUNT = 6


class StoreWorker:
    """Run store requests on a thread pool and deliver answers as events."""

    def __init__(
        self,
        store: BudgetedStore | None,
        deliver: Callable[[StoreAnswered], None],
    ) -> None:
        self.store = store
        self.deliver = deliver
        self.executor = ThreadPoolExecutor(THREAD_COUNT, 'store')

    def submit(self, request: StoreRequest) -> None:
        """Run a request in the background; ignored after close."""
        with contextlib.suppress(RuntimeError):
            self.executor.submit(self._run, request)

    def close(self) -> None:
        """Cancel the requests not yet started and close the store."""
        self.executor.shutdown(wait=False, cancel_futures=True)
        if self.store is not None:
            self.store.close()

    def _run(self, request: StoreRequest) -> None:
        answer = StoreAnswer(Outcome.not_done, detail='no platform configured')
        if self.store is not None:
            answer = self.store.run(request.operation, request.role)
        self.deliver(
            StoreAnswered(
                request.role,
                request.tag,
                request.operation,
                answer,
            ),
        )
