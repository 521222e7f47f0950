"""Show and edit the table on the platform from the command line."""

import hashlib
import importlib
import os
import pathlib
import secrets
import time
from collections.abc import Callable, Sequence
from typing import Any, cast

import msgspec

from jasmineramp import table_edits
from jasmineramp.command_output import DONE, PENDING, Report, run_command, text
from jasmineramp.exceptions import ConflictError, JasminerampError
from jasmineramp.ids import KeyDigest, WorkspaceId
from jasmineramp.operator_client import InputError, ask, parse_nodes
from jasmineramp.store import Store
from jasmineramp.table import Table
from jasmineramp.table_cells import (
    ROW_TYPES,
    TABLE_PLACE,
    column_names,
    unknown_name_error,
)
from jasmineramp.table_files import dump_table, load_table
from jasmineramp.table_session import StoredTable, TableSession, TableStatus

PLATFORM_VARIABLE = 'JASMINERAMP_PLATFORM'
KEY_BYTES = 32
WAIT_SECONDS = 10.0
_POLL_INTERVAL_SECONDS = 0.25


class TableCommand:
    """Edit the operators' table.

    All commands accept --json. Edits accept --dry_run and --wait, the
    seconds to wait until all failure domains have accepted the edit. Exit
    status: 0 done, 1 failed, 2 bad input, 3 conflict with another edit, 4
    pending in a failure domain.
    """

    def __init__(self, platform: str = '', wait: float = WAIT_SECONDS) -> None:
        self._platform = platform or os.environ.get(PLATFORM_VARIABLE, '')
        self._wait = float(wait)
        self._session: TableSession | None = None

    @text()
    def show(self, section: str = '') -> Report:
        """Show the table, or one section: calls, workspaces or keys."""
        stored = self._open().read()
        if section and section not in ROW_TYPES:
            raise unknown_name_error(TABLE_PLACE, section, ROW_TYPES)
        sections = [section] if section else list(ROW_TYPES)
        document = msgspec.to_builtins(stored.table)
        lines = [f'revision {stored.revision}']
        for name in sections:
            lines.extend(_render(name, document[name]))
        if not section:
            lines.append(f'rate_slots {stored.table.rate_slots}')
        return Report(
            '\n'.join(lines),
            {'revision': stored.revision, 'table': document},
        )

    @text()
    def check(self, path: str) -> Report:
        """Check a table file without importing it."""
        table = load_table(pathlib.Path(path))
        counts = {
            section: len(getattr(table, section)) for section in ROW_TYPES
        }
        return Report(f'{path}: no error in {counts}', counts)

    @text('row', 'column', 'value', 'expect')
    def edit(
        self,
        row: str,
        column: str,
        value: str,
        expect: str | None = None,
        *,
        dry_run: bool = False,
    ) -> Report:
        """Set a cell, for example: edit calls/order rate 20.

        With --expect, the edit fails unless the cell has this value.
        """

        def change(table: Table) -> Table:
            if expect is not None:
                _check_expected_value(table, row, column, expect)
            return table_edits.set_cell(table, row, column, value)

        return self._change(change, dry_run=dry_run)

    @text('section')
    def add(self, section: str, *cells: str, dry_run: bool = False) -> Report:
        """Add a row, for example: add workspaces name=a rate=5 burst=9."""
        pairs = [str(cell).partition('=') for cell in cells]
        for column, sign, _ in pairs:
            if not sign:
                raise InputError(
                    f'argument {column!r} is not column=value',
                    f'use the columns of {section}: '
                    f'{", ".join(column_names(ROW_TYPES.get(section, Table)))}',
                )
        row = {column: value for column, _, value in pairs}
        return self._change(
            lambda table: table_edits.add_row(table, section, row),
            dry_run=dry_run,
        )

    @text('row')
    def delete(self, row: str, *, dry_run: bool = False) -> Report:
        """Delete a row, for example: delete calls/order."""
        return self._change(
            lambda table: table_edits.delete_row(table, row),
            dry_run=dry_run,
        )

    @text()
    def diff(self, path: str, other: str = '') -> Report:
        """Compare the platform's table, or another file, with a file."""
        if other:
            old = load_table(pathlib.Path(other))
        else:
            old = self._open().read().table
        changes = table_edits.diff_tables(old, load_table(pathlib.Path(path)))
        return Report(_render_changes(changes), changes)

    @text('path', 'base')
    def import_file(
        self,
        path: str,
        base: str = '',
        *,
        dry_run: bool = False,
    ) -> Report:
        """Replace the table by a file in CSV or JSON with comments.

        With --base, the file that this one was edited from, only the rows
        that differ between the two are changed.
        """
        imported = load_table(pathlib.Path(path))
        start = load_table(pathlib.Path(base)) if base else None

        def change(table: Table) -> Table:
            if start is None:
                return imported
            return table_edits.merge_tables(start, imported, table)

        return self._change(change, dry_run=dry_run)

    @text()
    def export_file(self, path: str) -> Report:
        """Write the platform's table to a .csv or .json file."""
        stored = self._open().read()
        dump_table(stored.table, pathlib.Path(path))
        return Report(
            f'wrote revision {stored.revision} to {path}',
            {'revision': stored.revision, 'path': path},
        )

    @text('workspace')
    def grant(self, workspace: str, *, dry_run: bool = False) -> Report:
        """Create a key for a workspace and print it; it is shown only once."""
        key = secrets.token_urlsafe(KEY_BYTES)
        digest = KeyDigest(hashlib.sha256(key.encode()).hexdigest())
        report = self._change(
            lambda table: table_edits.grant_key(
                table,
                digest,
                WorkspaceId(workspace),
            ),
            dry_run=dry_run,
        )
        if dry_run:
            return report
        return report._replace(
            text=f'key {key}\ndigest {digest}\n{report.text}',
            document={**report.document, 'key': key, 'digest': digest},
        )

    @text('digest')
    def withdraw(self, digest: str, *, dry_run: bool = False) -> Report:
        """Withdraw a key by its digest or at least 8 leading characters."""
        return self._change(
            lambda table: table_edits.withdraw_key(table, digest),
            dry_run=dry_run,
        )

    def status(self) -> Report:
        """Show which failure domains have accepted the latest revision."""
        return _report_status(self._open().status(), {})

    @text()
    def drain(self, node: str) -> Report:
        """Stop a node gracefully, given its operator address."""
        document = ask(parse_nodes(node)[0], '/drain', body={})
        return Report(f'{node} is draining', document)

    def _open(self) -> TableSession:
        if self._session is None:
            if not self._platform:
                raise InputError(
                    'no platform address given',
                    f'pass --platform host:port or set {PLATFORM_VARIABLE}',
                )
            self._session = TableSession(open_store(self._platform))
        return self._session

    def _change(
        self,
        change: Callable[[Table], Table],
        *,
        dry_run: bool,
    ) -> Report:
        session = self._open()
        base = session.read()
        changes = table_edits.diff_tables(base.table, change(base.table))
        if dry_run:
            note = f'{_render_changes(changes)}\nnothing was written'
            return Report(note, {'changes': changes, 'written': False})
        stored = session.change(change, base)
        document = {'changes': changes, 'written': True}
        try:
            status = _wait_for(session, stored, self._wait)
        except JasminerampError as error:
            # The edit is already written, so a new key must still be printed.
            note = f'revision {stored.revision} pending: {error}'
            return Report(note, {**document, 'error': str(error)}, PENDING)
        report = _report_status(status, document)
        return report._replace(
            text=f'{_render_changes(changes)}\n{report.text}',
        )


def open_store(address: str) -> Store:
    """Return the store at a platform address (host:port)."""
    # Imported by name until every branch contains the HTTP store.
    module = importlib.import_module('jasmineramp.store_http')
    return cast(Store, module.HttpStore(address))


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the console script."""
    run_command(TableCommand, 'jasmineramp-table', arguments)


def _wait_for(
    session: TableSession,
    stored: StoredTable,
    seconds: float,
) -> TableStatus:
    deadline = time.monotonic() + seconds
    status = session.status(stored.revision)
    while not status.accepted and time.monotonic() < deadline:
        session.pause(_POLL_INTERVAL_SECONDS)
        status = session.status(stored.revision)
    return status


def _report_status(status: TableStatus, document: dict[str, Any]) -> Report:
    document = {**document, 'status': status}
    if status.accepted:
        text = f'revision {status.revision} accepted by all failure domains'
        return Report(text, document, DONE)
    lines = [f'revision {status.revision} pending']
    if not status.domains:
        lines.append('no failure domain has reported yet; start the nodes')
    for domain in status.domains:
        if domain.pending:
            behind = ', '.join(domain.behind) or 'no report from its nodes'
            lines.append(
                f'{domain.domain} has revision {domain.revision}: {behind}',
            )
    return Report('\n'.join(lines), document, PENDING)


def _check_expected_value(
    table: Table,
    row: str,
    column: str,
    expect: str,
) -> None:
    expected = table_edits.set_cell(table, row, column, expect)
    changes = table_edits.diff_tables(expected, table)
    for change in changes:
        if isinstance(change, table_edits.CellChanged):
            raise ConflictError(
                f'row {change.row}, column {change.column}: the value is '
                f'{change.new!r}, expected {change.old!r}',
                'check the row with jasmineramp-table show',
            )


def _render(section: str, rows: Sequence[dict[str, Any]]) -> list[str]:
    names = column_names(ROW_TYPES[section])
    lines = [list(names)]
    for row in rows:
        lines.append(['' if row[x] is None else str(row[x]) for x in names])
    widths = [max(map(len, cells)) for cells in zip(*lines, strict=True)]
    return [section] + [
        '  '.join(
            cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
        ).rstrip()
        for cells in lines
    ]


def _render_changes(changes: Sequence[table_edits.Change]) -> str:
    lines = []
    for change in changes:
        match change:
            case table_edits.RowAdded():
                lines.append(f'+ {change.row} {change.cells}')
            case table_edits.RowDeleted():
                lines.append(f'- {change.row}')
            case table_edits.CellChanged():
                lines.append(
                    f'~ {change.row} {change.column}: '
                    f'{change.old!r} -> {change.new!r}',
                )
    return '\n'.join(lines) or 'no change'
