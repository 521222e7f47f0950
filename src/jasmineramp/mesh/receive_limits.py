"""Bound the memory that messages take while they are received."""

import contextlib
import enum
import resource
from collections import deque
from collections.abc import Callable

import msgspec

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE
# Status line or request line, headers, trailers and interim responses.
MAX_HEAD_BYTES = 64 * KIBIBYTE
# A chunk has five bytes of framing or more, so longer bodies need chunks of
# about that size: each chunk costs processor time.
MAX_FRAMING_PER_BODY_BYTE = 1
# Every node accepts frames with bodies of this size from its peers.
MAX_BODY_BYTES = 12 * MEBIBYTE
# A body exists four times while a node encodes it into a frame: as received,
# as a whole, encoded, and in the write buffer.
BODY_MEMORY_FRACTION = 1 / 16
TOTAL_MEMORY_FRACTION = 1 / 8
# Smaller bodies are received at any time.
SMALL_BODY_BYTES = 64 * KIBIBYTE
# Reserved in advance for a body of unknown length.
RESERVATION_STEP_BYTES = 256 * KIBIBYTE
DEFAULT_DESCRIPTORS = 4_096
DEFAULT_MEMORY_BYTES = 200 * MEBIBYTE
# A page of items holds about as many bytes as one value; Base64 and JSON add
# less than half.
STORE_REPLY_VALUES = 4


# Of the budget: heartbeats, readiness checks and scrapes are small.
INTERNAL_BUDGET_FRACTION = 1 / 8
# Descriptors for peers, the store, the upstream and internal addresses. Some
# hundred suffice for the largest known fleet.
RESERVED_DESCRIPTOR_FRACTION = 1 / 4
MIN_RESERVED_DESCRIPTORS = 64
# Of the reserved ones, for each internal address.
INTERNAL_DESCRIPTOR_FRACTION = 1 / 8
# Of the reserved ones, for connections that may come from other nodes.
NEW_SESSION_FRACTION = 1 / 2


class Bound(enum.Enum):
    """Name the bound that a message exceeds."""

    head = 'head'
    body = 'body'
    memory = 'memory'


class Excess(msgspec.Struct, frozen=True, gc=False):
    """Hold an exceeded bound; the figure and its limit are bytes."""

    bound: Bound
    figure: int
    limit: int

    def __str__(self) -> str:
        return f'{self.bound.value} of {self.figure} bytes exceeds {self.limit}'


class ReceiveLimits(msgspec.Struct, frozen=True):
    """Hold the limits of a node in bytes.

    `body_bytes` limits one body, `total_bytes` all bodies together that are
    not small.
    """

    body_bytes: int
    total_bytes: int


def limits_for(memory_bytes: int) -> ReceiveLimits:
    """Return the limits of a node that may use this much memory."""
    return ReceiveLimits(
        min(MAX_BODY_BYTES, int(memory_bytes * BODY_MEMORY_FRACTION)),
        int(memory_bytes * TOTAL_MEMORY_FRACTION),
    )


class ConnectionLimits(msgspec.Struct, frozen=True):
    """Hold the numbers of connections to the address for callers and others.

    `new_sessions` limits those of other nodes before their first frame.
    """

    callers: int
    internal: int
    new_sessions: int


def find_max_descriptors(configured: int) -> int:
    """Return how many descriptors the process may open."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        allowed = configured or DEFAULT_DESCRIPTORS
    return min(allowed, configured or allowed)


def connection_limits_for(max_descriptors: int) -> ConnectionLimits:
    """Return the limits of a process that may open this many descriptors."""
    reserved = max(
        MIN_RESERVED_DESCRIPTORS,
        int(max_descriptors * RESERVED_DESCRIPTOR_FRACTION),
    )
    return ConnectionLimits(
        max(1, max_descriptors - reserved),
        int(reserved * INTERNAL_DESCRIPTOR_FRACTION),
        int(reserved * NEW_SESSION_FRACTION),
    )


class MessageBuffer:
    """Collect the body of a message and count the bytes of an exchange.

    An exchange may have several messages, such as interim responses. Its
    limits apply to all of them together.
    """

    __slots__ = (
        'body_bytes',
        'content',
        'content_length',
        'max_body_bytes',
        'received_bytes',
    )

    def __init__(self, max_body_bytes: int) -> None:
        self.max_body_bytes = max_body_bytes
        self.start_exchange()

    def start_exchange(self) -> None:
        """Start to count."""
        self.received_bytes = 0
        self.body_bytes = 0
        self.start_message()

    def start_message(self) -> None:
        """Discard the body of the previous message."""
        self.content_length: int | None = None
        self.content: bytes | bytearray = b''

    def add_body(self, piece: bytes) -> None:
        """Append a piece of the body."""
        self.body_bytes += len(piece)
        if not self.content:
            self.content = piece
            return
        if isinstance(self.content, bytes):
            # A list of many tiny pieces would take far more than their bytes.
            self.content = bytearray(self.content)
        self.content += piece

    def take_body(self) -> bytes:
        """Return the body and discard it here."""
        content = bytes(self.content)
        self.content = b''
        return content

    def find_excess(self) -> Excess | None:
        """Return the exceeded bound, None if there is none."""
        framing_bytes = self.received_bytes - self.body_bytes
        if framing_bytes > MAX_HEAD_BYTES:
            limit = MAX_HEAD_BYTES + MAX_FRAMING_PER_BODY_BYTE * self.body_bytes
            if framing_bytes > limit:
                return Excess(Bound.head, framing_bytes, limit)
        body_bytes = max(self.body_bytes, self.content_length or 0)
        if body_bytes > self.max_body_bytes:
            return Excess(Bound.body, body_bytes, self.max_body_bytes)
        return None


class ReceiveBudget:
    """Share a number of bytes among the messages that take memory."""

    def __init__(self, total_bytes: int) -> None:
        self.total_bytes = total_bytes
        self.used_bytes = 0
        self.waiting: deque[Reservation] = deque()
        self.is_granting = False
        # Free memory that is of little use, until the given size is left.
        self.reclaimers: list[Callable[[int], None]] = []

    def try_reserve(self, size: int) -> bool:
        """Reserve bytes; return False if too few are left."""
        if not self.has_room(size):
            self.reclaim(size)
            if not self.has_room(size):
                return False
        self.used_bytes += size
        return True

    def has_room(self, size: int) -> bool:
        """Return whether this many bytes are left."""
        return self.used_bytes + size <= self.total_bytes

    def reclaim(self, size: int) -> None:
        """Free memory that is of little use, so that this much is left."""
        for reclaimer in self.reclaimers:
            reclaimer(size)

    def release(self, size: int) -> None:
        """Return bytes and grant waiting reservations in their order."""
        self.used_bytes -= size
        # A grant may reclaim memory, which releases bytes.
        if self.waiting and not self.is_granting:
            with contextlib.ExitStack() as stack:
                stack.callback(self._stop_granting)
                self.is_granting = True
                while self.waiting and self.waiting[0].try_grant():
                    self.waiting.popleft()

    def _stop_granting(self) -> None:
        self.is_granting = False


class Reservation:
    """Hold the bytes of the budget that one connection uses."""

    __slots__ = ('budget', 'on_granted', 'size', 'wanted_size')

    def __init__(self, budget: ReceiveBudget) -> None:
        self.budget = budget
        self.size = 0
        self.wanted_size = 0
        self.on_granted: Callable[[], None] | None = None

    def try_resize(self, size: int) -> bool:
        """Reserve this many bytes in all; return False if too few are left."""
        if size > self.size:
            if not self.budget.try_reserve(size - self.size):
                return False
            self.size = size
        elif size < self.size:
            excess = self.size - size
            self.size = size
            self.budget.release(excess)
        return True

    def resize(self, size: int) -> None:
        """Reserve this many bytes in all, also beyond the total."""
        budget = self.budget
        added_bytes = size - self.size
        self.size = size
        budget.used_bytes += added_bytes
        if added_bytes < 0 and budget.waiting:
            budget.release(0)

    def wait(self, size: int, on_granted: Callable[[], None]) -> None:
        """Call back once this many bytes in all are reserved."""
        self.wanted_size = size
        self.on_granted = on_granted
        self.budget.waiting.append(self)

    def try_grant(self) -> bool:
        """Grant a waiting reservation; return False if too few are left."""
        on_granted = self.on_granted
        if on_granted is None or not self.try_resize(self.wanted_size):
            return on_granted is None
        self.on_granted = None
        on_granted()
        return True

    def release(self) -> None:
        """Return all bytes and stop waiting."""
        was_waiting = self.on_granted is not None
        self.on_granted = None
        size = self.size
        self.size = 0
        if size or was_waiting:
            self.budget.release(size)
