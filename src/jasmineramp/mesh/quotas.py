"""Limit each workspace to its rate and burst over all nodes.

One node owns the token bucket of a workspace: the one that rendezvous hashing
selects among the registered nodes. The others ask it for a token per request.
A node that gets no reply uses a local bucket with a fraction of the rate.
"""

import hashlib
from collections.abc import Iterable

import msgspec

from jasmineramp.clock import MILLIS_PER_SECOND, Millis
from jasmineramp.ids import NodeId, WorkspaceId
from jasmineramp.table import WorkspaceRow

# Fraction of the burst; a new owner does not know how many tokens the previous
# owner granted.
INITIAL_FILL_FRACTION = 0.1


class Bucket(msgspec.Struct, gc=False):
    """Hold the tokens of a workspace and the time of the last refill."""

    tokens: float
    updated: Millis

    def take(self, rate: float, burst: float, now: Millis) -> float:
        """Take a token; return 0, or the wait in ms until one is available."""
        elapsed = max(0, now - self.updated) / MILLIS_PER_SECOND
        self.tokens = min(max(burst, 1), self.tokens + elapsed * rate)
        self.updated = now
        if self.tokens >= 1:
            self.tokens -= 1
            return 0
        return (1 - self.tokens) / max(rate, 1e-3) * MILLIS_PER_SECOND


class OwnedQuotas:
    """Hold the buckets that the local node owns."""

    def __init__(self) -> None:
        self.buckets: dict[WorkspaceId, Bucket] = {}

    def take(
        self, row: WorkspaceRow, reachable_fraction: float, now: Millis
    ) -> float:
        """Take a token; return 0, or the wait in ms until one is available.

        `reachable_fraction` is the fraction of the nodes in contact with this
        one. It scales the rate, because the other nodes use local buckets.
        """
        bucket = self.buckets.get(row.name)
        if bucket is None:
            bucket = Bucket(row.burst * INITIAL_FILL_FRACTION + 1, now)
            self.buckets[row.name] = bucket
        return bucket.take(row.rate * reachable_fraction, row.burst, now)

    def drop(self, workspace: WorkspaceId) -> None:
        """Drop the bucket of a workspace."""
        self.buckets.pop(workspace, None)

    def retain(self, owned: Iterable[WorkspaceId]) -> None:
        """Drop the buckets of all workspaces except the given ones."""
        wanted = set(owned)
        for name in list(self.buckets):
            if name not in wanted:
                del self.buckets[name]


class LocalQuotas:
    """Hold the local buckets that are used when an owner does not reply."""

    def __init__(self) -> None:
        self.buckets: dict[WorkspaceId, Bucket] = {}

    def take(self, row: WorkspaceRow, fraction: float, now: Millis) -> float:
        """Take a token; return 0, or the wait in ms until one is available.

        `fraction` is the fraction of the rate that this node may use locally.
        """
        bucket = self.buckets.get(row.name)
        if bucket is None:
            bucket = Bucket(fraction, now)
            self.buckets[row.name] = bucket
        return bucket.take(row.rate * fraction, 1, now)


class OwnerLookup:
    """Find the owner of a name, such as a bucket, by rendezvous hashing."""

    def __init__(self) -> None:
        self.nodes: tuple[NodeId, ...] = ()
        self.owner_by_name: dict[str, NodeId] = {}
        self.ranking_by_name: dict[str, tuple[NodeId, ...]] = {}

    def set_nodes(self, nodes: Iterable[NodeId]) -> None:
        """Set the registered nodes."""
        ordered = tuple(sorted(nodes))
        if ordered != self.nodes:
            self.nodes = ordered
            self.owner_by_name.clear()
            self.ranking_by_name.clear()

    def find(self, name: str) -> NodeId | None:
        """Return the owner, None when no node is registered."""
        owner = self.owner_by_name.get(name)
        if owner is None and self.nodes:
            owner = max(self.nodes, key=lambda node: _weight(node, name))
            self.owner_by_name[name] = owner
        return owner

    def outranks(self, node: NodeId, other: NodeId, name: str) -> bool:
        """Return whether a node goes before another one, registered or not."""
        return _weight(node, name) > _weight(other, name)

    def rank(self, name: str) -> tuple[NodeId, ...]:
        """Return all nodes, the owner first, then who would replace it."""
        ranking = self.ranking_by_name.get(name)
        if ranking is None:
            ranking = tuple(
                sorted(
                    self.nodes,
                    key=lambda node: _weight(node, name),
                    reverse=True,
                )
            )
            self.ranking_by_name[name] = ranking
        return ranking


def _weight(node: NodeId, name: str) -> bytes:
    text = f'{node}/{name}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
