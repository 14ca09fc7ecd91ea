"""Rate limits that targets state for the requests of all entry hosts together."""

import math

__all__ = ["RateLimit"]

# Tokens are kept for requests that start together: what accrues in this time, and at
# least so many that the coordinator of most hosts holds a whole one.
BURST_S = 0.5
MIN_BURST = 2.0
# Coordinators with small shares of one limit hold a whole token each if no more than
# this many, plus what accrues in `BURST_S`, come together.
MAX_SPLIT_BURST = 4.0
# Lower limits are raised to this rate per second: only the response to a request can
# lift a limit.
MIN_RATE = 0.1
# Tolerance for sums of floating-point tokens.
EPSILON = 1e-9


class RateLimit:
    """A token bucket for the requests per second that one target takes.

    `rate` is the limit in force, infinite if the target states none; `is_stated` tells
    whether it does. `since` is the time at which that took effect. Of a limit that
    several coordinators use, each has its `share` of rate and burst. A bucket starts
    empty: requests that were started before, also by another coordinator, are still on
    their way.

    Over any time T a target gets at most `rate` x (T + `BURST_S`) + `MAX_SPLIT_BURST`
    requests from all coordinators. One with less than a whole token does not use it.
    """

    __slots__ = (
        "_level",
        "_share",
        "_stated_at",
        "_updated_at",
        "is_stated",
        "rate",
        "since",
    )

    def __init__(self, share=1.0):
        self.rate = math.inf
        self.is_stated = False
        self.since = float("-inf")
        self._share = share
        self._level = 0.0
        self._stated_at = float("-inf")
        self._updated_at = 0.0

    def state(self, rate, started_at, now):
        """Apply the limit that a response stated; return whether that changed it.

        `started_at` is when the request of that response was started. A response to a
        request that was started before the limit in force was last stated may be
        older than that, so it can lower the limit but not raise or lift it.
        """
        if rate > self.rate and started_at < self._stated_at:
            return False
        if rate < math.inf:
            self._stated_at = now
        return self.adopt(rate, now)

    def adopt(self, rate, now):
        """Apply a limit as another coordinator had it; return whether it changed."""
        if rate == self.rate:
            return False
        self._refill(now)
        if not self.is_stated:
            self._level = 0.0
        self.rate = rate
        self.is_stated = rate < math.inf
        self.since = now
        self._level = min(self._level, self._capacity())
        return True

    def take_over(self, now):
        """Start with no tokens, as another coordinator may just have used them."""
        self._refill(now)
        self._level = 0.0

    def set_share(self, share, now):
        """Use a fraction of the limit from now on."""
        self._refill(now)
        if share < self._share:
            self._level *= share / self._share
        self._share = share

    def allows(self, now):
        """Return whether a request may start now."""
        if not self.is_stated:
            return True
        self._refill(now)
        return self._level >= 1.0 - EPSILON

    def spend(self, now):
        """Count the start of a request."""
        if self.is_stated:
            self._refill(now)
            self._level -= 1.0

    def refund(self, now):
        """Count a start less: the request was not sent."""
        self._refill(now)
        self._level = min(self._level + 1.0, self._capacity())

    def starts_within(self, seconds):
        """Return how many requests may start in a time, without the burst."""
        return self._effective_rate() * seconds

    def _effective_rate(self):
        return max(self.rate, MIN_RATE) * self._share

    def _capacity(self):
        if not self.is_stated:
            return 0.0
        earned = self.rate * BURST_S
        tokens = max(earned, MIN_BURST) * self._share
        if tokens < 1.0 <= (earned + MAX_SPLIT_BURST) * self._share:
            return 1.0
        return tokens

    def _refill(self, now):
        if self.is_stated and now > self._updated_at:
            earned = (now - self._updated_at) * self._effective_rate()
            self._level = min(self._level + earned, self._capacity())
        self._updated_at = max(now, self._updated_at)
