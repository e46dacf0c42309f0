"""Revisions of a store that may be restored from a copy.

A restored store lacks its latest rows and gives their numbers to other ones. A
revision therefore holds the era of the store, which rises with each restore,
above the number. It remains one integer: nodes compare, send and announce it as
before, and the revisions of a store without eras are its numbers.
"""

NUMBER_BITS = 48
MAX_ERA = (1 << 15) - 1
_NUMBER_MASK = (1 << NUMBER_BITS) - 1


def make(era: int, number: int) -> int:
    """Returns the revision of a number that the store gave in an era."""
    return era << NUMBER_BITS | number


def era(revision: int) -> int:
    """Returns the era of a revision."""
    return revision >> NUMBER_BITS


def number(revision: int) -> int:
    """Returns the store's own number of a revision."""
    return revision & _NUMBER_MASK
