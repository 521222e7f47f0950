"""Test that no calls go to an instance that left or was replaced."""

import unittest

from jasmineramp.clock import Millis
from jasmineramp.ids import DomainId, ServiceName
from jasmineramp.membership_messages import UpstreamState
from jasmineramp.mesh.upstream_state import (
    MIN_CONFIRMATION_INTERVAL_MS,
    SILENCE_MS,
    Announcement,
    UpstreamRecord,
)

NOW = Millis(1000)


def announcement(
    instance: str = 'i-1',
    born: int = 100,
    sequence: int = 1,
    state: UpstreamState = UpstreamState.ready,
) -> Announcement:
    """Return an announcement."""
    return Announcement(
        instance,
        born,
        '10.0.0.1:80',
        ServiceName('orders'),
        DomainId('a'),
        10,
        state,
        sequence,
        0,
    )


class UpstreamRecordTest(unittest.TestCase):
    """Late and out-of-order announcements change nothing."""

    def setUp(self) -> None:
        self.record = UpstreamRecord()
        self.record.restore(None, NOW)

    def test_first_announcement_makes_it_ready(self) -> None:
        self.assertTrue(self.record.announce(announcement(), NOW))
        self.assertTrue(self.record.is_ready())

    def test_late_ready_announcement_does_not_end_draining(self) -> None:
        self.record.announce(announcement(sequence=1), NOW)
        self.record.announce(
            announcement(sequence=3, state=UpstreamState.draining), NOW
        )
        self.record.announce(announcement(sequence=2), NOW)
        self.record.announce(announcement(sequence=4), NOW)
        self.assertFalse(self.record.is_ready())

    def test_late_announcement_after_the_departure_is_ignored(self) -> None:
        self.record.announce(announcement(), NOW)
        self.assertTrue(self.record.depart('i-1', None, NOW, unix_now=150))
        self.assertFalse(self.record.announce(announcement(sequence=9), NOW))
        self.assertFalse(self.record.is_ready())

    def test_restart_under_the_same_id_is_a_new_incarnation(self) -> None:
        self.record.announce(announcement(sequence=50), NOW)
        self.record.depart('i-1', None, NOW, unix_now=150)
        self.assertTrue(self.record.announce(announcement(born=200), NOW))
        self.assertTrue(self.record.is_ready())

    def test_announcement_of_a_predecessor_is_ignored(self) -> None:
        self.record.announce(announcement('i-2', born=200), NOW)
        self.assertFalse(
            self.record.announce(announcement('i-1', sequence=9), NOW)
        )
        self.assertEqual(self.record.current, announcement('i-2', born=200))

    def test_departure_of_another_instance_changes_nothing(self) -> None:
        self.record.announce(announcement('i-2', born=200), NOW)
        self.assertFalse(self.record.depart('i-1', None, NOW, unix_now=150))
        self.assertTrue(self.record.is_ready())

    def test_late_departure_of_an_earlier_incarnation_is_ignored(self) -> None:
        self.record.announce(announcement(born=200), NOW)
        self.assertFalse(self.record.depart('i-1', 100, NOW, unix_now=150))
        self.assertTrue(self.record.is_ready())

    # Guards against DRAIN: what is read from the store undid a departure.
    def test_entry_that_is_read_later_does_not_undo_a_departure(self) -> None:
        record = UpstreamRecord()
        record.depart('i-1', 100, NOW, unix_now=150)
        record.restore(announcement(sequence=-1), NOW)
        self.assertFalse(record.is_ready())

    # Guards against DRAIN: the late heartbeat of an instance whose departure
    # named no start counted as that of a later incarnation.
    def test_departure_without_a_start_binds_starts_before_it(self) -> None:
        self.record.depart('i-1', None, NOW, unix_now=150)
        self.assertFalse(self.record.announce(announcement(born=100), NOW))
        self.assertTrue(self.record.announce(announcement(born=200), NOW))
        self.assertTrue(self.record.is_ready())

    def test_refused_connection_needs_a_new_announcement(self) -> None:
        self.record.announce(announcement(sequence=1), NOW)
        self.assertTrue(self.record.mark_lost())
        self.assertFalse(self.record.is_ready())
        self.assertTrue(self.record.announce(announcement(sequence=2), NOW))
        self.assertTrue(self.record.is_ready())

    def test_new_instance_is_accepted_after_its_clock_was_set_back(
        self,
    ) -> None:
        self.record.announce(announcement('i-1', born=200), NOW)
        later = Millis(NOW + 2 * SILENCE_MS)
        self.assertFalse(
            self.record.announce(announcement('i-2', born=100, sequence=1), NOW)
        )
        self.assertTrue(
            self.record.announce(
                announcement('i-2', born=100, sequence=2), later
            )
        )

    def test_restored_departure_is_not_undone_by_a_late_announcement(
        self,
    ) -> None:
        record = UpstreamRecord()
        record.restore(
            announcement(sequence=-1, state=UpstreamState.draining), NOW
        )
        record.announce(announcement(sequence=3), NOW)
        self.assertFalse(record.is_ready())

    def test_restored_instance_is_used_at_once(self) -> None:
        record = UpstreamRecord()
        record.restore(announcement(sequence=-1), NOW)
        self.assertTrue(record.is_ready())

    def test_without_the_store_one_announcement_is_not_enough(self) -> None:
        record = UpstreamRecord()
        self.assertFalse(record.announce(announcement(sequence=1), NOW))
        self.assertFalse(record.announce(announcement(sequence=1), NOW))
        later = Millis(NOW + MIN_CONFIRMATION_INTERVAL_MS)
        self.assertTrue(record.announce(announcement(sequence=2), later))
        self.assertTrue(record.is_ready())

    def test_announcement_before_the_store_answers_is_applied_later(
        self,
    ) -> None:
        record = UpstreamRecord()
        record.announce(announcement(sequence=1), NOW)
        record.restore(None, NOW)
        self.assertTrue(record.is_ready())
