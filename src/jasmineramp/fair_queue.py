"""Order queued calls by importance, whole requests and fair share."""

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

_BANDS = 2 * MOST_IMPORTANCE


class QueuedCall(msgspec.Struct, frozen=True, gc=False):
    """Describe a call to the queue of its instance.

    The weight is the product of the weights of workspace and row. A hop
    above 0 means that the call belongs to an already admitted request.
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


class Share(msgspec.Struct):
    """Hold the service of one workspace.

    The tag is the virtual start of its next call, the work is that of its
    queued and running calls; both are milliseconds divided by weight.
    """

    workspace: WorkspaceId
    tag: float = 0
    work: float = 0
    queued: int = 0
    running: int = 0


class Entry(msgspec.Struct):
    """Hold a queued or running call with its expected service time."""

    call: QueuedCall
    share: Share
    cost: float
    since: Millis
    band: int


class _Lane(msgspec.Struct):
    """Hold the queued calls of one workspace in one band."""

    share: Share
    entries: OrderedDict[CallId, Entry]
    work: float = 0


class _Band:
    """Hold the lanes of one importance, of new or of continued requests."""

    def __init__(self) -> None:
        self.lanes: dict[WorkspaceId, _Lane] = {}
        self.work: float = 0


class FairQueue:
    """Hold the queued calls and the shares of the workspaces.

    Start-time fair queueing: the workspace with the least tag is next. The
    tags span all bands, so that a workspace whose important calls take much
    service receives less in the other bands.
    """

    def __init__(self) -> None:
        self.entries: dict[CallId, Entry] = {}
        self.bands = tuple(_Band() for _ in range(_BANDS))
        self.shares: dict[WorkspaceId, Share] = {}
        self.backlogged: dict[WorkspaceId, Share] = {}
        self.virtual_time: float = 0
        self.work: float = 0

    def entry(self, call: QueuedCall, cost: float, now: Millis) -> Entry:
        """Create the entry of a call with its expected service time in ms."""
        share = self.shares.get(call.workspace)
        if share is None:
            share = Share(call.workspace)
            self.shares[call.workspace] = share
        if share.tag < self.virtual_time and not share.queued:
            share.tag = self.virtual_time
        band = 2 * (MOST_IMPORTANCE - call.importance) + (call.hop == 0)
        return Entry(call, share, cost, now, band)

    def insert(self, entry: Entry) -> None:
        """Append an entry to its lane."""
        call = entry.call
        share = entry.share
        band = self.bands[entry.band]
        lane = band.lanes.get(call.workspace)
        if lane is None:
            lane = _Lane(share, OrderedDict())
            band.lanes[call.workspace] = lane
        lane.entries[call.call_id] = entry
        lane.work += entry.cost
        band.work += entry.cost
        self.work += entry.cost
        share.work += entry.cost / call.weight
        share.queued += 1
        self.entries[call.call_id] = entry
        self.backlogged[call.workspace] = share

    def remove(self, entry: Entry) -> None:
        """Take an entry out of the queue."""
        call = entry.call
        share = entry.share
        band = self.bands[entry.band]
        lane = band.lanes[call.workspace]
        del lane.entries[call.call_id]
        del self.entries[call.call_id]
        lane.work -= entry.cost
        band.work -= entry.cost
        self.work -= entry.cost
        share.work -= entry.cost / call.weight
        share.queued -= 1
        # Sums return to exact zeros, so that rounding errors cannot build up.
        if not lane.entries:
            del band.lanes[call.workspace]
        if not band.lanes:
            band.work = 0
        if not share.queued:
            del self.backlogged[call.workspace]
        if not self.entries:
            self.work = 0

    def first(self) -> Entry:
        """Return the entry that starts next; the queue must not be empty."""
        band = next(band for band in self.bands if band.lanes)
        lane = min(band.lanes.values(), key=_tag_of)
        return next(iter(lane.entries.values()))

    def last(self) -> tuple[Entry, bool]:
        """Return the entry to evict and whether it was chosen by share."""
        band = next(band for band in reversed(self.bands) if band.lanes)
        lane = max(band.lanes.values(), key=_work_of)
        return next(reversed(lane.entries.values())), len(band.lanes) > 1

    def least_importance(self) -> Importance:
        """Return the least importance queued, the most when empty."""
        last = max(
            (index for index, band in enumerate(self.bands) if band.lanes),
            default=0,
        )
        return Importance(MOST_IMPORTANCE - last // 2)

    def work_ahead(self, entry: Entry) -> float:
        """Return the expected work in ms before a call not yet inserted."""
        ahead = float(sum(band.work for band in self.bands[: entry.band]))
        lanes = self.bands[entry.band].lanes
        own = lanes.get(entry.call.workspace)
        weight = entry.call.weight
        tag = entry.share.tag
        if own is not None:
            tag += own.work / weight
        for lane in lanes.values():
            if lane is own:
                ahead += lane.work
            else:
                lead = (tag - lane.share.tag) * weight
                ahead += min(lane.work, max(0, lead))
        return ahead

    def charge(self, entry: Entry) -> None:
        """Count an entry that starts against its workspace."""
        share = entry.share
        if self.backlogged:
            # A workspace that becomes active starts level with the one that
            # received the least, not with one whose important calls ran.
            least = min(map(_tag_of_share, self.backlogged.values()))
            self.virtual_time = max(self.virtual_time, least)
        elif share.tag > self.virtual_time:
            self.virtual_time = share.tag
        charge = entry.cost / entry.call.weight
        share.tag += charge
        share.work += charge
        share.running += 1

    def settle(self, entry: Entry, service: float) -> None:
        """Correct the charge of an entry by its real service time in ms."""
        share = entry.share
        weight = entry.call.weight
        share.running -= 1
        share.work -= entry.cost / weight
        share.tag += (service - entry.cost) / weight

    def drop_idle(self) -> None:
        """Forget workspaces without calls and without excess service."""
        idle = [
            share.workspace
            for share in self.shares.values()
            if not share.queued
            and not share.running
            and share.tag <= self.virtual_time
        ]
        for workspace in idle:
            del self.shares[workspace]


def _tag_of(lane: _Lane) -> float:
    return lane.share.tag


def _tag_of_share(share: Share) -> float:
    return share.tag


def _work_of(lane: _Lane) -> float:
    return lane.share.work
