"""Register this node in the store under a lease."""

import asyncio
import contextlib
from collections.abc import Callable

import msgspec

from jasmineramp.clock import MILLIS_PER_SECOND, Clock, Millis
from jasmineramp.ids import Revision
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.directory import (
    MemberEntry,
    entry_key,
    max_revision,
    read_entry,
)
from jasmineramp.mesh.store import Store, StoreOutcome
from jasmineramp.mesh.store_pauses import Backoff

LEASE_TTL_MS = 8_000
RENEW_INTERVAL_MS = 2_000
# An upstream announces itself every 1.5 s; after this wait, one write registers
# both the node and its upstream.
FIRST_ENTRY_WAIT_MS = 1_600

_encoder = msgspec.json.Encoder()


class Registration:
    """Maintain the directory entry of this node in the store."""

    def __init__(
        self,
        store: Store,
        make_entry: Callable[[int], MemberEntry],
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        self.store = store
        self.make_entry = make_entry
        self.log = log
        self.clock = clock
        self.version = 0
        self.written: MemberEntry | None = None
        self.revision = Revision(0)
        self.lease = 0
        self.era = store.era
        self.renewed_at = Millis(float('-inf'))
        self.valid_until = Millis(float('-inf'))
        self.is_restored = False
        self.on_restored: Callable[[MemberEntry | None], None] = _ignore_entry
        self.stored = asyncio.Event()
        self.changed = asyncio.Event()
        self.is_closed = False
        self.backoff = Backoff()

    def mark_changed(self) -> None:
        """Schedule a write unless the stored entry has the same content."""
        written = self.written
        if written and written == self.make_entry(written.version):
            return
        self.version += 1
        self.stored.clear()
        self.changed.set()

    async def wait_until_stored(self, limit_ms: float) -> bool:
        """Return whether the current entry is stored within limit_ms."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_ms / MILLIS_PER_SECOND):
                await self.stored.wait()
        return self.stored.is_set()

    def is_valid(self, now: Millis) -> bool:
        """Return whether the lease, and with it the entry, is still valid."""
        return now < self.valid_until

    async def run(self) -> None:
        """Renew the lease and write changed entries until closed."""
        while not self.is_closed:
            wait_ms = await self._run_step()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / MILLIS_PER_SECOND):
                    await self.changed.wait()

    async def unregister(self) -> None:
        """End the lease, so that peers need not wait for it to expire."""
        self.is_closed = True
        if self.lease:
            await self.store.revoke_lease(self.lease)

    async def _run_step(self) -> float:
        step_started = self.clock.now()
        self.changed.clear()
        if not self.is_restored:
            if not await self._restore():
                return self.backoff.next()
            self.era = self.store.era
            if not self.revision:
                return FIRST_ENTRY_WAIT_MS
        if self.era != self.store.era:
            # The entry and the lease may be lost, or back in an older form.
            self.era = self.store.era
            self._lose_lease('the store returned from an older copy')
        if not self.lease:
            reply = await self.store.grant_lease(LEASE_TTL_MS)
            if reply.outcome is not StoreOutcome.done:
                return self.backoff.next()
            self.lease = reply.lease
            self.renewed_at = step_started
            self.written = None
        if not self._is_written() and not await self._write():
            return self.backoff.next()
        if self.clock.now() - self.renewed_at >= RENEW_INTERVAL_MS:
            renewal_sent = self.clock.now()
            reply = await self.store.renew_lease(self.lease)
            if reply.outcome is StoreOutcome.missing:
                self._lose_lease('lease expired')
                return 0.001
            if reply.outcome is not StoreOutcome.done:
                return self.backoff.next()
            self.renewed_at = renewal_sent
            if self.era != self.store.era:
                return 0.001
        self.backoff.reset()
        self.valid_until = Millis(self.renewed_at + LEASE_TTL_MS)
        return max(
            0.001, self.renewed_at + RENEW_INTERVAL_MS - self.clock.now()
        )

    async def _write(self) -> bool:
        version = self.version
        entry = self.make_entry(version)
        key = entry_key(entry.node)
        reply = await self.store.put(
            key, _encoder.encode(entry), self.revision, self.lease
        )
        if reply.outcome is StoreOutcome.done:
            self.revision = reply.revision
            self._record_write(entry)
            self.log.write(
                'registered', version=version, state=entry.state.name
            )
            return True
        if reply.outcome is StoreOutcome.missing:
            self._lose_lease('lease is unknown')
        elif reply.outcome is StoreOutcome.conflict:
            # The entry was written by an earlier process of this node.
            self.revision = max_revision(reply.items)
            self.changed.set()
        elif reply.outcome is StoreOutcome.unknown:
            await self._read_back(key, entry)
        return False

    async def _read_back(self, key: str, entry: MemberEntry) -> None:
        """Read the stored entry after a write whose outcome is unknown."""
        reply = await self.store.get(key)
        if reply.outcome is StoreOutcome.missing:
            self.revision = Revision(0)
        elif reply.outcome is StoreOutcome.done:
            item = reply.items[0]
            self.revision = item.revision
            if item.value == _encoder.encode(entry):
                self._record_write(entry)

    async def _restore(self) -> bool:
        """Read the entry that an earlier process of this node stored."""
        node = self.make_entry(0).node
        reply = await self.store.get(entry_key(node))
        if reply.outcome is StoreOutcome.missing:
            self.is_restored = True
            self.on_restored(None)
        elif reply.outcome is StoreOutcome.done:
            self.is_restored = True
            self.revision = reply.items[0].revision
            entry = read_entry(reply.items[0])
            if entry is not None:
                # The lease of the earlier process serves this one as well.
                self.lease = reply.lease
                self.version = entry.version
                self._record_write(entry)
            self.on_restored(entry)
            # The address may have changed with the process.
            self.mark_changed()
        return self.is_restored

    def _is_written(self) -> bool:
        return self.written is not None and self.written.version == self.version

    def _record_write(self, entry: MemberEntry) -> None:
        self.written = entry
        if self._is_written():
            self.stored.set()

    def _lose_lease(self, reason: str) -> None:
        self.lease = 0
        self.renewed_at = Millis(float('-inf'))
        self.written = None
        self.stored.clear()
        self.revision = Revision(0)
        self.log.write('lease_lost', reason=reason)


def _ignore_entry(_entry: MemberEntry | None) -> None:
    """Ignore the entry of an earlier process."""
