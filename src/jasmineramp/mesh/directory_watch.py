"""Follow the entries of all nodes at the store."""

import asyncio
from collections.abc import Callable

from jasmineramp.clock import MILLIS_PER_SECOND, Clock, Millis
from jasmineramp.ids import Revision
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.directory import PREFIX, Directory, MemberEntry
from jasmineramp.mesh.store import Store, StoreItem, StoreOutcome
from jasmineramp.mesh.store_pauses import Pauses

# A connection that went silent is noticed after this time.
WATCH_MS = 4_000
# Changes that follow one another closely are read with one call.
COALESCE_MS = 400
# A watch may miss changes when the store loses its history.
RELIST_MS = 10_000
IDLE_MS = 200


class DirectoryWatch:
    """Follow the entries, and remember the last change of each key."""

    def __init__(
        self,
        store: Store,
        directory: Directory,
        on_change: Callable[[list[MemberEntry]], None],
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        self.store = store
        self.directory = directory
        self.on_change = on_change
        self.log = log
        self.clock = clock
        self.revision = Revision(0)
        self.complete_from = Revision(0)
        self.last: dict[str, StoreItem] = {}
        self.listed = Millis(float('-inf'))
        self.is_listed = False
        self.is_fed: Callable[[], bool] = _is_never_fed
        self.pauses = Pauses()

    async def run(self) -> None:
        """Follow the entries until cancelled."""
        pause_ms = float(0)
        while True:
            if self.is_listed and self.is_fed():
                pause_ms = IDLE_MS
            else:
                pause_ms = await self._step()
            await asyncio.sleep(pause_ms / MILLIS_PER_SECOND)

    def since(self, revision: Revision) -> tuple[bool, tuple[StoreItem, ...]]:
        """Return whether all items follow, and those after a revision."""
        is_full = revision < self.complete_from
        items = tuple(
            item
            for item in self.last.values()
            if item.revision > revision or is_full
        )
        if is_full:
            items = tuple(item for item in items if item.value is not None)
        return is_full, items

    def adopt(
        self,
        revision: Revision,
        items: tuple[StoreItem, ...],
        *,
        is_full: bool,
    ) -> None:
        """Take over changes that lead up to a revision."""
        if revision < self.revision:
            return
        self.revision = revision
        if is_full:
            self.complete_from = revision
            self.last = {item.key: item for item in items}
            self.on_change(self.directory.replace_all(items, self.clock.now()))
        elif items:
            for item in items:
                self.last[item.key] = item
            self.on_change(self.directory.apply(items, self.clock.now()))

    async def _step(self) -> float:
        now = self.clock.now()
        if not self.is_listed or now - self.listed > RELIST_MS:
            return await self._list(stale=self.is_listed)
        reply = await self.store.watch(PREFIX, self.revision, WATCH_MS)
        if reply.outcome is StoreOutcome.done:
            self.pauses.reset()
            self.adopt(reply.revision, reply.items, is_full=False)
            return COALESCE_MS if reply.items else 0
        # What the watch missed is read anew.
        self.is_listed = False
        self.log.write(
            'watch_ended', outcome=reply.outcome.value, detail=reply.detail
        )
        return self.pauses.next()

    async def _list(self, *, stale: bool) -> float:
        reply = await self.store.list_items(PREFIX, stale=stale)
        if reply.outcome is not StoreOutcome.done:
            return self.pauses.next()
        self.pauses.reset()
        self.listed = self.clock.now()
        self.is_listed = True
        self.adopt(reply.revision, reply.items, is_full=True)
        return 0


def _is_never_fed() -> bool:
    return False
