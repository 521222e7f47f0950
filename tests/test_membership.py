"""Test failure detection and gossip of node entries on a faulty network."""

import heapq
import random
import unittest
from collections.abc import Iterable

import msgspec
from hypothesis import given, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from jasmineramp import membership
from jasmineramp.clock import Millis
from jasmineramp.effects import SendMessage
from jasmineramp.ids import DomainId, NodeId, Revision, ServiceName
from jasmineramp.membership_messages import (
    Entries,
    MembershipMessage,
    MemberStatus,
    NodeEntry,
    Ping,
    Upstream,
    UpstreamState,
)
from jasmineramp.membership_state import (
    TOMBSTONE_LIFETIME_MS,
    VIEW_LIFETIME_MS,
    MembershipState,
    dequeue_changes,
    enqueue,
    is_connected,
    mark_unreachable,
)
from jasmineramp.membership_sync import start_sync
from jasmineramp.membership_view import join_entries

TICK_MS = 50
MESSAGE_DELAY_MS = 2
SETTLE_TIME_MS = 45_000
READY = Upstream(ServiceName('orders'), 8080, 10, 100)
DRAINING = msgspec.structs.replace(READY, state=UpstreamState.draining)
SMALL = {'a': 3, 'b': 2, 'c': 1}


def domain_of(name: str) -> DomainId:
    return DomainId(name.split('-', maxsplit=1)[0])


class Network:
    """Simulate nodes and deliver, lose, repeat or delay their messages."""

    def __init__(self, sizes: dict[str, int], seed: int = 1) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.queue: list[tuple] = []
        self.sent: list[tuple[str, bytes]] = []
        self.message_count = 0
        self.loss = self.duplication = self.extra_delay = 0.0
        self.groups: dict[str, int] = {}
        self.cut_domains: set[frozenset[str]] = set()
        self.paused: dict[str, list[tuple[str, bytes]]] = {}
        self.states: dict[str, MembershipState] = {}
        self.upstreams: dict[str, Upstream | None] = {}
        self.incarnations: dict[str, int] = {}
        self.encode = msgspec.msgpack.Encoder().encode
        self.decode = msgspec.msgpack.Decoder(MembershipMessage).decode
        names = [
            f'{domain}-{number}'
            for domain, size in sizes.items()
            for number in range(size)
        ]
        self.seeds = [f'address-{name}' for name in names[:2] + names[-1:]]
        for name in names:
            self.start(name)
        self.run(20_000)

    def start(self, name: str, incarnation: int | None = None) -> None:
        known = self.incarnations.get(name, 0)
        incarnation = known + 1000 if incarnation is None else incarnation
        self.incarnations[name] = max(known, incarnation)
        entry = NodeEntry(
            NodeId(name), f'address-{name}', domain_of(name), incarnation
        )
        self.states[name] = MembershipState(
            entry,
            self.seeds,
            random.Random(f'{name} {incarnation}'),
            Millis(self.now),
        )
        self.announce(name, READY)

    def stop(self, name: str) -> None:
        self.states.pop(name)
        self.upstreams.pop(name)
        self.paused.pop(name, None)

    def announce(self, name: str, upstream: Upstream | None) -> None:
        self.upstreams[name] = upstream

    def resume(self, name: str) -> None:
        for sender, body in self.paused.pop(name, []):
            self.deliver(name, sender, body)

    def run(self, duration: float) -> None:
        end_time = self.now + duration
        while self.now < end_time:
            self.now += TICK_MS
            while self.queue and self.queue[0][0] <= self.now:
                _, _, name, sender, body = heapq.heappop(self.queue)
                self.deliver(name, sender, body)
            for name in list(self.states):
                if name not in self.paused:
                    self.tick(name)

    def tick(self, name: str) -> None:
        state, now = self.states[name], Millis(self.now)
        self.send(name, membership.tick(state, now))
        upstream = self.upstreams[name]
        if upstream is not None and self.now % 1000 == 0:
            self.send(name, membership.announce(state, upstream, now))

    def deliver(self, name: str, sender: str, body: bytes) -> None:
        if name in self.paused:
            self.paused[name].append((sender, body))
        elif name in self.states:
            effects = membership.receive(
                self.states[name],
                NodeId(sender),
                self.decode(body),
                Millis(self.now),
            )
            self.send(name, effects)

    def send(self, sender: str, effects: Iterable[object]) -> None:
        for effect in effects:
            if not isinstance(effect, SendMessage):
                continue
            target = str(effect.node).removeprefix('address-')
            body = self.encode(effect.message)
            self.sent.append((sender, body))
            if self.is_blocked(sender, target):
                continue
            copies = 1 + (self.random.random() < self.duplication)
            for _ in range(copies):
                self.message_count += 1
                delay = (
                    MESSAGE_DELAY_MS + self.random.random() * self.extra_delay
                )
                delivery_time = self.now + delay
                heapq.heappush(
                    self.queue,
                    (delivery_time, self.message_count, target, sender, body),
                )

    def is_blocked(self, sender: str, target: str) -> bool:
        pair = frozenset({domain_of(sender), domain_of(target)})
        return (
            self.groups.get(sender, 0) != self.groups.get(target, 0)
            or pair in self.cut_domains
            or self.random.random() < self.loss
        )

    def heal(self) -> None:
        self.loss = self.duplication = self.extra_delay = 0
        self.groups.clear()
        self.cut_domains.clear()
        for name in list(self.paused):
            self.resume(name)

    def alive(self, name: str) -> list[str]:
        return list(membership.alive(self.states[name]))

    def entry(self, observer: str, name: str) -> NodeEntry:
        return self.states[observer].view.entries[NodeId(name)]

    def statuses(self, observer: str) -> set[MemberStatus]:
        return {
            entry.status
            for entry in self.states[observer].view.entries.values()
        }

    def available(self, observer: str) -> dict[str, UpstreamState]:
        return {
            each.node: each.upstream.state
            for each in membership.instances(self.states[observer])
        }


class FaultyFleet(RuleBasedStateMachine):
    """Guard against views that stay wrong after any sequence of faults.

    The rules lose, repeat and delay messages, partition the network and
    pause, crash and restart nodes. After the last one the network recovers
    and every node must hold the true list of members and upstreams.
    """

    names = strategies.sampled_from(
        [f'{name}-{i}' for name, size in SMALL.items() for i in range(size)]
    )

    def __init__(self) -> None:
        super().__init__()
        self.network = Network(SMALL)
        self.dead_incarnations: dict[tuple[str, str], int] = {}

    def is_running(self, name: str) -> bool:
        return name in self.network.states

    @rule(duration=strategies.sampled_from([100, 1_000, 4_000, 12_000]))
    def run(self, duration: int) -> None:
        for _ in range(duration // 100):
            self.network.run(100)
            self.dead_incarnations_stay_dead()

    @rule(
        loss=strategies.sampled_from([0, 0.2, 0.6]),
        duplication=strategies.sampled_from([0, 0.5]),
        extra_delay=strategies.sampled_from([0, 300, 3_000]),
    )
    def set_message_faults(
        self, loss: float, duplication: float, extra_delay: float
    ) -> None:
        self.network.loss = loss
        self.network.duplication = duplication
        self.network.extra_delay = extra_delay

    @rule(name=names, group=strategies.integers(0, 2))
    def partition(self, name: str, group: int) -> None:
        self.network.groups[name] = group

    @rule(name=strategies.sampled_from(list(SMALL)))
    def partition_domain(self, name: str) -> None:
        for member in self.network.incarnations:
            if domain_of(member) == name:
                self.network.groups[member] = 9

    @rule(name=names)
    def pause(self, name: str) -> None:
        if self.is_running(name):
            self.network.paused.setdefault(name, [])

    @rule(name=names)
    def resume(self, name: str) -> None:
        self.network.resume(name)

    @rule(name=names)
    def crash(self, name: str) -> None:
        if self.is_running(name):
            self.network.stop(name)

    @rule(name=names, is_clock_set_back=strategies.booleans())
    def restart(self, name: str, *, is_clock_set_back: bool) -> None:
        if self.is_running(name):
            self.network.stop(name)
        # A clock that was set back yields a lower incarnation.
        self.network.start(name, 7 if is_clock_set_back else None)
        self.dead_incarnations = {
            key: incarnation
            for key, incarnation in self.dead_incarnations.items()
            if key[0] != name
        }

    @rule(name=names)
    def drain(self, name: str) -> None:
        if self.is_running(name):
            self.network.announce(name, DRAINING)

    @precondition(lambda self: len(self.network.states) > 1)
    @rule(name=names)
    def leave(self, name: str) -> None:
        if self.is_running(name) and name not in self.network.paused:
            state = self.network.states[name]
            now = Millis(self.network.now)
            self.network.send(name, membership.leave(state, now))
            self.network.upstreams[name] = None
            self.network.run(1_000)
            self.network.stop(name)

    @invariant()
    def dead_incarnations_stay_dead(self) -> None:
        for observer, state in self.network.states.items():
            for name, entry in state.view.entries.items():
                known_dead = self.dead_incarnations.get((observer, name), 0)
                if entry.status < MemberStatus.dead:
                    assert entry.incarnation > known_dead, (observer, entry)
                else:
                    key = (observer, name)
                    self.dead_incarnations[key] = max(
                        known_dead, entry.incarnation
                    )

    def teardown(self) -> None:
        self.network.heal()
        # Nodes that know no running node can't find each other.
        running_addresses = {f'address-{name}' for name in self.network.states}
        if not running_addresses & set(self.network.seeds):
            self.restart('a-0', is_clock_set_back=False)
        self.run(SETTLE_TIME_MS)
        expected = {
            name: upstream.state
            for name, upstream in self.network.upstreams.items()
        }
        for observer in expected:
            assert self.network.alive(observer) == sorted(expected), (
                observer,
                self.network.alive(observer),
                sorted(expected),
            )
            assert self.network.available(observer) == expected


FaultyFleet.TestCase.settings = settings(
    max_examples=40, stateful_step_count=14, deadline=None
)
FaultyFleetTest = FaultyFleet.TestCase


class LivenessTest(unittest.TestCase):
    """Guard against wrong member states after a single fault."""

    def test_crashed_node_is_declared_dead_everywhere(self) -> None:
        network = Network(SMALL)
        network.stop('a-1')
        network.run(12_000)
        for observer in network.states:
            self.assertNotIn('a-1', network.alive(observer))
            status = network.entry(observer, 'a-1').status
            self.assertIs(status, MemberStatus.dead)

    def test_only_member_of_a_domain_becomes_unavailable_after_a_crash(
        self,
    ) -> None:
        network = Network(SMALL)
        network.stop('c-0')
        network.run(16_000)
        for observer in network.states:
            self.assertNotIn('c-0', network.available(observer))

    def test_replacement_of_an_only_member_removes_the_old_one(self) -> None:
        network = Network(SMALL)
        network.stop('c-0')
        network.run(30_000)
        network.start('c-1')
        network.run(20_000)
        for observer in network.states:
            self.assertIn('c-1', network.alive(observer))
            self.assertNotIn('c-0', network.alive(observer))

    def test_late_entry_of_a_dead_incarnation_is_ignored(self) -> None:
        network = Network(SMALL)
        late = network.entry('a-0', 'a-1')
        network.stop('a-1')
        network.run(12_000)
        body = network.encode(Entries((late,)))
        network.deliver('b-0', 'a-0', body)
        self.assertNotIn('a-1', network.alive('b-0'))
        # The sender of the late entry receives the newer one at once.
        answer = network.decode(network.sent[-1][1])
        self.assertEqual(answer, Entries((network.entry('b-0', 'a-1'),)))

    def test_isolated_node_does_not_declare_the_rest_dead(self) -> None:
        network = Network({'a': 5, 'b': 2})
        network.groups['a-0'] = 1
        network.run(30_000)
        self.assertEqual(network.alive('a-0'), ['a-0'])
        self.assertEqual(list(network.available('a-0')), ['a-0'])
        self.assertNotIn(MemberStatus.dead, network.statuses('a-0'))
        self.assertNotIn('a-0', network.alive('b-0'))
        network.heal()
        network.run(10_000)
        for observer in network.states:
            self.assertEqual(network.alive(observer), sorted(network.states))

    def test_isolated_node_considers_only_itself_alive_within_9_s(self) -> None:
        network = Network({'a': 30, 'b': 4})
        network.groups['a-5'] = 1
        network.run(9_000)
        self.assertEqual(network.alive('a-5'), ['a-5'])
        suspects = [
            entry
            for entry in network.states['a-5'].view.entries.values()
            if entry.status
        ]
        self.assertLess(len(suspects), 6)
        network.run(30_000)
        network.heal()
        network.run(3_500)
        self.assertEqual(network.alive('a-5'), sorted(network.states))

    def test_answer_makes_a_member_reachable_during_a_partition(self) -> None:
        network = Network({'a': 12, 'b': 4})
        network.groups = {'a-0': 1, 'a-1': 1}
        network.run(12_000)
        mark_unreachable(network.states['a-0'], NodeId('a-1'))
        network.run(8_000)
        self.assertEqual(network.alive('a-0'), ['a-0', 'a-1'])

    def test_missing_answers_outweigh_answers_from_before_a_partition(
        self,
    ) -> None:
        network = Network({'a': 1, 'b': 6, 'c': 6})
        network.groups['a-0'] = 1
        network.run(3_000)
        self.assertFalse(
            is_connected(network.states['a-0'], Millis(network.now))
        )

    def test_isolated_rack_does_not_declare_the_rest_dead(self) -> None:
        network = Network({'a': 12, 'b': 4})
        for name in ('a-0', 'a-1', 'a-2'):
            network.groups[name] = 1
        network.run(30_000)
        self.assertNotIn(MemberStatus.dead, network.statuses('a-0'))
        self.assertEqual(network.alive('a-0'), ['a-0', 'a-1', 'a-2'])
        self.assertNotIn('a-1', network.alive('a-5'))

    def test_partitioned_domain_suspects_no_node(self) -> None:
        network = Network({'a': 4, 'b': 3, 'c': 3})
        for name in ('a-0', 'a-1', 'a-2', 'a-3'):
            network.groups[name] = 1
        network.run(30_000)
        self.assertEqual(network.alive('a-1'), ['a-0', 'a-1', 'a-2', 'a-3'])
        self.assertEqual(len(network.alive('b-0')), 6)
        for observer in network.states:
            self.assertEqual(network.statuses(observer), {MemberStatus.alive})
        network.heal()
        network.run(10_000)
        for observer in network.states:
            self.assertEqual(len(network.alive(observer)), 10)

    def test_crashed_domain_is_unavailable_everywhere_within_13_s(self) -> None:
        network = Network({f'd{number}': 4 for number in range(14)})
        for number in range(4):
            network.stop(f'd3-{number}')
        network.run(13_000)
        for state in network.states.values():
            self.assertFalse(membership.is_available(state, DomainId('d3')))

    def test_recovered_domain_is_available_within_3_s(self) -> None:
        network = Network({f'd{number}': 2 for number in range(14)})
        network.groups = {'d3-0': 1, 'd3-1': 1}
        network.run(40_000)
        network.heal()
        network.run(3_000)
        for state in network.states.values():
            self.assertTrue(membership.is_available(state, DomainId('d3')))

    def test_suspicion_is_sent_to_the_suspect_directly(self) -> None:
        network = Network(SMALL)
        network.stop('a-1')
        network.sent.clear()
        network.run(2_000)
        suspicion_pings = [
            message
            for _, body in network.sent
            if isinstance(message := network.decode(body), Ping)
            and not message.target
        ]
        statuses = {
            each.node: each.status for each in suspicion_pings[0].changes
        }
        self.assertEqual(statuses, {'a-1': MemberStatus.suspect})

    def test_ping_from_a_dead_node_is_answered_with_its_entry(self) -> None:
        network = Network(SMALL)
        ping = Ping(NodeId('a-0'), 1, network.entry('a-0', 'a-1'), None)
        network.stop('a-1')
        network.run(15_000)
        effects = membership.receive(
            network.states['a-0'], NodeId('a-1'), ping, Millis(network.now)
        )
        self.assertEqual(
            [each.node for each in effects[0].message.changes], ['a-1']
        )

    def test_domains_without_direct_contact_do_not_suspect(self) -> None:
        network = Network({'a': 3, 'b': 3, 'c': 3})
        network.cut_domains.add(frozenset({'a', 'b'}))
        network.run(30_000)
        self.assertFalse(
            membership.is_available(network.states['a-0'], DomainId('b'))
        )
        self.assertEqual(len(network.alive('c-0')), 9)
        self.assertEqual(network.statuses('c-0'), {MemberStatus.alive})

    def test_indirect_pings_prevent_suspicion_over_one_failed_link(
        self,
    ) -> None:
        network = Network({'a': 4})
        blocked = network.is_blocked
        network.is_blocked = lambda sender, target: (
            {sender, target} == {'a-0', 'a-1'} or blocked(sender, target)
        )
        network.run(30_000)
        for observer in network.states:
            self.assertEqual(len(network.alive(observer)), 4)
            self.assertEqual(network.entry(observer, 'a-1').incarnation, 1000)

    def test_ping_for_another_node_at_the_address_is_not_answered(self) -> None:
        network = Network(SMALL)
        state = network.states['a-0']
        ping = Ping(NodeId('a-9'), 1, network.entry('b-0', 'b-0'), None)
        self.assertEqual(
            membership.receive(state, NodeId('b-0'), ping, Millis(network.now)),
            [],
        )


class PauseTest(unittest.TestCase):
    """Guard against a node that acts on an outdated view after a pause.

    A paused process misses messages and timers, and other nodes may have
    declared it dead in the meantime.
    """

    def pause(self, names: list[str], duration: float) -> Network:
        network = Network({'a': 4, 'b': 3})
        for name in names:
            network.paused[name] = []
        network.run(duration)
        return network

    def assert_view_is_unconfirmed(self, network: Network, name: str) -> None:
        state = network.states[name]
        self.assertFalse(membership.is_current(state))
        self.assertEqual(network.alive(name), [name])
        self.assertIsNone(membership.lowest_alive(state, DomainId('a')))

    def test_message_before_the_first_tick_detects_the_pause(self) -> None:
        network = self.pause(['a-0'], 8_000)
        sender, body = next(
            (sender, body)
            for sender, body in network.paused['a-0']
            if isinstance(network.decode(body), Ping)
        )
        network.paused.clear()
        network.deliver('a-0', sender, body)
        self.assert_view_is_unconfirmed(network, 'a-0')

    def test_view_is_confirmed_by_others_after_a_pause(self) -> None:
        network = self.pause(['a-0'], 8_000)
        network.stop('a-1')
        network.run(8_000)
        self.assertNotIn('a-0', network.alive('b-0'))
        network.paused.clear()
        network.tick('a-0')
        self.assert_view_is_unconfirmed(network, 'a-0')
        network.run(3_000)
        self.assertTrue(membership.is_current(network.states['a-0']))
        for observer in network.states:
            self.assertEqual(network.alive(observer), sorted(network.states))

    def test_pause_alone_changes_no_instance(self) -> None:
        network = self.pause(['a-0'], 8_000)
        state = network.states['a-0']
        membership.instance_changes(state)
        network.paused.clear()
        network.tick('a-0')
        self.assertEqual(membership.instance_changes(state), [])

    def test_silent_upstream_is_unavailable_soon_after_a_pause(self) -> None:
        network = self.pause(['a-0'], 8_000)
        network.announce('a-0', None)
        network.paused.clear()
        network.run(2_500)
        self.assertNotIn('a-0', network.available('a-0'))

    def test_answer_to_a_ping_before_the_pause_does_not_confirm_the_view(
        self,
    ) -> None:
        network = Network({'a': 4, 'b': 3})
        network.run(500)
        network.extra_delay = 1_000
        network.run(300)
        network.paused['a-0'] = []
        network.run(8_000)
        network.resume('a-0')
        self.assert_view_is_unconfirmed(network, 'a-0')

    def test_nodes_paused_together_do_not_confirm_each_other(self) -> None:
        network = self.pause(['a-0', 'a-1'], 8_000)
        network.groups = {'a-0': 1, 'a-1': 1}
        network.paused.clear()
        network.run(2_000)
        self.assert_view_is_unconfirmed(network, 'a-0')

    def test_partitioned_node_confirms_its_view_alone_after_a_pause(
        self,
    ) -> None:
        network = self.pause(['a-0'], 8_000)
        network.groups['a-0'] = 1
        network.paused.clear()
        network.run(30_000)
        self.assertTrue(membership.is_current(network.states['a-0']))
        self.assertEqual(network.alive('a-0'), ['a-0'])

    def test_view_older_than_the_tombstones_is_discarded(self) -> None:
        network = Network({'a': 4, 'b': 3})
        network.paused['a-0'] = []
        network.stop('a-1')
        network.run(20_000)
        network.paused.clear()
        network.states['a-0'].last_tick_at -= VIEW_LIFETIME_MS
        for name in ('a-2', 'a-3', 'b-0', 'b-1', 'b-2'):
            state = network.states[name]
            state.tombstones = dict.fromkeys(state.tombstones, 0.0)
        network.run(10_000)
        for observer in network.states:
            self.assertNotIn('a-1', network.states[observer].view.entries)
            self.assertEqual(network.alive(observer), sorted(network.states))


class GossipTest(unittest.TestCase):
    """Guard against changes that spread slowly or cost too much traffic."""

    def test_drain_is_known_everywhere_within_5_s(self) -> None:
        network = Network({f'd{number}': 5 for number in range(14)})
        network.announce('d3-1', DRAINING)
        network.run(1_100)
        informed_domains = {
            domain_of(observer)
            for observer in network.states
            if network.available(observer)['d3-1'] is UpstreamState.draining
        }
        self.assertEqual(len(informed_domains), 14)
        network.run(3_900)
        for observer in network.states:
            upstream_state = network.available(observer)['d3-1']
            self.assertIs(upstream_state, UpstreamState.draining, observer)

    def test_digest_exchange_repairs_lost_gossip(self) -> None:
        network = Network({'a': 8, 'b': 4})
        network.announce('a-1', DRAINING)
        network.run(1_000)
        for state in network.states.values():
            state.pending_gossip.clear()
        network.run(4_000)
        for observer in network.states:
            upstream_state = network.available(observer)['a-1']
            self.assertIs(upstream_state, UpstreamState.draining, observer)

    def test_silent_upstream_becomes_unavailable(self) -> None:
        network = Network(SMALL)
        network.announce('a-1', None)
        network.run(8_000)
        for observer in network.states:
            self.assertNotIn('a-1', network.available(observer))
            self.assertIn('a-1', network.alive(observer))
        network.announce('a-1', READY)
        network.run(4_000)
        self.assertIn('a-1', network.available('c-0'))

    def test_leaving_node_is_removed_within_100_ms(self) -> None:
        network = Network(SMALL)
        network.send(
            'a-1',
            membership.leave(network.states['a-1'], Millis(network.now)),
        )
        network.upstreams['a-1'] = None
        network.run(100)
        for observer in set(network.states) - {'a-1'}:
            self.assertNotIn('a-1', network.alive(observer))

    def test_messages_stay_small_while_a_node_joins(self) -> None:
        network = Network({'a': 150, 'b': 150})
        network.sent.clear()
        network.start('a-900')
        network.run(6_000)
        self.assertEqual(len(network.alive('a-900')), 301)
        self.assertLess(max(len(body) for _, body in network.sent), 6_000)
        self.assertLess(len(network.states['a-900'].pending_gossip), 20)

    def test_digests_and_changes_are_bounded_and_complete(self) -> None:
        network = Network({'a': 300})
        state = network.states['a-7']
        now = Millis(network.now + 2_000)
        removed_nodes = [NodeId(f'a-{number}') for number in range(100, 200)]
        for node in removed_nodes:
            state.view.remove(node)
        effects = start_sync(state, NodeId('a-8'), [DomainId('a')], now)
        sizes = [len(each.message.digests) for each in effects]
        self.assertEqual(sizes, [128, 72])
        self.assertEqual(
            start_sync(state, NodeId('a-8'), [DomainId('a')], now), []
        )
        network.send('a-7', effects)
        network.run(200)
        self.assertEqual(len(state.view.members(DomainId('a'))), 300)
        for node in removed_nodes:
            enqueue(state, node)
        self.assertEqual(len(dequeue_changes(state, NodeId('a-8'))), 16)

    def test_idle_traffic_does_not_grow_with_the_fleet(self) -> None:
        rates = []
        for size in (4, 40):
            network = Network({'a': size, 'b': size})
            network.sent.clear()
            network.run(10_000)
            sent = sum(len(body) for _, body in network.sent)
            rates.append(sent / len(network.states))
        self.assertLess(rates[1], rates[0] * 1.05)

    def test_revision_reaches_the_lowest_member_without_gossip(self) -> None:
        network = Network({'a': 60, 'b': 2})
        for revision, loss in ((7, 0), (8, 0.2)):
            network.loss = loss
            for state in network.states.values():
                membership.set_revision(state, Revision(revision))
            network.run(4_000)
            if not loss:
                self.assertFalse(network.states['a-5'].pending_gossip)
            revisions = {
                network.entry('a-0', name).revision
                for name in network.states
                if domain_of(name) == 'a'
            }
            self.assertEqual(revisions, {revision})
            newest = membership.newest_revision(network.states['b-0'])
            self.assertEqual(newest[0], revision)

    def test_indirect_answer_does_not_count_as_a_revision_report(self) -> None:
        network = Network({'a': 40})
        blocked = network.is_blocked
        network.is_blocked = lambda sender, target: (
            {sender, target}
            == {
                'a-0',
                'a-5',
            }
        )
        membership.set_revision(network.states['a-5'], Revision(9))
        network.run(4_000)
        network.is_blocked = blocked
        network.run(700)
        self.assertEqual(network.entry('a-0', 'a-5').revision, 9)

    def test_instance_changes_cover_every_difference(self) -> None:
        network = Network(SMALL)
        state = network.states['c-0']
        known = {each.node: each for each in membership.instances(state)}
        network.announce('a-1', DRAINING)
        network.stop('a-2')
        for name in ('b-0', 'b-1'):
            network.groups[name] = 1
        for _ in range(30):
            network.run(1_000)
            for change in membership.instance_changes(state):
                known[change.node] = change.instance
        known = {node: each for node, each in known.items() if each}
        current = {each.node: each for each in membership.instances(state)}
        self.assertEqual(known, current)

    def test_tombstones_expire(self) -> None:
        network = Network(SMALL)
        network.stop('a-1')
        network.run(12_000)
        state = network.states['a-0']
        state.last_tick_at = network.now + TOMBSTONE_LIFETIME_MS
        membership.tick(state, Millis(network.now + TOMBSTONE_LIFETIME_MS))
        self.assertNotIn(NodeId('a-1'), state.view.entries)
        self.assertEqual(state.tombstones, {})


class JoinTest(unittest.TestCase):
    """Guard against views that depend on the order of messages."""

    entries = strategies.builds(
        NodeEntry,
        strategies.just(NodeId('a-0')),
        strategies.just('address'),
        strategies.just(DomainId('a')),
        incarnation=strategies.integers(1, 2),
        version=strategies.integers(0, 2),
        status=strategies.sampled_from(MemberStatus),
        revision=strategies.integers(0, 2),
    )

    @given(entries, entries, entries)
    def test_join_is_a_semilattice(
        self, one: NodeEntry, two: NodeEntry, three: NodeEntry
    ) -> None:
        join = join_entries
        self.assertEqual(join(one, two), join(two, one))
        self.assertEqual(
            join(join(one, two), three), join(one, join(two, three))
        )
        self.assertEqual(join(one, join(one, two)), join(one, two))
        self.assertEqual(join(one, one), one)
