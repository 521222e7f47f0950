"""Compute the backoff between failed store calls."""

import random

INITIAL_PAUSE_MS = 250
# Entries are written again within about 2 s of the end of a store outage.
MAX_PAUSE_MS = 700
# Jitter spreads the calls of nodes that lost the store at the same time.
MIN_JITTER_FACTOR = 0.75


class Backoff:
    """Compute the pauses after consecutive failures, in milliseconds."""

    def __init__(self) -> None:
        self.pause_ms = float(INITIAL_PAUSE_MS)

    def reset(self) -> None:
        """Reset the pause after a success."""
        self.pause_ms = INITIAL_PAUSE_MS

    def next(self) -> float:
        """Return the next pause in ms; the pause before jitter doubles."""
        pause_ms = self.pause_ms * random.uniform(MIN_JITTER_FACTOR, 1)
        self.pause_ms = min(MAX_PAUSE_MS, self.pause_ms * 2)
        return pause_ms
