"""Test events that concern several policies of a node."""

import unittest

import msgspec

from jasmineramp import propagation
from jasmineramp.call_messages import AttemptKind, HopArrived, StopRequested
from tests.fakes.network import (
    KEY,
    MOVED_KEY,
    TABLE,
    WITHOUT_KEY,
    Fleet,
    Plan,
    go_onward,
)


class TestReducer(unittest.TestCase):
    """Guard against calls that a stop, restart or edit handles wrongly."""

    def test_stop_lets_open_calls_finish(self):
        """Open calls must finish and held slots and partitions be released."""
        fleet = Fleet(('s0', 's0', 's1'), platform=True, slots=1)
        fleet.advance(15_000)
        state = fleet.processes['n0'].state
        self.assertTrue(propagation.has_resources_to_release(state))
        fleet.plan = go_onward('/h1', deeper=Plan(60))
        calls = [fleet.call(node, '/h0', KEY) for node in ('n0', 'n2') * 2]
        fleet.apply(fleet.processes['n0'], StopRequested())
        calls += [fleet.call('n2', '/h0', KEY) for _ in range(2)]
        self.assertEqual(fleet.call('n0', '/h0', KEY).code, 'draining')
        fleet.announce('n0', slots=9)
        self.assertTrue(propagation.has_open_calls(state, fleet.clock.now()))
        fleet.advance(3500)
        kinds = {getattr(call.answer, 'kind', call.code) for call in calls}
        self.assertEqual(kinds, {AttemptKind.answered})
        self.assertFalse(propagation.has_open_calls(state, fleet.clock.now()))
        self.assertFalse(propagation.has_resources_to_release(state))
        self.assertEqual(
            [
                key
                for key, entry in fleet.store.state.entries.items()
                if b'n0' in entry.body and key.startswith(('slots', 'claims/o'))
            ],
            [],
        )
        self.assertEqual(self.nodes_of_later_calls(fleet), {'n1'})
        header = msgspec.structs.replace(fleet.history[0].header, call_id='x.1')
        fleet.apply(fleet.processes['n0'], HopArrived(header, 'nonce'))
        self.assertEqual(fleet.leaks(), [])

    def test_stop_waits_until_outcomes_are_delivered(self):
        """An outcome lost with its node would block the key needlessly."""
        fleet = Fleet(('s0', 's0', 's1'), platform=True)
        fleet.advance(15_000)
        fleet.plan = lambda header: Plan(1500)
        call = fleet.call('n2', '/order', KEY, 'k1')
        fleet.advance_until(lambda: fleet.history)
        fleet.apply(fleet.processes['n2'], StopRequested())
        state = fleet.processes['n2'].state
        fleet.advance_until(lambda: call.answer)
        self.assertTrue(propagation.has_resources_to_release(state))
        fleet.advance(1000)
        self.assertFalse(propagation.has_resources_to_release(state))

    def test_draining_instance_gets_no_new_call(self):
        """Other nodes must stop choosing a draining instance.

        The node of the instance refuses new calls at once.
        """
        fleet = Fleet(('s0', 's0', 's1'))
        fleet.drain('n0')
        fleet.advance(3000)
        self.assertEqual(self.nodes_of_later_calls(fleet), {'n1'})

    def nodes_of_later_calls(self, fleet):
        fleet.history.clear()
        fleet.plan = lambda header: Plan()
        for _ in range(20):
            call = fleet.call('n2', '/low', KEY)
            fleet.advance(100)
            self.assertEqual(call.attempts, 1)
        return {run.node for run in fleet.history}

    def test_waiting_call_with_withdrawn_key_is_refused(self):
        """Guard against a call that starts after its key was withdrawn.

        Its key may also have moved to another workspace; the call may be
        queued or wait for its claim.
        """
        for table in (WITHOUT_KEY, MOVED_KEY):
            fleet = Fleet(('s0', 's1'), slots=1)
            fleet.plan = lambda header: Plan(100)
            waiting = [
                fleet.call('n0', path, KEY, 'k1')
                for path in ('/h0', '/h0', '/order')
            ][1:]
            fleet.edit('n0', table)
            fleet.advance(1000)
            codes = {call.code for call in waiting}
            self.assertEqual(codes, {'key_unknown'})
            self.assertEqual(len(fleet.history), 1)

    def test_node_with_older_table_accepts_calls_of_a_new_key(self):
        """A node with an older revision must not refuse a key it lacks."""
        fleet = Fleet(('s0', 's1', 's2'))
        fleet.edit('n0', WITHOUT_KEY)
        fleet.advance(1000)
        fleet.cut = {'n0'}
        fleet.edit('n2', TABLE)
        fleet.cut = set()
        fleet.plan = go_onward('/h1')
        fleet.call('n2', '/h0', KEY)
        fleet.advance(40)
        rows = [(run.header.row, run.revision) for run in fleet.history]
        self.assertEqual(rows[:1], [('h0', 2)])
        self.assertEqual([row for row, _ in rows], ['h0', 'h1'])

    def test_restart_of_entry_node_denies_retries(self):
        """Without its ledger, onward calls must end without a retry."""
        fleet = Fleet(('s0', 's1', 's1', 's2'))
        lost = Plan(30, AttemptKind.lost)
        fleet.plan = go_onward('/h1', deeper=lost)
        fleet.call('n3', '/h0', KEY)
        fleet.advance(10)
        fleet.crash('n3')
        fleet.start('n3')
        fleet.advance(3000)
        self.assertEqual(len(fleet.history), 2)
        self.assertEqual(fleet.leaks(), [])
