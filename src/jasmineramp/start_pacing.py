"""Define the pacing of the calls that start at an instance."""

from jasmineramp.clock import Millis


class StartPacing:
    """Decide when calls may start, besides the concurrency limit.

    This one never delays a call. `interval_ms` is the time between two starts,
    0 without a limit.
    """

    interval_ms: float = 0

    def cell(self) -> tuple[str, str, float]:
        """Return row, column and value of the table cell that limits."""
        return '', '', 0

    def may_start(self, now: Millis) -> bool:
        """Return whether a call may start now."""
        return True

    def wait_ms(self, now: Millis) -> float:
        """Return the time until a call may start."""
        return 0

    def started(self, now: Millis) -> None:
        """Count a call that has started."""
