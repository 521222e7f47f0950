"""Run a small fleet through an overload and explain what was refused.

Two failure domains with three instances each. The service reports is slow
and casedesk calls it, so status reads are the deep calls. The demand rises
to about three times the capacity of casedesk, and the workspace zurich sends
several times its rate.
"""

import hashlib
import pathlib
import random
import re
import subprocess
import sys
import time

import fire

from bench.fleet import SCRIPTS, Fleet, Instance
from bench.load import LoadGenerator, Stream

TABLE = pathlib.Path(__file__).parent.parent / 'examples' / 'table.json5'
WORKSPACES = {'zurich': 4.0, 'bern': 1.0, 'uri': 0.8, 'glarus': 0.8}
RATES = {'zurich': 120, 'bern': 80, 'uri': 20, 'glarus': 20}
SECONDS = 12


def _make_table(keys: dict[str, str]) -> str:
    rows = ', '.join(
        f"{{digest: '{hashlib.sha256(key.encode()).hexdigest()}', "
        f"workspace: '{name}'}}"
        for name, key in keys.items()
    )
    return re.sub(r'keys: \[\]', f'keys: [{rows}]', TABLE.read_text())


def _make_streams(keys: dict[str, str]) -> list[Stream]:
    streams = []
    for name, factor in WORKSPACES.items():
        rate = RATES[name] * factor
        streams += [
            Stream(name, keys[name], '/status/1', rate * 0.6, attempts=2),
            Stream(name, keys[name], '/photos/1', rate * 0.2, method='PUT'),
            Stream(
                name,
                keys[name],
                '/approvals/1',
                rate * 0.2,
                method='POST',
                idempotent=False,
            ),
        ]
    return streams


def run(seconds: float = SECONDS, seed: int = 7, port: int = 22_000) -> None:
    """Start the fleet, overload it and print the outcome."""
    rng = random.Random(seed)
    keys = {name: f'{rng.getrandbits(160):040x}' for name in WORKSPACES}
    instances = [
        Instance('casedesk', 'west-a', 10, 40, onward='/reports/1'),
        Instance('casedesk', 'west-b', 10, 60, onward='/reports/1'),
        Instance('approvals', 'west-a', 10, 30),
        Instance('photostore', 'west-b', 10, 50),
        Instance('reports', 'west-a', 4, 30),
        Instance('reports', 'west-b', 4, 60),
    ]
    fleet = Fleet(instances, port)
    try:
        print('starting 6 upstreams, 6 nodes and a platform stand-in')
        fleet.start(_make_table(keys))
        time.sleep(3)
        nodes = [fleet.caller(index) for index in range(len(instances))]
        print(f'sending overload for {seconds:g} s')
        load = LoadGenerator(nodes, seed)
        load.run(_make_streams(keys), seconds)
        _print_goodput(load, seconds)
        _print_reasons(fleet)
    finally:
        fleet.close()


def _print_goodput(load: LoadGenerator, seconds: float) -> None:
    print(f'{"workspace":10} {"call":14} {"sent/s":>7} {"good/s":>7}  refused')
    for (workspace, path), outcome in sorted(load.outcomes.items()):
        codes = {
            code: count for code, count in outcome.codes.items() if code != 'ok'
        }
        sent = outcome.sent / seconds
        good = outcome.good / seconds
        print(f'{workspace:10} {path:14} {sent:7.1f} {good:7.1f}  {codes}')


def _print_reasons(fleet: Fleet) -> None:
    addresses = ','.join(
        fleet.operator(index) for index in range(len(fleet.instances))
    )
    for name in WORKSPACES:
        answer = subprocess.run(
            [
                str(SCRIPTS / 'jasmineramp-explain'),
                'workspace',
                name,
                f'--nodes={addresses}',
            ],
            capture_output=True,
            text=True,
            timeout=20,
            check=False,
        )
        print(answer.stdout or answer.stderr, end='')
        sys.stdout.flush()


if __name__ == '__main__':
    fire.Fire(run)
