"""Guard the promises with a short soak of real processes."""

import asyncio
import unittest

from tests.soak.run import Soak

SEED = 7
SECONDS = 16
NODES = 3


class SoakTest(unittest.TestCase):
    """A seeded run breaks no promise."""

    def test_short_run(self) -> None:
        soak = Soak(SEED, SECONDS, NODES)
        self.assertEqual(asyncio.run(soak.run()), [])
