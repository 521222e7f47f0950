"""Measure how rate shares follow demand.

Several RateStates and exchanges run in one process; every message takes a
fixed delay. Run with python -m bench.rate_shares [case ...] [--seed N].
"""

import argparse
import heapq
import itertools
import math
import random
import sys
import time
from collections import defaultdict

import msgspec

from jasmineramp import exchange, rates
from jasmineramp.clock import Millis
from jasmineramp.ids import BucketId, DomainId, NodeId, Revision
from jasmineramp.messages import Message
from jasmineramp.rate_messages import (
    DemandReport,
    DomainSummary,
    LenderHints,
    Loan,
    LoanRequest,
    LoanReturn,
)

DELAY_MS = 1.0
TICK_MS = 50
WAIT_MS = 50
# A wake-up must not come before its time by rounding.
ROUNDING_MS = 0.001
DAY_MS = 86_400_000
DRIFT = 0.01
ENCODER = msgspec.msgpack.Encoder()
KINDS = (
    DemandReport | DomainSummary | LenderHints | Loan | LoanRequest | LoanReturn
)
DECODER = msgspec.msgpack.Decoder(KINDS)


class IdealBucket:
    """Admit what one token bucket for the whole fleet would admit."""

    def __init__(self, rate, burst, now):
        self.rate, self.burst = rate, burst
        self.tokens, self.at = burst, now

    def take(self, now):
        passed = (now - self.at) * self.rate / 1000
        self.tokens, self.at = min(self.burst, self.tokens + passed), now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Window:
    """Follow the excess over rate and burst over all windows."""

    def __init__(self, rate, burst):
        self.rate, self.burst = rate, burst
        self.level, self.at = 0.0, 0.0
        self.worst = -burst

    def admit(self, now):
        passed = (now - self.at) * self.rate / 1000
        self.level, self.at = max(0, self.level - passed) + 1, now
        self.worst = max(self.worst, self.level - self.burst)


class Fleet:
    """Run nodes whose messages all take the same delay."""

    def __init__(self, size, domains, limits, seed, skew=0.0):
        self.random = random.Random(seed)
        self.now = 0.0
        self.queue = []
        self.order = itertools.count()
        self.limits = limits
        self.windows = {name: Window(*limit) for name, limit in limits.items()}
        self.calls = []
        self.wakes = {}
        self.messages = self.bytes = 0
        self.received = defaultdict(int)
        self.processor = 0.0
        self.take_time = 0.0
        self.takes = 0
        table = rates.RateTable(
            Revision(1),
            size,
            {name: rates.RateLimit(*limit) for name, limit in limits.items()},
        )
        self.nodes = [NodeId(f'node-{index:04}') for index in range(size)]
        self.domain = {
            node: DomainId(f'domain-{index % domains}')
            for index, node in enumerate(self.nodes)
        }
        self.speed = {
            node: 1 + self.random.uniform(0, skew) for node in self.nodes
        }
        members = [
            exchange.RateMember(node, self.domain[node], slot)
            for slot, node in enumerate(self.nodes)
        ]
        first = {}
        for node in self.nodes:
            first.setdefault(self.domain[node], node)
        self.states, self.exchanges, self.parked = {}, {}, {}
        leaders = set(first.values())
        for slot, node in enumerate(self.nodes):
            state = rates.RateState(node, slot + 1, Millis(0))
            rates.set_limits(state, table, Millis(0))
            rates.accept_limits(state, table.revision, Millis(0))
            lease = rates.SlotLease(slot, Millis(DAY_MS), fresh=True)
            rates.set_slot(state, lease, Millis(0))
            rates.set_exchange(state, first[self.domain[node]])
            self.states[node] = state
            self.parked[node] = []
            if node in leaders:
                hub = exchange.ExchangeState(node, self.domain[node], seed)
                exchange.set_table(hub, table)
                exchange.set_members(hub, members)
                self.exchanges[node] = hub
            self.at(self.random.uniform(0, TICK_MS), self.tick, node)

    def at(self, when, action, *arguments):
        heapq.heappush(self.queue, (when, next(self.order), action, arguments))

    def run(self, until):
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)
        self.now = until

    def send_pending(self, node, now):
        """Send what is due and come back at the time the state asks for."""
        state = self.states[node]
        self.send(node, rates.pending_messages(state, now))
        if state.wake_at < self.wakes.get(node, math.inf):
            self.wakes[node] = state.wake_at
            self.at(
                max(self.now, state.wake_at / self.speed[node]) + ROUNDING_MS,
                self.wake,
                node,
            )

    def wake(self, node):
        start = time.process_time()
        self.wakes.pop(node, None)
        now = self.clock(node)
        self.retry(node, now)
        self.send_pending(node, now)
        self.processor += time.process_time() - start

    def clock(self, node):
        return Millis(self.now * self.speed[node])

    def send(self, sender, effects):
        for effect in effects:
            if effect.node == sender:
                self.at(
                    self.now, self.deliver, sender, sender, None, effect.message
                )
                continue
            data = ENCODER.encode(effect.message)
            self.messages += 1
            self.bytes += len(data)
            self.received[effect.node] += len(data)
            self.received[sender] += len(data)
            self.at(
                self.now + DELAY_MS,
                self.deliver,
                sender,
                effect.node,
                data,
                None,
            )

    def deliver(self, sender, node, data, message):
        start = time.process_time()
        now = self.clock(node)
        message = DECODER.decode(data) if data else message
        state = self.states[node]
        answer: Message | None = None
        if isinstance(message, LoanRequest):
            answer = rates.lend(state, sender, message, now)
        elif isinstance(message, Loan):
            rates.accept_loan(state, sender, message, now)
        elif isinstance(message, LoanReturn):
            rates.accept_return(state, sender, message, now)
        elif isinstance(message, LenderHints):
            rates.accept_hints(state, message, now)
        elif isinstance(message, DomainSummary):
            exchange.receive_summary(self.exchanges[node], message, now)
        else:
            answer = exchange.receive_report(
                self.exchanges[node], sender, message, now
            )
        effects = []
        if answer is not None:
            effects.append(rates.SendMessage(sender, answer))
        self.send(node, effects)
        self.retry(node, now)
        self.send_pending(node, now)
        self.processor += time.process_time() - start

    def tick(self, node):
        start = time.process_time()
        now = self.clock(node)
        effects = rates.tick(self.states[node], now)
        if node in self.exchanges:
            effects += exchange.tick(self.exchanges[node], now)
        self.send(node, effects)
        self.retry(node, now)
        self.send_pending(node, now)
        self.processor += time.process_time() - start
        self.at(self.now + TICK_MS, self.tick, node)

    def retry(self, node, now):
        waiting, self.parked[node] = self.parked[node], []
        for name, arrived, ideal in waiting:
            self.call(node, name, arrived, ideal, parked=True)

    def arrive(self, node, name, ideal):
        start = time.process_time()
        self.call(node, name, self.now, ideal, parked=False)
        self.send_pending(node, self.clock(node))
        self.processor += time.process_time() - start

    def call(self, node, name, arrived, ideal, *, parked):
        now = self.clock(node)
        outcome = None
        if self.now - arrived > WAIT_MS:
            outcome = False
        else:
            taken = rates.take_token(
                self.states[node], name, now, parked=parked
            )
            if isinstance(taken, rates.TokenTaken):
                self.windows[name].admit(self.now)
                outcome = True
            elif isinstance(taken, rates.LoanPending):
                self.parked[node].append((name, arrived, ideal))
                if not parked:
                    self.at(arrived + WAIT_MS + 0.1, self.give_up, node)
            else:
                outcome = False
        if outcome is not None:
            self.calls.append(
                (arrived, name, outcome, ideal, self.now - arrived)
            )

    def give_up(self, node):
        self.retry(node, self.clock(node))

    def offer(self, name, start, end, *, weights, rate, ideal=None):
        """Offer Poisson calls; weights share them out over the nodes."""
        rate_limit, burst = self.limits[name]
        ideal = ideal or IdealBucket(rate_limit, burst, start)
        names = list(weights)
        chances = list(weights.values())
        now = start
        while True:
            now += self.random.expovariate(rate) * 1000
            if now >= end:
                return ideal
            node = self.random.choices(names, chances)[0]
            self.at(now, self.arrive, node, name, ideal.take(now))

    def refused(self, start, end):
        """Return the share of the calls within rate that were refused."""
        within = [
            outcome
            for arrived, _, outcome, ideal, _ in self.calls
            if ideal and start <= arrived < end
        ]
        return within.count(False) / max(1, len(within)), len(within)

    def served_after(self, start, end, part=0.95, span=100):
        """Return when calls within rate are served from then on."""
        total, good = defaultdict(int), defaultdict(int)
        for arrived, _, outcome, ideal, _ in self.calls:
            if ideal and start <= arrived < end:
                place = int((arrived - start) // span)
                total[place] += 1
                good[place] += outcome
        last = -1
        # Three intervals together smooth the chance of single calls.
        for place in range(int((end - start) // span) - 2):
            seen = sum(total[place + more] for more in range(3))
            kept = sum(good[place + more] for more in range(3))
            if seen and kept < part * seen:
                last = place
        return (last + 1) * span

    def excess(self):
        return max(window.worst for window in self.windows.values())

    def reset(self):
        self.messages = self.bytes = 0
        self.received.clear()
        self.processor = 0.0


def report(**figures):
    print(
        ' '.join(
            f'{name}={value:.4g}'
            if isinstance(value, float)
            else f'{name}={value}'
            for name, value in figures.items()
        ),
        flush=True,
    )


NAME = BucketId('workspace:studio')
SIZES = (2, 4, 8, 16, 64, 256, 1500)


class Shift(msgspec.Struct):
    """Describe a load that moves to other nodes while it runs."""

    label: str
    size: int
    domains: int
    limit: tuple[float, float]
    load: float
    seed: int
    after: object
    skew: float = 0


def measure(shift):
    """Offer load, shift it to other nodes at 8 s and report the effect."""
    size, limit = shift.size, shift.limit
    fleet = Fleet(size, shift.domains, {NAME: limit}, shift.seed, shift.skew)
    offered = limit[0] * shift.load
    # Buckets start empty, so that the first seconds tell nothing.
    ideal = fleet.offer(
        NAME, 1000, 8000, weights=everywhere(fleet), rate=offered
    )
    fleet.run(4000)
    fleet.reset()
    fleet.run(8000)
    steady, count = fleet.refused(4000, 8000)
    messages, octets = fleet.messages, fleet.bytes
    fleet.reset()
    fleet.offer(
        NAME,
        8000,
        16000,
        weights=shift.after(fleet),
        rate=offered,
        ideal=ideal,
    )
    fleet.run(16000)
    at_once, _ = fleet.refused(8000, 10000)
    settled, later = fleet.refused(10000, 15000)
    waits = sorted(call[4] for call in fleet.calls if call[2])
    used = sum(call[2] and 10000 <= call[0] < 15000 for call in fleet.calls)
    report(
        case=shift.label,
        nodes=size,
        burst=limit[1],
        load=shift.load,
        excess=float(fleet.excess()),
        served_after_ms=fleet.served_after(8000, 15000),
        refused_steady=steady,
        refused_2s=at_once,
        refused_later=settled,
        calls=f'{count}+{later}',
        admitted_of_rate=used / 5 / limit[0],
        ideal_of_rate=later / 5 / limit[0],
        waited=sum(wait > 0 for wait in waits) / max(1, len(waits)),
        messages_node_s=messages / 4 / size,
        bytes_node_s=octets / 4 / size,
        busiest_bytes_s=max(fleet.received.values(), default=0) / 8,
    )


def everywhere(fleet):
    return dict.fromkeys(fleet.nodes, 1)


def uneven(fleet):
    return {node: 1 / (1 + place) for place, node in enumerate(fleet.nodes)}


def one_node(fleet):
    return {fleet.nodes[-1]: 1}


def one_domain(fleet):
    last = fleet.domain[fleet.nodes[-1]]
    return {node: 1 for node in fleet.nodes if fleet.domain[node] == last}


def run_shift(seed):
    for size, domains in ((12, 3), (16, 4)):
        for load in (0.5, 0.9, 3.0):
            for after in (one_node, one_domain, uneven):
                measure(
                    Shift(
                        after.__name__,
                        size,
                        domains,
                        (400, 200),
                        load,
                        seed,
                        after,
                    )
                )


def run_burst(seed):
    for burst in (1, 2, 5, 10, 20):
        for size, domains in ((12, 3), (256, 14), (1500, 14)):
            for after in (one_node, uneven):
                limit = (100, burst)
                name = f'small_{after.__name__}'
                measure(Shift(name, size, domains, limit, 0.5, seed, after))


def run_skew(seed):
    for load in (0.9, 3.0):
        measure(Shift('skew', 12, 3, (400, 60), load, seed, one_node, DRIFT))


def run_scale(seed):
    points = []
    for size in SIZES:
        domains = min(14, max(1, size // 4))
        limits = {
            BucketId(f'workspace:studio-{index}'): (
                4.0 * size,
                max(20.0, 4.0 * size),
            )
            for index in range(8)
        }
        fleet = Fleet(size, domains, limits, seed)
        for place, name in enumerate(limits):
            # Each workspace calls mostly in a failure domain of its own.
            home = DomainId(f'domain-{place % domains}')
            weights = {
                node: 5 if fleet.domain[node] == home else 1
                for node in fleet.nodes
            }
            fleet.offer(
                name, 1000, 6000, weights=weights, rate=limits[name][0] * 0.8
            )
        fleet.run(4000)
        fleet.reset()
        calls = len(fleet.calls)
        fleet.run(6000)
        octets = fleet.bytes / 2 / size
        busiest = max(fleet.received.values()) / 2
        points.append((size, octets))
        report(
            case='scale',
            nodes=size,
            domains=domains,
            buckets=8,
            load=0.8,
            calls_per_node_s=(len(fleet.calls) - calls) / 2 / size,
            refused=fleet.refused(4000, 5900)[0],
            messages_per_node_s=fleet.messages / 2 / size,
            bytes_per_node_s=octets,
            busiest_bytes_s=busiest,
            processor_percent=100 * fleet.processor / 2 / size,
            excess=float(fleet.excess()),
        )
    (small, first), (large, last) = points[2], points[-1]
    report(
        case='scale',
        slope_bytes_per_added_node=(last - first) / (large - small),
    )


def _size_of(thing, seen):
    if id(thing) in seen or isinstance(thing, type):
        return 0
    seen.add(id(thing))
    total = sys.getsizeof(thing)
    if isinstance(thing, dict):
        parts = itertools.chain(thing.keys(), thing.values())
    elif isinstance(thing, list | tuple | set | frozenset):
        parts = thing
    else:
        names = getattr(thing, '__slots__', None) or getattr(
            thing, '__struct_fields__', ()
        )
        parts = [getattr(thing, name) for name in names]
    return total + sum(_size_of(part, seen) for part in parts)


def run_cost(seed):
    fleet = Fleet(12, 3, {NAME: (1e6, 1e9)}, seed)
    state = fleet.states[fleet.nodes[0]]
    fleet.run(2000)
    for buckets in ((NAME,), (NAME, BucketId('none'))):
        for label, function in (
            ('take', lambda now: rates.take_token(state, NAME, now)),
            (
                'take_all',
                lambda now, b=buckets: rates.take_tokens(state, b, now),
            ),
        ):
            rounds = 100_000
            start = time.perf_counter()
            for index in range(rounds):
                function(Millis(3000 + index / 100))
            spent = (time.perf_counter() - start) / rounds
            report(case=label, microseconds=spent * 1e6)
    for lenders in (0, 11):
        limits = {
            BucketId(f'workspace:{index}'): (100, 100) for index in range(100)
        }
        fleet = Fleet(12, 3, limits, seed)
        node = fleet.nodes[-1]
        if lenders:
            for name in limits:
                fleet.offer(name, 500, 3000, weights={node: 1}, rate=90)
        fleet.run(3000)
        state = fleet.states[node]
        seen = {id(state.tables), id(state.buckets_by_loan)}
        total = _size_of(state.buckets, seen) + _size_of(state.borrowers, seen)
        loans = sum(len(one.borrowed) for one in state.buckets.values())
        report(
            case='memory',
            loans_per_bucket=loans / 100,
            bytes_per_bucket=total / 100,
        )


CASES = {
    'shift': run_shift,
    'burst': run_burst,
    'skew': run_skew,
    'scale': run_scale,
    'cost': run_cost,
}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('cases', nargs='*', choices=[*CASES, []])
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    for case in options.cases or CASES:
        CASES[case](options.seed)


if __name__ == '__main__':
    main()
