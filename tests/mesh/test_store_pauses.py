"""Test the pauses between calls to a store that is away."""

import unittest

from jasmineramp.mesh.store_pauses import (
    FIRST_PAUSE_MS,
    LARGEST_PAUSE_MS,
    LEAST_PART,
    Pauses,
)

OUTAGE_MS = 5_000


class PausesTest(unittest.TestCase):
    """Guard against a fleet that calls an absent store again and again."""

    def test_an_outage_costs_few_calls(self) -> None:
        """A node asks at most about ten times in five seconds."""
        pauses = Pauses()
        waited = calls = 0.0
        while waited < OUTAGE_MS:
            waited += pauses.next()
            calls += 1
        self.assertLessEqual(calls, 11)

    def test_the_return_is_noticed_soon(self) -> None:
        """However long the store was away, the next call is near."""
        pauses = Pauses()
        for _ in range(50):
            self.assertLessEqual(pauses.next(), LARGEST_PAUSE_MS)
        self.assertGreaterEqual(pauses.next(), LEAST_PART * LARGEST_PAUSE_MS)

    def test_a_success_starts_anew(self) -> None:
        """A single failure after a success is repeated quickly."""
        pauses = Pauses()
        for _ in range(5):
            pauses.next()
        pauses.reset()
        self.assertLessEqual(pauses.next(), FIRST_PAUSE_MS)
