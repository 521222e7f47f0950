"""Test the frames between nodes."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from jasmineramp.ids import WorkspaceId
from jasmineramp.mesh.peer_messages import (
    LARGEST_FRAME_BYTES,
    FrameBuffer,
    Ping,
    TakeQuota,
    decode_frame,
    encode_frame,
)


class FrameBufferTest(unittest.TestCase):
    """Guard against frames that are lost or cut wrongly between reads."""

    @given(
        st.lists(st.integers(min_value=0, max_value=10**9), max_size=8),
        st.lists(st.integers(min_value=1, max_value=40), min_size=1),
    )
    def test_any_cut_gives_the_same_frames(
        self, streams: list[int], sizes: list[int]
    ) -> None:
        """Frames arrive whole and in order, wherever reads end."""
        sent = [TakeQuota(each, WorkspaceId('shop')) for each in streams]
        data = b''.join(encode_frame(each) for each in sent)
        buffer = FrameBuffer()
        received = []
        while data:
            size = sizes[len(data) % len(sizes)]
            piece, data = data[:size], data[size:]
            received += [decode_frame(each) for each in buffer.feed(piece)]
        self.assertEqual(received, sent)
        self.assertFalse(buffer.buffer)

    def test_refuses_a_frame_that_is_too_large(self) -> None:
        """A peer that speaks something else can't fill the memory."""
        nonsense = (LARGEST_FRAME_BYTES + 1).to_bytes(4, 'big')
        with self.assertRaises(ValueError):
            FrameBuffer().feed(nonsense)
        buffer = FrameBuffer()
        ping = encode_frame(Ping())
        buffer.feed(ping + nonsense[:2])
        with self.assertRaises(ValueError):
            buffer.feed(nonsense[2:])
