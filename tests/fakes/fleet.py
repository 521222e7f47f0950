"""Run configuration states with a queue of messages that tests control."""

import collections

from jasmineramp import configuration
from jasmineramp.clock import Millis
from jasmineramp.configuration_messages import TABLE_KEY
from jasmineramp.configuration_state import ConfigurationState, make_members
from jasmineramp.effects import Effect, SendMessage
from jasmineramp.ids import DomainId, NodeId, WorkspaceId
from jasmineramp.messages import Message
from jasmineramp.store_messages import (
    CompareAndSwap,
    Operation,
    Outcome,
    StoreAnswer,
    StoreAnswered,
    StoreRequest,
)
from jasmineramp.table import Table, WorkspaceRow
from jasmineramp.table_files import encode_table


def make_body(rate: float) -> bytes:
    """Return the body of a table with this rate."""
    return encode_table(
        Table((), (WorkspaceRow(WorkspaceId('studio'), rate, 10),))
    )


class SmallStore:
    """Apply operations at once; tests set how many messages are lost."""

    def __init__(self) -> None:
        self.values: dict[str, tuple[int, bytes]] = {}
        self.revision = 0
        self.down = False
        self.lost_requests = 0
        self.lost_answers = 0
        self.writes: collections.Counter[str] = collections.Counter()

    def run(self, operation: Operation) -> StoreAnswer:
        if self.down:
            return StoreAnswer(Outcome.not_done)
        revision, body = self.values.get(operation.key, (0, None))
        if not isinstance(operation, CompareAndSwap):
            return StoreAnswer(Outcome.done, revision, body)
        if self.lost_requests:
            self.lost_requests -= 1
            return StoreAnswer(Outcome.unknown)
        if operation.revision != revision:
            return StoreAnswer(Outcome.conflict, revision)
        self.revision += 1
        self.writes[operation.key] += 1
        self.values[operation.key] = (self.revision, operation.body)
        if self.lost_answers:
            self.lost_answers -= 1
            return StoreAnswer(Outcome.unknown)
        return StoreAnswer(Outcome.done, self.revision)

    def put(self, key: str, body: bytes) -> int:
        """Write as an operator whose writes are not lost."""
        self.revision += 1
        self.values[key] = (self.revision, body)
        return self.revision


class Fleet:
    """Hold the nodes of some failure domains and their undelivered messages."""

    def __init__(self, sizes: tuple[int, ...]) -> None:
        self.now = Millis(0)
        self.store = SmallStore()
        self.domains = [DomainId(f'd{index}') for index in range(len(sizes))]
        self.nodes = {
            NodeId(f'{domain}-{index}'): domain
            for domain, size in zip(self.domains, sizes, strict=True)
            for index in range(size)
        }
        self.states: dict[NodeId, ConfigurationState] = {}
        self.dead: set[NodeId] = set()
        self.cut_off: set[DomainId] = set()
        self.queue: list[tuple[NodeId, SendMessage]] = []
        self.delivered: list[tuple[NodeId, SendMessage]] = []
        self.started = 0
        for node in self.nodes:
            self.restart(node)

    def restart(self, node: NodeId) -> None:
        self.started += 1
        self.states[node] = ConfigurationState(
            node, self.nodes[node], self.started, self.domains
        )
        self.queue = [item for item in self.queue if item[1].node != node]
        self.delivered = [
            item for item in self.delivered if item[1].node != node
        ]

    def members(self, node: NodeId):
        alive = [
            other
            for other, domain in self.nodes.items()
            if domain == self.nodes[node] and other not in self.dead
        ]
        contacts = {
            domain: NodeId(f'{domain}-{self.started % 2}')
            for domain in self.domains
            if domain != self.nodes[node]
        }
        return make_members(node, alive, contacts)

    def tick(self, duration: float) -> None:
        self.now = Millis(self.now + duration)
        for node, state in self.states.items():
            if node not in self.dead:
                members = self.members(node)
                self.perform(node, configuration.tick(state, members, self.now))

    def perform(self, node: NodeId, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendMessage):
                self.queue.append((node, effect))
            elif isinstance(effect, StoreRequest):
                answer = self.store.run(effect.operation)
                if self.nodes[node] in self.cut_off:
                    answer = StoreAnswer(Outcome.not_done)
                event = StoreAnswered(
                    effect.role, effect.tag, effect.operation, answer
                )
                state = self.states[node]
                members = self.members(node)
                self.perform(
                    node,
                    configuration.answered(state, event, members, self.now),
                )

    def deliver(self, index: int, *, keep_queued: bool = False) -> None:
        sender, effect = self.queue[index]
        if not keep_queued:
            self.delivered.append(self.queue.pop(index))
        ends = {self.nodes[sender], self.nodes[effect.node]}
        if effect.node in self.dead or (len(ends) > 1 and ends & self.cut_off):
            return
        self.perform(
            effect.node,
            configuration.receive(
                self.states[effect.node],
                sender,
                effect.message,
                self.members(effect.node),
                self.now,
            ),
        )

    def repeat(self, index: int) -> None:
        """Deliver a message again that was delivered before."""
        self.queue.insert(0, self.delivered[index])
        self.deliver(0)

    def lose(self, kind: type[Message]) -> None:
        self.queue = [
            item for item in self.queue if not isinstance(item[1].message, kind)
        ]

    def deliver_all(self) -> None:
        while self.queue:
            self.deliver(0)

    def settle(self, duration: float = 20_000, step: float = 50) -> None:
        for _ in range(int(duration / step)):
            self.tick(step)
            self.deliver_all()

    def edit(self, rate: float) -> int:
        return self.store.put(TABLE_KEY, make_body(rate))

    def revisions(self) -> set[int]:
        return {state.revision for state in self.states.values()}

    def accepted(self) -> set[int]:
        return {state.accepted for state in self.states.values()}
