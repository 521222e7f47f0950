"""Guard against a lost answer that is taken for a failure, or the reverse."""

import unittest
import unittest.mock

from bench.metadata_store import Fault, MetadataStore

from jasmineramp.ids import Revision
from jasmineramp.mesh.store import StoreOutcome
from jasmineramp.platform import store_client
from jasmineramp.platform.store_client import StoreClient

HOST = '127.0.0.1'


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    """Every answer of the store becomes one typed reply."""

    async def asyncSetUp(self) -> None:
        self.store = MetadataStore()
        self.client = StoreClient(HOST, await self.store.listen(HOST, 0))
        self.addCleanup(self.store.server.stop)
        self.addCleanup(self.client.close)

    async def test_put_get_and_conflict(self) -> None:
        first = await self.client.put('a/1', b'x', Revision(0), 0)
        self.assertIs(first.outcome, StoreOutcome.done)
        again = await self.client.put('a/1', b'y', Revision(0), 0)
        self.assertIs(again.outcome, StoreOutcome.conflict)
        self.assertEqual(again.items[0].revision, first.revision)
        found = await self.client.get('a/1')
        self.assertEqual(found.items[0].value, b'x')

    async def test_missing_key_and_lease(self) -> None:
        found = await self.client.get('a/2')
        self.assertIs(found.outcome, StoreOutcome.missing)
        kept = await self.client.keep_lease(7)
        self.assertIs(kept.outcome, StoreOutcome.missing)

    async def test_listing_of_several_pages(self) -> None:
        for each in range(1203):
            self.store.write(f'a/{each}', b'x')
        listed = await self.client.list_items('a/', stale=False)
        self.assertEqual(len(listed.items), 1203)
        self.assertEqual(listed.revision, self.store.revision)

    async def test_watch_returns_changes_and_deletions(self) -> None:
        after = Revision(self.store.revision)
        self.store.write('a/1', b'x')
        self.store.remove('a/1')
        seen = await self.client.watch('a/', after, 1000)
        self.assertEqual([each.value for each in seen.items], [b'x', None])

    async def test_watch_on_lost_history(self) -> None:
        self.store.write('a/1', b'x')
        self.store.compact()
        seen = await self.client.watch('a/', Revision(1), 1000)
        self.assertIs(seen.outcome, StoreOutcome.compacted)

    async def test_refusal_did_nothing(self) -> None:
        self.store.fault = Fault.busy
        reply = await self.client.put('a/1', b'x', Revision(0), 0)
        self.assertIs(reply.outcome, StoreOutcome.not_done)

    async def test_lost_answer_to_a_write_is_unknown(self) -> None:
        self.store.fault = Fault.lost_writes
        with unittest.mock.patch.object(store_client, 'ANSWER_TIMEOUT_S', 0.05):
            reply = await self.client.put('a/1', b'x', Revision(0), 0)
        self.assertIs(reply.outcome, StoreOutcome.unknown)
        self.store.fault = Fault.none
        found = await self.client.get('a/1')
        self.assertEqual(found.items[0].value, b'x')

    async def test_store_that_is_gone(self) -> None:
        self.store.server.stop()
        reply = await self.client.get('a/1')
        self.assertIs(reply.outcome, StoreOutcome.not_done)
