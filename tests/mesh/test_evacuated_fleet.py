"""Test nodes while the operators have evacuated a failure domain."""

import unittest
from unittest import mock

from bench.metadata_store import Fault

from jasmineramp.mesh.evacuations import DomainState
from jasmineramp.mesh.node import Node
from jasmineramp.mesh.node_settings import Bounds
from tests.fakes.mesh import CONFIGURATION, Fleet

KEY = 'op/evacuate/a'
CALLS = 8


class EvacuatedFleetTest(unittest.IsolatedAsyncioTestCase):
    """Test eight nodes in domains a and b; a is evacuated."""

    async def asyncSetUp(self) -> None:
        # A cut-off node refuses calls with a key after the revoke bound, which
        # a busy machine reaches before the calls of a test are through.
        bounds = Bounds(evac_ms=5000, revoke_ms=120_000)
        self.fleet = Fleet(bounds=bounds, domains='ab')
        self.store = self.fleet.store
        await self.fleet.start(8)
        self.addAsyncCleanup(self.fleet.close)

    async def wait_for(self, state: DomainState, *nodes: Node) -> None:
        """Wait until nodes believe that domain a is in this state."""
        await self.fleet.until(
            lambda: all(
                node.evacuations.evacuations.state_of('a') is state
                for node in nodes or self.fleet.nodes
            )
        )

    async def evacuate(self, *nodes: Node) -> None:
        """Evacuate domain a; wait until nodes know."""
        self.store.write(KEY, b'{}')
        await self.wait_for(DomainState.evacuated, *nodes)

    def runs_by_domain(self) -> dict[str, int]:
        """Return how many calls ran in each domain."""
        runs = {'a': 0, 'b': 0}
        for node, upstream in zip(
            self.fleet.nodes, self.fleet.upstreams, strict=True
        ):
            runs[node.settings.domain] += sum(upstream.ran.values())
        return runs

    async def call(self, number: int, method: str = 'GET') -> None:
        """Send calls to one node; each is served."""
        path = '/read/1' if method == 'GET' else '/buy/1'
        for each in range(CALLS):
            status, _, _ = await self.fleet.call(
                number, path, f'{method}-{number}-{each}', method=method
            )
            self.assertEqual(status, 200)

    # Guards against EVAC: calls that reach an evacuated domain, calls that run
    # twice, and a domain that gets no calls after the deletion.
    async def test_evacuated_domain_gets_no_calls_until_the_deletion(
        self,
    ) -> None:
        await self.evacuate()
        await self.call(0)
        await self.call(1, 'POST')
        self.assertEqual(self.runs_by_domain(), {'a': 0, 'b': 2 * CALLS})
        self.assertFalse(
            any(node.metrics.domain_refusals for node in self.fleet.nodes)
        )
        self.store.remove(KEY)
        await self.wait_for(DomainState.open)
        await self.call(0)
        self.assertGreater(self.runs_by_domain()['a'], 0)

    # Guards against EVAC: a sender that the news do not reach, whose calls end
    # at the refusals of the evacuated domain.
    async def test_calls_of_a_node_that_is_cut_off_go_elsewhere(self) -> None:
        cut_off, *others = self.fleet.nodes
        cut_off.table_watch.read = mock.AsyncMock(return_value=False)
        cut_off.table_watch.ask_leader = mock.AsyncMock(return_value=False)
        await self.evacuate(*others)
        self.assertFalse(cut_off.routes.evacuated)
        # Its own instance is not refused by a node that does not know.
        self.fleet.upstreams[0].server.stop()
        await self.call(0)
        await self.call(0, 'POST')
        self.assertEqual(self.runs_by_domain(), {'a': 0, 'b': 2 * CALLS})

    # Guards against EVAC: a process that serves before it knows, also while
    # only other nodes can tell.
    async def test_next_process_takes_no_calls_before_it_knows(self) -> None:
        await self.evacuate()
        self.store.fault = Fault.busy
        node = await self.fleet.start_next_process(0)
        self.assertIs(node.gate.domain_state, DomainState.unknown)
        self.assertFalse(node.gate.load().healthy)
        await self.wait_for(DomainState.evacuated, node)
        self.assertTrue(node.gate.is_evacuated())

    # Guards against EVAC: a store without answers that ends an evacuation.
    async def test_last_known_state_stays_while_the_store_is_down(self) -> None:
        await self.evacuate()
        self.store.fault = Fault.busy
        self.store.items.clear()
        await self.fleet.until(
            lambda: any(
                node.store.counts['list', 'not_done'] > 2
                for node in self.fleet.nodes
            )
        )
        await self.call(1)
        self.assertEqual(self.runs_by_domain()['a'], 0)

    # Guards against EVAC: a store that returns from a copy without the key.
    async def test_older_copy_does_not_end_an_evacuation(self) -> None:
        backup = self.store.back_up()
        await self.evacuate()
        self.store.restore(backup)
        await self.fleet.until(
            lambda: all(
                node.evacuations.evacuations.view.revision >> 40
                for node in self.fleet.nodes
            )
        )
        await self.wait_for(DomainState.evacuated)
        await self.call(1)
        self.assertEqual(self.runs_by_domain()['a'], 0)
        self.fleet.configure(CONFIGURATION | {'version': '2'})
        await self.wait_for(DomainState.open)

    # Guards against EVAC: a source of the previous release that passes for one
    # which knows that nothing is evacuated.
    async def test_source_of_the_previous_release_is_not_enough(self) -> None:
        leader, follower = (
            next(
                node
                for node in self.fleet.nodes
                if node.settings.domain == 'a'
                and (node.relay.leader() is None) is is_leader
            )
            for is_leader in (True, False)
        )
        await self.fleet.until(follower.relay.is_following)
        for node in self.fleet.nodes:
            if node is not follower:
                node.evacuations.known = mock.Mock(return_value=None)
        self.assertFalse(await follower.relay.ask())
        self.assertIsNone(leader.evacuations.known())

    # Guards against more store calls than before.
    async def test_one_range_read_replaces_the_read_of_the_table(self) -> None:
        await self.evacuate()
        for node in self.fleet.nodes:
            self.assertEqual(node.store.counts['get', 'done'], 0)

    async def test_reads_are_as_before_without_the_bound(self) -> None:
        plain = Fleet()
        await plain.start(1)
        self.addAsyncCleanup(plain.close)
        plain.store.write(KEY, b'{}')
        await plain.until(
            lambda: plain.nodes[0].store.counts['get', 'done'] > 1
        )
        status, _, _ = await plain.call(0, '/read/1', 'id-1')
        self.assertEqual(status, 200)
        self.assertFalse(plain.nodes[0].evacuations.evacuated())
