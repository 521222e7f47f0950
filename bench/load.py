"""Send open-loop load to nodes and count what comes back."""

import http.client
import json
import random
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

LONGEST_MICROSECONDS = 60_000_000
THREAD_LIMIT = 400


@dataclass
class Stream:
    """Describe one kind of call of one workspace; rate in calls a second."""

    workspace: str
    key: str
    path: str
    rate: float
    method: str = 'GET'
    attempts: int = 1
    idempotent: bool = True


@dataclass
class Outcome:
    """Collect the results of one stream."""

    sent: int = 0
    good: int = 0
    codes: Counter = field(default_factory=Counter)
    histogram: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, LONGEST_MICROSECONDS, 3)
    )
    finished_at: list[float] = field(default_factory=list)


class LoadGenerator:
    """Send calls at their scheduled times, whatever the answers do.

    Latency counts from the scheduled time, so waiting in the generator is
    part of it.
    """

    def __init__(self, nodes: list[str], seed: int) -> None:
        self.nodes = nodes
        self.random = random.Random(seed)
        self.local = threading.local()
        self.lock = threading.Lock()
        self.outcomes: dict[tuple[str, str], Outcome] = {}
        self.running = 0

    def run(self, streams: list[Stream], seconds: float) -> None:
        """Send the streams for a time and wait for the answers."""
        schedule = []
        for stream in streams:
            moment = 0.0
            while True:
                moment += self.random.expovariate(stream.rate)
                if moment > seconds:
                    break
                node = self.random.choice(self.nodes)
                schedule.append((moment, len(schedule), stream, node))
        schedule.sort()
        self.position = 0
        self.start = time.perf_counter() + 0.2
        workers = [
            threading.Thread(target=self._work, args=(schedule,), daemon=True)
            for _ in range(min(THREAD_LIMIT, len(schedule)))
        ]
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join(seconds + 30)

    def _work(self, schedule) -> None:
        while True:
            with self.lock:
                if self.position >= len(schedule):
                    return
                moment, number, stream, node = schedule[self.position]
                self.position += 1
            delay = self.start + moment - time.perf_counter()
            if delay > 0:
                time.sleep(delay)
            self._call(moment, number, stream, node)

    def _call(self, moment, number, stream: Stream, node: str) -> None:
        code = ''
        for _ in range(stream.attempts):
            code = self._send(stream, node, number)
            if code == 'ok':
                break
        end = time.perf_counter() - self.start
        with self.lock:
            outcome = self.outcomes.setdefault(
                (stream.workspace, stream.path), Outcome()
            )
            outcome.sent += 1
            outcome.codes[code] += 1
            if code == 'ok':
                outcome.good += 1
                outcome.finished_at.append(end)
                latency = max(1, int((end - moment) * 1e6))
                outcome.histogram.record_value(latency)

    def _send(self, stream: Stream, node: str, number: int) -> str:
        connections = self.local.__dict__.setdefault('connections', {})
        connection = connections.get(node)
        if connection is None:
            connection = http.client.HTTPConnection(node, timeout=10)
            connections[node] = connection
        headers = {'Authorization': f'Bearer {stream.key}'}
        if not stream.idempotent:
            headers['Idempotency-Key'] = f'{stream.workspace}-{number}'
        try:
            connection.request(stream.method, stream.path, headers=headers)
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            connections.pop(node)
            return f'error {type(error).__name__}'
        if response.status == 200:
            return 'ok'
        try:
            return json.loads(body)['code']
        except (ValueError, KeyError):
            return f'status {response.status}'
