"""Compare the node with two proxies under overload, open loop and seeded.

The proportions are those of one of the two deployments, scaled to one
machine. Phases: normal, three times the demand, normal, a deep service five
times slower, normal. Callers that are refused retry at once, up to 3 times.
"""

import contextlib
import http.client
import json
import random
import threading
import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

import fire

from bench.fleet import PYTHON, Fleet, Instance
from bench.load import LoadGenerator, Stream
from bench.overload_model import (
    ATTEMPTS,
    DEPLOYMENTS,
    GENERATORS,
    GREEDY,
    LOAD_THREADS,
    PHASES,
    PORT_STEP,
    SHARES,
    TIMEOUT_MS,
    Deployment,
    Sample,
    demand,
)
from bench.overload_report import report
from jasmineramp.authentication import digest_key


class PhasedLoad(LoadGenerator):
    """Send phases without a pause and keep every outcome."""

    def __init__(self, nodes: list[str], seed: int) -> None:
        super().__init__(nodes, seed)
        self.samples: list[Sample] = []
        self.lateness = 0.0
        self.pool: dict[str, list[http.client.HTTPConnection]] = {}

    def run_phases(
        self, deployment: Deployment, keys: dict[str, str], start: float
    ) -> None:
        schedule: list = []
        begin = 0.0
        for _, seconds, factor, _ in PHASES:
            for row in deployment.rows:
                for workspace in SHARES:
                    rate = demand(deployment, row, workspace, factor)
                    rate /= GENERATORS
                    stream = Stream(
                        workspace, keys[workspace], f'{row.path}/1', rate
                    )
                    stream.method = row.method
                    self._add(schedule, stream, begin, seconds)
            begin += seconds
        schedule.sort(key=lambda entry: entry[0])
        self.position = 0
        self.start = start
        workers = [
            threading.Thread(target=self._work, args=(schedule,), daemon=True)
            for _ in range(LOAD_THREADS)
        ]
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join(begin + 30)

    def _add(self, schedule, stream, begin: float, seconds: float) -> None:
        moment = begin
        while True:
            moment += self.random.expovariate(stream.rate)
            if moment > begin + seconds:
                return
            node = self.random.choice(self.nodes)
            schedule.append((moment, len(schedule), stream, node))

    def _send(self, stream: Stream, node: str, number: int) -> str:
        # A connection per thread and node would slow the servers' polls.
        free = self.pool.setdefault(node, [])
        try:
            self.local.connections = {node: free.pop()}
        except IndexError:
            self.local.connections = {}
        code = super()._send(stream, node, number)
        free.extend(self.local.connections.values())
        return code

    def _call(self, moment, number, stream: Stream, node: str) -> None:
        late = time.perf_counter() - self.start - moment
        self.lateness = max(self.lateness, late)
        for _ in range(ATTEMPTS):
            code = self._send(stream, node, number)
            end = time.perf_counter() - self.start
            if code in {'ok', 'rate_exceeded'}:
                break
            if end - moment > TIMEOUT_MS / 1000:
                break
        if code == 'ok' and end - moment > TIMEOUT_MS / 1000:
            code = 'late'
        path = stream.path.removesuffix('/1')
        sample = Sample(moment, end, stream.workspace, path, code)
        with self.lock:
            self.samples.append(sample)


def make_table(deployment: Deployment, keys: dict[str, str]) -> str:
    """Return the table; rates are over the demand but for one workspace."""
    calls = [
        {
            'name': row.path[1:],
            'service': row.service,
            'path': row.path,
            'importance': row.importance,
            'timeout_ms': TIMEOUT_MS,
            'retries': 1,
        }
        for row in deployment.rows
    ]
    calls.append({'name': 'deep', 'service': deployment.deep, 'path': '/deep'})
    workspaces = []
    for name, share in SHARES.items():
        normal = sum(
            demand(deployment, row, name, 1) for row in deployment.rows
        )
        rate = normal * (1.5 if name == GREEDY else 4)
        workspaces.append(
            {'name': name, 'weight': share, 'rate': rate, 'burst': 2 * rate}
        )
    granted = [
        {'digest': digest_key(key), 'workspace': name}
        for name, key in keys.items()
    ]
    slots = deployment.domains * len(deployment.services)
    return json.dumps(
        {
            'calls': calls,
            'workspaces': workspaces,
            'keys': granted,
            'rate_slots': slots,
        }
    )


class ProxyFleet(Fleet):
    """Run proxies in place of the nodes."""

    def start_proxies(self, deployment: Deployment, static: bool) -> None:
        ports: dict[str, list[int]] = {}
        for index, instance in enumerate(self.instances):
            ports.setdefault(instance.service, []).append(
                self.upstream_port(index)
            )
        rows = {row.path: row.service for row in deployment.rows}
        rows['/deep'] = deployment.deep
        limits = {}
        if static:
            for path, service in rows.items():
                slots = deployment.services[service][0] * deployment.domains
                same = sum(1 for name in rows.values() if name == service)
                # Each proxy owns an equal part of the slots of a service.
                limits[path] = max(1, round(slots / same / len(self.instances)))
        settings = {
            'routes': {path: ports[name] for path, name in rows.items()},
            'limits': limits,
            'timeout': TIMEOUT_MS / 1000,
        }
        path = self.folder / 'proxy.json'
        path.write_text(json.dumps(settings), encoding='utf-8')
        for index in range(len(self.instances)):
            port = self.caller(index).partition(':')[2]
            self._start(
                f'n{index:02d}',
                [PYTHON, '-m', 'bench.baseline_proxy', f'--port={port}']
                + [f'--settings={path}', f'--seed={index}'],
            )
            self.start_upstream(index)
        for index in range(len(self.instances)):
            self._wait_for(self.caller(index), '/.ready')


def set_service_ms(fleet: Fleet, index: int, service_ms: float) -> None:
    """Change the service time of an upstream."""
    address = f'127.0.0.1:{fleet.upstream_port(index)}'
    connection = http.client.HTTPConnection(address, timeout=5)
    connection.request(
        'POST', '/.control', json.dumps({'service_ms': service_ms})
    )
    connection.getresponse().read()
    connection.close()


def slow_down(fleet: Fleet, deployment: Deployment, start: float) -> None:
    """Change the speed of the deep service at the start of each phase."""
    service_ms = deployment.services[deployment.deep][1]
    begin = start
    for _, seconds, _, slower in PHASES:
        time.sleep(max(0, begin - time.perf_counter()))
        for index, instance in enumerate(fleet.instances):
            if instance.service == deployment.deep:
                # An overloaded stand-in may not answer; it keeps its speed.
                with contextlib.suppress(OSError):
                    set_service_ms(fleet, index, service_ms * slower)
        begin += seconds


def generate(
    deployment: Deployment,
    keys: dict[str, str],
    nodes: list[str],
    seed: int,
    start: float,
) -> tuple[list[Sample], float]:
    """Send one part of the load; return samples and greatest lateness (s)."""
    generator = PhasedLoad(nodes, seed)
    generator.run_phases(deployment, keys, start)
    return generator.samples, generator.lateness


def measure(
    system: str,
    deployment: Deployment,
    keys: dict[str, str],
    seed: int,
    port: int,
) -> tuple[list[Sample], float]:
    """Run all phases against one system."""
    instances = [
        Instance(
            service,
            f'd{domain}',
            slots,
            service_ms,
            onward='/deep/1' if service == deployment.front else '',
        )
        for domain in range(deployment.domains)
        for service, (slots, service_ms) in deployment.services.items()
    ]
    fleet = ProxyFleet(instances, port)
    try:
        if system == 'node':
            fleet.start(make_table(deployment, keys))
        else:
            fleet.start_proxies(deployment, system == 'static limit')
        time.sleep(4)
        nodes = [fleet.caller(index) for index in range(len(instances))]
        start = time.perf_counter() + 2
        control = threading.Thread(
            target=slow_down, args=(fleet, deployment, start), daemon=True
        )
        control.start()
        with ProcessPoolExecutor(GENERATORS, get_context('spawn')) as pool:
            parts = [
                pool.submit(
                    generate, deployment, keys, nodes, seed + part, start
                )
                for part in range(GENERATORS)
            ]
            results = [part.result() for part in parts]
        samples = [sample for part, _ in results for sample in part]
        return samples, max(lateness for _, lateness in results)
    finally:
        fleet.close()


def run(
    deployment: str = 'bergfeld',
    seed: int = 7,
    port: int = 30_000,
    systems: str = 'node+pass-through+static limit',
) -> None:
    """Measure each system in turn with the same load."""
    rng = random.Random(seed)
    keys = {name: f'{rng.getrandbits(160):040x}' for name in SHARES}
    chosen = DEPLOYMENTS[deployment]
    for number, system in enumerate(systems.split('+')):
        place = port + PORT_STEP * number
        samples, lateness = measure(system, chosen, keys, seed, place)
        report(system, samples, lateness, chosen)


if __name__ == '__main__':
    fire.Fire(run)
