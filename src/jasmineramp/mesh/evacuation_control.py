"""Apply the evacuations of failure domains to the gate and the routes."""

from jasmineramp import routing_restrictions
from jasmineramp.clock import Clock
from jasmineramp.ids import DomainId, Revision
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.evacuations import (
    DomainState,
    Evacuations,
    EvacuationView,
)
from jasmineramp.mesh.instance_gate import InstanceGate
from jasmineramp.mesh.platform_binding import Platform
from jasmineramp.mesh.store import StoreReply
from jasmineramp.mesh.store_revisions import era_of, number_of
from jasmineramp.routing import RoutingState


class EvacuationControl:
    """Hold the evacuations that a node knows and what follows from them."""

    def __init__(
        self,
        domain: DomainId,
        platform: Platform,
        *,
        gate: InstanceGate,
        routes: RoutingState,
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        self.domain = domain
        self.platform = platform
        self.prefix = platform.operator_prefix
        self.gate = gate
        self.routes = routes
        self.log = log
        self.clock = clock
        self.bound_ms = float(0)
        self.evacuations = Evacuations()

    def set_bound(self, bound_ms: float) -> None:
        """Set the longest time until an evacuation is in force; 0 for none."""
        self.bound_ms = bound_ms
        self._apply()

    def is_enabled(self) -> bool:
        """Return whether the deployment uses evacuations."""
        return self.bound_ms > 0

    def known(self) -> EvacuationView | None:
        """Return what other nodes may learn, None if nothing is known."""
        return self.evacuations.view if self.is_enabled() else None

    def evacuated(self) -> frozenset[DomainId]:
        """Return the evacuated domains."""
        return self.routes.evacuated

    def apply_read(self, reply: StoreReply) -> None:
        """Apply a linearizable read of all keys of the operators."""
        keys = {item.key: item.revision for item in reply.items}
        domains = [self.platform.read_evacuated_domain(key) for key in keys]
        self.evacuations.record_read(
            reply.revision, keys, [each for each in domains if each]
        )
        self._apply()

    def learn(self, view: EvacuationView | None) -> bool:
        """Learn what another node knows; return whether it is enough."""
        if not self.is_enabled():
            return True
        if view is None:
            return False
        self.evacuations.merge(view)
        self._apply()
        return True

    def record_write(self, era: int) -> None:
        """Record that the operators have written in an era of the store."""
        self.evacuations.record_write(era)
        self._apply()

    def _apply(self) -> None:
        state = DomainState.open
        evacuated: frozenset[DomainId] = frozenset()
        if self.is_enabled():
            state = self.evacuations.state_of(self.domain)
            evacuated = self.evacuations.evacuated()
        self.gate.set_domain_state(state)
        if evacuated != self.routes.evacuated:
            routing_restrictions.set_evacuated(
                self.routes, evacuated, self.clock.now()
            )
            self._log_change(evacuated)

    def _log_change(self, evacuated: frozenset[DomainId]) -> None:
        view = self.evacuations.view
        if view is None:
            return
        self.log.write(
            'evacuations_changed',
            domains=sorted(evacuated),
            held=sorted(view.held),
            revision=number_of(Revision(view.revision)),
            era=era_of(Revision(view.revision)),
        )
