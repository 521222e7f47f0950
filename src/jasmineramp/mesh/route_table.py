"""Hold the operators' table in the form that the nodes look it up."""

import random
from collections.abc import Mapping

import msgspec

from jasmineramp.authentication import KeyRing, digest_key
from jasmineramp.ids import Revision, RowName, ServiceName, WorkspaceId
from jasmineramp.mesh.calls import CallKind
from jasmineramp.table import (
    LEAST_IMPORTANCE,
    MOST_IMPORTANCE,
    KeyRow,
    Table,
    WorkspaceRow,
)

# The most important band is kept for calls of requests that already run.
_FIRST_IMPORTANCE = MOST_IMPORTANCE - 1


class ServiceShare(msgspec.Struct, frozen=True):
    """Give a service its weight among the targets of a row."""

    service: ServiceName
    weight: float


class RouteRow(msgspec.Struct, frozen=True):
    """Describe one kind of call; times are milliseconds.

    Rank 0 is the most urgent. Attempts count the first one.
    """

    name: RowName
    host: str
    prefix: str
    targets: tuple[ServiceShare, ...]
    kind: CallKind
    timeout_ms: float
    objective_ms: float
    rank: int
    attempts: int
    is_open: bool


class RankedWorkspace(msgspec.Struct, frozen=True):
    """Join the row of a workspace with its rank; None if it has none.

    A rate of 0 means that the workspace has no limit.
    """

    row: WorkspaceRow
    rank: int | None


class CallerLimits(msgspec.Struct, frozen=True):
    """Bound what callers may send; sizes in bytes, times in ms."""

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_ms: float = 3_000
    idle_ms: float = 15_000


class RouteTable:
    """Find the row of a call and the workspace of a key."""

    def __init__(
        self,
        revision: Revision,
        version: str,
        *,
        routes: tuple[RouteRow, ...] = (),
        workspaces: Mapping[WorkspaceId, RankedWorkspace] | None = None,
        keys: tuple[KeyRow, ...] = (),
        limits: CallerLimits | None = None,
    ) -> None:
        self.revision = revision
        self.version = version
        self.routes = routes
        self.workspaces = workspaces or {}
        self.has_workspaces = bool(self.workspaces)
        self.limits = limits or CallerLimits()
        self.keys = KeyRing(Table(keys=keys))
        self.by_host: dict[str, dict[str, RouteRow]] = {}
        for route in routes:
            self.by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> RouteRow | None:
        """Return the row with the longest prefix that begins the path."""
        prefixes = self.by_host.get(host)
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def find_workspace(self, key: str) -> RankedWorkspace | None:
        """Return the workspace that holds a key."""
        name = self.keys.find_workspace(digest_key(key))
        return None if name is None else self.workspaces.get(name)


class TargetSplit:
    """Spread the calls of each row over its services by weight.

    Each row keeps the credit of its services, so that the shares hold over
    short spans too.
    """

    def __init__(self, rng: random.Random) -> None:
        self.random = rng
        self.credits: dict[RowName, dict[ServiceName, float]] = {}

    def choose(self, route: RouteRow) -> ServiceName:
        """Return the service of the next call of a row."""
        targets = route.targets
        if len(targets) == 1:
            return targets[0].service
        credits = self.credits.get(route.name)
        names = {each.service for each in targets}
        if credits is None or credits.keys() != names:
            # Nodes start at different points of the cycle.
            credits = {name: self.random.random() for name in names}
            self.credits[route.name] = credits
        total = sum(each.weight for each in targets)
        for each in targets:
            credits[each.service] += each.weight / total
        chosen = max(targets, key=lambda each: credits[each.service]).service
        credits[chosen] -= 1
        return chosen


def importance_of(route: RouteRow, workspace: RankedWorkspace | None) -> int:
    """Return the importance of a new request; rank 0 of a workspace wins."""
    is_first = workspace is not None and workspace.rank == 0
    rank = 0 if is_first else route.rank
    return max(LEAST_IMPORTANCE, _FIRST_IMPORTANCE - rank)
