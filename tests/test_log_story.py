"""Test the story of a request as told from logs."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from jasmineramp.explain_command import main
from jasmineramp.log_story import read_lines, render_line, tell

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


class LogStoryTest(unittest.TestCase):
    """Guard against stories that miss a node or mix up requests."""

    def test_tells_the_request_in_order_with_its_context(self) -> None:
        """Lines of both nodes and what they lost before, nothing else."""
        texts = [f'12.5 node {json.dumps(each)}' for each in LINES]
        lines, unread = read_lines([*texts, 'Traceback', '{"time":1}', ''])
        self.assertEqual(unread, 2)
        story = tell('r1', lines, unread)
        self.assertEqual(
            [(each.node, each.event) for each in story.lines],
            [
                ('b', 'upstream_lost'),
                ('b', 'upstream_failed'),
                ('a', 'failed'),
            ],
        )
        self.assertEqual(
            render_line(story.lines[1]),
            '00:01:40.100 * b  upstream_failed  '
            'detail connection lost, took_ms 3.25',
        )

    def test_a_request_without_lines_has_an_empty_story(self) -> None:
        """An unknown id is no error of the reader."""
        self.assertEqual(tell('r9', read_lines([])[0]).lines, [])

    def test_command_prints_story_and_advice(self) -> None:
        """The console script reads several files and names the remedy."""
        with tempfile.TemporaryDirectory() as name:
            paths = []
            for node in ('a', 'b'):
                path = pathlib.Path(name) / f'{node}.log'
                path.write_text(
                    '\n'.join(
                        json.dumps(each)
                        for each in LINES
                        if each['node'] == node
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
