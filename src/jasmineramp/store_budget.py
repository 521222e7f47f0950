"""Limit the calls of one node to the platform store, per role."""

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

    Rates are in calls per second. The circuit
    breaker opens after failure_threshold consecutive failures; its backoff
    grows from initial_backoff_ms to max_backoff_ms. The first call after the
    start is delayed by a random time of up to start_spread_ms.
    """

    writes_per_second: float
    write_burst: float
    reads_per_second: float
    read_burst: float
    initial_backoff_ms: float
    max_backoff_ms: float
    failure_threshold: int = 3
    start_spread_ms: float = 0


# A few nodes per failure domain call for claims, configuration and
# acknowledgements; every node calls for rate slots and seeds. 1,500 nodes with
# 0.1 writes per second each use 150 of the several hundred writes per second
# that the platform accepts.
DEFAULT_LIMITS: dict[Role, RoleLimit] = {
    # A node may own two partitions; each makes ten log writes per second
    # and lease renewals.
    Role.claim: RoleLimit(24, 12, 300, 64, 250, 2000),
    Role.configuration: RoleLimit(2, 4, 5, 10, 250, 2000),
    Role.acknowledgement: RoleLimit(2, 4, 5, 10, 500, 4000),
    Role.rate_slot: RoleLimit(
        0.1,
        2,
        0.5,
        5,
        10_000,
        60_000,
        failure_threshold=1,
        start_spread_ms=10_000,
    ),
    Role.seed: RoleLimit(
        0.1,
        2,
        0.5,
        2,
        10_000,
        60_000,
        failure_threshold=1,
        start_spread_ms=5000,
    ),
    Role.operator: RoleLimit(5, 10, 50, 50, 250, 1000),
}


# At the start of a fleet each node writes twice to obtain its rate slot, so
# the start is spread over a time proportional to the number of nodes.
START_SPREAD_PER_NODE_MS = 7


class BreakerState(enum.Enum):
    """Name the states of a circuit breaker."""

    closed = 'closed'
    open = 'open'
    probing = 'probing'


class _TokenBucket:
    """Limit one kind of call; holds up to `burst` tokens."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.refilled_at = Millis(0)

    def wait_ms(self, now: Millis) -> float:
        """Refill and return the milliseconds until a token is available."""
        elapsed = max(now - self.refilled_at, 0) / _SECOND_MS
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        self.refilled_at = now
        return max(1 - self.tokens, 0) / self.rate * _SECOND_MS

    def empty(self, now: Millis) -> None:
        """Remove all tokens."""
        self.tokens = 0
        self.refilled_at = now


class _RoleBudget:
    """Hold the buckets and the breaker of one role."""

    def __init__(self, limit: RoleLimit, rng: random.Random) -> None:
        self.limit = limit
        self.random = rng
        self.write_bucket = _TokenBucket(
            limit.writes_per_second, limit.write_burst
        )
        self.read_bucket = _TokenBucket(
            limit.reads_per_second, limit.read_burst
        )
        self.state = BreakerState.closed
        self.failures = 0
        self.consecutive_trips = 0
        self.next_call_at: Millis | None = None

    def admit(
        self, is_read: bool, fleet_size: int | None, now: Millis
    ) -> float:
        """Return the wait in ms, or consume a token and return 0."""
        if self.next_call_at is None:
            max_delay_ms = self.limit.start_spread_ms
            if fleet_size is not None:
                max_delay_ms = min(
                    max_delay_ms, fleet_size * START_SPREAD_PER_NODE_MS
                )
            self.next_call_at = later(now, self.random.uniform(0, max_delay_ms))
        if now < self.next_call_at:
            return self.next_call_at - now
        bucket = self.read_bucket if is_read else self.write_bucket
        wait_ms = bucket.wait_ms(now)
        if wait_ms:
            return wait_ms
        if self.state is not BreakerState.closed:
            # One call probes the platform and the others wait for its outcome.
            # The wait is bounded because a watch may take long to answer.
            self.state = BreakerState.probing
            self.next_call_at = later(now, self.limit.max_backoff_ms)
        bucket.tokens -= 1
        return 0

    def record_success(self, now: Millis) -> None:
        """Close the breaker.

        The buckets are emptied so that the nodes do not all send a burst
        when the platform recovers.
        """
        if self.state is not BreakerState.closed:
            self.state = BreakerState.closed
            self.next_call_at = now
            self.write_bucket.empty(now)
            self.read_bucket.empty(now)
        self.failures = 0
        self.consecutive_trips = 0

    def record_failure(self, now: Millis) -> None:
        """Count a failure and open the breaker at the threshold."""
        self.failures += 1
        if self.state is BreakerState.open:
            return
        probing = self.state is BreakerState.probing
        if not probing and self.failures < self.limit.failure_threshold:
            return
        max_wait_ms = min(
            self.limit.initial_backoff_ms * 2**self.consecutive_trips,
            self.limit.max_backoff_ms,
        )
        self.consecutive_trips = min(self.consecutive_trips + 1, 16)
        self.state = BreakerState.open
        self.next_call_at = later(
            now, self.random.uniform(max_wait_ms / 2, max_wait_ms)
        )


class StoreBudget:
    """Decide which store calls of a node may be sent, and count them.

    Counts are keyed by role, operation and outcome; calls that were not
    admitted are counted as `refused`.
    """

    def __init__(
        self, seed: int, limits: Mapping[Role, RoleLimit] | None = None
    ) -> None:
        rng = random.Random(seed)
        # The number of nodes in the fleet once known; a small fleet needs a
        # shorter start delay than start_spread_ms.
        self.fleet_size: int | None = None
        self.roles = {
            role: _RoleBudget(limit, rng)
            for role, limit in (limits or DEFAULT_LIMITS).items()
        }
        self.counts: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )

    def admit(self, role: Role, operation: Operation, now: Millis) -> float:
        """Return 0 if the call may be sent now, otherwise the wait in ms.

        The caller must pass the outcome of an admitted call to
        record_outcome.
        """
        wait_ms = self.roles[role].admit(
            _is_read(operation), self.fleet_size, now
        )
        if wait_ms:
            self._count(role, operation, 'refused')
        return wait_ms

    def record_outcome(
        self, role: Role, operation: Operation, outcome: Outcome, now: Millis
    ) -> None:
        """Record the outcome of an admitted call."""
        self._count(role, operation, outcome.value)
        if outcome in {Outcome.done, Outcome.conflict}:
            self.roles[role].record_success(now)
        else:
            self.roles[role].record_failure(now)

    def state(self, role: Role) -> BreakerState:
        """Return the circuit breaker state of a role."""
        return self.roles[role].state

    def _count(self, role: Role, operation: Operation, result: str) -> None:
        self.counts[role.value, type(operation).__name__, result] += 1


def _is_read(operation: Operation) -> bool:
    return isinstance(operation, Get | Watch)
