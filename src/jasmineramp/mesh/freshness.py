"""Tell how long the table of a node may decide on what."""

from jasmineramp.clock import Millis

# A denial is final for the caller, so it needs a table read just now.
DENIAL_PART = 0.75
# The steady clocks of VM and store drift apart by far less.
REVOKE_PART = 0.9


class Freshness:
    """Hold when the table was last known to be the newest.

    The time is that at which the read was sent, on a clock that counts
    suspension. Apply and revoke are the operators' bounds in ms.
    """

    def __init__(self, apply_ms: float, revoke_ms: float) -> None:
        self.apply_ms = apply_ms
        self.revoke_ms = revoke_ms
        self.proved = Millis(float('-inf'))

    def prove(self, sent: Millis) -> None:
        """Note that a read sent at a time has returned the newest table."""
        self.proved = max(self.proved, sent)

    def age(self, now: Millis) -> float:
        """Return the age of the last proof in ms."""
        return now - self.proved

    def may_admit_keys(self, now: Millis) -> bool:
        """Tell whether a key of the table can't have been withdrawn."""
        return self.age(now) < self.revoke_ms * REVOKE_PART

    def may_deny(self, now: Millis) -> bool:
        """Tell whether an unknown key or route is really unknown."""
        return self.age(now) < self.apply_ms * DENIAL_PART
