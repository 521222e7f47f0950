"""Drive whole nodes by events over a fake network, platform and upstreams."""

import collections
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

import msgspec

from jasmineramp.call_messages import (
    Attempt,
    AttemptEnded,
    AttemptKind,
    BackoffEnded,
    CallArrived,
    CallerLeft,
    CallHeader,
    CancelRun,
    Decide,
    Forward,
    HopArrived,
    HopEnded,
    HopRefused,
    Refused,
    RetryLater,
    RunHere,
    StopRequested,
    TableLoaded,
    UpstreamAnnounced,
)
from jasmineramp.claim_settings import ClaimSettings
from jasmineramp.clock import ManualClock, Millis
from jasmineramp.configuration_state import ConfigurationState
from jasmineramp.effects import SendMessage
from jasmineramp.events import Event, MessageReceived, Tick
from jasmineramp.exchange import ExchangeState
from jasmineramp.idempotency import ClaimState
from jasmineramp.ids import (
    CallId,
    ContextToken,
    DomainId,
    IdempotencyKey,
    NodeId,
    Revision,
    ServiceName,
)
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
    cut: set[NodeId] = msgspec.field(default_factory=set)


class Plan(msgspec.Struct):
    """Say what an upstream does with a run; onward names path and key."""

    duration: float = 5
    kind: AttemptKind = AttemptKind.answered
    onward: tuple[tuple[str, str | None], ...] = ()
    repeats: int = 0


class Run(msgspec.Struct):
    """Record a run: what the upstream saw and what its node knew."""

    header: CallHeader
    node: NodeId
    service: str
    time: float
    revision: Revision
    context: ContextToken

    @property
    def call(self) -> str:
        return self.header.call_id.rpartition('.')[0]


class Call(msgspec.Struct):
    """Follow a call as the thread that serves its caller does."""

    arrived: CallArrived
    node: NodeId
    request: str
    time: float
    done: Callable[['Call'], None] | None = None
    attempts: int = 0
    forwarded_at: list[Revision] = msgspec.field(default_factory=list)
    waits: str = ''
    answer: Attempt | Refusal | str | None = None

    @property
    def code(self) -> str:
        answer = self.answer
        return answer.code.value if isinstance(answer, Refusal) else ''


class Process:
    """Hold one process; a new one on the node replaces the object."""

    def __init__(self, state: NodeState) -> None:
        self.state = state
        self.paused = False
        self.backlog: list[Event] = []
        self.upstream: Upstream | None = None
        self.calls: dict[str, Call] = {}
        self.hops: dict[str, NodeId] = {}
        self.served: dict[str, Process] = {}
        self.runs: dict[str, Callable[[Attempt], None]] = {}


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
        self.revision = 0
        self.order = itertools.count()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.processes: dict[NodeId, Process] = {}
        self.incarnations: collections.Counter[NodeId] = collections.Counter()
        self.upstreams = {
            NodeId(f'n{index}'): Upstream(ServiceName(name), 1, slots, 99)
            for index, name in enumerate(services)
        }
        self.plan: Callable[[CallHeader], Plan] = lambda header: Plan()
        self.history: list[Run] = []
        self.calls: dict[str, Call] = {}
        self.refused: list[tuple[int, int]] = []
        if platform:
            write = CompareAndSwap('table', 0, encode_table(table))
            self.store.state.apply(write, Millis(0))
        for node in self.upstreams:
            self.start(node)
        self.advance(4000)

    # Processes.

    def start(self, node: NodeId) -> None:
        """Start a process and let its upstream announce itself."""
        self.incarnations[node] += 1
        now = self.clock.now()
        rng = random.Random(self.random.random())
        nodes = list(self.upstreams)
        domain = DOMAINS[nodes.index(node) % 2]
        number = self.incarnations[node] * 1_000_000
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
        process = Process(state)
        self.processes[node] = process
        process.upstream = self.upstreams[node]
        if not self.platform:
            self.load(node, self.table)
        self._tick(process)
        self._announce(process)

    def load(self, node: NodeId, table: Table) -> None:
        """Put a table in force on a node; gossip carries it on."""
        if table is not self.table or not self.revision:
            self.table = table
            self.revision += 1
        body = encode_table(table)
        slot = list(self.upstreams).index(node)
        loaded = TableLoaded(Revision(self.revision), body, slot)
        self.apply(self.processes[node], loaded)

    def crash(self, node: NodeId) -> None:
        """End a process and its upstream; its links break."""
        process = self.processes.pop(node)
        for call in process.calls.values():
            call.answer = call.answer or 'crashed'
        for other in self.processes.values():
            for attempt, target in list(other.hops.items()):
                if target == node:
                    lost = Attempt(AttemptKind.lost)
                    self.post(1, self._take_answer, other, attempt, lost)

    def pause(self, node: NodeId, duration: float) -> None:
        """Handle no event for a while, then all of them."""
        process = self.processes[node]
        process.paused = True
        self.post(duration, self._resume, process)

    def _resume(self, process: Process) -> None:
        process.paused = False
        backlog, process.backlog = process.backlog, []
        for event in backlog:
            self.apply(process, event)

    def announce(self, node: NodeId, upstream: Upstream) -> None:
        """Let the upstream of a node announce something else."""
        self.processes[node].upstream = upstream
        self.apply(self.processes[node], UpstreamAnnounced(upstream))

    def stop(self, node: NodeId) -> None:
        """Ask a node to stop gracefully."""
        self.apply(self.processes[node], StopRequested())

    def _tick(self, process: Process) -> None:
        if self._is_live(process):
            if not process.paused:
                self.apply(process, Tick())
            self.post(50, self._tick, process)

    def _announce(self, process: Process) -> None:
        if self._is_live(process) and process.upstream is not None:
            self.apply(process, UpstreamAnnounced(process.upstream))
            self.post(1000, self._announce, process)

    def _is_live(self, process: Process) -> bool:
        return self.processes.get(process.state.node) is process

    # Time.

    def post(self, delay: float, function: Any, *arguments: Any) -> None:
        due = self.clock.now() + delay
        item = (due, next(self.order), lambda: function(*arguments))
        heapq.heappush(self.queue, item)

    def advance(self, duration: float) -> None:
        end = self.clock.now() + duration
        while self.queue and self.queue[0][0] <= end:
            due, _, function = heapq.heappop(self.queue)
            self.clock.advance(due - self.clock.now())
            function()
        self.clock.advance(end - self.clock.now())

    # Calls.

    def call(
        self,
        node: str,
        path: str,
        key: str | None = None,
        idempotency_key: str | None = None,
        *,
        parent: Run | None = None,
        done: Callable[[Call], None] | None = None,
        body: int = 0,
    ) -> Call:
        """Start a call of a caller, or onward from a run."""
        process = self.processes[NodeId(node)]
        number = CallId(f'c{next(self.order)}')
        arrived = CallArrived(
            number,
            'POST',
            path,
            f'{self.random.getrandbits(64):x}',
            key=key,
            context=parent.context if parent else None,
            idempotency_key=(
                IdempotencyKey(idempotency_key) if idempotency_key else None
            ),
            body_digest=body,
            fingerprint=path.encode(),
        )
        request = parent.header.request_id if parent else number
        call = Call(arrived, NodeId(node), request, self.clock.now(), done)
        process.calls[number] = call
        self.calls[number] = call
        self.apply(process, arrived)
        return call

    def leave(self, call: Call) -> None:
        """Let the caller go, whatever its call waits for."""
        process = self.processes.get(call.node)
        if call.answer is None and process is not None:
            self._end(process, call, 'left')
            self.apply(process, CallerLeft(call.arrived.call_id))

    def _end(self, process: Process, call: Call, answer: Any) -> None:
        process.calls.pop(call.arrived.call_id, None)
        process.hops.pop(call.waits, None)
        call.answer = answer
        if call.done is not None:
            call.done(call)

    def apply(self, process: Process, event: Event) -> None:
        """Handle an event, after a pause if the process is paused."""
        if not self._is_live(process):
            return
        if process.paused:
            process.backlog.append(event)
            return
        for effect in reduce(process.state, event, self.clock.now()):
            match effect:
                case Decide():
                    self._decide(process, effect.call_id, effect.decision)
                case SendMessage():
                    self._send(process, effect.node, effect.message)
                case StoreRequest():
                    is_watch = isinstance(effect.operation, Watch)
                    delay = WATCH_MS if is_watch else self.random.uniform(1, 5)
                    self.post(delay, self._run_store, process, effect)
                case CancelRun():
                    cancelled = Attempt(AttemptKind.cancelled)
                    self._end_run(process, effect.call_id, cancelled)

    def _run_store(self, process: Process, request: StoreRequest) -> None:
        answer = self.store.run(request.operation)
        event = StoreAnswered(
            request.role, request.tag, request.operation, answer
        )
        self.apply(process, event)

    def _carries(self, sender: Process, receiver: Process) -> bool:
        cut = self.faults.cut
        return (sender.state.node in cut) == (receiver.state.node in cut)

    def _transmit(
        self, sender: Process, receiver: NodeId, function: Any, *arguments: Any
    ) -> None:
        target = self.processes.get(receiver)
        copies = 1 + (self.random.random() < self.faults.duplicates)
        for _ in range(copies):
            lost = self.random.random() < self.faults.loss
            if target and not lost and self._carries(sender, target):
                delay = self.random.uniform(0.2, self.faults.delay)
                self.post(delay, function, target, *arguments)

    def _send(self, process: Process, node: NodeId, message: Any) -> None:
        event = MessageReceived(process.state.node, message)
        self._transmit(process, node, self.apply, event)

    def _decide(self, process: Process, call_id: str, decision: Any) -> None:
        if isinstance(decision, HopRefused):
            self._note_refusal(process, decision.refusal, call_id)
        call = process.calls.get(call_id)
        if call_id in process.served:
            self._decide_hop(process, call_id, decision)
        elif call is not None:
            self._follow(process, call, decision)

    def _decide_hop(
        self, process: Process, call_id: str, decision: Any
    ) -> None:
        if isinstance(decision, RunHere):
            self._run(
                process,
                decision,
                lambda attempt: self._hop_ended(process, call_id, attempt),
            )
        else:
            self._answer(process, call_id, _refused(decision))

    def _hop_ended(
        self, process: Process, call_id: CallId, attempt: Attempt
    ) -> None:
        self.apply(process, HopEnded(call_id, attempt))
        self._answer(process, call_id, attempt)

    def _answer(self, process: Process, call_id: str, attempt: Attempt) -> None:
        origin = process.served[call_id]
        self._transmit(
            process, origin.state.node, self._take_answer, call_id, attempt
        )

    def _follow(self, process: Process, call: Call, decision: Any) -> None:
        match decision:
            case RunHere():
                call.attempts += 1
                self._run(
                    process,
                    decision,
                    lambda attempt: self._end_attempt(process, call, attempt),
                )
            case Forward():
                call.attempts += 1
                call.forwarded_at.append(process.state.configuration.revision)
                self._forward(process, call, decision)
            case HopRefused():
                call.attempts += 1
                attempt = _refused(decision)
                self.post(0, self._end_attempt, process, call, attempt)
            case RetryLater():
                event = BackoffEnded(call.arrived.call_id)
                self.post(decision.delay, self.apply, process, event)
            case Refused():
                self._end(process, call, decision.refusal)
            case _:
                self._end(process, call, 'delivered')

    def _note_refusal(
        self, process: Process, refusal: Refusal, call_id: str
    ) -> None:
        """Record an overload refusal with the least importance queued."""
        admission = process.state.admission
        if admission is None or refusal.code is not RefusalCode.overloaded:
            return
        call = self.calls[call_id.partition('.')[0]]
        row = find_call(self.table, 'POST', call.arrived.path)
        queued = [
            entry.call.importance for entry in admission.queue.entries.values()
        ]
        assert row is not None
        self.refused.append((row.importance, min(queued, default=5)))

    def _forward(self, process: Process, call: Call, decision: Forward) -> None:
        header = decision.header
        call.waits = header.call_id
        process.hops[call.waits] = decision.node
        if decision.node in self.processes:
            self._transmit(
                process, decision.node, self._take_hop, process, header
            )
            wait = decision.deadline + ANSWER_GRACE_MS - self.clock.now()
            kind = AttemptKind.timed_out
        else:
            wait, kind = 1, AttemptKind.unreachable
        self.post(
            wait, self._take_answer, process, header.call_id, Attempt(kind)
        )

    def _take_hop(
        self, process: Process, origin: Process, header: CallHeader
    ) -> None:
        process.served.setdefault(header.call_id, origin)
        nonce = f'{self.random.getrandbits(64):x}'
        self.apply(process, HopArrived(header, nonce))

    def _take_answer(
        self, process: Process, attempt_id: str, attempt: Attempt
    ) -> None:
        call = process.calls.get(attempt_id.partition('.')[0])
        if process.hops.pop(attempt_id, None) is not None and call is not None:
            self._end_attempt(process, call, attempt)

    def _end_attempt(
        self, process: Process, call: Call, attempt: Attempt
    ) -> None:
        if attempt.kind is AttemptKind.answered and call.answer is None:
            self._end(process, call, attempt)
        self.apply(process, AttemptEnded(call.arrived.call_id, attempt))

    # Upstreams.

    def _run(
        self,
        process: Process,
        decision: RunHere,
        done: Callable[[Attempt], None],
    ) -> None:
        header = decision.header
        upstream = process.upstream
        run = Run(
            header,
            process.state.node,
            upstream.service if upstream else '',
            self.clock.now(),
            process.state.configuration.revision,
            decision.context,
        )
        self.history.append(run)
        process.runs[header.call_id] = done
        plan = self.plan(header)
        late = Attempt(AttemptKind.timed_out)
        wait = decision.deadline - self.clock.now()
        self.post(wait, self._end_run, process, header.call_id, late)
        open_calls = [len(plan.onward)]
        for path, key in plan.onward:
            step = (process, run, plan, open_calls, path, key, plan.repeats)
            self.post(0, self._go_onward, *step)
        if not plan.onward:
            self._finish_run(process, run, plan)

    def _finish_run(self, process: Process, run: Run, plan: Plan) -> None:
        status = 503 if plan.kind is AttemptKind.shed else 200
        attempt = Attempt(plan.kind, status)
        call_id = run.header.call_id
        self.post(plan.duration, self._end_run, process, call_id, attempt)

    def _go_onward(
        self,
        process: Process,
        run: Run,
        plan: Plan,
        open_calls: list[int],
        path: str,
        key: str | None,
        repeats: int,
    ) -> None:
        def done(call: Call) -> None:
            if repeats and isinstance(call.answer, Refusal):
                step = (process, run, plan, open_calls, path, key, repeats - 1)
                self.post(1, self._go_onward, *step)
                return
            open_calls[0] -= 1
            if not open_calls[0]:
                self._finish_run(process, run, plan)

        if self._is_live(process) and run.header.call_id in process.runs:
            self.call(run.node, path, None, key, parent=run, done=done)

    def _end_run(
        self, process: Process, call_id: str, attempt: Attempt
    ) -> None:
        done = process.runs.pop(call_id, None)
        if done is not None and self._is_live(process):
            done(attempt)


def _refused(decision: HopRefused) -> Attempt:
    return Attempt(
        AttemptKind.refused, refusal=decision.refusal, load=decision.load
    )


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
