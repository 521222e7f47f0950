"""Test the frames exchanged between nodes."""

import unittest

import msgspec

from jasmineramp.ids import RowName, ServiceName, WorkspaceId
from jasmineramp.load_reports import LoadReport
from jasmineramp.mesh.calls import Answer, UpstreamCall
from jasmineramp.mesh.frame_buffer import LENGTH_PREFIX_BYTES
from jasmineramp.mesh.peer_messages import (
    RunReply,
    RunRequest,
    UpdateReply,
    UpdateRequest,
    decode_frame,
    encode_frame,
    is_run_reply,
    read_call_stream,
    read_reply_stream,
)


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

    # Guards against calls of the earlier release that are rejected because
    # they do not tell the remaining time of the objective.
    def test_call_without_an_objective(self) -> None:
        fields = ['id', b'GET', b'/', [], b'', 300, 'row', '', 'a', 'b', '']
        frame = [2, 1, [*fields, 3, 0, True, 150, False, False]]
        call = decode_frame(msgspec.msgpack.encode(frame)).call
        self.assertEqual((call.max_wait_ms, call.objective_ms), (150, None))


class CallProgressTest(unittest.TestCase):
    """Frames of the release without progress are read as of no progress."""

    def test_call_without_progress(self) -> None:
        call = UpstreamCall(
            'id-1', b'GET', b'/', [], b'', 1.5, RowName('r'), WorkspaceId(''),
            ServiceName('a'), ServiceName('b'), '', 4, 1, True, progress=7,
        )  # fmt: skip
        frame = encode_frame(RunRequest(1, call))[LENGTH_PREFIX_BYTES:]
        self.assertEqual(decode_frame(frame), RunRequest(1, call))
        tag, stream, fields = msgspec.msgpack.decode(frame)
        # The fields that the earlier release does not know.
        self.assertEqual([fields.pop(), fields.pop()], [None, 7])
        earlier = decode_frame(msgspec.msgpack.encode([tag, stream, fields]))
        call.progress = 0
        self.assertEqual(earlier, RunRequest(1, call))


class CallStreamTest(unittest.TestCase):
    """Test the start of a call whose rest is dropped."""

    def test_stream_is_read_from_the_start_of_a_call(self) -> None:
        for stream in (0, 127, 128, 255, 256, 1 << 16, 1 << 32, (1 << 63) - 1):
            frame = msgspec.msgpack.encode([2, stream, [0] * 20])
            self.assertEqual(read_call_stream(frame[:16]), stream)

    def test_other_frames_have_no_call(self) -> None:
        for frame in ([3, 1, []], [2, 'x', []], [2, 1], []):
            with self.assertRaises(ValueError):
                read_call_stream(msgspec.msgpack.encode(frame))


class ReplyStreamTest(unittest.TestCase):
    """Test the start of a reply whose rest is dropped."""

    def test_stream_is_read_from_the_start_of_a_reply(self) -> None:
        for stream in (0, 127, 128, 255, 256, 1 << 16, 1 << 32, (1 << 63) - 1):
            answer = Answer(200, b'OK', [], b'x' * 99)
            frame = encode_frame(RunReply(stream, answer, LoadReport()))
            head = frame[LENGTH_PREFIX_BYTES:][:16]
            self.assertTrue(is_run_reply(head))
            self.assertEqual(read_reply_stream(head), stream)

    def test_other_frames_are_no_reply(self) -> None:
        for frame in ([2, 1, []], [8, 1, None, None], [3, 1], [3], []):
            head = msgspec.msgpack.encode(frame)
            self.assertFalse(is_run_reply(head))
            with self.assertRaises(ValueError):
                read_reply_stream(head)
