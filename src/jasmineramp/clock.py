"""Provide monotonic time in milliseconds."""

import time
from typing import NewType, Protocol

Millis = NewType('Millis', float)

_NANOSECONDS_PER_MILLISECOND = 1_000_000
ORIGIN = Millis(0)
MILLIS_PER_SECOND = 1000


class Clock(Protocol):
    """Provide the current monotonic time."""

    def now(self) -> Millis:
        """Return the time in milliseconds since an arbitrary origin."""


class MonotonicClock:
    """Read the monotonic clock of the machine."""

    def now(self) -> Millis:
        """Return the time in milliseconds since an arbitrary origin."""
        return Millis(time.monotonic_ns() / _NANOSECONDS_PER_MILLISECOND)


class ManualClock:
    """Provide a time that changes only when it is advanced."""

    def __init__(self, start: Millis = ORIGIN) -> None:
        self.current = start

    def now(self) -> Millis:
        """Return the current time in milliseconds."""
        return self.current

    def advance(self, duration: float) -> Millis:
        """Advance by a duration in milliseconds and return the new time."""
        self.current = Millis(self.current + duration)
        return self.current


def read_unix_ms() -> int:
    """Return the time of day; it may be set back or differ between VMs."""
    return time.time_ns() // _NANOSECONDS_PER_MILLISECOND


def later(start: Millis, duration: float) -> Millis:
    """Return the time that is a duration in milliseconds after a start."""
    return Millis(start + duration)
