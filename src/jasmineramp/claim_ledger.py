"""Judge the claims of one partition that this node owns."""

from jasmineramp.claim_batch import ClaimBatch, OutcomeEntry
from jasmineramp.claim_log import LogRecord, decode_record
from jasmineramp.claim_messages import (
    ClaimAnswer,
    ClaimOutcome,
    ClaimRequest,
    ClaimVerdict,
    OutcomeAnswer,
)
from jasmineramp.claim_reader import Found
from jasmineramp.claim_settings import ClaimSettings
from jasmineramp.claim_table import Claim, ClaimTable
from jasmineramp.clock import Millis, later
from jasmineramp.effects import Effect, EventKind, RecordEvent, SendMessage
from jasmineramp.ids import NodeId, PartitionId

OPEN_LIMIT = 10_000


class ClaimLedger:
    """Hold the claims in memory and those on their way to the log."""

    def __init__(self, partition: PartitionId, settings: ClaimSettings) -> None:
        self.partition = partition
        self.partitions = len(settings.domains)
        self.claim_limit = settings.claim_limit
        self.table = ClaimTable()
        self.batch = ClaimBatch()

    def offer(
        self,
        request: ClaimRequest,
        claimant: NodeId,
        now: Millis,
        writable: bool,
    ) -> ClaimAnswer | None:
        """Judge a claim request; None when the answer follows the append."""
        table = self.table
        token = request.token
        if request.partitions != self.partitions:
            return self._answer(token, ClaimVerdict.unavailable)
        claim = table.open.get(request.key)
        if claim and claim.token == token and not claim.lapsed:
            if claim.confirmed:
                return self._answer(token, ClaimVerdict.granted)
            return None
        judged = table.judge(request.key, request.body)
        if judged is not None:
            verdict, status = judged
            response = None
            if verdict is ClaimVerdict.ran:
                response = table.responses.get(request.key)
            return ClaimAnswer(self.partition, token, verdict, status, response)
        if not writable or self._is_full():
            return self._answer(token, ClaimVerdict.unavailable)
        claim = Claim(
            key=request.key,
            body=request.body,
            token=token,
            deadline_ms=request.deadline_ms,
            expires=later(now, request.deadline_ms),
            claimant=claimant,
        )
        table.add(claim)
        self.batch.claims.append(claim)
        return None

    def report(
        self, outcome: ClaimOutcome, claimant: NodeId
    ) -> OutcomeAnswer | None:
        """Take an outcome; None when the answer follows the append."""
        token = outcome.token
        if token in self.batch.unlogged:
            return None
        claim = self.table.end(
            token, outcome.end, outcome.status, outcome.response
        )
        if claim is None or self.batch.is_queued(claim):
            return OutcomeAnswer(self.partition, token, accepted=True)
        self.batch.add_outcome(
            OutcomeEntry(token, outcome.status, outcome.end, claimant)
        )
        return None

    def expire(self, now: Millis) -> list[Effect]:
        """Mark the claims without an outcome at their deadline as unknown."""
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

    def load(self, found: Found, now: Millis) -> None:
        """Apply a record that was read from the log."""
        record = decode_record(found.body)
        if found.age_ms is None or record.summary is None:
            self.table.replay(record, now)
        else:
            since = later(now, -found.age_ms)
            self.table.restore(found.sequence, since, record.summary, now)

    def take(self, author: str, now: Millis) -> LogRecord | None:
        """Return the next log record; None when nothing waits."""
        return self.batch.take(author, self.table, now)

    def confirm(self) -> list[Effect]:
        """Answer everything in the record that was just written."""
        effects: list[Effect] = []
        claims, outcomes = self.batch.confirm()
        for claim in claims:
            # A claim that was released meanwhile must not be granted.
            if self.table.tokens.get(claim.token) is not claim:
                continue
            claim.confirmed = True
            if not claim.lapsed:
                answer = self._answer(claim.token, ClaimVerdict.granted)
                effects.append(SendMessage(claim.claimant, answer))
        for entry in outcomes:
            reply = OutcomeAnswer(self.partition, entry.token, accepted=True)
            effects.append(SendMessage(entry.claimant, reply))
        return effects

    def abort(self) -> list[Effect]:
        """Refuse every claim that is not confirmed."""
        return [
            SendMessage(
                claim.claimant,
                self._answer(claim.token, ClaimVerdict.unavailable),
            )
            for claim in self.table.open.values()
            if not claim.confirmed
        ]

    def _answer(self, token: int, verdict: ClaimVerdict) -> ClaimAnswer:
        return ClaimAnswer(self.partition, token, verdict)

    def _is_full(self) -> bool:
        return (
            len(self.table.open) >= OPEN_LIMIT
            or len(self.table) >= self.claim_limit
        )
