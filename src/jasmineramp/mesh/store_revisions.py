"""Order the revisions of a store that may return from an older copy of itself.

After that the store gives out the revisions again that it has lost, so a number
alone does not tell which of two changes is the later one. The store counts its
returns as eras. A revision holds the era in front of the number, so that those
of a later era are greater than all before.
"""

from jasmineramp.ids import Revision

_NUMBER_BITS = 40
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1


def make_revision(era: int, number: int) -> Revision:
    """Return the revision for a number of an era; 0 stands for no revision."""
    return Revision(era << _NUMBER_BITS | number if number else 0)


def era_of(revision: Revision) -> int:
    """Return the era in which the store gave out a revision."""
    return revision >> _NUMBER_BITS


def number_of(revision: Revision) -> int:
    """Return the number that the store uses for a revision."""
    return revision & _NUMBER_MASK
