"""Choose whom a node offers its revision to."""

from jasmineramp.clock import Millis
from jasmineramp.configuration_state import (
    WATCHERS,
    ConfigurationState,
    Members,
    due,
    is_watcher,
    make_offer,
    neighbours,
)
from jasmineramp.effects import Effect, SendMessage
from jasmineramp.ids import NodeId

OFFER_INTERVAL_MS = 1_000
RANDOM_OFFERS = 2
REQUEST_TIMEOUT_MS = 250


def offer_to_neighbours(
    state: ConfigurationState,
    members: Members,
    now: Millis,
) -> list[Effect]:
    """Offer a new revision along the tree and to some random members."""
    offer = make_offer(state, now)
    receivers = set(neighbours(state, members))
    # Random offers reach the subtree behind a lost message.
    for _ in range(RANDOM_OFFERS):
        receivers.add(state.random.choice(members.alive))
    receivers.discard(state.node)
    return [SendMessage(node, offer) for node in sorted(receivers)]


def offer_periodically(
    state: ConfigurationState,
    members: Members,
    now: Millis,
) -> list[Effect]:
    """Ask a random member, and as a watcher all other domains."""
    is_behind = state.newest_offered > state.revision
    interval = REQUEST_TIMEOUT_MS if is_behind else OFFER_INTERVAL_MS
    state.next_offer = due(state, now, interval)
    state.asked_at = now
    receivers: set[NodeId] = set()
    if is_watcher(state, members):
        receivers.update(members.contacts.values())
        pool = members.alive
    else:
        # Half of the questions go to a watcher, whose contact is youngest.
        watchers = members.alive[:WATCHERS]
        pool = state.random.choice((watchers, members.alive))
    receivers.add(state.random.choice(pool))
    receivers.discard(state.node)
    offer = make_offer(state, now, asks=True)
    return [SendMessage(node, offer) for node in sorted(receivers)]
