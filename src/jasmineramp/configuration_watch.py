"""Watch the table on the platform."""

from jasmineramp.clock import Millis, later
from jasmineramp.configuration_messages import TABLE_KEY
from jasmineramp.configuration_state import ConfigurationState, record_contact
from jasmineramp.effects import Effect
from jasmineramp.store_messages import (
    Outcome,
    Role,
    StoreAnswer,
    StoreRequest,
    Watch,
)

# Short enough to keep the last contact recent. 14 failure domains with two
# watchers each make 5.6 platform calls a second.
WATCH_TIMEOUT_MS = 5_000
WATCH_ANSWER_MARGIN_MS = 5_000
WATCH_BACKOFF_MS = 250
MAX_BACKOFF_MS = 4_000
_MAXIMUM_BACKOFF_EXPONENT = 8


def end_watch(
    state: ConfigurationState,
    answer: StoreAnswer,
    sent: Millis,
    now: Millis,
) -> None:
    """Record the contact and set the time of the next watch."""
    state.watch_sent_at = None
    if answer.outcome is not Outcome.done:
        _delay_watch(state, now)
        return
    state.watch_failures = 0
    record_contact(state, sent)
    if now >= later(sent, WATCH_TIMEOUT_MS):
        # The platform read the key when the watch timed out.
        record_contact(state, later(sent, WATCH_TIMEOUT_MS))
    if answer.revision <= state.revision:
        state.next_watch_at = later(sent, WATCH_BACKOFF_MS)


def watch(state: ConfigurationState, now: Millis) -> list[Effect]:
    """Return the next watch if it is due and none is open."""
    if state.watch_sent_at is not None:
        timeout = WATCH_TIMEOUT_MS + WATCH_ANSWER_MARGIN_MS
        if now < later(state.watch_sent_at, timeout):
            return []
        state.watch_sent_at = None
        _delay_watch(state, now)
    if now < state.next_watch_at:
        return []
    state.watch_sent_at = now
    watch = Watch(TABLE_KEY, state.revision, WATCH_TIMEOUT_MS)
    return [StoreRequest(Role.configuration, TABLE_KEY, watch)]


def _delay_watch(state: ConfigurationState, now: Millis) -> None:
    exponent = min(state.watch_failures, _MAXIMUM_BACKOFF_EXPONENT)
    state.watch_failures += 1
    maximum_delay = min(MAX_BACKOFF_MS, WATCH_BACKOFF_MS * 2**exponent)
    # Full jitter desynchronizes the watchers after an outage.
    state.next_watch_at = later(now, state.random.uniform(0, maximum_delay))
