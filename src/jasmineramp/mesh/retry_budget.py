"""Limit retries to a service to a fraction of its first sends."""

from jasmineramp.ids import ServiceName

# A retry also repeats the downstream calls, so each of up to four hops may add
# retries. Each hop gets an equal share of the budget set by the operator, so
# that all hops together stay within it.
MAX_HOPS = 4
MAX_CREDIT = 20


class RetryBudget:
    """Limit the retries that one node sends to each service.

    The ratio (retries per first send) and the slack (retries beyond the
    ratio) bound the retries of all nodes together over a time window. No
    window is kept here; the credit is limited to MAX_CREDIT.
    """

    def __init__(self, ratio: float, slack: float) -> None:
        self.credit_per_send = ratio / MAX_HOPS
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
