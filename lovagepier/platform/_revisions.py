"""Revisions of the store that order changes over all of its eras.

When the store comes back from an older copy, its era rises and its own revisions go
back. A revision here is one integer with the era in the high bits, so a change of a
later era is newer than any of an earlier one.
"""

__all__ = ["era_of", "make_revision", "number_of"]

_NUMBER_BITS = 48


def make_revision(era, number):
    """Return the revision for the store's own `number` in an era."""
    return (era << _NUMBER_BITS) | number


def era_of(revision):
    """Return the era of a revision, 0 if the store states none."""
    return revision >> _NUMBER_BITS


def number_of(revision):
    """Return the store's own number of a revision."""
    return revision & ((1 << _NUMBER_BITS) - 1)
