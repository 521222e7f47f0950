"""Test that only the operators end the evacuation of a failure domain."""

import unittest

import msgspec

from jasmineramp.ids import DomainId, NodeId, Revision
from jasmineramp.mesh.evacuations import (
    DomainState,
    Evacuations,
    EvacuationView,
)
from jasmineramp.mesh.peer_messages import (
    Hello,
    RunReply,
    UpdateReply,
    decode_frame,
    encode_frame,
)
from jasmineramp.mesh.store_revisions import make_revision

TABLE = 'op/config'
ZONE = DomainId('z')
PREFIX_BYTES = 4


class EvacuationsTest(unittest.TestCase):
    """Test a node that has read an evacuation at revision 50."""

    def setUp(self) -> None:
        self.node = Evacuations()
        self.read(self.node, 0, 50, 20, 40)

    def read(
        self,
        node: Evacuations,
        era: int,
        revision: int,
        table: int,
        evacuation: int = 0,
    ) -> None:
        """Read the store with these revisions of the keys, 0 for no key."""
        keys = {TABLE: make_revision(era, table)}
        if evacuation:
            keys['op/evacuate/z'] = make_revision(era, evacuation)
        node.record_read(
            make_revision(era, revision), keys, [ZONE] if evacuation else []
        )

    def is_evacuated(self, node: Evacuations | None = None) -> bool:
        """Return whether the domain is evacuated."""
        state = (node or self.node).state_of(ZONE)
        return state is DomainState.evacuated

    def view(self, node: Evacuations | None = None) -> EvacuationView:
        """Return what a node tells the others."""
        view = (node or self.node).view
        assert view is not None
        return view

    # Guards against a late answer to an earlier read that ends an evacuation.
    def test_deletion_ends_it_and_an_earlier_read_does_not(self) -> None:
        self.read(self.node, 0, 30, 20)
        self.assertTrue(self.is_evacuated())
        self.read(self.node, 0, 51, 20)
        self.assertFalse(self.is_evacuated())
        self.read(self.node, 0, 50, 20, 40)
        self.assertFalse(self.is_evacuated())

    # Guards against a copy of the store that ends an evacuation.
    def test_key_absent_in_a_copy_counts_as_deleted_after_a_write(self) -> None:
        self.read(self.node, 1, 35, 20)
        self.read(self.node, 1, 60, 20)
        self.assertTrue(self.is_evacuated())
        self.read(self.node, 1, 61, 61)
        self.assertFalse(self.is_evacuated())

    # Guards against an evacuation that stays, although the operators have
    # written before the first read of the new era.
    def test_write_before_the_first_read_of_an_era_counts(self) -> None:
        self.read(self.node, 1, 36, 36)
        self.assertFalse(self.is_evacuated())

    # Guards against the copy that ends an evacuation in a later era, or whose
    # evacuation does not bind.
    def test_evacuations_of_both_eras_count(self) -> None:
        self.read(self.node, 1, 35, 20)
        self.read(self.node, 2, 34, 20)
        self.assertTrue(self.is_evacuated())
        other = Evacuations()
        self.read(other, 0, 50, 20)
        self.read(other, 1, 35, 20, 30)
        self.assertTrue(self.is_evacuated(other))

    # Guards against a key of the copy that passes for a new one, because the
    # last read of this node was long before what it learned from another.
    def test_copy_is_compared_with_what_was_learned_from_others(self) -> None:
        node = Evacuations()
        self.read(node, 0, 10, 5)
        node.merge(self.view())
        self.read(node, 1, 35, 20)
        self.assertTrue(self.is_evacuated(node))

    # Guards against a process that starts after the store has come back from a
    # copy and ends the evacuation for the others.
    def test_next_process_learns_from_others_what_the_copy_lacks(self) -> None:
        node = Evacuations()
        self.assertIs(node.state_of(ZONE), DomainState.unknown)
        self.read(node, 1, 35, 20)
        self.assertFalse(self.is_evacuated(node))
        self.node.merge(self.view(node))
        self.assertTrue(self.is_evacuated())
        node.merge(self.view())
        self.assertTrue(self.is_evacuated(node))

    # Guards against a node that was cut off and brings back what the operators
    # have deleted since, or ends what they have written since.
    def test_node_that_was_cut_off_takes_nothing_back(self) -> None:
        cut_off = self.view()
        self.read(self.node, 0, 51, 20)
        self.node.merge(cut_off)
        self.assertFalse(self.is_evacuated())
        self.read(self.node, 1, 45, 20)
        self.node.merge(cut_off)
        self.assertFalse(self.is_evacuated())
        self.read(self.node, 1, 46, 20, 46)
        self.node.merge(EvacuationView(make_revision(1, 45), ()))
        self.assertTrue(self.is_evacuated())

    # Guards against a node that never learns of a write that others have seen.
    def test_write_in_an_era_is_learned_from_others(self) -> None:
        other = Evacuations()
        other.merge(self.view())
        for node in (self.node, other):
            self.read(node, 1, 35, 20)
        self.read(other, 1, 36, 36)
        self.node.merge(self.view(other))
        self.assertFalse(self.is_evacuated())

    # Guards against a later version of the table that is no sign of a write,
    # because its revision was given out before.
    def test_later_table_of_the_same_era_shows_a_write(self) -> None:
        self.read(self.node, 1, 35, 20)
        self.node.record_write(0)
        self.assertTrue(self.is_evacuated())
        self.node.record_write(1)
        self.assertFalse(self.is_evacuated())


class FrameTest(unittest.TestCase):
    """Test frames from and to a node of the previous release."""

    # Guards against a missing field that passes for "nothing is evacuated".
    def test_missing_fields_are_unknown(self) -> None:
        for frame, count in (
            (Hello(NodeId('n1'), 1), 3),
            (UpdateReply(1, 2, 3, b'', 4, (), False), 9),
        ):
            fields = msgspec.msgpack.decode(encode_frame(frame)[PREFIX_BYTES:])
            earlier = msgspec.msgpack.encode(fields[: 1 + count])
            decoded = decode_frame(earlier)
            self.assertIsNone(decoded.evacuations)  # type: ignore[union-attr]

    # Guards against a field that moves those that the previous release reads.
    def test_new_fields_are_the_last_ones(self) -> None:
        for kind, name in (
            (Hello, 'evacuations'),
            (UpdateReply, 'evacuations'),
            (RunReply, 'is_evacuated'),
        ):
            self.assertEqual(kind.__struct_fields__[-1], name)
        view = EvacuationView(Revision(7), (ZONE,), False, 3, (DomainId('y'),))
        frame = Hello(NodeId('n1'), 1, (), view)
        decoded = decode_frame(encode_frame(frame)[PREFIX_BYTES:])
        self.assertEqual(decoded, frame)
