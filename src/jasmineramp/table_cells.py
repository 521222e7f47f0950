"""Build rows and tables from the cells of an operator's file."""

from collections.abc import Iterable, Mapping
from typing import Any, TypeVar

import msgspec

from jasmineramp.exceptions import TableError
from jasmineramp.table import (
    CallRow,
    KeyRow,
    Table,
    WorkspaceRow,
    check_table,
    redact_digest,
)

# Spreadsheets and JSON readers that use floats round larger integers.
_MAX_INTEGER = 2**53
_MAX_SHOWN_CHARS = 60
TABLE_PLACE = 'table'
RATE_SLOTS_SETTING = 'rate_slots'

_RowT = TypeVar('_RowT', CallRow, WorkspaceRow, KeyRow)
ROW_TYPES: Mapping[str, Any] = {
    'calls': CallRow,
    'workspaces': WorkspaceRow,
    'keys': KeyRow,
}


def column_names(row_type: Any) -> tuple[str, ...]:
    """Return the column names of a row type, in table order."""
    return tuple(row_type.__struct_fields__)


def build_table(document: object, *, strict: bool = True) -> Table:
    """Build and check a table from its parsed sections.

    With strict false, cells are converted from text. Raises TableError.
    """
    if not isinstance(document, dict):
        raise syntax_error('the outermost value is not an object')
    for section in document:
        if section not in ROW_TYPES and section != RATE_SLOTS_SETTING:
            raise unknown_name_error(
                TABLE_PLACE, section, (*ROW_TYPES, RATE_SLOTS_SETTING)
            )
    rows = {
        section: tuple(
            _build_rows(section, document.get(section, ()), strict=strict),
        )
        for section in ROW_TYPES
    }
    slots = convert_cell(
        TABLE_PLACE,
        RATE_SLOTS_SETTING,
        document.get(RATE_SLOTS_SETTING, 1),
        int,
        strict=strict,
    )
    table = Table(**rows, rate_slots=slots)
    check_table(table)
    return table


def build_row(
    place: str,
    row_type: type[_RowT],
    cells: Mapping[str, object],
    *,
    strict: bool = True,
) -> _RowT:
    """Build a row from its cells; raises TableError naming the place."""
    fields = {field.name: field for field in msgspec.structs.fields(row_type)}
    for name in cells:
        if name not in fields:
            raise unknown_name_error(place, name, fields)
    for name, field in fields.items():
        if field.required and name not in cells:
            raise TableError(
                place,
                name,
                None,
                'is missing',
                'fill in the cell',
            )
    return row_type(
        **{
            name: convert_cell(
                place,
                name,
                cell,
                fields[name].type,
                strict=strict,
            )
            for name, cell in cells.items()
        },
    )


def convert_cell(
    place: str,
    column: str,
    cell: object,
    column_type: Any,
    *,
    strict: bool,
) -> Any:
    """Convert a cell to the type of its column; raises TableError."""
    try:
        converted = msgspec.convert(cell, column_type, strict=strict)
    except (msgspec.ValidationError, OverflowError) as error:
        raise TableError(
            place,
            column,
            redact_cell(column, cell),
            f'has the wrong type: {error}',
            'use a dot for decimals, true or false, or plain text',
        ) from None
    if isinstance(converted, int) and abs(converted) > _MAX_INTEGER:
        raise TableError(
            place,
            column,
            redact_cell(column, cell),
            'is too large',
            f'use at most {_MAX_INTEGER}',
        )
    if isinstance(converted, str) and not converted.isprintable():
        raise TableError(
            place,
            column,
            redact_cell(column, cell),
            'contains a character that cannot be printed',
            'type the text again without control characters',
        )
    return converted


def _build_rows(
    section: str,
    rows: object,
    *,
    strict: bool,
) -> Iterable[Any]:
    if not isinstance(rows, list | tuple):
        raise TableError(
            TABLE_PLACE,
            section,
            redact_cell(section, rows),
            'is not a list of rows',
            'write [{...}, {...}]',
        )
    for index, cells in enumerate(rows):
        place = f'{section}[{index}]'
        if not isinstance(cells, dict):
            raise TableError(
                place,
                '-',
                redact_cell('digest', cells),
                'is not a row',
                'write {"column": value, ...}',
            )
        name = cells.get('name')
        if isinstance(name, str) and name:
            place = f'{section}/{name}'
        yield build_row(place, ROW_TYPES[section], cells, strict=strict)


def redact_cell(column: str, cell: object) -> object:
    """Return a cell for an error: digests redacted, long text truncated."""
    # An error must not reveal a plaintext key pasted into a digest column.
    if column in {'digest', 'keys'}:
        return redact_digest(str(cell))
    text = str(cell)
    return cell if len(text) <= 60 else f'{text[:_MAX_SHOWN_CHARS]}...'


def unknown_name_error(
    place: str,
    name: str,
    known: Iterable[str],
) -> TableError:
    """Return the error for an unknown section, column or setting."""
    return TableError(
        place,
        name,
        name,
        'is not known',
        f'use one of {", ".join(known)}',
    )


def syntax_error(reason: str) -> TableError:
    """Return the error for a file that cannot be parsed."""
    return TableError(
        TABLE_PLACE,
        '-',
        reason,
        'cannot be parsed',
        'correct the syntax; jasmineramp-table export_file writes an example',
    )
