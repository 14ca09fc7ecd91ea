"""How many requests a target gets while it is cold, summed over all entry hosts.

Answers the load of targets that start during traffic, one by one, in bursts or a whole
zone at once: they have all their slots free, so that schedulers prefer them, and crash
well above the rate that they take in their first seconds.
"""

import math
from collections import deque

__all__ = ["ColdBound", "ColdLimit", "ColdShare"]

# A request arrives at its target within this time after its grant. Entry hosts return
# older grants; see `MAX_GRANT_AGE_S`.
MAX_DELAY_S = 0.5
# The rest of `MAX_DELAY_S` is for the link from the coordinator.
MAX_GRANT_AGE_S = 0.4
# The bound holds in any time of this length.
WINDOW_S = 1.0
# Fraction of the slack for bursts of the coordinators; the rest is for grants that an
# entry host finds all at once, as after it was paused.
BURST_FRACTION = 0.6
# A target that is cold gains nothing from higher bursts.
MAX_BURST = 3.0
MAX_GUARD_BURST = 2.0
MIN_RATE = 0.1
# A coordinator uses a higher share only after this time: others notice by then that
# they have lost what it gained. Links without a sign of life are closed after 1 s.
HOLD_S = 2.0
# The share is stated every 0.25 s. A host that did not for this long was paused, and
# may have lost its followers to another coordinator.
MAX_STATEMENT_AGE_S = 1.0
# A registration may have been written this long before it arrives. One that calls a
# target warm does not end the coldness of an event that happened meanwhile.
MAX_REGISTRATION_DELAY_S = 0.5
# A statement of more is no statement of a target that starts.
MAX_COLD_S = 60.0
# An entry host may see the end of coldness this much later than its coordinator.
VIEW_SKEW_S = 0.5
# Tolerance for sums of floating-point tokens.
EPSILON = 1e-9


class ColdBound:
    """The rate and the bursts that keep one service's cold targets within their bound.

    A target may get `per_second` x `overage` + `slack` requests in any `WINDOW_S`.
    Grants of `WINDOW_S` + `MAX_DELAY_S` may arrive in that time, so
    `rate` x 1.5 + `burst` + `guard_burst` is no more than the bound. That leaves room
    for a burst of one request each, which a bound below 2 does not have.
    """

    __slots__ = ("burst", "guard_burst", "most_grants", "rate")

    def __init__(self, per_second, overage, slack):
        self.burst = min(max(slack * BURST_FRACTION, 1.0), MAX_BURST)
        self.guard_burst = min(max(slack * (1 - BURST_FRACTION), 1.0), MAX_GUARD_BURST)
        grants = per_second * overage + slack - self.guard_burst
        fitting = (grants - self.burst) / (WINDOW_S + MAX_DELAY_S)
        self.rate = min(per_second, max(fitting, MIN_RATE))
        # In `WINDOW_S` + `MAX_DELAY_S`, with those from before the target was cold.
        self.most_grants = max(grants, 1.0)


class ColdShare:
    """The fraction of all cold bounds that one coordinator hands out.

    A lower share takes effect at once, a higher one after `HOLD_S`, as does the first:
    if coordinators notice within that time that hosts left them for others, their
    shares never add up to more than the whole.
    """

    __slots__ = ("_history", "_stated_at")

    def __init__(self):
        # (time, share) pairs; a pair is dropped once a lower share follows it.
        self._history = deque([(float("-inf"), 0.0)])
        self._stated_at = float("-inf")

    def set(self, share, now):
        """State the share that the coordinator has by the hosts that follow it now."""
        if now - self._stated_at > MAX_STATEMENT_AGE_S:
            self._history = deque([(now, 0.0)])
        self._stated_at = now
        while self._history and self._history[-1][1] > share:
            self._history.pop()
        if not self._history or self._history[-1][1] < share:
            self._history.append((now, share))

    def value(self, now):
        """Return the share to use, the lowest of the last `HOLD_S`."""
        if now - self._stated_at > MAX_STATEMENT_AGE_S:
            return 0.0
        while len(self._history) > 1 and self._history[1][0] <= now - HOLD_S:
            self._history.popleft()
        return self._history[0][1]


class _Bucket:
    """A token bucket whose rate and capacity are given with each use."""

    __slots__ = ("_updated_at", "level")

    def __init__(self):
        self.level = 0.0
        self._updated_at = float("-inf")

    def empty(self, now):
        self.level = 0.0
        self._updated_at = now

    def refill(self, rate, capacity, now):
        earned = max(now - self._updated_at, 0.0) * rate if rate else 0.0
        self.level = min(self.level + earned, capacity)
        self._updated_at = max(now, self._updated_at)

    def has_token(self):
        return self.level >= 1.0 - EPSILON


class ColdLimit:
    """Whether one target is cold, and which requests it may get then.

    `until` is when it is warm again. Grants are counted by the coordinator, which uses
    its part of the bound by `share` (a `ColdShare`); one with less than a whole token
    does not use it. Nothing is given back for grants that were not used: together with
    what accrued meanwhile that would make bursts. The `guard` of an entry host bounds
    what it sends itself, in case many grants come late and at once.
    """

    __slots__ = (
        "_bound",
        "_event_at",
        "_grants",
        "_guard",
        "_share",
        "_tokens",
        "until",
    )

    def __init__(self, bound, share):
        self._share = share
        self._tokens = _Bucket()
        self._guard = _Bucket()
        self._event_at = float("-inf")
        self.until = float("-inf")
        self._bound = bound
        self._grants = deque(maxlen=math.ceil(bound.most_grants))

    def use_bound(self, bound):
        """Use another `ColdBound` from now on."""
        if bound is not self._bound:
            self._bound = bound
            self._grants = deque(self._grants, maxlen=math.ceil(bound.most_grants))

    def is_cold(self, now):
        """Return whether the target is cold."""
        return now < self.until

    def begin(self, seconds, now):
        """Take the target for cold because of an event, unless it is longer."""
        self._event_at = now
        self._set_until(max(self.until, now + seconds), now)

    def state(self, seconds, now):
        """Apply how long the target stays cold by a registration that arrived."""
        until = now + min(seconds, MAX_COLD_S)
        if now - self._event_at < MAX_REGISTRATION_DELAY_S:
            until = max(until, self.until)
        self._set_until(until, now)

    def _set_until(self, until, now):
        if now >= self.until and until > now:
            self._tokens.empty(now)
            self._guard.empty(now)
            self._guard.level = self._bound.guard_burst
        self.until = until

    # At the coordinator

    def allows(self, now):
        """Return whether a request may be granted now."""
        if now >= self.until:
            return True
        share = self._share.value(now)
        self._refill(share, now)
        return self._tokens.has_token() and self._has_room(share, now)

    def _refill(self, share, now):
        self._tokens.refill(self._bound.rate * share, self._bound.burst * share, now)

    def _has_room(self, share, now):
        """Return whether recent grants leave room, also those from before the cold."""
        most = int(self._bound.most_grants * share + EPSILON)
        if len(self._grants) < most:
            return True
        return bool(most) and now - self._grants[-most] >= WINDOW_S + MAX_DELAY_S

    def spend(self, now):
        """Count a grant; return whether the target is cold."""
        self._grants.append(now)
        if now >= self.until:
            return False
        self._refill(self._share.value(now), now)
        self._tokens.level -= 1.0
        return True

    # At the entry host

    def may_send(self, is_paced, age_s, now):
        """Return whether a grant may be used, and count it if so.

        `is_paced` tells whether the coordinator counted it as one for a cold target,
        `age_s` is how long ago it came.
        """
        if not is_paced:
            return self.until - now <= VIEW_SKEW_S
        if now >= self.until:
            return True
        self._guard.refill(self._bound.rate, self._bound.guard_burst, now)
        if age_s > MAX_GRANT_AGE_S or not self._guard.has_token():
            return False
        self._guard.level -= 1.0
        return True
