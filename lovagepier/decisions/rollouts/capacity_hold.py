"""Whether a rollout's advance stops because the new version lacks capacity."""

from lovagepier.decisions.rollouts.cusum import Cusum

__all__ = ["CapacityHold"]

# Fraction of outcomes that are slow without a cause.
USUAL_SLOW_RATE = 0.06
# Log-likelihood ratios at which a hold begins and ends. `MAX_LOG_RATIO` bounds how many
# good outcomes end it.
BEGIN_LOG_RATIO = 6.9
END_LOG_RATIO = 2.3
MAX_LOG_RATIO = 13.8


class CapacityHold:
    """Holds the advance while outcomes are slow at a load that was not compared.

    Nothing tells then whether the old version would be as slow, so they are no evidence
    against the new one. The hold ends as later outcomes are no longer slow, or came at
    a load that was compared.
    """

    __slots__ = ("_cusum", "is_held")

    def __init__(self):
        self._cusum = Cusum(MAX_LOG_RATIO)
        self.is_held = False

    def add(self, seen, strained):
        """Add outcomes of the new version, of which some were `strained`.

        Return whether the hold began or ended.
        """
        self._cusum.add(seen, strained, USUAL_SLOW_RATE)
        bound = END_LOG_RATIO if self.is_held else BEGIN_LOG_RATIO
        was_held, self.is_held = self.is_held, self._cusum.value >= bound
        return self.is_held != was_held
