"""Wait for a reply with a timeout."""

import asyncio
from typing import Any, TypeVar

_Reply = TypeVar('_Reply')


async def wait_with_timeout(
    wait_s: float, future: 'asyncio.Future[_Reply]'
) -> _Reply:
    """Return the result of a future; raise TimeoutError after wait_s seconds.

    A single timer is cheaper than `asyncio.timeout`, which also supports
    nesting and rescheduling.
    """
    timer = future.get_loop().call_later(wait_s, _expire, future)
    reply = await future
    # A failure or cancellation skips this; `_expire` ignores a done future.
    timer.cancel()
    return reply


def _expire(future: 'asyncio.Future[Any]') -> None:
    if not future.done():
        future.set_exception(TimeoutError())
