"""Test waits for a reply with a timeout."""

import asyncio
import contextlib
import gc
import unittest
import weakref

from jasmineramp.mesh.waits import wait_with_timeout

LONG_TIMEOUT_S = 30


class Call:
    """Hold what a call takes."""


class WaitWithTimeoutTest(unittest.IsolatedAsyncioTestCase):
    """Test that waits end at their timeout and leave no timer behind."""

    async def test_returns_the_reply(self) -> None:
        """A reply before the timeout is returned and the timer is cancelled."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[str] = loop.create_future()
        loop.call_soon(future.set_result, 'reply')
        self.assertEqual(
            await wait_with_timeout(LONG_TIMEOUT_S, future), 'reply'
        )

    async def test_raises_after_the_timeout(self) -> None:
        """A missing reply raises TimeoutError."""
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        with self.assertRaises(TimeoutError):
            await wait_with_timeout(0.01, future)

    async def test_propagates_an_exception(self) -> None:
        """An exception is raised, and the timer does not fail afterwards."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[str] = loop.create_future()
        loop.call_soon(future.set_exception, ConnectionError())
        with self.assertRaises(ConnectionError):
            await wait_with_timeout(0.01, future)
        await asyncio.sleep(0.02)

    # Guards against bodies of calls that stay until a garbage collection.
    async def test_failed_wait_keeps_nothing(self) -> None:
        loop = asyncio.get_running_loop()

        def start(*, fails: bool) -> 'asyncio.Future[str]':
            future: asyncio.Future[str] = loop.create_future()
            if fails:
                loop.call_soon(future.set_exception, ConnectionError())
            return future

        async def wait(*, fails: bool) -> 'weakref.ref[Call]':
            call = Call()
            with contextlib.suppress(ConnectionError, TimeoutError):
                await wait_with_timeout(0.01, start(fails=fails))
            return weakref.ref(call)

        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        for fails in (False, True):
            with self.subTest(fails=fails):
                kept = await wait(fails=fails)
                # The loop refers to the future until the next step.
                await asyncio.sleep(0)
                self.assertIsNone(kept())

    async def test_cancellation_cancels_the_future(self) -> None:
        """A cancelled wait cancels the future, and the timer does not fail."""
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        task = asyncio.ensure_future(wait_with_timeout(0.01, future))
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await asyncio.sleep(0.02)
        self.assertTrue(future.cancelled())
