"""Measure the claims of non-idempotent calls.

Run as `python -m bench.claims --seed N`. Latencies and store calls are in
simulated time: 1 ms one way at most between nodes, 2 ms each way to the
store. Processor time and memory are measured.
"""

import argparse
import json
import random
import statistics
import time
import tracemalloc
from typing import Any

from tests.fakes.claims import ClaimFleet

from jasmineramp import idempotency
from jasmineramp.claim_ledger import ClaimLedger
from jasmineramp.claim_log import (
    LogRecord,
    encode,
    locate_claim,
    make_token,
)
from jasmineramp.claim_messages import (
    ClaimAnswer,
    ClaimOutcome,
    ClaimRequest,
    ClaimResult,
    ClaimVerdict,
    OutcomeAnswer,
)
from jasmineramp.claim_settings import ClaimSettings
from jasmineramp.claim_table import Claim
from jasmineramp.clock import Millis
from jasmineramp.ids import (
    CallId,
    DomainId,
    IdempotencyKey,
    NodeId,
    PartitionId,
    WorkspaceId,
)

DOMAINS = (DomainId('a'),)
WARM_UP_MS = 4000.0
TAIL_MS = 2000.0
PARTITION = PartitionId(0)
SETTINGS = ClaimSettings(NodeId('n0'), 1, DOMAINS[0], DOMAINS)


def report(name: str, **figures: Any) -> None:
    rounded = {
        key: round(value, 3) if isinstance(value, float) else value
        for key, value in figures.items()
    }
    print(json.dumps({'measure': name, **rounded}), flush=True)


def measure_latency(rate: float, seconds: float, seed: int) -> None:
    """Let calls arrive as a Poisson process at two nodes of a domain."""
    fleet = ClaimFleet(nodes=3, seed=seed, domains=DOMAINS)
    fleet.advance(WARM_UP_MS)
    source = random.Random(seed)
    before = dict(fleet.store.calls)
    asked: dict[str, float] = {}
    clock = fleet.clock
    start = clock.now()
    end = start + seconds * 1000
    next_tick = start
    arrival = start + source.expovariate(rate) * 1000
    while clock.now() < end:
        until = min(arrival, next_tick)
        fleet.run_due(until)
        if until == next_tick:
            next_tick += 50
            for node, process in fleet.nodes.items():
                fleet.handle(node, process, ('tick',))
            continue
        node = NodeId(f'n{source.randrange(1, 3)}')
        call_id = fleet.call(node, f'key{len(asked)}', duration=20)
        asked[call_id] = until
        arrival += source.expovariate(rate) * 1000
    fleet.advance(TAIL_MS)
    waits = sorted(fleet.decided_at[call] - at for call, at in asked.items())
    granted = sum(fleet.verdict(call) is ClaimVerdict.granted for call in asked)
    calls = {
        kind: count - before.get(kind, 0)
        for kind, count in fleet.store.calls.items()
    }
    writes = sum(count for kind, count in calls.items() if kind != 'Get')
    log = sum(
        len(entry.body)
        for key, entry in fleet.store.state.entries.items()
        if '/log/' in key
    )
    span = (clock.now() - start) / 1000
    report(
        'latency',
        rate=rate,
        calls=len(asked),
        granted=granted,
        median_ms=statistics.median(waits),
        p99_ms=waits[int(len(waits) * 0.99)],
        longest_ms=waits[-1],
        writes_per_second=writes / span,
        reads_per_second=calls['Get'] / span,
        log_bytes_per_claim=log / len(asked),
    )


def make_request(index: int) -> ClaimRequest:
    partition, key = locate_claim(
        WorkspaceId('studio'), IdempotencyKey(f'key{index}'), 1
    )
    token = make_token('n1/1', index)
    return ClaimRequest(partition, 1, key, index, token, 2000)


def run_claims(ledger: ClaimLedger, requests: list[ClaimRequest]) -> int:
    """Claim, confirm and end a batch; return the bytes of its records."""
    now = Millis(0)
    node = NodeId('n1')
    for request in requests:
        ledger.handle_request(request, node, now, writable=True)
    claims = encode(ledger.take_record('n0/1/1', now) or LogRecord(''))
    ledger.confirm()
    for request in requests:
        outcome = ClaimOutcome(PARTITION, request.token, ClaimResult.done, 201)
        ledger.handle_outcome(outcome, node)
    outcomes = encode(ledger.take_record('n0/1/1', now) or LogRecord(''))
    ledger.confirm()
    return len(claims) + len(outcomes)


def measure_owner(batch: int, batches: int) -> None:
    """Measure the processor time of the owner per claim."""
    ledger = ClaimLedger(PARTITION, SETTINGS)
    requests = [
        [make_request(number * batch + index) for index in range(batch)]
        for number in range(batches)
    ]
    start = time.process_time()
    size = sum(run_claims(ledger, part) for part in requests)
    spent = time.process_time() - start
    count = batch * batches
    report(
        'owner',
        batch=batch,
        claims=count,
        microseconds_per_claim=spent / count * 1e6,
        claims_per_second_of_core=count / spent,
        log_bytes_per_claim=size / count,
    )


def measure_claimant(count: int) -> None:
    """Measure the processor time of the entry node per claimed call."""
    settings = ClaimSettings(NodeId('n1'), 1, DOMAINS[0], DOMAINS)
    state = idempotency.ClaimState(settings, 1)
    members = {NodeId('n0'): DOMAINS[0], NodeId('n1'): DOMAINS[0]}
    now = Millis(0)
    owner = NodeId('n0')
    idempotency.set_members(state, members, now)
    start = time.process_time()
    for index in range(count):
        call_id = CallId(f'c{index}')
        call = idempotency.ClaimCall(
            call_id, WorkspaceId('studio'), IdempotencyKey(call_id), 1, 2000
        )
        (sent,) = idempotency.claim(state, call, now)
        token = sent.message.token
        granted = ClaimAnswer(PARTITION, token, ClaimVerdict.granted)
        idempotency.receive(state, owner, granted, now)
        idempotency.finish(state, call_id, ClaimResult.done, now, status=201)
        confirmed = OutcomeAnswer(PARTITION, token, accepted=True)
        idempotency.receive(state, owner, confirmed, now)
    spent = time.process_time() - start
    report('claimant', microseconds_per_call=spent / count * 1e6)


def measure_memory(claims: int, period: int) -> None:
    """Measure the memory per ended claim, and the look-up of one."""
    ledger = ClaimLedger(PARTITION, SETTINGS)
    table = ledger.table
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    summaries = 0
    for index in range(claims):
        token = index + 1
        key = (index * 0x9E3779B97F4A7C15) % 2**64
        claim = Claim(key, index, token, 2000, Millis(0), NodeId('n1'), True)
        table.add(claim)
        table.end(token, ClaimResult.done, 201, None)
        table.deadlines.clear()
        if (index + 1) % period == 0:
            summaries += len(encode(LogRecord('', summary=table.summarise())))
            table.ended.confirm_summary(index, Millis(index))
    used = tracemalloc.get_traced_memory()[0] - before
    peak = tracemalloc.get_traced_memory()[1] - before
    tracemalloc.stop()
    source = random.Random(1)
    keys = [source.getrandbits(64) for _ in range(10_000)]
    start = time.process_time()
    for key in keys:
        table.find_verdict(key, 0)
    spent = time.process_time() - start
    report(
        'memory',
        claims=claims,
        shards=len(table.ended.shards),
        bytes_per_claim=used / claims,
        peak_megabytes=peak / 1e6,
        summary_bytes_per_claim=summaries / claims,
        lookup_microseconds=spent / len(keys) * 1e6,
    )


def measure_takeover(records: int, seed: int) -> None:
    """Crash the owner of a log and wait for the next one to serve."""
    fleet = ClaimFleet(nodes=3, seed=seed, domains=DOMAINS)
    fleet.advance(WARM_UP_MS)
    for index in range(records):
        fleet.call(NodeId('n2'), f'key{index}', duration=20)
        fleet.advance(110, tick=55)
    owner = fleet.owner()
    before = fleet.store.calls['Get']
    start = fleet.clock.now()
    fleet.crash(owner)
    spent = time.process_time()
    while fleet.owner() is None:
        fleet.advance(50)
    spent = time.process_time() - spent
    report(
        'takeover',
        records=fleet.nodes[fleet.owner()]
        .state.owners[PARTITION]
        .next_sequence,
        simulated_ms=fleet.clock.now() - start,
        reads=fleet.store.calls['Get'] - before,
        processor_ms=spent * 1000,
    )


def measure_tick(seed: int) -> None:
    """Measure the processor time of an idle tick, by kind of node."""
    fleet = ClaimFleet(nodes=3, seed=seed, domains=tuple('abcdefghijklmn'))
    fleet.advance(WARM_UP_MS)
    now = fleet.clock.now()
    for node, process in fleet.nodes.items():
        count = 10_000
        start = time.process_time()
        for _ in range(count):
            idempotency.tick(process.state, now)
        spent = time.process_time() - start
        owned = sum(owner.ready for owner in process.state.owners.values())
        report('tick', node=node, owned=owned, microseconds=spent / count * 1e6)


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    seed = parser.parse_args().seed
    for rate, seconds in (
        (1, 300),
        (20, 60),
        (200, 30),
        (2000, 5),
        (20_000, 2),
    ):
        measure_latency(rate, seconds, seed)
    for batch in (1, 20, 1000):
        measure_owner(batch, 20_000 // batch)
    measure_claimant(20_000)
    measure_memory(120_000, 5000)
    for records in (10, 1000, 2500):
        measure_takeover(records, seed)
    measure_tick(seed)


if __name__ == '__main__':
    main()
