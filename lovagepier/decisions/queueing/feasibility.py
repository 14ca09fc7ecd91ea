"""Whether a request can still meet its deadline, by what is known of the targets."""

from dataclasses import replace

__all__ = ["Feasibility"]

# Added to the expected service time when the latest start of a request is computed.
DEADLINE_MARGIN_S = 0.02
# An idle pool runs one seemingly infeasible request per period, to correct its
# estimates.
MIN_EXPLORE_PERIOD_S = 1.0


class Feasibility:
    """Sets the latest start of requests and finds those that are too late.

    `lengths` are the pool's `LengthEstimates`, `learning` its `OutcomeLearning`. With
    `heeds_soft_deadlines` requests get a `latest_on_time_start`, too.
    """

    __slots__ = (
        "_explored_at",
        "_fleet",
        "_heeds_soft_deadlines",
        "_learning",
        "_lengths",
    )

    def __init__(self, fleet, lengths, learning, heeds_soft_deadlines):
        self._fleet = fleet
        self._lengths = lengths
        self._learning = learning
        self._heeds_soft_deadlines = heeds_soft_deadlines
        self._explored_at = float("-inf")

    def set_latest_start(self, work, now):
        """Fill in the expected length of `work` and the latest times for its start."""
        if not work.decode_tokens:
            work.decode_tokens = self._lengths.expect(
                work.account, work.route, work.max_decode_tokens
            )
        work.latest_start = work.deadline - self._least_seconds(work, now)
        heeds_soft_deadline = self._heeds_soft_deadlines and work.soft_deadline
        if not heeds_soft_deadline and work.abandoned_at == float("inf"):
            return
        first_s = self._least_first_seconds(work, now)
        work.least_first_s = first_s
        work.latest_start = min(work.latest_start, work.abandoned_at - first_s)
        if heeds_soft_deadline:
            work.latest_on_time_start = work.soft_deadline - first_s

    def _least_seconds(self, work, now):
        """Return a lower bound in seconds on the service time of `work`.

        Anything without observations counts as zero. A default that is too long
        would refuse all requests of that kind, so no outcome could correct it.
        """
        if not self._learning.has_outcomes:
            return 0.0
        if not self._lengths.knows(work.account, work.route, work.max_decode_tokens):
            return DEADLINE_MARGIN_S
        return (self._fleet.best_service(work, now) or 0.0) + DEADLINE_MARGIN_S

    def _least_first_seconds(self, work, now):
        """Return a lower bound in seconds on the time from start to first byte."""
        if not self._learning.has_outcomes:
            return DEADLINE_MARGIN_S
        first = replace(work, decode_tokens=min(work.decode_tokens, 1))
        return (self._fleet.best_service(first, now) or 0.0) + DEADLINE_MARGIN_S

    def is_infeasible(self, work, is_idle, now):
        """Return whether `work` can't meet its deadline on any target.

        If the pool `is_idle`, one seemingly infeasible request per
        `MIN_EXPLORE_PERIOD_S` passes and may start until its deadline: only outcomes
        can correct estimates that have become too high.
        """
        if work.latest_start >= now:
            return False
        if work.deadline <= now or not is_idle or not self._may_explore(now):
            return True
        work.latest_start = work.deadline
        return False

    def _may_explore(self, now):
        if now - self._explored_at < MIN_EXPLORE_PERIOD_S:
            return False
        self._explored_at = now
        return True
