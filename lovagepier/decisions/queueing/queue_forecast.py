"""Which queued calls can't begin in time, by how fast calls began recently."""

from collections import deque

__all__ = ["StartLog", "too_late"]

WINDOW_S = 5.0
MAX_SAMPLES = 500
MIN_SAMPLES = 3


class StartLog:
    """The times at which recent calls of each service began.

    Unlike `StartRates`, it counts all starts of its window alike: between calls that
    begin together, a decaying rate would fall toward zero.
    """

    __slots__ = ("_times",)

    def __init__(self):
        self._times = {}

    def add(self, service, now):
        """Add the start of one call."""
        times = self._times.get(service)
        if times is None:
            times = self._times[service] = deque(maxlen=MAX_SAMPLES)
        times.append(now)

    def rate(self, service, now):
        """Return the starts per second of a service, None if too few are known."""
        times = self._times.get(service, ())
        while times and times[0] < now - WINDOW_S:
            times.popleft()
        if len(times) < MIN_SAMPLES:
            return None
        # Where calls begin and end together, nothing begins for a whole duration.
        until_last = (len(times) - 1) / max(times[-1] - times[0], 1e-3)
        until_now = len(times) / max(now - times[0], 1e-3)
        return min(until_last, until_now)


def too_late(queue, rate, now):
    """Return the calls of a queue that can't begin in time.

    `queue` holds (call, latest start) in the order of service, `rate` is in starts per
    second; without one only the calls whose latest start has passed are too late.
    """
    late = []
    kept = 0
    for call, latest_start in queue:
        begins_at = now + (kept + 1) / rate if rate else now
        if now > latest_start or begins_at > latest_start:
            late.append(call)
        else:
            kept += 1
    return late
