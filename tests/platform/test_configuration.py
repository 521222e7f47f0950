"""Test that a configuration is decoded completely or rejected."""

import copy
import json
import unittest

from jasmineramp.ids import Revision
from jasmineramp.mesh.calls import CallKind
from jasmineramp.platform.binding import PlatformBinding
from tests.fakes.mesh import CONFIGURATION, KEY

REVISION = Revision(7)


class ConfigurationTest(unittest.TestCase):
    """Test the conversion of routes, tenants and limits to table rows."""

    def setUp(self) -> None:
        self.wire = copy.deepcopy(CONFIGURATION)
        self.binding = PlatformBinding()

    def decode(self) -> object:
        """Return the table decoded from `self.wire`."""
        content = json.dumps(self.wire).encode()
        return self.binding.decode_table(content, REVISION)

    def test_routes_and_keys_are_found(self) -> None:
        table = self.decode()
        read = table.find('a.example', '/read/1')  # type: ignore
        self.assertEqual(read.timeout_ms, 2000)
        self.assertIs(read.kind, CallKind.idempotent)
        buy = table.find('a.example', '/buy/1')  # type: ignore
        self.assertIs(buy.kind, CallKind.once)
        workspace = table.find_workspace(KEY)  # type: ignore
        self.assertEqual(workspace.row.name, 'shop')

    def test_upload_is_not_idempotent(self) -> None:
        self.wire['routes']['read']['routeType'] = 'upload'  # type: ignore
        read = self.decode().find('a.example', '/read/1')  # type: ignore
        self.assertIs(read.kind, CallKind.once)

    def test_download_is_idempotent_with_large_answers(self) -> None:
        self.wire['routes']['buy']['routeType'] = 'download'  # type: ignore
        buy = self.decode().find('a.example', '/buy/1')  # type: ignore
        self.assertIs(buy.kind, CallKind.idempotent)
        self.assertTrue(buy.has_large_answers)

    def test_unknown_kind_names_the_row(self) -> None:
        self.wire['routes']['buy']['routeType'] = 'teleport'  # type: ignore
        with self.assertRaisesRegex(ValueError, "route buy: .*'teleport'"):
            self.decode()

    def test_weighted_targets(self) -> None:
        route = self.wire['routes']['read']  # type: ignore
        del route['service']
        route['weightedTargets'] = [
            {'service': 'orders', 'weight': 90},
            {'service': 'stock', 'weight': 10},
        ]
        read = self.decode().find('a.example', '/read/1')  # type: ignore
        self.assertEqual([each.weight for each in read.targets], [90, 10])

    def test_unknown_fields_are_ignored(self) -> None:
        """A configuration with additional fields is decoded."""
        self.wire['novel'] = 1
        self.wire['routes']['read']['novel'] = {}  # type: ignore
        self.decode()

    def test_invalid_content_raises_value_error(self) -> None:
        """Malformed JSON and invalid fields both raise ValueError only."""
        for content in (b'', b'\xff', b'[]', b'{"version":"1"}'):
            with self.assertRaises(ValueError):
                self.binding.decode_table(content, REVISION)
        for field, invalid in (
            ('timeout', '2m'),
            ('service', ''),
            ('maxAttempts', 'two'),
        ):
            wire = copy.deepcopy(CONFIGURATION)
            wire['routes']['read'][field] = invalid  # type: ignore
            with self.assertRaises(ValueError):
                self.binding.decode_table(json.dumps(wire).encode(), REVISION)
