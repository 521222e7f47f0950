"""Limit retries to a service to a fraction of its first sends."""

from jasmineramp.ids import ServiceName

# A retry also repeats the downstream calls, so the retries of up to four hops
# multiply. Each hop may add the same factor, so that all hops together stay
# within the ratio set by the operator.
MAX_HOPS = 4
# The rest is for the retries of callers that are not counted exactly.
USABLE_RATIO = 0.9
MAX_CREDIT = 20


class RetryBudget:
    """Limit the retries that one node sends to each service.

    The ratio (retries per first send) and the slack (retries beyond the
    ratio) bound the retries of all nodes together over a time window. No
    window is kept here; the credit is limited to MAX_CREDIT.
    """

    def __init__(self, ratio: float, slack: float) -> None:
        self.credit_per_send = (1 + USABLE_RATIO * ratio) ** (1 / MAX_HOPS) - 1
        self.slack = slack
        self.nodes = 1
        self.credit: dict[ServiceName, float] = {}

    def set_nodes(self, count: int) -> None:
        """Set the number of nodes among which the slack is divided."""
        self.nodes = max(1, count)

    def count_send(self, service: ServiceName) -> None:
        """Add credit for a send that is not a retry, also for a redirect."""
        credit = self.credit.get(service)
        if credit is None:
            credit = self._initial_credit()
        self.credit[service] = min(MAX_CREDIT, credit + self.credit_per_send)

    def take(self, service: ServiceName) -> bool:
        """Spend credit on one retry; return False if there is too little."""
        credit = self.credit.get(service)
        if credit is None:
            credit = self._initial_credit()
        if credit < 1:
            return False
        self.credit[service] = credit - 1
        return True

    def _initial_credit(self) -> float:
        return min(1, self.slack / MAX_HOPS / self.nodes)
