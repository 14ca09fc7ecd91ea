"""Connects the `ReserveRoom` of a pool with its queue, targets and running requests."""

from lovagepier.decisions.placement.work import Refusal
from lovagepier.decisions.queueing.reserve_room import ReserveRoom
from lovagepier.errors import ErrorKind

__all__ = ["RoomHook"]

# The number of places is counted anew after this time, as it rarely changes and takes
# a look at each target.
MAX_PLACES_AGE_S = 0.5


class RoomHook:
    """What a scheduler asks a `ReserveRoom`.

    `waiting` are the pool's `WaitingRequests`, `start_rates` its `StartRates`,
    `dispatched` its `DispatchLog`. `kept_in_queue` counts how often a request was
    placed without the choice to wait at a full target.
    """

    __slots__ = (
        "_dispatched",
        "_fleet",
        "_places",
        "_places_at",
        "_start_rates",
        "_waiting",
        "decision",
        "kept_in_queue",
    )

    def __init__(self, fleet, waiting, start_rates, dispatched):
        self._fleet = fleet
        self._waiting = waiting
        self._start_rates = start_rates
        self._dispatched = dispatched
        self._places = 0.0
        self._places_at = float("-inf")
        self.kept_in_queue = 0
        self.decision = ReserveRoom()

    def refuse_early(self, work, now):
        """Count a new request; return its `Refusal` if it would be late, or None."""
        self.decision.on_offer(work, now)
        work.latest_on_time_start = self.decision.latest_on_time_start(work, now)
        if not len(self._waiting) or not self._start_rates.is_known(now):
            return None
        if not self.decision.yields(work, now):
            return None
        rate = self._start_rates.rate_from(work.tier, now)
        ahead = sum(self._waiting.sizes()[: work.tier + 1])
        if self.decision.is_late(work, ahead, rate, now):
            # Looks at each account, so it is left out where the answer can't matter.
            ahead = self._waiting.ahead_in_fair_order(work)
        refusal = self.decision.refuse_early(
            work, ahead, rate, self.taken_fraction(now), now
        )
        if refusal is None:
            return None
        kind = ErrorKind.DEADLINE_WAITING
        return Refusal(work, kind, str(refusal), refusal.retry_after)

    def delay_retry(self, refusal, now):
        """Return the refusal of a queued request, with a later time to come again."""
        retry_after = self.decision.retry_after(refusal.work, now)
        refusal.retry_after = max(refusal.retry_after, retry_after)
        return refusal

    def waits_in_queue(self, work, now):
        """Return whether `work` should wait for any place, not at a full target.

        Only requests that may overbook have that choice.
        """
        if not (work.may_overbook or work.tier == 0):
            return False
        if not self._start_rates.is_known(now):
            return False
        freed_per_s = self._start_rates.rate_from(0, now)
        if not self.decision.waits_in_queue(work, freed_per_s, now):
            return False
        self.kept_in_queue += 1
        return True

    def on_first_event(self, work, seconds):
        """Learn from the time to the first event of a running request."""
        if work.least_first_s:
            self.decision.on_first_event(work, work.least_first_s, seconds)

    def taken_fraction(self, now):
        """Return the fraction of all places that is taken."""
        if now - self._places_at >= MAX_PLACES_AGE_S or now < self._places_at:
            self._places = sum(
                state.limit.value for state in self._fleet if not state.is_out
            )
            self._places_at = now
        return len(self._dispatched) / self._places if self._places else 1.0
