"""Detection of outcomes that are slow compared with the old version."""

from collections import deque
from dataclasses import replace

from sortedcontainers import SortedList

__all__ = ["USUAL_QUANTILE", "SlownessDetector"]

# An outcome is slow above `_THRESHOLD_FACTOR` times a quantile of the old version's
# last `_MAX_SAMPLES` times.
USUAL_QUANTILE = 0.95
_MAX_SAMPLES = 200
_THRESHOLD_FACTOR = 1.3
_MIN_SAMPLES = 20
# Targets are unlike, and the fastest of them get most requests. The usual time of a
# target of the old version, as a multiple of the median of all, is this quantile of its
# last values.
_TARGET_QUANTILE = 0.75
_MAX_TARGET_SAMPLES = 100
_MIN_TARGET_SAMPLES = 2
# A target may be as slow as this quantile of the old version's targets usually are, but
# not slower than `_LOAD_FACTOR` times this quantile of its own times. Load slows a
# target by less.
_SPREAD_QUANTILE = 0.75
_OWN_QUANTILE = 0.25
_LOAD_FACTOR = 1.5
_MAX_TARGETS = 128
# Keys whose old times are kept, those used last.
_MAX_KEYS = 512
# One slow target of several is not a fault of its version. Slow outcomes count if at
# least this fraction of those at the other targets was slow, or while these are too few
# to show it. The outcomes of a target lose this fraction of their weight with each new
# one.
_MIN_OTHERS_SLOW = 0.05
_MIN_OTHERS_SEEN = 6.0
_WEIGHT_LOSS = 0.1
# What is compared, see `_normalize`.
MEASURES = ("first", "pace", "unstreamed")
# The expected time to the first byte grows by its base value per this many tokens.
_PREFILL_UNIT_TOKENS = 1000.0


class _Window:
    """The last values of a series, with their quantiles."""

    __slots__ = ("_order", "_size", "_sorted")

    def __init__(self, size):
        self._size = size
        self._order = deque()
        self._sorted = SortedList()

    def __len__(self):
        return len(self._order)

    def add(self, value):
        self._order.append(value)
        self._sorted.add(value)
        if len(self._order) > self._size:
            self._sorted.remove(self._order.popleft())

    def quantile(self, fraction):
        return self._sorted[int(len(self._sorted) * fraction)]


class _Baseline:
    """The old version's times for one key."""

    __slots__ = ("_adopted", "_window")

    def __init__(self, adopted=None):
        self._adopted = adopted
        self._window = _Window(_MAX_SAMPLES)

    def add(self, value):
        self._window.add(value)

    def median(self):
        return self._window.quantile(0.5) if len(self._window) >= _MIN_SAMPLES else None

    def threshold(self, quantile, allowance):
        """Return the threshold, None if it is not known.

        `allowance` is how much slower than the median a target may usually be.
        """
        median = self.median()
        if median is None:
            return self._adopted
        usual = max(self._window.quantile(quantile), median * allowance)
        return usual * _THRESHOLD_FACTOR


class _Spread:
    """The times of targets as multiples of the old version's median."""

    __slots__ = ("_old_usual", "_windows")

    def __init__(self):
        self._windows = {}
        self._old_usual = {}

    def add(self, target, is_old, ratio):
        # The targets that were used last are kept.
        window = self._windows.pop(target, None) or _Window(_MAX_TARGET_SAMPLES)
        self._windows[target] = window
        window.add(ratio)
        if is_old and len(window) >= _MIN_TARGET_SAMPLES:
            self._old_usual[target] = window.quantile(_TARGET_QUANTILE)
        if len(self._windows) > _MAX_TARGETS:
            oldest = next(iter(self._windows))
            del self._windows[oldest]
            self._old_usual.pop(oldest, None)

    def allowance(self, target):
        """Return how much slower than the median a target may usually be."""
        usual = sorted(self._old_usual.values())
        if not usual:
            return 1.0
        spread = usual[int(len(usual) * _SPREAD_QUANTILE)]
        own = self._windows.get(target, ())
        if len(own) < _MIN_TARGET_SAMPLES:
            return spread
        return min(spread, own.quantile(_OWN_QUANTILE) * _LOAD_FACTOR)


class _NewTargets:
    """How often the outcomes at each target of the new version were slow."""

    __slots__ = ("_weights",)

    def __init__(self):
        # {target: (weight of its outcomes, weight of the slow ones)}
        self._weights = {}

    def add(self, target, slow):
        """Add an outcome; return whether it is slow at this target only."""
        seen, seen_slow = self._weights.pop(target, (0.0, 0.0))
        others = list(self._weights.values())
        kept = 1.0 - _WEIGHT_LOSS
        self._weights[target] = (seen * kept + 1.0, seen_slow * kept + slow)
        if len(self._weights) > _MAX_TARGETS:
            del self._weights[next(iter(self._weights))]
        others_seen = sum(weight for weight, _ in others)
        others_slow = sum(weight for _, weight in others)
        if others_seen < _MIN_OTHERS_SEEN:
            return False
        return slow and others_slow < others_seen * _MIN_OTHERS_SLOW


class SlownessDetector:
    """Compares outcomes with the usual times of the old version.

    A `key` names what is comparable, such as a route. Keys of the same `group` have the
    same targets. With a lower `quantile` of the old version's times as the bar, a slow
    version shows in fewer outcomes, but so does a higher load.
    """

    __slots__ = ("_baselines", "_new_targets", "_quantile", "_spreads")

    def __init__(self, quantile=USUAL_QUANTILE):
        self._quantile = quantile
        self._baselines = {measure: {} for measure in MEASURES}
        self._new_targets = {}
        self._spreads = {}

    def judge(self, key, is_old, work, outcome, group=""):
        """Return whether an outcome is slow; learn from it if `is_old`.

        Nothing is slow until there are `_MIN_SAMPLES` of the old version. Returns None
        for an outcome that says nothing: a slow one if only one target of the new
        version shows any, and a request that was cancelled before it took too long.
        """
        if outcome.status == "cancelled":
            values = self._least_values(key, group, work, outcome)
            if not values:
                return None
        else:
            values = _normalize(work, outcome)
        slow = False
        for measure, value in values:
            threshold = self._threshold(measure, key, group, outcome.target)
            slow = slow or (threshold is not None and value > threshold)
            self._learn(measure, key, group, is_old, outcome.target, value)
        if is_old:
            return slow
        targets = self._new_targets.setdefault(group, _NewTargets())
        return None if targets.add(outcome.target, slow) else slow

    def is_usual_known(self, key, work, outcome, group=""):
        """Return whether `judge` can compare an outcome with the old version's."""
        values = _normalize(work, outcome)
        if outcome.status == "cancelled":
            values += _normalize(work, _as_first(outcome))
        return any(
            self._threshold(measure, key, group, outcome.target) is not None
            for measure, _ in values
        )

    def _least_values(self, key, group, work, outcome):
        """Return [(measure, value)] of a cancelled request that is slow already.

        It would have taken longer than until it was cancelled. Below the threshold
        that is consistent with both a usual and a slow response.
        """
        if outcome.first_seconds is not None or outcome.total_seconds is None:
            return []
        as_first = _normalize(work, _as_first(outcome))
        for values in (as_first, _normalize(work, outcome)):
            for measure, value in values:
                threshold = self._threshold(measure, key, group, outcome.target)
                if threshold is not None:
                    return values if value > threshold else []
        return []

    def _threshold(self, measure, key, group, target):
        baseline = self._baselines[measure].get(key)
        if baseline is None:
            return None
        spread = self._spreads.get((measure, group))
        allowance = 1.0 if spread is None else spread.allowance(target)
        return baseline.threshold(self._quantile, allowance)

    def _learn(self, measure, key, group, is_old, target, value):
        baselines = self._baselines[measure]
        baseline = baselines.pop(key, None) or _Baseline()
        baselines[key] = baseline
        if len(baselines) > _MAX_KEYS:
            del baselines[next(iter(baselines))]
        if is_old:
            baseline.add(value)
        median = baseline.median()
        if median:
            spread = self._spreads.setdefault((measure, group), _Spread())
            spread.add(target, is_old, value / median)

    def excess(self, key, work, outcome, group=""):
        """Return {measure: [value, threshold]} of what is slow about an outcome."""
        rows = {}
        for measure, value in _normalize(work, outcome):
            threshold = self._threshold(measure, key, group, outcome.target)
            if threshold is not None and value > threshold:
                rows[measure] = [round(value, 5), round(threshold, 5)]
        return rows

    def thresholds(self, group=""):
        """Return {key: thresholds}, one for each measure, None where none is known."""
        keys = {key for table in self._baselines.values() for key in table}
        return {
            key: [self._threshold(measure, key, group, "") for measure in MEASURES]
            for key in keys
        }

    def adopt(self, thresholds):
        """Use the `thresholds` of another host until there are enough outcomes."""
        for key, values in thresholds.items():
            for measure, value in zip(MEASURES, values, strict=True):
                if value is not None:
                    self._baselines[measure][key] = _Baseline(value)


def _as_first(outcome):
    """Return an outcome whose first byte came when the request ended."""
    return replace(outcome, first_seconds=outcome.total_seconds, total_seconds=None)


def _normalize(work, outcome):
    """Return (measure, value) pairs of an outcome.

    "first" is the time to the first byte, scaled by the size of the prefill, "pace"
    the seconds per decoded token after it, and "unstreamed" the total time per token of
    a response that was not streamed.
    """
    if outcome.first_seconds is None:
        if outcome.total_seconds is None:
            return []
        tokens = max(outcome.decode_tokens, 1)
        return [("unstreamed", outcome.total_seconds / tokens)]
    scale = 1.0 + work.prefill_tokens / _PREFILL_UNIT_TOKENS
    values = [("first", outcome.first_seconds / scale)]
    if outcome.total_seconds is not None and outcome.decode_tokens >= 2:
        decoding = outcome.total_seconds - outcome.first_seconds
        values.append(("pace", decoding / (outcome.decode_tokens - 1)))
    return values
