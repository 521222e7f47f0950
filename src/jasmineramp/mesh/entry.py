"""Follow a call through its entry node, from the caller to an answer."""

import asyncio
from typing import Protocol

import msgspec

from jasmineramp import routing
from jasmineramp.clock import Clock, Millis, later
from jasmineramp.ids import (
    Importance,
    NodeId,
    ServiceName,
    WorkspaceId,
)
from jasmineramp.load_reports import LoadReport
from jasmineramp.membership_messages import Instance
from jasmineramp.mesh.admitted_call import AdmittedCall
from jasmineramp.mesh.caller_http import CallerResponse
from jasmineramp.mesh.calls import (
    Answer,
    CallEnd,
    CallerRequest,
    CallHead,
    CallKind,
    Deadline,
    Failure,
    UpstreamCall,
    not_run,
    unknown,
)
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.freshness import Freshness
from jasmineramp.mesh.instance_gate import InstanceGate
from jasmineramp.mesh.node_metrics import NodeMetrics
from jasmineramp.mesh.peer_calls import run_at_peer
from jasmineramp.mesh.peer_links import (
    PeerLink,
)
from jasmineramp.mesh.platform_binding import Dialect
from jasmineramp.mesh.responses import Responder
from jasmineramp.mesh.retry_budget import RetryBudget
from jasmineramp.mesh.route_table import (
    RankedWorkspace,
    RouteRow,
    RouteTable,
    TargetSplit,
    importance_of,
)
from jasmineramp.refusals import RefusalCode, RunState
from jasmineramp.routing import CallOutcome, RoutingState
from jasmineramp.table import MOST_IMPORTANCE

# The patience of a caller that names none.
USUAL_PATIENCE_MS = 30_000.0
LEAST_SEND_MS = 8
# Refusals by one instance after which the call is refused altogether.
LARGEST_REDIRECTS = 2
REACH_WAIT_MS = 200
REACH_INTERVAL_S = 0.05
SERVER_ERROR = 500
# Bytes between failure domains are priced; most calls are far smaller.
LARGE_BODY_BYTES = 16_384

_encoder = msgspec.json.Encoder()


class QuotaTaker(Protocol):
    """Take a token of a workspace's rate, wherever its bucket is."""

    async def take(self, workspace: RankedWorkspace) -> float:
        """Return 0, or the wait in ms when there is no token."""


class _Observation:
    """Tell routing how a call to an instance ended, also when cancelled."""

    def __init__(
        self, routes: RoutingState, instance: Instance, clock: Clock
    ) -> None:
        self.routes = routes
        self.instance = instance
        self.clock = clock
        self.outcome = CallOutcome.cancelled
        self.load: LoadReport | None = None

    def __enter__(self) -> '_Observation':
        return self

    def __exit__(self, *_: object) -> None:
        routing.observe(
            self.routes,
            self.instance.node,
            self.outcome,
            self.clock.now(),
            load=self.load,
            incarnation=self.instance.incarnation,
        )


class Entry:
    """Take the calls of this VM's callers to an upstream."""

    def __init__(
        self,
        node: NodeId,
        service: ServiceName,
        *,
        dialect: Dialect,
        gate: InstanceGate,
        quotas: QuotaTaker,
        routes: RoutingState,
        budget: RetryBudget,
        split: TargetSplit,
        freshness: Freshness,
        metrics: NodeMetrics,
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        self.node = node
        self.service = service
        self.dialect = dialect
        self.responder = Responder(
            node, dialect, metrics=metrics, log=log, clock=clock
        )
        self.gate = gate
        self.quotas = quotas
        self.routes = routes
        self.budget = budget
        self.split = split
        self.freshness = freshness
        self.metrics = metrics
        self.log = log
        self.clock = clock
        self.table: RouteTable | None = None
        self.links: dict[NodeId, PeerLink] = {}
        self.unreachable: frozenset[NodeId] = frozenset()
        self.is_refusing = False

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Return the response to a caller's request."""
        received = self.clock.now()
        head = self.dialect.read_request(request)
        admitted: AdmittedCall | None = None
        try:
            found = await self._admit(request, head, received)
            if isinstance(found, Failure):
                return self.responder.respond(head, None, found, received)
            admitted = found
            end = await self._run(admitted)
        except Exception as error:
            # The caller gets an answer that promises nothing.
            self.log.write('fault', work='call', error=repr(error))
            end = unknown(RefusalCode.internal_error, 'fault of the node')
        return self.responder.respond(head, admitted, end, received)

    async def _admit(
        self, request: CallerRequest, head: CallHead, received: Millis
    ) -> AdmittedCall | Failure:
        table = self.table
        if table is None:
            return not_run(RefusalCode.configuration_missing, 'no table yet')
        if self.is_refusing:
            return not_run(RefusalCode.draining, 'node stops')
        if not head.request_id:
            return Failure(
                RefusalCode.request_malformed, RunState.not_run, 'no id'
            )
        target = request.target.decode('latin-1')
        route = table.find(head.host, target.partition('?')[0])
        if route is None:
            return self._deny(RefusalCode.route_unknown, received)
        workspace: RankedWorkspace | None = None
        if table.has_workspaces and not route.is_open:
            found = await self._authenticate(table, head, received)
            if isinstance(found, Failure):
                return found
            workspace = found
        return self._plan(request, head, route, workspace, received)

    async def _authenticate(
        self, table: RouteTable, head: CallHead, now: Millis
    ) -> RankedWorkspace | Failure:
        """Return the workspace of the key, after its rate has been charged."""
        if not self.freshness.may_admit_keys(now):
            return not_run(
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
        return not_run(
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
        received: Millis,
    ) -> AdmittedCall:
        patience = head.deadline_ms
        if patience is None:
            patience = USUAL_PATIENCE_MS
        deadline = Deadline(
            later(received, patience), later(received, route.timeout_ms)
        )
        is_inner = workspace is None
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
            MOST_IMPORTANCE if is_inner else importance_of(route, workspace),
            int(is_inner),
            route.kind is CallKind.idempotent,
        )
        return AdmittedCall(route, service, deadline, call)

    async def _run(self, admitted: AdmittedCall) -> CallEnd:
        """Send the call until it has an answer or may not be repeated."""
        while True:
            now = self.clock.now()
            left_ms = admitted.deadline.end() - now
            if left_ms < LEAST_SEND_MS:
                return admitted.kept or not_run(
                    RefusalCode.deadline_exceeded, 'no time left'
                )
            importance = Importance(admitted.upstream_call.importance)
            if not routing.admits(
                self.routes, admitted.service, importance, now
            ):
                return admitted.kept or self._overloaded(admitted)
            instance = await self._choose(admitted)
            if instance is None:
                return admitted.kept or not_run(
                    RefusalCode.no_upstream,
                    f'no instance of {admitted.service}',
                )
            end = await self._send(admitted, instance, left_ms)
            final = self._judge(admitted, instance.node, end)
            if final is not None:
                return final
            self._log_repeat(admitted, instance.node, end)

    async def _choose(self, admitted: AdmittedCall) -> Instance | None:
        """Choose an instance; wait a little while none is reachable."""
        until = later(self.clock.now(), REACH_WAIT_MS)
        while True:
            now = self.clock.now()
            instance = routing.choose(
                self.routes,
                admitted.service,
                admitted.excluded | self.unreachable,
                now,
                is_large=len(admitted.upstream_call.body) > LARGE_BODY_BYTES,
            )
            if instance is not None or admitted.excluded or now > until:
                return instance
            # Nodes that were restarted together are back within moments.
            await asyncio.sleep(REACH_INTERVAL_S)

    def _judge(
        self, admitted: AdmittedCall, node: NodeId, end: CallEnd
    ) -> CallEnd | None:
        """Return the end of the call, None when it is to be sent again."""
        admitted.excluded |= {node}
        if isinstance(end, Failure) and end.run is RunState.not_run:
            admitted.redirects += 1
            has_other = self._has_other(admitted)
            if (
                has_other
                and admitted.redirects <= LARGEST_REDIRECTS
                and (not end.arrived or self.budget.take(admitted.service))
            ):
                return None
            return admitted.kept or end
        if isinstance(end, Answer) and end.status < SERVER_ERROR:
            return end
        admitted.attempts += 1
        admitted.kept = admitted.kept or end
        if not self._may_repeat(admitted):
            return admitted.kept
        return None

    def _log_repeat(
        self, admitted: AdmittedCall, node: NodeId, end: CallEnd
    ) -> None:
        if isinstance(end, Answer):
            cause, detail = f'status {end.status}', ''
        else:
            cause, detail = end.code.value, end.detail
        self.log.write(
            'sent_again',
            request=admitted.upstream_call.request_id,
            after=node,
            cause=cause,
            detail=detail,
            sends=admitted.attempts,
            redirects=admitted.redirects,
            credit=self.budget.credit.get(admitted.service),
        )

    def _may_repeat(self, admitted: AdmittedCall) -> bool:
        return (
            admitted.upstream_call.repeatable
            and admitted.attempts < admitted.route.attempts
            and admitted.deadline.end() - self.clock.now() > LEAST_SEND_MS
            and self._has_other(admitted)
            and self.budget.take(admitted.service)
        )

    def _has_other(self, admitted: AdmittedCall) -> bool:
        return routing.has_other(
            self.routes,
            admitted.service,
            admitted.excluded | self.unreachable,
        )

    async def _send(
        self, admitted: AdmittedCall, instance: Instance, left_ms: float
    ) -> CallEnd:
        """Send the call to the node beside an instance."""
        if admitted.attempts:
            self.metrics.repeats[admitted.service] += 1
        else:
            self.budget.count_send(admitted.service)
        call = admitted.upstream_call
        call.left_ms = left_ms
        call.instance = ''
        with _Observation(self.routes, instance, self.clock) as observation:
            if instance.node == self.node:
                end = await self.gate.run(call)
                observation.load = self.gate.load()
            else:
                end, load = await run_at_peer(
                    self.links.get(instance.node), call, left_ms
                )
                observation.load = load
            observation.outcome = _outcome_of(end)
        return end

    def _overloaded(self, admitted: AdmittedCall) -> Failure:
        return Failure(
            RefusalCode.overloaded,
            RunState.not_run,
            row=admitted.route.name,
            column='importance',
            figure=admitted.upstream_call.importance,
        )


def _outcome_of(end: CallEnd) -> CallOutcome:
    if isinstance(end, Answer):
        failed = end.status >= SERVER_ERROR
        return CallOutcome.failed if failed else CallOutcome.succeeded
    if end.run is RunState.not_run and end.code is not (
        RefusalCode.upstream_lost
    ):
        return CallOutcome.shed
    return CallOutcome.failed
