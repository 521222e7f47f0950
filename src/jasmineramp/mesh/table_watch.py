"""Keep the table of this node the newest one at the store."""

import asyncio
from collections.abc import Callable

from jasmineramp.clock import Clock
from jasmineramp.ids import Revision
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.freshness import Freshness
from jasmineramp.mesh.route_table import RouteTable
from jasmineramp.mesh.store import Store, StoreOutcome

# A new table is in force after one interval and the read itself.
INTERVAL_PART = 0.45
RETRY_MS = 250
MILLIS_PER_SECOND = 1000

TableDecoder = Callable[[bytes, Revision], RouteTable]


class TableWatch:
    """Read the table again and again, linearizably.

    A watch may be deaf for a while without a sign of it, so it can't prove
    that no key has been withdrawn; a read can.
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
    ) -> None:
        self.store = store
        self.key = key
        self.decode = decode
        self.on_table = on_table
        self.freshness = freshness
        self.log = log
        self.clock = clock
        self.revision = Revision(0)
        self.is_reached = False

    async def run(self) -> None:
        """Read the table until cancelled."""
        while True:
            started = self.clock.now()
            reached = await self.read()
            interval = self.freshness.apply_ms * INTERVAL_PART
            wait = (
                RETRY_MS
                if not reached
                else max(0, started + interval - self.clock.now())
            )
            await asyncio.sleep(wait / MILLIS_PER_SECOND)

    async def read(self) -> bool:
        """Read the table once; return whether the store answered."""
        sent = self.clock.now()
        reply = await self.store.get(self.key)
        reached = reply.outcome in {StoreOutcome.done, StoreOutcome.missing}
        if reached is not self.is_reached:
            self.is_reached = reached
            self.log.write(
                'store_regained' if reached else 'store_lost',
                outcome=reply.outcome.value,
                detail=reply.detail,
            )
        if reply.outcome is not StoreOutcome.done:
            return reached
        item = reply.items[0]
        if item.revision <= self.revision:
            self.freshness.prove(sent)
            return True
        try:
            table = self.decode(item.value or b'', item.revision)
        except ValueError as error:
            self.log.write(
                'table_unreadable', revision=item.revision, error=str(error)
            )
            return True
        self.revision = item.revision
        self.on_table(table)
        self.freshness.prove(sent)
        self.log.write(
            'table_in_force', revision=item.revision, version=table.version
        )
        return True
