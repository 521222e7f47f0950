"""Build pings and acks and keep track of the other failure domains."""

from jasmineramp.clock import Millis
from jasmineramp.effects import Effect, SendMessage
from jasmineramp.ids import DomainId, NodeId
from jasmineramp.membership_messages import Ack, Entries, NodeEntry, Ping
from jasmineramp.membership_state import (
    MembershipState,
    Probe,
    ProbeKind,
    record_result,
    release,
    take_changes,
)

# Exceeds the time that three missing answers take.
CHECK_MS = 4_000
MISSES_UNTIL_UNREACHABLE = 3
OWN_FANOUT = 4
FOREIGN_FANOUT = 2


def ping(
    state: MembershipState,
    target: NodeId,
    kind: ProbeKind,
    now: Millis,
) -> SendMessage:
    """Ping a node and remember the unanswered ping."""
    state.sequence += 1
    probe = Probe(target, kind, now, state.entry.revision)
    state.probes[state.sequence] = probe
    message = Ping(
        NodeId('') if kind is ProbeKind.contact else target,
        state.sequence,
        state.entry,
        state.digest(),
        take_changes(state, target),
        _unavailable(state),
    )
    return SendMessage(target, message)


def ack(
    state: MembershipState,
    peer: NodeId,
    sequence: int,
    digest: int | None,
    target: NodeId | None = None,
) -> Ack:
    """Build the answer to a ping that carried a digest."""
    own = state.digest()
    return Ack(
        target or state.node,
        sequence,
        state.entry,
        own,
        take_changes(state, peer),
        _unavailable(state),
        () if own in {None, digest} else state.view.marks(),
    )


def ping_domain(state: MembershipState, now: Millis) -> list[Effect]:
    """Ping a random member of the next other failure domain."""
    domains = state.view.domains
    if not state.domain_ring:
        state.domain_ring = [name for name in domains if name != state.domain]
        state.random.shuffle(state.domain_ring)
    while state.domain_ring:
        members = state.view.members(state.domain_ring.pop())
        if members:
            target = state.random.choice(members)
            return [ping(state, target, ProbeKind.domain, now)]
    return []


def ping_unavailable(state: MembershipState, now: Millis) -> list[Effect]:
    """Ping a member of a domain that is unavailable."""
    # A domain that returns is found sooner than by its turn.
    names = _unavailable(state)
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
    """Ping the domains that another node of the own domain can't reach."""
    effects: list[Effect] = []
    if message.entry.domain != state.domain:
        return effects
    for name in message.unavailable:
        domain = state.view.domains.get(name)
        if domain is None or not domain.available or domain.misses:
            continue
        if now - state.checked_domains.get(name, 0) >= CHECK_MS:
            state.checked_domains[name] = now
            state.domain_ring.append(name)
            effects.extend(ping_domain(state, now))
    return effects


def miss_domain(
    state: MembershipState,
    target: NodeId,
    now: Millis,
) -> list[Effect]:
    """Count a missing answer and ping the domain again."""
    name = state.view.entries[target].domain
    domain = state.view.domains[name]
    if domain.available:
        record_result(state, target, now, answered=False)
    domain.misses += 1
    if domain.misses < MISSES_UNTIL_UNREACHABLE:
        state.domain_ring.append(name)
        return ping_domain(state, now)
    return []


def note_answer(state: MembershipState, entry: NodeEntry) -> None:
    """Count a node and its failure domain as reachable."""
    domain = state.view.domains.get(entry.domain)
    if domain is not None:
        domain.misses = 0
    release(state, entry.node)


def spread(state: MembershipState) -> list[Effect]:
    """Send the own entry to some members of every domain at once."""
    effects: list[Effect] = []
    message = Entries((state.entry,))
    for name, domain in state.view.domains.items():
        others = [node for node in domain.members if node != state.node]
        count = OWN_FANOUT if name == state.domain else FOREIGN_FANOUT
        chosen = state.random.sample(others, min(count, len(others)))
        effects.extend(SendMessage(node, message) for node in chosen)
    return effects


def _unavailable(state: MembershipState) -> tuple[DomainId, ...]:
    return tuple(
        name
        for name, domain in state.view.domains.items()
        if not domain.available and domain.members and name != state.domain
    )
