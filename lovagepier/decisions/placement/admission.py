"""Which requests are refused before they are queued, whatever the load."""

from lovagepier.decisions.placement import evacuation
from lovagepier.decisions.placement.residence import why_nowhere
from lovagepier.decisions.placement.work import Refusal
from lovagepier.errors import ErrorKind

__all__ = ["Admission"]


class Admission:
    """Refuses requests for which the pool has no target, and those that crash targets.

    `retry_budget` is that of the pool. `residence_left_out` counts targets that
    requests may not go to for their residence.
    """

    __slots__ = ("_fleet", "_retry_budget", "_trials", "residence_left_out")

    def __init__(self, fleet, trials, retry_budget):
        self._fleet = fleet
        self._trials = trials
        self._retry_budget = retry_budget
        self.residence_left_out = 0

    def refuse(self, work, now):
        """Return the `Refusal` of a new request, None if it may be queued.

        What the attempt earns or costs in the retry budget is counted.
        """
        if self._trials.is_poison(work):
            return _refuse_poison(work)
        refusal = self._refuse_without_target(work)
        if refusal is not None:
            return refusal
        if work.attempt == 0:
            self._retry_budget.on_first_attempt(now)
        elif not self._retry_budget.spend(now, work.retry_reserve):
            return Refusal(work, ErrorKind.SHED, "the retry budget is spent")
        return None

    def _refuse_without_target(self, work):
        if not len(self._fleet):
            return Refusal(work, ErrorKind.NO_TARGET, "the pool has no targets")
        if work.regions:
            left_out = self._fleet.regional.count_outside(work.regions)
            self.residence_left_out += left_out
            if left_out == len(self._fleet):
                return Refusal(work, ErrorKind.RESIDENCE, why_nowhere(work.regions))
        if evacuation.has_only_evacuated(self._fleet, work.regions):
            return evacuation.refuse(work)
        excluded = work.exclude
        if excluded and not self._fleet.has_target_besides(excluded, work.regions):
            why = "no target but those that it was offered to"
            return Refusal(work, ErrorKind.NO_TARGET, why)
        return None

    def remove_poisonous(self, waiting):
        """Refuse queued requests that have proved poisonous since the last call."""
        if not self._trials.has_new_verdicts():
            return []
        poison = [work for work in waiting.works() if self._trials.is_poison(work)]
        for work in poison:
            waiting.remove(work.id)
        return [_refuse_poison(work) for work in poison]


def _refuse_poison(work):
    why = "targets died each time this body, or a part of its prompt, ran"
    return Refusal(work, ErrorKind.SUSPECT_REQUEST, why, retry_after=0)
