"""Start platform stand-in, upstreams and nodes as processes on loopback."""

import contextlib
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from typing import Any

PYTHON = sys.executable
SCRIPTS = pathlib.Path(PYTHON).parent
READY_SECONDS = 20
STOP_SECONDS = 15


@dataclass
class Instance:
    """Describe one upstream and its node."""

    service: str
    domain: str
    slots: int
    service_ms: float
    connections: int = 200
    onward: str = ''


class Fleet:
    """Own the processes of one run; close() ends them by id."""

    def __init__(self, instances: list[Instance], base_port: int) -> None:
        self.instances = instances
        self.base_port = base_port
        self.stack = contextlib.ExitStack()
        self.folder = pathlib.Path(
            self.stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.processes: dict[str, subprocess.Popen] = {}
        self.announcers: dict[int, http.client.HTTPConnection] = {}
        self.stack.callback(self._end_all)
        self.platform = f'127.0.0.1:{base_port}'

    def names(self) -> list[str]:
        """Return the node names in order."""
        return [f'n{index:02d}' for index in range(len(self.instances))]

    def caller(self, index: int) -> str:
        """Return the address at which a node serves callers."""
        return f'127.0.0.1:{self.base_port + 10 * (index + 1)}'

    def operator(self, index: int) -> str:
        """Return the address at which a node serves operators."""
        return f'127.0.0.1:{self.base_port + 10 * (index + 1) + 1}'

    def peer(self, index: int) -> str:
        """Return the address at which a node receives messages."""
        return f'127.0.0.1:{self.base_port + 10 * (index + 1) + 2}'

    def upstream_port(self, index: int) -> int:
        """Return the port of the upstream of a node."""
        return self.base_port + 10 * (index + 1) + 3

    def start_platform(self) -> None:
        """Start the platform stand-in."""
        self._start(
            'platform',
            [PYTHON, '-m', 'bench.platform_server', '--port']
            + [str(self.base_port)],
        )
        self._wait_for(self.platform, '/stats')

    def start_node(self, index: int, **changes) -> None:
        """Start one node with its settings file."""
        name = self.names()[index]
        instance = self.instances[index]
        domains = sorted({each.domain for each in self.instances})
        settings = {
            'node': name,
            'domain': instance.domain,
            'domains': domains,
            'caller': self.caller(index),
            'operator': self.operator(index),
            'peer': self.peer(index),
            'platform': self.platform,
            'seeds': [self.peer(0), self.peer(len(self.instances) - 1)],
            'log_level': 'warning',
            **changes,
        }
        path = self.folder / f'{name}.json5'
        path.write_text(json.dumps(settings), encoding='utf-8')
        self._start(name, [str(SCRIPTS / 'jasmineramp-node'), str(path)])

    def wait_for_node(self, index: int) -> None:
        """Wait until a node answers operators."""
        self._wait_for(self.operator(index), '/status')

    def start_upstream(self, index: int) -> None:
        """Start the upstream of one node."""
        instance = self.instances[index]
        self._start(
            f'u{index:02d}',
            [PYTHON, '-m', 'bench.upstream_server']
            + [f'--service={instance.service}']
            + [f'--node={self.caller(index)}']
            + [f'--port={self.upstream_port(index)}']
            + [f'--slots={instance.slots}']
            + [f'--service_ms={instance.service_ms}']
            + [f'--connections={instance.connections}']
            + [f'--onward={instance.onward}', f'--seed={index + 1}'],
        )

    def announce(self, index: int) -> None:
        """Announce the upstream of a node without starting it."""
        instance = self.instances[index]
        document = {
            'service': instance.service,
            'port': self.upstream_port(index),
            'slots': instance.slots,
            'connections': instance.connections,
        }
        connection = self.announcers.setdefault(
            index, http.client.HTTPConnection(self.caller(index), timeout=5)
        )
        connection.request(
            'POST', '/.jasmineramp/announce', json.dumps(document)
        )
        connection.getresponse().read()

    def start(self, table: str) -> None:
        """Start everything, put a table in force and wait for it."""
        self.start_platform()
        for index in range(len(self.instances)):
            self.start_node(index)
        for index in range(len(self.instances)):
            self.start_upstream(index)
        self.import_table(table)

    def start_without_platform(self, table: str) -> None:
        """Start everything with the table in a file of each node."""
        path = self.folder / 'table.json5'
        path.write_text(table, encoding='utf-8')
        for index in range(len(self.instances)):
            self.start_node(
                index, platform='', table=str(path), rate_slot=index
            )
        for index in range(len(self.instances)):
            self.start_upstream(index)

    def import_table(self, table: str) -> None:
        """Put a table file in force through the operator command."""
        path = self.folder / 'table.json5'
        path.write_text(table, encoding='utf-8')
        self.table('import_file', str(path), '--wait=20')

    def table(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run jasmineramp-table."""
        command = [str(SCRIPTS / 'jasmineramp-table'), *arguments]
        return subprocess.run(
            command,
            env={**self.environment(), 'JASMINERAMP_PLATFORM': self.platform},
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def environment(self) -> dict[str, str]:
        """Return the environment of the started processes."""
        return dict(os.environ)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one of the own processes."""
        self.processes[name].send_signal(number)

    def close(self) -> None:
        """End all processes."""
        self.stack.close()

    def _start(self, name: str, command: list[str]) -> None:
        log = self.stack.enter_context((self.folder / f'{name}.log').open('ab'))
        self.processes[name] = subprocess.Popen(
            command,
            stdout=log,
            stderr=log,
            env=self.environment(),
        )

    def _wait_for(self, address: str, path: str) -> None:
        until = time.monotonic() + READY_SECONDS
        while time.monotonic() < until:
            try:
                connection = http.client.HTTPConnection(address, timeout=1)
                connection.request('GET', path)
                connection.getresponse().read()
                connection.close()
            except OSError:
                time.sleep(0.05)
            else:
                return
        raise TimeoutError(address)

    def _end_all(self) -> None:
        platform = self.processes.pop('platform', None)
        self.end(list(self.processes))
        if platform is not None:
            platform.terminate()
            platform.wait(STOP_SECONDS)

    def end(self, names: list[str]) -> dict[str, int]:
        """Stop processes gracefully; return their exit statuses."""
        processes = {name: self.processes.pop(name) for name in names}
        for process in processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        until = time.monotonic() + STOP_SECONDS
        for name, process in processes.items():
            try:
                process.wait(max(0.1, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                print(f'{name} did not stop in time')
                process.kill()
                process.wait()
        return {name: process.returncode for name, process in processes.items()}

    def status(self, index: int) -> dict[str, Any]:
        """Return the status of a node from its operator port."""
        connection = http.client.HTTPConnection(self.operator(index), timeout=5)
        connection.request('GET', '/status')
        body = connection.getresponse().read()
        connection.close()
        return json.loads(body)
