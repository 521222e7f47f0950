"""Order the revisions of a store that may return from an older copy of itself.

After that the store gives out the revisions again that it has lost, so a number
alone does not tell which of two changes is the later one. The store counts its
returns as eras. A revision holds the era in front of the number, so that those
of a later era are greater than all before.
"""

from typing import Annotated

import msgspec

from jasmineramp.ids import Revision

_NUMBER_BITS = 40
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1
# A revision fits into 63 bits.
MAX_ERA = (1 << 23) - 1

RevisionNumber = Annotated[int, msgspec.Meta(ge=0, le=_NUMBER_MASK)]
Era = Annotated[int, msgspec.Meta(ge=0, le=MAX_ERA)]


def make_revision(era: int, number: int) -> Revision:
    """Return the revision for a number of an era; 0 stands for no revision."""
    return Revision(era << _NUMBER_BITS | number if number else 0)


def parse_era(digits: bytes) -> int | None:
    """Return an era, None if revisions can't hold it."""
    era = float(digits)
    return int(era) if era <= MAX_ERA else None


def era_of(revision: Revision) -> int:
    """Return the era in which the store gave out a revision."""
    return revision >> _NUMBER_BITS


def number_of(revision: Revision) -> int:
    """Return the number that the store uses for a revision."""
    return revision & _NUMBER_MASK
