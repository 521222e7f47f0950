"""Take rate tokens from the local bucket or from the owner node.

Nodes see a change of the membership up to seconds apart, so two of them may
take themselves for the owner of a bucket. A node that becomes the owner
therefore tells those that come next, one of which was the owner before. That
one gives way, and tells the nodes that still ask it who the owner is.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

from jasmineramp.clock import Clock, Millis, later
from jasmineramp.ids import NodeId, WorkspaceId
from jasmineramp.mesh.peer_calls import ask_peer
from jasmineramp.mesh.peer_links import PeerLink
from jasmineramp.mesh.peer_messages import (
    BucketOwner,
    QuotaReply,
    QuotaRequest,
)
from jasmineramp.mesh.quotas import LocalQuotas, OwnedQuotas, OwnerLookup
from jasmineramp.mesh.route_table import RankedWorkspace
from jasmineramp.table import WorkspaceRow

# Many times the round-trip time between failure domains.
REPLY_TIMEOUT_S = 0.15
# Factor for the local rate while the link to the owner is up: an owner that
# replies late still grants the whole rate to other nodes.
LATE_OWNER_FACTOR = 0.1
# The reachable fraction is computed again after this time, the interval at
# which links are checked for silent peers.
FRACTION_VALIDITY_MS = 100.0
# The owner is asked again after this time, since burst or rate may change.
MAX_EMPTY_MS = 100.0
# Nodes that a new owner tells. Unless more nodes have joined at once, one of
# them is the owner before.
NOTIFIED_NODES = 3
# A deaf watch of the entries is noticed after 5 s, and the nodes that follow it
# learn of a change within another second.
GIVE_WAY_MS = 6_500.0


class _Successor(NamedTuple):
    """Hold the owner that this node has given way to, and until when."""

    owner: BucketOwner
    until: Millis


async def _notify(
    link: PeerLink, workspace: WorkspaceId, owner: BucketOwner
) -> None:
    if await link.wait_until_up():
        await ask_peer(
            link,
            lambda stream: QuotaRequest(stream, workspace, owner),
            REPLY_TIMEOUT_S,
        )


class FleetQuotaClient:
    """Take tokens as the owner, from the owner, or from the local bucket."""

    def __init__(
        self,
        node: NodeId,
        is_registered: Callable[[Millis], bool],
        clock: Clock,
        *,
        name_as_owner: Callable[[], BucketOwner | None],
        learn_entry: Callable[[BucketOwner], None],
    ) -> None:
        self.node = node
        self.is_registered = is_registered
        self.clock = clock
        self.name_as_owner = name_as_owner
        self.learn_entry = learn_entry
        self.successors: dict[WorkspaceId, _Successor] = {}
        self.notifying: set[asyncio.Task[None]] = set()
        self.owners = OwnerLookup()
        self.owned = OwnedQuotas()
        self.local = LocalQuotas()
        # Until when the owner's bucket has no token, as its replies told.
        self.empty_until: dict[WorkspaceId, Millis] = {}
        self.links: dict[NodeId, PeerLink] = {}
        self.reachable_fraction = float(1)
        self.fraction_valid_until = Millis(float('-inf'))

    def set_nodes(self, nodes: Iterable[NodeId]) -> None:
        """Set the registered nodes; drop buckets with another owner."""
        self.owners.set_nodes(nodes)
        for workspace, successor in list(self.successors.items()):
            if successor.owner.node not in self.owners.nodes:
                del self.successors[workspace]
        self.fraction_valid_until = Millis(float('-inf'))
        self.owned.retain(
            name
            for name in list(self.owned.buckets)
            if self.owners.find(name) == self.node
        )

    async def take(self, workspace: RankedWorkspace) -> float:
        """Take a token; return 0, or the wait in ms until one is available."""
        row = workspace.row
        known_wait_ms = self._known_wait_ms(row.name)
        if known_wait_ms > 0:
            return known_wait_ms
        owner = self.owners.find(row.name)
        wait_ms: float | None = None
        if owner == self.node:
            wait_ms = self.take_as_owner(row)
        elif owner is not None:
            wait_ms = await self._take_at_owner(owner, row)
        if wait_ms is None and owner != self.owners.find(row.name):
            # The node asked has told who the owner is.
            owner = self.owners.find(row.name)
            if owner is not None and owner != self.node:
                wait_ms = await self._take_at_owner(owner, row)
        if wait_ms is None:
            fraction = 1 / max(1, len(self.owners.nodes))
            link = None if owner is None else self.links.get(owner)
            if link is not None and link.is_up():
                fraction *= LATE_OWNER_FACTOR
            wait_ms = self.local.take(row, fraction, self.clock.now())
        return wait_ms

    def take_as_owner(self, row: WorkspaceRow) -> float | None:
        """Take a token; return 0 or the wait in ms.

        Return None if this node is not the owner or is not registered.
        """
        now = self.clock.now()
        if self.owners.find(row.name) != self.node:
            return None
        if not self.is_registered(now):
            return None
        if self.successor(row.name) is not None:
            return None
        if row.name not in self.owned.buckets:
            self._notify_others(row.name)
        return self.owned.take(row, self._current_reachable_fraction(now), now)

    def answer(self, request: QuotaRequest, row: WorkspaceRow) -> QuotaReply:
        """Return the reply to a request of another node."""
        if request.owner is not None:
            self._give_way(row.name, request.owner)
            return QuotaReply(request.stream, None)
        return QuotaReply(
            request.stream, self.take_as_owner(row), self.successor(row.name)
        )

    def successor(self, workspace: WorkspaceId) -> BucketOwner | None:
        """Return the owner that this node has given way to, None if none."""
        successor = self.successors.get(workspace)
        if successor is None:
            return None
        if self.clock.now() < successor.until:
            return successor.owner
        del self.successors[workspace]
        return None

    def _give_way(self, workspace: WorkspaceId, owner: BucketOwner) -> None:
        if not self.owners.outranks(owner.node, self.node, workspace):
            # That node does not know this one yet.
            return
        until = later(self.clock.now(), GIVE_WAY_MS)
        self.successors[workspace] = _Successor(owner, until)
        self.owned.drop(workspace)
        self.learn_entry(owner)

    def _notify_others(self, workspace: WorkspaceId) -> None:
        """Tell the nodes that may have been the owner before."""
        owner = self.name_as_owner()
        if owner is None:
            return
        loop = asyncio.get_running_loop()
        for node in self.owners.rank(workspace)[1 : NOTIFIED_NODES + 1]:
            link = self.links.get(node)
            if link is not None:
                task = loop.create_task(_notify(link, workspace, owner))
                self.notifying.add(task)
                task.add_done_callback(self.notifying.discard)

    def _current_reachable_fraction(self, now: Millis) -> float:
        """Return the fraction of the nodes in contact with this one."""
        if now >= self.fraction_valid_until:
            self.fraction_valid_until = later(now, FRACTION_VALIDITY_MS)
            self.reachable_fraction = self._compute_reachable_fraction()
        return self.reachable_fraction

    def _compute_reachable_fraction(self) -> float:
        nodes = max(1, len(self.owners.nodes))
        failed_links = sum(link.has_failed() for link in self.links.values())
        return max(1, nodes - failed_links) / nodes

    async def _take_at_owner(
        self, owner: NodeId, row: WorkspaceRow
    ) -> float | None:
        link = self.links.get(owner)
        if link is None or not await link.wait_until_up():
            return None
        frame = await ask_peer(
            link, lambda number: QuotaRequest(number, row.name), REPLY_TIMEOUT_S
        )
        if not isinstance(frame, QuotaReply):
            return None
        if frame.owner and self.owners.outranks(
            frame.owner.node, owner, row.name
        ):
            self.learn_entry(frame.owner)
        if frame.wait_ms:
            empty_ms = min(frame.wait_ms, MAX_EMPTY_MS)
            self.empty_until[row.name] = later(self.clock.now(), empty_ms)
        return frame.wait_ms

    def _known_wait_ms(self, workspace: WorkspaceId) -> float:
        """Return the wait in ms that a reply of the owner still implies.

        A workspace at many times its rate is refused without a question for
        each request.
        """
        empty_until = self.empty_until.get(workspace)
        if empty_until is None:
            return 0
        wait_ms = empty_until - self.clock.now()
        if wait_ms <= 0:
            del self.empty_until[workspace]
        return wait_ms
