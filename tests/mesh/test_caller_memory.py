"""Test which connections go first when memory or descriptors are short."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from jasmineramp.mesh.caller_memory import (
    PATIENCE_MS,
    SMALL_HOLDING_BYTES,
    Activity,
    Holding,
    choose_for_descriptors,
    choose_for_memory,
    has_moved,
    limit_for,
)

LONG_MS = 5_000.0


def holding(
    key: int,
    held_bytes: int = 1000,
    stalled_ms: float = LONG_MS,
    activity: Activity = Activity.transfer,
) -> Holding:
    """Return a connection that has stalled."""
    return Holding(key, activity, held_bytes, stalled_ms)


class MemoryChoiceTest(unittest.TestCase):
    """Guard against callers that are cut off in place of those that stall."""

    def test_most_for_the_longest_goes_first(self) -> None:
        holdings = [
            holding(1, 1000, 2000),
            holding(2, 9000, 2000),
            holding(3, 1000, 30_000),
        ]
        self.assertEqual(choose_for_memory(holdings, 10_500, 1), [3, 2, 1])

    def test_no_more_than_needed_go(self) -> None:
        holdings = [holding(each, 1000) for each in range(5)]
        self.assertEqual(len(choose_for_memory(holdings, 1500, 1)), 2)
        self.assertEqual(choose_for_memory(holdings, 0, 1), [])

    def test_connection_without_memory_frees_none(self) -> None:
        self.assertEqual(choose_for_memory([holding(1, 0)], 1000, 1), [])

    def test_shorter_stalls_count_when_the_budget_is_exceeded(self) -> None:
        """Responses need memory that can't be refused."""
        recent = [holding(1, 1000, 300)]
        self.assertEqual(choose_for_memory(recent, 1, 1), [])
        self.assertEqual(choose_for_memory(recent, 1, 1.4), [1])

    # Guards against one slow request that protects all responses behind it.
    def test_responses_behind_a_running_request_go_last(self) -> None:
        waiting = [holding(1, 1000, LONG_MS, Activity.blocking)]
        self.assertEqual(choose_for_memory(waiting, 1, 1.25), [])
        self.assertEqual(choose_for_memory(waiting, 1, 1.3), [1])

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 10**7),
                st.floats(0, 60_000),
                st.sampled_from(Activity),
            ),
            max_size=30,
        ),
        st.integers(1, 10**8),
        st.floats(0, 10),
    )
    def test_callers_that_move_or_wait_for_a_call_never_go(
        self,
        fields: list[tuple[int, float, Activity]],
        needed_bytes: int,
        use: float,
    ) -> None:
        holdings = [holding(key, *each) for key, each in enumerate(fields)]
        for key in choose_for_memory(holdings, needed_bytes, use):
            self.assertIsNot(holdings[key].activity, Activity.running)
            self.assertGreaterEqual(holdings[key].stalled_ms, 100)

    def test_small_requests_have_a_reserve(self) -> None:
        self.assertEqual(limit_for(SMALL_HOLDING_BYTES + 1, 1000), 1000)
        self.assertGreater(limit_for(SMALL_HOLDING_BYTES, 1000), 1000)

    def test_a_byte_now_and_then_is_no_progress(self) -> None:
        self.assertFalse(has_moved(100, 100))
        self.assertFalse(has_moved(10_000, 1_000_000))
        self.assertTrue(has_moved(100_000, 1_000_000))


class DescriptorChoiceTest(unittest.TestCase):
    """Guard against closing a connection that is about to be used."""

    def test_stalled_connections_go_before_idle_ones(self) -> None:
        holdings = [
            holding(1, 0, 14_000, Activity.idle),
            holding(2, 0, 9_000, Activity.idle),
            holding(3, 100, 2_000, Activity.transfer),
            holding(4, 0, 3_000, Activity.unused),
        ]
        self.assertEqual(choose_for_descriptors(holdings, 9, 1), [4, 3])
        self.assertEqual(choose_for_descriptors(holdings[:2], 9, 1), [1])

    def test_new_moving_and_running_connections_stay(self) -> None:
        recent_ms = PATIENCE_MS / 2
        holdings = [
            holding(1, 0, recent_ms, Activity.unused),
            holding(2, 100, recent_ms, Activity.transfer),
            holding(3, 100, LONG_MS, Activity.running),
        ]
        self.assertEqual(choose_for_descriptors(holdings, 9, 9), [])
