"""Render a merged timeline as text, JSON lines or one HTML page."""

import html
from collections.abc import Sequence

import msgspec

from jasmineramp.timeline_merge import AlignedEvent

_STYLE = (
    'body{font:14px sans-serif;margin:1em}table{border-collapse:collapse}'
    'td,th{border-bottom:1px solid #ccc;padding:2px 8px;text-align:left;'
    'vertical-align:top}td.time{text-align:right;white-space:nowrap;'
    'font-family:monospace}tr.call_refused{background:#fdd}'
    'p.missing{color:#a00;font-weight:bold}'
)
_COLUMNS = (
    'ms',
    '± ms',
    'node',
    'kind',
    'request',
    'hop',
    'workspace',
    'upstream',
    'fields',
)


def render_text(
    events: Sequence[AlignedEvent],
    notes: Sequence[str] = (),
) -> str:
    """Return one line per event; times are relative to the first event."""
    lines = [f'note: {note}' for note in notes]
    for cells in _rows(events):
        time, uncertainty, node, kind, *rest = cells
        shown = ' '.join(cell for cell in rest if cell)
        lines.append(f'{time:>12} ±{uncertainty:<8} {node} {kind} {shown}')
    return '\n'.join(lines)


def render_lines(
    events: Sequence[AlignedEvent],
    notes: Sequence[str] = (),
) -> str:
    """Return one JSON object per line, notes first."""
    documents: list[object] = [{'note': note} for note in notes]
    for item in events:
        documents.append(
            {
                **msgspec.to_builtins(item.event),
                'merged_time': round(item.time, 3),
                'uncertainty': round(item.uncertainty, 3),
            },
        )
    return '\n'.join(
        msgspec.json.encode(document).decode() for document in documents
    )


def render_html(
    events: Sequence[AlignedEvent],
    notes: Sequence[str] = (),
) -> str:
    """Return a self-contained HTML page."""
    missing = ''.join(
        f'<p class="missing">{html.escape(note)}</p>' for note in notes
    )
    head = ''.join(f'<th>{name}</th>' for name in _COLUMNS)
    body = ''.join(
        f'<tr class="{html.escape(cells[3], quote=True)}">'
        f'<td class="time">{cells[0]}</td><td class="time">{cells[1]}</td>'
        + ''.join(f'<td>{html.escape(cell)}</td>' for cell in cells[2:])
        + '</tr>\n'
        for cells in _rows(events)
    )
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f'<title>jasmineramp timeline</title><style>{_STYLE}</style></head>'
        f'<body><h1>Timeline, {len(events)} events</h1>{missing}'
        f'<table><tr>{head}</tr>\n{body}</table></body></html>\n'
    )


def _rows(events: Sequence[AlignedEvent]) -> list[tuple[str, ...]]:
    start = min((item.time for item in events), default=0)
    return [
        (
            f'{item.time - start:.1f}',
            f'{item.uncertainty:.1f}',
            item.event.node,
            item.event.kind,
            item.event.request_id,
            '' if item.event.hop is None else str(item.event.hop),
            item.event.workspace,
            item.event.upstream,
            ' '.join(
                f'{name}={cell}' for name, cell in item.event.fields.items()
            ),
        )
        for item in events
    ]
