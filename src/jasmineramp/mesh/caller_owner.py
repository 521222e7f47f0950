"""Define what the connections of callers share, and how one has ended."""

import asyncio
import select
from collections import Counter
from collections.abc import Callable
from typing import Protocol, TypeVar

from jasmineramp.mesh.caller_causes import Cause
from jasmineramp.mesh.caller_messages import Handler, KindReader
from jasmineramp.mesh.receive_limits import ReceiveBudget
from jasmineramp.mesh.route_table import CallerLimits

ConnectionT = TypeVar('ConnectionT')


class OpenRequests:
    """Count the requests in progress, as a context manager."""

    def __init__(self) -> None:
        self.count = 0

    def __enter__(self) -> None:
        self.count += 1

    def __exit__(self, *_: object) -> None:
        self.count -= 1


class ConnectionOwner(Protocol[ConnectionT]):
    """Share handler, limits and resources among connections."""

    handler: Handler
    limits: Callable[[], CallerLimits]
    budget: ReceiveBudget
    connections: set[ConnectionT]
    is_draining: bool
    open_requests: OpenRequests
    is_idempotent: KindReader
    pipelined: Counter[str]

    def register(self, connection: ConnectionT) -> None:
        """Add a connection; close others if there are too many."""

    def charge(self, connection: ConnectionT, size: int, *, must: bool) -> bool:
        """Count the memory of a connection; return False if too much."""
        raise NotImplementedError

    def count(
        self, cause: Cause, held_bytes: int, error: str | None = None
    ) -> None:
        """Count and log why a connection is cut off or refused."""


def has_hung_up(transport: asyncio.Transport) -> bool:
    """Return whether the caller has closed; a paused read can't tell."""
    descriptor = transport.get_extra_info('socket').fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))
