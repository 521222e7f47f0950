"""Call the store of the platform over HTTP/1.1."""

import asyncio
import base64
from collections import Counter
from collections.abc import Callable
from urllib.parse import quote

import httptools
import msgspec

from jasmineramp.clock import MILLIS_PER_SECOND
from jasmineramp.ids import Revision
from jasmineramp.mesh.receive_limits import (
    MEBIBYTE,
    STORE_REPLY_VALUES,
    MessageBuffer,
)
from jasmineramp.mesh.store import (
    StoreItem,
    StoreOutcome,
    StoreReply,
    StoreWrite,
)
from jasmineramp.mesh.store_revisions import era_of, number_of, parse_era
from jasmineramp.platform.store_replies import (
    Converter,
    WireResponse,
    convert_events,
    convert_item,
    convert_list,
    convert_write,
    read_reply,
)
from jasmineramp.platform.wire_values import write_duration_ms

CONNECT_TIMEOUT_S = 0.5
# The store answers within milliseconds, or 250 ms when it is slow.
ANSWER_TIMEOUT_S = 0.9
WATCH_MARGIN_S = 1.0
MAX_IDLE_CONNECTIONS = 4
# Rises by one each time the store returns from an older copy.
_ERA_HEADER = b'store-era'

_OTHER_ERA = 'the store returned from an older copy'
_encoder = msgspec.json.Encoder()


class _NotSentError(Exception):
    """Report that a call was not sent."""


class _AnswerLostError(Exception):
    """Report that a call was sent but its answer was lost."""


class _StoreConnection(asyncio.Protocol):
    """Exchange one call at a time on a connection to the store."""

    def __init__(self, max_reply_bytes: int) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.future: asyncio.Future[WireResponse] | None = None
        self.era: int | None = None
        self.buffer = MessageBuffer(max_reply_bytes)
        self.is_open = False
        self.keep_alive = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.is_open = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call whose response is pending."""
        self.is_open = False
        # Not kept until the garbage collector finds connection and parser.
        self.buffer.start_message()
        if self.future is not None and not self.future.done():
            self.future.set_exception(
                _AnswerLostError(f'connection lost: {exc}')
            )

    def send(self, data: bytes) -> 'asyncio.Future[WireResponse]':
        """Send a call; return the future of its response."""
        self.future = asyncio.get_running_loop().create_future()
        self.buffer.start_exchange()
        self.transport.write(data)
        return self.future

    def data_received(self, data: bytes) -> None:
        """Feed the parser; abort on a malformed or oversized response."""
        if self.future is None or self.future.done():
            self._abort('unsolicited bytes')
            return
        self.buffer.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self._abort('malformed response')
            return
        excess = self.buffer.find_excess()
        if excess is not None:
            self._abort(f'response was cut off: {excess}')

    def on_message_begin(self) -> None:
        """Start a response; one without a call ends the connection."""
        if self.future is None or self.future.done():
            self.keep_alive = False
            self.transport.abort()
        self.buffer.start_message()
        self.era = None

    def on_header(self, name: bytes, value: bytes) -> None:
        """Read the era from its header."""
        if name.lower() == _ERA_HEADER and value.isdigit():
            self.era = parse_era(value)

    def on_body(self, body: bytes) -> None:
        """Collect a chunk of the body."""
        self.buffer.add_body(body)

    def on_message_complete(self) -> None:
        """Complete the call, unless the response is informational (1xx)."""
        status = self.parser.get_status_code()
        if status < 200:  # noqa: PLR2004
            return
        self.keep_alive = self.parser.should_keep_alive()
        if self.future is not None and not self.future.done():
            self.future.set_result(
                WireResponse(status, self.buffer.take_body(), self.era)
            )

    def _abort(self, reason: str) -> None:
        self.keep_alive = False
        self.transport.abort()
        if self.future is not None and not self.future.done():
            self.future.set_exception(_AnswerLostError(reason))


class StoreClient:
    """Call the store; failures are outcomes of replies, never exceptions.

    `counts` holds the number of calls by kind and outcome, `era` the highest
    era that a response or another node has told.
    """

    def __init__(
        self, host: str, port: int, value_bytes: int = MEBIBYTE
    ) -> None:
        self.host = host
        self.port = port
        self.max_reply_bytes = STORE_REPLY_VALUES * value_bytes
        self.idle: list[_StoreConnection] = []
        self.watching: set[_StoreConnection] = set()
        self.counts: Counter[tuple[str, str]] = Counter()
        self.era = 0
        self.knows_era = False
        self.on_new_era: Callable[[], None] = _ignore_era

    async def get(self, key: str) -> StoreReply:
        """Return the item of a key, read linearizably."""
        path = f'/kv-key?key={quote(key, safe="")}'
        return await self._call('get', 'GET', path, convert=convert_item)

    async def list_items(self, prefix: str, *, stale: bool) -> StoreReply:
        """Return all items under a prefix; a stale list may lag by seconds."""
        prefix = quote(prefix, safe='')
        base = f'/kv-range?prefix={prefix}&serializable={int(stale)}'
        items: list[StoreItem] = []
        reply = await self._call('list', 'GET', base, convert=convert_list)
        era = era_of(reply.revision)
        while reply.has_more and reply.items:
            items.extend(reply.items)
            after = quote(reply.items[-1].key, safe='')
            reply = await self._call(
                'list', 'GET', f'{base}&after={after}', convert=convert_list
            )
        if reply.outcome is not StoreOutcome.done:
            return reply
        if era_of(reply.revision) != era:
            return StoreReply(StoreOutcome.not_done, detail=_OTHER_ERA)
        items.extend(reply.items)
        return StoreReply(StoreOutcome.done, reply.revision, tuple(items))

    async def watch(
        self, prefix: str, after: Revision, wait_ms: float
    ) -> StoreReply:
        """Return changes after a revision, waiting at most wait_ms for one."""
        if era_of(after) < self.era:
            return StoreReply(StoreOutcome.compacted, detail=_OTHER_ERA)
        path = (
            f'/kv-watch?prefix={quote(prefix, safe="")}'
            f'&after={number_of(after)}&waitMs={int(wait_ms)}'
        )
        watch_timeout_s = wait_ms / MILLIS_PER_SECOND + WATCH_MARGIN_S
        reply = await self._call(
            'watch',
            'GET',
            path,
            convert=convert_events,
            timeout_s=watch_timeout_s,
        )
        if era_of(after) < self.era:
            # Changes before the events may be missing.
            return StoreReply(StoreOutcome.compacted, detail=_OTHER_ERA)
        return reply

    async def put(self, *writes: StoreWrite) -> StoreReply:
        """Write all keys if all their revisions are as expected.

        The revision of the reply is that of the last write.
        """
        if any(
            each.expected and era_of(each.expected) < self.era
            for each in writes
        ):
            return StoreReply(StoreOutcome.conflict, detail=_OTHER_ERA)
        body = {
            'precondition': [
                {'key': each.key, 'revision': number_of(each.expected)}
                for each in writes
                if each.expected is not None
            ],
            'puts': [
                {
                    'key': each.key,
                    'value': base64.b64encode(each.value).decode(),
                    'lease': each.lease,
                }
                for each in writes
            ],
            'deletes': [],
        }
        return await self._call('txn', 'POST', '/kv-txn', body)

    async def delete(self, key: str, expected: Revision) -> StoreReply:
        """Delete a key if its revision is the expected one."""
        if era_of(expected) < self.era:
            return StoreReply(StoreOutcome.conflict, detail=_OTHER_ERA)
        body = {
            'precondition': [{'key': key, 'revision': number_of(expected)}],
            'puts': [],
            'deletes': [key],
        }
        return await self._call('txn', 'POST', '/kv-txn', body)

    async def grant_lease(self, ttl_ms: float) -> StoreReply:
        """Create a lease."""
        body = {'ttl_time': write_duration_ms(ttl_ms)}
        return await self._call('lease', 'POST', '/kv-lease', body)

    async def renew_lease(self, lease: int) -> StoreReply:
        """Renew a lease."""
        return await self._call('keep', 'POST', f'/kv-keep/{lease}')

    async def revoke_lease(self, lease: int) -> StoreReply:
        """End a lease and delete its keys."""
        return await self._call('end', 'DELETE', f'/kv-lease-end/{lease}')

    def observe_era(self, era: int) -> None:
        """Note an era; end the watches of an earlier one."""
        is_new = self.knows_era and era > self.era
        self.era = max(era, self.era)
        self.knows_era = True
        if is_new:
            # They may wait for a revision that the store no longer has.
            for connection in self.watching:
                connection.transport.abort()
            self.on_new_era()

    def close(self) -> None:
        """Close the idle connections."""
        while self.idle:
            self.idle.pop().transport.close()

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        body: object = None,
        *,
        convert: Converter | None = None,
        timeout_s: float | None = None,
    ) -> StoreReply:
        """Send and count a call; a read without an answer is not_done."""
        try:
            response = await self._exchange(
                method, path, body, timeout_s or ANSWER_TIMEOUT_S
            )
        except _NotSentError as error:
            reply = StoreReply(StoreOutcome.not_done, detail=str(error))
        except _AnswerLostError as error:
            lost_outcome = (
                StoreOutcome.not_done
                if method == 'GET'
                else StoreOutcome.unknown
            )
            reply = StoreReply(lost_outcome, detail=str(error))
        else:
            era = self._era_of_response(response)
            reply = read_reply(response, era, convert or convert_write)
        self.counts[kind, reply.outcome.value] += 1
        return reply

    def _era_of_response(self, response: WireResponse) -> int:
        if response.era is None:
            return self.era
        self.observe_era(response.era)
        return response.era

    async def _exchange(
        self, method: str, path: str, body: object, timeout_s: float
    ) -> WireResponse:
        connection = self._take_idle() or await self._connect()
        content = b'' if body is None else _encoder.encode(body)
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n'
            f'Content-Type: application/json\r\n'
            f'Content-Length: {len(content)}\r\n\r\n'
        )
        reply = connection.send(head.encode() + content)
        if timeout_s > ANSWER_TIMEOUT_S:
            self.watching.add(connection)
        try:
            async with asyncio.timeout(timeout_s):
                response = await reply
        except TimeoutError:
            # The answer may still arrive, so the connection can't be reused.
            connection.transport.abort()
            raise _AnswerLostError(f'no answer in {timeout_s:.1f} s') from None
        except asyncio.CancelledError:
            connection.transport.abort()
            raise
        finally:
            self.watching.discard(connection)
        if connection.keep_alive and len(self.idle) < MAX_IDLE_CONNECTIONS:
            self.idle.append(connection)
        else:
            connection.transport.close()
        return response

    def _take_idle(self) -> _StoreConnection | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.is_open and not connection.transport.is_closing():
                return connection
        return None

    async def _connect(self) -> _StoreConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: _StoreConnection(self.max_reply_bytes),
                    self.host,
                    self.port,
                )
        except (OSError, TimeoutError) as error:
            raise _NotSentError(f'cannot connect: {error!r}') from None
        return connection


def _ignore_era() -> None:
    """Stand in for the action on a new era until one is set."""
