"""Test the hints of the exchange and the shift of rate to demand."""

import unittest

from bench import rate_shares

from jasmineramp import exchange
from jasmineramp.clock import Millis
from jasmineramp.ids import BucketId, DomainId, NodeId, Revision
from jasmineramp.rate_buckets import RateLimit, RateTable, owner_slots
from jasmineramp.rate_messages import Demand, DemandReport, DomainSummary

LARGE_BURST, SMALL_BURST = BucketId('wide'), BucketId('narrow')
HERE, THERE = DomainId('here'), DomainId('there')
NODES = [NodeId(f'n{index:02}') for index in range(12)]
TABLE = RateTable(
    Revision(1),
    len(NODES),
    {LARGE_BURST: RateLimit(120, 120), SMALL_BURST: RateLimit(120, 4)},
)
START = Millis(100_000)


def make_exchange(node=NODES[0], domain=HERE, nodes=NODES):
    state = exchange.ExchangeState(node, domain, 1)
    exchange.set_table(state, TABLE)
    exchange.set_members(
        state,
        [
            exchange.RateMember(
                one, HERE if index < 4 else THERE, NODES.index(one)
            )
            for index, one in enumerate(nodes)
        ],
    )
    return state


def report_demand(
    state, node, held, wanted, *, urgent=False, bucket=LARGE_BURST, at=START
):
    """Report a demand and return the hinted rates by lender."""
    demand = Demand(bucket, held, 0.0, wanted, urgent)
    hints = exchange.receive_report(state, node, DemandReport((demand,)), at)
    if hints is None:
        return {}
    return {one.node: one.rate for one in hints.buckets[0].lenders}


class HintTest(unittest.TestCase):
    """Guard against hints that leave a borrower without lenders."""

    def test_reported_spare_rate_comes_first(self):
        state = make_exchange()
        report_demand(state, NODES[2], 10, 1)
        hinted = report_demand(state, NODES[1], 10, 18, urgent=True)
        self.assertEqual(next(iter(hinted.items())), (NODES[2], 9))
        self.assertNotIn(NODES[1], hinted)

    def test_node_without_report_counts_as_idle(self):
        """Guard against idle owners that no borrower asks."""
        hinted = report_demand(make_exchange(), NODES[1], 10, 40, urgent=True)
        local = [node for node in NODES[:4] if node != NODES[1]]
        self.assertEqual({hinted[node] for node in local}, {10})

    def test_other_failure_domains_cover_missing_rate(self):
        hinted = report_demand(make_exchange(), NODES[1], 10, 120, urgent=True)
        self.assertAlmostEqual(sum(hinted.values()), 110)

    def test_two_borrowers_get_different_rate(self):
        state = make_exchange()
        report_demand(state, NODES[2], 10, 1)
        first = report_demand(state, NODES[1], 10, 18, urgent=True)
        second = report_demand(state, NODES[3], 10, 18, urgent=True)
        self.assertEqual(first[NODES[2]], 9)
        self.assertEqual(second.get(NODES[2], 0), 0)

    def test_nodes_are_hinted_even_without_spare_rate(self):
        """Guard against calls that wait with no node to ask for a token."""
        state = make_exchange()
        for node in NODES:
            report_demand(state, node, 10, 20)
        hinted = report_demand(state, NODES[1], 10, 20, urgent=True)
        self.assertGreaterEqual(len(hinted), 4)
        self.assertEqual(set(hinted.values()), {0})

    def test_owners_of_a_small_burst_bucket_are_always_hinted(self):
        state = make_exchange()
        owners = {NODES[slot] for slot in owner_slots(TABLE, SMALL_BURST)}
        for node in NODES:
            hinted = report_demand(
                state, node, 0, 1, urgent=True, bucket=SMALL_BURST
            )
            self.assertEqual(set(hinted), owners - {node})

    def test_dead_nodes_are_not_hinted(self):
        state = make_exchange()
        report_demand(state, NODES[2], 10, 1)
        alive = [node for node in NODES if node != NODES[2]]
        again = make_exchange(nodes=alive)
        again.reports = state.reports
        hinted = report_demand(again, NODES[1], 10, 120, urgent=True)
        self.assertNotIn(NODES[2], hinted)

    def test_old_reports_are_dropped(self):
        state = make_exchange()
        report_demand(state, NODES[2], 10, 1)
        later = Millis(START + 10_000)
        exchange.tick(state, later)
        hinted = report_demand(state, NODES[1], 10, 18, urgent=True, at=later)
        self.assertEqual(hinted[NODES[2]], 10)


class SummaryTest(unittest.TestCase):
    """Guard the summaries that exchanges of failure domains send."""

    def test_only_the_exchange_sends_once_a_second(self):
        state, other = make_exchange(), make_exchange(NODES[1])
        for each in (state, other):
            report_demand(each, NODES[2], 10, 1)
        sent = exchange.tick(state, START)
        self.assertEqual([one.node for one in sent], [NODES[4]])
        self.assertEqual(exchange.tick(state, Millis(START + 950)), [])
        self.assertEqual(exchange.tick(other, START), [])

    def test_summary_names_lenders_for_the_other_domain(self):
        state = make_exchange()
        report_demand(state, NODES[2], 10, 1)
        for node in NODES[:2]:
            report_demand(state, node, 10, 10)
        message = exchange.tick(state, START)[0].message
        self.assertIsInstance(message, DomainSummary)
        other = make_exchange(NODES[4], THERE)
        exchange.receive_summary(other, message, START)
        hinted = report_demand(other, NODES[5], 10, 120, urgent=True)
        self.assertEqual(hinted[NODES[2]], 9)
        self.assertNotIn(NODES[0], hinted)


class ShiftTest(unittest.TestCase):
    """Guard against refusals while other nodes have spare rate."""

    def run_shift(self, limit, load, after):
        fleet = rate_shares.Fleet(12, 3, {rate_shares.NAME: limit}, seed=1)
        offered = limit[0] * load
        ideal = fleet.offer(
            rate_shares.NAME,
            1000,
            4000,
            weights=rate_shares.everywhere(fleet),
            rate=offered,
        )
        fleet.offer(
            rate_shares.NAME,
            4000,
            8000,
            weights=after(fleet),
            rate=offered,
            ideal=ideal,
        )
        fleet.run(9000)
        self.assertLessEqual(fleet.excess(), 1e-6)
        return fleet

    def test_calls_within_rate_are_served_after_a_shift(self):
        for after in (rate_shares.one_node, rate_shares.one_domain):
            fleet = self.run_shift((400, 200), 0.9, after)
            with self.subTest(after=after.__name__):
                self.assertEqual(fleet.refused(2000, 4000)[0], 0)
                self.assertLess(fleet.served_after(4000, 8000), 2000)
                self.assertLess(fleet.refused(6000, 8000)[0], 0.001)

    def test_small_burst_is_usable_from_every_node(self):
        for burst in (2, 5, 20):
            fleet = self.run_shift((50, burst), 0.5, rate_shares.uneven)
            with self.subTest(burst=burst):
                self.assertLess(fleet.refused(2000, 8000)[0], 0.05)

    def test_rate_is_used_up_by_excess_demand_at_one_node(self):
        fleet = self.run_shift((400, 60), 3, rate_shares.one_node)
        served = sum(call[2] for call in fleet.calls if 6000 <= call[0] < 8000)
        self.assertGreater(served, 0.9 * 400 * 2)
