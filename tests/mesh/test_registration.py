"""Test the calls to the store that keep a node registered."""

import asyncio
import json
import unittest

from bench.metadata_store import MetadataStore

from jasmineramp.clock import ManualClock
from jasmineramp.ids import DomainId, NodeId
from jasmineramp.membership_messages import UpstreamState
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.directory import MemberEntry
from jasmineramp.mesh.registration import (
    LEASE_TTL_MS,
    RENEW_INTERVAL_MS,
    Registration,
)
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
            dict(again.store.counts), {('get', 'done'): 1, ('keep', 'done'): 1}
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
            self.clock.advance(RENEW_INTERVAL_MS)
            await self.run_steps(registration, 4)
            self.assertTrue(registration.stored.is_set())
            self.assertNotEqual(registration.lease, lease)
            stored = self.store.items['jasmineramp/nodes/n0']
            self.assertEqual(stored['lease'], registration.lease)
            self.assertEqual(
                json.loads(self.store.read(stored))['state'],
                UpstreamState.draining.value,
            )
