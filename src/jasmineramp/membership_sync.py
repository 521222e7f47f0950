"""Compare the views of two nodes and exchange missing entries."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Sequence

from jasmineramp.clock import Millis
from jasmineramp.effects import Effect, SendMessage
from jasmineramp.ids import DomainId, NodeId
from jasmineramp.membership_messages import (
    DomainDigest,
    DomainViewDigest,
    Entries,
    EntryRequest,
    EntryVersion,
    NodeEntry,
)
from jasmineramp.membership_state import MembershipState, merge
from jasmineramp.membership_view import differs, join_entries

SYNC_INTERVAL_MS = 1_000
MAX_IDS_PER_MESSAGE = 128
MAX_DIGESTS_PER_SYNC = 512
MAX_ENTRIES_PER_MESSAGE = 32
# A larger batch means that this node alone lags; others have the entries.
MAX_GOSSIPED_BATCH = 8


def differing_domains(
    state: MembershipState,
    domain_digests: Iterable[DomainViewDigest],
) -> list[DomainId]:
    """Return the domains whose digests differ."""
    differing = []
    domains = state.view.domains
    for domain_digest in domain_digests:
        domain = domains.get(domain_digest.domain)
        if domain is None:
            if domain_digest.digest:
                differing.append(domain_digest.domain)
            continue
        if domain_digest.digest != domain.digest:
            differing.append(domain_digest.domain)
    return differing


def start_sync(
    state: MembershipState,
    peer: NodeId,
    differing: list[DomainId],
    now: Millis,
) -> list[Effect]:
    """Send digests of differing domains, at most once a second.

    Domains beyond the digest budget wait for a later sync.
    """
    if now < state.next_sync_at:
        return []
    state.next_sync_at = now + SYNC_INTERVAL_MS
    effects: list[Effect] = []
    budget = MAX_DIGESTS_PER_SYNC
    state.random.shuffle(differing)
    for name in differing:
        if budget <= 0:
            break
        budget -= max(1, len(state.view.members(name)))
        effects.extend(_digest_messages(state, peer, name))
    return effects


def answer_digest(
    state: MembershipState,
    peer: NodeId,
    message: DomainDigest,
) -> list[Effect]:
    """Send entries that are newer here and request those newer at the peer."""
    newer: list[NodeEntry] = []
    nodes_to_request: list[NodeId] = []
    listed = set()
    for digest in message.digests:
        listed.add(digest.node)
        known = state.view.entries.get(digest.node)
        if known is None:
            nodes_to_request.append(digest.node)
            continue
        peer_entry = _as_entry(known, digest)
        joined = join_entries(known, peer_entry)
        if differs(peer_entry, joined):
            newer.append(known)
        if differs(known, joined):
            nodes_to_request.append(digest.node)
    for node in _members_in_range(state.view.members(message.domain), message):
        if node not in listed:
            newer.append(state.view.entries[node])
    effects: list[Effect] = list(_entry_messages(peer, newer))
    for start in range(0, len(nodes_to_request), MAX_IDS_PER_MESSAGE):
        nodes = tuple(nodes_to_request[start : start + MAX_IDS_PER_MESSAGE])
        effects.append(SendMessage(peer, EntryRequest(nodes)))
    return effects


def answer_request(
    state: MembershipState,
    peer: NodeId,
    message: EntryRequest,
) -> list[Effect]:
    """Send the requested entries."""
    entries = state.view.entries
    requested = [entries[node] for node in message.nodes if node in entries]
    return list(_entry_messages(peer, requested))


def receive_entries(
    state: MembershipState,
    peer: NodeId,
    message: Entries,
    now: Millis,
) -> list[Effect]:
    """Merge entries and send back those of which this node has newer ones."""
    queue = len(message.entries) <= MAX_GOSSIPED_BATCH
    effects = merge(state, message.entries, now, queue=queue)
    newer = []
    for received in message.entries:
        known = state.view.entries.get(received.node)
        if known is not None and differs(received, known):
            newer.append(known)
    effects.extend(_entry_messages(peer, newer))
    return effects


def _digest_messages(
    state: MembershipState,
    peer: NodeId,
    name: DomainId,
) -> list[Effect]:
    digests = [
        _as_version(state.view.entries[node])
        for node in state.view.members(name)
    ]
    messages: list[Effect] = []
    first = ''
    for start in range(0, max(1, len(digests)), MAX_IDS_PER_MESSAGE):
        end = start + MAX_IDS_PER_MESSAGE
        last = digests[end - 1].node if end < len(digests) else ''
        part = tuple(digests[start:end])
        messages.append(
            SendMessage(peer, DomainDigest(name, first, last, part)),
        )
        # The next range starts directly after the last listed node id.
        first = f'{last}\0'
    return messages


def _entry_messages(
    peer: NodeId,
    entries: Sequence[NodeEntry],
) -> Iterable[SendMessage]:
    for start in range(0, len(entries), MAX_ENTRIES_PER_MESSAGE):
        part = tuple(entries[start : start + MAX_ENTRIES_PER_MESSAGE])
        yield SendMessage(peer, Entries(part))


def _members_in_range(
    members: list[NodeId], message: DomainDigest
) -> list[NodeId]:
    start = bisect_left(members, message.first)
    end = len(members)
    if message.last:
        end = bisect_right(members, message.last)
    return members[start:end]


def _as_version(entry: NodeEntry) -> EntryVersion:
    return EntryVersion(
        entry.node,
        entry.incarnation,
        entry.version,
        entry.status,
    )


def _as_entry(known: NodeEntry, digest: EntryVersion) -> NodeEntry:
    return NodeEntry(
        digest.node,
        known.address,
        known.domain,
        digest.incarnation,
        digest.version,
        digest.status,
    )
