"""Test the counts of refusals by reason."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from jasmineramp import refusal_counts
from jasmineramp.refusal_advice import advise
from jasmineramp.refusal_counts import (
    INTERVAL_COUNT,
    INTERVAL_MS,
    OTHER_CODE,
    RefusalCounts,
    RefusalQuery,
    count,
    summarize,
)
from jasmineramp.refusals import Refusal, RefusalCode

REFUSALS = st.tuples(
    st.sampled_from(('a', 'b')),
    st.sampled_from(list(RefusalCode)),
    st.sampled_from(('', 'order')),
    st.integers(0, 40_000),
)


class CountTest(unittest.TestCase):
    """Guard against refusals that are missing in the counts by reason."""

    @given(st.lists(REFUSALS, max_size=40), st.sampled_from(('', 'a', 'b')))
    def test_reasons_add_up_to_the_refusals(self, refusals, workspace) -> None:
        counts = RefusalCounts('n')
        for name, code, row, now in sorted(refusals, key=lambda item: item[3]):
            count(counts, name, Refusal(code, row=row), now)
        summary = summarize(counts, RefusalQuery(workspace), 40_000)
        expected = sum(
            item[0] == workspace or not workspace for item in refusals
        )
        self.assertEqual(summary.total, expected)
        self.assertEqual(
            sum(entry.count for entry in summary.reasons), expected
        )
        self.assertTrue(summary.complete)

    def test_reasons_over_the_limit_share_one_entry(self) -> None:
        counts = RefusalCounts('n')
        refusals = refusal_counts.MAX_REASONS_PER_INTERVAL + 7
        for index in range(refusals):
            refusal = Refusal(RefusalCode.overloaded, row=f'r{index}')
            count(counts, 'a', refusal, 0)
        summary = summarize(counts, RefusalQuery('a'), 0)
        self.assertEqual(summary.total, refusals)
        self.assertEqual(summary.reasons[0].reason.code, OTHER_CODE)
        self.assertEqual(summary.reasons[0].count, 7)

    def test_old_intervals_are_dropped_and_reported_as_incomplete(self) -> None:
        counts = RefusalCounts('n')
        for index in range(INTERVAL_COUNT + 2):
            refusal = Refusal(RefusalCode.overloaded, figure=index, limit=1)
            count(counts, 'a', refusal, index * INTERVAL_MS)
        now = (INTERVAL_COUNT + 1) * INTERVAL_MS
        summary = summarize(counts, RefusalQuery('a'), now)
        self.assertEqual(summary.total, INTERVAL_COUNT)
        self.assertFalse(summary.complete)
        query = RefusalQuery('a', 3 * INTERVAL_MS, 2 * INTERVAL_MS)
        summary = summarize(counts, query, now)
        self.assertEqual(summary.total, 2)
        self.assertTrue(summary.complete)
        self.assertEqual(summary.reasons[0].figure, INTERVAL_COUNT - 1)

    def test_every_code_has_advice(self) -> None:
        for code in RefusalCode:
            self.assertNotIn('another release', advise(code.value))
        self.assertIn('another release', advise('sheep'))
