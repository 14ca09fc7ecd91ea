"""The pause of lower tiers after a request of a higher one was shed."""

__all__ = ["ShedPause"]


class ShedPause:
    """Remembers the highest tier of which a request was shed in the last `seconds`.

    Lower tiers start no requests meanwhile, so that they don't take slots which the
    higher one lacks.
    """

    __slots__ = ("_seconds", "_tier", "_until")

    def __init__(self, seconds):
        self._seconds = seconds
        self._tier = None
        self._until = float("-inf")

    def on_shed(self, tier, now):
        """Start or extend the pause of all tiers below `tier`."""
        if self._tier is None or now >= self._until:
            self._tier = tier
        self._tier = min(self._tier, tier)
        self._until = now + self._seconds

    def is_paused(self, tier, now):
        """Return whether requests of `tier` must not start now."""
        return self._tier is not None and now < self._until and tier > self._tier
