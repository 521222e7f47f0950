"""Model senders that choose among instances, on a simulated clock.

A sender hears of an instance only by the replies to its own calls.
"""

import heapq
import itertools
import random
import statistics
from collections import deque
from collections.abc import Callable

import msgspec

from jasmineramp import routing, routing_outcomes
from jasmineramp.clock import Millis
from jasmineramp.ids import DomainId, NodeId, ServiceName
from jasmineramp.load_reports import LoadReport
from jasmineramp.membership_messages import Instance, Upstream
from jasmineramp.mesh.gate_load import LOAD_THRESHOLD_FRACTION
from jasmineramp.mesh.slot_limit import USABLE_SLOT_FRACTION
from jasmineramp.routing_outcomes import CallOutcome

SERVICE = ServiceName('orders')
SAMPLE_MS = 20
WARM_UP_MS = 1_500
LOCAL_LATENCY_MS = 0.5
REMOTE_LATENCY_MS = 5


class Load(msgspec.Struct):
    """Describe instances and the calls to them; a chain runs in sequence."""

    load: float = 0.85
    instances: int = 33
    slots: int = 33
    chains: tuple[tuple[float, int, float], ...] = ((1, 1, 160),)
    speeds: tuple[float, ...] = (0.7, 0.7, 1.7)
    senders: int = 83
    domains: int = 3
    until_ms: float = 4_000
    slow: tuple[float, float, int] = (0, 0, 0)
    burst: tuple[float, float, float] = (0, 0, 1)
    # Instances, from the first, that answer all calls with quick errors.
    failing: int = 0
    failing_from: float = 0


class Server:
    """Run calls in a bounded number of slots and queue the others."""

    def __init__(self, number: int, load: Load) -> None:
        self.number = number
        self.limit = int(load.slots * USABLE_SLOT_FRACTION)
        self.speed = load.speeds[number % len(load.speeds)]
        self.domain = number * load.domains // load.instances
        self.mean_ms = 100.0
        self.running = 0
        self.coming = 0
        self.queue = deque()
        upstream = Upstream(SERVICE, 80, load.slots, 10_000)
        self.node = NodeId(str(number))
        domain = DomainId(str(self.domain))
        self.instance = Instance(self.node, domain, 1, upstream)

    def use(self) -> float:
        return (self.running + len(self.queue)) / self.limit

    def report(self) -> LoadReport:
        busy = self.running + len(self.queue)
        excess = busy - int(self.limit * LOAD_THRESHOLD_FRACTION)
        capacity = self.limit / self.mean_ms * 1000
        return LoadReport(max(0, excess), capacity, busy=busy, limit=self.limit)


class Result(msgspec.Struct):
    """Hold what the model measured, all as ratios but the numbers of calls."""

    spread: float
    worst: float
    found_busy: float
    remote: float
    calls: list[int]


class Model:
    """Run one load with a choice; the choice gets the model and a sender."""

    def __init__(self, load: Load, nodes: int, seed: int = 1) -> None:
        self.load = load
        self.random = random.Random(seed)
        self.servers = [Server(each, load) for each in range(load.instances)]
        self.shares = [share for share, _, _ in load.chains]
        work = sum(share * count * ms for share, count, ms in load.chains)
        speed = sum(server.speed * server.limit for server in self.servers)
        self.rate = load.load * speed / work * sum(self.shares)
        self.states = []
        for sender in range(load.senders):
            domain = DomainId(str(sender % load.domains))
            rng = random.Random(f'{seed}/{sender}')
            state = routing.RoutingState(domain, rng, Millis(0))
            routing.set_nodes(state, nodes)
            instances = [server.instance for server in self.servers]
            routing.set_instances(state, instances, Millis(0))
            self.states.append(state)
        self.now = Millis(0)
        self.events = []
        self.order = itertools.count()
        self.calls = [0] * load.instances
        self.busy = self.remote = 0
        self.spreads, self.uses = [], []

    def run(self, choose: Callable[['Model', int], int]) -> Result:
        self.choose = choose
        self.after(0, self.arrive)
        self.after(0, self.sample)
        while self.now < self.load.until_ms:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        means = [
            statistics.fmean(each) for each in zip(*self.uses, strict=True)
        ]
        total = max(1, sum(self.calls))
        return Result(
            statistics.fmean(self.spreads),
            max(means) / statistics.fmean(means),
            self.busy / total,
            self.remote / total,
            self.calls,
        )

    def after(self, delay: float, action: Callable, *arguments) -> None:
        event = (self.now + delay, next(self.order), action, arguments)
        heapq.heappush(self.events, event)

    def sample(self) -> None:
        if self.now >= WARM_UP_MS:
            uses = [server.use() for server in self.servers]
            self.uses.append(uses)
            self.spreads.append(statistics.pstdev(uses))
        self.after(SAMPLE_MS, self.sample)

    def arrive(self) -> None:
        load = self.load
        start, end, factor = load.burst
        rate = self.rate * (factor if start <= self.now < end else 1)
        chain = self.random.choices(load.chains, self.shares)[0]
        self.send(self.random.randrange(load.senders), chain[1], chain[2])
        self.after(self.random.expovariate(rate), self.arrive)

    def send(self, sender: int, count: int, mean_ms: float) -> None:
        server = self.servers[self.choose(self, sender)]
        is_remote = server.domain != sender % self.load.domains
        latency = REMOTE_LATENCY_MS if is_remote else LOCAL_LATENCY_MS
        if self.now >= WARM_UP_MS:
            self.calls[server.number] += 1
            self.remote += is_remote
        server.coming += 1
        self.after(
            latency, self.reach, server, (sender, count, mean_ms, latency)
        )

    def reach(self, server: Server, call: tuple) -> None:
        server.coming -= 1
        if server.running < server.limit:
            self.start(server, call)
            return
        self.busy += self.now >= WARM_UP_MS
        server.queue.append(call)

    def start(self, server: Server, call: tuple) -> None:
        server.running += 1
        took_ms = self.random.expovariate(1 / call[2]) / server.speed
        start, end, slow = self.load.slow
        if server.number < slow and start <= self.now < end:
            took_ms *= 2.5
        if self.is_failing(server):
            took_ms = 1
        self.after(took_ms, self.end, server, call, took_ms)

    def end(self, server: Server, call: tuple, took_ms: float) -> None:
        server.running -= 1
        is_failing = self.is_failing(server)
        if not is_failing:
            server.mean_ms += 0.05 * (took_ms - server.mean_ms)
        if server.queue:
            self.start(server, server.queue.popleft())
        outcome = CallOutcome.failed if is_failing else CallOutcome.succeeded
        report = server.report()
        self.after(call[3], self.reply, server, call, outcome, report)

    def is_failing(self, server: Server) -> bool:
        is_concerned = server.number < self.load.failing
        return is_concerned and self.now >= self.load.failing_from

    def reply(
        self,
        server: Server,
        call: tuple,
        outcome: CallOutcome,
        report: LoadReport,
    ) -> None:
        sender, count, mean_ms, _ = call
        state = self.states[sender]
        routing_outcomes.record_outcome(
            state, server.node, outcome, self.now, load=report
        )
        if count > 1:
            self.send(sender, count - 1, mean_ms)


def choose_by_reports(model: Model, sender: int) -> int:
    """Choose as the product does."""
    state = model.states[sender]
    return int(routing.choose(state, SERVICE, frozenset(), model.now).node)


def choose_at_random(model: Model, sender: int) -> int:
    """Choose at random by the true speed of the instances."""
    speeds = [server.speed for server in model.servers]
    return model.random.choices(range(len(speeds)), speeds)[0]


def choose_with_full_knowledge(model: Model, sender: int) -> int:
    """Choose the least used instance, with the calls on their way to it."""
    return min(
        model.servers, key=lambda each: each.use() + each.coming / each.limit
    ).number
