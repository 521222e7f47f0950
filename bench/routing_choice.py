"""Measure the cost of a choice and the balance over unequal instances.

The balance runs in simulated time: entry nodes send calls with exponential
gaps to instances that differ in speed up to eight times. Usage:
python -m bench.routing_choice [--seed 1] [--calls 60000]
"""

import argparse
import heapq
import random
import time
from collections import deque

from jasmineramp import routing, routing_outcomes
from jasmineramp.clock import Millis
from jasmineramp.ids import DomainId, NodeId, ServiceName
from jasmineramp.load_reports import LoadReport
from jasmineramp.membership_messages import Instance, Upstream
from jasmineramp.routing_outcomes import CallOutcome

SERVICE = ServiceName('orders')
DOMAIN = DomainId('a')
OTHERS = tuple(DomainId(f'b{number}') for number in range(13))
WARM = Millis(100_000)
NOBODY: frozenset[NodeId] = frozenset()
SPEEDS = (1, 1, 2, 2, 4, 4, 8, 8)
SLOTS = 8
SERVICE_MS = 40
USE = 0.8


def make_state(
    weights: list[float], seed: int, domains: tuple[DomainId, ...] = (DOMAIN,)
) -> routing.RoutingState:
    """Return a state with one instance per weight, spread over domains."""
    state = routing.RoutingState(DOMAIN, random.Random(seed), Millis(0))
    instances = [
        Instance(
            NodeId(f'node-{number}'),
            domains[number % len(domains)],
            1,
            Upstream(SERVICE, 80, SLOTS, 1000, weight),
        )
        for number, weight in enumerate(weights)
    ]
    routing.set_instances(state, instances, Millis(0))
    return state


def measure_cost(
    count: int,
    seed: int,
    domains: tuple[DomainId, ...],
    rounds: int = 100_000,
) -> float:
    """Return the microseconds of a choice and its observation."""
    rng = random.Random(seed)
    state = make_state(
        [rng.choice(SPEEDS) for _ in range(count)], seed, domains
    )
    report = LoadReport()
    running: deque[NodeId] = deque()
    started = time.perf_counter()
    for _ in range(rounds):
        chosen = routing.choose(state, SERVICE, NOBODY, WARM)
        running.append(chosen.node)
        if len(running) > 20:
            routing_outcomes.record_outcome(
                state,
                running.popleft(),
                CallOutcome.succeeded,
                WARM,
                load=report,
            )
    return (time.perf_counter() - started) / rounds * 1e6


class Balance:
    """Simulate instances with slots and queues behind entry nodes."""

    def __init__(self, entries: int, weights: list[float], seed: int) -> None:
        self.random = random.Random(seed)
        self.states = [make_state(weights, seed + i) for i in range(entries)]
        self.weights = weights
        self.queues: list[deque] = [deque() for _ in SPEEDS]
        self.running = [0] * len(SPEEDS)
        self.service_ms = [float(SERVICE_MS)] * len(SPEEDS)
        self.latencies: list[float] = []
        self.events: list[tuple] = []
        self.count = 0

    def run(self, calls: int, *, by_routing: bool) -> list[float]:
        """Return the sorted latencies of the calls."""
        capacity = sum(SPEEDS) * SLOTS / SERVICE_MS
        at = float(WARM)
        for _ in range(calls):
            at += self.random.expovariate(capacity * USE)
            self.push(at, None)
        while self.events:
            now, _, state, *call = heapq.heappop(self.events)
            if state is None:
                self.arrive(now, by_routing)
            else:
                self.finish(now, state, *call)
        return sorted(self.latencies)

    def push(self, at: float, *event: object) -> None:
        self.count += 1
        heapq.heappush(self.events, (at, self.count, *event))

    def capacity(self, target: int) -> float:
        """Return the calls a second that the instance's node measured."""
        return SLOTS / self.service_ms[target] * 1000

    def arrive(self, now: float, by_routing: bool) -> None:
        state = self.random.choice(self.states)
        if by_routing:
            chosen = routing.choose(state, SERVICE, NOBODY, Millis(now))
            target = int(chosen.node.removeprefix('node-'))
        else:
            target = self.random.choices(range(len(SPEEDS)), self.weights)[0]
        self.queues[target].append((state, now))
        self.start(now, target)

    def start(self, now: float, target: int) -> None:
        while self.queues[target] and self.running[target] < SLOTS:
            state, started = self.queues[target].popleft()
            self.running[target] += 1
            mean = SERVICE_MS / SPEEDS[target]
            took = self.random.expovariate(1 / mean)
            self.push(now + took, state, target, started, took)

    def finish(
        self,
        now: float,
        state: object,
        target: int,
        started: float,
        took: float,
    ) -> None:
        self.running[target] -= 1
        self.service_ms[target] += 0.05 * (took - self.service_ms[target])
        self.latencies.append(now - started)
        routing_outcomes.record_outcome(
            state,
            NodeId(f'node-{target}'),
            CallOutcome.succeeded,
            Millis(now),
            load=LoadReport(len(self.queues[target]), self.capacity(target)),
        )
        self.start(now, target)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--calls', type=int, default=60_000)
    options = parser.parse_args()
    for count in (10, 1_500):
        for label, domains in (('own domain', (DOMAIN,)), ('13 other', OTHERS)):
            cost = measure_cost(count, options.seed, domains)
            print(f'{count} instances, {label}: {cost:.2f} us per call')
    for label, weights in (
        ('right weights', [float(speed) for speed in SPEEDS]),
        ('equal weights', [1.0] * len(SPEEDS)),
    ):
        for entries in (1, 20, 200):
            for by_routing in (False, True):
                balance = Balance(entries, weights, options.seed)
                found = balance.run(options.calls, by_routing=by_routing)
                last = len(found) - 1
                print(
                    f'{label}, {entries} entry nodes,'
                    f' {"routing" if by_routing else "random "}:'
                    f' mean {sum(found) / len(found):.1f} ms,'
                    f' p50 {found[last // 2]:.1f} ms,'
                    f' p99 {found[round(last * 0.99)]:.1f} ms'
                )


if __name__ == '__main__':
    main()
