"""Test the lookup of routes and workspaces and the choice of targets."""

import random
import unittest
from collections import Counter

from jasmineramp.authentication import digest_key
from jasmineramp.ids import Revision, RowName, ServiceName, WorkspaceId
from jasmineramp.mesh.calls import CallKind
from jasmineramp.mesh.route_table import (
    RankedWorkspace,
    RouteRow,
    RouteTable,
    ServiceShare,
    TargetSplit,
    importance_of,
)
from jasmineramp.table import KeyRow, WorkspaceRow


class CountingPath(str):
    """Count the characters of all parts that are cut out."""

    __slots__ = ('copied',)

    copied: int

    def __getitem__(self, key: object) -> str:
        part = str.__getitem__(self, key)  # type: ignore[call-overload]
        self.copied += len(part)
        return part


def route(
    name: str, prefix: str, *shares: tuple[str, float], rank: int = 0
) -> RouteRow:
    """Return a route with weighted targets."""
    return RouteRow(
        RowName(name),
        'shop.example',
        prefix,
        tuple(
            ServiceShare(ServiceName(service), weight)
            for service, weight in shares
        ),
        CallKind.idempotent,
        1000,
        500,
        rank,
        2,
        False,
    )


class RouteTableTest(unittest.TestCase):
    """The longest prefix matches, and keys identify workspaces."""

    def setUp(self) -> None:
        self.table = RouteTable(
            Revision(1),
            '1',
            routes=(
                route('outer', '/a/', ('x', 1)),
                route('inner', '/a/b/', ('y', 1)),
            ),
            workspaces={
                WorkspaceId('w'): RankedWorkspace(
                    WorkspaceRow(WorkspaceId('w'), 1, 1), None
                )
            },
            keys=(KeyRow(digest_key('secret'), WorkspaceId('w')),),
        )

    def test_longest_prefix_matches(self) -> None:
        for path, name in (
            ('/a/c', 'outer'),
            ('/a/b/c', 'inner'),
            ('/a/b/', 'inner'),
            ('/a/b', 'outer'),
        ):
            found = self.table.find('shop.example', path)
            self.assertEqual(found and found.name, name, path)

    def test_other_hosts_and_paths_are_unknown(self) -> None:
        self.assertIsNone(self.table.find('other.example', '/a/'))
        self.assertIsNone(self.table.find('shop.example', '/b/'))
        self.assertIsNone(self.table.find('shop.example', '/a'))

    # Guards against a look-up that takes time with the square of the length.
    def test_path_of_many_slashes_is_not_copied_often(self) -> None:
        path = CountingPath('/' * 16_000)
        path.copied = 0
        self.assertIsNone(self.table.find('shop.example', path))
        self.assertLessEqual(path.copied, len(path))

    def test_key_identifies_its_workspace(self) -> None:
        found = self.table.find_workspace('secret')
        self.assertEqual(found and found.row.name, 'w')
        self.assertIsNone(self.table.find_workspace('other'))


class TargetSplitTest(unittest.TestCase):
    """Shares match the weights over few calls."""

    def test_shares_match_the_weights(self) -> None:
        row = route('r', '/', ('x', 90), ('y', 10))
        split = TargetSplit(random.Random(1))
        counts = Counter(split.choose(row) for _ in range(100))
        self.assertAlmostEqual(counts[ServiceName('x')], 90, delta=2)

    def test_changed_targets_reset_the_credits(self) -> None:
        split = TargetSplit(random.Random(1))
        split.choose(route('r', '/', ('x', 1), ('y', 1)))
        row = route('r', '/', ('x', 1), ('z', 1))
        counts = Counter(split.choose(row) for _ in range(50))
        self.assertEqual(set(counts), {'x', 'z'})


class ImportanceTest(unittest.TestCase):
    """Rank 0 has the highest importance."""

    def test_importance_falls_with_the_rank(self) -> None:
        ranks = [
            importance_of(route('r', '/', ('x', 1), rank=rank), None)
            for rank in range(6)
        ]
        self.assertEqual(ranks, sorted(ranks, reverse=True))
        self.assertGreater(ranks[0], ranks[1])
