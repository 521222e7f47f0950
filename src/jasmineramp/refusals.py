"""Describe why a call was refused."""

import enum

import msgspec

from jasmineramp.ids import RequestId, Revision


class RunState(enum.Enum):
    """Whether the refused call ran."""

    not_run = 'not_run'
    unknown = 'unknown'


class RefusalCode(enum.Enum):
    """Reason for a refusal; codes are stable across releases."""

    key_missing = 'key_missing'
    key_unknown = 'key_unknown'
    context_unknown = 'context_unknown'
    request_malformed = 'request_malformed'
    route_unknown = 'route_unknown'
    claim_running = 'claim_running'
    already_ran = 'already_ran'
    outcome_unknown = 'outcome_unknown'
    body_too_large = 'body_too_large'
    idempotency_key_missing = 'idempotency_key_missing'
    idempotency_key_reused = 'idempotency_key_reused'
    rate_exceeded = 'rate_exceeded'
    retries_exhausted = 'retries_exhausted'
    overloaded = 'overloaded'
    overloaded_downstream = 'overloaded_downstream'
    draining = 'draining'
    no_upstream = 'no_upstream'
    claims_unavailable = 'claims_unavailable'
    configuration_missing = 'configuration_missing'
    upstream_lost = 'upstream_lost'
    deadline_exceeded = 'deadline_exceeded'
    cancelled = 'cancelled'
    internal_error = 'internal_error'


STATUS_BY_CODE = {
    RefusalCode.key_missing: 401,
    RefusalCode.key_unknown: 401,
    RefusalCode.context_unknown: 401,
    RefusalCode.request_malformed: 400,
    RefusalCode.route_unknown: 404,
    RefusalCode.claim_running: 409,
    RefusalCode.already_ran: 409,
    RefusalCode.outcome_unknown: 409,
    RefusalCode.body_too_large: 413,
    RefusalCode.idempotency_key_missing: 400,
    RefusalCode.idempotency_key_reused: 422,
    RefusalCode.rate_exceeded: 429,
    RefusalCode.retries_exhausted: 429,
    RefusalCode.overloaded: 503,
    RefusalCode.overloaded_downstream: 503,
    RefusalCode.draining: 503,
    RefusalCode.no_upstream: 503,
    RefusalCode.claims_unavailable: 503,
    RefusalCode.configuration_missing: 503,
    RefusalCode.upstream_lost: 502,
    RefusalCode.deadline_exceeded: 504,
    RefusalCode.cancelled: 499,
    RefusalCode.internal_error: 500,
}


class Refusal(msgspec.Struct, frozen=True):
    """Explain a refusal to the caller and to the operator.

    Row and column name the table cell that decided. The figure is the
    observed value, the limit the value it was compared with. Times are in
    milliseconds.
    """

    code: RefusalCode
    run: RunState = RunState.not_run
    row: str = ''
    column: str = ''
    figure: float | None = None
    limit: float | None = None
    retry_after: float | None = None
    node: str = ''
    revision: Revision = Revision(0)
    request_id: RequestId = RequestId('')

    @property
    def status(self) -> int:
        """Return the HTTP status of the code."""
        return STATUS_BY_CODE[self.code]
