"""Serve HTTP/1.1 on the connection of one caller."""

import asyncio
from collections import deque
from http import HTTPStatus

from jasmineramp.clock import MILLIS_PER_SECOND
from jasmineramp.mesh.caller_causes import Cause
from jasmineramp.mesh.caller_memory import (
    MIN_MOVED_BYTES,
    Activity,
    Holding,
    has_moved,
)
from jasmineramp.mesh.caller_messages import (
    CONTINUE,
    CallerResponse,
)
from jasmineramp.mesh.caller_owner import ConnectionOwner, has_hung_up
from jasmineramp.mesh.caller_reader import (
    BETWEEN,
    BODY,
    HEAD,
    PIECE_BYTES,
    ParsedRequest,
    RequestReader,
)
from jasmineramp.mesh.receive_limits import (
    KIBIBYTE,
    Reservation,
)
from jasmineramp.mesh.route_table import CallerLimits

# Requests, and the memory they take, that are read ahead on one connection.
MAX_PIPELINED_REQUESTS = 16
READ_AHEAD_BYTES = 64 * KIBIBYTE
# No request is started while more of earlier responses has not been taken.
WRITE_HIGH_WATER_BYTES = 64 * KIBIBYTE
# Shorter responses are counted only if they have not been sent some time later.
SMALL_RESPONSE_BYTES = 4 * KIBIBYTE
# A caller sends its first request right after connecting, and it is reset if
# the connection is closed before the request is read.
NEW_CONNECTION_ALLOWANCE_MS = 500
# For which a refused request is still read: closing with unread bytes resets
# the connection, and the caller may lose the refusal.
LINGER_MS = 1_000
_LINGERING_STATUSES = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
)
# Sent while too little memory is free for a request.
_RETRY_AFTER = (b'Retry-After', b'0.5')


class CallerConnection(asyncio.Protocol):
    """Answer the requests of one connection in order."""

    def __init__(self, server: "ConnectionOwner['CallerConnection']") -> None:
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.reader = RequestReader()
        # What was received but must wait until it can be parsed.
        self.unparsed = b''
        self.queue: deque[ParsedRequest] = deque()
        self.queued_bytes = 0
        self.running_bytes = 0
        self.task: asyncio.Task[None] | None = None
        self.refusal: HTTPStatus | None = None
        self.is_closed = False
        # What else the caller sends is dropped.
        self.is_ending = False
        self.is_read_paused = False
        self.is_write_paused = False
        self.reservation = Reservation(server.budget)
        self.timeout_started = self.progress_at = self.loop.time()
        self.moved_bytes = 0
        self.unsent_bytes = 0

    @property
    def is_reading_body(self) -> bool:
        """Tell whether the body of a request has been received in part."""
        return self.reader.stage is BODY

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self.server.register(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress and free all memory."""
        self._abandon()
        self.unsent_bytes = 0
        self.reservation.release()
        self.server.connections.discard(self)

    def eof_received(self) -> bool:
        """Treat the end of the caller's stream as a disconnect."""
        self._abandon()
        return False

    def data_received(self, data: bytes) -> None:
        """Parse what was received and start what can be started."""
        if self.is_ending:
            return
        if self.reader.stage is BODY and not self.unsent_bytes:
            self.timeout_started = self.loop.time()
        self.moved_bytes += len(data)
        if self.unparsed:
            self.unparsed += data
        elif len(data) <= PIECE_BYTES and not self._is_full():
            self._feed(data, self.server.limits())
        else:
            self.unparsed = data
        self._proceed()

    def pause_writing(self) -> None:
        """Start no request until the caller has taken earlier responses."""
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """Go on with the requests of the connection."""
        self.is_write_paused = False
        if not self.is_closed:
            self._proceed()

    def is_idle(self) -> bool:
        """Return whether no request is in progress or expected soon."""
        return not (
            self.is_busy() or self.is_reading_request() or self.is_new()
        )

    def is_busy(self) -> bool:
        """Return whether a request is queued or in progress."""
        return self.task is not None or bool(self.queue)

    def is_reading_request(self) -> bool:
        """Return whether a request has been received only in part."""
        return self.reader.stage is not BETWEEN

    def is_new(self) -> bool:
        """Return whether the first request may still be on its way."""
        if self.reader.begun_count:
            return False
        age_s = self.loop.time() - self.timeout_started
        return age_s * MILLIS_PER_SECOND < NEW_CONNECTION_ALLOWANCE_MS

    def describe(self, key: int, now: float) -> Holding:
        """Return what the connection holds and for how long it has stalled."""
        self.settle()
        if self.task is not None:
            activity = Activity.running
        elif self.unsent_bytes or self.queue or self.is_reading_request():
            activity = Activity.transfer
        elif self.is_ending or not self.reader.begun_count:
            activity = Activity.unused
        else:
            activity = Activity.idle
        if activity is Activity.transfer:
            since = self.progress_at
        else:
            since = self.timeout_started
        return Holding(
            key,
            activity,
            self.reservation.size,
            (now - since) * MILLIS_PER_SECOND,
        )

    def cut_off(self, cause: Cause) -> None:
        """Refuse the unfinished request as not run, or disconnect."""
        self.server.count(cause, self.reservation.size)
        # A refused connection lingers with its descriptor.
        is_refusable = cause is not Cause.connection_limit and not (
            self.is_busy() or self.unsent_bytes or self.is_ending
        )
        if is_refusable and self.is_reading_request():
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)
        else:
            self._abort()

    def expire(self, now: float, limits: CallerLimits) -> None:
        """Close the connection at the idle or the header timeout.

        The idle timeout also applies between the pieces of a body and to a
        response of which the caller takes nothing.
        """
        self.settle()
        if self.task is not None and not self.unsent_bytes:
            if self.is_read_paused and has_hung_up(self.transport):
                self._abort()
            return
        limit_ms, cause = self._find_timeout(limits)
        if (now - self.timeout_started) * MILLIS_PER_SECOND <= limit_ms:
            return
        if cause is not None:
            self.server.count(cause, self.reservation.size)
        if self.unsent_bytes or self.is_ending:
            self._abort()
        else:
            self.transport.close()

    def settle(self) -> None:
        """Count the part of the responses that the caller has taken."""
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes == self.unsent_bytes:
            return
        if unsent_bytes < self.unsent_bytes:
            self.moved_bytes += self.unsent_bytes - unsent_bytes
            self.timeout_started = self.loop.time()
        self.unsent_bytes = unsent_bytes
        if not self.is_closed:
            self._note_progress()
        self._charge(must=True)

    def _find_timeout(self, limits: CallerLimits) -> tuple[float, Cause | None]:
        """Return the timeout that applies and the cause to be counted."""
        if self.unsent_bytes:
            return limits.idle_timeout_ms, Cause.slow_reader
        if self.is_ending:
            return LINGER_MS, None
        if self.reader.stage is HEAD:
            return limits.header_timeout_ms, Cause.header_timeout
        cause = Cause.body_timeout if self.is_reading_body else None
        return limits.idle_timeout_ms, cause

    def _proceed(self) -> None:
        """Parse what may be read ahead, then start the next request."""
        if self.unparsed and not self.is_ending:
            self._parse()
        if self.moved_bytes >= MIN_MOVED_BYTES:
            self._note_progress()
        if not self._charge():
            self._refuse_for_memory()
        self._start_next()
        has_unparsed = bool(self.unparsed)
        if has_unparsed is not self.is_read_paused:
            self._pause_reading(has_unparsed)

    def _parse(self) -> None:
        data = self.unparsed
        size = len(data)
        limits = self.server.limits()
        position = 0
        while position < size and not self._is_full():
            piece = memoryview(data)[position : position + PIECE_BYTES]
            position += PIECE_BYTES
            self._feed(piece, limits)
            if self.is_ending:
                return
        self.unparsed = data[position:]

    def _feed(self, piece: bytes | memoryview, limits: CallerLimits) -> None:
        reader = self.reader
        begun_count = reader.begun_count
        violation = reader.feed(piece, limits)
        if reader.begun_count != begun_count:
            self.timeout_started = self.progress_at = self.loop.time()
            self.moved_bytes = 0
        if reader.complete:
            for parsed in reader.complete:
                self.queue.append(parsed)
                self.queued_bytes += parsed.memory_bytes
            reader.complete.clear()
        if violation is not None:
            self.server.count(violation.cause, self.reservation.size)
            self._refuse(violation.status)
        elif reader.wants_continue:
            reader.wants_continue = False
            self.transport.write(CONTINUE)

    def _is_full(self) -> bool:
        """Return whether nothing more may be read ahead now."""
        if self.task is None and not self.queue and not self.is_write_paused:
            return self.reader.is_finished
        return (
            self.reader.is_finished
            or len(self.queue) >= MAX_PIPELINED_REQUESTS
            or self.queued_bytes + self.reader.memory_bytes()
            >= READ_AHEAD_BYTES
        )

    def _start_next(self) -> None:
        """Start the next request, if any, or send the pending refusal."""
        if self.task is not None or self.is_closed or self.is_write_paused:
            return
        if self.queue:
            if self.is_read_paused and has_hung_up(self.transport):
                self._abort()
                return
            parsed = self.queue.popleft()
            self.queued_bytes -= parsed.memory_bytes
            self.running_bytes = parsed.memory_bytes
            self.task = self.loop.create_task(self._answer(parsed))
        elif self.refusal is not None:
            self._send_refusal(self.refusal)

    async def _answer(self, parsed: ParsedRequest) -> None:
        request = parsed.request
        with self.server.open_requests:
            response = await self.server.handler(request)
        self.task = None
        self.running_bytes = 0
        self.timeout_started = self.loop.time()
        if self.is_closed:
            return
        keep_alive = parsed.keep_alive and not self.server.is_draining
        self._write(response, keep_alive, head_only=request.method == b'HEAD')
        if keep_alive:
            if self.queue or self.unparsed or self.refusal is not None:
                self._proceed()
            else:
                self._charge(must=True)
        else:
            self._end()
            self.transport.close()

    def _write(
        self, response: CallerResponse, keep_alive: bool, *, head_only: bool
    ) -> None:
        head = response.encode_head(keep_alive=keep_alive)
        if not self.unsent_bytes:
            self.progress_at = self.timeout_started
            self.moved_bytes = 0
        if head_only or not response.body:
            self.transport.write(head)
        elif len(response.body) <= SMALL_RESPONSE_BYTES:
            self.transport.write(head + response.body)
        else:
            self.transport.writelines((head, response.body))
            self.settle()
            # The transport sends when the loop is next idle.
            self.loop.call_soon(self.settle)

    def _refuse(self, status: HTTPStatus) -> None:
        """Read no more; refuse once earlier requests have been answered."""
        if self.refusal is not None:
            return
        self.refusal = status
        self._drop_unparsed()
        self._start_next()

    def _refuse_for_memory(self) -> None:
        """Refuse the request that was received last; it has not been started.

        Those before it have their memory.
        """
        if self.is_reading_request():
            self.reader.discard()
        elif self.queue:
            self.queued_bytes -= self.queue.pop().memory_bytes
        else:
            self._charge(must=True)
            return
        self.server.count(Cause.no_memory, self.reservation.size)
        self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)
        self._charge(must=True)

    def _send_refusal(self, status: HTTPStatus) -> None:
        self.refusal = None
        self.timeout_started = self.loop.time()
        response = CallerResponse(status, [])
        if status is HTTPStatus.SERVICE_UNAVAILABLE:
            response.headers.append(_RETRY_AFTER)
        self._write(response, False, head_only=False)
        if status in _LINGERING_STATUSES:
            self.transport.write_eof()
            self._pause_reading(False)
        else:
            self.transport.close()

    def _end(self) -> None:
        """Drop what has not been started."""
        self.queue.clear()
        self.queued_bytes = 0
        self._drop_unparsed()

    def _drop_unparsed(self) -> None:
        self.is_ending = True
        self.unparsed = b''
        self.reader.discard()
        self._charge(must=True)

    def _abandon(self) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        self.refusal = None
        self._end()
        self.reader.close()
        if self.task is not None:
            self.task.cancel()
        self.running_bytes = 0
        self._charge(must=True)

    def _abort(self) -> None:
        self._abandon()
        self.transport.abort()
        self.unsent_bytes = 0
        self.reservation.release()

    def _charge(self, *, must: bool = False) -> bool:
        """Count the memory held; return False if it is not to be had."""
        held_bytes = (
            len(self.unparsed)
            + self.queued_bytes
            + self.running_bytes
            + self.unsent_bytes
        )
        if self.reader.stage is not BETWEEN:
            held_bytes += self.reader.memory_bytes()
        reservation = self.reservation
        if held_bytes == reservation.size:
            return True
        budget = reservation.budget
        used_bytes = budget.used_bytes + held_bytes - reservation.size
        if held_bytes < reservation.size or used_bytes <= budget.total_bytes:
            reservation.resize(held_bytes)
            return True
        return self.server.charge(self, held_bytes, must=must)

    def _note_progress(self) -> None:
        if has_moved(self.moved_bytes, self.reservation.size):
            self.progress_at = self.loop.time()
            self.moved_bytes = 0

    def _pause_reading(self, is_paused: bool) -> None:
        if self.is_closed or self.is_read_paused is is_paused:
            return
        self.is_read_paused = is_paused
        if is_paused:
            self.transport.pause_reading()
        else:
            self.progress_at = self.loop.time()
            self.transport.resume_reading()
