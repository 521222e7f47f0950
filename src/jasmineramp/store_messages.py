"""Define the operations on the platform's store and their answers."""

import enum

import msgspec

from jasmineramp.effects import Effect
from jasmineramp.events import Event


class Outcome(enum.Enum):
    """State whether a store operation took effect.

    After `unknown` it may or may not have taken effect; after `not_done` it
    certainly has not.
    """

    done = 'done'
    conflict = 'conflict'
    not_done = 'not_done'
    unknown = 'unknown'


class Role(enum.Enum):
    """Name the purpose of a store call, for counts and call budgets."""

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

    If a lease is named, the store deletes the key when the lease expires.
    """

    revision: int
    body: bytes
    lease: str = ''


class Delete(Operation, frozen=True, tag='delete'):
    """Delete a key if its revision matches."""

    revision: int


class Watch(Operation, frozen=True, tag='watch'):
    """Wait up to wait_ms for a revision above the given one."""

    revision: int
    wait_ms: float = 30_000


class GrantLease(Operation, frozen=True, tag='grant'):
    """Create the lease named by the key; ttl_ms is its time to live."""

    ttl_ms: float


class KeepAlive(Operation, frozen=True, tag='keep_alive'):
    """Renew the lease named by the key."""


class RevokeLease(Operation, frozen=True, tag='revoke'):
    """Delete the lease named by the key and all keys attached to it."""


class StoreAnswer(msgspec.Struct, frozen=True):
    """Hold the answer to an operation; revision 0 means an absent key."""

    outcome: Outcome
    revision: int = 0
    body: bytes | None = None
    detail: str = ''


class StoreRequest(Effect, frozen=True):
    """Request a store operation; the tag identifies its answer."""

    role: Role
    tag: str
    operation: Operation


class StoreAnswered(Event, frozen=True):
    """Report the answer to the store request with the same tag."""

    role: Role
    tag: str
    operation: Operation
    answer: StoreAnswer
