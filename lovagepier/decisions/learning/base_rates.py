"""The rates of bad outcomes that a new version is compared with."""

import math

__all__ = ["BaseRate", "upper_rate"]

# The base rate is an upper bound of the old version's rate, plus `RATE_MARGIN`, but at
# least a floor and at most `MAX_BASE_RATE`. To estimate the old version's rate, the
# floor counts as the rate of `PRIOR_OUTCOMES` earlier outcomes.
RATE_MARGIN = 0.02
PRIOR_OUTCOMES = 20.0
# If most outcomes were bad, and at least so many, the floor counts less: the requests
# of a route may always fail.
MIN_MOSTLY_BAD = 3.0
MOSTLY_BAD_PRIOR_OUTCOMES = 1.0
# Outcomes of the old version lose half of their weight in this time.
OLD_HALF_LIFE_S = 30.0
MAX_BASE_RATE = 0.9


class BaseRate:
    """The old version's rate of bad outcomes, exponentially decayed over time."""

    __slots__ = ("_updated_at", "bad", "floor", "seen")

    def __init__(self, floor):
        self.floor = floor
        self.bad = 0.0
        self.seen = 0.0
        self._updated_at = None

    def add(self, seen, bad, now):
        """Add outcomes at the time `now` in seconds."""
        if self._updated_at is not None and now > self._updated_at:
            keep = 0.5 ** ((now - self._updated_at) / OLD_HALF_LIFE_S)
            self.seen *= keep
            self.bad *= keep
        self._updated_at = now
        self.seen += seen
        self.bad += bad

    def state(self):
        """Return the decayed numbers, for `adopt`."""
        return [self.seen, self.bad]

    def adopt(self, state):
        """Continue from the `state` of another host."""
        self.seen, self.bad = state

    def upper(self):
        """Return the base rate: an upper bound of the rate, plus a margin."""
        prior = PRIOR_OUTCOMES
        if self.bad >= MIN_MOSTLY_BAD and self.bad > self.seen / 2.0:
            prior = MOSTLY_BAD_PRIOR_OUTCOMES
        return upper_rate(self.seen, self.bad, self.floor, prior)


def upper_rate(seen, bad, floor, prior):
    """Return an upper bound of a rate, plus a margin.

    The `floor` counts as the rate of `prior` earlier outcomes.
    """
    weight = seen + prior
    rate = (bad + floor * prior) / weight
    spread = math.sqrt(rate * (1.0 - rate) / weight)
    return min(max(rate + spread + RATE_MARGIN, floor), MAX_BASE_RATE)
