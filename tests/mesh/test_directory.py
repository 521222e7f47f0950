"""Test that directory entries are not lost, stale or outdated."""

import unittest

import msgspec

from jasmineramp.clock import Millis
from jasmineramp.ids import DomainId, NodeId, Revision
from jasmineramp.mesh.directory import (
    ABSENCE_GRACE_MS,
    Directory,
    MemberEntry,
    entry_key,
)
from jasmineramp.mesh.store import StoreItem

START = Millis(0)


def item(name: str, revision: int, version: int = 1) -> StoreItem:
    """Return the store item of a node's entry."""
    entry = MemberEntry(NodeId(name), version, DomainId('a'), '10.0.0.1', 7000)
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

    def test_unreadable_entry_adds_no_node(self) -> None:
        for value in (b'', b'{}', b'\xff', b'{"node": 7}'):
            odd = StoreItem(entry_key(NodeId('n2')), Revision(9), value)
            self.assertEqual(self.directory.apply((odd,), START), [])
        self.assertEqual(set(self.directory.members), {'n1'})
