"""The pace of one target that starts or recovers: how many requests it may run.

Answers two faults of the same load, targets that start, restart or come back during
traffic: a target that is still slow or fragile gets its full share at once, or one that
is well again stays nearly idle. The bound grows with answers that came as fast as on
warm targets, and falls with slow answers and with refusals.
"""

from collections import deque

__all__ = ["Pace"]

# A start counts as running for at least this long, so that a target with short requests
# gets no more than `limit` / `ROUND_S` starts per second: 5 at a bound of 1.
ROUND_S = 0.2
# An answer is slow if it took longer than this times what is expected. Targets that
# have just started are 3 times slower; batches make the times of warm ones vary by
# half.
SLOW_FACTOR = 2.0
# Added to what is expected, for the way to the target and back.
TOLERANCE_S = 0.01
BACKOFF_FACTOR = 0.5
# From this age on the expectation moves towards the target's own times by this fraction
# with each slow answer: a machine may be slower than all others. Targets are slow after
# a start for some 3 s.
ADAPT_AFTER_S = 5.0
ADAPT_GAIN = 0.1
# A pace ends if the target got no request for this long, as its start is over by then.
# It lets a pool without traffic, or a successor of the coordinator, keep no old bounds.
MAX_UNUSED_S = 10.0
# Waiting requests don't open the bound for this long after a refusal or a loss.
CLOSED_S = 3.0
# After this time without a request, a target is due for one, see `PoolPaces.expire`.
IDLE_S = 0.5


class Pace:
    """The bound of one target's running requests from `began_at` on, in seconds.

    `limit` is the bound, `cause` is the event that began the pace, `in_flight` are the
    requests that were running then. `falls` counts the crashes of the target in its
    paces before this one. `own` is the
    (tokens per second, seconds per token) that the target was known for before, None if
    it was not.
    """

    __slots__ = (
        "_closed_until",
        "_hold_until",
        "_opened",
        "_opened_until",
        "_ratio",
        "_starts",
        "_used_at",
        "began_at",
        "cause",
        "limit",
        "own",
    )

    def __init__(self, cause, began_at, own=None, in_flight=0, falls=0):
        self.cause = cause
        self.began_at = began_at
        self.own = own
        self.limit = in_flight + 1.0
        self._ratio = 1.0
        self._starts = deque()
        self._used_at = began_at
        self._hold_until = float("-inf")
        self._closed_until = began_at + falls * CLOSED_S
        self._opened = 0.0
        self._opened_until = float("-inf")

    def bound(self, now):
        """Return the bound in force, with what waiting requests have opened."""
        if now < self._opened_until:
            return max(self.limit, self._opened)
        return self.limit

    def allows(self, in_flight, now):
        """Return whether a request may start beside `in_flight` others."""
        while self._starts and now - self._starts[0] >= ROUND_S:
            self._starts.popleft()
        return max(in_flight, len(self._starts)) + 1 <= self.bound(now)

    def on_start(self, now):
        """Count a start."""
        self._starts.append(now)
        self._used_at = now

    def on_returned(self):
        """Count a start less: the request was not sent."""
        if self._starts:
            self._starts.pop()

    def on_answer(self, seconds, expected, now):
        """Judge an answer that took `seconds`; return whether it was good.

        `expected` are the seconds that it takes on a warm target, None if unknown.
        """
        if expected is None or not self._is_slow(seconds, expected):
            self.limit += 1.0
            return True
        self._on_slow(seconds, expected, now)
        return False

    def on_events(self, seconds, expected, now):
        """Judge the time from the first to the last event of an answer."""
        if self._is_slow(seconds, expected):
            self._on_slow(seconds, expected, now)

    def _on_slow(self, seconds, expected, now):
        if now - self.began_at >= ADAPT_AFTER_S:
            ratio = seconds / max(expected, TOLERANCE_S)
            self._ratio += ADAPT_GAIN * (ratio - self._ratio)
        # Answers that were under way at the same time are one sign of slowness.
        if now >= self._hold_until:
            self.limit = max(self.limit * BACKOFF_FACTOR, 1.0)
            self._hold_until = now + seconds

    def _is_slow(self, seconds, expected):
        return seconds > expected * SLOW_FACTOR * self._ratio + TOLERANCE_S

    def on_unjudged(self):
        """Lower the bound for a request that ended without showing how fast it was."""
        self.limit = max(self.limit - 1.0, 1.0)

    def on_refused(self, now):
        """Begin again after the target refused, lost or failed a request."""
        self.limit = 1.0
        self._closed_until = now + CLOSED_S
        self._opened_until = float("-inf")

    def open(self, paced_fraction, now):
        """Open the bound for requests that wait while nothing else has room.

        It rises by one in each `ROUND_S` of the pace, times the part of the pool's
        slots that is at targets with a pace: one such target among many costs the pool
        little, and opens slowly.
        """
        age = now - max(self.began_at, self._closed_until)
        if age >= 0:
            self._opened = 1.0 + paced_fraction * age / ROUND_S
            self._opened_until = now + ROUND_S

    def is_idle(self, in_flight, now):
        """Return whether the target is due for a request."""
        return not in_flight and now - self._used_at >= IDLE_S

    def adopt(self, in_flight):
        """Continue from the bound of another coordinator, which it had in use."""
        self.limit = max(self.limit, float(in_flight))

    def end_cause(self, slots, now):
        """Return why the pace ends at `now`, empty if it does not."""
        if self.limit >= slots:
            return "all slots"
        return "unused" if now - self._used_at >= MAX_UNUSED_S else ""
