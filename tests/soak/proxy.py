"""Relay loopback connections and disturb them on request."""

import asyncio
import enum

CHUNK_BYTES = 65_536
DELAY_S = 0.2
# The start of an answer whose body never ends, or of a frame too large.
FLOOD_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
FLOOD_PIECE = b'8000\r\n' + b'x' * 0x8000 + b'\r\n'


class Mode(enum.Enum):
    """Name what the proxy does to its connections."""

    relay = 'relay'
    delay = 'delay'
    refuse = 'refuse'
    silence = 'silence'
    answers_lost = 'answers_lost'
    flood = 'flood'


class Proxy:
    """Relay connections from a port of its own to a target."""

    def __init__(self, host: str, target: tuple[str, int]) -> None:
        self.host = host
        self.target = target
        self.mode = Mode.relay
        # Limits what it takes from the target; None leaves it unlimited.
        self.answer_bytes_per_s: float | None = None
        # The same for what it takes from those who connect to it.
        self.request_bytes_per_s: float | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> int:
        """Listen and return the port."""
        self.server = await asyncio.start_server(self._serve, self.host, 0)
        return int(self.server.sockets[0].getsockname()[1])

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self.server.close()
        self.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.refuse:
            writer.transport.abort()
            return
        try:
            back, forth = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, forth}
        await asyncio.gather(
            self._copy(reader, forth, is_answer=False),
            self._copy(back, writer, is_answer=True),
        )
        self.writers -= {writer, forth}

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.mode is Mode.delay:
                    await asyncio.sleep(DELAY_S)
                is_lost = self.mode is Mode.answers_lost and is_answer
                if self.mode is Mode.flood and is_answer:
                    await self._flood(writer)
                    break
                if self.mode is not Mode.silence and not is_lost:
                    writer.write(data)
                    await self._wait_for_link(writer, len(data), is_answer)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        writer.close()

    async def _wait_for_link(
        self, writer: asyncio.StreamWriter, size: int, is_answer: bool
    ) -> None:
        """Wait until a narrow link has carried this many bytes."""
        bytes_per_s = self.request_bytes_per_s
        if is_answer:
            bytes_per_s = self.answer_bytes_per_s
        if bytes_per_s is not None:
            await asyncio.sleep(size / bytes_per_s)
            await writer.drain()

    async def _flood(self, writer: asyncio.StreamWriter) -> None:
        """Send without end until the reader or the disturbance ends."""
        writer.write(FLOOD_HEAD)
        while self.mode is Mode.flood and not writer.is_closing():
            writer.write(FLOOD_PIECE)
            await writer.drain()
