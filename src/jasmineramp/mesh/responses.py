"""Turn the result of a call into a response, a log line and metrics."""

import msgspec

from jasmineramp.clock import Clock, Millis
from jasmineramp.ids import NodeId, RowName
from jasmineramp.mesh.admitted_call import AdmittedCall
from jasmineramp.mesh.caller_messages import CallerResponse
from jasmineramp.mesh.calls import (
    MIN_SERVER_ERROR,
    Answer,
    CallHead,
    CallResult,
    Failure,
)
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.node_metrics import NodeMetrics
from jasmineramp.mesh.platform_binding import Dialect
from jasmineramp.refusals import STATUS_BY_CODE, RefusalCode, RunState

SERVICE_UNAVAILABLE = 503
# Calls wait less than this in queues, and restarted nodes are back by then.
DEFAULT_RETRY_AFTER_MS = 400.0

_encoder = msgspec.json.Encoder()


class Responder:
    """Report the results of calls to callers, the log and the metrics."""

    def __init__(
        self,
        node: NodeId,
        dialect: Dialect,
        *,
        metrics: NodeMetrics,
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        self.node = node
        self.dialect = dialect
        self.metrics = metrics
        self.log = log
        self.clock = clock
        self.version = ''

    def respond(
        self,
        head: CallHead,
        admitted: AdmittedCall | None,
        result: CallResult,
        received_at: Millis,
    ) -> CallerResponse:
        """Return the response of a call; log and count its result."""
        took_ms = self.clock.now() - received_at
        row = RowName('') if admitted is None else admitted.route.name
        self.metrics.record_call(row, result, took_ms)
        if isinstance(result, Answer):
            self.log.write(
                'answered',
                request=head.request_id,
                status=result.status,
                took_ms=round(took_ms, 1),
            )
            return self.dialect.write_answer(result)
        status = _select_status(result)
        document = {
            'code': result.code.value,
            'run': result.run.value,
            'detail': result.detail,
            'row': result.row,
            'column': result.column,
            'figure': result.figure,
            'limit': result.limit,
            'retry_after_ms': result.retry_after_ms,
            'node': self.node,
            'version': self.version,
        }
        if status == SERVICE_UNAVAILABLE and result.retry_after_ms is None:
            result.retry_after_ms = DEFAULT_RETRY_AFTER_MS
        self.log.write(
            'refused' if result.run is RunState.not_run else 'failed',
            request=head.request_id,
            route=row,
            # Only sends that may have run; refused sends are not counted.
            sends=0 if admitted is None else admitted.failed_attempts,
            tried=[] if admitted is None else sorted(admitted.excluded),
            status=status,
            took_ms=round(took_ms, 1),
            **document,
        )
        return self.dialect.write_failure(
            result, status, _encoder.encode(document), head.request_id
        )


def _select_status(failure: Failure) -> int:
    """Return the status; 429 and 503 only if the call did not run."""
    status = STATUS_BY_CODE[failure.code]
    if failure.run is RunState.unknown:
        is_late = failure.code is RefusalCode.deadline_exceeded
        return status if is_late else STATUS_BY_CODE[RefusalCode.upstream_lost]
    if status < MIN_SERVER_ERROR:
        return status
    return STATUS_BY_CODE[RefusalCode.overloaded]
