"""Edit the configuration, also while the store returns from older copies."""

import asyncio
import copy
import json
import random
import time
from collections.abc import AsyncIterator

from bench.metadata_store import Fault, MetadataStore

from tests.soak.history import Evacuation, History

EDIT_PAUSE_S = (0.3, 1.2)
COPY_PAUSE_S = (0.2, 1.0)
COPY_AGE_S = (1.0, 4.0)
AWAY_S = (0.3, 2.0)
# The operator has written again what the store lost this long after its return.
REWRITE_S = 0.5
LONGEST_RETURN_S = COPY_PAUSE_S[1] + COPY_AGE_S[1] + AWAY_S[1] + REWRITE_S
MOST_ADDED = 3
DOMAINS = ('z0', 'z1')
EVACUATION_PAUSE_S = (0.3, 1.0)
# Above the bound and its tolerance.
EVACUATED_S = (5.0, 6.0)
POLL_S = 0.02


class Operator:
    """Write configurations with growing versions, and again if they are lost.

    An edit adds a route or removes one; no route is added twice. `added` and
    `removed` hold the time of the acknowledgement in seconds, by path.
    """

    def __init__(self, seed: int, store: MetadataStore) -> None:
        # Other disturbances draw what they did without this one.
        self.rng = random.Random(f'operator-{seed}')
        self.store = store
        self.written: list[bytes] = []
        self.added: dict[str, float] = {}
        self.removed: dict[str, float] = {}
        self.is_away = False
        self.written_again = float('-inf')
        self.returns = 0
        self.lost = 0

    def write(self, configuration: dict[str, object]) -> None:
        """Write a configuration as the next version."""
        version = f'{len(self.written) + 1:08x}'
        content = json.dumps({**configuration, 'version': version}).encode()
        self.written.append(content)
        self.store.write('op/config', content)

    def extend(self, configuration: dict[str, object]) -> dict[str, object]:
        """Return a configuration with the routes that are added now."""
        table = copy.deepcopy(configuration)
        routes: dict[str, dict] = table['routes']  # type: ignore[assignment]
        for path in self.added:
            routes[path.strip('/')] = {**routes['read'], 'prefix': path}
        return table

    def stored_since(self, path: str) -> float:
        """Return since when the store holds an added route, inf if unsure."""
        if self.is_away or path not in self.added:
            return float('inf')
        return max(self.added[path], self.written_again)

    async def edit(self, configuration: dict[str, object]) -> None:
        """Add and remove routes while the store is there, until cancelled."""
        number = 0
        while True:
            await asyncio.sleep(self.rng.uniform(*EDIT_PAUSE_S))
            if self.is_away:
                continue
            # Others use the store too, and don't write again what it loses, so
            # the versions that are written again get other revisions.
            self.store.write('others', b'')
            now = time.monotonic()
            if len(self.added) <= self.rng.randint(1, MOST_ADDED):
                number += 1
                self.added[f'/added-{number}/'] = now
            else:
                path = self.rng.choice(list(self.added))
                del self.added[path]
                self.removed[path] = now
            self.write(self.extend(configuration))

    async def evacuate(self, history: History) -> AsyncIterator[str]:
        """Evacuate domains one by one; yield each before its key is deleted.

        No node can learn of a key while the store fails, so an evacuation
        counts from the end of the last failure.
        """
        while True:
            await asyncio.sleep(self.rng.uniform(*EVACUATION_PAUSE_S))
            domain = self.rng.choice(DOMAINS)
            self.store.write(f'op/evacuate/{domain}', b'{}')
            start = time.monotonic()
            end = start + self.rng.uniform(*EVACUATED_S)
            while time.monotonic() < end:
                await asyncio.sleep(POLL_S)
                if self.store.fault is not Fault.none:
                    start = time.monotonic()
            yield domain
            history.evacuations.append(
                Evacuation(domain, start, time.monotonic())
            )
            self.store.remove(f'op/evacuate/{domain}')

    async def return_until(
        self, end: float, configuration: dict[str, object]
    ) -> None:
        """Edit, and let the store return from copies again and again.

        The last return begins before the end, and no edit follows it.
        """
        edits = asyncio.create_task(self.edit(configuration))
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.uniform(*COPY_PAUSE_S))
            await self._return_once()
        edits.cancel()

    async def _return_once(self) -> None:
        backup = self.store.back_up()
        kept = len(self.written)
        await asyncio.sleep(self.rng.uniform(*COPY_AGE_S))
        self.is_away = True
        self.store.fault = self.rng.choice((Fault.silent, Fault.busy))
        await asyncio.sleep(self.rng.uniform(*AWAY_S))
        self.store.restore(backup)
        self.store.fault = Fault.none
        self.lost += len(self.written) - kept
        await self._write_again(self.written[kept:])
        self.is_away = False
        self.written_again = time.monotonic()
        self.returns += 1

    async def _write_again(self, lost: list[bytes]) -> None:
        """Write what was lost, in order and at moments of the bound."""
        pauses = sorted(self.rng.uniform(0, REWRITE_S) for _ in lost)
        waited = 0.0
        for pause, content in zip(pauses, lost, strict=True):
            await asyncio.sleep(pause - waited)
            waited = pause
            self.store.write('op/config', content)
