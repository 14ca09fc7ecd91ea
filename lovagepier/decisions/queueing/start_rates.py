"""How many requests of each tier have started recently."""

import math

__all__ = ["StartRates"]

# Starts count less and less over about this time.
DECAY_S = 1.0


class StartRates:
    """Exponentially decaying rates of starts, one per tier.

    Where higher tiers take all slots, lower ones rarely start or never do, however
    many slots there are. Unlike a `StartLog`, they add up over tiers.
    """

    __slots__ = ("_counts", "_first_at", "_updated_at")

    def __init__(self, tiers):
        self._counts = [0.0] * tiers
        self._updated_at = [0.0] * tiers
        self._first_at = None

    def _decay(self, tier, now):
        elapsed = max(now - self._updated_at[tier], 0.0)
        self._counts[tier] *= math.exp(-elapsed / DECAY_S)
        self._updated_at[tier] = now

    def on_start(self, tier, now):
        """Count one start."""
        if self._first_at is None:
            self._first_at = now
        self._decay(tier, now)
        self._counts[tier] += 1.0

    def is_known(self, now):
        """Return whether starts have been counted for long enough to judge by."""
        return self._first_at is not None and now - self._first_at >= DECAY_S

    def rate_from(self, tier, now):
        """Return the starts per second of a tier and all lower ones."""
        for each in range(tier, len(self._counts)):
            # Most tiers are unused, and the exponential costs more than all else here.
            if self._counts[each]:
                self._decay(each, now)
        return sum(self._counts[tier:]) / DECAY_S
