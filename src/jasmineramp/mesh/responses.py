"""Render the end of a call as the response, the log line and the counts."""

import msgspec

from jasmineramp.clock import Clock, Millis
from jasmineramp.ids import NodeId, RowName
from jasmineramp.mesh.admitted_call import AdmittedCall
from jasmineramp.mesh.caller_http import CallerResponse
from jasmineramp.mesh.calls import (
    Answer,
    CallEnd,
    CallHead,
    Failure,
)
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.node_metrics import NodeMetrics
from jasmineramp.mesh.platform_binding import Dialect
from jasmineramp.refusals import STATUS_BY_CODE, RefusalCode, RunState

SERVER_ERROR = 500
UNAVAILABLE = 503
# Queues are shorter than this, and nodes that were restarted are back.
RETRY_AFTER_MS = 400.0

_encoder = msgspec.json.Encoder()


class Responder:
    """Tell callers, engineers and metrics how calls ended."""

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
        end: CallEnd,
        received: Millis,
    ) -> CallerResponse:
        """Return the response of a call that was received at a time."""
        took_ms = self.clock.now() - received
        row = RowName('') if admitted is None else admitted.route.name
        self.metrics.record_call(row, end, took_ms)
        if isinstance(end, Answer):
            self.log.write(
                'answered',
                request=head.request_id,
                status=end.status,
                took_ms=round(took_ms, 1),
            )
            return self.dialect.write_answer(end)
        status = _status_of(end)
        report = {
            'code': end.code.value,
            'run': end.run.value,
            'detail': end.detail,
            'row': end.row,
            'column': end.column,
            'figure': end.figure,
            'limit': end.limit,
            'retry_after_ms': end.retry_after_ms,
            'node': self.node,
            'version': self.version,
        }
        if status == UNAVAILABLE and end.retry_after_ms is None:
            end.retry_after_ms = RETRY_AFTER_MS
        self.log.write(
            'refused' if end.run is RunState.not_run else 'failed',
            request=head.request_id,
            route=row,
            sends=0 if admitted is None else admitted.attempts,
            tried=[] if admitted is None else sorted(admitted.excluded),
            status=status,
            took_ms=round(took_ms, 1),
            **report,
        )
        return self.dialect.write_failure(
            end, status, _encoder.encode(report), head.request_id
        )


def _status_of(failure: Failure) -> int:
    """Return the status; one that promises "not run" must be true."""
    status = STATUS_BY_CODE[failure.code]
    if failure.run is RunState.unknown:
        is_late = failure.code is RefusalCode.deadline_exceeded
        return status if is_late else STATUS_BY_CODE[RefusalCode.upstream_lost]
    if status < SERVER_ERROR:
        return status
    return STATUS_BY_CODE[RefusalCode.overloaded]
