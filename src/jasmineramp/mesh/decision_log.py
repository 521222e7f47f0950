"""Write rate-limited JSON log lines without blocking the event loop."""

import collections
import os
import time
from typing import Any

import msgspec

from jasmineramp.ids import NodeId

# Limits per event name. Successful calls get a lower limit than other events,
# because failures and refusals must be findable.
MAX_LINES_PER_SECOND = 100
MAX_FREQUENT_LINES_PER_SECOND = 20
FREQUENT_EVENTS = frozenset(('answered',))
MAX_BACKLOG_BYTES = 256 * 1024
_STDOUT = 1

_encoder = msgspec.json.Encoder()


class DecisionLog:
    """Buffer the log lines of all events and write them without blocking.

    Each event name has a limit of lines per second; a `lines_left_out` line
    counts the dropped ones.
    """

    def __init__(self, node: NodeId, descriptor: int = _STDOUT) -> None:
        self.node = node
        self.descriptor = descriptor
        self.current_second = 0
        self.written_counts: collections.Counter[str] = collections.Counter()
        self.dropped_counts: collections.Counter[str] = collections.Counter()
        self.backlog = bytearray()
        self.lost_bytes = 0
        os.set_blocking(descriptor, False)

    def write(self, event: str, **fields: Any) -> None:
        """Log an event with its fields, unless its limit is reached."""
        now = time.time()
        if int(now) != self.current_second:
            self._start_second(int(now))
        is_frequent = event in FREQUENT_EVENTS
        limit = (
            MAX_FREQUENT_LINES_PER_SECOND
            if is_frequent
            else MAX_LINES_PER_SECOND
        )
        if self.written_counts[event] >= limit:
            self.dropped_counts[event] += 1
            return
        self.written_counts[event] += 1
        self._append(event, now, fields)

    def flush(self) -> None:
        """Write as much of the backlog as the descriptor accepts now."""
        if not self.backlog:
            return
        try:
            count = os.write(self.descriptor, self.backlog)
        except BlockingIOError:
            return
        except OSError:
            # The reader closed the pipe; the process continues without a log.
            self.lost_bytes += len(self.backlog)
            self.backlog.clear()
            return
        del self.backlog[:count]

    def _start_second(self, second: int) -> None:
        self.current_second = second
        self.written_counts.clear()
        if self.dropped_counts:
            counts = dict(self.dropped_counts)
            self.dropped_counts.clear()
            self._append('lines_left_out', time.time(), {'counts': counts})

    def _append(self, event: str, now: float, fields: dict[str, Any]) -> None:
        if len(self.backlog) > MAX_BACKLOG_BYTES:
            self.dropped_counts[event] += 1
            return
        line = {'time': round(now, 4), 'node': self.node, 'event': event}
        self.backlog += _encoder.encode_lines([line | fields])
