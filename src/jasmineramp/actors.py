"""Own the state of a node in one actor and perform its effects."""

import contextlib
import threading
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any, Protocol

import msgspec
import pykka

from jasmineramp.call_messages import (
    CallDecision,
    CallerLeft,
    CancelRun,
    Decide,
)
from jasmineramp.clock import Clock
from jasmineramp.effects import Effect, RecordEvent, SendMessage
from jasmineramp.events import Event, Tick
from jasmineramp.ids import CallId, NodeId
from jasmineramp.messages import Message
from jasmineramp.reducer import reduce
from jasmineramp.state import NodeState
from jasmineramp.store_messages import StoreRequest

TICK_MS = 50

Waiter = Callable[[CallDecision], None]


class Performer(Protocol):
    """Perform the effects that reach outside the node."""

    def send(self, node: NodeId, message: Message) -> None:
        """Send a message without blocking; it may be lost."""

    def run_store(self, request: StoreRequest) -> None:
        """Run a store operation in the background."""

    def record(self, event: RecordEvent) -> None:
        """Record an event on the time line."""

    def cancel_run(self, call_id: CallId) -> None:
        """Break the upstream connection of a running call."""


class Delivery(msgspec.Struct, frozen=True):
    """Bring an event to the actor.

    The waiter receives the decision on the call, now or later.
    """

    event: Event
    call_id: CallId = CallId('')
    waiter: Waiter | None = None


class Inspection(msgspec.Struct, frozen=True):
    """Ask the actor to evaluate a function of its state."""

    function: Callable[[NodeState], Any]


class NodeActor(pykka.ThreadingActor):
    """Apply events to the state, one at a time, and perform the effects."""

    use_daemon_thread = True

    def __init__(
        self,
        state: NodeState,
        clock: Clock,
        performer: Performer,
    ) -> None:
        super().__init__()
        self.state = state
        self.clock = clock
        self.performer = performer
        self.waiters: dict[CallId, Waiter] = {}

    def on_receive(self, message: Any) -> Any:
        """Handle one delivery or inspection."""
        if isinstance(message, Inspection):
            return message.function(self.state)
        if message.waiter is not None:
            self.waiters[message.call_id] = message.waiter
        if isinstance(message.event, CallerLeft):
            self.waiters.pop(message.event.call_id, None)
        effects = reduce(self.state, message.event, self.clock.now())
        for effect in effects:
            self.perform(effect)
        return None

    @singledispatchmethod
    def perform(self, effect: Effect) -> None:
        """Perform one effect."""
        raise NotImplementedError(type(effect))

    @perform.register
    def _(self, effect: Decide) -> None:
        waiter = self.waiters.pop(effect.call_id, None)
        if waiter is not None:
            waiter(effect.decision)

    @perform.register
    def _(self, effect: SendMessage) -> None:
        self.performer.send(effect.node, effect.message)

    @perform.register
    def _(self, effect: StoreRequest) -> None:
        self.performer.run_store(effect)

    @perform.register
    def _(self, effect: RecordEvent) -> None:
        self.performer.record(effect)

    @perform.register
    def _(self, effect: CancelRun) -> None:
        self.performer.cancel_run(effect.call_id)


class Ticker:
    """Send a tick every 50 ms, but never a second one before the first."""

    def __init__(self, actor: pykka.ActorRef[NodeActor]) -> None:
        self.actor = actor
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self._run,
            name='ticker',
            daemon=True,
        )

    def start(self) -> None:
        """Begin to send ticks."""
        self.thread.start()

    def close(self) -> None:
        """Send no more ticks."""
        self.stopped.set()

    def _run(self) -> None:
        tick = Delivery(Tick())
        while not self.stopped.wait(TICK_MS / 1000):
            with contextlib.suppress(pykka.ActorDeadError):
                self.actor.ask(tick)
