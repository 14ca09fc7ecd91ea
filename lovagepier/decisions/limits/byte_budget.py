"""How many bytes a process holds at a time, and for whom."""

from collections import Counter

__all__ = ["ByteBudget"]


class ByteBudget:
    """Counts the bytes held for each owner; `capacity` is the bound for all.

    One owner gets at most the fraction `owner_share` of it, so that a faulty one
    leaves room for the others.
    """

    __slots__ = ("_by_owner", "_capacity", "_owner_share", "held")

    def __init__(self, capacity, owner_share):
        self._capacity = capacity
        self._owner_share = owner_share
        self._by_owner = Counter()
        self.held = 0

    @property
    def largest(self):
        """The most bytes that can be taken at once."""
        return int(self._capacity * self._owner_share)

    def take(self, owner, size):
        """Count `size` bytes more for an owner; return False if they don't fit."""
        if self.held + size > self._capacity:
            return False
        if self._by_owner[owner] + size > self.largest:
            return False
        self.held += size
        self._by_owner[owner] += size
        return True

    def give_back(self, owner, size):
        """Count `size` bytes of an owner no longer."""
        self.held -= size
        self._by_owner[owner] -= size
        if not self._by_owner[owner]:
            del self._by_owner[owner]
