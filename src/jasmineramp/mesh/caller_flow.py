"""Control the flow of bytes to and from one caller, and note its progress."""

import asyncio

from jasmineramp.clock import MILLIS_PER_SECOND
from jasmineramp.mesh.caller_memory import Activity, Holding, has_moved
from jasmineramp.mesh.caller_messages import CallerResponse
from jasmineramp.mesh.receive_limits import (
    KIBIBYTE,
    ReceiveBudget,
    Reservation,
)

# No request is started while more of earlier responses has not been taken.
WRITE_HIGH_WATER_BYTES = 64 * KIBIBYTE
# Shorter responses are counted only if they have not been sent some time later.
SMALL_RESPONSE_BYTES = 4 * KIBIBYTE


class CallerFlow(asyncio.Protocol):
    """Write responses, and count what is sent and how long it takes."""

    def __init__(self, budget: ReceiveBudget) -> None:
        self.loop = asyncio.get_running_loop()
        self.reservation = Reservation(budget)
        self.is_closed = False
        self.is_read_paused = False
        self.is_write_paused = False
        self.timeout_started = self.progress_at = self.loop.time()
        self.moved_bytes = 0
        self.unsent_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)

    def pause_writing(self) -> None:
        """Start no request until the caller has taken earlier responses."""
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """Let requests start again."""
        self.is_write_paused = False

    def charge(self, *, must: bool = False) -> bool:
        """Count the memory held; return False if it is not to be had."""
        raise NotImplementedError

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
            self.note_progress()
        self.charge(must=True)

    def note_progress(self) -> None:
        """Note that the connection does not stall if enough has moved."""
        if has_moved(self.moved_bytes, self.reservation.size):
            self.progress_at = self.loop.time()
            self.moved_bytes = 0

    def make_holding(self, key: int, activity: Activity, now: float) -> Holding:
        """Return what the connection holds and for how long it has stalled."""
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

    def write_response(
        self, response: CallerResponse, *, keep_alive: bool, head_only: bool
    ) -> None:
        """Write a response and count what is not sent at once."""
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

    def pause_reading(self, *, is_paused: bool) -> None:
        """Pause or resume reading, unless that is so already."""
        if self.is_closed or self.is_read_paused is is_paused:
            return
        self.is_read_paused = is_paused
        if is_paused:
            self.transport.pause_reading()
        else:
            self.progress_at = self.loop.time()
            self.transport.resume_reading()
