"""Sequential tests that decide when a rollout must be rolled back."""

import math

from lovagepier.decisions.learning.base_rates import BaseRate, upper_rate
from lovagepier.decisions.rollouts.cusum import Cusum, gains
from lovagepier.decisions.rollouts.evidence import Counts
from lovagepier.decisions.rollouts.stratified import StratifiedTest

__all__ = ["RollbackTrigger", "RouteComparison"]

# Log-likelihood ratio that triggers a rollback. One test of a good version raises a
# false alarm once in e**ROLLBACK_LOG_RATIO outcomes or less often.
ROLLBACK_LOG_RATIO = 13.8
FLOOR_FAILURE_RATE = 0.02
FLOOR_SLOW_RATE = 0.06
# A machine or network under load slows both versions at once. So slowness of the new
# version counts against the old version's outcomes of the same time, once there are so
# many of them. Without them it counts after this time, or this many outcomes.
MIN_CONTROL_OUTCOMES = 8
MAX_CONTROL_WAIT_S = 8.0
UNCHECKED_OUTCOMES = 18
# The old version is in use if its last outcome is no older than this. Where it comes
# into use again, outcomes of requests sent before that are left out for a time.
MAX_CONTROL_AGE_S = 1.0
CONTROL_SETTLE_S = 1.5
# Weight of the floor in the old version's rate at that time.
CONTROL_PRIOR_OUTCOMES = 8.0
# From this part of the ratio on the new version was slow before its load grew.
MIN_SLOW_BEFORE = 0.3
# Suspicion while it is not known whether the old version is slow, too.
UNCHECKED_SUSPICION = 0.7


class _Episode:
    """The outcomes of both versions since the new version's slowness began.

    While the new version is not suspected `began_at` is None. `new` and `old` are the
    outcomes that can be compared, those from `compares_from` on; `all_new` are all of
    the new version. `is_adopted` tells that the times are another host's, relative to
    its last outcome.
    """

    __slots__ = (
        "all_new",
        "began_at",
        "compares_from",
        "is_adopted",
        "last_at",
        "last_old_at",
        "new",
        "old",
        "unchecked_outcomes",
    )

    def __init__(self, unchecked_outcomes):
        self.unchecked_outcomes = unchecked_outcomes
        self.last_old_at = float("-inf")
        self._end()

    def _end(self):
        self.is_adopted = False
        self.began_at = None
        self.last_at = 0.0
        self.compares_from = math.inf
        self.old = self.new = self.all_new = Counts()

    def add_old(self, counts, now):
        self.last_old_at = now
        if self.began_at is None:
            return
        self._set_clock(now)
        self.compares_from = min(self.compares_from, now + CONTROL_SETTLE_S)
        self.last_at = now
        if now >= self.compares_from:
            self.old = self.old.plus(counts)

    def add_new(self, counts, is_suspected, now):
        if not is_suspected:
            self._end()
            return
        if self.began_at is None:
            self.began_at = now
            if now - self.last_old_at <= MAX_CONTROL_AGE_S:
                self.compares_from = now
        self._set_clock(now)
        self.last_at = now
        self.all_new = self.all_new.plus(counts)
        if now >= self.compares_from:
            self.new = self.new.plus(counts)

    def _set_clock(self, now):
        if self.is_adopted:
            self.began_at += now
            self.compares_from += now
            self.is_adopted = False

    def is_compared(self):
        """Return whether there are enough outcomes of the old version."""
        return self.old.seen >= MIN_CONTROL_OUTCOMES

    def waits(self):
        """Return whether more outcomes of the old version are needed."""
        return not (
            self.is_compared()
            or self.last_at - self.began_at >= MAX_CONTROL_WAIT_S
            or self.all_new.seen >= self.unchecked_outcomes
        )

    def level(self, base):
        """Return the log-likelihood ratio of the new version's slowness.

        `base` is the base rate before the episode.
        """
        new = self.all_new
        if self.is_compared():
            new = self.new
            control = upper_rate(
                self.old.seen, self.old.slow, FLOOR_SLOW_RATE, CONTROL_PRIOR_OUTCOMES
            )
            base = max(base, control)
        return max(
            new.slow * gain + (new.seen - new.slow) * loss for gain, loss in gains(base)
        )

    def state(self):
        if self.began_at is None:
            return []
        # Times are relative to the last outcome; no comparison yet is a None.
        compares_from = self.compares_from - self.last_at
        return [
            self.began_at - self.last_at,
            None if math.isinf(compares_from) else compares_from,
            list(self.all_new),
            list(self.new),
            list(self.old),
        ]

    def adopt(self, state):
        self._end()
        if state:
            self.is_adopted = True
            self.began_at, compares_from, *counts = state
            if compares_from is not None:
                self.compares_from = compares_from
            self.all_new, self.new, self.old = (Counts(*each) for each in counts)


class RouteComparison:
    """Compares the new version's failures and slowness with the old version's.

    For one route, or for all of them together.
    """

    __slots__ = (
        "_episode",
        "_failed",
        "_failed_alike",
        "_old_failed",
        "_old_slow",
        "_slow",
        "_slow_alike",
    )

    def __init__(self, unchecked_outcomes=UNCHECKED_OUTCOMES):
        self._episode = _Episode(unchecked_outcomes)
        self._failed = Cusum()
        self._slow = Cusum()
        self._old_failed = BaseRate(FLOOR_FAILURE_RATE)
        self._old_slow = BaseRate(FLOOR_SLOW_RATE)
        self._failed_alike = StratifiedTest()
        self._slow_alike = StratifiedTest()

    def observe_old(self, counts, now):
        """Add outcomes (`Counts`) of the old version."""
        self._old_failed.add(counts.seen, counts.failed, now)
        self._old_slow.add(counts.seen, counts.slow, now)
        self._episode.add_old(counts, now)
        self._add_alike(False, counts, now)

    def observe_new(self, counts, now):
        """Add outcomes (`Counts`) of the new version."""
        self._failed.add(counts.seen, counts.failed, self._old_failed.upper())
        self._slow.add(counts.seen, counts.slow, self._old_slow.upper())
        self._episode.add_new(counts, self._slow.value > 0.0, now)
        self._add_alike(True, counts, now)

    def _add_alike(self, is_new, counts, now):
        self._failed_alike.add(is_new, counts.seen, counts.failed, now)
        self._slow_alike.add(is_new, counts.seen, counts.slow, now)

    def score(self):
        """Return the highest `StratifiedTest.score` of failures and slowness."""
        return max(self._failed_alike.score(), self._slow_alike.score())

    def _tests(self):
        return (
            self._failed,
            self._slow,
            self._old_failed,
            self._old_slow,
            self._episode,
            self._failed_alike,
            self._slow_alike,
        )

    def state(self):
        """Return what was learnt, as lists of numbers for `adopt`."""
        return [test.state() for test in self._tests()]

    def adopt(self, state):
        """Replace what was learnt by another host's `state`."""
        for test, values in zip(self._tests(), state, strict=False):
            test.adopt(values)

    def suspicion(self):
        """Return (level, reason); a level of 1.0 or more triggers a rollback."""
        failed = self._failed.value / ROLLBACK_LOG_RATIO
        slow = self._slow_level() / ROLLBACK_LOG_RATIO
        if failed >= slow:
            return failed, "failures"
        return slow, "slowness"

    def is_slow(self):
        """Return whether the new version is suspected to be slow."""
        return self._slow_level() >= MIN_SLOW_BEFORE * ROLLBACK_LOG_RATIO

    def _slow_level(self):
        level = self._slow.value
        if self._episode.began_at is None:
            return level
        level = min(level, max(self._episode.level(self._old_slow.upper()), 0.0))
        if self._episode.waits():
            level = min(level, UNCHECKED_SUSPICION * ROLLBACK_LOG_RATIO)
        return level


class RollbackTrigger:
    """Decides whether one rollout must be rolled back; once set it stays set.

    `cause` is the reason, None until it is set. If the old version gets more requests
    as the suspicion rises, `unchecked_outcomes` may be infinite.
    """

    __slots__ = ("_all", "_routes", "_unchecked_outcomes", "cause")

    def __init__(self, unchecked_outcomes=UNCHECKED_OUTCOMES):
        self._unchecked_outcomes = unchecked_outcomes
        self._routes = {}
        self._all = RouteComparison(unchecked_outcomes)
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
        test = self._route(route)
        for each in (test, self._all):
            if is_new:
                each.observe_new(counts, now)
            else:
                each.observe_old(counts, now)
        if self.cause is None and is_new:
            self.cause = self._find_cause(route, test)
            return self.cause
        return None

    def is_slow(self, route):
        """Return whether the new version is suspected to be slow on a route, or on all.

        If so, outcomes that are slow at a load that was not compared count: their
        slowness did not begin with the load.
        """
        test = self._routes.get(route)
        return self._all.is_slow() or (test is not None and test.is_slow())

    def _route(self, route):
        test = self._routes.get(route)
        if test is None:
            test = self._routes[route] = RouteComparison(self._unchecked_outcomes)
        return test

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
                self._route(route).adopt(values)
            else:
                self._all.adopt(values)

    def suspicion(self):
        """Return the highest suspicion of any route; 1.0 or more sets the trigger."""
        levels = [test.suspicion()[0] for test in self._routes.values()]
        return max(levels, default=0.0)

    def score(self):
        """Return the highest `RouteComparison.score`."""
        return max(test.score() for test in (self._all, *self._routes.values()))

    def overall_suspicion(self):
        """Return `suspicion`, or that of all routes together if it is higher."""
        return max(self.suspicion(), self._all.suspicion()[0])
