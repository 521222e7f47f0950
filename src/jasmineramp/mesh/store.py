"""Define what a node needs of the store in which lasting state lives."""

import enum
from collections import Counter
from typing import Protocol

import msgspec

from jasmineramp.ids import Revision


class StoreOutcome(enum.Enum):
    """Tell what is known about a call to the store after its answer.

    Compacted says that the history a watch asked for is gone; missing, that
    the key or the lease does not exist.
    """

    done = 'done'
    conflict = 'conflict'
    missing = 'missing'
    compacted = 'compacted'
    not_done = 'not_done'
    unknown = 'unknown'


class StoreItem(msgspec.Struct, frozen=True, gc=False):
    """Hold the value of a key; no value means that it was deleted."""

    key: str
    revision: Revision
    value: bytes | None = None


class StoreReply(msgspec.Struct, frozen=True, gc=False):
    """Answer a call; the revision is that of the store or of the write."""

    outcome: StoreOutcome
    revision: Revision = Revision(0)
    items: tuple[StoreItem, ...] = ()
    lease: int = 0
    has_more: bool = False
    detail: str = ''


class Store(Protocol):
    """Read, write and watch keys; no call raises.

    The counts are those of the calls by kind and outcome.
    """

    counts: Counter[tuple[str, str]]

    async def get(self, key: str) -> StoreReply:
        """Return the item of a key, read linearizably."""

    async def list_items(self, prefix: str, *, stale: bool) -> StoreReply:
        """Return all items under a prefix; stale ones may be seconds old."""

    async def watch(
        self, prefix: str, after: Revision, wait_ms: float
    ) -> StoreReply:
        """Return what changed after a revision, at most after a wait."""

    async def put(
        self, key: str, value: bytes, expected: Revision, lease: int
    ) -> StoreReply:
        """Write a key if its revision is the expected one, 0 for none."""

    async def delete(self, key: str, expected: Revision) -> StoreReply:
        """Delete a key if its revision is the expected one."""

    async def grant_lease(self, ttl_ms: float) -> StoreReply:
        """Create a lease."""

    async def keep_lease(self, lease: int) -> StoreReply:
        """Renew a lease."""

    async def end_lease(self, lease: int) -> StoreReply:
        """End a lease and delete its keys."""
