"""Pass calls on without admission control, or with a static limit.

The proxies are what the node is compared with: same HTTP libraries, no
queue, no ledger, no shares.
"""

import json
import random
import threading

import fire
import urllib3
from urllib3.exceptions import HTTPError
from waitress.server import create_server

DROPPED = frozenset(('CONNECTION', 'HOST', 'CONTENT_LENGTH'))
CONTEXT = 'HTTP_JASMINERAMP_CONTEXT'


class Proxy:
    """Send each call to a random instance of the service of its path."""

    def __init__(self, routes, limits, timeout: float, seed: int) -> None:
        self.routes = routes
        self.timeout = timeout
        self.random = random.Random(seed)
        self.pool = urllib3.PoolManager(num_pools=50, maxsize=200)
        self.slots = {
            path: threading.Semaphore(limit) for path, limit in limits.items()
        }

    def __call__(self, environ, start_response):
        path = environ['PATH_INFO']
        if path.startswith('/.'):
            return self._send(start_response, 200, b'{}')
        prefix = '/' + path.split('/')[1]
        slots = self.slots.get(prefix)
        if slots is not None and not slots.acquire(blocking=False):
            return self._send(start_response, 503, b'{"code": "static_limit"}')
        try:
            return self._pass_on(environ, prefix, start_response)
        finally:
            if slots is not None:
                slots.release()

    def _pass_on(self, environ, prefix: str, start_response):
        port = self.random.choice(self.routes[prefix])
        # The context only marks a call as onward for the stand-in.
        headers = {'Jasmineramp-Context': environ.get(CONTEXT, 'none')}
        if environ.get('HTTP_IDEMPOTENCY_KEY'):
            headers['Idempotency-Key'] = environ['HTTP_IDEMPOTENCY_KEY']
        try:
            answer = self.pool.request(
                environ['REQUEST_METHOD'],
                f'http://127.0.0.1:{port}{environ["PATH_INFO"]}',
                headers=headers,
                timeout=self.timeout,
                retries=False,
            )
        except HTTPError:
            return self._send(start_response, 502, b'{"code": "proxy_lost"}')
        return self._send(start_response, answer.status, answer.data)

    def _send(self, start_response, status: int, body: bytes):
        head = [('Content-Length', str(len(body)))]
        start_response(f'{status} Proxied', head)
        return [body]


def run(port: int, settings: str, seed: int = 1) -> None:
    """Serve with routes and limits from a JSON file."""
    with open(settings, encoding='utf-8') as file:
        read = json.load(file)
    proxy = Proxy(read['routes'], read['limits'], read['timeout'], seed)
    create_server(
        proxy,
        host='127.0.0.1',
        port=port,
        threads=128,
        connection_limit=2000,
        backlog=1024,
        asyncore_use_poll=True,
    ).run()


if __name__ == '__main__':
    fire.Fire(run)
