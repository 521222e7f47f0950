"""Count and log why connections of callers were cut off or refused."""

import enum
from collections import Counter
from collections.abc import Callable
from typing import Any

LOG_INTERVAL_S = 1.0

LogWriter = Callable[..., Any]


class Cause(enum.Enum):
    """Name why a caller was refused or disconnected."""

    head = 'head'
    empty_lines = 'empty_lines'
    body = 'body'
    malformed = 'malformed'
    header_timeout = 'header_timeout'
    body_timeout = 'body_timeout'
    # A request that found no memory, and a connection that held too much.
    no_memory = 'no_memory'
    memory_freed = 'memory_freed'
    slow_reader = 'slow_reader'
    connection_limit = 'connection_limit'
    # An exception in the node, which is a fault.
    internal_error = 'internal_error'


class CauseCounts:
    """Count causes; log at most one line per cause and LOG_INTERVAL_S."""

    def __init__(
        self,
        counts: Counter[str] | None = None,
        write_log: LogWriter | None = None,
    ) -> None:
        self.counts: Counter[str] = Counter() if counts is None else counts
        self.write_log = write_log
        self.logged_at: dict[Cause, float] = {}

    def add(self, cause: Cause, now: float, **fields: Any) -> None:
        """Count a cause; the line holds the count since the start."""
        self.counts[cause.value] += 1
        last = self.logged_at.get(cause)
        if self.write_log is None or (
            last is not None and now - last < LOG_INTERVAL_S
        ):
            return
        self.logged_at[cause] = now
        self.write_log(
            'caller_cut_off',
            cause=cause.value,
            count=self.counts[cause.value],
            **fields,
        )
