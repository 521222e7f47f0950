"""Refuse calls at the entry node that every instance would shed."""

import msgspec

from jasmineramp.clock import Millis, later
from jasmineramp.ids import Importance, NodeId, ServiceName
from jasmineramp.table import LEAST_IMPORTANCE

SHED_LEVEL_LIFETIME_MS = 1000
# One of this many calls below the shed level passes as a probe.
CALLS_PER_PROBE = 50


class _InstanceLevel(msgspec.Struct, frozen=True, gc=False):
    """Hold the shed level of one instance until it expires."""

    level: Importance
    valid_until: Millis


class ShedLevels:
    """Refuse calls at the entry node by the shed levels of the instances."""

    def __init__(self) -> None:
        self.levels_by_service: dict[
            ServiceName, dict[NodeId, _InstanceLevel]
        ] = {}
        self.calls_since_probe: dict[ServiceName, int] = {}

    def observe(
        self,
        service: ServiceName,
        node: NodeId,
        level: Importance,
        now: Millis,
    ) -> None:
        """Record the shed level that a response of an instance carries."""
        levels = self.levels_by_service.setdefault(service, {})
        levels[node] = _InstanceLevel(level, later(now, SHED_LEVEL_LIFETIME_MS))

    def level(self, service: ServiceName, now: Millis) -> Importance:
        """Return the lowest valid level among the instances of a service.

        A call may run on the instance with the lowest level.
        """
        levels = self.levels_by_service.get(service)
        if not levels:
            return LEAST_IMPORTANCE
        return min(
            (
                entry.level
                for entry in levels.values()
                if entry.valid_until > now
            ),
            default=LEAST_IMPORTANCE,
        )

    def refuses(
        self,
        service: ServiceName,
        importance: Importance,
        now: Millis,
    ) -> bool:
        """Return whether to refuse a call; 1 in 50 passes as a probe."""
        if importance >= self.level(service, now):
            return False
        count = self.calls_since_probe.get(service, 0) + 1
        self.calls_since_probe[service] = count % CALLS_PER_PROBE
        return count < CALLS_PER_PROBE

    def expire(self, now: Millis) -> None:
        """Remove expired levels; call every tick."""
        for service, levels in list(self.levels_by_service.items()):
            for node, entry in list(levels.items()):
                if entry.valid_until <= now:
                    del levels[node]
            if not levels:
                del self.levels_by_service[service]
