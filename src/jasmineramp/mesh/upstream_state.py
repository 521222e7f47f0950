"""Follow the upstream of this VM by what it announces."""

import msgspec

from jasmineramp.clock import Millis
from jasmineramp.ids import DomainId, ServiceName
from jasmineramp.membership_messages import UpstreamState

# An upstream that leaves serves for a while; later it can't come back late.
LEFT_MEMORY_MS = 60_000
# Two announcements in a row that did not come.
SILENCE_MS = 3_500
# Less than the interval between two announcements.
CONFIRMATION_MS = 1_000


class Announcement(msgspec.Struct, frozen=True):
    """Hold what an instance says of itself.

    Born is the Unix time of its start in ms, sequence grows with each
    announcement, cold is how much longer it stays slow after its start.
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


class Leaving(msgspec.Struct, frozen=True):
    """Hold that an instance leaves; born is None if it does not say."""

    instance: str
    born: int | None


class UpstreamRecord:
    """Hold the present instance and those that have left."""

    def __init__(self) -> None:
        self.current: Announcement | None = None
        self.state = UpstreamState.starting
        self.heard = Millis(0)
        self.left: dict[str, tuple[int, Millis]] = {}
        self.challenger: Announcement | None = None
        self.is_restored = False

    def announce(self, announcement: Announcement, now: Millis) -> bool:
        """Take an announcement; return whether state or instance changed.

        Announcements may come late: of an instance that has left, of an
        earlier incarnation, or out of order.
        """
        if not self.is_restored and not self._is_confirmed(announcement, now):
            return False
        left = self.left.get(announcement.instance)
        if left is not None and announcement.born <= left[0]:
            return False
        current = self.current
        if current is not None and not self._accepts(announcement, now):
            return False
        self.challenger = None
        is_same = current is not None and _is_same(announcement, current)
        was_slots = current.slots if current is not None else 0
        before = self.state
        self.current = announcement
        self.heard = now
        if not (is_same and before is UpstreamState.draining):
            self.state = announcement.state
        return (
            not is_same
            or self.state is not before
            or was_slots != announcement.slots
        )

    def restore(self, known: Announcement | None, now: Millis) -> None:
        """Take over what an earlier process of the node has registered.

        A leave is stored before it is acknowledged, so an instance that is
        stored as ready has not been told that it may leave.
        """
        self.is_restored = True
        if known is not None and self.current is None:
            self.current = known
            self.state = known.state
        early = self.challenger
        self.challenger = None
        if early is not None:
            self.announce(early, now)

    def _is_confirmed(self, announcement: Announcement, now: Millis) -> bool:
        # Without the store, one announcement may be a late one of an
        # instance that has left; the second of a series is not.
        challenger = self.challenger
        if challenger is None or not _is_same(announcement, challenger):
            self.challenger = announcement
            self.heard = now
            return False
        return (
            announcement.sequence > challenger.sequence
            and now - self.heard >= CONFIRMATION_MS
        )

    def _accepts(self, announcement: Announcement, now: Millis) -> bool:
        current = self.current
        if current is None or _supersedes(announcement, current):
            return True
        if _is_same(announcement, current):
            return False
        # A clock that was set back gives a new instance an early birth. It
        # announces itself again and again, the present one does not.
        challenger = self.challenger
        self.challenger = announcement
        return (
            challenger is not None
            and _is_same(announcement, challenger)
            and announcement.sequence > challenger.sequence
            and now - self.heard > SILENCE_MS
        )

    def leave(self, instance: str, born: int | None, now: Millis) -> bool:
        """Take the leave of an instance; return whether it was in use."""
        current = self.current
        is_current = current is not None and current.instance == instance
        if born is None:
            born = current.born if is_current and current else 0
        self.left[instance] = (born, now)
        for name, (_, since) in list(self.left.items()):
            if now - since > LEFT_MEMORY_MS:
                del self.left[name]
        if not is_current or (current is not None and born < current.born):
            return False
        self.state = UpstreamState.draining
        return True

    def lose(self) -> bool:
        """Note that the instance refuses connections; it must announce anew."""
        if self.state is not UpstreamState.ready:
            return False
        self.state = UpstreamState.starting
        return True

    def is_ready(self) -> bool:
        """Tell whether the instance takes new calls."""
        return self.state is UpstreamState.ready


def _is_same(left: Announcement, right: Announcement) -> bool:
    return left.instance == right.instance and left.born == right.born


def _supersedes(new: Announcement, current: Announcement) -> bool:
    if _is_same(new, current):
        return new.sequence > current.sequence
    return new.born >= current.born
