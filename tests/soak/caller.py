"""Send requests on kept connections, as callers of a node do."""

import asyncio
import contextlib

from tests.fakes.mesh import HOST

ANSWER_TIMEOUT_S = 5


class ClosedError(Exception):
    """Report that a connection ended before a whole answer."""


class KeptConnection:
    """Hold one connection to a node until the node closes it."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def send(
        self, method: str, targets: dict[str, dict[str, str]]
    ) -> None:
        """Send requests with headers by target at once.

        Raise OSError if they were not sent.
        """
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                HOST, self.port
            )
        lines = []
        for target, headers in targets.items():
            lines.append(f'{method} {target} HTTP/1.1')
            lines += [f'{name}: {value}' for name, value in headers.items()]
            lines += ['Content-Length: 0', '']
        self.writer.write('\r\n'.join([*lines, '']).encode())

    async def receive(self) -> tuple[int, bytes]:
        """Return status and body of the next answer, or raise ClosedError."""
        if self.reader is None:
            raise ClosedError('closed by an earlier answer')
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await self._read(self.reader)
        except (OSError, ClosedError) as error:
            # The request was sent, so its answer is lost: timeouts and resets
            # count like an orderly end.
            self.close()
            raise ClosedError(repr(error)) from None

    def close(self) -> None:
        """Close the connection; the next call opens another one."""
        if self.writer is not None:
            with contextlib.suppress(OSError):
                self.writer.close()
        self.reader = self.writer = None

    async def _read(self, reader: asyncio.StreamReader) -> tuple[int, bytes]:
        try:
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            first, *rest = head.strip().split('\r\n')
            found = dict(line.lower().split(': ', 1) for line in rest)
            body = await reader.readexactly(int(found['content-length']))
        except asyncio.IncompleteReadError as error:
            raise ClosedError(str(error)) from None
        if found.get('connection') == 'close':
            self.close()
        return int(first.split()[1]), body
