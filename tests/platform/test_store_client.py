"""Test that a lost answer to a write is not reported as a failed write."""

import asyncio
import time
import unittest
import unittest.mock

from bench.metadata_store import Backup, Fault, MetadataStore

from jasmineramp.ids import Revision
from jasmineramp.mesh.store import StoreOutcome, StoreReply, StoreWrite
from jasmineramp.mesh.store_revisions import era_of, number_of
from jasmineramp.platform import store_client
from jasmineramp.platform.store_client import ANSWER_TIMEOUT_S, StoreClient
from tests.fakes.endless import (
    BODY_NAMES,
    ENDLESS,
    HEAD_NAMES,
    EndlessServer,
)

HOST = '127.0.0.1'


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    """Test the reply for each response of the store."""

    async def asyncSetUp(self) -> None:
        self.store = MetadataStore()
        self.client = StoreClient(HOST, await self.store.listen(HOST, 0))
        self.addCleanup(self.store.server.stop)
        self.addCleanup(self.client.close)

    async def test_put_get_and_conflict(self) -> None:
        first = await self.client.put(StoreWrite('a/1', b'x', Revision(0), 0))
        self.assertIs(first.outcome, StoreOutcome.done)
        again = await self.client.put(StoreWrite('a/1', b'y', Revision(0), 0))
        self.assertIs(again.outcome, StoreOutcome.conflict)
        self.assertEqual(again.items[0].revision, first.revision)
        reply = await self.client.get('a/1')
        self.assertEqual(reply.items[0].value, b'x')

    async def test_missing_key_and_lease(self) -> None:
        reply = await self.client.get('a/2')
        self.assertIs(reply.outcome, StoreOutcome.missing)
        renewed = await self.client.renew_lease(7)
        self.assertIs(renewed.outcome, StoreOutcome.missing)

    async def test_list_of_several_pages(self) -> None:
        """A truncated list is continued until it is complete."""
        for each in range(1203):
            self.store.write(f'a/{each}', b'x')
        listed = await self.client.list_items('a/', stale=False)
        self.assertEqual(len(listed.items), 1203)
        self.assertEqual(listed.revision, self.store.revision)

    async def test_watch_returns_changes_and_deletions(self) -> None:
        after = Revision(self.store.revision)
        self.store.write('a/1', b'x')
        self.store.remove('a/1')
        watched = await self.client.watch('a/', after, 1000)
        self.assertEqual([each.value for each in watched.items], [b'x', None])

    async def test_watch_after_compaction(self) -> None:
        """A watch from a compacted revision is reported, not left empty."""
        self.store.write('a/1', b'x')
        self.store.compact()
        watched = await self.client.watch('a/', Revision(1), 1000)
        self.assertIs(watched.outcome, StoreOutcome.compacted)

    async def test_refused_write_is_not_done(self) -> None:
        """A write that a busy store refuses had no effect."""
        self.store.fault = Fault.busy
        reply = await self.client.put(StoreWrite('a/1', b'x', Revision(0), 0))
        self.assertIs(reply.outcome, StoreOutcome.not_done)

    async def test_lost_answer_to_a_write_is_unknown(self) -> None:
        """The store applies a write whose answer is lost.

        It must not be reported as not done, which promises no effect.
        """
        self.store.fault = Fault.lost_writes
        with unittest.mock.patch.object(store_client, 'ANSWER_TIMEOUT_S', 0.05):
            reply = await self.client.put(
                StoreWrite('a/1', b'x', Revision(0), 0)
            )
        self.assertIs(reply.outcome, StoreOutcome.unknown)
        self.store.fault = Fault.none
        stored = await self.client.get('a/1')
        self.assertEqual(stored.items[0].value, b'x')

    async def test_unreachable_store_is_not_done(self) -> None:
        self.store.server.stop()
        reply = await self.client.get('a/1')
        self.assertIs(reply.outcome, StoreOutcome.not_done)


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    """Test a store that returns from an older copy of itself."""

    async def asyncSetUp(self) -> None:
        self.store = MetadataStore()
        self.client = StoreClient(HOST, await self.store.listen(HOST, 0))
        self.addCleanup(self.store.server.stop)
        self.addCleanup(self.client.close)

    async def put(self, value: bytes, expected: Revision) -> StoreReply:
        """Write one key without a lease."""
        return await self.client.put(StoreWrite('a/1', value, expected, 0))

    async def restore(self, backup: Backup) -> None:
        """Restore a copy; return when the client's connections have ended."""
        self.store.restore(backup)
        while any(each.is_open for each in self.client.idle):
            await asyncio.sleep(0)

    async def test_reissued_revision_is_later_than_the_lost_one(self) -> None:
        backup = self.store.back_up()
        lost = await self.put(b'x', Revision(0))
        await self.restore(backup)
        again = await self.put(b'y', Revision(0))
        self.assertEqual(number_of(lost.revision), number_of(again.revision))
        self.assertGreater(again.revision, lost.revision)
        listed = await self.client.list_items('a/', stale=False)
        self.assertEqual(listed.items[0].revision, again.revision)

    # Guards against writes on the condition of a revision that now stands for
    # another change.
    async def test_write_that_expects_a_lost_revision_conflicts(self) -> None:
        backup = self.store.back_up()
        lost = await self.put(b'x', Revision(0))
        await self.restore(backup)
        self.store.write('a/1', b'of another writer')
        await self.client.get('a/1')
        for reply in (
            await self.put(b'y', lost.revision),
            await self.client.delete('a/1', lost.revision),
        ):
            self.assertIs(reply.outcome, StoreOutcome.conflict)
        self.assertEqual(
            self.store.read(self.store.items['a/1']), b'of another writer'
        )

    # Guards against a watch that goes on from a revision of the lost past and
    # misses what came before it.
    async def test_watch_from_a_lost_revision_is_compacted(self) -> None:
        backup = self.store.back_up()
        lost = await self.put(b'x', Revision(0))
        await self.restore(backup)
        for _ in range(3):
            self.store.write('a/2', b'y')
        for _ in range(2):
            reply = await self.client.watch('a/', lost.revision, 1000)
            self.assertIs(reply.outcome, StoreOutcome.compacted)

    # Guards against a watch that stays deaf after another call has shown that
    # the store has returned from a copy.
    async def test_waiting_watch_ends_with_the_era(self) -> None:
        written = await self.put(b'x', Revision(0))
        watch = asyncio.create_task(
            self.client.watch('a/', written.revision, 30_000)
        )
        while not self.client.watching:
            await asyncio.sleep(0)
        self.store.era += 1
        await self.client.get('a/1')
        async with asyncio.timeout(1):
            reply = await watch
        self.assertIsNot(reply.outcome, StoreOutcome.done)

    async def test_answer_of_an_earlier_era_stays_an_earlier_one(self) -> None:
        self.store.era = 4
        later = await self.put(b'x', Revision(0))
        self.store.era = 3
        earlier = await self.client.get('a/1')
        self.assertEqual(era_of(earlier.items[0].revision), 3)
        self.assertEqual(self.client.era, 4)
        self.assertLess(earlier.items[0].revision, later.revision)

    # Guards against a process that ends its own first calls, because it takes
    # the era of the store for a new one.
    async def test_first_era_ends_no_watch(self) -> None:
        self.store.era = 3
        watch = asyncio.create_task(
            self.client.watch('a/', Revision(self.store.revision), 30_000)
        )
        while not self.client.watching:
            await asyncio.sleep(0)
        news = unittest.mock.Mock()
        self.client.on_new_era = news
        await self.client.get('a/1')
        self.assertFalse(watch.done())
        news.assert_not_called()
        self.client.observe_era(4)
        news.assert_called_once_with()
        reply = await watch
        self.assertIsNot(reply.outcome, StoreOutcome.done)

    async def test_list_of_two_eras_is_not_done(self) -> None:
        """Pages before and after the return are no list of one state."""
        for each in range(1203):
            self.store.write(f'a/{each}', b'x')
        answer = self.store.answer_range

        def answer_and_return(
            prefix: str, after: str
        ) -> tuple[int, dict[str, object]]:
            self.store.era += bool(after)
            return answer(prefix, after)

        with unittest.mock.patch.object(
            self.store, 'answer_range', answer_and_return
        ):
            listed = await self.client.list_items('a/', stale=False)
        self.assertIs(listed.outcome, StoreOutcome.not_done)

    async def test_response_without_an_era_is_of_the_present_one(self) -> None:
        self.store.era = 3
        await self.client.get('a/1')
        for header in ([], [(b'Store-Era', b'odd')], [(b'Store-Era', b'-1')]):
            with unittest.mock.patch.object(
                self.store, 'era_headers', return_value=header
            ):
                written = await self.put(b'x', Revision(0))
            self.assertEqual(era_of(written.revision), 3)
            self.store.remove('a/1')


class EndlessReplyTest(unittest.IsolatedAsyncioTestCase):
    """Test replies of the store that never end."""

    async def test_reply_is_cut_long_before_the_timeout(self) -> None:
        """A read counts as not done, a write as unknown."""
        for name, (start, piece) in ENDLESS.items():
            with self.subTest(name):
                server = EndlessServer(start, piece)
                client = StoreClient(HOST, await server.listen(), 100_000)
                started = time.monotonic()
                read = await client.get('k')
                written = await client.put(
                    StoreWrite('k', b'v', Revision(0), 0)
                )
                self.assertLess(
                    time.monotonic() - started, 2 * ANSWER_TIMEOUT_S
                )
                self.assertIs(read.outcome, StoreOutcome.not_done)
                self.assertIs(written.outcome, StoreOutcome.unknown)
                self.assertEqual(client.idle, [])
                if name in BODY_NAMES:
                    self.assertIn('body of', read.detail)
                elif name in HEAD_NAMES:
                    self.assertIn('head of', read.detail)
                server.close()

    async def test_bytes_behind_a_reply_never_start_the_next_one(self) -> None:
        whole = b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n'
        server = EndlessServer(whole + b'HTTP/1.1 200 OK\r\nX: ', b'')
        client = StoreClient(HOST, await server.listen())
        for _ in range(2):
            reply = await client.get('k')
            self.assertIs(reply.outcome, StoreOutcome.missing)
        self.assertEqual(len(server.heads), 2)
        server.close()
