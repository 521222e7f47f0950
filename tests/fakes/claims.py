"""Simulate several claim nodes with a fake network and the fake store."""

import collections
import heapq
import itertools
import random
from typing import Any

import msgspec

from jasmineramp import idempotency
from jasmineramp.claim_log import digest_body
from jasmineramp.claim_messages import ClaimDecided, ClaimResult, ClaimVerdict
from jasmineramp.claim_settings import ClaimSettings
from jasmineramp.clock import ManualClock
from jasmineramp.effects import Effect, SendMessage
from jasmineramp.ids import (
    CallId,
    DomainId,
    IdempotencyKey,
    NodeId,
    WorkspaceId,
)
from jasmineramp.store_messages import (
    Get,
    Outcome,
    StoreAnswer,
    StoreAnswered,
    StoreRequest,
)
from tests.fakes.store import FakeStore

TICK_MS = 50.0
MEMBERSHIP_UPDATE_INTERVAL_MS = 3000.0
STORE_TIMEOUT_MS = 2000.0
WORKSPACE = WorkspaceId('studio')
DOMAINS = (DomainId('a'), DomainId('b'))


class Network(msgspec.Struct):
    """Hold the faults of the network between nodes and to the store."""

    loss: float = 0
    duplicates: float = 0
    delay_ms: float = 1
    store_delay_ms: float = 2
    unknown_after_ms: float = STORE_TIMEOUT_MS
    late_writes: int = 0
    cut: set[NodeId] = msgspec.field(default_factory=set)


class Node:
    """Hold one process of a node; a restart replaces it by a new one."""

    def __init__(self, settings: ClaimSettings, seed: int) -> None:
        self.state = idempotency.ClaimState(settings, seed)
        self.paused = False
        self.backlog: list[Any] = []


class ClaimFleet:
    """Run the nodes in simulated time and record which calls ran."""

    def __init__(
        self, nodes: int = 3, seed: int = 1, domains: Any = DOMAINS
    ) -> None:
        self.clock = ManualClock()
        self.store = FakeStore(self.clock)
        self.random = random.Random(seed)
        self.network = Network()
        self.domains = domains
        self.counter = itertools.count()
        self.events: list[Any] = []
        self.domains_by_node = {
            NodeId(f'n{index}'): domains[index % len(domains)]
            for index in range(nodes)
        }
        self.incarnations: collections.Counter[NodeId] = collections.Counter()
        self.nodes: dict[NodeId, Node] = {}
        self.runs: collections.Counter[str] = collections.Counter()
        self.calls: dict[CallId, tuple[str, ClaimResult, float]] = {}
        self.decided: dict[CallId, ClaimDecided] = {}
        self.decided_at: dict[CallId, float] = {}
        self.recorded: list[Effect] = []
        for node in self.domains_by_node:
            self.start(node)
        self.update_membership()

    def start(self, node: NodeId) -> None:
        self.incarnations[node] += 1
        settings = ClaimSettings(
            node,
            self.incarnations[node],
            self.domains_by_node[node],
            self.domains,
        )
        self.nodes[node] = Node(settings, self.random.randrange(2**32))

    def crash(self, node: NodeId) -> None:
        self.nodes.pop(node, None)

    def update_membership(self) -> None:
        """Tell every node which nodes are running and not cut off."""
        self.next_membership_update = (
            self.clock.now() + MEMBERSHIP_UPDATE_INTERVAL_MS
        )
        alive = {
            node: self.domains_by_node[node]
            for node, process in self.nodes.items()
            if not process.paused and node not in self.network.cut
        }
        for process in self.nodes.values():
            idempotency.set_members(process.state, alive, self.clock.now())

    def call(
        self,
        node: NodeId,
        key: str,
        *,
        result: ClaimResult = ClaimResult.done,
        duration: float = 100,
        deadline: float = 2000,
        body: bytes = b'order',
    ) -> CallId:
        call_id = CallId(f'c{next(self.counter)}')
        self.calls[call_id] = (key, result, duration)
        call = idempotency.ClaimCall(
            call_id, WORKSPACE, IdempotencyKey(key), digest_body(body), deadline
        )
        self.post(0, node, self.nodes[node], ('claim', call))
        self.run_due()
        return call_id

    def post(
        self, delay: float, node: NodeId, process: Node | None, item: Any
    ) -> None:
        """Queue an event; it is dropped if its given process has crashed."""
        due = self.clock.now() + delay
        heapq.heappush(
            self.events, (due, next(self.counter), node, process, item)
        )

    def advance(self, duration: float, tick: float = TICK_MS) -> None:
        end = self.clock.now() + duration
        while self.clock.now() < end:
            if self.clock.now() >= self.next_membership_update:
                self.update_membership()
            for node, process in list(self.nodes.items()):
                self.handle(node, process, ('tick',))
            self.run_due(min(end, self.clock.now() + tick))

    def run_due(self, until: float | None = None) -> None:
        """Run the queued events up to a time and advance the clock to it."""
        limit = self.clock.now() if until is None else until
        while self.events and self.events[0][0] <= limit:
            due, _, node, process, item = heapq.heappop(self.events)
            self.clock.advance(max(due - self.clock.now(), 0))
            if item[0] == 'store':
                self.run_store(node, process, item[1], item[2])
                continue
            current = self.nodes.get(node)
            if current is not None and process in {None, current}:
                self.handle(node, current, item)
        self.clock.advance(max(limit - self.clock.now(), 0))

    def handle(self, node: NodeId, process: Node, item: Any) -> None:
        if process.paused:
            if item[0] != 'tick':
                process.backlog.append(item)
            return
        now = self.clock.now()
        state = process.state
        match item:
            case ('tick',):
                effects = idempotency.tick(state, now)
            case ('claim', call):
                effects = idempotency.claim(state, call, now)
            case ('message', sender, message):
                effects = idempotency.receive(state, sender, message, now)
            case ('answer', event):
                effects = idempotency.answered(state, event, now)
            case ('finish', call_id, result):
                effects = idempotency.finish(
                    state,
                    call_id,
                    result,
                    now,
                    status=201,
                    response=b'response',
                )
        self.perform(node, process, effects)

    def resume(self, node: NodeId) -> None:
        """Handle the backlog and store requests before the next tick."""
        process = self.nodes[node]
        process.paused = False
        backlog, process.backlog = process.backlog, []
        for item in backlog:
            self.handle(node, process, item)
        self.run_due(self.clock.now() + 20)

    def perform(self, node: NodeId, process: Node, effects: Any) -> None:
        for effect in effects:
            match effect:
                case SendMessage():
                    self.send(node, effect)
                case StoreRequest():
                    delay = self.random.uniform(0, self.network.store_delay_ms)
                    self.post(delay, node, process, ('store', effect, False))
                case ClaimDecided():
                    self.decide(node, process, effect)
                case _:
                    self.recorded.append(effect)

    def send(self, sender: NodeId, effect: SendMessage) -> None:
        network = self.network
        if {sender, effect.node} & network.cut:
            return
        copies = 1 + (self.random.random() < network.duplicates)
        for _ in range(copies):
            if self.random.random() >= network.loss:
                delay = self.random.uniform(0, network.delay_ms)
                item = ('message', sender, effect.message)
                self.post(delay, effect.node, None, item)

    def run_store(
        self, node: NodeId, process: Node, request: StoreRequest, late: bool
    ) -> None:
        operation = request.operation
        if late:
            self.store.run(operation)
            return
        if self.network.late_writes and not isinstance(operation, Get):
            # The answer is lost and the write is applied after the timeout.
            self.network.late_writes -= 1
            self.post(
                2 * STORE_TIMEOUT_MS, node, process, ('store', request, True)
            )
            self.reply(node, process, request, StoreAnswer(Outcome.unknown))
            return
        self.reply(node, process, request, self.store.run(operation))

    def reply(
        self,
        node: NodeId,
        process: Node,
        request: StoreRequest,
        answer: StoreAnswer,
    ) -> None:
        event = StoreAnswered(
            request.role, request.tag, request.operation, answer
        )
        delay = self.random.uniform(0, self.network.store_delay_ms)
        if answer.outcome is Outcome.unknown:
            delay += self.network.unknown_after_ms
        self.post(delay, node, process, ('answer', event))

    def decide(
        self, node: NodeId, process: Node, decided: ClaimDecided
    ) -> None:
        assert decided.call_id not in self.decided, 'decided twice'
        self.decided[decided.call_id] = decided
        self.decided_at[decided.call_id] = self.clock.now()
        if decided.verdict is ClaimVerdict.granted:
            key, result, duration = self.calls[decided.call_id]
            if result is not ClaimResult.not_run:
                self.runs[key] += 1
            item = ('finish', decided.call_id, result)
            self.post(duration, node, process, item)

    def verdict(self, call_id: CallId) -> ClaimVerdict | None:
        decided = self.decided.get(call_id)
        return decided.verdict if decided else None

    def owner(self, partition: int = 0) -> NodeId | None:
        """Return a node that serves a partition, None without one."""
        for node, process in self.nodes.items():
            if process.state.owners[partition].ready:
                return node
        return None
