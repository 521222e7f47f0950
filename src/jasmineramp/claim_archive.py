"""Keep the ended claims of a partition in little memory."""

import array
import bisect
import collections
from typing import NamedTuple

from jasmineramp.claim_log import ENDED
from jasmineramp.clock import Millis

HOUR_MS = 3_600_000.0
RETENTION_MS = 24 * HOUR_MS
# Claims of at most an hour or this many are in a dictionary.
SHARD_SIZE = 16_000

_STATUS_BITS = 16
_STATUS_MASK = (1 << _STATUS_BITS) - 1


class Ended(NamedTuple):
    """Hold a claim whose call has ended; status 0 means unknown."""

    body: int
    status: int


class Generation(NamedTuple):
    """Hold the sequence number of a summary and the time it was written."""

    sequence: int
    since: Millis


class Shard:
    """Hold ended claims in columns sorted by key, 14 bytes each."""

    def __init__(self, since: Millis, ended: dict[int, int]) -> None:
        self.since = since
        self.keys = array.array('Q', sorted(ended))
        packed = [ended[key] for key in self.keys]
        self.bodies = array.array('I', [one >> _STATUS_BITS for one in packed])
        self.statuses = array.array('H', [one & _STATUS_MASK for one in packed])

    def find(self, key: int) -> Ended | None:
        """Return the claim with a key."""
        keys = self.keys
        index = bisect.bisect_left(keys, key)
        if index == len(keys) or keys[index] != key:
            return None
        return Ended(self.bodies[index], self.statuses[index])


class EndedClaims:
    """Hold ended claims for the retention, counted from their summary.

    A claim goes from the recent ones to the closing ones, whose summary is on
    its way to the log, then to those of the last hour, then to a shard. Body
    and status are packed into one integer, which is smaller than a tuple.
    """

    def __init__(self) -> None:
        self.recent: dict[int, int] = {}
        self.closing: dict[int, int] = {}
        self.hour: dict[int, int] = {}
        self.hour_first: Millis | None = None
        self.hour_last = Millis(0)
        self.shards: collections.deque[Shard] = collections.deque()
        self.sharded = 0
        self.generations: collections.deque[Generation] = collections.deque()

    def __len__(self) -> int:
        """Return the number of claims that are kept."""
        unsharded = len(self.recent) + len(self.closing) + len(self.hour)
        return unsharded + self.sharded

    def add(self, key: int, body: int, status: int) -> None:
        """Add a claim that has just ended."""
        self.recent[key] = body << _STATUS_BITS | status

    def find(self, key: int) -> Ended | None:
        """Return the newest entry of a key."""
        for entries in (self.recent, self.closing, self.hour):
            packed = entries.get(key)
            if packed is not None:
                return Ended(packed >> _STATUS_BITS, packed & _STATUS_MASK)
        for shard in reversed(self.shards):
            found = shard.find(key)
            if found is not None:
                return found
        return None

    def summarise(self) -> bytes:
        """Return the claims since the last summary and close their list."""
        self.closing.update(self.recent)
        self.recent = {}
        return b''.join(
            ENDED.pack(key, packed >> _STATUS_BITS, packed & _STATUS_MASK)
            for key, packed in self.closing.items()
        )

    def close(self, sequence: int, now: Millis) -> None:
        """Note that the last summary is in the log."""
        self._add_generation(Generation(sequence, now), self.closing)
        self.closing = {}

    def restore(self, sequence: int, since: Millis, summary: bytes) -> None:
        """Load the claims of a summary."""
        ended = {
            key: body << _STATUS_BITS | status
            for key, body, status in ENDED.iter_unpack(summary)
        }
        self._add_generation(Generation(sequence, since), ended)

    def list_ages(self, now: Millis) -> tuple[tuple[int, float], ...]:
        """Return the sequence numbers of the summaries and their ages."""
        return tuple(
            (generation.sequence, now - generation.since)
            for generation in self.generations
        )

    def expire(self, now: Millis) -> None:
        """Forget the claims that are older than the retention."""
        forget = now - RETENTION_MS
        while self.generations and self.generations[0].since <= forget:
            self.generations.popleft()
        while self.shards and self.shards[0].since <= forget:
            self.sharded -= len(self.shards.popleft().keys)

    def _add_generation(
        self, generation: Generation, ended: dict[int, int]
    ) -> None:
        self.generations.append(generation)
        if self.hour_first is None:
            if not ended:
                return
            self.hour_first = generation.since
        if ended:
            self.hour.update(ended)
            self.hour_last = generation.since
        if (
            generation.since - self.hour_first >= HOUR_MS
            or len(self.hour) >= SHARD_SIZE
        ):
            self.shards.append(Shard(self.hour_last, self.hour))
            self.sharded += len(self.hour)
            self.hour = {}
            self.hour_first = None
