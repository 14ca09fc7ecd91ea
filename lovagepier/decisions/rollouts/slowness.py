"""Detection of outcomes that are slow compared with the old version."""

from dataclasses import replace
from enum import StrEnum

from lovagepier.decisions.learning.old_times import Baseline, Window

__all__ = ["USUAL_QUANTILE", "Pace", "SlownessDetector"]

# The quantile of the old version's times that an outcome is compared with.
USUAL_QUANTILE = 0.95
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


class Pace(StrEnum):
    """How an outcome compares with the old version's.

    A strained one is slow at a higher load than the old version's times are known for.
    """

    USUAL = "usual"
    SLOW = "slow"
    STRAINED = "strained"


class _Spread:
    """The times of targets as multiples of the old version's median."""

    __slots__ = ("_old_usual", "_windows")

    def __init__(self):
        self._windows = {}
        self._old_usual = {}

    def add(self, target, is_old, ratio):
        # The targets that were used last are kept.
        window = self._windows.pop(target, None) or Window(_MAX_TARGET_SAMPLES)
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

        Nothing is slow until there are enough of the old version. Returns None
        for an outcome that says nothing: a slow one if only one target of the new
        version shows any, and a request that was cancelled before it took too long.
        """
        pace = self.classify(key, is_old, work, outcome, group)
        return None if pace is None else pace is not Pace.USUAL

    def classify(self, key, is_old, work, outcome, group="", load=None):
        """Return the `Pace` of an outcome, None where `judge` does.

        `load` is that of its target, see `TargetLoads`. Without it no outcome is
        strained.
        """
        if outcome.status == "cancelled":
            values = self._least_values(key, group, work, outcome)
            if not values:
                return None
        else:
            values = _normalize(work, outcome)
        slow = []
        for measure, value in values:
            threshold = self._threshold(measure, key, group, outcome.target, load)
            if threshold is not None and value > threshold:
                slow.append(measure)
            self._learn(measure, key, group, is_old, outcome.target, value, load)
        if not is_old:
            targets = self._new_targets.setdefault(group, _NewTargets())
            if targets.add(outcome.target, bool(slow)):
                return None
        if not slow:
            return Pace.USUAL
        past = all(self._baselines[each][key].is_past(load) for each in slow)
        return Pace.STRAINED if past and not is_old else Pace.SLOW

    def compared_load(self, key):
        """Return the highest load that times of a key are known for, or None."""
        loads = [each.compared_load() for each in self._of(key)]
        return max((load for load in loads if load is not None), default=None)

    def is_past_compared(self, key, load):
        """Return whether a load is higher than those that times are known for.

        False if either is not known.
        """
        known = [each for each in self._of(key) if each.compared_load() is not None]
        return bool(known) and all(each.is_past(load) for each in known)

    def _of(self, key):
        tables = (self._baselines[measure] for measure in MEASURES)
        return [table[key] for table in tables if key in table]

    def begin(self, group):
        """Begin a comparison: only loads from now on are compared with.

        The keys of a group are (group, route).
        """
        for baselines in self._baselines.values():
            for key, baseline in baselines.items():
                if key[0] == group:
                    baseline.forget_busiest()

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

    def _threshold(self, measure, key, group, target, load=None):
        baseline = self._baselines[measure].get(key)
        if baseline is None:
            return None
        spread = self._spreads.get((measure, group))
        allowance = 1.0 if spread is None else spread.allowance(target)
        return baseline.threshold(allowance, load)

    def _learn(self, measure, key, group, is_old, target, value, load):
        baselines = self._baselines[measure]
        baseline = baselines.pop(key, None) or Baseline(self._quantile)
        baselines[key] = baseline
        if len(baselines) > _MAX_KEYS:
            del baselines[next(iter(baselines))]
        if is_old:
            baseline.add(value, load)
        median = baseline.median()
        if median:
            spread = self._spreads.setdefault((measure, group), _Spread())
            spread.add(target, is_old, value / median)

    def excess(self, key, work, outcome, group="", load=None):
        """Return {measure: [value, threshold]} of what is slow about an outcome."""
        rows = {}
        for measure, value in _normalize(work, outcome):
            threshold = self._threshold(measure, key, group, outcome.target, load)
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
                    self._baselines[measure][key] = Baseline(self._quantile, value)


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
