"""Advise operators what to change for each refusal code."""

from collections.abc import Mapping

from jasmineramp.refusals import RefusalCode

ADVICE: Mapping[RefusalCode, str] = {
    RefusalCode.key_missing: 'send the key of the workspace with the call',
    RefusalCode.key_unknown: (
        'grant a key with jasmineramp-table grant; if offline_grace_ms has '
        'expired, check why the failure domain cannot reach the platform'
    ),
    RefusalCode.context_unknown: (
        'make the service forward Jasmineramp-Context of the running call'
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
        'raise rate or burst in the named row, or slow the caller down; '
        'the figure is the share of the rate that the node holds, and 0 means '
        'that it holds no rate slot yet'
    ),
    RefusalCode.retries_exhausted: (
        'raise retries in the named row, or make the service retry less'
    ),
    RefusalCode.overloaded: (
        'raise importance in the row or weight of the workspace, or add '
        'instances'
    ),
    RefusalCode.overloaded_downstream: (
        'add instances of the service, or raise importance in the row'
    ),
    RefusalCode.draining: 'retry the call; other instances will accept it',
    RefusalCode.no_upstream: 'start instances of the service',
    RefusalCode.claims_unavailable: (
        'check the platform; non-idempotent calls depend on it'
    ),
    RefusalCode.configuration_missing: (
        'import a table with jasmineramp-table import_file'
    ),
    RefusalCode.upstream_lost: (
        'check the instance; look up the result before retrying'
    ),
    RefusalCode.deadline_exceeded: (
        'raise timeout_ms in the row, or make the service faster'
    ),
    RefusalCode.cancelled: 'nothing; the caller closed its connection',
    RefusalCode.internal_error: (
        'report the error in the log; look up the result before retrying'
    ),
}


def advise(code: str) -> str:
    """Return the advice for a code, or a note that the code is unknown."""
    try:
        return ADVICE[RefusalCode(code)]
    except ValueError:
        return f'code {code} belongs to another release'
