"""Accept the connections of callers and share resources among them."""

import asyncio
import socket
import sys
from collections import Counter
from collections.abc import Callable

from jasmineramp.mesh.caller_causes import Cause, CauseCounts
from jasmineramp.mesh.caller_connection import CallerConnection
from jasmineramp.mesh.caller_memory import (
    SPARE_FRACTION,
    choose_for_descriptors,
    choose_for_memory,
    limit_for,
)
from jasmineramp.mesh.caller_messages import Handler, KindReader
from jasmineramp.mesh.caller_owner import OpenRequests
from jasmineramp.mesh.calls import CallerRequest
from jasmineramp.mesh.receive_limits import (
    DEFAULT_MEMORY_BYTES,
    KIBIBYTE,
    ReceiveBudget,
    limits_for,
)
from jasmineramp.mesh.route_table import CallerLimits

LISTEN_BACKLOG = 1024
# Bytes that the kernel holds count as memory of the process on some platforms;
# without a limit it holds up to 32 MiB for one connection. The kernel doubles
# the figure. It allows 8 MiB/s at a round trip of 16 ms.
KERNEL_BUFFER_BYTES = 128 * KIBIBYTE
# A search that frees too little is not repeated sooner. The one for descriptors
# examines all connections, the one for memory only those that hold some.
MEMORY_SEARCH_INTERVAL_S = 0.02
DESCRIPTOR_SEARCH_INTERVAL_S = 0.1
# What one search for descriptors closes at most: a part of the limit, so that
# few searches are needed while very many callers connect.
STALLED_FRACTION_PER_SEARCH = 1 / 16
IDLE_PER_SEARCH = 4


class CallerServer:
    """Accept the connections of one listening address."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], CallerLimits],
        budget: ReceiveBudget | None = None,
        *,
        is_idempotent: KindReader | None = None,
        max_connections: int = sys.maxsize,
        causes: CauseCounts | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.budget = budget or ReceiveBudget(
            limits_for(DEFAULT_MEMORY_BYTES).total_bytes
        )
        self.is_idempotent = is_idempotent or _is_never_idempotent
        self.pipelined: Counter[str] = Counter()
        self.max_connections = max_connections
        self.causes = causes or CauseCounts()
        self.connections: set[CallerConnection] = set()
        self.is_draining = False
        self.open_requests = OpenRequests()
        self.server: asyncio.Server | None = None
        self.is_freeing = False
        self.next_memory_search = float('-inf')
        self.next_descriptor_search = float('-inf')

    async def listen(self, host: str, port: int) -> None:
        """Listen on an address."""
        self.loop = asyncio.get_running_loop()
        self.server = await self.loop.create_server(
            lambda: CallerConnection(self),
            host,
            port,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        for listener in self.server.sockets:
            # Accepted connections inherit both.
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                listener.setsockopt(
                    socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES
                )

    def drain(self) -> None:
        """Close each connection after its next response."""
        self.is_draining = True

    def close_idle(self) -> None:
        """Close the connections without a request in progress or expected."""
        for connection in list(self.connections):
            if connection.is_idle():
                connection.transport.close()

    def stop(self) -> None:
        """Stop listening and close the remaining connections."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.transport.close()

    def expire(self, now: float) -> None:
        """Close connections that exceed the idle or header timeout."""
        limits = self.limits()
        for connection in list(self.connections):
            connection.expire(now, limits)
        waiting = self.budget.waiting
        if waiting:
            self.free_memory(waiting[0].wanted_size - waiting[0].size)

    def register(self, connection: CallerConnection) -> None:
        """Add a connection; close others if there are too many."""
        self.connections.add(connection)
        if len(self.connections) <= self.max_connections:
            return
        now = self.loop.time()
        if now >= self.next_descriptor_search:
            others = [
                each for each in self.connections if each is not connection
            ]
            keys = choose_for_descriptors(
                [each.describe(key, now) for key, each in enumerate(others)],
                1 + int(self.max_connections * STALLED_FRACTION_PER_SEARCH),
                IDLE_PER_SEARCH,
            )
            if keys:
                for key in keys:
                    others[key].cut_off(Cause.connection_limit)
                return
            self.next_descriptor_search = now + DESCRIPTOR_SEARCH_INTERVAL_S
        connection.cut_off(Cause.connection_limit)

    def charge(
        self, connection: CallerConnection, size: int, *, must: bool
    ) -> bool:
        """Count the memory of a connection; return False if it is too much.

        What `must` be counted is, but it may cost other connections theirs.
        """
        reservation = connection.reservation
        missing_bytes = size - reservation.size
        if missing_bytes > 0:
            budget = self.budget
            limit = limit_for(size, budget.total_bytes)
            if budget.used_bytes + missing_bytes > budget.total_bytes:
                budget.reclaim(missing_bytes)
            if budget.used_bytes + missing_bytes > limit:
                self.free_memory(missing_bytes, connection)
                if not must and budget.used_bytes + missing_bytes > limit:
                    return False
        reservation.resize(size)
        return True

    def free_memory(
        self, size: int, beneficiary: CallerConnection | None = None
    ) -> None:
        """Cut off connections until this much memory is free, if possible."""
        now = self.loop.time()
        if self.is_freeing or now < self.next_memory_search:
            return
        self.is_freeing = True
        budget = self.budget
        total_bytes = budget.total_bytes
        others = [
            each
            for each in self.connections
            if each.reservation.size and each is not beneficiary
        ]
        keys = choose_for_memory(
            [each.describe(key, now) for key, each in enumerate(others)],
            budget.used_bytes + size - int(total_bytes * (1 - SPARE_FRACTION)),
            (budget.used_bytes + size) / total_bytes,
        )
        for key in keys:
            others[key].cut_off(Cause.memory_freed)
        self.is_freeing = False
        if budget.used_bytes + size > total_bytes:
            self.next_memory_search = now + MEMORY_SEARCH_INTERVAL_S

    def count(
        self, cause: Cause, held_bytes: int, error: str | None = None
    ) -> None:
        """Count and log why a connection is cut off or refused."""
        self.causes.add(
            cause,
            self.loop.time(),
            **({} if error is None else {'error': error}),
            held_bytes=held_bytes,
            used_bytes=self.budget.used_bytes,
            total_bytes=self.budget.total_bytes,
            connections=len(self.connections),
        )


def _is_never_idempotent(_request: CallerRequest) -> bool:
    return False
