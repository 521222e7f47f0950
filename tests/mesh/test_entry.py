"""Test how an entry node learns the use of instances."""

import asyncio
import unittest
from unittest import mock

from jasmineramp import routing
from jasmineramp.mesh.caller_messages import CallerResponse
from jasmineramp.mesh.calls import CallerRequest
from tests.fakes.mesh import Fleet

OF_ONE_SLOT = {'service': 'orders', 'version': 'v1', 'zone': 'a', 'slots': 1}


class ReportedUseTest(unittest.IsolatedAsyncioTestCase):
    """Test two nodes; only the second has an instance, with one slot."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        await self.fleet.start(2)
        self.addAsyncCleanup(self.fleet.close)
        self.node, peer = self.fleet.nodes
        self.peer_name = peer.settings.node
        await self.fleet.announce(0, 'draining')
        await self.fleet.announce(1, info=OF_ONE_SLOT)
        await self.fleet.until(
            lambda: self.node.routes.targets[self.peer_name].slots == 1
        )
        self.released = asyncio.Event()

    async def answer_when_released(
        self, _request: CallerRequest
    ) -> CallerResponse:
        """Work on a call until the test releases it."""
        await self.released.wait()
        return CallerResponse(200, [], b'done')

    # Guards against reports without the use, and against a node that does not
    # know the size of the fleet: both leave the choice as it was.
    async def test_refusal_shows_the_believed_and_the_reported_use(
        self,
    ) -> None:
        self.assertEqual((await self.fleet.call(0, '/read/1', 'id-1'))[0], 200)
        now = self.node.clock.now()
        believed = routing.believed_use(self.node.routes, self.peer_name, now)
        self.assertIsNotNone(believed)
        self.fleet.upstreams[1].behave = self.answer_when_released
        running = asyncio.create_task(self.fleet.call(1, '/read/1', 'id-2'))
        await self.fleet.until(
            lambda: bool(self.fleet.upstreams[1].ran['id-2'])
        )
        with mock.patch.object(self.node.entry.log, 'write') as write:
            status, _, _ = await self.fleet.call(0, '/read/1', 'id-3')
        self.assertIn(status, {429, 503})
        fields = [
            each.kwargs
            for each in write.call_args_list
            if each.args == ('use_misjudged',)
        ]
        self.assertEqual(fields[0]['reported_use'], 1)
        self.released.set()
        self.assertEqual((await running)[0], 200)


class DroppedAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Test three nodes; the first has no instance and little memory left."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        await self.fleet.start(3)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.announce(0, 'draining')
        node = self.fleet.nodes[0]
        name = node.settings.node
        await self.fleet.until(lambda: not node.routes.targets[name].is_ready())
        self.budget = node.receive_budget
        for upstream in self.fleet.upstreams:
            upstream.behave = self.answer

    async def answer(self, _request: CallerRequest) -> CallerResponse:
        """Answer with two fifths of the budget."""
        return CallerResponse(
            200, [], b'x' * (self.budget.total_bytes * 2 // 5)
        )

    def ran(self, request_id: str) -> int:
        """Return how often a call ran."""
        return sum(each.ran[request_id] for each in self.fleet.upstreams)

    # Guards against answers that find no memory and are then made once more.
    async def test_dropped_answer_is_not_asked_for_again(self) -> None:
        self.budget.used_bytes = self.budget.total_bytes * 6 // 5
        status, _, _ = await self.fleet.call(0, '/read/1', 'id-1')
        self.assertEqual((status, self.ran('id-1')), (502, 1))
        self.budget.used_bytes = 0
        status, _, body = await self.fleet.call(0, '/read/1', 'id-2')
        self.assertEqual((status, self.ran('id-2')), (200, 1))
        self.assertEqual(len(body), self.budget.total_bytes * 2 // 5)
