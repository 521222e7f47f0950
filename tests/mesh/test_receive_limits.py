"""Test the limits and the shared budget of received messages."""

import unittest

from jasmineramp.mesh.receive_limits import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MEBIBYTE,
    Bound,
    MessageBuffer,
    ReceiveBudget,
    Reservation,
    limits_for,
)


class MessageBufferTest(unittest.TestCase):
    """Test which bytes count against which limit."""

    def setUp(self) -> None:
        self.buffer = MessageBuffer(1000)

    def find_bound(self) -> Bound | None:
        """Return the exceeded bound, None if there is none."""
        excess = self.buffer.find_excess()
        return None if excess is None else excess.bound

    def test_body_is_joined_in_order(self) -> None:
        for piece in (b'ab', b'c', b'de'):
            self.buffer.add_body(piece)
        self.assertEqual(self.buffer.take_body(), b'abcde')
        self.assertEqual(self.buffer.take_body(), b'')

    def test_body_over_its_limit(self) -> None:
        self.buffer.add_body(b'x' * 1000)
        self.assertIsNone(self.find_bound())
        self.buffer.add_body(b'x')
        self.assertIs(self.find_bound(), Bound.body)

    def test_announced_length_counts_before_the_body_arrives(self) -> None:
        self.buffer.content_length = 1001
        self.assertIs(self.find_bound(), Bound.body)

    def test_messages_of_one_exchange_count_together(self) -> None:
        """Interim responses start new messages but not a new exchange."""
        self.buffer.received_bytes = MAX_HEAD_BYTES
        self.buffer.start_message()
        self.buffer.received_bytes += 1
        self.assertIs(self.find_bound(), Bound.head)
        self.buffer.start_exchange()
        self.assertIsNone(self.find_bound())

    def receive_chunks(self, count: int, size: int) -> None:
        """Receive chunks with five bytes of framing each."""
        self.buffer.max_body_bytes = MEBIBYTE
        for _ in range(count):
            self.buffer.received_bytes += 5 + size
            self.buffer.add_body(b'x' * size)

    def test_framing_of_small_chunks_is_allowed(self) -> None:
        self.receive_chunks(MAX_HEAD_BYTES, 5)
        self.assertIsNone(self.find_bound())

    def test_long_bodies_in_chunks_of_one_byte_are_cut(self) -> None:
        self.receive_chunks(MAX_HEAD_BYTES // 4, 1)
        self.assertIsNone(self.find_bound())
        self.receive_chunks(1, 1)
        self.assertIs(self.find_bound(), Bound.head)


class ReceiveBudgetTest(unittest.TestCase):
    """Test how reservations share the budget."""

    def setUp(self) -> None:
        self.budget = ReceiveBudget(100)
        self.granted: list[str] = []

    def reserve(self, size: int) -> Reservation:
        """Return a reservation of this size."""
        reservation = Reservation(self.budget)
        self.assertTrue(reservation.try_resize(size))
        return reservation

    def wait(self, name: str, size: int) -> Reservation:
        """Return a waiting reservation that records its grant."""
        reservation = Reservation(self.budget)
        reservation.wait(size, lambda: self.granted.append(name))
        return reservation

    def test_nothing_is_reserved_beyond_the_total(self) -> None:
        first = self.reserve(60)
        self.assertFalse(Reservation(self.budget).try_resize(41))
        self.assertFalse(first.try_resize(101))
        self.assertEqual(self.budget.used_bytes, 60)
        self.assertTrue(first.try_resize(100))
        first.release()
        self.assertEqual(self.budget.used_bytes, 0)

    def test_waiting_reservations_are_granted_in_order(self) -> None:
        first = self.reserve(100)
        self.wait('second', 70)
        self.wait('third', 20)
        first.try_resize(60)
        self.assertEqual(self.granted, [])
        first.release()
        self.assertEqual(self.granted, ['second', 'third'])
        self.assertEqual(self.budget.used_bytes, 90)

    def test_a_waiter_that_gives_up_lets_the_next_one_through(self) -> None:
        first = self.reserve(80)
        second = self.wait('second', 70)
        self.wait('third', 20)
        first.try_resize(80)
        second.release()
        self.assertEqual(self.granted, ['third'])

    # Guards against responses that wait without end after one that failed.
    def test_failed_grant_does_not_stop_later_ones(self) -> None:
        first = self.reserve(100)
        failing = Reservation(self.budget)
        failing.wait(10, lambda: 1 // 0)
        self.wait('second', 10)
        with self.assertRaises(ZeroDivisionError):
            first.try_resize(50)
        first.release()
        self.assertEqual(self.granted, ['second'])

    def test_limits_follow_the_memory(self) -> None:
        small = limits_for(64 * MEBIBYTE)
        self.assertEqual(small.body_bytes, 4 * MEBIBYTE)
        self.assertEqual(small.total_bytes, 8 * MEBIBYTE)
        self.assertEqual(limits_for(10**12).body_bytes, MAX_BODY_BYTES)
