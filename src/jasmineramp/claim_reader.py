"""Read the claim log of a partition in order, with reads in parallel."""

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

WINDOW = 16
RETRY_MS = 200.0


class Found(NamedTuple):
    """Hold a log record; age is set for the summary of a generation."""

    sequence: int
    body: bytes
    age_ms: float | None


class LogReader:
    """Read the summaries of a head, then the records up to the log's end.

    An absent summary has outlived its lease and is skipped. The first absent
    record ends the log.
    """

    def __init__(self, partition: PartitionId, prefix: str, head: Head) -> None:
        self.partition = partition
        self.prefix = prefix
        self.head = head
        self.position = 0
        self.requested = 0
        self.waiting: dict[str, int] = {}
        self.arrived: dict[int, bytes | None] = {}
        self.failed: list[int] = []
        self.retry_at = Millis(0)
        self.finished = False

    @property
    def sequence(self) -> int:
        """Return the sequence number of the next record to read."""
        return self._sequence_of(self.position)

    def advance(self) -> list[Effect]:
        """Request the records that the window still allows."""
        effects: list[Effect] = []
        while not self.finished and self.requested < self.position + WINDOW:
            effects.append(self._request(self.requested))
            self.requested += 1
        return effects

    def answered(self, event: StoreAnswered, now: Millis) -> bool:
        """Take an answer; return whether it belongs to this reader."""
        position = self.waiting.pop(event.tag, None)
        if position is None:
            return False
        if event.answer.outcome is Outcome.done:
            absent = event.answer.revision == 0
            self.arrived[position] = None if absent else event.answer.body
        else:
            self.failed.append(position)
            self.retry_at = later(now, RETRY_MS)
        return True

    def tick(self, now: Millis) -> list[Effect]:
        """Repeat the reads that failed."""
        if not self.failed or now < self.retry_at:
            return []
        failed = self.failed
        self.failed = []
        return [self._request(position) for position in failed]

    def drain(self) -> Iterator[Found]:
        """Yield the records that arrived, in order."""
        generations = self.head.generations
        while self.position in self.arrived and not self.finished:
            body = self.arrived.pop(self.position)
            position = self.position
            is_summary = position < len(generations)
            if body is None and not is_summary:
                self.finished = True
                return
            self.position += 1
            if body is not None:
                age = generations[position][1] if is_summary else None
                yield Found(self._sequence_of(position), body, age)

    def _request(self, position: int) -> Effect:
        sequence = self._sequence_of(position)
        tag = f'{self.prefix}/{position}'
        self.waiting[tag] = position
        return StoreRequest(
            Role.claim, tag, Get(log_key(self.partition, sequence))
        )

    def _sequence_of(self, position: int) -> int:
        generations = self.head.generations
        if position < len(generations):
            return generations[position][0]
        return self.head.start + position - len(generations)
