"""Report the outcomes of calls to routing."""

from jasmineramp import routing_outcomes
from jasmineramp.clock import Clock
from jasmineramp.load_reports import LoadReport
from jasmineramp.membership_messages import Instance
from jasmineramp.mesh.calls import Answer, CallResult
from jasmineramp.refusals import RefusalCode, RunState
from jasmineramp.routing import RoutingState
from jasmineramp.routing_outcomes import CallOutcome


class Observation:
    """Report the outcome of a call to routing, also when it is cancelled."""

    def __init__(
        self, routes: RoutingState, instance: Instance, clock: Clock
    ) -> None:
        self.routes = routes
        self.instance = instance
        self.clock = clock
        self.outcome = CallOutcome.cancelled
        self.load: LoadReport | None = None

    def __enter__(self) -> 'Observation':
        return self

    def __exit__(self, *_: object) -> None:
        routing_outcomes.record_outcome(
            self.routes,
            self.instance.node,
            self.outcome,
            self.clock.now(),
            load=self.load,
            incarnation=self.instance.incarnation,
        )


def outcome_of(result: CallResult) -> CallOutcome:
    """Return what the result of a call tells about its instance."""
    if isinstance(result, Answer):
        if result.is_server_error():
            return CallOutcome.failed
        return CallOutcome.succeeded
    if result.is_for_all:
        # Counted as full, all instances would send calls to other domains.
        return CallOutcome.cancelled
    if result.run is RunState.not_run and result.code is not (
        RefusalCode.upstream_lost
    ):
        return CallOutcome.shed
    return CallOutcome.failed
