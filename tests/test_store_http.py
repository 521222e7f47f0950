"""Test the HTTP store over sockets against the stand-in platform."""

import socket
import threading
import unittest

import msgspec
import urllib3
from bench.platform_server import create_server, stop_server

from jasmineramp.store_http import HttpStore
from jasmineramp.store_messages import (
    CompareAndSwap,
    Delete,
    Get,
    GrantLease,
    KeepAlive,
    Outcome,
    RevokeLease,
    Role,
    Watch,
)

LONG_MS = 60_000.0


class PlatformTestCase(unittest.TestCase):
    """Run the stand-in platform in this process on a free port."""

    def setUp(self) -> None:
        self.platform, server = create_server(0, threads=4)
        thread = threading.Thread(target=server.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(stop_server, server)
        self.address = f'127.0.0.1:{server.effective_port}'
        self.store = HttpStore(self.address)
        self.addCleanup(self.store.close)


class OperationTest(PlatformTestCase):
    """Guard against an operation that is encoded incompletely."""

    def test_compare_and_swap_and_delete_check_the_revision(self) -> None:
        run = self.store.run
        first = run(CompareAndSwap('table', 0, b'\x00\xff'))
        self.assertEqual(first.outcome, Outcome.done)
        self.assertEqual(
            run(CompareAndSwap('table', 0, b'')).outcome, Outcome.conflict
        )
        answer = run(Get('table'))
        self.assertEqual(answer.body, b'\x00\xff')
        self.assertEqual(answer.revision, first.revision)
        self.assertEqual(
            run(Delete('table', first.revision + 1)).outcome, Outcome.conflict
        )
        self.assertEqual(
            run(Delete('table', first.revision)).outcome, Outcome.done
        )
        self.assertIsNone(run(Get('table')).body)

    def test_revoked_lease_deletes_its_keys(self) -> None:
        run = self.store.run
        run(GrantLease('lease', LONG_MS))
        run(CompareAndSwap('slots/a/0', 0, b'x', lease='lease'))
        self.assertEqual(run(KeepAlive('lease')).outcome, Outcome.done)
        self.assertEqual(run(RevokeLease('lease')).outcome, Outcome.done)
        self.assertEqual(run(Get('slots/a/0')).revision, 0)
        self.assertEqual(run(KeepAlive('lease')).outcome, Outcome.conflict)

    def test_watch_returns_a_change_or_the_old_revision(self) -> None:
        old = self.store.run(CompareAndSwap('table', 0, b'1')).revision
        self.assertEqual(
            self.store.run(Watch('table', old, wait_ms=1)).revision, old
        )
        answers = []
        watch = threading.Thread(
            target=lambda: answers.append(
                self.store.run(Watch('table', old, wait_ms=LONG_MS))
            )
        )
        watch.start()
        self.store.run(CompareAndSwap('table', old, b'2'))
        watch.join()
        self.assertEqual(answers[0].body, b'2')

    def test_value_over_the_size_limit_is_not_done(self) -> None:
        for size, outcome in (
            (1_000_000, Outcome.done),
            (1_000_001, Outcome.not_done),
        ):
            answer = self.store.run(CompareAndSwap(f'k{size}', 0, bytes(size)))
            self.assertEqual(answer.outcome, outcome)

    def test_stand_in_accepts_json_and_counts_by_role(self) -> None:
        self.store.run(Get('table'), Role.operator)
        pool = urllib3.PoolManager()
        self.addCleanup(pool.clear)
        body = msgspec.json.encode(CompareAndSwap('claims/x', 0, b'y'))
        answer = pool.request(
            'POST',
            f'http://{self.address}/run',
            body=body,
            headers={'Content-Type': 'application/json'},
        )
        self.assertEqual(answer.json()['outcome'], 'done')
        stats = pool.request('GET', f'http://{self.address}/stats').json()
        self.assertEqual(stats, {'operator': {'get': 1}, 'claims': {'cas': 1}})
        pool.request(
            'POST', f'http://{self.address}/faults', json={'down': True}
        )
        self.assertEqual(
            self.store.run(CompareAndSwap('k', 0, b'')).outcome,
            Outcome.not_done,
        )


class OutcomeTest(PlatformTestCase):
    """Guard against a write reported as not done though its answer was lost."""

    def test_a_lost_answer_leaves_a_write_unknown(self) -> None:
        self.platform.faults.lose_answers = 1
        write = CompareAndSwap('k', 0, b'v')
        self.assertEqual(self.store.run(write).outcome, Outcome.unknown)
        self.assertEqual(self.store.run(Get('k')).body, b'v')

    def test_a_broken_connection_leaves_a_read_not_done(self) -> None:
        self.platform.faults.silent = True
        self.assertEqual(self.store.run(Get('k')).outcome, Outcome.not_done)
        self.assertEqual(
            self.store.run(Watch('k', 0)).outcome, Outcome.not_done
        )
        self.assertEqual(
            self.store.run(Delete('k', 1)).outcome, Outcome.unknown
        )

    def test_a_refused_connection_is_not_done(self) -> None:
        with socket.socket() as unused:
            unused.bind(('127.0.0.1', 0))
            store = HttpStore(f'127.0.0.1:{unused.getsockname()[1]}')
            self.assertEqual(
                store.run(CompareAndSwap('k', 0, b'')).outcome,
                Outcome.not_done,
            )

    def test_read_timeout_leaves_a_write_unknown(self) -> None:
        with socket.create_server(('127.0.0.1', 0)) as silent:
            address = f'127.0.0.1:{silent.getsockname()[1]}'
            store = HttpStore(address, read_timeout=0.01)
            self.addCleanup(store.close)
            self.assertEqual(
                store.run(CompareAndSwap('k', 0, b'')).outcome,
                Outcome.unknown,
            )
            self.assertEqual(store.run(Get('k')).outcome, Outcome.not_done)

    def test_a_closed_store_sends_nothing(self) -> None:
        self.store.close()
        self.assertEqual(
            self.store.run(CompareAndSwap('k', 0, b'')).outcome,
            Outcome.not_done,
        )
