"""Maintain the links and routes to the other nodes of the fleet."""

import asyncio
from collections.abc import Iterable

import msgspec

from jasmineramp import routing, routing_restrictions
from jasmineramp.clock import Clock, Millis
from jasmineramp.ids import NodeId
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.directory import Directory, MemberEntry
from jasmineramp.mesh.entry import Entry
from jasmineramp.mesh.evacuation_control import EvacuationControl
from jasmineramp.mesh.peer_links import PeerLink
from jasmineramp.mesh.peer_messages import BucketOwner, StateChanged
from jasmineramp.mesh.quota_taker import FleetQuotaClient
from jasmineramp.mesh.receive_limits import ReceiveBudget
from jasmineramp.mesh.store_revisions import make_revision


class FleetView:
    """Update the links and routes when directory entries change or expire."""

    def __init__(
        self,
        node: NodeId,
        entry: Entry,
        quotas: FleetQuotaClient,
        log: DecisionLog,
        clock: Clock,
        *,
        evacuations: EvacuationControl,
        budget: ReceiveBudget,
    ) -> None:
        self.node = node
        self.budget = budget
        self.evacuations = evacuations
        self.entry = entry
        self.routes = entry.routes
        self.links = entry.links
        self.retry_budget = entry.retry_budget
        self.quotas = quotas
        self.quotas.links = self.links
        self.log = log
        self.clock = clock
        self.directory = Directory()
        # Links without an entry, which finish their requests before they close.
        self.retired_links: list[PeerLink] = []

    def check_links(self) -> None:
        """Ping silent peers, reconnect failed links, close retired ones."""
        now = asyncio.get_running_loop().time()
        for link in self.links.values():
            link.check_liveness(now)
            link.settle()
            if link.has_failed():
                link.start_connecting()
        for retired in list(self.retired_links):
            retired.check_liveness(now)
            retired.settle()
            if not retired.is_in_use():
                retired.close()
                self.retired_links.remove(retired)

    def expire(self) -> None:
        """Remove the nodes whose entries have expired."""
        expired = self.directory.expire(self.clock.now())
        for member in expired:
            routing.remove_instance(self.routes, member.node)
            pending = self._retire_link(member.node)
            self.log.write('member_gone', member=member.node, pending=pending)
        if expired:
            self._update_members()

    def close(self) -> None:
        """Close the links."""
        for link in (*self.links.values(), *self.retired_links):
            link.close()

    def apply_entries(self, changed: Iterable[MemberEntry]) -> None:
        """Apply changed entries."""
        now = self.clock.now()
        for member in changed:
            self._put_member(member, now)
        self._update_members()
        if self.directory.unreadable:
            self.log.write(
                'members_unreadable', keys=sorted(self.directory.unreadable)
            )
            self.directory.unreadable.clear()

    def learn_entry(self, owner: BucketOwner) -> None:
        """Apply an entry that another node has sent before the store did."""
        revision = make_revision(owner.era, owner.item.revision)
        if revision <= self.directory.revisions.get(owner.node, 0):
            # The node may have left since.
            return
        item = msgspec.structs.replace(owner.item, revision=revision)
        self.apply_entries(self.directory.apply((item,), self.clock.now()))

    def _put_member(self, member: MemberEntry, now: Millis) -> None:
        node = member.node
        if node != self.node:
            self._link(member)
        if member.instance:
            routing.put_instance(self.routes, member.to_instance(), now)
        else:
            routing.remove_instance(self.routes, node)
        self.log.write(
            'member_changed',
            member=node,
            service=member.service,
            instance=member.instance,
            state=member.state.name,
            version=member.version,
        )

    def _link(self, member: MemberEntry) -> None:
        address = (member.host, member.port)
        link = self.links.get(member.node)
        if link is not None and link.address == address:
            return
        self._retire_link(member.node)
        self.links[member.node] = PeerLink(
            self.node,
            member.node,
            address,
            self._on_peer_state,
            self._on_peer_change,
            departed_at=self.directory.departed_at,
            evacuations=self.evacuations.known,
            budget=self.budget,
        )

    def _retire_link(self, node: NodeId) -> int:
        """Close a node's link after its requests; return their number.

        A node without an entry may still be working on calls: the entry of its
        next process can arrive after the removal of the old one.
        """
        link = self.links.pop(node, None)
        if link is None:
            return 0
        link.retire()
        self.retired_links.append(link)
        self._update_unreachable()
        return len(link.pending_replies)

    def _update_members(self) -> None:
        self.quotas.set_nodes(self.directory.members)
        self.retry_budget.set_nodes(len(self.directory.members))
        routing.set_nodes(self.routes, len(self.directory.members))
        local = self.directory.members.get(self.node)
        if local is not None:
            self.entry.gate.repeat_budget.set_instances(
                sum(
                    member.service == local.service
                    for member in self.directory.members.values()
                )
            )

    def _on_peer_state(self, frame: StateChanged) -> None:
        member = self.directory.members.get(frame.node)
        if member is None or member.instance != frame.instance:
            return
        changed = msgspec.structs.replace(member, state=frame.state)
        routing.put_instance(
            self.routes, changed.to_instance(), self.clock.now()
        )
        routing_restrictions.record_cold(
            self.routes,
            frame.node,
            frame.cold_per_s,
            frame.cold_ms,
            self.clock.now(),
        )

    def _on_peer_change(self, node: NodeId, reason: str) -> None:
        self._update_unreachable()
        self.log.write('peer_changed', peer=node, reason=reason)

    def _update_unreachable(self) -> None:
        self.entry.unreachable = frozenset(
            node for node, link in self.links.items() if link.has_failed()
        )
