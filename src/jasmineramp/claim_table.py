"""Hold the claims of one partition in memory."""

import heapq

import msgspec

from jasmineramp.claim_archive import EndedClaims
from jasmineramp.claim_log import (
    CLAIM,
    ENDED,
    LONGEST_DEADLINE_MS,
    LogRecord,
    Summary,
    unpack_outcomes,
)
from jasmineramp.claim_messages import ClaimEnd, ClaimVerdict
from jasmineramp.clock import Millis, later
from jasmineramp.ids import NodeId

# A report that comes late still replaces an unknown outcome for this long.
LATE_REPORT_MS = 600_000.0
RESPONSE_LIMIT_BYTES = 64 * 1024
RESPONSES_LIMIT_BYTES = 8 * 1024 * 1024


class Claim(msgspec.Struct):
    """Hold a claim whose call has not ended."""

    key: int
    body: int
    token: int
    deadline_ms: float
    expires: Millis
    claimant: NodeId
    confirmed: bool = False
    lapsed: bool = False


class ClaimTable:
    """Find, add, end and forget claims."""

    def __init__(self) -> None:
        self.open: dict[int, Claim] = {}
        self.tokens: dict[int, Claim] = {}
        self.deadlines: list[tuple[Millis, int]] = []
        self.ended = EndedClaims()
        self.responses: dict[int, bytes] = {}
        self.response_bytes = 0

    def __len__(self) -> int:
        """Return the number of claims that are kept."""
        return len(self.open) + len(self.ended)

    def add(self, claim: Claim) -> None:
        """Add a claim; its key must not be in the table."""
        self.open[claim.key] = claim
        self.tokens[claim.token] = claim
        heapq.heappush(self.deadlines, (claim.expires, claim.token))

    def judge(self, key: int, body: int) -> tuple[ClaimVerdict, int] | None:
        """Return what a repeat gets and the HTTP status; None for a new key."""
        claim = self.open.get(key)
        if claim is not None:
            if claim.body != body:
                return ClaimVerdict.reused, 0
            if claim.lapsed:
                return ClaimVerdict.unknown, 0
            return ClaimVerdict.running, 0
        ended = self.ended.find(key)
        if ended is None:
            return None
        if ended.body != body:
            return ClaimVerdict.reused, 0
        if ended.status:
            return ClaimVerdict.ran, ended.status
        return ClaimVerdict.unknown, 0

    def end(
        self, token: int, end: ClaimEnd, status: int, response: bytes | None
    ) -> Claim | None:
        """End the claim of a token; None when no such claim is open."""
        claim = self.tokens.pop(token, None)
        if claim is None:
            return None
        if self.open.get(claim.key) is claim:
            self.open.pop(claim.key)
        if end is ClaimEnd.not_run:
            return claim
        self.ended.add(
            claim.key, claim.body, status if end is ClaimEnd.done else 0
        )
        self._keep_response(claim.key, response)
        return claim

    def expire(self, now: Millis) -> list[Claim]:
        """Return the claims whose outcome became unknown; forget old ones."""
        lapsed = []
        while self.deadlines and self.deadlines[0][0] <= now:
            _, token = heapq.heappop(self.deadlines)
            claim = self.tokens.get(token)
            if claim is None:
                continue
            if claim.lapsed:
                self.end(token, ClaimEnd.unknown, 0, None)
                continue
            claim.lapsed = True
            lapsed.append(claim)
            forget_at = later(now, LATE_REPORT_MS)
            heapq.heappush(self.deadlines, (forget_at, token))
        self.ended.expire(now)
        return lapsed

    def summarise(self) -> Summary:
        """Return the claims since the last summary and close their list."""
        confirmed = (
            pack_claim(claim) for claim in self.open.values() if claim.confirmed
        )
        return Summary(self.ended.summarise(), b''.join(confirmed))

    def restore(
        self, sequence: int, since: Millis, summary: Summary, now: Millis
    ) -> None:
        """Load a summary; its open claims replace those loaded before."""
        self.ended.restore(sequence, since, summary.ended)
        self.open.clear()
        self.tokens.clear()
        self.deadlines.clear()
        self._load_claims(summary.open, now)

    def replay(self, record: LogRecord, now: Millis) -> None:
        """Apply a record that is not in a summary."""
        if record.summary is not None:
            for key, body, status in ENDED.iter_unpack(record.summary.ended):
                self.ended.add(key, body, status)
        for token, status, end in unpack_outcomes(record.outcomes):
            self.end(token, end, status, None)
        self._load_claims(record.claims, now)

    def _load_claims(self, packed: bytes, now: Millis) -> None:
        for key, body, token, deadline_ms in CLAIM.iter_unpack(packed):
            self.add(
                Claim(
                    key=key,
                    body=body,
                    token=token,
                    deadline_ms=deadline_ms,
                    expires=later(now, deadline_ms),
                    claimant=NodeId(''),
                    confirmed=True,
                )
            )

    def _keep_response(self, key: int, response: bytes | None) -> None:
        self.response_bytes -= len(self.responses.pop(key, b''))
        if response is None or len(response) > RESPONSE_LIMIT_BYTES:
            return
        self.responses[key] = response
        self.response_bytes += len(response)
        while self.response_bytes > RESPONSES_LIMIT_BYTES:
            oldest = next(iter(self.responses))
            self.response_bytes -= len(self.responses.pop(oldest))


def pack_claim(claim: Claim) -> bytes:
    """Return a claim as it stands in the log."""
    deadline_ms = min(int(claim.deadline_ms) + 1, LONGEST_DEADLINE_MS)
    return CLAIM.pack(claim.key, claim.body, claim.token, deadline_ms)
