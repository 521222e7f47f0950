"""Limit the repeats of calls to a fraction of the first sends.

The bound of the operators counts what arrives at a service over all nodes, and
a repeated call repeats the calls that it makes. So the node beside an instance
enforces it on what arrives there, with an equal part of the slack. The nodes
that send keep a budget of their own, so that they rarely ask in vain.

Load handled: all instances of a service reject part of their arrivals, and each
request needs several calls to it. While many repeats find no credit, the last
part of it is left to the requests with the most answered calls.
"""

from collections import defaultdict

from jasmineramp.ids import ServiceName
from jasmineramp.table import MOST_IMPORTANCE

# The rest is for arrivals that are counted in another window.
USABLE_RATIO = 0.9
USABLE_SLACK = 0.5
MAX_CREDIT = 20
# Leaves one repeat for the most important calls when others come first.
MIN_MAX_CREDIT = 2
# The importance of new requests with rank 0.
TOP_IMPORTANCE = MOST_IMPORTANCE - 1
# Part of the credit beyond 1 that each lower importance leaves to the higher.
RESERVE_PER_LEVEL = 0.5
# Part that a call without progress leaves to others; within one level.
RESERVE_FOR_PROGRESS = 0.5
# The same in the budget of a node that sends, as credit.
SEND_RESERVE_FOR_PROGRESS = 3
# Answered calls from which on a call leaves nothing. Requests need four to
# eight calls of the services that reject.
FULL_PROGRESS = 4
# Below this share of repeats without credit, a reserve loses more requests than
# it saves, because each request that goes on adds credit with its next calls.
SCARCE_REFUSED_SHARE = 0.4
# Weight of the latest repeat in that share.
REFUSED_SHARE_WEIGHT = 1 / 16


class Scarcity:
    """Track the share of the latest repeats that found no credit."""

    __slots__ = ('refused_share',)

    def __init__(self) -> None:
        self.refused_share = float(0)

    def record(self, *, was_refused: bool) -> None:
        """Count a repeat that was asked for."""
        change = was_refused - self.refused_share
        self.refused_share += change * REFUSED_SHARE_WEIGHT

    def reserved_part(self, progress: int) -> float:
        """Return the part of the reserve that a call leaves to others."""
        if self.refused_share <= SCARCE_REFUSED_SHARE:
            return 0
        return max(0, 1 - progress / FULL_PROGRESS)


class RepeatBudget:
    """Limit the repeats that one instance accepts.

    The ratio (repeats per first send) and the slack (repeats beyond it) bound
    the repeats at all instances of a service together over a time window. No
    window is kept here; the credit is limited to the part of the slack.
    """

    def __init__(self, ratio: float, slack: float) -> None:
        self.credit_per_first = ratio * USABLE_RATIO
        self.slack = slack * USABLE_SLACK
        self.max_credit = float(MIN_MAX_CREDIT)
        self.credit = float('inf')
        # By importance: that the less important find no credit is no reason
        # for the more important to leave more.
        self.scarcity: defaultdict[int, Scarcity] = defaultdict(Scarcity)
        self.set_instances(1)

    def set_instances(self, count: int) -> None:
        """Set the number of instances among which the slack is divided."""
        self.max_credit = max(MIN_MAX_CREDIT, self.slack / max(1, count))
        self.credit = min(self.credit, self.max_credit)

    def count_first(self) -> None:
        """Add credit for a call that is not a repeat."""
        self.credit = min(self.max_credit, self.credit + self.credit_per_first)

    def charge(self) -> None:
        """Spend credit on a call that a repeated call makes.

        It is never refused, as that would waste the work for the repeat. The
        services that call this one bound how many there are.
        """
        self.credit = max(-MAX_CREDIT, self.credit - 1)

    def take(self, importance: int, progress: int = 0) -> bool:
        """Spend credit on a call sent again; return False without credit."""
        scarcity = self.scarcity[importance]
        levels = max(0, TOP_IMPORTANCE - importance)
        reserved_part = (
            RESERVE_PER_LEVEL * levels
            + RESERVE_FOR_PROGRESS * scarcity.reserved_part(progress)
        )
        reserve = (self.max_credit - 1) * min(1, reserved_part)
        was_refused = self.credit < 1 + reserve
        scarcity.record(was_refused=was_refused)
        if not was_refused:
            self.credit -= 1
        return not was_refused


class RetryBudget:
    """Limit the repeats that one node sends to each service."""

    def __init__(self, ratio: float, slack: float) -> None:
        self.credit_per_send = ratio
        self.slack = slack
        self.nodes = 1
        self.credit: dict[ServiceName, float] = {}
        self.scarcity: defaultdict[ServiceName, Scarcity] = defaultdict(
            Scarcity
        )

    def set_nodes(self, count: int) -> None:
        """Set the number of nodes among which the slack is divided."""
        self.nodes = max(1, count)

    def count_send(self, service: ServiceName) -> None:
        """Add credit for a send that is not a repeat."""
        credit = self.credit.get(service)
        if credit is None:
            credit = self._initial_credit()
        self.credit[service] = min(MAX_CREDIT, credit + self.credit_per_send)

    def take(self, service: ServiceName, progress: int = 0) -> bool:
        """Spend credit on one repeat; return False if there is too little."""
        credit = self.credit.get(service)
        if credit is None:
            credit = self._initial_credit()
        scarcity = self.scarcity[service]
        reserve = SEND_RESERVE_FOR_PROGRESS * scarcity.reserved_part(progress)
        was_refused = credit < 1 + reserve
        scarcity.record(was_refused=was_refused)
        if not was_refused:
            self.credit[service] = credit - 1
        return not was_refused

    def _initial_credit(self) -> float:
        return min(1, self.slack / self.nodes)
