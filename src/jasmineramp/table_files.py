"""Read and write the table as JSON with comments, CSV and platform value."""

import csv
import io
import json
import pathlib
from typing import Any

import json5
import msgspec

from jasmineramp.decoding import ForeignDecoder
from jasmineramp.exceptions import TableError
from jasmineramp.table import Table, check_table
from jasmineramp.table_cells import (
    RATE_SLOTS_SETTING,
    ROW_TYPES,
    TABLE_PLACE,
    build_row,
    build_table,
    column_names,
    convert_cell,
    redact_cell,
    syntax_error,
    unknown_name_error,
)

# The platform accepts values of up to 1 MB.
MAXIMUM_VALUE_BYTES = 1_000_000
MAX_FILE_BYTES = 8_000_000
_SECTION_BY_KIND = {'call': 'calls', 'workspace': 'workspaces', 'key': 'keys'}
_KIND = 'kind'
_VALUE = 'value'

_table_decoder = ForeignDecoder(msgspec.json.Decoder(Table))

CSV_COLUMNS = tuple(
    dict.fromkeys(
        (_KIND,)
        + tuple(
            name for kind in ROW_TYPES.values() for name in column_names(kind)
        )
        + (_VALUE,),
    ),
)


def load_table(path: pathlib.Path) -> Table:
    """Load and check a table file: CSV if the suffix is .csv, else JSON.

    Raises TableError for invalid content and OSError for an unreadable file.
    """
    with path.open('rb') as stream:
        body = stream.read(MAX_FILE_BYTES + 1)
    if len(body) > MAX_FILE_BYTES:
        raise _size_error(len(body), MAX_FILE_BYTES)
    return parse_csv(body) if path.suffix == '.csv' else parse_json(body)


def dump_table(table: Table, path: pathlib.Path) -> None:
    """Write a table file: CSV if the suffix is .csv, else JSON."""
    text = format_csv(table) if path.suffix == '.csv' else format_json(table)
    path.write_text(text, encoding='utf-8', newline='')


def parse_json(body: bytes) -> Table:
    """Parse and check a table in JSON with comments."""
    text = _decode_text(body)
    try:
        document = json.loads(text, object_pairs_hook=_reject_duplicate_columns)
    except ValueError:
        document = _parse_json5(text)
    except RecursionError:
        raise syntax_error('is nested too deeply') from None
    return build_table(document)


def format_json(table: Table) -> str:
    """Render a table as indented JSON, one row per line."""
    document = msgspec.to_builtins(decode_table(encode_table(table)))
    sections = [
        f'  "{section}": [{_format_rows(document[section])}],\n'
        for section in ROW_TYPES
    ]
    slots = f'  "{RATE_SLOTS_SETTING}": {table.rate_slots}\n'
    return f'{{\n{"".join(sections)}{slots}}}\n'


def parse_csv(body: bytes) -> Table:
    """Parse and check a table in CSV."""
    text = _decode_text(body)
    # Spreadsheets in Swiss and Slovenian locales write semicolons.
    header = text.partition('\n')[0]
    delimiter = ',' if ',' in header or ';' not in header else ';'
    reader = csv.reader(
        io.StringIO(text, newline=''),
        delimiter=delimiter,
        strict=True,
    )
    try:
        lines = [(reader.line_num, cells) for cells in reader]
    except csv.Error as error:
        raise syntax_error(f'line {reader.line_num}: {error}') from None
    if not lines:
        raise syntax_error('the sheet is empty')
    names = _check_header(lines[0][1])
    sections: dict[str, Any] = {section: [] for section in ROW_TYPES}
    for number, cells in lines[1:]:
        if any(cell.strip() for cell in cells):
            _add_csv_row(sections, f'line {number}', names, cells)
    return build_table(sections, strict=False)


def format_csv(table: Table) -> str:
    """Render a table as CSV; an empty cell means the default."""
    stream = io.StringIO(newline='')
    writer = csv.DictWriter(stream, CSV_COLUMNS, lineterminator='\r\n')
    writer.writeheader()
    document = msgspec.to_builtins(decode_table(encode_table(table)))
    for kind, section in _SECTION_BY_KIND.items():
        for row in document[section]:
            cells = {name: _format_cell(cell) for name, cell in row.items()}
            writer.writerow({_KIND: kind, **cells})
    writer.writerow(
        {
            _KIND: 'setting',
            'name': RATE_SLOTS_SETTING,
            _VALUE: table.rate_slots,
        },
    )
    return stream.getvalue()


def encode_table(table: Table) -> bytes:
    """Check a table and return its canonical encoding for the platform."""
    check_table(table)
    # A round trip converts integers in float columns to floats, so that equal
    # tables have equal bytes.
    body = msgspec.json.encode(
        msgspec.json.decode(msgspec.json.encode(table), type=Table),
    )
    if len(body) > MAXIMUM_VALUE_BYTES:
        raise _size_error(len(body), MAXIMUM_VALUE_BYTES)
    return body


def decode_table(body: bytes) -> Table:
    """Decode and check the platform value; raises TableError."""
    try:
        table = _table_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise TableError(
            TABLE_PLACE,
            '-',
            f'{len(body)} bytes',
            f'is not a table of this release: {error}',
            'import the table again with jasmineramp-table import_file',
        ) from None
    check_table(table)
    return table


def _add_csv_row(
    sections: dict[str, Any],
    place: str,
    names: list[str],
    cells: list[str],
) -> None:
    if len(cells) > len(names) and any(cells[len(names) :]):
        raise TableError(
            place,
            f'number {len(names) + 1}',
            redact_cell('digest', cells[len(names)]),
            'has no column name',
            'quote cells that hold the delimiter',
        )
    row = {
        name: cell
        for name, cell in zip(names, cells, strict=False)
        if cell.strip()
    }
    kind = row.pop(_KIND, '').strip()
    if kind == 'setting':
        _add_setting(sections, place, row)
        return
    if kind not in _SECTION_BY_KIND:
        raise TableError(
            place,
            _KIND,
            kind,
            'is not a row kind',
            'use call, workspace, key or setting',
        )
    section = _SECTION_BY_KIND[kind]
    build_row(place, ROW_TYPES[section], row, strict=False)
    sections[section].append(row)


def _add_setting(
    sections: dict[str, Any],
    place: str,
    row: dict[str, str],
) -> None:
    name = row.pop('name', '')
    if name != RATE_SLOTS_SETTING:
        raise unknown_name_error(place, name, (RATE_SLOTS_SETTING,))
    if name in sections:
        raise TableError(
            place,
            'name',
            name,
            'appears in two rows',
            'delete one of them',
        )
    sections[name] = convert_cell(
        place,
        _VALUE,
        row.pop(_VALUE, ''),
        int,
        strict=False,
    )
    if row:
        raise unknown_name_error(place, min(row), (_KIND, 'name', _VALUE))


def _check_header(cells: list[str]) -> list[str]:
    names = [cell.strip() for cell in cells]
    while names and not names[-1]:
        names.pop()
    for name in names:
        if name not in CSV_COLUMNS:
            raise unknown_name_error('line 1', name, CSV_COLUMNS)
        if names.count(name) > 1:
            raise TableError(
                'line 1',
                name,
                name,
                'appears in two columns',
                'delete one of them',
            )
    return names


def _decode_text(body: bytes) -> str:
    try:
        return body.decode('utf-8-sig')
    except UnicodeDecodeError as error:
        line = body.count(b'\n', 0, error.start) + 1
        column = error.start - body.rfind(b'\n', 0, error.start)
        raise TableError(
            f'line {line}',
            f'byte {column}',
            body[error.start : error.start + 1],
            'is not UTF-8',
            'save the file with the encoding UTF-8',
        ) from None


def _parse_json5(text: str) -> object:
    try:
        return json5.loads(text, object_pairs_hook=_reject_duplicate_columns)
    except (ValueError, RecursionError) as error:
        reason = str(error).removeprefix('<string>:')
        raise syntax_error(f'line {reason}') from None


def _reject_duplicate_columns(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    cells = dict(pairs)
    if len(cells) < len(pairs):
        names = [name for name, _ in pairs]
        duplicate = next(name for name in names if names.count(name) > 1)
        raise TableError(
            str(cells.get('name', TABLE_PLACE)),
            duplicate,
            redact_cell(duplicate, cells[duplicate]),
            'appears twice in one row',
            'delete one of them',
        )
    return cells


def _format_rows(rows: list[Any]) -> str:
    if not rows:
        return ''
    lines = ',\n'.join(
        f'    {json.dumps(row, ensure_ascii=False)}' for row in rows
    )
    return f'\n{lines}\n  '


def _format_cell(cell: object) -> str:
    if isinstance(cell, bool):
        return str(cell).lower()
    return '' if cell is None else str(cell)


def _size_error(size: int, limit: int) -> TableError:
    return TableError(
        TABLE_PLACE,
        '-',
        f'{size} bytes',
        f'is larger than {limit} bytes',
        'delete rows and keys that are no longer used',
    )
