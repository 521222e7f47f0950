"""Own the state of a node, apply its events and perform its effects."""

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
# Gossip, offers and loans need nothing more often.
IDLE_TICK_MS = 200
SHORTEST_TICK_MS = 2

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
        """Record an event on the time line."""

    def count_refusal(self, effect: CountRefusal) -> None:
        """Count a refusal under its reason."""

    def cancel_run(self, call_id: CallId) -> None:
        """Break the upstream connection of a running call."""


class Delivery(msgspec.Struct, frozen=True):
    """Bring an event to the actor.

    The waiter receives the decision on the call, now or later.
    """

    event: Event
    call_id: CallId = CallId('')
    waiter: Waiter | None = None


class Dispatcher:
    """Apply events to the state, one at a time, and perform the effects.

    Threads that run calls apply their events themselves: handing them to the
    thread of the actor costs about 0.1 ms a call.
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
            if self.next_tick() < self.tick_at - SHORTEST_TICK_MS:
                self.wake.set()

    def schedule(self, latest: Millis) -> Millis:
        """Return when to tick next, at the latest at the given time."""
        with self.lock:
            self.tick_at = min(latest, self.next_tick())
            return self.tick_at

    def next_tick(self) -> Millis:
        """Return when a tick is due from now on; the caller holds the lock."""
        now = self.clock.now()
        interval = IDLE_TICK_MS
        if propagation.needs_ticks(self.state):
            interval = TICK_MS
        soonest = max(now + SHORTEST_TICK_MS, self.state.rates.wake_at)
        return Millis(min(now + interval, soonest))

    def inspect(self, function: Callable[[NodeState], _ResultT]) -> _ResultT:
        """Evaluate a function of the state."""
        with self.lock:
            return function(self.state)

    def perform(self, effect: Effect) -> None:
        """Perform one effect."""
        _perform(effect, self)


class NodeActor(pykka.ThreadingActor):
    """Take the events that no call waits for, in the order they arrive."""

    use_daemon_thread = True

    def __init__(self, dispatcher: Dispatcher) -> None:
        super().__init__()
        self.dispatcher = dispatcher

    def on_receive(self, message: Any) -> Any:
        """Apply one delivery.

        A fault in one event must not end the actor, which would end it for
        all later events. A table from a file reports its fault at the start.
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
    """Apply a tick every 50 ms, earlier for parked calls, rarely when idle."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self._run,
            name='ticker',
            daemon=True,
        )

    def start(self) -> None:
        """Begin to apply ticks."""
        self.thread.start()

    def close(self) -> None:
        """Apply no more ticks."""
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
            # An earlier time may be due now, never a later one: events that
            # come all the time must not put the tick off for good.
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
