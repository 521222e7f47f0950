"""Test the promises of the design as predicates over whole histories."""

import collections
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jasmineramp.authentication import digest_key
from jasmineramp.call_messages import AttemptKind
from jasmineramp.refusals import Refusal, RunState
from jasmineramp.table import CallRow, KeyRow, Table, WorkspaceRow
from tests.fakes.network import Fleet, Plan, leaks

HOPS = 6
RETRIES = 3
KEYS = {digest_key(name): name[0] for name in ('a1', 'a2', 'b1')}
SERVICES = ('s0', 's0', 's1', 's1', 's2', 's2')
TABLE = Table(
    (
        *(
            CallRow(f'h{hop}', f's{hop % 3}', f'/h{hop}', retries=RETRIES)
            for hop in range(HOPS)
        ),
        CallRow('order', 's0', '/order', idempotent=False, retries=RETRIES),
        CallRow('bill', 's1', '/bill', idempotent=False, retries=RETRIES),
    ),
    (WorkspaceRow('a', 3000, 600), WorkspaceRow('b', 20, 12)),
    tuple(KeyRow(digest, name) for digest, name in KEYS.items()),
    rate_slots=len(SERVICES),
)


def overspent(fleet):
    """Return the requests whose retries and repeats exceed the total."""
    spent = collections.Counter()
    for call in fleet.calls.values():
        spent[call.request] += max(0, call.attempts - 1)
    repeats = collections.Counter(
        (call.request, call.arrived.context, call.arrived.path)
        for call in fleet.calls.values()
        if call.arrived.context and call.attempts
    )
    for (request, *_), count in repeats.items():
        spent[request] += count - 1
    return [request for request, count in spent.items() if count > RETRIES]


def foreign(fleet):
    """Return the runs for a workspace that is not that of the first key."""
    return [
        run
        for run in fleet.history
        if run.header.workspace
        != KEYS[fleet.calls[run.header.request_id].arrived.key]
    ]


def with_withdrawn(fleet, withdrawn):
    """Return the starts where a key was withdrawn in the table in force."""
    starts = [(run.call, run.revision) for run in fleet.history] + [
        (number, revision)
        for number, call in fleet.calls.items()
        for revision in call.forwarded_at
    ]
    found = []
    for number, revision in starts:
        key = fleet.calls[fleet.calls[number].request].arrived.key
        if revision >= withdrawn.get(key, revision + 1):
            found.append(number)
    return found


def falsely_not_run(fleet):
    """Return the calls that ran although their answer denies it."""
    ran = {run.call for run in fleet.history}
    return [
        number
        for number, call in fleet.calls.items()
        if isinstance(call.answer, Refusal)
        and call.answer.run is RunState.not_run
        and number in ran
    ]


def repeated(fleet):
    """Return the effects of non-idempotent rows that happened twice."""
    runs = collections.Counter()
    for run in fleet.history:
        arrived = fleet.calls[run.call].arrived
        claim = arrived.idempotency_key or run.header.request_id
        if run.header.row in {'order', 'bill'}:
            runs[run.header.workspace, run.header.row, claim] += 1
    return [effect for effect, count in runs.items() if count > 1]


def misplaced(fleet):
    """Return the runs at an upstream of another service."""
    return [run for run in fleet.history if run.service != run.header.service]


class Storm:
    """Send calls that repeat and leave while everything else fails."""

    def __init__(self, seed, loss, duplicates):
        self.random = random.Random(seed)
        slots = self.random.choice((3, 30, 30))
        self.fleet = Fleet(TABLE, SERVICES, seed, slots=slots)
        self.fleet.plan = self.plan
        self.withdrawn = {}
        self.failures = self.random.choice((0, 0.1, 0.5))
        self.faults = self.random.choice((0.05, 0.2, 0.6))
        self.fleet.faults.loss = loss
        self.fleet.faults.duplicates = duplicates
        self.fleet.faults.delay = self.random.choice((2, 30))

    def plan(self, header):
        chance = self.random.random()
        kind = AttemptKind.answered
        if chance < self.failures:
            kinds = (AttemptKind.shed, AttemptKind.lost)
            kind = self.random.choice(kinds)
        onward = ()
        hop = header.row[1:]
        if header.row == 'order':
            onward = (('/bill', self.random.choice((None, 'k1', 'k2'))),)
        elif header.row.startswith('h') and int(hop) < HOPS - 1:
            fan = self.random.choice((1, 1, 1, 2))
            onward = ((f'/h{int(hop) + 1}', None), ('/bill', None))[:fan]
        duration = self.random.choice((1, 1, 2, 2, 5, 5, 20, 20, 50, 100, 3000))
        return Plan(duration, kind, onward, repeats=self.random.randrange(5))

    def disturb(self):
        fleet = self.fleet
        node = self.random.choice(list(fleet.processes))
        match self.random.randrange(12):
            case 0 if len(fleet.processes) == len(SERVICES):
                fleet.crash(node)
                fleet.post(self.random.choice((50, 1500)), fleet.start, node)
            case 1:
                fleet.pause(node, self.random.choice((100, 400, 1500)))
            case 2:
                fleet.faults.cut ^= {node}
            case 3:
                fleet.store.faults.down = not fleet.store.faults.down
            case 4 if not self.withdrawn:
                keys = fleet.table.keys
                fleet.edit(
                    node,
                    Table(
                        TABLE.calls,
                        TABLE.workspaces,
                        keys[1:],
                        rate_slots=len(SERVICES),
                    ),
                )
                self.withdrawn[keys[0].digest] = fleet.revision
            case 5:
                fleet.store.faults.lose_answers += 1

    def depart(self):
        fleet = self.fleet
        waiting = [each for each in fleet.calls.values() if not each.answer]
        if waiting and self.random.random() < 0.1:
            fleet.leave(self.random.choice(waiting))

    def run(self):
        fleet = self.fleet
        for _ in range(60):
            for _ in range(self.random.randrange(6)):
                node = self.random.choice(list(fleet.processes))
                key = self.random.choice(list(KEYS))
                if self.random.random() < 0.4:
                    claim = f'k{self.random.randrange(5)}'
                    fleet.call(node, '/order', key, claim)
                else:
                    fleet.call(node, '/h0', key)
            if self.random.random() < self.faults:
                self.disturb()
            self.depart()
            fleet.advance(self.random.choice((5, 20, 100)))
        fleet.faults.cut = set()
        fleet.faults.loss = 0
        fleet.store.faults.down = False
        fleet.advance(12_000)
        return fleet


class TestStorm(unittest.TestCase):
    """Guard every promise against random faults."""

    @settings(max_examples=30, deadline=None)
    @given(
        st.integers(0, 2**32),
        st.sampled_from((0, 0.05, 0.3)),
        st.sampled_from((0, 0.2)),
    )
    def test_promises(self, seed, loss, duplicates):
        storm = Storm(seed, loss, duplicates)
        fleet = storm.run()
        self.assertEqual(overspent(fleet), [])
        self.assertEqual(foreign(fleet), [])
        self.assertEqual(with_withdrawn(fleet, storm.withdrawn), [])
        self.assertEqual(falsely_not_run(fleet), [])
        self.assertEqual(repeated(fleet), [])
        self.assertEqual(misplaced(fleet), [])
        self.assertEqual(
            [leaks(process.state) for process in fleet.processes.values()],
            [{}] * len(SERVICES),
        )
        self.assertEqual(
            [call for call in fleet.calls.values() if call.answer is None], []
        )
