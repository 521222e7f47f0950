"""Test that directory entries are not lost, stale or outdated."""

import unittest

import msgspec

from jasmineramp.clock import Millis
from jasmineramp.ids import DomainId, NodeId, Revision, ServiceName
from jasmineramp.membership_messages import UpstreamState
from jasmineramp.mesh.departures import (
    DEPARTURE_RETENTION_MS,
    Departed,
    encode_departures,
)
from jasmineramp.mesh.directory import (
    ABSENCE_GRACE_MS,
    Directory,
    MemberEntry,
    departures_key,
    entry_key,
)
from jasmineramp.mesh.store import StoreItem

START = Millis(0)
BORN = 100


def item(name: str, revision: int, version: int = 1) -> StoreItem:
    """Return the store item of a node's entry."""
    entry = MemberEntry(NodeId(name), version, DomainId('a'), '10.0.0.1', 7000)
    return StoreItem(
        entry_key(entry.node), Revision(revision), msgspec.json.encode(entry)
    )


def instance_item(revision: int, state: UpstreamState) -> StoreItem:
    """Return the store item of an entry with an instance."""
    entry = MemberEntry(
        NodeId('n1'),
        revision,
        DomainId('a'),
        '10.0.0.1',
        7000,
        ServiceName('orders'),
        'i-1',
        BORN,
        8,
        state,
    )
    return StoreItem(
        entry_key(entry.node), Revision(revision), msgspec.json.encode(entry)
    )


class DirectoryTest(unittest.TestCase):
    """Entries are ordered by store revision and removed after a grace time."""

    def setUp(self) -> None:
        self.directory = Directory()
        self.directory.apply((item('n1', 5, 3),), START)

    def test_older_revision_is_ignored(self) -> None:
        self.assertEqual(self.directory.apply((item('n1', 4, 9),), START), [])
        self.assertEqual(self.directory.members[NodeId('n1')].version, 3)

    def test_new_process_with_the_same_content_counts_as_changed(self) -> None:
        changed = self.directory.apply((item('n1', 6, 3),), START)
        self.assertEqual(len(changed), 1)

    def test_deleted_entry_is_kept_for_the_grace_time(self) -> None:
        self.directory.apply(
            (StoreItem(entry_key(NodeId('n1')), Revision(6)),), START
        )
        early = Millis(ABSENCE_GRACE_MS - 1)
        self.assertEqual(self.directory.expire(early), [])
        self.directory.apply((item('n1', 7),), early)
        self.assertEqual(
            self.directory.expire(Millis(ABSENCE_GRACE_MS * 2)), []
        )

    def test_deleted_entry_expires_after_the_grace_time(self) -> None:
        self.directory.replace_all((), START)
        expired = self.directory.expire(Millis(ABSENCE_GRACE_MS))
        self.assertEqual([each.node for each in expired], ['n1'])
        self.assertFalse(self.directory.members)

    # Guards against DRAIN: an entry from an older copy of the store replaced
    # the one with the departure.
    def test_departure_is_not_undone_by_a_later_entry(self) -> None:
        for revision, state, expected in (
            (6, UpstreamState.ready, UpstreamState.ready),
            (7, UpstreamState.draining, UpstreamState.draining),
            (1 << 40, UpstreamState.ready, UpstreamState.draining),
        ):
            (entry,) = self.directory.apply(
                (instance_item(revision, state),), START
            )
            self.assertIs(entry.state, expected)

    def test_stored_departure_applies_to_the_entry(self) -> None:
        self.directory.apply((instance_item(6, UpstreamState.ready),), START)
        departed = Departed('i-1', BORN)
        stored = StoreItem(
            departures_key(NodeId('n1')),
            Revision(7),
            encode_departures((departed,)),
        )
        (entry,) = self.directory.apply((stored,), START)
        self.assertIs(entry.state, UpstreamState.draining)
        self.assertEqual(self.directory.departed_at(NodeId('n1')), (departed,))
        self.assertEqual(self.directory.departed_at(NodeId('n2')), ())
        self.directory.expire(Millis(DEPARTURE_RETENTION_MS + 1))
        self.assertEqual(self.directory.departed_at(NodeId('n1')), ())

    def test_unreadable_departures_change_nothing(self) -> None:
        odd = StoreItem(departures_key(NodeId('n1')), Revision(7), b'{}')
        self.assertEqual(self.directory.apply((odd,), START), [])
        self.assertEqual(self.directory.unreadable, {odd.key})

    def test_unreadable_entry_adds_no_node(self) -> None:
        for value in (b'', b'{}', b'\xff', b'{"node": 7}'):
            odd = StoreItem(entry_key(NodeId('n2')), Revision(9), value)
            self.assertEqual(self.directory.apply((odd,), START), [])
        self.assertEqual(set(self.directory.members), {'n1'})
