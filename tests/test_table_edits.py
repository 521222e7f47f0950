"""Test edits, differences and merges of tables."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from jasmineramp.exceptions import ConflictError, TableError
from jasmineramp.table import CallRow, KeyRow, Table, WorkspaceRow
from jasmineramp.table_edits import (
    CellChanged,
    RowAdded,
    RowDeleted,
    add_row,
    delete_row,
    diff_tables,
    grant_key,
    merge_tables,
    set_cell,
    withdraw_key,
)

DIGEST = 'ab' * 32
BASE = Table(
    (CallRow('order', 'orders', '/orders'), CallRow('proof', 'p', '/proof')),
    (WorkspaceRow('studio', 10.0, 5.0), WorkspaceRow('office', 3.0, 2.0)),
    (KeyRow(DIGEST, 'studio'),),
)
CELLS = st.tuples(
    st.sampled_from(
        [
            (row, column)
            for row in ('calls/order', 'calls/proof')
            for column in ('weight', 'timeout_ms')
        ]
        + [(row, 'rate') for row in ('workspaces/studio', 'workspaces/office')]
    ),
    st.integers(1, 3),
)


def apply_edits(cells) -> Table:
    table = BASE
    for (row, column), figure in cells:
        table = set_cell(table, row, column, str(figure))
    return table


class EditTest(unittest.TestCase):
    """Guard against an edit that changes other cells or breaks the table."""

    def test_sets_and_clears_a_cell(self) -> None:
        table = set_cell(BASE, 'workspaces/studio', 'offline_grace_ms', '50')
        self.assertEqual(
            diff_tables(BASE, table),
            [CellChanged('workspaces/studio', 'offline_grace_ms', None, 50.0)],
        )
        cleared = set_cell(table, 'workspaces/studio', 'offline_grace_ms', '')
        self.assertEqual(cleared, BASE)
        slots = set_cell(BASE, 'table', 'rate_slots', '16')
        self.assertEqual(slots.rate_slots, 16)

    def test_rejects_edits_that_make_the_table_invalid(self) -> None:
        for row, column, text in (
            ('calls/none', 'weight', '1'),
            ('calls/order', 'colour', '1'),
            ('calls/order', 'weight', 'heavy'),
            ('calls/order', 'importance', '6'),
            ('calls/order', 'name', 'other'),
            ('calls/order', 'path', ''),
            ('sheep', 'weight', '1'),
        ):
            with self.subTest(row=row, column=column, text=text):
                with self.assertRaises(TableError) as caught:
                    set_cell(BASE, row, column, text)
                self.assertTrue(caught.exception.remedy)
        with self.assertRaises(TableError):
            add_row(BASE, 'calls', {'name': 'order', 'service': 's'})
        with self.assertRaises(TableError):
            delete_row(BASE, 'workspaces/studio')

    def test_adds_and_deletes_rows_and_keys(self) -> None:
        cells = {'name': 'tiny', 'rate': '1', 'burst': '2'}
        table = add_row(BASE, 'workspaces', cells)
        table = grant_key(table, 'cd' * 32, 'tiny')
        change_types = [type(change) for change in diff_tables(BASE, table)]
        self.assertEqual(change_types, [RowAdded, RowAdded])
        table = withdraw_key(table, 'cdcdcdcd')
        table = delete_row(table, 'workspaces/tiny')
        self.assertEqual(table, BASE)
        self.assertEqual(
            diff_tables(BASE, withdraw_key(BASE, DIGEST)),
            [RowDeleted(f'keys/{DIGEST[:8]}')],
        )
        for unknown_digest in ('ab', 'ff' * 32, 'plain-key-of-the-studio'):
            with self.assertRaises(TableError) as caught:
                withdraw_key(BASE, unknown_digest)
            self.assertNotIn('plain', str(caught.exception))


class MergeTest(unittest.TestCase):
    """Guard against concurrent edits that silently revert each other."""

    @given(st.lists(CELLS, max_size=4), st.lists(CELLS, max_size=4))
    def test_merge_keeps_both_edits_or_names_the_conflicting_row(
        self, own_edits, other_edits
    ) -> None:
        ours, theirs = apply_edits(own_edits), apply_edits(other_edits)
        own_changes = {c.row: c for c in diff_tables(BASE, ours)}
        changed_by_other = {c.row for c in diff_tables(BASE, theirs)}
        differing = {change.row for change in diff_tables(ours, theirs)}
        conflicting_rows = own_changes.keys() & changed_by_other & differing
        if conflicting_rows:
            with self.assertRaises(ConflictError) as caught:
                merge_tables(BASE, ours, theirs)
            self.assertTrue(
                any(row in str(caught.exception) for row in conflicting_rows)
            )
            return
        merged = merge_tables(BASE, ours, theirs)
        for row, _ in {key for key, _ in own_edits + other_edits}:
            section, name = row.split('/')
            get_row = {'calls': Table.call, 'workspaces': Table.workspace}[
                section
            ]
            expected_table = ours if row in own_changes else theirs
            self.assertEqual(
                get_row(merged, name), get_row(expected_table, name)
            )

    def test_conflict_names_the_other_value(self) -> None:
        ours = set_cell(BASE, 'calls/order', 'weight', '2')
        theirs = set_cell(BASE, 'calls/order', 'weight', '7')
        with self.assertRaisesRegex(
            ConflictError,
            r'calls/order, column weight.*7\.0.*your value is 2\.0',
        ):
            merge_tables(BASE, ours, theirs)
        deleted = delete_row(BASE, 'calls/order')
        for pair in ((ours, deleted), (deleted, ours)):
            with self.assertRaisesRegex(ConflictError, 'calls/order'):
                merge_tables(BASE, *pair)

    def test_a_key_for_a_concurrently_deleted_workspace_is_a_conflict(
        self,
    ) -> None:
        ours = grant_key(BASE, 'cd' * 32, 'office')
        theirs = delete_row(BASE, 'workspaces/office')
        with self.assertRaisesRegex(ConflictError, 'office'):
            merge_tables(BASE, ours, theirs)

    def test_rate_slots_merge_like_a_cell(self) -> None:
        ours = set_cell(BASE, 'table', 'rate_slots', '4')
        self.assertEqual(merge_tables(BASE, ours, BASE), ours)
        self.assertEqual(merge_tables(BASE, BASE, ours), ours)
        with self.assertRaises(ConflictError):
            theirs = set_cell(BASE, 'table', 'rate_slots', '5')
            merge_tables(BASE, ours, theirs)
