"""Test that a claimed call runs at most once, whatever fails."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from jasmineramp import idempotency
from jasmineramp.claim_log import log_key
from jasmineramp.claim_messages import ClaimEnd, ClaimVerdict
from jasmineramp.claim_settings import HAND_BACK_MS, RECORDS_PER_PERIOD
from jasmineramp.claim_table import HOUR_MS
from jasmineramp.effects import SendMessage
from jasmineramp.ids import DomainId, NodeId, PartitionId
from jasmineramp.refusals import RefusalCode
from jasmineramp.store_messages import CompareAndSwap, StoreRequest
from tests.fakes.claims import ClaimFleet, Network
from tests.fakes.store import Faults

START_MS = 4000.0
FAILOVER_MS = 15_000.0
DOMAINS = (DomainId('a'),)
NODES = st.sampled_from([NodeId('n0'), NodeId('n1'), NodeId('n2')])
KEYS = st.sampled_from(['k0', 'k1'])
ENDS = st.sampled_from([ClaimEnd.done, ClaimEnd.done, ClaimEnd.not_run])


class ClaimMachine(RuleBasedStateMachine):
    """Mix calls with crashes, pauses, lost answers and outages."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = ClaimFleet(nodes=3, domains=DOMAINS)
        self.fleet.advance(START_MS)

    @rule(node=NODES, key=KEYS, end=ENDS, duration=st.sampled_from([5, 900]))
    def call(
        self, node: NodeId, key: str, end: ClaimEnd, duration: float
    ) -> None:
        if node in self.fleet.nodes:
            self.fleet.call(node, key, end, duration)
            self.fleet.advance(100)

    @rule(duration=st.sampled_from([20, 1100, 7000]))
    def advance(self, duration: float) -> None:
        self.fleet.advance(duration)

    @rule(key=KEYS, crash=st.booleans(), wait=st.sampled_from([20, 9000]))
    def disturb_owner(self, key: str, crash: bool, wait: float) -> None:
        """Pause or crash the owner while it has a call of its own."""
        owner = self.fleet.owner()
        if owner is None:
            return
        self.fleet.nodes[owner].paused = not crash
        self.fleet.call(owner, key)
        if crash:
            self.fleet.crash(owner)
        self.fleet.advance(wait)

    @rule(node=NODES, wait=st.sampled_from([20, 2500]))
    def crash(self, node: NodeId, wait: float) -> None:
        self.fleet.crash(node)
        self.fleet.advance(wait)
        self.fleet.start(node)

    @rule()
    def recover(self) -> None:
        for node in self.fleet.places:
            if node not in self.fleet.nodes:
                self.fleet.start(node)
            self.fleet.resume(node)
        self.fleet.advance(1100)

    @rule(
        node=NODES,
        key=KEYS,
        loss=st.sampled_from([0, 0.5]),
        delay=st.sampled_from([1, 700, 3000]),
        cut=st.sets(NODES, max_size=1),
        wait=st.sampled_from([150, 2500]),
    )
    def disturb_network(
        self,
        node: NodeId,
        key: str,
        loss: float,
        delay: float,
        cut: set[NodeId],
        wait: float,
    ) -> None:
        self.fleet.network = Network(loss, 0.5, delay, cut=cut)
        if node in self.fleet.nodes:
            self.fleet.call(node, key)
        self.fleet.advance(wait)
        self.fleet.network = Network()

    @rule(
        node=NODES,
        key=KEYS,
        answers=st.integers(0, 2),
        requests=st.integers(0, 2),
        late=st.integers(0, 2),
    )
    def lose_writes(
        self, node: NodeId, key: str, answers: int, requests: int, late: int
    ) -> None:
        self.fleet.store.faults.lose_answers = answers
        self.fleet.store.faults.lose_requests = requests
        self.fleet.network.late_writes = late
        if node in self.fleet.nodes:
            self.fleet.call(node, key)
        self.fleet.advance(1100)

    @rule(duration=st.sampled_from([300, 7000]))
    def take_store_down(self, duration: float) -> None:
        self.fleet.store.faults.down = True
        self.fleet.advance(duration)
        self.fleet.store.faults.down = False

    @invariant()
    def runs_at_most_once(self) -> None:
        assert all(runs == 1 for runs in self.fleet.runs.values())

    def teardown(self) -> None:
        """Check that a new key runs once every fault has ended."""
        fleet = self.fleet
        fleet.network = Network()
        fleet.store.faults = Faults()
        self.recover()
        fleet.update_views()
        fleet.advance(FAILOVER_MS)
        self.runs_at_most_once()
        for node in fleet.places:
            call_id = fleet.call(node, f'new-{node}')
            fleet.advance(500)
            assert fleet.verdict(call_id) is ClaimVerdict.granted


ClaimMachineTest = ClaimMachine.TestCase
ClaimMachineTest.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
