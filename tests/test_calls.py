"""Test how calls are retried, refused and abandoned at their node."""

import unittest

from jasmineramp.call_messages import (
    Attempt,
    AttemptEnded,
    AttemptKind,
    CallArrived,
)
from jasmineramp.effects import EventKind, RecordEvent
from jasmineramp.reducer import reduce
from jasmineramp.refusals import RunState
from tests.fakes.network import KEY, Fleet, Plan, go_onward


class TestCalls(unittest.TestCase):
    """Guard how calls end that are not answered."""

    def test_refusal_after_lost_attempt_is_not_reported_as_not_run(self):
        """A refusal must not report not_run after a lost attempt.

        The lost attempt may have run, even if a later one was refused.
        """
        fleet = Fleet(('s0', 's0', 's1'))
        fleet.plan = lambda header: Plan(kind=AttemptKind.lost)
        call = fleet.call('n2', '/h0', KEY)
        fleet.advance_until(lambda: fleet.history)
        fleet.drain({'n0': 'n1', 'n1': 'n0'}[fleet.history[0].node])
        fleet.advance(500)
        self.assertEqual(call.code, 'draining')
        self.assertIs(call.answer.run, RunState.unknown)

    def test_late_retry_answer_ends_the_wait(self):
        """An answer after the timeout, before the tick, must end the wait."""
        fleet = Fleet(('s0', 's1', 's1'))
        fleet.plan = go_onward('/h1', deeper=Plan(kind=AttemptKind.lost))
        call = fleet.call('n1', '/h0', KEY)
        fleet.advance_until(lambda: fleet.processes['n0'].state.pending_charges)
        fleet.pause('n0', 300)
        fleet.advance(1000)
        self.assertIs(call.answer.kind, AttemptKind.answered)
        self.assertEqual(fleet.leaks(), [])

    def test_caller_leaving_in_backoff_ends_no_other_call(self):
        """An ended attempt must not be ended again.

        A second end would reduce the in-flight count of other calls.
        """
        fleet = Fleet(('s0', 's0', 's1'))
        fleet.plan = lambda header: Plan(kind=AttemptKind.lost)
        call = fleet.call('n2', '/h0', KEY)
        state = fleet.processes['n2'].state
        fleet.advance_until(
            lambda: state.calls[call.arrived.call_id].last_failure
        )
        others = [fleet.call('n2', '/h0', KEY) for _ in range(6)]
        fleet.leave(call)
        targets = state.routing.targets.values()
        self.assertEqual(sum(each.in_flight for each in targets), len(others))

    def test_caller_leaving_releases_claim_of_queued_call(self):
        """A call that never ran must not block its idempotency key."""
        fleet = Fleet(('s0', 's1'), slots=1)
        fleet.plan = lambda header: Plan(250)
        fleet.call('n0', '/h0', KEY)
        call = fleet.call('n0', '/order', KEY, 'k1')
        fleet.advance_until(lambda: fleet.processes['n0'].state.pending_hops)
        fleet.leave(call)
        fleet.advance(500)
        again = fleet.call('n0', '/order', KEY, 'k1')
        fleet.advance(1000)
        self.assertIs(again.answer.kind, AttemptKind.answered)

    def test_caller_leaving_at_start_frees_the_slot(self):
        """A thread that leaves while its call starts never reports the end."""
        fleet = Fleet(('s0', 's1'))
        call = fleet.call('n0', '/h0', KEY)
        self.assertEqual(len(fleet.history), 1)
        fleet.processes['n0'].runs.clear()
        fleet.leave(call)
        self.assertEqual(fleet.leaks(), [])

    def test_aborted_run_ends_its_onward_calls(self):
        """A cancelled service may leave its onward calls open."""
        fleet = Fleet(('s0', 's1', 's2'))
        fleet.plan = go_onward('/h1', deeper=Plan(1500))
        call = fleet.call('n2', '/h0', KEY)
        fleet.advance_until(lambda: len(fleet.history) == 2)
        fleet.leave(call)
        fleet.advance(50)
        self.assertEqual(fleet.leaks(), [])

    def test_non_idempotent_onward_call_runs_once(self):
        """A repeat of a non-idempotent onward call must not run again."""
        fleet = Fleet(('s0', 's1', 's1'))
        lost = Plan(kind=AttemptKind.lost)
        fleet.plan = go_onward('/bill', deeper=lost, repeats=3)
        fleet.call('n0', '/h0', KEY)
        fleet.advance(3000)
        rows = [run.header.row for run in fleet.history]
        self.assertEqual(rows, ['h0', 'bill'])

    def test_platform_outage_refuses_only_calls_that_need_claims(self):
        """Without the platform, idempotent calls must be served."""
        fleet = Fleet(('s0', 's1'))
        fleet.store.faults.down = True
        fleet.advance(8000)
        order = fleet.call('n0', '/order', KEY, 'k1')
        read = fleet.call('n0', '/h0', KEY)
        fleet.advance(2000)
        self.assertEqual(order.code, 'claims_unavailable')
        self.assertIs(order.answer.run, RunState.not_run)
        self.assertIs(read.answer.kind, AttemptKind.answered)

    def test_finished_call_is_recorded_with_its_instance(self):
        """The timeline of an answered request must not be empty."""
        fleet = Fleet(('s0', 's1'))
        state, now = fleet.processes['n0'].state, fleet.clock.now()
        arrived = CallArrived('c1', 'POST', '/h0', 'nonce', KEY)
        reduce(state, arrived, now)
        ended = AttemptEnded('c1', Attempt(AttemptKind.answered, 200))
        recorded = [
            effect.fields['instance']
            for effect in reduce(state, ended, now)
            if isinstance(effect, RecordEvent)
            and effect.kind is EventKind.call_finished
        ]
        self.assertEqual(recorded, ['n0'])
