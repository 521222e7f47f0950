"""Serve scripted HTTP answers over real sockets, and start nodes."""

import contextlib
import random
import socket
import threading
import unittest
from collections.abc import Callable
from http.client import HTTPConnection

import msgspec

from jasmineramp.clock import Clock
from jasmineramp.ids import DomainId, NodeId, Revision
from jasmineramp.node import Node
from jasmineramp.settings import Settings
from jasmineramp.table_files import encode_table, parse_json

_PORTS = (15_000, 32_000)
_random = random.SystemRandom()
_given: set[int] = set()

Answer = bytes | Callable[[socket.socket, bytes], None]


def answer(body: bytes, length: int | None = None) -> bytes:
    size = len(body) if length is None else length
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size + body


def free_port() -> int:
    """Return a free port that the kernel assigns to no client.

    The kernel gives clients ports above this range. A port of that range may
    be taken between this call and the start of the process that listens.
    """
    while True:
        port = _random.randrange(*_PORTS)
        if port in _given:
            continue
        _given.add(port)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(('127.0.0.1', port))
            return port


def read_request(sock: socket.socket) -> bytes:
    data = b''
    while b'\r\n\r\n' not in data:
        part = sock.recv(65_536)
        if not part:
            return b''
        data += part
    head, _, body = data.partition(b'\r\n\r\n')
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            while len(body) < int(line[15:]):
                body += sock.recv(65_536)
    return head + b'\r\n\r\n' + body


class ScriptedUpstream:
    """Answer each request with the next answer; the last one repeats."""

    def __init__(self, test: unittest.TestCase, *answers: Answer) -> None:
        self.answers = list(answers)
        self.requests: list[bytes] = []
        self.connections: list[socket.socket] = []
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.port = self.listener.getsockname()[1]
        test.addCleanup(self.close)
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self.listener.close()
        for sock in self.connections:
            sock.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                self.connections.append(sock)
                threading.Thread(
                    target=self._serve, args=(sock,), daemon=True
                ).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError), sock:
            while request := read_request(sock):
                self.requests.append(request)
                step = self.answers[0]
                if len(self.answers) > 1:
                    self.answers.pop(0)
                if isinstance(step, bytes):
                    sock.sendall(step)
                else:
                    step(sock, request)


def start_node(
    test: unittest.TestCase,
    table: dict,
    name: str = 'n1',
    clock: Clock | None = None,
    **changes,
) -> Node:
    """Start a node in this process with the table in memory."""
    fields = {
        'domains': (DomainId('d'),),
        'caller': f'127.0.0.1:{free_port()}',
        'peer': f'127.0.0.1:{free_port()}',
        'operator': f'127.0.0.1:{free_port()}',
        'table': 'memory',
        'caller_threads': 8,
        'run_threads': 8,
        **changes,
    }
    node = Node(Settings(NodeId(name), DomainId('d'), **fields), clock)
    test.addCleanup(node.close)
    body = encode_table(parse_json(msgspec.json.encode(table)))
    node.load_table(Revision(1), body)
    node.start()
    return node


def connect(test: unittest.TestCase, node: Node) -> HTTPConnection:
    connection = HTTPConnection(node.settings.caller, timeout=10)
    test.addCleanup(connection.close)
    return connection


def announce(node: Node, port: int, service: str = 's', slots: int = 2) -> None:
    """Announce an upstream and wait until calls are routed to it."""
    connection = HTTPConnection(node.settings.caller, timeout=10)
    with contextlib.closing(connection):
        document = {
            'service': service,
            'port': port,
            'slots': slots,
            'connections': slots,
        }
        connection.request(
            'POST', '/.jasmineramp/announce', msgspec.json.encode(document)
        )
        connection.getresponse().read()
    wait_until(
        lambda: node.dispatcher.inspect(
            lambda state: service in state.routing.services
        )
    )


def wait_until(condition: Callable[[], object], seconds: float = 20) -> None:
    """Wait for a condition; raise TimeoutError if it stays false."""
    pause = threading.Event()
    for _ in range(int(seconds * 100)):
        if condition():
            return
        pause.wait(0.01)
    raise TimeoutError(condition)
