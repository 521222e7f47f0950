"""Test the log lines of a node."""

import contextlib
import io
import json
import logging
import threading
import unittest

import structlog

from jasmineramp.ids import NodeId
from jasmineramp.logs import configure_logs, get_logger


class LogTest(unittest.TestCase):
    """Guard against log lines that do not name their node."""

    def tearDown(self) -> None:
        structlog.reset_defaults()
        logging.basicConfig(force=True, level=logging.WARNING)

    def test_lines_of_every_thread_name_the_node(self) -> None:
        """A line without its node cannot be attributed in a fleet's logs."""
        lines = io.StringIO()
        with contextlib.redirect_stderr(lines):
            configure_logs(NodeId('n7'), 'info')
            thread = threading.Thread(
                target=lambda: get_logger('test').info('something')
            )
            thread.start()
            thread.join()
        document = json.loads(lines.getvalue())
        self.assertEqual(document['event'], 'something')
        self.assertEqual(document['node'], 'n7')
