"""Test that all nodes together stay within rate and burst."""

import itertools
import random
import unittest
from collections import defaultdict

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from jasmineramp import exchange, rates
from jasmineramp.clock import Millis
from jasmineramp.ids import BucketId, DomainId, NodeId, Revision
from jasmineramp.rate_buckets import owner_slots
from jasmineramp.rate_messages import (
    BucketLenders,
    DemandReport,
    DomainSummary,
    Lender,
    LenderHints,
    Loan,
    LoanRequest,
    LoanReturn,
    ReturnedLoan,
)
from jasmineramp.rate_state import OpenRequest

# The owner of the second bucket differs for 2, 3 and 4 rate slots.
BUCKETS = (BucketId('wide'), BucketId('narrow-2'))
ROUNDING = 1e-6
DAY_MS = 86_400_000
# Refused calls per step raise the demand, so that nodes borrow rate.
REFUSED_CALLS = 5


def make_table(revision, slots, limits):
    return rates.RateTable(
        Revision(revision),
        slots,
        {
            name: rates.RateLimit(*limit)
            for name, limit in zip(BUCKETS, limits, strict=False)
            if limit
        },
    )


class History:
    """Record admissions and limits of one bucket in true time."""

    def __init__(self):
        self.marks = []

    def limit(self, now, rate, burst):
        self.marks.append((now, rate, burst))

    def admit(self, now):
        self.marks.append((now, None, None))

    def excess(self):
        """Return the most calls over rate and burst in any window.

        A window may start at any admission and, as the smallest allowance
        is found there, right before any change of the limit.
        """
        allowance = float('inf')
        worst = -float('inf')
        rate = burst = drained = count = 0
        last = 0
        for now, new_rate, new_burst in sorted(
            self.marks, key=lambda mark: mark[0]
        ):
            drained += rate * (now - last) / 1000
            last = now
            allowance = min(allowance, count + burst - drained)
            if new_rate is None:
                count += 1
                worst = max(worst, count - drained - allowance)
            else:
                rate, burst = new_rate, new_burst
                allowance = min(allowance, count + burst - drained)
        return worst


class Process:
    """Run one node with a clock of its own."""

    def __init__(self, cluster, index, session):
        self.cluster = cluster
        self.node = NodeId(f'n{index}')
        self.domain = DomainId(f'd{index % 2}')
        self.index = index
        self.origin = cluster.random.uniform(0, DAY_MS)
        self.speed = cluster.speeds[index]
        self.paused_until = 0
        now = self.now()
        self.state = rates.RateState(self.node, session, now)
        self.exchange = exchange.ExchangeState(self.node, self.domain, index)

    def now(self):
        return Millis(self.origin + self.cluster.now * self.speed)

    def handle(self, sender, message, now):
        """Process a message and return the messages to send."""
        state = self.state
        if isinstance(message, LoanRequest):
            self.send(sender, rates.lend(state, sender, message, now))
        elif isinstance(message, Loan):
            rates.accept_loan(state, sender, message, now)
        elif isinstance(message, LoanReturn):
            rates.return_loan(state, sender, message, now)
        elif isinstance(message, LenderHints):
            rates.accept_hints(state, message, now)
        elif isinstance(message, DomainSummary):
            exchange.receive_summary(self.exchange, message, now)
        elif isinstance(message, DemandReport):
            hints = exchange.receive_report(self.exchange, sender, message, now)
            if hints:
                self.send(sender, hints)
        self.flush(now)

    def tick(self, now):
        for effect in rates.tick(self.state, now):
            self.send(effect.node, effect.message)
        for effect in exchange.tick(self.exchange, now):
            self.send(effect.node, effect.message)

    def flush(self, now):
        for effect in rates.pending_messages(self.state, now):
            self.send(effect.node, effect.message)

    def send(self, node, message):
        self.cluster.send(self.node, node, message)

    def take(self, name, most, now, at):
        """Take as many tokens as possible, recorded at the true time."""
        admitted = 0
        while admitted < most:
            taken = rates.take(self.state, name, now)
            if not isinstance(taken, rates.RateTaken):
                for _ in range(REFUSED_CALLS):
                    rates.take(self.state, name, now)
                break
            self.cluster.histories[name].admit(at)
            admitted += 1
        self.flush(now)
        return admitted


class Cluster:
    """Run nodes over a network that loses, repeats and delays messages."""

    def __init__(self, seed, size, limits, slowest=1.0):
        self.random = random.Random(seed)
        self.now = 0.0
        self.size = size
        self.speeds = [
            slowest * (1 + self.random.choice((0, 0.005, 0.01)))
            for _ in range(size)
        ]
        self.sessions = itertools.count(1)
        self.histories = defaultdict(History)
        self.loss = self.repeats = 0.0
        self.delays = (1.0, 1.0)
        self.group = [0] * size
        self.flight = []
        self.tables = [make_table(1, size, limits)]
        self.accepted = 0
        self.known = [0] * size
        self.told = [0] * size
        self.slots = list(range(size))
        self.processes = [None] * size
        self.record_limits()
        for index in range(size):
            self.start(index, fresh=True)

    def start(self, index, *, fresh):
        process = Process(self, index, next(self.sessions))
        self.processes[index] = process
        self.known[index] = len(self.tables) - 1
        self.told[index] = self.accepted
        now = process.now()
        rates.set_limits(process.state, self.tables[self.accepted], now)
        rates.accept_limits(
            process.state, self.tables[self.accepted].revision, now
        )
        for table in self.tables[self.accepted :]:
            rates.set_limits(process.state, table, now)
        exchange.set_table(process.exchange, self.tables[-1])
        if self.slots[index] is not None:
            lease = rates.SlotLease(
                self.slots[index], Millis(now + DAY_MS), fresh
            )
            rates.set_slot(process.state, lease, now)
        rates.set_exchange(process.state, NodeId(f'n{index % 2}'))
        self.refresh_members()

    def refresh_members(self):
        members = [
            exchange.RateMember(one.node, one.domain, self.slots[one.index])
            for one in self.processes
            if one
        ]
        for process in self.alive():
            exchange.set_members(process.exchange, members)

    def alive(self):
        return [one for one in self.processes if one]

    def awake(self):
        return [one for one in self.alive() if one.paused_until <= self.now]

    def record_limits(self):
        pending = self.tables[self.accepted :]
        for name in BUCKETS:
            limits = [table.limits.get(name) for table in pending]
            unlimited = any(limit is None for limit in limits)
            rate = burst = float('inf')
            if not unlimited:
                rate = max(limit.per_second for limit in limits)
                burst = max(limit.burst for limit in limits)
            self.histories[name].limit(self.now, rate, burst)

    def send(self, sender, node, message):
        for _ in range(1 + (self.random.random() < self.repeats)):
            if self.random.random() >= self.loss:
                delay = self.random.uniform(*self.delays)
                at = self.now + delay
                self.flight.append((at, sender, node, message))

    def deliver(self):
        due = [one for one in self.flight if one[0] <= self.now]
        self.flight = [one for one in self.flight if one[0] > self.now]
        due.sort(key=lambda one: one[0])
        for _, sender, node, message in due:
            process = self.processes[int(node[1:])]
            if process is None:
                continue
            groups = self.group[int(sender[1:])], self.group[process.index]
            if groups[0] != groups[1]:
                continue
            if process.paused_until > self.now:
                self.flight.append(
                    (process.paused_until, sender, node, message)
                )
            else:
                process.handle(sender, message, process.now())

    def run(self, duration, loaded=(), most=1000, step=10.0):
        """Let time pass; loaded nodes take all the tokens they can."""
        end = self.now + duration
        admitted = 0
        while self.now < end:
            self.now = min(self.now + step, end)
            self.deliver()
            for process in self.awake():
                now = process.now()
                if process.index in loaded:
                    for name in BUCKETS:
                        admitted += process.take(name, most, now, self.now)
                if int(self.now / step) % 5 == process.index % 5:
                    process.tick(now)
            self.deliver()
        return admitted

    def surge(self, only=range(4)):
        """Let awake nodes spend all their tokens at once."""
        for process in self.awake():
            if process.index in only:
                for name in BUCKETS:
                    process.take(name, 1000, process.now(), self.now)

    def run_without(self, process, duration, loaded):
        """Let time pass for all but one process, which is paused."""
        process.paused_until = float('inf')
        self.run(duration, loaded, step=20.0)
        process.paused_until = self.now

    def excess(self):
        return max(history.excess() for history in self.histories.values())


class SharesMachine(RuleBasedStateMachine):
    """Look for a run in which the nodes admit more than rate and burst."""

    @initialize(
        seed=st.integers(0, 1 << 20),
        size=st.integers(2, 4),
        rate=st.sampled_from((20, 200, 2000)),
        bursts=st.sampled_from(((12, 1), (40, 3), (9, 5))),
        slowest=st.sampled_from((1.0, 1 / 1.01)),
        repeats=st.sampled_from((0, 0.5)),
        delays=st.sampled_from(((1, 1), (0, 100), (100, 4900))),
    )
    def begin(self, *, seed, size, rate, bursts, slowest, repeats, delays):
        limits = [(rate, burst) for burst in bursts]
        self.cluster = Cluster(seed, size, limits, slowest)
        self.cluster.repeats = repeats
        self.cluster.delays = delays
        self.cluster.run(1000, {seed % size})

    def pick(self, index):
        return index % self.cluster.size

    @rule(
        duration=st.sampled_from((20, 100, 400, 2000)),
        loaded=st.sets(st.integers(0, 3), max_size=3),
        most=st.sampled_from((1, 1000)),
    )
    def run(self, duration, loaded, most):
        self.cluster.run(duration, loaded, most)

    @rule(
        duration=st.sampled_from((100, 2500, 5000)),
    )
    def rest(self, duration):
        self.cluster.run(duration, step=50.0)

    @rule(only=st.sets(st.integers(0, 3), max_size=2))
    def surge(self, only):
        self.cluster.surge(only)

    @rule(lost=st.booleans(), early=st.sampled_from((1, 20)))
    def surge_at_end_of_loan(self, lost, early):
        """Spend all tokens right before and after a loan ends."""
        cluster = self.cluster
        ends = [
            ((piece.until - one.origin) / one.speed, one.index)
            for one in cluster.awake()
            for bucket in one.state.buckets.values()
            for piece in bucket.borrowed.values()
        ]
        end, index = max(ends, default=(0, 0))
        if end > cluster.now + early:
            loss, cluster.loss = cluster.loss, 1 if lost else cluster.loss
            # An idle borrower would return its loans early.
            rest = end - early - cluster.now
            cluster.run_without(cluster.processes[index], rest, ())
            cluster.surge()
            cluster.run(early + 120, range(4), step=5.0)
            cluster.loss = loss

    @rule(
        loss=st.sampled_from((0, 0.1, 0.5)),
        repeats=st.sampled_from((0, 0.5)),
        delays=st.sampled_from(
            ((1, 1), (0, 100), (0, 6000), (100, 200), (4000, 4900))
        ),
    )
    def disturb(self, loss, repeats, delays):
        self.cluster.loss = loss
        self.cluster.repeats = repeats
        self.cluster.delays = delays

    @rule(groups=st.lists(st.integers(0, 1), min_size=4, max_size=4))
    def partition(self, groups):
        self.cluster.group = groups

    @rule(index=st.integers(0, 3), duration=st.sampled_from((60, 3000, 5100)))
    def pause(self, index, duration):
        process = self.cluster.processes[self.pick(index)]
        if process:
            process.paused_until = self.cluster.now + duration

    @rule(
        index=st.integers(0, 3),
        duration=st.sampled_from((60, 5100)),
        loaded=st.sets(st.integers(0, 3), max_size=3),
    )
    def pause_in_take(self, index, duration, loaded):
        """Pause a node between reading its clock and taking a token."""
        cluster = self.cluster
        process = cluster.processes[self.pick(index)]
        if process and process.paused_until <= cluster.now:
            now, at = process.now(), cluster.now
            cluster.run_without(process, duration, loaded)
            if cluster.processes[process.index] is process:
                process.take(BUCKETS[0], 1, now, at)

    @rule(index=st.integers(0, 3), duration=st.sampled_from((60, 5100)))
    def pause_in_lend(self, index, duration):
        """Pause a node between reading its clock and lending."""
        cluster = self.cluster
        process = cluster.processes[self.pick(index)]
        waiting = [
            one
            for one in cluster.flight
            if process
            and one[2] == process.node
            and cluster.group[int(one[1][1:])] == cluster.group[process.index]
        ]
        if waiting and process.paused_until <= cluster.now:
            cluster.flight.remove(waiting[0])
            now = process.now()
            cluster.run_without(process, duration, range(4))
            process.handle(waiting[0][1], waiting[0][3], now)

    @rule(index=st.integers(0, 3))
    def crash(self, index):
        self.cluster.processes[self.pick(index)] = None

    @rule(index=st.integers(0, 3), loaded=st.integers(0, 3))
    def restart_lender(self, index, loaded):
        """Let a node lend, lose its memory and then use all it has."""
        cluster = self.cluster
        cluster.run(400, {self.pick(loaded)})
        self.restart(index)
        self.surge_at_end_of_loan(lost=True, early=1)

    @rule(index=st.integers(0, 3))
    def restart(self, index):
        index = self.pick(index)
        self.cluster.processes[index] = None
        self.cluster.start(index, fresh=False)

    @rule(index=st.integers(0, 3), other=st.integers(0, 3))
    def hand_over_slot(self, index, other):
        """Release a slot after its loans ended; another node gets it."""
        cluster = self.cluster
        giver = cluster.processes[self.pick(index)]
        taker = cluster.processes[self.pick(other)]
        if giver and taker and giver is not taker:
            slot = cluster.slots[giver.index]
            if slot is not None and cluster.slots[taker.index] is None:
                rates.set_slot(giver.state, None, giver.now())
                cluster.slots[giver.index] = None
                cluster.run(5000 * 1.01 * 1.01, (taker.index,), step=50.0)
                now = taker.now()
                lease = rates.SlotLease(slot, Millis(now + DAY_MS), True)
                cluster.slots[taker.index] = slot
                if cluster.processes[taker.index] is taker:
                    rates.set_slot(taker.state, lease, now)
                cluster.refresh_members()

    @rule(index=st.integers(0, 3))
    def lose_slot(self, index):
        index = self.pick(index)
        process = self.cluster.processes[index]
        if process and sum(s is not None for s in self.cluster.slots) > 1:
            rates.set_slot(process.state, None, process.now())
            self.cluster.slots[index] = None
            self.cluster.refresh_members()

    @rule(
        slots=st.integers(2, 8),
        limits=st.tuples(
            st.sampled_from(((20, 12), (200, 5), None)),
            st.sampled_from(((200, 1), (20, 9), (50, 4))),
        ),
    )
    def edit(self, slots, limits):
        cluster = self.cluster
        table = make_table(len(cluster.tables) + 1, slots, limits)
        cluster.tables.append(table)
        cluster.record_limits()

    @rule(index=st.integers(0, 3), slots=st.integers(2, 4))
    def edit_at_one_node(self, index, slots):
        """Let one node adopt a table that names other owners."""
        self.edit(slots=slots, limits=((200, 5), (200, 3)))
        for _ in self.cluster.tables:
            self.adopt(index)
        self.cluster.run(3000, step=50.0)
        self.cluster.surge()

    @rule(index=st.integers(0, 3))
    def adopt(self, index):
        cluster = self.cluster
        process = cluster.processes[self.pick(index)]
        if process and cluster.known[process.index] + 1 < len(cluster.tables):
            cluster.known[process.index] += 1
            table = cluster.tables[cluster.known[process.index]]
            rates.set_limits(process.state, table, process.now())

    @rule()
    def accept(self):
        """Accept a table once each node has had it in force."""
        cluster = self.cluster
        known = [cluster.known[one.index] for one in cluster.alive()]
        if all(cluster.processes) and min(known) > cluster.accepted:
            cluster.accepted = min(known)
            cluster.record_limits()

    @rule(index=st.integers(0, 3))
    def tell_accepted(self, index):
        cluster = self.cluster
        process = cluster.processes[self.pick(index)]
        if process:
            revision = cluster.tables[cluster.accepted].revision
            rates.accept_limits(process.state, revision, process.now())

    @rule(index=st.integers(0, 3), other=st.integers(0, 3))
    def change_exchange(self, index, other):
        process = self.cluster.processes[self.pick(index)]
        if process:
            node = NodeId(f'n{self.pick(other)}')
            rates.set_exchange(process.state, node)

    @invariant()
    def within_rate_and_burst(self):
        if hasattr(self, 'cluster'):
            excess = self.cluster.excess()
            assert excess <= ROUNDING, excess


class SharesTest(SharesMachine.TestCase):
    """Guard against calls over the rate and burst of the whole fleet."""

    settings = settings(max_examples=300, stateful_step_count=30, deadline=None)


LENDER, BORROWER = NodeId('lender'), NodeId('borrower')
WIDE = BUCKETS[0]


class Pair:
    """Let one node lend to another; both own half of 1000/s and burst 100."""

    def __init__(self, lender_speed=1.0, borrower_speed=1.0):
        self.speeds = {LENDER: lender_speed, BORROWER: borrower_speed}
        self.history = History()
        self.history.limit(0, 1000, 100)
        self.table = make_table(1, 2, [(1000, 100)])
        self.states = {}
        self.start(LENDER, 0, 0)
        self.start(BORROWER, 1, 0)

    def start(self, node, slot, at, *, fresh=True, until=DAY_MS, session=1):
        now = self.clock(node, at)
        state = rates.RateState(node, session, now)
        rates.set_limits(state, self.table, now)
        rates.accept_limits(state, self.table.revision, now)
        lease = rates.SlotLease(slot, Millis(until), fresh)
        rates.set_slot(state, lease, now)
        rates.set_exchange(state, NodeId('exchange'))
        self.states[node] = state

    def clock(self, node, at):
        return Millis(at * self.speeds[node])

    def rest(self, start, end):
        """Let time pass without calls, so that ended loans refill."""
        for at in range(int(start), int(end)):
            for node, state in self.states.items():
                rates.expire(state, self.clock(node, at))

    def surge(self, at, *nodes):
        """Take all tokens of the nodes; return how many there were."""
        admitted = 0
        for node in nodes or (LENDER, BORROWER):
            now = self.clock(node, at)
            while isinstance(
                rates.take(self.states[node], WIDE, now), rates.RateTaken
            ):
                self.history.admit(at)
                admitted += 1
        return admitted

    def request(self, at):
        """Make the borrower ask for rate; return the time and request."""
        state = self.states[BORROWER]
        hint = BucketLenders(WIDE, (Lender(LENDER, 500.0),))
        while True:
            at += 10
            now = self.clock(BORROWER, at)
            self.surge(at, BORROWER)
            rates.accept_hints(state, LenderHints((hint,)), now)
            for effect in rates.tick(state, now):
                message = effect.message
                if isinstance(message, LoanRequest) and any(
                    want.rate > 100 for want in message.wants
                ):
                    return at, message

    def lend(self, request, at):
        return rates.lend(
            self.states[LENDER], BORROWER, request, self.clock(LENDER, at)
        )

    def accept(self, loan, at):
        return rates.accept_loan(
            self.states[BORROWER], LENDER, loan, self.clock(BORROWER, at)
        )

    def renewal(self, at):
        """Let the borrower ask for a longer term under steady load."""
        state = self.states[BORROWER]
        while True:
            at += 50
            self.surge(at, BORROWER)
            for effect in rates.tick(state, self.clock(BORROWER, at)):
                message = effect.message
                if isinstance(message, LoanRequest) and message.renewals:
                    return at, message


class LoanTest(unittest.TestCase):
    """Guard each rule that keeps a share from being used twice."""

    def assert_within(self, pair):
        self.assertLessEqual(pair.history.excess(), ROUNDING)

    def start(self, **speeds):
        pair = Pair(**speeds)
        sent, request = pair.request(1000)
        loan = pair.lend(request, sent + 1)
        self.assertTrue(any(grant.rate for grant in loan.grants))
        return pair, sent, request, loan

    def test_loan_moves_rate_and_leaves_the_sum(self):
        pair, sent, _, loan = self.start()
        pair.accept(loan, sent + 2)
        admitted = sum(
            pair.surge(sent + 10 * step, BORROWER) for step in range(1, 300)
        )
        self.assertGreater(admitted, 1.2 * 500 * 2.98)
        pair.surge(sent + 3000)
        self.assert_within(pair)

    def test_term_counts_from_the_request(self):
        pair, sent, _, loan = self.start()
        pair.accept(loan, sent + 4900)
        pair.rest(sent + 4900, sent + 6500)
        pair.surge(sent + 6500)
        self.assert_within(pair)

    def test_late_loan_is_not_used(self):
        pair, sent, _, loan = self.start()
        pair.accept(loan, sent + 5100)
        pair.rest(sent + 5100, sent + 6500)
        pair.surge(sent + 6500)
        self.assert_within(pair)

    def test_renewed_term_counts_from_the_renewal_request(self):
        pair, sent, _, loan = self.start()
        pair.accept(loan, sent + 2)
        renewed, request = pair.renewal(sent + 2)
        longer = pair.lend(request, renewed + 1)
        self.assertTrue(longer.renewed)
        pair.accept(longer, renewed + 2300)
        pair.rest(renewed + 2300, renewed + 6500)
        pair.surge(renewed + 6500)
        self.assert_within(pair)

    def test_lender_waits_longer_than_the_slowest_clock(self):
        for renew in (False, True):
            pair, sent, _, loan = self.start(borrower_speed=1 / 1.01)
            pair.accept(loan, sent + 2)
            if renew:
                sent, request = pair.renewal(sent + 2)
                pair.accept(pair.lend(request, sent + 1), sent + 2)
            pair.rest(sent + 3, sent + 5049)
            pair.surge(sent + 5049)
            pair.surge(sent + 5100)
            with self.subTest(renew=renew):
                self.assert_within(pair)

    def test_fast_clocks_do_not_raise_the_rate(self):
        pair = Pair(lender_speed=1.01, borrower_speed=1.01)
        for at in range(0, 60_000, 20):
            pair.surge(at)
        self.assert_within(pair)

    def test_second_copy_of_a_message_changes_nothing(self):
        pair, sent, request, loan = self.start()
        again = pair.lend(request, sent + 2)
        self.assertEqual(again.grants, loan.grants)
        lender = pair.states[LENDER].buckets[WIDE]
        borrower = pair.states[BORROWER].buckets[WIDE]
        pair.accept(loan, sent + 2)
        held = borrower.held
        pair.accept(again, sent + 3)
        self.assertEqual(borrower.held, held)
        self.assertLessEqual(borrower.burst + lender.burst, 100 + ROUNDING)
        entries = tuple(ReturnedLoan(grant.loan, 0.0) for grant in loan.grants)
        for _ in range(2):
            rates.return_loan(
                pair.states[LENDER],
                BORROWER,
                LoanReturn(1, entries),
                pair.clock(LENDER, sent + 10),
            )
        self.assertAlmostEqual(lender.held, 500)
        self.assertAlmostEqual(lender.burst, 50)

    def test_returned_share_starts_empty(self):
        pair, sent, _, loan = self.start()
        pair.accept(loan, sent + 2)
        pair.surge(sent + 1000)
        entries = tuple(ReturnedLoan(grant.loan, 0.0) for grant in loan.grants)
        state = pair.states[BORROWER]
        for loan_number in tuple(state.buckets[WIDE].borrowed):
            state.buckets[WIDE].end_borrowed(loan_number)
        rates.return_loan(
            pair.states[LENDER],
            BORROWER,
            LoanReturn(1, entries),
            pair.clock(LENDER, sent + 1000),
        )
        self.assertEqual(pair.surge(sent + 1000), 0)
        self.assert_within(pair)

    def test_successor_ignores_loans_of_its_predecessor(self):
        pair, sent, request, loan = self.start()
        pair.start(BORROWER, 1, sent, fresh=False, session=2)
        state = pair.states[BORROWER]
        state.requests[request.number] = OpenRequest(
            LENDER,
            pair.clock(BORROWER, sent),
            {want.loan: want for want in request.wants},
            frozenset(),
        )
        self.assertFalse(pair.accept(loan, sent + 2))
        self.assertEqual(state.buckets[WIDE].held, 0)

    def test_successor_waits_for_the_loans_of_its_predecessor(self):
        pair, sent, _, loan = self.start()
        pair.accept(loan, sent + 2)
        pair.start(LENDER, 0, sent + 10, fresh=False, session=2)
        pair.rest(sent + 10, sent + 3000)
        pair.surge(sent + 3000)
        self.assert_within(pair)
        self.assertEqual(pair.surge(sent + 5100, LENDER), 0)
        self.assertGreater(pair.surge(sent + 6000, LENDER), 0)

    def test_slot_is_unused_after_its_end(self):
        pair = Pair()
        pair.start(LENDER, 0, 0, until=3000)
        self.assertEqual(pair.surge(2999, LENDER), 50)
        self.assertEqual(pair.surge(4000, LENDER), 0)

    def test_slot_that_lapsed_counts_as_taken_over(self):
        """Guards against loans of a node that held the slot meanwhile."""
        pair = Pair()
        pair.start(LENDER, 0, 0, until=3000)
        lease = rates.SlotLease(0, Millis(DAY_MS), fresh=False)
        rates.set_slot(pair.states[LENDER], lease, Millis(4000))
        self.assertEqual(pair.surge(8000, LENDER), 0)

    def test_loans_end_before_the_slot_does(self):
        pair = Pair()
        pair.start(LENDER, 0, 0, until=7000)
        sent, request = pair.request(2000)
        loan = pair.lend(request, sent + 1)
        self.assertFalse(any(grant.rate for grant in loan.grants))


class TableEditTest(unittest.TestCase):
    """Guard against an edit that lets two nodes use one share."""

    def test_smaller_of_newest_and_accepted_share(self):
        old, new = make_table(1, 2, [(9, 3)]), make_table(2, 2, [(9, 3)])
        for slots in range(3, 20):
            new = make_table(2, slots, [(9, 3)])
            if owner_slots(new, WIDE) == {
                1 - next(iter(owner_slots(old, WIDE)))
            }:
                break
        pair = Pair()
        owner = next(iter(owner_slots(new, WIDE)))
        pair.table = old
        pair.start(LENDER, owner, 0)
        state = pair.states[LENDER]
        rates.set_limits(state, new, Millis(10))
        self.assertEqual(pair.surge(5000, LENDER), 0)
        rates.accept_limits(state, new.revision, Millis(5000))
        self.assertEqual(pair.surge(9000, LENDER), 3)
        rates.set_limits(state, make_table(3, 2, [(9, 3)]), Millis(9000))
        self.assertEqual(pair.surge(12000, LENDER), 0)

    def test_lower_burst_drops_tokens_at_once(self):
        pair = Pair()
        table = make_table(2, 2, [(1000, 4)])
        pair.surge(0)
        rates.set_limits(pair.states[LENDER], table, Millis(2000))
        self.assertEqual(pair.surge(2000, LENDER), 2)

    def test_no_base_share_before_an_accepted_table(self):
        state = rates.RateState(LENDER, 1, Millis(0))
        rates.set_limits(state, make_table(1, 1, [(9, 3)]), Millis(0))
        lease = rates.SlotLease(0, Millis(DAY_MS), fresh=True)
        rates.set_slot(state, lease, Millis(0))
        taken = rates.take(state, WIDE, Millis(5000))
        self.assertIsInstance(taken, rates.RateExceeded)

    def test_bucket_that_comes_back_remembers_what_it_lent(self):
        pair = Pair()
        sent, request = pair.request(1000)
        pair.accept(pair.lend(request, sent + 1), sent + 2)
        state = pair.states[LENDER]
        now = pair.clock(LENDER, sent + 10)
        for revision, limits in ((2, [None]), (3, [(1000, 100)])):
            table = make_table(revision, 2, limits)
            rates.set_limits(state, table, now)
            rates.accept_limits(state, table.revision, now)
        self.assertLess(state.buckets[WIDE].held, 500)

    def test_loan_of_a_removed_row_is_not_renewed(self):
        """Guards against a message that stops the node of the lender."""
        pair = Pair()
        sent, request = pair.request(1000)
        pair.accept(pair.lend(request, sent + 1), sent + 2)
        renewed, longer = pair.renewal(sent + 2)
        state = pair.states[LENDER]
        table = make_table(2, 2, [None])
        now = pair.clock(LENDER, renewed)
        rates.set_limits(state, table, now)
        rates.accept_limits(state, table.revision, now)
        self.assertEqual(pair.lend(longer, renewed + 1).renewed, ())


class TakeTest(unittest.TestCase):
    """Guard the results that callers act on."""

    def test_takes_from_all_buckets_or_none(self):
        pair = Pair()
        pair.table = make_table(1, 1, [(10, 4), (10, 2)])
        pair.start(LENDER, 0, 0)
        state = pair.states[LENDER]
        results = [
            rates.take_all(state, BUCKETS, Millis(5000)) for _ in range(3)
        ]
        self.assertIsInstance(results[1], rates.RateTaken)
        self.assertEqual(results[2].bucket, BUCKETS[1])
        self.assertAlmostEqual(state.buckets[BUCKETS[0]].tokens, 2)

    def test_bucket_outside_the_table_has_no_limit(self):
        state = rates.RateState(LENDER, 1, Millis(0))
        taken = rates.take(state, BucketId('x'), Millis(0))
        self.assertIsInstance(taken, rates.RateTaken)

    def test_exhausted_bucket_is_asked_for_ever_more_rarely(self):
        """Guards against a flood of requests while a workspace is over."""
        pair = Pair()
        state = pair.states[BORROWER]
        asked = 0
        hint = BucketLenders(WIDE, (Lender(LENDER, 0.0),))
        for at in range(1000, 6000):
            now = Millis(at)
            pair.surge(at, LENDER)
            rates.take(state, WIDE, now)
            if at % 50 == 0:
                rates.tick(state, now)
                rates.accept_hints(state, LenderHints((hint,)), now)
            for effect in rates.pending_messages(state, now):
                if isinstance(effect.message, LoanRequest):
                    asked += 1
                    pair.accept(pair.lend(effect.message, at), at)
        self.assertLess(asked, 100)
        self.assertGreater(asked, 5)
