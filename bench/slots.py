"""Measure how a fleet takes and keeps its rate slots around outages.

Run as `python -m bench.slots --slots N`. All times are simulated; each node
has its call budget in front of the store.
"""

import argparse
import collections
import json
from typing import Any

from tests.fakes.store import FakeStore

from jasmineramp import rate_slots
from jasmineramp.clock import ManualClock
from jasmineramp.ids import DomainId
from jasmineramp.rate_slots import HOUR_MS, RateSlotState, SlotSettings
from jasmineramp.store_budget import StoreBudget
from jasmineramp.store_messages import (
    Get,
    Outcome,
    StoreAnswer,
    StoreAnswered,
    StoreRequest,
)

NODES = 1500
DOMAINS = 14
MINUTE_MS = 60_000.0
SECOND_MS = 1000.0


class SlotFleet:
    """Drive the nodes of all failure domains."""

    def __init__(self, slots: int) -> None:
        self.clock = ManualClock()
        self.store = FakeStore(self.clock)
        self.sent: dict[bool, collections.Counter[int]] = {}
        self.nodes = []
        for index in range(NODES):
            domain = index % DOMAINS
            address = f'10.{domain}.{index // 250}.{index % 250}'
            settings = SlotSettings(address, 1, DomainId(f'd{domain}'))
            state = RateSlotState(settings, slots, index)
            self.nodes.append((state, StoreBudget(index)))

    def advance(self, duration: float, tick: float = SECOND_MS) -> None:
        end = self.clock.now() + duration
        while self.clock.now() < end:
            self.clock.advance(tick)
            for state, budget in self.nodes:
                effects = rate_slots.tick(state, self.clock.now())
                self.perform(state, budget, effects)

    def perform(
        self, state: RateSlotState, budget: StoreBudget, effects: Any
    ) -> None:
        now = self.clock.now()
        for effect in effects:
            if not isinstance(effect, StoreRequest):
                continue
            operation = effect.operation
            if budget.admit(effect.role, operation, now):
                answer = StoreAnswer(Outcome.not_done)
            else:
                is_read = isinstance(operation, Get)
                self.sent[is_read][int(now / SECOND_MS)] += 1
                answer = self.store.run(operation)
                budget.record_outcome(
                    effect.role, operation, answer.outcome, now
                )
            event = StoreAnswered(effect.role, effect.tag, operation, answer)
            self.perform(state, budget, rate_slots.answered(state, event, now))

    def count_held(self) -> int:
        now = self.clock.now()
        return sum(
            rate_slots.held_slot(state, now) is not None
            for state, _ in self.nodes
        )

    def measure(self, name: str, minutes: int) -> None:
        """Advance by minutes and print peaks and the time to full slots."""
        self.sent = {
            True: collections.Counter(),
            False: collections.Counter(),
        }
        full_after = None
        for minute in range(minutes):
            self.advance(MINUTE_MS)
            if full_after is None and self.count_held() == NODES:
                full_after = minute + 1
        reads, writes = self.sent[True], self.sent[False]
        figures = {
            'measure': name,
            'held': self.count_held(),
            'full_after_minutes': full_after,
            'writes': writes.total(),
            'write_peak': max(writes.values(), default=0),
            'reads': reads.total(),
            'read_peak': max(reads.values(), default=0),
        }
        print(json.dumps(figures), flush=True)

    def suffer_outage(self, hours: float) -> None:
        self.store.faults.down = True
        self.advance(hours * HOUR_MS, 30 * SECOND_MS)
        # The last minute runs in short ticks, so that they coincide no more.
        self.advance(MINUTE_MS)
        self.store.faults.down = False


def main() -> None:
    """Start the fleet and let it return from two outages."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--slots', type=int, default=130)
    fleet = SlotFleet(parser.parse_args().slots)
    fleet.measure('start', 8)
    fleet.suffer_outage(2)
    fleet.measure('return after 2 h', 3)
    fleet.suffer_outage(26)
    fleet.measure('return after 26 h', 10)


if __name__ == '__main__':
    main()
