"""A sequential test that tells a bad version from a noisy one."""

import math

__all__ = ["RollbackTrigger", "RouteComparison"]

# A good version raises one statistic in e**THRESHOLD outcomes or more.
THRESHOLD = 13.8
ALTERNATIVE_GAPS = (0.15, 0.3, 0.7)
FLOOR_FAILURE_RATE = 0.02
RATE_MARGIN = 0.02
PRIOR_OUTCOMES = 20.0
OLD_HALF_LIFE_S = 30.0
FLOOR_SLOW_RATE = 0.06
MAX_BASE_RATE = 0.9


class _Rate:
    """A decayed rate of the old version with a cautious upper bound."""

    __slots__ = ("_updated_at", "bad", "floor", "seen")

    def __init__(self, floor):
        self.floor = floor
        self.bad = 0.0
        self.seen = 0.0
        self._updated_at = None

    def add(self, seen, bad, now):
        if self._updated_at is not None and now > self._updated_at:
            keep = 0.5 ** ((now - self._updated_at) / OLD_HALF_LIFE_S)
            self.seen *= keep
            self.bad *= keep
        self._updated_at = now
        self.seen += seen
        self.bad += bad

    def upper(self):
        weight = self.seen + PRIOR_OUTCOMES
        rate = (self.bad + self.floor * PRIOR_OUTCOMES) / weight
        spread = math.sqrt(rate * (1.0 - rate) / weight)
        return min(max(rate + spread + RATE_MARGIN, self.floor), MAX_BASE_RATE)


class _Cusum:
    """Log-likelihood ratios of several worse rates, each floored at zero.

    The floor forgets a good past, so a fault that starts late shows as soon
    as one that was there from the start.
    """

    __slots__ = ("_values",)

    def __init__(self):
        self._values = [0.0] * len(ALTERNATIVE_GAPS)

    @property
    def value(self):
        return max(self._values)

    def add(self, seen, bad, base):
        good = seen - bad
        for i, gap in enumerate(ALTERNATIVE_GAPS):
            worse = min(base + gap * (1.0 - base), 0.99)
            gain = math.log(worse / base)
            loss = math.log((1.0 - worse) / (1.0 - base))
            # The rows of one batch have no order; bad ones count last, so
            # that good ones of the same batch can't hide behind the floor.
            level = max(0.0, self._values[i] + good * loss)
            self._values[i] = level + bad * gain


class RouteComparison:
    """The tests of one version on one route against the old version."""

    __slots__ = ("_failed", "_old_failed", "_old_slow", "_slow")

    def __init__(self):
        self._failed = _Cusum()
        self._slow = _Cusum()
        self._old_failed = _Rate(FLOOR_FAILURE_RATE)
        self._old_slow = _Rate(FLOOR_SLOW_RATE)

    def observe_old(self, counts, now):
        """Fold in outcomes of the old version."""
        self._old_failed.add(counts.seen, counts.failed, now)
        self._old_slow.add(counts.seen, counts.slow, now)

    def observe_new(self, counts, now):
        """Fold in outcomes of the new version."""
        self._failed.add(counts.seen, counts.failed, self._old_failed.upper())
        self._slow.add(counts.seen, counts.slow, self._old_slow.upper())

    def suspicion(self):
        """Return (level, reason); level 1.0 and above sets the brake."""
        failed = self._failed.value / THRESHOLD
        slow = self._slow.value / THRESHOLD
        if failed >= slow:
            return failed, "failures"
        return slow, "slowness"


class RollbackTrigger:
    """All tests of one move; once set it stays set."""

    __slots__ = ("_all", "_routes", "cause")

    def __init__(self):
        self._routes = {}
        self._all = RouteComparison()
        self.cause = None

    @property
    def is_set(self):
        """Whether the version has been judged bad."""
        return self.cause is not None

    def set(self, cause):
        """Set the brake, as told by a peer or an operator."""
        if self.cause is None:
            self.cause = cause

    def observe(self, route, is_new, counts, now):
        """Fold in merged outcomes; return the cause if this sets the brake."""
        test = self._routes.setdefault(route, RouteComparison())
        for each in (test, self._all):
            if is_new:
                each.observe_new(counts, now)
            else:
                each.observe_old(counts, now)
        if self.cause is None and is_new:
            self.cause = self._judge(route, test)
            return self.cause
        return None

    def _judge(self, route, test):
        for place, each in ((f"route {route}", test), ("all routes", self._all)):
            level, reason = each.suspicion()
            if level >= 1.0:
                return f"{reason} on {place}"
        return None

    def suspicion(self):
        """Return the highest suspicion of any route, 1.0 being the brake."""
        levels = [test.suspicion()[0] for test in self._routes.values()]
        return max(levels, default=0.0)
