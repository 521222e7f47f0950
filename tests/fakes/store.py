"""Hold an in-memory platform store with fault controls."""

import collections
from typing import NamedTuple

from jasmineramp.clock import Clock, Millis
from jasmineramp.store_messages import (
    CompareAndSwap,
    Delete,
    Get,
    GrantLease,
    KeepAlive,
    Operation,
    Outcome,
    RevokeLease,
    StoreAnswer,
    Watch,
)

VALUE_LIMIT = 1_000_000
READS = (Get, Watch)
NEVER = Millis(float('inf'))


class Entry(NamedTuple):
    """Hold the value of a key."""

    revision: int
    body: bytes
    lease: str = ''


class Lease(NamedTuple):
    """Hold the duration and expiry time of a lease in milliseconds."""

    ttl: float
    expires: Millis


class StoreState:
    """Apply operations in order at given times, without faults."""

    def __init__(self) -> None:
        self.revision = 0
        self.entries: dict[str, Entry] = {}
        self.leases: dict[str, Lease] = {}
        self.next_expiry = NEVER

    def apply(self, operation: Operation, now: Millis) -> StoreAnswer:
        """Apply an operation and return its answer; a watch doesn't wait."""
        self.expire(now)
        match operation:
            case Get() | Watch():
                return self._read(operation.key)
            case CompareAndSwap():
                return self._swap(operation)
            case Delete():
                return self._delete(operation)
            case GrantLease():
                return self._grant(operation, now)
            case KeepAlive():
                return self._keep_alive(operation.key, now)
            case RevokeLease():
                known = operation.key in self.leases
                self._drop(operation.key)
                return StoreAnswer(Outcome.done if known else Outcome.conflict)
        return StoreAnswer(Outcome.not_done, detail='unknown operation')

    def expire(self, now: Millis) -> None:
        """Delete expired leases and their keys."""
        if now < self.next_expiry:
            return
        for name, lease in list(self.leases.items()):
            if lease.expires <= now:
                self._drop(name)
        self._note_expiry()

    def revision_of(self, key: str) -> int:
        """Return the revision of a key, 0 when it is absent."""
        entry = self.entries.get(key)
        return entry.revision if entry else 0

    def _read(self, key: str) -> StoreAnswer:
        entry = self.entries.get(key)
        if entry is None:
            return StoreAnswer(Outcome.done)
        return StoreAnswer(Outcome.done, entry.revision, entry.body)

    def _swap(self, operation: CompareAndSwap) -> StoreAnswer:
        current = self.revision_of(operation.key)
        if len(operation.body) > VALUE_LIMIT:
            return StoreAnswer(Outcome.not_done, detail='value over 1 MB')
        if current != operation.revision:
            return StoreAnswer(Outcome.conflict, current)
        if operation.lease and operation.lease not in self.leases:
            return StoreAnswer(Outcome.not_done, detail='lease is absent')
        self.revision += 1
        self.entries[operation.key] = Entry(
            self.revision, operation.body, operation.lease
        )
        return StoreAnswer(Outcome.done, self.revision)

    def _delete(self, operation: Delete) -> StoreAnswer:
        current = self.revision_of(operation.key)
        if current == 0 or current != operation.revision:
            return StoreAnswer(Outcome.conflict, current)
        self.revision += 1
        self.entries.pop(operation.key)
        return StoreAnswer(Outcome.done)

    def _grant(self, operation: GrantLease, now: Millis) -> StoreAnswer:
        if operation.key in self.leases:
            return StoreAnswer(Outcome.conflict)
        self.leases[operation.key] = Lease(
            operation.ttl_ms, Millis(now + operation.ttl_ms)
        )
        self._note_expiry()
        return StoreAnswer(Outcome.done)

    def _keep_alive(self, name: str, now: Millis) -> StoreAnswer:
        lease = self.leases.get(name)
        if lease is None:
            return StoreAnswer(Outcome.conflict)
        self.leases[name] = lease._replace(expires=Millis(now + lease.ttl))
        return StoreAnswer(Outcome.done)

    def _drop(self, name: str) -> None:
        self.leases.pop(name, None)
        for key, entry in list(self.entries.items()):
            if entry.lease == name:
                self.revision += 1
                self.entries.pop(key)

    def _note_expiry(self) -> None:
        self.next_expiry = min(
            (lease.expires for lease in self.leases.values()), default=NEVER
        )


class Faults:
    """Hold the faults to simulate; each lost write lowers its count."""

    def __init__(self) -> None:
        self.down = False
        self.delay_ms: float = 0
        self.lose_answers = 0
        self.lose_requests = 0


class FakeStore:
    """Run operations in memory under a clock that the test drives.

    While it is down every operation returns not_done. A lost answer follows a
    write that took effect; a lost request is a write that had no effect.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.state = StoreState()
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()

    def run(self, operation: Operation, role: object = None) -> StoreAnswer:
        """Run an operation and return its answer."""
        self.calls[type(operation).__name__] += 1
        if self.faults.down:
            return StoreAnswer(Outcome.not_done, detail='store is down')
        if isinstance(operation, READS):
            return self.state.apply(operation, self.clock.now())
        if self.faults.lose_requests:
            self.faults.lose_requests -= 1
            return StoreAnswer(Outcome.unknown, detail='request lost')
        answer = self.state.apply(operation, self.clock.now())
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return StoreAnswer(Outcome.unknown, detail='answer lost')
        return answer
