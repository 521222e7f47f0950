"""Keep the node's table up to date with the store."""

import asyncio
from collections.abc import Awaitable, Callable

from jasmineramp.clock import MILLIS_PER_SECOND, Clock, Millis
from jasmineramp.ids import Revision
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.evacuation_control import EvacuationControl
from jasmineramp.mesh.freshness import Freshness
from jasmineramp.mesh.route_table import RouteTable
from jasmineramp.mesh.store import Store, StoreOutcome, StoreReply
from jasmineramp.mesh.store_pauses import Backoff
from jasmineramp.mesh.store_revisions import era_of, number_of

# Fraction of the apply bound. A new table takes effect after at most one
# interval and one read.
READ_INTERVAL_FRACTION = 0.35
# For a node that no other node asks.
RARE_READ_INTERVAL_FRACTION = 0.7
# Nodes that ask the leader of their domain get the table later by this time.
LEADER_POLL_INTERVAL_MS = 400
# After its first read a process asks the others, which may have a later table
# than a store that has returned from an older copy.
FIRST_POLL_DELAY_MS = 100
# A node that need not read the store for others tries again after this time.
RETRY_INTERVAL_MS = 2_000

TableDecoder = Callable[[bytes, Revision], RouteTable]


async def _no_leader() -> bool:
    """Return that there is no leader to ask."""
    return False


def _is_always_candidate() -> bool:
    """Return that others may ask this node."""
    return True


class TableWatch:
    """Poll the table with linearizable reads, or get it from the leader.

    A watch may silently stop delivering changes, so it can't confirm that
    no key has been withdrawn; a read can.
    """

    def __init__(
        self,
        store: Store,
        key: str,
        decode: TableDecoder,
        *,
        on_table: Callable[[RouteTable], None],
        freshness: Freshness,
        log: DecisionLog,
        clock: Clock,
        evacuations: EvacuationControl | None = None,
    ) -> None:
        self.store = store
        self.evacuations = evacuations
        self.key = key
        self.decode = decode
        self.on_table = on_table
        self.freshness = freshness
        self.log = log
        self.clock = clock
        self.revision = Revision(0)
        self.content = b''
        self.serial = 0
        self.ask_leader: Callable[[], Awaitable[bool]] = _no_leader
        self.is_candidate: Callable[[], bool] = _is_always_candidate
        self.failed_at = Millis(float('-inf'))
        self.is_store_reachable = False
        self.backoff = Backoff()

    async def run(self) -> None:
        """Read the table until cancelled."""
        while True:
            started = self.clock.now()
            is_first = not self.content
            if await self.ask_leader() or (
                self.has_failed_recently(started) and not self.is_candidate()
            ):
                wait = float(LEADER_POLL_INTERVAL_MS)
            elif await self.read():
                self.backoff.reset()
                if is_first:
                    await asyncio.sleep(FIRST_POLL_DELAY_MS / MILLIS_PER_SECOND)
                    await self.ask_leader()
                interval = self._read_interval_ms()
                wait = max(0, started + interval - self.clock.now())
            else:
                self.failed_at = self.clock.now()
                wait = self.backoff.next()
            await asyncio.sleep(wait / MILLIS_PER_SECOND)

    def _read_interval_ms(self) -> float:
        bound_ms = self.freshness.apply_ms
        if self.evacuations is not None and self.evacuations.is_enabled():
            bound_ms = min(bound_ms, self.evacuations.bound_ms)
        if self.is_candidate():
            return bound_ms * READ_INTERVAL_FRACTION
        return bound_ms * RARE_READ_INTERVAL_FRACTION

    def has_failed_recently(self, now: Millis) -> bool:
        """Return whether the store has just failed this node.

        Failed calls are billed too.
        """
        return now - self.failed_at < RETRY_INTERVAL_MS

    async def read(self) -> bool:
        """Read the table once; return whether the store is reachable."""
        sent = self.clock.now()
        reply = await self._read_store()
        reachable = reply.outcome in {StoreOutcome.done, StoreOutcome.missing}
        if reachable is not self.is_store_reachable:
            self.is_store_reachable = reachable
            self.log.write(
                'store_regained' if reachable else 'store_lost',
                outcome=reply.outcome.value,
                detail=reply.detail,
            )
        if reply.outcome is StoreOutcome.missing and self.content:
            self.log.write('table_missing')
        if reply.outcome is not StoreOutcome.done:
            return reachable
        item = reply.items[0]
        self.apply_table(item.revision, item.value or b'', sent)
        return True

    async def _read_store(self) -> StoreReply:
        """Read the table, and the evacuations by the same call."""
        if self.evacuations is None or not self.evacuations.is_enabled():
            return await self.store.get(self.key)
        reply = await self.store.list_items(
            self.evacuations.prefix, stale=False
        )
        if reply.outcome is not StoreOutcome.done:
            return reply
        self.evacuations.apply_read(reply)
        items = tuple(item for item in reply.items if item.key == self.key)
        outcome = StoreOutcome.done if items else StoreOutcome.missing
        return StoreReply(outcome, reply.revision, items)

    def apply_table(
        self, revision: Revision, content: bytes, confirmed_at: Millis
    ) -> bool:
        """Apply a table that was confirmed as the newest at a time.

        Return whether the node now has that table. The content may be empty
        if the node already has the revision.
        """
        is_same_era = era_of(revision) == era_of(self.revision)
        if is_same_era and revision < self.revision:
            # A source that has not read the present table yet.
            return False
        if content and content != self.content:
            return self._load(revision, content, confirmed_at)
        if not content and revision != self.revision:
            return False
        self.revision = max(self.revision, revision)
        self.freshness.record_confirmation(confirmed_at)
        return True

    def _load(
        self, revision: Revision, content: bytes, confirmed_at: Millis
    ) -> bool:
        try:
            table = self.decode(content, revision)
        except ValueError as error:
            self.log.write(
                'table_unreadable',
                revision=number_of(revision),
                era=era_of(revision),
                error=str(error),
            )
            return False
        if (table.serial, revision) < (self.serial, self.revision):
            # The store or a node has an older version than this node, as after
            # the return of the store from a copy, until the operator has
            # written the later one again.
            self.log.write(
                'table_outdated',
                revision=number_of(revision),
                era=era_of(revision),
                version=table.version,
            )
            return False
        if self.serial and table.serial > self.serial and self.evacuations:
            # No copy of the store from before has this version.
            self.evacuations.record_write(era_of(revision))
        self.serial = table.serial
        self.revision = revision
        self.content = content
        self.freshness.restart(confirmed_at)
        self.on_table(table)
        self.log.write(
            'table_in_force',
            revision=number_of(revision),
            era=era_of(revision),
            version=table.version,
        )
        return True
