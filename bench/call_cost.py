"""Measure the time that a node adds to a call.

Interleaves calls to the bare upstream, through the node of the upstream
(one node) and through another node (two nodes), so that all see the same
machine. Prints p50 and p99 in milliseconds and the ratios to the bare call.
"""

import hashlib
import http.client
import json
import statistics
import time

import fire
import psutil

from bench.fleet import Fleet, Instance

KEY = 'bench-key-bench-key-bench-key-00'
WARM_UP = 200


def make_table(service: str, slots: int) -> str:
    """Return a table with one open workspace for the measurement."""
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    return json.dumps(
        {
            'calls': [
                {'name': 'work', 'service': service, 'path': '/work'},
                {'name': 'idle', 'service': 'other', 'path': '/other'},
            ],
            'workspaces': [{'name': 'bench', 'rate': 1e6, 'burst': 1e5}],
            'keys': [{'digest': digest, 'workspace': 'bench'}],
            'rate_slots': slots,
        }
    )


def _measure(targets: dict[str, str], calls: int, rate: float) -> dict:
    connections = {
        name: http.client.HTTPConnection(address, timeout=10)
        for name, address in targets.items()
    }
    times: dict[str, list[float]] = {name: [] for name in targets}
    pause = 1 / rate if rate else 0
    for number in range(calls + WARM_UP):
        for name, connection in connections.items():
            start = time.perf_counter()
            connection.request(
                'GET', '/work', headers={'Authorization': f'Bearer {KEY}'}
            )
            response = connection.getresponse()
            body = response.read()
            spent = (time.perf_counter() - start) * 1000
            if response.status != 200:
                raise RuntimeError(f'{name}: {response.status} {body[:200]}')
            if number >= WARM_UP:
                times[name].append(spent)
            if pause > spent / 1000:
                time.sleep(pause - spent / 1000)
    return times


def _print_processor_time(
    fleet: Fleet, name: str, address: str, calls: int, rate: float
) -> None:
    """Print the processor time of the nodes for each call of one path."""
    processes = [
        psutil.Process(fleet.processes[node].pid) for node in fleet.names()
    ]
    before = [sum(process.cpu_times()[:2]) for process in processes]
    _measure({name: address}, calls, rate)
    after = [sum(process.cpu_times()[:2]) for process in processes]
    spent = [
        1000 * (late - early) / (calls + WARM_UP)
        for early, late in zip(before, after, strict=True)
    ]
    print(
        f'{name:10} processor time a call: node of the instance '
        f'{spent[0]:.3f} ms, other node {spent[1]:.3f} ms'
    )


def run(calls: int = 2000, repetitions: int = 3, rate: float = 180) -> None:
    """Print the cost of a call; rate is calls a second on each path."""
    instances = [
        Instance('service', 'west', 50, 0.0),
        Instance('other', 'west', 50, 0.0),
    ]
    fleet = Fleet(instances, 23_000)
    try:
        fleet.start_without_platform(make_table('service', 2))
        time.sleep(6)
        targets = {
            'bare': f'127.0.0.1:{fleet.upstream_port(0)}',
            'one node': fleet.caller(0),
            'two nodes': fleet.caller(1),
        }
        runs = [_measure(targets, calls, rate) for _ in range(repetitions)]
        for name in ('one node', 'two nodes'):
            _print_processor_time(fleet, name, targets[name], calls, rate)
    finally:
        fleet.close()
    for name in targets:
        for label, share in (('p50', 0.5), ('p99', 0.99)):
            figures = []
            added = []
            for times in runs:
                own = sorted(times[name])
                bare = sorted(times['bare'])
                figures.append(own[int(len(own) * share)])
                added.append(figures[-1] - bare[int(len(bare) * share)])
            spread = max(figures) - min(figures)
            print(
                f'{name:10} {label} {statistics.median(figures):.3f} ms '
                f'(spread {spread:.3f}), added {statistics.median(added):.3f}'
            )


if __name__ == '__main__':
    fire.Fire(run)
