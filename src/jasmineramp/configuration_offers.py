"""Choose the nodes that receive offers of a revision."""

from jasmineramp.clock import Millis
from jasmineramp.configuration_state import (
    WATCHER_COUNT,
    ConfigurationState,
    Members,
    is_watcher,
    jittered_time,
    make_offer,
    tree_neighbours,
)
from jasmineramp.effects import Effect, SendMessage
from jasmineramp.ids import NodeId

OFFER_INTERVAL_MS = 1_000
RANDOM_OFFER_COUNT = 2
REQUEST_TIMEOUT_MS = 250


def offer_to_neighbours(
    state: ConfigurationState,
    members: Members,
    now: Millis,
) -> list[Effect]:
    """Offer a new revision along the tree and to some random members."""
    offer = make_offer(state, now)
    receivers = set(tree_neighbours(state, members))
    # Random offers reach subtrees that a lost message cut off.
    for _ in range(RANDOM_OFFER_COUNT):
        receivers.add(state.random.choice(members.alive))
    receivers.discard(state.node)
    return [SendMessage(node, offer) for node in sorted(receivers)]


def offer_periodically(
    state: ConfigurationState,
    members: Members,
    now: Millis,
) -> list[Effect]:
    """Send an offer that asks for an answer to a random member.

    Watchers also send it to a contact in each other domain.

    The interval is shorter while a newer revision is known.
    """
    is_behind = state.newest_offered > state.revision
    interval_ms = REQUEST_TIMEOUT_MS if is_behind else OFFER_INTERVAL_MS
    state.next_offer_at = jittered_time(state, now, interval_ms)
    state.last_query_at = now
    receivers: set[NodeId] = set()
    if is_watcher(state, members):
        receivers.update(members.contacts.values())
        candidates = members.alive
    else:
        # Half of the queries go to a watcher: it has the most recent contact.
        watchers = members.alive[:WATCHER_COUNT]
        candidates = state.random.choice((watchers, members.alive))
    receivers.add(state.random.choice(candidates))
    receivers.discard(state.node)
    offer = make_offer(state, now, wants_answer=True)
    return [SendMessage(node, offer) for node in sorted(receivers)]
