"""Act as untrusted clients of a node: each holds one connection at a time."""

import asyncio
import contextlib
import socket
import time
from collections.abc import Awaitable, Callable

from tests.fakes.mesh import HOST, KEY

RECONNECT_S = 0.05
TRICKLE_S = 0.3
SMALL_RECEIVE_BUFFER_BYTES = 4096
HOST_LINE = b'Host: a.example\r\n'
# The shortest header line; its objects take far more memory than its bytes.
TINY_HEADER = b'ab:\r\n'
CREDENTIALS = HOST_LINE + (
    b'X-Jasmineramp-Request-Id: %d\r\n'
    b'X-Jasmineramp-Deadline-Ms: 20000\r\n'
    b'X-Jasmineramp-Credential: ' + KEY.encode() + b'\r\n'
)

Act = Callable[['Client'], Awaitable[None]]


class Client:
    """Send bytes on one connection and read only when told to."""

    count = 0

    def __init__(self, port: int) -> None:
        self.port = port
        self.loop = asyncio.get_running_loop()
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES
        )

    async def connect(self) -> None:
        """Connect to the node."""
        await self.loop.sock_connect(self.socket, (HOST, self.port))

    async def send(self, data: bytes) -> None:
        """Send all bytes."""
        await self.loop.sock_sendall(self.socket, data)

    async def wait_for_close(self) -> None:
        """Read until the node closes the connection."""
        while await self.loop.sock_recv(self.socket, 65_536):
            await asyncio.sleep(0)

    async def read(self, size: int) -> None:
        """Read at least this many bytes; raise OSError at the end."""
        while size > 0:
            data = await self.loop.sock_recv(self.socket, 65_536)
            if not data:
                raise ConnectionResetError
            size -= len(data)
            await asyncio.sleep(0)

    def request(self, method: bytes, target: bytes, size: int = 0) -> bytes:
        """Return the head of a valid request with a body of a length."""
        Client.count += 1
        line = b'%s %s HTTP/1.1\r\n' % (method, target)
        length = b'Content-Length: %d\r\n\r\n' % size
        return line + CREDENTIALS % Client.count + length


async def run_crowd(port: int, count: int, seconds: float, act: Act) -> None:
    """Let clients act for a while; each reconnects when it is cut off."""
    end = time.monotonic() + seconds
    await asyncio.gather(*(_act_until(end, port, act) for _ in range(count)))


async def _act_until(end: float, port: int, act: Act) -> None:
    while time.monotonic() < end:
        client = Client(port)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(end - time.monotonic()):
                await client.connect()
                await act(client)
        client.socket.close()
        await asyncio.sleep(RECONNECT_S)


async def send_head_over_limit(client: Client) -> None:
    """Send a head of many lines, 16 times the limit, at once."""
    await client.send(b'GET / HTTP/1.1\r\n' + TINY_HEADER * 50_000)
    await client.wait_for_close()


async def send_unending_head(client: Client) -> None:
    """Send most of a head within the limit, then a line now and then."""
    await client.send(b'GET / HTTP/1.1\r\n' + TINY_HEADER * 3200)
    while True:
        await asyncio.sleep(TRICKLE_S)
        await client.send(TINY_HEADER)


async def send_empty_lines(client: Client) -> None:
    """Send empty lines in place of a request."""
    while True:
        await client.send(b'\r\n' * 32_768)
        await asyncio.sleep(0)


async def ignore_long_response(client: Client) -> None:
    """Request a long response and never read it."""
    await client.send(client.request(b'GET', b'/read/3500000'))
    await asyncio.Event().wait()


async def ignore_many_responses(client: Client) -> None:
    """Send request after request and never read a response."""
    while True:
        for _ in range(4):
            await client.send(client.request(b'GET', b'/read/1000000'))
        await asyncio.sleep(0.25)


async def send_large_body(client: Client) -> None:
    """Send a large body at once, then await the response."""
    size = 1_800_000
    await client.send(client.request(b'POST', b'/buy/1', size) + b'x' * size)
    await client.wait_for_close()


async def send_bodies_ahead(client: Client) -> None:
    """Send many requests at once, each with a body over 64 KiB."""
    size = 150_000
    for _ in range(12):
        head = client.request(b'POST', b'/buy/1', size)
        await client.send(head + b'x' * size)
    await client.wait_for_close()


async def send_body_in_pieces(client: Client) -> None:
    """Send a large body piece by piece, then the next."""
    for _ in range(1000):
        await client.send(client.request(b'POST', b'/buy/1', 1_600_000))
        for _ in range(100):
            await client.send(b'x' * 16_000)
            await asyncio.sleep(0.01)


async def send_body_short_of_end(client: Client) -> None:
    """Send all of a large body but its last byte and stay."""
    size = 1_000_000
    head = client.request(b'POST', b'/buy/1', size)
    await client.send(head + b'x' * (size - 1))
    await asyncio.Event().wait()


async def send_small_body_short_of_end(client: Client) -> None:
    """Send all of a body of just under 64 KiB but its last byte and stay."""
    size = 65_000
    head = client.request(b'POST', b'/buy/1', size)
    await client.send(head + b'x' * (size - 1))
    await asyncio.Event().wait()


async def ignore_responses_behind_slow_one(client: Client) -> None:
    """Request a slow response and long ones at once, and read none."""
    paths = [b'/read/slow'] + [b'/read/750000'] * 12
    await client.send(b''.join(client.request(b'GET', each) for each in paths))
    await asyncio.Event().wait()


async def read_long_responses(client: Client) -> None:
    """Request one long response after the other and read each at once."""
    for _ in range(1000):
        await client.send(client.request(b'GET', b'/read/1000000'))
        await client.read(1_000_000)


async def leave_long_responses(client: Client) -> None:
    """Request a long response and leave after its first bytes."""
    await client.send(client.request(b'GET', b'/read/1500000'))
    await client.read(100_000)


async def upload_in_turn(client: Client) -> None:
    """Send one upload after the other, each until it is answered."""
    size = 3_000_000
    for _ in range(1000):
        head = client.request(b'POST', b'/brief/1', size)
        await client.send(head + b'x' * size)
        await client.read(20)


async def send_half_frame(client: Client) -> None:
    """Send the start of a frame, as another node would, and stay."""
    await client.send(b'\0\0')
    await client.wait_for_close()


async def send_long_ids(client: Client) -> None:
    """Send one request after the other, each with an id of many bytes."""
    for _ in range(10_000):
        head = client.request(b'GET', b'/read/100')
        await client.send(head.replace(b'Id: ', b'Id: ' + b'x' * 15_000, 1))
        await client.read(15_000)
