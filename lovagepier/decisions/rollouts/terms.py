"""When a term of a host begins as coordinator, or as owner of a decision."""

__all__ = ["MAX_TICK_GAP_S", "Terms"]

# Other hosts may follow another coordinator once this one was silent for a second;
# its last message may be older than its last tick by one heartbeat.
MAX_TICK_GAP_S = 0.75


class Terms:
    """A term is a time in which a host is the coordinator without a gap.

    After a gap, as when its process was suspended or its event loop was blocked, the
    other hosts may have had another coordinator that this host knows nothing of.
    """

    __slots__ = ("_last_at", "_was_coordinator")

    def __init__(self):
        self._last_at = None
        self._was_coordinator = False

    def beginning(self, is_coordinator, now):
        """Return why a term begins with this tick, "" if none does.

        `now` is in seconds on a clock that goes on while the machine is suspended.
        """
        gap = 0.0 if self._last_at is None else now - self._last_at
        was_coordinator = self._was_coordinator
        self._last_at = now
        self._was_coordinator = is_coordinator
        if not is_coordinator:
            return ""
        if not was_coordinator:
            return "this host has the role now"
        if gap > MAX_TICK_GAP_S:
            return f"no tick for {gap:.2f} s"
        return ""
