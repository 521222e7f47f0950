"""Describe the load and the deployments of the overload measurement."""

from collections import Counter
from dataclasses import dataclass

TIMEOUT_MS = 1000
ATTEMPTS = 4
# One Python process sends about 1,500 calls a second.
# Ports stay under the range from which the machine takes client ports.
PORT_STEP = 400
GENERATORS = 4
LOAD_THREADS = 250
SHARES = {
    'w1': 8,
    'w2': 6,
    'w3': 4,
    'w4': 1,
    'w5': 1,
    'w6': 1,
    'w7': 1,
    'w8': 1,
}
# This workspace sends several times its rate in the phase of overload.
GREEDY = 'w2'
GREEDY_FACTOR = 4
NORMAL = 0.6
PHASES = (
    ('warm-up', 9.0, 1.0, 1.0),
    ('normal', 4.0, 1.0, 1.0),
    ('demand x3', 7.0, 3.0, 1.0),
    ('normal after', 6.0, 1.0, 1.0),
    ('slow x5', 5.0, 1.0, 5.0),
    ('normal at last', 6.0, 1.0, 1.0),
)


@dataclass
class Row:
    """Describe a call row; share is its part of its service's demand."""

    path: str
    service: str
    importance: int
    share: float
    method: str = 'GET'


@dataclass
class Deployment:
    """Hold slots and service time (ms) per service, and the rows."""

    domains: int
    services: dict[str, tuple[int, float]]
    deep: str
    front: str
    rows: tuple[Row, ...]

    def capacity(self, service: str) -> float:
        """Return calls a second that all instances of a service finish."""
        slots, service_ms = self.services[service]
        own = self.domains * slots * 1000 / service_ms
        return (
            min(own, self.capacity(self.deep))
            if (service == self.front)
            else own
        )


DEPLOYMENTS = {
    'bergfeld': Deployment(
        3,
        {
            'casedesk': (15, 150),
            'approvals': (15, 300),
            'photostore': (15, 300),
            'reports': (4, 80),
        },
        'reports',
        'casedesk',
        (
            Row('/status', 'casedesk', 2, 0.6),
            Row('/phone', 'casedesk', 4, 0.4),
            Row('/approvals', 'approvals', 5, 1, 'PUT'),
            Row('/photos', 'photostore', 4, 1, 'PUT'),
        ),
    ),
    'tisk': Deployment(
        4,
        {
            'catalogue': (10, 250),
            'orders': (10, 150),
            'artwork': (10, 250),
            'tracking': (2, 50),
        },
        'tracking',
        'orders',
        (
            Row('/status', 'orders', 2, 0.6),
            Row('/counter', 'orders', 4, 0.4),
            Row('/motifs', 'catalogue', 3, 1),
            Row('/artwork', 'artwork', 5, 1, 'PUT'),
        ),
    ),
}


@dataclass
class Sample:
    """Record one request: times in s from the start of the load."""

    at: float
    end: float
    workspace: str
    path: str
    code: str


def demand(
    deployment: Deployment, row: Row, workspace: str, factor: float
) -> float:
    """Return the demand of a workspace for a row in calls a second."""
    if workspace == GREEDY and factor > 1:
        factor = max(factor, GREEDY_FACTOR)
    share = SHARES[workspace] / sum(SHARES.values())
    return (
        NORMAL * deployment.capacity(row.service) * row.share * share * factor
    )


def fair_shares(deployment: Deployment, factor: float) -> dict[str, float]:
    """Return the weighted fair share of each workspace over all services."""
    shares: Counter[str] = Counter()
    for service in {row.service for row in deployment.rows}:
        wanted = dict.fromkeys(SHARES, 0.0)
        for row in deployment.rows:
            if row.service == service:
                for name in wanted:
                    wanted[name] += demand(deployment, row, name, factor)
        left = deployment.capacity(service)
        open_names = set(wanted)
        while open_names:
            unit = left / sum(SHARES[name] for name in open_names)
            done = {
                name
                for name in open_names
                if wanted[name] <= unit * SHARES[name]
            }
            for name in done or open_names:
                given = wanted[name] if done else unit * SHARES[name]
                shares[name] += given
                left -= given
            open_names = open_names - done if done else set()
    return shares
