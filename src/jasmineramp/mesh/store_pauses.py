"""Space out the calls to a store that does not answer."""

import random

FIRST_PAUSE_MS = 250
# Entries are back within about 2 s of the return of the store.
LARGEST_PAUSE_MS = 700
# Nodes that lost the store together come back spread over time.
LEAST_PART = 0.75


class Pauses:
    """Give the pauses after failures in a row, in milliseconds."""

    def __init__(self) -> None:
        self.pause = float(FIRST_PAUSE_MS)

    def reset(self) -> None:
        """Start anew after a success."""
        self.pause = FIRST_PAUSE_MS

    def next(self) -> float:
        """Return the next pause, which is up to twice the last one."""
        pause = self.pause * random.uniform(LEAST_PART, 1)
        self.pause = min(LARGEST_PAUSE_MS, self.pause * 2)
        return pause
