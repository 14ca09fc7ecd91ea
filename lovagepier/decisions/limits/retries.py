"""A retry budget: a share of recent first attempts, with a small minimum rate."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """A token bucket filled by first attempts and emptied by retries.

    Each first attempt earns `ratio` tokens, which bounds retries to that share of
    the load and so prevents a retry storm when a lost target returns. `floor_rate`
    tokens per second allow retries in a pool with little load. The bucket holds up
    to `capacity` tokens and starts with a fifth of that. Of a budget that several
    coordinators use, each holds its share.
    """

    __slots__ = (
        "_capacity",
        "_floor_rate",
        "_ratio",
        "_share",
        "_tokens",
        "_updated_at",
    )

    def __init__(self, ratio=0.1, floor_rate=1.0, capacity=50.0, share=1.0):
        self._ratio = ratio
        self._floor_rate = floor_rate
        self._capacity = capacity
        self._share = share
        self._tokens = capacity * share / 5
        self._updated_at = None

    def _earn(self, now):
        if self._updated_at is not None and now > self._updated_at:
            elapsed = now - self._updated_at
            self._tokens += elapsed * self._floor_rate * self._share
        self._tokens = min(self._tokens, self._capacity * self._share)
        self._updated_at = now

    @property
    def level(self):
        """The tokens held."""
        return self._tokens

    def set_share(self, share, now):
        """Hold and earn a fraction of the budget from now on."""
        self._earn(now)
        self._share = share
        self._earn(now)

    def adopt(self, level):
        """Continue with the tokens that the last coordinator had left."""
        self._tokens = min(max(level, 0.0), self._capacity)

    def on_first_attempt(self, now):
        """Add the tokens earned by one first attempt."""
        self._earn(now)
        self._tokens = min(self._tokens + self._ratio, self._capacity * self._share)

    def spend(self, now, reserve=0.0):
        """Return whether a retry is allowed now; charge one token if so.

        `reserve` is the fraction of the capacity that this retry must leave to more
        urgent ones.
        """
        self._earn(now)
        if self._tokens < 1.0 + reserve * self._capacity * self._share:
            return False
        self._tokens -= 1.0
        return True
