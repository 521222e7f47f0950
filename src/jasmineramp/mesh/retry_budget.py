"""Keep repeated sends to a service within a part of its first sends."""

from jasmineramp.ids import ServiceName

# A repeated call repeats the calls below it, so that each of up to four hops
# may add its own part; together they stay under the total of the operator.
HOPS = 4
LARGEST_CREDIT = 20


class RetryBudget:
    """Grant repeats of one node, by service.

    The ratio and the slack bound all nodes together over a window.
    """

    def __init__(self, ratio: float, slack: float) -> None:
        self.gain = ratio / HOPS
        self.slack = slack
        self.nodes = 1
        self.credit: dict[ServiceName, float] = {}

    def set_nodes(self, count: int) -> None:
        """Adopt the number of nodes among which the slack is divided."""
        self.nodes = max(1, count)

    def count_send(self, service: ServiceName) -> None:
        """Earn credit with the first send of a call."""
        credit = self.credit.get(service)
        if credit is None:
            credit = self._initial()
        self.credit[service] = min(LARGEST_CREDIT, credit + self.gain)

    def take(self, service: ServiceName) -> bool:
        """Spend credit on one repeat; return False when there is too little."""
        credit = self.credit.get(service)
        if credit is None:
            credit = self._initial()
        if credit < 1:
            return False
        self.credit[service] = credit - 1
        return True

    def _initial(self) -> float:
        return min(1, self.slack / HOPS / self.nodes)
