"""Distribute table and directory through a leader per failure domain.

Store calls are billed, and the rate that the store allows grows more slowly
than the fleet. So one node of a domain, selected by rendezvous hashing, reads
and watches the store, and the others ask it. A node whose leader does not
reply or has no contact with the store reads and watches the store itself.
"""

from jasmineramp.clock import Clock, Millis
from jasmineramp.ids import DomainId, NodeId
from jasmineramp.mesh.directory import Directory
from jasmineramp.mesh.directory_watch import DirectoryWatch
from jasmineramp.mesh.peer_calls import ask_peer
from jasmineramp.mesh.peer_links import PeerLink
from jasmineramp.mesh.peer_messages import UpdateReply, UpdateRequest
from jasmineramp.mesh.quotas import OwnerLookup
from jasmineramp.mesh.table_watch import TableWatch

# Many times the round-trip time within a failure domain.
ASK_TIMEOUT_S = 0.25
# A leader in contact with the store has a more recent read of the table.
MAX_TABLE_AGE_MS = 1_200
# The leader still counts as replying after one lost reply, not after two.
REPLY_VALID_MS = 1_000
# A starting node waits this long for its leader before it watches the store
# itself.
LEADER_STARTUP_WAIT_MS = 1_500
LEADER_HASH_NAME = 'leader'


class Relay:
    """Ask the domain's leader for changes, or answer as the leader."""

    def __init__(
        self,
        node: NodeId,
        domain: DomainId,
        directory: Directory,
        *,
        table_watch: TableWatch,
        directory_watch: DirectoryWatch,
        links: dict[NodeId, PeerLink],
        clock: Clock,
    ) -> None:
        self.node = node
        self.domain = domain
        self.directory = directory
        self.table_watch = table_watch
        self.directory_watch = directory_watch
        self.links = links
        self.clock = clock
        self.candidates = OwnerLookup()
        self.last_reply = Millis(float('-inf'))
        self.started = clock.now()

    def leader(self) -> NodeId | None:
        """Return the leader of the domain, None if this node or unknown."""
        self.candidates.set_nodes(
            member.node
            for member in self.directory.members.values()
            if member.domain == self.domain
        )
        leader = self.candidates.find(LEADER_HASH_NAME)
        return None if leader == self.node else leader

    def is_leader_replying(self) -> bool:
        """Return whether the leader replied recently or may still reply.

        The latter holds for LEADER_STARTUP_WAIT_MS after the start.
        """
        now = self.clock.now()
        if (
            now - self.started < LEADER_STARTUP_WAIT_MS
            and self.leader() is not None
        ):
            return True
        return now - self.last_reply < REPLY_VALID_MS

    def answer(self, frame: UpdateRequest) -> UpdateReply:
        """Return the table and entries newer than a node's revisions."""
        table = self.table_watch
        is_full, items = self.directory_watch.items_since(
            frame.directory_revision
        )
        return UpdateReply(
            frame.stream,
            table.revision,
            table.freshness.age(self.clock.now()),
            table.content if table.revision > frame.table_revision else b'',
            self.directory_watch.revision,
            items,
            is_full,
        )

    async def ask(self) -> bool:
        """Apply the leader's changes; return whether they are up to date."""
        leader = self.leader()
        link = None if leader is None else self.links.get(leader)
        if link is None or not self.directory_watch.is_listed:
            return False
        if not await link.wait_until_up():
            return False
        asked = self.clock.now()
        update = await ask_peer(link, self._request, ASK_TIMEOUT_S)
        if (
            not isinstance(update, UpdateReply)
            or update.table_age_ms > MAX_TABLE_AGE_MS
        ):
            return False
        # The confirmation is at least as recent as this, whatever the
        # difference of the two clocks: the leader measured its age after
        # the request.
        confirmed_at = Millis(asked - update.table_age_ms)
        if not self.table_watch.apply_table(
            update.table_revision, update.table, confirmed_at
        ):
            return False
        self.directory_watch.apply_changes(
            update.directory_revision, update.items, is_full=update.is_full
        )
        self.last_reply = self.clock.now()
        return True

    def _request(self, stream: int) -> UpdateRequest:
        return UpdateRequest(
            stream, self.table_watch.revision, self.directory_watch.revision
        )
