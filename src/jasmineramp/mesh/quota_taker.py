"""Take rate tokens from the local bucket or from the owner node."""

from collections.abc import Callable, Iterable

from jasmineramp.clock import Clock, Millis, later
from jasmineramp.ids import NodeId, WorkspaceId
from jasmineramp.mesh.peer_calls import ask_peer
from jasmineramp.mesh.peer_links import PeerLink
from jasmineramp.mesh.peer_messages import QuotaReply, QuotaRequest
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


class FleetQuotaClient:
    """Take tokens as the owner, from the owner, or from the local bucket."""

    def __init__(
        self,
        node: NodeId,
        is_registered: Callable[[Millis], bool],
        clock: Clock,
    ) -> None:
        self.node = node
        self.is_registered = is_registered
        self.clock = clock
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
        return self.owned.take(row, self._current_reachable_fraction(now), now)

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
