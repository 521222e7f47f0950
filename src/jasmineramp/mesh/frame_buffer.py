"""Split the bytes of a connection between nodes into frames."""

from collections.abc import Callable
from typing import NamedTuple

from jasmineramp.mesh.receive_limits import (
    MAX_BODY_BYTES,
    MEBIBYTE,
    SMALL_BODY_BYTES,
    ReceiveBudget,
    Reservation,
)

LENGTH_PREFIX_BYTES = 4
# Fits the largest body, plus its headers.
MAX_FRAME_BYTES = MAX_BODY_BYTES + MEBIBYTE
# Enough to tell the kind and the stream of a frame.
DROPPED_HEAD_BYTES = 16


class FrameBuffer:
    """Split a stream of bytes into frames."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Return the complete frames; raise ValueError on an oversized one."""
        buffer = self.buffer
        if not buffer:
            # Most reads hold whole frames, which are split without buffering.
            frames, start = _split_frames(data)
            buffer += data[start:]
            return frames
        buffer += data
        frames, start = _split_frames(buffer)
        del buffer[:start]
        return frames


class ReceivedFrame(NamedTuple):
    """Hold a frame and the memory reserved for it.

    Without memory for a large frame `content` is only its start.
    """

    content: bytes
    reservation: Reservation | None = None
    is_dropped: bool = False


def _may_drop_all(_head: bytes) -> bool:
    return True


class BudgetedFrameBuffer:
    """Split a stream into frames; drop large ones that find no memory.

    Reading goes on, because the connection also carries other calls and the
    signs of life of the peer. `may_drop` tells from the start of a frame
    whether it may be dropped; the other ones take memory beyond the budget.
    """

    def __init__(
        self,
        budget: ReceiveBudget,
        *,
        max_use: float = 1,
        may_drop: Callable[[bytes], bool] = _may_drop_all,
    ) -> None:
        self.budget = budget
        self.limit_bytes = int(budget.total_bytes * max_use)
        self.may_drop = may_drop
        self.small_frames = FrameBuffer()
        self.large = bytearray()
        self.missing_bytes = 0
        self.reservation: Reservation | None = None

    def feed(self, data: bytes) -> list[ReceivedFrame]:
        """Return the complete frames; raise ValueError on an oversized one."""
        received: list[ReceivedFrame] = []
        while data:
            if self.missing_bytes:
                data = self._feed_large(data, received)
                continue
            buffered = self.small_frames.buffer
            received.extend(map(self._admit, self.small_frames.feed(data)))
            data = b''
            if len(buffered) >= LENGTH_PREFIX_BYTES + DROPPED_HEAD_BYTES:
                size = int.from_bytes(buffered[:LENGTH_PREFIX_BYTES], 'big')
                if size > SMALL_BODY_BYTES:
                    data = bytes(buffered[LENGTH_PREFIX_BYTES:])
                    buffered.clear()
                    self._start_large(size, data)
        return received

    def close(self) -> None:
        """Return the memory of a frame that is not complete."""
        if self.reservation is not None:
            self.reservation.release()
            self.reservation = None

    def _admit(self, content: bytes) -> ReceivedFrame:
        """Return a frame that arrived as a whole."""
        if len(content) <= SMALL_BODY_BYTES:
            return ReceivedFrame(content)
        reservation = self._reserve(len(content), content)
        if reservation is not None:
            return ReceivedFrame(content, reservation)
        return ReceivedFrame(content[:DROPPED_HEAD_BYTES], is_dropped=True)

    def _reserve(self, size: int, content: bytes) -> Reservation | None:
        """Reserve memory for a frame; return None if it is to be dropped."""
        budget = self.budget
        if not budget.has_room(size):
            budget.reclaim(size)
        has_room = budget.used_bytes + size <= self.limit_bytes
        if not has_room and self.may_drop(content[:DROPPED_HEAD_BYTES]):
            return None
        reservation = Reservation(budget)
        reservation.resize(size)
        return reservation

    def _start_large(self, size: int, start: bytes) -> None:
        self.missing_bytes = size
        self.large = bytearray()
        self.reservation = self._reserve(size, start)

    def _feed_large(self, data: bytes, received: list[ReceivedFrame]) -> bytes:
        """Take the bytes of the large frame; return those behind it."""
        piece = data[: self.missing_bytes]
        self.missing_bytes -= len(piece)
        if self.reservation is not None:
            self.large += piece
        else:
            self.large += piece[: DROPPED_HEAD_BYTES - len(self.large)]
        if not self.missing_bytes:
            reservation = self.reservation
            self.reservation = None
            received.append(
                ReceivedFrame(
                    bytes(self.large), reservation, reservation is None
                )
            )
            self.large = bytearray()
        return data[len(piece) :]


def _split_frames(data: bytes | bytearray) -> tuple[list[bytes], int]:
    """Return the complete frames and the offset of the next one."""
    frames: list[bytes] = []
    start = 0
    available = len(data)
    while available - start >= LENGTH_PREFIX_BYTES:
        body = start + LENGTH_PREFIX_BYTES
        size = int.from_bytes(data[start:body], 'big')
        if size > MAX_FRAME_BYTES:
            raise ValueError(
                f'frame of {size} bytes exceeds {MAX_FRAME_BYTES} bytes'
            )
        body_end = body + size
        if available < body_end:
            break
        frames.append(bytes(data[body:body_end]))
        start = body_end
    return frames, start
