"""Test the bound on connections that have not said where they come from."""

import unittest
from unittest import mock

from jasmineramp.mesh import new_sessions
from jasmineramp.mesh.new_sessions import (
    HELLO_TIMEOUT_S,
    REPLACEABLE_AFTER_S,
    NewSessions,
)
from tests.fakes.transports import StuckTransport


class NewSessionsTest(unittest.TestCase):
    """Guard against silent connections that take all descriptors."""

    def setUp(self) -> None:
        self.now = 0.0
        loop = mock.Mock()
        loop.time = lambda: self.now
        patch = mock.patch.object(
            new_sessions.asyncio, 'get_running_loop', lambda: loop
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.sessions = NewSessions(2)
        self.transports = [self.connect(), self.connect()]

    def connect(self) -> StuckTransport:
        """Connect and stay silent."""
        transport = StuckTransport()
        self.sessions.add(transport)  # type: ignore[arg-type]
        return transport

    def aborted(self) -> list[bool]:
        """Tell for the first connections whether they were aborted."""
        return [each.is_aborted for each in self.transports]

    def test_new_connection_goes_while_the_others_may_speak(self) -> None:
        self.assertTrue(self.connect().is_aborted)
        self.assertEqual(self.aborted(), [False, False])

    def test_oldest_goes_once_it_has_been_silent(self) -> None:
        self.now = REPLACEABLE_AFTER_S
        self.assertFalse(self.connect().is_aborted)
        self.assertEqual(self.aborted(), [True, False])

    def test_those_that_spoke_make_room(self) -> None:
        self.sessions.discard(self.transports[0])  # type: ignore[arg-type]
        self.assertFalse(self.connect().is_aborted)
        self.assertEqual(self.aborted(), [False, False])

    def test_silent_connections_expire(self) -> None:
        self.now = HELLO_TIMEOUT_S
        self.sessions.expire()
        self.assertEqual(self.aborted(), [True, True])
        self.assertFalse(self.sessions.connected_at)
