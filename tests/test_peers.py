"""Test the links between nodes over real sockets."""

import queue
import threading
import unittest
from unittest import mock

import msgspec
import pynng

from jasmineramp.call_messages import (
    Attempt,
    AttemptKind,
    CallArrived,
    CallHeader,
    CancelCall,
    Forward,
    RunHere,
)
from jasmineramp.call_runner import CallRunner, _Progress
from jasmineramp.clock import MonotonicClock
from jasmineramp.exceptions import AddressInUseError, SettingsError
from jasmineramp.http_messages import HttpRequest, HttpResponse
from jasmineramp.metrics import CallMetrics, NullSink
from jasmineramp.peers import (
    PROTOCOL_VERSION,
    Envelope,
    HopAnswer,
    HopRequest,
    PeerNetwork,
)
from tests.fakes.sockets import free_port, wait_until

GET = HttpRequest('GET', '/', (), b'')
ANSWERED = Attempt(AttemptKind.answered, 200)


def header(call_id: str) -> CallHeader:
    return CallHeader(call_id, 'r', 's', 'w', 'row', 1, 0, 1, 5000, 'n', 1)


def response(body: bytes) -> HttpResponse:
    return HttpResponse(200, 'OK', (), body)


class PeerNetworkCase(unittest.TestCase):
    """Open peer networks on free ports."""

    def open(self, on_message, on_lost=lambda address: None) -> PeerNetwork:
        address = f'127.0.0.1:{free_port()}'
        self.errors: queue.Queue = queue.Queue()
        network = PeerNetwork(
            'n', address, on_message, on_lost, self.errors.put
        )
        network.address = address
        self.addCleanup(network.close)
        network.start()
        return network


class ReceiverTest(PeerNetworkCase):
    """Guard against a message that ends the receiver."""

    def test_malformed_frames_are_reported_and_later_messages_arrive(
        self,
    ) -> None:
        received: queue.Queue = queue.Queue()

        def handle_message(sender, message) -> None:
            if message.call_id == 'fault':
                raise KeyError('fault')
            received.put(message.call_id)

        network = self.open(handle_message)
        body = msgspec.Raw(msgspec.msgpack.encode(CancelCall('c')))
        wrong_version = Envelope(PROTOCOL_VERSION + 1, 'n', body)
        invalid_text = Envelope(PROTOCOL_VERSION, 'n', msgspec.Raw(b'\xa1\xff'))
        deeply_nested = Envelope(
            PROTOCOL_VERSION, 'n', msgspec.Raw(b'\x91' * 9000)
        )
        with pynng.Push0(dial=f'tcp://{network.address}') as push:
            push.send(msgspec.msgpack.encode(wrong_version))
            self.assertIn('version 2', str(self.errors.get(timeout=20)))
            for frame in (
                b'',
                b'\xc1garbage',
                msgspec.msgpack.encode(invalid_text),
                msgspec.msgpack.encode(deeply_nested),
                network.codec.encode('n', CancelCall('fault')),
            ):
                push.send(frame)
                error = self.errors.get(timeout=20)
                self.assertIn('same release', str(error))
            push.send(network.codec.encode('n', CancelCall('good')))
            self.assertEqual(received.get(timeout=20), 'good')

    def test_port_in_use_is_reported_with_a_remedy(self) -> None:
        network = self.open(lambda *_: None)
        arguments = (lambda *_: None,) * 3
        with self.assertRaisesRegex(AddressInUseError, 'stop the process'):
            PeerNetwork('m', network.address, *arguments)
        with self.assertRaisesRegex(SettingsError, 'of this machine'):
            PeerNetwork('m', '192.0.2.1:4000', *arguments)


class HopAnswerTest(PeerNetworkCase):
    """Guard against answers that reach the wrong call or no call."""

    def setUp(self) -> None:
        self.requests: queue.Queue = queue.Queue()
        self.peer = self.open(lambda _, message: self.requests.put(message))
        self.network = self.open(
            lambda _, message: self.runner.accept_answer(message),
            lambda address: self.runner.handle_lost_link(str(address)),
        )
        self.clock = MonotonicClock()
        self.runner = CallRunner(
            mock.Mock(),
            self.clock,
            upstream=mock.Mock(),
            network=self.network,
            executor=mock.Mock(),
            peer_address=self.network.address,
            metrics=CallMetrics(NullSink(), self.clock),
        )

    def forward(self, call_id: str, timeout_ms: float = 20_000):
        results: queue.Queue = queue.Queue()
        decision = Forward(
            header(call_id),
            'p',
            self.peer.address,
            self.clock.now() + timeout_ms,
        )
        progress = _Progress(call_id, GET, lambda: False, False)
        threading.Thread(
            target=lambda: results.put(self.runner.forward(decision, progress)),
            daemon=True,
        ).start()
        return results

    def answer(self, call_id: str, body: bytes | None) -> None:
        reply = None if body is None else response(body)
        message = HopAnswer(call_id, ANSWERED, reply)
        wait_until(lambda: self.peer.send(self.network.address, message))

    def test_late_and_repeated_answers_reach_no_other_call(self) -> None:
        late = self.forward('late', 100)
        self.requests.get(timeout=20)
        timed_out = late.get(timeout=20)
        self.assertEqual(timed_out.attempt.kind, AttemptKind.timed_out)
        first, second = self.forward('first'), self.forward('second')
        for _ in range(2):
            self.requests.get(timeout=20)
        self.answer('late', b'late')
        self.answer('second', b'2')
        self.answer('second', b'repeated')
        self.answer('first', b'1')
        self.assertEqual(first.get(timeout=20).response.body, b'1')
        self.assertEqual(second.get(timeout=20).response.body, b'2')
        self.assertEqual(self.runner.hops, {})

    def test_answer_without_a_response_counts_as_lost(self) -> None:
        results = self.forward('empty')
        self.requests.get(timeout=20)
        self.answer('empty', None)
        result = results.get(timeout=20)
        self.assertEqual(result.attempt.kind, AttemptKind.lost)

    def test_closed_peer_ends_the_calls_that_wait_for_it(self) -> None:
        results = self.forward('c')
        self.requests.get(timeout=20)
        self.peer.close()
        result = results.get(timeout=20)
        self.assertEqual(result.attempt.kind, AttemptKind.lost)

    def test_run_started_while_its_caller_left_frees_its_slot(self) -> None:
        run = RunHere(header('c.1'), 'token', 1, self.clock.now() + 5000)
        events = []

        def apply(delivery) -> None:
            events.append(delivery.event)
            if len(events) == 1:
                waiters.append(delivery.waiter)
            elif len(events) == 2:
                waiters[0](run)

        waiters = []
        self.runner.dispatcher.apply = apply
        arrived = CallArrived('c', 'GET', '/', 'nonce')
        self.runner.run(arrived, GET, lambda: True)
        self.assertEqual(events[-1].call_id, 'c.1')
        self.assertEqual(events[-1].attempt.kind, AttemptKind.cancelled)

    def test_exception_in_a_run_for_a_peer_is_answered(self) -> None:
        self.runner.upstream.run.side_effect = KeyError('fault')
        message = HopRequest(header('c'), GET, self.peer.address)
        run = RunHere(message.header, 'token', 1, self.clock.now())
        with self.assertRaises(KeyError):
            self.runner._run_hop(run, message)
        self.assertTrue(self.runner.dispatcher.apply.called)
