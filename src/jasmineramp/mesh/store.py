"""Define the interface to the store that holds persistent state."""

import enum
from collections import Counter
from collections.abc import Callable
from typing import Protocol

import msgspec

from jasmineramp.ids import Revision


class StoreOutcome(enum.Enum):
    """Classify the outcome of a call to the store.

    conflict: the revision was not the expected one. missing: the key or the
    lease does not exist. compacted: the history that a watch requested was
    discarded. not_done: the call had no effect. unknown: it may have had one.
    """

    done = 'done'
    conflict = 'conflict'
    missing = 'missing'
    compacted = 'compacted'
    not_done = 'not_done'
    unknown = 'unknown'


class StoreItem(msgspec.Struct, frozen=True, gc=False, omit_defaults=True):
    """Hold the value of a key; None means that it was deleted."""

    key: str
    revision: Revision
    value: bytes | None = None
    lease: int = 0


class StoreWrite(msgspec.Struct, frozen=True, gc=False):
    """Hold a new value and the revision that the key must still have.

    The expected revision is 0 for an absent key, None for any. The lease is 0
    for none.
    """

    key: str
    value: bytes
    expected: Revision | None
    lease: int


class StoreReply(msgspec.Struct, frozen=True, gc=False):
    """Hold the reply to a call; `revision` is of the store or of the write.

    Revisions of a later era are greater than all before (store_revisions).
    `lease` is the lease that was granted, or that of the item that was read
    by its key.
    """

    outcome: StoreOutcome
    revision: Revision = Revision(0)
    items: tuple[StoreItem, ...] = ()
    lease: int = 0
    has_more: bool = False
    detail: str = ''


class Store(Protocol):
    """Read, write and watch keys; failures are outcomes, never exceptions.

    `counts` holds the number of calls by kind and outcome. `era` rises when the
    store returns from an older copy: what was written since the copy is lost.
    `on_new_era` is called then.
    """

    counts: Counter[tuple[str, str]]
    era: int
    on_new_era: Callable[[], None]

    def observe_era(self, era: int) -> None:
        """Note an era that another node has seen."""

    async def get(self, key: str) -> StoreReply:
        """Return the item of a key, read linearizably."""

    async def list_items(self, prefix: str, *, stale: bool) -> StoreReply:
        """Return all items under a prefix; a stale list may lag by seconds."""

    async def watch(
        self, prefix: str, after: Revision, wait_ms: float
    ) -> StoreReply:
        """Return changes after a revision, waiting at most wait_ms for one."""

    async def put(self, *writes: StoreWrite) -> StoreReply:
        """Write all keys if all their revisions are as expected.

        The revision of the reply is that of the last write.
        """

    async def delete(self, key: str, expected: Revision) -> StoreReply:
        """Delete a key if its revision is the expected one."""

    async def grant_lease(self, ttl_ms: float) -> StoreReply:
        """Create a lease."""

    async def renew_lease(self, lease: int) -> StoreReply:
        """Renew a lease."""

    async def revoke_lease(self, lease: int) -> StoreReply:
        """End a lease and delete its keys."""
