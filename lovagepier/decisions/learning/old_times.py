"""The old version's usual times, and the loads that they are known for."""

from collections import deque
from typing import NamedTuple

from sortedcontainers import SortedList

__all__ = ["Baseline", "Window"]

# An outcome is slow above `_THRESHOLD_FACTOR` times a quantile of the old version's
# last `_MAX_SAMPLES` times.
_MAX_SAMPLES = 200
_THRESHOLD_FACTOR = 1.3
_MIN_SAMPLES = 20
# A threshold is for loads up to this quantile of the loads it was learnt at, so that a
# quarter of the times are from there. Loads are rates over a few seconds; the factor
# allows for their variation.
_COMPARED_LOAD_QUANTILE = 0.75
_LOAD_TOLERANCE = 1.15
# Times at the highest load are renewed by those at this fraction of it or more.
_SAME_LOAD_FRACTION = 0.9


class Window:
    """The last values of a series, with their quantiles."""

    __slots__ = ("_order", "_size", "_sorted")

    def __init__(self, size):
        self._size = size
        self._order = deque()
        self._sorted = SortedList()

    def __len__(self):
        return len(self._order)

    def add(self, value):
        """Add a value; the oldest one is dropped if there are too many."""
        self._order.append(value)
        self._sorted.add(value)
        if len(self._order) > self._size:
            self._sorted.remove(self._order.popleft())

    def quantile(self, fraction):
        """Return the value below which this fraction of them is."""
        return self._sorted[int(len(self._sorted) * fraction)]


class _Times(NamedTuple):
    """The old version's times up to a load: their median and the usual quantile."""

    load: float
    median: float
    usual: float


class Baseline:
    """The old version's times for one key, with the loads they were seen at.

    As a rollout advances, the load of the old version's targets falls. `_busiest` are
    its times at the highest load, for outcomes of the new version at such a load.
    """

    __slots__ = ("_adopted", "_busiest", "_loads", "_quantile", "_window")

    def __init__(self, quantile, adopted=None):
        self._adopted = adopted
        self._quantile = quantile
        self._window = Window(_MAX_SAMPLES)
        self._loads = Window(_MAX_SAMPLES)
        self._busiest = None

    def add(self, value, load):
        """Add a time at a load, None if that is not known."""
        self._window.add(value)
        if load is None:
            return
        self._loads.add(load)
        recent = self._recent()
        if recent is None or recent.load is None:
            return
        highest = self._busiest.load if self._busiest else recent.load
        if recent.load >= highest * _SAME_LOAD_FRACTION:
            self._busiest = recent._replace(load=max(recent.load, highest))

    def forget_busiest(self):
        """Forget the times at the highest load so far."""
        self._busiest = None

    def median(self):
        """Return the median of the last times, None if there are too few."""
        return self._window.quantile(0.5) if len(self._window) >= _MIN_SAMPLES else None

    def _recent(self):
        median = self.median()
        if median is None:
            return None
        load = None
        if len(self._loads) >= _MIN_SAMPLES:
            load = self._loads.quantile(_COMPARED_LOAD_QUANTILE)
        return _Times(load, median, self._window.quantile(self._quantile))

    def threshold(self, allowance, load=None):
        """Return the threshold, None if it is not known.

        `allowance` is how much slower than the median a target may usually be, `load`
        that of the outcome's target, None if it is not known.
        """
        recent = self._recent()
        if recent is None:
            return self._adopted
        usual = max(recent.usual, recent.median * allowance)
        if load is not None and self._busiest and load > recent.load:
            busiest = self._busiest
            usual = max(usual, busiest.usual, busiest.median * allowance)
        return usual * _THRESHOLD_FACTOR

    def compared_load(self):
        """Return the highest load that times are known for, None if that is unknown."""
        recent = self._recent()
        if recent is None or recent.load is None:
            return None
        return max(recent.load, self._busiest.load if self._busiest else 0.0)

    def is_past(self, load):
        """Return whether a load is higher than those that times are known for.

        False if either is not known.
        """
        compared = self.compared_load()
        if load is None or compared is None:
            return False
        return load > compared * _LOAD_TOLERANCE
