"""Compose the parts of a node and run them on one event loop."""

import asyncio
import importlib
import random
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import msgspec

from jasmineramp import routing
from jasmineramp.clock import MILLIS_PER_SECOND, Clock, Millis
from jasmineramp.membership_messages import UpstreamState
from jasmineramp.mesh.caller_http import CallerResponse, CallerServer
from jasmineramp.mesh.calls import (
    CallEnd,
    CallerRequest,
    unknown,
)
from jasmineramp.mesh.decision_log import DecisionLog
from jasmineramp.mesh.directory_watch import DirectoryWatch
from jasmineramp.mesh.entry import Entry
from jasmineramp.mesh.fleet_view import FleetView
from jasmineramp.mesh.freshness import Freshness
from jasmineramp.mesh.instance_gate import InstanceGate
from jasmineramp.mesh.node_metrics import (
    Gauges,
    NodeMetrics,
)
from jasmineramp.mesh.node_settings import NodeSettings
from jasmineramp.mesh.own_upstream import OwnUpstream
from jasmineramp.mesh.peer_links import PeerSession
from jasmineramp.mesh.peer_messages import (
    AskNews,
    Ended,
    News,
    Run,
    TakeQuota,
)
from jasmineramp.mesh.platform_binding import Platform
from jasmineramp.mesh.quota_taker import FleetQuotas
from jasmineramp.mesh.relay import Relay
from jasmineramp.mesh.retry_budget import RetryBudget
from jasmineramp.mesh.route_table import (
    CallerLimits,
    RouteTable,
    TargetSplit,
)
from jasmineramp.mesh.store import Store
from jasmineramp.mesh.table_watch import TableWatch
from jasmineramp.mesh.upstream_http import UpstreamPool
from jasmineramp.mesh.upstream_state import UpstreamRecord
from jasmineramp.refusals import RefusalCode

TICK_S = 0.1
FLUSH_TICKS = 2
SLOW_TICKS = 5
STEP_S = 0.05
# Callers notice within two failed readiness checks, one a second.
CALLERS_LEAVE_MS = 2_400
# The upstream of a node that stops serves on for a while: nodes that are
# stopped in turn would else take several upstreams of a service out at once.
UPSTREAM_SERVES_MS = 1_600
LAST_ADMISSION_MS = 3_200
# The rest of the grace period is for the end of the process.
USABLE_GRACE = 0.86
METRICS_PATH = b'/metrics'
METRICS_TYPE = b'text/plain; version=0.0.4; charset=utf-8'


class Node:
    """Own the servers, links and tasks of one node."""

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
        self.budget = RetryBudget(bounds.retry_ratio, bounds.retry_slack)
        self.record = UpstreamRecord()
        self.metrics = NodeMetrics()
        self.lag_ms = float(0)
        self.gate = InstanceGate(
            self.record,
            UpstreamPool(*settings.upstream, platform.read_response),
            platform.write_call,
            metrics=self.metrics,
            log=log,
            clock=clock,
        )
        self.own = OwnUpstream(
            settings,
            platform,
            store,
            gate=self.gate,
            routes=self.routes,
            log=log,
            clock=clock,
        )
        self.sessions = self.own.sessions
        self.registration = self.own.registration
        self.quotas = FleetQuotas(
            settings.node, self.registration.is_valid, clock
        )
        self.entry = Entry(
            settings.node,
            settings.service,
            dialect=platform,
            gate=self.gate,
            quotas=self.quotas,
            routes=self.routes,
            budget=self.budget,
            split=TargetSplit(rng),
            freshness=self.freshness,
            metrics=self.metrics,
            log=log,
            clock=clock,
        )
        self.fleet = FleetView(
            settings.node, self.entry, self.quotas, log, clock
        )
        self.watch = DirectoryWatch(
            store, self.fleet.directory, self.fleet.adopt, log, clock
        )
        self.table_watch = TableWatch(
            store,
            platform.table_key,
            platform.decode_table,
            on_table=self._on_table,
            freshness=self.freshness,
            log=log,
            clock=clock,
        )
        self.relay = Relay(
            settings.node,
            settings.domain,
            self.fleet.directory,
            table_watch=self.table_watch,
            directory_watch=self.watch,
            links=self.entry.links,
            clock=clock,
        )
        self.table_watch.ask_leader = self.relay.ask
        self.watch.is_fed = self.relay.is_fed
        self.callers = CallerServer(self.entry.handle, self._limits)
        self.announcements = CallerServer(
            self.own.take_announcement, self._limits
        )
        self.checks = CallerServer(self._check_readiness, self._limits)
        self.scrapes = CallerServer(self._show_metrics, self._limits)
        self.stopping_since: Millis | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self.ticks = 0

    async def start(self) -> None:
        """Listen at all addresses and start the background work."""
        loop = asyncio.get_running_loop()
        await self.checks.listen(*self.settings.ready)
        await self.announcements.listen(*self.settings.control)
        await self.scrapes.listen(*self.settings.metrics)
        await self.callers.listen(*self.settings.outbound)
        self.peers = await loop.create_server(
            lambda: PeerSession(self, self.sessions),
            *self.settings.inbound,
            reuse_address=True,
        )
        for work in (
            self.table_watch.run,
            self.registration.run,
            self.watch.run,
            self._tick_forever,
        ):
            self.tasks.append(loop.create_task(self._guard(work)))
        self.log.write(
            'node_started',
            service=self.settings.service,
            domain=self.settings.domain,
        )

    def reload(self, settings: NodeSettings) -> None:
        """Adopt the bounds and the service of new settings.

        Addresses are those of the process and stay.
        """
        bounds = settings.bounds
        self.settings = msgspec.structs.replace(
            self.settings, bounds=bounds, service=settings.service
        )
        self.freshness.apply_ms = bounds.apply_ms
        self.freshness.revoke_ms = bounds.revoke_ms
        self.entry.service = settings.service
        self.log.write('settings_reloaded', service=settings.service)

    async def stop(self) -> None:
        """Finish what has been started, then close everything."""
        if self.stopping_since is not None:
            return
        self.stopping_since = self.clock.now()
        self.log.write('node_stopping', open=self._open_calls())
        self.callers.drain()
        await self._wait_for_calls(self.stopping_since)
        self.log.write('node_stopped', open=self._open_calls())
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
        self.peers.close()
        self.gate.pool.close()
        self.log.flush()

    def run_for_peer(self, session: PeerSession, frame: Run) -> None:
        """Run a call of a peer at the upstream of this VM."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._run_for_peer(session, frame))
        session.streams[frame.stream] = task

    def cancel_for_peer(self, session: PeerSession, stream: int) -> None:
        """Give up a call of a peer."""
        task = session.streams.pop(stream, None)
        if isinstance(task, asyncio.Task):
            task.cancel()

    def take_for_peer(self, frame: TakeQuota) -> float | None:
        """Return 0, a wait in ms, or None if this node is no owner."""
        table = self.entry.table
        workspace = table and table.workspaces.get(frame.workspace)
        if not workspace:
            return None
        return self.quotas.take_as_owner(workspace.row)

    def tell_peer(self, frame: AskNews) -> News:
        """Return what is newer than what a peer knows."""
        return self.relay.answer(frame)

    async def _run_for_peer(self, session: PeerSession, frame: Run) -> None:
        end: CallEnd
        try:
            end = await self.gate.run(frame.call)
        except Exception as error:
            self.log.write('fault', work='peer call', error=repr(error))
            end = unknown(RefusalCode.internal_error, 'fault of the node')
        session.streams.pop(frame.stream, None)
        session.write(Ended(frame.stream, end, self.gate.load()))

    async def _wait_for_calls(self, since: Millis) -> None:
        latest = self.settings.bounds.grace_ms * USABLE_GRACE
        while True:
            elapsed = self.clock.now() - since
            if elapsed > UPSTREAM_SERVES_MS and not self.gate.is_stopping:
                await self._withdraw_upstream()
            if elapsed > LAST_ADMISSION_MS:
                self.entry.is_refusing = True
            if elapsed > CALLERS_LEAVE_MS:
                self.callers.close_idle()
            is_idle = not self._open_calls() and not self.callers.connections
            if elapsed > latest or (is_idle and elapsed > CALLERS_LEAVE_MS):
                return
            await asyncio.sleep(STEP_S)

    async def _withdraw_upstream(self) -> None:
        self.gate.is_stopping = True
        self.own.tell_peers(UpstreamState.draining)
        await self.registration.end()

    def _open_calls(self) -> int:
        return self.callers.open_requests.count + self.gate.running()

    def _servers(self) -> tuple[CallerServer, ...]:
        return self.callers, self.announcements, self.checks, self.scrapes

    def _limits(self) -> CallerLimits:
        table = self.entry.table
        return CallerLimits() if table is None else table.limits

    def _on_table(self, table: RouteTable) -> None:
        self.entry.table = table
        self.entry.responder.version = table.version

    async def _check_readiness(self, request: CallerRequest) -> CallerResponse:
        if not self.platform.is_readiness_check(request):
            return CallerResponse(HTTPStatus.NOT_FOUND, [])
        is_ready = (
            self.entry.table is not None
            and self.watch.listed > float('-inf')
            and self.stopping_since is None
        )
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        return CallerResponse(status, [])

    async def _show_metrics(self, request: CallerRequest) -> CallerResponse:
        if request.target != METRICS_PATH:
            return CallerResponse(HTTPStatus.NOT_FOUND, [])
        state = self.gate.admission
        gauges = Gauges(
            len(state.running),
            len(state.queue.entries),
            state.limiter.limit,
            len(self.fleet.directory.members),
            self.freshness.age(self.clock.now()),
            self.lag_ms,
            self.budget.credit,
            self.store.counts,
        )
        text = importlib.import_module('jasmineramp.mesh.metrics_text')
        content = text.render_metrics(self.metrics, gauges)
        return CallerResponse(
            HTTPStatus.OK, [(b'Content-Type', METRICS_TYPE)], content
        )

    async def _guard(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run background work again when a fault ends it."""
        while True:
            try:
                await work()
                return
            except Exception as error:
                self.log.write('fault', work=str(work), error=repr(error))
                await asyncio.sleep(1)

    async def _tick_forever(self) -> None:
        while True:
            asleep = self.clock.now()
            await asyncio.sleep(TICK_S)
            slept_ms = self.clock.now() - asleep
            self.lag_ms = slept_ms - TICK_S * MILLIS_PER_SECOND
            self._tick()

    def _tick(self) -> None:
        self.gate.expire()
        self.fleet.check_links()
        self.ticks += 1
        if self.ticks % FLUSH_TICKS == 0:
            self.log.flush()
        if self.ticks % SLOW_TICKS:
            return
        self.gate.pool.expire()
        self.fleet.expire()
        loop_time = asyncio.get_running_loop().time()
        for server in self._servers():
            server.expire(loop_time)
