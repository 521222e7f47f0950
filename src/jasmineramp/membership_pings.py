"""Build pings and acks and track the reachability of failure domains."""

from jasmineramp.clock import Millis
from jasmineramp.effects import Effect, SendMessage
from jasmineramp.ids import DomainId, NodeId
from jasmineramp.membership_messages import Ack, Entries, NodeEntry, Ping
from jasmineramp.membership_state import (
    MembershipState,
    Probe,
    ProbeKind,
    dequeue_changes,
    mark_reachable,
    record_result,
)

# Exceeds the time in which three acks in a row time out.
DOMAIN_CHECK_INTERVAL_MS = 4_000
MISSES_UNTIL_UNREACHABLE = 3
LOCAL_DOMAIN_FANOUT = 4
OTHER_DOMAIN_FANOUT = 2


def ping(
    state: MembershipState,
    target: NodeId,
    kind: ProbeKind,
    now: Millis,
) -> SendMessage:
    """Ping a node and store the pending probe."""
    state.sequence += 1
    probe = Probe(target, kind, now, state.entry.revision)
    state.probes[state.sequence] = probe
    message = Ping(
        NodeId('') if kind is ProbeKind.contact else target,
        state.sequence,
        state.entry,
        state.digest(),
        dequeue_changes(state, target),
        _unavailable_domains(state),
    )
    return SendMessage(target, message)


def ack(
    state: MembershipState,
    peer: NodeId,
    sequence: int,
    digest: int | None,
    target: NodeId | None = None,
) -> Ack:
    """Build the answer to a ping that carried the given digest.

    A target is given when the ack is relayed for another node.
    """
    local_digest = state.digest()
    return Ack(
        target or state.node,
        sequence,
        state.entry,
        local_digest,
        dequeue_changes(state, peer),
        _unavailable_domains(state),
        () if local_digest in {None, digest} else state.view.domain_digests(),
    )


def ping_domain(state: MembershipState, now: Millis) -> list[Effect]:
    """Ping a random member of the next remaining failure domain."""
    domains = state.view.domains
    if not state.remaining_domains:
        state.remaining_domains = [
            name for name in domains if name != state.domain
        ]
        state.random.shuffle(state.remaining_domains)
    while state.remaining_domains:
        members = state.view.members(state.remaining_domains.pop())
        if members:
            target = state.random.choice(members)
            return [ping(state, target, ProbeKind.domain, now)]
    return []


def ping_unavailable(state: MembershipState, now: Millis) -> list[Effect]:
    """Ping a random member of a random unavailable domain."""
    # Detects the recovery of a domain sooner than the regular rotation.
    names = _unavailable_domains(state)
    if not names:
        return []
    target = state.random.choice(
        state.view.members(state.random.choice(names)),
    )
    return [ping(state, target, ProbeKind.domain, now)]


def check_domains(
    state: MembershipState,
    message: Ping | Ack,
    now: Millis,
) -> list[Effect]:
    """Ping the domains that a node in the local domain reports unreachable."""
    effects: list[Effect] = []
    if message.entry.domain != state.domain:
        return effects
    for name in message.unavailable:
        domain = state.view.domains.get(name)
        if domain is None or not domain.available or domain.misses:
            continue
        if (
            now - state.domain_checked_at.get(name, 0)
            >= DOMAIN_CHECK_INTERVAL_MS
        ):
            state.domain_checked_at[name] = now
            state.remaining_domains.append(name)
            effects.extend(ping_domain(state, now))
    return effects


def record_missing_answer(
    state: MembershipState,
    target: NodeId,
    now: Millis,
) -> list[Effect]:
    """Count a missing answer and ping the domain again below the limit."""
    name = state.view.entries[target].domain
    domain = state.view.domains[name]
    if domain.available:
        record_result(state, target, now, answered=False)
    domain.misses += 1
    if domain.misses < MISSES_UNTIL_UNREACHABLE:
        state.remaining_domains.append(name)
        return ping_domain(state, now)
    return []


def record_answer(state: MembershipState, entry: NodeEntry) -> None:
    """Mark a node reachable and reset the misses of its failure domain."""
    domain = state.view.domains.get(entry.domain)
    if domain is not None:
        domain.misses = 0
    mark_reachable(state, entry.node)


def send_local_entry(state: MembershipState) -> list[Effect]:
    """Send the local entry to a random sample of every domain at once."""
    effects: list[Effect] = []
    message = Entries((state.entry,))
    for name, domain in state.view.domains.items():
        others = [node for node in domain.members if node != state.node]
        count = (
            LOCAL_DOMAIN_FANOUT if name == state.domain else OTHER_DOMAIN_FANOUT
        )
        chosen = state.random.sample(others, min(count, len(others)))
        effects.extend(SendMessage(node, message) for node in chosen)
    return effects


def _unavailable_domains(state: MembershipState) -> tuple[DomainId, ...]:
    return tuple(
        name
        for name, domain in state.view.domains.items()
        if not domain.available and domain.members and name != state.domain
    )
