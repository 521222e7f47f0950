"""Serve HTTP/1.1 on the connection of one caller."""

import asyncio
import sys
from http import HTTPStatus

from jasmineramp.clock import MILLIS_PER_SECOND
from jasmineramp.mesh.caller_causes import Cause
from jasmineramp.mesh.caller_flow import CallerFlow
from jasmineramp.mesh.caller_memory import (
    MIN_MOVED_BYTES,
    SMALL_HOLDING_BYTES,
    Activity,
    Holding,
)
from jasmineramp.mesh.caller_messages import (
    CONTINUE,
    CallerResponse,
    make_refusal,
)
from jasmineramp.mesh.caller_owner import ConnectionOwner, has_hung_up
from jasmineramp.mesh.caller_pipeline import (
    MAX_PIPELINED_REQUESTS,
    PendingRequest,
    Pipeline,
)
from jasmineramp.mesh.caller_reader import (
    BETWEEN,
    BODY,
    HEAD,
    PIECE_BYTES,
    RequestReader,
)
from jasmineramp.mesh.caller_tasks import RequestTasks
from jasmineramp.mesh.calls import CallerRequest
from jasmineramp.mesh.receive_limits import KIBIBYTE
from jasmineramp.mesh.route_table import CallerLimits

# Of requests that are read ahead on one connection, as many as
# MAX_PIPELINED_REQUESTS.
READ_AHEAD_BYTES = 64 * KIBIBYTE
# A caller sends its first request right after connecting, and it is reset if
# the connection is closed before the request is read.
NEW_CONNECTION_ALLOWANCE_MS = 500
# For which a refused request is still read: closing with unread bytes resets
# the connection, and the caller may lose the refusal.
LINGER_MS = 1_000
_LINGERING_STATUSES = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
)


class CallerConnection(CallerFlow):
    """Answer the requests of one connection in order.

    The pipeline decides which requests run side by side.
    """

    def __init__(self, server: "ConnectionOwner['CallerConnection']") -> None:
        super().__init__(server.budget)
        self.server = server
        self.reader = RequestReader()
        # What was received but must wait until it can be parsed.
        self.unparsed = b''
        # A piece may complete any number of requests; what is parsed is
        # bounded in `_is_full`.
        self.pipeline: Pipeline[CallerRequest, CallerResponse] = Pipeline(
            server.is_idempotent,
            _body_bytes,
            server.pipelined,
            max_waiting=sys.maxsize,
        )
        self.tasks = RequestTasks(server.handler, server.open_requests)
        # What else the caller sends is dropped.
        self.is_ending = False
        # When the last bytes arrived, which complete any request parsed now:
        # nothing is received while some wait to be parsed.
        self.received_at = self.timeout_started

    @property
    def is_reading_body(self) -> bool:
        """Tell whether the body of a request has been received in part."""
        return self.reader.stage is BODY

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        super().connection_made(transport)
        self.server.register(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests in progress and free all memory."""
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
        self.received_at = self.loop.time()
        if self.reader.stage is BODY and not self.unsent_bytes:
            self.timeout_started = self.received_at
        self.moved_bytes += len(data)
        if self.unparsed:
            self.unparsed += data
        elif len(data) <= PIECE_BYTES and not self._is_full():
            self._feed(data, self.server.limits())
        else:
            self.unparsed = data
        self._proceed()

    def resume_writing(self) -> None:
        """Go on with the requests of the connection."""
        super().resume_writing()
        if not self.is_closed:
            self._proceed()

    def is_idle(self) -> bool:
        """Return whether no request is in progress or expected soon."""
        return not (
            self.is_busy() or self.is_reading_request() or self.is_new()
        )

    def is_busy(self) -> bool:
        """Return whether a request is queued or in progress."""
        return bool(self.pipeline.pending)

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
        if self.unsent_bytes:
            # Its caller does not read, whatever else runs for it.
            activity = Activity.transfer
        elif self.tasks:
            activity = Activity.running
            if self.pipeline.held_bytes > SMALL_HOLDING_BYTES:
                activity = Activity.blocking
        elif self.is_busy() or self.is_reading_request():
            activity = Activity.transfer
        elif self.is_ending or not self.reader.begun_count:
            activity = Activity.unused
        else:
            activity = Activity.idle
        return self.make_holding(key, activity, now)

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
        if self.tasks and not self.unsent_bytes:
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

    def charge(self, *, must: bool = False) -> bool:
        """Count the memory held; return False if it is not to be had."""
        held_bytes = (
            len(self.unparsed)
            + self.pipeline.memory_bytes()
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
        """Parse what may be read ahead, and start what may start."""
        can_parse = True
        while can_parse:
            if self.unparsed and not self.is_ending:
                self._parse()
            if self.moved_bytes >= MIN_MOVED_BYTES:
                self.note_progress()
            if not self.charge():
                self._refuse_for_memory()
            self._start_requests()
            # Started requests make room for those behind them.
            can_parse = bool(self.unparsed) and not self._is_full()
        self.pause_reading(is_paused=bool(self.unparsed))

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
                parsed.request.read_at = self.received_at
                self.pipeline.add(
                    parsed.request,
                    closes=not parsed.keep_alive,
                    memory_bytes=parsed.memory_bytes,
                )
            reader.complete.clear()
        if self.pipeline.is_complete:
            self._drop_unparsed()
        elif violation is not None:
            self.server.count(violation.cause, self.reservation.size)
            self._refuse(violation.status)
        else:
            self._continue_body()

    def _continue_body(self) -> None:
        """Send 100 Continue if asked, after the responses to earlier ones."""
        if self.reader.wants_continue and not self.pipeline.pending:
            self.reader.wants_continue = False
            self.transport.write(CONTINUE)

    def _is_full(self) -> bool:
        """Return whether nothing more may be read ahead now."""
        pipeline = self.pipeline
        if not pipeline.pending and not self.is_write_paused:
            return self.reader.is_finished
        return (
            self.reader.is_finished
            or pipeline.waiting_count >= MAX_PIPELINED_REQUESTS
            or pipeline.waiting_bytes + self.reader.memory_bytes()
            >= READ_AHEAD_BYTES
        )

    def _start_requests(self) -> None:
        """Start what may start, unless responses wait to be taken."""
        if (
            self.is_closed
            or self.is_write_paused
            or not self.pipeline.waiting_count
        ):
            return
        if self.is_read_paused and has_hung_up(self.transport):
            self._abort()
            return
        for pending in self.pipeline.take_startable():
            self.tasks.start(pending, self)

    def finish(
        self,
        pending: PendingRequest[CallerRequest, CallerResponse],
        response: CallerResponse,
    ) -> None:
        """Write a response once its turn comes, and go on."""
        if self.is_closed:
            return
        self.timeout_started = self.loop.time()
        self.pipeline.finish(pending, response, closes=self.server.is_draining)
        if self.pipeline.is_complete and not self.is_ending:
            self._drop_unparsed()
        self._write_responses()
        if self.pipeline.is_finished():
            return
        self._continue_body()
        self.charge(must=True)
        if self.unparsed or self.pipeline.waiting_count:
            self._proceed()

    def report_fault(self, error: BaseException, *, is_answered: bool) -> None:
        """Count a fault of the node; disconnect if there is no response.

        Without one, the requests behind would wait for it without end.
        """
        if self.is_closed and isinstance(error, asyncio.CancelledError):
            return
        self.server.count(
            Cause.internal_error, self.reservation.size, repr(error)
        )
        if not is_answered and not self.is_closed:
            self._abort()

    def _write_responses(self) -> None:
        """Write the responses whose turn has come; end after the last."""
        pipeline = self.pipeline
        writable = pipeline.take_writable()
        last = len(writable) - 1
        for position, (pending, response) in enumerate(writable):
            request = pending.request
            closes = position == last and pipeline.is_finished()
            self.write_response(
                response,
                keep_alive=not closes,
                head_only=request is not None and request.method == b'HEAD',
            )
            if closes:
                is_refusal = request is None
                self._end(
                    lingers=is_refusal
                    and response.status in _LINGERING_STATUSES
                )

    def _refuse(self, status: HTTPStatus) -> None:
        """Read no more; refuse once earlier requests have been answered."""
        if self.pipeline.is_complete:
            return
        self.pipeline.reject(make_refusal(status))
        self._drop_unparsed()
        self._write_responses()

    def _refuse_for_memory(self) -> None:
        """Refuse the request that was received last; it has not been started.

        Those before it have their memory.
        """
        if self.is_reading_request():
            self.reader.discard()
        elif not self.pipeline.withdraw_last():
            self.charge(must=True)
            return
        self.server.count(Cause.no_memory, self.reservation.size)
        self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)
        self.charge(must=True)

    def _end(self, *, lingers: bool) -> None:
        """Close after what has been written."""
        self.timeout_started = self.loop.time()
        self._drop_unparsed()
        if lingers:
            self.transport.write_eof()
        else:
            self.transport.close()

    def _drop_unparsed(self) -> None:
        self.is_ending = True
        self.unparsed = b''
        self.reader.discard()
        self.charge(must=True)
        self.pause_reading(is_paused=False)

    def _abandon(self) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        self.pipeline.clear()
        self._drop_unparsed()
        self.reader.close()
        self.tasks.cancel()

    def _abort(self) -> None:
        self._abandon()
        self.transport.abort()
        self.unsent_bytes = 0
        self.reservation.release()


def _body_bytes(response: CallerResponse) -> int:
    return len(response.body)
