"""Test the table check and the search for the row of a call."""

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
    """Check that invalid tables are rejected before they are in force."""

    def assert_rejects(self, table: Table, column: str) -> None:
        with self.assertRaises(TableError) as caught:
            check_table(table)
        self.assertEqual(caught.exception.column, column)
        self.assertTrue(caught.exception.remedy)

    def test_accepts_a_valid_table(self) -> None:
        check_table(Table((ORDER, ARTWORK), (STUDIO,)))

    def test_error_names_the_invalid_cell(self) -> None:
        replace = msgspec.structs.replace
        for column, invalid in (
            ('importance', 6),
            ('weight', 0),
            ('timeout_ms', float('nan')),
            ('retries', -1),
            ('path', 'orders'),
            ('rate', -1),
        ):
            row = replace(ORDER, rate=1, burst=1)
            with self.subTest(column=column):
                self.assert_rejects(
                    Table((replace(row, **{column: invalid}),)), column
                )
        self.assert_rejects(Table((), (replace(STUDIO, burst=0.5),)), 'burst')

    def test_rejects_duplicate_rows(self) -> None:
        self.assert_rejects(Table((ORDER, ORDER)), 'name')
        self.assert_rejects(Table((), (STUDIO, STUDIO)), 'name')

    def test_rejects_a_key_without_its_workspace(self) -> None:
        key = KeyRow('a' * 64, WorkspaceId('nobody'))
        self.assert_rejects(Table((), (STUDIO,), (key,)), 'workspace')


class CallIndexTest(unittest.TestCase):
    """Guard against a call that matches the wrong row."""

    def test_longest_path_wins_and_a_prefix_ends_at_a_slash(self) -> None:
        index = CallIndex((ORDER, ARTWORK))
        self.assertIs(index.find('PUT', '/orders/artwork/7'), ARTWORK)
        self.assertIs(index.find('GET', '/orders/artwork/7'), ORDER)
        self.assertIs(index.find('GET', '/orders'), ORDER)
        self.assertIsNone(index.find('GET', '/ordersx'))
        self.assertIsNone(index.find('GET', '/'))

    def test_the_root_path_matches_what_no_other_row_matches(self) -> None:
        root = CallRow(RowName('root'), ServiceName('s'), '/')
        index = CallIndex((root, ORDER))
        self.assertIs(index.find('GET', '/other/x'), root)
        self.assertIs(index.find('GET', '/'), root)
        self.assertIs(index.find('GET', '/orders/7'), ORDER)
