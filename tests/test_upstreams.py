"""Test the client of the local upstream over real sockets."""

import socket
import struct
import threading
import unittest

from jasmineramp.call_messages import AttemptKind, CallHeader, RunHere
from jasmineramp.clock import MonotonicClock
from jasmineramp.http_messages import HttpRequest
from jasmineramp.upstreams import UpstreamClient
from tests.fakes.sockets import ScriptedUpstream, answer, wait_until

GET = HttpRequest('GET', '/', (), b'')
DEFAULT_TIMEOUT_MS = 20_000


def send_headers_and_reset(sock: socket.socket, request: bytes) -> None:
    """Send the headers, then reset the connection instead of the body."""
    sock.sendall(answer(b'', 100))
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    sock.close()


class ClientCase(unittest.TestCase):
    """Run calls against a scripted upstream."""

    def setUp(self) -> None:
        self.clock = MonotonicClock()
        self.client = UpstreamClient(self.clock)
        self.addCleanup(self.client.close)

    def run_call(
        self,
        port: int,
        timeout_ms: float = DEFAULT_TIMEOUT_MS,
        call_id='c',
        **options,
    ):
        header = CallHeader(
            call_id, 'r', 's', 'w', 'row', 1, 0, 1, timeout_ms, 'n', 1
        )
        decision = RunHere(header, 'token', port, self.clock.now() + timeout_ms)
        return self.client.run(decision, options.pop('request', GET), **options)


class CompleteResponseTest(ClientCase):
    """Guard against partial responses and responses of another call."""

    def test_truncated_body_is_lost_and_the_next_call_succeeds(self) -> None:
        for respond in (
            lambda sock, _: (sock.sendall(answer(b'half', 8)), sock.close()),
            lambda sock, _: (
                sock.sendall(
                    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
                    b'5\r\nhello\r\n'
                ),
                sock.shutdown(socket.SHUT_RDWR),
            ),
            send_headers_and_reset,
            lambda sock, _: sock.shutdown(socket.SHUT_RDWR),
        ):
            upstream = ScriptedUpstream(self, respond, answer(b'whole'))
            first = self.run_call(upstream.port)
            self.assertEqual(first.attempt.kind, AttemptKind.lost)
            self.assertIsNone(first.response)
            second = self.run_call(upstream.port)
            self.assertEqual(second.response.body, b'whole')

    def test_bytes_after_a_body_never_reach_the_next_call(self) -> None:
        upstream = ScriptedUpstream(
            self, answer(b'first') + answer(b'stolen'), answer(b'second')
        )
        self.assertEqual(self.run_call(upstream.port).response.body, b'first')
        self.assertEqual(self.client.idle, [])
        self.assertEqual(self.run_call(upstream.port).response.body, b'second')

    def test_a_late_response_is_not_read_by_the_next_call(self) -> None:
        release = threading.Event()

        def respond_late(sock: socket.socket, request: bytes) -> None:
            release.wait(20)
            sock.sendall(answer(b'late'))

        upstream = ScriptedUpstream(self, respond_late, answer(b'next'))
        first = self.run_call(upstream.port, 50)
        self.assertEqual(first.attempt.kind, AttemptKind.timed_out)
        release.set()
        self.assertEqual(self.run_call(upstream.port).response.body, b'next')

    def test_response_larger_than_a_message_is_rejected(self) -> None:
        upstream = ScriptedUpstream(self, answer(b'x', 1 << 40))
        result = self.run_call(upstream.port)
        self.assertEqual(result.attempt.kind, AttemptKind.lost)

    def test_request_that_cannot_be_encoded_fails(self) -> None:
        upstream = ScriptedUpstream(self, answer(b'x'))
        request = HttpRequest('GET', '/\xe9', (), b'')
        result = self.run_call(upstream.port, request=request)
        self.assertIsNone(result.response)


class DeadlineTest(ClientCase):
    """Guard against calls that outlast their deadline or their caller."""

    def test_socket_timeout_is_the_remaining_time(self) -> None:
        # urllib3 sets the timeout of the connection on every request.
        upstream = ScriptedUpstream(self, answer(b'x'))
        for _ in range(2):
            self.run_call(upstream.port)
            sock = self.client.idle[0].sock
            self.assertEqual(len(upstream.connections), 1)
            self.assertGreater(self.client.idle[0].timeout, 10)
            self.assertIsNotNone(sock)

    def test_slow_response_ends_at_the_deadline(
        self,
    ) -> None:
        test_ended = threading.Event()

        def send_slowly(sock: socket.socket, request: bytes) -> None:
            sock.sendall(b'HTTP/1.1 200 OK\r\n\r\n')
            while not test_ended.wait(0.01):
                sock.sendall(b'x')

        self.addCleanup(test_ended.set)
        upstream = ScriptedUpstream(self, send_slowly)
        result = self.run_call(upstream.port, 300)
        self.assertEqual(result.attempt.kind, AttemptKind.timed_out)
        self.assertIsNone(result.response)

    def test_call_whose_caller_left_is_cancelled(self) -> None:
        upstream = ScriptedUpstream(self, lambda sock, _: None)
        result = self.run_call(upstream.port, caller_left=lambda: True)
        self.assertEqual(result.attempt.kind, AttemptKind.cancelled)

    def test_cancel_aborts_only_the_given_call(self) -> None:
        def respond(sock: socket.socket, request: bytes) -> None:
            if b'/slow' not in request:
                sock.sendall(answer(b'x'))

        upstream = ScriptedUpstream(self, respond)
        results = []
        slow = HttpRequest('GET', '/slow', (), b'')
        thread = threading.Thread(
            target=lambda: results.append(
                self.run_call(upstream.port, call_id='slow', request=slow)
            )
        )
        thread.start()
        wait_until(lambda: 'slow' in self.client.running and upstream.requests)
        self.assertEqual(self.run_call(upstream.port).response.body, b'x')
        self.client.cancel('c')
        self.assertEqual(self.run_call(upstream.port).response.body, b'x')
        self.client.cancel('slow')
        thread.join()
        self.assertEqual(results[0].attempt.kind, AttemptKind.cancelled)


class ConnectionPoolTest(ClientCase):
    """Guard against more connections than concurrent calls."""

    def test_sequential_calls_of_threads_share_one_connection(self) -> None:
        upstream = ScriptedUpstream(self, answer(b'x'))
        for _ in range(5):
            thread = threading.Thread(
                target=self.run_call, args=(upstream.port,)
            )
            thread.start()
            thread.join()
        self.assertEqual(len(upstream.requests), 5)
        self.assertEqual(len(upstream.connections), 1)
