"""Stand in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import itertools
import json
from collections.abc import Callable
from urllib.parse import parse_qs

from review.standins.wire import HOST, Message, encode, read_message

PAGE = 500


def keep(_key: str, content: bytes) -> bytes:
    """Return an item as it was written."""
    return content


class Store:
    """Hold items under leases, and the history of their changes."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.lease_ids = itertools.count(100)
        self.changed = asyncio.Event()
        # While it is down, it resets all connections; leases run out.
        self.is_down = False
        # Puts a proxy between the nodes, by the port in an entry.
        self.rewrite: Callable[[str, bytes], bytes] = keep

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = self.server.sockets[0].getsockname()[:2]
        self.expiring = asyncio.create_task(self._expire())

    def write(self, key: str, content: bytes, lease: int = 0) -> None:
        """Write an item as the operator does."""
        self.revision += 1
        content = self.rewrite(key, content)
        before = self.items.get(key, {})
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self.revision,
            'created': before.get('created', self.revision),
            'lease': lease,
        }
        self._record(self.items[key])

    def remove(self, key: str) -> None:
        """Delete an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )

    def _record(self, event: dict) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = asyncio.get_running_loop().time()
            for lease, (_, until) in list(self.leases.items()):
                if until < now:
                    self._end(lease)

    def _end(self, lease: int) -> bool:
        if self.leases.pop(lease, None) is None:
            return False
        for key, item in list(self.items.items()):
            if item['lease'] == lease:
                self.remove(key)
        return True

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                if self.is_down:
                    writer.transport.abort()
                    return
                status, answer = await self._answer(request)
                if self.is_down:
                    writer.transport.abort()
                    return
                writer.write(
                    encode(
                        f'HTTP/1.1 {status} -',
                        {'Content-Type': 'application/json'},
                        json.dumps(answer).encode(),
                    )
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, dict]:
        path, _, query = request.start.split()[1].partition('?')
        fields = {name: each[0] for name, each in parse_qs(query).items()}
        body = json.loads(request.body) if request.body else {}
        match path.split('/')[1:]:
            case ['kv-key']:
                item = self.items.get(fields['key'])
                if item is None:
                    return 404, {'currentRev': self.revision}
                return 200, {**item, 'currentRev': self.revision}
            case ['kv-range']:
                return 200, self._range(fields['prefix'], fields.get('after'))
            case ['kv-watch']:
                return await self._watch(
                    fields['prefix'],
                    int(fields['after']),
                    int(fields['waitMs']) / 1000,
                )
            case ['kv-txn']:
                return self._write_all(body)
            case ['kv-lease']:
                ttl_s = max(1.0, _seconds(body['ttl_time']))
                lease = next(self.lease_ids)
                now = asyncio.get_running_loop().time()
                self.leases[lease] = (ttl_s, now + ttl_s)
                return 200, {'lease': lease, 'ttl_time': f'{ttl_s}s'}
            case ['kv-keep', text]:
                kept = self.leases.get(int(text))
                if kept is None:
                    return 404, {}
                now = asyncio.get_running_loop().time()
                self.leases[int(text)] = (kept[0], now + kept[0])
                return 200, {'ttl_time': f'{kept[0]}s'}
            case ['kv-lease-end', text]:
                return (200 if self._end(int(text)) else 404), {}
        return 404, {}

    def _range(self, prefix: str, after: str | None) -> dict:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(prefix) and (after is None or key > after)
        )
        return {
            'items': [self.items[key] for key in keys[:PAGE]],
            'truncated': len(keys) > PAGE,
            'currentRev': self.revision,
        }

    async def _watch(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[int, dict]:
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_s
        while True:
            events = [
                each
                for each in self.history
                if each['revision'] > after and each['key'].startswith(prefix)
            ]
            left = end - loop.time()
            if events or left <= 0:
                return 200, {'events': events, 'currentRev': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue

    def _write_all(self, body: dict) -> tuple[int, dict]:
        rows = body.get('precondition', [])
        for row in rows:
            item = self.items.get(row['key'])
            if row['revision'] != (item['revision'] if item else 0):
                present = [self.items.get(each['key']) for each in rows]
                return 412, {'items': [each for each in present if each]}
        puts = body.get('puts', [])
        if any(
            row.get('lease') and row['lease'] not in self.leases for row in puts
        ):
            return 404, {}
        for row in puts:
            self.write(
                row['key'], base64.b64decode(row['value']), row.get('lease', 0)
            )
        for key in body.get('deletes', []):
            self.remove(key)
        return 200, {'revision': self.revision}


def _seconds(text: str) -> float:
    if text.endswith('ms'):
        return float(text[:-2]) / 1000
    return float(text[:-1])
