"""Stand in for the platform's metadata store, with faults on request."""

import asyncio
import base64
import copy
import enum
import itertools
import json
from http import HTTPStatus
from typing import NamedTuple
from urllib.parse import parse_qs, unquote

from jasmineramp.mesh.caller_http import CallerServer
from jasmineramp.mesh.caller_messages import CallerResponse
from jasmineramp.mesh.calls import CallerRequest, Headers
from jasmineramp.mesh.route_table import CallerLimits

LARGEST_PAGE = 500
LEAST_TTL_MS = 1000
ERA_HEADER = b'Store-Era'


class Backup(NamedTuple):
    """Hold what a copy of the store contains."""

    revision: int
    items: dict[str, dict[str, object]]
    history: list[dict[str, object]]
    compacted: int
    leases: dict[int, tuple[float, float]]


class Fault(enum.Enum):
    """Name what the store does instead of answering."""

    none = 'none'
    busy = 'busy'
    silent = 'silent'
    lost_writes = 'lost_writes'


class MetadataStore:
    """Hold items, leases and their history; one revision counts changes."""

    def __init__(self) -> None:
        self.revision = 1
        self.era = 0
        self.items: dict[str, dict[str, object]] = {}
        self.history: list[dict[str, object]] = []
        self.compacted = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.lease_ids = itertools.count(100)
        self.changed = asyncio.Event()
        self.fault = Fault.none
        self.delay_s = 0.0
        self.calls = 0
        self.server = CallerServer(self.handle, CallerLimits)

    async def listen(self, host: str, port: int) -> int:
        """Listen and return the port."""
        await self.server.listen(host, port)
        assert self.server.server is not None
        return int(self.server.server.sockets[0].getsockname()[1])

    def write(self, key: str, content: bytes, lease: int = 0) -> None:
        """Write an item as the operator does."""
        self.revision += 1
        created = self.items.get(key, {}).get('created', self.revision)
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self.revision,
            'created': created,
            'lease': lease,
        }
        self.items[key] = item
        self._record(item)

    def read(self, item: dict[str, object]) -> bytes:
        """Return the value of an item."""
        return base64.b64decode(str(item['value']))

    def remove(self, key: str) -> None:
        """Delete an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )

    def compact(self) -> None:
        """Forget the history and cut the watches."""
        self.compacted = self.revision
        self.history.clear()
        self._wake()

    def back_up(self) -> Backup:
        """Return a copy of the present state."""
        return copy.deepcopy(
            Backup(
                self.revision,
                self.items,
                self.history,
                self.compacted,
                self.leases,
            )
        )

    def restore(self, backup: Backup) -> None:
        """Return to a copy, in a new era; revisions are given out again."""
        (
            self.revision,
            self.items,
            self.history,
            self.compacted,
            self.leases,
        ) = copy.deepcopy(backup)
        self.era += 1
        for connection in list(self.server.connections):
            connection.transport.abort()
        self._wake()

    def expire(self) -> None:
        """End the leases that have run out."""
        now = asyncio.get_running_loop().time()
        for lease, (_, until) in list(self.leases.items()):
            if until < now:
                self._end_lease(lease)

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Answer a call."""
        self.calls += 1
        self.expire()
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.fault is Fault.busy:
            return CallerResponse(
                HTTPStatus.SERVICE_UNAVAILABLE, self.era_headers()
            )
        if self.fault is Fault.silent:
            await asyncio.Event().wait()
        path, _, query = request.target.decode().partition('?')
        fields = {name: each[0] for name, each in parse_qs(query).items()}
        body = json.loads(request.body) if request.body else {}
        status, answer = await self._answer(path, fields, body)
        if self.fault is Fault.lost_writes and request.method != b'GET':
            await asyncio.Event().wait()
        return CallerResponse(
            status, self.era_headers(), json.dumps(answer).encode()
        )

    def era_headers(self) -> Headers:
        """Return the header that each response has."""
        return [(ERA_HEADER, str(self.era).encode())]

    async def _answer(
        self, path: str, fields: dict[str, str], body: dict[str, object]
    ) -> tuple[int, dict[str, object]]:
        match path.split('/')[1:]:
            case ['kv-key']:
                return self._get(fields['key'])
            case ['kv-range']:
                return self.answer_range(
                    fields['prefix'], fields.get('after', '')
                )
            case ['kv-watch']:
                return await self._watch(
                    fields['prefix'],
                    int(fields['after']),
                    int(fields['waitMs']),
                )
            case ['kv-txn']:
                return self._write_all(body)
            case ['kv-lease']:
                return self._grant(str(body['ttl_time']))
            case ['kv-keep', lease]:
                return self._keep(int(unquote(lease)))
            case ['kv-lease-end', lease]:
                self._end_lease(int(lease))
                return 200, {}
        return 404, {}

    def _get(self, key: str) -> tuple[int, dict[str, object]]:
        item = self.items.get(key)
        if item is None:
            return 404, {'currentRev': self.revision}
        return 200, {**item, 'currentRev': self.revision}

    def answer_range(
        self, prefix: str, after: str
    ) -> tuple[int, dict[str, object]]:
        """Return the status and a page of items after a key."""
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return 200, {
            'items': [self.items[key] for key in keys[:LARGEST_PAGE]],
            'truncated': len(keys) > LARGEST_PAGE,
            'currentRev': self.revision,
        }

    async def _watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> tuple[int, dict[str, object]]:
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_ms / 1000
        while True:
            if not self.compacted <= after <= self.revision:
                return 410, {}
            events = [
                each
                for each in self.history
                if each['revision'] > after  # type: ignore[operator]
                and str(each['key']).startswith(prefix)
            ]
            left = end - loop.time()
            if events or left <= 0:
                return 200, {'events': events, 'currentRev': self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def _write_all(self, body: dict) -> tuple[int, dict[str, object]]:
        for row in body['precondition']:
            item = self.items.get(row['key'])
            if row['revision'] != (item['revision'] if item else 0):
                known = [
                    self.items[each['key']]
                    for each in body['precondition']
                    if each['key'] in self.items
                ]
                return 412, {'items': known, 'currentRev': self.revision}
        for row in body['puts']:
            lease = row.get('lease', 0)
            if lease and lease not in self.leases:
                return 404, {}
        for row in body['puts']:
            self.write(
                row['key'], base64.b64decode(row['value']), row.get('lease', 0)
            )
        for key in body['deletes']:
            self.remove(key)
        return 200, {'revision': self.revision}

    def _grant(self, ttl: str) -> tuple[int, dict[str, object]]:
        ttl_ms = max(LEAST_TTL_MS, float(ttl.removesuffix('ms')))
        lease = next(self.lease_ids)
        now = asyncio.get_running_loop().time()
        self.leases[lease] = (ttl_ms, now + ttl_ms / 1000)
        return 200, {'lease': lease, 'ttl_time': f'{ttl_ms:.0f}ms'}

    def _keep(self, lease: int) -> tuple[int, dict[str, object]]:
        if lease not in self.leases:
            return 404, {}
        ttl_ms, _ = self.leases[lease]
        now = asyncio.get_running_loop().time()
        self.leases[lease] = (ttl_ms, now + ttl_ms / 1000)
        return 200, {'ttl_time': f'{ttl_ms:.0f}ms'}

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item['lease'] == lease:
                self.remove(key)

    def _record(self, event: dict[str, object]) -> None:
        self.history.append(event)
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
