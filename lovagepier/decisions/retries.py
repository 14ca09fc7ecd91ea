"""A retry budget: a share of recent first tries, with a small floor."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Tokens earned by first tries and spent by retries.

    Earning `ratio` a first try bounds retries to that share of the load, so
    the return of a lost target never meets a storm. `floor_rate` tokens a
    second keep a quiet pool able to retry at all.
    """

    __slots__ = ("_updated_at", "_floor_rate", "_capacity", "_ratio", "_tokens")

    def __init__(self, ratio=0.1, floor_rate=1.0, capacity=50.0):
        self._ratio = ratio
        self._floor_rate = floor_rate
        self._capacity = capacity
        self._tokens = capacity / 5
        self._updated_at = None

    def _earn(self, now):
        if self._updated_at is not None and now > self._updated_at:
            self._tokens += (now - self._updated_at) * self._floor_rate
        self._tokens = min(self._tokens, self._capacity)
        self._updated_at = now

    def on_first_attempt(self, now):
        """Earn for one first try."""
        self._earn(now)
        self._tokens = min(self._tokens + self._ratio, self._capacity)

    def spend(self, now, reserve=0.0):
        """Return whether a retry may go now, and spend it if so.

        `reserve` is the part of a full budget that this retry must leave to
        more urgent ones.
        """
        self._earn(now)
        if self._tokens < 1.0 + reserve * self._capacity:
            return False
        self._tokens -= 1.0
        return True
