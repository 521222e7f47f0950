"""Test that nothing takes back an acknowledged departure of an instance."""

import unittest

from bench.metadata_store import Fault

from jasmineramp.membership_messages import UpstreamState
from jasmineramp.mesh.directory import departures_key, entry_key
from jasmineramp.mesh.node import Node
from tests.fakes.mesh import Fleet

BORN = 1000


class DepartureTest(unittest.IsolatedAsyncioTestCase):
    """Test the processes of a node whose instance has left."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        await self.fleet.start(2)
        self.addAsyncCleanup(self.fleet.close)
        self.store = self.fleet.store

    async def start_next_process(self) -> Node:
        """Start the next process of the first node; wait for its first read."""
        node = await self.fleet.start_next_process(0)
        await self.fleet.until(lambda: node.registration.is_restored)
        return node

    async def announce_late(self, node: Node) -> None:
        """Deliver the heartbeats that the instance sent before it left."""
        for _ in range(2):
            await self.fleet.announce(0)
        self.assertFalse(node.gate.accepts_calls())

    # Guards against DRAIN: a planned stop ended the lease of the departure, and
    # a late heartbeat brought the instance back.
    async def test_planned_stop_does_not_end_a_departure(self) -> None:
        self.assertEqual(await self.fleet.deregister(0, born=BORN), 200)
        await self.fleet.nodes[0].registration.unregister()
        await self.announce_late(await self.start_next_process())

    # Guards against DRAIN: a departure without a start was noted with the start
    # 0, and a late heartbeat passed for a later incarnation.
    async def test_departure_without_a_start_binds_an_unheard_instance(
        self,
    ) -> None:
        await self.fleet.nodes[0].registration.unregister()
        node = await self.start_next_process()
        self.assertEqual(await self.fleet.deregister(0), 200)
        await self.announce_late(node)
        await self.fleet.nodes[0].registration.unregister()
        await self.announce_late(await self.start_next_process())

    # Guards against DRAIN: a process that could not read its entry acknowledged
    # a departure, and the entry that it read later took the instance back.
    async def test_departure_is_not_undone_by_an_entry_that_is_read_later(
        self,
    ) -> None:
        self.store.fault = Fault.busy
        node = await self.fleet.start_next_process(0)
        self.assertEqual(await self.fleet.deregister(0, born=BORN), 503)
        self.store.fault = Fault.none
        await self.fleet.until(lambda: node.registration.is_restored)
        self.assertIs(node.record.state, UpstreamState.draining)
        self.assertEqual(await self.fleet.deregister(0, born=BORN), 200)
        await self.announce_late(node)

    # Guards against DRAIN: the store returned from an older copy, and the next
    # process of the node took the instance back from it.
    async def test_next_process_learns_a_departure_from_its_peers(
        self,
    ) -> None:
        backup = self.store.back_up()
        self.assertEqual(await self.fleet.deregister(0, born=BORN), 200)
        killed, peer = self.fleet.nodes
        name = killed.settings.node
        draining = UpstreamState.draining
        await self.fleet.until(
            lambda: peer.fleet.directory.members[name].state is draining
        )
        self.assertTrue(await peer.entry.links[name].wait_until_up())
        killed.close()
        self.store.restore(backup)
        node = await self.start_next_process()
        self.assertIs(node.record.state, UpstreamState.ready)
        await self.fleet.until(lambda: node.record.state is draining)
        await self.fleet.until(lambda: departures_key(name) in self.store.items)
        await self.announce_late(node)
        for each in self.fleet.nodes:
            await self.fleet.until(
                lambda known=each: not known.routes.targets[name].is_ready()
            )

    async def test_new_start_of_the_instance_is_used(self) -> None:
        self.assertEqual(await self.fleet.deregister(0, born=BORN), 200)
        node = await self.start_next_process()
        self.fleet.upstreams[0].born = BORN + 1
        await self.fleet.announce(0)
        self.assertTrue(node.gate.accepts_calls())

    async def test_departure_is_stored_beside_the_entry(self) -> None:
        name = self.fleet.nodes[0].settings.node
        self.assertNotIn(departures_key(name), self.store.items)
        self.assertEqual(await self.fleet.announce(0, 'draining'), 200)
        self.assertNotEqual(
            self.store.items[departures_key(name)]['lease'],
            self.store.items[entry_key(name)]['lease'],
        )
