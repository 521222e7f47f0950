"""Stand in for an upstream: slots, service times, onward calls, drains."""

import json
import random
import signal
import threading
import time
from collections import Counter
from http.client import HTTPConnection, HTTPException

import fire
from waitress.server import create_server

ANNOUNCE_SECONDS = 1.0
KEY_PLACES = ('HTTP_AUTHORIZATION', 'HTTP_X_API_KEY')


class UpstreamServer:
    """Answer calls with a limited number of slots."""

    def __init__(
        self,
        service: str,
        node: str,
        port: int,
        slots: int,
        service_ms: float,
        onward: tuple[str, ...],
        seed: int,
    ) -> None:
        self.service = service
        self.node = node
        self.port = port
        self.slots = slots
        self.service_ms = service_ms
        self.onward = onward
        self.random = random.Random(seed)
        self.semaphore = threading.Semaphore(slots)
        self.lock = threading.Lock()
        self.runs: Counter[str] = Counter()
        self.stats: Counter[str] = Counter()
        self.draining = threading.Event()
        self.running = 0

    def __call__(self, environ, start_response):
        """Answer one call, a control request or the statistics."""
        path = environ['PATH_INFO']
        if path == '/.stats':
            with self.lock:
                body = {**self.stats, 'runs': dict(self.runs)}
            return self._send(start_response, '200 OK', body)
        if path == '/.control':
            settings = json.loads(environ['wsgi.input'].read())
            self.service_ms = settings.get('service_ms', self.service_ms)
            return self._send(start_response, '200 OK', settings)
        with self.lock:
            self.running += 1
        try:
            return self._serve(environ, start_response)
        finally:
            with self.lock:
                self.running -= 1

    def _serve(self, environ, start_response):
        body = environ['wsgi.input'].read()
        leaked = any(place in environ for place in KEY_PLACES)
        leaked = leaked or 'api_key' in environ['QUERY_STRING']
        leaked = leaked or 'api_key' in environ.get('HTTP_COOKIE', '')
        with self.lock:
            self.stats['calls'] += 1
            self.stats['leaked_keys'] += leaked
            key = environ.get('HTTP_IDEMPOTENCY_KEY')
            if key:
                self.runs[key] += 1
            spread = self.random.uniform(0.7, 1.3)
        with self.semaphore:
            time.sleep(self.service_ms * spread / 1000)
        for path in self.onward:
            status = self._call_onward(environ, path)
            if status >= 400:
                answer = {'failed': path, 'status': status}
                return self._send(
                    start_response, '502 Onward Call Failed', answer
                )
        answer = {
            'service': self.service,
            'port': self.port,
            'path': environ['PATH_INFO'],
            'length': len(body),
            'echo': environ.get('HTTP_ECHO', ''),
        }
        return self._send(start_response, '200 OK', answer)

    def _call_onward(self, environ, path: str) -> int:
        connection = HTTPConnection(self.node, timeout=10)
        try:
            connection.request(
                'GET',
                path,
                headers={
                    'Jasmineramp-Context': environ.get(
                        'HTTP_JASMINERAMP_CONTEXT', ''
                    ),
                },
            )
            response = connection.getresponse()
            response.read()
        except (OSError, HTTPException):
            return 599
        else:
            return response.status
        finally:
            connection.close()

    def _send(self, start_response, status: str, document) -> list[bytes]:
        body = json.dumps(document).encode()
        start_response(
            status,
            [
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(body))),
            ],
        )
        return [body]

    def announce_forever(self, connections: int) -> None:
        """Announce the upstream to its node every second."""
        connection = HTTPConnection(self.node, timeout=2)
        while True:
            state = 'draining' if self.draining.is_set() else 'ready'
            document = {
                'service': self.service,
                'port': self.port,
                'slots': self.slots,
                'connections': connections,
                'state': state,
            }
            try:
                connection.request(
                    'POST', '/.jasmineramp/announce', json.dumps(document)
                )
                connection.getresponse().read()
            except (OSError, HTTPException):
                connection.close()
            time.sleep(ANNOUNCE_SECONDS)


def run(
    service: str,
    node: str,
    port: int,
    slots: int = 20,
    service_ms: float = 20,
    connections: int = 200,
    onward: str = '',
    seed: int = 1,
) -> None:
    """Serve until SIGTERM, then drain."""
    paths = tuple(part for part in str(onward).split('+') if part)
    upstream = UpstreamServer(
        service, node, port, slots, service_ms, paths, seed
    )
    server = create_server(
        upstream,
        host='127.0.0.1',
        port=port,
        threads=connections,
        connection_limit=connections + 50,
        asyncore_use_poll=True,
        backlog=1024,
    )
    threading.Thread(
        target=upstream.announce_forever, args=(connections,), daemon=True
    ).start()
    threading.Thread(target=server.run, daemon=True).start()
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    stop.wait()
    upstream.draining.set()
    time.sleep(2 * ANNOUNCE_SECONDS)
    while upstream.running:
        time.sleep(0.05)


if __name__ == '__main__':
    fire.Fire(run)
