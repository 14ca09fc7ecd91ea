"""A byte budget for the link between regions."""

__all__ = ["LinkBudget"]


class LinkBudget:
    """A token bucket of bytes with a reserve for higher tiers.

    `rate` is in bytes per second, `burst` the capacity in bytes. Tier k may use the
    bucket only down to `reserve * k` of the burst, or 0.9 if that is less. `spent`
    counts all bytes that crossed.
    """

    __slots__ = ("_burst", "_level", "_rate", "_reserve", "_updated_at", "spent")

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
        """Return whether `size` bytes of a tier may cross now; charge them if so."""
        self._fill(now)
        kept = min(self._reserve * tier, 0.9) * self._burst
        if self._level - size < kept:
            return False
        self._level -= size
        self.spent += size
        return True

    def charge(self, size, now):
        """Charge bytes that crossed without asking, such as a long response.

        The level may become negative.
        """
        self._fill(now)
        self._level -= size
        self.spent += size
