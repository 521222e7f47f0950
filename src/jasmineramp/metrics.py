"""Send the metrics of a node to statsd; docs/operating.md lists them."""

from typing import Protocol

import statsd

from jasmineramp.clock import Clock
from jasmineramp.http_messages import HttpResponse
from jasmineramp.refusals import Refusal, RefusalCode

PREFIX = 'jasmineramp'
# A call refused with one of these codes was within its workspace's rate.
WITHIN_RATE = frozenset(
    (
        RefusalCode.overloaded,
        RefusalCode.overloaded_downstream,
        RefusalCode.no_upstream,
        RefusalCode.upstream_lost,
        RefusalCode.deadline_exceeded,
        RefusalCode.claims_unavailable,
    )
)


class Sink(Protocol):
    """Accept metrics without blocking."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a time in milliseconds."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""


class NullSink:
    """Discard all metrics."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Discard a counter."""

    def timing(self, stat: str, delta: float) -> None:
        """Discard a time."""

    def gauge(self, stat: str, value: float) -> None:
        """Discard a gauge."""


def open_sink(host: str, port: int) -> Sink:
    """Return a sink that sends UDP datagrams to statsd."""
    sink: Sink = statsd.StatsClient(host, port, prefix=PREFIX)
    return sink


class CallMetrics:
    """Count calls by result; the number of metric names is bounded."""

    def __init__(self, sink: Sink, clock: Clock) -> None:
        self.sink = sink
        self.clock = clock

    def record(self, result: HttpResponse | Refusal, started: float) -> None:
        """Record the result of a call that entered at this node.

        started is the start time in ms.
        """
        if not isinstance(result, Refusal):
            self.sink.incr('calls.answered')
            self.sink.timing('calls.time', self.clock.now() - started)
            return
        self.sink.incr(f'calls.refused.{result.code.value}')
        if result.code in WITHIN_RATE:
            self.sink.incr('calls.refused_within_rate')
