"""Start the nodes of a small deployment, with an instance beside each."""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable

from review.standins.store import Store
from review.standins.wire import (
    Message,
    encode,
    exchange,
    read_body,
    read_head,
)

ROOT = pathlib.Path(__file__).parents[2]
# The run command of the role, split at spaces as DEPLOY.md says.
COMMAND = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles'][
    'node'
]['run'].split()
LISTENS = ('outbound', 'inbound', 'ready', 'control')
HEARTBEAT_S = 1.5
SAMPLE_S = 0.02
RESTART_S = 0.5
REQUEST_ID = 'x-jasmineramp-request-id'


class Record:
    """Write what was sent, answered, run and ended, with the time."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open('w', encoding='utf-8')
        self.started = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write a line."""
        self.file.write(f'{time.monotonic() - self.started:8.3f} {text}\n')
        self.file.flush()


def free_ports(host: str, count: int) -> list[int]:
    """Return different ports of a loopback address that are free now."""
    with contextlib.ExitStack() as stack:
        listeners = [
            stack.enter_context(socket.socket()) for _ in range(count)
        ]
        for listener in listeners:
            listener.bind((host, 0))
        return [int(each.getsockname()[1]) for each in listeners]


class Machine:
    """Own a node process, the instance beside it and their addresses."""

    def __init__(self, fleet: 'Fleet', number: int, service: str) -> None:
        self.fleet = fleet
        self.number = number
        self.service = service
        self.name = f'sidecar-{number}'
        self.instance = f'i-{number}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.process: subprocess.Popen[bytes] | None = None
        # Of its own, so that neither another script nor a connection, which
        # leaves from HOST, can take a port of the node.
        network = f'127.{1 + os.getpid() // 256 % 254}.{os.getpid() % 256}'
        self.host = f'{network}.{10 + number}'
        *ports, self.metrics_port = free_ports(self.host, len(LISTENS) + 1)
        self.ports = dict(zip(LISTENS, ports, strict=True))
        self.boot = fleet.folder / f'{self.name}.conf'
        self.log = fleet.folder / f'{self.name}.log'
        self.peak_mib = 0.0
        self.killed_for_memory = 0
        self.ended_by_itself = 0
        self.is_stopping = False

    def address(self, name: str) -> tuple[str, int]:
        """Return one of the addresses of the node."""
        return self.host, self.ports[name]

    async def prepare(self) -> None:
        """Start the instance and write the settings file of the node."""
        self.server = await asyncio.start_server(
            self._serve, self.host, 0, limit=262_144
        )
        self.app = self.server.sockets[0].getsockname()[:2]
        self.boot.write_text(self.fleet.settings(self), encoding='utf-8')

    def start(self) -> None:
        """Start the node with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['JASMINERAMP_BOOT'] = str(self.boot)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                COMMAND,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the node."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def memory_mib(self) -> float:
        """Return the resident memory of the node, 0 if it does not run."""
        if self.process is None or self.process.poll() is not None:
            return 0
        try:
            with open(f'/proc/{self.process.pid}/status') as status:
                for line in status:
                    if line.startswith('VmRSS'):
                        return int(line.split()[1]) / 1024
        except OSError:
            return 0
        return 0

    async def keep(self) -> None:
        """Restart the node when it ends; kill it above its memory limit."""
        while True:
            await asyncio.sleep(SAMPLE_S)
            process = self.process
            if process is None or self.is_stopping:
                continue
            code = process.poll()
            memory = self.memory_mib()
            self.peak_mib = max(self.peak_mib, memory)
            if code is None and memory > self.fleet.memory_mib:
                self.killed_for_memory += 1
                self.fleet.record(
                    f'{self.name} exceeds its memory: {memory:.1f} MiB of'
                    f' {self.fleet.memory_mib}; the platform kills it'
                )
                process.kill()
                process.wait()
            elif code is None:
                continue
            else:
                self.ended_by_itself += 1
                self.fleet.record(f'{self.name} ended with {code}')
            await asyncio.sleep(RESTART_S)
            if not self.is_stopping:
                self.start()

    async def announce(self) -> None:
        """Send the heartbeats of the instance."""
        while True:
            with contextlib.suppress(OSError, ValueError, TimeoutError):
                await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self) -> int:
        """Send one heartbeat; return the status of the response."""
        self.sequence += 1
        body = {
            'born': self.born,
            'address': f'{self.app[0]}:{self.app[1]}',
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.fleet.zone_of(self),
                'slots': self.fleet.slots,
            },
            'status': {
                'state': self.state,
                'sequence': self.sequence,
                'coldRemaining': '0ms',
            },
        }
        answer = await exchange(
            self.address('control'),
            f'POST /instances/{self.instance}/heartbeat HTTP/1.1',
            {'Host': self.host, 'Content-Type': 'application/json'},
            json.dumps(body).encode(),
            timeout_s=1,
        )
        return answer.status

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                expected = head.headers.get(
                    'x-jasmineramp-expect-instance', self.instance
                )
                if expected != self.instance:
                    await read_body(reader, head)
                    writer.write(encode('HTTP/1.1 421 -', {}, b''))
                    continue
                handled = await self.fleet.behave(self, head, reader, writer)
                if not handled:
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


Behaviour = Callable[
    [Machine, Message, asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[bool],
]


def answer(
    head: Message, status: int, body: bytes, *, is_signed: bool = True
) -> bytes:
    """Return the answer of an instance to a request."""
    headers = {'X-Jasmineramp-Request-Id': head.headers.get(REQUEST_ID, '')}
    if is_signed:
        headers['X-Jasmineramp-Response-Signature'] = f'sig.{len(body)}'
    return encode(f'HTTP/1.1 {status} -', headers, body)


async def serve_plainly(
    _machine: Machine,
    head: Message,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> bool:
    """Read the whole request, work for 20 ms and answer it."""
    body = await read_body(reader, head)
    await asyncio.sleep(0.02)
    writer.write(answer(head, 200, b'%d bytes' % len(body)))
    await writer.drain()
    return True


class Fleet:
    """Own the store, the machines and the record of one run."""

    def __init__(
        self,
        record: Record,
        configuration: dict,
        services: list[str],
        *,
        memory_mib: int = 200,
        slots: int = 40,
        zones: int = 1,
        behave: Behaviour = serve_plainly,
    ) -> None:
        self.record = record
        self.configuration = configuration
        self.memory_mib = memory_mib
        self.slots = slots
        self.zones = zones
        self.behave = behave
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store()
        self.machines = [
            Machine(self, number, service)
            for number, service in enumerate(services)
        ]
        self.tasks: list[asyncio.Task] = []

    def zone_of(self, machine: Machine) -> str:
        """Return the zone of a machine."""
        return f'z{machine.number % self.zones}'

    def settings(self, machine: Machine) -> str:
        """Return the settings file of a node, as DEPLOY.md shows it."""
        store_host, store_port = self.store.address
        fields = {
            'self.node': machine.name,
            'self.role': 'node',
            'self.machineClass': 'sidecar',
            'self.serves': 'sidecar',
            'self.ip': machine.host,
            'self.zone': self.zone_of(machine),
            'self.region': 'r',
            'self.lossCounts': 'false',
            'self.bootstrap': 'true',
            'self.limits.memoryMb': str(self.memory_mib),
            'self.limits.maxFds': '4100',
            'self.appAddr': f'{machine.app[0]}:{machine.app[1]}',
            'self.service': machine.service,
            'network.internalPortRange': (
                f'{machine.metrics_port},{machine.metrics_port}'
            ),
            'network.seeds': '',
            'platform.discovery': 'local',
            'platform.entry': 'local',
            'platform.heartbeat': '1500ms',
            'platform.platform.address': f'{store_host}:{store_port}',
            'platform.platform.form': 'kv',
            'platform.platform.writesPerS': '400',
            'platform.platform.readsPerS': '2000',
            'platform.platform.history': '20s',
            'platform.platform.valueBytes': '1048576',
            'platform.platform.ttlMin': '1000ms',
            'terms.bounds.drain': '2000ms',
            'terms.bounds.grace': '6s',
            'terms.bounds.configApply': '2000ms',
            'terms.bounds.revoke': '5000ms',
            'terms.bounds.strictRevoke': 'true',
            'terms.bounds.retryBudgetRatio': '0.2',
            'terms.bounds.retryWindow': '10s',
            'terms.bounds.retryBudgetSlack': '47',
        }
        for name in LISTENS:
            fields[f'network.listen.{name}'] = (
                f'{machine.host}:{machine.ports[name]}'
            )
        return ''.join(f'{name}={text}\n' for name, text in fields.items())

    async def __aenter__(self) -> 'Fleet':
        task = asyncio.current_task()
        assert task is not None
        # The nodes end also if the script is told to stop.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        await self.store.start()
        self.store.write('op/config', json.dumps(self.configuration).encode())
        for machine in self.machines:
            await machine.prepare()
            machine.start()
            self.tasks.append(asyncio.create_task(machine.keep()))
            self.tasks.append(asyncio.create_task(machine.announce()))
        return self

    async def __aexit__(self, *_: object) -> None:
        for machine in self.machines:
            machine.is_stopping = True
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(self.folder, ignore_errors=True)

    async def until_served(
        self, send: Callable[[Machine], Awaitable[int]], timeout_s: float = 30
    ) -> None:
        """Wait until each node serves a request; raise TimeoutError."""
        async with asyncio.timeout(timeout_s):
            for machine in self.machines:
                while True:
                    with contextlib.suppress(OSError, TimeoutError, ValueError):
                        if await send(machine) == 200:
                            break
                    await asyncio.sleep(0.1)


def route(
    name: str, kind: str, service: str, *, timeout: str = '5s', priority: int = 1
) -> dict:
    """Return a route of the configuration; its prefix is its name."""
    return {
        'hostname': 'a.example',
        'prefix': f'/{name}/',
        'routeType': kind,
        'timeout': timeout,
        'targetLatency': '1500ms',
        'priority': priority,
        'service': service,
        'maxAttempts': 2,
        'authExempt': False,
    }


def configuration(**routes: dict) -> dict:
    """Return a configuration without tenants, as `fleetbench wire` shows it."""
    services = {each['service'] for each in routes.values()}
    return {
        'version': '00000001',
        'routes': routes,
        'services': {
            name: {
                'healthCheckPath': '/health',
                'maxConnections': 1150,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services
        },
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeout': '3000ms',
            'idleTimeout': '15000ms',
        },
    }


def request_headers(request_id: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        'Host': 'a.example',
        'X-Jasmineramp-Request-Id': request_id,
        'X-Jasmineramp-Deadline-Ms': str(deadline_ms),
    }
