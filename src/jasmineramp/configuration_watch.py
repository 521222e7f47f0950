"""Watch the table on the platform."""

from jasmineramp.clock import Millis, later
from jasmineramp.configuration_messages import TABLE_KEY
from jasmineramp.configuration_state import ConfigurationState, note_contact
from jasmineramp.effects import Effect
from jasmineramp.store_messages import (
    Outcome,
    Role,
    StoreAnswer,
    StoreRequest,
    Watch,
)

# Short enough to keep the time of last contact young; 14 failure domains
# with two watchers each make 5.6 platform calls a second.
WATCH_WAIT_MS = 5_000
WATCH_ANSWER_MARGIN_MS = 5_000
WATCH_BACKOFF_MS = 250
LONGEST_BACKOFF_MS = 4_000
_LARGEST_EXPONENT = 8


def end_watch(
    state: ConfigurationState,
    answer: StoreAnswer,
    sent: Millis,
    now: Millis,
) -> None:
    """Note the contact and set the time of the next watch."""
    state.watch_sent = None
    if answer.outcome is not Outcome.done:
        _delay_watch(state, now)
        return
    state.watch_failures = 0
    note_contact(state, sent)
    if now >= later(sent, WATCH_WAIT_MS):
        # The platform read the key at the end of the wait.
        note_contact(state, later(sent, WATCH_WAIT_MS))
    if answer.revision <= state.revision:
        state.next_watch = later(sent, WATCH_BACKOFF_MS)


def watch(state: ConfigurationState, now: Millis) -> list[Effect]:
    """Return the next watch when none is open."""
    if state.watch_sent is not None:
        longest = WATCH_WAIT_MS + WATCH_ANSWER_MARGIN_MS
        if now < later(state.watch_sent, longest):
            return []
        state.watch_sent = None
        _delay_watch(state, now)
    if now < state.next_watch:
        return []
    state.watch_sent = now
    watch = Watch(TABLE_KEY, state.revision, WATCH_WAIT_MS)
    return [StoreRequest(Role.configuration, TABLE_KEY, watch)]


def _delay_watch(state: ConfigurationState, now: Millis) -> None:
    exponent = min(state.watch_failures, _LARGEST_EXPONENT)
    state.watch_failures += 1
    longest = min(LONGEST_BACKOFF_MS, WATCH_BACKOFF_MS * 2**exponent)
    # Full jitter spreads the watchers after an outage.
    state.next_watch = later(now, state.random.uniform(0, longest))
