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

    An exception refers to the frames that it passed, with all that they hold,
    and the future refers to the exception. A caller that keeps the future in a
    variable closes a cycle, which lasts until the next garbage collection.
    """
    timer = future.get_loop().call_later(wait_s, _expire, future)
    try:
        reply = await future
    except (Exception, asyncio.CancelledError):
        timer.cancel()
        del future
        raise
    timer.cancel()
    return reply


def _expire(future: 'asyncio.Future[Any]') -> None:
    if not future.done():
        future.set_exception(TimeoutError())
