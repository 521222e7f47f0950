"""Guard against logs that block the node or grow without bound."""

import json
import os
import unittest

from jasmineramp.ids import NodeId
from jasmineramp.mesh.decision_log import (
    LARGEST_BACKLOG_BYTES,
    LINES_A_SECOND,
    DecisionLog,
)

TOO_MANY = 50_000


class DecisionLogTest(unittest.TestCase):
    """Lines are bounded by kind, and nobody needs to read them."""

    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.log = DecisionLog(NodeId('n1'), writer)

    def test_line_holds_the_fields(self) -> None:
        self.log.write('refused', request='id-1', code='overloaded')
        self.log.flush()
        line = json.loads(os.read(self.reader, 10_000))
        self.assertEqual(line['event'], 'refused')
        self.assertEqual(line['request'], 'id-1')

    def test_each_kind_has_its_bound(self) -> None:
        for _ in range(TOO_MANY):
            self.log.write('answered')
        self.log.write('refused')
        lines = self.log.backlog.splitlines()
        self.assertLess(len(lines), 3 * LINES_A_SECOND)
        self.assertIn(b'refused', lines[-1])

    def test_nobody_reads(self) -> None:
        for each in range(TOO_MANY):
            self.log.write(f'kind-{each}')
            self.log.flush()
        self.assertLess(len(self.log.backlog), 2 * LARGEST_BACKLOG_BYTES)
