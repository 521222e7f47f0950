"""Write bounded JSON lines that never block the event loop."""

import collections
import os
import time
from typing import Any

import msgspec

from jasmineramp.ids import NodeId

# Failures and refusals are looked for, successes only sampled.
LINES_A_SECOND = 100
SAMPLED_LINES_A_SECOND = 20
SAMPLED_EVENTS = frozenset(('answered',))
LARGEST_BACKLOG_BYTES = 256 * 1024
_STDOUT = 1

_encoder = msgspec.json.Encoder()


class DecisionLog:
    """Collect the lines of a process and write what the reader takes.

    Each kind of event has a bound a second; a line counts what was left out.
    """

    def __init__(self, node: NodeId, descriptor: int = _STDOUT) -> None:
        self.node = node
        self.descriptor = descriptor
        self.second = 0
        self.written: collections.Counter[str] = collections.Counter()
        self.dropped: collections.Counter[str] = collections.Counter()
        self.backlog = bytearray()
        self.lost_bytes = 0
        os.set_blocking(descriptor, False)

    def write(self, event: str, **fields: Any) -> None:
        """Log an event with its inputs and its outcome."""
        now = time.time()
        if int(now) != self.second:
            self._start_second(int(now))
        sampled = event in SAMPLED_EVENTS
        bound = SAMPLED_LINES_A_SECOND if sampled else LINES_A_SECOND
        if self.written[event] >= bound:
            self.dropped[event] += 1
            return
        self.written[event] += 1
        self._append(event, now, fields)

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        if not self.backlog:
            return
        try:
            count = os.write(self.descriptor, self.backlog)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more; the process goes on without its log.
            self.lost_bytes += len(self.backlog)
            self.backlog.clear()
            return
        del self.backlog[:count]

    def _start_second(self, second: int) -> None:
        self.second = second
        self.written.clear()
        if self.dropped:
            counts = dict(self.dropped)
            self.dropped.clear()
            self._append('lines_left_out', time.time(), {'counts': counts})

    def _append(self, event: str, now: float, fields: dict[str, Any]) -> None:
        if len(self.backlog) > LARGEST_BACKLOG_BYTES:
            self.dropped[event] += 1
            return
        line = {'time': round(now, 4), 'node': self.node, 'event': event}
        self.backlog += _encoder.encode_lines([line | fields])
