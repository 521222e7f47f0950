"""Match nodes that need rate with nodes that can probably lend it.

An exchange only gives hints, so a wrong or second exchange does no harm.
"""

import itertools
import random
from collections import defaultdict
from collections.abc import Iterable, Iterator

import msgspec

from jasmineramp.clock import Millis
from jasmineramp.effects import SendMessage
from jasmineramp.ids import BucketId, DomainId, NodeId
from jasmineramp.rate_buckets import (
    RateTable,
    has_small_burst,
    owner_slots,
    slot_share,
)
from jasmineramp.rate_messages import (
    BucketLenders,
    Demand,
    DemandReport,
    DomainDemand,
    DomainSummary,
    Lender,
    LenderHints,
)

MAX_REPORT_AGE_MS = 6000.0
# For this time, a hinted node without a report does not count as idle. Its
# placeholder report is backdated to expire then.
HINTED_RATE_HOLD_MS = 1500.0
MAX_SUMMARY_AGE_MS = 3000.0
SUMMARY_INTERVAL_MS = 1000.0
MAX_HINTED_LENDERS = 128
MIN_HINTED_LENDERS = 8
MAX_SUMMARY_LENDERS = 16
MAX_HINTED_OWNERS = 16
MIN_SPARE_PER_S = 0.01


class RateMember(msgspec.Struct, frozen=True):
    """Alive node and its rate slot."""

    node: NodeId
    domain: DomainId
    slot: int | None


class _NodeReport(msgspec.Struct):
    """Last demand report of a node for a bucket, less the rate hinted since."""

    spare_rate: float
    missing_rate: float
    at: Millis


class ExchangeState:
    """Reports, summaries and members known to one exchange."""

    def __init__(self, node: NodeId, domain: DomainId, seed: int) -> None:
        self.node = node
        self.domain = domain
        self.random = random.Random(seed)
        self.table: RateTable | None = None
        self.members: dict[DomainId, list[RateMember]] = {}
        self.slot_holders: dict[int, RateMember] = {}
        self.reports: dict[BucketId, dict[NodeId, _NodeReport]] = defaultdict(
            dict
        )
        self.summaries: dict[
            DomainId, tuple[Millis, dict[BucketId, DomainDemand]]
        ] = {}
        self.next_summary_at = Millis(0)


def set_table(state: ExchangeState, table: RateTable) -> None:
    """Set the table that gives the shares of nodes without a report."""
    state.table = table


def set_members(state: ExchangeState, members: Iterable[RateMember]) -> None:
    """Replace the alive nodes of all failure domains."""
    state.members = defaultdict(list)
    for member in members:
        state.members[member.domain].append(member)
    state.slot_holders = {
        member.slot: member
        for domain in state.members.values()
        for member in domain
        if member.slot is not None
    }


def exchange_of(state: ExchangeState, domain: DomainId) -> NodeId | None:
    """Return the node that is the exchange of a failure domain."""
    members = state.members.get(domain, ())
    return min((one.node for one in members), default=None)


def receive_report(
    state: ExchangeState,
    sender: NodeId,
    report: DemandReport,
    now: Millis,
) -> LenderHints | None:
    """Store reported demand and return lenders for urgent demands."""
    buckets = []
    for demand in report.demands:
        spare = max(0, demand.held_rate - demand.needed_rate)
        state.reports[demand.bucket][sender] = _NodeReport(
            spare, max(0, demand.needed_rate - demand.held_rate), now
        )
        if demand.urgent:
            if _has_small_burst(state, demand.bucket):
                lenders = _owner_lenders(state, sender, demand.bucket)
            else:
                lenders = _match_lenders(state, sender, demand, now)
            if lenders:
                buckets.append(BucketLenders(demand.bucket, lenders))
    return LenderHints(tuple(buckets)) if buckets else None


def receive_summary(
    state: ExchangeState, summary: DomainSummary, now: Millis
) -> None:
    """Store what another failure domain can lend."""
    state.summaries[summary.domain] = (
        now,
        {demand.bucket: demand for demand in summary.demands},
    )


def tick(state: ExchangeState, now: Millis) -> list[SendMessage]:
    """Return the summaries for the other exchanges; call every 50 ms.

    Only a node that considers itself the exchange sends summaries.
    """
    if now < state.next_summary_at:
        return []
    state.next_summary_at = Millis(now + SUMMARY_INTERVAL_MS)
    _drop_old_reports(state, now)
    if exchange_of(state, state.domain) != state.node:
        return []
    summary = summarize(state)
    messages = []
    for domain in state.members:
        other = exchange_of(state, domain)
        if domain != state.domain and other is not None:
            messages.append(SendMessage(other, summary))
    return messages


def summarize(state: ExchangeState) -> DomainSummary:
    """Return spare and missing rate of the buckets in use in the domain."""
    local = {one.node for one in state.members.get(state.domain, ())}
    demands = []
    for bucket, reports in state.reports.items():
        known = [one for name, one in reports.items() if name in local]
        if known:
            named = [
                Lender(name, one.spare_rate)
                for name, one in reports.items()
                if name in local and one.spare_rate > MIN_SPARE_PER_S
            ]
            lenders = (*named, *_idle_lenders(state, state.domain, bucket))
            demands.append(
                DomainDemand(
                    bucket,
                    round(sum(one.rate for one in lenders), 3),
                    round(sum(one.missing_rate for one in known), 3),
                    lenders[:MAX_SUMMARY_LENDERS],
                )
            )
    return DomainSummary(state.domain, tuple(demands))


def _has_small_burst(state: ExchangeState, bucket: BucketId) -> bool:
    table = state.table
    return (
        table is not None
        and bucket in table.limits
        and has_small_burst(table, bucket)
    )


def _owner_lenders(
    state: ExchangeState, sender: NodeId, bucket: BucketId
) -> tuple[Lender, ...]:
    """Return the owners of a small-burst bucket, local domain first.

    Its tokens are lent call by call, so hinted rate is not subtracted from the
    spare rate.
    """
    assert state.table is not None
    fleet_rate = state.table.limits[bucket].per_second
    slots = owner_slots(state.table, bucket)
    owners = [
        member
        for slot in slots
        if (member := state.slot_holders.get(slot)) and member.node != sender
    ]
    state.random.shuffle(owners)
    owners.sort(key=lambda member: member.domain != state.domain)
    rate = round(fleet_rate / len(slots), 3)
    return tuple(Lender(one.node, rate) for one in owners[:MAX_HINTED_OWNERS])


def _match_lenders(
    state: ExchangeState,
    sender: NodeId,
    demand: Demand,
    now: Millis,
) -> tuple[Lender, ...]:
    missing = demand.needed_rate - demand.held_rate
    chosen: list[Lender] = []
    for lender in _candidate_lenders(state, demand.bucket, now):
        if len(chosen) >= MAX_HINTED_LENDERS:
            break
        if missing <= 0 and len(chosen) >= MIN_HINTED_LENDERS:
            break
        if lender.node != sender:
            missing -= lender.rate
            chosen.append(lender)
            _mark_hinted(state, demand.bucket, lender, now)
    if len(chosen) < MIN_HINTED_LENDERS:
        chosen.extend(_random_lenders(state, sender, chosen))
    return tuple(chosen)


def _random_lenders(
    state: ExchangeState, sender: NodeId, chosen: list[Lender]
) -> Iterator[Lender]:
    """Yield random nodes that may have tokens but no spare rate."""
    named = {lender.node for lender in chosen}
    local_members = state.members.get(state.domain, [])
    everyone = list(state.slot_holders.values())
    for members in (local_members, everyone):
        count = min(len(members), MIN_HINTED_LENDERS // 2)
        for member in state.random.sample(members, count):
            if member.node not in named and member.node != sender:
                named.add(member.node)
                yield Lender(member.node, 0)


def _mark_hinted(
    state: ExchangeState, bucket: BucketId, lender: Lender, now: Millis
) -> None:
    report = state.reports[bucket].get(lender.node)
    if report is None:
        at = Millis(now + HINTED_RATE_HOLD_MS - MAX_REPORT_AGE_MS)
        state.reports[bucket][lender.node] = _NodeReport(0, 0, at)
    else:
        report.spare_rate = 0


def _candidate_lenders(
    state: ExchangeState, bucket: BucketId, now: Millis
) -> Iterator[Lender]:
    """Yield reported and idle lenders of the local domain, then of others."""
    reports = state.reports[bucket]
    alive = {one.node for one in state.members.get(state.domain, ())}
    known = [
        Lender(name, one.spare_rate)
        for name, one in reports.items()
        if one.spare_rate > MIN_SPARE_PER_S and name in alive
    ]
    known.sort(key=lambda lender: lender.rate, reverse=True)
    yield from known
    yield from _idle_lenders(state, state.domain, bucket)
    domains = [name for name in state.members if name != state.domain]
    state.random.shuffle(domains)
    for domain in domains:
        at, summary = state.summaries.get(domain, (Millis(0), {}))
        listed = summary.get(bucket)
        if listed is None or now - at > MAX_SUMMARY_AGE_MS:
            yield from _idle_lenders(state, domain, bucket)
        else:
            for lender in listed.lenders:
                if lender.node not in reports:
                    yield lender
            yield from _unlisted_lenders(state, domain, listed)


def _unlisted_lenders(
    state: ExchangeState, domain: DomainId, listed: DomainDemand
) -> Iterator[Lender]:
    """Yield nodes not listed, each with an equal part of the remaining rate."""
    reports = state.reports[listed.bucket]
    named = {lender.node for lender in listed.lenders}
    others = [
        member.node
        for member in state.members.get(domain, ())
        if member.node not in named and member.node not in reports
    ]
    rate = listed.spare_rate - sum(lender.rate for lender in listed.lenders)
    if others and rate > MIN_SPARE_PER_S:
        state.random.shuffle(others)
        for node in others:
            yield Lender(node, round(rate / len(others), 3))


def _idle_lenders(
    state: ExchangeState, domain: DomainId, bucket: BucketId
) -> Iterator[Lender]:
    """Yield the nodes without a report, whose whole share is spare."""
    if state.table is None or bucket not in state.table.limits:
        return
    reports = state.reports[bucket]
    members = state.members.get(domain, [])
    start = state.random.randrange(len(members)) if members else 0
    for member in itertools.chain(members[start:], members[:start]):
        if member.node not in reports and member.slot is not None:
            share = slot_share((state.table,), bucket, member.slot)
            if share.rate > 0:
                yield Lender(member.node, round(share.rate, 3))


def _drop_old_reports(state: ExchangeState, now: Millis) -> None:
    for bucket, reports in tuple(state.reports.items()):
        for name in tuple(reports):
            if now - reports[name].at > MAX_REPORT_AGE_MS:
                reports.pop(name)
        if not reports:
            state.reports.pop(bucket)
