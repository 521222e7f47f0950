"""Test the order of revisions over the eras of a store."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from jasmineramp.mesh.store_revisions import era_of, make_revision, number_of

ERAS = st.integers(min_value=0, max_value=1 << 20)
NUMBERS = st.integers(min_value=1, max_value=1 << 39)


class StoreRevisionsTest(unittest.TestCase):
    """Revisions are ordered by era, then by number."""

    @given(st.tuples(ERAS, NUMBERS), st.tuples(ERAS, NUMBERS))
    def test_order_is_that_of_era_and_number(
        self, first: tuple[int, int], second: tuple[int, int]
    ) -> None:
        self.assertEqual(
            make_revision(*first) < make_revision(*second), first < second
        )

    @given(ERAS, NUMBERS)
    def test_era_and_number_are_returned(self, era: int, number: int) -> None:
        revision = make_revision(era, number)
        self.assertEqual((era_of(revision), number_of(revision)), (era, number))

    @given(ERAS)
    def test_no_revision_is_zero_in_every_era(self, era: int) -> None:
        self.assertEqual(make_revision(era, 0), 0)
