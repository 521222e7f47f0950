"""Test that a planned stop of a node interrupts no call."""

import asyncio
import copy
import socket
import unittest
from unittest import mock

import msgspec

from jasmineramp.clock import ManualClock, later
from jasmineramp.ids import NodeId, RowName, ServiceName, WorkspaceId
from jasmineramp.mesh import graceful_stop
from jasmineramp.mesh.caller_messages import CallerResponse
from jasmineramp.mesh.calls import Answer, CallerRequest, UpstreamCall
from jasmineramp.mesh.frame_buffer import LENGTH_PREFIX_BYTES
from jasmineramp.mesh.graceful_stop import (
    CALLER_CLOSE_DELAY_MS,
    POLL_S,
    GracefulStop,
)
from jasmineramp.mesh.peer_messages import (
    PROTOCOL_VERSION,
    Hello,
    PeerFrame,
    RunReply,
    RunRequest,
    decode_frame,
    encode_frame,
)
from jasmineramp.mesh.receive_limits import MEBIBYTE
from tests.fakes.mesh import CONFIGURATION, KEY, TIMEOUT_S, Fleet

REQUEST = (
    b'GET /read/1 HTTP/1.1\r\nHost: a.example\r\n'
    b'X-Jasmineramp-Request-Id: id-1\r\n'
    b'X-Jasmineramp-Deadline-Ms: 3000\r\n'
    b'X-Jasmineramp-Credential: %s\r\n\r\n' % KEY.encode()
)
# More than the kernel takes of a reply whose peer does not read it.
LONG_BODY_BYTES = 8 * MEBIBYTE
PEER_BUFFER_BYTES = 65_536
GRACE_MS = 1_500


def make_call() -> UpstreamCall:
    """Return a call as a peer sends it."""
    return UpstreamCall(
        'id-1',
        b'GET',
        b'/read/1',
        [],
        b'',
        3000,
        RowName('read'),
        WorkspaceId('shop'),
        ServiceName('orders'),
        ServiceName('orders'),
        '',
        importance=2,
        hop=0,
        is_idempotent=True,
    )


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


class LongCallTest(unittest.IsolatedAsyncioTestCase):
    """Test requests that may last longer than the stopping node."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        await self.fleet.start(2)
        self.addAsyncCleanup(self.fleet.close)
        self.node = self.fleet.nodes[0]
        bounds = msgspec.structs.replace(
            self.node.settings.bounds, grace_ms=GRACE_MS
        )
        self.node.reload(
            msgspec.structs.replace(self.node.settings, bounds=bounds)
        )
        for name, delay_ms in (
            ('UPSTREAM_WITHDRAWAL_DELAY_MS', 0),
            ('CALLER_CLOSE_DELAY_MS', GRACE_MS / 6),
            ('ADMISSION_CLOSE_DELAY_MS', GRACE_MS),
        ):
            patch = mock.patch.object(graceful_stop, name, delay_ms)
            patch.start()
            self.addCleanup(patch.stop)
        # Keeps the node from ending as an idle one.
        _, writer = await asyncio.open_connection(*self.node.settings.outbound)
        self.addCleanup(writer.close)
        writer.write(REQUEST[:-2])

    async def work(self, request: CallerRequest) -> CallerResponse:
        """Work for longer than the node has left."""
        await asyncio.sleep(GRACE_MS / 1000)
        return CallerResponse(200, [], request.target)

    # Guards against LOST: a request that was passed on late in the stop and
    # whose connection ended without an answer when the process did.
    async def test_request_of_a_late_caller_is_answered(self) -> None:
        self.fleet.upstreams[1].behave = self.work
        stop = asyncio.create_task(self.node.stop())
        await asyncio.sleep(GRACE_MS / 3000)
        status, _, _ = await self.fleet.call(0, '/buy/1', 'late')
        self.assertEqual(status, 503)
        self.assertFalse(self.fleet.upstreams[1].ran)
        await stop

    async def test_short_request_of_a_late_caller_is_served(self) -> None:
        stop = asyncio.create_task(self.node.stop())
        await asyncio.sleep(GRACE_MS / 3000)
        status, _, _ = await self.fleet.call(
            0, '/buy/1', 'late', deadline=GRACE_MS // 6
        )
        self.assertEqual(status, 200)
        await stop


class NewConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Test a stop that already closes the idle connections of callers.

    Its clock stands still, so only an idle node ends it.
    """

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        await self.fleet.start(1)
        self.addAsyncCleanup(self.fleet.close)
        self.node = self.fleet.nodes[0]
        self.started = self.node.clock.now()
        self.stop = GracefulStop(
            self.node.settings.bounds.grace_ms,
            self.node.caller_server,
            self.node.gate,
            admission=self.node.admission,
            withdraw_upstream=mock.AsyncMock(),
            has_unsent_replies=lambda: False,
            clock=ManualClock(later(self.started, CALLER_CLOSE_DELAY_MS + 1)),
        )

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect as a caller and return when the node has accepted."""
        reader, writer = await asyncio.open_connection(
            *self.node.settings.outbound
        )
        self.addCleanup(writer.close)
        await self.fleet.until(
            lambda: bool(self.node.caller_server.connections)
        )
        return reader, writer

    # Guards against a reset in place of a response for the request that a
    # caller sends on a new connection to a stopping node.
    async def test_request_on_a_new_connection_is_answered(self) -> None:
        reader, writer = await self.connect()
        stop = asyncio.create_task(self.stop.run(self.started))
        await asyncio.sleep(2 * POLL_S)
        writer.write(REQUEST)
        async with asyncio.timeout(TIMEOUT_S):
            response = await reader.read()
            await stop
        self.assertIn(b' 200 ', response)
        self.assertIn(b'Connection: close', response)

    # Guards against a stop that lasts as long as a connection stays silent.
    async def test_silent_connection_does_not_prolong_the_stop(self) -> None:
        reader, _ = await self.connect()
        async with asyncio.timeout(TIMEOUT_S):
            await self.stop.run(self.started)
            self.assertEqual(await reader.read(), b'')


class LatePeerTest(unittest.IsolatedAsyncioTestCase):
    """Test a node that connects to a peer whose upstream is withdrawn."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        await self.fleet.start(2)
        self.addAsyncCleanup(self.fleet.close)
        self.node, self.peer = self.fleet.nodes
        self.name = self.peer.settings.node

    def is_ready(self) -> bool:
        """Return whether the first node would choose the peer's upstream."""
        return self.node.routes.targets[self.name].is_ready()

    # Guards against calls that a stopping node refuses until it ends, and whose
    # last one is lost with the connection.
    async def test_peer_that_connects_late_learns_of_the_stop(self) -> None:
        self.peer.gate.is_node_stopping = True
        self.assertTrue(self.is_ready())
        self.assertTrue(await self.node.entry.links[self.name].wait_until_up())
        await self.fleet.until(lambda: not self.is_ready())

    async def test_peer_of_a_ready_node_keeps_its_state(self) -> None:
        self.assertTrue(await self.node.entry.links[self.name].wait_until_up())
        status, _, _ = await self.fleet.call(0, '/read/1', 'id-1')
        self.assertEqual(status, 200)
        self.assertTrue(self.is_ready())

    # Guards against load reports of a stopping node that invite more calls.
    async def test_load_report_of_a_stopping_node_is_not_healthy(self) -> None:
        self.assertTrue(self.peer.gate.load().healthy)
        self.peer.gate.is_node_stopping = True
        self.assertFalse(self.peer.gate.load().healthy)


class UnsentReplyTest(unittest.IsolatedAsyncioTestCase):
    """Test a node that stops while a peer is slow to read a large reply."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        await self.fleet.start(1)
        self.addAsyncCleanup(self.fleet.close)
        self.node = self.fleet.nodes[0]
        self.fleet.upstreams[0].behave = self.answer_at_length
        self.reader, writer = await self.connect()
        writer.write(encode_frame(Hello(NodeId('n9'), PROTOCOL_VERSION)))
        writer.write(encode_frame(RunRequest(1, make_call())))
        await self.fleet.until(lambda: self.count_unsent_bytes() > 0)
        self.assertEqual(self.node.gate.running(), 0)
        patch = mock.patch.object(graceful_stop, 'CALLER_CLOSE_DELAY_MS', 0)
        patch.start()
        self.addCleanup(patch.stop)

    async def connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect as a peer that receives little without reading."""
        peer = socket.socket()
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PEER_BUFFER_BYTES)
        peer.connect(self.node.settings.inbound)
        peer.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=peer)
        self.addCleanup(writer.close)
        return reader, writer

    async def answer_at_length(self, _request: CallerRequest) -> CallerResponse:
        """Answer with a long body."""
        return CallerResponse(200, [], bytes(LONG_BODY_BYTES))

    def count_unsent_bytes(self) -> int:
        """Return how many bytes for peers the end of the process loses."""
        return sum(
            session.transport.get_write_buffer_size()
            for session in self.node.sessions
        )

    async def stop_node(self) -> int:
        """Stop the node; return how many bytes the end of it loses."""
        async with asyncio.timeout(TIMEOUT_S):
            await self.node.stop()
        return self.count_unsent_bytes()

    async def read_frame(self) -> PeerFrame:
        """Return the next frame that the peer receives."""
        async with asyncio.timeout(TIMEOUT_S):
            prefix = await self.reader.readexactly(LENGTH_PREFIX_BYTES)
            size = int.from_bytes(prefix, 'big')
            return decode_frame(await self.reader.readexactly(size))

    # Guards against 502 for calls that have run, because the process ends while
    # their replies are only partly sent.
    async def test_reply_is_sent_before_the_node_ends(self) -> None:
        stop = asyncio.create_task(self.stop_node())
        await asyncio.sleep(4 * POLL_S)
        reply = await self.read_frame()
        self.assertEqual(await stop, 0)
        assert isinstance(reply, RunReply)
        assert isinstance(reply.result, Answer)
        self.assertEqual(len(reply.result.body), LONG_BODY_BYTES)

    # Guards against a peer that does not read and so keeps a node from ending.
    async def test_unread_reply_does_not_outlast_the_grace_period(
        self,
    ) -> None:
        bounds = msgspec.structs.replace(
            self.node.settings.bounds, grace_ms=10 * POLL_S * 1000
        )
        self.node.reload(
            msgspec.structs.replace(self.node.settings, bounds=bounds)
        )
        self.assertGreater(await self.stop_node(), 0)
