"""The targets of one pool as its coordinator sees them."""

from heapq import nlargest, nsmallest
from itertools import islice

from sortedcontainers import SortedList

from lovagepier.decisions.learning.estimates import SpeedEstimate
from lovagepier.decisions.limits.limits import FixedLimit, InFlightLimit
from lovagepier.decisions.limits.rate_limits import RateLimit
from lovagepier.decisions.limits.rejections import RejectionLimit
from lovagepier.decisions.placement.regional_index import RegionalIndex
from lovagepier.decisions.placement.residence import may_go

__all__ = ["Fleet", "TargetState"]

# Consecutive failures that eject a target.
MIN_EJECT_FAILURES = 3
# The first ejection lasts this long; each further one twice as long as the last.
BASE_EJECT_S = 2.0
MAX_EJECT_S = 60.0
# Fraction of the targets that may be ejected at a time. If all of them fail, the cause
# is probably elsewhere, and a few healthy targets serve less than many bad ones.
MAX_EJECTED_FRACTION = 0.34
# The list of fastest targets is reused for this long, as speeds change slowly.
MAX_FASTEST_AGE_S = 0.5
# Targets without memory for a request that are passed over in the search for one.
MAX_SKIPPED = 32


class TargetState:
    """One target: its running requests, speed, in-flight limit and health.

    `slots` is the concurrency that the target states; without it the limit is
    learnt, starting at `limit`. A `draining` target gets no new requests, nor does one
    whose zone is `evacuated`; one that is `down` accepts no connections, and a
    `probing` one runs a single request at a time, or what its pace allows. `vanished`
    lists (`Run`, time) of requests that were lost there. `prefilling` maps running
    requests before their first byte to the tokens of their prefill. `rate_limit` and
    `rejection_limit` are the `RateLimit` and the `RejectionLimit` that the target
    states, `cold_limit` is its `ColdLimit`, None without such a bound. `memory_tokens`
    bounds the tokens of its running requests, 0 for no bound; `held_tokens` are theirs
    now. `pace` is its `Pace` while it starts or recovers, else None. `key` is the
    target's place in the `Fleet` index, None outside of it. `region` is that of its
    zone, "" if unknown.
    """

    __slots__ = (
        "cold_limit",
        "down",
        "draining",
        "ejected_until",
        "ejections",
        "evacuated",
        "failures",
        "held_tokens",
        "incarnation",
        "key",
        "last_start_at",
        "limit",
        "memory_tokens",
        "name",
        "pace",
        "prefilling",
        "probing",
        "queued_prefill",
        "rate_limit",
        "region",
        "rejection_limit",
        "reported",
        "reported_at",
        "running",
        "speed",
        "vanished",
        "version",
        "zone",
    )

    def __init__(
        self,
        name,
        zone="",
        version="",
        incarnation="",
        limit=8.0,
        slots=None,
        region="",
    ):
        self.name = name
        self.zone = zone
        self.region = region
        self.version = version
        self.incarnation = incarnation
        self.draining = False
        self.down = False
        self.evacuated = False
        self.limit = InFlightLimit(limit) if slots is None else FixedLimit(slots)
        self.speed = SpeedEstimate()
        self.running = {}
        self.prefilling = {}
        self.queued_prefill = 0
        self.memory_tokens = 0
        self.held_tokens = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_until = float("-inf")
        self.probing = False
        self.reported = 0
        self.reported_at = float("-inf")
        self.last_start_at = float("-inf")
        self.vanished = []
        self.rate_limit = RateLimit()
        self.rejection_limit = RejectionLimit()
        self.cold_limit = None
        self.pace = None
        self.key = None

    @property
    def in_flight(self):
        """Number of requests granted to this target that have no outcome yet."""
        return len(self.running)

    @property
    def incarnation_id(self):
        """The target's name and current incarnation, as one string."""
        return f"{self.name}/{self.incarnation}"

    @property
    def is_out(self):
        """Whether the target is draining, down or evacuated."""
        return self.draining or self.down or self.evacuated

    def takes_work(self, now):
        """Return whether the target is healthy and may get new requests.

        Doesn't check for a free slot; see `has_room`.
        """
        if self.draining or self.down or self.evacuated:
            return False
        if now < self.ejected_until:
            return False
        if self.probing and self.running and self.pace is None:
            return False
        if self.rejection_limit.is_stated and not self.rejection_limit.allows(
            self.in_flight, now
        ):
            return False
        if self.rate_limit.is_stated and not self.rate_limit.allows(now):
            return False
        if self.cold_limit is not None and not self.cold_limit.allows(now):
            return False
        return self.pace is None or self.pace.allows(self.in_flight, now)

    def has_room(self, extra=0):
        """Return whether one more request fits.

        With `extra` set to 1 the limit may be exceeded by its `overbook_slots`, unless
        the target falls over when it must reject requests.
        """
        if self.probing and self.pace is None:
            return not self.running
        if self.rejection_limit.is_stated:
            extra = 0
        return self.limit.has_room(self.in_flight - extra * self.limit.overbook_slots)

    def has_memory(self, work):
        """Return whether the target has memory for `work`.

        An idle target takes any request, also one beyond its whole memory.
        """
        if not self.memory_tokens or not self.running:
            return True
        return self.held_tokens + work.memory_tokens <= self.memory_tokens

    def slots_within(self, seconds):
        """Return how many requests may start in a time in which each slot is freed."""
        return min(self.limit.value, self.rate_limit.starts_within(seconds))

    def wait_seconds(self):
        """Return the expected seconds until a new prefill would start."""
        return self.queued_prefill / self.speed.prefill_rate

    def finish_seconds(self, work, hit_tokens):
        """Return the expected seconds until `work` would be complete."""
        prefill = self.queued_prefill + work.prefill_tokens - hit_tokens
        return self.speed.service_seconds(prefill, work.decode_tokens)

    def start(self, work, hit_tokens):
        """Register `work` as running here."""
        prefill = max(work.prefill_tokens - hit_tokens, 0)
        self.running[work.id] = work
        self.held_tokens += work.memory_tokens
        self.prefilling[work.id] = prefill
        self.queued_prefill += prefill

    def prefilled(self, request_id):
        """End the prefill of a request; return its tokens.

        None for an unknown id or one whose prefill has ended before.
        """
        tokens = self.prefilling.pop(request_id, None)
        if tokens is not None:
            self.queued_prefill -= tokens
        return tokens

    def finish(self, request_id):
        """Remove a running request; return its work, or None if unknown."""
        self.prefilled(request_id)
        work = self.running.pop(request_id, None)
        if work is not None:
            # Estimated lengths are fractions, so sums would drift.
            self.held_tokens -= work.memory_tokens if self.running else self.held_tokens
        return work

    def on_success(self):
        """Close the circuit breaker after a successful request."""
        self.failures = 0
        self.ejections = 0
        self.probing = False

    def on_failure(self, now, may_eject=True):
        """Record a failed request; return whether it ejects the target.

        While probing a single failure ejects. With `may_eject` False too many
        targets are ejected already, and probing ends instead.
        """
        self.failures += 1
        self.limit.on_failure(now)
        if not may_eject:
            self.probing = False
            return False
        if not self.probing and self.failures < MIN_EJECT_FAILURES:
            return False
        pause = min(BASE_EJECT_S * 2**self.ejections, MAX_EJECT_S)
        self.ejections += 1
        self.ejected_until = now + pause
        self.probing = True
        self.failures = 0
        return True


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
