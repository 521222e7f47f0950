"""Exchange calls with the upstream of this VM on one HTTP/1.1 connection."""

import asyncio
import functools
import hashlib
from collections.abc import Callable
from typing import Protocol

import httptools

from jasmineramp.clock import MILLIS_PER_SECOND
from jasmineramp.mesh.calls import (
    MAX_STATUS,
    MIN_STATUS,
    Answer,
    Headers,
    ResponseHead,
)
from jasmineramp.mesh.receive_limits import (
    RESERVATION_STEP_BYTES,
    SMALL_BODY_BYTES,
    Bound,
    Excess,
    MessageBuffer,
    ReceiveBudget,
    Reservation,
)

# Shorter than the idle timeout of upstreams.
MAX_IDLE_MS = 4_000.0
# A call is sent again within seconds, while its connection carries fewer.
MAX_CARRIED_IDS = 64
# Longer ids are kept as digests, since callers choose them.
MAX_PLAIN_ID_LENGTH = 64
_CONTENT_LENGTH = b'content-length'
_FRAMING_HEADERS = frozenset((_CONTENT_LENGTH, b'transfer-encoding'))
_BODILESS_STATUSES = frozenset((204, 304))

ResponseHeadReader = Callable[[Headers], ResponseHead]


class StaleConnectionError(Exception):
    """Report that a reused connection ended before any response byte."""


class BrokenExchangeError(Exception):
    """Report that a call was sent but got no usable response."""


class OversizedAnswerError(BrokenExchangeError):
    """Report that a response was cut off because it exceeds a bound."""

    def __init__(self, excess: Excess) -> None:
        super().__init__(f'response was cut off: {excess}')
        self.excess = excess


class Exchange:
    """Hold one call whose response is pending on a connection."""

    __slots__ = ('future', 'head_only', 'request_id')

    def __init__(
        self,
        request_id: str,
        head_only: bool,
        future: 'asyncio.Future[tuple[Answer, ResponseHead]]',
    ) -> None:
        self.request_id = request_id
        self.head_only = head_only
        self.future = future


class ConnectionOwner(Protocol):
    """Keep the connection between calls, and the limits of its responses."""

    read_head: ResponseHeadReader
    max_body_bytes: int
    budget: ReceiveBudget

    def release(self, connection: 'UpstreamConnection') -> None:
        """Take back a connection whose call has been answered."""

    def discard(self, connection: 'UpstreamConnection') -> None:
        """Forget a connection that has ended."""


class UpstreamConnection(asyncio.Protocol):
    """Exchange one call at a time on a connection."""

    def __init__(self, pool: ConnectionOwner) -> None:
        self.pool = pool
        self.parser = httptools.HttpResponseParser(self)
        self.exchange: Exchange | None = None
        self.is_open = False
        self.is_reused = False
        self.keep_alive = True
        self.idle_since = float('-inf')
        self.idle_limit_ms = MAX_IDLE_MS
        self.buffer = MessageBuffer(pool.max_body_bytes)
        self.reservation = Reservation(pool.budget)
        self.has_surplus = False
        # The ids of the latest calls, in their order.
        self.carried: dict[str, None] = {}
        self._reset()

    def _reset(self) -> None:
        self.reason = b''
        self.headers: Headers = []
        self.has_head = False
        self.has_framing = False
        self.has_received = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.is_open = True

    def send(
        self, data: bytes, request_id: str, *, head_only: bool
    ) -> 'asyncio.Future[tuple[Answer, ResponseHead]]':
        """Send a call; return the future of its answer or exception."""
        loop = asyncio.get_running_loop()
        self.exchange = Exchange(request_id, head_only, loop.create_future())
        self.carried[_shorten(request_id)] = None
        if len(self.carried) > MAX_CARRIED_IDS:
            del self.carried[next(iter(self.carried))]
        self._reset()
        self.buffer.start_exchange()
        self.transport.write(data)
        return self.exchange.future

    def has_carried(self, request_id: str) -> bool:
        """Return whether one of the latest calls had this id."""
        return _shorten(request_id) in self.carried

    def data_received(self, data: bytes) -> None:
        """Feed the parser; close the connection on unsolicited bytes."""
        if self.exchange is None:
            self.close()
            return
        self.has_received = True
        self.buffer.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            # The context is the exception that a callback raised.
            cause = error.__context__ or error
            self._fail(BrokenExchangeError(f'malformed response: {cause}'))
            return
        if self.exchange is not None:
            self._check_limits()
        elif self.has_surplus:
            # Bytes behind the response would count as the start of the next.
            self.close()

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the connection's end.

        Any other response can no longer become whole. Nor is one whole that
        ends without a length before the request was written: an instance that
        breaks down ends its stream like that.
        """
        self.keep_alive = False
        if self.exchange is None:
            return False
        if self.has_framing or not self.has_head:
            self._fail_ended('end of stream')
        elif self.transport.get_write_buffer_size():
            self._fail_ended('end of stream before the request was written')
        else:
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call whose response is pending."""
        self.is_open = False
        self.pool.discard(self)
        self._free_buffer()
        if self.exchange is not None:
            self._fail_ended(str(exc))
        # Breaks the reference cycle, which would keep the unsent part of a
        # request until the next garbage collection.
        self.parser = None

    def on_message_begin(self) -> None:
        """Start a response."""
        if self.exchange is None:
            self.has_surplus = True
        self._reset()
        self.buffer.start_message()
        self.has_received = True

    def on_status(self, status: bytes) -> None:
        """Collect the reason phrase."""
        self.reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        lower_name = name.lower()
        if lower_name in _FRAMING_HEADERS:
            self.has_framing = True
            if lower_name == _CONTENT_LENGTH:
                # The parser rejects a length that is not a number.
                self.buffer.content_length = int(value)
        elif lower_name == b'keep-alive':
            server_limit_ms = _keep_alive_ms(value)
            self.idle_limit_ms = min(self.idle_limit_ms, server_limit_ms)
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Note the status; a bodiless one needs no length header."""
        self.status = self.parser.get_status_code()
        if not MIN_STATUS <= self.status <= MAX_STATUS:
            raise BrokenExchangeError(f'invalid status {self.status:03}')
        # An informational response (1xx) is not the head of the answer.
        self.has_head = self.status >= 200  # noqa: PLR2004
        if self.status in _BODILESS_STATUSES:
            self.has_framing = True
        exchange = self.exchange
        if exchange is not None and exchange.head_only and self.has_head:
            # The parser would wait for the body whose length is announced, so
            # the connection can't be used again.
            self.keep_alive = False
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Collect a chunk of the body."""
        self.buffer.add_body(body)

    def on_message_complete(self) -> None:
        """Complete the response, unless it is informational (1xx)."""
        if self.status < 200:  # noqa: PLR2004
            return
        if not self.parser.should_keep_alive():
            self.keep_alive = False
        self._complete()

    def close(self) -> None:
        """Abort the connection.

        The future of a call in progress is not resolved.
        """
        self.keep_alive = False
        self.is_open = False
        self.exchange = None
        self._free_buffer()
        self.transport.abort()

    def _free_buffer(self) -> None:
        # The reference cycle with the parser would keep the body in memory
        # until the next garbage collection.
        self.buffer.start_message()
        self.reservation.release()

    def _check_limits(self) -> None:
        """Cut off or pause a response that takes too much memory."""
        buffer = self.buffer
        excess = buffer.find_excess()
        if excess is not None:
            self._fail(OversizedAnswerError(excess))
            return
        if buffer.body_bytes <= max(SMALL_BODY_BYTES, self.reservation.size):
            return
        length = buffer.content_length
        size = length or buffer.body_bytes + RESERVATION_STEP_BYTES
        if self.reservation.try_resize(size):
            return
        budget = self.pool.budget
        if length is None:
            # Responses that wait with part of their memory could wait for
            # each other.
            self._fail(
                OversizedAnswerError(
                    Excess(
                        Bound.memory,
                        budget.used_bytes + size,
                        budget.total_bytes,
                    )
                )
            )
            return
        self.transport.pause_reading()
        self.reservation.wait(size, self._resume)

    def _resume(self) -> None:
        if self.is_open:
            self.transport.resume_reading()

    def _complete(self) -> None:
        exchange = self.exchange
        if exchange is None:
            # An unsolicited response: later responses could be matched to the
            # wrong calls.
            self.keep_alive = False
            self.transport.close()
            return
        head = self.pool.read_head(self.headers)
        if head.request_id and head.request_id != exchange.request_id:
            # A late duplicate response to an earlier call. There may be more.
            self.keep_alive = False
            return
        if self.is_reused and not head.request_id:
            self._fail(BrokenExchangeError('response may be of another call'))
            return
        self.exchange = None
        self.reservation.release()
        if self.transport.get_write_buffer_size():
            # The response came before the whole call was sent.
            self.keep_alive = False
        answer = Answer(
            self.status, self.reason, self.headers, self.buffer.take_body()
        )
        if not exchange.future.done():
            exchange.future.set_result((answer, head))
        self.pool.release(self)

    def _fail_ended(self, cause: str) -> None:
        if self.is_reused and not self.has_received:
            self._fail(StaleConnectionError('reused connection was closed'))
        else:
            self._fail(BrokenExchangeError(f'connection lost: {cause}'))

    def _fail(self, error: Exception) -> None:
        exchange = self.exchange
        self.close()
        if exchange is not None and not exchange.future.done():
            exchange.future.set_exception(error)


def _shorten(request_id: str) -> str:
    """Return an id itself, or the digest of a long one."""
    if len(request_id) <= MAX_PLAIN_ID_LENGTH:
        return request_id
    return hashlib.blake2b(request_id.encode(), digest_size=16).hexdigest()


@functools.lru_cache(maxsize=64)
def _keep_alive_ms(value: bytes) -> float:
    """Return half the Keep-Alive timeout, as a margin, or the default."""
    for part in value.split(b','):
        name, _, text = part.strip().partition(b'=')
        if name.lower() == b'timeout' and text.strip().isdigit():
            # As a float, because a long number is no error.
            return float(text) * MILLIS_PER_SECOND / 2
    return MAX_IDLE_MS
