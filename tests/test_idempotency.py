"""Test that a claimed call runs at most once despite faults."""

import unittest
from typing import Any
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from jasmineramp import idempotency
from jasmineramp.claim_archive import HOUR_MS, RETENTION_MS, EndedClaims
from jasmineramp.claim_log import log_key
from jasmineramp.claim_messages import (
    ClaimAnswer,
    ClaimResult,
    ClaimVerdict,
    OutcomeAnswer,
)
from jasmineramp.claim_refusals import describe_refusal
from jasmineramp.claim_settings import HAND_BACK_DELAY_MS, ClaimSettings
from jasmineramp.claim_table import (
    MAX_CACHED_RESPONSES_BYTES,
    MAX_RESPONSE_BYTES,
    Claim,
    ClaimTable,
)
from jasmineramp.clock import Millis
from jasmineramp.ids import (
    CallId,
    DomainId,
    IdempotencyKey,
    NodeId,
    PartitionId,
)
from jasmineramp.refusals import RefusalCode
from tests.fakes.claims import (
    STORE_TIMEOUT_MS,
    WORKSPACE,
    ClaimFleet,
    Network,
)
from tests.fakes.store import Faults

STARTUP_MS = 4000.0
FAILOVER_MS = 15_000.0
DOMAINS = (DomainId('a'),)
NODES = st.sampled_from([NodeId('n0'), NodeId('n1'), NodeId('n2')])
KEYS = st.sampled_from(['k0', 'k1'])
RESULTS = st.sampled_from(
    [ClaimResult.done, ClaimResult.done, ClaimResult.not_run]
)

NETWORKS = st.builds(
    Network,
    loss=st.sampled_from([0, 0.5]),
    duplicates=st.just(0.5),
    delay_ms=st.sampled_from([1, 700, 3000]),
    cut=st.sets(NODES, max_size=1),
)


class ClaimMachine(RuleBasedStateMachine):
    """Mix calls with crashes, pauses, message loss and store outages.

    It guards against a call that runs twice, because two owners granted its
    key or an owner forgot that it granted the key.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fleet = ClaimFleet(nodes=3, domains=DOMAINS)
        self.fleet.advance(STARTUP_MS)

    @rule(
        node=NODES,
        key=KEYS,
        result=RESULTS,
        duration=st.sampled_from([5, 900]),
    )
    def call(
        self, node: NodeId, key: str, result: ClaimResult, duration: float
    ) -> None:
        if node in self.fleet.nodes:
            self.fleet.call(node, key, result=result, duration=duration)
            self.fleet.advance(100)

    @rule(duration=st.sampled_from([20, 1100, 7000]))
    def advance(self, duration: float) -> None:
        self.fleet.advance(duration)

    @rule(key=KEYS, crash=st.booleans(), wait=st.sampled_from([20, 9000]))
    def disturb_owner(self, key: str, crash: bool, wait: float) -> None:
        """Pause or crash the owner during a call that it claimed itself."""
        owner = self.fleet.owner()
        if owner is None:
            return
        self.fleet.nodes[owner].paused = not crash
        self.fleet.call(owner, key)
        if crash:
            self.fleet.crash(owner)
        self.fleet.advance(wait)
        for node, process in list(self.fleet.nodes.items()):
            if not process.paused:
                self.fleet.call(node, key)
                self.fleet.advance(500)

    @rule(node=NODES, wait=st.sampled_from([20, 2500]))
    def crash(self, node: NodeId, wait: float) -> None:
        self.fleet.crash(node)
        self.fleet.advance(wait)
        self.fleet.start(node)

    @rule()
    def recover(self) -> None:
        for node in self.fleet.domains_by_node:
            if node not in self.fleet.nodes:
                self.fleet.start(node)
            self.fleet.resume(node)
        self.fleet.advance(1100)

    @rule(
        node=NODES,
        key=KEYS,
        network=NETWORKS,
        wait=st.sampled_from([150, 2500]),
    )
    def disturb_network(
        self, node: NodeId, key: str, network: Network, wait: float
    ) -> None:
        self.fleet.network = network
        if node in self.fleet.nodes:
            self.fleet.call(node, key)
        self.fleet.advance(wait)
        self.fleet.network = Network()

    @rule(
        key=KEYS,
        faults=st.tuples(*[st.integers(0, 2)] * 3),
        unknown_after_ms=st.sampled_from([0, STORE_TIMEOUT_MS]),
        crash=st.booleans(),
    )
    def lose_writes(
        self,
        key: str,
        faults: tuple[int, int, int],
        unknown_after_ms: float,
        crash: bool,
    ) -> None:
        store = self.fleet.store.faults
        store.lose_answers, store.lose_requests, late = faults
        self.fleet.network = Network(
            late_writes=late, unknown_after_ms=unknown_after_ms
        )
        for node in list(self.fleet.nodes):
            self.fleet.call(node, key)
            self.fleet.advance(500)
        owner = self.fleet.owner()
        if crash and owner is not None:
            self.fleet.crash(owner)

    @rule(duration=st.sampled_from([300, 7000]))
    def take_store_down(self, duration: float) -> None:
        self.fleet.store.faults.down = True
        self.fleet.advance(duration)
        self.fleet.store.faults.down = False

    @invariant()
    def runs_at_most_once(self) -> None:
        assert all(runs == 1 for runs in self.fleet.runs.values())

    def teardown(self) -> None:
        """Check that a call with a new key runs after every fault ended."""
        fleet = self.fleet
        fleet.network = Network()
        fleet.store.faults = Faults()
        self.recover()
        fleet.update_membership()
        fleet.advance(FAILOVER_MS)
        self.runs_at_most_once()
        for node in fleet.domains_by_node:
            call_id = fleet.call(node, f'new-{node}')
            fleet.advance(500)
            assert fleet.verdict(call_id) is ClaimVerdict.granted


ClaimMachineTest = ClaimMachine.TestCase
ClaimMachineTest.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None
)


class ClaimTestCase(unittest.TestCase):
    """Set up three nodes of one failure domain."""

    def setUp(self) -> None:
        self.fleet = ClaimFleet(nodes=3, domains=DOMAINS)
        self.fleet.advance(STARTUP_MS)

    def ask(self, key: str = 'k', node: str = 'n1', **options: Any) -> Any:
        """Start a call and return its decision, None if it has none yet."""
        call_id = self.fleet.call(NodeId(node), key, **options)
        self.fleet.advance(1100 if self.fleet.store.faults.down else 300)
        return self.fleet.decided.get(call_id)

    def replace_owner(self) -> None:
        self.fleet.crash(self.fleet.owner())
        self.fleet.advance(FAILOVER_MS)

    def assert_verdict(self, verdict: ClaimVerdict, **options: Any) -> None:
        self.assertEqual(self.ask(**options).verdict, verdict)


class RepeatTest(ClaimTestCase):
    """Guard against a repeated call that runs or gets a wrong verdict."""

    def test_repeat_gets_the_state_of_the_first_call(self) -> None:
        self.assert_verdict(ClaimVerdict.granted, duration=1000)
        running = self.ask(node='n2')
        self.assertEqual(running.verdict, ClaimVerdict.running)
        refusal = describe_refusal(running)
        self.assertEqual(refusal.code, RefusalCode.claim_running)
        self.assert_verdict(ClaimVerdict.reused, body=b'other')
        self.fleet.advance(1000)
        ran = self.ask(node='n2')
        self.assertEqual(
            (ran.verdict, ran.status, ran.response),
            (ClaimVerdict.ran, 201, b'response'),
        )
        self.assert_verdict(ClaimVerdict.reused, body=b'other')

    def test_new_owner_refuses_calls_that_ran(self) -> None:
        self.ask(node='n2')
        self.replace_owner()
        ran = self.ask()
        self.assertEqual((ran.verdict, ran.status), (ClaimVerdict.ran, 201))
        self.assert_verdict(ClaimVerdict.reused, body=b'other')

    def test_released_claim_is_granted_again(self) -> None:
        self.assert_verdict(ClaimVerdict.granted, result=ClaimResult.not_run)
        self.assert_verdict(ClaimVerdict.granted)
        self.assert_verdict(ClaimVerdict.ran)

    def test_crash_of_claimant_leaves_the_outcome_unknown(self) -> None:
        """No report follows a crash, so the key must not be granted again."""
        self.ask(node='n2', duration=5000)
        self.fleet.crash(NodeId('n2'))
        self.assert_verdict(ClaimVerdict.running)
        self.fleet.advance(2000)
        self.assert_verdict(ClaimVerdict.unknown)
        self.replace_owner()
        self.assert_verdict(ClaimVerdict.unknown)

    def test_late_report_replaces_the_unknown_outcome(self) -> None:
        """A call may end after its deadline, when its claim has expired."""
        self.ask(node='n2', duration=5000)
        self.fleet.advance(3000)
        self.assert_verdict(ClaimVerdict.unknown)
        self.fleet.advance(3000)
        self.assert_verdict(ClaimVerdict.ran)

    def test_store_outage_refuses_claims_until_it_ends(self) -> None:
        self.fleet.store.faults.down = True
        self.assert_verdict(ClaimVerdict.unavailable)
        self.assert_verdict(ClaimVerdict.unavailable, key='k2')
        self.fleet.store.faults.down = False
        self.fleet.advance(FAILOVER_MS)
        self.assert_verdict(ClaimVerdict.granted)

    def test_failed_writes_before_recovery_do_not_block_new_claims(
        self,
    ) -> None:
        self.assert_verdict(ClaimVerdict.granted, duration=500)
        self.fleet.store.faults.down = True
        self.fleet.advance(1100)
        self.fleet.store.faults.down = False
        self.fleet.advance(4000)
        self.assert_verdict(ClaimVerdict.granted, key='k2')


class MemoryTest(ClaimTestCase):
    """Guard against an owner whose memory grows without limit."""

    def test_full_owner_refuses_new_claims_only(self) -> None:
        owner = self.fleet.nodes[self.fleet.owner()].state.owners[0]
        owner.ledger.claim_limit = 2
        self.assert_verdict(ClaimVerdict.granted, key='k1')
        self.assert_verdict(ClaimVerdict.granted, key='k2')
        self.assert_verdict(ClaimVerdict.unavailable, key='k3')
        self.fleet.advance(1000)
        self.assert_verdict(ClaimVerdict.ran, key='k1')

    def test_responses_are_bounded(self) -> None:
        table = ClaimTable()
        for token in range(300):
            claim = Claim(token, 0, token, 1, Millis(0), NodeId('n1'))
            table.add(claim)
            size = MAX_RESPONSE_BYTES + (token == 299)
            table.end(token, ClaimResult.done, 200, bytes(size))
        self.assertEqual(
            len(table.responses),
            MAX_CACHED_RESPONSES_BYTES // MAX_RESPONSE_BYTES,
        )
        self.assertIn(298, table.responses)
        self.assertNotIn(299, table.responses)


class FencingTest(ClaimTestCase):
    """Guard against two owners that both grant a claim."""

    def test_paused_owner_cannot_append(self) -> None:
        """An owner that resumes after its lease expired must not grant."""
        owner = self.fleet.owner()
        self.fleet.nodes[owner].paused = True
        late = self.fleet.call(owner, 'k')
        self.fleet.advance(FAILOVER_MS)
        self.assert_verdict(ClaimVerdict.granted, node='n1')
        self.fleet.resume(owner)
        self.fleet.advance(FAILOVER_MS)
        self.assertNotEqual(self.fleet.verdict(late), ClaimVerdict.granted)
        self.assertEqual(self.fleet.runs['k'], 1)

    def test_append_with_a_lost_request_is_not_confirmed(self) -> None:
        """A claim granted before its record is stored could run twice."""
        self.fleet.network.unknown_after_ms = 0
        self.fleet.store.faults.lose_requests = 1
        self.fleet.call(NodeId('n1'), 'k')
        self.fleet.advance(50)
        self.replace_owner()
        self.ask()
        self.assertLessEqual(self.fleet.runs['k'], 1)

    def test_append_with_a_lost_answer_is_confirmed_by_reading(self) -> None:
        """The owner cannot tell from a lost answer whether it appended."""
        self.fleet.store.faults.lose_answers = 1
        self.assertIsNone(self.ask())
        self.fleet.advance(3000)
        # The claimant timed out before the confirmation and released the claim.
        self.assert_verdict(ClaimVerdict.granted)
        self.fleet.network.unknown_after_ms = 0
        self.fleet.store.faults.lose_answers = 1
        self.assert_verdict(ClaimVerdict.granted, key='k2')

    def test_claimant_without_an_answer_does_not_run(self) -> None:
        """A call must not run on a timeout, as its key may have run."""
        self.fleet.network.cut = {self.fleet.owner()}
        call_id = self.fleet.call(NodeId('n1'), 'k')
        self.fleet.advance(1100)
        self.assertEqual(self.fleet.verdict(call_id), ClaimVerdict.unavailable)

    def test_late_grant_of_a_released_claim_is_released_again(self) -> None:
        """A delayed request can be granted after its release was confirmed.

        The claim would block the key until its deadline and then leave the
        outcome unknown, although no call ran.
        """
        settings = ClaimSettings(NodeId('n1'), 1, DOMAINS[0], DOMAINS)
        state = idempotency.ClaimState(settings, 1)
        owner = NodeId('n0')
        members = {owner: DOMAINS[0], NodeId('n1'): DOMAINS[0]}
        idempotency.set_members(state, members, Millis(0))
        call = idempotency.ClaimCall(
            CallId('c'), WORKSPACE, IdempotencyKey('k'), 1, 2000
        )
        (sent,) = idempotency.claim(state, call, Millis(0))
        _, release = idempotency.tick(state, Millis(1000))
        token = sent.message.token
        for message in (
            OutcomeAnswer(PartitionId(0), token, accepted=True),
            ClaimAnswer(PartitionId(0), token, ClaimVerdict.granted),
        ):
            effects = idempotency.receive(state, owner, message, Millis(1100))
        self.assertEqual(effects, [release])

    def test_new_owner_reads_summaries_and_later_records(self) -> None:
        with mock.patch('jasmineramp.claim_owner.RECORDS_PER_PERIOD', 3):
            for index in range(8):
                self.ask(f'k{index}', duration=100 if index else 60_000)
            self.replace_owner()
            self.assert_verdict(ClaimVerdict.unknown, key='k0')
            for index in range(1, 8):
                self.assert_verdict(ClaimVerdict.ran, key=f'k{index}')

    def test_damaged_record_stops_the_takeover_only(self) -> None:
        """A decoding error must neither pass as an empty log nor be final."""
        entries = self.fleet.store.state.entries
        key = log_key(PartitionId(0), 0)
        good = entries[key]
        entries[key] = good._replace(body=b'\xc1')
        self.replace_owner()
        self.assertIsNone(self.fleet.owner())
        entries[key] = good
        self.fleet.advance(FAILOVER_MS)
        self.assert_verdict(ClaimVerdict.granted)

    def test_different_number_of_partitions_stops_the_takeover(self) -> None:
        """Keys move between partitions when the number of them changes."""
        self.fleet.crash(self.fleet.owner())
        self.fleet.domains = (DomainId('a'), DomainId('b'))
        for node in self.fleet.domains_by_node:
            self.fleet.start(node)
        self.fleet.advance(FAILOVER_MS)
        self.assertIsNone(self.fleet.owner())


class ArchiveTest(unittest.TestCase):
    """Guard against an ended claim that is lost or has wrong values."""

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 2**64 - 1),
                st.integers(0, 2**32 - 1),
                st.integers(0, 599),
                st.sampled_from([0, HOUR_MS / 2, 13 * HOUR_MS, 25 * HOUR_MS]),
            ),
            max_size=30,
        )
    )
    def test_ended_claims_are_found_for_24_hours(self, claims: Any) -> None:
        archive = EndedClaims()
        expected = {}
        now = Millis(0)
        for key, body, status, wait in claims:
            archive.add(key, body, status)
            expected[key] = (body, status, now + wait + RETENTION_MS)
            if wait:
                now = Millis(now + wait)
                archive.summarise()
                archive.confirm_summary(len(archive.generations), now)
                archive.expire(now)
            for known, (known_body, known_status, end) in expected.items():
                if now < end:
                    found = archive.find(known)
                    self.assertEqual(found, (known_body, known_status))


class OwnershipTest(unittest.TestCase):
    """Guard against partitions without an owner and unbounded logs."""

    def test_backup_domain_serves_and_hands_back(self) -> None:
        fleet = ClaimFleet(nodes=4)
        fleet.advance(STARTUP_MS)
        self.assertEqual((fleet.owner(0), fleet.owner(1)), ('n0', 'n1'))
        for node in ('n0', 'n2'):
            fleet.crash(NodeId(node))
        fleet.advance(FAILOVER_MS)
        self.assertEqual(fleet.owner(0), 'n1')
        fleet.start(NodeId('n2'))
        fleet.advance(HAND_BACK_DELAY_MS + FAILOVER_MS)
        self.assertEqual((fleet.owner(0), fleet.owner(1)), ('n2', 'n1'))

    def test_former_candidate_finds_the_new_owner(self) -> None:
        """A node that stopped polling must not redirect to a stale owner."""
        fleet = ClaimFleet(nodes=3, domains=DOMAINS)
        fleet.crash(NodeId('n0'))
        fleet.update_membership()
        fleet.advance(FAILOVER_MS)
        fleet.network.cut = {NodeId('n1')}
        fleet.advance(7000)
        fleet.network.cut = set()
        fleet.start(NodeId('n0'))
        fleet.advance(7000)
        fleet.crash(NodeId('n1'))
        fleet.start(NodeId('n1'))
        fleet.advance(FAILOVER_MS)
        self.assertEqual(fleet.owner(), 'n0')
        call_id = fleet.call(NodeId('n2'), 'k')
        fleet.advance(1100)
        self.assertEqual(fleet.verdict(call_id), ClaimVerdict.granted)

    def test_stopping_owner_hands_over_before_its_lease_expires(self) -> None:
        """Without the hand-over claims are refused until the lease expires."""
        fleet = ClaimFleet(nodes=2, domains=DOMAINS)
        fleet.advance(STARTUP_MS)
        owner = fleet.owner()
        process = fleet.nodes.pop(owner)
        fleet.update_membership()
        fleet.nodes[owner] = process
        state = process.state
        fleet.perform(
            owner, process, idempotency.stop(state, fleet.clock.now())
        )
        fleet.advance(2000)
        self.assertTrue(idempotency.is_settled(state))
        self.assertNotIn(fleet.owner(), {None, owner})

    def test_claims_and_their_log_keys_expire_after_24_hours(self) -> None:
        fleet = ClaimFleet(nodes=1, domains=DOMAINS)
        fleet.advance(STARTUP_MS)
        node = NodeId('n0')
        fleet.call(node, 'k')
        fleet.advance(23 * HOUR_MS, tick=1900)
        repeat = fleet.call(node, 'k')
        fleet.advance(3 * HOUR_MS, tick=1900)
        self.assertEqual(fleet.verdict(repeat), ClaimVerdict.ran)
        again = fleet.call(node, 'k')
        fleet.advance(STARTUP_MS)
        self.assertEqual(fleet.verdict(again), ClaimVerdict.granted)
        fleet.advance(2 * HOUR_MS, tick=1900)
        self.assertNotIn(log_key(PartitionId(0), 1), fleet.store.state.entries)
        self.assertLess(len(fleet.store.state.entries), 40)

    def test_owner_writes_at_most_ten_times_a_second(self) -> None:
        fleet = ClaimFleet(nodes=2, domains=DOMAINS)
        fleet.advance(STARTUP_MS)
        before = fleet.store.calls.total() - fleet.store.calls['Get']
        for index in range(400):
            fleet.call(NodeId('n1'), f'k{index}', duration=20)
            fleet.advance(25)
        fleet.advance(50)
        writes = fleet.store.calls.total() - fleet.store.calls['Get'] - before
        self.assertLessEqual(writes, 10 * 10 + 1)
        self.assertEqual(fleet.runs.total(), 400)
