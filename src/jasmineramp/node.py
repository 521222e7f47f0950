"""Assemble a node and manage the resources that must be closed."""

import contextlib
import errno
import random
import secrets
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pykka
from waitress.server import create_server

from jasmineramp import membership, propagation
from jasmineramp.actors import Delivery, Dispatcher, NodeActor, Ticker
from jasmineramp.call_messages import (
    StopRequested,
    TableLoaded,
    UpstreamAnnounced,
)
from jasmineramp.call_runner import CallRunner
from jasmineramp.claim_settings import ClaimSettings
from jasmineramp.clock import MILLIS_PER_SECOND, Clock, Millis, MonotonicClock
from jasmineramp.configuration_state import ConfigurationState
from jasmineramp.effects import CountRefusal, EventKind, RecordEvent
from jasmineramp.events import MessageReceived
from jasmineramp.exceptions import (
    AddressInUseError,
    MessageError,
    SettingsError,
)
from jasmineramp.exchange import ExchangeState
from jasmineramp.gateway import CallerChannel, Gateway, has_open_requests
from jasmineramp.idempotency import ClaimState
from jasmineramp.ids import CallId, NodeId, Revision
from jasmineramp.logs import get_logger, is_debug
from jasmineramp.membership_messages import NodeEntry, Upstream
from jasmineramp.membership_state import MembershipState
from jasmineramp.messages import Message
from jasmineramp.metrics import CallMetrics, NullSink, Sink, open_sink
from jasmineramp.operator_http import OperatorApplication
from jasmineramp.operator_view import NodeRecords, NodeView
from jasmineramp.peers import HopAnswer, HopRequest, PeerNetwork
from jasmineramp.rates import RateState
from jasmineramp.routing import RoutingState
from jasmineramp.settings import Settings, split_address
from jasmineramp.state import NodeState
from jasmineramp.store_budget import StoreBudget
from jasmineramp.store_http import BudgetedStore, HttpStore
from jasmineramp.store_messages import StoreAnswered, StoreRequest
from jasmineramp.store_worker import StoreWorker
from jasmineramp.upstreams import UpstreamClient

OPERATOR_THREADS = 2
STOP_POLL_SECONDS = 0.05
CALL_EVENTS = frozenset(
    (
        EventKind.call_finished,
        EventKind.call_refused,
        EventKind.retry_decided,
    )
)
# A caller on a kept-alive connection learns of the stop with its next
# response; if it then connects again, it is refused.
LINGER_MS = 1000
# Loans end after 5 s; then the rate slot is released.
HANDOVER_TIMEOUT_MS = 8000
MAX_CONNECTIONS = 2000
LISTEN_BACKLOG = 1024

WsgiApplication = Callable[..., Any]

_log = get_logger(__name__)


def build_state(settings: Settings, incarnation: int, now: Millis) -> NodeState:
    """Return the state of a node that has just started.

    The incarnation must exceed that of any earlier run of the node.
    """
    rng = random.Random(secrets.randbits(64))
    entry = NodeEntry(
        settings.node,
        settings.peer,
        settings.domain,
        incarnation,
    )
    claim_settings = ClaimSettings(
        settings.node,
        incarnation,
        settings.domain,
        settings.domains,
    )
    seed = rng.getrandbits(32)
    return NodeState(
        settings.node,
        settings.domain,
        rng,
        membership=MembershipState(entry, settings.seeds, rng, now),
        configuration=ConfigurationState(
            settings.node,
            settings.domain,
            seed,
            settings.domains,
            has_platform=bool(settings.platform),
        ),
        routing=RoutingState(settings.domain, rng, now),
        rates=RateState(settings.node, incarnation, now),
        exchange=ExchangeState(settings.node, settings.domain, seed),
        claims=ClaimState(claim_settings, seed),
        domains=settings.domains,
    )


def _do_nothing() -> None:
    """Ignore a drain request until the command sets a handler."""


class Node:
    """Run a node: servers, peer and platform links, and the state."""

    def __init__(self, settings: Settings, clock: Clock | None = None) -> None:
        self.settings = settings
        self.clock = clock or MonotonicClock()
        self.stack = contextlib.ExitStack()
        self.addresses: dict[NodeId, str] = {}
        self.records = NodeRecords(settings.node, self.clock)
        self.on_drain: Callable[[], None] = _do_nothing
        self.http_servers: list[Any] = []
        try:
            self._assemble()
        except BaseException:
            self.stack.close()
            raise

    def start(self) -> None:
        """Start serving in background threads."""
        self.network.start()
        self.ticker.start()
        for server in self.servers:
            server.start()
        settings = self.settings
        fields = {'caller': settings.caller, 'peer': settings.peer}
        self.record(RecordEvent(EventKind.node_started, fields))

    def load_table(self, revision: Revision, body: bytes) -> None:
        """Put a table from a file in force."""
        loaded = TableLoaded(revision, body, self.settings.rate_slot)
        self.actor.ask(Delivery(loaded))

    def stop(self) -> None:
        """Stop gracefully: finish calls, release held resources, then close."""
        # A call that is admitted before this is in force counts as work.
        self.actor.ask(Delivery(StopRequested()))
        for server in self.http_servers:
            server.stopping = True
        self._wait_while(self._has_work, self.settings.stop_after_ms)
        linger_until = self.clock.now() + LINGER_MS
        # The platform may be down; what is not released expires.
        self._wait_while(
            propagation.has_resources_to_release, HANDOVER_TIMEOUT_MS
        )
        time.sleep(max(0, linger_until - self.clock.now()) / MILLIS_PER_SECOND)
        self._wait_while(self._has_work, LINGER_MS)
        self.close()

    def close(self) -> None:
        """Close all resources immediately."""
        self.stack.close()

    def send(self, node: NodeId, message: Message) -> None:
        """Send a message to a node; it may be lost."""
        address = membership.address_of(self.state.membership, node)
        self.network.send(address, message)

    def run_store(self, request: StoreRequest) -> None:
        """Run a store operation in the background."""
        table = self.state.configuration.table
        if table is not None:
            self.store_budget.fleet_size = table.rate_slots
        self.store_worker.submit(request)

    def record(self, event: RecordEvent) -> None:
        """Record an event on the timeline."""
        self.records.record(event)
        # Under overload, a log line per call would cost more than the call.
        if event.kind not in CALL_EVENTS:
            _log.info(event.kind.value, **event.fields)
        elif is_debug():
            _log.debug(event.kind.value, **event.fields)

    def count_refusal(self, effect: CountRefusal) -> None:
        """Count a refusal by its reason."""
        self.records.count_refusal(effect.workspace, effect.refusal)

    def cancel_run(self, call_id: CallId) -> None:
        """Abort the upstream connection of a running call."""
        self.upstream.cancel(call_id)

    def _has_work(self, state: NodeState) -> bool:
        """Return whether a call is open or a response is unsent."""
        return propagation.has_open_calls(state, self.clock.now()) or any(
            has_open_requests(server) for server in self.http_servers
        )

    def _wait_while(
        self,
        condition: Callable[[NodeState], bool],
        timeout_ms: float,
    ) -> None:
        deadline = self.clock.now() + timeout_ms
        while self.clock.now() < deadline:
            if not self.dispatcher.inspect(condition):
                return
            time.sleep(STOP_POLL_SECONDS)

    def _assemble(self) -> None:
        settings = self.settings
        self.state = build_state(
            settings,
            time.time_ns() // 1_000_000,
            self.clock.now(),
        )
        self.upstream = UpstreamClient(self.clock)
        self.stack.callback(self.upstream.close)
        self.executor = ThreadPoolExecutor(settings.run_threads, 'run')
        self.stack.callback(self._shut_down, self.executor)
        self.store_budget = StoreBudget(self.state.random.getrandbits(32))
        store = None
        if settings.platform:
            store = BudgetedStore(
                HttpStore(settings.platform),
                self.store_budget,
                self.clock,
            )
        self.store_worker = StoreWorker(store, self._deliver_store_answer)
        self.stack.callback(self.store_worker.close)
        self.network = PeerNetwork(
            settings.node,
            settings.peer,
            self._handle_message,
            self._handle_lost_link,
            self._report_message_error,
        )
        self.stack.callback(self.network.close)
        self.dispatcher = Dispatcher(self.state, self.clock, self)
        self.actor = NodeActor.start(self.dispatcher)
        self.stack.callback(self.actor.stop, block=False)
        self.ticker = Ticker(self.dispatcher)
        self.stack.callback(self.ticker.close)
        self.runner = CallRunner(
            self.dispatcher,
            self.clock,
            upstream=self.upstream,
            network=self.network,
            executor=self.executor,
            peer_address=settings.peer,
            metrics=CallMetrics(self._open_sink(), self.clock),
        )
        gateway = Gateway(settings.node, self.runner, self._announce)
        view = NodeView(
            self.dispatcher,
            self.records,
            self._drain,
            self._measure_traffic,
        )
        self.servers = (
            self._open_server(
                gateway,
                settings.caller,
                settings.caller_threads,
            ),
            self._open_server(
                OperatorApplication(view),
                settings.operator,
                OPERATOR_THREADS,
            ),
        )

    def _open_sink(self) -> Sink:
        if not self.settings.statsd:
            return NullSink()
        return open_sink(*split_address(self.settings.statsd))

    def _open_server(
        self,
        application: WsgiApplication,
        address: str,
        threads: int,
    ) -> threading.Thread:
        host, port = split_address(address)
        try:
            server = create_server(
                application,
                host=host,
                port=port,
                threads=threads,
                connection_limit=MAX_CONNECTIONS,
                backlog=LISTEN_BACKLOG,
                asyncore_use_poll=True,
                channel_request_lookahead=1,
                max_request_body_size=self.settings.largest_body_bytes,
                ident=None,
            )
        except OSError as error:
            if error.errno == errno.EADDRINUSE:
                raise AddressInUseError(address) from None
            raise SettingsError(
                f'address {address}',
                str(error),
                'name an address of this machine',
            ) from None
        server.channel_class = CallerChannel
        server.stopping = False
        self.http_servers.append(server)
        self.stack.callback(server.close)

        def serve() -> None:
            # Closing a server while it polls raises OSError here.
            with contextlib.suppress(OSError):
                server.run()

        return threading.Thread(target=serve, name=address, daemon=True)

    def _measure_traffic(self) -> dict[str, int]:
        return {
            'sent_bytes': self.network.sent_bytes,
            'sent_messages': self.network.sent_messages,
            'received_bytes': self.network.received_bytes,
        }

    def _drain(self) -> None:
        self.on_drain()

    def _shut_down(self, executor: ThreadPoolExecutor) -> None:
        executor.shutdown(wait=False, cancel_futures=True)

    def _announce(self, upstream: Upstream) -> None:
        with contextlib.suppress(pykka.ActorDeadError):
            self.actor.tell(Delivery(UpstreamAnnounced(upstream)))

    def _handle_message(self, sender: NodeId, message: Message) -> None:
        if isinstance(message, HopRequest):
            self.runner.answer_hop(message)
        elif isinstance(message, HopAnswer):
            self.runner.accept_answer(message)
        else:
            with contextlib.suppress(pykka.ActorDeadError):
                self.actor.tell(Delivery(MessageReceived(sender, message)))

    def _handle_lost_link(self, address: str) -> None:
        self.runner.handle_lost_link(address)

    def _report_message_error(self, error: MessageError) -> None:
        _log.warning('peer_message_rejected', error=str(error))

    def _deliver_store_answer(self, event: StoreAnswered) -> None:
        with contextlib.suppress(pykka.ActorDeadError):
            self.actor.tell(Delivery(event))
