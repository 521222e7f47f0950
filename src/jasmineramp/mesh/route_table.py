"""Look up routes and workspaces in the operators' table."""

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

# The highest importance is reserved for calls without a workspace, which count
# as part of a request that is already running.
_MAX_NEW_IMPORTANCE = MOST_IMPORTANCE - 1


class ServiceShare(msgspec.Struct, frozen=True):
    """Hold the weight of a service among the targets of a route."""

    service: ServiceName
    weight: float


class RouteRow(msgspec.Struct, frozen=True):
    """Hold the row of a route; times are in milliseconds.

    Rank 0 is the most important. `attempts` includes the first one. Large
    answers should stay within a failure domain.
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
    has_large_answers: bool = False


class RankedWorkspace(msgspec.Struct, frozen=True):
    """Hold the row and the rank of a workspace; None means no rank.

    A rate of 0 means no rate limit.
    """

    row: WorkspaceRow
    rank: int | None


class ServiceRow(msgspec.Struct, frozen=True):
    """Hold the row of a service.

    A cold instance tolerates `cold_per_s` calls a second, any number if it is
    0. `cold_start_ms` is how long an instance is cold after its start.
    """

    name: ServiceName
    cold_per_s: float = 0
    cold_start_ms: float = 0


class CallerLimits(msgspec.Struct, frozen=True):
    """Hold the limits of callers' requests; sizes in bytes, times in ms."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class HostRoutes:
    """Find the route of a path among those of one host."""

    __slots__ = ('by_prefix', 'longest_prefix')

    def __init__(self) -> None:
        self.by_prefix: dict[str, RouteRow] = {}
        self.longest_prefix = 0

    def add(self, route: RouteRow) -> None:
        """Add a route."""
        self.by_prefix[route.prefix] = route
        self.longest_prefix = max(self.longest_prefix, len(route.prefix))

    def find(self, path: str) -> RouteRow | None:
        """Return the route with the longest matching prefix, None if none."""
        # Without the limit, a path of many slashes takes quadratic time.
        slash = path.rfind('/', 0, self.longest_prefix)
        while slash >= 0:
            route = self.by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
            slash = path.rfind('/', 0, slash)
        return None


class RouteTable:
    """Find the route of a request and the workspace of an API key.

    `serial` grows with each version.
    """

    def __init__(
        self,
        revision: Revision,
        version: str,
        *,
        routes: tuple[RouteRow, ...] = (),
        workspaces: Mapping[WorkspaceId, RankedWorkspace] | None = None,
        keys: tuple[KeyRow, ...] = (),
        limits: CallerLimits | None = None,
        services: Mapping[ServiceName, ServiceRow] | None = None,
        serial: int = 0,
    ) -> None:
        self.revision = revision
        self.version = version
        self.serial = serial
        self.routes = routes
        self.workspaces = workspaces or {}
        self.has_workspaces = bool(self.workspaces)
        self.limits = limits or CallerLimits()
        self.services = services or {}
        self.keys = KeyRing(Table(keys=keys))
        self.by_host: dict[str, HostRoutes] = {}
        for route in routes:
            self.by_host.setdefault(route.host, HostRoutes()).add(route)

    def find(self, host: str, path: str) -> RouteRow | None:
        """Return the route with the longest matching prefix, None if none."""
        routes = self.by_host.get(host)
        return None if routes is None else routes.find(path)

    def find_workspace(self, key: str) -> RankedWorkspace | None:
        """Return the workspace of an API key, None if the key is unknown."""
        name = self.keys.find_workspace(digest_key(key))
        return None if name is None else self.workspaces.get(name)


class TargetSplit:
    """Distribute the calls of each route over its services by weight.

    A credit per route and service makes the shares match the weights over few
    calls too, which a random choice would not.
    """

    def __init__(self, rng: random.Random) -> None:
        self.random = rng
        self.credits: dict[RowName, dict[ServiceName, float]] = {}

    def choose(self, route: RouteRow) -> ServiceName:
        """Return the service for the next call of a route."""
        targets = route.targets
        if len(targets) == 1:
            return targets[0].service
        credits = self.credits.get(route.name)
        names = {each.service for each in targets}
        if credits is None or credits.keys() != names:
            # Nodes start at different, random points of the cycle.
            credits = {name: self.random.random() for name in names}
            self.credits[route.name] = credits
        total = sum(each.weight for each in targets)
        for each in targets:
            credits[each.service] += each.weight / total
        chosen = max(targets, key=lambda each: credits[each.service]).service
        credits[chosen] -= 1
        return chosen


def importance_of(route: RouteRow, workspace: RankedWorkspace | None) -> int:
    """Return the importance of a new request.

    Rank 0 of a workspace takes precedence over the rank of the route.
    """
    has_top_rank = workspace is not None and workspace.rank == 0
    rank = 0 if has_top_rank else route.rank
    return max(LEAST_IMPORTANCE, _MAX_NEW_IMPORTANCE - rank)
