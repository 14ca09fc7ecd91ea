"""Sequential tests that decide when a rollout must be rolled back."""

import math

__all__ = ["RollbackTrigger", "RouteComparison"]

# Log-likelihood ratio that triggers a rollback. One test of a good version raises a
# false alarm once in e**ROLLBACK_LOG_RATIO outcomes or less often.
ROLLBACK_LOG_RATIO = 13.8
# The worse rates tested for, as fractions of the way from the base rate to 1.
ALTERNATIVE_GAPS = (0.15, 0.3, 0.7)
# The base rate is an upper bound of the old version's rate, plus `RATE_MARGIN`, but at
# least a floor and at most `MAX_BASE_RATE`. To estimate the old version's rate, the
# floor counts as the rate of `PRIOR_OUTCOMES` earlier outcomes.
FLOOR_FAILURE_RATE = 0.02
RATE_MARGIN = 0.02
PRIOR_OUTCOMES = 20.0
# Outcomes of the old version lose half of their weight in this time.
OLD_HALF_LIFE_S = 30.0
FLOOR_SLOW_RATE = 0.06
MAX_BASE_RATE = 0.9


class _Rate:
    """The old version's rate of bad outcomes, exponentially decayed over time."""

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

    def state(self):
        return [self.seen, self.bad]

    def adopt(self, state):
        self.seen, self.bad = state

    def upper(self):
        """Return the base rate: an upper bound of the rate, plus a margin."""
        weight = self.seen + PRIOR_OUTCOMES
        rate = (self.bad + self.floor * PRIOR_OUTCOMES) / weight
        spread = math.sqrt(rate * (1.0 - rate) / weight)
        return min(max(rate + spread + RATE_MARGIN, self.floor), MAX_BASE_RATE)


class _Cusum:
    """CUSUM tests for several worse rates: log-likelihood ratios floored at zero.

    Because of the floor good outcomes in the past earn no credit, so a fault that
    starts late is detected as fast as one that exists from the start.
    """

    __slots__ = ("_values",)

    def __init__(self):
        self._values = [0.0] * len(ALTERNATIVE_GAPS)

    @property
    def value(self):
        return max(self._values)

    def state(self):
        return list(self._values)

    def adopt(self, state):
        for i, value in enumerate(state[: len(self._values)]):
            self._values[i] = value

    def add(self, seen, bad, base):
        good = seen - bad
        for i, gap in enumerate(ALTERNATIVE_GAPS):
            worse = min(base + gap * (1.0 - base), 0.99)
            gain = math.log(worse / base)
            loss = math.log((1.0 - worse) / (1.0 - base))
            # Outcomes of one batch have no order. The bad ones are added last, so
            # that good ones of the same batch can't cancel them.
            level = max(0.0, self._values[i] + good * loss)
            self._values[i] = level + bad * gain


class RouteComparison:
    """Compares the new version's failures and slowness with the old version's.

    For one route, or for all of them together.
    """

    __slots__ = ("_failed", "_old_failed", "_old_slow", "_slow")

    def __init__(self):
        self._failed = _Cusum()
        self._slow = _Cusum()
        self._old_failed = _Rate(FLOOR_FAILURE_RATE)
        self._old_slow = _Rate(FLOOR_SLOW_RATE)

    def observe_old(self, counts, now):
        """Add outcomes (`Counts`) of the old version."""
        self._old_failed.add(counts.seen, counts.failed, now)
        self._old_slow.add(counts.seen, counts.slow, now)

    def observe_new(self, counts, now):
        """Add outcomes (`Counts`) of the new version."""
        self._failed.add(counts.seen, counts.failed, self._old_failed.upper())
        self._slow.add(counts.seen, counts.slow, self._old_slow.upper())

    def _tests(self):
        return self._failed, self._slow, self._old_failed, self._old_slow

    def state(self):
        """Return what was learnt, as lists of numbers for `adopt`."""
        return [test.state() for test in self._tests()]

    def adopt(self, state):
        """Replace what was learnt by another host's `state`."""
        for test, values in zip(self._tests(), state, strict=True):
            test.adopt(values)

    def suspicion(self):
        """Return (level, reason); a level of 1.0 or more triggers a rollback."""
        failed = self._failed.value / ROLLBACK_LOG_RATIO
        slow = self._slow.value / ROLLBACK_LOG_RATIO
        if failed >= slow:
            return failed, "failures"
        return slow, "slowness"


class RollbackTrigger:
    """Decides whether one rollout must be rolled back; once set it stays set.

    `cause` is the reason, None until it is set.
    """

    __slots__ = ("_all", "_routes", "cause")

    def __init__(self):
        self._routes = {}
        self._all = RouteComparison()
        self.cause = None

    @property
    def is_set(self):
        """Whether the new version was found bad."""
        return self.cause is not None

    def set(self, cause):
        """Set the trigger for a cause found by a peer or an operator.

        The first cause stays.
        """
        if self.cause is None:
            self.cause = cause

    def observe(self, route, is_new, counts, now):
        """Add merged outcomes; return the cause if they set the trigger."""
        test = self._routes.setdefault(route, RouteComparison())
        for each in (test, self._all):
            if is_new:
                each.observe_new(counts, now)
            else:
                each.observe_old(counts, now)
        if self.cause is None and is_new:
            self.cause = self._find_cause(route, test)
            return self.cause
        return None

    def _find_cause(self, route, test):
        for scope, each in ((f"route {route}", test), ("all routes", self._all)):
            level, reason = each.suspicion()
            if level >= 1.0:
                return f"{reason} on {scope}"
        return None

    def state(self):
        """Return {route: `RouteComparison.state`}, "" for all routes together."""
        return {
            "": self._all.state(),
            **{route: test.state() for route, test in self._routes.items()},
        }

    def adopt(self, state):
        """Continue from the `state` of another host, which observed more."""
        for route, values in state.items():
            if route:
                self._routes.setdefault(route, RouteComparison()).adopt(values)
            else:
                self._all.adopt(values)

    def suspicion(self):
        """Return the highest suspicion of any route; 1.0 or more sets the trigger."""
        levels = [test.suspicion()[0] for test in self._routes.values()]
        return max(levels, default=0.0)
