"""Order the requests that a caller pipelines on one connection.

Load handled: callers that send further idempotent requests before the first
has been answered. One after another, a slow request would use up the deadlines
of those behind it.
"""

from collections import Counter, deque
from collections.abc import Callable
from typing import Generic, TypeVar

RequestT = TypeVar('RequestT')
ResponseT = TypeVar('ResponseT')

# Requests that a caller may queue on one connection behind the started ones.
MAX_PIPELINED_REQUESTS = 16
# Requests of one connection that are started and have no response written.
MAX_STARTED_REQUESTS = 16
# Nothing more is started while responses of this size wait for earlier ones.
MAX_HELD_BYTES = 256 * 1024


class PendingRequest(Generic[RequestT, ResponseT]):
    """Hold a request whose response has not been written.

    The request is None for one that was rejected while it was read.
    """

    __slots__ = (
        'closes',
        'is_idempotent',
        'is_started',
        'memory_bytes',
        'request',
        'response',
    )

    def __init__(
        self, request: RequestT | None, *, closes: bool, memory_bytes: int = 0
    ) -> None:
        self.request = request
        self.closes = closes
        self.memory_bytes = memory_bytes
        self.is_started = False
        self.is_idempotent: bool | None = None
        self.response: ResponseT | None = None


class Pipeline(Generic[RequestT, ResponseT]):
    """Decide which requests of a connection start, and what is written next.

    Idempotent requests run side by side. Another one starts once all before it
    are answered, and none behind it starts before it is answered. Requests
    behind a response that closes the connection count as not read: they are
    not started any more, and the last of those already started closes.
    """

    def __init__(
        self,
        is_idempotent: Callable[[RequestT], bool],
        size_of: Callable[[ResponseT], int],
        counts: Counter[str] | None = None,
        *,
        max_waiting: int = MAX_PIPELINED_REQUESTS,
    ) -> None:
        self.is_idempotent = is_idempotent
        self.size_of = size_of
        self.max_waiting = max_waiting
        # Shared by all connections, for the metrics.
        self.counts: Counter[str] = Counter() if counts is None else counts
        self.pending: deque[PendingRequest[RequestT, ResponseT]] = deque()
        # Whether what the caller sends from now on counts as not read.
        self.is_complete = False
        # Requests that have not been started, and the memory they take.
        self.waiting_count = 0
        self.waiting_bytes = 0
        # Of the started requests, until their responses are written.
        self.started_bytes = 0
        # Of the responses that wait for earlier ones.
        self.held_bytes = 0

    def add(
        self, request: RequestT, *, closes: bool, memory_bytes: int = 0
    ) -> bool:
        """Add a request; return False if it counts as not read."""
        if self.waiting_count >= self.max_waiting:
            self.is_complete = True
        if self.is_complete:
            self.counts['not_read'] += 1
            return False
        self.pending.append(
            PendingRequest(request, closes=closes, memory_bytes=memory_bytes)
        )
        self.waiting_count += 1
        self.waiting_bytes += memory_bytes
        self.is_complete = closes
        return True

    def withdraw_last(self) -> bool:
        """Remove the last request; return False if it has been started."""
        if not self.waiting_count or self.pending[-1].request is None:
            return False
        withdrawn = self.pending.pop()
        self.waiting_count -= 1
        self.waiting_bytes -= withdrawn.memory_bytes
        self.is_complete = False
        return True

    def reject(self, response: ResponseT) -> None:
        """Answer an unusable request, after those before it; then close."""
        rejected: PendingRequest[RequestT, ResponseT] = PendingRequest(
            None, closes=True
        )
        rejected.response = response
        self.held_bytes += self.size_of(response)
        self.pending.append(rejected)
        self.is_complete = True

    def take_startable(self) -> list[PendingRequest[RequestT, ResponseT]]:
        """Return the requests that start now, and count them as started."""
        startable: list[PendingRequest[RequestT, ResponseT]] = []
        last = len(self.pending) - 1
        for position, each in enumerate(self.pending):
            if not each.is_started:
                if each.request is None or (
                    position and not self._may_start_behind(position, each)
                ):
                    break
                each.is_started = True
                self.waiting_count -= 1
                self.waiting_bytes -= each.memory_bytes
                self.started_bytes += each.memory_bytes
                self.counts['beside'] += position > 0
                startable.append(each)
            # A request that is alone on its connection needs no look-up.
            if position == last or not self._is_idempotent(each):
                break
        return startable

    def finish(
        self,
        pending: PendingRequest[RequestT, ResponseT],
        response: ResponseT,
        *,
        closes: bool,
    ) -> None:
        """Store a response; with `closes`, nothing more is started."""
        pending.response = response
        self.held_bytes += self.size_of(response)
        if closes or pending.closes:
            self._drop_unstarted()

    def take_writable(
        self,
    ) -> list[tuple[PendingRequest[RequestT, ResponseT], ResponseT]]:
        """Return the responses whose turn has come, in request order."""
        writable = []
        while self.pending:
            response = self.pending[0].response
            if response is None:
                break
            pending = self.pending.popleft()
            self.held_bytes -= self.size_of(response)
            self.started_bytes -= pending.memory_bytes
            writable.append((pending, response))
        return writable

    def memory_bytes(self) -> int:
        """Return the memory of all requests and of the held responses."""
        return self.waiting_bytes + self.started_bytes + self.held_bytes

    def is_finished(self) -> bool:
        """Return whether the connection closes after what was taken."""
        return self.is_complete and not self.pending

    def clear(self) -> None:
        """Forget all requests of a connection that has ended."""
        self.is_complete = True
        self.pending.clear()
        self.waiting_count = self.waiting_bytes = 0
        self.started_bytes = self.held_bytes = 0

    def _may_start_behind(
        self, position: int, pending: PendingRequest[RequestT, ResponseT]
    ) -> bool:
        return (
            position < MAX_STARTED_REQUESTS
            and self.held_bytes < MAX_HELD_BYTES
            and self._is_idempotent(pending)
        )

    def _is_idempotent(
        self, pending: PendingRequest[RequestT, ResponseT]
    ) -> bool:
        if pending.is_idempotent is None:
            request = pending.request
            pending.is_idempotent = request is not None and self.is_idempotent(
                request
            )
        return pending.is_idempotent

    def _drop_unstarted(self) -> None:
        self.is_complete = True
        while self.pending and not self.pending[-1].is_started:
            dropped = self.pending.pop()
            if dropped.response is None:
                self.counts['not_read'] += 1
            else:
                self.held_bytes -= self.size_of(dropped.response)
        self.waiting_count = self.waiting_bytes = 0
