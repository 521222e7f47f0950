"""Test that a planned stop of a node interrupts no call."""

import asyncio
import copy
import unittest

from jasmineramp.mesh.caller_http import CallerResponse
from jasmineramp.mesh.calls import CallerRequest
from tests.fakes.mesh import CONFIGURATION, Fleet


class CallsOfUpstreamTest(unittest.IsolatedAsyncioTestCase):
    """Test a node that stops while its upstream makes calls."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        configuration = copy.deepcopy(CONFIGURATION)
        configuration['routes']['buy']['timeout'] = '5s'  # type: ignore
        await self.fleet.start(1, configuration)
        self.node = self.fleet.nodes[0]
        self.addAsyncCleanup(self.fleet.close)

    async def call_when_refusing(
        self, _request: CallerRequest
    ) -> CallerResponse:
        """Make a call as soon as the node refuses new requests."""
        await self.fleet.until(lambda: self.node.admission.is_refusing)
        status, _, body = await self.fleet.call(0, '/inner/1', 'a1.b2', key='')
        return CallerResponse(status, [], body)

    # Guards against calls that fail half-way in a planned stop, because the
    # node refuses the calls that its upstream makes for them.
    async def test_call_of_the_upstream_is_answered_in_the_stop(self) -> None:
        self.fleet.upstreams[0].behave = self.call_when_refusing
        call = asyncio.create_task(
            self.fleet.call(0, '/buy/1', 'a1', deadline=5000)
        )
        await self.fleet.until(lambda: bool(self.fleet.upstreams[0].ran))
        await self.fleet.add(1)
        await self.fleet.until(lambda: len(self.node.routes.targets) > 1)
        stop = asyncio.create_task(self.node.stop())
        status, _, body = await call
        self.assertEqual((status, body), (200, b'/inner/1'))
        await stop
