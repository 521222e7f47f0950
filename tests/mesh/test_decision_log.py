"""Test that the log neither blocks the node nor grows without bound."""

import json
import os
import unittest

from jasmineramp.ids import NodeId
from jasmineramp.mesh.decision_log import (
    MAX_BACKLOG_BYTES,
    MAX_LINES_PER_SECOND,
    DecisionLog,
)

LINE_COUNT = 50_000


class DecisionLogTest(unittest.TestCase):
    """Test the limits per event name and a reader that reads nothing."""

    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.log = DecisionLog(NodeId('n1'), writer)

    def test_line_contains_event_and_fields(self) -> None:
        self.log.write('refused', request='id-1', code='overloaded')
        self.log.flush()
        line = json.loads(os.read(self.reader, 10_000))
        self.assertEqual(line['event'], 'refused')
        self.assertEqual(line['request'], 'id-1')

    def test_each_event_name_has_its_own_limit(self) -> None:
        for _ in range(LINE_COUNT):
            self.log.write('answered')
        self.log.write('refused')
        lines = self.log.backlog.splitlines()
        self.assertLess(len(lines), 3 * MAX_LINES_PER_SECOND)
        self.assertIn(b'refused', lines[-1])

    def test_backlog_is_bounded_without_a_reader(self) -> None:
        for each in range(LINE_COUNT):
            self.log.write(f'kind-{each}')
            self.log.flush()
        self.assertLess(len(self.log.backlog), 2 * MAX_BACKLOG_BYTES)
