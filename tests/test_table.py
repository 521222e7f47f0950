"""Test the whole-table check."""

import unittest

import msgspec

from jasmineramp.exceptions import TableError
from jasmineramp.ids import RowName, ServiceName, WorkspaceId
from jasmineramp.table import (
    CallRow,
    KeyRow,
    Table,
    WorkspaceRow,
    check_table,
    find_call,
)

ORDER = CallRow(RowName('order'), ServiceName('orders'), '/orders')
ARTWORK = CallRow(
    RowName('artwork'), ServiceName('artwork'), '/orders/artwork', method='PUT'
)
STUDIO = WorkspaceRow(WorkspaceId('studio'), 10, 5)


class CheckTableTest(unittest.TestCase):
    """Guard against tables that would misbehave once in force."""

    def assert_cell(self, table: Table, column: str) -> None:
        with self.assertRaises(TableError) as caught:
            check_table(table)
        self.assertEqual(caught.exception.column, column)
        self.assertTrue(caught.exception.remedy)

    def test_accepts_a_sound_table(self) -> None:
        check_table(Table((ORDER, ARTWORK), (STUDIO,)))

    def test_names_the_cell_that_is_wrong(self) -> None:
        replace = msgspec.structs.replace
        for column, bad in (
            ('importance', 6),
            ('weight', 0),
            ('timeout_ms', float('nan')),
            ('retries', -1),
            ('path', 'orders'),
            ('rate', -1),
        ):
            row = replace(ORDER, rate=1, burst=1)
            with self.subTest(column=column):
                self.assert_cell(
                    Table((replace(row, **{column: bad}),)), column
                )
        self.assert_cell(Table((), (replace(STUDIO, burst=0.5),)), 'burst')

    def test_refuses_duplicate_rows(self) -> None:
        self.assert_cell(Table((ORDER, ORDER)), 'name')
        self.assert_cell(Table((), (STUDIO, STUDIO)), 'name')

    def test_refuses_a_key_without_its_workspace(self) -> None:
        key = KeyRow('a' * 64, WorkspaceId('nobody'))
        self.assert_cell(Table((), (STUDIO,), (key,)), 'workspace')


class FindCallTest(unittest.TestCase):
    """Guard against a call that is judged by another row."""

    def test_longest_path_wins_and_a_prefix_ends_at_a_slash(self) -> None:
        table = Table((ORDER, ARTWORK))
        self.assertIs(find_call(table, 'PUT', '/orders/artwork/7'), ARTWORK)
        self.assertIs(find_call(table, 'GET', '/orders/artwork/7'), ORDER)
        self.assertIsNone(find_call(table, 'GET', '/ordersx'))
