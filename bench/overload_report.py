"""Print the figures of the overload measurement."""

import sys
from collections import Counter

from bench.overload_model import (
    GREEDY,
    PHASES,
    SHARES,
    Deployment,
    Sample,
    fair_shares,
)


def goodput(samples: list[Sample], begin: float, end: float) -> float:
    """Return whole requests a second that ended in an interval."""
    good = sum(
        1 for each in samples if each.code == 'ok' and begin <= each.end < end
    )
    return good / (end - begin)


def recovery(samples: list[Sample], begin: float, end: float, before: float):
    """Return the s until each later window of 1 s reaches 95%, or None."""
    moment = end - 1
    while moment > begin and goodput(samples, moment, moment + 1) >= (
        0.95 * before * (1 - 2 / max(1, before) ** 0.5)
    ):
        moment -= 0.25
    return None if moment >= end - 1 else round(moment - begin, 2)


def report(
    system: str,
    samples: list[Sample],
    lateness: float,
    deployment: Deployment,
) -> None:
    """Print the figures of one system."""
    capacity = sum(
        deployment.capacity(service)
        for service in {row.service for row in deployment.rows}
    )
    print(
        f'== {system}: {len(samples)} requests, capacity {capacity:.0f}/s, '
        f'latest send {lateness * 1000:.0f} ms late'
    )
    begins, begin = {}, 0.0
    for name, seconds, _, _ in PHASES:
        begins[name] = (begin, begin + seconds)
        inside = [s for s in samples if begin <= s.at < begin + seconds]
        codes = Counter(sample.code for sample in inside)
        figure = goodput(samples, begin + 1, begin + seconds)
        print(f'{name:15} goodput {figure:6.1f}/s {dict(codes.most_common(6))}')
        begin += seconds
    before = goodput(samples, *begins['normal'])
    start, end = begins['demand x3']
    inside = [s for s in samples if start + 1 <= s.at < end]
    share = goodput(samples, start + 1, end) / capacity
    print(f'x3 goodput / capacity {share:.3f}')
    for name in ('normal after', 'normal at last'):
        print(
            f'recovery in "{name}" {recovery(samples, *begins[name], before)} s'
        )
    shares = fair_shares(deployment, 3)
    good = Counter(s.workspace for s in inside if s.code == 'ok')
    ratios = {w: good[w] / (end - start - 1) / shares[w] for w in SHARES}
    worst = min(ratios, key=lambda name: ratios[name])
    print(f'worst-served workspace {worst} at {ratios[worst]:.3f} of its share')
    within = [s for s in samples if s.workspace != GREEDY]
    refused = sum(1 for s in within if s.code == 'rate_exceeded')
    print(f'refused for rate within rate {refused} of {len(within)}')
    wrong = inversions(inside, deployment)
    print(f'important refusals beside less important {wrong}')
    normal = sorted(
        s.end - s.at
        for s in samples
        if s.code == 'ok' and begins['normal'][0] <= s.at < begins['normal'][1]
    )
    if normal:
        middle, high = len(normal) // 2, len(normal) * 99 // 100
        print(
            f'latency when normal p50 {normal[middle] * 1000:.1f} ms, '
            f'p99 {normal[high] * 1000:.1f} ms'
        )
    sys.stdout.flush()


def inversions(samples: list[Sample], deployment: Deployment) -> str:
    """Count refusals of calls while a less important one succeeded.

    Compared are calls of one service that ended within the same 100 ms.
    """
    rows = {row.path: row for row in deployment.rows}
    least: dict[tuple[str, int], int] = {}
    for sample in samples:
        row = rows[sample.path]
        place = (row.service, int(sample.end * 10))
        if sample.code == 'ok':
            least[place] = min(least.get(place, 9), row.importance)
    refused = wrong = 0
    for sample in samples:
        row = rows[sample.path]
        if sample.code in {'ok', 'rate_exceeded'}:
            continue
        refused += 1
        place = (row.service, int(sample.end * 10))
        wrong += least.get(place, 9) < row.importance
    return f'{wrong} of {refused} failed requests'
