"""Reconstruct the history of a request from the logs of several nodes."""

from collections.abc import Iterable
from datetime import UTC, datetime
from typing import Any

import msgspec

from jasmineramp.decoding import ForeignDecoder

# Context events are included from this long before the first request line.
CONTEXT_SECONDS = 5.0
# What a node lost or regained, and which table it held; these explain its
# decisions about the request.
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
_COMMON_FIELDS = frozenset(('time', 'node', 'event', 'request'))

_decoder: ForeignDecoder[Any] = ForeignDecoder(msgspec.json.Decoder())


class LogLine(msgspec.Struct, frozen=True):
    """Hold one line of a node's log; the time is Unix time in seconds."""

    time: float
    node: str
    event: str
    request: str = ''
    fields: dict[str, Any] = {}


class RequestHistory(msgspec.Struct, frozen=True):
    """Hold the log lines of a request and the preceding context events.

    unread counts the lines that are not log lines of a node.
    """

    request: str
    lines: list[LogLine]
    unread: int


def read_lines(texts: Iterable[str]) -> tuple[list[LogLine], int]:
    """Return the log lines in the texts and the number of other lines.

    A log collector may have added a prefix before the JSON object.
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


def build_history(
    request: str, lines: Iterable[LogLine], unread: int = 0
) -> RequestHistory:
    """Return the log lines and context of a request, ordered by time."""
    ordered = sorted(lines, key=lambda line: line.time)
    request_lines = [line for line in ordered if line.request == request]
    nodes = {line.node for line in request_lines}
    nodes.update(*(line.fields.get('tried') or () for line in request_lines))
    if not request_lines:
        return RequestHistory(request, [], unread)
    first, last = request_lines[0].time, request_lines[-1].time
    context = [
        line
        for line in ordered
        if line.event in CONTEXT_EVENTS
        and line.node in nodes
        and first - CONTEXT_SECONDS <= line.time <= last
    ]
    entries = sorted(request_lines + context, key=lambda line: line.time)
    return RequestHistory(request, entries, unread)


def render_line(line: LogLine) -> str:
    """Format a log line; `*` marks lines of the request."""
    timestamp = datetime.fromtimestamp(line.time, UTC)
    clock = timestamp.strftime('%H:%M:%S.%f')[:-3]
    details = ', '.join(
        f'{name} {_render_value(value)}'
        for name, value in line.fields.items()
        if value not in (None, '', [])
    )
    marker = '*' if line.request else ' '
    return f'{clock} {marker} {line.node}  {line.event}  {details}'


def _read_line(text: str) -> LogLine | None:
    content = text[max(0, text.find('{')) :]
    try:
        document = _decoder.decode(content.encode(errors='replace'))
        line = msgspec.convert(document, LogLine)
    except msgspec.MsgspecError:
        return None
    fields = {
        name: item
        for name, item in document.items()
        if name not in _COMMON_FIELDS
    }
    return msgspec.structs.replace(line, fields=fields)


def _render_value(value: object) -> str:
    if isinstance(value, float):
        return f'{value:.4g}' if abs(value) < 1000 else f'{value:.0f}'
    if isinstance(value, list):
        return '/'.join(map(str, value))
    return str(value)
