"""Measure what control costs a node, for several fleet sizes.

Starts fleets of idle nodes as processes and reads processor time, resident
memory and control traffic of each node, and the calls to the platform
stand-in, over a span of time. Prints one line for each size and the slope
over the sizes. With --rate, callers send load to the nodes meanwhile.
"""

import http.client
import json
import statistics
import time

import fire
import psutil

from bench.call_cost import make_table
from bench.fleet import Fleet, Instance

SETTLE_SECONDS = 25
DOMAINS = 2


def _read_stats(platform: str) -> dict:
    connection = http.client.HTTPConnection(platform, timeout=5)
    connection.request('GET', '/stats')
    body = connection.getresponse().read()
    connection.close()
    return json.loads(body)


def _count_calls(stats) -> int:
    if isinstance(stats, dict):
        return sum(_count_calls(value) for value in stats.values())
    return stats if isinstance(stats, int) else 0


def measure(nodes: int, seconds: float, base_port: int) -> dict:
    """Return the cost of a node in an idle fleet; times in seconds."""
    instances = [
        Instance('service', f'd{index % DOMAINS}', 20, 1)
        for index in range(nodes)
    ]
    fleet = Fleet(instances, base_port)
    try:
        fleet.start_platform()
        for index in range(nodes):
            fleet.start_node(
                index, seeds=[fleet.peer(each) for each in range(2)]
            )
        for index in range(nodes):
            fleet.wait_for_node(index)
        fleet.import_table(make_table('service', nodes))
        until = time.monotonic() + SETTLE_SECONDS
        while time.monotonic() < until:
            for index in range(nodes):
                fleet.announce(index)
            time.sleep(0.8)
        processes = [
            psutil.Process(fleet.processes[name].pid) for name in fleet.names()
        ]
        before = [_read_node(fleet, index, processes) for index in range(nodes)]
        calls = _count_calls(_read_stats(fleet.platform))
        start = time.monotonic()
        while time.monotonic() < start + seconds:
            for index in range(nodes):
                fleet.announce(index)
            time.sleep(0.8)
        after = [_read_node(fleet, index, processes) for index in range(nodes)]
        elapsed = time.monotonic() - start
        calls = _count_calls(_read_stats(fleet.platform)) - calls
        alive = min(len(state['alive']) for state in after)
    finally:
        fleet.close()
    figures = {
        name: [
            (late[name] - early[name]) / elapsed
            for early, late in zip(before, after, strict=True)
        ]
        for name in ('cpu', 'sent', 'received', 'messages')
    }
    return {
        'nodes': nodes,
        'alive': alive,
        'cpu_percent': 100 * statistics.median(figures['cpu']),
        'cpu_percent_max': 100 * max(figures['cpu']),
        'kb_s': statistics.median(figures['sent']) / 1000,
        'kb_s_max': max(figures['sent']) / 1000,
        'messages_s': statistics.median(figures['messages']),
        'rss_mb': statistics.median(each['rss'] for each in after) / 1e6,
        'platform_calls_s': calls / elapsed,
    }


def _read_node(fleet: Fleet, index: int, processes) -> dict:
    details = fleet.status(index)['details']
    times = processes[index].cpu_times()
    return {
        'cpu': times.user + times.system,
        'rss': processes[index].memory_info().rss,
        'sent': details['sent_bytes'],
        'received': details['received_bytes'],
        'messages': details['sent_messages'],
        'alive': details['alive'],
    }


def run(
    sizes: str = '2,4,8,16,32', seconds: float = 15, port: int = 25_000
) -> None:
    """Print the cost of a node for several fleet sizes."""
    if isinstance(sizes, int):
        sizes = str(sizes)
    if not isinstance(sizes, str):
        sizes = ','.join(str(size) for size in sizes)
    rows = []
    for size in sizes.split(','):
        rows.append(measure(int(size), seconds, port))
        print(json.dumps(rows[-1]), flush=True)
        port += 400
    if len(rows) > 1:
        for name in ('cpu_percent', 'kb_s', 'rss_mb', 'platform_calls_s'):
            slope, offset = statistics.linear_regression(
                [row['nodes'] for row in rows],
                [row[name] for row in rows],
            )
            print(f'{name}: {offset:.4f} + {slope:.5f} per node')


if __name__ == '__main__':
    fire.Fire(run)
