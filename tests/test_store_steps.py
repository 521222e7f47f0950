"""Test the retries of a store operation until its outcome is known."""

import random
import unittest

from jasmineramp.clock import Millis
from jasmineramp.store_messages import (
    CompareAndSwap,
    Get,
    GrantLease,
    Operation,
    Outcome,
    Role,
    StoreAnswer,
    StoreAnswered,
)
from jasmineramp.store_steps import StoreStep

WRITE = CompareAndSwap('k', 0, b'mine')
UNKNOWN = StoreAnswer(Outcome.unknown)


class StoreStepTest(unittest.TestCase):
    """Guard against a write attributed to another writer or done twice.

    This can happen after a lost answer: the retry conflicts with the write
    of the earlier attempt.
    """

    def setUp(self) -> None:
        self.step = StoreStep(Role.claim, 'claims/0', random.Random(1))
        self.now = Millis(0)

    def answer(self, answer: StoreAnswer) -> StoreAnswer | None:
        operation = self.step.operation or WRITE
        event = StoreAnswered(Role.claim, self.step.tag, operation, answer)
        resolved, effects = self.step.answered(event, self.now)
        self.sent: list[Operation] = [effect.operation for effect in effects]
        return resolved

    def wait(self) -> None:
        self.now = Millis(self.now + 1000)
        self.sent = [effect.operation for effect in self.step.tick(self.now)]

    def test_conflict_with_an_earlier_attempt_is_done(self) -> None:
        self.step.start(WRITE, self.now)
        self.assertIsNone(self.answer(UNKNOWN))
        self.assertEqual(self.sent, [Get('k')])
        self.assertIsNone(self.answer(StoreAnswer(Outcome.done)))
        self.wait()
        self.assertEqual(self.sent, [WRITE])
        self.assertIsNone(self.answer(StoreAnswer(Outcome.conflict, 7)))
        self.assertEqual(self.sent, [Get('k')])
        stored = StoreAnswer(Outcome.done, 7, b'mine')
        self.assertEqual(self.answer(stored), stored)

    def test_conflict_with_another_write_returns_its_body(self) -> None:
        self.step.start(WRITE, self.now)
        self.answer(UNKNOWN)
        resolved = self.answer(StoreAnswer(Outcome.done, 7, b'other'))
        self.assertEqual(resolved, StoreAnswer(Outcome.conflict, 7, b'other'))

    def test_repeated_grant_counts_from_the_first_attempt(self) -> None:
        self.step.start(GrantLease('lease', 6000), self.now)
        self.assertIsNone(self.answer(UNKNOWN))
        self.wait()
        resolved = self.answer(StoreAnswer(Outcome.conflict))
        self.assertEqual(resolved, StoreAnswer(Outcome.done))
        self.assertEqual(self.step.sent_at, 0)

    def test_failed_operation_is_retried_only_after_a_delay(self) -> None:
        self.step.start(WRITE, self.now)
        self.answer(StoreAnswer(Outcome.not_done))
        self.assertEqual(self.sent, [])
        self.assertEqual(self.step.tick(self.now), [])
        self.wait()
        self.assertEqual(self.sent, [WRITE])
