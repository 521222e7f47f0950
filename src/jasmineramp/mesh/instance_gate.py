"""Admit calls to the local upstream and send them to it."""

import asyncio
import functools
import itertools
from collections.abc import Callable

from jasmineramp import admission
from jasmineramp.admission import AdmissionState, Decision, Refuse, Start, Wait
from jasmineramp.clock import MILLIS_PER_SECOND, Clock, Millis, later
from jasmineramp.fair_queue import QueuedCall
from jasmineramp.ids import CallId, Importance
from jasmineramp.limits import CallOutcome
from jasmineramp.load_reports import LoadReport
from jasmineramp.mesh.call_results import (
    failure_of,
    outcome_of,
)
from jasmineramp.mesh.calls import (
    CallResult,
    Failure,
    UpstreamCall,
    not_run_failure,
    run_unknown_failure,
)
from jasmineramp.mesh.cold_limit import (
    MIN_CONFIRMATION_MS,
    ColdLimit,
    ColdRule,
)
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.downstream import DownstreamPressure
from jasmineramp.mesh.evacuations import DomainState
from jasmineramp.mesh.gate_load import build_load_report
from jasmineramp.mesh.gate_refusals import charge_repeat, refuse_misrouted
from jasmineramp.mesh.node_metrics import NodeMetrics
from jasmineramp.mesh.retry_advice import RetryAdvisor
from jasmineramp.mesh.retry_budget import RepeatBudget
from jasmineramp.mesh.row_time_reports import RowTimeReporter
from jasmineramp.mesh.running_calls import RunningCall, RunningCalls
from jasmineramp.mesh.slot_limit import SlotLimiter
from jasmineramp.mesh.upstream_connection import (
    BrokenExchangeError,
    StaleConnectionError,
)
from jasmineramp.mesh.upstream_pool import ConnectError, UpstreamPool
from jasmineramp.mesh.upstream_sender import CallWriter, UpstreamSender
from jasmineramp.mesh.upstream_state import UpstreamRecord
from jasmineramp.refusals import RefusalCode, RunState


class InstanceGate:
    """Hold the admission state and the connection pool of one upstream."""

    def __init__(
        self,
        record: UpstreamRecord,
        pool: UpstreamPool,
        write_call: CallWriter,
        pressure: DownstreamPressure,
        repeat_budget: RepeatBudget,
        *,
        metrics: NodeMetrics,
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        self.record = record
        self.pool = pool
        self.sender = UpstreamSender(pool, write_call, metrics, log, clock)
        self.pressure = pressure
        self.repeat_budget = repeat_budget
        self.running_calls = RunningCalls(pressure.random)
        self.on_lost: Callable[[], None] = _ignore_lost_upstream
        self.metrics = metrics
        self.log = log
        self.clock = clock
        self.cold = ColdLimit(ColdRule())
        self.admission = AdmissionState(SlotLimiter(1), pacing=self.cold)
        self.row_times = RowTimeReporter(self.admission.service_times)
        self.retry_advisor = RetryAdvisor(
            self.admission, pressure, metrics, clock
        )
        self.release_timer: asyncio.TimerHandle | None = None
        self.waiting: dict[CallId, asyncio.Future[Failure | None]] = {}
        self.call_ids = itertools.count()
        self.is_node_stopping = False
        self.domain_state = DomainState.open

    def resize(self, slots: int) -> None:
        """Set the number of slots that the upstream announced."""
        self._apply(
            admission.resize(self.admission, slots, None, self.clock.now())
        )

    def hold_back(self) -> None:
        """Refuse the queued calls that a cold instance has no room for."""
        now = self.clock.now()
        self.cold.wait_ms(now)
        self._apply(admission.evict_excess(self.admission, now))

    def set_domain_state(self, state: DomainState) -> None:
        """Refuse queued and new calls unless the failure domain is open."""
        if state is self.domain_state:
            return
        if self.is_evacuated():
            # It may have turned cold before the operators ended it.
            self.cold.await_announcement(
                later(self.clock.now(), MIN_CONFIRMATION_MS)
            )
        self.domain_state = state
        if state is not DomainState.open:
            self.drain()
        elif self.record.current is not None and self.record.is_ready():
            self.resize(self.record.current.slots)

    def is_evacuated(self) -> bool:
        """Return whether the operators have evacuated the domain."""
        return self.domain_state is DomainState.evacuated

    def drain(self) -> None:
        """Refuse queued and new calls; running calls finish."""
        self._apply(admission.drain(self.admission))

    def expire(self) -> None:
        """Refuse queued calls that can no longer finish by their deadline."""
        if self.admission.queue.entries:
            self._apply(admission.expire(self.admission, self.clock.now()))

    def running(self) -> int:
        """Return the number of calls running at the upstream."""
        return len(self.admission.running)

    def load(self) -> LoadReport:
        """Return the load report that peers use for routing."""
        return build_load_report(
            self.admission,
            self.cold,
            self.row_times,
            self.clock.now(),
            is_healthy=(
                self.accepts_calls() and self.domain_state is DomainState.open
            ),
        )

    def accepts_calls(self) -> bool:
        """Return whether new calls may run at the upstream."""
        return self.record.is_ready() and not self.is_node_stopping

    def has_room(self, load: LoadReport) -> bool:
        """Return whether slots are free, here and further down."""
        return not load.queued and self.pressure.has_room()

    async def run(self, call: UpstreamCall) -> CallResult:
        """Admit a call, run it at the upstream and return its result."""
        self.retry_advisor.count_arrival()
        refusal = self._refuse_early(call)
        if refusal is not None:
            return refusal
        now = self.clock.now()
        deadline = later(now, call.remaining_ms)
        call_id = CallId(str(next(self.call_ids)))
        queued = QueuedCall(
            call_id,
            call.workspace,
            call.row,
            Importance(call.importance),
            call.hop,
            deadline,
            max_wait_ms=call.max_wait_ms,
        )
        decisions = admission.offer(self.admission, queued, now)
        refused = await self._wait_for_start(call_id, decisions)
        if refused is not None:
            waited_ms = self.clock.now() - now
            if self.cold.is_limited(self.clock.now()):
                self.metrics.cold_refusals += 1
            else:
                self.retry_advisor.advise(call, refused, waited_ms)
            self._log_refusal(call, refused, waited_ms)
            return refused
        started = self.clock.now()
        finish = functools.partial(self.finish, call_id)
        with RunningCall(self.running_calls, call, finish) as running:
            result = await self._send(running, deadline)
            running.outcome = outcome_of(result)
        took_ms = self.clock.now() - started
        self.metrics.upstream_time.record(took_ms)
        if isinstance(result, Failure):
            self._log_failure(call, result, took_ms)
        return result

    def finish(self, call_id: CallId, outcome: CallOutcome) -> None:
        """Record the end of a running call and start queued calls."""
        self._apply(
            admission.finish(self.admission, call_id, outcome, self.clock.now())
        )

    def _log_refusal(
        self, call: UpstreamCall, failure: Failure, waited_ms: float
    ) -> None:
        self.log.write(
            'gate_refused',
            request=call.request_id,
            code=failure.code.value,
            importance=call.importance,
            waited_ms=round(waited_ms, 1),
            running=len(self.admission.running),
            limit=self.admission.limiter.limit,
            queued=len(self.admission.queue.entries),
            retry_after_ms=failure.retry_after_ms,
            cold_ms=round(self.cold.remaining_ms(self.clock.now())),
        )

    def _log_failure(
        self, call: UpstreamCall, failure: Failure, took_ms: float
    ) -> None:
        self.log.write(
            'upstream_failed',
            request=call.request_id,
            instance=call.instance,
            code=failure.code.value,
            run=failure.run.value,
            detail=failure.detail,
            took_ms=round(took_ms, 1),
        )

    def _refuse_early(self, call: UpstreamCall) -> Failure | None:
        current = self.record.current
        if current is None or not self.accepts_calls():
            return not_run_failure(
                RefusalCode.draining, 'upstream does not accept calls'
            )
        if self.domain_state is not DomainState.open:
            self.metrics.domain_refusals[self.domain_state.value] += 1
            return not_run_failure(
                RefusalCode.draining,
                f'failure domain is {self.domain_state.value}',
            )
        misrouted = refuse_misrouted(call, current)
        if misrouted is not None:
            return misrouted
        call.instance = current.instance
        if not call.hop and not self.pressure.admits(
            Importance(call.importance)
        ):
            return self.retry_advisor.refuse_for_pressure(call)
        return charge_repeat(call, self.repeat_budget)

    async def _wait_for_start(
        self, call_id: CallId, decisions: list[Decision]
    ) -> Failure | None:
        own_decision = decisions[0] if decisions else None
        if isinstance(own_decision, Start):
            self._apply(decisions[1:])
            return None
        if isinstance(own_decision, Refuse):
            self._apply(decisions[1:])
            return failure_of(own_decision)
        future: asyncio.Future[Failure | None] = (
            asyncio.get_running_loop().create_future()
        )
        self.waiting[call_id] = future
        self._apply(decisions[1:])
        try:
            return await future
        except asyncio.CancelledError:
            admission.cancel(self.admission, call_id)
            self.waiting.pop(call_id, None)
            if call_id in self.admission.running:
                self.finish(call_id, CallOutcome.cancelled)
            raise

    def _apply(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Wait):
                continue
            future = self.waiting.pop(decision.call.call_id, None)
            if future is None or future.done():
                continue
            if isinstance(decision, Refuse):
                future.set_result(failure_of(decision))
            else:
                future.set_result(None)
        self._schedule_release()

    def _schedule_release(self) -> None:
        """Start queued calls when the instance has room for the next one."""
        if self.release_timer is not None or not self.admission.queue.entries:
            return
        now = self.clock.now()
        wait_ms = self.cold.wait_ms(now)
        if wait_ms:
            self.release_timer = asyncio.get_running_loop().call_later(
                wait_ms / MILLIS_PER_SECOND, self._release
            )

    def _release(self) -> None:
        self.release_timer = None
        self.expire()

    async def _send(self, running: RunningCall, deadline: Millis) -> CallResult:
        call = running.call
        try:
            connection = await self.sender.connect(call)
        except ConnectError as error:
            if self.record.mark_lost():
                self.on_lost()
            return not_run_failure(RefusalCode.upstream_lost, str(error))
        try:
            return await self.sender.exchange(connection, call, deadline)
        except StaleConnectionError as error:
            # The connection may as well have ended after the call has run.
            if not self._may_send_again(call):
                return run_unknown_failure(
                    RefusalCode.upstream_lost, str(error)
                )
        except BrokenExchangeError as error:
            return self.sender.fail_exchange(call, error)
        self.cold.started(self.clock.now())
        running.mark_repeat()
        self.metrics.repeats[call.service] += 1
        self.log.write(
            'sent_again',
            request=call.request_id,
            instance=call.instance,
            cause='connection ended without an answer',
            credit=round(self.repeat_budget.credit, 1),
        )
        result = await self.sender.send_again(call, deadline)
        if isinstance(result, Failure) and result.run is RunState.not_run:
            # The refusal tells nothing of the first send.
            return run_unknown_failure(result.code, result.detail)
        return result

    def _may_send_again(self, call: UpstreamCall) -> bool:
        """Return whether the upstream may get a call that it may have run."""
        return (
            call.is_idempotent
            and self.record.is_ready()
            and self.domain_state is DomainState.open
            and self.cold.may_start(self.clock.now())
            and self.repeat_budget.take(call.importance, call.progress)
        )


def _ignore_lost_upstream() -> None:
    """Ignore the loss of the upstream."""
