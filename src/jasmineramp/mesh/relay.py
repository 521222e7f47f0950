"""Distribute table and directory through a few nodes per failure domain.

Store calls are billed, and the rate that the store allows grows more slowly
than the fleet. So one node of a domain, selected by rendezvous hashing, reads
and watches the store, and the others ask it. The store may refuse some nodes
and serve others, so the next candidates of the domain take over in turn, and
leaders of other domains after them. A node that none of them can serve reads
the store itself.
"""

from collections.abc import Iterator

from msgspec.structs import replace

from jasmineramp.clock import Clock, Millis, later
from jasmineramp.ids import DomainId, NodeId, Revision
from jasmineramp.mesh.directory import Directory
from jasmineramp.mesh.directory_watch import DirectoryWatch
from jasmineramp.mesh.evacuation_control import EvacuationControl
from jasmineramp.mesh.peer_calls import ask_peer
from jasmineramp.mesh.peer_links import PeerLink
from jasmineramp.mesh.peer_messages import UpdateReply, UpdateRequest
from jasmineramp.mesh.quotas import OwnerLookup
from jasmineramp.mesh.store import StoreItem
from jasmineramp.mesh.store_revisions import (
    era_of,
    make_revision,
    number_of,
)
from jasmineramp.mesh.table_watch import TableWatch

# Many times the round-trip time within a failure domain.
ASK_TIMEOUT_S = 0.25
# A leader in contact with the store has a more recent read of the table.
MAX_TABLE_AGE_MS = 1_200
# A source still counts as replying after one lost reply, not after two.
REPLY_VALID_MS = 1_000
# With a third of all nodes refused by the store, all three are refused in one
# of 27 cases.
DOMAIN_CANDIDATES = 3
OTHER_DOMAIN_LEADERS = 2
# A source without a current table is not asked again before this time.
SOURCE_RETRY_MS = 1_000
LEADER_HASH_NAME = 'leader'


class Relay:
    """Ask other nodes for changes, or answer them."""

    def __init__(
        self,
        node: NodeId,
        domain: DomainId,
        directory: Directory,
        *,
        table_watch: TableWatch,
        directory_watch: DirectoryWatch,
        evacuations: EvacuationControl,
        links: dict[NodeId, PeerLink],
        clock: Clock,
    ) -> None:
        self.node = node
        self.domain = domain
        self.directory = directory
        self.table_watch = table_watch
        self.directory_watch = directory_watch
        self.evacuations = evacuations
        self.links = links
        self.clock = clock
        self.domain_nodes: dict[DomainId, OwnerLookup] = {}
        self.last_reply = Millis(float('-inf'))
        self.failed_until: dict[NodeId, Millis] = {}

    def leader(self) -> NodeId | None:
        """Return the leader of the domain, None if this node or unknown."""
        candidates = self.candidates()
        if not candidates or candidates[0] == self.node:
            return None
        return candidates[0]

    def candidates(self) -> tuple[NodeId, ...]:
        """Return who reads the store for the domain, in order of turn."""
        self._group_nodes()
        lookup = self.domain_nodes.get(self.domain, OwnerLookup())
        return lookup.rank(LEADER_HASH_NAME)[:DOMAIN_CANDIDATES]

    def is_candidate(self) -> bool:
        """Return whether others of the domain may ask this node."""
        return self.node in self.candidates()

    def is_following(self) -> bool:
        """Return whether a source replied recently."""
        return self.clock.now() - self.last_reply < REPLY_VALID_MS

    def answer(self, frame: UpdateRequest) -> UpdateReply:
        """Return the table and entries newer than a node's revisions."""
        table = self.table_watch
        table_known = make_revision(frame.table_era, frame.table_revision)
        directory = self.directory_watch
        is_full, items = directory.items_since(
            make_revision(frame.directory_era, frame.directory_revision)
        )
        return UpdateReply(
            frame.stream,
            number_of(table.revision),
            table.freshness.age(self.clock.now()),
            table.content if table.revision != table_known else b'',
            number_of(directory.revision),
            tuple(
                StoreItem(
                    item.key, Revision(number_of(item.revision)), item.value
                )
                for item in items
            ),
            is_full,
            era_of(table.revision),
            era_of(directory.revision),
            self.evacuations.known(),
        )

    async def ask(self) -> bool:
        """Apply the changes of a source; return whether they are current.

        Return False if it is this node's turn to read the store, unless the
        store has just failed it, and if no source is current.
        """
        if not self.directory_watch.is_known():
            return False
        for source in self._sources():
            if source == self.node:
                if self.table_watch.has_failed_recently(self.clock.now()):
                    continue
                return False
            # One at a time: the first that is current serves.
            if await self._ask_source(source):  # noqa: WPS476
                return True
        return False

    def _sources(self) -> Iterator[NodeId]:
        """Yield the nodes to ask in turn, this node at its own turn."""
        yield from self.candidates()
        others = sorted(self.domain_nodes.keys() - {self.domain})
        for domain in others[:OTHER_DOMAIN_LEADERS]:
            yield from self.domain_nodes[domain].rank(LEADER_HASH_NAME)[:1]

    def _group_nodes(self) -> None:
        nodes_by_domain: dict[DomainId, list[NodeId]] = {}
        for member in self.directory.members.values():
            nodes_by_domain.setdefault(member.domain, []).append(member.node)
        for domain in self.domain_nodes.keys() - nodes_by_domain.keys():
            del self.domain_nodes[domain]
        for domain, nodes in nodes_by_domain.items():
            lookup = self.domain_nodes.setdefault(domain, OwnerLookup())
            lookup.set_nodes(nodes)

    async def _ask_source(self, source: NodeId) -> bool:
        if self.clock.now() < self.failed_until.get(source, 0):
            return False
        is_current = await self._apply_changes_of(source)
        if is_current:
            self.failed_until.pop(source, None)
        else:
            self.failed_until[source] = later(self.clock.now(), SOURCE_RETRY_MS)
        return is_current

    async def _apply_changes_of(self, source: NodeId) -> bool:
        link = self.links.get(source)
        if link is None or not await link.wait_until_up():
            return False
        asked = self.clock.now()
        update = await ask_peer(link, self._request, ASK_TIMEOUT_S)
        if not isinstance(update, UpdateReply):
            return False
        # The confirmation is at least as recent as this, whatever the
        # difference of the two clocks: the source measured its age after the
        # request.
        confirmed_at = Millis(asked - update.table_age_ms)
        has_table = self.table_watch.apply_table(
            make_revision(update.table_era, update.table_revision),
            update.table,
            confirmed_at,
        )
        era = update.directory_era
        self.directory_watch.store.observe_era(era)
        self.directory_watch.apply_changes(
            make_revision(era, update.directory_revision),
            tuple(
                replace(item, revision=make_revision(era, item.revision))
                for item in update.items
            ),
            is_full=update.is_full,
        )
        # A source of the previous release does not tell of evacuations.
        has_evacuations = self.evacuations.learn(update.evacuations)
        if not has_table or update.table_age_ms > MAX_TABLE_AGE_MS:
            return False
        if not has_evacuations:
            return False
        self.last_reply = self.clock.now()
        return True

    def _request(self, stream: int) -> UpdateRequest:
        table_revision = self.table_watch.revision
        directory_revision = self.directory_watch.revision
        return UpdateRequest(
            stream,
            number_of(table_revision),
            number_of(directory_revision),
            era_of(table_revision),
            era_of(directory_revision),
        )
