"""Test the backoff between calls to an unavailable store."""

import unittest

from jasmineramp.mesh.store_pauses import (
    INITIAL_PAUSE_MS,
    MAX_PAUSE_MS,
    MIN_JITTER_FACTOR,
    Backoff,
)

OUTAGE_MS = 5_000


class BackoffTest(unittest.TestCase):
    """Test that a fleet does not overload an unavailable store."""

    def test_outage_causes_few_calls(self) -> None:
        """A node calls the store at most 11 times in 5 s."""
        backoff = Backoff()
        waited = calls = 0.0
        while waited < OUTAGE_MS:
            waited += backoff.next()
            calls += 1
        self.assertLessEqual(calls, 11)

    def test_end_of_an_outage_is_detected_soon(self) -> None:
        """The pause stays bounded, however long the outage is."""
        backoff = Backoff()
        for _ in range(50):
            self.assertLessEqual(backoff.next(), MAX_PAUSE_MS)
        self.assertGreaterEqual(
            backoff.next(), MIN_JITTER_FACTOR * MAX_PAUSE_MS
        )

    def test_success_resets_the_pause(self) -> None:
        """The first failure after a success is retried quickly."""
        backoff = Backoff()
        for _ in range(5):
            backoff.next()
        backoff.reset()
        self.assertLessEqual(backoff.next(), INITIAL_PAUSE_MS)
