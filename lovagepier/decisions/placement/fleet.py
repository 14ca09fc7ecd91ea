"""The targets of one pool as its coordinator sees them."""

from heapq import nlargest, nsmallest
from itertools import islice

from sortedcontainers import SortedList

from lovagepier.decisions.placement.regional_index import RegionalIndex
from lovagepier.decisions.placement.residence import may_go

__all__ = ["Fleet"]

# Fraction of the targets that may be ejected at a time. If all of them fail, the cause
# is probably elsewhere, and a few healthy targets serve less than many bad ones.
MAX_EJECTED_FRACTION = 0.34
# The list of fastest targets is reused for this long, as speeds change slowly.
MAX_FASTEST_AGE_S = 0.5
# Targets without memory for a request that are passed over in the search for one.
MAX_SKIPPED = 32


class Fleet:
    """Targets indexed by version and by how soon each could finish a request.

    Methods with `regions` consider only targets in these, all if there are none. The
    first of their calls that names regions builds the `RegionalIndex`.
    """

    __slots__ = ("_fastest", "_fastest_at", "_order", "_regional", "_targets")

    def __init__(self):
        self._targets = {}
        self._order = {}
        self._regional = None
        self._fastest = []
        self._fastest_at = float("-inf")

    def __iter__(self):
        return iter(self._targets.values())

    def __len__(self):
        return len(self._targets)

    def get(self, name):
        """Return the `TargetState` of a name, or None."""
        return self._targets.get(name)

    def may_eject(self, now, state):
        """Return whether `state` may be ejected, given how many are ejected already.

        The last target that takes work is not: it serves more than none at all.
        """
        others = [other for other in self._targets.values() if other is not state]
        if not any(other.takes_work(now) for other in others):
            return False
        out = sum(other.probing or now < other.ejected_until for other in others)
        return out + 1 <= max(len(self._targets) * MAX_EJECTED_FRACTION, 1.0)

    @property
    def regional(self):
        """The `RegionalIndex` of these targets."""
        if self._regional is None:
            self._regional = RegionalIndex(self._targets.values())
        return self._regional

    def has_target_besides(self, names, regions=()):
        """Return whether a target not in `names` is neither draining nor evacuated."""
        return any(
            not (state.draining or state.evacuated)
            and state.name not in names
            and may_go(regions, state.region)
            for state in self._targets.values()
        )

    def add(self, state):
        """Add a new target."""
        self._targets[state.name] = state
        self._fastest_at = float("-inf")
        self.reindex(state)

    def remove(self, name):
        """Remove a target; return its `TargetState`, or None if unknown.

        Outcomes of its running requests may still arrive.
        """
        state = self._targets.pop(name, None)
        self._fastest_at = float("-inf")
        if state is not None:
            self._unindex(state)
            if self._regional is not None:
                self._regional.drop(name)
        return state

    def _unindex(self, state):
        if state.key is not None:
            index, key = state.key
            self._order[index].discard(key)
            state.key = None

    def reindex(self, state):
        """Update the index after any change to a target. O(log n).

        Targets without room are not indexed. Those that have room only for requests
        that may overbook are indexed apart, so the first entries of an order are
        always targets that can start the request at hand.
        """
        self._unindex(state)
        if not state.is_out and state.has_room(extra=1):
            load = state.in_flight / max(state.limit.value, 1.0)
            pace = state.speed.token_seconds * 100 + 500 / state.speed.prefill_rate
            key = (state.wait_seconds() + pace * (1.0 + load), state.name)
            index = (state.version, not state.has_room())
            state.key = (index, key)
            order = self._order.setdefault(index, SortedList())
            order.add(key)
        if self._regional is not None:
            self._regional.put(state)

    def versions(self, regions=()):
        """Return the versions of all targets."""
        return {
            state.version
            for state in self._targets.values()
            if not regions or may_go(regions, state.region)
        }

    def has_room(self, now):
        """Return whether any healthy target has a free slot."""
        return any(
            self._targets[name].takes_work(now)
            for (_, full), order in self._order.items()
            if not full
            for _, name in order
        )

    def is_full(self, version, may_overbook=False, regions=()):
        """Return whether no target of `version` has room for a request."""
        if regions:
            return not any(
                any(True for _ in self.regional.names(region, version, may_overbook))
                for region in regions
            )
        if self._order.get((version, False)):
            return False
        return not (may_overbook and self._order.get((version, True)))

    def soonest(self, version, count, now, may_overbook=False, regions=(), work=None):
        """Yield up to `count` healthy targets of `version`, soonest finish first.

        With `may_overbook`, full targets at which a request may wait for the next
        slot come after those with a free one. With `regions`, the targets of each one
        are in a row, up to `count` of each. Targets without memory for `work` are
        left out, or come as well if there are many of them or with `regions`.
        """
        if regions:
            yield from self._soonest_in(regions, version, count, now, may_overbook)
            return
        skipped = 0
        for full in (False, True) if may_overbook else (False,):
            for _, name in self._order.get((version, full), ()):
                state = self._targets[name]
                # Ejected targets stay indexed, as no event marks the end of an
                # ejection; idle ones would come first.
                if not state.takes_work(now):
                    continue
                if work and skipped < MAX_SKIPPED and not state.has_memory(work):
                    skipped += 1
                    continue
                yield state
                count -= 1
                if not count:
                    return

    def _soonest_in(self, regions, version, count, now, may_overbook):
        for region in regions:
            names = self.regional.names(region, version, may_overbook)
            states = (self._targets[name] for name in names)
            yield from islice((s for s in states if s.takes_work(now)), count)

    def in_flight(self, version=None):
        """Return the number of requests running on one version, or on all."""
        return sum(
            state.in_flight
            for state in self._targets.values()
            if version is None or state.version == version
        )

    def best_service(self, work, now):
        """Return the least expected service time in seconds of `work`, or None.

        Load is ignored, as full targets will be free again. The fastest targets are
        determined once per `MAX_FASTEST_AGE_S`, so this costs O(1) per request.
        """
        if now - self._fastest_at >= MAX_FASTEST_AGE_S or now < self._fastest_at:
            self._find_fastest(now)
        best = None
        for state in self._fastest:
            seconds = state.speed.service_seconds(
                work.prefill_tokens, work.decode_tokens
            )
            if best is None or seconds < best:
                best = seconds
        return best

    def _find_fastest(self, now):
        able = [s for s in self._targets.values() if not s.is_out]
        self._fastest_at = now
        self._fastest = nsmallest(2, able, key=lambda s: s.speed.token_seconds)
        self._fastest += nlargest(2, able, key=lambda s: s.speed.prefill_rate)
