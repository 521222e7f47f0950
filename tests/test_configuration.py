"""Test the spread of the table under faults."""

import unittest
import zlib

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from jasmineramp import configuration
from jasmineramp.clock import Millis
from jasmineramp.configuration_messages import (
    TABLE_KEY,
    Acknowledgement,
    AcknowledgementRecord,
    Copy,
    CopyRequest,
    DomainAcknowledgement,
    Offer,
    acknowledgement_key,
)
from jasmineramp.configuration_state import (
    ConfigurationState,
    accepted_rates,
    contact_age,
    make_members,
    serves_workspace,
    unpack_body,
)
from jasmineramp.effects import RecordEvent, SendMessage
from jasmineramp.store_messages import StoreRequest
from jasmineramp.table import WorkspaceRow
from tests.fakes.fleet import Fleet, make_body

INDEX = st.integers(0, 10_000)


class ConfigurationMachine(RuleBasedStateMachine):
    """Lose, repeat and reorder messages; restart nodes; stop the store."""

    @initialize()
    def start(self) -> None:
        self.fleet = Fleet((3, 2, 2))
        self.bodies: dict[int, bytes] = {}
        self.seen: dict[ConfigurationState, int] = {}
        self.highest = dict.fromkeys(self.fleet.nodes, 0)
        self.restarted = False
        self.edits = 0
        self.edit()

    @rule()
    def edit(self) -> None:
        if not self.fleet.store.down:
            self.edits += 1
            revision = self.fleet.edit(self.edits)
            self.bodies[revision] = make_body(self.edits)

    @rule(duration=st.sampled_from((50, 300, 1200)))
    def tick(self, duration: float) -> None:
        self.fleet.tick(duration)

    @rule(picks=st.lists(INDEX, max_size=20), keep=st.booleans())
    def deliver(self, picks: list[int], keep: bool) -> None:
        for pick in picks:
            if self.fleet.queue:
                size = len(self.fleet.queue)
                self.fleet.deliver(pick % size, keep=keep)
                self.check()

    @precondition(lambda self: self.fleet.past)
    @rule(pick=INDEX)
    def repeat(self, pick: int) -> None:
        self.fleet.repeat(pick % len(self.fleet.past))

    @rule()
    def deliver_all(self) -> None:
        self.fleet.deliver_all()

    @precondition(lambda self: self.fleet.queue)
    @rule(pick=INDEX)
    def lose(self, pick: int) -> None:
        del self.fleet.queue[pick % len(self.fleet.queue) :]

    @rule(pick=INDEX)
    def restart(self, pick: int) -> None:
        self.restarted = True
        nodes = list(self.fleet.nodes)
        self.fleet.restart(nodes[pick % len(nodes)])

    @rule()
    def restart_all(self) -> None:
        self.restarted = True
        for node in self.fleet.nodes:
            self.fleet.restart(node)

    @rule(pick=st.integers(0, 2))
    def cut_off_or_rejoin(self, pick: int) -> None:
        self.fleet.cut_off ^= {self.fleet.domains[pick]}

    @rule(requests=st.integers(0, 1), answers=st.integers(0, 1))
    def change_store(self, requests: int, answers: int) -> None:
        store = self.fleet.store
        store.down = not store.down
        store.lost_requests, store.lost_answers = requests, answers

    @invariant()
    def check(self) -> None:
        for node, state in self.fleet.states.items():
            assert state.revision >= self.seen.get(state, 0), 'went back'
            self.seen[state] = state.revision
            self.highest[node] = max(self.highest[node], state.revision)
            if state.revision:
                assert state.body == self.bodies[state.revision]
        accepted = max(self.fleet.accepted())
        assert accepted <= min(self.highest.values()), 'accepted too early'
        for domain in self.fleet.domains:
            key = acknowledgement_key(domain)
            _, body = self.fleet.store.values.get(key, (0, b''))
            if body:
                record = msgspec.json.decode(body, type=AcknowledgementRecord)
                assert record.revision <= min(
                    self.highest[node]
                    for node in self.fleet.nodes
                    if self.fleet.nodes[node] == domain
                ), 'record written too early'
        if accepted and not self.restarted:
            for state in self.fleet.states.values():
                assert accepted in state.rate_tables, 'rates are missing'

    def teardown(self) -> None:
        if not hasattr(self, 'fleet'):
            return
        store = self.fleet.store
        store.down, store.lost_requests, store.lost_answers = False, 0, 0
        self.fleet.cut_off = set()
        newest = store.values[TABLE_KEY][0]
        self.fleet.settle(15_000, 200)
        assert self.fleet.revisions() == {newest}, 'not spread'
        assert self.fleet.accepted() == {newest}, 'not accepted'
        for domain in self.fleet.domains:
            _, body = store.values[acknowledgement_key(domain)]
            record = msgspec.json.decode(body, type=AcknowledgementRecord)
            assert record.revision == newest, 'not recorded'


ConfigurationMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
ConfigurationMachineTest = ConfigurationMachine.TestCase


class SpreadTest(unittest.TestCase):
    """Guard against a spread that stops short of a node."""

    def test_pending_until_every_failure_domain_has_the_edit(self) -> None:
        fleet = Fleet((3, 3))
        first = fleet.edit(1)
        fleet.settle(2000)
        self.assertEqual(fleet.accepted(), {first})
        fleet.cut_off = {fleet.domains[1]}
        second = fleet.edit(2)
        fleet.settle(5000)
        self.assertEqual(fleet.revisions(), {first, second})
        self.assertEqual(fleet.accepted(), {first})
        rates = accepted_rates(fleet.states['d0-0'])
        self.assertEqual(rates.workspaces[0].rate, 1)
        fleet.cut_off = set()
        fleet.settle(8000)
        self.assertEqual(fleet.accepted(), {second})

    def test_a_node_that_joins_during_an_edit_gets_the_accepted_rates(
        self,
    ) -> None:
        fleet = Fleet((3, 3))
        first = fleet.edit(1)
        fleet.settle(2000)
        fleet.cut_off = {fleet.domains[1]}
        fleet.edit(2)
        fleet.settle(1000)
        fleet.restart('d0-2')
        fleet.settle(3000)
        state = fleet.states['d0-2']
        self.assertEqual(state.accepted, first)
        self.assertEqual(accepted_rates(state).workspaces[0].rate, 1)

    def test_lost_reports_of_a_failure_domain_are_repeated(self) -> None:
        fleet = Fleet((2, 2))
        revision = fleet.edit(1)
        for _ in range(40):
            fleet.tick(50)
            fleet.lose(DomainAcknowledgement)
            fleet.deliver_all()
        self.assertEqual(fleet.accepted(), {0})
        fleet.settle(8000)
        self.assertEqual(fleet.accepted(), {revision})

    def test_acknowledges_every_revision_since_the_accepted_one(self) -> None:
        members = make_members('b', ('a',), {})
        state = ConfigurationState('b', 'd', 1)
        for revision in (1, 2):
            effects = configuration.adopt(
                state, revision, make_body(revision), members, Millis(0)
            )
        self.assertIn(SendMessage('a', Acknowledgement((1, 2))), effects)

    def test_record_names_the_nodes_that_hang(self) -> None:
        fleet = Fleet((3,))
        fleet.states.pop('d0-2')
        revision = fleet.edit(1)
        for _ in range(80):
            fleet.tick(50)
            fleet.queue = [
                item for item in fleet.queue if item[1].node != 'd0-2'
            ]
            fleet.deliver_all()
        _, body = fleet.store.values[acknowledgement_key('d0')]
        record = msgspec.json.decode(body, type=AcknowledgementRecord)
        self.assertEqual(record.behind, ('d0-2',))
        self.assertEqual((record.revision, record.newest), (0, revision))

    def test_a_full_restart_without_the_platform_copies_from_peers(
        self,
    ) -> None:
        fleet = Fleet((2, 2))
        revision = fleet.edit(1)
        fleet.settle(2000)
        fleet.store.down = True
        for node in ('d0-0', 'd0-1', 'd1-0'):
            fleet.restart(node)
        fleet.settle(6000)
        self.assertEqual(fleet.revisions(), {revision})

    def test_writes_of_records_are_bounded(self) -> None:
        fleet = Fleet((3, 3))
        fleet.edit(1)
        fleet.settle(3000)
        key = acknowledgement_key('d0')
        self.assertEqual(fleet.store.writes[key], 1)
        for rate in range(1, 101):
            fleet.edit(rate)
            fleet.settle(100)
        self.assertLessEqual(fleet.store.writes[key], 12)
        self.assertLessEqual(fleet.store.writes['domains'], 1)

    def test_records_survive_lost_writes_and_answers(self) -> None:
        for requests, answers in ((1, 0), (0, 1)):
            fleet = Fleet((2,))
            fleet.edit(1)
            fleet.settle(5000)
            fleet.store.lost_requests = requests
            fleet.store.lost_answers = answers
            for rate in (2, 3):
                revision = fleet.edit(rate)
                fleet.settle(6000)
                _, body = fleet.store.values[acknowledgement_key('d0')]
                record = msgspec.json.decode(body, type=AcknowledgementRecord)
                self.assertEqual(record.revision, revision)
            self.assertEqual(fleet.store.writes[acknowledgement_key('d0')], 3)

    def test_an_older_table_from_the_platform_changes_nothing(self) -> None:
        fleet = Fleet((2,))
        fleet.edit(1)
        revision = fleet.edit(2)
        fleet.settle(500)
        fleet.store.values[TABLE_KEY] = (1, make_body(1))
        fleet.settle(500)
        self.assertEqual(fleet.revisions(), {revision})

    def test_a_hundred_requests_at_once_stay_within_the_byte_budget(
        self,
    ) -> None:
        fleet = Fleet((2,))
        fleet.edit(1)
        fleet.settle(500)
        state = fleet.states['d0-0']
        state.packed = b'x' * 400_000
        members = fleet.members('d0-0')
        sent = [
            configuration.receive(
                state, 'd0-1', CopyRequest(0, 0), members, fleet.now
            )
            for _ in range(100)
        ]
        self.assertEqual(sum(bool(effects) for effects in sent), 3)

    def test_a_lost_copy_is_asked_of_another_node(self) -> None:
        members = make_members('a', ('b', 'c'), {})
        state = ConfigurationState('a', 'd', 1)
        asked = []
        for sender in ('b', 'c'):
            offer = Offer(3, 0)
            asked += configuration.receive(
                state, sender, offer, members, Millis(0)
            )
        asked += configuration.tick(state, members, Millis(300))
        receivers = [
            effect.node
            for effect in asked
            if isinstance(effect, SendMessage)
            and isinstance(effect.message, CopyRequest)
        ]
        self.assertEqual(receivers, ['b', 'c'])

    def count(self, state, members, kind, duration: int) -> int:
        """Count messages of a kind when every answer is lost."""
        found = 0
        for now in range(50, duration, 50):
            effects = configuration.tick(state, members, Millis(now))
            found += sum(
                isinstance(effect, SendMessage)
                and isinstance(effect.message, kind)
                for effect in effects
            )
        return found

    def test_a_node_that_knows_it_is_behind_asks_more_often(self) -> None:
        members = make_members('c', ('a', 'b'), {})
        state = ConfigurationState('c', 'd', 1)
        configuration.receive(state, 'a', Offer(3, 0), members, Millis(0))
        self.assertGreater(self.count(state, members, Offer, 2000), 5)

    def test_lost_acknowledgements_are_repeated_soon_then_rarely(self) -> None:
        members = make_members('c', ('a', 'b'), {})
        state = ConfigurationState('c', 'd', 1)
        configuration.adopt(state, 1, make_body(1), members, Millis(0))
        quick = self.count(state, members, Acknowledgement, 1000)
        self.assertGreaterEqual(quick, 2)
        slow = self.count(state, members, Acknowledgement, 60_000)
        self.assertLess(slow, 20)

    def test_a_new_revision_is_offered_beyond_the_tree(self) -> None:
        others = [f'n{index:03}' for index in range(100)]
        members = make_members('n005', others, {})
        state = ConfigurationState('n005', 'd', 1)
        effects = configuration.adopt(
            state, 1, make_body(1), members, Millis(0)
        )
        offered = {
            effect.node
            for effect in effects
            if isinstance(effect, SendMessage)
            and isinstance(effect.message, Offer)
        }
        tree = {'n001', 'n021', 'n022', 'n023', 'n024'}
        self.assertLess(tree, offered)
        self.assertLessEqual(len(offered), 7)

    def test_an_offer_from_another_failure_domain_can_wait(self) -> None:
        members = make_members('a', ('b',), {'e': 'far'})
        state = ConfigurationState('a', 'd', 1)

        def requests(effects) -> list[str]:
            return [
                effect.node
                for effect in effects
                if isinstance(effect, SendMessage)
                and isinstance(effect.message, CopyRequest)
            ]

        def offer(sender: str) -> list[str]:
            effects = configuration.receive(
                state, sender, Offer(3, 0), members, Millis(0)
            )
            return requests(effects)

        self.assertEqual(offer('far'), [])
        self.assertEqual(offer('b'), ['b'])
        effects = configuration.tick(state, members, Millis(300))
        self.assertEqual(requests(effects), ['far'])

    def test_a_late_copy_of_an_older_table_changes_nothing(self) -> None:
        members = make_members('a', ('b',), {})
        state = ConfigurationState('a', 'd', 1)
        for revision in (3, 2):
            body = zlib.compress(make_body(revision))
            copy = Copy(revision, body, 0, b'')
            configuration.receive(state, 'b', copy, members, Millis(0))
        self.assertEqual(state.revision, 3)

    def test_a_damaged_table_leaves_the_old_one_in_force(self) -> None:
        fleet = Fleet((2,))
        revision = fleet.edit(1)
        fleet.settle(500)
        state, members = fleet.states['d0-0'], fleet.members('d0-0')
        copy = Copy(9, zlib.compress(b'{"calls": 1}'), 9, b'')
        effects = configuration.receive(state, 'd0-1', copy, members, fleet.now)
        self.assertIsInstance(effects[0], RecordEvent)
        self.assertEqual(state.revision, revision)
        self.assertEqual(state.accepted, revision)
        again = configuration.receive(
            state, 'd0-1', Offer(9, 0), members, fleet.now
        )
        self.assertFalse(any(isinstance(e, SendMessage) for e in again))

    def test_a_copy_that_unpacks_beyond_the_limit_is_rejected(self) -> None:
        bomb = zlib.compress(b' ' * 5_000_000)
        self.assertEqual(unpack_body(bomb), b'')
        packed = zlib.compress(make_body(1))
        self.assertEqual(unpack_body(packed), make_body(1))
        self.assertEqual(unpack_body(packed[:-6]), b'')
        self.assertEqual(unpack_body(b'no zlib'), b'')

    def test_a_damaged_message_does_not_reject_the_revision(self) -> None:
        members = make_members('a', ('b',), {})
        state = ConfigurationState('a', 'd', 1)
        packed = zlib.compress(make_body(1))
        for body in (packed[:-3], packed):
            copy = Copy(7, body, 0, b'')
            configuration.receive(state, 'b', copy, members, Millis(0))
        self.assertEqual(state.revision, 7)

    def test_edits_of_keys_share_the_rates_of_one_table(self) -> None:
        fleet = Fleet((1,))
        state, members = fleet.states['d0-0'], fleet.members('d0-0')
        for revision in range(1, 50):
            body = make_body(1)
            configuration.adopt(state, revision, body, members, fleet.now)
        self.assertEqual(len(state.rate_tables), 49)
        self.assertEqual(len(set(map(id, state.rate_tables.values()))), 1)


class ContactTest(unittest.TestCase):
    """Guard against keys that are served longer than the grace."""

    def test_contact_ages_in_a_failure_domain_that_is_cut_off(self) -> None:
        fleet = Fleet((4, 2))
        fleet.edit(1)
        fleet.settle(10_000)
        row = WorkspaceRow('studio', 1, 1, offline_grace_ms=12_000)
        for state in fleet.states.values():
            self.assertTrue(serves_workspace(state, row, fleet.now))
        fleet.cut_off = {fleet.domains[1]}
        start = fleet.now
        fleet.settle(14_000)
        for node, state in fleet.states.items():
            is_cut_off = node.startswith('d1')
            self.assertIs(
                serves_workspace(state, row, fleet.now), not is_cut_off, node
            )
            if is_cut_off:
                self.assertGreaterEqual(
                    contact_age(state, fleet.now), fleet.now - start
                )

    def test_a_late_answer_does_not_make_the_contact_younger(self) -> None:
        members = make_members('b', ('a',), {})
        state = ConfigurationState('b', 'd', 1)
        configuration.tick(state, members, Millis(1000))
        asked = state.asked_at
        for echo, age in ((asked, 500), (None, 0), (1e9, 0)):
            offer = Offer(0, 0, None, echo, age)
            configuration.receive(state, 'a', offer, members, Millis(5000))
        self.assertEqual(contact_age(state, Millis(5000)), 4500)

    def test_only_two_members_watch_and_failures_back_off(self) -> None:
        fleet = Fleet((6,))
        fleet.store.down = True
        counts = dict.fromkeys(fleet.nodes, 0)
        for _ in range(400):
            fleet.now = Millis(fleet.now + 50)
            for node, state in fleet.states.items():
                effects = configuration.tick(
                    state, fleet.members(node), fleet.now
                )
                counts[node] += sum(
                    isinstance(effect, StoreRequest) and effect.tag == TABLE_KEY
                    for effect in effects
                )
                fleet.perform(node, effects)
        self.assertEqual(sum(count > 0 for count in counts.values()), 2)
        self.assertLess(max(counts.values()), 30)
