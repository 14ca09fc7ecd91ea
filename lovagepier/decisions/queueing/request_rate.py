"""The current rate of a service's requests."""

from collections import deque

__all__ = ["MIN_RATE_SPAN_S", "RequestRate"]

# The shortest time that a rate is known by, in seconds.
MIN_RATE_SPAN_S = 0.5


class RequestRate:
    """The rate of requests over the last `span_s` seconds.

    It is not known until there are samples over `min_span_s`. Unlike a `StartLog` or
    `StartRates`, it takes readings of a count instead of single events.
    """

    __slots__ = ("_min_span_s", "_samples", "_span_s")

    def __init__(self, span_s, min_span_s=MIN_RATE_SPAN_S):
        self._span_s = span_s
        self._min_span_s = min_span_s
        self._samples = deque()

    def add(self, sent, now):
        """Add the number of requests `sent` until `now`."""
        samples = self._samples
        samples.append((now, sent))
        while len(samples) > 2 and now - samples[1][0] >= self._span_s:
            samples.popleft()

    def current(self):
        """Return the requests per second, None if it is not known yet."""
        if not self._samples:
            return None
        began, sent_before = self._samples[0]
        now, sent = self._samples[-1]
        if now - began < self._min_span_s:
            return None
        return (sent - sent_before) / (now - began)
