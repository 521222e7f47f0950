"""Convert the verdicts on claims to refusals of their calls."""

from jasmineramp.claim_messages import ClaimDecided, ClaimVerdict
from jasmineramp.refusals import Refusal, RefusalCode, RunState

RETRY_AFTER_MS = 1000.0

_CODES = {
    ClaimVerdict.running: RefusalCode.claim_running,
    ClaimVerdict.ran: RefusalCode.already_ran,
    ClaimVerdict.unknown: RefusalCode.outcome_unknown,
    ClaimVerdict.reused: RefusalCode.idempotency_key_reused,
    ClaimVerdict.unavailable: RefusalCode.claims_unavailable,
}


def describe_refusal(decided: ClaimDecided) -> Refusal:
    """Return the refusal of a call whose claim was not granted."""
    code = _CODES[decided.verdict]
    if code is RefusalCode.already_ran:
        # This call did not run, but the first call with its key did.
        return Refusal(code, figure=decided.status)
    if code is RefusalCode.outcome_unknown:
        return Refusal(code, run=RunState.unknown)
    retry_after = None
    if code in {RefusalCode.claims_unavailable, RefusalCode.claim_running}:
        retry_after = RETRY_AFTER_MS
    return Refusal(code, retry_after=retry_after)
