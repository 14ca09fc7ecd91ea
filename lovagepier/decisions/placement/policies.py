"""Placement policies: finish-time, the default, and baselines to compare it with."""

from lovagepier.decisions.placement.residence import may_go

__all__ = ["POLICIES", "Policy", "policy"]

POLICIES = {}

# Targets taken from the index for one request, or for each region that a restricted
# one may go to; see `FinishTimePolicy`.
MAX_CONSIDERED = 4
# When targets are compared, a cached prefix counts as at most this much saved prefill
# time.
MAX_AFFINITY_GAIN_S = 0.5
# A request waits for a target with a cached prefix if that saves this much prefill
# time, for up to `AFFINITY_WAIT_FACTOR` times the time saved or `MAX_AFFINITY_WAIT_S`,
# whichever is less.
MIN_AFFINITY_GAIN_S = 0.05
AFFINITY_WAIT_FACTOR = 3.0
MAX_AFFINITY_WAIT_S = 0.5
# Running requests of a target that count as delayed by a new prefill.
MAX_DELAYED_REQUESTS = 4
OTHER_ZONE_COST_S = 0.001
# A request that waits for memory of targets may be overtaken for this long, and for
# this fraction of the time that it has to start on time. Smaller ones would otherwise
# take all memory that is freed.
MAX_OVERTAKEN_S = 1.0
OVERTAKEN_FRACTION = 0.25


def policy(name):
    """Return a class decorator that registers a policy under `name`."""

    def register(cls):
        cls.name = name
        POLICIES[name] = cls
        return cls

    return register


def default_zone_cost(here, there):
    """Return the cost in seconds of dispatching from zone `here` to `there`."""
    return 0.0 if here == there else OTHER_ZONE_COST_S


class Policy:
    """Base class of placement policies.

    With `queues` a request waits at the coordinator for a free slot; without it the
    request is sent to an engine on arrival and waits there. With `sheds` a request
    that can't meet its deadline is refused before it starts. `zone_cost(zone, zone)`
    returns the cost of crossing zones in seconds. While `overbooks` is false no request
    waits at a full target. `memory_waits` counts how often a request was not placed for
    want of memory at targets.
    """

    queues = False
    sheds = False
    overbooks = True
    memory_waits = 0

    def __init__(self, zone_cost=None):
        self.zone_cost = zone_cost or default_zone_cost

    def choose(self, fleet, version, work, prefixes, now, rng):
        """Return (target state, hit tokens, why), or None if no target can start it."""
        raise NotImplementedError

    def _may_overbook(self, work):
        """Return whether `work` may wait at a full target for its next slot."""
        return self.overbooks and (work.may_overbook or work.tier == 0)


def _available(fleet, version, work, now):
    return [
        state
        for state in fleet
        if state.version == version
        and state.name not in work.exclude
        and may_go(work.regions, state.region)
        and state.takes_work(now)
        and state.has_memory(work)
    ]


@policy("random")
class RandomPolicy(Policy):
    """Pick a random healthy target."""

    def choose(self, fleet, version, work, prefixes, now, rng):
        """Pick uniformly among the healthy targets."""
        states = _available(fleet, version, work, now)
        if not states:
            return None
        return rng.choice(states), 0, "random"


@policy("least-reported")
class LeastReportedPolicy(Policy):
    """Pick the target with the least load by its own reports, which lag."""

    def choose(self, fleet, version, work, prefixes, now, rng):
        """Pick the least reported load; break ties at random."""
        states = _available(fleet, version, work, now)
        if not states:
            return None
        least = min(state.reported for state in states)
        return (
            rng.choice([state for state in states if state.reported == least]),
            0,
            f"reported load {least}",
        )


@policy("two-choices")
class TwoChoicesPolicy(Policy):
    """Draw two targets and pick the one with fewer requests in flight."""

    def choose(self, fleet, version, work, prefixes, now, rng):
        """Pick the less loaded of two targets drawn at random."""
        states = _available(fleet, version, work, now)
        if not states:
            return None
        pair = rng.sample(states, min(2, len(states)))
        chosen = min(pair, key=lambda state: state.in_flight)
        return chosen, 0, f"{chosen.in_flight} in flight"


@policy("finish-time")
class FinishTimePolicy(Policy):
    """Pick the least expected finish time among the most promising targets.

    Considers a bounded number of targets, the first ones of the index and some with
    a cached prefix, so the cost doesn't grow with the pool beyond the O(log n) of
    the index.
    """

    queues = True
    sheds = True

    def choose(self, fleet, version, work, prefixes, now, rng):
        """Pick the least expected finish time, or wait for a cached prefix.

        Sets `work.awaits_cache` and returns None if a target without a free slot
        has so much of the prompt cached that a short wait costs less than a prefill
        elsewhere. Sets `work.overtaken_until` if targets only lack memory for it.
        """
        work.awaits_cache = False
        work.overtaken_until = float("-inf")
        if fleet.is_full(version, self._may_overbook(work), work.regions):
            return None
        best = None
        held = 0.0
        for state, hit in self._considered(fleet, version, work, prefixes, now):
            if state.name in work.exclude or not state.takes_work(now):
                continue
            if not state.has_memory(work):
                continue
            if not state.has_room(extra=int(self._may_overbook(work))):
                held = max(held, hit / state.speed.prefill_rate)
                continue
            cost = self._cost(state, hit, work)
            if best is None or cost < best[0]:
                best = (cost, state, hit)
        if best is None:
            self._note_lack_of_memory(fleet, version, work, now)
            return None
        cost, state, hit = best
        saved = held - hit / state.speed.prefill_rate
        if saved >= MIN_AFFINITY_GAIN_S and self._can_wait(work, saved, now):
            work.awaits_cache = True
            return None
        return state, hit, f"finishes in {cost:.3f} s, {hit} tokens cached"

    def _note_lack_of_memory(self, fleet, version, work, now):
        for state in fleet.soonest(version, 1, now, self._may_overbook(work)):
            if state.has_memory(work):
                return
            self.memory_waits += 1
            # One that needs an idle target must not hold back all others until then.
            if work.memory_tokens > state.memory_tokens:
                work.overtaken_until = float("inf")
                return
            left_s = (work.latest_on_time_start - work.arrived) * OVERTAKEN_FRACTION
            work.overtaken_until = work.arrived + min(MAX_OVERTAKEN_S, left_s)

    def _can_wait(self, work, saved, now):
        if now - work.arrived >= min(saved * AFFINITY_WAIT_FACTOR, MAX_AFFINITY_WAIT_S):
            return False
        return work.latest_start - now > MAX_AFFINITY_WAIT_S

    def _cost(self, state, hit, work):
        rate = state.speed.prefill_rate
        # The cap keeps a popular prefix from overloading one target.
        capped = min(hit, MAX_AFFINITY_GAIN_S * rate)
        cost = state.finish_seconds(work, capped)
        # A prefill delays the other requests on the same target.
        delayed = min(len(state.running), MAX_DELAYED_REQUESTS)
        cost += (work.prefill_tokens - hit) / rate * delayed
        return cost + self.zone_cost(work.zone, state.zone)

    def _considered(self, fleet, version, work, prefixes, now):
        """Yield (target, hit tokens): cache holders first, then soonest finish."""
        hits = prefixes.hits(work.blocks)
        if hits:
            for name, depth in hits.items():
                state = fleet.get(name)
                if state is None or state.version != version:
                    continue
                if not work.regions or may_go(work.regions, state.region):
                    yield state, work.hit_tokens(depth)
        count = MAX_CONSIDERED + len(work.exclude)
        may_overbook = self._may_overbook(work)
        for state in fleet.soonest(
            version, count, now, may_overbook, work.regions, work
        ):
            if state.name not in hits:
                yield state, work.hit_tokens(prefixes.depth(state.name, work.blocks))


@policy("random-queued")
class RandomQueuedPolicy(FinishTimePolicy):
    """The queue and limits of the default policy, with random placement."""

    def choose(self, fleet, version, work, prefixes, now, rng):
        """Pick a random healthy target with a free slot."""
        states = [
            state
            for state in _available(fleet, version, work, now)
            if state.has_room(extra=int(self._may_overbook(work)))
        ]
        if not states:
            return None
        return rng.choice(states), 0, "random with a free slot"
