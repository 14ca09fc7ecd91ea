"""The targets of one pool: how they are added, restart, leave and state limits."""

from lovagepier.decisions.limits.rate_limits import RateLimit
from lovagepier.decisions.limits.rejections import RejectionLimit
from lovagepier.decisions.placement.target_state import TargetState

__all__ = ["PoolTargets"]

# Speed estimates of a target without requests are relaxed after this time.
RELAX_AFTER_S = 2.0


class PoolTargets:
    """Applies what is learnt about targets to the `Fleet` of one pool.

    `prefixes` is the pool's `PrefixIndex`, `trials` its `Trials`, `dispatched` its
    `DispatchLog`, `paces` its `PoolPaces`. `rate_share` is the
    fraction of the limits that targets state for all hosts that this one may use.
    Methods take the time `now` in seconds.
    """

    __slots__ = (
        "_dispatched",
        "_fleet",
        "_initial_limit",
        "_paces",
        "_prefixes",
        "_region_of",
        "_trials",
        "rate_share",
    )

    def __init__(self, options, fleet, prefixes, trials, dispatched, paces):
        self._initial_limit = options.initial_limit
        self._region_of = options.region_of
        self._fleet = fleet
        self._prefixes = prefixes
        self._trials = trials
        self._dispatched = dispatched
        self._paces = paces
        self.rate_share = 1.0

    def set(
        self,
        name,
        zone,
        version,
        incarnation,
        now,
        slots=None,
        draining=None,
        rejection_limit=None,
        evacuated=None,
        cold_limit=None,
        memory_tokens=0,
    ):
        """Add a target, or update its zone, version, incarnation or draining state.

        `slots` is the concurrency that a new target states, None where its limit
        has to be learnt. A new incarnation counts as a restart; `rejection_limit` is
        the number that it starts with, None for none. With `draining` or `evacuated`
        None an update leaves that state as it is. `cold_limit` is the `ColdLimit`, None
        without one. `memory_tokens` bounds the tokens of its running requests, 0 for no
        bound.
        """
        state = self._fleet.get(name)
        if state is None:
            state = TargetState(
                name,
                zone,
                version,
                incarnation,
                self._initial_limit,
                slots,
                self._region_of(zone),
            )
            state.draining = bool(draining)
            state.evacuated = bool(evacuated)
            state.cold_limit = cold_limit
            state.memory_tokens = memory_tokens
            self._reset_stated_limits(state, rejection_limit, now)
            self._fleet.add(state)
            self._paces.on_added(state, now)
            return
        if state.incarnation != incarnation and incarnation:
            self._count_restart(state, now)
            self._restart(state, incarnation, now)
            self._reset_stated_limits(state, rejection_limit, now)
        if state.version != version:
            state.version = version
        state.zone = zone
        # The settings may have been reloaded since.
        state.region = self._region_of(zone)
        state.memory_tokens = memory_tokens
        if draining is not None:
            self._apply_draining(state, draining, now)
        if evacuated is not None:
            self._apply_evacuated(state, evacuated, now)
        state.cold_limit = cold_limit
        self._fleet.reindex(state)

    def _restart(self, state, incarnation, now):
        state.incarnation = incarnation
        state.draining = False
        state.down = False
        state.limit.restart()
        self._prefixes.forget(state.name)
        self._paces.begin(state, "restart", now)

    def _reset_stated_limits(self, state, rejection_limit, now):
        state.rate_limit = RateLimit(self.rate_share)
        state.rejection_limit = RejectionLimit(self.rate_share)
        if rejection_limit is not None:
            state.rejection_limit.adopt(rejection_limit, now)

    def _count_restart(self, state, now):
        """Record a crash after which the target restarted unnoticed.

        Requests that vanished shortly before are the evidence of the crash.
        """
        if not state.down:
            self._trials.on_crash(state, state.incarnation_id, now)

    def set_draining(self, name, draining, now=None):
        """Stop or resume granting new requests to a target.

        No pace begins without `now`.
        """
        state = self._fleet.get(name)
        if state is not None and state.draining != draining:
            self._apply_draining(state, draining, now)
            self._fleet.reindex(state)

    def set_evacuated(self, name, evacuated, now):
        """Stop or resume granting new requests to a target, as its zone is evacuated.

        Other than draining, this outlasts a restart of the target.
        """
        state = self._fleet.get(name)
        if state is not None and state.evacuated != evacuated:
            self._apply_evacuated(state, evacuated, now)
            self._fleet.reindex(state)

    def _apply_draining(self, state, draining, now):
        was_draining, state.draining = state.draining, draining
        if now is None:
            return
        if draining:
            self._paces.end(state, "draining", now)
        elif was_draining:
            self._paces.begin(state, "draining", now)

    def _apply_evacuated(self, state, evacuated, now):
        was_evacuated, state.evacuated = state.evacuated, evacuated
        if evacuated:
            self._paces.end(state, "evacuation", now)
        elif was_evacuated:
            self._paces.begin(state, "evacuation", now)

    def on_crash(self, name, crash_id, now):
        """Record a target's crash; return the newly poisoned fingerprints."""
        state = self._fleet.get(name)
        if state is None:
            return []
        state.down = True
        state.limit.restart()
        self._paces.end(state, "crash", now)
        self._prefixes.forget(name)
        self._fleet.reindex(state)
        return self._trials.on_crash(state, crash_id, now)

    def state_limit(self, kind, name, incarnation, value, request_id, now):
        """Apply the limit that a target stated; return whether that changed anything.

        `kind` is the attribute of `TargetState` with the limit. It was in the response
        to a request, whose grant tells how old it may be. The value is infinite if the
        response stated no limit.
        """
        state = self._fleet.get(name)
        if state is None or state.incarnation != incarnation:
            return False
        running = self._dispatched.get(request_id)
        started_at = running.granted_at if running else float("-inf")
        is_changed = getattr(state, kind).state(value, started_at, now)
        self._fleet.reindex(state)
        return is_changed

    def adopt_limit(self, kind, name, incarnation, value, now):
        """Apply the limit of a target as another coordinator had it."""
        state = self._fleet.get(name)
        if state is not None and state.incarnation == incarnation:
            getattr(state, kind).adopt(value, now)
            self._fleet.reindex(state)

    def set_rate_share(self, share, now):
        """Use a fraction of what all targets state as limits from now on."""
        self.rate_share = share
        for state in self._fleet:
            state.rate_limit.set_share(share, now)
            state.rejection_limit.set_share(share, now)

    def begin_probing(self, name, now=None):
        """Return a target that was down to service with one request at a time.

        The restriction ends with its first successful request. No pace begins without
        `now`.
        """
        state = self._fleet.get(name)
        if state is not None and state.down:
            state.down = False
            state.probing = True
            if now is not None:
                self._paces.begin(state, "crash", now)
            self._fleet.reindex(state)

    def remove(self, name, now):
        """Remove a target from the pool.

        If requests vanished there shortly before, this counts as a crash.
        """
        state = self._fleet.remove(name)
        if state is not None:
            self._count_restart(state, now)
            self._paces.remove(state, now)
        self._prefixes.forget(name)

    def report(self, name, running, waiting, now, incarnation=""):
        """Apply a target's load report, which lags behind its real load.

        A new `incarnation` counts as a restart.
        """
        state = self._fleet.get(name)
        if state is None:
            return
        if incarnation and state.incarnation != incarnation:
            self._count_restart(state, now)
            self._restart(state, incarnation, now)
            self._reset_stated_limits(state, None, now)
        state.down = False
        state.reported = running + waiting
        state.reported_at = now
        state.limit.on_report(running, waiting, now)
        if not state.running and now - state.last_start_at >= RELAX_AFTER_S:
            state.speed.relax()
        self._fleet.reindex(state)

    def cache_event(self, name, stored, evicted):
        """Apply a target's delayed report of stored and evicted prefix blocks."""
        if self._fleet.get(name) is None:
            return
        self._prefixes.add(name, stored)
        self._prefixes.remove(name, evicted)
