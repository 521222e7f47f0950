"""Hold the rate slot of a node under a long lease."""

import enum
import random

import msgspec

from jasmineramp.clock import Millis, later
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
# The clocks of node and platform may differ by 1% in rate.
LEASE_USE = 0.99
RENEW_MS = HOUR_MS
RENEW_JITTER = 0.1
SEARCH_MS = HOUR_MS
SEARCH_AGAIN_MS = 600_000.0
# 1,500 nodes that retry this often stay far below the platform's rates.
LAST_RETRY_MS = 60_000.0
# Slots that are read after a free one, to find the predecessor's entry.
LOOK_AHEAD = 8


class SlotSettings(msgspec.Struct, frozen=True):
    """Describe the node; no two live processes share an address."""

    address: str
    incarnation: int
    domain: DomainId


class SlotEntry(msgspec.Struct, frozen=True, array_like=True):
    """Name the holder of a slot."""

    address: str
    incarnation: int


class SlotPhase(enum.Enum):
    """Name the steps of a slot holder."""

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
_decode = msgspec.msgpack.Decoder(SlotEntry).decode


class RateSlotState:
    """Hold the slot of this node and the search for one."""

    def __init__(self, settings: SlotSettings, slots: int, seed: int) -> None:
        self.settings = settings
        self.slots = slots
        self.order = _order_probes(settings.address, slots)
        self.random = random.Random(seed)
        prefix = f'slots/{settings.domain}'
        self.step = StoreStep(
            Role.rate_slot, prefix, self.random, LAST_RETRY_MS
        )
        self.phase = SlotPhase.idle
        self.index: SlotIndex | None = None
        self.revision = 0
        self.leases = 0
        self.granted_at = Millis(0)
        self.valid_until = Millis(0)
        self.due = Millis(0)
        self.probes = 0
        self.last_probe = slots
        self.free: int | None = None
        self.stopping = False
        # A slot whose key was absent has no predecessor with live loans.
        self.fresh = False

    @property
    def lease(self) -> str:
        """Return the name of the lease in use."""
        settings = self.settings
        return (
            f'slots/lease/{settings.domain}/{settings.address}/'
            f'{settings.incarnation}/{self.leases}'
        )


def is_stopped(state: RateSlotState) -> bool:
    """Tell whether the slot has been given back for good."""
    return state.phase is SlotPhase.stopped


def held_slot(state: RateSlotState, now: Millis) -> SlotIndex | None:
    """Return the slot if it may be used now; call it right before use."""
    if state.phase in _IN_USE and now < state.valid_until:
        return state.index
    return None


def tick(state: RateSlotState, now: Millis) -> list[Effect]:
    """Search, renew and repeat when due."""
    if state.phase in _SEARCHING and now - state.granted_at > SEARCH_MS:
        # The store refuses writes under a lease that has lapsed meanwhile.
        state.step.cancel()
        return _search_at(state, now)
    effects = state.step.tick(now)
    if state.step.busy or now < state.due:
        return effects
    if state.phase is SlotPhase.idle and not state.stopping:
        return effects + _grant(state, now)
    if state.phase is SlotPhase.held:
        keep_alive = KeepAlive(state.lease)
        return effects + _move(state, SlotPhase.renewing, keep_alive, now)
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
    """Stop using the slot at once and give it back; done when stopped."""
    state.stopping = True
    return _give_back(state, now)


def set_slots(state: RateSlotState, slots: int, now: Millis) -> list[Effect]:
    """Note the number of slots; a slot beyond it is given back."""
    if slots == state.slots:
        return []
    state.slots = slots
    state.order = _order_probes(state.settings.address, slots)
    if state.phase in _IN_USE:
        beyond = state.index is None or state.index >= slots
        return _give_back(state, now) if beyond else []
    if state.phase in _SEARCHING or state.phase is SlotPhase.granting:
        return _give_back(state, now)
    if state.phase is SlotPhase.idle:
        # A node that found no slot would wait minutes before it looks again.
        state.due = now
    return []


def _give_back(state: RateSlotState, now: Millis) -> list[Effect]:
    if state.phase in {SlotPhase.releasing, SlotPhase.stopped}:
        return []
    if state.phase is SlotPhase.idle:
        state.phase = SlotPhase.stopped
        return []
    state.index = None
    return _move(state, SlotPhase.releasing, RevokeLease(state.lease), now)


def _grant(state: RateSlotState, now: Millis) -> list[Effect]:
    state.leases += 1
    state.probes = 0
    state.last_probe = state.slots
    state.free = None
    lease = GrantLease(state.lease, LEASE_MS)
    return _move(state, SlotPhase.granting, lease, now)


def _granted(state: RateSlotState, now: Millis) -> list[Effect]:
    state.granted_at = state.step.sent_at
    return _probe(state, now)


def _probe(state: RateSlotState, now: Millis) -> list[Effect]:
    if state.probes < state.last_probe:
        key = _slot_key(state, state.order[state.probes])
        return _move(state, SlotPhase.probing, Get(key), now)
    if state.free is not None:
        return _write(state, state.free, 0, now)
    # The lease that was not needed lapses by itself.
    wait = SEARCH_AGAIN_MS * state.random.uniform(0.5, 1)
    return _search_at(state, later(now, wait))


def _probed(
    state: RateSlotState, answer: StoreAnswer, now: Millis
) -> list[Effect]:
    index = state.order[state.probes]
    state.probes += 1
    if answer.revision and answer.body is not None:
        if _address_of(answer.body) == state.settings.address:
            return _write(state, index, answer.revision, now)
    elif state.free is None:
        state.free = index
        state.last_probe = min(state.slots, state.probes + LOOK_AHEAD)
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
    return _move(state, SlotPhase.writing, write, now)


def _written(
    state: RateSlotState, answer: StoreAnswer, now: Millis
) -> list[Effect]:
    if answer.outcome is not Outcome.done:
        # Another node took the slot first; look again with a fresh lease.
        return _search_at(state, now)
    state.revision = answer.revision
    return _hold(state, state.granted_at, 'slot is held')


def _hold(state: RateSlotState, since: Millis, change: str) -> list[Effect]:
    state.phase = SlotPhase.held
    state.valid_until = later(since, LEASE_MS * LEASE_USE)
    jitter = state.random.uniform(1 - RENEW_JITTER, 1 + RENEW_JITTER)
    state.due = later(since, RENEW_MS * jitter)
    return [_record(state, change)]


def _renewed(state: RateSlotState, done: bool, now: Millis) -> list[Effect]:
    if not done:
        return _lose(state, 'slot lease has lapsed', now)
    state.granted_at = state.step.sent_at
    key = _slot_key(state, state.index or 0)
    return _move(state, SlotPhase.checking, Get(key), now)


def _checked(
    state: RateSlotState, answer: StoreAnswer, now: Millis
) -> list[Effect]:
    if answer.revision != state.revision:
        return _lose(state, 'slot was taken over', now)
    return _hold(state, state.granted_at, 'slot is renewed')


def _lose(state: RateSlotState, change: str, now: Millis) -> list[Effect]:
    lost = _record(state, change)
    return [lost, *_search_at(state, now)]


def _released(state: RateSlotState) -> list[Effect]:
    state.phase = SlotPhase.stopped if state.stopping else SlotPhase.idle
    state.due = Millis(0)
    return [_record(state, 'slot is released')]


def _search_at(state: RateSlotState, due: Millis) -> list[Effect]:
    state.phase = SlotPhase.idle
    state.index = None
    state.due = due
    return []


def _move(
    state: RateSlotState, phase: SlotPhase, operation: Operation, now: Millis
) -> list[Effect]:
    state.phase = phase
    return state.step.start(operation, now)


def _address_of(body: bytes) -> str:
    """Return the address of an entry; a damaged one belongs to nobody."""
    try:
        return _decode(body).address
    except msgspec.MsgspecError:
        return ''


def _order_probes(address: str, slots: int) -> list[int]:
    """Return the order in which a node looks at the slots.

    It is the same for each process on an address. A shuffled order needs far
    fewer probes in an almost full table than the next index would.
    """
    return random.Random(address).sample(range(slots), slots)


def _slot_key(state: RateSlotState, index: int) -> str:
    return f'slots/{state.settings.domain}/{index}'


def _record(state: RateSlotState, change: str) -> Effect:
    fields = {
        'change': change,
        'domain': state.settings.domain,
        'slot': state.index,
    }
    return RecordEvent(EventKind.slot_changed, fields)
