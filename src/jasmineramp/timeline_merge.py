"""Merge the timelines of several nodes into one order."""

import heapq
from collections import defaultdict
from collections.abc import Iterable, Sequence
from itertools import pairwise
from typing import NamedTuple

from jasmineramp.clock import Millis
from jasmineramp.timeline import EventPage, TimelineEvent

# Clocks of unsynchronised VMs differ by less than this part.
CLOCK_DRIFT = 0.0002
# A caller's call ends after the call that it waits for.
ENDINGS = frozenset(('call_finished', 'call_refused'))
_LARGEST_GROUP = 200


class Sample(NamedTuple):
    """Hold a node's page with the asker's clock around the question."""

    page: EventPage
    asked: Millis
    answered: Millis


class PlacedEvent(NamedTuple):
    """Hold an event with its time on the asker's clock, in ms.

    The true time lies within the uncertainty around the given one.
    """

    event: TimelineEvent
    time: float
    uncertainty: float


def place(sample: Sample) -> list[PlacedEvent]:
    """Return the events of a node with times on the asker's clock."""
    middle = (sample.asked + sample.answered) / 2
    half = (sample.answered - sample.asked) / 2
    placed = []
    for event in sample.page.events:
        age = sample.page.now - event.time
        uncertainty = half + abs(age) * CLOCK_DRIFT
        placed.append(PlacedEvent(event, middle - age, uncertainty))
    return placed


def merge(samples: Iterable[Sample]) -> list[PlacedEvent]:
    """Return all events in one order.

    The order of one node's events holds always. Events of one request on
    neighbouring hops are ordered by cause unless their times contradict
    it; everything else is ordered by time.
    """
    placed: list[PlacedEvent] = []
    followers: dict[int, set[int]] = defaultdict(set)
    for sample in samples:
        start = len(placed)
        placed += sorted(place(sample), key=lambda item: item.event.sequence)
        for before, after in pairwise(range(start, len(placed))):
            followers[before].add(after)
    for before, after in _causes(placed):
        followers[before].add(after)
    return [placed[index] for index in _sort(placed, followers)]


def _causes(placed: Sequence[PlacedEvent]) -> Iterable[tuple[int, int]]:
    groups: dict[tuple[str, bool, int], list[int]] = defaultdict(list)
    for index, item in enumerate(placed):
        event = item.event
        if event.request_id and event.hop is not None:
            ends = event.kind in ENDINGS
            groups[event.request_id, ends, event.hop].append(index)
    for (request_id, ends, hop), shallow in groups.items():
        deep = groups.get((request_id, ends, hop + 1), [])
        if max(len(shallow), len(deep)) > _LARGEST_GROUP:
            continue
        first, second = (deep, shallow) if ends else (shallow, deep)
        for before in first:
            for after in second:
                if _may_precede(placed[before], placed[after]):
                    yield before, after


def _may_precede(before: PlacedEvent, after: PlacedEvent) -> bool:
    # A call that ran into its deadline ends before the one it waited for.
    earliest = before.time - before.uncertainty
    return earliest <= after.time + after.uncertainty


def _sort(
    placed: Sequence[PlacedEvent],
    followers: dict[int, set[int]],
) -> Iterable[int]:
    waiting = [0] * len(placed)
    for group in followers.values():
        for follower in group:
            waiting[follower] += 1
    ready = [
        (item.time, index)
        for index, item in enumerate(placed)
        if not waiting[index]
    ]
    heapq.heapify(ready)
    left = set(range(len(placed)))
    while left:
        if ready:
            _, index = heapq.heappop(ready)
        else:
            # Contradicting causes: the earliest event goes first.
            _, index = min((placed[other].time, other) for other in left)
        if index not in left:
            continue
        left.discard(index)
        yield index
        for after in followers.get(index, ()):
            waiting[after] -= 1
            if not waiting[after]:
                heapq.heappush(ready, (placed[after].time, after))
