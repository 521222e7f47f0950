"""Read and write HTTP/1.1 messages, with the standard library only."""

import asyncio
from typing import NamedTuple

HOST = '127.0.0.1'


class Message(NamedTuple):
    """Hold a whole request or response; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split()[1])


def encode(start: str, headers: dict[str, str], body: bytes | None) -> bytes:
    """Return the bytes of a message; a body of None has no length."""
    lines = [start, *(f'{name}: {text}' for name, text in headers.items())]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + (body or b'')


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of the next message, None at the end of the stream."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError:
        return None
    start, *lines = raw.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return Message(start, headers, b'')


async def read_body(reader: asyncio.StreamReader, head: Message) -> bytes:
    """Return the body that a head announces."""
    if head.headers.get('transfer-encoding', '').lower() == 'chunked':
        pieces = []
        while size := int((await reader.readline()).split(b';')[0], 16):
            pieces.append(await reader.readexactly(size))
            await reader.readline()
        while (await reader.readline()).strip():
            continue
        return b''.join(pieces)
    return await reader.readexactly(int(head.headers.get('content-length', 0)))


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, None at the end of the stream."""
    head = await read_head(reader)
    if head is None:
        return None
    return head._replace(body=await read_body(reader, head))


async def exchange(
    address: tuple[str, int],
    start: str,
    headers: dict[str, str],
    body: bytes | None = b'',
    timeout_s: float = 5,
) -> Message:
    """Send a request on a new connection and return the response."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(encode(start, headers, body))
            answer = await read_message(reader)
        finally:
            writer.close()
    if answer is None:
        raise ConnectionError('no response')
    return answer
