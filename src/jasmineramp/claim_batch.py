"""Gather the claims and outcomes of the next log record."""

from typing import NamedTuple

from jasmineramp.claim_log import END_CODES, OUTCOME, LogRecord
from jasmineramp.claim_messages import ClaimEnd
from jasmineramp.claim_table import Claim, ClaimTable, pack_claim
from jasmineramp.clock import Millis
from jasmineramp.ids import NodeId

# Entries take up to 24 bytes, so a record stays far below the value limit.
BATCH_LIMIT = 4000


class OutcomeEntry(NamedTuple):
    """Hold a reported outcome until it is in the log."""

    token: int
    status: int
    end: ClaimEnd
    claimant: NodeId


class ClaimBatch:
    """Hold what waits for a record and what the record in flight holds."""

    def __init__(self) -> None:
        self.claims: list[Claim] = []
        self.outcomes: list[OutcomeEntry] = []
        self.unlogged: set[int] = set()
        self.sent_claims: list[Claim] = []
        self.sent_outcomes: list[OutcomeEntry] = []

    def add_outcome(self, entry: OutcomeEntry) -> None:
        """Queue an outcome for the next record."""
        self.outcomes.append(entry)
        self.unlogged.add(entry.token)

    def is_queued(self, claim: Claim) -> bool:
        """Tell whether a claim is neither in the log nor in flight."""
        return not claim.confirmed and all(
            claim is not sent for sent in self.sent_claims
        )

    def take(
        self, author: str, table: ClaimTable, now: Millis
    ) -> LogRecord | None:
        """Return the next record; None when nothing waits.

        The record stays the same until its outcome is known. Claims that were
        released or whose deadline passed before they were sent are dropped.
        """
        taken = self.claims[:BATCH_LIMIT]
        self.claims = self.claims[BATCH_LIMIT:]
        for claim in taken:
            if claim.expires <= now:
                table.end(claim.token, ClaimEnd.not_run, 0, None)
        self.sent_claims = [
            claim for claim in taken if table.tokens.get(claim.token) is claim
        ]
        self.sent_outcomes = self.outcomes[:BATCH_LIMIT]
        self.outcomes = self.outcomes[BATCH_LIMIT:]
        if not self.sent_claims and not self.sent_outcomes:
            return None
        return LogRecord(
            author,
            b''.join(
                OUTCOME.pack(entry.token, entry.status, END_CODES[entry.end])
                for entry in self.sent_outcomes
            ),
            b''.join(pack_claim(claim) for claim in self.sent_claims),
        )

    def confirm(self) -> tuple[list[Claim], list[OutcomeEntry]]:
        """Return what the record in flight held, now that it is written."""
        claims = self.sent_claims
        outcomes = self.sent_outcomes
        self.sent_claims = []
        self.sent_outcomes = []
        self.unlogged.difference_update(entry.token for entry in outcomes)
        return claims, outcomes
