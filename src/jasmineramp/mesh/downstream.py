"""Admit only as many new calls as services further down can serve.

A call that runs at the upstream of this VM makes calls of its own through this
node. If one of them is refused for lack of slots, the call fails after work
was spent on it, here and at all services between. So the share of new calls
that the upstream admits follows the share of its own calls that are refused,
for each importance by itself: services refuse the least important calls first.
"""

import math
import random

from jasmineramp.ids import Importance
from jasmineramp.mesh.calls import CallResult, Failure
from jasmineramp.refusals import RefusalCode, RunState

# Counts of one tick (100 ms) fade to a tenth in seven ticks.
FADE_FACTOR = 0.7
MIN_CALLS = 5
# A call with five calls of its own still succeeds in 39 of 40 cases.
TOLERATED_REFUSED_SHARE = 0.005
# Server errors of an instance count as refusals above this share only; below
# it, most of them have other causes.
STARVED_REFUSED_SHARE = 0.05
# The effect of a lower share shows after about a second, in which it falls by
# the share of calls that were refused.
DECREASE_PER_TICK = 1 / 8
# The share grows faster with every tick without refusals.
INCREASE_PER_CALM_TICK = 0.001
MAX_CALM_TICKS = 60
# Growth where the services further down have free slots.
INCREASE_WITH_ROOM = 0.15
ROOMY_SHARE = 0.9
# Some calls always pass, to find out whether there is room again.
MIN_ADMITTED_SHARE = 0.05
# The interval of DownstreamPressure.adapt.
TICK_MS = 100


class _Level:
    """Hold the counts and the admitted share of one importance."""

    __slots__ = (
        'admitted_share',
        'calm_ticks',
        'credit',
        'refused',
        'roomy',
        'sent',
    )

    def __init__(self) -> None:
        self.sent = float(0)
        self.refused = float(0)
        # Calls to instances with free slots, there and further down.
        self.roomy = float(0)
        self.admitted_share = float(1)
        self.credit = float(1)
        self.calm_ticks = 0

    def refused_share(self) -> float:
        return self.refused / self.sent if self.sent >= MIN_CALLS else 0

    def has_room(self) -> bool:
        return self.roomy >= ROOMY_SHARE * self.sent

    def admits(self) -> bool:
        """Spread the admitted calls evenly."""
        if self.admitted_share >= 1:
            return True
        self.credit += self.admitted_share
        if self.credit < 1:
            return False
        self.credit -= 1
        return True

    def adapt(self) -> None:
        """Adapt the admitted share to the calls of the last ticks."""
        refused_share = self.refused_share()
        if refused_share > TOLERATED_REFUSED_SHARE:
            self.calm_ticks = 0
            factor = 1 - refused_share * DECREASE_PER_TICK
        elif self.has_room():
            factor = 1 + INCREASE_WITH_ROOM
        else:
            self.calm_ticks = min(self.calm_ticks + 1, MAX_CALM_TICKS)
            factor = 1 + self.calm_ticks * INCREASE_PER_CALM_TICK
        share = self.admitted_share * factor
        self.admitted_share = min(1, max(MIN_ADMITTED_SHARE, share))
        self.sent *= FADE_FACTOR
        self.refused *= FADE_FACTOR
        self.roomy *= FADE_FACTOR


class DownstreamPressure:
    """Track the refused calls that the local upstream makes."""

    def __init__(self, rng: random.Random) -> None:
        self.random = rng
        self.levels: dict[int, _Level] = {}

    def record(
        self, importance: int, *, was_refused: bool, had_room: bool = False
    ) -> None:
        """Count a call that the local upstream made.

        `had_room` tells that the instance that answered had free slots, and so
        had the services that it calls.
        """
        level = self.levels.get(importance)
        if level is None:
            level = self.levels[importance] = _Level()
        level.sent += 1
        level.refused += was_refused
        level.roomy += had_room

    def admits(self, importance: Importance) -> bool:
        """Return whether to admit a new call of this importance."""
        level = self.levels.get(importance)
        return level is None or level.admits()

    def admitted_shares(self) -> dict[int, float]:
        """Return the share of new calls to admit by importance, 1 if absent."""
        return {
            importance: level.admitted_share
            for importance, level in self.levels.items()
        }

    def is_starved(self) -> bool:
        """Return whether calls of the local upstream are being refused."""
        return any(
            level.refused_share() > STARVED_REFUSED_SHARE
            for level in self.levels.values()
        )

    def has_room(self) -> bool:
        """Return whether the services further down have free slots."""
        return all(level.has_room() for level in self.levels.values())

    def recovery_ms(self, importance: Importance) -> float:
        """Return the shortest time until all calls could be admitted again."""
        level = self.levels.get(importance)
        if level is None or level.admitted_share >= 1:
            return 0
        ticks = -math.log(level.admitted_share) / math.log1p(INCREASE_WITH_ROOM)
        return ticks * TICK_MS

    def adapt(self) -> None:
        """Adapt the admitted shares; call every tick."""
        for importance, level in list(self.levels.items()):
            level.adapt()
            if level.sent < 1 and level.admitted_share >= 1:
                del self.levels[importance]


def was_refused_for_load(result: CallResult, *, is_starved: bool) -> bool:
    """Return whether a call failed because a service lacks free slots.

    `is_starved` tells that calls of the instance that answered are being
    refused, so that its server errors stem from them.
    """
    if isinstance(result, Failure):
        return (
            result.run is RunState.not_run
            and result.code is RefusalCode.overloaded
            and not result.may_have_arrived
        )
    return is_starved and result.is_server_error()
