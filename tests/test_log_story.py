"""Test the history of a request reconstructed from logs."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from jasmineramp.explain_command import main
from jasmineramp.log_story import build_history, read_lines, render_line

LINES = [
    {'time': 90.0, 'node': 'a', 'event': 'store_lost', 'outcome': 'unknown'},
    {'time': 98.0, 'node': 'b', 'event': 'upstream_lost', 'instance': 'i-2'},
    {
        'time': 100.2,
        'node': 'a',
        'event': 'failed',
        'request': 'r1',
        'code': 'upstream_lost',
        'run': 'unknown',
        'tried': ['b'],
    },
    {
        'time': 100.1,
        'node': 'b',
        'event': 'upstream_failed',
        'request': 'r1',
        'detail': 'connection lost',
        'took_ms': 3.25001,
    },
    {'time': 100.1, 'node': 'c', 'event': 'upstream_lost', 'instance': 'i-3'},
    {'time': 100.1, 'node': 'a', 'event': 'answered', 'request': 'r2'},
]


class RequestHistoryTest(unittest.TestCase):
    """Guard against a history that omits a node or mixes up requests."""

    def test_lines_of_a_request_are_ordered_and_have_context(self) -> None:
        """Only lines of both nodes and their recent losses are included."""
        texts = [f'12.5 node {json.dumps(item)}' for item in LINES]
        lines, unread = read_lines([*texts, 'Traceback', '{"time":1}', ''])
        self.assertEqual(unread, 2)
        history = build_history('r1', lines, unread)
        self.assertEqual(
            [(item.node, item.event) for item in history.lines],
            [
                ('b', 'upstream_lost'),
                ('b', 'upstream_failed'),
                ('a', 'failed'),
            ],
        )
        self.assertEqual(
            render_line(history.lines[1]),
            '00:01:40.100 * b  upstream_failed  '
            'detail connection lost, took_ms 3.25',
        )

    def test_unknown_request_has_an_empty_history(self) -> None:
        """An unknown request id is not an error."""
        self.assertEqual(build_history('r9', read_lines([])[0]).lines, [])

    def test_command_prints_history_and_advice(self) -> None:
        """The console script reads several files and prints advice."""
        with tempfile.TemporaryDirectory() as name:
            paths = []
            for node in ('a', 'b'):
                path = pathlib.Path(name) / f'{node}.log'
                path.write_text(
                    '\n'.join(
                        json.dumps(item)
                        for item in LINES
                        if item['node'] == node
                    ),
                    encoding='utf-8',
                )
                paths.append(str(path))
            status, printed = _run('log', 'r1', *paths)
            self.assertEqual(status, 0)
            self.assertIn('connection lost', printed)
            self.assertIn('to change upstream_lost:', printed)
            status, printed = _run('log', 'r9', *paths)
            self.assertEqual(status, 1)
            self.assertIn('no line about request r9', printed)
            status, _ = _run('log', 'r1', str(pathlib.Path(name) / 'none'))
            self.assertEqual(status, 2)


def _run(*words: str) -> tuple[object, str]:
    output = io.StringIO()
    with (
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(output),
    ):
        try:
            main(words)
        except SystemExit as end:
            return end.code, output.getvalue()
    return None, output.getvalue()
