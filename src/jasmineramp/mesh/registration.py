"""Register this node at the store and follow the other nodes there."""

import asyncio
import contextlib
from collections.abc import Callable

import msgspec

from jasmineramp.clock import MILLIS_PER_SECOND, Clock, Millis
from jasmineramp.ids import Revision
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.directory import (
    MemberEntry,
    key_of,
    max_revision,
    read_entry,
)
from jasmineramp.mesh.store import Store, StoreOutcome
from jasmineramp.mesh.store_pauses import Pauses

TTL_MS = 8_000
KEEP_EVERY_MS = 2_000
# An upstream announces itself every 1.5 s; one write then serves for both.
FIRST_ENTRY_WAIT_MS = 1_600

_encoder = msgspec.json.Encoder()


class Registration:
    """Keep the entry of this node at the store under a lease."""

    def __init__(
        self,
        store: Store,
        entry_of: Callable[[int], MemberEntry],
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        self.store = store
        self.entry_of = entry_of
        self.log = log
        self.clock = clock
        self.version = 0
        self.written = -1
        self.revision = Revision(0)
        self.lease = 0
        self.valid_until = Millis(float('-inf'))
        self.is_restored = False
        self.on_restored: Callable[[MemberEntry | None], None] = _ignore_entry
        self.stored = asyncio.Event()
        self.changed = asyncio.Event()
        self.is_closed = False
        self.pauses = Pauses()

    def touch(self) -> None:
        """Note that the entry has changed."""
        self.version += 1
        self.stored.clear()
        self.changed.set()

    async def wait_until_stored(self, limit_ms: float) -> bool:
        """Return whether the present entry is at the store within a time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_ms / MILLIS_PER_SECOND):
                await self.stored.wait()
        return self.stored.is_set()

    def is_valid(self, now: Millis) -> bool:
        """Tell whether the entry is certain to be at the store."""
        return now < self.valid_until

    async def run(self) -> None:
        """Keep lease and entry until cancelled."""
        while not self.is_closed:
            wait_ms = await self._step()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / MILLIS_PER_SECOND):
                    await self.changed.wait()

    async def end(self) -> None:
        """Delete the entry, so that peers need not wait for its lapse."""
        self.is_closed = True
        if self.lease:
            await self.store.end_lease(self.lease)

    async def _step(self) -> float:
        sent = self.clock.now()
        self.changed.clear()
        if not self.is_restored:
            if not await self._restore():
                return self.pauses.next()
            if not self.revision:
                return FIRST_ENTRY_WAIT_MS
        if not self.lease:
            reply = await self.store.grant_lease(TTL_MS)
            if reply.outcome is not StoreOutcome.done:
                return self.pauses.next()
            self.lease = reply.lease
            self.written = -1
        elif self.written == self.version:
            reply = await self.store.keep_lease(self.lease)
            if reply.outcome is StoreOutcome.missing:
                self._lose_lease('lease has ended')
                return 0.001
            if reply.outcome is not StoreOutcome.done:
                return self.pauses.next()
        if self.written != self.version and not await self._write():
            return self.pauses.next()
        self.pauses.reset()
        self.valid_until = Millis(sent + TTL_MS)
        return KEEP_EVERY_MS

    async def _write(self) -> bool:
        version = self.version
        entry = self.entry_of(version)
        key = key_of(entry.node)
        reply = await self.store.put(
            key, _encoder.encode(entry), self.revision, self.lease
        )
        if reply.outcome is StoreOutcome.done:
            self.revision = reply.revision
            self._note_written(version)
            self.log.write(
                'registered', version=version, state=entry.state.name
            )
            return True
        if reply.outcome is StoreOutcome.missing:
            self._lose_lease('lease is unknown')
        elif reply.outcome is StoreOutcome.conflict:
            # An earlier process of this node has left its entry.
            self.revision = max_revision(reply.items)
            self.changed.set()
        elif reply.outcome is StoreOutcome.unknown:
            await self._read_back(key, entry)
        return False

    async def _read_back(self, key: str, entry: MemberEntry) -> None:
        """Learn what is at the store after a conflict or a lost answer."""
        reply = await self.store.get(key)
        if reply.outcome is StoreOutcome.missing:
            self.revision = Revision(0)
        elif reply.outcome is StoreOutcome.done:
            item = reply.items[0]
            self.revision = item.revision
            if item.value == _encoder.encode(entry):
                self._note_written(entry.version)

    async def _restore(self) -> bool:
        """Read what an earlier process of this node knew."""
        node = self.entry_of(0).node
        reply = await self.store.get(key_of(node))
        if reply.outcome is StoreOutcome.missing:
            self.is_restored = True
            self.on_restored(None)
        elif reply.outcome is StoreOutcome.done:
            self.is_restored = True
            self.revision = reply.items[0].revision
            entry = read_entry(reply.items[0])
            self.version = 0 if entry is None else entry.version + 1
            self.on_restored(entry)
        return self.is_restored

    def _note_written(self, version: int) -> None:
        self.written = version
        if version == self.version:
            self.stored.set()

    def _lose_lease(self, reason: str) -> None:
        self.lease = 0
        self.written = -1
        self.stored.clear()
        self.revision = Revision(0)
        self.log.write('lease_lost', reason=reason)


def _ignore_entry(_entry: MemberEntry | None) -> None:
    """Ignore what an earlier process has registered."""
