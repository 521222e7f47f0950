"""Edit, compare and merge tables in memory."""

from collections.abc import Mapping
from typing import Any

import msgspec

from jasmineramp.exceptions import ConflictError, TableError
from jasmineramp.ids import KeyDigest, WorkspaceId
from jasmineramp.table import KeyRow, Table, check_table, redact_digest
from jasmineramp.table_cells import (
    RATE_SLOTS_SETTING,
    ROW_TYPES,
    TABLE_PLACE,
    build_row,
    convert_cell,
    redact_cell,
    unknown_name_error,
)

_KEYS = 'keys'
_MIN_PREFIX_CHARS = 8


class RowAdded(msgspec.Struct, frozen=True, tag=True):
    """Report a row that exists only in the new table."""

    row: str
    cells: dict[str, Any]


class RowDeleted(msgspec.Struct, frozen=True, tag=True):
    """Report a row that exists only in the old table."""

    row: str


class CellChanged(msgspec.Struct, frozen=True, tag=True):
    """Report a cell whose value differs."""

    row: str
    column: str
    old: Any
    new: Any


Change = RowAdded | RowDeleted | CellChanged


def set_cell(table: Table, row: str, column: str, text: str) -> Table:
    """Return the table with a cell parsed from text; empty text clears it."""
    if row == TABLE_PLACE and column == RATE_SLOTS_SETTING:
        slots = convert_cell(
            TABLE_PLACE, RATE_SLOTS_SETTING, text, int, strict=False
        )
        return _replace_sections(table, {RATE_SLOTS_SETTING: slots})
    section, _ = split_row(row)
    old = find_row(table, row)
    if column in {'name', 'digest'}:
        raise TableError(
            row,
            column,
            redact_cell(column, text),
            'identifies the row and cannot be set',
            'add a row with the new name and delete this one',
        )
    cells = msgspec.to_builtins(old)
    if column not in cells:
        raise unknown_name_error(row, column, cells)
    cells[column] = text
    if not text.strip():
        cells.pop(column)
    new = build_row(row, ROW_TYPES[section], cells, strict=False)
    rows = _rows_by_name(table, section)
    return _replace_sections(
        table, {section: _row_tuple({**rows, _row_name(old): new})}
    )


def add_row(table: Table, section: str, cells: Mapping[str, str]) -> Table:
    """Return the table with a row appended to a section."""
    row_type = ROW_TYPES.get(section)
    if row_type is None:
        raise unknown_name_error(TABLE_PLACE, section, ROW_TYPES)
    place = f'{section}/{cells.get("name", "")}'
    row = build_row(place, row_type, cells, strict=False)
    return _replace_sections(table, {section: (*getattr(table, section), row)})


def delete_row(table: Table, row: str) -> Table:
    """Return the table without a row; a workspace must have no keys."""
    section, name = split_row(row)
    find_row(table, row)
    workspace_keys = [key for key in table.keys if key.workspace == name]
    if section == 'workspaces' and workspace_keys:
        raise TableError(
            row,
            'name',
            name,
            f'has {len(workspace_keys)} keys',
            'withdraw its keys first',
        )
    rows = _rows_by_name(table, section)
    rows.pop(_row_name(find_row(table, row)))
    return _replace_sections(table, {section: _row_tuple(rows)})


def grant_key(
    table: Table,
    digest: KeyDigest,
    workspace: WorkspaceId,
) -> Table:
    """Return the table with a key digest added for a workspace."""
    row = KeyRow(digest, workspace)
    return _replace_sections(table, {_KEYS: (*table.keys, row)})


def withdraw_key(table: Table, digest: str) -> Table:
    """Return the table without the key of a digest or digest prefix."""
    return delete_row(table, f'{_KEYS}/{digest}')


def split_row(row: str) -> tuple[str, str]:
    """Split a row reference such as calls/order into section and name."""
    section, slash, name = row.partition('/')
    if section not in ROW_TYPES or not slash:
        raise TableError(
            redact_digest(row) if len(row) > 60 else row,
            '-',
            section,
            'is not a row',
            'write calls/NAME, workspaces/NAME or keys/DIGEST',
        )
    return section, name


def find_row(table: Table, row: str) -> Any:
    """Return a row; a key may be named by a prefix of its digest."""
    section, name = split_row(row)
    rows = _rows_by_name(table, section)
    exact = rows.get(name)
    if exact is not None:
        return exact
    matches: list[Any] = []
    if section == _KEYS and len(name) >= _MIN_PREFIX_CHARS:
        matches = [
            key for digest, key in rows.items() if digest.startswith(name)
        ]
    if len(matches) == 1:
        return matches[0]
    shown = redact_cell('digest' if section == _KEYS else 'name', name)
    raise TableError(
        f'{section}/{shown}',
        'digest' if section == _KEYS else 'name',
        shown,
        'matches several keys' if matches else 'is not in the table',
        'jasmineramp-table show lists the rows',
    )


def diff_tables(old: Table, new: Table) -> list[Change]:
    """Return the changes from one table to another, in row order."""
    changes: list[Change] = []
    if old.rate_slots != new.rate_slots:
        changes.append(
            CellChanged(
                TABLE_PLACE, RATE_SLOTS_SETTING, old.rate_slots, new.rate_slots
            ),
        )
    for section in ROW_TYPES:
        before, after = _rows_by_name(old, section), _rows_by_name(new, section)
        for name in before.keys() | after.keys():
            place = format_row_place(section, name)
            changes += _diff_rows(place, before.get(name), after.get(name))
    return sorted(changes, key=lambda change: change.row)


def merge_tables(base: Table, ours: Table, theirs: Table) -> Table:
    """Apply the changes from base to ours to theirs, row by row.

    Raises ConflictError for a row that both changed differently.
    """
    merged: dict[str, Any] = {}
    for section in ROW_TYPES:
        before, after = (
            _rows_by_name(base, section),
            _rows_by_name(ours, section),
        )
        rows = _rows_by_name(theirs, section)
        names = dict.fromkeys((*after, *before))
        for name in names:
            old, new, other = before.get(name), after.get(name), rows.get(name)
            if new in (old, other):
                continue
            if other != old:
                raise _row_conflict(
                    format_row_place(section, name), old, new, other
                )
            if new is None:
                rows.pop(name)
            else:
                rows[name] = new
        merged[section] = _row_tuple(rows)
    slots = theirs.rate_slots
    if ours.rate_slots != base.rate_slots:
        if slots not in {base.rate_slots, ours.rate_slots}:
            raise _conflict(
                TABLE_PLACE, RATE_SLOTS_SETTING, slots, ours.rate_slots
            )
        slots = ours.rate_slots
    table = Table(**merged, rate_slots=slots)
    try:
        check_table(table)
    except TableError as error:
        raise ConflictError(
            f'another operator changed the table concurrently: {error.message}',
            error.remedy,
        ) from None
    return table


def format_row_place(section: str, name: str) -> str:
    """Return the reference of a row in errors and changes."""
    shown = redact_digest(KeyDigest(name)) if section == _KEYS else name
    return f'{section}/{shown}'


def _row_name(row: Any) -> str:
    return str(row.digest if isinstance(row, KeyRow) else row.name)


def _rows_by_name(table: Table, section: str) -> dict[str, Any]:
    return {_row_name(row): row for row in getattr(table, section)}


def _row_tuple(rows: Mapping[str, Any]) -> tuple[Any, ...]:
    return tuple(rows.values())


def _replace_sections(table: Table, parts: Mapping[str, Any]) -> Table:
    changed = msgspec.structs.replace(table, **parts)
    check_table(changed)
    return changed


def _diff_rows(place: str, old: Any, new: Any) -> list[Change]:
    if new is None:
        return [RowDeleted(place)]
    cells = msgspec.to_builtins(new)
    if old is None:
        return [RowAdded(place, cells)]
    return [
        CellChanged(place, column, before, cells[column])
        for column, before in msgspec.to_builtins(old).items()
        if before != cells[column]
    ]


def _row_conflict(place: str, old: Any, new: Any, other: Any) -> ConflictError:
    if other is None:
        return _conflict(place, 'name', 'deleted', 'changed')
    if new is None:
        return _conflict(place, 'name', 'changed', 'deleted')
    before = msgspec.to_builtins(old) if old else {}
    others, own = msgspec.to_builtins(other), msgspec.to_builtins(new)
    column = next(
        name
        for name, cell in others.items()
        if cell != before.get(name, own[name])
    )
    return _conflict(place, column, others[column], own[column])


def _conflict(
    place: str,
    column: str,
    other: object,
    own: object,
) -> ConflictError:
    return ConflictError(
        f'row {place}, column {column}: another operator set {other!r} '
        f'concurrently, your value is {own!r}',
        'check the row with jasmineramp-table show and repeat the edit',
    )
