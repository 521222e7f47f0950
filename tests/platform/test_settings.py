"""Test that a node does not start with invalid settings."""

import unittest

from jasmineramp.exceptions import SettingsError
from jasmineramp.platform.settings import decode_settings

LINES = """
self.node=sidecar-a-1
self.zone=a
self.service=orders
self.appAddr=10.1.0.26:8547
network.listen.inbound=10.1.0.26:8543
network.listen.outbound=10.1.0.26:8548
network.listen.ready=10.1.0.26:8546
network.listen.control=10.1.0.26:8540
network.internalPortRange=7000,7015
platform.heartbeat=1500ms
platform.platform.address=10.200.1.7:8545
terms.bounds.revoke=5s
terms.bounds.retryBudgetRatio=0.2
self.limits.memoryMb=300
self.limits.maxFds=4100
platform.platform.valueBytes=524288
unknown.field=1
"""


class SettingsTest(unittest.TestCase):
    """Test decoding, and that errors name the field."""

    def test_decoded_fields(self) -> None:
        settings = decode_settings(LINES)
        self.assertEqual(settings.outbound, ('10.1.0.26', 8548))
        self.assertEqual(settings.bounds.revoke_ms, 5000)
        self.assertEqual(settings.bounds.drain_ms, 2000)
        self.assertEqual(settings.memory_bytes, 300 * 1024 * 1024)
        self.assertEqual(settings.store_value_bytes, 524_288)
        self.assertEqual(settings.max_descriptors, 4_100)
        without = decode_settings(LINES.replace('self.limits.maxFds=4100', ''))
        self.assertEqual(without.max_descriptors, 0)

    def test_missing_fields_are_named(self) -> None:
        for line, place in (
            ('self.node=sidecar-a-1', 'self.node'),
            ('network.listen.ready=10.1.0.26:8546', 'network.listen.ready'),
        ):
            with self.assertRaises(SettingsError) as context:
                decode_settings(LINES.replace(line, ''))
            self.assertEqual(context.exception.place, place)

    def test_unknown_unit_is_rejected(self) -> None:
        with self.assertRaises(SettingsError):
            decode_settings(LINES.replace('revoke=5s', 'revoke=5m'))

    def test_sizes_must_be_positive(self) -> None:
        for value in ('0', '-5', 'much'):
            with self.assertRaises(SettingsError) as context:
                decode_settings(
                    LINES.replace('memoryMb=300', f'memoryMb={value}')
                )
            self.assertEqual(context.exception.place, 'self.limits.memoryMb')
