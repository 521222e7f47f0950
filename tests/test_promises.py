"""Test the guarantees of the design as predicates over whole histories."""

import collections
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jasmineramp.call_messages import AttemptKind
from jasmineramp.refusals import Refusal, RunState
from tests.fakes.network import (
    HOPS,
    KEY,
    KEYS,
    RETRIES,
    SERVICES,
    WITHOUT_KEY,
    Fleet,
    Plan,
)

FAILURE_KINDS = (AttemptKind.shed, AttemptKind.lost)
DURATIONS_MS = (1, 1, 2, 2, 5, 5, 20, 20, 50, 100, 3000)


def requests_over_retry_total(fleet):
    """Return the requests whose retries and repeats exceed the total."""
    retries = collections.Counter()
    repeats = collections.Counter()
    for call in fleet.calls.values():
        retries[call.request] += max(0, call.attempts - 1)
        if call.arrived.context and call.attempts:
            onward = (call.request, call.arrived.context, call.arrived.path)
            retries[call.request] += onward in repeats
            repeats[onward] += 1
    return [request for request, count in retries.items() if count > RETRIES]


def runs_for_wrong_workspace(fleet):
    """Return the runs for a workspace other than that of the request's key."""
    return [
        run
        for run in fleet.history
        if run.header.workspace
        != KEYS[fleet.calls[run.header.request_id].arrived.key]
    ]


def starts_with_withdrawn_key(fleet, withdrawn):
    """Return the calls started under a table that withdrew their key."""
    starts = [(run.call, run.revision) for run in fleet.history]
    for number, call in fleet.calls.items():
        starts += [(number, revision) for revision in call.forwarded_at]
    call_ids = []
    for number, revision in starts:
        key = fleet.calls[fleet.calls[number].request].arrived.key
        if revision >= withdrawn.get(key, revision + 1):
            call_ids.append(number)
    return call_ids


def runs_reported_as_not_run(fleet):
    """Return the calls that ran although their refusal says not_run."""
    ran = {run.call for run in fleet.history}
    return [
        number
        for number, call in fleet.calls.items()
        if isinstance(call.answer, Refusal)
        and call.answer.run is RunState.not_run
        and number in ran
    ]


def repeated_effects(fleet):
    """Return the effects of non-idempotent rows that ran more than once."""
    runs = collections.Counter()
    for run in fleet.history:
        claim = fleet.calls[run.call].arrived.idempotency_key
        if run.header.row in {'order', 'bill'}:
            effect = claim or run.header.request_id
            runs[run.header.workspace, run.header.row, effect] += 1
    return [effect for effect, count in runs.items() if count > 1]


class RandomFaultRun:
    """Send calls that repeat or are abandoned under random faults."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        choose = self.random.choice
        fleet = Fleet(SERVICES, seed, slots=choose((3, 30, 30)))
        fleet.plan = self.plan
        fleet.loss = choose((0, 0.05, 0.3))
        fleet.duplicates = choose((0, 0.2))
        fleet.delay = choose((2, 30))
        self.fleet = fleet
        self.attempt_failure_rate = choose((0, 0.1, 0.5))
        self.fault_rate = choose((0.05, 0.2, 0.6))
        self.withdrawn = {}

    def plan(self, header):
        choose = self.random.choice
        failed = self.random.random() < self.attempt_failure_rate
        kind = choose(FAILURE_KINDS) if failed else AttemptKind.answered
        onward = ()
        if header.row == 'order':
            onward = (('/bill', choose((None, 'k1', 'k2'))),)
        elif header.row != 'bill' and int(header.row[1:]) < HOPS - 1:
            fan_out = choose((1, 1, 1, 2))
            deeper = f'/h{int(header.row[1:]) + 1}'
            onward = ((deeper, None), ('/bill', None))[:fan_out]
        repeats = self.random.randrange(5)
        return Plan(choose(DURATIONS_MS), kind, onward, repeats)

    def inject_fault(self):
        fleet = self.fleet
        node = self.random.choice(list(fleet.processes))
        match self.random.randrange(6):
            case 0 if len(fleet.processes) == len(SERVICES):
                fleet.crash(node)
                fleet.post(self.random.choice((50, 1500)), fleet.start, node)
            case 1:
                fleet.pause(node, self.random.choice((100, 400, 1500)))
            case 2:
                fleet.cut ^= {node}
            case 3:
                fleet.store.faults.down = not fleet.store.faults.down
            case 4 if not self.withdrawn:
                fleet.edit(node, WITHOUT_KEY)
                self.withdrawn[next(iter(KEYS))] = fleet.revision
            case 5:
                fleet.store.faults.lose_answers += 1

    def step(self):
        fleet = self.fleet
        for _ in range(self.random.randrange(6)):
            node = self.random.choice(list(fleet.processes))
            key = self.random.choice(list(KEYS))
            claim = f'k{self.random.randrange(5)}'
            path = self.random.choice(('/order', '/h0', '/h0'))
            fleet.call(node, path, key, claim)
        if self.random.random() < self.fault_rate:
            self.inject_fault()
        waiting = [each for each in fleet.calls.values() if not each.answer]
        if waiting and self.random.random() < 0.3:
            fleet.leave(self.random.choice(waiting))
        fleet.advance(self.random.choice((5, 20, 100)))

    def run(self):
        for _ in range(60):
            self.step()
        self.fleet.cut, self.fleet.loss = set(), 0
        self.fleet.store.faults.down = False
        self.fleet.advance(12_000)
        return self.fleet


class TestPromises(unittest.TestCase):
    """Guard the guarantees of the design in random and overloaded histories."""

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_guarantees_hold_under_random_faults(self, seed):
        scenario = RandomFaultRun(seed)
        fleet = scenario.run()
        self.assertEqual(requests_over_retry_total(fleet), [])
        self.assertEqual(runs_for_wrong_workspace(fleet), [])
        self.assertEqual(
            starts_with_withdrawn_key(fleet, scenario.withdrawn), []
        )
        self.assertEqual(runs_reported_as_not_run(fleet), [])
        self.assertEqual(repeated_effects(fleet), [])
        self.assertFalse([each for each in fleet.refused if each[1] < each[0]])
        self.assertEqual(fleet.leaks(), [])
        self.assertTrue(all(call.answer for call in fleet.calls.values()))

    def test_important_calls_are_refused_last(self):
        fleet = Fleet(('s0', 's1'), slots=20)
        fleet.plan = lambda header: Plan(20)
        self.send_mixed(fleet, 600)
        refused = collections.Counter(
            call.arrived.path
            for call in fleet.calls.values()
            if call.code.startswith('overloaded')
        )
        self.assertEqual(refused['/high'], 0)
        self.assertGreater(refused['/low'] / 2, refused['/h0'])
        # The instance stalls, so that queued calls exceed their deadline.
        fleet.plan = lambda header: Plan(400)
        self.send_mixed(fleet, 200)
        self.assertFalse([each for each in fleet.refused if each[1] < each[0]])

    def send_mixed(self, fleet, count):
        for step in range(count):
            path = ('/low', '/h0', '/low', '/high')[step % 4]
            fleet.call(('n0', 'n1')[step % 2], path, KEY)
            fleet.advance(2)
