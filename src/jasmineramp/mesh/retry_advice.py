"""Tell the callers that a gate refuses for overload when to return."""

from jasmineramp import admission
from jasmineramp.admission import AdmissionState
from jasmineramp.clock import Clock
from jasmineramp.ids import Importance
from jasmineramp.mesh.calls import Failure, UpstreamCall
from jasmineramp.mesh.downstream import DownstreamPressure
from jasmineramp.mesh.node_metrics import NodeMetrics
from jasmineramp.mesh.return_times import CallerTime, ReturnTimes
from jasmineramp.refusals import RefusalCode, RunState

# The queue is full, or too long for the deadline.
_CODES = frozenset((RefusalCode.overloaded, RefusalCode.deadline_exceeded))


class RetryAdvisor:
    """Derive retry delays from the admission state and the return times."""

    def __init__(
        self,
        state: AdmissionState,
        pressure: DownstreamPressure,
        metrics: NodeMetrics,
        clock: Clock,
    ) -> None:
        self.state = state
        self.pressure = pressure
        self.metrics = metrics
        self.clock = clock
        self.return_times = ReturnTimes(pressure.random)

    def count_arrival(self) -> None:
        """Count a call that arrives at the gate."""
        self.return_times.count_arrival(self.clock.now())

    def advise(
        self, call: UpstreamCall, failure: Failure, waited_ms: float
    ) -> None:
        """Set the retry delay of a call that was refused by the queue."""
        if failure.code in _CODES:
            failure.retry_after_ms = self._delay_ms(call, waited_ms)

    def refuse_for_pressure(self, call: UpstreamCall) -> Failure:
        """Return the refusal of a call that services further down can't run."""
        pressure = self.pressure
        recovery_ms = pressure.recovery_ms(Importance(call.importance))
        return Failure(
            RefusalCode.overloaded,
            RunState.not_run,
            'services further down are overloaded',
            row=call.row,
            column='importance',
            figure=call.importance,
            limit=pressure.admitted_shares()[call.importance],
            retry_after_ms=self._delay_ms(call, room_after_ms=recovery_ms),
            is_for_all=True,
        )

    def _delay_ms(
        self,
        call: UpstreamCall,
        waited_ms: float = 0,
        room_after_ms: float = 0,
    ) -> float:
        now = self.clock.now()
        state = self.state
        needed_ms = state.service_times.expected_ms(call.row, now)
        objective_ms = call.objective_ms
        if objective_ms is not None:
            objective_ms -= waited_ms
        delay_ms = self.return_times.promise_ms(
            CallerTime(
                max(0, call.remaining_ms - waited_ms),
                objective_ms,
                needed_ms + state.expected_wait_ms(),
            ),
            now,
            capacity_per_s=admission.capacity(state),
            room_after_ms=room_after_ms,
            # Instances retry by rules of their own.
            takes_turn=not call.hop,
        )
        self.metrics.retry_after.record(delay_ms)
        return round(delay_ms, 1)
