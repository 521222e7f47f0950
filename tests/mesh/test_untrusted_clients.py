"""Test that a node process survives untrusted clients."""

import asyncio

from jasmineramp.mesh.caller_messages import CallerResponse
from jasmineramp.mesh.calls import CallerRequest
from tests.fakes import untrusted
from tests.fakes.crowds import CrowdCase
from tests.soak.member import Member

WORK_S = 0.01


class UntrustedClientsTest(CrowdCase):
    """Guard against processes that clients can make run out of resources."""

    def behave(self, member: Member) -> None:
        """Answer with as many bytes as the path says."""
        member.upstream.behave = self.answer

    async def answer(self, call: CallerRequest) -> CallerResponse:
        """Answer with as many bytes as the path says."""
        self.members[0].upstream.bodies.clear()
        await asyncio.sleep(WORK_S)
        size = int(call.target.rpartition(b'/')[2])
        return CallerResponse(200, [], b'x' * size)

    async def test_heads_over_the_limit(self) -> None:
        await self.check(100, untrusted.send_head_over_limit)

    async def test_unending_heads(self) -> None:
        await self.check(200, untrusted.send_unending_head)

    async def test_unending_empty_lines(self) -> None:
        await self.check(60, untrusted.send_empty_lines)

    async def test_slow_readers_of_long_responses(self) -> None:
        await self.check(100, untrusted.ignore_long_response)

    async def test_slow_readers_with_many_requests(self) -> None:
        await self.check(12, untrusted.ignore_many_responses)

    async def test_many_large_concurrent_bodies(self) -> None:
        await self.check(60, untrusted.send_large_body)

    async def test_large_bodies_read_ahead(self) -> None:
        await self.check(150, untrusted.send_bodies_ahead)

    async def test_bodies_piece_by_piece(self) -> None:
        await self.check(60, untrusted.send_body_in_pieces)

    async def test_bodies_that_stop_just_short(self) -> None:
        await self.check(60, untrusted.send_body_short_of_end)

    async def test_bodies_just_under_the_small_size(self) -> None:
        await self.check(400, untrusted.send_small_body_short_of_end)

    async def test_half_frames_between_nodes(self) -> None:
        await self.check(350, untrusted.send_half_frame, 'inbound')
