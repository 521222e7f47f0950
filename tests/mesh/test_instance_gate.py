"""Test calls whose connection to the upstream ends without an answer."""

import unittest
from collections import Counter

from jasmineramp.mesh.caller_messages import CallerResponse
from jasmineramp.mesh.calls import CallerRequest
from jasmineramp.mesh.running_calls import Origin
from tests.fakes.mesh import Fleet


class LostAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Test an upstream that runs a call and resets a kept connection."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        await self.fleet.start(1)
        self.addAsyncCleanup(self.fleet.close)
        self.upstream = self.fleet.upstreams[0]
        self.gate = self.fleet.nodes[0].gate
        self.origins: Counter[Origin] = Counter()
        status, _, _ = await self.fleet.call(0, '/read/1', 'id-0')
        self.assertEqual(status, 200)
        self.upstream.behave = self.lose_first_answer

    async def lose_first_answer(
        self, request: CallerRequest
    ) -> CallerResponse | None:
        """Lose the answer to the first run of a call."""
        self.origins.update(self.gate.running_calls.counts)
        if self.upstream.ran['id-1'] == 1:
            return None
        return CallerResponse(200, [], request.target)

    async def test_call_is_sent_again_as_a_repeat(self) -> None:
        credit = self.gate.repeat_budget.credit
        status, _, _ = await self.fleet.call(0, '/read/1', 'id-1')
        self.assertEqual((status, self.upstream.ran['id-1']), (200, 2))
        self.assertLess(self.gate.repeat_budget.credit, credit)
        self.assertEqual(
            [origin.is_repeat for origin in self.origins], [False, True]
        )
        self.assertFalse(self.gate.running_calls.counts)

    # Guards against BUDGET: a lost answer passed for a connection that ended
    # before the call, which was sent again outside the budgets.
    async def test_call_without_credit_is_not_sent_again(self) -> None:
        self.gate.repeat_budget.credit = 0
        status, _, _ = await self.fleet.call(0, '/read/1', 'id-1')
        self.assertEqual((status, self.upstream.ran['id-1']), (502, 1))

    # Guards against REFUSED: "not run" after a send that may have run.
    async def test_refusal_of_the_second_send_does_not_tell_not_run(
        self,
    ) -> None:
        async def lose_and_refuse(
            request: CallerRequest,
        ) -> CallerResponse | None:
            if await self.lose_first_answer(request) is None:
                return None
            return CallerResponse(503, [(b'X-Jasmineramp-Not-Executed', b'1')])

        self.upstream.behave = lose_and_refuse
        status, _, _ = await self.fleet.call(0, '/read/1', 'id-1')
        self.assertEqual((status, self.upstream.ran['id-1']), (502, 2))

    # Guards against DRAIN: a call sent again to an instance that has said
    # meanwhile that it leaves.
    async def test_call_is_not_sent_again_to_an_instance_that_leaves(
        self,
    ) -> None:
        async def leave(_request: CallerRequest) -> None:
            await self.fleet.announce(0, 'draining')

        self.upstream.behave = leave
        status, _, _ = await self.fleet.call(0, '/read/1', 'id-1')
        self.assertEqual((status, self.upstream.ran['id-1']), (502, 1))
