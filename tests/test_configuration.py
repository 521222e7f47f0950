"""Test the distribution of the table under faults."""

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
    decompress_body,
    make_members,
    serves_workspace,
)
from jasmineramp.effects import RecordEvent, SendMessage
from jasmineramp.store_messages import StoreRequest
from jasmineramp.table import WorkspaceRow
from tests.fakes.fleet import Fleet, make_body

INDEX = st.integers(0, 10_000)


class ConfigurationMachine(RuleBasedStateMachine):
    """Guard against a wrong or unaccepted table after any sequence of faults.

    The rules lose, repeat and reorder messages, restart nodes, cut off
    failure domains and stop the store. A revision must not be accepted or
    recorded before every node had it, and after the faults every node must
    have the newest one.
    """

    @initialize()
    def start(self) -> None:
        self.fleet = Fleet((3, 2, 2))
        self.bodies: dict[int, bytes] = {}
        self.last_revisions: dict[ConfigurationState, int] = {}
        self.highest_revisions = dict.fromkeys(self.fleet.nodes, 0)
        self.has_restarted = False
        self.edit_count = 0
        self.edit()

    @rule()
    def edit(self) -> None:
        if not self.fleet.store.down:
            self.edit_count += 1
            revision = self.fleet.edit(self.edit_count)
            self.bodies[revision] = make_body(self.edit_count)

    @rule(duration=st.sampled_from((50, 300, 1200)))
    def tick(self, duration: float) -> None:
        self.fleet.tick(duration)

    @rule(picks=st.lists(INDEX, max_size=20), keep_queued=st.booleans())
    def deliver(self, picks: list[int], keep_queued: bool) -> None:
        for pick in picks:
            if self.fleet.queue:
                size = len(self.fleet.queue)
                self.fleet.deliver(pick % size, keep_queued=keep_queued)
                self.check()

    @precondition(lambda self: self.fleet.delivered)
    @rule(pick=INDEX)
    def repeat(self, pick: int) -> None:
        self.fleet.repeat(pick % len(self.fleet.delivered))

    @rule()
    def deliver_all(self) -> None:
        self.fleet.deliver_all()

    @precondition(lambda self: self.fleet.queue)
    @rule(pick=INDEX)
    def lose(self, pick: int) -> None:
        del self.fleet.queue[pick % len(self.fleet.queue) :]

    @rule(pick=INDEX)
    def restart(self, pick: int) -> None:
        self.has_restarted = True
        nodes = list(self.fleet.nodes)
        self.fleet.restart(nodes[pick % len(nodes)])

    @rule()
    def restart_all(self) -> None:
        self.has_restarted = True
        for node in self.fleet.nodes:
            self.fleet.restart(node)

    @rule(pick=st.integers(0, 2))
    def cut_off_or_rejoin(self, pick: int) -> None:
        self.fleet.cut_off ^= {self.fleet.domains[pick]}

    @rule(requests=st.integers(0, 1), answers=st.integers(0, 1))
    def toggle_store_outage(self, requests: int, answers: int) -> None:
        store = self.fleet.store
        store.down = not store.down
        store.lost_requests, store.lost_answers = requests, answers

    @invariant()
    def check(self) -> None:
        for node, state in self.fleet.states.items():
            assert state.revision >= self.last_revisions.get(state, 0), (
                'revision decreased'
            )
            self.last_revisions[state] = state.revision
            self.highest_revisions[node] = max(
                self.highest_revisions[node], state.revision
            )
            if state.revision:
                assert state.body == self.bodies[state.revision]
        accepted = max(self.fleet.accepted())
        assert accepted <= min(self.highest_revisions.values()), (
            'accepted too early'
        )
        for domain in self.fleet.domains:
            key = acknowledgement_key(domain)
            _, body = self.fleet.store.values.get(key, (0, b''))
            if body:
                record = msgspec.json.decode(body, type=AcknowledgementRecord)
                assert record.revision <= min(
                    self.highest_revisions[node]
                    for node in self.fleet.nodes
                    if self.fleet.nodes[node] == domain
                ), 'record written too early'
        if accepted and not self.has_restarted:
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
        assert self.fleet.revisions() == {newest}, 'not in force on every node'
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
    """Guard against a distribution that misses a node."""

    def test_a_revision_is_not_accepted_until_every_failure_domain_has_it(
        self,
    ) -> None:
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

    def test_record_lists_the_nodes_that_hang(self) -> None:
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

    def test_restarted_nodes_copy_from_a_peer_without_the_platform(
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
        state.compressed_body = b'x' * 400_000
        members = fleet.members('d0-0')
        sent = [
            configuration.receive(
                state, 'd0-1', CopyRequest(0, 0), members, fleet.now
            )
            for _ in range(100)
        ]
        self.assertEqual(sum(bool(effects) for effects in sent), 3)

    def test_a_lost_copy_is_requested_from_another_node(self) -> None:
        members = make_members('a', ('b', 'c'), {})
        state = ConfigurationState('a', 'd', 1)
        effects = []
        for sender in ('b', 'c'):
            offer = Offer(3, 0)
            effects += configuration.receive(
                state, sender, offer, members, Millis(0)
            )
        effects += configuration.tick(state, members, Millis(300))
        receivers = [
            effect.node
            for effect in effects
            if isinstance(effect, SendMessage)
            and isinstance(effect.message, CopyRequest)
        ]
        self.assertEqual(receivers, ['b', 'c'])

    def count_sent(self, state, members, kind, duration: int) -> int:
        """Count the messages of a kind that are sent without any answer."""
        sent = 0
        for now in range(50, duration, 50):
            effects = configuration.tick(state, members, Millis(now))
            sent += sum(
                isinstance(effect, SendMessage)
                and isinstance(effect.message, kind)
                for effect in effects
            )
        return sent

    def test_a_node_that_knows_a_newer_revision_sends_offers_more_often(
        self,
    ) -> None:
        members = make_members('c', ('a', 'b'), {})
        state = ConfigurationState('c', 'd', 1)
        configuration.receive(state, 'a', Offer(3, 0), members, Millis(0))
        self.assertGreater(self.count_sent(state, members, Offer, 2000), 5)

    def test_lost_acknowledgements_are_repeated_at_growing_intervals(
        self,
    ) -> None:
        members = make_members('c', ('a', 'b'), {})
        state = ConfigurationState('c', 'd', 1)
        configuration.adopt(state, 1, make_body(1), members, Millis(0))
        early_repeats = self.count_sent(state, members, Acknowledgement, 1000)
        self.assertGreaterEqual(early_repeats, 2)
        repeats_per_minute = self.count_sent(
            state, members, Acknowledgement, 60_000
        )
        self.assertLess(repeats_per_minute, 20)

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

    def test_a_copy_is_requested_from_the_local_failure_domain_first(
        self,
    ) -> None:
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
        oversized_copy = zlib.compress(b' ' * 5_000_000)
        self.assertEqual(decompress_body(oversized_copy), b'')
        compressed_body = zlib.compress(make_body(1))
        self.assertEqual(decompress_body(compressed_body), make_body(1))
        self.assertEqual(decompress_body(compressed_body[:-6]), b'')
        self.assertEqual(decompress_body(b'no zlib'), b'')

    def test_a_damaged_message_does_not_reject_the_revision(self) -> None:
        members = make_members('a', ('b',), {})
        state = ConfigurationState('a', 'd', 1)
        compressed_body = zlib.compress(make_body(1))
        for body in (compressed_body[:-3], compressed_body):
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
    """Guard against keys that are served longer than the offline grace."""

    def test_failure_domain_that_is_cut_off_stops_serving_after_the_grace(
        self,
    ) -> None:
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

    def test_a_late_answer_does_not_make_the_contact_more_recent(self) -> None:
        members = make_members('b', ('a',), {})
        state = ConfigurationState('b', 'd', 1)
        configuration.tick(state, members, Millis(1000))
        query_time = state.last_query_at
        for echo, age in ((query_time, 500), (None, 0), (1e9, 0)):
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
