"""Test that platform names are used only in the platform package."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).parents[2] / 'src' / 'jasmineramp'
NAMES = re.compile(
    'x-jasmineramp-|kv-(txn|range|watch|key|lease|keep)|op/config'
    '|op/evacuate|coldPerS|store-era|JASMINERAMP_BOOT|/readiness|/deregister|weightedTargets|appAddr',
    re.IGNORECASE,
)
IMPORT = re.compile(r'^(from|import) jasmineramp\.platform', re.MULTILINE)


class NamesTest(unittest.TestCase):
    """Test that only one package depends on the platform."""

    def test_no_platform_name_or_import_elsewhere(self) -> None:
        for path in ROOT.rglob('*.py'):
            if path.parent.name == 'platform':
                continue
            text = path.read_text(encoding='utf-8')
            self.assertIsNone(NAMES.search(text), path)
            self.assertIsNone(IMPORT.search(text), path)
