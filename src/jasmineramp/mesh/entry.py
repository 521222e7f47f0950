"""Admit, route and retry the calls of local callers at the entry node."""

import asyncio

from jasmineramp import routing, routing_restrictions
from jasmineramp.clock import Clock, later
from jasmineramp.fast_instances import Objective
from jasmineramp.ids import (
    Importance,
    NodeId,
)
from jasmineramp.membership_messages import Instance
from jasmineramp.mesh.admitted_call import AdmittedCall
from jasmineramp.mesh.caller_admission import CallerAdmission
from jasmineramp.mesh.caller_messages import CallerResponse
from jasmineramp.mesh.calls import (
    Answer,
    CallerRequest,
    CallResult,
    Failure,
    UpstreamCall,
    not_run_failure,
    run_unknown_failure,
)
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.downstream import was_refused_for_load
from jasmineramp.mesh.instance_gate import InstanceGate
from jasmineramp.mesh.node_metrics import NodeMetrics
from jasmineramp.mesh.observation import Observation, outcome_of
from jasmineramp.mesh.peer_calls import SendOutcome, run_at_peer
from jasmineramp.mesh.peer_links import (
    PeerLink,
)
from jasmineramp.mesh.platform_binding import Dialect
from jasmineramp.mesh.responses import Responder
from jasmineramp.mesh.retry_budget import RetryBudget
from jasmineramp.mesh.return_times import CallerTime, spread_ms
from jasmineramp.mesh.route_table import RouteRow
from jasmineramp.refusals import RefusalCode, RunState
from jasmineramp.routing import RoutingState
from jasmineramp.shed_levels import SHED_LEVEL_LIFETIME_MS

MIN_REMAINING_MS = 8
# Sends of a call to another instance after an instance has refused it.
MAX_REDIRECTS = 2
INSTANCE_WAIT_MS = 200
INSTANCE_POLL_INTERVAL_S = 0.05
# Calls with a larger body, like those with large answers, prefer instances in
# the local failure domain: traffic between domains is billed by the byte.
LARGE_BODY_BYTES = 16_384


class Entry:
    """Admit the calls of callers on this VM and forward them to upstreams."""

    def __init__(
        self,
        node: NodeId,
        admission: CallerAdmission,
        *,
        dialect: Dialect,
        gate: InstanceGate,
        routes: RoutingState,
        retry_budget: RetryBudget,
        metrics: NodeMetrics,
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        self.node = node
        self.admission = admission
        self.dialect = dialect
        self.responder = Responder(
            node, dialect, metrics=metrics, log=log, clock=clock
        )
        self.gate = gate
        self.routes = routes
        self.retry_budget = retry_budget
        self.metrics = metrics
        self.log = log
        self.clock = clock
        self.links: dict[NodeId, PeerLink] = {}
        self.unreachable: frozenset[NodeId] = frozenset()

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Return the response to a caller's request."""
        received = self.clock.now()
        head = self.dialect.read_request(request)
        admitted: AdmittedCall | None = None
        try:
            admission = await self.admission.admit(request, head, received)
            if isinstance(admission, Failure):
                return self.responder.respond(head, None, admission, received)
            admitted = admission
            result = await self._run(admitted)
            call = admitted.upstream_call
            if call.hop:
                if isinstance(result, Answer) and not result.is_server_error():
                    self.gate.running_calls.count_answer(call.request_id)
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

    def is_idempotent(self, request: CallerRequest) -> bool:
        """Return whether a request may run beside others of its connection."""
        head = self.dialect.read_request(request)
        return self.admission.is_idempotent(request, head)

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
                objective=_objective_of(admitted.route),
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
                and (not result.may_have_arrived or self._take_retry(admitted))
            ):
                return None
            return admitted.first_result or result
        if isinstance(result, Answer) and not result.is_server_error():
            return result
        admitted.failed_attempts += 1
        admitted.first_result = admitted.first_result or result
        if _was_dropped(result) or not self._may_retry(admitted):
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
            progress=admitted.upstream_call.progress,
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
            and self._take_retry(admitted)
        )

    def _take_retry(self, admitted: AdmittedCall) -> bool:
        return self.retry_budget.take(
            admitted.service, admitted.upstream_call.progress
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
        if admitted.objective_end is not None:
            call.objective_ms = max(
                0, admitted.objective_end - self.clock.now()
            )
        call.instance = ''
        believed_use = routing.believed_use(
            self.routes, instance.node, self.clock.now()
        )
        with Observation(self.routes, instance, self.clock) as observation:
            if instance.node == self.node:
                result = await self.gate.run(call)
                load = self.gate.load()
                outcome = SendOutcome(
                    result,
                    load,
                    self.gate.pressure.is_starved(),
                    self.gate.has_room(load),
                    self.gate.is_evacuated(),
                )
            else:
                outcome = await run_at_peer(
                    self.links.get(instance.node), call, remaining_ms
                )
            observation.load = outcome.load
            observation.outcome = outcome_of(outcome.result)
        if outcome.is_evacuated:
            # This node may not have learned it yet.
            admitted.excluded |= routing_restrictions.nodes_in_domain(
                self.routes, admitted.service, instance.domain
            )
        if believed_use is not None:
            self._log_misjudged_use(call, instance.node, believed_use, outcome)
        admitted.is_starved = outcome.is_starved
        admitted.had_room = outcome.has_room
        return outcome.result

    def _log_misjudged_use(
        self,
        call: UpstreamCall,
        node: NodeId,
        believed_use: float,
        outcome: SendOutcome,
    ) -> None:
        result, load = outcome.result, outcome.load
        if (
            load is None
            or not load.limit
            or not isinstance(result, Failure)
            or result.code is not RefusalCode.overloaded
        ):
            return
        self.log.write(
            'use_misjudged',
            request=call.request_id,
            instance=node,
            believed_use=round(believed_use, 2),
            reported_use=round(load.busy / load.limit, 2),
        )

    def _overloaded(self, admitted: AdmittedCall) -> Failure:
        now = self.clock.now()
        objective_end = admitted.objective_end
        caller = CallerTime(
            admitted.deadline.earliest() - now,
            None if objective_end is None else objective_end - now,
            # The work is not known here; a return may wait as long as this.
            max(0, admitted.wait_until - now),
        )
        # By then the instances have reported their load again.
        retry_after_ms = spread_ms(
            caller, SHED_LEVEL_LIFETIME_MS, self.routes.random
        )
        self.metrics.retry_after.record(retry_after_ms)
        return Failure(
            RefusalCode.overloaded,
            RunState.not_run,
            row=admitted.route.name,
            column='importance',
            figure=admitted.upstream_call.importance,
            retry_after_ms=round(retry_after_ms, 1),
        )


def _was_dropped(result: CallResult) -> bool:
    """Return whether the call has run but its answer found no memory."""
    return (
        isinstance(result, Failure)
        and result.run is RunState.unknown
        and result.code is RefusalCode.overloaded
    )


def _objective_of(route: RouteRow) -> Objective | None:
    if not route.objective_ms:
        return None
    return Objective(route.name, route.objective_ms)
