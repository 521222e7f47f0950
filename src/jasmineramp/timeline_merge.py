"""Merge the timelines of several nodes into one order of events."""

import heapq
from collections import defaultdict
from collections.abc import Iterable, Sequence
from itertools import pairwise
from typing import NamedTuple

from jasmineramp.clock import Millis
from jasmineramp.timeline import EventPage, TimelineEvent

# Upper bound for the relative drift between clocks of unsynchronised VMs.
MAX_CLOCK_DRIFT = 0.0002
# Kinds that end a call; a caller's call ends after the call it waits for.
END_KINDS = frozenset(('call_finished', 'call_refused'))
_MAX_GROUP_SIZE = 200


class TimedPage(NamedTuple):
    """Hold a page of a node with the local times of request and response."""

    page: EventPage
    sent_at: Millis
    received_at: Millis


class AlignedEvent(NamedTuple):
    """Hold an event with its time on the local clock, in ms.

    The true time differs from it by at most the uncertainty.
    """

    event: TimelineEvent
    time: float
    uncertainty: float


def align_clock(timed_page: TimedPage) -> list[AlignedEvent]:
    """Return the events of a node with times on the local clock."""
    midpoint = (timed_page.sent_at + timed_page.received_at) / 2
    half_round_trip_ms = (timed_page.received_at - timed_page.sent_at) / 2
    aligned = []
    for event in timed_page.page.events:
        age = timed_page.page.now - event.time
        uncertainty = half_round_trip_ms + abs(age) * MAX_CLOCK_DRIFT
        aligned.append(AlignedEvent(event, midpoint - age, uncertainty))
    return aligned


def merge(timed_pages: Iterable[TimedPage]) -> list[AlignedEvent]:
    """Return all events in one order.

    Events of one node keep their order. Events of one request on adjacent
    hops are ordered by cause and effect unless their times contradict it;
    all others are ordered by time.
    """
    aligned: list[AlignedEvent] = []
    successors: dict[int, set[int]] = defaultdict(set)
    for timed_page in timed_pages:
        start = len(aligned)
        aligned += sorted(
            align_clock(timed_page), key=lambda item: item.event.sequence
        )
        for before, after in pairwise(range(start, len(aligned))):
            successors[before].add(after)
    for before, after in _causal_pairs(aligned):
        successors[before].add(after)
    return [aligned[index] for index in _topological_order(aligned, successors)]


def _causal_pairs(aligned: Sequence[AlignedEvent]) -> Iterable[tuple[int, int]]:
    groups: dict[tuple[str, bool, int], list[int]] = defaultdict(list)
    for index, item in enumerate(aligned):
        event = item.event
        if event.request_id and event.hop is not None:
            is_end = event.kind in END_KINDS
            groups[event.request_id, is_end, event.hop].append(index)
    for (request_id, is_end, hop), caller_events in groups.items():
        callee_events = groups.get((request_id, is_end, hop + 1), [])
        if max(len(caller_events), len(callee_events)) > _MAX_GROUP_SIZE:
            continue
        first, second = (
            (callee_events, caller_events)
            if is_end
            else (caller_events, callee_events)
        )
        for before in first:
            for after in second:
                if _may_precede(aligned[before], aligned[after]):
                    yield before, after


def _may_precede(before: AlignedEvent, after: AlignedEvent) -> bool:
    # A call whose deadline expired ends before the call that it waited for.
    earliest = before.time - before.uncertainty
    return earliest <= after.time + after.uncertainty


def _topological_order(
    aligned: Sequence[AlignedEvent],
    successors: dict[int, set[int]],
) -> Iterable[int]:
    predecessor_counts = [0] * len(aligned)
    for group in successors.values():
        for successor in group:
            predecessor_counts[successor] += 1
    ready = [
        (item.time, index)
        for index, item in enumerate(aligned)
        if not predecessor_counts[index]
    ]
    heapq.heapify(ready)
    remaining = set(range(len(aligned)))
    while remaining:
        if ready:
            _, index = heapq.heappop(ready)
        else:
            # The causal order has a cycle; it is broken at the earliest event.
            _, index = min((aligned[other].time, other) for other in remaining)
        if index not in remaining:
            continue
        remaining.discard(index)
        yield index
        for after in successors.get(index, ()):
            predecessor_counts[after] -= 1
            if not predecessor_counts[after]:
                heapq.heappush(ready, (aligned[after].time, after))
