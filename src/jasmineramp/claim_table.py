"""Hold the claims of one partition in memory."""

import heapq

import msgspec

from jasmineramp.claim_archive import EndedClaims
from jasmineramp.claim_log import (
    CLAIM_LAYOUT,
    ENDED_LAYOUT,
    MAX_DEADLINE_MS,
    LogRecord,
    Summary,
    unpack_outcomes,
)
from jasmineramp.claim_messages import ClaimResult, ClaimVerdict
from jasmineramp.clock import Millis, later
from jasmineramp.ids import NodeId

# Time after the deadline in which a late report still replaces an unknown
# outcome.
LATE_REPORT_WINDOW_MS = 600_000.0
MAX_RESPONSE_BYTES = 64 * 1024
MAX_CACHED_RESPONSES_BYTES = 8 * 1024 * 1024


class Claim(msgspec.Struct):
    """Hold a claim whose outcome is not known.

    The key is a digest. An expired claim has passed its deadline, so its
    outcome counts as unknown until a late report arrives.
    """

    key: int
    body_digest: int
    token: int
    deadline_ms: float
    expires_at: Millis
    claimant: NodeId
    confirmed: bool = False
    expired: bool = False


class ClaimTable:
    """Hold open and ended claims, with the latest responses of ended ones."""

    def __init__(self) -> None:
        self.open_by_key: dict[int, Claim] = {}
        self.open_by_token: dict[int, Claim] = {}
        self.deadlines: list[tuple[Millis, int]] = []
        self.ended = EndedClaims()
        self.responses: dict[int, bytes] = {}
        self.response_bytes = 0

    def __len__(self) -> int:
        """Return the number of open and ended claims."""
        return len(self.open_by_key) + len(self.ended)

    def add(self, claim: Claim) -> None:
        """Add a claim; its key must not be in the table."""
        self.open_by_key[claim.key] = claim
        self.open_by_token[claim.token] = claim
        heapq.heappush(self.deadlines, (claim.expires_at, claim.token))

    def find_verdict(
        self, key: int, body_digest: int
    ) -> tuple[ClaimVerdict, int] | None:
        """Return verdict and HTTP status of a repeat; None for a new key."""
        claim = self.open_by_key.get(key)
        if claim is not None:
            if claim.body_digest != body_digest:
                return ClaimVerdict.reused, 0
            if claim.expired:
                return ClaimVerdict.unknown, 0
            return ClaimVerdict.running, 0
        ended = self.ended.find(key)
        if ended is None:
            return None
        if ended.body_digest != body_digest:
            return ClaimVerdict.reused, 0
        if ended.status:
            return ClaimVerdict.ran, ended.status
        return ClaimVerdict.unknown, 0

    def end(
        self,
        token: int,
        result: ClaimResult,
        status: int,
        response: bytes | None,
    ) -> Claim | None:
        """End the claim of a token; None when no such claim is open."""
        claim = self.open_by_token.pop(token, None)
        if claim is None:
            return None
        if self.open_by_key.get(claim.key) is claim:
            self.open_by_key.pop(claim.key)
        if result is ClaimResult.not_run:
            return claim
        self.ended.add(
            claim.key,
            claim.body_digest,
            status if result is ClaimResult.done else 0,
        )
        self._cache_response(claim.key, response)
        return claim

    def expire(self, now: Millis) -> list[Claim]:
        """Return claims whose outcome became unknown; drop old ended ones."""
        expired = []
        while self.deadlines and self.deadlines[0][0] <= now:
            _, token = heapq.heappop(self.deadlines)
            claim = self.open_by_token.get(token)
            if claim is None:
                continue
            if claim.expired:
                self.end(token, ClaimResult.unknown, 0, None)
                continue
            claim.expired = True
            expired.append(claim)
            forget_at = later(now, LATE_REPORT_WINDOW_MS)
            heapq.heappush(self.deadlines, (forget_at, token))
        self.ended.expire(now)
        return expired

    def summarise(self) -> Summary:
        """Return the confirmed open claims and the newly ended claims."""
        confirmed = (
            pack_claim(claim)
            for claim in self.open_by_key.values()
            if claim.confirmed
        )
        return Summary(self.ended.summarise(), b''.join(confirmed))

    def restore(
        self, sequence: int, written_at: Millis, summary: Summary, now: Millis
    ) -> None:
        """Load a summary; its open claims replace those loaded before."""
        self.ended.restore(sequence, written_at, summary.ended)
        self.open_by_key.clear()
        self.open_by_token.clear()
        self.deadlines.clear()
        self._load_claims(summary.open, now)

    def replay(self, record: LogRecord, now: Millis) -> None:
        """Apply a record that is not covered by a generation of the head."""
        if record.summary is not None:
            for key, body_digest, status in ENDED_LAYOUT.iter_unpack(
                record.summary.ended
            ):
                self.ended.add(key, body_digest, status)
        for token, status, result in unpack_outcomes(record.outcomes):
            self.end(token, result, status, None)
        self._load_claims(record.claims, now)

    def _load_claims(self, packed: bytes, now: Millis) -> None:
        for key, body_digest, token, deadline_ms in CLAIM_LAYOUT.iter_unpack(
            packed
        ):
            self.add(
                Claim(
                    key=key,
                    body_digest=body_digest,
                    token=token,
                    deadline_ms=deadline_ms,
                    expires_at=later(now, deadline_ms),
                    claimant=NodeId(''),
                    confirmed=True,
                )
            )

    def _cache_response(self, key: int, response: bytes | None) -> None:
        self.response_bytes -= len(self.responses.pop(key, b''))
        if response is None or len(response) > MAX_RESPONSE_BYTES:
            return
        self.responses[key] = response
        self.response_bytes += len(response)
        while self.response_bytes > MAX_CACHED_RESPONSES_BYTES:
            oldest = next(iter(self.responses))
            self.response_bytes -= len(self.responses.pop(oldest))


def pack_claim(claim: Claim) -> bytes:
    """Return the log encoding of a claim; its deadline is rounded up."""
    deadline_ms = min(int(claim.deadline_ms) + 1, MAX_DEADLINE_MS)
    return CLAIM_LAYOUT.pack(
        claim.key, claim.body_digest, claim.token, deadline_ms
    )
