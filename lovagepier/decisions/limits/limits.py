"""In-flight limits per target that keep it busy but its own queue short."""

__all__ = ["FixedLimit", "InFlightLimit"]

# Queueing inside a target up to this long doesn't count as congestion.
_QUEUE_TOLERANCE_S = 0.15
_BACKOFF_FACTOR = 0.85
_MIN_LIMIT = 1.0
_MAX_LIMIT = 4096.0
_MAX_RESTART_LIMIT = 2.0


class InFlightLimit:
    """A learnt limit: additive increase, multiplicative decrease on queueing.

    Engines admit requests in arrival order, so a request that waits inside an
    engine can't be overtaken. The limit grows while first bytes arrive as fast as
    the prefill alone explains. When they arrive later it shrinks, at most once per
    queueing delay. Until the first sign of queueing it grows by one with each first
    byte (slow start), so that a large target is soon in full use.
    """

    # How far requests that may overbook (see `Work.may_overbook`) can exceed the
    # limit. It is an estimate, so exceeding it by one is harmless.
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
        """Adapt to a request that queued `waited` seconds inside the target."""
        if waited <= _QUEUE_TOLERANCE_S:
            if in_flight >= self.value - 1:
                step = 1.0 if self._slow_start else 1.0 / self.value
                self.value = min(self.value + step, _MAX_LIMIT)
            return
        self._slow_start = False
        if now < self._hold_until:
            return
        self.value = max(self.value * _BACKOFF_FACTOR, _MIN_LIMIT)
        self._hold_until = now + waited

    def on_report(self, running, waiting, now):
        """Adapt to a load report: a target that queues runs at its capacity."""
        if waiting > 0 and running > 0 and running < self.value:
            self._slow_start = False
            ceiling = running + 1.0
            self.value = max(min(self.value, ceiling), _MIN_LIMIT)
            self._hold_until = max(self._hold_until, now)

    def on_failure(self, now):
        """Shrink after a refusal or failure of the target.

        Late first bytes don't shrink the limit again for one second.
        """
        self.value = max(self.value * _BACKOFF_FACTOR, _MIN_LIMIT)
        self._hold_until = now + 1.0

    def restart(self):
        """Lower the limit for a target that restarted with empty caches."""
        self.value = min(self.value, _MAX_RESTART_LIMIT)


class FixedLimit:
    """The number of slots that a target's registration states; nothing is learnt.

    Below one slot the target is not used at all.
    """

    # Requests that may overbook wait for the next slot at the target itself.
    # Otherwise the slot stays empty from the end of a request until the next grant
    # arrives.
    overbook_slots = 1

    __slots__ = ("value",)

    def __init__(self, value):
        self.value = float(value)

    def has_room(self, in_flight, reserve=0):
        """Return whether one more request fits, keeping `reserve` slots."""
        return self.value >= _MIN_LIMIT and in_flight + 1 + reserve <= self.value

    def on_first_byte(self, waited, in_flight, now):
        """Do nothing: the number of slots is fixed."""

    def on_report(self, running, waiting, now):
        """Do nothing: the number of slots is fixed."""

    def on_failure(self, now):
        """Do nothing: the number of slots is fixed."""

    def restart(self):
        """Do nothing: the number of slots is fixed."""
