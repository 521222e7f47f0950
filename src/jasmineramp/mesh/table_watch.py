"""Keep the table of this node the newest one at the store."""

import asyncio
from collections.abc import Awaitable, Callable

from jasmineramp.clock import MILLIS_PER_SECOND, Clock, Millis
from jasmineramp.ids import Revision
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.freshness import Freshness
from jasmineramp.mesh.route_table import RouteTable
from jasmineramp.mesh.store import Store, StoreOutcome
from jasmineramp.mesh.store_pauses import Pauses

# A new table is in force after one interval and the read itself.
INTERVAL_PART = 0.35
# Nodes that ask the leader of their domain are that much later.
ASK_INTERVAL_MS = 400

TableDecoder = Callable[[bytes, Revision], RouteTable]


async def _have_no_leader() -> bool:
    """Return that there is nobody to ask."""
    return False


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
        self.content = b''
        self.ask_leader: Callable[[], Awaitable[bool]] = _have_no_leader
        self.is_reached = False
        self.pauses = Pauses()

    async def run(self) -> None:
        """Read the table until cancelled."""
        while True:
            started = self.clock.now()
            if await self.ask_leader():
                await asyncio.sleep(ASK_INTERVAL_MS / MILLIS_PER_SECOND)
                continue
            if await self.read():
                self.pauses.reset()
                interval = self.freshness.apply_ms * INTERVAL_PART
                wait = max(0, started + interval - self.clock.now())
            else:
                wait = self.pauses.next()
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
        self.adopt(item.revision, item.value or b'', sent)
        return True

    def adopt(self, revision: Revision, content: bytes, proved: Millis) -> bool:
        """Take over a table that was the newest at a time.

        Return whether the table of this node is that one. The content may be
        left out if the node has the table.
        """
        if revision > self.revision and not self._take(revision, content):
            return False
        if revision < self.revision:
            return False
        self.freshness.prove(proved)
        return True

    def _take(self, revision: Revision, content: bytes) -> bool:
        try:
            table = self.decode(content, revision)
        except ValueError as error:
            self.log.write(
                'table_unreadable', revision=revision, error=str(error)
            )
            return False
        self.revision = revision
        self.content = content
        self.on_table(table)
        self.log.write(
            'table_in_force', revision=revision, version=table.version
        )
        return True
