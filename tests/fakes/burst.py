"""Play a burst of callers at one instance, without a network."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable

import msgspec

from jasmineramp import admission
from jasmineramp.admission import AdmissionState, Decision, Refuse, Start
from jasmineramp.clock import Millis, later
from jasmineramp.fair_queue import QueuedCall
from jasmineramp.ids import CallId, Importance, RowName, WorkspaceId
from jasmineramp.limits import CallOutcome
from jasmineramp.mesh.slot_limit import SlotLimiter

BURST = (2000, 5000)
END_MS = 12_000
# Load outside and within the burst, as fractions of the usable slots.
LOADS = (0.65, 2.0)
# Deadlines of callers, as multiples of the objective.
DEADLINE_FACTOR = 2
HONOURED_FRACTION = 1 / 3


class Caller(msgspec.Struct):
    """Hold a request with its row; a refused caller returns once."""

    number: int
    arrived: float
    work_ms: float
    objective_ms: float
    importance: int = 3
    # The time of its last arrival: a node does not know of earlier ones.
    received: float = 0
    has_returned: bool = False

    def remaining_ms(self, now: float) -> float:
        return self.arrived + DEADLINE_FACTOR * self.objective_ms - now


class Burst:
    """Offer calls to the admission of one instance and count their ends."""

    def __init__(
        self,
        slots: int,
        rows: tuple[tuple[float, float, int, float], ...],
        seed: int,
    ) -> None:
        """Take rows of mean work, objective, importance and share of load."""
        rng = random.Random(seed)
        self.state = AdmissionState(SlotLimiter(slots))
        self.callers: dict[str, Caller] = {}
        self.ends: Counter[tuple[str, int]] = Counter()
        self.in_time: set[int] = set()
        self.late: set[int] = set()
        self.order = itertools.count()
        self.events: list[tuple[float, int, str, Caller | None]] = []
        limit = self.state.limiter.limit
        for work_ms, objective_ms, importance, share in rows:
            row = RowName(f'{objective_ms}')
            self.state.service_times.record(row, work_ms, Millis(0))
            now = float(0)
            while now < END_MS:
                load = LOADS[BURST[0] <= now < BURST[1]] * share
                now += rng.expovariate(load * limit / work_ms)
                caller = Caller(
                    next(self.order),
                    now,
                    work_ms * rng.uniform(0.5, 1.5),
                    objective_ms,
                    importance,
                )
                self.push(now, 'arrive', caller)
        for tick in range(0, END_MS, 100):
            self.push(tick, 'tick', None)

    def push(self, at: float, kind: str, caller: Caller | None) -> None:
        heapq.heappush(self.events, (at, next(self.order), kind, caller))

    def play(
        self,
        retry_after: Callable[[Caller, float, Millis], float],
        max_wait: Callable[[Caller, Millis], float],
    ) -> 'Burst':
        """Run all calls; retry delays depend on the remaining objective."""
        while self.events:
            at, _, kind, caller = heapq.heappop(self.events)
            now = Millis(at)
            if caller is None:
                self.apply(admission.expire(self.state, now), now, retry_after)
                continue
            call_id = CallId(str(caller.number))
            if kind == 'end':
                is_in_time = now - caller.arrived <= caller.objective_ms
                (self.in_time if is_in_time else self.late).add(caller.number)
                outcome = CallOutcome.succeeded
                decisions = admission.finish(self.state, call_id, outcome, now)
            else:
                caller.received = now
                self.callers[call_id] = caller
                call = QueuedCall(
                    call_id,
                    WorkspaceId(str(caller.number % 7)),
                    RowName(f'{caller.objective_ms}'),
                    Importance(caller.importance),
                    0,
                    later(now, caller.remaining_ms(now)),
                    max_wait_ms=max_wait(caller, now),
                )
                decisions = admission.offer(self.state, call, now)
            self.apply(decisions, now, retry_after)
        return self

    def apply(
        self,
        decisions: list[Decision],
        now: Millis,
        retry_after: Callable[[Caller, float, Millis], float],
    ) -> None:
        for decision in decisions:
            caller = self.callers[decision.call.call_id]
            if isinstance(decision, Start):
                self.push(now + caller.work_ms, 'end', caller)
            elif isinstance(decision, Refuse) and not caller.has_returned:
                caller.has_returned = True
                left_ms = caller.received + caller.objective_ms - now
                delay_ms = min(
                    retry_after(caller, left_ms, now),
                    caller.remaining_ms(now) * HONOURED_FRACTION,
                )
                self.push(now + delay_ms, 'arrive', caller)


def wait_as_today(caller: Caller, _now: Millis) -> float:
    """Return the wait bound of the entry node."""
    return min(200, caller.objective_ms / 2)
