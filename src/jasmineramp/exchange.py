"""Match nodes that need rate with nodes that can probably lend it.

An exchange only gives hints, so a wrong or second exchange is harmless.
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
    is_narrow,
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

REPORT_LIFE_MS = 6000.0
PROMISE_LIFE_MS = 1500.0
SUMMARY_LIFE_MS = 3000.0
SUMMARY_INTERVAL_MS = 1000.0
MOST_LENDERS = 128
FEWEST_LENDERS = 8
SUMMARY_LENDERS = 16
MOST_OWNERS = 16
SMALLEST_SPARE = 0.01


class RateMember(msgspec.Struct, frozen=True):
    """Describe an alive node and its rate slot."""

    node: NodeId
    domain: DomainId
    slot: int | None


class _Seen(msgspec.Struct):
    """Hold the last report of a node on a bucket and what was hinted."""

    spare: float
    wanted: float
    at: Millis


class ExchangeState:
    """Own what the exchange of one failure domain knows."""

    def __init__(self, node: NodeId, domain: DomainId, seed: int) -> None:
        self.node = node
        self.domain = domain
        self.random = random.Random(seed)
        self.table: RateTable | None = None
        self.members: dict[DomainId, list[RateMember]] = {}
        self.holders: dict[int, RateMember] = {}
        self.seen: dict[BucketId, dict[NodeId, _Seen]] = defaultdict(dict)
        self.summaries: dict[
            DomainId, tuple[Millis, dict[BucketId, DomainDemand]]
        ] = {}
        self.summary_at = Millis(0)


def set_table(state: ExchangeState, table: RateTable) -> None:
    """Use the shares of a table to estimate what idle nodes can lend."""
    state.table = table


def set_members(state: ExchangeState, members: Iterable[RateMember]) -> None:
    """Replace the alive nodes of all failure domains."""
    state.members = defaultdict(list)
    for member in members:
        state.members[member.domain].append(member)
    state.holders = {
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
    """Remember demand and name lenders for the rate that is missing."""
    buckets = []
    for demand in report.demands:
        spare = max(0, demand.held - demand.wanted)
        state.seen[demand.bucket][sender] = _Seen(
            spare, max(0, demand.wanted - demand.held), now
        )
        if demand.urgent:
            if _has_few_owners(state, demand.bucket):
                lenders = _owners(state, sender, demand.bucket)
            else:
                lenders = _match(state, sender, demand, now)
            if lenders:
                buckets.append(BucketLenders(demand.bucket, lenders))
    return LenderHints(tuple(buckets)) if buckets else None


def receive_summary(
    state: ExchangeState, summary: DomainSummary, now: Millis
) -> None:
    """Remember what another failure domain can lend."""
    state.summaries[summary.domain] = (
        now,
        {demand.bucket: demand for demand in summary.demands},
    )


def tick(state: ExchangeState, now: Millis) -> list[SendMessage]:
    """Return the summaries for the other exchanges; call every 50 ms.

    Only the node that takes itself for the exchange sends summaries.
    """
    if now < state.summary_at:
        return []
    state.summary_at = Millis(now + SUMMARY_INTERVAL_MS)
    _forget(state, now)
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
    """Return spare and wanted rate of the buckets in use in the domain."""
    local = {one.node for one in state.members.get(state.domain, ())}
    demands = []
    for bucket, seen in state.seen.items():
        known = [one for name, one in seen.items() if name in local]
        if known:
            named = [
                Lender(name, one.spare)
                for name, one in seen.items()
                if name in local and one.spare > SMALLEST_SPARE
            ]
            lenders = (*named, *_idle_lenders(state, state.domain, bucket))
            demands.append(
                DomainDemand(
                    bucket,
                    round(sum(one.rate for one in lenders), 3),
                    round(sum(one.wanted for one in known), 3),
                    lenders[:SUMMARY_LENDERS],
                )
            )
    return DomainSummary(state.domain, tuple(demands))


def _has_few_owners(state: ExchangeState, bucket: BucketId) -> bool:
    table = state.table
    return (
        table is not None
        and bucket in table.limits
        and is_narrow(table, bucket)
    )


def _owners(
    state: ExchangeState, sender: NodeId, bucket: BucketId
) -> tuple[Lender, ...]:
    """List the owners of a narrow bucket, those of the own domain first.

    Its tokens move call by call, so no spare rate is set aside.
    """
    assert state.table is not None
    share = state.table.limits[bucket].per_second
    slots = owner_slots(state.table, bucket)
    owners = [
        member
        for slot in slots
        if (member := state.holders.get(slot)) and member.node != sender
    ]
    state.random.shuffle(owners)
    owners.sort(key=lambda member: member.domain != state.domain)
    rate = round(share / len(slots), 3)
    return tuple(Lender(one.node, rate) for one in owners[:MOST_OWNERS])


def _match(
    state: ExchangeState,
    sender: NodeId,
    demand: Demand,
    now: Millis,
) -> tuple[Lender, ...]:
    missing = demand.wanted - demand.held
    chosen: list[Lender] = []
    for lender in _candidates(state, demand.bucket, now):
        if len(chosen) >= MOST_LENDERS:
            break
        if missing <= 0 and len(chosen) >= FEWEST_LENDERS:
            break
        if lender.node != sender:
            missing -= lender.rate
            chosen.append(lender)
            _promise(state, demand.bucket, lender, now)
    if len(chosen) < FEWEST_LENDERS:
        chosen.extend(_others(state, sender, chosen))
    return tuple(chosen)


def _others(
    state: ExchangeState, sender: NodeId, chosen: list[Lender]
) -> Iterator[Lender]:
    """Yield random nodes that may have tokens though no spare rate."""
    named = {lender.node for lender in chosen}
    own = state.members.get(state.domain, [])
    everyone = list(state.holders.values())
    for members in (own, everyone):
        count = min(len(members), FEWEST_LENDERS // 2)
        for member in state.random.sample(members, count):
            if member.node not in named and member.node != sender:
                named.add(member.node)
                yield Lender(member.node, 0)


def _promise(
    state: ExchangeState, bucket: BucketId, lender: Lender, now: Millis
) -> None:
    seen = state.seen[bucket].get(lender.node)
    if seen is None:
        at = Millis(now + PROMISE_LIFE_MS - REPORT_LIFE_MS)
        state.seen[bucket][lender.node] = _Seen(0, 0, at)
    else:
        seen.spare = 0


def _candidates(
    state: ExchangeState, bucket: BucketId, now: Millis
) -> Iterator[Lender]:
    """Yield known and idle lenders of the own domain, then of others."""
    seen = state.seen[bucket]
    alive = {one.node for one in state.members.get(state.domain, ())}
    known = [
        Lender(name, one.spare)
        for name, one in seen.items()
        if one.spare > SMALLEST_SPARE and name in alive
    ]
    known.sort(key=lambda lender: lender.rate, reverse=True)
    yield from known
    yield from _idle_lenders(state, state.domain, bucket)
    domains = [name for name in state.members if name != state.domain]
    state.random.shuffle(domains)
    for domain in domains:
        at, summary = state.summaries.get(domain, (Millis(0), {}))
        listed = summary.get(bucket)
        if listed is None or now - at > SUMMARY_LIFE_MS:
            yield from _idle_lenders(state, domain, bucket)
        else:
            for lender in listed.lenders:
                if lender.node not in seen:
                    yield lender
            yield from _unlisted_lenders(state, domain, listed)


def _unlisted_lenders(
    state: ExchangeState, domain: DomainId, listed: DomainDemand
) -> Iterator[Lender]:
    """Yield the other nodes with an equal part of what is left to lend."""
    seen = state.seen[listed.bucket]
    named = {lender.node for lender in listed.lenders}
    others = [
        member.node
        for member in state.members.get(domain, ())
        if member.node not in named and member.node not in seen
    ]
    rate = listed.spare - sum(lender.rate for lender in listed.lenders)
    if others and rate > SMALLEST_SPARE:
        state.random.shuffle(others)
        for node in others:
            yield Lender(node, round(rate / len(others), 3))


def _idle_lenders(
    state: ExchangeState, domain: DomainId, bucket: BucketId
) -> Iterator[Lender]:
    """Yield the nodes without a report; their whole share is spare."""
    if state.table is None or bucket not in state.table.limits:
        return
    seen = state.seen[bucket]
    members = state.members.get(domain, [])
    start = state.random.randrange(len(members)) if members else 0
    for member in itertools.chain(members[start:], members[:start]):
        if member.node not in seen and member.slot is not None:
            share = slot_share((state.table,), bucket, member.slot)
            if share.rate > 0:
                yield Lender(member.node, round(share.rate, 3))


def _forget(state: ExchangeState, now: Millis) -> None:
    for bucket, seen in tuple(state.seen.items()):
        for name in tuple(seen):
            if now - seen[name].at > REPORT_LIFE_MS:
                seen.pop(name)
        if not seen:
            state.seen.pop(bucket)
