"""Register this node in the store under a lease.

The departures of its instances are stored beside the entry and outlive it,
under a lease of their own that nobody ends.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from jasmineramp.clock import MILLIS_PER_SECOND, Clock, Millis
from jasmineramp.ids import Revision
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.departures import (
    DEPARTURE_RETENTION_MS,
    Departed,
    Departures,
    encode_departures,
)
from jasmineramp.mesh.directory import (
    ABSENCE_GRACE_MS,
    MemberEntry,
    departures_key,
    entry_key,
    read_departures,
    read_entry,
)
from jasmineramp.mesh.peer_messages import BucketOwner
from jasmineramp.mesh.store import (
    Store,
    StoreItem,
    StoreOutcome,
    StoreWrite,
)
from jasmineramp.mesh.store_pauses import Backoff
from jasmineramp.mesh.store_revisions import era_of, number_of

LEASE_TTL_MS = 8_000
RENEW_INTERVAL_MS = 2_000
# Covers the drift of two clocks over the time of a lease, and a short pause
# between this check and its use.
KNOWN_MARGIN_MS = 500
# An upstream announces itself every 1.5 s; after this wait, one write registers
# both the node and its upstream.
FIRST_ENTRY_WAIT_MS = 1_600

_encoder = msgspec.json.Encoder()


class _OwnItems(NamedTuple):
    """Hold the items of this node in the store, None for absent ones."""

    entry: StoreItem | None
    departures: StoreItem | None


class Registration:
    """Maintain the directory entry of this node in the store."""

    def __init__(
        self,
        store: Store,
        make_entry: Callable[[int], MemberEntry],
        log: DecisionLog,
        clock: Clock,
        departures: Departures | None = None,
    ) -> None:
        self.store = store
        self.make_entry = make_entry
        self.departures = departures or Departures()
        self.stored_departures: frozenset[Departed] = frozenset()
        self.log = log
        self.clock = clock
        self.version = 0
        self.written: MemberEntry | None = None
        self.revision = Revision(0)
        self.lease = 0
        self.era = store.era
        store.on_new_era = self.wake
        self.renewed_at = Millis(float('-inf'))
        self.valid_until = Millis(float('-inf'))
        self.is_restored = False
        self.on_restored: Callable[[MemberEntry | None], None] = _ignore_entry
        self.stored = asyncio.Event()
        self.changed = asyncio.Event()
        self.is_closed = False
        self.backoff = Backoff()

    def mark_changed(self) -> None:
        """Schedule a write unless the store has the same content."""
        written = self.written
        if not written or written != self.make_entry(written.version):
            self.version += 1
        elif not self._lacks_departures():
            return
        self.stored.clear()
        self.changed.set()

    async def wait_until_stored(self, limit_ms: float) -> bool:
        """Return whether entry and departures are stored within limit_ms."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_ms / MILLIS_PER_SECOND):
                await self.stored.wait()
        return self.stored.is_set()

    def is_known(self, now: Millis) -> bool:
        """Return whether the other nodes still count this one as a member.

        They keep an entry for a while after its lease has expired. A node that
        the store refuses goes on granting rates until another may take over.
        """
        return now < self.valid_until + ABSENCE_GRACE_MS - KNOWN_MARGIN_MS

    def name_as_owner(self) -> BucketOwner | None:
        """Return this node with its stored entry, None without one."""
        if self.written is None:
            return None
        node = self.written.node
        item = StoreItem(
            entry_key(node),
            Revision(number_of(self.revision)),
            _encoder.encode(self.written),
        )
        return BucketOwner(node, item, era_of(self.revision))

    async def run(self) -> None:
        """Renew the lease and write changed entries until closed."""
        while not self.is_closed:
            wait_ms = await self._run_step()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / MILLIS_PER_SECOND):
                    await self.changed.wait()

    def wake(self) -> None:
        """Run the next step now, as the store may have lost the entry."""
        self.changed.set()

    async def unregister(self) -> None:
        """End the lease, so that peers need not wait for it to expire.

        The departures stay: they bind the next process.
        """
        self.is_closed = True
        if not self.lease or self.era != self.store.era:
            # In a new era the lease may be that of another node.
            return
        reply = await self.store.revoke_lease(self.lease)
        if reply.outcome is not StoreOutcome.done:
            self.log.write(
                'lease_not_ended',
                outcome=reply.outcome.value,
                detail=reply.detail,
            )

    async def _run_step(self) -> float:
        step_started = self.clock.now()
        self.changed.clear()
        if not self.is_restored:
            if not await self._restore():
                return self.backoff.next()
            self.era = self.store.era
            if not self.revision:
                return FIRST_ENTRY_WAIT_MS
        is_registered = (
            (self.era == self.store.era or await self._check_entry())
            and (self.lease or await self._take_lease(step_started))
            and (self._is_written() or await self._write())
        )
        if not is_registered:
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
        self.backoff.reset()
        self.valid_until = Millis(self.renewed_at + LEASE_TTL_MS)
        return max(
            0.001, self.renewed_at + RENEW_INTERVAL_MS - self.clock.now()
        )

    async def _take_lease(self, step_started: Millis) -> bool:
        reply = await self.store.grant_lease(LEASE_TTL_MS)
        if reply.outcome is not StoreOutcome.done:
            return False
        self.lease = reply.lease
        self.renewed_at = step_started
        self.written = None
        return True

    async def _write(self) -> bool:
        version = self.version
        entry = self.make_entry(version)
        facts = self.departures.facts()
        writes = [
            StoreWrite(
                entry_key(entry.node),
                _encoder.encode(entry),
                self.revision,
                self.lease,
            )
        ]
        if self._lacks_departures():
            reply = await self.store.grant_lease(DEPARTURE_RETENTION_MS)
            if reply.outcome is not StoreOutcome.done:
                return False
            # They change with the entry only, so its revision guards both.
            writes.insert(
                0,
                StoreWrite(
                    departures_key(entry.node),
                    encode_departures(facts),
                    None,
                    reply.lease,
                ),
            )
        reply = await self.store.put(*writes)
        if reply.outcome is StoreOutcome.done:
            self.revision = reply.revision
            if len(writes) > 1:
                self.stored_departures = frozenset(facts)
            self._confirm_write(entry)
            self.log.write(
                'registered',
                version=version,
                state=entry.state.name,
                departures=len(self.stored_departures),
            )
            return True
        if reply.outcome is StoreOutcome.missing:
            self._lose_lease('lease is unknown')
        elif reply.outcome is StoreOutcome.conflict:
            # The entry was written by an earlier process of this node, or it is
            # back from a copy of the store.
            await self._read_back(entry)
            self.changed.set()
        elif reply.outcome is StoreOutcome.unknown:
            await self._read_back(entry)
        return False

    async def _read_back(self, entry: MemberEntry) -> None:
        """Read what is stored after a write that another may have preceded."""
        own = await self._read_own()
        if own is None:
            return
        self._note_entry(own.entry)
        self._note_departures(own.departures)
        if self._is_intact(own.entry, entry):
            self._confirm_write(entry)

    async def _read_own(self) -> _OwnItems | None:
        """Read the items of this node, None if the store has not told."""
        node = self.make_entry(0).node
        # One call reads both keys, and those of nodes with longer names.
        reply = await self.store.list_items(entry_key(node), stale=False)
        if reply.outcome is not StoreOutcome.done:
            return None
        by_key = {item.key: item for item in reply.items}
        return _OwnItems(
            by_key.get(entry_key(node)), by_key.get(departures_key(node))
        )

    def _note_entry(self, item: StoreItem | None) -> None:
        self.revision = item.revision if item else Revision(0)

    def _note_departures(self, item: StoreItem | None) -> None:
        """Learn the departures in the store."""
        self.stored_departures = frozenset()
        if item is None:
            return
        facts = read_departures(item)
        if facts is None:
            self.log.write('departures_unreadable', key=item.key)
            return
        self.stored_departures = frozenset(facts)
        self.departures.merge(facts, self.clock.now())

    async def _restore(self) -> bool:
        """Read what an earlier process of this node stored."""
        own = await self._read_own()
        if own is None:
            return False
        self.is_restored = True
        self._note_entry(own.entry)
        self._note_departures(own.departures)
        if own.entry is None:
            self.on_restored(None)
            if self._lacks_departures():
                self.mark_changed()
            return True
        entry = read_entry(own.entry)
        if entry is not None:
            # The lease of the earlier process serves this one as well.
            self.lease = own.entry.lease
            self.version = entry.version
            self._record_write(entry)
        self.on_restored(entry)
        # The address may have changed with the process.
        self.mark_changed()
        return True

    async def _check_entry(self) -> bool:
        """Read whether entry and lease are still there in a new era.

        Return False if the store has not told.
        """
        era = self.store.era
        own = await self._read_own()
        if own is None:
            return False
        self.era = era
        if not self._is_intact(own.entry, self.written):
            self._lose_lease('the store returned from an older copy')
        self._note_entry(own.entry)
        self._note_departures(own.departures)
        if self._lacks_departures():
            self.stored.clear()
        return True

    def _is_intact(
        self, item: StoreItem | None, entry: MemberEntry | None
    ) -> bool:
        """Return whether an item holds the entry under the present lease."""
        return (
            item is not None
            and entry is not None
            and item.lease == self.lease
            and item.value == _encoder.encode(entry)
        )

    def _is_written(self) -> bool:
        return (
            self.written is not None
            and self.written.version == self.version
            and not self._lacks_departures()
        )

    def _lacks_departures(self) -> bool:
        """Return whether the store lacks a departure that this node knows."""
        return not self.stored_departures.issuperset(self.departures.facts())

    def _confirm_write(self, entry: MemberEntry) -> None:
        """Record a write, and schedule the next if it is out of date.

        A change that was undone during the write left no trace: it was compared
        with the entry before.
        """
        if entry.version == self.version and entry != self.make_entry(
            entry.version
        ):
            self.version += 1
            self.changed.set()
        self._record_write(entry)

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
