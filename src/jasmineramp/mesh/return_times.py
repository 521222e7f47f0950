"""Tell refused callers when to return, by when room is expected.

The load it handles is a burst of seconds whose refused callers return once.
Callers that return together, or while the burst lasts, are refused again. Each
caller that will return gets the next return time of a virtual queue. Return
times follow each other at the rate at which the instance ends calls beyond
those that arrive.
"""

import math
import random

import msgspec

from jasmineramp.clock import MILLIS_PER_SECOND, ORIGIN, Millis, later

# A shorter delay ends before the refused caller has a new connection.
MIN_RETURN_MS = 20.0
# The smallest delay that the header can tell.
SMALLEST_RETURN_MS = 1.0
# Callers honour up to a third of their remaining time; the difference covers
# the way of the refusal to the caller.
HONOURED_FRACTION = 0.3
# Part of the slack (remaining time less the expected work) that may pass before
# the return. The rest is for the queue and for longer work.
USABLE_SLACK_FRACTION = 0.75
# Delays are shortened by up to this part at random.
JITTER = 0.25
# Under overload no calls end beyond those that arrive, but the overload ends.
MIN_SPARE_FRACTION = 0.1
# Short against bursts of 3 s and long against the time between two calls.
ARRIVAL_WINDOW_MS = 1000.0


class CallerTime(msgspec.Struct, frozen=True, gc=False):
    """Hold the times in ms that a caller has and that its call needs.

    The objective is the remaining time of the latency objective, None if there
    is none.
    """

    remaining_ms: float
    objective_ms: float | None = None
    needed_ms: float = 0

    def latest_return_ms(self) -> float:
        """Return the longest delay that the caller honours and can use."""
        end_ms = self.remaining_ms
        if self.objective_ms is not None:
            end_ms = min(end_ms, self.objective_ms)
        useful_ms = (end_ms - self.needed_ms) * USABLE_SLACK_FRACTION
        honoured_ms = self.remaining_ms * HONOURED_FRACTION
        return max(0, min(useful_ms, honoured_ms))


class ReturnTimes:
    """Give out the return times of one instance.

    It keeps the next return time and the recent number of arrivals with the
    time of the last one.
    """

    def __init__(self, rng: random.Random) -> None:
        self.random = rng
        self.next_return = ORIGIN
        self.recent_arrivals = float(0)
        self.last_arrival = ORIGIN

    def count_arrival(self, now: Millis) -> None:
        """Count a call that arrives, whether it is refused or not."""
        self.recent_arrivals = self._faded_arrivals(now) + 1
        self.last_arrival = now

    def promise_ms(
        self,
        caller: CallerTime,
        now: Millis,
        *,
        capacity_per_s: float,
        room_after_ms: float = 0,
        takes_turn: bool = True,
    ) -> float:
        """Return the delay until the next return time, and take that time.

        Room is expected after `room_after_ms` at the earliest.
        """
        spare_per_s = max(
            capacity_per_s - self._arrivals_per_s(now),
            capacity_per_s * MIN_SPARE_FRACTION,
        )
        latest_ms = caller.latest_return_ms()
        if spare_per_s <= 0:
            # The time that a call takes here is not known yet.
            return spread_ms(caller, latest_ms, self.random)
        start = max(self.next_return, now + room_after_ms)
        interval_ms = MILLIS_PER_SECOND / spare_per_s
        # A caller that can't wait for its turn returns earlier and takes no
        # later time from others.
        delay_ms = min(start + interval_ms - now, latest_ms)
        if takes_turn:
            self.next_return = max(self.next_return, later(now, delay_ms))
        return spread_ms(caller, delay_ms, self.random)

    def _arrivals_per_s(self, now: Millis) -> float:
        per_ms = self._faded_arrivals(now) / ARRIVAL_WINDOW_MS
        return per_ms * MILLIS_PER_SECOND

    def _faded_arrivals(self, now: Millis) -> float:
        age_ms = now - self.last_arrival
        return self.recent_arrivals * math.exp(-age_ms / ARRIVAL_WINDOW_MS)


def spread_ms(caller: CallerTime, delay_ms: float, rng: random.Random) -> float:
    """Return a delay with jitter, within what the caller can use."""
    latest_ms = caller.latest_return_ms()
    bounded_ms = min(delay_ms, latest_ms) * rng.uniform(1 - JITTER, 1)
    smallest_ms = max(
        SMALLEST_RETURN_MS,
        min(MIN_RETURN_MS, caller.remaining_ms * HONOURED_FRACTION),
    )
    return max(smallest_ms, bounded_ms)
