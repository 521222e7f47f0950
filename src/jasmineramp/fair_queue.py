"""Order queued calls by importance, admitted requests and fair share."""

from collections import OrderedDict

import msgspec

from jasmineramp.clock import Millis
from jasmineramp.ids import (
    CallId,
    Importance,
    KeyDigest,
    RequestId,
    RowName,
    WorkspaceId,
)
from jasmineramp.table import MOST_IMPORTANCE

# Each importance has a band for admitted requests and one for new requests.
_BAND_COUNT = 2 * MOST_IMPORTANCE


class QueuedCall(msgspec.Struct, frozen=True, gc=False):
    """Describe a call for the queue of its instance.

    The weight is the product of the weights of the workspace and the call
    row. A hop above 0 marks a call of a request that was already admitted. A
    call is refused once it has been queued for `max_wait_ms`.
    """

    call_id: CallId
    workspace: WorkspaceId
    row: RowName
    importance: Importance
    hop: int
    deadline: Millis
    weight: float = 1
    request_id: RequestId = RequestId('')
    key: KeyDigest = KeyDigest('')
    max_wait_ms: float = float('inf')


class WorkspaceShare(msgspec.Struct):
    """Track the service that one workspace receives.

    The start tag is the virtual start time of its next call. The normalized
    work is the expected work of its queued and running calls. Both are in
    milliseconds divided by weight.
    """

    workspace: WorkspaceId
    start_tag: float = 0
    normalized_work: float = 0
    queued: int = 0
    running: int = 0


class QueueEntry(msgspec.Struct):
    """Hold a queued or running call.

    The cost is the expected service time. state_since is the time of
    queueing or, for a running call, of its start.
    """

    call: QueuedCall
    share: WorkspaceShare
    cost_ms: float
    state_since: Millis
    band: int


class _Flow(msgspec.Struct):
    """Hold the queued calls of one workspace in one band, oldest first."""

    share: WorkspaceShare
    entries: OrderedDict[CallId, QueueEntry]
    work_ms: float = 0


class _Band:
    """Hold the flows of one importance, for new or for admitted requests."""

    def __init__(self) -> None:
        self.flows: dict[WorkspaceId, _Flow] = {}
        self.work_ms: float = 0


class FairQueue:
    """Hold the queued calls and the shares of the workspaces.

    Start-time fair queueing: within the first band that has calls, the
    workspace with the lowest start tag is next. The tags span all bands, so
    that a workspace whose important calls use much service receives less in
    the other bands.
    """

    def __init__(self) -> None:
        self.entries: dict[CallId, QueueEntry] = {}
        self.bands = tuple(_Band() for _ in range(_BAND_COUNT))
        self.shares: dict[WorkspaceId, WorkspaceShare] = {}
        self.backlogged: dict[WorkspaceId, WorkspaceShare] = {}
        self.virtual_time: float = 0
        self.work_ms: float = 0

    def create_entry(
        self, call: QueuedCall, cost_ms: float, now: Millis
    ) -> QueueEntry:
        """Return a new entry for a call; it is not queued yet."""
        share = self.shares.get(call.workspace)
        if share is None:
            share = WorkspaceShare(call.workspace)
            self.shares[call.workspace] = share
        if share.start_tag < self.virtual_time and not share.queued:
            share.start_tag = self.virtual_time
        band = 2 * (MOST_IMPORTANCE - call.importance) + (call.hop == 0)
        return QueueEntry(call, share, cost_ms, now, band)

    def insert(self, entry: QueueEntry) -> None:
        """Append an entry to the flow of its workspace and band."""
        call = entry.call
        share = entry.share
        band = self.bands[entry.band]
        flow = band.flows.get(call.workspace)
        if flow is None:
            flow = _Flow(share, OrderedDict())
            band.flows[call.workspace] = flow
        flow.entries[call.call_id] = entry
        flow.work_ms += entry.cost_ms
        band.work_ms += entry.cost_ms
        self.work_ms += entry.cost_ms
        share.normalized_work += entry.cost_ms / call.weight
        share.queued += 1
        self.entries[call.call_id] = entry
        self.backlogged[call.workspace] = share

    def remove(self, entry: QueueEntry) -> None:
        """Remove a queued entry."""
        call = entry.call
        share = entry.share
        band = self.bands[entry.band]
        flow = band.flows[call.workspace]
        del flow.entries[call.call_id]
        del self.entries[call.call_id]
        flow.work_ms -= entry.cost_ms
        band.work_ms -= entry.cost_ms
        self.work_ms -= entry.cost_ms
        share.normalized_work -= entry.cost_ms / call.weight
        share.queued -= 1
        # Reset the sums to 0, so that rounding errors do not accumulate.
        if not flow.entries:
            del band.flows[call.workspace]
        if not band.flows:
            band.work_ms = 0
        if not share.queued:
            del self.backlogged[call.workspace]
        if not self.entries:
            self.work_ms = 0

    def next_entry(self) -> QueueEntry:
        """Return the entry that starts next; the queue must not be empty."""
        band = next(band for band in self.bands if band.flows)
        flow = min(band.flows.values(), key=_flow_start_tag)
        return next(iter(flow.entries.values()))

    def eviction_candidate(self) -> tuple[QueueEntry, bool]:
        """Return the entry to evict and whether workspaces were compared.

        The entry is the newest of the workspace with the most normalized
        work in the last band. The queue must not be empty. The flag is false
        when that band holds calls of one workspace only.
        """
        band = next(band for band in reversed(self.bands) if band.flows)
        flow = max(band.flows.values(), key=_flow_normalized_work)
        return next(reversed(flow.entries.values())), len(band.flows) > 1

    def min_importance(self) -> Importance:
        """Return the lowest queued importance, the highest one when empty."""
        last_band = max(
            (index for index, band in enumerate(self.bands) if band.flows),
            default=0,
        )
        return Importance(MOST_IMPORTANCE - last_band // 2)

    def work_ahead_ms(self, entry: QueueEntry) -> float:
        """Return the expected work in ms ahead of an entry not yet inserted."""
        ahead_ms = float(sum(band.work_ms for band in self.bands[: entry.band]))
        flows = self.bands[entry.band].flows
        own_flow = flows.get(entry.call.workspace)
        weight = entry.call.weight
        start_tag = entry.share.start_tag
        if own_flow is not None:
            start_tag += own_flow.work_ms / weight
        for flow in flows.values():
            if flow is own_flow:
                ahead_ms += flow.work_ms
            else:
                lead_ms = (start_tag - flow.share.start_tag) * weight
                ahead_ms += min(flow.work_ms, max(0, lead_ms))
        return ahead_ms

    def charge(self, entry: QueueEntry) -> None:
        """Charge the expected service time of a starting entry."""
        share = entry.share
        if self.backlogged:
            # A workspace that becomes active gets the start tag of the
            # backlogged workspace that received the least service, not that
            # of one whose important calls ran.
            min_tag = min(map(_start_tag, self.backlogged.values()))
            self.virtual_time = max(self.virtual_time, min_tag)
        elif share.start_tag > self.virtual_time:
            self.virtual_time = share.start_tag
        charge = entry.cost_ms / entry.call.weight
        share.start_tag += charge
        share.normalized_work += charge
        share.running += 1

    def settle(self, entry: QueueEntry, service_ms: float) -> None:
        """Replace the expected service time in the charge by the actual one."""
        share = entry.share
        weight = entry.call.weight
        share.running -= 1
        share.normalized_work -= entry.cost_ms / weight
        share.start_tag += (service_ms - entry.cost_ms) / weight

    def remove_idle_shares(self) -> None:
        """Remove the shares of workspaces without calls or excess service."""
        idle = [
            share.workspace
            for share in self.shares.values()
            if not share.queued
            and not share.running
            and share.start_tag <= self.virtual_time
        ]
        for workspace in idle:
            del self.shares[workspace]


def _flow_start_tag(flow: _Flow) -> float:
    return flow.share.start_tag


def _start_tag(share: WorkspaceShare) -> float:
    return share.start_tag


def _flow_normalized_work(flow: _Flow) -> float:
    return flow.share.normalized_work
