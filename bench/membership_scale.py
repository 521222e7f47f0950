"""Measure the cost and the speed of membership at several fleet sizes.

Membership states run in one process with a fixed message delay. Figures
are per node and second; bytes are those of the encoded messages, sent and
received. Usage: python -m bench.membership_scale [--sizes 8,32] [--seed 1]
"""

import argparse
import heapq
import random
import time
import tracemalloc

import msgspec

from jasmineramp import membership
from jasmineramp.clock import Millis
from jasmineramp.effects import SendMessage
from jasmineramp.ids import DomainId, NodeId, ServiceName
from jasmineramp.membership_messages import (
    MembershipMessage,
    MemberStatus,
    NodeEntry,
    Upstream,
    UpstreamState,
)
from jasmineramp.membership_state import MembershipState
from jasmineramp.membership_view import View

DELAY_MS = 5
TICK_MS = 50
INCARNATION = 1_764_832_000_000
DOMAINS = 14
SERVICES = 160
REPLACEMENTS_PER_DAY = 327
TARGET_SIZE = 1_500
DAY_MS = 86_400_000
SETTLE_MS = 15_000


def make_entry(number: int, domains: int, incarnation: int) -> NodeEntry:
    """Describe a node of the target size."""
    return NodeEntry(
        NodeId(f'node-{number:04d}'),
        f'10.1.{number // 250}.{number % 250}:7100',
        DomainId(f'region{number % domains % 5}-d{number % domains:02d}'),
        incarnation,
        1,
        upstream=Upstream(
            ServiceName(f'service-{number % SERVICES:03d}'), 8080, 100, 700
        ),
    )


class Node:
    """Hold a running node and its figures."""

    def __init__(self, state: MembershipState) -> None:
        self.state = state
        self.messages = 0
        self.sent = 0
        self.received = 0
        self.seconds = 0.0


class Fleet:
    """Run nodes with a queue of deliveries and ticks."""

    def __init__(self, size: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.domains = min(DOMAINS, max(1, size // 4))
        self.encode = msgspec.msgpack.Encoder().encode
        self.decode = msgspec.msgpack.Decoder(MembershipMessage).decode
        self.now = 0.0
        self.queue: list[tuple] = []
        self.count = 0
        self.nodes: dict[NodeId, Node] = {}
        self.by_address: dict[str, NodeId] = {}
        self.watched: NodeId | None = None
        self.condition = None
        self.known_at: dict[NodeId, float] = {}
        self.largest = 0
        entries = [
            make_entry(i, self.domains, INCARNATION) for i in range(size)
        ]
        self.next_number = size
        view = View()
        for entry in entries:
            view.put(entry)
        for entry in entries:
            state = MembershipState(
                entry, [], random.Random(self.random.random()), Millis(0)
            )
            state.view = copy_view(view)
            self.start(state)

    def start(self, state: MembershipState) -> None:
        self.nodes[state.node] = Node(state)
        self.by_address[state.entry.address] = state.node
        phase = self.random.random() * 1000
        state.next_ping_at += phase % 500
        state.next_domain_ping_at += phase
        state.next_housekeeping_at += phase % 250
        self.push(self.now + phase % TICK_MS, state.node, None, state)

    def push(self, at: float, node: NodeId, sender: object, body: object):
        self.count += 1
        heapq.heappush(self.queue, (at, self.count, node, sender, body))

    def run(self, duration: float) -> None:
        end = self.now + duration
        while self.queue[0][0] <= end:
            self.now, _, name, sender, body = heapq.heappop(self.queue)
            node = self.nodes.get(name)
            if node is None or (sender is None and node.state is not body):
                continue
            self.step(node, sender, body)
        self.now = end

    def step(self, node: Node, sender: object, body: object) -> None:
        state = node.state
        now = Millis(self.now)
        started = time.perf_counter()
        if sender is None:
            effects = membership.tick(state, now)
            # The upstream announces itself every second.
            membership.announce(state, state.entry.upstream, now)
        else:
            effects = membership.receive(state, sender, self.decode(body), now)
        sent = [
            (effect.node, self.encode(effect.message))
            for effect in effects
            if isinstance(effect, SendMessage)
        ]
        membership.instance_changes(state)
        node.seconds += time.perf_counter() - started
        if sender is None:
            self.push(self.now + TICK_MS, state.node, None, state)
        else:
            node.received += len(body)
        for target, encoded in sent:
            node.messages += 1
            node.sent += len(encoded)
            self.largest = max(self.largest, len(encoded))
            # The id of a seed is its address.
            receiver = self.by_address.get(target, target)
            self.push(self.now + DELAY_MS, receiver, state.node, encoded)
        if self.watched and state.node not in self.known_at:
            entry = state.view.entries.get(self.watched)
            if self.condition(entry):
                self.known_at[state.node] = self.now

    def measure(self, duration: float) -> dict[str, float]:
        """Return the mean figures per node and second over a duration."""
        before = list(self.nodes.values())
        for node in before:
            node.messages = node.sent = node.received = 0
            node.seconds = 0
        self.run(duration)
        scale = len(before) * duration / 1000
        rates = {
            'messages': sum(node.messages for node in before) / scale,
            'sent': sum(node.sent for node in before) / scale,
            'received': sum(node.received for node in before) / scale,
            'cpu_ms': 1000 * sum(node.seconds for node in before) / scale,
        }
        busiest = max(node.sent + node.received for node in before)
        rates['busiest'] = busiest / duration * 1000
        return rates

    def time_until_known(self, watched: NodeId, condition) -> list[float]:
        """Return the time after which each node meets the condition."""
        started = self.now
        self.watched, self.condition, self.known_at = watched, condition, {}
        self.run(SETTLE_MS)
        self.watched = None
        missing = set(self.nodes) - set(self.known_at) - {watched}
        if missing:
            print(f'  {len(missing)} nodes have not heard of {watched}')
        return [
            at - started
            for name, at in self.known_at.items()
            if name != watched
        ]

    def crash_domain(self) -> list[float]:
        """Stop a whole domain; return when each node finds it unavailable."""
        name = self.nodes[self.pick()].state.domain
        for node in list(self.nodes):
            if self.nodes[node].state.domain == name:
                self.nodes.pop(node)
        started = self.now
        found: dict[NodeId, float] = {}
        while self.now < started + 2 * SETTLE_MS:
            self.run(100)
            for node, running in self.nodes.items():
                if not membership.is_available(running.state, name):
                    found.setdefault(node, self.now - started)
        return list(found.values())

    def arrive(self) -> NodeId:
        """Start a new node that knows two seeds."""
        entry = make_entry(self.next_number, self.domains, int(self.now))
        self.next_number += 1
        seeds = [
            node.state.entry.address
            for node in self.random.sample(list(self.nodes.values()), 2)
        ]
        state = MembershipState(
            entry,
            seeds,
            random.Random(self.random.random()),
            Millis(self.now),
        )
        self.start(state)
        return entry.node

    def pick(self) -> NodeId:
        return self.random.choice(sorted(self.nodes))

    def drain(self) -> NodeId:
        """Let a random node announce that its upstream drains."""
        name = self.pick()
        state = self.nodes[name].state
        draining = msgspec.structs.replace(
            state.entry.upstream, state=UpstreamState.draining
        )
        effects = membership.announce(state, draining, Millis(self.now))
        for effect in effects:
            if isinstance(effect, SendMessage):
                body = self.encode(effect.message)
                self.push(self.now + DELAY_MS, effect.node, name, body)
        return name

    def crash(self) -> NodeId:
        """Stop a random node without notice."""
        name = self.pick()
        self.nodes.pop(name)
        return name


def copy_view(view: View) -> View:
    """Copy a view; the entries themselves are shared."""
    copied = View()
    copied.entries = dict(view.entries)
    copied.member_count = view.member_count
    copied.digest = view.digest
    for name, domain in view.domains.items():
        found = type(domain)()
        found.members = list(domain.members)
        found.digest = domain.digest
        copied.domains[name] = found
    return copied


def is_draining(entry: NodeEntry | None) -> bool:
    return (
        entry is not None
        and entry.upstream is not None
        and entry.upstream.state is UpstreamState.draining
    )


def is_dead(entry: NodeEntry | None) -> bool:
    return entry is not None and entry.status >= MemberStatus.dead


def is_known(entry: NodeEntry | None) -> bool:
    return entry is not None


def show_rates(label: str, rates: dict[str, float]) -> None:
    print(
        f'  {label:8} {rates["messages"]:7.2f} messages/s'
        f' {rates["sent"]:8.0f} B/s sent {rates["received"]:8.0f} B/s received'
        f' {rates["cpu_ms"]:7.3f} ms/s processor'
        f' (busiest node {rates["busiest"]:.0f} B/s)'
    )


def show_times(label: str, times: list[float]) -> None:
    times.sort()
    last = len(times) - 1
    print(
        f'  {label:8} known after p50 {times[last // 2]:.0f} ms,'
        f' p99 {times[round(last * 0.99)]:.0f} ms, max {times[last]:.0f} ms'
    )


def measure_memory(size: int) -> float:
    """Return the bytes per entry of a view of decoded entries."""
    encoded = msgspec.msgpack.encode(
        [make_entry(i, DOMAINS, INCARNATION) for i in range(size)]
    )
    tracemalloc.start()
    view = View()
    for entry in msgspec.msgpack.decode(encoded, type=list[NodeEntry]):
        view.put(entry)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / size


def measure_size(size: int, seed: int, span: float, trials: int) -> dict:
    """Print all figures of one fleet size and return the idle ones."""
    fleet = Fleet(size, seed)
    print(f'{size} nodes in {fleet.domains} failure domains', flush=True)
    fleet.run(3_000)
    idle = fleet.measure(span)
    show_rates('idle', idle)
    expected = REPLACEMENTS_PER_DAY * span / DAY_MS * size / TARGET_SIZE
    replacements = max(1, round(expected))
    fleet.crash()
    for _ in range(replacements):
        fleet.arrive()
    show_rates('churn', fleet.measure(span))
    print(f'  churn: {replacements} replacements, expected {expected:.2f}')
    fleet.run(SETTLE_MS)
    for label, act, condition in (
        ('arrival', fleet.arrive, is_known),
        ('drain', fleet.drain, is_draining),
        ('death', fleet.crash, is_dead),
    ):
        times = []
        for _ in range(trials):
            times.extend(fleet.time_until_known(act(), condition))
        show_times(label, times)
    if fleet.domains > 1:
        show_times('cut-off', fleet.crash_domain())
    print(f'  largest message {fleet.largest} B', flush=True)
    return idle


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument('--sizes', default='8,32,128,512,1500')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--span', type=float, default=20_000)
    parser.add_argument('--trials', type=int, default=3)
    options = parser.parse_args()
    print(f'{measure_memory(TARGET_SIZE):.0f} B per entry in a view')
    sizes = [int(each) for each in options.sizes.split(',')]
    found = {
        size: measure_size(size, options.seed, options.span, options.trials)
        for size in sizes
    }
    for small, large in zip(sizes, sizes[1:], strict=False):
        step = large - small
        slopes = ', '.join(
            f'{name} {(found[large][name] - found[small][name]) / step:+.4f}'
            for name in ('messages', 'sent', 'cpu_ms')
        )
        print(f'slope per node from {small} to {large}: {slopes}')


if __name__ == '__main__':
    main()
