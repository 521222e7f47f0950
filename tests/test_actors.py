"""Test when ticks are applied to the state of a node."""

import unittest
from unittest import mock

from jasmineramp.actors import IDLE_TICK_MS, TICK_MS, Delivery, Dispatcher
from jasmineramp.call_messages import CallerLeft
from jasmineramp.clock import ManualClock, Millis
from jasmineramp.ids import CallId, DomainId, NodeId
from jasmineramp.node import build_state
from jasmineramp.rate_buckets import NEVER
from jasmineramp.settings import Settings

EVENT = Delivery(CallerLeft(CallId('none')))


class TickTest(unittest.TestCase):
    """Guard against ticks that are late or never applied."""

    def setUp(self) -> None:
        settings = Settings(
            NodeId('n0'), DomainId('d0'), (DomainId('d0'),), '', '', '', 'p'
        )
        self.clock = ManualClock(Millis(1000))
        self.state = build_state(settings, 1, self.clock.now())
        self.dispatcher = Dispatcher(self.state, self.clock, mock.Mock())

    def test_waiting_call_shortens_the_idle_interval(self) -> None:
        """A waiting call must not wait for the idle tick interval."""
        due = self.dispatcher.schedule(NEVER)
        self.assertEqual(due, 1000 + IDLE_TICK_MS)
        self.state.pending_hops[CallId('c')] = mock.Mock()
        self.dispatcher.apply(EVENT)
        self.assertTrue(self.dispatcher.wake.is_set())
        self.assertEqual(self.dispatcher.schedule(due), 1000 + TICK_MS)

    def test_frequent_events_do_not_postpone_the_tick(self) -> None:
        """Events at shorter intervals than the minimum must not postpone it."""
        self.state.rates.wake_at = Millis(500)
        due = self.dispatcher.schedule(NEVER)
        for _ in range(10):
            self.clock.advance(1)
            self.dispatcher.apply(EVENT)
            self.assertFalse(self.dispatcher.wake.is_set())
            self.assertEqual(self.dispatcher.schedule(due), due)
