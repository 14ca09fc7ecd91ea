"""CUSUM tests of a rate against worse ones."""

import math

__all__ = ["Cusum", "gains"]

# The worse rates tested for, as fractions of the way from the base rate to 1.
ALTERNATIVE_GAPS = (0.15, 0.3, 0.7)


def gains(base):
    """Yield (gain of a bad outcome, loss of a good one) for each worse rate."""
    for gap in ALTERNATIVE_GAPS:
        worse = min(base + gap * (1.0 - base), 0.99)
        yield math.log(worse / base), math.log((1.0 - worse) / (1.0 - base))


class Cusum:
    """CUSUM tests for several worse rates: log-likelihood ratios floored at zero.

    Because of the floor good outcomes in the past earn no credit, so a fault that
    starts late is detected as fast as one that exists from the start. With a `limit`
    bad ones in the past are outweighed by a bounded number of good ones, too.
    """

    __slots__ = ("_limit", "_values")

    def __init__(self, limit=math.inf):
        self._limit = limit
        self._values = [0.0] * len(ALTERNATIVE_GAPS)

    @property
    def value(self):
        """The highest log-likelihood ratio."""
        return max(self._values)

    def state(self):
        """Return the ratios, for `adopt`."""
        return list(self._values)

    def adopt(self, state):
        """Continue from the `state` of another host."""
        for i, value in enumerate(state[: len(self._values)]):
            self._values[i] = value

    def add(self, seen, bad, base):
        """Add outcomes; `base` is the usual rate of bad ones."""
        good = seen - bad
        for i, (gain, loss) in enumerate(gains(base)):
            # Outcomes of one batch have no order. The bad ones are added last, so
            # that good ones of the same batch can't cancel them.
            level = max(0.0, self._values[i] + good * loss)
            self._values[i] = min(level + bad * gain, self._limit)
