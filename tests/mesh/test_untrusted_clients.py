"""Test that a node process survives untrusted clients."""

import asyncio
import contextlib
import copy
import json
import logging
import pathlib
import random
import tempfile
import unittest

from jasmineramp.mesh.caller_messages import CallerResponse
from jasmineramp.mesh.calls import CallerRequest
from tests.fakes import untrusted
from tests.fakes.mesh import CONFIGURATION, HOST, KEY, request
from tests.soak.history import History
from tests.soak.member import Member, RedirectingStore

MEMORY_MIB = 64
MAX_DESCRIPTORS = 300
# What the node opens for other purposes must fit between the two.
DESCRIPTOR_BOUND = 280
CROWD_S = 6.0
SAMPLE_S = 0.05
TIMEOUT_S = 20
WORK_S = 0.01
LIMITS = {
    'maxHeaderBytes': 16_384,
    'maxBodyBytes': 2_000_000,
    'headerTimeout': '3000ms',
    'idleTimeout': '4000ms',
}

logger = logging.getLogger(__name__)


class UntrustedClientsTest(unittest.IsolatedAsyncioTestCase):
    """Guard against processes that clients can make run out of resources."""

    async def asyncSetUp(self) -> None:
        self.tasks: list[asyncio.Task[None]] = []
        self.store = RedirectingStore()
        self.addCleanup(self.store.server.stop)
        port = await self.store.listen(HOST, 0)
        configuration = copy.deepcopy(CONFIGURATION)
        configuration['limits'] = LIMITS
        self.store.write('op/config', json.dumps(configuration).encode())
        folder = tempfile.TemporaryDirectory(prefix='untrusted-')
        self.addCleanup(folder.cleanup)
        self.member = Member(0, pathlib.Path(folder.name), History())
        self.member.memory_mib = MEMORY_MIB
        self.member.max_descriptors = MAX_DESCRIPTORS
        await self.member.prepare(self.store, port, random.Random(1))
        self.store.ports.clear()
        self.member.upstream.behave = self.answer
        self.member.start()
        self.descriptors = 0
        self.tasks += [
            asyncio.create_task(self.announce()),
            asyncio.create_task(self.sample()),
        ]
        await self.wait_for_response()

    async def asyncTearDown(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.member.close()
        # The connections of the proxies end before the event loop does.
        await asyncio.sleep(0.3)

    async def answer(self, call: CallerRequest) -> CallerResponse:
        """Answer with as many bytes as the path says."""
        self.member.upstream.bodies.clear()
        await asyncio.sleep(WORK_S)
        size = int(call.target.rpartition(b'/')[2])
        return CallerResponse(200, [], b'x' * size)

    async def announce(self) -> None:
        """Send the heartbeats of the upstream."""
        while True:
            with contextlib.suppress(OSError):
                await self.member.announce()
            await asyncio.sleep(self.member.announce_s)

    async def sample(self) -> None:
        """Record the most descriptors that the process had open."""
        while True:
            self.descriptors = max(
                self.descriptors, self.member.open_descriptors()
            )
            await asyncio.sleep(SAMPLE_S)

    async def wait_for_response(self) -> None:
        """Send an ordinary request until it is answered."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                untrusted.Client.count += 1
                headers = {
                    'Host': 'a.example',
                    'X-Jasmineramp-Request-Id': f'o{untrusted.Client.count}',
                    'X-Jasmineramp-Deadline-Ms': '3000',
                    'X-Jasmineramp-Credential': KEY,
                }
                with contextlib.suppress(OSError, ValueError, IndexError):
                    address = (HOST, self.member.ports['outbound'])
                    status, _, body = await request(
                        address, 'GET', '/read/100', headers
                    )
                    if (status, body) == (200, b'x' * 100):
                        return
                self.assertTrue(self.member.is_alive(), 'the process ended')
                await asyncio.sleep(0.1)

    async def check(self, count: int, act: untrusted.Act) -> None:
        """Let a crowd act; check the process and an ordinary request."""
        before = self.member.peak_mib()
        port = self.member.ports['outbound']
        await untrusted.run_crowd(port, count, CROWD_S, act)
        await self.wait_for_response()
        peak = self.member.peak_mib()
        figures = (
            f'{before:.1f} MiB before, peak {peak:.1f} MiB,'
            f' {self.descriptors} descriptors'
        )
        logger.info('%s: %s', act.__name__, figures)
        self.assertTrue(self.member.is_alive(), figures)
        self.assertLess(peak, MEMORY_MIB, figures)
        self.assertLess(self.descriptors, DESCRIPTOR_BOUND, figures)

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
