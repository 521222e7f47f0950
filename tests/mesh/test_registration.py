"""Test the calls to the store that keep a node registered."""

import asyncio
import json
import unittest
from unittest import mock

from bench.metadata_store import MetadataStore

from jasmineramp.clock import ManualClock, Millis, later
from jasmineramp.ids import DomainId, NodeId
from jasmineramp.membership_messages import UpstreamState
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.departures import Departed, Departures
from jasmineramp.mesh.directory import ABSENCE_GRACE_MS, MemberEntry
from jasmineramp.mesh.registration import (
    LEASE_TTL_MS,
    RENEW_INTERVAL_MS,
    Registration,
)
from jasmineramp.mesh.store import StoreOutcome, StoreReply, StoreWrite
from jasmineramp.platform.store_client import StoreClient

HOST = '127.0.0.1'


class RegistrationTest(unittest.IsolatedAsyncioTestCase):
    """Test restarts and frequent changes of one node."""

    async def asyncSetUp(self) -> None:
        self.store = MetadataStore()
        self.port = await self.store.listen(HOST, 0)
        self.addCleanup(self.store.server.stop)
        self.clock = ManualClock()
        self.state = UpstreamState.ready

    def start(self) -> Registration:
        """Return the registration of a new process of the node."""
        return Registration(
            StoreClient(HOST, self.port),
            self.make_entry,
            DecisionLog(NodeId('n0'), 1),
            self.clock,
        )

    def make_entry(self, version: int) -> MemberEntry:
        """Return the present entry."""
        return MemberEntry(
            NodeId('n0'), version, DomainId('a'), HOST, 1, state=self.state
        )

    async def run_steps(self, registration: Registration, count: int) -> float:
        """Run steps and return the wait after the last one."""
        wait_ms = 0.0
        for _ in range(count):
            wait_ms = await registration._run_step()
        return wait_ms

    async def test_restart_keeps_lease_and_entry(self) -> None:
        """A new process with the same entry reads it and renews the lease."""
        first = self.start()
        await self.run_steps(first, 2)
        again = self.start()
        await self.run_steps(again, 1)
        self.assertEqual(again.lease, first.lease)
        self.assertTrue(again.stored.is_set())
        self.assertEqual(
            dict(again.store.counts), {('list', 'done'): 1, ('keep', 'done'): 1}
        )

    async def test_restart_writes_a_changed_entry(self) -> None:
        first = self.start()
        await self.run_steps(first, 2)
        self.state = UpstreamState.draining
        again = self.start()
        await self.run_steps(again, 1)
        self.assertEqual(again.store.counts['txn', 'done'], 1)
        self.assertTrue(again.stored.is_set())

    async def test_lease_that_ended_is_replaced_after_a_restart(self) -> None:
        first = self.start()
        await self.run_steps(first, 2)
        await first.store.revoke_lease(first.lease)
        again = self.start()
        await self.run_steps(again, 3)
        self.assertNotEqual(again.lease, first.lease)
        self.assertTrue(again.stored.is_set())

    async def test_frequent_changes_do_not_delay_renewals(self) -> None:
        """Each write is followed by a renewal that is due."""
        registration = self.start()
        await self.run_steps(registration, 2)
        for turn in range(8):
            self.clock.advance(RENEW_INTERVAL_MS / 2)
            self.state = (UpstreamState.draining, UpstreamState.ready)[turn % 2]
            registration.mark_changed()
            await self.run_steps(registration, 1)
        self.assertEqual(registration.store.counts['keep', 'done'], 4)
        self.assertEqual(
            registration.valid_until, self.clock.now() + LEASE_TTL_MS
        )

    # Guards against an instance that is ready but in the store as lost: no
    # other node calls it any more.
    async def test_change_that_is_undone_while_it_is_written(self) -> None:
        registration = self.start()
        await self.run_steps(registration, 2)
        self.state = UpstreamState.starting
        registration.mark_changed()
        put = registration.store.put

        async def put_late(*writes: StoreWrite) -> StoreReply:
            reply = await put(*writes)
            self.state = UpstreamState.ready
            registration.mark_changed()
            return reply

        with mock.patch.object(registration.store, 'put', put_late):
            await self.run_steps(registration, 1)
        self.assertFalse(registration.stored.is_set())
        self.assertTrue(registration.changed.is_set())
        await self.run_steps(registration, 1)
        assert registration.written is not None
        self.assertIs(registration.written.state, UpstreamState.ready)
        self.assertTrue(registration.stored.is_set())

    # Guards against an owner of rates that stops to grant when the store
    # refuses it, long before another node takes over: its callers got a
    # fraction of their rate. Nor may it go on when another may have.
    async def test_node_counts_as_known_until_others_drop_its_entry(
        self,
    ) -> None:
        registration = self.start()
        await self.run_steps(registration, 2)
        expires_at = registration.valid_until
        dropped_at = Millis(expires_at + ABSENCE_GRACE_MS)
        self.assertTrue(registration.is_known(later(expires_at, 1_500)))
        self.assertFalse(registration.is_known(dropped_at))
        drift_ms = LEASE_TTL_MS / 100
        self.assertFalse(registration.is_known(later(dropped_at, -drift_ms)))

    async def test_unchanged_entry_is_not_written_again(self) -> None:
        registration = self.start()
        await self.run_steps(registration, 2)
        registration.mark_changed()
        self.assertFalse(registration.changed.is_set())
        await asyncio.sleep(0)
        self.assertTrue(registration.stored.is_set())

    # Guards against an entry that only this node still believes in, after the
    # store has returned from an older copy.
    async def test_entry_is_written_again_in_a_new_era(self) -> None:
        before = self.store.back_up()
        registration = self.start()
        await self.run_steps(registration, 2)
        with_entry = self.store.back_up()
        self.state = UpstreamState.draining
        registration.mark_changed()
        await self.run_steps(registration, 1)
        for backup in (with_entry, before):
            lease = registration.lease
            self.store.restore(backup)
            await self.read_until_answered(registration)
            self.assertTrue(registration.changed.is_set())
            await self.run_steps(registration, 2)
            self.assertTrue(registration.stored.is_set())
            self.assertNotEqual(registration.lease, lease)
            stored = self.store.items['jasmineramp/nodes/n0']
            self.assertEqual(stored['lease'], registration.lease)
            self.assertEqual(
                json.loads(self.store.read(stored))['state'],
                UpstreamState.draining.value,
            )

    def start_with(self, departures: Departures) -> Registration:
        """Return the registration of a process that knows departures."""
        registration = self.start()
        registration.departures = departures
        return registration

    # Guards against departures that end with the entry.
    async def test_departure_outlives_the_lease(self) -> None:
        departures = Departures()
        first = self.start_with(departures)
        await self.run_steps(first, 2)
        departures.add(Departed('i-1', 5), self.clock.now())
        first.mark_changed()
        self.assertFalse(first.stored.is_set())
        await self.run_steps(first, 1)
        self.assertTrue(first.stored.is_set())
        await first.unregister()
        again = self.start()
        await self.run_steps(again, 1)
        self.assertTrue(again.departures.binds('i-1', 5))

    async def test_departure_is_stored_again_in_a_new_era(self) -> None:
        departures = Departures()
        registration = self.start_with(departures)
        await self.run_steps(registration, 2)
        backup = self.store.back_up()
        departures.add(Departed('i-1', 5), self.clock.now())
        registration.mark_changed()
        await self.run_steps(registration, 1)
        self.store.restore(backup)
        await self.read_until_answered(registration)
        await self.run_steps(registration, 2)
        self.assertIn('jasmineramp/nodes/n0/departures', self.store.items)
        self.assertTrue(registration.stored.is_set())

    async def test_departure_is_merged_with_stored_ones(self) -> None:
        """A departure may be known before the store answers."""
        first = self.start_with(Departures())
        first.departures.add(Departed('i-1', 5), self.clock.now())
        await self.run_steps(first, 2)
        again = self.start_with(Departures())
        again.departures.add(Departed('i-2', 6), self.clock.now())
        await self.run_steps(again, 2)
        self.assertTrue(again.stored.is_set())
        third = self.start()
        await self.run_steps(third, 1)
        self.assertEqual(len(third.departures.facts()), 2)

    async def test_known_departures_are_not_written_again(self) -> None:
        registration = self.start_with(Departures())
        registration.departures.add(Departed('i-1', 5), self.clock.now())
        await self.run_steps(registration, 2)
        self.state = UpstreamState.draining
        registration.mark_changed()
        await self.run_steps(registration, 1)
        self.assertEqual(registration.store.counts['txn', 'done'], 2)
        self.assertEqual(registration.store.counts['lease', 'done'], 2)

    async def read_until_answered(self, registration: Registration) -> None:
        """Read any key as another part of the node does."""
        while True:
            reply = await registration.store.get('other')
            if reply.outcome is StoreOutcome.missing:
                return

    # Guards against a write by each node, though the copy has all entries.
    async def test_entry_in_the_copy_is_not_written_again(self) -> None:
        registration = self.start()
        await self.run_steps(registration, 2)
        self.store.write('other-node', b'')
        lease = registration.lease
        self.store.restore(self.store.back_up())
        await self.read_until_answered(registration)
        writes = registration.store.counts['txn', 'done']
        await self.run_steps(registration, 2)
        self.assertEqual(registration.lease, lease)
        self.assertEqual(registration.store.counts['txn', 'done'], writes)
        self.assertTrue(registration.stored.is_set())
        self.state = UpstreamState.draining
        registration.mark_changed()
        await self.run_steps(registration, 1)
        self.assertTrue(registration.stored.is_set())

    # Guards against the end of a lease that now is that of another node.
    async def test_lease_of_an_earlier_era_is_not_ended(self) -> None:
        registration = self.start()
        await self.run_steps(registration, 2)
        registration.store.observe_era(1)
        await registration.unregister()
        self.assertIn(registration.lease, self.store.leases)

    async def test_first_era_of_a_process_changes_nothing(self) -> None:
        self.store.era = 3
        registration = self.start()
        await self.run_steps(registration, 2)
        self.assertFalse(registration.changed.is_set())
        self.assertEqual(registration.era, 3)
        self.assertTrue(registration.stored.is_set())
