"""Hold the ended claims of a partition in compact form."""

import array
import bisect
import collections
from typing import NamedTuple

from jasmineramp.claim_log import ENDED_LAYOUT
from jasmineramp.clock import Millis

HOUR_MS = 3_600_000.0
RETENTION_MS = 24 * HOUR_MS
# Unsharded claims are moved to a shard after an hour or at this many.
MAX_UNSHARDED_CLAIMS = 16_000

_STATUS_BITS = 16
_STATUS_MASK = (1 << _STATUS_BITS) - 1


class EndedClaim(NamedTuple):
    """Hold a claim whose call has ended; status 0 is an unknown outcome."""

    body_digest: int
    status: int


class Generation(NamedTuple):
    """Hold the sequence number and the write time of a summary."""

    sequence: int
    written_at: Millis


class Shard:
    """Hold ended claims in columns sorted by key, 14 bytes each."""

    def __init__(self, written_at: Millis, ended: dict[int, int]) -> None:
        self.written_at = written_at
        self.keys = array.array('Q', sorted(ended))
        packed = [ended[key] for key in self.keys]
        self.body_digests = array.array(
            'I', [entry >> _STATUS_BITS for entry in packed]
        )
        self.statuses = array.array(
            'H', [entry & _STATUS_MASK for entry in packed]
        )

    def find(self, key: int) -> EndedClaim | None:
        """Return the claim with a key, None if there is none."""
        keys = self.keys
        index = bisect.bisect_left(keys, key)
        if index == len(keys) or keys[index] != key:
            return None
        return EndedClaim(self.body_digests[index], self.statuses[index])


class EndedClaims:
    """Hold ended claims for `RETENTION_MS` from the write of their summary.

    A claim moves from the recent ones to the closing ones, whose summary is
    being written to the log, then to the unsharded ones, then to a shard. Body
    digest and status are packed into one integer, which is smaller than a
    tuple.
    """

    def __init__(self) -> None:
        self.recent: dict[int, int] = {}
        self.closing: dict[int, int] = {}
        self.unsharded: dict[int, int] = {}
        self.unsharded_since: Millis | None = None
        self.unsharded_until = Millis(0)
        self.shards: collections.deque[Shard] = collections.deque()
        self.sharded_count = 0
        self.generations: collections.deque[Generation] = collections.deque()

    def __len__(self) -> int:
        """Return the number of ended claims."""
        unsharded_count = (
            len(self.recent) + len(self.closing) + len(self.unsharded)
        )
        return unsharded_count + self.sharded_count

    def add(self, key: int, body_digest: int, status: int) -> None:
        """Add a claim that has just ended."""
        self.recent[key] = body_digest << _STATUS_BITS | status

    def find(self, key: int) -> EndedClaim | None:
        """Return the newest claim with a key, None if there is none."""
        for entries in (self.recent, self.closing, self.unsharded):
            packed = entries.get(key)
            if packed is not None:
                return EndedClaim(packed >> _STATUS_BITS, packed & _STATUS_MASK)
        for shard in reversed(self.shards):
            found = shard.find(key)
            if found is not None:
                return found
        return None

    def summarise(self) -> bytes:
        """Return the encoded claims that are not in a confirmed summary."""
        self.closing.update(self.recent)
        self.recent = {}
        return b''.join(
            ENDED_LAYOUT.pack(
                key, packed >> _STATUS_BITS, packed & _STATUS_MASK
            )
            for key, packed in self.closing.items()
        )

    def confirm_summary(self, sequence: int, now: Millis) -> None:
        """Record that the last summary is in the log."""
        self._add_generation(Generation(sequence, now), self.closing)
        self.closing = {}

    def restore(
        self, sequence: int, written_at: Millis, summary: bytes
    ) -> None:
        """Load the claims of a summary."""
        ended = {
            key: body_digest << _STATUS_BITS | status
            for key, body_digest, status in ENDED_LAYOUT.iter_unpack(summary)
        }
        self._add_generation(Generation(sequence, written_at), ended)

    def list_ages(self, now: Millis) -> tuple[tuple[int, float], ...]:
        """Return the sequence numbers of the summaries and their ages."""
        return tuple(
            (generation.sequence, now - generation.written_at)
            for generation in self.generations
        )

    def expire(self, now: Millis) -> None:
        """Drop the claims that are older than `RETENTION_MS`."""
        cutoff = now - RETENTION_MS
        while self.generations and self.generations[0].written_at <= cutoff:
            self.generations.popleft()
        while self.shards and self.shards[0].written_at <= cutoff:
            self.sharded_count -= len(self.shards.popleft().keys)

    def _add_generation(
        self, generation: Generation, ended: dict[int, int]
    ) -> None:
        self.generations.append(generation)
        if self.unsharded_since is None:
            if not ended:
                return
            self.unsharded_since = generation.written_at
        if ended:
            self.unsharded.update(ended)
            self.unsharded_until = generation.written_at
        if (
            generation.written_at - self.unsharded_since >= HOUR_MS
            or len(self.unsharded) >= MAX_UNSHARDED_CLAIMS
        ):
            self.shards.append(Shard(self.unsharded_until, self.unsharded))
            self.sharded_count += len(self.unsharded)
            self.unsharded = {}
            self.unsharded_since = None
