"""The pause of lower tiers after a higher one lost work to lack of room."""

__all__ = ["ShedPause"]


class ShedPause:
    """Remembers the highest tier that lost work within the last `seconds`."""

    __slots__ = ("_seconds", "_tier", "_until")

    def __init__(self, seconds):
        self._seconds = seconds
        self._tier = None
        self._until = float("-inf")

    def on_shed(self, tier, now):
        """Begin or extend the pause of all tiers below `tier`."""
        if self._tier is None or now >= self._until:
            self._tier = tier
        self._tier = min(self._tier, tier)
        self._until = now + self._seconds

    def is_paused(self, tier, now):
        """Return whether work of `tier` may not start now."""
        return self._tier is not None and now < self._until and tier > self._tier
