"""Pool the HTTP/1.1 connections to the upstream of this VM."""

import asyncio
from collections import deque

from jasmineramp.clock import MILLIS_PER_SECOND
from jasmineramp.mesh.closing_connections import ClosingConnections
from jasmineramp.mesh.receive_limits import ReceiveBudget, ReceiveLimits
from jasmineramp.mesh.upstream_connection import (
    ResponseHeadReader,
    UpstreamConnection,
)

CONNECT_TIMEOUT_S = 0.5
# Idle limit for calls that are not idempotent. An upstream may close an idle
# connection without notice, and a call sent on it is then lost.
MAX_IDLE_ONCE_MS = 250.0
MAX_IDLE_CONNECTIONS = 256


class ConnectError(Exception):
    """Report that no connection could be made; nothing was sent."""


class UpstreamPool:
    """Pool the connections to the upstream at one address."""

    def __init__(
        self,
        host: str,
        port: int,
        read_head: ResponseHeadReader,
        limits: ReceiveLimits,
        budget: ReceiveBudget,
    ) -> None:
        self.host = host
        self.port = port
        self.read_head = read_head
        self.max_body_bytes = limits.body_bytes
        self.budget = budget
        self.idle: deque[UpstreamConnection] = deque()
        self.closing = ClosingConnections(budget)
        self.is_closed = False
        self.opened_count = 0

    async def connect(self) -> UpstreamConnection:
        """Open a connection; raise ConnectError on failure or timeout."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(self), self.host, self.port
                )
        except (OSError, TimeoutError) as error:
            raise ConnectError(str(error)) from None
        self.opened_count += 1
        return connection

    def take_idle(
        self, limit_ms: float, request_id: str
    ) -> UpstreamConnection | None:
        """Return the most recently used connection idle for at most a limit.

        It has not carried the request id: a repeated response to the earlier
        call could not be told from the one to this call.
        """
        now = asyncio.get_running_loop().time()
        position = -1
        while -position <= len(self.idle):
            connection = self.idle[position]
            idle_ms = (now - connection.idle_since) * MILLIS_PER_SECOND
            if idle_ms > min(limit_ms, connection.idle_limit_ms):
                return None
            if connection.has_carried(request_id):
                position -= 1
                continue
            del self.idle[position]
            if connection.is_open and not connection.transport.is_closing():
                return connection
        return None

    def release(self, connection: UpstreamConnection) -> None:
        """Put a connection back into the pool, or close it if not reusable."""
        if (
            not connection.keep_alive
            or self.is_closed
            or len(self.idle) >= MAX_IDLE_CONNECTIONS
        ):
            connection.keep_alive = False
            self.closing.close(connection.transport)
            return
        connection.is_reused = True
        connection.idle_since = asyncio.get_running_loop().time()
        self.idle.append(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Remove a connection that has ended from the pool."""
        self.closing.discard(connection.transport)
        if connection in self.idle:
            self.idle.remove(connection)

    def expire(self) -> None:
        """Close the connections that exceed their idle limit."""
        self.closing.expire()
        now = asyncio.get_running_loop().time()
        while self.idle:
            connection = self.idle[0]
            idle_ms = (now - connection.idle_since) * MILLIS_PER_SECOND
            if idle_ms <= connection.idle_limit_ms:
                return
            self.idle.popleft()
            connection.keep_alive = False
            connection.transport.close()

    def close(self) -> None:
        """Close the idle connections; calls in progress continue."""
        self.is_closed = True
        while self.idle:
            self.idle.pop().transport.close()
