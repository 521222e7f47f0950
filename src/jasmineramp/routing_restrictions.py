"""Restrict the calls to instances that are evacuated or cold."""

from jasmineramp.clock import MILLIS_PER_SECOND, Millis
from jasmineramp.ids import DomainId, NodeId, ServiceName
from jasmineramp.routing import RoutingState
from jasmineramp.routing_targets import (
    MAX_COLD_INTERVAL_MS,
    SLOW_START_MS,
    Service,
)


def set_evacuated(
    state: RoutingState, domains: frozenset[DomainId], now: Millis
) -> None:
    """Exclude the instances of these failure domains and no others.

    Those that come back get calls gradually.
    """
    state.evacuated = domains
    for service in state.services.values():
        for target in service.targets.values():
            was_evacuated = target.is_evacuated
            target.is_evacuated = target.instance.domain in domains
            if was_evacuated and not target.is_evacuated:
                target.cold_until = now + SLOW_START_MS
        service.rebuild_pools_at = 0


def nodes_in_domain(
    state: RoutingState, service_name: ServiceName, domain: DomainId
) -> frozenset[NodeId]:
    """Return the nodes of a failure domain with an instance of a service."""
    service = state.services.get(service_name, Service())
    return frozenset(
        node
        for node, target in service.targets.items()
        if target.instance.domain == domain
    )


def record_cold(
    state: RoutingState,
    node: NodeId,
    per_s: float,
    cold_ms: float,
    now: Millis,
) -> None:
    """Limit the calls to an instance that is cold; end the limit if not."""
    target = state.targets.get(node)
    if target is None or not (per_s or now < target.cold_limit_until):
        return
    first_interval_ms = float(0)
    if per_s:
        # The nodes of its domain, which call it most, learn it at once and
        # must not call it at once.
        domain = target.instance.domain
        nodes = sum(
            each.instance.domain == domain for each in state.targets.values()
        )
        mean_ms = nodes * MILLIS_PER_SECOND / per_s
        first_interval_ms = min(
            MAX_COLD_INTERVAL_MS, mean_ms * state.random.random() * 2
        )
    target.limit_cold(per_s, cold_ms, first_interval_ms, now)
