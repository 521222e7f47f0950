"""Test reading and writing of table files."""

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from jasmineramp.exceptions import TableError
from jasmineramp.table import CallRow, KeyRow, Table, WorkspaceRow
from jasmineramp.table_files import (
    decode_table,
    encode_table,
    format_csv,
    format_json,
    parse_csv,
    parse_json,
)

NAMES = st.text('abcč-_.;"\'/', min_size=1, max_size=6)
POSITIVE_FLOATS = st.floats(min_value=1e-6, max_value=1e12)
CALLS = st.builds(
    CallRow,
    name=NAMES,
    service=NAMES,
    path=st.text('ab,";č#/=', max_size=8).map('/{}'.format),
    method=st.sampled_from(('*', 'GET', 'PUT')),
    importance=st.integers(1, 5),
    weight=POSITIVE_FLOATS,
    timeout_ms=POSITIVE_FLOATS,
    retries=st.integers(0, 9),
    idempotent=st.booleans(),
    open=st.booleans(),
)
WORKSPACES = st.builds(
    WorkspaceRow,
    name=NAMES,
    rate=POSITIVE_FLOATS,
    burst=st.integers(1, 50),
    weight=POSITIVE_FLOATS,
    offline_grace_ms=st.none() | POSITIVE_FLOATS,
)


@st.composite
def tables(draw: st.DrawFn) -> Table:
    calls = draw(
        st.lists(CALLS, max_size=4, unique_by=lambda row: row.name).filter(
            lambda rows: (
                len({(row.method, row.path) for row in rows}) == len(rows)
            )
        )
    )
    workspaces = draw(
        st.lists(WORKSPACES, max_size=3, unique_by=lambda row: row.name)
    )
    keys = [
        KeyRow(f'{index:064x}', workspaces[index % len(workspaces)].name)
        for index in range(draw(st.integers(0, 3)) if workspaces else 0)
    ]
    return Table(
        tuple(calls),
        tuple(workspaces),
        tuple(keys),
        draw(st.integers(1, 2000)),
    )


class RoundTripTest(unittest.TestCase):
    """Guard against an export and import that change a cell."""

    @given(tables())
    def test_every_format_returns_the_same_table(self, table: Table) -> None:
        expected = decode_table(encode_table(table))
        self.assertEqual(expected, table)
        for render, parse in (
            (format_json, parse_json),
            (format_csv, parse_csv),
        ):
            text = render(table)
            self.assertEqual(parse(text.encode()), expected)
            self.assertEqual(parse(b'\xef\xbb\xbf' + text.encode()), expected)

    def test_equal_tables_have_equal_platform_values(self) -> None:
        integers = Table((), (WorkspaceRow('studio', 10, 5, 1),))
        floats = Table((), (WorkspaceRow('studio', 10.0, 5.0, 1.0),))
        self.assertEqual(encode_table(integers), encode_table(floats))

    def test_reads_comments_semicolons_and_defaults(self) -> None:
        table = parse_json(
            b'{// rates of the fleet\n workspaces: ['
            b'{name: "studio", rate: 3, burst: 2,},], }'
        )
        sheet = b'kind;name;rate;burst\nworkspace;studio;3;2\n;;;\n'
        self.assertEqual(parse_csv(sheet), table)
        self.assertEqual(table.workspaces[0].weight, 1)


class InvalidFileTest(unittest.TestCase):
    """Guard against invalid files that are accepted or hard to correct.

    An error must name the row, column and value, and a remedy.
    """

    def assert_parse_error(
        self, parse, body: bytes, *expected_parts: str
    ) -> None:
        with self.assertRaises(TableError) as caught:
            parse(body)
        for expected_part in (*expected_parts, caught.exception.remedy):
            self.assertIn(expected_part, str(caught.exception))
        self.assertTrue(caught.exception.remedy)

    def test_names_row_column_and_value_in_json(self) -> None:
        row = '{"name": "a", "service": "s", "path": "/a", %s}'
        for cell, expected_parts in (
            ('"rate": -1, "burst": 2', ('calls/a', 'rate', '-1')),
            ('"colour": 3', ('calls/a', 'colour', 'is not known')),
            ('"weight": "much"', ('calls/a', 'weight', "'much'")),
            ('"retries": 1, "retries": 2', ('a', 'retries', 'twice')),
            ('"timeout_ms": NaN', ('calls/a', 'timeout_ms', 'nan')),
            ('"retries": 1000000000000000000000000', ('retries', 'large')),
            (r'"method": "\ud800"', ('calls/a', 'method', 'printed')),
        ):
            body = f'{{"calls": [{row % cell}]}}'.encode()
            with self.subTest(cell=cell):
                self.assert_parse_error(parse_json, body, *expected_parts)
        for body, expected_part in (
            (b'{"calls": 3}', 'not a list'),
            (b'{"calls": [3]}', 'calls[0]'),
            (b'{"calls": [{"name": "a"}]}', 'service'),
            (b'[]', 'not an object'),
            (b'{"calls": [', 'line 1'),
            (b'{"rows": []}', 'rows'),
            (b'[' * 100_000, 'nested'),
            (b'{"calls": "\xff"}', 'is not UTF-8'),
            ('{"calls": []}'.encode('utf-16'), 'is not UTF-8'),
        ):
            with self.subTest(body=body[:30]):
                self.assert_parse_error(parse_json, body, expected_part)

    def test_names_row_column_and_value_in_csv(self) -> None:
        for body, *expected_parts in (
            ('kind,name,colour\n', 'line 1', 'colour'),
            ('kind,name,name\n', 'line 1', 'two columns'),
            ('kind,name\nsheep,a\n', 'line 2', 'kind', "'sheep'"),
            ('kind,name,rate,burst\n\nworkspace,a,1,x\n', 'line 3', "'x'"),
            ('kind;name;rate;burst\nworkspace;a;1,5;2\n', "'1,5'", 'dot'),
            ('kind,name,rate,burst\nworkspace,a,1,0\n', 'burst', 'is below 1'),
            ('kind,name,rate,burst,path\nworkspace,a,1,2,/\n', 'path'),
            ('kind,name\nworkspace,a,1\n', 'number 3'),
            ('kind,name,value\nsetting,colour,1\n', 'colour'),
            ('kind,name,value\nsetting,rate_slots,0\n', 'rate_slots'),
            ('kind,name\n"call,a\n', 'line 2'),
            ('', 'empty'),
        ):
            with self.subTest(body=body):
                self.assert_parse_error(
                    parse_csv, body.encode(), *expected_parts
                )
        self.assert_parse_error(
            parse_csv, b'kind,name\ncall,\xe8\n', 'line 2', 'byte 6', 'UTF-8'
        )

    def test_error_does_not_reveal_a_key_in_the_digest_column(self) -> None:
        secret = 'plain-key-of-the-studio'
        body = f'{{"keys": [{{"digest": "{secret}", "workspace": "a"}}]}}'
        sheet = f'kind,digest,workspace\nkey,{secret},a\n'
        for parse, text in ((parse_json, body), (parse_csv, sheet)):
            with self.assertRaises(TableError) as caught:
                parse(text.encode())
            self.assertNotIn(secret[:8], str(caught.exception))

    def test_rejects_a_corrupt_or_oversized_platform_value(
        self,
    ) -> None:
        body = encode_table(Table((), (WorkspaceRow('studio', 10, 5),)))
        self.assert_parse_error(decode_table, body[:-1], 'bytes')
        self.assert_parse_error(
            decode_table, body.replace(b'10', b'-1'), 'rate'
        )
        self.assert_parse_error(
            decode_table, body.replace(b'10', b'"\xff"'), '-'
        )
        row = CallRow('row', 'service', '/')
        rows = [
            msgspec.structs.replace(row, name=f'r{index}', path=f'/{index}')
            for index in range(7000)
        ]
        with self.assertRaises(TableError) as caught:
            encode_table(Table(tuple(rows)))
        self.assertIn('larger', str(caught.exception))
