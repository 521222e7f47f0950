"""Apply the events of a node to its state and perform the effects."""

import threading
from collections.abc import Callable
from functools import singledispatch
from typing import Any, Protocol, TypeVar

import msgspec
import pykka

from jasmineramp import propagation
from jasmineramp.call_messages import (
    CallDecision,
    CallerLeft,
    CancelRun,
    Decide,
    TableLoaded,
)
from jasmineramp.clock import MILLIS_PER_SECOND, ORIGIN, Clock, Millis
from jasmineramp.effects import (
    CountRefusal,
    Effect,
    RecordEvent,
    SendMessage,
)
from jasmineramp.events import Event, Tick
from jasmineramp.ids import CallId, NodeId
from jasmineramp.logs import get_logger
from jasmineramp.messages import Message
from jasmineramp.rate_buckets import NEVER
from jasmineramp.reducer import reduce
from jasmineramp.state import NodeState
from jasmineramp.store_messages import StoreRequest

TICK_MS = 50
# Gossip, offers and loans need no shorter interval.
IDLE_TICK_MS = 200
MIN_TICK_MS = 2

_log = get_logger(__name__)

Waiter = Callable[[CallDecision], None]
_ResultT = TypeVar('_ResultT')


class Performer(Protocol):
    """Perform the effects that reach outside the node."""

    def send(self, node: NodeId, message: Message) -> None:
        """Send a message without blocking; it may be lost."""

    def run_store(self, request: StoreRequest) -> None:
        """Run a store operation in the background."""

    def record(self, event: RecordEvent) -> None:
        """Record an event on the timeline."""

    def count_refusal(self, effect: CountRefusal) -> None:
        """Count a refusal by its reason."""

    def cancel_run(self, call_id: CallId) -> None:
        """Abort the upstream connection of a running call."""


class Delivery(msgspec.Struct, frozen=True):
    """Carry an event to the dispatcher.

    The waiter is called with the decision on the call, possibly later.
    """

    event: Event
    call_id: CallId = CallId('')
    waiter: Waiter | None = None


class Dispatcher:
    """Apply events to the state, one at a time, and perform the effects.

    Threads that run calls apply their events directly, because passing them
    to the thread of the actor costs about 0.1 ms per call.
    """

    def __init__(
        self,
        state: NodeState,
        clock: Clock,
        performer: Performer,
    ) -> None:
        self.state = state
        self.clock = clock
        self.performer = performer
        self.lock = threading.Lock()
        self.waiters: dict[CallId, Waiter] = {}
        self.wake = threading.Event()
        self.tick_at = ORIGIN

    def apply(self, delivery: Delivery) -> None:
        """Apply one event and perform its effects."""
        with self.lock:
            if delivery.waiter is not None:
                self.waiters[delivery.call_id] = delivery.waiter
            if isinstance(delivery.event, CallerLeft):
                self.waiters.pop(delivery.event.call_id, None)
            effects = reduce(self.state, delivery.event, self.clock.now())
            for effect in effects:
                self.perform(effect)
            if self.next_tick() < self.tick_at - MIN_TICK_MS:
                self.wake.set()

    def schedule(self, latest: Millis) -> Millis:
        """Return the time of the next tick, no later than the given time."""
        with self.lock:
            self.tick_at = min(latest, self.next_tick())
            return self.tick_at

    def next_tick(self) -> Millis:
        """Return when the next tick is due; the caller must hold the lock."""
        now = self.clock.now()
        interval = IDLE_TICK_MS
        if propagation.needs_ticks(self.state):
            interval = TICK_MS
        earliest = max(now + MIN_TICK_MS, self.state.rates.wake_at)
        return Millis(min(now + interval, earliest))

    def inspect(self, function: Callable[[NodeState], _ResultT]) -> _ResultT:
        """Return the result of a function of the state."""
        with self.lock:
            return function(self.state)

    def perform(self, effect: Effect) -> None:
        """Perform one effect."""
        _perform(effect, self)


class NodeActor(pykka.ThreadingActor):
    """Apply the events that no call waits for in order of arrival."""

    use_daemon_thread = True

    def __init__(self, dispatcher: Dispatcher) -> None:
        super().__init__()
        self.dispatcher = dispatcher

    def on_receive(self, message: Any) -> Any:
        """Apply one delivery.

        An exception in one event must not end the actor, because later events
        would not be applied. A table from a file raises its error at start.
        """
        try:
            self.dispatcher.apply(message)
        except Exception as error:
            if isinstance(message.event, TableLoaded):
                raise
            _log.exception(
                'event_failed',
                kind=type(message.event).__name__,
                error=type(error).__name__,
            )


class Ticker:
    """Apply a tick every 50 ms, sooner for parked calls, 200 ms when idle."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self._run,
            name='ticker',
            daemon=True,
        )

    def start(self) -> None:
        """Start the thread that applies ticks."""
        self.thread.start()

    def close(self) -> None:
        """Stop applying ticks."""
        self.stopped.set()
        self.dispatcher.wake.set()

    def _run(self) -> None:
        tick = Delivery(Tick())
        while not self.stopped.is_set():
            self._wait()
            self.dispatcher.apply(tick)

    def _wait(self) -> None:
        dispatcher = self.dispatcher
        due = dispatcher.schedule(NEVER)
        while not self.stopped.is_set():
            delay = max(0, due - dispatcher.clock.now())
            if not dispatcher.wake.wait(delay / MILLIS_PER_SECOND):
                return
            dispatcher.wake.clear()
            # Only move the tick to an earlier time: a steady stream of events
            # must not postpone it indefinitely.
            due = dispatcher.schedule(due)


@singledispatch
def _perform(effect: Effect, dispatcher: Dispatcher) -> None:
    raise NotImplementedError(type(effect))


@_perform.register
def _(effect: Decide, dispatcher: Dispatcher) -> None:
    waiter = dispatcher.waiters.pop(effect.call_id, None)
    if waiter is not None:
        waiter(effect.decision)


@_perform.register
def _(effect: SendMessage, dispatcher: Dispatcher) -> None:
    dispatcher.performer.send(effect.node, effect.message)


@_perform.register
def _(effect: StoreRequest, dispatcher: Dispatcher) -> None:
    dispatcher.performer.run_store(effect)


@_perform.register
def _(effect: RecordEvent, dispatcher: Dispatcher) -> None:
    dispatcher.performer.record(effect)


@_perform.register
def _(effect: CountRefusal, dispatcher: Dispatcher) -> None:
    dispatcher.performer.count_refusal(effect)


@_perform.register
def _(effect: CancelRun, dispatcher: Dispatcher) -> None:
    dispatcher.performer.cancel_run(effect.call_id)
