"""Run calls: report each step as an event and transfer the data."""

import contextlib
import queue
import secrets
import threading
import time
from concurrent.futures import Executor
from functools import singledispatch

import msgspec

from jasmineramp.actors import Delivery, Dispatcher
from jasmineramp.call_messages import (
    Attempt,
    AttemptEnded,
    AttemptKind,
    BackoffEnded,
    CallArrived,
    CallDecision,
    CallerLeft,
    Deliver,
    Forward,
    HopArrived,
    HopEnded,
    HopRefused,
    Refused,
    Replayed,
    RetryLater,
    RunHere,
)
from jasmineramp.clock import MILLIS_PER_SECOND, Clock
from jasmineramp.events import Event
from jasmineramp.http_messages import HttpRequest, HttpResponse
from jasmineramp.ids import CallId
from jasmineramp.metrics import CallMetrics
from jasmineramp.peers import HopAnswer, HopRequest, PeerNetwork
from jasmineramp.refusals import Refusal, RefusalCode, RunState
from jasmineramp.upstreams import CallerCheck, UpstreamClient, UpstreamResult

# How often a waiting thread checks whether its caller is still connected.
POLL_SECONDS = 0.1
# The node of the instance answers at the deadline; its answer takes time
# to arrive.
ANSWER_GRACE_MS = 50
MAX_STORED_RESPONSE_BYTES = 64 * 1024

CallResult = HttpResponse | Refusal

_WITH_RESPONSE = frozenset((AttemptKind.answered, AttemptKind.shed))
_response_decoder = msgspec.msgpack.Decoder(HttpResponse)


class _PendingHop(msgspec.Struct):
    """Hold the queue on which a thread waits for a peer's answer."""

    address: str
    answers: 'queue.SimpleQueue[UpstreamResult]'


class _Progress(msgspec.Struct):
    """Hold the progress of a call in the thread that runs it."""

    call_id: CallId
    request: HttpRequest
    caller_left: CallerCheck
    stores_response: bool
    response: HttpResponse | None = None


class CallRunner:
    """Run calls from callers and from other nodes."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Clock,
        *,
        upstream: UpstreamClient,
        network: PeerNetwork,
        executor: Executor,
        peer_address: str,
        metrics: CallMetrics,
    ) -> None:
        self.dispatcher = dispatcher
        self.clock = clock
        self.upstream = upstream
        self.network = network
        self.executor = executor
        self.peer_address = peer_address
        self.metrics = metrics
        self.lock = threading.Lock()
        self.hops: dict[CallId, _PendingHop] = {}

    def run(
        self,
        arrived: CallArrived,
        request: HttpRequest,
        caller_left: CallerCheck,
    ) -> CallResult:
        """Run a call to completion and return its response or refusal."""
        progress = _Progress(
            arrived.call_id,
            request,
            caller_left,
            arrived.idempotency_key is not None,
        )
        started = self.clock.now()
        step: CallDecision | CallResult = self.ask(progress, arrived)
        while isinstance(step, CallDecision):
            step = _execute(step, self, progress)
        if arrived.context is None:
            self.metrics.record(step, started)
        return step

    def answer_hop(self, message: HopRequest) -> None:
        """Run a call sent by another node and answer it."""
        header = message.header

        def decide(decision: CallDecision) -> None:
            if isinstance(decision, RunHere):
                # During shutdown the executor rejects new work.
                with contextlib.suppress(RuntimeError):
                    self.executor.submit(self._run_hop, decision, message)
            elif isinstance(decision, HopRefused):
                attempt = Attempt(
                    AttemptKind.refused,
                    refusal=decision.refusal,
                    load=decision.load,
                )
                self._answer(message, UpstreamResult(attempt))

        event = HopArrived(header, secrets.token_hex(16))
        self.dispatcher.apply(Delivery(event, header.call_id, decide))

    def accept_answer(self, message: HopAnswer) -> None:
        """Deliver the answer of a peer to the thread that waits for it.

        A late or repeated answer is dropped because no thread waits.
        """
        with self.lock:
            hop = self.hops.pop(message.call_id, None)
        if hop is None:
            return
        attempt = message.attempt
        if message.response is None and attempt.kind in _WITH_RESPONSE:
            attempt = Attempt(AttemptKind.lost)
        hop.answers.put(UpstreamResult(attempt, message.response))

    def handle_lost_link(self, address: str) -> None:
        """End the attempts that wait for a disconnected peer as lost."""
        with self.lock:
            lost = [
                call_id
                for call_id, hop in self.hops.items()
                if hop.address == address
            ]
            hops = [self.hops.pop(call_id) for call_id in lost]
        for hop in hops:
            hop.answers.put(UpstreamResult(Attempt(AttemptKind.lost)))

    def ask(
        self,
        progress: _Progress,
        event: Event,
    ) -> CallDecision | CallResult:
        """Apply an event and wait for the decision on the call.

        Return a refusal if the caller disconnects first.
        """
        decisions: queue.SimpleQueue[CallDecision] = queue.SimpleQueue()
        delivery = Delivery(event, progress.call_id, decisions.put)
        self.dispatcher.apply(delivery)
        while True:
            try:
                return decisions.get(timeout=POLL_SECONDS)
            except queue.Empty:
                if progress.caller_left():
                    refusal = self.abandon(progress)
                    _end_unused_run(self.dispatcher, decisions)
                    return refusal

    def abandon(self, progress: _Progress) -> Refusal:
        """Abandon a call whose caller disconnected."""
        self.dispatcher.apply(Delivery(CallerLeft(progress.call_id)))
        return Refusal(RefusalCode.cancelled, RunState.unknown)

    def end_attempt(
        self,
        progress: _Progress,
        result: UpstreamResult,
    ) -> CallDecision | CallResult:
        """Report the end of an attempt and return the next step or result."""
        attempt = result.attempt
        response = result.response
        progress.response = response
        if attempt.kind is not AttemptKind.answered or response is None:
            return self.ask(progress, AttemptEnded(progress.call_id, attempt))
        if (
            progress.stores_response
            and len(response.body) <= MAX_STORED_RESPONSE_BYTES
        ):
            encoded_response = msgspec.msgpack.encode(response)
            attempt = msgspec.structs.replace(
                attempt, response=encoded_response
            )
        event = AttemptEnded(progress.call_id, attempt)
        self.dispatcher.apply(Delivery(event))
        return response

    def forward(
        self,
        decision: Forward,
        progress: _Progress,
    ) -> UpstreamResult | None:
        """Run an attempt at another node; return None if the caller left."""
        call_id = decision.header.call_id
        hop = _PendingHop(decision.address, queue.SimpleQueue())
        with self.lock:
            self.hops[call_id] = hop
        message = HopRequest(
            decision.header,
            progress.request,
            self.peer_address,
        )
        if not self.network.send(decision.address, message, wait=True):
            with self.lock:
                self.hops.pop(call_id, None)
            return UpstreamResult(Attempt(AttemptKind.unreachable))
        result = self._wait_for_hop(hop, decision, progress.caller_left)
        if result is None or result.attempt.kind is AttemptKind.timed_out:
            with self.lock:
                self.hops.pop(call_id, None)
        return result

    def _wait_for_hop(
        self,
        hop: _PendingHop,
        decision: Forward,
        caller_left: CallerCheck,
    ) -> UpstreamResult | None:
        answer_deadline = decision.deadline + ANSWER_GRACE_MS
        while True:
            remaining = (answer_deadline - self.clock.now()) / MILLIS_PER_SECOND
            if remaining <= 0:
                return UpstreamResult(Attempt(AttemptKind.timed_out))
            try:
                return hop.answers.get(timeout=min(POLL_SECONDS, remaining))
            except queue.Empty:
                if caller_left():
                    return None

    def _run_hop(self, decision: RunHere, message: HopRequest) -> None:
        try:
            result = self.upstream.run(decision, message.request)
        except Exception:
            # Without this, an exception would occupy the slot forever.
            self._end_hop(message, UpstreamResult(Attempt(AttemptKind.lost)))
            raise
        self._end_hop(message, result)

    def _end_hop(self, message: HopRequest, result: UpstreamResult) -> None:
        ended = HopEnded(message.header.call_id, result.attempt)
        self.dispatcher.apply(Delivery(ended))
        self._answer(message, result)

    def _answer(self, message: HopRequest, result: UpstreamResult) -> None:
        answer = HopAnswer(
            message.header.call_id,
            result.attempt,
            result.response,
        )
        if not self.network.send(message.answer_to, answer):
            with contextlib.suppress(RuntimeError):
                self.executor.submit(
                    self.network.send,
                    message.answer_to,
                    answer,
                    wait=True,
                )


def _end_unused_run(
    dispatcher: Dispatcher,
    decisions: 'queue.SimpleQueue[CallDecision]',
) -> None:
    """Free the slot of a run that was started while its caller left."""
    with contextlib.suppress(queue.Empty):
        decision = decisions.get_nowait()
        if isinstance(decision, RunHere):
            cancelled_attempt = Attempt(AttemptKind.cancelled)
            event = HopEnded(decision.header.call_id, cancelled_attempt)
            dispatcher.apply(Delivery(event))


@singledispatch
def _execute(
    decision: CallDecision,
    runner: CallRunner,
    progress: _Progress,
) -> CallDecision | CallResult:
    raise NotImplementedError(type(decision))


@_execute.register
def _(
    decision: Refused,
    runner: CallRunner,
    progress: _Progress,
) -> CallResult:
    return decision.refusal


@_execute.register
def _(
    decision: Replayed,
    runner: CallRunner,
    progress: _Progress,
) -> CallResult:
    return _response_decoder.decode(decision.response)


@_execute.register
def _(
    decision: Deliver,
    runner: CallRunner,
    progress: _Progress,
) -> CallResult:
    return progress.response or Refusal(
        RefusalCode.upstream_lost,
        RunState.unknown,
    )


@_execute.register
def _(
    decision: RetryLater,
    runner: CallRunner,
    progress: _Progress,
) -> CallDecision | CallResult:
    time.sleep(decision.delay / MILLIS_PER_SECOND)
    return runner.ask(progress, BackoffEnded(progress.call_id))


@_execute.register
def _(
    decision: HopRefused,
    runner: CallRunner,
    progress: _Progress,
) -> CallDecision | CallResult:
    attempt = Attempt(
        AttemptKind.refused,
        refusal=decision.refusal,
        load=decision.load,
    )
    return runner.ask(progress, AttemptEnded(progress.call_id, attempt))


@_execute.register
def _(
    decision: RunHere,
    runner: CallRunner,
    progress: _Progress,
) -> CallDecision | CallResult:
    result = runner.upstream.run(
        decision,
        progress.request,
        progress.caller_left,
    )
    if result.attempt.kind is AttemptKind.cancelled:
        event = HopEnded(decision.header.call_id, result.attempt)
        runner.dispatcher.apply(Delivery(event))
        return runner.abandon(progress)
    return runner.end_attempt(progress, result)


@_execute.register
def _(
    decision: Forward,
    runner: CallRunner,
    progress: _Progress,
) -> CallDecision | CallResult:
    result = runner.forward(decision, progress)
    if result is None:
        return runner.abandon(progress)
    return runner.end_attempt(progress, result)
