"""Select the row whose service time the next reply of an instance tells.

One row a reply keeps replies small. As the rows take turns, the replies to
frequent calls also tell the times of rare ones.
"""

from jasmineramp.clock import Millis
from jasmineramp.ids import RowName
from jasmineramp.limits import ServiceTimes

# Rows without a call for longer are left out, as the speed may have changed.
MAX_AGE_MS = 5_000


class RowTimeReporter:
    """Take the rows of an instance in turn."""

    def __init__(self, service_times: ServiceTimes) -> None:
        self.service_times = service_times
        self.rows: list[RowName] = []

    def next(self, now: Millis) -> tuple[RowName, float]:
        """Return a row and its mean time in ms, 0 if none is known."""
        if not self.rows:
            self.rows = self.service_times.recent_rows(now, MAX_AGE_MS)
            if not self.rows:
                return RowName(''), 0
        row = self.rows.pop()
        return row, self.service_times.measured_ms(row)
