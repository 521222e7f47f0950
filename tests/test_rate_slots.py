"""Test that no two nodes use a rate slot at the same time."""

import unittest
from typing import Any

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from jasmineramp import rate_slots
from jasmineramp.clock import ManualClock, Millis
from jasmineramp.ids import DomainId
from jasmineramp.rate_slots import (
    HOUR_MS,
    RateSlotState,
    SlotEntry,
    SlotSettings,
)
from jasmineramp.store_messages import (
    CompareAndSwap,
    Get,
    Operation,
    Outcome,
    StoreAnswer,
    StoreAnswered,
    StoreRequest,
)
from tests.fakes.store import FakeStore

TICK_MS = HOUR_MS / 4
MINUTE_MS = 60_000.0


class Holder:
    """One process, whose clock may run slower than that of the platform."""

    def __init__(self, address: str, incarnation: int, slots: int) -> None:
        settings = SlotSettings(address, incarnation, DomainId('a'))
        self.state = RateSlotState(settings, slots, incarnation)
        self.clock_rate = 1.0
        self.cut = False
        self.paused = False


class SlotFleet:
    """Run the processes of one failure domain."""

    def __init__(self, slots: int = 2) -> None:
        self.clock = ManualClock()
        self.store = FakeStore(self.clock)
        self.slots = slots
        self.count = 0
        self.lost_swaps: list[Outcome] = []
        self.holders: dict[str, Holder] = {}

    def start(self, address: str) -> Holder:
        self.count += 1
        holder = Holder(address, self.count, self.slots)
        self.holders[address] = holder
        return holder

    def now(self, holder: Holder) -> Millis:
        return Millis(self.clock.now() * holder.clock_rate)

    def advance(self, duration: float, tick: float = TICK_MS) -> None:
        end = self.clock.now() + duration
        while self.clock.now() < end:
            self.clock.advance(min(tick, end - self.clock.now()))
            for holder in self.holders.values():
                if not holder.paused:
                    now = self.now(holder)
                    self.perform(holder, rate_slots.tick(holder.state, now))

    def perform(self, holder: Holder, effects: Any) -> None:
        for effect in effects:
            if isinstance(effect, StoreRequest):
                event = StoreAnswered(
                    effect.role,
                    effect.tag,
                    effect.operation,
                    self.run(holder, effect.operation),
                )
                now = self.now(holder)
                follow_up = rate_slots.answered(holder.state, event, now)
                self.perform(holder, follow_up)

    def run(self, holder: Holder, operation: Operation) -> StoreAnswer:
        if holder.cut:
            lost = not isinstance(operation, Get)
            return StoreAnswer(Outcome.unknown if lost else Outcome.not_done)
        if self.lost_swaps and isinstance(operation, CompareAndSwap):
            return StoreAnswer(self.lost_swaps.pop())
        return self.store.run(operation)

    def held(self, address: str) -> int | None:
        holder = self.holders[address]
        return rate_slots.held_slot(holder.state, self.now(holder))

    def all_held(self) -> list[int]:
        held = [self.held(address) for address in self.holders]
        return sorted(slot for slot in held if slot is not None)


ADDRESSES = st.sampled_from(['10.0.0.1', '10.0.0.2', '10.0.0.3'])


class SlotMachine(RuleBasedStateMachine):
    """Combine lost connections and answers, pauses, restarts, slow clocks."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = SlotFleet()
        for address in ('10.0.0.1', '10.0.0.2'):
            self.fleet.start(address)

    @rule(address=ADDRESSES, slow=st.booleans())
    def restart(self, address: str, slow: bool) -> None:
        holder = self.fleet.start(address)
        holder.clock_rate = 0.99 if slow else 1.0

    @rule(address=ADDRESSES, paused=st.booleans(), cut=st.booleans())
    def disturb(self, address: str, paused: bool, cut: bool) -> None:
        holder = self.fleet.holders.get(address)
        if holder is not None:
            holder.paused = paused
            holder.cut = cut

    @rule(hours=st.sampled_from([0.25, 1, 20, 23.9]))
    def advance(self, hours: float) -> None:
        self.fleet.advance(hours * HOUR_MS)

    @rule(answers=st.integers(0, 3), requests=st.integers(0, 3))
    def lose_writes(self, answers: int, requests: int) -> None:
        self.fleet.store.faults.lose_answers = answers
        self.fleet.store.faults.lose_requests = requests

    @rule(count=st.integers(0, 2))
    def lose_swaps(self, count: int) -> None:
        self.fleet.lost_swaps = [Outcome.unknown] * count

    @rule(down=st.booleans())
    def change_store(self, down: bool) -> None:
        self.fleet.store.faults.down = down

    @rule(address=ADDRESSES)
    def release(self, address: str) -> None:
        holder = self.fleet.holders.get(address)
        if holder is not None:
            now = self.fleet.now(holder)
            self.fleet.perform(holder, rate_slots.release(holder.state, now))

    @invariant()
    def slots_have_one_user(self) -> None:
        held = self.fleet.all_held()
        assert len(held) == len(set(held))


SlotMachineTest = SlotMachine.TestCase
SlotMachineTest.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)


class RateSlotTest(unittest.TestCase):
    """Guard against slots that are lost, held twice or never released."""

    def setUp(self) -> None:
        self.fleet = SlotFleet()
        for address in ('10.0.0.1', '10.0.0.2'):
            self.fleet.start(address)
        self.fleet.advance(MINUTE_MS, MINUTE_MS)

    def test_each_node_takes_one_slot_and_renews_it(self) -> None:
        self.assertEqual(self.fleet.all_held(), [0, 1])
        self.fleet.advance(72 * HOUR_MS)
        self.assertEqual(self.fleet.all_held(), [0, 1])
        self.fleet.start('10.0.0.3')
        self.fleet.advance(HOUR_MS)
        self.assertIsNone(self.fleet.held('10.0.0.3'))

    def test_lease_margin_covers_a_slow_clock(self) -> None:
        slow = self.fleet.holders['10.0.0.1']
        slow.clock_rate = 0.99
        self.fleet.advance(2 * HOUR_MS)
        slow.cut = True
        self.fleet.start('10.0.0.3')
        held_later = set()
        for _ in range(30 * 4):
            self.fleet.advance(TICK_MS)
            held = self.fleet.all_held()
            self.assertEqual(len(held), len(set(held)))
            held_later.add(self.fleet.held('10.0.0.3'))
        self.assertIsNone(self.fleet.held('10.0.0.1'))
        self.assertNotEqual(held_later, {None})

    def test_only_the_same_address_takes_over_a_slot(self) -> None:
        slot = self.fleet.held('10.0.0.1')
        self.fleet.holders.pop('10.0.0.1')
        self.fleet.start('10.0.0.3')
        self.fleet.advance(HOUR_MS)
        self.assertIsNone(self.fleet.held('10.0.0.3'))
        self.fleet.start('10.0.0.1')
        self.fleet.advance(MINUTE_MS, MINUTE_MS)
        self.assertEqual(self.fleet.held('10.0.0.1'), slot)
        self.fleet.advance(30 * HOUR_MS)
        self.assertEqual(self.fleet.held('10.0.0.1'), slot)

    def test_released_slot_is_free_at_once(self) -> None:
        holder = self.fleet.holders['10.0.0.1']
        self.fleet.store.faults.lose_answers = 1
        now = self.fleet.now(holder)
        self.fleet.perform(holder, rate_slots.release(holder.state, now))
        self.assertIsNone(self.fleet.held('10.0.0.1'))
        self.fleet.start('10.0.0.3')
        self.fleet.advance(HOUR_MS)
        self.assertIsNotNone(self.fleet.held('10.0.0.3'))

    def test_outage_of_half_a_day_keeps_the_slot(self) -> None:
        self.fleet.store.faults.down = True
        self.fleet.advance(12 * HOUR_MS)
        self.assertEqual(self.fleet.all_held(), [0, 1])
        self.fleet.advance(12 * HOUR_MS)
        self.assertEqual(self.fleet.all_held(), [])
        self.fleet.store.faults.down = False
        self.fleet.advance(2 * HOUR_MS)
        self.assertEqual(self.fleet.all_held(), [0, 1])

    def test_slot_beyond_a_lower_count_is_released(self) -> None:
        for holder in self.fleet.holders.values():
            now = self.fleet.now(holder)
            effects = rate_slots.set_slots(holder.state, 1, now)
            self.fleet.perform(holder, effects)
        self.fleet.advance(HOUR_MS)
        self.assertEqual(self.fleet.all_held(), [0])

    def test_higher_slot_count_restarts_the_search_at_once(self) -> None:
        """Guard against a node that waits minutes although a slot is free."""
        holder = self.fleet.start('10.0.0.3')
        self.fleet.advance(MINUTE_MS, MINUTE_MS / 10)
        self.assertIsNone(self.fleet.held('10.0.0.3'))
        self.fleet.perform(
            holder,
            rate_slots.set_slots(holder.state, 3, self.fleet.now(holder)),
        )
        self.fleet.advance(5_000, 50)
        self.assertIsNotNone(self.fleet.held('10.0.0.3'))

    def test_lost_write_does_not_hold_the_slot(self) -> None:
        fleet = SlotFleet(slots=1)
        fleet.lost_swaps = [Outcome.unknown]
        fleet.start('10.0.0.1')
        fleet.start('10.0.0.2')
        fleet.advance(HOUR_MS)
        self.assertEqual(fleet.all_held(), [0])

    def test_slot_is_taken_after_an_outage_during_the_search(self) -> None:
        fleet = SlotFleet(slots=1)
        fleet.lost_swaps = [Outcome.not_done] * 200
        fleet.start('10.0.0.1')
        fleet.advance(30 * HOUR_MS)
        fleet.lost_swaps = []
        fleet.advance(2 * HOUR_MS)
        self.assertEqual(fleet.all_held(), [0])

    def test_almost_full_domain_needs_few_reads(self) -> None:
        fleet = SlotFleet(slots=110)
        for index in range(107):
            fleet.start(f'10.0.0.{index}')
        fleet.advance(HOUR_MS)
        self.assertEqual(len(fleet.all_held()), 107)
        # Probing consecutive indexes takes 1,754 reads.
        self.assertLess(fleet.store.calls['Get'], 1500)

    def test_damaged_entry_is_not_overwritten(self) -> None:
        fleet = SlotFleet(slots=2)
        for slot in range(2):
            fleet.store.run(CompareAndSwap(f'slots/a/{slot}', 0, b'\xc1'))
        fleet.start('10.0.0.1')
        fleet.advance(HOUR_MS)
        self.assertEqual(fleet.all_held(), [])

    def test_slot_is_lost_when_its_entry_is_overwritten(self) -> None:
        slot = self.fleet.held('10.0.0.1')
        key = f'slots/a/{slot}'
        answer = self.fleet.store.run(Get(key))
        entry = SlotEntry('10.0.0.9', 1)
        body = msgspec.msgpack.encode(entry)
        lease = self.fleet.store.state.entries[key].lease
        self.fleet.store.run(CompareAndSwap(key, answer.revision, body, lease))
        self.fleet.advance(2 * HOUR_MS)
        self.assertIsNone(self.fleet.held('10.0.0.1'))

    def test_validity_starts_when_the_request_is_sent(self) -> None:
        holder = self.fleet.holders['10.0.0.1']
        sent = Millis(self.fleet.clock.now() + 2 * HOUR_MS)
        (request,) = rate_slots.tick(holder.state, sent)
        received = Millis(sent + 5 * HOUR_MS)
        for _ in range(2):
            answer = self.fleet.store.run(request.operation)
            event = StoreAnswered(
                request.role, request.tag, request.operation, answer
            )
            request, *_ = rate_slots.answered(holder.state, event, received)
        expected = sent + 24 * HOUR_MS * 0.99
        self.assertAlmostEqual(holder.state.valid_until, expected)
