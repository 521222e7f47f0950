"""Test the retry ledger of a request."""

import itertools
import random
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from jasmineramp import retries
from jasmineramp.clock import Millis
from jasmineramp.ids import CallId, ContextToken, RequestId
from jasmineramp.refusals import RefusalCode, RunState
from jasmineramp.retries import (
    FailedCall,
    NoRetry,
    NoRetryReason,
    Retry,
    RetryAfter,
    RetryState,
)

REQUEST = RequestId('r1')
TOKEN = ContextToken('t1')
DEADLINE = Millis(2000)
FAILED = FailedCall(
    attempt=1,
    code=RefusalCode.overloaded,
    run=RunState.not_run,
    idempotent=False,
    deadline=DEADLINE,
    has_other_instance=True,
    all_overloaded=False,
)
MAX_DEPTH = 6


class CallTree:
    """Run a random call tree in which any call may fail and be retried.

    Depth 0 runs at the entry node, each deeper call at a separate node.
    """

    def __init__(self, total: int, seed: int, network) -> None:
        self.random = random.Random(seed)
        self.network = itertools.cycle(network)
        self.entry = RetryState()
        self.call_numbers = itertools.count()
        self.now = 0.0
        self.granted_retries = 0
        self.remaining_attempts = 400
        self.late_answers: list = []
        retries.open_request(self.entry, REQUEST, total, DEADLINE)

    def may_retry(self, node: RetryState, retry: Retry) -> bool:
        if node is self.entry:
            granted = retries.spend(node, REQUEST, Millis(self.now))
            self.granted_retries += granted
            return granted
        request = retries.request_retry(node, REQUEST, retry, Millis(self.now))
        fault = next(self.network)
        if fault == 'lost request':
            return False
        answers = [
            retries.answer_request(self.entry, request, Millis(self.now))
        ]
        if fault == 'duplicate':
            answers *= 2
            answers.append(
                retries.answer_request(self.entry, request, Millis(self.now))
            )
        if fault == 'lost answer':
            return False
        if fault == 'late':
            self.late_answers.append((node, answers[0]))
            self.now += 1
            retries.expire(node, Millis(self.now + retries.ANSWER_TIMEOUT_MS))
            return False
        granted = [
            retries.accept_answer(node, message, Millis(self.now))
            for message in answers
        ].count(True)
        self.granted_retries += granted
        return granted > 0

    def run(self, node: RetryState, depth: int) -> None:
        call_id = CallId(str(next(self.call_numbers)))
        for attempt in itertools.count(1):
            self.remaining_attempts -= 1
            if self.remaining_attempts < 0:
                return
            self.serve(depth, ContextToken(f'{call_id}/{attempt}'))
            if self.random.random() < 0.4:
                return
            if not self.may_retry(node, Retry(call_id, attempt)):
                return

    def serve(self, depth: int, token: ContextToken) -> None:
        if depth == MAX_DEPTH:
            return
        node = RetryState()
        for _ in range(self.random.randint(0, 3)):
            path = self.random.choice(('/a', '/b'))
            onward = retries.fingerprint('GET', path, b'')
            if retries.is_repeat(node, token, onward):
                retry = Retry(CallId(str(next(self.call_numbers))), 1)
                if not self.may_retry(node, retry):
                    continue
            self.run(node, depth + 1)
        retries.forget_token(node, token)
        assert not node.onward_calls


class RetryLedgerTest(unittest.TestCase):
    """Guard the retry limit of a request against message faults."""

    @settings(deadline=None, max_examples=200)
    @given(
        st.integers(0, 8),
        st.integers(0, 2**32),
        st.lists(
            st.sampled_from(
                ('ok', 'duplicate', 'late', 'lost request', 'lost answer')
            ),
            min_size=1,
        ),
    )
    def test_call_trees_never_exceed_the_total(
        self, total, seed, network
    ) -> None:
        tree = CallTree(total, seed, network)
        tree.run(tree.entry, 0)
        self.assertLessEqual(tree.granted_retries, total)
        for node, message in tree.late_answers:
            self.assertIsNone(
                retries.accept_answer(node, message, Millis(tree.now))
            )

    def test_duplicate_request_is_charged_once(self) -> None:
        """Guard against duplicated messages that exhaust the total."""
        entry, node = RetryState(), RetryState()
        retries.open_request(entry, REQUEST, 2, DEADLINE)
        request = retries.request_retry(
            node, REQUEST, Retry(CallId('c'), 1), Millis(0)
        )
        for _ in range(3):
            answer = retries.answer_request(entry, request, Millis(0))
            self.assertTrue(answer.granted)
        self.assertTrue(retries.spend(entry, REQUEST, Millis(0)))
        self.assertFalse(retries.spend(entry, REQUEST, Millis(0)))

    def test_answer_after_the_timeout_is_not_used(self) -> None:
        """Guard against a retry after the caller received the refusal."""
        entry, node = RetryState(), RetryState()
        retries.open_request(entry, REQUEST, 2, DEADLINE)
        retry = Retry(CallId('c'), 1)
        request = retries.request_retry(node, REQUEST, retry, Millis(0))
        answer = retries.answer_request(entry, request, Millis(0))
        timeout = Millis(retries.ANSWER_TIMEOUT_MS)
        self.assertIsNone(retries.accept_answer(node, answer, timeout))
        retries.request_retry(node, REQUEST, retry, Millis(0))
        self.assertEqual(retries.expire(node, Millis(249)), [])
        self.assertEqual(retries.expire(node, timeout), [retry])

    def test_no_retries_without_an_open_ledger(self) -> None:
        """Guard against retries of a request that ended."""
        entry = RetryState()
        retries.open_request(entry, REQUEST, 5, DEADLINE)
        self.assertFalse(retries.spend(entry, REQUEST, DEADLINE))
        retries.close_request(entry, REQUEST)
        self.assertFalse(retries.spend(entry, REQUEST, Millis(0)))
        retries.open_request(entry, REQUEST, 5, DEADLINE)
        retries.expire(entry, DEADLINE)
        self.assertFalse(entry.ledgers)

    def test_repeat_needs_the_same_token_method_path_and_body(self) -> None:
        """Guard against charging a fan-out of different calls as retries."""
        state = RetryState()
        first = retries.fingerprint('GET', '/a?x=1', b'')
        self.assertFalse(retries.is_repeat(state, TOKEN, first))
        other_calls = (('PUT', '/a?x=1', b''), ('GET', '/a', b''))
        for parts in (*other_calls, ('GET', '/a?x=1', b'body')):
            onward = retries.fingerprint(*parts)
            self.assertFalse(retries.is_repeat(state, TOKEN, onward))
        other_token = ContextToken('t2')
        self.assertFalse(retries.is_repeat(state, other_token, first))
        self.assertTrue(retries.is_repeat(state, TOKEN, first))


class RetryPlanTest(unittest.TestCase):
    """Guard the conditions under which a retry is permitted."""

    def plan(self, **changes) -> RetryAfter | NoRetry:
        return retries.plan_retry(
            msgspec.structs.replace(FAILED, **changes),
            random.Random(1),
            Millis(0),
        )

    def test_permits_calls_that_did_not_run_or_are_idempotent(self) -> None:
        self.assertIsInstance(self.plan(), RetryAfter)
        lost = {'code': RefusalCode.upstream_lost, 'run': RunState.unknown}
        self.assertIsInstance(self.plan(**lost, idempotent=True), RetryAfter)
        self.assertEqual(self.plan(**lost), NoRetry(NoRetryReason.may_have_run))

    def test_forbids_retries_that_cannot_help(self) -> None:
        reasons = NoRetryReason
        for changes, reason in (
            ({'code': RefusalCode.key_unknown}, reasons.code),
            ({'code': RefusalCode.overloaded_downstream}, reasons.code),
            ({'all_overloaded': True}, reasons.all_overloaded),
            ({'has_other_instance': False}, reasons.no_other_instance),
            ({'deadline': Millis(0)}, reasons.deadline),
        ):
            with self.subTest(changes=changes):
                self.assertEqual(self.plan(**changes), NoRetry(reason))

    @settings(deadline=None)
    @given(st.integers(1, 2000), st.integers())
    def test_backoff_is_jittered_and_bounded(self, attempt, seed) -> None:
        delay = retries.backoff(attempt, random.Random(seed))
        max_delay = min(
            retries.MAX_BACKOFF_MS,
            retries.FIRST_BACKOFF_MS * 2 ** (attempt - 1),
        )
        self.assertTrue(0 <= delay <= max_delay)

    def test_backoffs_of_many_callers_are_spread_out(self) -> None:
        """Guard against retries of many callers that arrive in one burst."""
        source = random.Random(1)
        delays = [retries.backoff(4, source) for _ in range(200)]
        self.assertLess(min(delays), 8)
        self.assertGreater(max(delays), 72)
