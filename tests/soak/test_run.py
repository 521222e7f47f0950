"""Guard the promises with a short soak of real processes."""

import asyncio
import unittest
from unittest import mock

from tests.soak.run import Soak

SEED = 7
SECONDS = 16
NODES = 3
# Seeds that once broke a promise, with four nodes for 18 s.
# 625: responses that were cut off stayed in memory with their connections.
REGRESSION_SEEDS = (625,)
REGRESSION_SECONDS = 18
REGRESSION_NODES = 4
ROLLING_SEED = 2
ROLLING_NODES = 6
ROUNDS = 2
RESTORED_SEED = 3
RESTORED_SECONDS = 30
EVACUATED_SEED = 4
EVACUATED_SECONDS = 14


class SoakTest(unittest.TestCase):
    """A seeded run breaks no promise."""

    def test_short_run(self) -> None:
        soak = Soak(SEED, SECONDS, NODES)
        self.assertEqual(asyncio.run(soak.run()), [])

    def test_seeds_that_once_failed(self) -> None:
        for seed in REGRESSION_SEEDS:
            with self.subTest(seed):
                soak = Soak(seed, REGRESSION_SECONDS, REGRESSION_NODES)
                self.assertEqual(asyncio.run(soak.run()), [])

    def test_rolling_stops(self) -> None:
        """Planned stops that overlap cut off no call at work."""
        soak = Soak(ROLLING_SEED, SECONDS, ROLLING_NODES, ROUNDS)
        self.assertEqual(asyncio.run(soak.run()), [])

    def test_store_that_returns_from_older_copies(self) -> None:
        """No older table comes back, and each route is served again."""
        soak = Soak(RESTORED_SEED, RESTORED_SECONDS, NODES, is_restored=True)
        self.assertEqual(asyncio.run(soak.run()), [])
        self.assertGreater(soak.operator.lost, 0)

    def test_evacuated_domains_and_cold_instances(self) -> None:
        """No call runs in an evacuated domain; cold instances get few."""
        soak = Soak(
            EVACUATED_SEED,
            EVACUATED_SECONDS,
            REGRESSION_NODES,
            has_evacuations=True,
        )
        self.assertEqual(asyncio.run(soak.run()), [])
        self.assertGreater(len(soak.history.evacuations), 1)

    def test_nodes_end_with_a_run_that_fails_early(self) -> None:
        """A fleet that never becomes ready leaves no process behind."""
        soak = Soak(SEED, SECONDS, NODES)
        with (
            mock.patch.object(soak, '_until_ready', side_effect=TimeoutError),
            self.assertRaises(TimeoutError),
        ):
            asyncio.run(soak.run())
        self.assertFalse(any(each.is_alive() for each in soak.members))
