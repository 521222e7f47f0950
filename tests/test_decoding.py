"""Test that bytes of any origin are either usable or unreadable."""

import json
import unittest
from collections.abc import Callable

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from jasmineramp.acknowledgements import decode_domains
from jasmineramp.exceptions import TableError
from jasmineramp.ids import Revision
from jasmineramp.log_story import read_lines
from jasmineramp.mesh.departures import decode_departures
from jasmineramp.mesh.directory import KEY_PREFIX, read_entry
from jasmineramp.mesh.peer_messages import decode_frame, encode_frame
from jasmineramp.mesh.store import StoreItem, StoreOutcome
from jasmineramp.mesh.store_revisions import parse_era
from jasmineramp.platform.announcements import (
    decode_heartbeat,
    decode_start_time,
)
from jasmineramp.platform.configuration import decode_configuration
from jasmineramp.platform.store_replies import (
    WireResponse,
    convert_events,
    convert_item,
    convert_list,
    convert_write,
    read_reply,
)
from jasmineramp.table_files import decode_table
from tests.fakes.mesh import CONFIGURATION

DEPTH = 100_000
NESTED_JSON = b'[' * DEPTH + b']' * DEPTH
ENTRY = {
    'node': 'n1',
    'version': 1,
    'domain': 'a',
    'host': '10.0.0.1',
    'port': 7000,
    'service': 'orders',
    'instance': 'i-1',
    'born': 100,
    'slots': 8,
    'state': 1,
}
HEARTBEAT = {
    'address': '10.0.0.1:80',
    'info': {'service': 'orders', 'zone': 'a', 'slots': 8},
    'status': {'state': 'ready', 'sequence': 1, 'coldRemaining': '0ms'},
    'born': 100,
}
REPLY = {
    'currentRev': 7,
    'revision': 7,
    'lease': 1,
    'items': [{'key': 'a', 'value': 'eA==', 'revision': 7, 'lease': 1}],
    'events': [{'key': 'a', 'value': 'eA==', 'revision': 7}],
}
ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.sampled_from((-1, 0, 65_536, 1 << 40, 1 << 63, 1 << 64, 10**30)),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=9),
    st.just([]),
    st.just({}),
)


def with_nested_field(document: dict[str, object]) -> bytes:
    """Return a document with an additional field that is nested deeply."""
    return json.dumps(document).encode()[:-1] + b',"x":' + NESTED_JSON + b'}'


def places(document: object) -> list[tuple[object, ...]]:
    """Return the paths of all fields of a document."""
    pairs: list[tuple[object, object]] = []
    if isinstance(document, dict):
        pairs = list(document.items())
    elif isinstance(document, list):
        pairs = list(enumerate(document))
    return [
        path
        for name, item in pairs
        for path in ((name,), *((name, *rest) for rest in places(item)))
    ]


def replace_field(
    document: object, path: tuple[object, ...], value: object
) -> object:
    """Return a copy of a document with another value in one place."""
    changed = json.loads(json.dumps(document))
    place = changed
    for name in path[:-1]:
        place = place[name]
    place[path[-1]] = value
    return changed


def odd_documents(document: object) -> st.SearchStrategy[bytes]:
    """Return documents with an odd value in one place."""
    return st.builds(
        lambda path, value: json.dumps(
            replace_field(document, path, value)
        ).encode(),
        st.sampled_from(places(document)),
        ODD_VALUES,
    )


def read_item(content: bytes) -> object:
    """Return the entry in an item of the node n1."""
    return read_entry(StoreItem(f'{KEY_PREFIX}n1', Revision(1), content))


class NestedBytesTest(unittest.TestCase):
    """Test bytes that exceed the depth of the decoder."""

    def assert_unreadable(
        self, read: Callable[[bytes], object], content: bytes
    ) -> None:
        """Assert that reading raises the error of unreadable bytes."""
        with self.assertRaises((msgspec.MsgspecError, TableError)):
            read(content)

    # Guards against LOST: an entry of another writer ended the tasks that read
    # the entries, again and again.
    def test_nested_entry_is_unreadable(self) -> None:
        self.assertIsNone(read_item(with_nested_field(ENTRY)))
        self.assertIsNone(decode_departures(b'[["a",1,' + NESTED_JSON + b']]'))
        self.assertEqual(decode_domains(NESTED_JSON), ())

    def test_nested_announcement_is_unreadable(self) -> None:
        self.assert_unreadable(
            lambda content: decode_heartbeat('i-1', content),
            with_nested_field(HEARTBEAT),
        )
        self.assertIsNone(decode_start_time(with_nested_field({'born': 1})))

    def test_nested_table_is_unreadable(self) -> None:
        self.assert_unreadable(
            lambda content: decode_configuration(content, Revision(1)),
            with_nested_field(CONFIGURATION),
        )
        self.assert_unreadable(decode_table, with_nested_field({}))

    def test_nested_frame_is_unreadable(self) -> None:
        nested = b'\x95\x01\xa1n\x01\x90' + b'\x91' * DEPTH
        self.assert_unreadable(decode_frame, nested)

    def test_nested_store_reply_is_unknown(self) -> None:
        for status in (200, 412, 503):
            response = WireResponse(status, with_nested_field(REPLY), None)
            reply = read_reply(response, 0, convert_list)
            self.assertIsNot(reply.outcome, StoreOutcome.done)

    def test_nested_log_line_is_no_line(self) -> None:
        lines, skipped = read_lines([NESTED_JSON.decode()])
        self.assertEqual((lines, skipped), ([], 1))


class OddValuesTest(unittest.TestCase):
    """Test values of other types or out of range."""

    # Guards against values that decode and fail where they are used.
    @given(odd_documents(ENTRY))
    def test_entry_that_decodes_is_usable(self, content: bytes) -> None:
        entry = read_item(content)
        if entry is not None:
            self.assertIn(entry.port, range(1, 65_536))
            entry.to_instance()
            msgspec.json.encode(entry)

    def test_entry_with_an_unusable_address_is_unreadable(self) -> None:
        for field, value in (
            ('port', 70_000),
            ('port', 0),
            ('port', -1),
            ('host', ''),
            ('host', 'a' * 70),
            ('host', 'a\0b'),
            ('slots', 10**30),
            ('version', 10**30),
            ('born', -1),
        ):
            with self.subTest(field=field, value=value):
                content = json.dumps(ENTRY | {field: value}).encode()
                self.assertIsNone(read_item(content))

    @given(odd_documents(HEARTBEAT))
    def test_heartbeat_that_decodes_is_usable(self, content: bytes) -> None:
        try:
            announcement = decode_heartbeat('i-1', content)
        except ValueError:
            return
        self.assertIn(announcement.slots, range(1, 1_000_001))
        msgspec.msgpack.encode(announcement)

    def test_departure_with_an_unusable_start_has_none(self) -> None:
        for born in (10**30, -1, 1.5, 'x'):
            content = json.dumps({'born': born}).encode()
            self.assertIsNone(decode_start_time(content))

    @given(odd_documents(CONFIGURATION))
    def test_table_that_decodes_is_usable(self, content: bytes) -> None:
        try:
            table = decode_configuration(content, Revision(1))
        except ValueError:
            return
        self.assertGreaterEqual(table.serial, 0)
        for route in table.routes:
            self.assertGreaterEqual(route.rank, 0)
            self.assertGreaterEqual(route.timeout_ms, 0)

    @given(odd_documents(REPLY))
    def test_store_reply_that_decodes_is_usable(self, content: bytes) -> None:
        for convert in (
            convert_item,
            convert_list,
            convert_events,
            convert_write,
        ):
            reply = read_reply(WireResponse(200, content, None), 3, convert)
            msgspec.msgpack.encode((reply.revision, reply.lease, reply.items))

    # Guards against one damaged value that hides all other entries.
    def test_damaged_value_leaves_the_others_readable(self) -> None:
        document = {
            'currentRev': 7,
            'items': [
                {'key': 'a', 'value': '?', 'revision': 6},
                {'key': 'b', 'value': 'eA==', 'revision': 7},
            ],
        }
        reply = read_reply(
            WireResponse(200, json.dumps(document).encode(), None),
            0,
            convert_list,
        )
        self.assertEqual([item.value for item in reply.items], [b'', b'x'])

    def test_era_that_revisions_cannot_hold_is_unknown(self) -> None:
        self.assertEqual(parse_era(b'3'), 3)
        for digits in (b'8388608', b'9' * 5000):
            self.assertIsNone(parse_era(digits))

    @given(st.binary(max_size=40))
    def test_frame_that_decodes_can_be_encoded(self, content: bytes) -> None:
        try:
            frame = decode_frame(content)
        except ValueError:
            return
        encode_frame(frame)

    def test_frame_with_a_value_out_of_range_is_unreadable(self) -> None:
        for frame in (
            # A quota reply with a wait that is no time.
            (8, 1, float('nan')),
            (8, 1, -1.0),
            (8, 1, float('inf')),
            # Updates whose table is confirmed in the future, or whose revision
            # runs into the era.
            (11, 1, 5, -1.0, b'', 5, (), False),
            (11, 1, 5, float('nan'), b'', 5, (), False),
            (11, 1, 1 << 40, 1.0, b'', 5, (), False),
            (10, 1, 5, 5, 1 << 23, 0),
        ):
            with self.subTest(frame=frame), self.assertRaises(ValueError):
                decode_frame(msgspec.msgpack.encode(frame))
