"""Test runs at the node of an instance and tokens of their onward calls."""

import unittest

import msgspec

from jasmineramp.call_messages import CancelCall, HopArrived
from jasmineramp.events import MessageReceived
from tests.fakes.network import KEY, Fleet, Plan


class TestHops(unittest.TestCase):
    """Guard which calls the local upstream may run."""

    def setUp(self):
        self.fleet = Fleet(('s0', 's1'), slots=1)
        self.process = self.fleet.processes['n0']
        self.fleet.call('n1', '/h0', KEY)
        self.fleet.advance(100)
        self.first_run = self.fleet.history[0]
        header = msgspec.structs.replace(self.first_run.header, call_id='x.1')
        self.repeated_hop = HopArrived(header, 'nonce')
        self.fleet.plan = lambda header: Plan(150)

    def test_token_is_valid_only_while_its_call_runs(self):
        """A service must not act for a workspace after its call ended."""
        call = self.fleet.call('n0', '/h1', parent=self.first_run)
        self.assertEqual(call.code, 'context_unknown')
        self.fleet.call('n1', '/h0', KEY)
        self.fleet.advance(50)
        call = self.fleet.call('n1', '/h1', parent=self.fleet.history[-1])
        self.assertEqual(call.code, 'context_unknown')

    def test_repeated_request_runs_once(self):
        """The transport may repeat a request, even after the run ended."""
        for _ in range(2):
            self.fleet.apply(self.process, self.repeated_hop)
            self.assertEqual(len(self.process.state.running), 1)
            self.fleet.advance(5)

    def test_cancel_before_arrival_prevents_the_run(self):
        """A call that was abandoned before it arrives must not run."""
        cancel = MessageReceived('n1', CancelCall('x.1'))
        self.fleet.apply(self.process, cancel)
        self.fleet.apply(self.process, self.repeated_hop)
        self.assertEqual(self.fleet.leaks(), [])

    def test_queued_call_is_refused_when_service_changes(self):
        """A queued call must not run at the upstream of another service."""
        for _ in range(2):
            self.fleet.call('n1', '/h0', KEY)
        self.fleet.advance(20)
        self.fleet.announce('n0', service='s2')
        self.fleet.advance(500)
        services = [run.service for run in self.fleet.history]
        self.assertEqual(services, ['s0', 's0'])
