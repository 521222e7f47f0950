"""Test how bytes between nodes are split into frames."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from jasmineramp.ids import WorkspaceId
from jasmineramp.mesh.frame_buffer import (
    MAX_FRAME_BYTES,
    BudgetedFrameBuffer,
    FrameBuffer,
    ReceivedFrame,
)
from jasmineramp.mesh.peer_messages import (
    Ping,
    QuotaRequest,
    decode_frame,
    encode_frame,
)
from jasmineramp.mesh.receive_limits import SMALL_BODY_BYTES, ReceiveBudget

LARGE_BYTES = 3 * SMALL_BODY_BYTES


class FrameBufferTest(unittest.TestCase):
    """Guard against frames that are lost or split wrongly between reads."""

    @given(
        st.lists(st.integers(min_value=0, max_value=10**9), max_size=8),
        st.lists(st.integers(min_value=1, max_value=40), min_size=1),
    )
    def test_frames_do_not_depend_on_read_sizes(
        self, streams: list[int], sizes: list[int]
    ) -> None:
        """Frames arrive complete and in order, whatever the read sizes."""
        sent = [QuotaRequest(each, WorkspaceId('shop')) for each in streams]
        data = b''.join(encode_frame(each) for each in sent)
        buffer = FrameBuffer()
        received = []
        while data:
            size = sizes[len(data) % len(sizes)]
            chunk, data = data[:size], data[size:]
            received += [decode_frame(each) for each in buffer.feed(chunk)]
        self.assertEqual(received, sent)
        self.assertFalse(buffer.buffer)

    def test_rejects_an_oversized_frame(self) -> None:
        """A peer that speaks another protocol can't exhaust the memory."""
        oversized_prefix = (MAX_FRAME_BYTES + 1).to_bytes(4, 'big')
        with self.assertRaises(ValueError):
            FrameBuffer().feed(oversized_prefix)
        buffer = FrameBuffer()
        ping = encode_frame(Ping())
        buffer.feed(ping + oversized_prefix[:2])
        with self.assertRaises(ValueError):
            buffer.feed(oversized_prefix[2:])


class BudgetTest(unittest.TestCase):
    """Test large frames with room for one of them."""

    def setUp(self) -> None:
        self.budget = ReceiveBudget(LARGE_BYTES)
        self.buffer = BudgetedFrameBuffer(self.budget)

    def frame(self, size: int) -> bytes:
        """Return a frame whose content is numbered bytes."""
        content = (bytes(range(251)) * (size // 251 + 1))[:size]
        return size.to_bytes(4, 'big') + content

    # Guards against bodies of peers that take a node over its memory.
    @given(
        st.lists(
            st.sampled_from((0, 9, SMALL_BODY_BYTES, LARGE_BYTES)), max_size=5
        ),
        st.sampled_from((997, SMALL_BODY_BYTES, 10 * LARGE_BYTES)),
    )
    def test_large_frames_beyond_the_budget_are_dropped(
        self, sizes: list[int], read_bytes: int
    ) -> None:
        """The others arrive complete and in order, whatever the read sizes."""
        budget = ReceiveBudget(LARGE_BYTES)
        buffer = BudgetedFrameBuffer(budget)
        data = b''.join(self.frame(size) for size in sizes)
        received = []
        for start in range(0, len(data), read_bytes):
            received += buffer.feed(data[start : start + read_bytes])
        contents = [self.frame(size)[4:] for size in sizes]
        self.assertEqual(len(received), len(sizes))
        has_room = True
        for frame, content in zip(received, contents, strict=True):
            is_large = len(content) > SMALL_BODY_BYTES
            self.assertEqual(frame.is_dropped, is_large and not has_room)
            self.assertEqual(
                frame.reservation is None, not is_large or not has_room
            )
            expected = content[:16] if frame.is_dropped else content
            self.assertEqual(frame.content, expected)
            has_room = has_room and not is_large
        for frame in received:
            if frame.reservation is not None:
                frame.reservation.release()
        self.assertEqual(budget.used_bytes, 0)

    def test_dropped_frame_takes_no_memory(self) -> None:
        self.budget.try_reserve(1)
        frame = self.frame(LARGE_BYTES)
        self.assertEqual(self.buffer.feed(frame[:-1]), [])
        self.assertLess(len(self.buffer.large), 100)
        (dropped,) = self.buffer.feed(frame[-1:])
        self.assertTrue(dropped.is_dropped)

    def test_lost_connection_returns_the_memory(self) -> None:
        self.buffer.feed(self.frame(LARGE_BYTES)[:-1])
        self.assertEqual(self.budget.used_bytes, LARGE_BYTES)
        self.buffer.close()
        self.assertEqual(self.budget.used_bytes, 0)


class ReplyBudgetTest(unittest.TestCase):
    """Test frames of which only some may be dropped, whatever they take."""

    def setUp(self) -> None:
        self.budget = ReceiveBudget(2 * LARGE_BYTES)
        self.buffer = BudgetedFrameBuffer(
            self.budget,
            max_use=1.5,
            may_drop=lambda head: head.startswith(b'may'),
        )

    def feed(self, kind: bytes, read_bytes: int) -> ReceivedFrame:
        """Receive a large frame of a kind, so many bytes at a time."""
        content = kind + b'x' * (LARGE_BYTES - len(kind))
        data = len(content).to_bytes(4, 'big') + content
        received = []
        for start in range(0, len(data), read_bytes):
            received += self.buffer.feed(data[start : start + read_bytes])
        (frame,) = received
        return frame

    # Guards against answers of other nodes that are in no budget.
    def test_frames_beyond_the_budget_are_dropped(self) -> None:
        for read_bytes in (1009, 10 * LARGE_BYTES):
            with self.subTest(read_bytes):
                frames = [self.feed(b'may', read_bytes) for _ in range(4)]
                self.assertEqual(
                    [each.is_dropped for each in frames],
                    [False, False, False, True],
                )
                for each in frames:
                    if each.reservation is not None:
                        each.reservation.release()
                self.assertEqual(self.budget.used_bytes, 0)

    # Guards against a table that a node never gets while its memory is full.
    def test_other_frames_arrive_beyond_the_budget(self) -> None:
        self.budget.try_reserve(2 * LARGE_BYTES)
        for read_bytes in (1009, 10 * LARGE_BYTES):
            self.assertFalse(self.feed(b'table', read_bytes).is_dropped)
