"""Test the distribution of the table and directory by the leader.

A leader without store contact must not confirm that a table is the newest.
"""

import copy
import json
import unittest

from bench.metadata_store import Fault

from jasmineramp.clock import Millis
from jasmineramp.ids import Revision
from jasmineramp.mesh.node import Node
from jasmineramp.mesh.peer_messages import UpdateRequest
from jasmineramp.mesh.relay import MAX_TABLE_AGE_MS
from jasmineramp.mesh.store_revisions import era_of, number_of
from tests.fakes.mesh import CONFIGURATION, Fleet


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """Test three nodes of one domain, whose leader reads the store for all."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        await self.fleet.start(3)
        await self.fleet.until(
            lambda: (
                sum(node.relay.is_following() for node in self.fleet.nodes) == 2
            )
        )

    async def asyncTearDown(self) -> None:
        await self.fleet.close()

    def find_leader(self) -> tuple[Node, list[Node]]:
        """Return the leader and the other nodes."""
        leaders = [
            node for node in self.fleet.nodes if node.relay.leader() is None
        ]
        self.assertEqual(len(leaders), 1)
        others = [node for node in self.fleet.nodes if node not in leaders]
        return leaders[0], others

    async def test_only_the_leader_reads_the_store(self) -> None:
        leader, others = self.find_leader()
        before = [node.store.counts['get', 'done'] for node in others]
        reads = leader.store.counts['get', 'done']
        await self.fleet.until(
            lambda: leader.store.counts['get', 'done'] > reads + 2
        )
        after = [node.store.counts['get', 'done'] for node in others]
        self.assertEqual(before, after)

    async def test_new_table_reaches_all_nodes(self) -> None:
        configuration = copy.deepcopy(CONFIGURATION)
        configuration['version'] = '00000002'
        self.fleet.configure(configuration)
        await self.fleet.until(
            lambda: all(
                node.admission.table is not None
                and node.admission.table.version == '00000002'
                for node in self.fleet.nodes
            )
        )

    async def test_table_age_is_never_less_than_that_of_the_leader(
        self,
    ) -> None:
        leader, others = self.find_leader()
        for node in others:
            self.assertTrue(await node.relay.ask())
            # All nodes of the test use the same clock.
            self.assertLessEqual(
                node.freshness.confirmed_at, leader.freshness.confirmed_at
            )

    async def start_new_era(self) -> None:
        """Let the store return from a copy; wait until all nodes know."""
        self.fleet.store.restore(self.fleet.store.back_up())
        await self.fleet.until(
            lambda: all(
                era_of(node.table_watch.revision) == 1
                and era_of(node.directory_watch.revision) == 1
                and node.registration.era == 1
                for node in self.fleet.nodes
            )
        )

    # Guards against nodes of a domain that mix up the eras of the store.
    async def test_eras_travel_with_table_and_entries(self) -> None:
        leader, others = self.find_leader()
        await self.start_new_era()
        known = number_of(leader.table_watch.revision)
        reply = leader.relay.answer(UpdateRequest(1, known, 1))
        self.assertEqual((reply.table_era, reply.directory_era), (1, 1))
        self.assertEqual(reply.table_revision, known)
        self.assertTrue(reply.table)
        self.assertTrue(reply.is_full)
        self.assertEqual({era_of(item.revision) for item in reply.items}, {0})
        for node in others:
            revisions = node.fleet.directory.revisions.values()
            self.assertEqual({era_of(each) for each in revisions}, {1})

    # Guards against a node that serves the older version of the copy, while the
    # others still have the later one.
    async def test_later_table_is_taken_from_a_source_without_proof(
        self,
    ) -> None:
        leader, others = self.find_leader()
        await self.start_new_era()
        configuration = copy.deepcopy(CONFIGURATION)
        configuration['version'] = '00000002'
        self.fleet.store.fault = Fault.busy
        leader.table_watch.apply_table(
            Revision(1), json.dumps(configuration).encode(), Millis(0)
        )
        self.assertFalse(await others[0].relay.ask())
        self.assertEqual(others[0].table_watch.serial, 2)
        self.assertLessEqual(others[0].freshness.confirmed_at, 0)

    async def test_leader_without_store_contact_is_not_used(self) -> None:
        _, others = self.find_leader()
        for node in self.fleet.nodes:
            node.freshness.confirmed_at = Millis(
                node.clock.now() - MAX_TABLE_AGE_MS - 1
            )
        self.fleet.store.fault = Fault.busy
        self.assertFalse(await others[0].relay.ask())

    async def test_next_candidate_reads_after_the_leader_stops(self) -> None:
        """One node takes over; the last one asks it, not the store."""
        leader, _ = self.find_leader()
        by_name = {node.settings.node: node for node in self.fleet.nodes}
        second, third = (
            by_name[name] for name in leader.relay.candidates()[1:]
        )
        leader.close()
        reads = second.store.counts['get', 'done']
        await self.fleet.until(
            lambda: second.store.counts['get', 'done'] > reads
        )
        await self.fleet.until(third.relay.is_following)
        before = third.store.counts['get', 'done']
        reads = second.store.counts['get', 'done']
        await self.fleet.until(
            lambda: second.store.counts['get', 'done'] > reads + 2
        )
        self.assertEqual(third.store.counts['get', 'done'], before)

    async def test_node_that_the_store_refuses_follows_another(self) -> None:
        """The store refuses the leader and the last node, not the second."""
        leader, others = self.find_leader()
        by_name = {node.settings.node: node for node in self.fleet.nodes}
        second = by_name[leader.relay.candidates()[1]]
        refused = [node for node in self.fleet.nodes if node is not second]
        for node in refused:
            node.store.port = 1
            node.store.close()
        configuration = copy.deepcopy(CONFIGURATION)
        configuration['version'] = '00000002'
        self.fleet.configure(configuration)
        await self.fleet.until(
            lambda: all(
                node.admission.table is not None
                and node.admission.table.version == '00000002'
                for node in others
            )
        )

    async def test_leader_that_the_store_refuses_follows_the_next_one(
        self,
    ) -> None:
        """Its own calls with a key go on while another node is served."""
        leader, _ = self.find_leader()
        leader.store.port = 1
        leader.store.close()
        confirmed = leader.freshness.confirmed_at
        await self.fleet.until(
            lambda: leader.freshness.confirmed_at > confirmed + 1500
        )

    async def test_added_node_becomes_known_to_all_nodes(self) -> None:
        await self.fleet.add(3)
        await self.fleet.until(
            lambda: all(
                len(node.fleet.directory.members) == 4
                for node in self.fleet.nodes
            )
        )
