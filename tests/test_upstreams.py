"""Test the client of the own upstream over real sockets."""

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
LONG_MS = 20_000


def reset(sock: socket.socket, request: bytes) -> None:
    """Send a head, then reset the connection instead of the body."""
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
        self, port: int, within: float = LONG_MS, call_id='c', **options
    ):
        header = CallHeader(
            call_id, 'r', 's', 'w', 'row', 1, 0, 1, within, 'n', 1
        )
        decision = RunHere(header, 'token', port, self.clock.now() + within)
        return self.client.run(decision, options.pop('request', GET), **options)


class WholeResponseTest(ClientCase):
    """Guard against a part of a response, or another call's response."""

    def test_truncated_bodies_are_lost_and_the_next_call_is_whole(self) -> None:
        for broken in (
            lambda sock, _: (sock.sendall(answer(b'half', 8)), sock.close()),
            lambda sock, _: (
                sock.sendall(
                    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
                    b'5\r\nhello\r\n'
                ),
                sock.shutdown(socket.SHUT_RDWR),
            ),
            reset,
            lambda sock, _: sock.shutdown(socket.SHUT_RDWR),
        ):
            upstream = ScriptedUpstream(self, broken, answer(b'whole'))
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

        def late(sock: socket.socket, request: bytes) -> None:
            release.wait(20)
            sock.sendall(answer(b'late'))

        upstream = ScriptedUpstream(self, late, answer(b'next'))
        first = self.run_call(upstream.port, 50)
        self.assertEqual(first.attempt.kind, AttemptKind.timed_out)
        release.set()
        self.assertEqual(self.run_call(upstream.port).response.body, b'next')

    def test_a_response_larger_than_a_message_is_refused(self) -> None:
        upstream = ScriptedUpstream(self, answer(b'x', 1 << 40))
        result = self.run_call(upstream.port)
        self.assertEqual(result.attempt.kind, AttemptKind.lost)

    def test_a_request_that_cannot_be_encoded_ends(self) -> None:
        upstream = ScriptedUpstream(self, answer(b'x'))
        request = HttpRequest('GET', '/\xe9', (), b'')
        result = self.run_call(upstream.port, request=request)
        self.assertIsNone(result.response)


class DeadlineTest(ClientCase):
    """Guard against calls that outlive their deadline or their caller."""

    def test_the_timeout_of_the_socket_is_the_remaining_time(self) -> None:
        # urllib3 sets the timeout of the connection with every request.
        upstream = ScriptedUpstream(self, answer(b'x'))
        for _ in range(2):
            self.run_call(upstream.port)
            sock = self.client.idle[0].sock
            self.assertEqual(len(upstream.connections), 1)
            self.assertGreater(self.client.idle[0].timeout, 10)
            self.assertIsNotNone(sock)

    def test_a_response_that_arrives_byte_by_byte_ends_at_the_deadline(
        self,
    ) -> None:
        ended = threading.Event()

        def trickle(sock: socket.socket, request: bytes) -> None:
            sock.sendall(b'HTTP/1.1 200 OK\r\n\r\n')
            while not ended.wait(0.01):
                sock.sendall(b'x')

        self.addCleanup(ended.set)
        upstream = ScriptedUpstream(self, trickle)
        result = self.run_call(upstream.port, 300)
        self.assertEqual(result.attempt.kind, AttemptKind.timed_out)
        self.assertIsNone(result.response)

    def test_a_call_whose_caller_left_is_cancelled(self) -> None:
        upstream = ScriptedUpstream(self, lambda sock, _: None)
        result = self.run_call(upstream.port, caller_left=lambda: True)
        self.assertEqual(result.attempt.kind, AttemptKind.cancelled)

    def test_cancel_breaks_only_the_named_call(self) -> None:
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


class PoolTest(ClientCase):
    """Guard against more connections than calls at the same time."""

    def test_threads_share_one_connection(self) -> None:
        upstream = ScriptedUpstream(self, answer(b'x'))
        for _ in range(5):
            thread = threading.Thread(
                target=self.run_call, args=(upstream.port,)
            )
            thread.start()
            thread.join()
        self.assertEqual(len(upstream.requests), 5)
        self.assertEqual(len(upstream.connections), 1)
