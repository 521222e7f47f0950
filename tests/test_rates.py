"""Test that the nodes together admit no more than rate and burst."""

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
    """Admissions and limits of one bucket in simulated global time."""

    def __init__(self):
        self.marks = []

    def limit(self, now, rate, burst):
        self.marks.append((now, rate, burst))

    def admit(self, now):
        self.marks.append((now, None, None))

    def excess(self):
        """Return the max number of calls above rate and burst in any window.

        A window may start at any admission or right before a change of the
        limit, where the allowance can be smallest.
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
    """Run one node with its own clock."""

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
            rates.accept_return(state, sender, message, now)
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

    def take(self, name, max_tokens, now, at):
        """Take up to max_tokens tokens; record them at the global time."""
        admitted = 0
        while admitted < max_tokens:
            taken = rates.take_token(self.state, name, now)
            if not isinstance(taken, rates.TokenTaken):
                for _ in range(REFUSED_CALLS):
                    rates.take_token(self.state, name, now)
                break
            self.cluster.histories[name].admit(at)
            admitted += 1
        self.flush(now)
        return admitted


class Cluster:
    """Run nodes over a network that loses, duplicates and delays messages."""

    def __init__(self, seed, size, limits, min_speed=1.0):
        self.random = random.Random(seed)
        self.now = 0.0
        self.size = size
        self.speeds = [
            min_speed * (1 + self.random.choice((0, 0.005, 0.01)))
            for _ in range(size)
        ]
        self.sessions = itertools.count(1)
        self.histories = defaultdict(History)
        self.loss = self.repeats = 0.0
        self.delays = (1.0, 1.0)
        self.group = [0] * size
        self.in_flight = []
        self.tables = [make_table(1, size, limits)]
        self.accepted = 0
        self.known = [0] * size
        self.accepted_at_start = [0] * size
        self.slots = list(range(size))
        self.processes = [None] * size
        self.record_limits()
        for index in range(size):
            self.start(index, fresh=True)

    def start(self, index, *, fresh):
        process = Process(self, index, next(self.sessions))
        self.processes[index] = process
        self.known[index] = len(self.tables) - 1
        self.accepted_at_start[index] = self.accepted
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
                self.in_flight.append((at, sender, node, message))

    def deliver(self):
        due = [one for one in self.in_flight if one[0] <= self.now]
        self.in_flight = [one for one in self.in_flight if one[0] > self.now]
        due.sort(key=lambda one: one[0])
        for _, sender, node, message in due:
            process = self.processes[int(node[1:])]
            if process is None:
                continue
            groups = self.group[int(sender[1:])], self.group[process.index]
            if groups[0] != groups[1]:
                continue
            if process.paused_until > self.now:
                self.in_flight.append(
                    (process.paused_until, sender, node, message)
                )
            else:
                process.handle(sender, message, process.now())

    def run(self, duration, loaded=(), max_tokens=1000, step=10.0):
        """Advance time; loaded nodes take all available tokens each step."""
        end = self.now + duration
        admitted = 0
        while self.now < end:
            self.now = min(self.now + step, end)
            self.deliver()
            for process in self.awake():
                now = process.now()
                if process.index in loaded:
                    for name in BUCKETS:
                        admitted += process.take(
                            name, max_tokens, now, self.now
                        )
                if int(self.now / step) % 5 == process.index % 5:
                    process.tick(now)
            self.deliver()
        return admitted

    def surge(self, only=range(4)):
        """Let running nodes spend all their tokens at once."""
        for process in self.awake():
            if process.index in only:
                for name in BUCKETS:
                    process.take(name, 1000, process.now(), self.now)

    def run_without(self, process, duration, loaded):
        """Advance time while one process is paused."""
        process.paused_until = float('inf')
        self.run(duration, loaded, step=20.0)
        process.paused_until = self.now

    def excess(self):
        return max(history.excess() for history in self.histories.values())


class SharesMachine(RuleBasedStateMachine):
    """Search for a run in which the nodes admit more than rate and burst."""

    @initialize(
        seed=st.integers(0, 1 << 20),
        size=st.integers(2, 4),
        rate=st.sampled_from((20, 200, 2000)),
        bursts=st.sampled_from(((12, 1), (40, 3), (9, 5))),
        min_speed=st.sampled_from((1.0, 1 / 1.01)),
        repeats=st.sampled_from((0, 0.5)),
        delays=st.sampled_from(((1, 1), (0, 100), (100, 4900))),
    )
    def begin(self, *, seed, size, rate, bursts, min_speed, repeats, delays):
        limits = [(rate, burst) for burst in bursts]
        self.cluster = Cluster(seed, size, limits, min_speed)
        self.cluster.repeats = repeats
        self.cluster.delays = delays
        self.cluster.run(1000, {seed % size})

    def pick(self, index):
        return index % self.cluster.size

    @rule(
        duration=st.sampled_from((20, 100, 400, 2000)),
        loaded=st.sets(st.integers(0, 3), max_size=3),
        max_tokens=st.sampled_from((1, 1000)),
    )
    def run(self, duration, loaded, max_tokens):
        self.cluster.run(duration, loaded, max_tokens)

    @rule(
        duration=st.sampled_from((100, 2500, 5000)),
    )
    def pass_time(self, duration):
        self.cluster.run(duration, step=50.0)

    @rule(only=st.sets(st.integers(0, 3), max_size=2))
    def surge(self, only):
        self.cluster.surge(only)

    @rule(lost=st.booleans(), early=st.sampled_from((1, 20)))
    def surge_at_end_of_loan(self, lost, early):
        """Spend all tokens right before and right after a loan ends."""
        cluster = self.cluster
        ends = [
            ((share_loan.until - one.origin) / one.speed, one.index)
            for one in cluster.awake()
            for bucket in one.state.buckets.values()
            for share_loan in bucket.borrowed.values()
        ]
        end, index = max(ends, default=(0, 0))
        if end > cluster.now + early:
            loss, cluster.loss = cluster.loss, 1 if lost else cluster.loss
            # An idle borrower would return its loans early.
            wait = end - early - cluster.now
            cluster.run_without(cluster.processes[index], wait, ())
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
            for one in cluster.in_flight
            if process
            and one[2] == process.node
            and cluster.group[int(one[1][1:])] == cluster.group[process.index]
        ]
        if waiting and process.paused_until <= cluster.now:
            cluster.in_flight.remove(waiting[0])
            now = process.now()
            cluster.run_without(process, duration, range(4))
            process.handle(waiting[0][1], waiting[0][3], now)

    @rule(index=st.integers(0, 3))
    def crash(self, index):
        self.cluster.processes[self.pick(index)] = None

    @rule(index=st.integers(0, 3), loaded=st.integers(0, 3))
    def restart_lender(self, index, loaded):
        """Restart a node that may have lent, then spend all its tokens."""
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
        """Release a slot and give it to another node after its loans end."""
        cluster = self.cluster
        releaser = cluster.processes[self.pick(index)]
        successor = cluster.processes[self.pick(other)]
        if releaser and successor and releaser is not successor:
            slot = cluster.slots[releaser.index]
            if slot is not None and cluster.slots[successor.index] is None:
                rates.set_slot(releaser.state, None, releaser.now())
                cluster.slots[releaser.index] = None
                cluster.run(5000 * 1.01 * 1.01, (successor.index,), step=50.0)
                now = successor.now()
                lease = rates.SlotLease(slot, Millis(now + DAY_MS), True)
                cluster.slots[successor.index] = slot
                if cluster.processes[successor.index] is successor:
                    rates.set_slot(successor.state, lease, now)
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
        """Let one node adopt a table with other owners of the bucket."""
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
        """Accept a table once it is in force on every node."""
        cluster = self.cluster
        known = [cluster.known[one.index] for one in cluster.alive()]
        if all(cluster.processes) and min(known) > cluster.accepted:
            cluster.accepted = min(known)
            cluster.record_limits()

    @rule(index=st.integers(0, 3))
    def learn_accepted(self, index):
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
    """Guard against admitting more than the fleet-wide rate and burst."""

    settings = settings(max_examples=300, stateful_step_count=30, deadline=None)


LENDER, BORROWER = NodeId('lender'), NodeId('borrower')
BUCKET = BUCKETS[0]


class Pair:
    """A lender and a borrower; each owns half of 1000 calls/s and burst 100."""

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

    def pass_time(self, start, end):
        """Advance time without calls, so that buckets refill as loans end."""
        for at in range(int(start), int(end)):
            for node, state in self.states.items():
                rates.expire(state, self.clock(node, at))

    def surge(self, at, *nodes):
        """Take all tokens of the nodes and return their number."""
        admitted = 0
        for node in nodes or (LENDER, BORROWER):
            now = self.clock(node, at)
            while isinstance(
                rates.take_token(self.states[node], BUCKET, now),
                rates.TokenTaken,
            ):
                self.history.admit(at)
                admitted += 1
        return admitted

    def request(self, at):
        """Make the borrower request rate; return the time and the request."""
        state = self.states[BORROWER]
        hint = BucketLenders(BUCKET, (Lender(LENDER, 500.0),))
        while True:
            at += 10
            now = self.clock(BORROWER, at)
            self.surge(at, BORROWER)
            rates.accept_hints(state, LenderHints((hint,)), now)
            for effect in rates.tick(state, now):
                message = effect.message
                if isinstance(message, LoanRequest) and any(
                    requested.rate > 100
                    for requested in message.requested_loans
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
        """Make the borrower request a renewal under steady load."""
        state = self.states[BORROWER]
        while True:
            at += 50
            self.surge(at, BORROWER)
            for effect in rates.tick(state, self.clock(BORROWER, at)):
                message = effect.message
                if isinstance(message, LoanRequest) and message.renewals:
                    return at, message


class LoanTest(unittest.TestCase):
    """Guard each rule that prevents two nodes from using the same share."""

    def assert_within(self, pair):
        self.assertLessEqual(pair.history.excess(), ROUNDING)

    def start(self, **speeds):
        pair = Pair(**speeds)
        sent, request = pair.request(1000)
        loan = pair.lend(request, sent + 1)
        self.assertTrue(any(grant.rate_fraction for grant in loan.grants))
        return pair, sent, request, loan

    def test_loan_transfers_rate_without_changing_the_total(self):
        pair, sent, _, loan = self.start()
        pair.accept(loan, sent + 2)
        admitted = sum(
            pair.surge(sent + 10 * step, BORROWER) for step in range(1, 300)
        )
        self.assertGreater(admitted, 1.2 * 500 * 2.98)
        pair.surge(sent + 3000)
        self.assert_within(pair)

    def test_loan_term_starts_at_the_request(self):
        pair, sent, _, loan = self.start()
        pair.accept(loan, sent + 4900)
        pair.pass_time(sent + 4900, sent + 6500)
        pair.surge(sent + 6500)
        self.assert_within(pair)

    def test_loan_received_after_its_term_is_ignored(self):
        pair, sent, _, loan = self.start()
        pair.accept(loan, sent + 5100)
        pair.pass_time(sent + 5100, sent + 6500)
        pair.surge(sent + 6500)
        self.assert_within(pair)

    def test_renewed_term_starts_at_the_renewal_request(self):
        pair, sent, _, loan = self.start()
        pair.accept(loan, sent + 2)
        renewed, request = pair.renewal(sent + 2)
        longer = pair.lend(request, renewed + 1)
        self.assertTrue(longer.renewed)
        pair.accept(longer, renewed + 2300)
        pair.pass_time(renewed + 2300, renewed + 6500)
        pair.surge(renewed + 6500)
        self.assert_within(pair)

    def test_lender_term_allows_for_a_slow_borrower_clock(self):
        for renew in (False, True):
            pair, sent, _, loan = self.start(borrower_speed=1 / 1.01)
            pair.accept(loan, sent + 2)
            if renew:
                sent, request = pair.renewal(sent + 2)
                pair.accept(pair.lend(request, sent + 1), sent + 2)
            pair.pass_time(sent + 3, sent + 5049)
            pair.surge(sent + 5049)
            pair.surge(sent + 5100)
            with self.subTest(renew=renew):
                self.assert_within(pair)

    def test_fast_clocks_do_not_raise_the_rate(self):
        pair = Pair(lender_speed=1.01, borrower_speed=1.01)
        for at in range(0, 60_000, 20):
            pair.surge(at)
        self.assert_within(pair)

    def test_duplicate_message_has_no_effect(self):
        pair, sent, request, loan = self.start()
        again = pair.lend(request, sent + 2)
        self.assertEqual(again.grants, loan.grants)
        lender = pair.states[LENDER].buckets[BUCKET]
        borrower = pair.states[BORROWER].buckets[BUCKET]
        pair.accept(loan, sent + 2)
        held = borrower.held_rate
        pair.accept(again, sent + 3)
        self.assertEqual(borrower.held_rate, held)
        self.assertLessEqual(borrower.burst + lender.burst, 100 + ROUNDING)
        entries = tuple(
            ReturnedLoan(grant.loan_id, 0.0) for grant in loan.grants
        )
        for _ in range(2):
            rates.accept_return(
                pair.states[LENDER],
                BORROWER,
                LoanReturn(1, entries),
                pair.clock(LENDER, sent + 10),
            )
        self.assertAlmostEqual(lender.held_rate, 500)
        self.assertAlmostEqual(lender.burst, 50)

    def test_returned_share_starts_empty(self):
        pair, sent, _, loan = self.start()
        pair.accept(loan, sent + 2)
        pair.surge(sent + 1000)
        entries = tuple(
            ReturnedLoan(grant.loan_id, 0.0) for grant in loan.grants
        )
        state = pair.states[BORROWER]
        for loan_number in tuple(state.buckets[BUCKET].borrowed):
            state.buckets[BUCKET].end_borrowed(loan_number)
        rates.accept_return(
            pair.states[LENDER],
            BORROWER,
            LoanReturn(1, entries),
            pair.clock(LENDER, sent + 1000),
        )
        self.assertEqual(pair.surge(sent + 1000), 0)
        self.assert_within(pair)

    def test_restarted_borrower_ignores_earlier_loans(self):
        pair, sent, request, loan = self.start()
        pair.start(BORROWER, 1, sent, fresh=False, session=2)
        state = pair.states[BORROWER]
        state.requests[request.number] = OpenRequest(
            LENDER,
            pair.clock(BORROWER, sent),
            {
                requested.loan_id: requested
                for requested in request.requested_loans
            },
            frozenset(),
        )
        self.assertFalse(pair.accept(loan, sent + 2))
        self.assertEqual(state.buckets[BUCKET].held_rate, 0)

    def test_restarted_lender_waits_for_earlier_loans_to_end(self):
        pair, sent, _, loan = self.start()
        pair.accept(loan, sent + 2)
        pair.start(LENDER, 0, sent + 10, fresh=False, session=2)
        pair.pass_time(sent + 10, sent + 3000)
        pair.surge(sent + 3000)
        self.assert_within(pair)
        self.assertEqual(pair.surge(sent + 5100, LENDER), 0)
        self.assertGreater(pair.surge(sent + 6000, LENDER), 0)

    def test_expired_slot_is_not_used(self):
        pair = Pair()
        pair.start(LENDER, 0, 0, until=3000)
        self.assertEqual(pair.surge(2999, LENDER), 50)
        self.assertEqual(pair.surge(4000, LENDER), 0)

    def test_expired_slot_counts_as_taken_over(self):
        """Another node may have held the slot meanwhile and lent it."""
        pair = Pair()
        pair.start(LENDER, 0, 0, until=3000)
        lease = rates.SlotLease(0, Millis(DAY_MS), fresh=False)
        rates.set_slot(pair.states[LENDER], lease, Millis(4000))
        self.assertEqual(pair.surge(8000, LENDER), 0)

    def test_no_rate_is_lent_beyond_the_slot_lease(self):
        pair = Pair()
        pair.start(LENDER, 0, 0, until=7000)
        sent, request = pair.request(2000)
        loan = pair.lend(request, sent + 1)
        self.assertFalse(any(grant.rate_fraction for grant in loan.grants))


class TableEditTest(unittest.TestCase):
    """Guard against a table edit that lets two nodes use one share."""

    def test_share_is_minimum_of_newest_and_accepted_table(self):
        old, new = make_table(1, 2, [(9, 3)]), make_table(2, 2, [(9, 3)])
        for slots in range(3, 20):
            new = make_table(2, slots, [(9, 3)])
            if owner_slots(new, BUCKET) == {
                1 - next(iter(owner_slots(old, BUCKET)))
            }:
                break
        pair = Pair()
        owner = next(iter(owner_slots(new, BUCKET)))
        pair.table = old
        pair.start(LENDER, owner, 0)
        state = pair.states[LENDER]
        rates.set_limits(state, new, Millis(10))
        self.assertEqual(pair.surge(5000, LENDER), 0)
        rates.accept_limits(state, new.revision, Millis(5000))
        self.assertEqual(pair.surge(9000, LENDER), 3)
        rates.set_limits(state, make_table(3, 2, [(9, 3)]), Millis(9000))
        self.assertEqual(pair.surge(12000, LENDER), 0)

    def test_lower_burst_discards_tokens_at_once(self):
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
        taken = rates.take_token(state, BUCKET, Millis(5000))
        self.assertIsInstance(taken, rates.RateExceeded)

    def test_bucket_added_again_keeps_its_lent_loans(self):
        pair = Pair()
        sent, request = pair.request(1000)
        pair.accept(pair.lend(request, sent + 1), sent + 2)
        state = pair.states[LENDER]
        now = pair.clock(LENDER, sent + 10)
        for revision, limits in ((2, [None]), (3, [(1000, 100)])):
            table = make_table(revision, 2, limits)
            rates.set_limits(state, table, now)
            rates.accept_limits(state, table.revision, now)
        self.assertLess(state.buckets[BUCKET].held_rate, 500)

    def test_loan_of_a_removed_row_is_not_renewed(self):
        """Guard against a renewal request that stops the node of the lender."""
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
    """Guard the results that callers of take_token and take_tokens use."""

    def test_takes_from_all_buckets_or_none(self):
        pair = Pair()
        pair.table = make_table(1, 1, [(10, 4), (10, 2)])
        pair.start(LENDER, 0, 0)
        state = pair.states[LENDER]
        results = [
            rates.take_tokens(state, BUCKETS, Millis(5000)) for _ in range(3)
        ]
        self.assertIsInstance(results[1], rates.TokenTaken)
        self.assertEqual(results[2].bucket, BUCKETS[1])
        self.assertAlmostEqual(state.buckets[BUCKETS[0]].tokens, 2)

    def test_bucket_outside_the_table_has_no_limit(self):
        state = rates.RateState(LENDER, 1, Millis(0))
        taken = rates.take_token(state, BucketId('x'), Millis(0))
        self.assertIsInstance(taken, rates.TokenTaken)

    def test_requests_back_off_while_a_bucket_is_exhausted(self):
        """Without backoff, a workspace over its rate floods lenders."""
        pair = Pair()
        state = pair.states[BORROWER]
        asked = 0
        hint = BucketLenders(BUCKET, (Lender(LENDER, 0.0),))
        for at in range(1000, 6000):
            now = Millis(at)
            pair.surge(at, LENDER)
            rates.take_token(state, BUCKET, now)
            if at % 50 == 0:
                rates.tick(state, now)
                rates.accept_hints(state, LenderHints((hint,)), now)
            for effect in rates.pending_messages(state, now):
                if isinstance(effect.message, LoanRequest):
                    asked += 1
                    pair.accept(pair.lend(effect.message, at), at)
        self.assertLess(asked, 100)
        self.assertGreater(asked, 5)
