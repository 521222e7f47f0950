"""Admit the calls of callers by the table, the rates and the age of both."""

from typing import Protocol

from jasmineramp.admission import MAX_QUEUE_WAIT_MS
from jasmineramp.clock import Millis, later
from jasmineramp.ids import ServiceName, WorkspaceId
from jasmineramp.mesh.admitted_call import AdmittedCall
from jasmineramp.mesh.calls import (
    CallerRequest,
    CallHead,
    CallKind,
    Deadline,
    Failure,
    UpstreamCall,
    not_run_failure,
)
from jasmineramp.mesh.freshness import Freshness
from jasmineramp.mesh.route_table import (
    RankedWorkspace,
    RouteRow,
    RouteTable,
    TargetSplit,
    importance_of,
)
from jasmineramp.mesh.running_calls import Origin, RunningCalls
from jasmineramp.refusals import RefusalCode, RunState

# Applies to a request without a deadline header.
DEFAULT_TIMEOUT_MS = 30_000.0
# Fraction of the latency objective that a call may spend in queues.
MAX_WAIT_FRACTION = 0.5


class QuotaTaker(Protocol):
    """Take rate tokens from the bucket of a workspace, local or remote."""

    async def take(self, workspace: RankedWorkspace) -> float:
        """Take a token; return 0, or the wait in ms until one is available."""


class CallerAdmission:
    """Decide which calls of callers on this VM may enter the graph."""

    def __init__(
        self,
        service: ServiceName,
        running_calls: RunningCalls,
        *,
        quotas: QuotaTaker,
        split: TargetSplit,
        freshness: Freshness,
    ) -> None:
        self.service = service
        self.running_calls = running_calls
        self.quotas = quotas
        self.split = split
        self.freshness = freshness
        self.table: RouteTable | None = None
        self.is_refusing = False
        # A stopping node cuts off what lasts longer.
        self.latest_end = Millis(float('inf'))

    async def admit(
        self, request: CallerRequest, head: CallHead, received: Millis
    ) -> AdmittedCall | Failure:
        """Return the admitted call, or why it is refused."""
        table = self.table
        if table is None:
            return not_run_failure(
                RefusalCode.configuration_missing, 'no table has been loaded'
            )
        if self.is_refusing and not self._is_made_by_running_call(head):
            return not_run_failure(RefusalCode.draining, 'the node is stopping')
        if not head.request_id:
            return Failure(
                RefusalCode.request_malformed, RunState.not_run, 'no request id'
            )
        route = _find_route(table, request, head)
        if route is None:
            return self._deny(RefusalCode.route_unknown, received)
        if (
            request.kind is CallKind.idempotent
            and route.kind is not CallKind.idempotent
        ):
            # Others of its connection may run beside it.
            return not_run_failure(
                RefusalCode.configuration_missing,
                'the kind of the route has just changed',
            )
        request.kind = route.kind
        deadline = _deadline_of(
            route, head, later(received, -request.waited_ms)
        )
        if deadline.earliest() > self.latest_end:
            if not self._is_made_by_running_call(head):
                return not_run_failure(
                    RefusalCode.draining,
                    'the call may last longer than the stopping node',
                )
            # Refused, it would fail the call that makes it.
            deadline = deadline.shorten(self.latest_end)
        workspace: RankedWorkspace | None = None
        if table.has_workspaces and not route.is_open:
            authenticated = await self._authenticate(table, head, received)
            if isinstance(authenticated, Failure):
                return authenticated
            workspace = authenticated
        return self._plan(
            request,
            head,
            route,
            workspace,
            deadline=deadline,
            received=received,
        )

    def is_idempotent(self, request: CallerRequest, head: CallHead) -> bool:
        """Return whether a request is one of an idempotent route.

        The kind is stored with the request, so that `admit` notices a change
        of the table in between.
        """
        if request.kind is None and self.table is not None:
            route = _find_route(self.table, request, head)
            request.kind = None if route is None else route.kind
        return request.kind is CallKind.idempotent

    def _is_made_by_running_call(self, head: CallHead) -> bool:
        """Return whether the id names a call that runs at the upstream."""
        return self.running_calls.find_parent(head.request_id) is not None

    async def _authenticate(
        self, table: RouteTable, head: CallHead, now: Millis
    ) -> RankedWorkspace | Failure:
        """Return the workspace of the key after charging its rate limit."""
        if not self.freshness.may_admit_keys(now):
            # The detail gives the time since a read of the store last confirmed
            # that the table is the newest.
            return not_run_failure(
                RefusalCode.configuration_missing,
                f'table proved {self.freshness.age(now):.0f} ms ago',
            )
        workspace = table.find_workspace(head.key) if head.key else None
        if workspace is None:
            code = (
                RefusalCode.key_unknown
                if head.key
                else (RefusalCode.key_missing)
            )
            return self._deny(code, now)
        if not workspace.row.rate:
            return workspace
        wait_ms = await self.quotas.take(workspace)
        if wait_ms:
            return Failure(
                RefusalCode.rate_exceeded,
                RunState.not_run,
                row=workspace.row.name,
                column='rate',
                limit=workspace.row.rate,
                retry_after_ms=wait_ms,
            )
        return workspace

    def _deny(self, code: RefusalCode, now: Millis) -> Failure:
        if self.freshness.may_deny(now):
            return Failure(code, RunState.not_run)
        return not_run_failure(
            RefusalCode.configuration_missing,
            f'{code.value}, but the table was proved '
            f'{self.freshness.age(now):.0f} ms ago',
        )

    def _plan(
        self,
        request: CallerRequest,
        head: CallHead,
        route: RouteRow,
        workspace: RankedWorkspace | None,
        *,
        deadline: Deadline,
        received: Millis,
    ) -> AdmittedCall:
        origin = self._find_origin(head, workspace)
        service = self.split.choose(route)
        call = UpstreamCall(
            head.request_id,
            request.method,
            request.target,
            head.headers,
            request.body,
            0,
            route.name,
            WorkspaceId('') if workspace is None else workspace.row.name,
            self.service,
            service,
            '',
            importance_of(route, workspace)
            if origin is None
            else origin.importance,
            int(origin is not None),
            route.kind is CallKind.idempotent,
            is_repeat=origin is not None and origin.is_repeat,
            progress=0
            if origin is None
            else self.running_calls.find_progress(head.request_id),
        )
        wait_until = later(received, _max_wait_ms(route))
        objective_end = (
            later(received, route.objective_ms) if route.objective_ms else None
        )
        return AdmittedCall(
            route,
            service,
            deadline,
            call,
            wait_until,
            objective_end=objective_end,
        )

    def _find_origin(
        self, head: CallHead, workspace: RankedWorkspace | None
    ) -> Origin | None:
        """Return the origin of a call of the upstream, None for a new request.

        Where the table has workspaces, only upstreams make calls without one.
        """
        if workspace is not None:
            return None
        running_calls = self.running_calls
        origin = running_calls.find_parent(head.request_id)
        if origin is None and self.table and self.table.has_workspaces:
            return running_calls.choose_origin()
        return origin


def _find_route(
    table: RouteTable, request: CallerRequest, head: CallHead
) -> RouteRow | None:
    target = request.target.decode('latin-1')
    return table.find(head.host, target.partition('?')[0])


def _deadline_of(route: RouteRow, head: CallHead, received: Millis) -> Deadline:
    caller_timeout_ms = head.deadline_ms
    if caller_timeout_ms is None:
        caller_timeout_ms = DEFAULT_TIMEOUT_MS
    return Deadline(
        later(received, caller_timeout_ms),
        later(received, route.timeout_ms),
    )


def _max_wait_ms(route: RouteRow) -> float:
    """Return how long a call may wait and still reach its objective."""
    if not route.objective_ms:
        return MAX_QUEUE_WAIT_MS
    objective_part_ms = route.objective_ms * MAX_WAIT_FRACTION
    return min(MAX_QUEUE_WAIT_MS, objective_part_ms)
