"""Measure the admission policies on one simulated instance.

The policies are compared with a pass-through (bounded by the connections
only) and with a static limit at the announced slots; both queue calls in
order of arrival and do not cancel running calls.

Usage:
python -m bench.admission_policy [--seed 1] [--size NAME] [--policy] [--cost]
"""

import argparse
import collections
import itertools
import time

from bench.instance_simulation import (
    BEGIN,
    DEADLINE,
    END,
    STOP,
    TRIP,
    WEIGHTS,
    Load,
    Simulation,
)
from jasmineramp import admission
from jasmineramp.admission import (
    AdmissionState,
    QueuedCall,
    Refuse,
    Start,
)
from jasmineramp.limits import CallOutcome, Limiter
from jasmineramp.refusals import RefusalCode
from jasmineramp.shed_levels import ShedLevels

SIZES = {
    'casedesk': (150, 1000),
    'catalogue': (100, 700),
    'reports': (40, 350),
    'tracking': (15, 200),
}


def surge(now: float) -> Load:
    return Load(3 if BEGIN <= now < END else 0.7)


def cold(now: float) -> Load:
    if now < BEGIN:
        return Load(0)
    return Load(0.7, min(1, 0.2 + 0.8 * (now - BEGIN) / (END - BEGIN)))


def contention(now: float) -> Load:
    return Load(0.7, 0.4 if BEGIN <= now < END else 1)


def slow_backend(now: float) -> Load:
    return Load(0.7, 1, 3 if BEGIN <= now < END else 1)


def steady(now: float) -> Load:
    return Load(0.85)


SCENARIOS = (steady, surge, cold, contention, slow_backend)


class Policy:
    """Run the admission policies with an entry node in front."""

    cancels = True

    def __init__(self, slots, connections) -> None:
        self.state = AdmissionState(Limiter(slots, connections))
        self.levels = ShedLevels()
        self.reports = collections.deque()

    def admits(self, importance, now) -> bool:
        while self.reports and self.reports[0][0] <= now:
            _, level = self.reports.popleft()
            self.levels.observe('service', 'node', level, now)
        return not self.levels.refuses('service', importance, now)

    def offer(self, call, now) -> list:
        return self.report(admission.offer(self.state, call, now), now)

    def finish(self, call_id, outcome, now) -> list:
        decisions = admission.finish(self.state, call_id, outcome, now)
        level = admission.shed_level(self.state, now)
        self.reports.append((now + TRIP, level))
        return self.report(decisions, now)

    def tick(self, now) -> list:
        return self.report(admission.expire(self.state, now), now)

    def report(self, decisions, now) -> list:
        if any(isinstance(decision, Refuse) for decision in decisions):
            level = admission.shed_level(self.state, now)
            self.reports.append((now + TRIP, level))
        return decisions


class Static:
    """Run at most a fixed number of calls, in order of arrival."""

    cancels = False

    def __init__(self, slots, connections) -> None:
        self.limit = slots
        self.capacity = slots
        self.queue = collections.deque()
        self.running = set()

    def admits(self, importance, now) -> bool:
        return True

    def offer(self, call, now) -> list:
        if len(self.running) < self.limit:
            self.running.add(call.call_id)
            return [Start(call)]
        if len(self.queue) >= self.capacity:
            return [Refuse(call, RefusalCode.overloaded)]
        self.queue.append(call)
        return [admission.Wait(call)]

    def finish(self, call_id, outcome, now) -> list:
        self.running.discard(call_id)
        decisions = []
        while self.queue and len(self.running) < self.limit:
            call = self.queue.popleft()
            if call.deadline <= now:
                decisions.append(Refuse(call, RefusalCode.deadline_exceeded))
                continue
            self.running.add(call.call_id)
            decisions.append(Start(call))
        return decisions

    def tick(self, now) -> list:
        return []


class PassThrough(Static):
    """Run whatever the connections permit."""

    def __init__(self, slots, connections) -> None:
        super().__init__(slots, connections)
        self.limit = connections
        self.capacity = 10**9


def measure(size: str, seed: int, systems: tuple) -> None:
    slots, connections = SIZES[size]
    for scenario in SCENARIOS:
        for system in systems:
            run = Simulation(system(slots, connections), scenario, slots, seed)
            run.run()
            late = run.recovery()
            bound = STOP - 2 * DEADLINE - END
            print(
                f'{size:9} {slots:3} {scenario.__name__:12}'
                f' {system.__name__:11}'
                f' goodput {run.goodput():5.1%}'
                f' recovery {"never" if late >= bound else late:>5}'
                f' worst {run.worst_share():6.1%}'
                f' inversions waiting {run.waiting_inversions}'
                f' running {run.running_inversions}'
                f' later {run.later_inversions()}'
                f' of {len(run.refusals)}'
                f' refused {run.refused_share():.2%}'
                f' least limit {run.least_limit:.0f}',
                flush=True,
            )


def cost() -> None:
    """Print microseconds of offer and finish, best of five."""
    best = min(_expire_cost() for _ in range(5))
    print(f'expire, full queue: {best:.1f} us a tick')
    for label, queued in (('empty queue', 0), ('full queue', 1000)):
        best = min(_cost_once(queued) for _ in range(5))
        print(f'offer and finish, {label}: {best:.2f} us a call')


def _cost_once(queued: int, count: int = 20_000) -> float:
    state = AdmissionState(Limiter(150, 1000), max_queue_wait_ms=1e9)
    names = list(WEIGHTS)
    calls = [
        QueuedCall(
            str(n), names[n % 8], 'row', 1 + n % 5, n % 2, 1e9, 1 + n % 4
        )
        for n in range(count + 1150)
    ]
    source = iter(calls)
    running = collections.deque()
    if queued:
        for _ in range(150 + queued):
            running.extend(admission.offer(state, next(source), 0.0))
    running = collections.deque(state.running)
    now = 0.0
    begin = time.perf_counter()
    for call in itertools.islice(source, count):
        now += 0.5
        decisions = admission.offer(state, call, now)
        if queued:
            decisions = admission.finish(
                state, running.popleft(), CallOutcome.succeeded, now
            )
            running.extend(decision.call.call_id for decision in decisions)
        else:
            admission.finish(state, call.call_id, CallOutcome.succeeded, now)
    return (time.perf_counter() - begin) / count * 1e6


def _expire_cost(count: int = 100) -> float:
    state = AdmissionState(Limiter(150, 1000), max_queue_wait_ms=1e9)
    for n in range(1030):
        call = QueuedCall(str(n), f'w{n % 8}', 'row', 1 + n % 5, n % 2, 1e9)
        admission.offer(state, call, 0.0)
    begin = time.perf_counter()
    for _ in range(count):
        admission.expire(state, 0.0)
    return (time.perf_counter() - begin) / count * 1e6


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--size', choices=SIZES, default=None)
    parser.add_argument('--policy', action='store_true', help='only it')
    parser.add_argument('--cost', action='store_true')
    options = parser.parse_args()
    if options.cost:
        cost()
        return
    systems = (Policy,) if options.policy else (Policy, Static, PassThrough)
    for size in [options.size] if options.size else SIZES:
        measure(size, options.seed, systems)


if __name__ == '__main__':
    main()
