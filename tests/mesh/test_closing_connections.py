"""Test the memory of requests that are sent on after their answer."""

import unittest
from unittest import mock

from jasmineramp.mesh import closing_connections
from jasmineramp.mesh.closing_connections import (
    MAX_CLOSING_CONNECTIONS,
    STALL_LIMIT_MS,
    ClosingConnections,
)
from jasmineramp.mesh.receive_limits import ReceiveBudget, Reservation
from tests.fakes.transports import StuckTransport

TOTAL_BYTES = 1000
# As many as may be held.
HELD_BYTES = 250


class ClosingConnectionsTest(unittest.TestCase):
    """Guard against memory that no call accounts for any more."""

    def setUp(self) -> None:
        self.now = 0.0
        loop = mock.Mock()
        loop.time = lambda: self.now
        patch = mock.patch.object(
            closing_connections.asyncio, 'get_running_loop', lambda: loop
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.budget = ReceiveBudget(TOTAL_BYTES)
        self.closing = ClosingConnections(self.budget)

    def close(self, unsent_bytes: int) -> StuckTransport:
        """Close a connection that has not sent some bytes."""
        transport = StuckTransport(unsent_bytes)
        self.closing.close(transport)  # type: ignore[arg-type]
        self.assertTrue(transport.is_closing)
        return transport

    def test_budgeted_protocol_are_counted_until_they_are_sent(self) -> None:
        transport = self.close(200)
        self.assertEqual(self.budget.used_bytes, 200)
        transport.unsent_bytes = 50
        self.closing.expire()
        self.assertEqual(self.budget.used_bytes, 50)
        self.closing.discard(transport)  # type: ignore[arg-type]
        self.assertEqual(self.budget.used_bytes, 0)

    def test_connection_that_has_sent_all_is_not_kept(self) -> None:
        self.close(0)
        self.assertFalse(self.closing.connections)

    def test_oldest_go_when_all_hold_too_much(self) -> None:
        transports = [self.close(HELD_BYTES // 2) for _ in range(3)]
        self.assertEqual(
            [each.is_aborted for each in transports], [True, False, False]
        )
        self.assertLessEqual(self.budget.used_bytes, HELD_BYTES)

    def test_number_of_connections_is_bounded(self) -> None:
        for _ in range(MAX_CLOSING_CONNECTIONS + 5):
            self.close(1)
        self.assertEqual(len(self.closing.connections), MAX_CLOSING_CONNECTIONS)

    def test_single_request_is_sent_to_its_end(self) -> None:
        self.assertFalse(self.close(TOTAL_BYTES + 1).is_aborted)

    def test_others_that_need_memory_go_first(self) -> None:
        transport = self.close(HELD_BYTES)
        reservation = Reservation(self.budget)
        self.assertTrue(reservation.try_resize(TOTAL_BYTES))
        self.assertTrue(transport.is_aborted)

    def test_waiting_reservation_is_granted_once(self) -> None:
        holder, waiting = Reservation(self.budget), Reservation(self.budget)
        self.assertTrue(holder.try_resize(TOTAL_BYTES - HELD_BYTES))
        granted: list[bool] = []
        self.close(HELD_BYTES)
        waiting.wait(TOTAL_BYTES, lambda: granted.append(True))
        holder.release()
        self.assertEqual(granted, [True])
        self.assertEqual(self.budget.used_bytes, TOTAL_BYTES)

    def test_upstream_that_stops_reading_is_cut_off(self) -> None:
        transport = self.close(10)
        self.now = STALL_LIMIT_MS / 1000
        transport.unsent_bytes = 9
        self.closing.expire()
        self.now *= 1.9
        self.closing.expire()
        self.assertFalse(transport.is_aborted)
        self.now *= 2
        self.closing.expire()
        self.assertTrue(transport.is_aborted)
        self.assertEqual(self.budget.used_bytes, 0)
