"""Record the events of one node in a bounded buffer and query them."""

from collections import deque
from collections.abc import Mapping
from itertools import islice
from typing import Any

import msgspec

from jasmineramp.clock import Millis
from jasmineramp.ids import NodeId

EVENT_CAPACITY = 10_000
MAX_TEXT_CHARS = 300
MAX_PAGE_EVENTS = 5_000
# Callers' keys must not be stored, even if an event contains them.
SECRET_FIELDS = frozenset(
    ('key', 'api_key', 'authorization', 'cookie', 'token', 'idempotency_key'),
)
_ATTRIBUTE_FIELDS = frozenset(('request_id', 'workspace', 'upstream', 'hop'))


class TimelineEvent(msgspec.Struct, frozen=True):
    """Hold an event; the sequence orders the events of one node.

    The time is that of the node's clock. Hop 0 is the call at the entry node.
    """

    sequence: int
    time: Millis
    node: NodeId
    kind: str
    request_id: str = ''
    workspace: str = ''
    upstream: str = ''
    hop: int | None = None
    fields: dict[str, Any] = {}


class EventQuery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Select events; ages are ms before now, an empty text matches all."""

    request_id: str = ''
    workspace: str = ''
    upstream: str = ''
    kind: str = ''
    oldest_age: float | None = None
    newest_age: float = 0
    limit: int = 1_000


class EventPage(msgspec.Struct, frozen=True):
    """Answer a query with the newest events, oldest first.

    now is the node's clock; dropped counts all events that the full buffer
    has discarded; cut counts older matching events beyond the query's limit.
    """

    node: NodeId
    now: Millis
    events: list[TimelineEvent]
    dropped: int = 0
    cut: int = 0


class Timeline:
    """Hold the newest events of one node, up to a capacity."""

    def __init__(self, node: NodeId, capacity: int = EVENT_CAPACITY) -> None:
        self.node = node
        self.events: deque[TimelineEvent] = deque(maxlen=capacity)
        self.recorded_count = 0


def record(
    timeline: Timeline,
    kind: str,
    fields: Mapping[str, Any],
    now: Millis,
) -> None:
    """Record an event; a full buffer discards its oldest one.

    Secret fields are omitted and long texts truncated.
    """
    timeline.recorded_count += 1
    timeline.events.append(
        TimelineEvent(
            timeline.recorded_count,
            now,
            timeline.node,
            kind,
            fields.get('request_id', ''),
            fields.get('workspace', ''),
            fields.get('upstream', ''),
            fields.get('hop'),
            {
                name: cell[:MAX_TEXT_CHARS] if isinstance(cell, str) else cell
                for name, cell in fields.items()
                if name not in SECRET_FIELDS and name not in _ATTRIBUTE_FIELDS
            },
        ),
    )


def select(timeline: Timeline, query: EventQuery, now: Millis) -> EventPage:
    """Return the newest events that match a query, up to its limit."""
    oldest = -float('inf')
    if query.oldest_age is not None:
        oldest = now - query.oldest_age
    newest = now - query.newest_age
    matching = [
        event
        for event in timeline.events
        if oldest <= event.time <= newest and _matches(event, query)
    ]
    limit = max(0, min(query.limit, MAX_PAGE_EVENTS))
    cut = max(0, len(matching) - limit)
    return EventPage(
        timeline.node,
        now,
        list(islice(matching, cut, None)),
        timeline.recorded_count - len(timeline.events),
        cut,
    )


def _matches(event: TimelineEvent, query: EventQuery) -> bool:
    pairs = (
        (query.request_id, event.request_id),
        (query.workspace, event.workspace),
        (query.upstream, event.upstream),
        (query.kind, event.kind),
    )
    return all(not wanted or wanted == actual for wanted, actual in pairs)
