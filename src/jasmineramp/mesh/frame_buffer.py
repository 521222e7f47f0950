"""Split the bytes of a connection between nodes into frames."""

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


class BudgetedFrameBuffer:
    """Split a stream into frames; drop large ones that find no memory.

    Reading goes on, because the connection also carries other calls and the
    signs of life of the peer.
    """

    def __init__(self, budget: ReceiveBudget) -> None:
        self.budget = budget
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
            if len(buffered) >= LENGTH_PREFIX_BYTES:
                size = int.from_bytes(buffered[:LENGTH_PREFIX_BYTES], 'big')
                if size > SMALL_BODY_BYTES:
                    data = bytes(buffered[LENGTH_PREFIX_BYTES:])
                    buffered.clear()
                    self._start_large(size)
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
        reservation = Reservation(self.budget)
        if reservation.try_resize(len(content)):
            return ReceivedFrame(content, reservation)
        return ReceivedFrame(content[:DROPPED_HEAD_BYTES], is_dropped=True)

    def _start_large(self, size: int) -> None:
        self.missing_bytes = size
        self.large = bytearray()
        reservation = Reservation(self.budget)
        is_reserved = reservation.try_resize(size)
        self.reservation = reservation if is_reserved else None

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
