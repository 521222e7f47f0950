"""Test that a departure only grows."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from jasmineramp.clock import Millis
from jasmineramp.mesh.departures import (
    DEPARTURE_RETENTION_MS,
    MAX_DEPARTURES,
    Departed,
    Departures,
    decode_departures,
    encode_departures,
)

NOW = Millis(1000)
FACTS = st.lists(
    st.builds(Departed, st.sampled_from(('i-1', 'i-2')), st.integers(0, 5))
)


class DeparturesTest(unittest.TestCase):
    """Test departures from several sources."""

    def setUp(self) -> None:
        self.departures = Departures()

    def test_departure_binds_its_start_and_earlier_ones(self) -> None:
        self.assertTrue(self.departures.add(Departed('i-1', 5), NOW))
        self.assertFalse(self.departures.add(Departed('i-1', 4), NOW))
        for born, is_bound in ((4, True), (5, True), (6, False)):
            self.assertIs(self.departures.binds('i-1', born), is_bound)
        self.assertFalse(self.departures.binds('i-2', 5))

    # Guards against a source whose older state takes back a departure.
    @given(FACTS, FACTS)
    def test_merge_keeps_all_departures_in_any_order(
        self, first: list[Departed], second: list[Departed]
    ) -> None:
        merged, swapped = Departures(), Departures()
        for departures, sources in (
            (merged, (first, second)),
            (swapped, (second, first)),
        ):
            for facts in sources:
                departures.merge(facts, NOW)
        self.assertEqual(merged.latest, swapped.latest)
        for each in first + second:
            self.assertTrue(merged.binds(each.instance, each.born))

    def test_departure_is_kept_for_the_retention_time(self) -> None:
        self.departures.add(Departed('i-1', 5), NOW)
        self.departures.expire(Millis(NOW + DEPARTURE_RETENTION_MS))
        self.assertTrue(self.departures.binds('i-1', 5))
        self.departures.expire(Millis(NOW + DEPARTURE_RETENTION_MS + 1))
        self.assertEqual(self.departures.facts(), ())

    def test_oldest_departures_make_room(self) -> None:
        for number in range(MAX_DEPARTURES + 1):
            self.departures.add(Departed(f'i-{number}', 5), NOW)
        self.assertEqual(len(self.departures.facts()), MAX_DEPARTURES)
        self.assertFalse(self.departures.binds('i-0', 5))

    def test_stored_departures_are_read_back(self) -> None:
        facts = (Departed('i-1', 5), Departed('i-2', 0))
        self.assertEqual(decode_departures(encode_departures(facts)), facts)
        for value in (b'', b'{}', b'[7]', b'\xff', b'[["i-1", "5"]]'):
            self.assertIsNone(decode_departures(value))
