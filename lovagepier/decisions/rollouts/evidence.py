"""Outcome counters of versions, replicated between nodes (grow-only counters)."""

__all__ = ["Counts", "Evidence", "EvidenceKey", "LoadCounts"]

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


class LoadCounts(NamedTuple):
    """What one row tells of loads that were not compared.

    `strained` is the number of outcomes that were slow at such a load; they are in no
    `Counts`. `load` is the highest load of them and `compared` the highest one that the
    old version's times were known for, both in thousandths of a request per second and
    target. `step` is the share of the highest step that has begun, in thousandths.
    `took` is the longest time of them and `bar` the highest one that is not slow, in
    microseconds.
    """

    strained: int = 0
    load: int = 0
    compared: int = 0
    step: int = 0
    took: int = 0
    bar: int = 0


def _highest(row, other):
    return type(row)(*(max(a, b) for a, b in zip(row, other, strict=True)))


class Evidence:
    """Grow-only counters per key.

    Each source only increments its own rows. Merging takes the maximum of each
    number, so it gives the same result in any order and with duplicates.
    """

    __slots__ = ("_loads", "_rows")

    def __init__(self):
        self._rows = {}
        self._loads = {}

    def count(self, key, failed, slow):
        """Add one outcome to a row of this process."""
        row = self._rows.get(key, Counts())
        self._rows[key] = row.plus(Counts(1, int(failed), int(slow)))

    def merge(self, key, counts):
        """Merge a peer's row; return the counts that were new."""
        row = self._rows.get(key, Counts())
        merged = _highest(row, counts)
        self._rows[key] = merged
        return merged.minus(row)

    def note_load(self, key, is_strained, load, compared, step, times=(0.0, 0.0)):
        """Add what an outcome tells of the loads to a row of this process.

        Loads are in requests per second and target, `times` are its time and the bar in
        seconds.
        """
        row = self._loads.get(key, LoadCounts())
        thousandths = [round(value * 1000) for value in (load, compared, step)]
        micros = [round(seconds * 1e6) for seconds in times]
        seen = LoadCounts(row.strained + int(is_strained), *thousandths, *micros)
        self._loads[key] = _highest(row, seen)

    def merge_loads(self, key, loads):
        """Merge a peer's `LoadCounts`; return how many strained ones were new."""
        row = self._loads.get(key, LoadCounts())
        self._loads[key] = _highest(row, loads)
        return self._loads[key].strained - row.strained

    def loads(self):
        """Return {key: `LoadCounts`}."""
        return dict(self._loads)

    def highest_loads(self, rollout):
        """Return the highest values of a rollout's `LoadCounts`."""
        highest = LoadCounts()
        for key, loads in self._loads.items():
            if key.rollout == rollout:
                highest = _highest(highest, loads)
        return highest

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
        for table in (self._rows, self._loads):
            for key in [key for key in table if key.rollout == rollout]:
                del table[key]
