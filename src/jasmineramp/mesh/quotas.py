"""Keep each workspace within its rate and burst over all nodes.

One node owns the bucket of a workspace: the one that rendezvous hashing
picks among the registered nodes. The others ask it for each request. A node
that gets no reply uses a small part of the rate that it accounts itself.
"""

import hashlib
from collections.abc import Iterable

import msgspec

from jasmineramp.clock import MILLIS_PER_SECOND, Millis
from jasmineramp.ids import NodeId, WorkspaceId
from jasmineramp.table import WorkspaceRow

# A new owner does not know what its predecessor granted.
INITIAL_FILL = 0.1


class Bucket(msgspec.Struct, gc=False):
    """Hold the tokens of one workspace and the time they were counted."""

    tokens: float
    updated: Millis

    def take(self, rate: float, burst: float, now: Millis) -> float:
        """Take a token; return 0, or the wait in ms when there is none."""
        elapsed = max(0, now - self.updated) / MILLIS_PER_SECOND
        self.tokens = min(max(burst, 1), self.tokens + elapsed * rate)
        self.updated = now
        if self.tokens >= 1:
            self.tokens -= 1
            return 0
        return (1 - self.tokens) / max(rate, 1e-3) * MILLIS_PER_SECOND


class OwnedQuotas:
    """Hold the buckets of the workspaces that this node owns."""

    def __init__(self) -> None:
        self.buckets: dict[WorkspaceId, Bucket] = {}

    def take(self, row: WorkspaceRow, reachable: float, now: Millis) -> float:
        """Take a token; return 0, or the wait in ms when there is none.

        Reachable is the part of the nodes in contact with this one. The rest
        accounts its own part of the rate meanwhile.
        """
        bucket = self.buckets.get(row.name)
        if bucket is None:
            bucket = Bucket(row.burst * INITIAL_FILL + 1, now)
            self.buckets[row.name] = bucket
        return bucket.take(row.rate * reachable, row.burst, now)

    def keep(self, owned: Iterable[WorkspaceId]) -> None:
        """Forget the workspaces that another node owns now."""
        wanted = set(owned)
        for name in list(self.buckets):
            if name not in wanted:
                del self.buckets[name]


class LocalQuotas:
    """Hold this node's part of each rate for when the owner is silent."""

    def __init__(self) -> None:
        self.buckets: dict[WorkspaceId, Bucket] = {}

    def take(self, row: WorkspaceRow, part: float, now: Millis) -> float:
        """Take a token; return 0, or the wait in ms when there is none.

        The part is that of the rate which this node may use by itself.
        """
        bucket = self.buckets.get(row.name)
        if bucket is None:
            bucket = Bucket(part, now)
            self.buckets[row.name] = bucket
        return bucket.take(row.rate * part, 1, now)


class Owners:
    """Find the node that owns what has a name, such as a bucket."""

    def __init__(self) -> None:
        self.nodes: tuple[NodeId, ...] = ()
        self.found: dict[str, NodeId] = {}

    def set_nodes(self, nodes: Iterable[NodeId]) -> None:
        """Adopt the registered nodes."""
        ordered = tuple(sorted(nodes))
        if ordered != self.nodes:
            self.nodes = ordered
            self.found.clear()

    def find(self, name: str) -> NodeId | None:
        """Return the owner, None when no node is registered."""
        owner = self.found.get(name)
        if owner is None and self.nodes:
            owner = max(self.nodes, key=lambda node: _weight(node, name))
            self.found[name] = owner
        return owner


def _weight(node: NodeId, name: str) -> bytes:
    text = f'{node}/{name}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
