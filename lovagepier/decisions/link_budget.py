"""A byte budget for the narrow link between regions."""

__all__ = ["LinkBudget"]


class LinkBudget:
    """A token bucket of bytes with a part kept back for higher tiers.

    `rate` is bytes a second, `burst` the most that can be saved up. Tier k
    may use the bucket only down to `reserve * k` of the burst.
    """

    __slots__ = ("_updated_at", "_burst", "_level", "_rate", "_reserve", "spent")

    def __init__(self, rate, burst, reserve=0.2):
        self._rate = rate
        self._burst = burst
        self._reserve = reserve
        self._level = burst
        self._updated_at = None
        self.spent = 0

    def _fill(self, now):
        if self._updated_at is not None and now > self._updated_at:
            gained = (now - self._updated_at) * self._rate
            self._level = min(self._level + gained, self._burst)
        self._updated_at = now

    def allow(self, size, tier, now):
        """Return whether `size` bytes of a tier may cross now; spend if so."""
        self._fill(now)
        kept = min(self._reserve * tier, 0.9) * self._burst
        if self._level - size < kept:
            return False
        self._level -= size
        self.spent += size
        return True

    def charge(self, size, now):
        """Count bytes that crossed anyway, such as a longer answer."""
        self._fill(now)
        self._level -= size
        self.spent += size
