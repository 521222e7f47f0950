"""Say what an operator can change for each refusal code."""

from collections.abc import Mapping

from jasmineramp.refusals import RefusalCode

ADVICE: Mapping[RefusalCode, str] = {
    RefusalCode.key_missing: 'let the caller send its key',
    RefusalCode.key_unknown: (
        'grant a key with jasmineramp-table grant; for offline_grace_ms, '
        'check why the failure domain has no contact with the platform'
    ),
    RefusalCode.context_unknown: (
        'let the service pass on Jasmineramp-Context of the running call'
    ),
    RefusalCode.request_malformed: 'correct the request of the caller',
    RefusalCode.route_unknown: 'add a call row for the path and method',
    RefusalCode.claim_running: 'wait for the first call with this key',
    RefusalCode.already_ran: 'nothing; the first call ran',
    RefusalCode.outcome_unknown: (
        'check the result of the first call in the service'
    ),
    RefusalCode.body_too_large: 'send a smaller body',
    RefusalCode.idempotency_key_missing: (
        'send Idempotency-Key, or set idempotent in the row if it is'
    ),
    RefusalCode.idempotency_key_reused: (
        'use a new Idempotency-Key for each different body'
    ),
    RefusalCode.rate_exceeded: (
        'raise rate or burst in the named row, or let the caller slow down; '
        'the figure is the part of the rate that the node holds, and 0 means '
        'that it holds no rate slot yet'
    ),
    RefusalCode.retries_exhausted: (
        'raise retries in the named row, or let the service retry less'
    ),
    RefusalCode.overloaded: (
        'raise importance of the row or weight of the workspace, or add '
        'instances'
    ),
    RefusalCode.overloaded_downstream: (
        'add instances of the service, or raise importance of the row'
    ),
    RefusalCode.draining: 'repeat the call; other instances take it',
    RefusalCode.no_upstream: 'start instances of the service',
    RefusalCode.claims_unavailable: (
        'check the platform; non-idempotent calls need it'
    ),
    RefusalCode.configuration_missing: (
        'import a table with jasmineramp-table import_file'
    ),
    RefusalCode.upstream_lost: (
        'check the instance; look up the result before a repeat'
    ),
    RefusalCode.deadline_exceeded: (
        'raise timeout_ms in the row, or make the service faster'
    ),
    RefusalCode.cancelled: 'nothing; the caller left',
    RefusalCode.internal_error: (
        'report the error in the log; look up the result before a repeat'
    ),
}


def advise(code: str) -> str:
    """Return what to change for a code; unknown codes are named."""
    try:
        return ADVICE[RefusalCode(code)]
    except ValueError:
        return f'code {code} belongs to another release'
