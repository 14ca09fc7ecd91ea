"""Detection of outcomes that are slow compared with the old version."""

from collections import deque

from sortedcontainers import SortedList

__all__ = ["SlownessDetector"]

# An outcome is slow above `_THRESHOLD_FACTOR` times this quantile of the old version's
# last `_MAX_SAMPLES` times.
_MAX_SAMPLES = 200
_QUANTILE = 0.95
_THRESHOLD_FACTOR = 1.3
_MIN_SAMPLES = 20
# The expected time to the first byte grows by its base value per this many tokens.
_PREFILL_UNIT_TOKENS = 1000.0


class _Quantile:
    """The threshold for one key, from a sliding window of the old version's times."""

    __slots__ = ("_adopted", "_order", "_sorted")

    def __init__(self, adopted=None):
        self._adopted = adopted
        self._order = deque()
        self._sorted = SortedList()

    def add(self, value):
        self._order.append(value)
        self._sorted.add(value)
        if len(self._order) > _MAX_SAMPLES:
            self._sorted.remove(self._order.popleft())

    def threshold(self):
        if len(self._order) < _MIN_SAMPLES:
            return self._adopted
        return self._sorted[int(len(self._sorted) * _QUANTILE)] * _THRESHOLD_FACTOR


class SlownessDetector:
    """Compares outcomes with the usual times of the old version, per key."""

    __slots__ = ("_first", "_pace", "_unstreamed")

    def __init__(self):
        self._first = {}
        self._pace = {}
        self._unstreamed = {}

    def judge(self, key, is_old, work, outcome):
        """Return whether an outcome is slow; learn from it if `is_old`.

        `key` names what is comparable, such as a route. Nothing is slow until there
        are `_MIN_SAMPLES` of the old version.
        """
        first, pace, unstreamed = _normalize(work, outcome)
        slow = False
        for table, value in (
            (self._first, first),
            (self._pace, pace),
            (self._unstreamed, unstreamed),
        ):
            if value is None:
                continue
            quantile = table.setdefault(key, _Quantile())
            threshold = quantile.threshold()
            slow = slow or (threshold is not None and value > threshold)
            if is_old:
                quantile.add(value)
        return slow

    def thresholds(self):
        """Return {key: thresholds}, a list of three, None where none is known."""
        tables = (self._first, self._pace, self._unstreamed)
        keys = {key for table in tables for key in table}
        return {
            key: [table[key].threshold() if key in table else None for table in tables]
            for key in keys
        }

    def adopt(self, thresholds):
        """Use the `thresholds` of another host until there are enough outcomes."""
        tables = (self._first, self._pace, self._unstreamed)
        for key, values in thresholds.items():
            for table, value in zip(tables, values, strict=True):
                if value is not None:
                    table[key] = _Quantile(value)


def _normalize(work, outcome):
    """Return (first-byte time, seconds per decoded token, seconds per token).

    The first-byte time is scaled by the size of the prefill. The last value is the
    total time per token of a response that was not streamed. Values that don't
    apply are None.
    """
    if outcome.first_seconds is None:
        return None, None, _unstreamed_pace(outcome)
    first = outcome.first_seconds / (1.0 + work.prefill_tokens / _PREFILL_UNIT_TOKENS)
    if outcome.total_seconds is None or outcome.decode_tokens < 2:
        return first, None, None
    decoding = outcome.total_seconds - outcome.first_seconds
    return first, decoding / (outcome.decode_tokens - 1), None


def _unstreamed_pace(outcome):
    if outcome.total_seconds is None:
        return None
    return outcome.total_seconds / max(outcome.decode_tokens, 1)
