"""Gather the claims and outcomes of the next log record."""

from typing import NamedTuple

from jasmineramp.claim_log import OUTCOME_LAYOUT, RESULT_CODES, LogRecord
from jasmineramp.claim_messages import ClaimResult
from jasmineramp.claim_table import Claim, ClaimTable, pack_claim
from jasmineramp.clock import Millis
from jasmineramp.ids import NodeId

# Limit of claims and of outcomes in a record. Entries take up to 24 bytes, so
# a record stays far below the size limit of a store value.
MAX_BATCH_ENTRIES = 4000


class OutcomeEntry(NamedTuple):
    """Hold a reported outcome until it is in the log."""

    token: int
    status: int
    result: ClaimResult
    claimant: NodeId


class ClaimBatch:
    """Hold the entries queued for the next record and those in flight."""

    def __init__(self) -> None:
        self.queued_claims: list[Claim] = []
        self.queued_outcomes: list[OutcomeEntry] = []
        self.unlogged_tokens: set[int] = set()
        self.in_flight_claims: list[Claim] = []
        self.in_flight_outcomes: list[OutcomeEntry] = []

    def add_outcome(self, entry: OutcomeEntry) -> None:
        """Queue an outcome for the next record."""
        self.queued_outcomes.append(entry)
        self.unlogged_tokens.add(entry.token)

    def is_queued(self, claim: Claim) -> bool:
        """Return whether a claim is neither in the log nor in flight."""
        return not claim.confirmed and all(
            claim is not sent for sent in self.in_flight_claims
        )

    def take_record(
        self, author: str, table: ClaimTable, now: Millis
    ) -> LogRecord | None:
        """Return the next record; None when nothing is queued.

        The record stays the same until the result of its write is known.
        Claims that were released or passed their deadline before they were sent
        are dropped.
        """
        batch = self.queued_claims[:MAX_BATCH_ENTRIES]
        self.queued_claims = self.queued_claims[MAX_BATCH_ENTRIES:]
        for claim in batch:
            if claim.expires_at <= now:
                table.end(claim.token, ClaimResult.not_run, 0, None)
        self.in_flight_claims = [
            claim
            for claim in batch
            if table.open_by_token.get(claim.token) is claim
        ]
        self.in_flight_outcomes = self.queued_outcomes[:MAX_BATCH_ENTRIES]
        self.queued_outcomes = self.queued_outcomes[MAX_BATCH_ENTRIES:]
        if not self.in_flight_claims and not self.in_flight_outcomes:
            return None
        return LogRecord(
            author,
            b''.join(
                OUTCOME_LAYOUT.pack(
                    entry.token, entry.status, RESULT_CODES[entry.result]
                )
                for entry in self.in_flight_outcomes
            ),
            b''.join(pack_claim(claim) for claim in self.in_flight_claims),
        )

    def confirm(self) -> tuple[list[Claim], list[OutcomeEntry]]:
        """Return the entries of the record in flight after its write."""
        claims = self.in_flight_claims
        outcomes = self.in_flight_outcomes
        self.in_flight_claims = []
        self.in_flight_outcomes = []
        self.unlogged_tokens.difference_update(
            entry.token for entry in outcomes
        )
        return claims, outcomes
