"""Admit, route and retry the calls of local callers at the entry node."""

import asyncio
from typing import Protocol

import msgspec

from jasmineramp import routing
from jasmineramp.admission import MAX_QUEUE_WAIT_MS
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
    CallerRequest,
    CallHead,
    CallKind,
    CallResult,
    Deadline,
    Failure,
    UpstreamCall,
    not_run_failure,
    run_unknown_failure,
)
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.downstream import was_refused_for_load
from jasmineramp.mesh.freshness import Freshness
from jasmineramp.mesh.instance_gate import InstanceGate
from jasmineramp.mesh.node_metrics import NodeMetrics
from jasmineramp.mesh.peer_calls import SendOutcome, run_at_peer
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
from jasmineramp.mesh.running_calls import Origin
from jasmineramp.refusals import RefusalCode, RunState
from jasmineramp.routing import CallOutcome, RoutingState

# Applies to a request without a deadline header.
DEFAULT_TIMEOUT_MS = 30_000.0
MIN_REMAINING_MS = 8
# Sends of a call to another instance after an instance has refused it.
MAX_REDIRECTS = 2
INSTANCE_WAIT_MS = 200
INSTANCE_POLL_INTERVAL_S = 0.05
MIN_SERVER_ERROR_STATUS = 500
# Fraction of the latency objective that a call may spend in queues.
MAX_WAIT_FRACTION = 0.5
# Calls with a larger body, like those with large answers, prefer instances in
# the local failure domain: traffic between domains is billed by the byte.
LARGE_BODY_BYTES = 16_384

_encoder = msgspec.json.Encoder()


class QuotaTaker(Protocol):
    """Take rate tokens from the bucket of a workspace, local or remote."""

    async def take(self, workspace: RankedWorkspace) -> float:
        """Take a token; return 0, or the wait in ms until one is available."""


class _Observation:
    """Report the outcome of a call to routing, also when it is cancelled."""

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
        routing.record_outcome(
            self.routes,
            self.instance.node,
            self.outcome,
            self.clock.now(),
            load=self.load,
            incarnation=self.instance.incarnation,
        )


class Entry:
    """Admit the calls of callers on this VM and forward them to upstreams."""

    def __init__(
        self,
        node: NodeId,
        service: ServiceName,
        *,
        dialect: Dialect,
        gate: InstanceGate,
        quotas: QuotaTaker,
        routes: RoutingState,
        retry_budget: RetryBudget,
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
        self.retry_budget = retry_budget
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
            admission = await self._admit(request, head, received)
            if isinstance(admission, Failure):
                return self.responder.respond(head, None, admission, received)
            admitted = admission
            result = await self._run(admitted)
            call = admitted.upstream_call
            if call.hop:
                self.gate.pressure.record(
                    call.importance,
                    was_refused=was_refused_for_load(
                        result, is_starved=admitted.is_starved
                    ),
                    had_room=admitted.had_room,
                )
        except Exception as error:
            # The call may have run, so the response must not rule that out.
            self.log.write('fault', work='call', error=repr(error))
            result = run_unknown_failure(
                RefusalCode.internal_error, 'internal error in the node'
            )
        return self.responder.respond(head, admitted, result, received)

    async def _admit(
        self, request: CallerRequest, head: CallHead, received: Millis
    ) -> AdmittedCall | Failure:
        table = self.table
        if table is None:
            return not_run_failure(
                RefusalCode.configuration_missing, 'no table has been loaded'
            )
        if self.is_refusing:
            return not_run_failure(RefusalCode.draining, 'the node is stopping')
        if not head.request_id:
            return Failure(
                RefusalCode.request_malformed, RunState.not_run, 'no request id'
            )
        target = request.target.decode('latin-1')
        route = table.find(head.host, target.partition('?')[0])
        if route is None:
            return self._deny(RefusalCode.route_unknown, received)
        workspace: RankedWorkspace | None = None
        if table.has_workspaces and not route.is_open:
            authenticated = await self._authenticate(table, head, received)
            if isinstance(authenticated, Failure):
                return authenticated
            workspace = authenticated
        return self._plan(request, head, route, workspace, received)

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
        received: Millis,
    ) -> AdmittedCall:
        caller_timeout_ms = head.deadline_ms
        if caller_timeout_ms is None:
            caller_timeout_ms = DEFAULT_TIMEOUT_MS
        deadline = Deadline(
            later(received, caller_timeout_ms),
            later(received, route.timeout_ms),
        )
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
        )
        wait_until = later(received, _max_wait_ms(route))
        return AdmittedCall(route, service, deadline, call, wait_until)

    def _find_origin(
        self, head: CallHead, workspace: RankedWorkspace | None
    ) -> Origin | None:
        """Return the origin of a call of the upstream, None for a new request.

        Where the table has workspaces, only upstreams make calls without one.
        """
        if workspace is not None:
            return None
        running_calls = self.gate.running_calls
        origin = running_calls.find_parent(head.request_id)
        if origin is None and self.table and self.table.has_workspaces:
            return running_calls.choose_origin()
        return origin

    async def _run(self, admitted: AdmittedCall) -> CallResult:
        """Send the call until it has a final result."""
        while True:
            now = self.clock.now()
            remaining_ms = admitted.deadline.earliest() - now
            if remaining_ms < MIN_REMAINING_MS:
                return admitted.first_result or not_run_failure(
                    RefusalCode.deadline_exceeded, 'too little time remains'
                )
            importance = Importance(admitted.upstream_call.importance)
            if not routing.admits(
                self.routes, admitted.service, importance, now
            ):
                return admitted.first_result or self._overloaded(admitted)
            instance = await self._choose(admitted)
            if instance is None:
                return admitted.first_result or not_run_failure(
                    RefusalCode.no_upstream,
                    f'no instance of {admitted.service}',
                )
            result = await self._send(admitted, instance, remaining_ms)
            final = self._final_result(admitted, instance.node, result)
            if final is not None:
                return final
            self._log_retry(admitted, instance.node, result)

    async def _choose(self, admitted: AdmittedCall) -> Instance | None:
        """Choose an instance, waiting up to INSTANCE_WAIT_MS for one."""
        until = later(self.clock.now(), INSTANCE_WAIT_MS)
        while True:
            now = self.clock.now()
            instance = routing.choose(
                self.routes,
                admitted.service,
                admitted.excluded | self.unreachable,
                now,
                is_large=admitted.route.has_large_answers
                or len(admitted.upstream_call.body) > LARGE_BODY_BYTES,
            )
            if instance is not None or admitted.excluded or now > until:
                return instance
            # Nodes that restart together are soon reachable again.
            await asyncio.sleep(INSTANCE_POLL_INTERVAL_S)

    def _final_result(
        self, admitted: AdmittedCall, node: NodeId, result: CallResult
    ) -> CallResult | None:
        """Return the final result, None if the call is to be sent again."""
        admitted.excluded |= {node}
        if not isinstance(result, Failure) or result.may_have_arrived:
            admitted.has_arrived = True
        if isinstance(result, Failure) and result.run is RunState.not_run:
            admitted.redirects += 1
            has_other = self._has_other(admitted)
            if (
                has_other
                and not result.is_for_all
                and admitted.redirects <= MAX_REDIRECTS
                and (
                    not result.may_have_arrived
                    or self.retry_budget.take(admitted.service)
                )
            ):
                return None
            return admitted.first_result or result
        if (
            isinstance(result, Answer)
            and result.status < MIN_SERVER_ERROR_STATUS
        ):
            return result
        admitted.failed_attempts += 1
        admitted.first_result = admitted.first_result or result
        if not self._may_retry(admitted):
            return admitted.first_result
        return None

    def _log_retry(
        self, admitted: AdmittedCall, node: NodeId, result: CallResult
    ) -> None:
        if isinstance(result, Answer):
            cause, detail = f'status {result.status}', ''
        else:
            cause, detail = result.code.value, result.detail
        self.log.write(
            'sent_again',
            request=admitted.upstream_call.request_id,
            after=node,
            cause=cause,
            detail=detail,
            sends=admitted.failed_attempts,
            redirects=admitted.redirects,
            credit=self.retry_budget.credit.get(admitted.service),
        )

    def _may_retry(self, admitted: AdmittedCall) -> bool:
        return (
            admitted.upstream_call.is_idempotent
            # A repeat would add load to services that lack slots.
            and not admitted.is_starved
            and admitted.failed_attempts < admitted.route.attempts
            and admitted.deadline.earliest() - self.clock.now()
            > MIN_REMAINING_MS
            and self._has_other(admitted)
            and self.retry_budget.take(admitted.service)
        )

    def _has_other(self, admitted: AdmittedCall) -> bool:
        return routing.has_untried_instance(
            self.routes,
            admitted.service,
            admitted.excluded | self.unreachable,
        )

    async def _send(
        self, admitted: AdmittedCall, instance: Instance, remaining_ms: float
    ) -> CallResult:
        """Send the call to the node on the VM of an instance."""
        call = admitted.upstream_call
        if admitted.has_arrived:
            self.metrics.repeats[admitted.service] += 1
            call.is_resent = call.is_repeat = True
        else:
            self.retry_budget.count_send(admitted.service)
        call.remaining_ms = remaining_ms
        call.max_wait_ms = max(0, admitted.wait_until - self.clock.now())
        call.instance = ''
        with _Observation(self.routes, instance, self.clock) as observation:
            if instance.node == self.node:
                outcome = SendOutcome(
                    await self.gate.run(call),
                    self.gate.load(),
                    self.gate.pressure.is_starved(),
                    self.gate.has_room(),
                )
            else:
                outcome = await run_at_peer(
                    self.links.get(instance.node), call, remaining_ms
                )
            observation.load = outcome.load
            observation.outcome = _outcome_of(outcome.result)
        admitted.is_starved = outcome.is_starved
        admitted.had_room = outcome.has_room
        return outcome.result

    def _overloaded(self, admitted: AdmittedCall) -> Failure:
        return Failure(
            RefusalCode.overloaded,
            RunState.not_run,
            row=admitted.route.name,
            column='importance',
            figure=admitted.upstream_call.importance,
        )


def _max_wait_ms(route: RouteRow) -> float:
    """Return how long a call may wait and still reach its objective."""
    if not route.objective_ms:
        return MAX_QUEUE_WAIT_MS
    objective_part_ms = route.objective_ms * MAX_WAIT_FRACTION
    return min(MAX_QUEUE_WAIT_MS, objective_part_ms)


def _outcome_of(result: CallResult) -> CallOutcome:
    if isinstance(result, Answer):
        failed = result.status >= MIN_SERVER_ERROR_STATUS
        return CallOutcome.failed if failed else CallOutcome.succeeded
    if result.run is RunState.not_run and result.code is not (
        RefusalCode.upstream_lost
    ):
        return CallOutcome.shed
    return CallOutcome.failed
