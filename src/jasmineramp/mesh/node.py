"""Assemble the components of a node and run them on one event loop."""

import asyncio
import functools
import importlib
import random
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import msgspec

from jasmineramp import routing
from jasmineramp.clock import MILLIS_PER_SECOND, Clock, Millis
from jasmineramp.membership_messages import UpstreamState
from jasmineramp.mesh.caller_admission import CallerAdmission
from jasmineramp.mesh.caller_causes import CauseCounts
from jasmineramp.mesh.caller_http import CallerServer
from jasmineramp.mesh.caller_messages import CallerResponse
from jasmineramp.mesh.calls import CallerRequest
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.directory_watch import DirectoryWatch
from jasmineramp.mesh.downstream import DownstreamPressure
from jasmineramp.mesh.entry import Entry
from jasmineramp.mesh.evacuation_control import EvacuationControl
from jasmineramp.mesh.fleet_view import FleetView
from jasmineramp.mesh.freshness import Freshness
from jasmineramp.mesh.graceful_stop import GracefulStop
from jasmineramp.mesh.instance_gate import InstanceGate
from jasmineramp.mesh.new_sessions import NewSessions
from jasmineramp.mesh.node_metrics import (
    Gauges,
    NodeMetrics,
)
from jasmineramp.mesh.node_settings import NodeSettings
from jasmineramp.mesh.own_upstream import LocalUpstream
from jasmineramp.mesh.peer_messages import BucketOwner
from jasmineramp.mesh.peer_service import PeerService
from jasmineramp.mesh.peer_sessions import PeerSession
from jasmineramp.mesh.platform_binding import Platform
from jasmineramp.mesh.quota_taker import FleetQuotaClient
from jasmineramp.mesh.receive_limits import (
    INTERNAL_BUDGET_FRACTION,
    ReceiveBudget,
    connection_limits_for,
    find_max_descriptors,
    limits_for,
)
from jasmineramp.mesh.relay import Relay
from jasmineramp.mesh.retry_budget import RepeatBudget, RetryBudget
from jasmineramp.mesh.route_table import (
    CallerLimits,
    RouteTable,
    TargetSplit,
)
from jasmineramp.mesh.store import Store
from jasmineramp.mesh.table_watch import TableWatch
from jasmineramp.mesh.upstream_pool import UpstreamPool
from jasmineramp.mesh.upstream_state import UpstreamRecord

TICK_S = 0.1
TICKS_PER_LOG_FLUSH = 2
TICKS_PER_EXPIRY = 5
METRICS_PATH = b'/metrics'
METRICS_CONTENT_TYPE = b'text/plain; version=0.0.4; charset=utf-8'


class Node:
    """Own the servers, peer links and background tasks of one node."""

    def __init__(
        self,
        settings: NodeSettings,
        store: Store,
        platform: Platform,
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        self.settings = settings
        self.store = store
        self.platform = platform
        self.log = log
        self.clock = clock
        bounds = settings.bounds
        rng = random.Random(f'{settings.node}/{time.time_ns()}')
        self.freshness = Freshness(bounds.apply_ms, bounds.revoke_ms)
        self.routes = routing.RoutingState(settings.domain, rng, clock.now())
        self.retry_budget = RetryBudget(bounds.retry_ratio, bounds.retry_slack)
        self.record = UpstreamRecord()
        self.metrics = NodeMetrics()
        self.loop_lag_ms = float(0)
        self.receive_limits = limits_for(settings.memory_bytes)
        self.receive_budget = ReceiveBudget(self.receive_limits.total_bytes)
        self.caller_limits = self._bound_by_memory(CallerLimits())
        self.gate = InstanceGate(
            self.record,
            UpstreamPool(
                *settings.upstream,
                platform.read_response,
                self.receive_limits,
                self.receive_budget,
            ),
            platform.write_call,
            DownstreamPressure(rng),
            RepeatBudget(bounds.retry_ratio, bounds.retry_slack),
            metrics=self.metrics,
            log=log,
            clock=clock,
        )
        self.local_upstream = LocalUpstream(
            settings,
            platform,
            store,
            gate=self.gate,
            routes=self.routes,
            log=log,
            clock=clock,
        )
        self.sessions = self.local_upstream.sessions
        self.registration = self.local_upstream.registration
        self.quotas = FleetQuotaClient(
            settings.node,
            self.registration.is_known,
            clock,
            name_as_owner=self.registration.name_as_owner,
            learn_entry=self._learn_entry,
        )
        self.admission = CallerAdmission(
            settings.service,
            self.gate.running_calls,
            quotas=self.quotas,
            split=TargetSplit(rng),
            freshness=self.freshness,
        )
        self.entry = Entry(
            settings.node,
            self.admission,
            dialect=platform,
            gate=self.gate,
            routes=self.routes,
            retry_budget=self.retry_budget,
            metrics=self.metrics,
            log=log,
            clock=clock,
        )
        self.evacuations = EvacuationControl(
            settings.domain,
            platform,
            gate=self.gate,
            routes=self.routes,
            log=log,
            clock=clock,
        )
        self.evacuations.set_bound(bounds.evac_ms)
        self.fleet = FleetView(
            settings.node,
            self.entry,
            self.quotas,
            log,
            clock,
            evacuations=self.evacuations,
            budget=self.receive_budget,
        )
        self.directory_watch = DirectoryWatch(
            store, self.fleet.directory, self.fleet.apply_entries, log, clock
        )
        self.table_watch = TableWatch(
            store,
            platform.table_key,
            platform.decode_table,
            on_table=self._apply_table,
            freshness=self.freshness,
            log=log,
            clock=clock,
            evacuations=self.evacuations,
        )
        self.relay = Relay(
            settings.node,
            settings.domain,
            self.fleet.directory,
            table_watch=self.table_watch,
            directory_watch=self.directory_watch,
            evacuations=self.evacuations,
            links=self.entry.links,
            clock=clock,
        )
        self.peer_service = PeerService(
            self.gate,
            self.local_upstream,
            self.admission,
            quotas=self.quotas,
            relay=self.relay,
            evacuations=self.evacuations,
            budget=self.receive_budget,
            log=log,
        )
        self.table_watch.ask_leader = self.relay.ask
        self.table_watch.is_candidate = self.relay.is_candidate
        self.directory_watch.is_following = self.relay.is_following
        self.directory_watch.is_candidate = self.relay.is_candidate
        self._make_caller_servers()
        self.stopping_since: Millis | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self.ticks = 0

    async def start(self) -> None:
        """Listen on all addresses and start the background tasks."""
        loop = asyncio.get_running_loop()
        await self.readiness_server.listen(*self.settings.ready)
        await self.announcement_server.listen(*self.settings.control)
        await self.metrics_server.listen(*self.settings.metrics)
        await self.caller_server.listen(*self.settings.outbound)
        self.peer_server = await loop.create_server(
            lambda: PeerSession(
                self.peer_service,
                self.sessions,
                self.receive_budget,
                self.new_sessions,
            ),
            *self.settings.inbound,
            reuse_address=True,
        )
        for work in (
            self.table_watch.run,
            self.registration.run,
            self.directory_watch.run,
            self._run_ticks,
        ):
            self.tasks.append(loop.create_task(self._run_restarting(work)))
        self.log.write(
            'node_started',
            service=self.settings.service,
            domain=self.settings.domain,
        )

    def reload(self, settings: NodeSettings) -> None:
        """Apply the apply, revoke, evac and grace bounds and the service.

        Addresses and the retry budget are fixed for the lifetime of the
        process.
        """
        bounds = settings.bounds
        self.settings = msgspec.structs.replace(
            self.settings, bounds=bounds, service=settings.service
        )
        self.freshness.apply_ms = bounds.apply_ms
        self.freshness.revoke_ms = bounds.revoke_ms
        self.evacuations.set_bound(bounds.evac_ms)
        self.local_upstream.reload(self.settings)
        self.admission.service = settings.service
        self.log.write('settings_reloaded', service=settings.service)

    async def stop(self) -> None:
        """Wait for open calls within the grace period, then close."""
        if self.stopping_since is not None:
            return
        self.stopping_since = self.clock.now()
        stop = GracefulStop(
            self.settings.bounds.grace_ms,
            self.caller_server,
            self.gate,
            admission=self.admission,
            withdraw_upstream=self._withdraw_upstream,
            has_unsent_replies=self.local_upstream.has_unsent_replies,
            clock=self.clock,
        )
        self.log.write('node_stopping', open=stop.open_calls())
        await stop.run(self.stopping_since)
        self.log.write('node_stopped', open=stop.open_calls())
        self.close()

    def close(self) -> None:
        """Close servers, links and tasks."""
        for server in self._servers():
            server.stop()
        for task in self.tasks:
            task.cancel()
        self.fleet.close()
        for session in list(self.sessions):
            session.transport.close()
        self.peer_server.close()
        self.gate.pool.close()
        self.log.flush()

    def _learn_entry(self, owner: BucketOwner) -> None:
        self.fleet.learn_entry(owner)

    async def _withdraw_upstream(self) -> None:
        self.gate.is_node_stopping = True
        self.local_upstream.notify_peers(UpstreamState.draining)
        await self.registration.unregister()

    def _make_caller_servers(self) -> None:
        connection_limits = connection_limits_for(
            find_max_descriptors(self.settings.max_descriptors)
        )
        self.new_sessions = NewSessions(connection_limits.new_sessions)
        self.new_sessions.counts = self.metrics.cut_connections
        self.gate.pool.closing.counts = self.metrics.cut_connections
        causes = CauseCounts(self.metrics.cut_callers, self.log.write)
        self.caller_server = CallerServer(
            self.entry.handle,
            self._caller_limits,
            self.receive_budget,
            is_idempotent=self.entry.is_idempotent,
            max_connections=connection_limits.callers,
            causes=causes,
        )
        self.caller_server.pipelined = self.metrics.pipelined
        # What callers do must not keep the platform from these.
        internal_budget = ReceiveBudget(
            int(self.receive_limits.total_bytes * INTERNAL_BUDGET_FRACTION)
        )
        make_internal = functools.partial(
            CallerServer,
            limits=self._caller_limits,
            budget=internal_budget,
            max_connections=connection_limits.internal,
            causes=causes,
        )
        self.announcement_server = make_internal(
            self.local_upstream.handle_announcement
        )
        self.readiness_server = make_internal(self._check_readiness)
        self.metrics_server = make_internal(self._serve_metrics)

    def _servers(self) -> tuple[CallerServer, ...]:
        return (
            self.caller_server,
            self.announcement_server,
            self.readiness_server,
            self.metrics_server,
        )

    def _caller_limits(self) -> CallerLimits:
        return self.caller_limits

    def _apply_table(self, table: RouteTable) -> None:
        self.admission.table = table
        self.entry.responder.version = table.version
        self.caller_limits = self._bound_by_memory(table.limits)
        self.local_upstream.apply_services(table.services)

    def _bound_by_memory(self, limits: CallerLimits) -> CallerLimits:
        body_bytes = min(limits.max_body_bytes, self.receive_limits.body_bytes)
        return msgspec.structs.replace(limits, max_body_bytes=body_bytes)

    async def _check_readiness(self, request: CallerRequest) -> CallerResponse:
        if not self.platform.is_readiness_check(request):
            return CallerResponse(HTTPStatus.NOT_FOUND, [])
        is_ready = (
            self.admission.table is not None
            and self.directory_watch.is_known()
            and self.stopping_since is None
        )
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        return CallerResponse(status, [])

    async def _serve_metrics(self, request: CallerRequest) -> CallerResponse:
        if request.target != METRICS_PATH:
            return CallerResponse(HTTPStatus.NOT_FOUND, [])
        state = self.gate.admission
        gauges = Gauges(
            len(state.running),
            len(state.queue.entries),
            state.limiter.limit,
            len(self.fleet.directory.members),
            self.freshness.age(self.clock.now()),
            self.loop_lag_ms,
            self.retry_budget.credit,
            self.gate.pressure.admitted_shares(),
            self.store.counts,
            self.evacuations.evacuated(),
            self.routes.estimate_metrics.totals,
            self.routes.estimate_metrics.left_domain,
            self.routes.fast_choice_counts,
            self.gate.cold.remaining_ms(self.clock.now()),
            len(self.caller_server.connections),
            self.receive_budget.used_bytes,
            self.receive_budget.total_bytes,
        )
        renderer = importlib.import_module('jasmineramp.mesh.metrics_text')
        content = renderer.render_metrics(self.metrics, gauges)
        return CallerResponse(
            HTTPStatus.OK, [(b'Content-Type', METRICS_CONTENT_TYPE)], content
        )

    async def _run_restarting(
        self, work: Callable[[], Awaitable[None]]
    ) -> None:
        """Run a background task, restarting it 1 s after an exception."""
        while True:
            try:
                await work()
                return
            except Exception as error:
                self.log.write('fault', work=str(work), error=repr(error))
                await asyncio.sleep(1)

    async def _run_ticks(self) -> None:
        while True:
            sleep_started = self.clock.now()
            await asyncio.sleep(TICK_S)
            elapsed_ms = self.clock.now() - sleep_started
            self.loop_lag_ms = elapsed_ms - TICK_S * MILLIS_PER_SECOND
            self._tick()

    def _tick(self) -> None:
        self.gate.expire()
        self.local_upstream.report_coldness()
        self.gate.pressure.adapt()
        self.fleet.check_links()
        for session in self.sessions:
            session.settle()
        self.ticks += 1
        if self.ticks % TICKS_PER_LOG_FLUSH == 0:
            self.log.flush()
        if self.ticks % TICKS_PER_EXPIRY:
            return
        self.gate.pool.expire()
        self.new_sessions.expire()
        self.fleet.expire()
        loop_time = asyncio.get_running_loop().time()
        for server in self._servers():
            server.expire(loop_time)
