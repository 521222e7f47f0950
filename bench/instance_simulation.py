"""Simulate the calls of many clients to one instance, event by event.

The instance serves all running calls at one rate, which falls once more
calls run than it has slots. Clients repeat a refused or late call up to
three times. Calls of already admitted requests arrive by the workspaces'
weights and do not grow with the demand, since other instances admitted them.
"""

import bisect
import collections
import dataclasses
import heapq
import itertools
import random
from typing import NamedTuple

from jasmineramp.admission import QueuedCall, Refuse, Start
from jasmineramp.limits import CallOutcome
from jasmineramp.refusals import RefusalCode

# Times are milliseconds.
WEIGHTS = {'large1': 4, 'large2': 4} | {f'small{n}': 1 for n in range(1, 7)}
GREEDY, GREED = 'small1', 5
IMPORTANCES = {5: 0.05, 4: 0.1, 3: 0.45, 2: 0.25, 1: 0.15}
ROWS = {'short': 25, 'long': 75}
MEAN_SERVICE = 50
CONTINUED = 0.25
DEADLINE = 1000
TRIES = 4
TICK = 50
TRIP = 1
BEGIN, END, STOP = 5000, 15_000, 25_000
CONTENTION = 1.5
WINDOW = 250
LATER = 200


class Load(NamedTuple):
    """Describe an instant: demand, real slots (shares), service factor."""

    demand: float
    slots: float = 1
    factor: float = 1


@dataclasses.dataclass(slots=True)
class Request:
    """Hold what a client wants and how its tries went."""

    workspace: str
    importance: int
    row: str
    work: float
    hop: int
    first: float
    tries: int = 0
    good: bool = False


class Simulation:
    """Run one system against one scenario."""

    def __init__(self, system, scenario, slots, seed) -> None:
        self.system = system
        self.scenario = scenario
        self.slots = slots
        self.random = random.Random(seed)
        self.now = 0.0
        self.numbers = itertools.count()
        self.events = []
        self.served = 0.0
        self.ends = []
        self.calls = {}
        self.running = set()
        self.waiting = collections.Counter()
        self.queued = {}
        self.requests = []
        self.refusals = []
        self.starts = collections.defaultdict(list)
        self.waiting_inversions = 0
        self.running_inversions = 0
        self.busy = collections.Counter()
        self.good_work = collections.Counter()
        self.demand = collections.Counter()
        self.least_limit = float(slots)
        self.worst_hold = 0
        units = dict(WEIGHTS)
        units[GREEDY] *= GREED
        self.names = list(units)
        self.units = list(units.values())

    def at(self, when, kind, payload=None) -> None:
        heapq.heappush(self.events, (when, next(self.numbers), kind, payload))

    def rate(self) -> float:
        load = self.scenario(self.now)
        crowding = max(1, len(self.running) / (self.slots * load.slots))
        return 1 / (load.factor * crowding**CONTENTION)

    def run(self) -> None:
        self.at(0, 'arrival')
        self.at(TICK, 'tick')
        while self.now < STOP:
            self.drop_cancelled()
            rate = self.rate()
            when = self.events[0][0]
            if self.ends:
                end = self.now + max(0, self.ends[0][0] - self.served) / rate
                if end <= when:
                    self.advance(end, rate)
                    _, call_id = heapq.heappop(self.ends)
                    self.end(call_id, CallOutcome.succeeded)
                    continue
            self.advance(when, rate)
            _, _, kind, payload = heapq.heappop(self.events)
            getattr(self, f'on_{kind}')(payload)

    def advance(self, when, rate) -> None:
        self.served += (when - self.now) * rate
        self.now = when

    def drop_cancelled(self) -> None:
        while self.ends and self.ends[0][1] not in self.running:
            heapq.heappop(self.ends)

    def on_arrival(self, _) -> None:
        demand = self.scenario(self.now).demand
        if not demand:
            self.at(self.now + 1, 'arrival')
            return
        draw = self.random
        rate = demand * self.slots / MEAN_SERVICE
        self.at(self.now + draw.expovariate(rate), 'arrival')
        hop = int(draw.random() < CONTINUED * min(1, 1 / demand))
        units = list(WEIGHTS.values()) if hop else self.units
        row = draw.choice(list(ROWS))
        request = Request(
            draw.choices(self.names, units)[0],
            draw.choices(list(IMPORTANCES), list(IMPORTANCES.values()))[0],
            row,
            draw.gammavariate(4, ROWS[row] / 4),
            hop,
            self.now,
        )
        self.requests.append(request)
        if BEGIN <= self.now < END:
            self.demand[request.workspace] += request.work
        self.on_try(request)

    def on_try(self, request) -> None:
        request.tries += 1
        if not self.system.admits(request.importance, self.now):
            self.count_refusal(request.importance)
            self.fail(request)
            return
        call = QueuedCall(
            str(next(self.numbers)),
            request.workspace,
            request.row,
            request.importance,
            request.hop,
            self.now + DEADLINE,
            WEIGHTS[request.workspace],
        )
        self.at(self.now + TRIP, 'offer', (call, request))

    def on_offer(self, payload) -> None:
        call, request = payload
        self.calls[call.call_id] = (call, request)
        self.at(call.deadline, 'deadline', call.call_id)
        self.apply(self.system.offer(call, self.now))

    def on_tick(self, _) -> None:
        self.at(self.now + TICK, 'tick')
        self.apply(self.system.tick(self.now))
        if self.system.cancels:
            limit = self.system.state.limiter.limit
            self.least_limit = min(self.least_limit, limit)

    def on_deadline(self, call_id) -> None:
        if call_id not in self.calls:
            return
        _, request = self.calls[call_id]
        if self.system.cancels and call_id in self.running:
            self.end(call_id, CallOutcome.timed_out)
        elif not request.good:
            self.fail(request)

    def end(self, call_id, outcome) -> None:
        self.running.discard(call_id)
        call, request = self.calls.pop(call_id)
        self.busy[call.importance] -= 1
        if outcome is not CallOutcome.succeeded:
            self.fail(request)
        elif self.now <= call.deadline:
            request.good = True
            if BEGIN <= self.now < END:
                self.good_work[request.workspace] += request.work
        self.apply(self.system.finish(call_id, outcome, self.now))

    def apply(self, decisions) -> None:
        for decision in decisions:
            call = decision.call
            if self.queued.pop(call.call_id, None):
                self.waiting[call.importance] -= 1
            if isinstance(decision, Start):
                request = self.calls[call.call_id][1]
                end = self.served + request.work
                heapq.heappush(self.ends, (end, call.call_id))
                self.running.add(call.call_id)
                self.busy[call.importance] += 1
                self.starts[call.importance].append(self.now)
            elif isinstance(decision, Refuse):
                _, request = self.calls.pop(call.call_id)
                if decision.code is RefusalCode.overloaded:
                    self.count_refusal(call.importance)
                    self.count_waiting(call.importance, decisions)
                self.fail(request)
            else:
                self.queued[call.call_id] = call
                self.waiting[call.importance] += 1

    def count_refusal(self, importance) -> None:
        self.refusals.append((self.now, importance))
        self.running_inversions += any(
            self.busy[lower] for lower in range(1, importance)
        )

    def count_waiting(self, importance, decisions) -> None:
        refused = collections.Counter(
            decision.call.importance
            for decision in decisions
            if isinstance(decision, Refuse)
            and decision.call.call_id in self.queued
        )
        self.waiting_inversions += any(
            self.waiting[lower] > refused[lower]
            for lower in range(1, importance)
        )

    def fail(self, request) -> None:
        if request.tries < TRIES:
            delay = self.random.uniform(50, 250)
            self.at(self.now + delay, 'try', request)

    def goodput(self) -> float:
        """Return the work finished in time over what could be finished."""
        possible = 0.0
        for now in range(BEGIN, END):
            load = self.scenario(now)
            possible += self.slots * min(load.slots / load.factor, load.demand)
        return sum(self.good_work.values()) / possible

    def worst_share(self) -> float:
        """Return the least service over the weighted max-min fair share."""
        capacity = sum(
            self.slots * self.scenario(now).slots / self.scenario(now).factor
            for now in range(BEGIN, END)
        )
        fair = {}
        left = dict(WEIGHTS)
        while left:
            unit = capacity / sum(left.values())
            small = [n for n in left if self.demand[n] <= unit * left[n]]
            for name in small or list(left):
                fair[name] = min(self.demand[name], unit * left.pop(name))
                capacity -= fair[name]
        return min(self.good_work[name] / fair[name] for name in fair)

    def recovery(self) -> float:
        """Return ms from the end of the trigger to the last bad window."""
        good, total = collections.Counter(), collections.Counter()
        for request in self.requests:
            window = int(request.first // WINDOW)
            total[window] += 1
            good[window] += request.good
        before = range(1000 // WINDOW, BEGIN // WINDOW)
        offered = sum(total[n] for n in before)
        usual = sum(good[n] for n in before) / offered if offered else 1
        after = range(END // WINDOW, (STOP - 2 * DEADLINE) // WINDOW)
        bad = [n for n in after if good[n] < 0.95 * usual * total[n]]
        return (bad[-1] + 1) * WINDOW - END if bad else 0

    def refused_share(self) -> float:
        """Return the refusals per request from the trigger on."""
        refused = sum(when >= BEGIN for when, _ in self.refusals)
        return refused / sum(r.first >= BEGIN for r in self.requests)

    def later_inversions(self) -> int:
        """Count refusals after which a less important call starts soon."""
        count = 0
        for when, importance in self.refusals:
            for lower in range(1, importance):
                starts = self.starts[lower]
                index = bisect.bisect_right(starts, when)
                if index < len(starts) and starts[index] <= when + LATER:
                    count += 1
                    break
        return count
