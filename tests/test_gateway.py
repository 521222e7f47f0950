"""Test the HTTP server of a node for callers over real sockets."""

import contextlib
import http.client
import json
import logging
import socket
import threading
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from jasmineramp.actors import Delivery
from jasmineramp.authentication import digest_key
from jasmineramp.call_messages import StopRequested, UpstreamAnnounced
from jasmineramp.clock import MILLIS_PER_SECOND, ManualClock, Millis
from jasmineramp.credentials import find_key, strip_headers, strip_query
from jasmineramp.gateway import Gateway, has_open_requests
from jasmineramp.node import LINGER_MS, STOP_POLL_SECONDS
from tests.fakes.sockets import (
    ScriptedUpstream,
    announce,
    answer,
    connect,
    start_node,
    wait_until,
)

KEY = '0123456789abcdef0123456789abcdef'
TABLE = {
    'calls': [
        {'name': 'get', 'service': 's', 'path': '/', 'timeout_ms': 20_000},
        {'name': 'open', 'service': 's', 'path': '/open', 'open': True},
    ],
    'workspaces': [{'name': 'w', 'rate': 1000, 'burst': 1000}],
    'keys': [{'digest': digest_key(KEY), 'workspace': 'w'}],
}
AUTHORIZED = {'X-Api-Key': KEY}


class GatewayCase(unittest.TestCase):
    """Run one node in this process."""

    def setUp(self) -> None:
        self.upstream = ScriptedUpstream(self, answer(b'whole'))
        self.node = start_node(self, TABLE, largest_body_bytes=10_000)
        self.addCleanup(type(self.node).close, self.node)
        announce(self.node, self.upstream.port)

    def get(self, path='/', headers=AUTHORIZED, connection=None):
        connection = connection or connect(self, self.node)
        connection.request('GET', path, headers=headers)
        response = connection.getresponse()
        return response, response.read()

    def exchange(self, data: bytes) -> tuple[bytes, dict]:
        host, _, port = self.node.settings.caller.partition(':')
        with socket.create_connection((host, int(port)), 20) as sock:
            sock.sendall(data)
            reply = b''
            while part := sock.recv(65_536):
                reply += part
        head, _, body = reply.partition(b'\r\n\r\n')
        return head, json.loads(body)


class CredentialTest(GatewayCase):
    """Guard against keys of callers that reach the upstream."""

    def test_key_is_removed_from_every_place_of_a_request(self) -> None:
        # Several Cookie headers arrive as one; names may be percent-encoded.
        cookie = f'a=1, api_key={KEY}; b="x,y"'
        path = f'/p?b=%20&api%5Fkey={KEY}&api_key={KEY}&flag'
        variants = (
            ('/', {'Authorization': f'Bearer {KEY}'}),
            (f'/?api_key={KEY}', {}),
            ('/', {'Cookie': f'api_key={KEY}'}),
            (path, {**AUTHORIZED, 'Cookie': cookie, 'Referer': f'/?k={KEY}'}),
        )
        for target, headers in variants:
            response, body = self.get(target, headers)
            self.assertEqual((response.status, body), (200, b'whole'))
        sent = self.upstream.requests
        self.assertEqual(len(sent), len(variants))
        self.assertNotIn(KEY.encode(), b''.join(sent))
        self.assertIn(b'GET /p?b=%20&flag HTTP/1.1', sent[-1])
        self.assertIn(b'Cookie: a=1; b="x,y"\r\n', sent[-1])

    @given(
        st.text(), st.text(max_size=5), st.text(alphabet='a=&;, "', max_size=9)
    )
    def test_other_parts_of_a_request_are_unchanged(
        self, query, value, cookie
    ) -> None:
        if 'key' not in query and '%' not in query:
            self.assertEqual(strip_query(query), query)
        headers = (('Cookie', f'{cookie}; api_key={KEY}'), ('Other', value))
        remaining_headers = dict(strip_headers(headers, KEY))
        self.assertEqual(remaining_headers['Other'], value)
        self.assertNotIn(KEY, remaining_headers.get('Cookie', ''))
        self.assertEqual(find_key(headers, ''), KEY)

    def test_context_token_is_not_returned_to_the_caller(self) -> None:
        self.upstream.answers = [
            b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
            b'Jasmineramp-Context: token\r\n\r\n'
        ]
        response, _ = self.get()
        self.assertIsNone(response.getheader('Jasmineramp-Context'))


class MalformedRequestTest(GatewayCase):
    """Guard against requests that end the node or get no typed refusal."""

    def test_malformed_requests_get_a_typed_refusal(self) -> None:
        key = f'X-Api-Key: {KEY}\r\n'.encode()
        cases = (
            (b'GET / HTTP/1.1\r\nno colon\r\n\r\n', 400, 'request_malformed'),
            (b'GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n', 400, ''),
            (b'GET / HTTP/1.1\r\nTransfer-Encoding: x\r\n\r\n', 400, ''),
            (b'GET / HTTP/1.1\r\nA: ' + b'x' * 300_000, 400, ''),
            (
                b'PUT / HTTP/1.1\r\nContent-Length: 20000\r\n\r\n',
                413,
                'body_too_large',
            ),
        )
        for data, status, code in cases:
            head, refusal = self.exchange(data)
            self.assertIn(b' %d ' % status, head[:13])
            self.assertEqual(refusal['code'], code or 'request_malformed')
            self.assertEqual(refusal['run'], 'not_run')
        for path in (b'/\xe9', b'/open/../x', b'//open', b'/a\\b', b'/%00'):
            close = b' HTTP/1.1\r\nConnection: close\r\n' + key + b'\r\n'
            _, refusal = self.exchange(b'GET ' + path + close)
            self.assertEqual(refusal['code'], 'request_malformed')
        self.assertEqual(self.upstream.requests, [])
        self.assertEqual(self.get()[1], b'whole')

    def test_incomplete_requests_neither_run_nor_block_others(self) -> None:
        host, _, port = self.node.settings.caller.partition(':')
        for _ in range(self.node.settings.caller_threads + 2):
            sock = socket.create_connection((host, int(port)))
            self.addCleanup(sock.close)
            sock.sendall(b'PUT / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf')
        self.assertEqual(self.get()[1], b'whole')
        self.assertEqual(len(self.upstream.requests), 1)

    def test_exception_in_the_node_is_answered_with_a_typed_refusal(
        self,
    ) -> None:
        logging.getLogger('waitress').setLevel(logging.CRITICAL)
        with mock.patch.object(Gateway, '_read_call', side_effect=KeyError):
            response, body = self.get()
        self.assertEqual(response.status, 500)
        refusal = json.loads(body)
        self.assertEqual(refusal['code'], 'internal_error')
        self.assertEqual(refusal['run'], 'unknown')


class EventFailureTest(GatewayCase):
    """Guard against a node that continues without its actor."""

    def test_exception_in_one_event_does_not_end_the_actor(self) -> None:
        broken = Delivery(UpstreamAnnounced(None))
        self.node.actor.tell(broken)
        self.node.actor.ask(Delivery(StopRequested()))
        self.assertTrue(self.node.state.stopping)


class StopTest(GatewayCase):
    """Guard against a stop that truncates responses or resets connections."""

    def test_running_call_completes_and_connections_are_closed(self) -> None:
        release = threading.Event()

        def respond(sock: socket.socket, request: bytes) -> None:
            release.wait(20)
            sock.sendall(answer(b'x' * 5_000_000))

        self.upstream.answers = [respond]
        results = []
        kept_alive = connect(self, self.node)
        caller = threading.Thread(
            target=lambda: results.append(self.get(connection=kept_alive))
        )
        caller.start()
        wait_until(lambda: self.upstream.requests)
        stop = threading.Thread(target=self.node.stop)
        stop.start()
        wait_until(lambda: self.node.state.stopping)
        refused, body = self.get()
        self.assertEqual(json.loads(body)['code'], 'draining')
        self.assertEqual(refused.getheader('Connection'), 'close')
        release.set()
        caller.join()
        stop.join()
        response, body = results[0]
        self.assertEqual((response.status, len(body)), (200, 5_000_000))
        self.assertEqual(response.getheader('Connection'), 'close')

    def test_response_to_a_slow_reader_is_not_truncated(
        self,
    ) -> None:
        self.upstream.answers = [answer(b'x' * 20_000_000)]
        connection = connect(self, self.node)
        connection.request('GET', '/', headers=AUTHORIZED)
        wait_until(lambda: self.upstream.requests)
        wait_until(lambda: not self.node.dispatcher.inspect(lambda s: s.calls))
        unsent_at_close = []
        self.node.close = lambda: unsent_at_close.append(
            any(has_open_requests(server) for server in self.node.http_servers)
        )
        stop = threading.Thread(target=self.node.stop)
        stop.start()
        # A stop that does not wait would close before the caller reads.
        with contextlib.suppress(TimeoutError):
            wait_until(lambda: unsent_at_close, 3)
        self.assertEqual(len(connection.getresponse().read()), 20_000_000)
        stop.join()
        self.assertEqual(unsent_at_close, [False])


class LingerTest(GatewayCase):
    """Guard against a node that stops listening before its callers know.

    The stop runs in the thread of the test on a clock that it moves.
    """

    def setUp(self) -> None:
        self.release = threading.Event()
        self.addCleanup(self.release.set)
        self.clock = ManualClock(Millis(1000))
        self.ended_at = None
        self.results = []
        self.unexpected = []
        self.upstream = ScriptedUpstream(self, self.respond)
        self.node = start_node(self, TABLE, clock=self.clock)
        announce(self.node, self.upstream.port)
        # A node admits no call in the instant of its start.
        self.clock.advance(LINGER_MS)
        self.release_at = self.clock.now() + 2.5 * LINGER_MS
        self.caller = threading.Thread(target=self.call)

    # After a call of 2.5 s: ConnectionRefusedError in place of "draining".
    def test_new_connection_is_refused_with_draining_after_a_long_call(
        self,
    ) -> None:
        self.open_call()
        self.check_stop()

    # A stop that went on before it was in force cut the call (499).
    def test_call_admitted_while_the_stop_is_delivered_is_not_cut(
        self,
    ) -> None:
        apply = self.node.dispatcher.apply

        def deliver(delivery: Delivery) -> None:
            if isinstance(delivery.event, StopRequested):
                self.open_call()
            apply(delivery)

        with mock.patch.object(self.node.dispatcher, 'apply', deliver):
            self.check_stop()

    def check_stop(self) -> None:
        """Stop; the call must end and each later connection be refused."""
        with mock.patch('jasmineramp.node.time') as time:
            time.sleep = self.pause
            self.node.stop()
        self.caller.join()
        self.assertEqual(self.results, [(200, b'whole')])
        while self.clock.now() < self.ended_at + LINGER_MS:
            self.pause(STOP_POLL_SECONDS)
        self.assertEqual(self.unexpected, [])

    def pause(self, seconds: float) -> None:
        """Move the clock, end the call when it is due, and connect anew."""
        wait_until(lambda: self.node.state.stopping)
        self.clock.advance(seconds * MILLIS_PER_SECOND)
        if self.ended_at is None and self.clock.now() >= self.release_at:
            self.release.set()
            self.caller.join()
            self.ended_at = self.clock.now()
        code = self.connect_anew()
        if code != 'draining':
            self.unexpected.append((code, self.clock.now()))

    def connect_anew(self) -> str:
        """Return the code of the refusal, or the name of the error."""
        try:
            code = json.loads(self.get()[1])['code']
        except (OSError, http.client.HTTPException) as error:
            return type(error).__name__
        channels = self.node.http_servers[0].active_channels
        wait_until(lambda: len(channels) == self.caller.is_alive())
        return code

    def open_call(self) -> None:
        """Open the call that the stop must wait for."""
        self.caller.start()
        wait_until(lambda: self.upstream.requests)

    def call(self) -> None:
        try:
            response, body = self.get()
        except (OSError, http.client.HTTPException) as error:
            self.results.append(type(error).__name__)
        else:
            self.results.append((response.status, body))

    def respond(self, sock: socket.socket, request: bytes) -> None:
        self.release.wait(20)
        sock.sendall(answer(b'whole'))
