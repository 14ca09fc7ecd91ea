"""Log lines and counts of requests that were refused early."""

from lovagepier.logs import component_logger

__all__ = ["RoomLog"]

# Early refusals have ended once there was none for this time.
QUIET_S = 2.0

_log = component_logger("pool")


class RoomLog:
    """Logs when a pool begins and ends to refuse requests early."""

    __slots__ = ("_before", "_last_at", "_seen")

    def __init__(self):
        self._seen = 0
        self._before = 0
        self._last_at = None

    def update(self, service, room, now):
        """Look at the `RoomHook` of a service's scheduler, None if it has none."""
        if room is None:
            return
        count = room.decision.early_refusals
        if count != self._seen:
            if self._last_at is None:
                self._before = self._seen
                _log.info(
                    "early refusals began",
                    service=service,
                    kinds=room.decision.describe(now),
                    taken=round(room.taken_fraction(now), 2),
                )
            self._seen = count
            self._last_at = now
        elif self._last_at is not None and now - self._last_at >= QUIET_S:
            self._last_at = None
            _log.info(
                "early refusals ended", service=service, refused=count - self._before
            )
