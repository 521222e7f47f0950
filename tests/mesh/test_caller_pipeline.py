"""Test the order of the requests that a caller pipelines on a connection."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from jasmineramp.mesh.caller_pipeline import (
    MAX_HELD_BYTES,
    MAX_PIPELINED_REQUESTS,
    MAX_STARTED_REQUESTS,
    PendingRequest,
    Pipeline,
)


class Connection:
    """Drive a pipeline; requests whose names begin with "r" are idempotent."""

    def __init__(self, names: str = '') -> None:
        self.pipeline: Pipeline[str, str] = Pipeline(
            lambda name: name.startswith('r'), len
        )
        self.running: dict[str, PendingRequest[str, str]] = {}
        self.started: list[str] = []
        self.written: list[str] = []
        for name in names.split():
            self.add(name)

    def add(self, name: str, *, closes: bool = False) -> None:
        if self.pipeline.add(name, closes=closes):
            self.start()

    def start(self) -> None:
        for each in self.pipeline.take_startable():
            assert each.request is not None
            self.running[each.request] = each
            self.started.append(each.request)

    def finish(
        self, name: str, *, closes: bool = False, response: str = ''
    ) -> None:
        pending = self.running.pop(name)
        self.pipeline.finish(pending, response or name, closes=closes)
        self.written += [each for _, each in self.pipeline.take_writable()]
        self.start()


class PipelineTest(unittest.TestCase):
    """Test what starts and what is written next."""

    # Guards against a slow request that uses up the deadlines of others.
    def test_idempotent_requests_run_at_once_and_are_answered_in_order(
        self,
    ) -> None:
        connection = Connection('r1 r2 r3')
        self.assertEqual(connection.started, ['r1', 'r2', 'r3'])
        connection.finish('r3')
        connection.finish('r2')
        self.assertEqual(connection.written, [])
        connection.finish('r1')
        self.assertEqual(connection.written, ['r1', 'r2', 'r3'])

    # Guards against requests passed on behind an answer that closes, which
    # the caller sends again elsewhere, and against lost answers to the others.
    def test_last_started_request_closes(self) -> None:
        connection = Connection('r1 r2 w3 r4')
        connection.pipeline.reject('400')
        connection.finish('r1', closes=True)
        self.assertFalse(connection.pipeline.is_finished())
        connection.add('r5')
        connection.finish('r2')
        self.assertTrue(connection.pipeline.is_finished())
        self.assertEqual(connection.started, ['r1', 'r2'])
        self.assertEqual(connection.written, ['r1', 'r2'])
        counts = connection.pipeline.counts
        self.assertEqual(counts, {'beside': 1, 'not_read': 3})

    # Guards against a broken request that cuts off the answers before it.
    def test_rejection_follows_the_answers_before_it(self) -> None:
        connection = Connection('r1 w2')
        connection.pipeline.reject('400')
        connection.finish('r1')
        connection.finish('w2')
        self.assertEqual(connection.written, ['r1', 'w2', '400'])
        self.assertTrue(connection.pipeline.is_finished())

    # Guards against one connection that takes any number of slots or bytes.
    def test_started_requests_and_held_answers_are_bounded(self) -> None:
        names = [f'r{each}' for each in range(99)]
        connection = Connection(' '.join(names))
        self.assertEqual(connection.started, names[:MAX_STARTED_REQUESTS])
        for each in names[: MAX_STARTED_REQUESTS + MAX_PIPELINED_REQUESTS]:
            connection.finish(each)
        self.assertEqual(connection.started, connection.written)
        self.assertTrue(connection.pipeline.is_finished())
        connection = Connection('r1 r2')
        connection.finish('r2', response='x' * MAX_HELD_BYTES)
        connection.add('r3')
        self.assertEqual(connection.started, ['r1', 'r2'])
        connection.finish('r1')
        self.assertEqual(connection.started, ['r1', 'r2', 'r3'])

    # Guards against a request that runs at most once beside others.
    @given(
        st.lists(st.tuples(st.sampled_from('rw'), st.booleans())),
        st.randoms(use_true_random=False),
    )
    def test_other_requests_run_alone(
        self, kinds: list[tuple[str, bool]], rng: object
    ) -> None:
        connection = Connection()
        names = [f'{kind}{each}' for each, (kind, _) in enumerate(kinds)]
        for name, (_, is_late) in zip(names, kinds, strict=True):
            if is_late and connection.running:
                connection.finish(
                    rng.choice(list(connection.running))  # type: ignore[attr-defined]
                )
            connection.add(name)
            unwritten = set(connection.started) - set(connection.written)
            if any(each.startswith('w') for each in unwritten):
                self.assertEqual(len(unwritten), 1)
        while connection.running:
            connection.finish(next(reversed(connection.running)))
        self.assertEqual(connection.written, connection.started)
        self.assertEqual(connection.written, names[: len(connection.written)])
