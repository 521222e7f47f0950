"""Judge what callers saw and upstreams ran against the promises."""

from collections import Counter

import msgspec

RATE = 8
BURST = 4
QUOTA_WINDOW_S = 5.0
QUOTA_OVER = 0.1
QUOTA_SLACK = 20
RETRY_WINDOW_S = 10.0
RETRY_RATIO = 0.2
RETRY_SLACK = 40
REFUSALS = frozenset((429, 503))
EVAC_S = 1.0
# Tolerance of time checks for nodes that are stopped or cut off meanwhile.
TOUCH_S = 3.0
COLD_PER_S = 2.0
COLD_OVER = 1.5
COLD_SLACK = 8.0
CLOSED = 0
BAD_GATEWAY = 502
NOT_FOUND = 404


class Arrival(msgspec.Struct, frozen=True):
    """Hold that an upstream began to work on a request; time in seconds."""

    time: float
    request_id: str
    workspace: str
    instance: str = ''
    domain: str = ''
    is_cold: bool = False


class Evacuation(msgspec.Struct, frozen=True):
    """Hold when nodes could read the key of an evacuation without failure."""

    domain: str
    start: float
    end: float


class Ending(msgspec.Struct, frozen=True):
    """Hold how a request ended while nothing but planned stops happened."""

    status: int
    is_late: bool
    is_entry_stopping: bool


class History:
    """Collect sends, arrivals and ends, and what breaks a promise at once."""

    def __init__(self) -> None:
        self.sent: dict[str, float] = {}
        self.ends: dict[str, int] = {}
        self.arrivals: list[Arrival] = []
        self.forbidden: dict[str, str] = {}
        self.unanswered: set[str] = set()
        self.endings: dict[str, Ending] = {}
        self.known: set[str] = set()
        self.gone: set[str] = set()
        self.evacuations: list[Evacuation] = []
        self.wrong: list[str] = []

    def note_route(self, place: str, request_id: str, status: int) -> None:
        """Record the status of a route that is added and removed once.

        The place is a process and the path. A process that has served a route
        and then does not know it must not serve it again.
        """
        if status == 200:
            self.known.add(place)
            if place in self.gone:
                self.wrong.append(f'{request_id} ran on a route that came back')
        elif status == NOT_FOUND and place in self.known:
            self.gone.add(place)

    def judge(self, limited: str) -> list[str]:
        """Return the broken promises; one workspace has the rate limit."""
        runs = Counter(each.request_id for each in self.arrivals)
        for request_id, count in runs.items():
            if request_id.startswith('buy') and count > 1:
                self.wrong.append(f'{request_id} ran {count} times')
            if self.ends.get(request_id) in REFUSALS:
                self.wrong.append(f'{request_id} ran, but was refused')
            if request_id in self.forbidden:
                reason = self.forbidden[request_id]
                self.wrong.append(f'{request_id} ran {reason}')
            if request_id in self.unanswered:
                self.wrong.append(f'{request_id} ran, its answer was lost')
        self._judge_rate(limited)
        self._judge_repeats()
        self._judge_evacuations()
        self._judge_cold_instances()
        self._judge_planned_stops(set(runs))
        if not runs or 200 not in self.ends.values():
            self.wrong.append('nothing was served')
        return self.wrong

    def _judge_rate(self, limited: str) -> None:
        # A request counts once, however often it is sent.
        firsts: dict[str, float] = {}
        for each in self.arrivals:
            if each.workspace == limited:
                firsts.setdefault(each.request_id, each.time)
        times = sorted(firsts.values())
        bound = RATE * QUOTA_WINDOW_S + BURST
        bound = bound * (1 + QUOTA_OVER) + QUOTA_SLACK
        most = _most_within(times, QUOTA_WINDOW_S)
        if most > bound:
            self.wrong.append(f'{limited} ran {most} calls, {bound:.0f} may')

    def _judge_repeats(self) -> None:
        firsts = sorted(self.sent.values())
        seen: set[str] = set()
        repeats: list[float] = []
        for each in sorted(self.arrivals, key=lambda each: each.time):
            if each.request_id in seen:
                repeats.append(each.time)
            seen.add(each.request_id)
        for start in repeats:
            end = start + RETRY_WINDOW_S
            count = sum(start <= each <= end for each in repeats)
            requests = max(
                sum(start - shift <= each <= end - shift for each in firsts)
                for shift in (0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S)
            )
            if count > RETRY_RATIO * requests + RETRY_SLACK:
                self.wrong.append(f'{count} repeats of {requests} requests')
                return

    def _judge_evacuations(self) -> None:
        for evacuation in self.evacuations:
            late = [
                each
                for each in self.arrivals
                if each.domain == evacuation.domain
                and evacuation.start + EVAC_S + TOUCH_S < each.time
                and each.time < evacuation.end
            ]
            if late:
                after = late[-1].time - evacuation.start
                self.wrong.append(
                    f'{len(late)} calls ran in evacuated {evacuation.domain}, '
                    f'the last {late[-1].request_id} at {late[-1].instance} '
                    f'{after:.1f} s after the write'
                )

    def _judge_cold_instances(self) -> None:
        times: dict[str, list[float]] = {}
        for each in self.arrivals:
            if each.is_cold:
                times.setdefault(each.instance, []).append(each.time)
        bound = COLD_PER_S * COLD_OVER + COLD_SLACK
        for instance, arrivals in times.items():
            most = _most_within(arrivals, 1)
            if most > bound:
                self.wrong.append(
                    f'cold {instance} got {most} calls, {bound:.0f} may'
                )

    def _judge_planned_stops(self, begun: set[str]) -> None:
        for request_id, ending in self.endings.items():
            is_given_up = ending.status == CLOSED or (
                ending.status not in {200, *REFUSALS} and not ending.is_late
            )
            if request_id in begun and is_given_up:
                reason = f'was given up at work, status {ending.status}'
                self.wrong.append(f'{request_id} {reason}')
            elif ending.status == BAD_GATEWAY and not ending.is_entry_stopping:
                self.wrong.append(f'{request_id} got 502 at a node that stays')


def _most_within(times: list[float], span: float) -> int:
    most = first = 0
    for last, time in enumerate(times):
        while time - times[first] > span:
            first += 1
        most = max(most, last - first + 1)
    return most
