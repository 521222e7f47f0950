"""Test that a lost answer to a write is not reported as a failed write."""

import time
import unittest
import unittest.mock

from bench.metadata_store import Fault, MetadataStore

from jasmineramp.ids import Revision
from jasmineramp.mesh.store import StoreOutcome
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
        first = await self.client.put('a/1', b'x', Revision(0), 0)
        self.assertIs(first.outcome, StoreOutcome.done)
        again = await self.client.put('a/1', b'y', Revision(0), 0)
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
        reply = await self.client.put('a/1', b'x', Revision(0), 0)
        self.assertIs(reply.outcome, StoreOutcome.not_done)

    async def test_lost_answer_to_a_write_is_unknown(self) -> None:
        """The store applies a write whose answer is lost.

        It must not be reported as not done, which promises no effect.
        """
        self.store.fault = Fault.lost_writes
        with unittest.mock.patch.object(store_client, 'ANSWER_TIMEOUT_S', 0.05):
            reply = await self.client.put('a/1', b'x', Revision(0), 0)
        self.assertIs(reply.outcome, StoreOutcome.unknown)
        self.store.fault = Fault.none
        stored = await self.client.get('a/1')
        self.assertEqual(stored.items[0].value, b'x')

    async def test_unreachable_store_is_not_done(self) -> None:
        self.store.server.stop()
        reply = await self.client.get('a/1')
        self.assertIs(reply.outcome, StoreOutcome.not_done)


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
                written = await client.put('k', b'v', Revision(0), 0)
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
