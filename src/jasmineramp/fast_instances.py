"""Prefer the fast instances of a service for calls with a short objective.

The load handled here: instances of one service differ in speed by up to three
times while most of their slots are free. A call whose objective is only a few
times its service time is then late at a slow instance, whatever its load.
"""

import random
from typing import NamedTuple

from jasmineramp.clock import Millis, later
from jasmineramp.ids import DomainId, NodeId, RowName
from jasmineramp.routing_targets import FastChoice, Service, Target

# Service times vary: about one call in twenty takes longer than three times
# the mean of its row.
SAFE_OBJECTIVE_RATIO = 3.0
# A mean of about 20 calls deviates by less than this from the true one.
SIMILAR_TIME_RATIO = 1.2
# Bytes between domains are billed, so an instance there must be clearly
# faster.
REMOTE_ADVANTAGE_RATIO = 1.25
# These calls are still spread over all instances, so that the times of the
# slower ones stay known.
EXPLORED_SHARE = 0.08
# Failures end early and must not make an instance attractive.
MAX_FAILURE_RATE = 0.2
REFRESH_MS = 100


class Objective(NamedTuple):
    """Hold the row of a call and its latency objective in ms."""

    row: RowName
    limit_ms: float


def choose_fast(
    rng: random.Random,
    service: Service,
    objective: Objective,
    exclude: frozenset[NodeId],
    now: Millis,
    *,
    domain: DomainId,
    nodes: int,
    is_large: bool = False,
) -> Target | None:
    """Return an instance that is fast enough, None to choose by load.

    `nodes` is the number of nodes that choose independently.
    """
    row = objective.row
    choice = service.fast_choices.get((row, is_large))
    if choice is None or now >= choice.valid_until:
        candidates = [
            target
            for target in service.targets.values()
            if row in target.row_times and _is_candidate(target, nodes, now)
        ]
        targets = _find_fast(candidates, objective, domain, is_large=is_large)
        choice = FastChoice(targets, later(now, REFRESH_MS))
        service.fast_choices[row, is_large] = choice
    if not choice.targets or rng.random() < EXPLORED_SHARE:
        return None
    # An instance may have stopped or been ejected since the choice was made.
    usable = [
        each
        for each in choice.targets
        if each.is_usable(exclude)
        and each.is_ready()
        and now >= each.ejected_until
    ]
    return rng.choice(usable) if usable else None


def _find_fast(
    candidates: list[Target],
    objective: Objective,
    domain: DomainId,
    *,
    is_large: bool,
) -> tuple[Target, ...]:
    """Return the fastest candidates and those that are about as fast.

    There are none if the objective suits even the slowest candidate. Those of
    other domains are left out for a large body, and unless they gain enough.
    """
    row, objective_ms = objective
    slowest_ms = max((each.row_times[row] for each in candidates), default=0)
    if objective_ms >= slowest_ms * SAFE_OBJECTIVE_RATIO:
        return ()
    local = [each for each in candidates if each.instance.domain == domain]
    best_ms = _best_time(candidates, row)
    best_local_ms = _best_time(local, row)
    is_local_safe = objective_ms >= best_local_ms * SAFE_OBJECTIVE_RATIO
    is_local_similar = best_local_ms < best_ms * REMOTE_ADVANTAGE_RATIO
    if is_large or is_local_safe or is_local_similar:
        candidates = local
        best_ms = best_local_ms
    max_time_ms = best_ms * SIMILAR_TIME_RATIO
    return tuple(
        each for each in candidates if each.row_times[row] <= max_time_ms
    )


def _best_time(targets: list[Target], row: RowName) -> float:
    return min((each.row_times[row] for each in targets), default=float('inf'))


def _is_candidate(target: Target, nodes: int, now: Millis) -> bool:
    """Return whether the instance can take a call of each node at once.

    It must also be ready, warm and not ejected, and seldom fail.
    """
    return (
        target.slots >= nodes
        and target.is_ready()
        and now >= max(target.ejected_until, target.cold_until)
        and target.failure_rate <= MAX_FAILURE_RATE
        and not target.is_full(now)
    )
