"""Test that scarce repeats finish chains of calls that are nearly done.

Pattern: all instances of a service reject 55% of their arrivals, and each
request needs several calls to it one after another.
"""

import random
import unittest
from typing import NamedTuple

from jasmineramp.ids import ServiceName
from jasmineramp.mesh.entry import MAX_REDIRECTS
from jasmineramp.mesh.retry_budget import (
    TOP_IMPORTANCE,
    RepeatBudget,
    RetryBudget,
)

SERVICE = ServiceName('stock')
RATIO = 0.2
SLACK = 92
INSTANCES = 17
CHAINS = 5000
CONCURRENT_CHAINS = 200


class Outcome(NamedTuple):
    """Hold the share of completed chains and the counts of arrivals."""

    completed: float
    firsts: int
    repeats: int


class Chain:
    """Hold a chain whose calls one node sends."""

    def __init__(self, budget: RetryBudget) -> None:
        self.budget = budget
        self.answered = 0
        self.sends = 0


def run_chains(length: int, rejected_share: float, *, tells: bool) -> Outcome:
    """Run chains side by side; `tells` passes their progress on."""
    rng = random.Random(5)
    entries = [RetryBudget(RATIO, SLACK) for _ in range(INSTANCES)]
    for entry in entries:
        entry.set_nodes(INSTANCES)
    gates = [RepeatBudget(RATIO, SLACK) for _ in range(INSTANCES)]
    for gate in gates:
        gate.set_instances(INSTANCES)
    completed = firsts = repeats = started = 0
    chains: list[Chain] = []
    while chains or started < CHAINS:
        while len(chains) < CONCURRENT_CHAINS and started < CHAINS:
            chains.append(Chain(rng.choice(entries)))
            started += 1
        chain = rng.choice(chains)
        gate = rng.choice(gates)
        # Without progress the arguments are those of a call that tells none.
        progress = (chain.answered,) if tells else ()
        if not chain.sends:
            chain.budget.count_send(SERVICE)
            gate.count_first()
            firsts += 1
        elif (
            chain.sends > MAX_REDIRECTS
            or not chain.budget.take(SERVICE, *progress)
            or not gate.take(TOP_IMPORTANCE, *progress)
        ):
            chains.remove(chain)
            continue
        else:
            repeats += 1
        chain.sends += 1
        if rng.random() >= rejected_share:
            chain.answered += 1
            chain.sends = 0
            if chain.answered == length:
                completed += 1
                chains.remove(chain)
    return Outcome(completed / CHAINS, firsts, repeats)


class RepeatsByProgressTest(unittest.TestCase):
    """Compare chains that pass their progress on with some that do not."""

    # Guards against repeats spent evenly, so that few chains complete.
    def test_more_chains_complete_when_most_arrivals_are_rejected(
        self,
    ) -> None:
        for length, gain in ((4, 1.3), (8, 2)):
            with self.subTest(length):
                before = run_chains(length, 0.55, tells=False)
                after = run_chains(length, 0.55, tells=True)
                self.assertGreater(after.completed, gain * before.completed)
                self.assertLessEqual(
                    after.repeats, RATIO * after.firsts + SLACK
                )

    # Guards against repeats withheld from new calls for no need.
    def test_nothing_changes_while_credit_suffices(self) -> None:
        for rejected_share in (0, 0.1):
            with self.subTest(rejected_share):
                self.assertEqual(
                    run_chains(4, rejected_share, tells=True),
                    run_chains(4, rejected_share, tells=False),
                )

    # Guards against a shortage that outlasts its cause.
    def test_calls_without_progress_are_repeated_after_a_shortage(self) -> None:
        budget = RetryBudget(RATIO, SLACK)
        for _ in range(99):
            budget.take(SERVICE)
        self.assertFalse(budget.take(SERVICE))
        for _ in range(30):
            budget.count_send(SERVICE)
        self.assertTrue(budget.take(SERVICE))
