"""Own one node process, its upstream and the proxies around it."""

import asyncio
import json
import os
import pathlib
import random
import re
import resource
import signal
import subprocess
import sys
import time

from bench.metadata_store import MetadataStore

from jasmineramp.mesh.caller_messages import CallerResponse
from jasmineramp.mesh.calls import CallerRequest
from jasmineramp.mesh.directory import KEY_PREFIX
from tests.fakes.mesh import HOST, FakeUpstream, request
from tests.fakes.sockets import free_port
from tests.soak.history import (
    COLD_OVER,
    COLD_SLACK,
    EVAC_S,
    Arrival,
    History,
)
from tests.soak.proxy import Proxy

SOURCES = pathlib.Path(__file__).parents[2] / 'src'
DRAIN_S = 2.0
COLD_S = 2.0
# Bounds the bodies that a node receives.
MEMORY_MIB = 100
PORTS = ('outbound', 'inbound', 'ready', 'control', 'metrics')


class RedirectingStore(MetadataStore):
    """Register the proxy before a node in place of the node's own port."""

    def __init__(self) -> None:
        super().__init__()
        self.ports: dict[int, int] = {}

    def write(self, key: str, content: bytes, lease: int = 0) -> None:
        """Write an item with the port that peers are to use."""
        if key.startswith(KEY_PREFIX):
            content = re.sub(rb'"port":(\d+)', self._redirect, content)
        super().write(key, content, lease)

    def _redirect(self, found: 're.Match[bytes]') -> bytes:
        port = int(found[1])
        return b'"port":%d' % self.ports.get(port, port)


class Member:
    """Own one node process, its upstream and the proxies around it."""

    def __init__(
        self, number: int, folder: pathlib.Path, history: History
    ) -> None:
        self.history = history
        self.number = number
        self.domain = f'z{number % 2}'
        # Instances are never cold unless the run has evacuations.
        self.has_evacuations = False
        self.cold_until = float('-inf')
        self.path = folder / f'node-{number}.conf'
        self.log = folder / f'node-{number}.log'
        self.upstream = FakeUpstream(f'i-{number}')
        self.ports = {name: free_port() for name in PORTS}
        self.process: subprocess.Popen[bytes] | None = None
        self.acknowledged_leave = float('inf')
        self.is_failing = False
        self.announce_s = 0.5
        self.longest_work_s = 0.15
        self.told_to_stop = float('inf')
        self.memory_mib = MEMORY_MIB
        self.slots = 8
        # The process limit on open descriptors; None leaves it as it is.
        self.max_descriptors: int | None = None

    async def prepare(
        self, platform: RedirectingStore, store_port: int, rng: random.Random
    ) -> None:
        """Start the upstream and the proxies and write the settings."""
        self.rng = rng
        self.upstream.behave = self.work
        await self.upstream.server.listen(HOST, 0)
        server = self.upstream.server.server
        assert server is not None
        port = server.sockets[0].getsockname()[1]
        self.to_upstream = Proxy(HOST, (HOST, port))
        self.to_store = Proxy(HOST, (HOST, store_port))
        self.to_node = Proxy(HOST, (HOST, self.ports['inbound']))
        inbound = await self.to_node.start()
        platform.ports[self.ports['inbound']] = inbound
        self.upstream_port = await self.to_upstream.start()
        store = await self.to_store.start()
        lines = [
            f'self.node=n{self.number}',
            f'self.zone={self.domain}',
            'self.service=orders',
            f'self.limits.memoryMb={self.memory_mib}',
            f'self.appAddr={HOST}:{self.upstream_port}',
            f'platform.platform.address={HOST}:{store}',
            f'network.internalPortRange={self.ports["metrics"]}',
        ]
        lines += [
            f'network.listen.{name}={HOST}:{self.ports[name]}'
            for name in PORTS[:-1]
        ]
        if self.has_evacuations:
            lines += [
                f'terms.bounds.evac={EVAC_S * 1000:.0f}ms',
                f'terms.bounds.coldOver={COLD_OVER}',
                f'terms.bounds.coldSlack={COLD_SLACK}',
            ]
            self.turn_cold()
        if self.max_descriptors is not None:
            lines.append(f'self.limits.maxFds={self.max_descriptors}')
        self.path.write_text('\n'.join(lines), encoding='utf-8')

    def turn_cold(self) -> None:
        """Let the instance be cold from now on."""
        if self.has_evacuations:
            self.cold_until = time.monotonic() + COLD_S

    async def work(self, call: CallerRequest) -> CallerResponse:
        """Work for a while and return what identifies the call."""
        now = time.monotonic()
        said = {name.lower(): value.decode() for name, value in call.headers}
        arrival = Arrival(
            now,
            said[b'x-jasmineramp-request-id'],
            said.get(b'x-jasmineramp-tenant', ''),
            self.upstream.name,
            self.domain,
            now < self.cold_until,
        )
        self.history.arrivals.append(arrival)
        if now > self.acknowledged_leave + DRAIN_S:
            self.history.wrong.append(f'{arrival.request_id} ran late')
        await asyncio.sleep(self.rng.uniform(0.005, self.longest_work_s))
        return CallerResponse(500 if self.is_failing else 200, [], call.target)

    def start(self) -> None:
        """Start the process unless it runs."""
        if not self.is_alive():
            self.told_to_stop = float('inf')
            with self.log.open('ab') as output:
                self.process = subprocess.Popen(
                    [sys.executable, '-m', 'jasmineramp.platform'],
                    env={
                        **os.environ,
                        'JASMINERAMP_BOOT': str(self.path),
                        'PYTHONPATH': str(SOURCES),
                    },
                    stdout=output,
                    stderr=output,
                )
            if self.max_descriptors is not None:
                limits = (self.max_descriptors, self.max_descriptors)
                resource.prlimit(
                    self.process.pid, resource.RLIMIT_NOFILE, limits
                )

    def is_alive(self) -> bool:
        """Tell whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def peak_mib(self) -> float:
        """Return the peak of the resident memory of the running process."""
        if self.process is None or not self.is_alive():
            return 0
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text(
            encoding='utf-8'
        )
        peak = re.search(r'VmHWM:\s+(\d+) kB', status)
        return 0 if peak is None else int(peak[1]) / 1024

    def open_descriptors(self) -> int:
        """Return the number of open descriptors of the running process."""
        if self.process is None or not self.is_alive():
            return 0
        return len(os.listdir(f'/proc/{self.process.pid}/fd'))

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.is_alive():
            self.process.send_signal(number)

    async def announce(self, state: str = 'ready') -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        self.upstream.sequence += 1
        cold_s = max(0, self.cold_until - time.monotonic())
        body = {
            'address': f'{HOST}:{self.upstream_port}',
            'info': {
                'service': 'orders',
                'zone': self.domain,
                'slots': self.slots,
            },
            'status': {
                'state': state,
                'sequence': self.upstream.sequence,
                'coldRemaining': f'{cold_s * 1000:.0f}ms',
            },
            'born': self.upstream.born,
        }
        path = f'/instances/{self.upstream.name}/heartbeat'
        address = (HOST, self.ports['control'])
        try:
            status, _, _ = await request(
                address, 'POST', path, {}, json.dumps(body).encode()
            )
        except (OSError, ValueError, IndexError, TimeoutError):
            return False
        return status == 200

    def close(self) -> None:
        """End the process and close what surrounds it."""
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self.process.wait()
        self.upstream.server.stop()
        self.to_upstream.close()
        self.to_store.close()
        self.to_node.close()
