"""An in-flight limit per target that keeps its own queue short but busy."""

__all__ = ["FixedLimit", "InFlightLimit"]

_QUEUE_TOLERANCE_S = 0.15
_BACKOFF = 0.85
_MIN_LIMIT = 1.0
_MAX_LIMIT = 4096.0
_MAX_RESTART_LIMIT = 2.0


class InFlightLimit:
    """Additive increase, multiplicative decrease on queueing inside a target.

    Engines admit in arrival order, so a request that waits inside an engine
    can't be overtaken. The limit grows while first bytes come as fast as the
    prefill alone explains, and shrinks, at most once a queueing delay, when
    they come later. Until the first sign of queueing it grows by one with
    each first byte, so that a large target is in full use soon.
    """

    # The top tier may have this many more in flight: a learnt limit is no wall.
    overbook_slots = 1

    __slots__ = ("_hold_until", "_slow_start", "value")

    def __init__(self, start=8.0):
        self.value = start
        self._slow_start = True
        self._hold_until = float("-inf")

    def has_room(self, in_flight, reserve=0):
        """Return whether one more request fits, keeping `reserve` slots."""
        return in_flight + 1 + reserve <= max(self.value, _MIN_LIMIT)

    def on_first_byte(self, waited, in_flight, now):
        """Fold in `waited` seconds in the target's queue before prefill."""
        if waited <= _QUEUE_TOLERANCE_S:
            if in_flight >= self.value - 1:
                step = 1.0 if self._slow_start else 1.0 / self.value
                self.value = min(self.value + step, _MAX_LIMIT)
            return
        self._slow_start = False
        if now < self._hold_until:
            return
        self.value = max(self.value * _BACKOFF, _MIN_LIMIT)
        self._hold_until = now + waited

    def on_report(self, running, waiting, now):
        """Fold in a load report: a target that queues runs at its capacity."""
        if waiting > 0 and running > 0 and running < self.value:
            self._slow_start = False
            ceiling = running + 1.0
            self.value = max(min(self.value, ceiling), _MIN_LIMIT)
            self._hold_until = max(self._hold_until, now)

    def on_failure(self, now):
        """Shrink after a refusal or failure of the target."""
        self.value = max(self.value * _BACKOFF, _MIN_LIMIT)
        self._hold_until = now + 1.0

    def restart(self):
        """Start low again with a target that has lost what it knew."""
        self.value = min(self.value, _MAX_RESTART_LIMIT)


class FixedLimit:
    """A limit that the target's own registration states; nothing is learnt.

    Below one slot the target is not used at all.
    """

    # The top tier may wait for the next slot at the target itself: the way from
    # an ended request to the next grant leaves a slot empty otherwise.
    overbook_slots = 1

    __slots__ = ("value",)

    def __init__(self, value):
        self.value = float(value)

    def has_room(self, in_flight, reserve=0):
        """Return whether one more request fits, keeping `reserve` slots."""
        return self.value >= _MIN_LIMIT and in_flight + 1 + reserve <= self.value

    def on_first_byte(self, waited, in_flight, now):
        """Learn nothing: the slots are stated."""

    def on_report(self, running, waiting, now):
        """Learn nothing: the slots are stated."""

    def on_failure(self, now):
        """Learn nothing: the slots are stated."""

    def restart(self):
        """Learn nothing: the slots are stated."""
