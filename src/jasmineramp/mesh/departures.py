"""Remember which starts of instances have left.

A departure only grows: no later announcement, stored entry or older copy of the
store takes it back. It is a fact about one start of an instance and does not
depend on the lease or the process of a node.
"""

from collections.abc import Iterable

import msgspec

from jasmineramp.clock import Millis
from jasmineramp.decoding import Count, ForeignDecoder

# An instance that leaves serves for some tens of seconds; no announcement of it
# arrives later than this.
DEPARTURE_RETENTION_MS = 120_000
MAX_DEPARTURES = 128


class Departed(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Name the latest start of an instance that has left.

    `born` is the Unix time of the start in ms. Earlier starts have left too.
    """

    instance: str
    born: Count


_decoder = ForeignDecoder(msgspec.json.Decoder(tuple[Departed, ...]))
_encoder = msgspec.json.Encoder()


class Departures:
    """Hold the departures of the instances at one node."""

    def __init__(self) -> None:
        self.latest: dict[str, Departed] = {}
        # In the order of this time.
        self.known_since: dict[str, Millis] = {}

    def add(self, departed: Departed, now: Millis) -> bool:
        """Add a departure; return whether it was unknown."""
        if self.binds(departed.instance, departed.born):
            return False
        self.expire(now)
        self.latest[departed.instance] = departed
        self.known_since.pop(departed.instance, None)
        self.known_since[departed.instance] = now
        while len(self.latest) > MAX_DEPARTURES:
            self._forget(next(iter(self.known_since)))
        return True

    def merge(self, facts: Iterable[Departed], now: Millis) -> bool:
        """Add departures; return whether one was unknown."""
        added = [each for each in facts if self.add(each, now)]
        return bool(added)

    def binds(self, instance: str, born: int) -> bool:
        """Return whether this start of an instance has left."""
        departed = self.latest.get(instance)
        return departed is not None and born <= departed.born

    def facts(self) -> tuple[Departed, ...]:
        """Return the departures."""
        return tuple(self.latest.values())

    def expire(self, now: Millis) -> None:
        """Forget what no late announcement can refer to any more."""
        for instance, since in list(self.known_since.items()):
            if now - since <= DEPARTURE_RETENTION_MS:
                return
            self._forget(instance)

    def _forget(self, instance: str) -> None:
        del self.known_since[instance]
        del self.latest[instance]


def encode_departures(facts: tuple[Departed, ...]) -> bytes:
    """Return departures as they are stored."""
    return _encoder.encode(facts)


def decode_departures(value: bytes) -> tuple[Departed, ...] | None:
    """Return stored departures, None if the value holds something else."""
    try:
        return _decoder.decode(value)
    except msgspec.MsgspecError:
        return None
