"""Bound the calls of one node to the platform, per role."""

import collections
import enum
import random
from collections.abc import Mapping

import msgspec

from jasmineramp.clock import Millis, later
from jasmineramp.store_messages import Get, Operation, Outcome, Role, Watch

_SECOND_MS = 1000.0


class RoleLimit(msgspec.Struct, frozen=True):
    """Limit the calls of one role on one node.

    Rates are calls a second. The breaker opens after `trip_after` failures
    in a row; its waits grow from first_wait_ms to last_wait_ms. The first
    call after the start is delayed by up to start_spread_ms.
    """

    writes: float
    write_burst: float
    reads: float
    read_burst: float
    first_wait_ms: float
    last_wait_ms: float
    trip_after: int = 3
    start_spread_ms: float = 0


# Claims, configuration and acknowledgements come from a few nodes per failure
# domain, slots and seeds from every node: 1,500 nodes with 0.1 writes a second
# make 150 of the several hundred that the platform takes.
DEFAULT_LIMITS: dict[Role, RoleLimit] = {
    # A node may own two partitions, each with ten log writes and renewals.
    Role.claim: RoleLimit(24, 12, 300, 64, 250, 2000),
    Role.configuration: RoleLimit(2, 4, 5, 10, 250, 2000),
    Role.acknowledgement: RoleLimit(2, 4, 5, 10, 500, 4000),
    Role.rate_slot: RoleLimit(
        0.1, 2, 0.5, 5, 10_000, 60_000, trip_after=1, start_spread_ms=10_000
    ),
    Role.seed: RoleLimit(
        0.1, 2, 0.5, 2, 10_000, 60_000, trip_after=1, start_spread_ms=5000
    ),
    Role.operator: RoleLimit(5, 10, 50, 50, 250, 1000),
}


# Each node makes two writes for its rate slot when a whole fleet starts.
START_SPREAD_PER_NODE_MS = 7


class BreakerState(enum.Enum):
    """Name the states of a circuit breaker."""

    closed = 'closed'
    open = 'open'
    probing = 'probing'


class _Bucket:
    """Hold the tokens of one kind of call."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.filled_at = Millis(0)

    def wait(self, now: Millis) -> float:
        """Return the milliseconds until a token is there."""
        elapsed = max(now - self.filled_at, 0) / _SECOND_MS
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        self.filled_at = now
        return max(1 - self.tokens, 0) / self.rate * _SECOND_MS

    def drain(self, now: Millis) -> None:
        """Take all tokens away."""
        self.tokens = 0
        self.filled_at = now


class _RoleBudget:
    """Hold the buckets and the breaker of one role."""

    def __init__(self, limit: RoleLimit, source: random.Random) -> None:
        self.limit = limit
        self.random = source
        self.write_bucket = _Bucket(limit.writes, limit.write_burst)
        self.read_bucket = _Bucket(limit.reads, limit.read_burst)
        self.state = BreakerState.closed
        self.failures = 0
        self.trips = 0
        self.due: Millis | None = None

    def admit(self, is_read: bool, nodes: int | None, now: Millis) -> float:
        """Return the wait in milliseconds; 0 counts the call as sent."""
        if self.due is None:
            spread = self.limit.start_spread_ms
            if nodes is not None:
                spread = min(spread, nodes * START_SPREAD_PER_NODE_MS)
            self.due = later(now, self.random.uniform(0, spread))
        if now < self.due:
            return self.due - now
        bucket = self.read_bucket if is_read else self.write_bucket
        wait = bucket.wait(now)
        if wait:
            return wait
        if self.state is not BreakerState.closed:
            # One call probes the platform, the others wait for its outcome;
            # not for long, since a watch may be answered late.
            self.state = BreakerState.probing
            self.due = later(now, self.limit.last_wait_ms)
        bucket.tokens -= 1
        return 0

    def succeeded(self, now: Millis) -> None:
        """Close the breaker; the bursts of the fleet must not coincide."""
        if self.state is not BreakerState.closed:
            self.state = BreakerState.closed
            self.due = now
            self.write_bucket.drain(now)
            self.read_bucket.drain(now)
        self.failures = 0
        self.trips = 0

    def failed(self, now: Millis) -> None:
        """Count a failure and open the breaker when it is due."""
        self.failures += 1
        if self.state is BreakerState.open:
            return
        probing = self.state is BreakerState.probing
        if not probing and self.failures < self.limit.trip_after:
            return
        longest = min(
            self.limit.first_wait_ms * 2**self.trips, self.limit.last_wait_ms
        )
        self.trips = min(self.trips + 1, 16)
        self.state = BreakerState.open
        self.due = later(now, self.random.uniform(longest / 2, longest))


class StoreBudget:
    """Decide which store calls of a node may be sent, and count them.

    The counts have the role, the operation and the outcome as their key;
    calls that were not admitted count as `refused`.
    """

    def __init__(
        self, seed: int, limits: Mapping[Role, RoleLimit] | None = None
    ) -> None:
        source = random.Random(seed)
        # The size of the fleet, once it is known, shortens the start.
        self.nodes: int | None = None
        self.roles = {
            role: _RoleBudget(limit, source)
            for role, limit in (limits or DEFAULT_LIMITS).items()
        }
        self.counts: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )

    def admit(self, role: Role, operation: Operation, now: Millis) -> float:
        """Return 0 if the call may be sent now, else the wait in ms.

        Every call that was admitted must be reported as finished.
        """
        wait = self.roles[role].admit(_is_read(operation), self.nodes, now)
        if wait:
            self._count(role, operation, 'refused')
        return wait

    def finished(
        self, role: Role, operation: Operation, outcome: Outcome, now: Millis
    ) -> None:
        """Note the outcome of a call that was admitted."""
        self._count(role, operation, outcome.value)
        if outcome in {Outcome.done, Outcome.conflict}:
            self.roles[role].succeeded(now)
        else:
            self.roles[role].failed(now)

    def state(self, role: Role) -> BreakerState:
        """Return the state of a role's breaker."""
        return self.roles[role].state

    def _count(self, role: Role, operation: Operation, result: str) -> None:
        self.counts[role.value, type(operation).__name__, result] += 1


def _is_read(operation: Operation) -> bool:
    return isinstance(operation, Get | Watch)
