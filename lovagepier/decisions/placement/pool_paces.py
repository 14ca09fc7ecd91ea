"""The paces of one pool's targets: when they begin, what they learn, when they end."""

from dataclasses import dataclass

from lovagepier.decisions.placement.pace import Pace
from lovagepier.decisions.placement.young_targets import YoungTargets

__all__ = ["PaceEvent", "PoolPaces"]

# The pool has traffic if a request started in this time.
TRAFFIC_S = 10.0
# Targets that are added within this time after a pool's first one are its initial ones.
FILLING_S = 1.0
# The speed of warm targets is determined once per this time.
REFERENCE_AGE_S = 0.5
# Requests that have waited for this long open paces as fast as if all targets had one.
PRESSING_WAIT_S = 0.5
# Events kept until they are taken.
MAX_EVENTS = 256
_REFUSED_STATUSES = frozenset(("failed", "not-run", "vanished", "died"))


@dataclass(slots=True)
class PaceEvent:
    """A pace that begins, or ends after `seconds` with the bound `bound`."""

    what: str
    target: str
    cause: str
    bound: float
    seconds: float = 0.0


class PoolPaces:
    """Begins, moves and ends `TargetState.pace` of the targets of a `Fleet`.

    Without `is_on` no target gets a pace; `young` (`YoungTargets`) counts either way.
    Methods take the time `now` in seconds.
    """

    __slots__ = (
        "_events",
        "_falls",
        "_filled_at",
        "_fleet",
        "_paced",
        "_reference",
        "_reference_at",
        "_started_at",
        "is_on",
        "young",
    )

    def __init__(self, fleet, is_on):
        self._fleet = fleet
        self.is_on = is_on
        self.young = YoungTargets()
        self._paced = {}
        self._falls = {}
        self._events = []
        self._filled_at = None
        self._started_at = None
        self._reference = None
        self._reference_at = float("-inf")

    def __len__(self):
        return len(self._paced)

    def take_events(self):
        """Return the `PaceEvent`s since the last call."""
        events, self._events = self._events, []
        return events

    def _note(self, event):
        if len(self._events) < MAX_EVENTS:
            self._events.append(event)

    # Begin and end

    def on_added(self, state, now):
        """Begin the pace of a new target unless it is one of an unused pool's first.

        A coordinator that has not started a request yet does not know the traffic:
        it may be a successor.
        """
        if self._filled_at is None:
            self._filled_at = now
        if self._started_at is None:
            has_traffic = now - self._filled_at >= FILLING_S
        else:
            has_traffic = now - self._started_at < TRAFFIC_S
        if has_traffic:
            self.begin(state, "added", now)

    def begin(self, state, cause, now, began_at=None):
        """Begin the pace of a target; it gets requests from `began_at` on."""
        began_at = now if began_at is None else began_at
        self.young.begin(state.name, began_at)
        if not self.is_on:
            return
        falls, own = self._falls.get(state.name, (0, None))
        if state.pace is not None:
            own = state.pace.own
        elif not falls and state.speed.known:
            own = state.speed.prefill_rate, state.speed.token_seconds
        if cause == "restart":
            # An ejection was that of the process before.
            state.ejected_until = float("-inf")
            state.probing = True
        # Requests that run on in the same incarnation show that it takes as many.
        in_flight = state.in_flight if cause in ("ejection", "draining") else 0
        state.pace = Pace(cause, began_at, own, in_flight, falls)
        self._paced[state.name] = state
        self._note(PaceEvent("begins", state.name, cause, state.pace.limit))

    def end(self, state, cause, now):
        """End the pace of a target, if it has one."""
        pace, state.pace = state.pace, None
        if pace is None:
            return
        del self._paced[state.name]
        if cause == "crash":
            # What it learnt in its pace are the times of a target that starts.
            falls, _ = self._falls.get(state.name, (0, None))
            self._falls[state.name] = falls + 1, pace.own
        else:
            self._falls.pop(state.name, None)
            if pace.cause == "restart":
                # Without a pace, a restart alone makes no target half-open.
                state.probing = False
        seconds = round(max(now - pace.began_at, 0.0), 3)
        self._note(PaceEvent("ends", state.name, cause, pace.limit, seconds))

    def remove(self, state, now):
        """Drop a target that is gone."""
        self.end(state, "removed", now)
        self._falls.pop(state.name, None)
        self.young.drop(state.name)

    def expire(self, now):
        """End the paces that have reached the slots or were not used.

        A target that got no request for a while is assumed to be warm until its next
        answer: its times may date from its start, and placement prefers others.
        """
        for state in list(self._paced.values()):
            self._end_if_due(state, now)
            if state.pace is not None and state.pace.is_idle(state.in_flight, now):
                rate, token_s = self._expected_speed(state, now)
                if rate is not None:
                    state.speed.assume(rate, token_s)
                    self._fleet.reindex(state)

    def _end_if_due(self, state, now):
        cause = state.pace.end_cause(state.limit.value, now)
        if cause:
            self.end(state, cause, now)

    # Requests

    def spared(self, work):
        """Return the half-open targets, which `work` should avoid, as a frozenset.

        They get no urgent request and none that may run only once while another
        target has room.
        """
        if not self._paced or not (
            work.runs_once or work.may_overbook or work.tier == 0
        ):
            return frozenset()
        return frozenset(name for name, state in self._paced.items() if state.probing)

    def on_start(self, state, now):
        """Count the start of a request."""
        self._started_at = now
        self.young.on_start(state.name, len(self._fleet), now)
        if state.pace is not None:
            state.pace.on_start(now)

    def on_adopted(self, state):
        """Take what another coordinator runs at a target as its bound."""
        if state.pace is not None:
            state.pace.adopt(state.in_flight)

    def is_stale(self, state, running):
        """Return whether a request started before the pace of its target began.

        Its failure was counted with those that began the pace.
        """
        return state.pace is not None and running.granted_at < state.pace.began_at

    def on_first(self, state, running, seconds, now):
        """Judge the time to the first event of a `running` request.

        Call it before the prefill of the request is ended. A target that answers is
        no longer half-open.
        """
        tokens = state.prefilling.get(running.work.id)
        if state.pace is None or tokens is None or self.is_stale(state, running):
            return
        rate, token_s = self._expected_speed(state, now)
        expected = None if rate is None else tokens / rate + token_s
        self._judge(state, seconds, expected, now)

    def on_outcome(self, state, running, outcome, now):
        """Judge the outcome of a request, before its estimates are learnt."""
        self.young.on_outcome(running, outcome, now)
        if state.pace is None:
            return
        if self.is_stale(state, running):
            if outcome.status != "ok":
                state.pace.on_unjudged()
        elif outcome.status == "ok":
            self._judge_whole(state, running, outcome, now)
        elif outcome.status in _REFUSED_STATUSES:
            state.pace.on_refused(now)
        elif outcome.status in ("returned", "unreachable", "paused"):
            state.pace.on_returned()
        else:
            state.pace.on_unjudged()

    def _judge_whole(self, state, running, outcome, now):
        work = running.work
        first, total = outcome.first_seconds, outcome.total_seconds
        rate, token_s = self._expected_speed(state, now)
        if total is None:
            return
        if first is None:
            expected = None
            if rate is not None:
                expected = max(outcome.decode_tokens, 1) * token_s
                if work.max_decode_tokens != 1:
                    expected += work.prefill_tokens / rate
            self._judge(state, total, expected, now)
            return
        self.on_first(state, running, first, now)
        if state.pace is not None and token_s is not None:
            expected = max(outcome.decode_tokens - 1, 0) * token_s
            state.pace.on_events(total - first, expected, now)

    def _judge(self, state, seconds, expected, now):
        if state.pace.on_answer(seconds, expected, now):
            state.probing = False
        self._end_if_due(state, now)

    def _expected_speed(self, state, now):
        """Return (tokens per second, seconds per token) of a warm target.

        The faster of what the target was known for and of the slower warm targets:
        machines differ, and its own estimate may date from a fault. (None, None) if
        neither is known.
        """
        if now - self._reference_at >= REFERENCE_AGE_S:
            self._reference_at = now
            self._reference = self._slower_warm_speed()
        speeds = [each for each in (state.pace.own, self._reference) if each]
        if not speeds:
            return None, None
        return max(rate for rate, _ in speeds), min(seconds for _, seconds in speeds)

    def _slower_warm_speed(self):
        """Return the speed that three quarters of the warm targets reach, or None."""
        warm = [
            state.speed
            for state in self._fleet
            if state.pace is None
            and state.speed.known
            and not state.down
            and not state.draining
        ]
        if not warm:
            return None
        rates = sorted(speed.prefill_rate for speed in warm)
        times = sorted((speed.token_seconds for speed in warm), reverse=True)
        return rates[len(warm) // 4], times[len(warm) // 4]

    # Waiting requests

    def open(self, waiting, now):
        """Open paces for requests that wait; return whether any target has room now.

        `waiting` are the pool's `WaitingRequests`. Paces are opened only while nothing
        else has room, and faster the longer the next request has waited.
        """
        if not self._paced or self._fleet.has_room(now):
            return False
        slots = paced = 0.0
        for state in self._fleet:
            if state.draining or state.down or now < state.ejected_until:
                continue
            slots += state.limit.value
            paced += state.limit.value if state.pace is not None else 0.0
        if not paced:
            return False
        waited_s = now - next(waiting.candidates()).arrived
        pressure = min(waited_s / PRESSING_WAIT_S, 1.0)
        for state in self._paced.values():
            state.pace.open(max(paced / slots, pressure), now)
        return self._fleet.has_room(now)
