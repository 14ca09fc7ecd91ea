"""The bound on queued late requests, which the scheduler refuses beyond it."""

from lovagepier.decisions.placement.residence import may_go

__all__ = ["LateRequests"]

# Bound on queued late requests, in multiples of all slots. More of them would only
# wait until they are refused.
MAX_LATE_ROUNDS = 4.0
# If fewer late requests than that can start before the first of them expires, by the
# rate at which their tier and lower ones start, the bound is lower. At a low rate, all
# slots are expected to be free for late requests once in this time.
LATE_ROUND_S = 4.0
# The same for long answers that yield to urgent requests (`ReserveRoom`), so that those
# that can't start are refused sooner. In the replay of their bursts, refused requests
# had waited 3.8 s with this and 4.6 s with 4 s; with 16 s fewer were on time.
YIELDING_LATE_ROUND_S = 8.0


class LateRequests:
    """Moves late requests to their late tiers, each of which has a bound of its own.

    So has each lane of restricted requests, by the slots in its regions: late ones that
    wait for a full region must not have others refused.

    `waiting` are the pool's `WaitingRequests`, `start_rates` its `StartRates`, `room`
    its `RoomHook` or None.
    """

    __slots__ = ("_fleet", "_room", "_start_rates", "_waiting")

    def __init__(self, fleet, waiting, start_rates, room=None):
        self._room = room
        self._fleet = fleet
        self._waiting = waiting
        self._start_rates = start_rates

    def demote(self, now):
        """Demote requests that became late; return those that exceed the bound.

        These are removed from the queue.
        """
        late = self._waiting.demote_late(now)
        if not late:
            return []
        excess = []
        for tier, regions in {(work.tier, work.regions) for work in late}:
            excess += self._remove_excess(tier, regions, now)
        return excess

    def _slots(self, regions):
        return sum(
            state.slots_within(LATE_ROUND_S)
            for state in self._fleet
            if not (state.draining or state.evacuated)
            and (not regions or may_go(regions, state.region))
        )

    def _remove_excess(self, tier, regions, now):
        slots = self._slots(regions)
        # Without work ahead the next free slots are theirs, whatever ran there.
        is_next = self._waiting.highest_waiting_tier() == tier
        rate = float("inf")
        if self._start_rates.is_known(now):
            rate = self._start_rates.rate_from(0 if is_next else tier, now)
        round_s = LATE_ROUND_S
        if self._room is not None and self._room.decision.affects(tier, now):
            round_s = YIELDING_LATE_ROUND_S
        rate = max(rate, slots / round_s)
        removed = []
        while size := self._waiting.lane_size(tier, regions):
            work = self._waiting.most_urgent(tier, regions)
            if size <= _room(slots, rate, work.latest_start - now):
                break
            self._waiting.remove(work.id)
            removed.append(work)
        return removed


def _room(slots, rate, remaining_s):
    """Return how many late requests of one tier may wait.

    `rate` are the starts per second that they can expect, `remaining_s` is the
    time in which the most urgent of them must start.
    """
    return min(rate * remaining_s, MAX_LATE_ROUNDS * slots)
