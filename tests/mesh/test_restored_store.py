"""Test nodes whose store comes back from an older copy of itself."""

import asyncio
import copy
import json
import unittest

from bench.metadata_store import Backup

from jasmineramp.mesh.directory import ABSENCE_GRACE_MS, entry_key
from jasmineramp.mesh.node import Node
from tests.fakes.mesh import CONFIGURATION, Fleet

READS = 3
LAST_VERSION = 20


def make_configuration(version: int, *routes: str) -> dict[str, object]:
    """Return a version of the configuration with additional routes."""
    configuration = copy.deepcopy(CONFIGURATION)
    configuration['version'] = f'{version:08x}'
    table: dict[str, object] = configuration['routes']  # type: ignore
    for name in routes:
        table[name] = {**table['read'], 'prefix': f'/{name}/'}  # type: ignore
    return configuration


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    """Test two nodes of one domain; one reads the store, the other asks it."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        self.store = self.fleet.store
        await self.fleet.start(2, make_configuration(1))

    async def asyncTearDown(self) -> None:
        await self.fleet.close()

    def versions(self) -> list[str]:
        """Return the version that each node has in force."""
        return [
            node.admission.table.version if node.admission.table else ''
            for node in self.fleet.nodes
        ]

    async def configure(self, version: int, *routes: str) -> None:
        """Write a version and wait until it is in force everywhere."""
        self.fleet.configure(make_configuration(version, *routes))
        expected = [f'{version:08x}'] * len(self.fleet.nodes)
        await self.fleet.until(lambda: self.versions() == expected)

    async def write_versions(self) -> None:
        """Write several versions, so that a copy is far behind."""
        for version in range(2, LAST_VERSION):
            self.fleet.configure(make_configuration(version, 'first'))
        await self.configure(LAST_VERSION, 'first')

    async def read_table(self) -> None:
        """Wait until the nodes have read the table several times."""
        before = self.count_reads()
        await self.fleet.until(lambda: self.count_reads() >= before + READS)

    def count_reads(self) -> int:
        """Return how often the nodes have read the table."""
        return sum(
            node.store.counts['get', 'done'] for node in self.fleet.nodes
        )

    def read_entry(self, node: Node) -> dict[str, object]:
        """Return the entry of a node in the store, empty if there is none."""
        item = self.store.items.get(entry_key(node.settings.node))
        if item is None:
            return {}
        return json.loads(self.store.read(item))

    async def assert_served(self, path: str) -> None:
        """Assert that every node serves a route."""
        for number in range(len(self.fleet.nodes)):
            status, _, _ = await self.fleet.call(
                number, f'/{path}/1', f'{path}-{number}'
            )
            self.assertEqual(status, 200)

    # Guards against versions that are taken for older ones, because the store
    # gives out revisions again.
    async def test_version_written_after_the_restore_is_in_force(self) -> None:
        backup = self.store.back_up()
        await self.write_versions()
        self.store.restore(backup)
        await self.configure(LAST_VERSION + 1, 'first', 'second')
        await self.assert_served('second')

    # Guards against 503 until the end of the day, because no read confirms the
    # table any more.
    async def test_table_is_confirmed_after_it_is_written_again(self) -> None:
        backup = self.store.back_up()
        await self.write_versions()
        self.store.restore(backup)
        restored_at = self.fleet.nodes[0].clock.now()
        await self.configure(LAST_VERSION, 'first')
        await self.fleet.until(
            lambda: all(
                node.freshness.confirmed_at > restored_at
                for node in self.fleet.nodes
            )
        )

    # Guards against an older configuration that comes back.
    async def test_older_version_is_neither_used_nor_a_confirmation(
        self,
    ) -> None:
        backup = self.store.back_up()
        await self.configure(2, 'first')
        self.store.restore(backup)
        restored_at = self.fleet.nodes[0].clock.now()
        await self.read_table()
        self.assertEqual(self.versions(), ['00000002'] * 2)
        await self.assert_served('first')
        for node in self.fleet.nodes:
            self.assertLess(node.freshness.confirmed_at, restored_at)

    async def test_table_that_the_copy_contains_stays_confirmed(self) -> None:
        await self.configure(2, 'first')
        self.store.restore(self.store.back_up())
        restored_at = self.fleet.nodes[0].clock.now()
        await self.fleet.until(
            lambda: all(
                node.freshness.confirmed_at > restored_at
                for node in self.fleet.nodes
            )
        )

    async def restore_without(self, backup: Backup, node: Node) -> None:
        """Restore a copy that lacks the entry of a node."""
        self.store.restore(backup)
        self.assertFalse(self.read_entry(node))

    # Guards against nodes that are forgotten, because their entries are only in
    # the part that the store lost.
    async def test_node_added_after_the_copy_registers_again(self) -> None:
        backup = self.store.back_up()
        await self.fleet.add(2)
        await self.fleet.until(self.fleet.is_complete)
        added = self.fleet.nodes[2]
        await self.restore_without(backup, added)
        await self.fleet.until(lambda: bool(self.read_entry(added)))
        await asyncio.sleep(ABSENCE_GRACE_MS / 1000)
        for node in self.fleet.nodes:
            self.assertEqual(len(node.fleet.directory.members), 3)

    # Guards against an acknowledged departure that the store has forgotten.
    async def test_departure_after_the_copy_is_stored_again(self) -> None:
        backup = self.store.back_up()
        self.assertEqual(await self.fleet.announce(0, 'draining'), 200)
        node = self.fleet.nodes[0]
        draining = self.read_entry(node)['state']
        self.store.restore(backup)
        self.assertNotEqual(self.read_entry(node)['state'], draining)
        await self.fleet.until(
            lambda: self.read_entry(node).get('state') == draining
        )

    # Guards against a deaf watch: a new node must be known within seconds.
    async def test_node_added_after_the_restore_is_known_to_all(self) -> None:
        backup = self.store.back_up()
        await self.write_versions()
        self.store.restore(backup)
        await self.fleet.add(2)
        await self.fleet.until(self.fleet.is_complete)
