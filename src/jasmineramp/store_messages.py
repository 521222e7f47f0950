"""Define the operations of the platform store and their answers."""

import enum

import msgspec

from jasmineramp.effects import Effect
from jasmineramp.events import Event


class Outcome(enum.Enum):
    """Tell what is known about a store operation after its answer."""

    done = 'done'
    conflict = 'conflict'
    not_done = 'not_done'
    unknown = 'unknown'


class Role(enum.Enum):
    """Name the purpose of a store call, for counting and budgets."""

    configuration = 'configuration'
    acknowledgement = 'acknowledgement'
    claim = 'claim'
    rate_slot = 'rate_slot'
    seed = 'seed'
    operator = 'operator'


class Operation(msgspec.Struct, frozen=True):
    """Base of the store operations."""

    key: str


class Get(Operation, frozen=True, tag='get'):
    """Read a key."""


class CompareAndSwap(Operation, frozen=True, tag='cas'):
    """Write a key if its revision matches; revision 0 means absent.

    The key is deleted by the store once the lease, if any, has lapsed.
    """

    revision: int
    body: bytes
    lease: str = ''


class Delete(Operation, frozen=True, tag='delete'):
    """Delete a key if its revision matches."""

    revision: int


class Watch(Operation, frozen=True, tag='watch'):
    """Wait for a revision above the given one, at most wait_ms."""

    revision: int
    wait_ms: float = 30_000


class GrantLease(Operation, frozen=True, tag='grant'):
    """Create a lease that the key names; time to live in milliseconds."""

    ttl_ms: float


class KeepAlive(Operation, frozen=True, tag='keep_alive'):
    """Renew the lease that the key names."""


class RevokeLease(Operation, frozen=True, tag='revoke'):
    """Delete the lease that the key names and the keys bound to it."""


class StoreAnswer(msgspec.Struct, frozen=True):
    """Answer an operation; the revision is 0 when the key is absent."""

    outcome: Outcome
    revision: int = 0
    body: bytes | None = None
    detail: str = ''


class StoreRequest(Effect, frozen=True):
    """Ask the actor to run a store operation."""

    role: Role
    tag: str
    operation: Operation


class StoreAnswered(Event, frozen=True):
    """Report the answer to a store request with its tag."""

    role: Role
    tag: str
    operation: Operation
    answer: StoreAnswer
