"""Hold the state of a node, which is owned by its dispatcher."""

import random
from collections import OrderedDict
from collections.abc import Mapping, Sequence

import msgspec

from jasmineramp.admission import AdmissionState
from jasmineramp.authentication import KeyRing
from jasmineramp.call_messages import Attempt, CallArrived, CallHeader
from jasmineramp.clock import ORIGIN, Millis
from jasmineramp.configuration_state import (
    NO_REVISION,
    ConfigurationState,
    Members,
    make_members,
)
from jasmineramp.exchange import ExchangeState
from jasmineramp.idempotency import ClaimState
from jasmineramp.ids import (
    CallId,
    ContextToken,
    DomainId,
    NodeId,
    WorkspaceId,
)
from jasmineramp.membership_messages import Instance, Upstream
from jasmineramp.membership_state import MembershipState
from jasmineramp.rate_slots import RateSlotState
from jasmineramp.rates import RateState
from jasmineramp.retries import Retry, RetryState
from jasmineramp.routing import RoutingState
from jasmineramp.table import CallIndex, CallRow, WorkspaceRow


class EntryCall(msgspec.Struct):
    """Hold a call that a caller or the local upstream made at this node."""

    arrived: CallArrived
    header: CallHeader
    row: CallRow
    deadline: Millis
    attempts: int = 0
    instance: Instance | None = None
    tried: frozenset[NodeId] = frozenset()
    attempt_id: CallId = CallId('')
    loan_deadline: Millis | None = None
    claimed: bool = False
    awaits_repeat_grant: bool = False
    last_failure: Attempt | None = None
    may_have_run: bool = False
    retry_delay: Millis = ORIGIN


class RunningCall(msgspec.Struct):
    """Hold a call that the local upstream runs, and its open onward calls."""

    header: CallHeader
    deadline: Millis
    context: ContextToken
    onward: set[CallId] = msgspec.field(default_factory=set)


class PendingHop(msgspec.Struct):
    """Hold an attempt at the local instance until it is started.

    The waiter id is the call id under which a thread awaits the decision.
    """

    header: CallHeader
    nonce: str
    deadline: Millis
    waiter_id: CallId


class NodeState:
    """Hold the state of all policies of a node."""

    def __init__(
        self,
        node: NodeId,
        domain: DomainId,
        rng: random.Random,
        *,
        membership: MembershipState,
        configuration: ConfigurationState,
        routing: RoutingState,
        rates: RateState,
        exchange: ExchangeState,
        claims: ClaimState,
        domains: Sequence[DomainId],
    ) -> None:
        self.node = node
        self.domain = domain
        self.random = rng
        self.membership = membership
        self.configuration = configuration
        self.routing = routing
        self.rates = rates
        self.exchange = exchange
        self.claims = claims
        self.domains = domains
        self.slots: RateSlotState | None = None
        self.retries = RetryState()
        self.admission: AdmissionState | None = None
        self.upstream: Upstream | None = None
        self.keys = KeyRing()
        self.call_index = CallIndex()
        self.workspace_rows: Mapping[WorkspaceId, WorkspaceRow] = {}
        self.calls: dict[CallId, EntryCall] = {}
        self.parked: OrderedDict[CallId, None] = OrderedDict()
        self.pending_hops: dict[CallId, PendingHop] = {}
        self.running: dict[CallId, RunningCall] = {}
        self.contexts: dict[ContextToken, RunningCall] = {}
        self.recent_hops: OrderedDict[CallId, None] = OrderedDict()
        self.pending_charges: dict[Retry, CallId] = {}
        self.stopping = False
        self.refuse_hops_at: Millis | None = None
        self.members: Members = make_members(node, (), {})
        self.alive: dict[NodeId, DomainId] = {}
        self.refresh_at = ORIGIN
        self.table_revision = NO_REVISION
        self.accepted_revision = NO_REVISION
