"""Pass on table and directory from one node of each failure domain.

The store is priced by the call and its rates grow more slowly than the
fleet. One node of a domain, found by rendezvous hashing, reads and watches;
the others ask it. A node whose leader is silent or out of contact with the
store reads and watches by itself.
"""

from jasmineramp.clock import Clock, Millis
from jasmineramp.ids import DomainId, NodeId
from jasmineramp.mesh.directory import Directory
from jasmineramp.mesh.directory_watch import DirectoryWatch
from jasmineramp.mesh.peer_calls import ask_peer
from jasmineramp.mesh.peer_links import PeerLink
from jasmineramp.mesh.peer_messages import AskNews, News
from jasmineramp.mesh.quotas import Owners
from jasmineramp.mesh.table_watch import TableWatch

# Many times the round trip within a failure domain.
ASK_TIMEOUT_S = 0.25
# A leader in contact with the store has read the table more recently.
LARGEST_AGE_MS = 1_200
# After one lost reply the node still counts as fed, after two it does not.
FED_MS = 1_000
# A node that starts waits this long for its leader before it watches itself.
FIRST_FED_MS = 1_500
LEADERSHIP = 'leader'


class Relay:
    """Ask the leader of the domain, or answer as the leader."""

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
        self.candidates = Owners()
        self.fed = Millis(float('-inf'))
        self.started = clock.now()

    def leader(self) -> NodeId | None:
        """Return the leader of the domain, None if it is this node."""
        self.candidates.set_nodes(
            member.node
            for member in self.directory.members.values()
            if member.domain == self.domain
        )
        leader = self.candidates.find(LEADERSHIP)
        return None if leader == self.node else leader

    def is_fed(self) -> bool:
        """Tell whether the leader has answered just now, or is about to."""
        now = self.clock.now()
        if now - self.started < FIRST_FED_MS and self.leader() is not None:
            return True
        return now - self.fed < FED_MS

    def answer(self, frame: AskNews) -> News:
        """Return what is newer than what a node knows."""
        table = self.table_watch
        is_full, items = self.directory_watch.since(frame.directory_revision)
        return News(
            frame.stream,
            table.revision,
            table.freshness.age(self.clock.now()),
            table.content if table.revision > frame.table_revision else b'',
            self.directory_watch.revision,
            items,
            is_full,
        )

    async def ask(self) -> bool:
        """Take over the news of the leader; return whether it had contact."""
        leader = self.leader()
        link = None if leader is None else self.links.get(leader)
        if link is None or not self.directory_watch.is_listed:
            return False
        if not await link.ready():
            return False
        asked = self.clock.now()
        news = await ask_peer(link, self._question, ASK_TIMEOUT_S)
        if not isinstance(news, News) or news.table_age_ms > LARGEST_AGE_MS:
            return False
        # The proof is at least as recent as its age at the time of asking,
        # whatever the two clocks show.
        proved = Millis(asked - news.table_age_ms)
        if not self.table_watch.adopt(news.table_revision, news.table, proved):
            return False
        self.directory_watch.adopt(
            news.directory_revision, news.items, is_full=news.is_full
        )
        self.fed = self.clock.now()
        return True

    def _question(self, stream: int) -> AskNews:
        return AskNews(
            stream, self.table_watch.revision, self.directory_watch.revision
        )
