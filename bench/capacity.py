"""Recompute the tables of docs/CAPACITY.md from the measured slopes.

Reads docs/slopes.json: for each figure its value, unit, spread and the
command that measured it. Replaces the text between the markers of the page;
with --check it only tells whether the page is up to date.
"""

import json
import pathlib
import sys

import fire

DOCS = pathlib.Path(__file__).parent.parent / 'docs'
PAGE = DOCS / 'CAPACITY.md'
BEGIN = '<!-- begin computed -->'
END = '<!-- end computed -->'

NODES = 1500
DOMAINS = 14
CALLS = 270_000
CHANGES_A_DAY = 1500
RESTARTS_A_DAY = 327
DAY = 86_400
CPU_LIMIT = 1.1
MEMORY_LIMIT = 64
BYTES_LIMIT = 18.0


def _load() -> dict[str, float]:
    entries = json.loads((DOCS / 'slopes.json').read_text())
    return {name: entry['value'] for name, entry in entries.items()}


def compute() -> str:
    """Return the tables for the target size."""
    slope = _load()
    nodes_in_domain = NODES / DOMAINS
    edits = CHANGES_A_DAY / DAY
    membership = slope['membership_bytes'] / 1000
    edit_bytes = edits * slope['edit_bytes'] / 1000
    configuration = slope['configuration_idle_bytes'] / 1000 + edit_bytes
    rates = slope['rate_bytes'] / 1000
    control = membership + configuration + rates
    cpu = (
        slope['idle_cpu']
        + slope['membership_cpu']
        + slope['rate_cpu']
        + edits * slope['edit_decode_ms'] / 10
    )
    memory = (
        slope['idle_memory']
        + NODES * slope['entry_bytes'] / 1e6
        + slope['buckets'] * slope['bucket_bytes'] / 1e6
    )
    rows = [
        ('role', 'state', 'messages/s', 'KB/s sent', 'processor', 'platform'),
        ('---',) * 6,
        (
            'node: membership',
            f'{NODES} entries, {NODES * slope["entry_bytes"] / 1e6:.2f} MB',
            f'{slope["membership_messages"]:.1f}',
            f'{membership:.2f}',
            f'{slope["membership_cpu"]:.3f}%',
            'none',
        ),
        (
            'node: configuration',
            'table and its revisions',
            f'{slope["configuration_idle_messages"]:.1f}',
            f'{configuration:.2f}',
            f'{edits * slope["edit_decode_ms"] / 10:.4f}%',
            'none',
        ),
        (
            'node: rates',
            f'{slope["buckets"]:.0f} buckets, '
            f'{slope["buckets"] * slope["bucket_bytes"] / 1e3:.0f} KB',
            f'{slope["rate_messages"]:.0f}',
            f'{rates:.2f}',
            f'{slope["rate_cpu"]:.2f}%',
            f'{NODES / 3600 * 2:.2f}/s for all slots',
        ),
        (
            'node: process',
            'libraries, threads',
            '',
            '',
            f'{slope["idle_cpu"]:.2f}%',
            '',
        ),
        (
            '**node, sum**',
            f'{memory:.0f} MB of {MEMORY_LIMIT}',
            '',
            f'{control:.1f} of {BYTES_LIMIT:.0f}',
            f'{cpu:.2f}% of {CPU_LIMIT}%',
            '',
        ),
        (
            'exchange of a failure domain',
            f'reports of {nodes_in_domain:.0f} nodes',
            '',
            f'{slope["exchange_bytes"] / 1000:.0f} of {BYTES_LIMIT:.0f}',
            'not measured',
            'none',
        ),
        (
            'watcher (2 in a domain)',
            'none',
            '',
            '',
            '',
            f'{2 * DOMAINS / slope["watch_wait_s"]:.1f}/s, '
            f'{2 * DOMAINS} waiting',
        ),
        (
            'collector of acknowledgements',
            f'{nodes_in_domain:.0f} revisions',
            '',
            '',
            '',
            f'{edits * slope["edit_store_calls"]:.2f}/s',
        ),
        (
            'claim owner (1 in a domain)',
            f'{slope["claim_bytes"]:.0f} B a claim',
            '',
            '',
            f'{slope["claim_cpu_us"]:.0f} us a claim',
            f'{slope["claim_writes"] * DOMAINS:.0f}/s for all',
        ),
    ]
    calls = CALLS / NODES
    instance = calls * slope['instance_ms'] / 10
    entry = calls * slope['entry_ms'] / 10
    lines = ['| ' + ' | '.join(row) + ' |' for row in rows]
    lines += [
        '',
        f'Calls: {calls:.0f} a second for each node, each passing an entry '
        f'node and an instance node: {entry:.0f}% + {instance:.0f}% of a core '
        f'at {slope["entry_ms"]:.2f} and {slope["instance_ms"]:.2f} ms of '
        'processor time. This is the data path and not part of the 1.1%.',
        '',
        f'Restarts: {RESTARTS_A_DAY} a day are {RESTARTS_A_DAY / DAY:.4f} a '
        'second; each costs 4 platform calls for its rate slot.',
    ]
    return '\n'.join(lines)


def run(check: bool = False) -> None:
    """Write the tables into the page, or check that they are current."""
    text = PAGE.read_text(encoding='utf-8')
    head, _, rest = text.partition(BEGIN)
    _, _, tail = rest.partition(END)
    page = f'{head}{BEGIN}\n{compute()}\n{END}{tail}'
    if check:
        if page != text:
            print('docs/CAPACITY.md is out of date: run bench.capacity')
            sys.exit(1)
        return
    PAGE.write_text(page, encoding='utf-8')


if __name__ == '__main__':
    fire.Fire(run)
