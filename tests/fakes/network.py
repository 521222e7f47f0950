"""Drive whole nodes by events over a fake network, platform and upstreams."""

import collections
import heapq
import itertools
import random
from functools import partial
from types import SimpleNamespace
from unittest import mock

import msgspec

from jasmineramp import call_messages as cm
from jasmineramp import store_messages as sm
from jasmineramp.authentication import digest_key
from jasmineramp.call_messages import Attempt, AttemptKind
from jasmineramp.clock import ManualClock, Millis
from jasmineramp.effects import SendMessage
from jasmineramp.events import MessageReceived, Tick
from jasmineramp.membership_messages import Upstream, UpstreamState
from jasmineramp.node import build_state
from jasmineramp.reducer import reduce
from jasmineramp.refusals import Refusal, RefusalCode
from jasmineramp.settings import Settings
from jasmineramp.table import CallIndex, CallRow, KeyRow, Table, WorkspaceRow
from jasmineramp.table_files import encode_table
from tests.fakes.store import FakeStore

HOPS = 6
RETRIES = 3
DOMAINS = ('a', 'b')
SERVICES = ('s0', 's0', 's1', 's1', 's2', 's2')
KEYS = {digest_key(name): name[0] for name in ('a1', 'a2', 'b1')}
KEY = next(iter(KEYS))
CALL_ROWS = [
    CallRow(f'h{hop}', f's{hop % 3}', f'/h{hop}', retries=RETRIES)
    for hop in range(HOPS)
] + [
    CallRow('low', 's0', '/low', importance=1),
    CallRow('high', 's0', '/high', importance=5),
    CallRow('order', 's0', '/order', idempotent=False, retries=RETRIES),
    CallRow('bill', 's1', '/bill', idempotent=False, retries=RETRIES),
]
TABLE = Table(
    tuple(CALL_ROWS),
    (WorkspaceRow('a', 3000, 600), WorkspaceRow('b', 20, 12)),
    tuple(KeyRow(digest, name) for digest, name in KEYS.items()),
    rate_slots=len(SERVICES),
)
MOVED_KEY = msgspec.structs.replace(
    TABLE, keys=(KeyRow(KEY, 'b'), *TABLE.keys[1:])
)
WITHOUT_KEY = msgspec.structs.replace(TABLE, keys=TABLE.keys[1:])
ANSWER_GRACE_MS = 50
WATCH_MS = 200
ATTEMPTS = cm.RunHere | cm.Forward | cm.HopRefused


class Plan(msgspec.Struct):
    """Describe how an upstream handles a run; onward lists (path, key)."""

    duration: float = 5
    kind: AttemptKind = AttemptKind.answered
    onward: tuple[tuple[str, str | None], ...] = ()
    repeats: int = 0


class Fleet:
    """Run the nodes of some services and record what happens."""

    def __init__(self, services, seed=1, *, platform=False, slots=4):
        self.clock = ManualClock()
        self.store = FakeStore(self.clock)
        self.random = random.Random(seed)
        self.loss, self.duplicates, self.delay, self.cut = 0, 0, 2, set()
        self.table, self.revision = TABLE, 1
        self.platform = platform
        self.order = itertools.count()
        self.queue = []
        self.processes = {}
        self.starts = collections.Counter()
        self.upstreams = {
            f'n{index}': Upstream(name, 1, slots, 99)
            for index, name in enumerate(services)
        }
        self.plan = lambda header: Plan()
        self.history, self.calls, self.refused = [], {}, []
        if platform:
            write = sm.CompareAndSwap('table', 0, encode_table(TABLE))
            self.store.state.apply(write, Millis(0))
        for node in self.upstreams:
            self.start(node)
        self.advance(4000)
        self.advance_until(self.is_accepted)
        # Buckets start empty.
        self.advance(1000)

    def is_accepted(self):
        """Return whether every node knows that the table is accepted."""
        return all(
            process.state.accepted_revision == self.revision
            for process in self.processes.values()
        )

    def start(self, node):
        self.starts[node] += 1
        nodes = tuple(self.upstreams)
        domain = DOMAINS[nodes.index(node) % 2]
        platform = 'fake' * self.platform
        settings = Settings(
            node, domain, DOMAINS, '', node, '', platform, seeds=nodes
        )
        number = self.starts[node] * 1_000_000
        with mock.patch('secrets.randbits', self.random.getrandbits):
            state = build_state(settings, number, self.clock.now())
        process = SimpleNamespace(
            state=state,
            node=node,
            paused=False,
            backlog=[],
            upstream=self.upstreams[node],
            calls={},
            hops={},
            served={},
            runs={},
        )
        self.processes[node] = process
        if not self.platform:
            self._load(process)
        self._beat(process, 0)

    def edit(self, node, table):
        """Load a table into one node; gossip spreads it to the others."""
        self.table = table
        self.revision += 1
        self._load(self.processes[node])

    def _load(self, process):
        slot = list(self.upstreams).index(process.node)
        body = encode_table(self.table)
        self.apply(process, cm.TableLoaded(self.revision, body, slot))

    def crash(self, node):
        """Stop a process and its upstream; hops to it fail as lost."""
        process = self.processes.pop(node)
        for call in process.calls.values():
            call.answer = call.answer or 'crashed'
        lost = Attempt(AttemptKind.lost)
        for other in self.processes.values():
            for attempt, target in other.hops.items():
                if target == node:
                    self.post(1, self._take_answer, other, attempt, lost)

    def pause(self, node, duration):
        process = self.processes[node]
        process.paused = True
        self.post(duration, self._resume, process)

    def _resume(self, process):
        process.paused = False
        backlog, process.backlog = process.backlog, []
        for event in backlog:
            self.apply(process, event)

    def announce(self, node, **fields):
        process = self.processes[node]
        process.upstream = msgspec.structs.replace(process.upstream, **fields)
        self.apply(process, cm.UpstreamAnnounced(process.upstream))

    def drain(self, node):
        self.announce(node, state=UpstreamState.draining)

    def _beat(self, process, count):
        if self._is_live(process):
            if not process.paused:
                self.apply(process, Tick())
            if count % 20 == 0:
                self.apply(process, cm.UpstreamAnnounced(process.upstream))
            self.post(50, self._beat, process, count + 1)

    def _is_live(self, process):
        return self.processes.get(process.node) is process

    def post(self, delay, function, *arguments):
        due = self.clock.now() + delay
        step = partial(function, *arguments)
        heapq.heappush(self.queue, (due, next(self.order), step))

    def advance(self, duration):
        end = self.clock.now() + duration
        while self.queue and self.queue[0][0] <= end:
            due, _, step = heapq.heappop(self.queue)
            self.clock.advance(due - self.clock.now())
            step()
        self.clock.advance(end - self.clock.now())

    def advance_until(self, condition):
        for _ in range(4000):
            if condition():
                return
            self.advance(0.5)
        raise AssertionError('the state was not reached')

    def _nonce(self):
        return f'{self.random.getrandbits(64):x}'

    def call(self, node, path, key=None, claim=None, parent=None, done=None):
        """Start a call of a caller, or an onward call of the run in parent."""
        process = self.processes[node]
        number = f'c{next(self.order)}'
        arrived = cm.CallArrived(
            number,
            'POST',
            path,
            self._nonce(),
            key=key,
            context=parent.context if parent else None,
            idempotency_key=claim,
            fingerprint=path.encode(),
        )
        request = parent.header.request_id if parent else number
        call = SimpleNamespace(
            arrived=arrived,
            node=node,
            request=request,
            done=done,
            asks=True,
            attempts=0,
            forwarded_at=[],
            hop='',
            answer=None,
            code='',
        )
        process.calls[number] = self.calls[number] = call
        self.apply(process, arrived)
        return call

    def leave(self, call):
        """Disconnect the caller of a call that has no answer yet."""
        process = self.processes.get(call.node)
        if call.answer is None and process is not None:
            self._end(process, call, 'left')
            self.apply(process, cm.CallerLeft(call.arrived.call_id))

    def _end(self, process, call, answer):
        process.calls.pop(call.arrived.call_id, None)
        process.hops.pop(call.hop, None)
        call.answer = answer
        if isinstance(answer, Refusal):
            call.code = answer.code.value
        if call.done is not None:
            call.done(call)

    def apply(self, process, event):
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
                case sm.StoreRequest():
                    is_watch = isinstance(effect.operation, sm.Watch)
                    delay = WATCH_MS if is_watch else self.random.uniform(1, 5)
                    self.post(delay, self._run_store, process, effect)
                case cm.CancelRun():
                    cancelled = Attempt(AttemptKind.cancelled)
                    self._end_run(process, effect.call_id, cancelled)

    def _run_store(self, process, request):
        answer = self.store.run(request.operation)
        fields = (request.role, request.tag, request.operation, answer)
        self.apply(process, sm.StoreAnswered(*fields))

    def _send(self, sender, node, function, *arguments):
        target = self.processes.get(node)
        if target is None or (sender.node in self.cut) != (node in self.cut):
            return
        for _ in range(1 + (self.random.random() < self.duplicates)):
            if self.random.random() >= self.loss:
                delay = self.random.uniform(0.2, self.delay)
                self.post(delay, function, target, *arguments)

    def _decide(self, process, call_id, decision):
        if isinstance(decision, cm.HopRefused):
            self._note_refusal(process, decision.refusal, call_id)
        call = process.calls.get(call_id)
        if call_id in process.served:
            if isinstance(decision, cm.RunHere):
                self._run(process, decision, self._end_hop)
            else:
                self._answer(process, call_id, _refused(decision))
        elif call is not None and call.asks:
            call.attempts += isinstance(decision, ATTEMPTS)
            self._follow(process, call, decision)

    def _follow(self, process, call, decision):
        call_id = call.arrived.call_id
        call.asks = False
        match decision:
            case cm.RunHere():
                self._run(process, decision, self._end_local)
            case cm.Forward():
                call.forwarded_at.append(process.state.configuration.revision)
                self._forward(process, call, decision)
            case cm.HopRefused():
                attempt = _refused(decision)
                self.post(0, self._end_local, process, call_id, attempt)
            case cm.RetryLater():
                self.post(decision.delay, self._ask, process, call_id)
            case cm.Refused():
                self._end(process, call, decision.refusal)
            case _:
                self._end(process, call, 'delivered')

    def _note_refusal(self, process, refusal, call_id):
        """Record an overload refusal with the lowest queued importance."""
        if refusal.code is RefusalCode.overloaded:
            call = self.calls[call_id.partition('.')[0]]
            index = CallIndex(self.table.calls)
            row = index.find('POST', call.arrived.path)
            entries = process.state.admission.queue.entries.values()
            lowest = min((each.call.importance for each in entries), default=5)
            self.refused.append((row.importance, lowest))

    def _forward(self, process, call, decision):
        node, call.hop = decision.node, decision.header.call_id
        process.hops[call.hop] = node
        late = Attempt(AttemptKind.timed_out)
        wait = decision.deadline + ANSWER_GRACE_MS - self.clock.now()
        if node not in self.processes:
            late, wait = Attempt(AttemptKind.unreachable), 1
        self._send(process, node, self._take_hop, process, decision.header)
        self.post(wait, self._take_answer, process, call.hop, late)

    def _take_hop(self, process, origin, header):
        process.served.setdefault(header.call_id, origin)
        self.apply(process, cm.HopArrived(header, self._nonce()))

    def _end_hop(self, process, call_id, attempt):
        self.apply(process, cm.HopEnded(call_id, attempt))
        self._answer(process, call_id, attempt)

    def _answer(self, process, call_id, attempt):
        origin = process.served[call_id].node
        self._send(process, origin, self._take_answer, call_id, attempt)

    def _take_answer(self, process, call_id, attempt):
        if process.hops.pop(call_id, None) is not None:
            self._end_local(process, call_id, attempt)

    def _ask(self, process, call_id):
        if call_id in process.calls:
            process.calls[call_id].asks = True
            self.apply(process, cm.BackoffEnded(call_id))

    def _end_local(self, process, call_id, attempt):
        number = call_id.partition('.')[0]
        call = process.calls.get(number)
        if call is not None:
            call.asks = True
            if attempt.kind is AttemptKind.answered:
                self._end(process, call, attempt)
        self.apply(process, cm.AttemptEnded(number, attempt))

    def _run(self, process, decision, done):
        header = decision.header
        plan = self.plan(header)
        run = SimpleNamespace(
            header=header,
            call=header.call_id.partition('.')[0],
            node=process.node,
            service=process.upstream.service,
            revision=process.state.configuration.revision,
            context=decision.context,
            open=len(plan.onward),
        )
        self.history.append(run)
        process.runs[header.call_id] = done
        late = Attempt(AttemptKind.timed_out)
        wait = decision.deadline - self.clock.now()
        self.post(wait, self._end_run, process, header.call_id, late)
        for target in plan.onward:
            step = (process, run, plan, target, plan.repeats)
            self.post(0, self._go_onward, *step)
        if not plan.onward:
            self._finish_run(process, run, plan)

    def _finish_run(self, process, run, plan):
        attempt = Attempt(plan.kind, 200)
        call_id = run.header.call_id
        self.post(plan.duration, self._end_run, process, call_id, attempt)

    def _go_onward(self, process, run, plan, target, repeats):
        def done(call):
            if repeats and isinstance(call.answer, Refusal):
                step = (process, run, plan, target, repeats - 1)
                self.post(1, self._go_onward, *step)
                return
            run.open -= 1
            if not run.open:
                self._finish_run(process, run, plan)

        if self._is_live(process) and run.header.call_id in process.runs:
            path, claim = target
            self.call(run.node, path, None, claim, run, done)

    def _end_run(self, process, call_id, attempt):
        done = process.runs.pop(call_id, None)
        if done is not None and self._is_live(process):
            done(process, call_id, attempt)

    def leaks(self):
        found = [leaks(each.state) for each in self.processes.values()]
        return [each for each in found if each]


def _refused(decision):
    kind = AttemptKind.refused
    return Attempt(kind, refusal=decision.refusal, load=decision.load)


def go_onward(path, *, deeper=None, repeats=0):
    """Plan an onward call for first hops; later hops follow deeper."""

    def plan(header):
        if header.hop:
            return deeper or Plan()
        return Plan(onward=((path, None),), repeats=repeats)

    return plan


def leaks(state):
    targets = state.routing.targets.items()
    held = {
        'calls': state.calls,
        'hops': [state.pending_hops, state.running, state.contexts],
        'parked': state.parked,
        'charges': state.pending_charges,
        'retries': list(vars(state.retries).values()),
        'claims': [state.claims.running, state.claims.pending],
        'in_flight': [node for node, each in targets if each.in_flight],
    }
    if state.admission is not None:
        admission = state.admission
        held['admission'] = [admission.running, admission.queue.entries]
    return {name: each for name, each in held.items() if any(each)}
