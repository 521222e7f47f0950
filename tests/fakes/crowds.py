"""Run node processes with little memory and let crowds of clients act."""

import asyncio
import contextlib
import copy
import json
import logging
import pathlib
import random
import tempfile
import unittest

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

logger = logging.getLogger(__name__)


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """Check that processes stay within their memory and descriptors.

    Crowds call at the first node. Each node of `instances` has an instance.
    """

    node_count = 1
    instances = frozenset((0,))
    limits = {
        'maxHeaderBytes': 16_384,
        'maxBodyBytes': 2_000_000,
        'headerTimeout': '3000ms',
        'idleTimeout': '4000ms',
    }

    async def asyncSetUp(self) -> None:
        self.tasks: list[asyncio.Task[None]] = []
        self.store = RedirectingStore()
        self.addCleanup(self.store.server.stop)
        port = await self.store.listen(HOST, 0)
        configuration = self.configure(copy.deepcopy(CONFIGURATION))
        configuration['limits'] = self.limits
        self.store.write('op/config', json.dumps(configuration).encode())
        folder = tempfile.TemporaryDirectory(prefix='untrusted-')
        self.addCleanup(folder.cleanup)
        self.descriptors = 0
        self.members: list[Member] = []
        for number in range(self.node_count):
            member = Member(number, pathlib.Path(folder.name), History())
            member.memory_mib = MEMORY_MIB
            member.max_descriptors = MAX_DESCRIPTORS
            self.members.append(member)
            self.prepare_instance(member)
            await member.prepare(self.store, port, random.Random(1))
            if self.node_count == 1:
                self.store.ports.clear()
            self.behave(member)
            member.start()
            if number in self.instances:
                self.tasks.append(asyncio.create_task(self.announce(member)))
        self.tasks.append(asyncio.create_task(self.sample()))
        await self.wait_for_response()

    async def asyncTearDown(self) -> None:
        for task in self.tasks:
            task.cancel()
        for member in self.members:
            member.close()
        # The connections of the proxies end before the event loop does.
        await asyncio.sleep(0.3)

    def configure(self, configuration: dict[str, object]) -> dict[str, object]:
        """Return the configuration to use, without its limits."""
        return configuration

    def prepare_instance(self, member: Member) -> None:
        """Change the instance of a node before it listens."""

    def behave(self, member: Member) -> None:
        """Set how the instance of a node answers."""

    async def announce(self, member: Member) -> None:
        """Send the heartbeats of an instance."""
        while True:
            with contextlib.suppress(OSError):
                await member.announce()
            await asyncio.sleep(member.announce_s)

    async def sample(self) -> None:
        """Record the most descriptors that a process had open."""
        while True:
            for member in self.members:
                self.descriptors = max(
                    self.descriptors, member.open_descriptors()
                )
            await asyncio.sleep(SAMPLE_S)

    async def wait_for_response(self) -> None:
        """Send an ordinary request until it is answered."""
        address = (HOST, self.members[0].ports['outbound'])
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
                    status, _, body = await request(
                        address, 'GET', '/read/100', headers
                    )
                    if (status, body) == (200, b'x' * 100):
                        return
                for member in self.members:
                    self.assertTrue(member.is_alive(), 'a process ended')
                await asyncio.sleep(0.1)

    async def check(
        self, count: int, act: untrusted.Act, port: str = 'outbound'
    ) -> None:
        """Let a crowd act; check the processes and an ordinary request."""
        before = [each.peak_mib() for each in self.members]
        await untrusted.run_crowd(
            self.members[0].ports[port], count, CROWD_S, act
        )
        await self.wait_for_response()
        peaks = [each.peak_mib() for each in self.members]
        figures = (
            f'MiB before {before}, peaks {peaks},'
            f' {self.descriptors} descriptors'
        )
        logger.info('%s: %s', act.__name__, figures)
        for member in self.members:
            self.assertTrue(member.is_alive(), figures)
        self.assertLess(max(peaks), MEMORY_MIB, figures)
        self.assertLess(self.descriptors, DESCRIPTOR_BOUND, figures)
