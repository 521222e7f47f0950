"""Acquire and renew the rate slot of a node under a long lease."""

import enum
import random

import msgspec

from jasmineramp.clock import Millis, later
from jasmineramp.decoding import ForeignDecoder
from jasmineramp.effects import Effect, EventKind, RecordEvent
from jasmineramp.ids import DomainId, SlotIndex
from jasmineramp.store_messages import (
    CompareAndSwap,
    Get,
    GrantLease,
    KeepAlive,
    Operation,
    Outcome,
    RevokeLease,
    Role,
    StoreAnswer,
    StoreAnswered,
)
from jasmineramp.store_steps import StoreStep

HOUR_MS = 3_600_000.0
LEASE_MS = 24 * HOUR_MS
# The clock rates of node and platform may differ by 1%.
USABLE_LEASE_FRACTION = 0.99
RENEWAL_INTERVAL_MS = HOUR_MS
RENEWAL_JITTER = 0.1
MAX_SEARCH_MS = HOUR_MS
SEARCH_RETRY_MS = 600_000.0
# Retries of 1,500 nodes at this interval stay far below the platform's rates.
MAX_STORE_RETRY_MS = 60_000.0
# Slots read after the first free one, to find an entry that an earlier
# process of this node has left.
LOOK_AHEAD_SLOTS = 8


class SlotSettings(msgspec.Struct, frozen=True):
    """Identity of the node; no two running processes share an address."""

    address: str
    incarnation: int
    domain: DomainId


class SlotEntry(msgspec.Struct, frozen=True, array_like=True):
    """Stored entry that names the holder of a slot."""

    address: str
    incarnation: int


class SlotPhase(enum.Enum):
    """Phase of acquiring, holding and releasing a slot."""

    idle = 'idle'
    granting = 'granting'
    probing = 'probing'
    writing = 'writing'
    held = 'held'
    renewing = 'renewing'
    checking = 'checking'
    releasing = 'releasing'
    stopped = 'stopped'


_IN_USE = frozenset((SlotPhase.held, SlotPhase.renewing, SlotPhase.checking))
_SEARCHING = frozenset((SlotPhase.probing, SlotPhase.writing))
_encode = msgspec.msgpack.Encoder().encode
_decode = ForeignDecoder(msgspec.msgpack.Decoder(SlotEntry)).decode


class RateSlotState:
    """Slot of this node and progress of the search for one."""

    def __init__(self, settings: SlotSettings, slots: int, seed: int) -> None:
        self.settings = settings
        self.slots = slots
        self.probe_order = _probe_order(settings.address, slots)
        self.random = random.Random(seed)
        prefix = f'slots/{settings.domain}'
        self.step = StoreStep(
            Role.rate_slot, prefix, self.random, MAX_STORE_RETRY_MS
        )
        self.phase = SlotPhase.idle
        self.index: SlotIndex | None = None
        self.revision = 0
        self.lease_count = 0
        self.granted_at = Millis(0)
        self.valid_until = Millis(0)
        self.next_action_at = Millis(0)
        self.probe_count = 0
        self.probe_limit = slots
        self.free_slot: int | None = None
        self.stopping = False
        # A slot whose key was absent has no previous holder with active loans.
        self.fresh = False

    @property
    def lease(self) -> str:
        """Return the name of the current lease."""
        settings = self.settings
        return (
            f'slots/lease/{settings.domain}/{settings.address}/'
            f'{settings.incarnation}/{self.lease_count}'
        )


def is_stopped(state: RateSlotState) -> bool:
    """Return whether the slot is released and no new one is sought."""
    return state.phase is SlotPhase.stopped


def held_slot(state: RateSlotState, now: Millis) -> SlotIndex | None:
    """Return the slot if it may be used now; call right before each use."""
    if state.phase in _IN_USE and now < state.valid_until:
        return state.index
    return None


def tick(state: RateSlotState, now: Millis) -> list[Effect]:
    """Start the search, renewal or retry that is due."""
    if state.phase in _SEARCHING and now - state.granted_at > MAX_SEARCH_MS:
        # The store would reject writes under an expired lease.
        state.step.cancel()
        return _schedule_search(state, now)
    effects = state.step.tick(now)
    if state.step.busy or now < state.next_action_at:
        return effects
    if state.phase is SlotPhase.idle and not state.stopping:
        return effects + _grant(state, now)
    if state.phase is SlotPhase.held:
        keep_alive = KeepAlive(state.lease)
        return effects + _start_phase(
            state, SlotPhase.renewing, keep_alive, now
        )
    return effects


def answered(
    state: RateSlotState, event: StoreAnswered, now: Millis
) -> list[Effect]:
    """Handle the answer to a store request of role rate_slot."""
    answer, effects = state.step.answered(event, now)
    if answer is None:
        return effects
    done = answer.outcome is Outcome.done
    match state.phase:
        case SlotPhase.granting:
            return _granted(state, now)
        case SlotPhase.probing:
            return _probed(state, answer, now)
        case SlotPhase.writing:
            return _written(state, answer, now)
        case SlotPhase.renewing:
            return _renewed(state, done, now)
        case SlotPhase.checking:
            return _checked(state, answer, now)
        case SlotPhase.releasing:
            return _released(state)
    return []


def release(state: RateSlotState, now: Millis) -> list[Effect]:
    """Stop using the slot at once and release it; done when stopped."""
    state.stopping = True
    return _start_release(state, now)


def set_slots(state: RateSlotState, slots: int, now: Millis) -> list[Effect]:
    """Set the number of slots; release a held slot beyond it."""
    if slots == state.slots:
        return []
    state.slots = slots
    state.probe_order = _probe_order(state.settings.address, slots)
    if state.phase in _IN_USE:
        beyond = state.index is None or state.index >= slots
        return _start_release(state, now) if beyond else []
    if state.phase in _SEARCHING or state.phase is SlotPhase.granting:
        return _start_release(state, now)
    if state.phase is SlotPhase.idle:
        # Otherwise a node without a slot searches again only minutes later.
        state.next_action_at = now
    return []


def _start_release(state: RateSlotState, now: Millis) -> list[Effect]:
    if state.phase in {SlotPhase.releasing, SlotPhase.stopped}:
        return []
    if state.phase is SlotPhase.idle:
        state.phase = SlotPhase.stopped
        return []
    state.index = None
    return _start_phase(
        state, SlotPhase.releasing, RevokeLease(state.lease), now
    )


def _grant(state: RateSlotState, now: Millis) -> list[Effect]:
    state.lease_count += 1
    state.probe_count = 0
    state.probe_limit = state.slots
    state.free_slot = None
    lease = GrantLease(state.lease, LEASE_MS)
    return _start_phase(state, SlotPhase.granting, lease, now)


def _granted(state: RateSlotState, now: Millis) -> list[Effect]:
    state.granted_at = state.step.sent_at
    return _probe(state, now)


def _probe(state: RateSlotState, now: Millis) -> list[Effect]:
    if state.probe_count < state.probe_limit:
        key = _slot_key(state, state.probe_order[state.probe_count])
        return _start_phase(state, SlotPhase.probing, Get(key), now)
    if state.free_slot is not None:
        return _write(state, state.free_slot, 0, now)
    # The unused lease expires without being revoked.
    wait = SEARCH_RETRY_MS * state.random.uniform(0.5, 1)
    return _schedule_search(state, later(now, wait))


def _probed(
    state: RateSlotState, answer: StoreAnswer, now: Millis
) -> list[Effect]:
    index = state.probe_order[state.probe_count]
    state.probe_count += 1
    if answer.revision and answer.body is not None:
        if _entry_address(answer.body) == state.settings.address:
            return _write(state, index, answer.revision, now)
    elif state.free_slot is None:
        state.free_slot = index
        state.probe_limit = min(
            state.slots, state.probe_count + LOOK_AHEAD_SLOTS
        )
    return _probe(state, now)


def _write(
    state: RateSlotState, index: int, revision: int, now: Millis
) -> list[Effect]:
    state.index = SlotIndex(index)
    state.fresh = revision == 0
    entry = SlotEntry(state.settings.address, state.settings.incarnation)
    write = CompareAndSwap(
        _slot_key(state, index), revision, _encode(entry), state.lease
    )
    return _start_phase(state, SlotPhase.writing, write, now)


def _written(
    state: RateSlotState, answer: StoreAnswer, now: Millis
) -> list[Effect]:
    if answer.outcome is not Outcome.done:
        # Another node wrote the slot first; search again under a new lease.
        return _schedule_search(state, now)
    state.revision = answer.revision
    return _use_slot(state, state.granted_at, 'slot is held')


def _use_slot(
    state: RateSlotState, granted_at: Millis, change: str
) -> list[Effect]:
    state.phase = SlotPhase.held
    state.valid_until = later(granted_at, LEASE_MS * USABLE_LEASE_FRACTION)
    jitter = state.random.uniform(1 - RENEWAL_JITTER, 1 + RENEWAL_JITTER)
    state.next_action_at = later(granted_at, RENEWAL_INTERVAL_MS * jitter)
    return [_record_change(state, change)]


def _renewed(state: RateSlotState, done: bool, now: Millis) -> list[Effect]:
    if not done:
        return _lose_slot(state, 'slot lease has lapsed', now)
    state.granted_at = state.step.sent_at
    key = _slot_key(state, state.index or 0)
    return _start_phase(state, SlotPhase.checking, Get(key), now)


def _checked(
    state: RateSlotState, answer: StoreAnswer, now: Millis
) -> list[Effect]:
    if answer.revision != state.revision:
        return _lose_slot(state, 'slot was taken over', now)
    return _use_slot(state, state.granted_at, 'slot is renewed')


def _lose_slot(state: RateSlotState, change: str, now: Millis) -> list[Effect]:
    lost = _record_change(state, change)
    return [lost, *_schedule_search(state, now)]


def _released(state: RateSlotState) -> list[Effect]:
    state.phase = SlotPhase.stopped if state.stopping else SlotPhase.idle
    state.next_action_at = Millis(0)
    return [_record_change(state, 'slot is released')]


def _schedule_search(state: RateSlotState, due: Millis) -> list[Effect]:
    state.phase = SlotPhase.idle
    state.index = None
    state.next_action_at = due
    return []


def _start_phase(
    state: RateSlotState, phase: SlotPhase, operation: Operation, now: Millis
) -> list[Effect]:
    state.phase = phase
    return state.step.start(operation, now)


def _entry_address(body: bytes) -> str:
    """Return the address in an entry, or an empty string if it is damaged."""
    try:
        return _decode(body).address
    except msgspec.MsgspecError:
        return ''


def _probe_order(address: str, slots: int) -> list[int]:
    """Return the order in which a node probes the slots.

    It is the same for each process of an address. In an almost full table, a
    shuffled order needs far fewer probes than probing consecutive indexes.
    """
    return random.Random(address).sample(range(slots), slots)


def _slot_key(state: RateSlotState, index: int) -> str:
    return f'slots/{state.settings.domain}/{index}'


def _record_change(state: RateSlotState, change: str) -> Effect:
    fields = {
        'change': change,
        'domain': state.settings.domain,
        'slot': state.index,
    }
    return RecordEvent(EventKind.slot_changed, fields)
