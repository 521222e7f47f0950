"""Guard against names of the platform outside its package."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).parents[2] / 'src' / 'jasmineramp'
NAMES = re.compile(
    'x-jasmineramp-|kv-(txn|range|watch|key|lease|keep)|op/config'
    '|JASMINERAMP_BOOT|/readiness|/deregister|weightedTargets|appAddr',
    re.IGNORECASE,
)
IMPORT = re.compile(r'^(from|import) jasmineramp\.platform', re.MULTILINE)


class NamesTest(unittest.TestCase):
    """The wire is known in one place only."""

    def test_no_name_outside_the_package(self) -> None:
        for path in ROOT.rglob('*.py'):
            if path.parent.name == 'platform':
                continue
            text = path.read_text(encoding='utf-8')
            self.assertIsNone(NAMES.search(text), path)
            self.assertIsNone(IMPORT.search(text), path)
