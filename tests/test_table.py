"""Test the whole-table check."""

import unittest

import msgspec

from jasmineramp.exceptions import TableError
from jasmineramp.ids import RowName, ServiceName, WorkspaceId
from jasmineramp.table import (
    CallIndex,
    CallRow,
    KeyRow,
    Table,
    WorkspaceRow,
    check_table,
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


class CallIndexTest(unittest.TestCase):
    """Guard against a call that is judged by another row."""

    def test_longest_path_wins_and_a_prefix_ends_at_a_slash(self) -> None:
        index = CallIndex((ORDER, ARTWORK))
        self.assertIs(index.find('PUT', '/orders/artwork/7'), ARTWORK)
        self.assertIs(index.find('GET', '/orders/artwork/7'), ORDER)
        self.assertIs(index.find('GET', '/orders'), ORDER)
        self.assertIsNone(index.find('GET', '/ordersx'))
        self.assertIsNone(index.find('GET', '/'))

    def test_the_root_path_takes_what_no_other_row_takes(self) -> None:
        root = CallRow(RowName('root'), ServiceName('s'), '/')
        index = CallIndex((root, ORDER))
        self.assertIs(index.find('GET', '/other/x'), root)
        self.assertIs(index.find('GET', '/'), root)
        self.assertIs(index.find('GET', '/orders/7'), ORDER)
