"""A two-sample test of rates that may change over time (Mantel-Haenszel)."""

import math
from collections import deque

__all__ = ["StratifiedTest"]

# Outcomes of the same stratum are compared with each other.
STRATUM_S = 1.0
# A fault that begins late shows in the last strata alone.
RECENT_STRATA = 4
# Fewer bad outcomes of the new version are no evidence, whatever the score.
MIN_BAD_OUTCOMES = 3
CONTINUITY_CORRECTION = 0.5


class StratifiedTest:
    """Compares the rates of bad outcomes of the new version and the old one.

    Outcomes are compared within short strata of time, so what slows or fails both
    versions alike is no evidence, whatever share of the requests each has by then.
    """

    __slots__ = ("_new", "_old", "_recent", "_stratum", "_sums")

    def __init__(self):
        # (bad outcomes of the new version, expected ones, variance)
        self._sums = (0, 0.0, 0.0)
        self._recent = deque(maxlen=RECENT_STRATA - 1)
        self._stratum = None
        self._new = (0, 0)
        self._old = (0, 0)

    def add(self, is_new, seen, bad, now):
        """Add outcomes at the time `now` in seconds."""
        stratum = int(now // STRATUM_S)
        if stratum != self._stratum:
            self._close()
            self._stratum = stratum
        if is_new:
            self._new = (self._new[0] + seen, self._new[1] + bad)
        else:
            self._old = (self._old[0] + seen, self._old[1] + bad)

    def _close(self):
        terms = self._open_terms()
        self._sums = _add(self._sums, terms)
        self._recent.append(terms)
        self._new = self._old = (0, 0)

    def _open_terms(self):
        """Return (bad, expected, variance) of the stratum that is not closed."""
        new_seen, new_bad = self._new
        total = new_seen + self._old[0]
        if not new_seen or not self._old[0]:
            return 0, 0.0, 0.0
        bad = new_bad + self._old[1]
        expected = new_seen * bad / total
        variance = expected * (total - bad) * self._old[0] / (total * (total - 1))
        return new_bad, expected, variance

    def score(self):
        """Return how far the new version's rate is above, in standard deviations.

        It is that of all strata or of the last ones, whichever is higher.
        """
        terms = self._open_terms()
        recent = terms
        for each in self._recent:
            recent = _add(recent, each)
        return max(_score(*_add(self._sums, terms)), _score(*recent))

    def state(self):
        """Return the sums so far, for `adopt`."""
        return list(_add(self._sums, self._open_terms()))

    def adopt(self, state):
        """Continue from the `state` of another host; raise ValueError if it is none."""
        if len(state) != len(self._sums) or not all(map(math.isfinite, state)):
            raise ValueError("not the sums of a comparison")
        self._new = self._old = (0, 0)
        self._recent.clear()
        self._sums = tuple(state)


def _add(terms, others):
    return tuple(a + b for a, b in zip(terms, others, strict=True))


def _score(bad, expected, variance):
    excess = bad - expected - CONTINUITY_CORRECTION
    if bad < MIN_BAD_OUTCOMES or excess <= 0.0 or variance <= 0.0:
        return 0.0
    return excess / math.sqrt(variance)
