"""Measure how an edit spreads, with pure states in one process.

Every message takes a fixed delay; decoding is shared between the nodes
and timed apart. Usage:

    python -m bench.configuration_spread --seed=1 --sizes=9,16,128
"""

import collections
import functools
import hashlib
import heapq
import itertools
import math
import random
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import fire
import msgspec

from jasmineramp import configuration
from jasmineramp.clock import Millis
from jasmineramp.configuration_messages import TABLE_KEY
from jasmineramp.configuration_state import ConfigurationState, make_members
from jasmineramp.effects import Effect, SendMessage
from jasmineramp.ids import DomainId, NodeId
from jasmineramp.messages import Message
from jasmineramp.store_messages import (
    CompareAndSwap,
    Outcome,
    StoreAnswer,
    StoreAnswered,
    StoreRequest,
    Watch,
)
from jasmineramp.table import CallRow, KeyRow, Table, WorkspaceRow
from jasmineramp.table_files import decode_table, encode_table

DOMAINS_BY_SIZE = {9: 3, 16: 4, 128: 8, 512: 14, 1500: 14}
TICK_MS = 50
NEAR_MS = 1.0
FAR_MS = 5.0
STORE_MS = 3.0
IDLE_MS = 20_000
SETTLE_MS = 6_000
DAILY_EDITS = 1_500
SECONDS_PER_DAY = 86_400


def make_table(rate: float, rows: int, workspaces: int, keys: int) -> Table:
    """Return a table of a realistic size that differs by a rate."""
    return Table(
        tuple(
            CallRow(f'row-{index}', f'service-{index % 160}', f'/path/{index}')
            for index in range(rows)
        ),
        tuple(
            WorkspaceRow(f'workspace-{index}', rate, 100)
            for index in range(workspaces)
        ),
        tuple(
            KeyRow(
                hashlib.sha256(str(index).encode()).hexdigest(),
                f'workspace-{index % workspaces}',
            )
            for index in range(keys)
        ),
        1500,
    )


class Figures(NamedTuple):
    """Hold what one size gave; times in ms, counts per node."""

    size: int
    domains: int
    p50: float
    p99: float
    longest: float
    accepted_p50: float
    accepted_longest: float
    idle_messages: float
    idle_bytes: float
    edit_messages: float
    edit_bytes: float
    busiest_bytes: float
    idle_store_calls: float
    edit_store_calls: float


class Simulation:
    """Deliver messages of pure states after fixed delays."""

    def __init__(self, size: int, domains: int, seed: int, loss: float) -> None:
        self.random = random.Random(seed)
        self.loss = loss
        self.now = Millis(0)
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        names = [DomainId(f'd{index:02}') for index in range(domains)]
        self.domain_of = {
            NodeId(f'{names[index % domains]}-n{index:04}'): names[
                index % domains
            ]
            for index in range(size)
        }
        self.values: dict[str, tuple[int, bytes]] = {}
        self.revision = 0
        self.watches: list[tuple[NodeId, StoreRequest, float]] = []
        self.messages: collections.Counter[NodeId] = collections.Counter()
        self.bytes: collections.Counter[NodeId] = collections.Counter()
        self.kinds: collections.Counter[str] = collections.Counter()
        self.store_calls = 0
        self.in_force: dict[int, list[float]] = collections.defaultdict(list)
        self.accepted: dict[int, list[float]] = collections.defaultdict(list)
        self.edited: dict[int, float] = {}
        self.states = {
            node: ConfigurationState(
                node, domain, self.random.getrandbits(32), names
            )
            for node, domain in self.domain_of.items()
        }
        by_domain: dict[DomainId, list[NodeId]] = collections.defaultdict(list)
        for node, domain in self.domain_of.items():
            by_domain[domain].append(node)
        self.members = {
            node: make_members(
                node,
                by_domain[domain],
                {
                    other: self.random.choice(by_domain[other])
                    for other in names
                    if other != domain
                },
            )
            for node, domain in self.domain_of.items()
        }
        for node in self.states:
            self.at(self.random.uniform(0, TICK_MS), self.ticker(node))

    def at(self, delay: float, action: Callable[[], None]) -> None:
        entry = (self.now + delay, next(self.order), action)
        heapq.heappush(self.queue, entry)

    def run(self, duration: float) -> None:
        end = self.now + duration
        while self.queue and self.queue[0][0] <= end:
            moment, _, action = heapq.heappop(self.queue)
            self.now = Millis(moment)
            action()
        self.now = Millis(end)

    def ticker(self, node: NodeId) -> Callable[[], None]:
        def tick() -> None:
            self.at(TICK_MS, tick)
            self.step(node, configuration.tick)

        return tick

    def step(self, node: NodeId, function: Any, *arguments: Any) -> None:
        state = self.states[node]
        revision, accepted = state.revision, state.accepted
        effects = function(state, *arguments, self.members[node], self.now)
        if state.revision != revision:
            self.note(self.in_force, revision, state.revision)
        if state.accepted != accepted:
            self.note(self.accepted, accepted, state.accepted)
        for effect in effects:
            self.perform(node, effect)

    def note(self, moments: dict[int, list[float]], old: int, new: int) -> None:
        """Note the time for every edit that the new revision includes."""
        for revision in self.edited:
            if old < revision <= new:
                moments[revision].append(self.now)

    def perform(self, node: NodeId, effect: Effect) -> None:
        if isinstance(effect, SendMessage):
            self.send(node, effect.node, effect.message)
        elif isinstance(effect, StoreRequest):
            self.store_calls += 1
            self.at(STORE_MS / 2, lambda: self.apply(node, effect))

    def send(self, sender: NodeId, node: NodeId, message: Message) -> None:
        size = len(msgspec.msgpack.encode(message))
        self.kinds[type(message).__name__] += 1
        for end in (sender, node):
            self.bytes[end] += size
        self.messages[sender] += 1
        if self.random.random() < self.loss:
            return
        near = self.domain_of[sender] == self.domain_of[node]
        self.at(
            NEAR_MS if near else FAR_MS,
            lambda: self.step(node, configuration.receive, sender, message),
        )

    def apply(self, node: NodeId, request: StoreRequest) -> None:
        operation = request.operation
        revision, body = self.values.get(operation.key, (0, None))
        if isinstance(operation, Watch) and revision <= operation.revision:
            watch = (node, request, self.now)
            self.watches.append(watch)
            self.at(operation.wait_ms, lambda: self.end_watch(watch))
            return
        answer = StoreAnswer(Outcome.done, revision, body)
        if isinstance(operation, CompareAndSwap):
            answer = StoreAnswer(Outcome.conflict, revision)
            if operation.revision == revision:
                answer = StoreAnswer(
                    Outcome.done, self.put(operation.key, operation.body)
                )
        self.answer(node, request, answer)

    def end_watch(self, watch: tuple[NodeId, StoreRequest, float]) -> None:
        if watch in self.watches:
            self.watches.remove(watch)
            node, request, _ = watch
            revision, body = self.values.get(TABLE_KEY, (0, None))
            answer = StoreAnswer(Outcome.done, revision, body)
            self.answer(node, request, answer)

    def answer(
        self, node: NodeId, request: StoreRequest, answer: StoreAnswer
    ) -> None:
        event = StoreAnswered(
            request.role, request.tag, request.operation, answer
        )
        self.at(
            STORE_MS / 2,
            lambda: self.step(node, configuration.answered, event),
        )

    def put(self, key: str, body: bytes) -> int:
        self.revision += 1
        self.values[key] = (self.revision, body)
        if key == TABLE_KEY:
            self.edited[self.revision] = self.now
            for watch in list(self.watches):
                self.end_watch(watch)
        return self.revision


def percentile(figures: list[float], part: float) -> float:
    ordered = sorted(figures)
    return ordered[min(len(ordered) - 1, math.ceil(part * len(ordered)) - 1)]


def measure(
    size: int, seed: int, edits: int, loss: float, rows: int
) -> Figures:
    domains = DOMAINS_BY_SIZE.get(size, 14)
    simulation = Simulation(size, domains, seed, loss)

    def edit(rate: float) -> None:
        table = make_table(rate, rows, 20, rows)
        simulation.put(TABLE_KEY, encode_table(table))

    edit(1)
    simulation.run(SETTLE_MS)
    messages, size_before = (
        simulation.messages.total(),
        simulation.bytes.total(),
    )
    calls = simulation.store_calls
    simulation.run(IDLE_MS)
    idle_messages = (simulation.messages.total() - messages) / IDLE_MS / size
    idle_bytes = (simulation.bytes.total() - size_before) / IDLE_MS / size
    idle_calls = (simulation.store_calls - calls) / IDLE_MS
    messages, size_before = (
        simulation.messages.total(),
        simulation.bytes.total(),
    )
    calls = simulation.store_calls
    before = simulation.bytes.copy()
    simulation.kinds.clear()
    start = simulation.now
    for index in range(edits):
        edit(index + 2)
        simulation.run(simulation.random.uniform(3_000, 6_000))
    simulation.run(SETTLE_MS * (5 if loss else 1))
    duration = simulation.now - start
    extra_messages = simulation.messages.total() - messages
    extra_bytes = simulation.bytes.total() - size_before
    busiest = max((simulation.bytes - before).values())
    spread, accepted, last_accepted = [], [], []
    for revision, moment in list(simulation.edited.items())[1:]:
        assert len(simulation.in_force[revision]) == size, 'not spread'
        spread += [when - moment for when in simulation.in_force[revision]]
        delays = [when - moment for when in simulation.accepted[revision]]
        assert len(delays) == size, 'not accepted'
        accepted += delays
        last_accepted.append(max(delays))
    print(dict(simulation.kinds))
    return Figures(
        size,
        domains,
        percentile(spread, 0.5),
        percentile(spread, 0.99),
        max(spread),
        percentile(accepted, 0.5),
        max(last_accepted),
        idle_messages * 1000,
        idle_bytes * 1000,
        (extra_messages / size - idle_messages * duration) / edits,
        (extra_bytes / size - idle_bytes * duration) / edits,
        (busiest - idle_bytes * duration) / edits,
        idle_calls * 1000,
        (simulation.store_calls - calls - idle_calls * duration) / edits,
    )


def slope(first: Figures, last: Figures, name: str) -> float:
    """Return the exponent of a figure over the number of nodes."""
    figures = getattr(last, name) / max(1e-9, getattr(first, name))
    return math.log(max(figures, 1e-9)) / math.log(last.size / first.size)


def main(
    seed: int = 1,
    sizes: tuple[int, ...] = (9, 16, 128, 512, 1500),
    edits: int = 12,
    loss: float = 0.0,
    rows: int = 300,
) -> None:
    """Measure the spread for some numbers of nodes."""
    body = encode_table(make_table(1, rows, 20, rows))
    start = time.perf_counter()
    for _ in range(10):
        decode_table(body)
    decoding = (time.perf_counter() - start) * 100
    print(f'seed {seed}, {edits} edits, loss {loss}, table {len(body)} bytes')
    print(f'one decode and check takes {decoding:.2f} ms, not in the times')
    configuration.decode_table = functools.lru_cache(4)(decode_table)
    results = []
    for size in sizes if isinstance(sizes, tuple) else (sizes,):
        began = time.perf_counter()
        figures = measure(size, seed, edits, loss, rows)
        results.append(figures)
        rounded = {
            name: round(figure, 2) for name, figure in figures._asdict().items()
        }
        print(rounded, f'{time.perf_counter() - began:.1f} s')
        daily = (
            figures.idle_bytes
            + figures.edit_bytes * DAILY_EDITS / SECONDS_PER_DAY
        )
        print(f'  bytes a second and node at 1,500 edits a day: {daily:.0f}')
    for name in Figures._fields[2:]:
        if len(results) > 1:
            print(f'slope {name}: {slope(results[0], results[-1], name):.2f}')


if __name__ == '__main__':
    fire.Fire(main)
