"""Outcome counters of versions, replicated between nodes (grow-only counters)."""

__all__ = ["Counts", "Evidence", "EvidenceKey"]

from typing import NamedTuple


class EvidenceKey(NamedTuple):
    """Identifies one row: what it counts, and the process (`source`) that counts."""

    rollout: str
    version: str
    route: str
    source: str


class Counts(NamedTuple):
    """Numbers of outcomes: all, failed, and slow compared with the old version."""

    seen: int = 0
    failed: int = 0
    slow: int = 0

    def plus(self, other):
        """Return the sum of two rows."""
        return Counts(*(a + b for a, b in zip(self, other, strict=True)))

    def minus(self, other):
        """Return the difference of two rows."""
        return Counts(*(a - b for a, b in zip(self, other, strict=True)))


class Evidence:
    """Grow-only counters per key.

    Each source only increments its own rows. Merging takes the maximum of each
    number, so it gives the same result in any order and with duplicates.
    """

    __slots__ = ("_rows",)

    def __init__(self):
        self._rows = {}

    def count(self, key, failed, slow):
        """Add one outcome to a row of this process."""
        row = self._rows.get(key, Counts())
        self._rows[key] = row.plus(Counts(1, int(failed), int(slow)))

    def merge(self, key, counts):
        """Merge a peer's row; return the counts that were new."""
        row = self._rows.get(key, Counts())
        merged = Counts(*(max(a, b) for a, b in zip(row, counts, strict=True)))
        self._rows[key] = merged
        return merged.minus(row)

    def rows(self, rollout=None):
        """Return {key: counts} of one rollout, or of all."""
        return {
            key: counts
            for key, counts in self._rows.items()
            if rollout is None or key.rollout == rollout
        }

    def total(self, rollout, version):
        """Return the summed counts of one version in one rollout."""
        total = Counts()
        for key, counts in self._rows.items():
            if key.rollout == rollout and key.version == version:
                total = total.plus(counts)
        return total

    def forget(self, rollout):
        """Drop the rows of a rollout that has ended."""
        for key in [key for key in self._rows if key.rollout == rollout]:
            del self._rows[key]
