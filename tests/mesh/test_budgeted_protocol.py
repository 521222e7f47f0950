"""Test the count of what waits in the write buffer of a connection."""

import unittest

from jasmineramp.mesh.budgeted_protocol import BudgetedProtocol
from jasmineramp.mesh.receive_limits import ReceiveBudget
from tests.fakes.transports import StuckTransport

TOTAL_BYTES = 1000


class BudgetedProtocolTest(unittest.TestCase):
    """Guard against write buffers that are in no budget."""

    def setUp(self) -> None:
        self.budget = ReceiveBudget(TOTAL_BYTES)
        self.connection = BudgetedProtocol(self.budget)
        self.transport = StuckTransport()
        self.connection.connection_made(self.transport)  # type: ignore[arg-type]

    def test_nothing_is_counted_while_all_is_sent(self) -> None:
        self.transport.unsent_bytes = 500
        self.connection.settle()
        self.assertEqual(self.budget.used_bytes, 0)
        self.assertFalse(self.connection.is_congested())

    def test_bytes_are_counted_until_all_are_sent(self) -> None:
        self.transport.unsent_bytes = 500
        self.connection.pause_writing()
        self.assertEqual(self.budget.used_bytes, 500)
        self.assertTrue(self.connection.is_congested())
        self.transport.unsent_bytes = 100
        self.assertFalse(self.connection.is_congested())
        self.assertEqual(self.budget.used_bytes, 100)
        self.connection.resume_writing()
        self.assertEqual(self.budget.used_bytes, 0)

    def test_lost_connection_frees_its_memory(self) -> None:
        self.transport.unsent_bytes = 500
        self.connection.pause_writing()
        self.connection.connection_lost(None)
        self.assertEqual(self.budget.used_bytes, 0)
        self.connection.settle()
        self.assertEqual(self.budget.used_bytes, 0)
