"""Parse the requests of one caller, bounded in size."""

import enum
from http import HTTPStatus
from typing import NamedTuple

import httptools
import msgspec

from jasmineramp.mesh.caller_causes import Cause
from jasmineramp.mesh.calls import CallerRequest, Headers
from jasmineramp.mesh.receive_limits import (
    KIBIBYTE,
    MAX_BODY_BYTES,
    Bound,
    MessageBuffer,
)
from jasmineramp.mesh.route_table import CallerLimits

# The parser gets no more at once, because it can't be stopped: the headers of
# 256 KiB, which one read may return, take 12 MiB as objects.
PIECE_BYTES = 16 * KIBIBYTE
# A tuple, two byte strings and an entry of a list, without their content.
HEADER_MEMORY_BYTES = 160
# A colon, a space and the end of the line.
HEADER_FRAMING_BYTES = 4
# The request, its target and its place in a queue.
REQUEST_MEMORY_BYTES = 512
# Clients may send an empty line behind a body, which HTTP/1.1 asks servers to
# ignore. The line behind each request is counted with the bytes before.
MAX_EMPTY_LINE_BYTES = KIBIBYTE


class Stage(enum.Enum):
    """Name the part of a request that is being received."""

    between = 'between'
    head = 'head'
    body = 'body'


# Looking up a member of an enumeration takes six times as long.
BETWEEN = Stage.between
HEAD = Stage.head
BODY = Stage.body


class Violation(NamedTuple):
    """Hold the status that refuses a request, and why."""

    status: HTTPStatus
    cause: Cause


class ParsedRequest(msgspec.Struct, gc=False):
    """Hold a complete request and the memory that it takes."""

    request: CallerRequest
    keep_alive: bool
    memory_bytes: int


_CONNECT = b'CONNECT'
_UPGRADE = b'upgrade'
_MALFORMED = Violation(HTTPStatus.BAD_REQUEST, Cause.malformed)
_LONG_HEAD = Violation(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, Cause.head)
_LONG_BODY = Violation(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, Cause.body)
_EMPTY_LINES = Violation(HTTPStatus.BAD_REQUEST, Cause.empty_lines)


class RequestReader:
    """Parse requests; the complete ones are collected in `complete`."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.limits = CallerLimits()
        self.buffer = MessageBuffer(MAX_BODY_BYTES)
        self.complete: list[ParsedRequest] = []
        self.begun_count = 0
        self.wants_continue = False
        self.stage = BETWEEN
        self.empty_line_bytes = 0
        self.violation: Violation | None = None
        # Nothing can be parsed behind a CONNECT request.
        self.is_finished = False
        # The parser ends a request that offers another protocol with its head.
        self.offers_upgrade = False
        self.headers: Headers = []
        self.piece_bytes = 0
        self._reset()

    def feed(
        self, piece: bytes | memoryview, limits: CallerLimits
    ) -> Violation | None:
        """Parse a piece; return why the caller is to be refused, if it is."""
        self.limits = limits
        begun_count = self.begun_count
        size = self.piece_bytes = len(piece)
        if self.stage is HEAD:
            self.head_bytes += size
        elif self.stage is BODY:
            self.buffer.received_bytes += size
        else:
            self.empty_line_bytes += size
        try:
            self._parse(piece)
        except httptools.HttpParserUpgrade:
            return self._end_with_connect()
        except httptools.HttpParserError:
            return _MALFORMED
        if begun_count != self.begun_count:
            self.empty_line_bytes = 0
        elif self.empty_line_bytes > MAX_EMPTY_LINE_BYTES:
            return _EMPTY_LINES
        if self.violation is None and self.stage is not BETWEEN:
            self.violation = self._find_violation()
        return self.violation

    def memory_bytes(self) -> int:
        """Return the memory that the unfinished request takes."""
        if self.stage is BETWEEN:
            return 0
        return (
            self.head_bytes
            + HEADER_MEMORY_BYTES * len(self.headers)
            + self.buffer.body_bytes
        )

    def discard(self) -> None:
        """Free the unfinished request; nothing may be parsed afterwards."""
        self.stage = BETWEEN
        self.buffer.start_exchange()
        self._reset()

    def close(self) -> None:
        """Free all memory.

        Breaks the reference cycle with the parser, so that the memory is
        freed without the garbage collector; most connections serve only one
        request.
        """
        self.discard()
        self.complete.clear()
        self.parser = None

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset()
        self.head_bytes = self.piece_bytes
        self.buffer.start_exchange()
        self.begun_count += 1
        self.stage = HEAD

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; ignore a trailer, which is none."""
        if self.stage is BODY:
            return
        self.headers.append((name, value))
        if name.lower() == b'expect' and value.lower() == b'100-continue':
            self.wants_continue = True

    def on_headers_complete(self) -> None:
        """Start reading the body."""
        self.stage = BODY
        if self.head_bytes > self.limits.max_header_bytes:
            self.head_bytes = len(self.target) + sum(
                len(name) + len(value) + HEADER_FRAMING_BYTES
                for name, value in self.headers
            )
        self.offers_upgrade = (
            self.parser.should_upgrade()
            and self.parser.get_method() != _CONNECT
        )

    def on_body(self, body: bytes) -> None:
        """Collect a chunk of the body."""
        self.buffer.add_body(body)

    def on_message_complete(self) -> None:
        """Collect the request unless it exceeds a limit."""
        if self.offers_upgrade:
            return
        self.stage = BETWEEN
        self.empty_line_bytes = 0
        self.wants_continue = False
        buffer = self.buffer
        if self.violation is None:
            self.violation = self._find_violation()
        if self.violation is not None:
            # Neither this request nor one behind it may run.
            buffer.start_exchange()
            return
        memory_bytes = (
            REQUEST_MEMORY_BYTES
            + self.head_bytes
            + HEADER_MEMORY_BYTES * len(self.headers)
            + buffer.body_bytes
        )
        request = CallerRequest(
            self.parser.get_method(),
            self.target,
            self.headers,
            buffer.take_body(),
        )
        self.complete.append(
            ParsedRequest(
                request, self.parser.should_keep_alive(), memory_bytes
            )
        )

    def _reset(self) -> None:
        self.target = b''
        self.headers = []
        # All pieces that hold a part of the head. They may also hold a part of
        # the request before, so this is counted anew if it exceeds the limit.
        self.head_bytes = 0

    def _find_violation(self) -> Violation | None:
        limits = self.limits
        surplus_bytes = PIECE_BYTES if self.stage is HEAD else 0
        if self.head_bytes > limits.max_header_bytes + surplus_bytes:
            return _LONG_HEAD
        if not self.buffer.body_bytes and not self.buffer.received_bytes:
            return None
        excess = self.buffer.find_excess()
        if excess is not None and excess.bound is Bound.head:
            return _LONG_HEAD
        if excess is not None or self.buffer.body_bytes > limits.max_body_bytes:
            return _LONG_BODY
        return None

    def _parse(self, piece: bytes | memoryview) -> None:
        """Parse a piece; decline the protocol upgrades that it offers.

        Raise HttpParserUpgrade behind a CONNECT request.
        """
        while True:
            try:
                self.parser.feed_data(piece)
            except httptools.HttpParserUpgrade as error:
                if not self.offers_upgrade:
                    raise
                piece = memoryview(piece)[error.args[0] :]
            else:
                return
            self._read_on_without_upgrade()
            self.piece_bytes = len(piece)

    def _read_on_without_upgrade(self) -> None:
        """Expect the body of a request whose upgrade is declined.

        A new parser gets the head without the offer, since the present one
        takes the body for the other protocol.
        """
        self.offers_upgrade = False
        version = self.parser.get_http_version().encode()
        lines = [
            b'%s %s HTTP/%s' % (self.parser.get_method(), self.target, version)
        ]
        lines += [
            b'%s: %s' % header
            for header in self.headers
            if header[0].lower() != _UPGRADE
        ]
        head = b'\r\n'.join((*lines, b'', b''))
        self.begun_count -= 1
        self.piece_bytes = len(head)
        self.parser = httptools.HttpRequestParser(self)
        self.parser.feed_data(head)

    def _end_with_connect(self) -> Violation | None:
        """Let a CONNECT request behave as the last one of its connection."""
        self.is_finished = True
        if self.violation is None and self.complete:
            self.complete[-1].keep_alive = False
            return None
        return self.violation or _MALFORMED
