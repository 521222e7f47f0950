"""Test jasmineramp-table against an in-memory store with faults."""

import contextlib
import io
import json
import pathlib
import random
import tempfile
import unittest
from unittest import mock

import msgspec

from jasmineramp import table_command
from jasmineramp.configuration_messages import (
    DOMAINS_KEY,
    TABLE_KEY,
    AcknowledgementRecord,
    acknowledgement_key,
)
from jasmineramp.exceptions import ConflictError, JasminerampError
from jasmineramp.store_messages import CompareAndSwap, Outcome, StoreAnswer
from jasmineramp.table import Table, WorkspaceRow
from jasmineramp.table_edits import set_cell
from jasmineramp.table_files import decode_table, encode_table, format_csv
from jasmineramp.table_session import TableSession
from tests.fakes.fleet import SmallStore

INITIAL_TABLE = Table(
    (), (WorkspaceRow('studio', 10, 5), WorkspaceRow('office', 3, 2))
)


class RacingStore(SmallStore):
    """Apply one of the given edits of another operator before each write."""

    def __init__(self, edits) -> None:
        super().__init__()
        self.put(TABLE_KEY, encode_table(INITIAL_TABLE))
        self.edits = list(edits)

    def run(self, operation) -> StoreAnswer:
        if isinstance(operation, CompareAndSwap) and self.edits:
            row, column, text = self.edits.pop(0)
            current = decode_table(self.values[TABLE_KEY][1])
            changed = set_cell(current, row, column, text)
            self.put(TABLE_KEY, encode_table(changed))
        return super().run(operation)


def make_session(store: SmallStore) -> TableSession:
    return TableSession(store, lambda seconds: None, random.Random(1))


class SessionTest(unittest.TestCase):
    """Guard against lost, repeated and reverted edits.

    They can result from concurrent writes and from lost requests or answers.
    """

    def change(self, store, row='workspaces/studio', text='20') -> Table:
        session = make_session(store)
        session.change(lambda table: set_cell(table, row, 'rate', text))
        return session.read().table

    def test_two_operators_on_different_rows_both_succeed(self) -> None:
        store = RacingStore([('workspaces/office', 'rate', '7')])
        table = self.change(store)
        rates = [row.rate for row in table.workspaces]
        self.assertEqual(rates, [20, 7])

    def test_two_operators_on_one_row_conflict(self) -> None:
        store = RacingStore([('workspaces/studio', 'rate', '7')])
        with self.assertRaisesRegex(ConflictError, 'workspaces/studio.*7'):
            self.change(store)
        self.assertEqual(
            decode_table(store.values[TABLE_KEY][1]).workspaces[0].rate, 7
        )

    def test_a_write_whose_answer_is_lost_is_not_repeated(self) -> None:
        store = RacingStore([])
        store.lost_answers = 1
        self.assertEqual(self.change(store).workspaces[0].rate, 20)
        self.assertEqual(store.writes[TABLE_KEY], 1)

    def test_a_lost_answer_and_a_later_edit_of_another_row(self) -> None:
        store = RacingStore([])
        run = store.run

        def run_and_lose_answer(operation):
            answer = run(operation)
            if isinstance(operation, CompareAndSwap):
                current = decode_table(store.values[TABLE_KEY][1])
                changed = set_cell(current, 'workspaces/office', 'rate', '9')
                store.put(TABLE_KEY, encode_table(changed))
                return StoreAnswer(Outcome.unknown)
            return answer

        with mock.patch.object(store, 'run', run_and_lose_answer):
            table = self.change(store)
        self.assertEqual([row.rate for row in table.workspaces], [20, 9])
        self.assertEqual(store.writes[TABLE_KEY], 1)

    def test_a_lost_request_is_written_again(self) -> None:
        store = RacingStore([])
        store.lost_requests = 3
        self.assertEqual(self.change(store).workspaces[0].rate, 20)

    def test_unavailable_store_gives_an_error_with_a_remedy(self) -> None:
        store = RacingStore([])
        store.down = True
        with self.assertRaisesRegex(JasminerampError, 'check the platform'):
            self.change(store)


class CommandTest(unittest.TestCase):
    """Guard against a wrong exit status or an error without its place."""

    def setUp(self) -> None:
        self.store = SmallStore()
        self.directory = pathlib.Path(
            self.enterContext(tempfile.TemporaryDirectory())
        )
        self.csv_path = self.directory / 'table.csv'
        self.csv_path.write_text(format_csv(INITIAL_TABLE), encoding='utf-8')
        self.enterContext(
            mock.patch.object(
                table_command, 'open_store', lambda address: self.store
            )
        )

    def run_command(self, line: str) -> tuple[int, str, str]:
        out, err = io.StringIO(), io.StringIO()
        arguments = [*line.split(), '--platform', 'store:1', '--wait', '0']
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
            self.assertRaises(SystemExit) as caught,
        ):
            table_command.main(arguments)
        return caught.exception.code, out.getvalue(), err.getvalue()

    def put_acknowledgement(self, domain: str, revision: int) -> None:
        record = AcknowledgementRecord(domain, revision, 9, 'n', 2, ('n7',))
        domains = json.dumps(['east', 'west']).encode()
        self.store.put(DOMAINS_KEY, domains)
        self.store.put(acknowledgement_key(domain), msgspec.json.encode(record))

    def test_status_names_pending_failure_domains(self) -> None:
        self.assertEqual(self.run_command(f'import_file {self.csv_path}')[0], 4)
        self.put_acknowledgement('east', 1)
        code, out, _ = self.run_command('status')
        self.assertEqual(code, 4)
        self.assertIn('west', out)
        self.assertNotIn('east', out)
        self.put_acknowledgement('west', 0)
        self.assertIn('n7', self.run_command('status')[1])
        self.put_acknowledgement('west', 1)
        code, out, _ = self.run_command('status --json')
        self.assertEqual(code, 0)
        self.assertTrue(json.loads(out)['status']['accepted'])

    def test_edits_and_exit_status(self) -> None:
        self.run_command(f'import_file {self.csv_path}')
        self.put_acknowledgement('east', 99)
        self.put_acknowledgement('west', 99)
        code, out, _ = self.run_command('edit workspaces/studio rate 20')
        self.assertEqual((code, 'accepted' in out), (0, True))
        code, _, err = self.run_command('edit workspaces/studio rate -1')
        self.assertEqual(code, 2)
        for part in ('workspaces/studio', 'rate', '-1', 'calls a second'):
            self.assertIn(part, err)
        self.assertEqual(err.count('\n'), 1)
        code, _, err = self.run_command(
            'edit workspaces/studio rate 5 --expect 10'
        )
        self.assertEqual((code, '20.0' in err), (3, True))
        code, out, _ = self.run_command(
            'add workspaces name=tiny rate=1 burst=2 --dry_run --json'
        )
        self.assertEqual((code, json.loads(out)['written']), (0, False))
        self.assertEqual(self.run_command('delete workspaces/tiny')[0], 2)
        code, out, _ = self.run_command(f'diff {self.csv_path}')
        self.assertIn('20.0 -> 10.0', out)
        other = self.directory / 'other.json'
        self.assertEqual(self.run_command(f'export_file {other}')[0], 0)
        self.assertEqual(self.run_command(f'check {other}')[0], 0)
        self.assertIn('studio', self.run_command('show workspaces')[1])
        self.store.down = True
        with mock.patch.object(TableSession, '_sleep_before_retry'):
            self.assertEqual(self.run_command('show')[0], 1)

    def test_import_with_a_base_keeps_edits_of_other_rows(self) -> None:
        self.run_command(f'import_file {self.csv_path}')
        self.run_command('edit workspaces/office rate 7')
        edited_path = self.directory / 'wanted.csv'
        edited_path.write_text(
            format_csv(
                set_cell(INITIAL_TABLE, 'workspaces/studio', 'rate', '20')
            ),
            encoding='utf-8',
        )
        self.run_command(f'import_file {edited_path} --base {self.csv_path}')
        table = decode_table(self.store.values[TABLE_KEY][1])
        self.assertEqual([row.rate for row in table.workspaces], [20, 7])

    def test_grant_prints_the_key_once_and_stores_only_its_digest(self) -> None:
        self.run_command(f'import_file {self.csv_path}')
        code, out, _ = self.run_command('grant studio --json')
        document = json.loads(out)
        body = self.store.values[TABLE_KEY][1].decode()
        self.assertEqual(code, 4)
        self.assertIn(document['digest'], body)
        self.assertNotIn(document['key'], body)
        self.assertNotIn(document['key'], self.run_command('show')[1])
        self.assertEqual(self.run_command('grant nobody')[0], 2)
        self.run_command(f'withdraw {document["digest"]}')
        self.assertEqual(
            decode_table(self.store.values[TABLE_KEY][1]), INITIAL_TABLE
        )

    def test_a_granted_key_is_printed_when_the_platform_fails_afterwards(
        self,
    ) -> None:
        self.run_command(f'import_file {self.csv_path}')
        with mock.patch.object(
            TableSession, 'status', side_effect=JasminerampError('a', 'b')
        ):
            code, out, _ = self.run_command('grant studio')
        self.assertEqual((code, out.startswith('key ')), (4, True))

    def test_invalid_input_exits_with_status_2(self) -> None:
        self.csv_path.write_bytes(b'kind,name\nworkspace,\xff\n')
        for line in (
            f'check {self.csv_path}',
            f'import_file {self.csv_path}',
            f'check {self.directory}/none.csv',
            'show sheep',
            'drain nowhere',
            'sheep',
        ):
            with self.subTest(line=line):
                code, out, err = self.run_command(line)
                self.assertEqual(code, 2, err)
                self.assertTrue(err)
