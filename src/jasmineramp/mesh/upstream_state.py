"""Track the state of the local upstream from its announcements."""

import msgspec

from jasmineramp.clock import Millis
from jasmineramp.ids import DomainId, ServiceName
from jasmineramp.membership_messages import UpstreamState
from jasmineramp.mesh.departures import Departed, Departures

# Two consecutive announcements are missing after this time.
SILENCE_MS = 3_500
# Less than the interval between two announcements.
MIN_CONFIRMATION_INTERVAL_MS = 1_000


class Announcement(msgspec.Struct, frozen=True):
    """Hold an instance's announcement of its state.

    `born` is the Unix time of its start in ms, `sequence` grows with each
    announcement, `cold_ms` is how much longer it stays slow after its start.
    """

    instance: str
    born: int
    address: str
    service: ServiceName
    domain: DomainId
    slots: int
    state: UpstreamState
    sequence: int
    cold_ms: float


class Departure(msgspec.Struct, frozen=True):
    """Hold the notice that an instance leaves; `born` may be unknown.

    An unknown start was before the notice.
    """

    instance: str
    born: int | None


class UpstreamRecord:
    """Hold the current instance and those that left recently."""

    def __init__(self) -> None:
        self.current: Announcement | None = None
        self.state = UpstreamState.starting
        self.last_heard = Millis(0)
        self.departures = Departures()
        self.candidate: Announcement | None = None
        self.is_restored = False

    def announce(self, announcement: Announcement, now: Millis) -> bool:
        """Apply an announcement; return whether it changed the record.

        A change is one of state, slots or instance. Late announcements are
        ignored: those of an instance that has left or of an earlier
        incarnation, and those that arrive out of order.
        """
        if announcement.state is UpstreamState.draining:
            self._add_departure(announcement, now)
        elif self.departures.binds(announcement.instance, announcement.born):
            return False
        if not self.is_restored and not self._check_confirmation(
            announcement, now
        ):
            return False
        current = self.current
        if current is not None and not self._check_successor(announcement, now):
            return False
        self.candidate = None
        is_same = current is not None and _is_same(announcement, current)
        previous_slots = current.slots if current is not None else 0
        previous_state = self.state
        self.current = announcement
        self.last_heard = now
        self.state = announcement.state
        return (
            not is_same
            or self.state is not previous_state
            or previous_slots != announcement.slots
        )

    def restore(self, registered: Announcement | None, now: Millis) -> None:
        """Restore what an earlier process of the node has registered.

        The departures that are known by now are not undone by it.
        """
        self.is_restored = True
        if registered is not None:
            if registered.state is UpstreamState.draining:
                self._add_departure(registered, now)
            if self.current is None:
                self.current = registered
                self.state = registered.state
        self.apply_departures()
        pending = self.candidate
        self.candidate = None
        if pending is not None:
            self.announce(pending, now)

    def _check_confirmation(
        self, announcement: Announcement, now: Millis
    ) -> bool:
        # Otherwise the announcement is stored as the candidate.
        # Before the store has answered, a single announcement may be a late
        # one of an instance that has left; a second, newer one is not.
        candidate = self.candidate
        if candidate is None or not _is_same(announcement, candidate):
            self.candidate = announcement
            self.last_heard = now
            return False
        return (
            announcement.sequence > candidate.sequence
            and now - self.last_heard >= MIN_CONFIRMATION_INTERVAL_MS
        )

    def _check_successor(self, announcement: Announcement, now: Millis) -> bool:
        current = self.current
        if current is None or _supersedes(announcement, current):
            return True
        if _is_same(announcement, current):
            return False
        # If the clock was set back, a new instance has an earlier start time
        # than the current one. It is accepted if it announces itself again
        # while the current one is silent.
        # Until then it is stored as the candidate.
        candidate = self.candidate
        self.candidate = announcement
        return (
            candidate is not None
            and _is_same(announcement, candidate)
            and announcement.sequence > candidate.sequence
            and now - self.last_heard > SILENCE_MS
        )

    def depart(
        self, instance: str, born: int | None, now: Millis, *, unix_now: int
    ) -> bool:
        """Record that an instance leaves; return whether it was in use.

        `unix_now` is the time of day in ms. It bounds a start that is unknown,
        because the instance runs on this VM.
        """
        current = self.current
        if born is None and current is not None:
            born = current.born if current.instance == instance else None
        self.departures.add(
            Departed(instance, unix_now if born is None else born), now
        )
        return self.apply_departures()

    def apply_departures(self) -> bool:
        """Stop using an instance that has left; return whether it was in use.

        Departures are also learned from the store and from other nodes.
        """
        current = self.current
        if (
            current is None
            or self.state is UpstreamState.draining
            or not self.departures.binds(current.instance, current.born)
        ):
            return False
        self.state = UpstreamState.draining
        return True

    def _add_departure(self, announcement: Announcement, now: Millis) -> None:
        self.departures.add(
            Departed(announcement.instance, announcement.born), now
        )

    def mark_lost(self) -> bool:
        """Record that the instance refuses connections.

        It is used again after its next announcement. Return whether it was
        ready.
        """
        if self.state is not UpstreamState.ready:
            return False
        self.state = UpstreamState.starting
        return True

    def is_ready(self) -> bool:
        """Return whether the instance accepts new calls."""
        return self.state is UpstreamState.ready


def _is_same(first: Announcement, second: Announcement) -> bool:
    return first.instance == second.instance and first.born == second.born


def _supersedes(new: Announcement, current: Announcement) -> bool:
    if _is_same(new, current):
        return new.sequence > current.sequence
    return new.born >= current.born
