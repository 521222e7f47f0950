"""Watch the entries of all nodes in the store."""

import asyncio
from collections.abc import Callable

from jasmineramp.clock import MILLIS_PER_SECOND, Clock, Millis
from jasmineramp.ids import Revision
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.directory import KEY_PREFIX, Directory, MemberEntry
from jasmineramp.mesh.store import Store, StoreItem, StoreOutcome
from jasmineramp.mesh.store_pauses import Backoff

# The store replies to a watch after this time even without changes, so that a
# connection that delivers nothing is detected soon after it.
WATCH_WAIT_MS = 4_000
# Changes in quick succession are read with one call.
COALESCE_DELAY_MS = 800
# A watch may miss changes if the store loses its history.
RELIST_INTERVAL_MS = 10_000
IDLE_POLL_INTERVAL_MS = 200
# Nodes that do not watch the store list it at this interval until another
# node sends them the changes. Stale lists cost a tenth of a watch.
STALE_LIST_INTERVAL_MS = 700
# For this time after the store has returned from a copy, stale lists may still
# show what it held before.
STALENESS_MS = 5_000


class DirectoryWatch:
    """Watch the entries and hold the latest change of each key."""

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
        self.full_listing_revision = Revision(0)
        self.latest_items: dict[str, StoreItem] = {}
        self.listed_at = Millis(float('-inf'))
        self.is_listed = False
        # Set when a stale list could be older than the store's history.
        self.needs_current_list = False
        self.era = store.era
        self.era_began_at = Millis(float('-inf'))
        self.is_following: Callable[[], bool] = _return_false
        self.is_candidate: Callable[[], bool] = _return_true
        self.backoff = Backoff()

    async def run(self) -> None:
        """Watch the entries until cancelled."""
        pause_ms = float(0)
        while True:
            if self.is_known() and self.is_following():
                pause_ms = IDLE_POLL_INTERVAL_MS
            elif self.is_known() and not self.is_candidate():
                pause_ms = max(await self._list(), STALE_LIST_INTERVAL_MS)
            else:
                pause_ms = await self._step()
            await asyncio.sleep(pause_ms / MILLIS_PER_SECOND)

    def is_known(self) -> bool:
        """Return whether the entries have ever been listed."""
        return self.listed_at > float('-inf')

    def items_since(
        self, revision: Revision
    ) -> tuple[bool, tuple[StoreItem, ...]]:
        """Return whether the items are a full listing, and the items.

        They are the changes after a revision, or a full listing if the
        changes since then are not known.
        """
        is_full = revision < self.full_listing_revision
        items = tuple(
            item
            for item in self.latest_items.values()
            if item.revision > revision or is_full
        )
        if is_full:
            items = tuple(item for item in items if item.value is not None)
        return is_full, items

    def apply_changes(
        self,
        revision: Revision,
        items: tuple[StoreItem, ...],
        *,
        is_full: bool,
    ) -> None:
        """Apply the changes up to a revision."""
        if revision < self.revision:
            return
        self.revision = revision
        if is_full:
            self.full_listing_revision = revision
            self.latest_items = {item.key: item for item in items}
            self.on_change(self.directory.replace_all(items, self.clock.now()))
        elif items:
            for item in items:
                self.latest_items[item.key] = item
            self.on_change(self.directory.apply(items, self.clock.now()))

    async def _step(self) -> float:
        now = self.clock.now()
        if not self.is_listed or now - self.listed_at > RELIST_INTERVAL_MS:
            return await self._list()
        reply = await self.store.watch(KEY_PREFIX, self.revision, WATCH_WAIT_MS)
        if reply.outcome is StoreOutcome.done:
            self.backoff.reset()
            self.apply_changes(reply.revision, reply.items, is_full=False)
            return COALESCE_DELAY_MS if reply.items else 0
        # List again, because the watch may have missed changes.
        self.is_listed = False
        self.needs_current_list = True
        self.log.write(
            'watch_ended', outcome=reply.outcome.value, detail=reply.detail
        )
        return self.backoff.next()

    def _note_era(self) -> None:
        """Record when a new era began, unless it is the first one seen."""
        if self.era != self.store.era:
            if self.is_known():
                self.era_began_at = self.clock.now()
            self.era = self.store.era

    def _may_list_stale(self) -> bool:
        era_age_ms = self.clock.now() - self.era_began_at
        return era_age_ms > STALENESS_MS and not self.needs_current_list

    async def _list(self) -> float:
        self._note_era()
        reply = await self.store.list_items(
            KEY_PREFIX, stale=self._may_list_stale()
        )
        if reply.outcome is not StoreOutcome.done:
            return self.backoff.next()
        self.backoff.reset()
        self.listed_at = self.clock.now()
        self.is_listed = True
        self.needs_current_list = False
        self.apply_changes(reply.revision, reply.items, is_full=True)
        return 0


def _return_false() -> bool:
    """Stand in for a condition until one is set."""
    return False


def _return_true() -> bool:
    """Stand in for a condition until one is set."""
    return True
