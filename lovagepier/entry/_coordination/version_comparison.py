"""What outcomes show about the versions of a service, compared and by themselves."""

import math
from collections import deque

from lovagepier.decisions.rollouts.evidence import Counts
from lovagepier.decisions.rollouts.rollback import RollbackTrigger
from lovagepier.decisions.rollouts.rollout_plan import SLOW_QUANTILE
from lovagepier.decisions.rollouts.slowness import SlownessDetector
from lovagepier.decisions.rollouts.stratified import StratifiedTest

__all__ = ["VersionComparison"]

_FAILED_STATUSES = ("failed", "vanished", "late")
# How long a cancelled request took is known to be at least the time until then.
_TIMED_STATUSES = ("ok", "cancelled")
# Outcomes of the new version that wait until it is known what is usual.
_MAX_UNJUDGED = 64


class VersionComparison:
    """Judges outcomes of both versions of a service and compares them.

    Before a rollout there are only those of the version in service. `left` compares how
    often callers leave before it can be said whether a response is slow: from a slow
    version more of them do.
    """

    __slots__ = ("_unjudged", "left", "slowness", "trigger")

    def __init__(self):
        self.slowness = SlownessDetector(SLOW_QUANTILE)
        self.trigger = RollbackTrigger()
        self.left = StratifiedTest()
        self._unjudged = deque(maxlen=_MAX_UNJUDGED)

    def observe(self, progress, is_new, work, outcome, now):
        """Record an outcome, also in the rollout's `progress` if that is not None.

        Return the cause of a rollback if the new version was found to be bad.
        """
        failed = outcome.status in _FAILED_STATUSES
        if not failed and outcome.status not in _TIMED_STATUSES:
            return None
        if progress is not None and outcome.status != "cancelled":
            progress.count_outcome(is_new, failed, outcome.total_seconds)
        if is_new and not failed and not self._knows(work, outcome):
            self._unjudged.append((work, outcome))
            return None
        cause = self._judge(is_new, failed, work, outcome, now)
        if not is_new:
            cause = self._judge_waiting(work.route, now)
        return cause

    def score(self):
        """Return by how many standard deviations the new version is worse.

        Outcomes of both versions are compared within short strata of time.
        """
        return max(self.trigger.score(), self.left.score())

    def adopt(self, thresholds, comparisons, left=None):
        """Adopt the states of another host's comparison.

        Raise TypeError, ValueError, LookupError or AttributeError and change nothing if
        they have another shape.
        """
        trial = VersionComparison()
        trial._replace(thresholds, comparisons, left)
        for each in (trial.score(), trial.trigger.overall_suspicion()):
            if not math.isfinite(each):
                raise ValueError("a comparison is not finite")
        self._replace(thresholds, comparisons, left)

    def _replace(self, thresholds, comparisons, left):
        self.slowness.adopt(thresholds)
        self.trigger.adopt(comparisons)
        if left is not None:
            self.left.adopt(left)

    def _knows(self, work, outcome):
        return self.slowness.is_usual_known(work.route, work, outcome)

    def _judge(self, is_new, failed, work, outcome, now):
        slow = not failed and self.slowness.judge(work.route, not is_new, work, outcome)
        is_left = slow is None and outcome.status == "cancelled"
        self.left.add(is_new, 1, int(is_left), now)
        if slow is None:
            return None
        counts = Counts(1, int(failed), int(slow))
        return self.trigger.observe(work.route, is_new, counts, now)

    def _judge_waiting(self, route, now):
        """Judge the outcomes of a route that came before its usual times were known."""
        waiting = [item for item in self._unjudged if item[0].route == route]
        cause = None
        for work, outcome in waiting:
            if self._knows(work, outcome):
                self._unjudged.remove((work, outcome))
                cause = self._judge(True, False, work, outcome, now) or cause
        return cause
