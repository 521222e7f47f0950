"""Decide which connections of callers go first when resources are short.

Load: untrusted clients that send or request much and then stall, or that open
connections up to the limit of the process.
"""

import enum
from collections.abc import Iterable, Sequence

import msgspec

from jasmineramp.mesh.receive_limits import KIBIBYTE

# Connections that hold no more may use the reserve, so that ordinary requests
# are still served when large ones have filled the budget.
SMALL_HOLDING_BYTES = 16 * KIBIBYTE
SMALL_RESERVE_FRACTION = 1 / 4
# A transfer moves if this much, and this part of what is held, went through
# since it last did: less than a modem, but more than a byte now and then.
MIN_MOVED_BYTES = 4 * KIBIBYTE
MOVED_FRACTION = 1 / 16
# How long a connection may stand still before its memory may be freed, by the
# use of the budget. Responses are never refused memory, so that use may
# exceed the budget until slow readers have been cut off.
_STALL_MS_BY_USE = ((1.25, 1_000.0), (1.5, 250.0))
_LEAST_STALL_MS = 100.0
# Freed beyond what is needed, so that not every request needs a search.
SPARE_FRACTION = 1 / 16
# A new connection or request may stand still for this long before it counts as
# stalled; callers send a request at once.
PATIENCE_MS = 1_000.0


class Activity(enum.Enum):
    """Name what a connection does."""

    idle = 'idle'
    # It has not sent a request yet, or has been refused.
    unused = 'unused'
    # It sends a request or takes a response.
    transfer = 'transfer'
    # A request was passed on, so its response must be delivered.
    running = 'running'
    # The same, and responses to later requests wait for this one.
    blocking = 'blocking'


_CAN_STALL = frozenset((Activity.unused, Activity.transfer))
# From this use of the budget on, responses that wait for earlier ones go too.
_BLOCKING_USE = 1.25


class Holding(msgspec.Struct, frozen=True, gc=False):
    """Hold what a connection takes and for how long it has stood still."""

    key: int
    activity: Activity
    held_bytes: int
    stalled_ms: float


def has_moved(moved_bytes: int, held_bytes: int) -> bool:
    """Return whether a transfer makes progress."""
    return moved_bytes >= max(MIN_MOVED_BYTES, held_bytes * MOVED_FRACTION)


def limit_for(held_bytes: int, total_bytes: int) -> int:
    """Return how far the budget may be used by a connection of this size."""
    if held_bytes > SMALL_HOLDING_BYTES:
        return total_bytes
    return int(total_bytes * (1 + SMALL_RESERVE_FRACTION))


def least_stall_ms(use: float) -> float:
    """Return for how long a connection must have stood still to be cut off.

    `use` is the used part of the budget.
    """
    for limit, stall_ms in _STALL_MS_BY_USE:
        if use <= limit:
            return stall_ms
    return _LEAST_STALL_MS


def choose_for_memory(
    holdings: Iterable[Holding], needed_bytes: int, use: float
) -> list[int]:
    """Return the keys of the connections to cut off, the first one first.

    Those that hold the most for the longest without progress go first. One
    that makes progress never goes, nor does one whose request was passed on,
    unless its caller has sent others ahead whose responses fill the memory.
    """
    stall_ms = least_stall_ms(use)
    protected = {Activity.running}
    if use <= _BLOCKING_USE:
        protected.add(Activity.blocking)
    stalled = [
        each
        for each in holdings
        if each.held_bytes
        and each.stalled_ms >= stall_ms
        and each.activity not in protected
    ]
    stalled.sort(
        key=lambda each: each.held_bytes * each.stalled_ms, reverse=True
    )
    chosen: list[int] = []
    for each in stalled:
        if needed_bytes <= 0:
            break
        needed_bytes -= each.held_bytes
        chosen.append(each.key)
    return chosen


def choose_for_descriptors(
    holdings: Sequence[Holding], stalled_count: int, idle_count: int
) -> list[int]:
    """Return the keys of the connections to close, the longest first.

    Idle ones, which callers may be about to use again, go only if none has
    stalled.
    """
    chosen = [
        each
        for each in holdings
        if each.activity in _CAN_STALL and each.stalled_ms >= PATIENCE_MS
    ]
    count = stalled_count
    if not chosen:
        chosen = [each for each in holdings if each.activity is Activity.idle]
        count = idle_count
    chosen.sort(key=lambda each: each.stalled_ms, reverse=True)
    return [each.key for each in chosen[:count]]
