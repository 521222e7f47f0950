"""Decide how long a node may rely on its table without a new read."""

from jasmineramp.clock import Millis

# Fraction of the apply bound. A denial is final for the caller, so it needs a
# recently read table.
DENIAL_AGE_FRACTION = 0.75
# Fraction of the revoke bound. The monotonic clocks of the VM and the store
# drift apart by far less than the remaining tenth.
REVOKE_AGE_FRACTION = 0.9


class Freshness:
    """Hold when a read last confirmed that the table is the newest.

    That is the time at which the read was sent, on a clock that includes time
    in suspension. `apply_ms` and `revoke_ms` are the operators' bounds in
    milliseconds.
    """

    def __init__(self, apply_ms: float, revoke_ms: float) -> None:
        self.apply_ms = apply_ms
        self.revoke_ms = revoke_ms
        self.confirmed_at = Millis(float('-inf'))

    def record_confirmation(self, sent: Millis) -> None:
        """Record that a read sent at this time returned the newest table."""
        self.confirmed_at = max(self.confirmed_at, sent)

    def restart(self, sent: Millis) -> None:
        """Record the confirmation of a table that replaces another one.

        What confirmed the other one proves nothing about this one.
        """
        self.confirmed_at = sent

    def age(self, now: Millis) -> float:
        """Return the time in ms since the table was last confirmed."""
        return now - self.confirmed_at

    def may_admit_keys(self, now: Millis) -> bool:
        """Return whether the keys of the table are certainly not withdrawn."""
        return self.age(now) < self.revoke_ms * REVOKE_AGE_FRACTION

    def may_deny(self, now: Millis) -> bool:
        """Return whether a missing key or route may be refused as unknown."""
        return self.age(now) < self.apply_ms * DENIAL_AGE_FRACTION
