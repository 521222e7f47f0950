"""Drive whole nodes by events over a fake network, platform and upstreams."""

import collections
import heapq
import itertools
import random
from functools import partial
from typing import Any

import msgspec

from jasmineramp import call_messages as cm
from jasmineramp.call_messages import Attempt, AttemptKind
from jasmineramp.claim_settings import ClaimSettings
from jasmineramp.clock import ManualClock, Millis
from jasmineramp.configuration_state import ConfigurationState
from jasmineramp.effects import SendMessage
from jasmineramp.events import MessageReceived, Tick
from jasmineramp.exchange import ExchangeState
from jasmineramp.idempotency import ClaimState
from jasmineramp.ids import DomainId
from jasmineramp.membership_messages import NodeEntry, Upstream
from jasmineramp.membership_state import MembershipState
from jasmineramp.rates import RateState
from jasmineramp.reducer import reduce
from jasmineramp.refusals import Refusal, RefusalCode
from jasmineramp.routing import RoutingState
from jasmineramp.state import NodeState
from jasmineramp.store_messages import (
    CompareAndSwap,
    StoreAnswered,
    StoreRequest,
    Watch,
)
from jasmineramp.table import Table, find_call
from jasmineramp.table_files import encode_table
from tests.fakes.store import FakeStore

DOMAINS = (DomainId('a'), DomainId('b'))
ANSWER_GRACE_MS = 50
WATCH_MS = 200


class Faults(msgspec.Struct):
    """Hold the faults of the network; delays are milliseconds."""

    loss: float = 0
    duplicates: float = 0
    delay: float = 2
    cut: set[str] = msgspec.field(default_factory=set)


class Plan(msgspec.Struct):
    """Say what an upstream does with a run; onward names path and key."""

    duration: float = 5
    kind: AttemptKind = AttemptKind.answered
    onward: tuple[tuple[str, str | None], ...] = ()
    repeats: int = 0


class Run(msgspec.Struct):
    """Record a run: what the upstream saw and what its node knew."""

    header: Any
    node: str
    service: str
    time: float
    revision: int
    context: Any
    open: int = 0

    @property
    def call(self) -> str:
        return self.header.call_id.partition('.')[0]


class Call(msgspec.Struct):
    """Follow a call as the thread that serves its caller does."""

    arrived: Any
    node: str
    request: str
    done: Any = None
    attempts: int = 0
    forwarded_at: tuple[int, ...] = ()
    hop: str = ''
    answer: Any = None

    @property
    def code(self) -> str:
        refused = isinstance(self.answer, Refusal)
        return self.answer.code.value if refused else ''


class Process:
    """Hold one process; a new one on the node replaces the object."""

    def __init__(self, state: NodeState, upstream: Upstream) -> None:
        self.state = state
        self.node = state.node
        self.paused = False
        self.backlog: list[Any] = []
        self.upstream = upstream
        self.calls: dict[str, Call] = {}
        self.hops: dict[str, str] = {}
        self.served: dict[str, Process] = {}
        self.runs: dict[str, Any] = {}


class Fleet:
    """Run the nodes of some services and record what happens."""

    def __init__(
        self,
        table: Table,
        services: tuple[str, ...],
        seed: int = 1,
        *,
        platform: bool = False,
        slots: int = 4,
    ) -> None:
        self.clock = ManualClock()
        self.store = FakeStore(self.clock)
        self.random = random.Random(seed)
        self.faults = Faults()
        self.table = table
        self.platform = platform
        self.revision = 1
        self.order = itertools.count()
        self.queue: list[Any] = []
        self.processes: dict[str, Process] = {}
        self.starts: collections.Counter[str] = collections.Counter()
        self.upstreams = {
            f'n{index}': Upstream(name, 1, slots, 99)
            for index, name in enumerate(services)
        }
        self.plan: Any = lambda header: Plan()
        self.history: list[Run] = []
        self.calls: dict[str, Call] = {}
        self.refused: list[tuple[int, int]] = []
        if platform:
            write = CompareAndSwap('table', 0, encode_table(table))
            self.store.state.apply(write, Millis(0))
        for node in self.upstreams:
            self.start(node)
        self.advance(4000)

    def start(self, node: str) -> None:
        """Start a process and let its upstream announce itself."""
        self.starts[node] += 1
        number = self.starts[node] * 1_000_000
        now = self.clock.now()
        rng = random.Random(self.random.random())
        nodes = list(self.upstreams)
        domain = DOMAINS[nodes.index(node) % 2]
        entry = NodeEntry(node, node, domain, number)
        settings = ClaimSettings(node, number, domain, DOMAINS)
        state = NodeState(
            node,
            domain,
            rng,
            membership=MembershipState(entry, nodes, rng, now),
            configuration=ConfigurationState(
                node, domain, 1, DOMAINS, has_platform=self.platform
            ),
            routing=RoutingState(domain, rng, now),
            rates=RateState(node, number, now),
            exchange=ExchangeState(node, domain, 1),
            claims=ClaimState(settings, rng.getrandbits(32)),
            domains=DOMAINS,
        )
        process = Process(state, self.upstreams[node])
        self.processes[node] = process
        if not self.platform:
            self._load(process)
        self._tick(process)
        self._announce(process)

    def edit(self, node: str, table: Table) -> None:
        """Put a table in force on a node; gossip carries it on."""
        self.table = table
        self.revision += 1
        self._load(self.processes[node])

    def _load(self, process: Process) -> None:
        slot = list(self.upstreams).index(process.node)
        body = encode_table(self.table)
        self.apply(process, cm.TableLoaded(self.revision, body, slot))

    def crash(self, node: str) -> None:
        """End a process and its upstream; its links break."""
        process = self.processes.pop(node)
        for call in process.calls.values():
            call.answer = call.answer or 'crashed'
        lost = Attempt(AttemptKind.lost)
        for other in self.processes.values():
            for attempt, target in other.hops.items():
                if target == node:
                    self.post(1, self._take_answer, other, attempt, lost)

    def pause(self, node: str, duration: float) -> None:
        """Handle no event for a while, then all of them."""
        process = self.processes[node]
        process.paused = True
        self.post(duration, self._resume, process)

    def _resume(self, process: Process) -> None:
        process.paused = False
        backlog, process.backlog = process.backlog, []
        for event in backlog:
            self.apply(process, event)

    def announce(self, node: str, upstream: Upstream) -> None:
        """Let the upstream of a node announce something else."""
        self.processes[node].upstream = upstream
        self.apply(self.processes[node], cm.UpstreamAnnounced(upstream))

    def _tick(self, process: Process) -> None:
        if self._is_live(process):
            if not process.paused:
                self.apply(process, Tick())
            self.post(50, self._tick, process)

    def _announce(self, process: Process) -> None:
        if self._is_live(process):
            self.apply(process, cm.UpstreamAnnounced(process.upstream))
            self.post(1000, self._announce, process)

    def _is_live(self, process: Process) -> bool:
        return self.processes.get(process.node) is process

    def post(self, delay: float, function: Any, *arguments: Any) -> None:
        due = self.clock.now() + delay
        step = partial(function, *arguments)
        heapq.heappush(self.queue, (due, next(self.order), step))

    def advance(self, duration: float) -> None:
        end = self.clock.now() + duration
        while self.queue and self.queue[0][0] <= end:
            due, _, step = heapq.heappop(self.queue)
            self.clock.advance(due - self.clock.now())
            step()
        self.clock.advance(end - self.clock.now())

    def call(
        self,
        node: str,
        path: str,
        key: str | None = None,
        claim: str | None = None,
        *,
        parent: Run | None = None,
        done: Any = None,
    ) -> Call:
        """Start a call of a caller, or onward from a run."""
        process = self.processes[node]
        number = f'c{next(self.order)}'
        arrived = cm.CallArrived(
            number,
            'POST',
            path,
            f'{self.random.getrandbits(64):x}',
            key=key,
            context=parent.context if parent else None,
            idempotency_key=claim,
            fingerprint=path.encode(),
        )
        request = parent.header.request_id if parent else number
        call = Call(arrived, node, request, done)
        process.calls[number] = call
        self.calls[number] = call
        self.apply(process, arrived)
        return call

    def leave(self, call: Call) -> None:
        """Let the caller go, whatever its call waits for."""
        process = self.processes.get(call.node)
        if call.answer is None and process is not None:
            self._end(process, call, 'left')
            self.apply(process, cm.CallerLeft(call.arrived.call_id))

    def _end(self, process: Process, call: Call, answer: Any) -> None:
        process.calls.pop(call.arrived.call_id, None)
        process.hops.pop(call.hop, None)
        call.answer = answer
        if call.done is not None:
            call.done(call)

    def apply(self, process: Process, event: Any) -> None:
        """Handle an event, after a pause if the process is paused."""
        if not self._is_live(process):
            return
        if process.paused:
            process.backlog.append(event)
            return
        for effect in reduce(process.state, event, self.clock.now()):
            match effect:
                case cm.Decide():
                    self._decide(process, effect.call_id, effect.decision)
                case SendMessage():
                    message = MessageReceived(process.node, effect.message)
                    self._send(process, effect.node, self.apply, message)
                case StoreRequest():
                    is_watch = isinstance(effect.operation, Watch)
                    delay = WATCH_MS if is_watch else self.random.uniform(1, 5)
                    self.post(delay, self._run_store, process, effect)
                case cm.CancelRun():
                    cancelled = Attempt(AttemptKind.cancelled)
                    self._end_run(process, effect.call_id, cancelled)

    def _run_store(self, process: Process, request: StoreRequest) -> None:
        answer = self.store.run(request.operation)
        event = StoreAnswered(
            request.role, request.tag, request.operation, answer
        )
        self.apply(process, event)

    def _send(
        self, sender: Process, node: str, function: Any, *arguments: Any
    ) -> None:
        faults = self.faults
        target = self.processes.get(node)
        if target is None or (sender.node in faults.cut) != (
            node in faults.cut
        ):
            return
        for _ in range(1 + (self.random.random() < faults.duplicates)):
            if self.random.random() >= faults.loss:
                delay = self.random.uniform(0.2, faults.delay)
                self.post(delay, function, target, *arguments)

    def _decide(self, process: Process, call_id: str, decision: Any) -> None:
        if isinstance(decision, cm.HopRefused):
            self._note_refusal(process, decision.refusal, call_id)
        call = process.calls.get(call_id)
        if call_id in process.served:
            if isinstance(decision, cm.RunHere):
                self._run(process, decision, self._end_hop)
            else:
                self._answer(process, call_id, _refused(decision))
            return
        if call is None:
            return
        is_attempt = isinstance(
            decision, cm.RunHere | cm.Forward | cm.HopRefused
        )
        call.attempts += is_attempt
        match decision:
            case cm.RunHere():
                self._run(process, decision, self._end_local)
            case cm.Forward():
                call.forwarded_at += (process.state.configuration.revision,)
                self._forward(process, call, decision)
            case cm.HopRefused():
                attempt = _refused(decision)
                self.post(0, self._end_local, process, call_id, attempt)
            case cm.RetryLater():
                event = cm.BackoffEnded(call_id)
                self.post(decision.delay, self.apply, process, event)
            case cm.Refused():
                self._end(process, call, decision.refusal)
            case _:
                self._end(process, call, 'delivered')

    def _note_refusal(
        self, process: Process, refusal: Refusal, call_id: str
    ) -> None:
        """Record an overload refusal with the least importance queued."""
        if refusal.code is RefusalCode.overloaded:
            call = self.calls[call_id.partition('.')[0]]
            row = find_call(self.table, 'POST', call.arrived.path)
            entries = process.state.admission.queue.entries.values()
            least = min((each.call.importance for each in entries), default=5)
            self.refused.append((row.importance, least))

    def _forward(self, process: Process, call: Call, decision: Any) -> None:
        node, call.hop = decision.node, decision.header.call_id
        process.hops[call.hop] = node
        late = Attempt(AttemptKind.timed_out)
        wait = decision.deadline + ANSWER_GRACE_MS - self.clock.now()
        if node not in self.processes:
            late, wait = Attempt(AttemptKind.unreachable), 1
        self._send(process, node, self._take_hop, process, decision.header)
        self.post(wait, self._take_answer, process, call.hop, late)

    def _take_hop(self, process: Process, origin: Process, header: Any) -> None:
        process.served.setdefault(header.call_id, origin)
        nonce = f'{self.random.getrandbits(64):x}'
        self.apply(process, cm.HopArrived(header, nonce))

    def _end_hop(
        self, process: Process, call_id: str, attempt: Attempt
    ) -> None:
        self.apply(process, cm.HopEnded(call_id, attempt))
        self._answer(process, call_id, attempt)

    def _answer(self, process: Process, call_id: str, attempt: Attempt) -> None:
        origin = process.served[call_id].node
        self._send(process, origin, self._take_answer, call_id, attempt)

    def _take_answer(
        self, process: Process, call_id: str, attempt: Attempt
    ) -> None:
        if process.hops.pop(call_id, None) is not None:
            self._end_local(process, call_id, attempt)

    def _end_local(
        self, process: Process, call_id: str, attempt: Attempt
    ) -> None:
        number = call_id.partition('.')[0]
        call = process.calls.get(number)
        if attempt.kind is AttemptKind.answered and call is not None:
            self._end(process, call, attempt)
        self.apply(process, cm.AttemptEnded(number, attempt))

    def _run(self, process: Process, decision: cm.RunHere, done: Any) -> None:
        header = decision.header
        now = self.clock.now()
        run = Run(
            header,
            process.node,
            process.upstream.service,
            now,
            process.state.configuration.revision,
            decision.context,
        )
        self.history.append(run)
        process.runs[header.call_id] = done
        plan = self.plan(header)
        late = Attempt(AttemptKind.timed_out)
        wait = decision.deadline - now
        self.post(wait, self._end_run, process, header.call_id, late)
        run.open = len(plan.onward)
        for target in plan.onward:
            self.post(
                0, self._go_onward, process, run, plan, target, plan.repeats
            )
        if not plan.onward:
            self._finish_run(process, run, plan)

    def _finish_run(self, process: Process, run: Run, plan: Plan) -> None:
        attempt = Attempt(plan.kind, 200)
        call_id = run.header.call_id
        self.post(plan.duration, self._end_run, process, call_id, attempt)

    def _go_onward(
        self, process: Process, run: Run, plan: Plan, target: Any, repeats: int
    ) -> None:
        def done(call: Call) -> None:
            if repeats and isinstance(call.answer, Refusal):
                left = repeats - 1
                self.post(1, self._go_onward, process, run, plan, target, left)
                return
            run.open -= 1
            if not run.open:
                self._finish_run(process, run, plan)

        if self._is_live(process) and run.header.call_id in process.runs:
            path, claim = target
            self.call(run.node, path, None, claim, parent=run, done=done)

    def _end_run(
        self, process: Process, call_id: str, attempt: Attempt
    ) -> None:
        done = process.runs.pop(call_id, None)
        if done is not None and self._is_live(process):
            done(process, call_id, attempt)


def _refused(decision: cm.HopRefused) -> Attempt:
    kind = AttemptKind.refused
    return Attempt(kind, refusal=decision.refusal, load=decision.load)


def leaks(state: NodeState) -> dict[str, Any]:
    """Return what a node without calls still holds for calls."""
    held: dict[str, Any] = {
        'calls': state.calls,
        'pending_hops': state.pending_hops,
        'running': state.running,
        'contexts': state.contexts,
        'charges': state.charges,
        'parked': state.parked,
        'ledgers': state.retries.ledgers,
        'asked': state.retries.asked,
        'onward': state.retries.onward,
        'claims': state.claims.running,
        'pending_claims': state.claims.pending,
        'in_flight': {
            node: target.in_flight
            for node, target in state.routing.targets.items()
            if target.in_flight
        },
    }
    if state.admission is not None:
        held['slots'] = state.admission.running
        held['queue'] = state.admission.queue.entries
    return {name: content for name, content in held.items() if content}
