"""Define a call that the entry node has admitted."""

from jasmineramp.clock import Millis
from jasmineramp.ids import NodeId, ServiceName
from jasmineramp.mesh.calls import CallResult, Deadline, UpstreamCall
from jasmineramp.mesh.route_table import RouteRow


class AdmittedCall:
    """Hold an admitted call and the state of its sends."""

    __slots__ = (
        'deadline',
        'excluded',
        'failed_attempts',
        'first_result',
        'had_room',
        'has_arrived',
        'is_starved',
        'objective_end',
        'redirects',
        'route',
        'service',
        'upstream_call',
        'wait_until',
    )

    def __init__(
        self,
        route: RouteRow,
        service: ServiceName,
        deadline: Deadline,
        upstream_call: UpstreamCall,
        wait_until: Millis,
        *,
        objective_end: Millis | None = None,
    ) -> None:
        self.route = route
        self.service = service
        self.deadline = deadline
        self.upstream_call = upstream_call
        # The end of the time in queues, that of all sends together.
        self.wait_until = wait_until
        # None if the route has no latency objective.
        self.objective_end = objective_end
        self.excluded: frozenset[NodeId] = frozenset()
        # Failed attempts are sends that may have run, redirects are sends that
        # were refused without a run.
        self.failed_attempts = 0
        self.redirects = 0
        # Whether an instance may have received the call.
        self.has_arrived = False
        # Whether calls of the instance that answered are being refused.
        self.is_starved = False
        # Whether that instance and the services it calls had free slots.
        self.had_room = False
        # The result of the first attempt. It is returned if no later attempt
        # succeeds, because the call may have run.
        self.first_result: CallResult | None = None
