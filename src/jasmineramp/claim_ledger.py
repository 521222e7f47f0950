"""Decide the claims of one partition that this node owns."""

from jasmineramp.claim_batch import ClaimBatch, OutcomeEntry
from jasmineramp.claim_log import LogRecord, decode_record
from jasmineramp.claim_messages import (
    ClaimAnswer,
    ClaimOutcome,
    ClaimRequest,
    ClaimVerdict,
    OutcomeAnswer,
)
from jasmineramp.claim_reader import StoredRecord
from jasmineramp.claim_settings import ClaimSettings
from jasmineramp.claim_table import Claim, ClaimTable
from jasmineramp.clock import Millis, later
from jasmineramp.effects import Effect, EventKind, RecordEvent, SendMessage
from jasmineramp.ids import NodeId, PartitionId

MAX_OPEN_CLAIMS = 10_000


class ClaimLedger:
    """Hold the claims in memory and those queued for the log."""

    def __init__(self, partition: PartitionId, settings: ClaimSettings) -> None:
        self.partition = partition
        self.partitions = len(settings.domains)
        self.claim_limit = settings.claim_limit
        self.table = ClaimTable()
        self.batch = ClaimBatch()

    def handle_request(
        self,
        request: ClaimRequest,
        claimant: NodeId,
        now: Millis,
        writable: bool,
    ) -> ClaimAnswer | None:
        """Decide a claim request; None if its answer follows the append."""
        table = self.table
        token = request.token
        if request.partitions != self.partitions:
            return self._answer(token, ClaimVerdict.unavailable)
        claim = table.open_by_key.get(request.key)
        if claim and claim.token == token and not claim.expired:
            if claim.confirmed:
                return self._answer(token, ClaimVerdict.granted)
            return None
        decision = table.find_verdict(request.key, request.body_digest)
        if decision is not None:
            verdict, status = decision
            response = None
            if verdict is ClaimVerdict.ran:
                response = table.responses.get(request.key)
            return ClaimAnswer(self.partition, token, verdict, status, response)
        if not writable or self._is_full():
            return self._answer(token, ClaimVerdict.unavailable)
        claim = Claim(
            key=request.key,
            body_digest=request.body_digest,
            token=token,
            deadline_ms=request.deadline_ms,
            expires_at=later(now, request.deadline_ms),
            claimant=claimant,
        )
        table.add(claim)
        self.batch.queued_claims.append(claim)
        return None

    def handle_outcome(
        self, outcome: ClaimOutcome, claimant: NodeId
    ) -> OutcomeAnswer | None:
        """Record an outcome; None if its answer follows the append."""
        token = outcome.token
        if token in self.batch.unlogged_tokens:
            return None
        claim = self.table.end(
            token, outcome.result, outcome.status, outcome.response
        )
        if claim is None or self.batch.is_queued(claim):
            return OutcomeAnswer(self.partition, token, accepted=True)
        self.batch.add_outcome(
            OutcomeEntry(token, outcome.status, outcome.result, claimant)
        )
        return None

    def expire(self, now: Millis) -> list[Effect]:
        """Record the outcome of claims past their deadline as unknown."""
        return [
            RecordEvent(
                EventKind.claim_changed,
                {
                    'partition': self.partition,
                    'change': 'outcome unknown',
                    'claimant': claim.claimant,
                },
            )
            for claim in self.table.expire(now)
        ]

    def load(self, stored: StoredRecord, now: Millis) -> None:
        """Apply a record that was read from the log."""
        record = decode_record(stored.body)
        if stored.age_ms is None or record.summary is None:
            self.table.replay(record, now)
        else:
            written_at = later(now, -stored.age_ms)
            self.table.restore(stored.sequence, written_at, record.summary, now)

    def take_record(self, author: str, now: Millis) -> LogRecord | None:
        """Return the next log record; None when nothing is queued."""
        return self.batch.take_record(author, self.table, now)

    def confirm(self) -> list[Effect]:
        """Answer the claims and outcomes of the record that was written."""
        effects: list[Effect] = []
        claims, outcomes = self.batch.confirm()
        for claim in claims:
            # A claim released during the write must not be granted.
            if self.table.open_by_token.get(claim.token) is not claim:
                continue
            claim.confirmed = True
            if not claim.expired:
                answer = self._answer(claim.token, ClaimVerdict.granted)
                effects.append(SendMessage(claim.claimant, answer))
        for entry in outcomes:
            reply = OutcomeAnswer(self.partition, entry.token, accepted=True)
            effects.append(SendMessage(entry.claimant, reply))
        return effects

    def abort(self) -> list[Effect]:
        """Refuse every claim that is not confirmed in the log."""
        return [
            SendMessage(
                claim.claimant,
                self._answer(claim.token, ClaimVerdict.unavailable),
            )
            for claim in self.table.open_by_key.values()
            if not claim.confirmed
        ]

    def _answer(self, token: int, verdict: ClaimVerdict) -> ClaimAnswer:
        return ClaimAnswer(self.partition, token, verdict)

    def _is_full(self) -> bool:
        return (
            len(self.table.open_by_key) >= MAX_OPEN_CLAIMS
            or len(self.table) >= self.claim_limit
        )
