"""Run nodes with a store and upstreams in one event loop."""

import asyncio
import contextlib
import json
import os
from collections import Counter
from collections.abc import Awaitable, Callable

from bench.metadata_store import MetadataStore

from jasmineramp.clock import MonotonicClock
from jasmineramp.ids import DomainId, NodeId, ServiceName
from jasmineramp.mesh.caller_http import CallerServer
from jasmineramp.mesh.caller_messages import CallerResponse
from jasmineramp.mesh.calls import CallerRequest
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.node import Node
from jasmineramp.mesh.node_settings import Bounds, NodeSettings
from jasmineramp.mesh.receive_limits import DEFAULT_MEMORY_BYTES
from jasmineramp.mesh.route_table import CallerLimits
from jasmineramp.platform.binding import PlatformBinding
from jasmineramp.platform.store_client import StoreClient
from tests.fakes.sockets import free_port

HOST = '127.0.0.1'
TIMEOUT_S = 10
KEY = 'key-of-shop'
CONFIGURATION = {
    'version': '00000001',
    'routes': {
        'read': {
            'hostname': 'a.example',
            'prefix': '/read/',
            'routeType': 'idempotent',
            'timeout': '2s',
            'targetLatency': '1s',
            'priority': 1,
            'service': 'orders',
            'maxAttempts': 2,
            'authExempt': False,
        },
        'buy': {
            'hostname': 'a.example',
            'prefix': '/buy/',
            'routeType': 'non_idempotent',
            'timeout': '2s',
            'targetLatency': '1s',
            'priority': 0,
            'service': 'orders',
            'maxAttempts': 2,
            'authExempt': False,
        },
        'inner': {
            'hostname': 'a.example',
            'prefix': '/inner/',
            'routeType': 'idempotent',
            'timeout': '1s',
            'targetLatency': '300ms',
            'priority': 1,
            'service': 'orders',
            'maxAttempts': 2,
            'authExempt': True,
        },
    },
    'services': {'orders': {'maxConnections': 100}},
    'tenants': {
        'shop': {'apiKeys': [KEY], 'priority': 1, 'ratePerS': 0, 'burst': 0}
    },
}


class FakeUpstream:
    """Answer calls as an instance does and record the calls that ran."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.ran: Counter[str] = Counter()
        self.headers: list[dict[str, str]] = []
        self.bodies: list[bytes] = []
        self.cancelled = 0
        self.behave: Callable[
            [CallerRequest], Awaitable[CallerResponse | None]
        ] = self.succeed
        self.server = CallerServer(self.handle, CallerLimits)
        self.sequence = 0
        self.born = 1000

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Run a call unless it is addressed to another instance."""
        received_headers = {
            name.decode().lower(): value.decode()
            for name, value in request.headers
        }
        expected = received_headers.get(
            'x-jasmineramp-expect-instance', self.name
        )
        if expected != self.name:
            return CallerResponse(421, [])
        self.ran[received_headers['x-jasmineramp-request-id']] += 1
        self.headers.append(received_headers)
        self.bodies.append(request.body)
        try:
            response = await self.behave(request)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if response is None:
            for connection in list(self.server.connections):
                connection.transport.abort()
            return CallerResponse(500, [])
        return self.sign(response, received_headers['x-jasmineramp-request-id'])

    def sign(self, response: CallerResponse, request_id: str) -> CallerResponse:
        """Add the headers that an instance adds to each answer."""
        named = {name.lower() for name, _ in response.headers}
        response.headers.append(
            (b'X-Jasmineramp-Response-Signature', self.name.encode())
        )
        if b'x-jasmineramp-request-id' not in named:
            response.headers.append(
                (b'X-Jasmineramp-Request-Id', request_id.encode())
            )
        return response

    async def succeed(self, request: CallerRequest) -> CallerResponse:
        """Answer with the target and the body of the request."""
        return CallerResponse(200, [], request.target + request.body)


class Fleet:
    """Run a store and nodes, each with an upstream."""

    def __init__(
        self,
        memory_bytes: int = DEFAULT_MEMORY_BYTES,
        *,
        bounds: Bounds | None = None,
        domains: str = 'a',
    ) -> None:
        self.memory_bytes = memory_bytes
        self.bounds = bounds or Bounds()
        # Nodes are placed in the failure domains by turns.
        self.domains = domains
        self.store = MetadataStore()
        self.nodes: list[Node] = []
        self.upstreams: list[FakeUpstream] = []
        self.stack = contextlib.ExitStack()

    async def start(
        self, count: int, configuration: dict[str, object] | None = None
    ) -> None:
        """Start nodes, each with an upstream of the same service."""
        self.store_port = await self.store.listen(HOST, 0)
        self.configure(configuration or CONFIGURATION)
        for number in range(count):
            await self.add(number)
        await self.until(self.is_complete)

    async def add(self, number: int) -> None:
        """Start a node and its upstream."""
        upstream = FakeUpstream(f'i-{number}')
        settings = self._settings(number)
        await upstream.server.listen(*settings.upstream)
        node = self._make_node(settings)
        await node.start()
        self.nodes.append(node)
        self.upstreams.append(upstream)
        await self.announce(number)

    async def start_next_process(self, number: int) -> Node:
        """Kill the process of a node and start the next one."""
        killed = self.nodes[number]
        killed.close()
        await asyncio.sleep(0)
        node = self.nodes[number] = self._make_node(killed.settings)
        await node.start()
        return node

    def _make_node(self, settings: NodeSettings) -> Node:
        descriptor = os.open(os.devnull, os.O_WRONLY)
        self.stack.callback(os.close, descriptor)
        return Node(
            settings,
            StoreClient(*settings.store),
            PlatformBinding(),
            DecisionLog(settings.node, descriptor),
            MonotonicClock(),
        )

    async def deregister(self, number: int, **fields: object) -> int:
        """Say that an upstream leaves; return the HTTP status."""
        status, _, _ = await request(
            self.nodes[number].settings.control,
            'POST',
            f'/instances/{self.upstreams[number].name}/deregister',
            {},
            json.dumps(fields).encode() if fields else b'',
        )
        return status

    async def announce(
        self, number: int, state: str = 'ready', **fields: object
    ) -> int:
        """Send a heartbeat of an upstream; return the HTTP status."""
        upstream = self.upstreams[number]
        upstream.sequence += 1
        host, port = self.nodes[number].settings.upstream
        body = {
            'address': f'{host}:{port}',
            'info': {
                'service': 'orders',
                'version': 'v1',
                'zone': 'a',
                'slots': 8,
            },
            'status': {
                'state': state,
                'sequence': upstream.sequence,
                'coldRemaining': '0ms',
            },
            'born': upstream.born,
        } | fields
        status, _, _ = await request(
            self.nodes[number].settings.control,
            'POST',
            f'/instances/{upstream.name}/heartbeat',
            {},
            json.dumps(body).encode(),
        )
        return status

    def configure(self, configuration: dict[str, object]) -> None:
        """Write a configuration as the operator does."""
        self.store.write('op/config', json.dumps(configuration).encode())

    async def call(
        self, number: int, path: str, request_id: str, **options: object
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a call to a node; return status, headers and body."""
        key = options.get('key', KEY)
        headers = {
            'Host': 'a.example',
            'X-Jasmineramp-Request-Id': request_id,
            'X-Jasmineramp-Deadline-Ms': str(options.get('deadline', 3000)),
        }
        if key:
            headers['X-Jasmineramp-Credential'] = str(key)
        return await request(
            self.nodes[number].settings.outbound,
            str(options.get('method', 'GET')),
            path,
            headers,
            bytes(options.get('body', b'')),  # type: ignore[call-overload]
        )

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds, at most TIMEOUT_S."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def close(self) -> None:
        """Stop the nodes, the upstreams and the store."""
        for node in self.nodes:
            node.close()
        for upstream in self.upstreams:
            upstream.server.stop()
        self.store.server.stop()
        self.stack.close()
        await asyncio.sleep(0)

    def is_complete(self) -> bool:
        """Return whether every node knows the table and all instances."""
        return all(
            len(node.routes.targets) == len(self.nodes)
            and node.admission.table is not None
            and node.directory_watch.is_listed
            for node in self.nodes
        )

    def _settings(self, number: int) -> NodeSettings:
        ports = [free_port() for _ in range(6)]
        addresses = [(HOST, port) for port in ports]
        return NodeSettings(
            NodeId(f'n{number}'),
            DomainId(self.domains[number % len(self.domains)]),
            ServiceName('orders'),
            *addresses[:5],
            (HOST, self.store_port),
            addresses[5],
            1500,
            1000,
            self.bounds,
            self.memory_bytes,
        )


async def request(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
) -> tuple[int, dict[str, str], bytes]:
    """Send a request on a new connection; return the response."""
    reader, writer = await asyncio.open_connection(*address)
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines += [f'Content-Length: {len(body)}', 'Connection: close', '', '']
    writer.write('\r\n'.join(lines).encode() + body)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            content = await reader.read()
    finally:
        writer.close()
    head, _, answer = content.partition(b'\r\n\r\n')
    status_line, *header_lines = head.decode('latin-1').split('\r\n')
    response_headers = dict(line.split(': ', 1) for line in header_lines)
    return int(status_line.split()[1]), response_headers, answer
