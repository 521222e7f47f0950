"""Provide monotonic time in milliseconds."""

import time
from typing import NewType, Protocol

Millis = NewType('Millis', float)

_NANOSECONDS_PER_MILLISECOND = 1_000_000
ORIGIN = Millis(0)
MILLIS_PER_SECOND = 1000


class Clock(Protocol):
    """Tell the current monotonic time."""

    def now(self) -> Millis:
        """Return the time in milliseconds since an arbitrary origin."""


class MonotonicClock:
    """Read the monotonic clock of the machine."""

    def now(self) -> Millis:
        """Return the time in milliseconds since an arbitrary origin."""
        return Millis(time.monotonic_ns() / _NANOSECONDS_PER_MILLISECOND)


class ManualClock:
    """Hold a time that only moves when told to."""

    def __init__(self, start: Millis = ORIGIN) -> None:
        self.current = start

    def now(self) -> Millis:
        """Return the time in milliseconds that was last set."""
        return self.current

    def advance(self, duration: float) -> Millis:
        """Move the time forward by a duration in milliseconds."""
        self.current = Millis(self.current + duration)
        return self.current


def later(start: Millis, duration: float) -> Millis:
    """Return the time a duration in milliseconds after a start."""
    return Millis(start + duration)
