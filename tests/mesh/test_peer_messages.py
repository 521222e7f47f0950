"""Test the frames exchanged between nodes."""

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from jasmineramp.ids import WorkspaceId
from jasmineramp.mesh.peer_messages import (
    LENGTH_PREFIX_BYTES,
    MAX_FRAME_BYTES,
    FrameBuffer,
    Ping,
    QuotaRequest,
    UpdateReply,
    UpdateRequest,
    decode_frame,
    encode_frame,
)


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


class EarlierReleaseTest(unittest.TestCase):
    """Frames of the release without eras are read as of era 0."""

    def test_update_frames_without_eras(self) -> None:
        encode = msgspec.msgpack.Encoder().encode
        asked = decode_frame(encode([10, 1, 30, 31]))
        self.assertEqual(asked, UpdateRequest(1, 30, 31))
        answered = decode_frame(encode([11, 1, 30, 0.5, b'', 31, [], False]))
        self.assertEqual(
            answered, UpdateReply(1, 30, 0.5, b'', 31, (), is_full=False)
        )

    def test_revisions_travel_as_numbers_of_the_store(self) -> None:
        """The earlier release ignores the eras behind the known fields."""
        frame = encode_frame(UpdateRequest(1, 30, 31, 2, 3))
        fields = msgspec.msgpack.decode(frame[LENGTH_PREFIX_BYTES:])
        self.assertEqual(fields, [10, 1, 30, 31, 2, 3])
