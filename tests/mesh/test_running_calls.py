"""Test whose calls an upstream makes."""

import random
import unittest
from collections import Counter

from jasmineramp.mesh.calls import MAX_PROGRESS
from jasmineramp.mesh.running_calls import Origin, RunningCalls
from jasmineramp.table import MOST_IMPORTANCE

ORDER = Origin(4)
BROWSE = Origin(2, is_repeat=True)


class RunningCallsTest(unittest.TestCase):
    """Test the origin of a call by its id, and without one that tells."""

    def setUp(self) -> None:
        self.calls = RunningCalls(random.Random(5))

    def test_id_names_the_call_that_makes_it(self) -> None:
        self.calls.add('a1', ORDER)
        self.calls.add('a1.b2', BROWSE)
        self.assertEqual(self.calls.find_parent('a1.x9'), ORDER)
        self.assertEqual(self.calls.find_parent('a1.b2.x9'), BROWSE)
        self.assertIsNone(self.calls.find_parent('x9'))

    def test_other_calls_get_one_of_the_running_calls(self) -> None:
        """Each origin is as frequent as its running calls."""
        for each in range(3):
            self.calls.add(f'a{each}', ORDER)
        self.calls.add('b', BROWSE)
        found = Counter(self.calls.choose_origin() for _ in range(1000))
        self.assertEqual(set(found), {ORDER, BROWSE})
        self.assertAlmostEqual(found[ORDER] / 1000, 0.75, delta=0.05)

    def test_ended_calls_are_forgotten(self) -> None:
        self.calls.add('a1', ORDER)
        self.calls.add('b1', BROWSE)
        self.calls.remove('a1', ORDER)
        self.assertIsNone(self.calls.find_parent('a1.x9'))
        self.assertEqual(self.calls.choose_origin(), BROWSE)
        self.calls.remove('b1', BROWSE)
        self.assertEqual(self.calls.choose_origin(), Origin(MOST_IMPORTANCE))

    # Guards against progress that is lost on the way, grows without bound or
    # outlives its call.
    def test_answers_count_for_the_call_that_an_id_names(self) -> None:
        self.calls.add('a1', ORDER, 3)
        self.calls.count_answer('a1.b2')
        self.calls.count_answer('a2.b2')
        self.assertEqual(self.calls.find_progress('a1.x9'), 4)
        self.assertEqual(self.calls.find_progress('a2.x9'), 0)
        for _ in range(MAX_PROGRESS):
            self.calls.count_answer('a1.b2')
        self.assertEqual(self.calls.find_progress('a1.x9'), MAX_PROGRESS)
        self.calls.remove('a1', ORDER)
        self.assertEqual(self.calls.progress, {})
