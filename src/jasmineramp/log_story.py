"""Tell from the logs of several nodes what became of one request."""

from collections.abc import Iterable
from datetime import UTC, datetime
from typing import Any

import msgspec

# What a node believed this long before it decided on the request.
CONTEXT_S = 5.0
# What a node has lost or regained, and which table it holds.
CONTEXT_EVENTS = frozenset(
    (
        'fault',
        'lease_lost',
        'lines_left_out',
        'member_gone',
        'node_started',
        'node_stopping',
        'peer_changed',
        'store_lost',
        'store_regained',
        'table_in_force',
        'table_unreadable',
        'upstream_changed',
        'upstream_lost',
    )
)
_HEAD = frozenset(('time', 'node', 'event', 'request'))


class LogLine(msgspec.Struct, frozen=True):
    """Hold one line of a node's log; the time is Unix time in seconds."""

    time: float
    node: str
    event: str
    request: str = ''
    fields: dict[str, Any] = {}


class Story(msgspec.Struct, frozen=True):
    """Hold the lines about a request and what the nodes believed before.

    Unread counts the lines that are no log lines of a node.
    """

    request: str
    lines: list[LogLine]
    unread: int


def read_lines(texts: Iterable[str]) -> tuple[list[LogLine], int]:
    """Return the log lines in a text and the number of other lines.

    A collector may have put its own prefix before the JSON object.
    """
    lines = []
    unread = 0
    for text in texts:
        line = _read_line(text)
        if line is not None:
            lines.append(line)
        elif text.strip():
            unread += 1
    return lines, unread


def tell(request: str, lines: Iterable[LogLine], unread: int = 0) -> Story:
    """Return the lines about a request with their context, in time order."""
    ordered = sorted(lines, key=lambda line: line.time)
    own = [line for line in ordered if line.request == request]
    nodes = {line.node for line in own}
    nodes.update(*(line.fields.get('tried') or () for line in own))
    if not own:
        return Story(request, [], unread)
    first, last = own[0].time, own[-1].time
    context = [
        line
        for line in ordered
        if line.event in CONTEXT_EVENTS
        and line.node in nodes
        and first - CONTEXT_S <= line.time <= last
    ]
    told = sorted(own + context, key=lambda line: line.time)
    return Story(request, told, unread)


def render_line(line: LogLine) -> str:
    """Return a line for people: time, node, event and what decided."""
    moment = datetime.fromtimestamp(line.time, UTC)
    clock = moment.strftime('%H:%M:%S.%f')[:-3]
    known = ', '.join(
        f'{name} {_render_value(value)}'
        for name, value in line.fields.items()
        if value not in (None, '', [])
    )
    mark = '*' if line.request else ' '
    return f'{clock} {mark} {line.node}  {line.event}  {known}'


def _read_line(text: str) -> LogLine | None:
    content = text[max(0, text.find('{')) :]
    try:
        found = msgspec.json.decode(content)
        line = msgspec.convert(found, LogLine)
    except msgspec.MsgspecError:
        return None
    fields = {name: each for name, each in found.items() if name not in _HEAD}
    return msgspec.structs.replace(line, fields=fields)


def _render_value(value: object) -> str:
    if isinstance(value, float):
        return f'{value:.4g}' if abs(value) < 1000 else f'{value:.0f}'
    if isinstance(value, list):
        return '/'.join(map(str, value))
    return str(value)
