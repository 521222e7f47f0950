"""Test nodes beside instances that are still cold."""

import asyncio
import copy
import time
import unittest

from jasmineramp.mesh.cold_limit import UNKNOWN_COLD_MS
from jasmineramp.mesh.evacuations import DomainState
from tests.fakes.mesh import CONFIGURATION, Fleet

CALLS = 40


def make_configuration(**row: object) -> dict[str, object]:
    """Return the configuration with a row of the service."""
    return copy.deepcopy(CONFIGURATION) | {'services': {'orders': row}}


class ColdInstanceTest(unittest.IsolatedAsyncioTestCase):
    """Test two nodes; instances tolerate 6.5 calls a second while cold."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        await self.fleet.start(
            2, make_configuration(coldPerS=6.5, coldStart='20s')
        )
        self.addAsyncCleanup(self.fleet.close)
        self.gate = self.fleet.nodes[0].gate

    async def announce(self, cold: str, number: int = 0) -> None:
        """Announce the cold time of an instance."""
        sequence = self.fleet.upstreams[number].sequence + 1
        status = {'state': 'ready', 'sequence': sequence, 'coldRemaining': cold}
        await self.fleet.announce(number, status=status)

    def is_cold(self) -> bool:
        """Return whether the first instance counts as cold."""
        return self.gate.cold.is_cold(self.gate.clock.now())

    async def call_often(self) -> list[tuple[int, dict[str, str]]]:
        """Send calls at once; return status and headers of each."""
        replies = await asyncio.gather(
            *(
                self.fleet.call(0, '/buy/1', f'id-{each}', method='POST')
                for each in range(CALLS)
            )
        )
        return [(status, headers) for status, headers, _ in replies]

    # Guards against FAILBACK, and refusals that do not tell when to return.
    async def test_cold_instances_get_few_calls_and_the_rest_return(
        self,
    ) -> None:
        for number in range(2):
            await self.announce('10s', number)
        replies = await self.call_often()
        refused = [headers for status, headers in replies if status == 503]
        for upstream in self.fleet.upstreams:
            self.assertLessEqual(upstream.ran.total(), 17)
        served = sum(each.ran.total() for each in self.fleet.upstreams)
        self.assertEqual(len(refused), CALLS - served)
        self.assertTrue(all('Retry-After' in each for each in refused))

    # Guards against peers that learn of a cold instance by its refusals.
    async def test_peers_and_routes_learn_at_once(self) -> None:
        slow_starts = [
            node.routes.targets['n0'].cold_until for node in self.fleet.nodes
        ]
        await self.announce('10s')
        targets = [node.routes.targets['n0'] for node in self.fleet.nodes]
        now = self.gate.clock.now()
        await self.fleet.until(
            lambda: all(each.cold_limit_until > now + 5000 for each in targets)
        )
        await self.announce('0ms')
        await self.fleet.until(
            lambda: all(each.cold_limit_until < now + 5000 for each in targets)
        )
        self.assertEqual([each.cold_until for each in targets], slow_starts)

    # Guards against a flood of an instance that has just started and does not
    # know its cold time yet.
    async def test_first_announcement_of_a_new_start_is_not_enough(
        self,
    ) -> None:
        self.fleet.upstreams[0].born = time.time_ns() // 1_000_000
        await self.announce('0ms')
        self.assertTrue(self.is_cold())
        self.assertEqual(self.gate.load().cold_ms, UNKNOWN_COLD_MS)
        await self.announce('0ms')
        self.assertFalse(self.is_cold())

    # Guards against a flood of an instance that turned cold before the end of
    # an evacuation.
    async def test_instance_is_cold_after_an_evacuation(self) -> None:
        self.gate.set_domain_state(DomainState.evacuated)
        await self.announce('0ms')
        self.gate.set_domain_state(DomainState.open)
        self.assertTrue(self.is_cold())
        # This may have been sent before the end.
        await self.announce('0ms')
        self.assertTrue(self.is_cold())
        self.gate.cold.accepted_from = self.gate.clock.now()
        await self.announce('0ms')
        self.assertFalse(self.is_cold())

    # Guards against a time that no peer can decode, which would end every
    # connection to this node.
    async def test_absurd_cold_time_does_not_end_connections(self) -> None:
        for number in range(2):
            await self.announce('9e99ms', number)
        replies = await self.call_often()
        self.assertIn(200, [status for status, _ in replies])
        for link in self.fleet.nodes[1].entry.links.values():
            self.assertTrue(link.is_up())

    # Guards against an announcement that arrives late and ends the cold time.
    async def test_late_announcement_does_not_end_the_cold_time(self) -> None:
        await self.announce('10s')
        status = {'state': 'ready', 'sequence': 1, 'coldRemaining': '0ms'}
        await self.fleet.announce(0, status=status)
        self.assertTrue(self.is_cold())


class UnlimitedTest(unittest.IsolatedAsyncioTestCase):
    """Test a deployment whose configuration has no cold rate."""

    # Guards against a limit where the operators have set none.
    async def test_cold_time_alone_limits_nothing(self) -> None:
        fleet = Fleet()
        await fleet.start(1)
        self.addAsyncCleanup(fleet.close)
        status = {'state': 'ready', 'sequence': 9, 'coldRemaining': '10s'}
        await fleet.announce(0, status=status)
        cold = fleet.nodes[0].gate.cold
        self.assertFalse(cold.is_limited(fleet.nodes[0].clock.now()))
        self.assertFalse(fleet.nodes[0].gate.load().cold_ms)
