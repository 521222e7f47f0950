"""Send admitted calls to the upstream and map the outcomes to results."""

import asyncio
from collections.abc import Callable

from jasmineramp.clock import MILLIS_PER_SECOND, Clock, Millis
from jasmineramp.mesh.call_results import result_of_answer
from jasmineramp.mesh.calls import (
    CallResult,
    Failure,
    UpstreamCall,
    not_run_failure,
    run_unknown_failure,
)
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.node_metrics import NodeMetrics
from jasmineramp.mesh.upstream_connection import (
    MAX_IDLE_MS,
    BrokenExchangeError,
    OversizedAnswerError,
    StaleConnectionError,
    UpstreamConnection,
)
from jasmineramp.mesh.upstream_pool import (
    MAX_IDLE_ONCE_MS,
    ConnectError,
    UpstreamPool,
)
from jasmineramp.mesh.waits import wait_with_timeout
from jasmineramp.refusals import RefusalCode

# Extra wait for a response, because the upstream itself ends a call at its
# deadline.
ANSWER_MARGIN_MS = 40
MIN_REMAINING_MS = 4

CallWriter = Callable[[UpstreamCall, float], bytes]


class UpstreamSender:
    """Send calls on the pooled connections of one upstream."""

    def __init__(
        self,
        pool: UpstreamPool,
        write_call: CallWriter,
        metrics: NodeMetrics,
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        self.pool = pool
        self.write_call = write_call
        self.metrics = metrics
        self.log = log
        self.clock = clock

    async def connect(self, call: UpstreamCall) -> UpstreamConnection:
        """Return an idle connection that suits the call, or a new one."""
        limit_ms = MAX_IDLE_MS if call.is_idempotent else MAX_IDLE_ONCE_MS
        connection = self.pool.take_idle(limit_ms, call.request_id)
        return connection or await self.pool.connect()

    async def exchange(
        self,
        connection: UpstreamConnection,
        call: UpstreamCall,
        deadline: Millis,
    ) -> CallResult:
        """Send a call and return its result.

        Raise StaleConnectionError or BrokenExchangeError if the connection
        ends without a usable response.
        """
        remaining_ms = deadline - self.clock.now()
        if remaining_ms < MIN_REMAINING_MS:
            self.pool.release(connection)
            return not_run_failure(
                RefusalCode.deadline_exceeded, 'too little time to send'
            )
        wait_s = (remaining_ms + ANSWER_MARGIN_MS) / MILLIS_PER_SECOND
        try:
            answer, head = await wait_with_timeout(
                wait_s,
                connection.send(
                    self.write_call(call, remaining_ms),
                    call.request_id,
                    head_only=call.method == b'HEAD',
                ),
            )
        except TimeoutError:
            connection.close()
            return run_unknown_failure(
                RefusalCode.deadline_exceeded, 'no response'
            )
        except asyncio.CancelledError:
            connection.close()
            raise
        return result_of_answer(answer, head)

    async def send_again(
        self, call: UpstreamCall, deadline: Millis
    ) -> CallResult:
        """Send a call on a new connection; it may have run before."""
        try:
            connection = await self.pool.connect()
            return await self.exchange(connection, call, deadline)
        except ConnectError as error:
            return run_unknown_failure(RefusalCode.upstream_lost, str(error))
        except (StaleConnectionError, BrokenExchangeError) as error:
            return self.fail_exchange(call, error)

    def fail_exchange(self, call: UpstreamCall, error: Exception) -> Failure:
        """Return the failure of a call without a usable response."""
        if isinstance(error, OversizedAnswerError):
            excess = error.excess
            self.metrics.cut_answers[excess.bound.value] += 1
            self.log.write(
                'answer_cut',
                request=call.request_id,
                instance=call.instance,
                bound=excess.bound.value,
                figure=excess.figure,
                limit=excess.limit,
            )
        return run_unknown_failure(RefusalCode.upstream_lost, str(error))
