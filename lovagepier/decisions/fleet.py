"""The targets of one pool as its home sees them."""

from heapq import nlargest, nsmallest

from sortedcontainers import SortedList

from lovagepier.decisions.estimates import SpeedEstimate
from lovagepier.decisions.limits import FixedLimit, InFlightLimit

__all__ = ["Fleet", "TargetState"]

MIN_EJECT_FAILURES = 3
BASE_EJECT_S = 2.0
MAX_EJECT_S = 60.0
# No more than this part of the targets is ejected at a time: where all fail, the
# fault is not theirs alone, and few targets serve less than bad ones.
MAX_EJECTED_FRACTION = 0.34
# Speeds move slowly; the fastest targets are looked for this often.
MAX_FASTEST_AGE_S = 0.5


class TargetState:
    """One target: what runs there, how fast it is, whether it takes work."""

    __slots__ = (
        "down",
        "ejected_until",
        "ejections",
        "failures",
        "incarnation",
        "key",
        "draining",
        "limit",
        "name",
        "prefilling",
        "probing",
        "queued_prefill",
        "reported",
        "reported_at",
        "running",
        "speed",
        "last_start_at",
        "vanished",
        "version",
        "zone",
    )

    def __init__(
        self, name, zone="", version="", incarnation="", limit=8.0, slots=None
    ):
        self.name = name
        self.zone = zone
        self.version = version
        self.incarnation = incarnation
        self.draining = False
        self.down = False
        self.limit = InFlightLimit(limit) if slots is None else FixedLimit(slots)
        self.speed = SpeedEstimate()
        self.running = {}
        self.prefilling = {}
        self.queued_prefill = 0
        self.failures = 0
        self.ejections = 0
        self.ejected_until = float("-inf")
        self.probing = False
        self.reported = 0
        self.reported_at = float("-inf")
        self.last_start_at = float("-inf")
        self.vanished = []
        self.key = None

    @property
    def in_flight(self):
        """Requests granted to this target and not reported back."""
        return len(self.running)

    @property
    def incarnation_id(self):
        """A name for this target's present incarnation."""
        return f"{self.name}/{self.incarnation}"

    def takes_work(self, now):
        """Return whether new work may go here at all."""
        if self.draining or self.down:
            return False
        if now < self.ejected_until:
            return False
        return not (self.probing and self.running)

    def has_room(self, extra=0):
        """Return whether one more request fits; `extra` on top of a learnt limit."""
        if self.probing:
            return not self.running
        return self.limit.has_room(self.in_flight - extra * self.limit.overbook_slots)

    def wait_seconds(self):
        """Return the expected wait before a new prefill would start."""
        return self.queued_prefill / self.speed.prefill_rate

    def finish_seconds(self, work, hit_tokens):
        """Return the expected seconds until `work` would be whole."""
        prefill = self.queued_prefill + work.prefill_tokens - hit_tokens
        return self.speed.service_seconds(prefill, work.decode_tokens)

    def start(self, work, hit_tokens):
        """Count `work` as running here."""
        prefill = max(work.prefill_tokens - hit_tokens, 0)
        self.running[work.id] = work
        self.prefilling[work.id] = prefill
        self.queued_prefill += prefill

    def prefilled(self, request_id):
        """Return the prefill tokens of an id whose first byte arrived."""
        tokens = self.prefilling.pop(request_id, None)
        if tokens is not None:
            self.queued_prefill -= tokens
        return tokens

    def finish(self, request_id):
        """Stop counting an id as running; return its work or None."""
        self.prefilled(request_id)
        return self.running.pop(request_id, None)

    def on_success(self):
        """Close the circuit after work that ended well."""
        self.failures = 0
        self.ejections = 0
        self.probing = False

    def on_failure(self, now, may_eject=True):
        """Count a failure; return whether the target is ejected by it."""
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
    """Targets indexed by version and by how soon each could finish work."""

    __slots__ = ("_fastest", "_fastest_at", "_order", "_targets")

    def __init__(self):
        self._targets = {}
        self._order = {}
        self._fastest = []
        self._fastest_at = float("-inf")

    def __iter__(self):
        return iter(self._targets.values())

    def __len__(self):
        return len(self._targets)

    def get(self, name):
        """Return the `TargetState` of a name, or None."""
        return self._targets.get(name)

    def may_eject(self, now):
        """Return whether one more target may be ejected."""
        out = sum(
            state.probing or now < state.ejected_until
            for state in self._targets.values()
        )
        return out + 1 <= max(len(self._targets) * MAX_EJECTED_FRACTION, 1.0)

    def has_target_besides(self, names):
        """Return whether a target in service is not among `names`."""
        return any(
            not state.draining and state.name not in names
            for state in self._targets.values()
        )

    def add(self, state):
        """Put a new target in service."""
        self._targets[state.name] = state
        self._fastest_at = float("-inf")
        self.reindex(state)

    def remove(self, name):
        """Take a target out; its running work is still answered for."""
        state = self._targets.pop(name, None)
        self._fastest_at = float("-inf")
        if state is not None:
            self._unindex(state)
        return state

    def _unindex(self, state):
        if state.key is not None:
            index, key = state.key
            self._order[index].discard(key)
            state.key = None

    def reindex(self, state):
        """Put the target in its place after any change to it. O(log n).

        A target without room leaves the order; one that has room for urgent
        work only stands in an order of its own, so that a look at the first
        few entries sees only targets that could start the work at hand.
        """
        self._unindex(state)
        if state.draining or state.down or not state.has_room(extra=1):
            return
        load = state.in_flight / max(state.limit.value, 1.0)
        pace = state.speed.token_seconds * 100 + 500 / state.speed.prefill_rate
        key = (state.wait_seconds() + pace * (1.0 + load), state.name)
        index = (state.version, not state.has_room())
        state.key = (index, key)
        order = self._order.setdefault(index, SortedList())
        order.add(key)

    def versions(self):
        """Return the versions that have targets in service."""
        return {state.version for state in self._targets.values()}

    def has_room(self, now):
        """Return whether any target takes work and has a free slot."""
        return any(
            self._targets[name].takes_work(now)
            for (_, full), order in self._order.items()
            if not full
            for _, name in order
        )

    def soonest(self, version, count, now, urgent=False):
        """Yield up to `count` targets of `version` that take work, soonest first.

        Where none has a free slot, `urgent` work sees those that it may wait at.
        """
        for full in (False, True) if urgent else (False,):
            for _, name in self._order.get((version, full), ()):
                state = self._targets[name]
                # Ejected targets stay in the order: nothing tells when they may
                # return, and idle ones would come first in it.
                if not state.takes_work(now):
                    continue
                yield state
                count -= 1
                if not count:
                    return

    def in_flight(self, version=None):
        """Return the work running on one version's targets, or on all."""
        return sum(
            state.in_flight
            for state in self._targets.values()
            if version is None or state.version == version
        )

    def best_service(self, work, now):
        """Return the least expected seconds for `work` on an idle target.

        Full targets count: they will be free in time. The fastest ones are
        looked up every `MAX_FASTEST_AGE_S` only, so this is O(1) a request.
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
        able = [s for s in self._targets.values() if not s.draining and not s.down]
        self._fastest_at = now
        self._fastest = nsmallest(2, able, key=lambda s: s.speed.token_seconds)
        self._fastest += nlargest(2, able, key=lambda s: s.speed.prefill_rate)
