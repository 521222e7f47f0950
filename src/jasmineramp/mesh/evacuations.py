"""Remember which failure domains the operators have evacuated.

Only the operators end an evacuation. A store that returns from an older copy
of itself may lack the key of one, so a key that is absent in a new era counts
as deleted only after a write of the operators in that era.
"""

import enum
from collections.abc import Iterable, Mapping

import msgspec

from jasmineramp.decoding import Count
from jasmineramp.ids import DomainId, Revision
from jasmineramp.mesh.store_revisions import era_of, number_of


class DomainState(enum.Enum):
    """Tell whether a failure domain may get calls."""

    open = 'open'
    evacuated = 'evacuated'
    # Nothing has been read yet.
    unknown = 'unknown'


class EvacuationView(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """Hold the evacuated domains as of a revision of the store.

    `domains` have a key at that revision. `held` had one at `earlier`, the
    newest revision known of an earlier era, and stay evacuated until the
    operators write in this era, which `has_write` tells.
    """

    revision: Count
    domains: tuple[DomainId, ...]
    has_write: bool = False
    earlier: Count = 0
    held: tuple[DomainId, ...] = ()

    def evacuated(self) -> frozenset[DomainId]:
        """Return the domains that are evacuated."""
        return frozenset(self.domains) | frozenset(self.held)


class Evacuations:
    """Merge reads of the store with what other nodes know."""

    def __init__(self) -> None:
        self.view: EvacuationView | None = None
        # The keys of the operators in the newest read of this node.
        self.keys: Mapping[str, Revision] = {}
        self.keys_revision = Revision(0)

    def evacuated(self) -> frozenset[DomainId]:
        """Return the domains that are evacuated as far as known."""
        return frozenset() if self.view is None else self.view.evacuated()

    def state_of(self, domain: DomainId) -> DomainState:
        """Return the state of a domain."""
        if self.view is None:
            return DomainState.unknown
        if domain in self.view.evacuated():
            return DomainState.evacuated
        return DomainState.open

    def record_read(
        self,
        revision: Revision,
        keys: Mapping[str, Revision],
        domains: Iterable[DomainId],
    ) -> None:
        """Record a linearizable read of all keys of the operators.

        `revision` is that of the store at the read.
        """
        if revision < self.keys_revision:
            return
        has_write = self._shows_write(revision, keys)
        self.merge(EvacuationView(revision, tuple(sorted(domains)), has_write))
        self.keys = dict(keys)
        self.keys_revision = revision

    def merge(self, other: EvacuationView) -> None:
        """Learn what another node knows."""
        self.view = other if self.view is None else _merge(self.view, other)

    def record_write(self, era: int) -> None:
        """Record that the operators have written in an era."""
        view = self.view
        if view is not None and era_of(Revision(view.revision)) == era:
            self.view = msgspec.structs.replace(view, has_write=True, held=())

    def _shows_write(
        self, revision: Revision, keys: Mapping[str, Revision]
    ) -> bool:
        """Return whether a read shows a write since the newest known one.

        A copy of the store has no revision of a key that is greater than the
        one that was read after the copy. A lower one may be from the copy.
        """
        view = self.view
        if view is None:
            return False
        if self.keys_revision and era_of(self.keys_revision) == era_of(
            revision
        ):
            return keys != self.keys
        known_revision = Revision(view.revision)
        if era_of(known_revision) == era_of(revision):
            # The merge compares the domains.
            return False
        is_own = self.keys_revision == known_revision
        known = self.keys if is_own else {}
        return any(
            number_of(each) > number_of(known.get(key, known_revision))
            for key, each in keys.items()
        )


def _merge(first: EvacuationView, second: EvacuationView) -> EvacuationView:
    older, newer = sorted((first, second), key=lambda view: view.revision)
    has_write = newer.has_write
    earlier, held = newer.earlier, newer.held
    if era_of(Revision(older.revision)) == era_of(Revision(newer.revision)):
        has_write = (
            has_write or older.has_write or older.domains != newer.domains
        )
        if older.earlier > earlier:
            earlier, held = older.earlier, older.held
    elif older.revision > earlier:
        earlier, held = older.revision, tuple(sorted(older.evacuated()))
    held = tuple(each for each in held if each not in newer.domains)
    return EvacuationView(
        newer.revision,
        newer.domains,
        has_write,
        earlier,
        () if has_write else held,
    )
