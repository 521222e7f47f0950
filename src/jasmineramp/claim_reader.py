"""Read the claim log of a partition in order, several records at once."""

from collections.abc import Iterator
from typing import NamedTuple

from jasmineramp.claim_log import Head, log_key
from jasmineramp.clock import Millis, later
from jasmineramp.effects import Effect
from jasmineramp.ids import PartitionId
from jasmineramp.store_messages import (
    Get,
    Outcome,
    Role,
    StoreAnswered,
    StoreRequest,
)

READ_AHEAD_RECORDS = 16
READ_RETRY_DELAY_MS = 200.0


class StoredRecord(NamedTuple):
    """Hold an encoded log record; age is set for a listed summary."""

    sequence: int
    body: bytes
    age_ms: float | None


class LogReader:
    """Read the summaries of a head, then the records up to the log's end.

    An absent summary was deleted with its expired lease and is skipped. The
    first absent record is the end of the log.
    """

    def __init__(self, partition: PartitionId, prefix: str, head: Head) -> None:
        self.partition = partition
        self.prefix = prefix
        self.head = head
        self.next_position = 0
        self.requested_until = 0
        self.positions_by_tag: dict[str, int] = {}
        self.bodies: dict[int, bytes | None] = {}
        self.failed_positions: list[int] = []
        self.retry_at = Millis(0)
        self.finished = False

    @property
    def next_sequence(self) -> int:
        """Return the sequence number of the next record to read."""
        return self._sequence_at(self.next_position)

    def advance(self) -> list[Effect]:
        """Request records up to the read-ahead limit."""
        effects: list[Effect] = []
        while (
            not self.finished
            and self.requested_until < self.next_position + READ_AHEAD_RECORDS
        ):
            effects.append(self._request(self.requested_until))
            self.requested_until += 1
        return effects

    def answered(self, event: StoreAnswered, now: Millis) -> bool:
        """Handle a store answer; return whether it belongs to this reader."""
        position = self.positions_by_tag.pop(event.tag, None)
        if position is None:
            return False
        if event.answer.outcome is Outcome.done:
            absent = event.answer.revision == 0
            self.bodies[position] = None if absent else event.answer.body
        else:
            self.failed_positions.append(position)
            self.retry_at = later(now, READ_RETRY_DELAY_MS)
        return True

    def tick(self, now: Millis) -> list[Effect]:
        """Repeat the reads that failed."""
        if not self.failed_positions or now < self.retry_at:
            return []
        failed = self.failed_positions
        self.failed_positions = []
        return [self._request(position) for position in failed]

    def drain(self) -> Iterator[StoredRecord]:
        """Yield the received records in log order, up to the first gap."""
        generations = self.head.generations
        while self.next_position in self.bodies and not self.finished:
            body = self.bodies.pop(self.next_position)
            position = self.next_position
            is_summary = position < len(generations)
            if body is None and not is_summary:
                self.finished = True
                return
            self.next_position += 1
            if body is not None:
                age = generations[position][1] if is_summary else None
                yield StoredRecord(self._sequence_at(position), body, age)

    def _request(self, position: int) -> Effect:
        sequence = self._sequence_at(position)
        tag = f'{self.prefix}/{position}'
        self.positions_by_tag[tag] = position
        return StoreRequest(
            Role.claim, tag, Get(log_key(self.partition, sequence))
        )

    def _sequence_at(self, position: int) -> int:
        generations = self.head.generations
        if position < len(generations):
            return generations[position][0]
        return self.head.start + position - len(generations)
