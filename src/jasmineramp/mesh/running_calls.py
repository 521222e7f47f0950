"""Hold the calls that run at the local upstream, to know whose calls it makes.

An upstream makes calls of its own while it runs a call. They count as a part of
that call: they have its importance, and they are repeats if it is one.
"""

import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from jasmineramp.limits import CallOutcome
from jasmineramp.mesh.calls import MAX_PROGRESS, UpstreamCall
from jasmineramp.table import MOST_IMPORTANCE

# Upstreams name a call after the one that makes it, followed by this sign.
ID_SEPARATOR = '.'


class Origin(NamedTuple):
    """Describe the running call that makes a call."""

    importance: int = MOST_IMPORTANCE
    is_repeat: bool = False


class RunningCalls:
    """Hold the origins of the running calls by request id."""

    def __init__(self, rng: random.Random) -> None:
        self.random = rng
        self.origins: dict[str, Origin] = {}
        self.counts: Counter[Origin] = Counter()
        # Calls answered for the request of a running call, by its id.
        self.progress: dict[str, int] = {}

    def add(self, request_id: str, origin: Origin, progress: int = 0) -> None:
        """Add a call that starts."""
        self.origins[request_id] = origin
        self.progress[request_id] = min(progress, MAX_PROGRESS)
        self.counts[origin] += 1

    def remove(self, request_id: str, origin: Origin) -> None:
        """Remove a call that has ended."""
        self.origins.pop(request_id, None)
        self.progress.pop(request_id, None)
        self.counts[origin] -= 1
        if not self.counts[origin]:
            del self.counts[origin]

    def find_parent(self, request_id: str) -> Origin | None:
        """Return the origin of the call that an id names as its parent."""
        return self.origins.get(_parent_id(request_id))

    def find_progress(self, request_id: str) -> int:
        """Return the progress of the call that an id names as its parent."""
        return self.progress.get(_parent_id(request_id), 0)

    def count_answer(self, request_id: str) -> None:
        """Count an answer for the call that an id names as its parent."""
        parent_id = _parent_id(request_id)
        progress = self.progress.get(parent_id)
        if progress is not None:
            self.progress[parent_id] = min(progress + 1, MAX_PROGRESS)

    def choose_origin(self) -> Origin:
        """Return the origin of one of the running calls at random."""
        if not self.counts:
            return Origin()
        if len(self.counts) == 1:
            return next(iter(self.counts))
        return self.random.choices(
            tuple(self.counts), tuple(self.counts.values())
        )[0]


class RunningCall:
    """Hold a call while it runs; record its end, also when it is cancelled."""

    def __init__(
        self,
        running_calls: RunningCalls,
        call: UpstreamCall,
        finish: Callable[[CallOutcome], None],
    ) -> None:
        self.running_calls = running_calls
        self.call = call
        self.finish = finish
        self.origin = Origin(call.importance, call.is_repeat)
        self.outcome = CallOutcome.cancelled

    def __enter__(self) -> 'RunningCall':
        self.running_calls.add(
            self.call.request_id, self.origin, self.call.progress
        )
        return self

    def __exit__(self, *_: object) -> None:
        self.running_calls.remove(self.call.request_id, self.origin)
        self.finish(self.outcome)

    def mark_repeat(self) -> None:
        """Count the call, and those that it makes, as repeats."""
        self.running_calls.remove(self.call.request_id, self.origin)
        self.call.is_resent = self.call.is_repeat = True
        self.origin = Origin(self.call.importance, is_repeat=True)
        self.running_calls.add(
            self.call.request_id, self.origin, self.call.progress
        )


def _parent_id(request_id: str) -> str:
    return request_id.rpartition(ID_SEPARATOR)[0]
