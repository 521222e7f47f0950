"""Handle and publish the announcements of the local upstream."""

from collections.abc import Mapping
from http import HTTPStatus

from jasmineramp import routing, routing_restrictions
from jasmineramp.clock import Clock, Millis, later, read_unix_ms
from jasmineramp.ids import ServiceName
from jasmineramp.membership_messages import UpstreamState
from jasmineramp.mesh.caller_messages import CallerResponse
from jasmineramp.mesh.calls import CallerRequest
from jasmineramp.mesh.cold_limit import ColdRule, is_fresh
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.departures import Departed
from jasmineramp.mesh.directory import MemberEntry
from jasmineramp.mesh.instance_gate import InstanceGate
from jasmineramp.mesh.node_settings import NodeSettings
from jasmineramp.mesh.peer_messages import StateChanged
from jasmineramp.mesh.peer_sessions import PeerSession
from jasmineramp.mesh.platform_binding import Platform
from jasmineramp.mesh.registration import Registration
from jasmineramp.mesh.route_table import ServiceRow
from jasmineramp.mesh.store import Store
from jasmineramp.mesh.upstream_state import Announcement, Departure
from jasmineramp.routing import RoutingState

# An announcement must be acknowledged within 1 s.
STORE_WRITE_TIMEOUT_MS = 800
BEFORE_FIRST_SEQUENCE = -1
# Peers are told of a cold time that has grown by more than this.
COLD_CHANGE_MS = 500


class LocalUpstream:
    """Track and register the local upstream."""

    def __init__(
        self,
        settings: NodeSettings,
        platform: Platform,
        store: Store,
        *,
        gate: InstanceGate,
        routes: RoutingState,
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        self.settings = settings
        self.platform = platform
        self.gate = gate
        self.record = gate.record
        self.routes = routes
        self.log = log
        self.clock = clock
        self.sessions: set[PeerSession] = set()
        self.registration = Registration(
            store, self._build_entry, log, clock, self.record.departures
        )
        self.registration.on_restored = self._restore
        gate.on_lost = self._on_lost
        self.services: Mapping[ServiceName, ServiceRow] = {}
        # Start of the instance that last announced itself to this process.
        self.announced_start = ('', 0)
        self.was_cold = False
        self.cold_reported_until = Millis(0)

    async def handle_announcement(
        self, request: CallerRequest
    ) -> CallerResponse:
        """Apply an announcement and return the response to it."""
        try:
            announcement = self.platform.read_announcement(request)
        except ValueError as error:
            self.log.write('announcement_unreadable', error=str(error))
            return CallerResponse(HTTPStatus.BAD_REQUEST, [])
        now = self.clock.now()
        if announcement is None:
            return CallerResponse(HTTPStatus.NOT_FOUND, [])
        if isinstance(announcement, Departure):
            is_leaving = True
            changed = self.record.depart(
                announcement.instance,
                announcement.born,
                now,
                unix_now=read_unix_ms(),
            )
        else:
            is_leaving = announcement.state is UpstreamState.draining
            changed = self._announce(announcement, now)
        if changed:
            self._report_change()
        elif is_leaving:
            self.registration.mark_changed()
        if is_leaving:
            # Stored before it is acknowledged, so that a restarted node does
            # not use the upstream either.
            stored = await self.registration.wait_until_stored(
                STORE_WRITE_TIMEOUT_MS
            )
            if not stored:
                return CallerResponse(HTTPStatus.SERVICE_UNAVAILABLE, [])
        return self.platform.write_acknowledgement()

    def notify_peers(self, state: UpstreamState) -> None:
        """Send the state of the upstream to all connected peers."""
        for session in self.sessions:
            session.write(self._state_frame(state))

    def greet_peer(
        self, session: PeerSession, departed: tuple[Departed, ...]
    ) -> None:
        """Learn the departures that a new peer knows, and tell it the state.

        The peer may know of a departure that the store has lost.
        """
        if self.record.departures.merge(departed, self.clock.now()):
            self.log.write('departures_learned', count=len(departed))
            if self.record.apply_departures():
                self._report_change()
            else:
                self.registration.mark_changed()
        if not self.gate.accepts_calls():
            session.write(self._state_frame(UpstreamState.draining))
        elif self.gate.cold.remaining_ms(self.clock.now()):
            session.write(self._state_frame(self.record.state))

    def reload(self, settings: NodeSettings) -> None:
        """Apply changed settings."""
        self.settings = settings
        self._apply_cold_rule()

    def apply_services(
        self, services: Mapping[ServiceName, ServiceRow]
    ) -> None:
        """Apply the rows of all services."""
        self.services = services
        self._apply_cold_rule()

    def report_coldness(self) -> None:
        """Tell gate, peers and routes when the upstream turns cold or warm."""
        now = self.clock.now()
        cold_ms = self.gate.cold.remaining_ms(now)
        is_cold = cold_ms > 0
        is_longer = now + cold_ms > self.cold_reported_until + COLD_CHANGE_MS
        if is_cold is self.was_cold and not (is_cold and is_longer):
            return
        self.was_cold = is_cold
        self.cold_reported_until = later(now, cold_ms)
        per_s = self.gate.cold.rule.per_s
        self.log.write(
            'instance_cold' if is_cold else 'instance_warm',
            instance=self._instance_name(),
            cold_ms=round(cold_ms),
            cold_per_s=per_s,
            is_announced=not self.gate.cold.awaits_announcement,
        )
        self.gate.hold_back()
        if self.gate.accepts_calls():
            self.notify_peers(self.record.state)
        routing_restrictions.record_cold(
            self.routes,
            self.settings.node,
            per_s if is_cold else 0,
            cold_ms,
            now,
        )

    def _apply_cold_rule(self) -> None:
        current = self.record.current
        service = self.settings.service if current is None else current.service
        row = self.services.get(service, ServiceRow(service))
        bounds = self.settings.bounds
        self.gate.cold.set_rule(
            ColdRule(
                row.cold_per_s,
                row.cold_start_ms,
                bounds.cold_over,
                bounds.cold_slack,
                service,
            )
        )
        self.report_coldness()

    def _apply_coldness(self, announcement: Announcement, now: Millis) -> None:
        """Apply the cold time of an announcement that is in force."""
        start = (announcement.instance, announcement.born)
        is_first = start != self.announced_start
        self.announced_start = start
        cold = self.gate.cold
        if (
            is_first
            and not announcement.cold_ms
            and is_fresh(announcement.born, read_unix_ms(), cold.rule)
        ):
            # It may not know yet that it is cold.
            cold.await_announcement(now)
        else:
            cold.announce(announcement.cold_ms, now)
        self._apply_cold_rule()

    def has_unsent_replies(self) -> bool:
        """Return whether a reply to a peer is still in a write buffer."""
        return any(session.has_unsent_bytes() for session in self.sessions)

    def _state_frame(self, state: UpstreamState) -> StateChanged:
        cold_ms = self.gate.cold.remaining_ms(self.clock.now())
        return StateChanged(
            self.settings.node,
            self._instance_name(),
            state,
            self.gate.cold.rule.per_s if cold_ms else 0,
            cold_ms,
        )

    def _on_lost(self) -> None:
        self.log.write('upstream_lost', instance=self._instance_name())
        self._publish_state()

    def _instance_name(self) -> str:
        current = self.record.current
        return '' if current is None else current.instance

    def _report_change(self) -> None:
        self.log.write(
            'upstream_changed',
            instance=self._instance_name(),
            state=self.record.state.name,
        )
        self._publish_state()

    def _publish_state(self) -> None:
        """Publish a change of the upstream to the gate, peers and store."""
        current = self.record.current
        if current is None:
            return
        if self.record.is_ready():
            self.gate.resize(current.slots)
        else:
            self.gate.drain()
        self.notify_peers(self.record.state)
        routing.put_instance(
            self.routes,
            self._build_entry(0).to_instance(),
            self.clock.now(),
        )
        self.registration.mark_changed()

    def _announce(self, announcement: Announcement, now: Millis) -> bool:
        host, port = self.settings.upstream
        if announcement.address != f'{host}:{port}':
            self.log.write(
                'announcement_ignored',
                instance=announcement.instance,
                address=announcement.address,
            )
            return False
        changed = self.record.announce(announcement, now)
        if self.record.current is announcement:
            self._apply_coldness(announcement, now)
        return changed

    def _restore(self, entry: MemberEntry | None) -> None:
        registered: Announcement | None = None
        if entry is not None and entry.instance:
            host, port = self.settings.upstream
            registered = Announcement(
                entry.instance,
                entry.born,
                f'{host}:{port}',
                entry.service,
                entry.domain,
                entry.slots,
                entry.state,
                BEFORE_FIRST_SEQUENCE,
                0,
            )
        now = self.clock.now()
        self.record.restore(registered, now)
        current = self.record.current
        if current is not None and current is not registered:
            self._apply_coldness(current, now)
        self._apply_cold_rule()
        self.log.write(
            'upstream_restored',
            instance=self._instance_name(),
            state=self.record.state.name,
        )
        self._publish_state()

    def _build_entry(self, version: int) -> MemberEntry:
        current = self.record.current
        host, port = self.settings.inbound
        entry = MemberEntry(
            self.settings.node,
            version,
            self.settings.domain,
            host,
            port,
        )
        if current is None:
            return entry
        return MemberEntry(
            entry.node,
            version,
            entry.domain,
            host,
            port,
            current.service,
            current.instance,
            current.born,
            current.slots,
            self.record.state,
        )
