"""Print the merged timeline of several nodes."""

import pathlib
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import msgspec

from jasmineramp.clock import Clock, MonotonicClock
from jasmineramp.command_output import (
    DONE,
    FAILED,
    PENDING,
    Report,
    run_command,
    text,
)
from jasmineramp.exceptions import UnreachableError
from jasmineramp.operator_client import InputError, ask, parse_nodes
from jasmineramp.timeline import EventPage
from jasmineramp.timeline_merge import TimedPage, merge
from jasmineramp.timeline_rendering import (
    render_html,
    render_lines,
    render_text,
)

_RENDERERS = {'text': render_text, 'json': render_lines, 'html': render_html}
_MILLIS_BY_UNIT = {'s': 1_000, 'm': 60_000, 'h': 3_600_000}


class CollectedEvents(NamedTuple):
    """Hold the pages of the nodes and notes on missing nodes and events."""

    timed_pages: list[TimedPage]
    notes: list[str]


def collect_events(
    addresses: Iterable[str],
    query: dict[str, str],
    clock: Clock,
) -> CollectedEvents:
    """Query the events of every node; a node that fails becomes a note."""
    collected = CollectedEvents([], [])
    for address in addresses:
        sent_at = clock.now()
        try:
            document = ask(address, '/events', query)
            page = msgspec.convert(document, EventPage)
        except UnreachableError as error:
            collected.notes.append(f'node {address} is missing: {error}')
            continue
        except msgspec.ValidationError as error:
            collected.notes.append(f'node {address} is missing: {error}')
            continue
        collected.timed_pages.append(TimedPage(page, sent_at, clock.now()))
        if page.cut:
            collected.notes.append(
                f'node {address} has {page.cut} older matching events; '
                'narrow the query or raise --limit',
            )
        if page.dropped:
            collected.notes.append(
                f'node {address} has dropped its {page.dropped} oldest events',
            )
    return collected


def parse_age(age: str) -> str:
    """Convert an age such as 30s, 5m or 1h to milliseconds, as text."""
    number, unit = age[:-1], age[-1:]
    try:
        duration = float(number) * _MILLIS_BY_UNIT[unit]
    except (ValueError, KeyError):
        raise InputError(
            f'{age!r} is not a time span',
            'write a number with s, m or h, for example 30s',
        ) from None
    return str(duration)


@text()
def show_timeline(
    nodes: str,
    *,
    request: str = '',
    workspace: str = '',
    upstream: str = '',
    kind: str = '',
    last: str = '',
    until: str = '',
    limit: str = '1000',
    form: str = 'text',
    output: str = '',
) -> Report:
    """Merge events of --nodes host:port,... (operator ports).

    --last 30s and --until 10s select by age; --form is text, json or html;
    --output writes to a file. Exit status 4: some nodes did not answer.
    """
    if form not in _RENDERERS:
        raise InputError(
            f'--form {form!r} is not known', 'use text, json, html'
        )
    query = {
        'request_id': request,
        'workspace': workspace,
        'upstream': upstream,
        'kind': kind,
        'limit': limit,
    }
    if last:
        query['oldest_age'] = parse_age(last)
    if until:
        query['newest_age'] = parse_age(until)
    addresses = parse_nodes(nodes)
    collected = collect_events(addresses, query, MonotonicClock())
    events = merge(collected.timed_pages)
    rendered = _RENDERERS[form](events, collected.notes)
    code = DONE
    if len(collected.timed_pages) < len(addresses):
        code = PENDING if collected.timed_pages else FAILED
    if output:
        pathlib.Path(output).write_text(rendered, encoding='utf-8')
        rendered = f'wrote {len(events)} events to {output}'
    document = {
        'notes': collected.notes,
        'events': [
            {'event': item.event, 'time': item.time, 'pm': item.uncertainty}
            for item in events
        ],
    }
    return Report(rendered, document, code)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the console script."""
    run_command(show_timeline, 'jasmineramp-timeline', arguments)
