"""Answer operator requests from the state of a node."""

from collections.abc import Callable
from typing import Any

import msgspec

from jasmineramp import logs, membership, refusal_counts, timeline
from jasmineramp.actors import Dispatcher
from jasmineramp.clock import Clock
from jasmineramp.effects import RecordEvent
from jasmineramp.ids import NodeId
from jasmineramp.operator_http import NodeStatus
from jasmineramp.refusal_counts import (
    RefusalCounts,
    RefusalQuery,
    RefusalSummary,
)
from jasmineramp.refusals import Refusal
from jasmineramp.state import NodeState
from jasmineramp.timeline import EventPage, EventQuery, Timeline


class NodeRecords:
    """Hold the timeline and the refusal counts of a node."""

    def __init__(self, node: NodeId, clock: Clock) -> None:
        self.clock = clock
        self.timeline = Timeline(node)
        self.refusals = RefusalCounts(node)

    def record(self, event: RecordEvent) -> None:
        """Add an event to the timeline."""
        timeline.record(
            self.timeline,
            event.kind.value,
            event.fields,
            self.clock.now(),
        )

    def count_refusal(self, workspace: str, refusal: Refusal) -> None:
        """Count a refusal by its reason."""
        refusal_counts.count(
            self.refusals,
            workspace,
            refusal,
            self.clock.now(),
        )


class NodeView:
    """Provide the state of a node to the operator application; thread-safe."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        records: NodeRecords,
        drain: Callable[[], None],
        measure_traffic: Callable[[], dict[str, int]],
    ) -> None:
        self.dispatcher = dispatcher
        self.measure_traffic = measure_traffic
        self.records = records
        self.start_drain = drain

    def status(self) -> NodeStatus:
        """Return the state of the node."""
        status = self.dispatcher.inspect(describe)
        status.details.update(self.measure_traffic())
        return status

    def events(self, query: EventQuery) -> EventPage:
        """Return the events that match a query."""
        return self.dispatcher.inspect(
            lambda _: timeline.select(
                self.records.timeline,
                query,
                self.records.clock.now(),
            ),
        )

    def refusals(self, query: RefusalQuery) -> RefusalSummary:
        """Return the refusal counts that match a query."""
        return self.dispatcher.inspect(
            lambda _: refusal_counts.summarize(
                self.records.refusals,
                query,
                self.records.clock.now(),
            ),
        )

    def drain(self) -> None:
        """Start a graceful stop; repeated calls have no effect."""
        self.start_drain()

    def set_log_level(self, level: str) -> None:
        """Set the minimum level that is logged."""
        logs.set_level(level)


def describe(state: NodeState) -> NodeStatus:
    """Return the status document of a node."""
    return NodeStatus(
        state.node,
        state.domain,
        'stopping' if state.stopping else 'serving',
        state.configuration.revision,
        state.configuration.accepted,
        {
            'alive': sorted(state.alive),
            'calls': len(state.calls),
            'running': len(state.running),
            'rate_slot': state.rates.lease.slot if state.rates.lease else None,
            'is_current': membership.is_current(state.membership),
            'services': _describe_services(state),
            **_describe_admission(state),
        },
    )


def _describe_admission(state: NodeState) -> dict[str, Any]:
    queue = state.admission
    if queue is None or state.upstream is None:
        return {}
    return {
        'upstream': msgspec.structs.asdict(state.upstream),
        'limit': queue.limiter.limit,
        'queued': len(queue.queue.entries),
    }


def _describe_services(state: NodeState) -> dict[str, list[str]]:
    return {
        name: sorted(service.targets)
        for name, service in state.routing.services.items()
    }
