"""Test bounded waits for a reply."""

import asyncio
import unittest

from jasmineramp.mesh.waits import within

LONG_S = 30


class WithinTest(unittest.IsolatedAsyncioTestCase):
    """Guard against waits that outlast their bound or leave timers."""

    async def test_returns_the_reply(self) -> None:
        """A reply that is in time is returned, its timer is cancelled."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[str] = loop.create_future()
        loop.call_soon(future.set_result, 'reply')
        self.assertEqual(await within(LONG_S, future), 'reply')

    async def test_raises_after_the_bound(self) -> None:
        """A reply that does not come ends in a TimeoutError."""
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        with self.assertRaises(TimeoutError):
            await within(0.01, future)

    async def test_passes_on_a_failure(self) -> None:
        """A failure before the bound is raised, the timer is harmless."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[str] = loop.create_future()
        loop.call_soon(future.set_exception, ConnectionError())
        with self.assertRaises(ConnectionError):
            await within(0.01, future)
        await asyncio.sleep(0.02)

    async def test_cancels_the_future(self) -> None:
        """A cancelled wait cancels the future, so a late reply is ignored."""
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        task = asyncio.ensure_future(within(0.01, future))
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await asyncio.sleep(0.02)
        self.assertTrue(future.cancelled())
