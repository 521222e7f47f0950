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
from jasmineramp.timeline_merge import Sample, merge
from jasmineramp.timeline_rendering import (
    render_html,
    render_lines,
    render_text,
)

_RENDERERS = {'text': render_text, 'json': render_lines, 'html': render_html}
_MILLIS_BY_UNIT = {'s': 1_000, 'm': 60_000, 'h': 3_600_000}


class Gathered(NamedTuple):
    """Hold the pages of the nodes and a note per missing part."""

    samples: list[Sample]
    notes: list[str]


def gather(
    addresses: Iterable[str],
    query: dict[str, str],
    clock: Clock,
) -> Gathered:
    """Ask every node for events; a missing node becomes a note."""
    gathered = Gathered([], [])
    for address in addresses:
        asked = clock.now()
        try:
            document = ask(address, '/events', query)
            page = msgspec.convert(document, EventPage)
        except UnreachableError as error:
            gathered.notes.append(f'node {address} is missing: {error}')
            continue
        except msgspec.ValidationError as error:
            gathered.notes.append(f'node {address} is missing: {error}')
            continue
        gathered.samples.append(Sample(page, asked, clock.now()))
        if page.cut:
            gathered.notes.append(
                f'node {address} has {page.cut} older matching events; '
                'narrow the query or raise --limit',
            )
        if page.dropped:
            gathered.notes.append(
                f'node {address} has dropped its {page.dropped} oldest events',
            )
    return gathered


def parse_age(age: str) -> str:
    """Return an age such as 30s, 5m or 1h in milliseconds."""
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
    --output names a file. Exit status 4: some nodes could not be asked.
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
    gathered = gather(addresses, query, MonotonicClock())
    events = merge(gathered.samples)
    rendered = _RENDERERS[form](events, gathered.notes)
    code = DONE
    if len(gathered.samples) < len(addresses):
        code = PENDING if gathered.samples else FAILED
    if output:
        pathlib.Path(output).write_text(rendered, encoding='utf-8')
        rendered = f'wrote {len(events)} events to {output}'
    document = {
        'notes': gathered.notes,
        'events': [
            {'event': item.event, 'time': item.time, 'pm': item.uncertainty}
            for item in events
        ],
    }
    return Report(rendered, document, code)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the console script."""
    run_command(show_timeline, 'jasmineramp-timeline', arguments)
