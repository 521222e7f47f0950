"""Hold a call that has passed the table on its way to an upstream."""

from jasmineramp.ids import NodeId, ServiceName
from jasmineramp.mesh.calls import CallEnd, Deadline, UpstreamCall
from jasmineramp.mesh.route_table import RouteRow


class AdmittedCall:
    """Hold a call that has passed the table, and what became of it."""

    __slots__ = (
        'attempts',
        'deadline',
        'excluded',
        'kept',
        'redirects',
        'route',
        'service',
        'upstream_call',
    )

    def __init__(
        self,
        route: RouteRow,
        service: ServiceName,
        deadline: Deadline,
        upstream_call: UpstreamCall,
    ) -> None:
        self.route = route
        self.service = service
        self.deadline = deadline
        self.upstream_call = upstream_call
        self.excluded: frozenset[NodeId] = frozenset()
        # Sends that reached an upstream, and refusals by nodes beside one.
        self.attempts = 0
        self.redirects = 0
        # What an upstream that may have run the call has said.
        self.kept: CallEnd | None = None
