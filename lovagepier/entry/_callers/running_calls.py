"""The calls that this host serves, and their end in its stop."""

from lovagepier.decisions.queueing.queue_forecast import StartLog, too_late

__all__ = ["STOPPING_RETRY_AFTER_S", "RunningCalls"]

# Retry-After of a stopping host: callers go to another host at once.
STOPPING_RETRY_AFTER_S = 0.05
WHY_ENDED = "the host stops"
WHY_TOO_LATE = "it could not begin in time before the host stops"


class RunningCalls:
    """All exchanges in progress; `end_by` sets when the stop ends them.

    `starts` is the `StartLog` of the calls that were granted a target.
    """

    __slots__ = ("_ends_at", "_exchanges", "starts")

    def __init__(self):
        self._exchanges = set()
        self.starts = StartLog()
        self._ends_at = None

    def add(self, exchange):
        """Add an exchange that has begun."""
        self._exchanges.add(exchange)
        if self._ends_at is not None:
            exchange.end_by(self._ends_at, WHY_ENDED)

    def discard(self, exchange):
        """Remove an exchange that has ended."""
        self._exchanges.discard(exchange)

    def end_by(self, ends_at):
        """End all exchanges, later ones too, with a response at loop time `ends_at`."""
        self._ends_at = ends_at
        for exchange in list(self._exchanges):
            exchange.end_by(ends_at, WHY_ENDED)

    def give_back_late(self, latest_start, now):
        """End waiting calls that can't begin in time; their callers may go elsewhere.

        `latest_start(call)` returns the last loop time at which to begin a call. The
        coordinator drops them from its queue.
        """
        queues = {}
        for exchange in self._exchanges:
            if exchange.is_waiting:
                queues.setdefault(exchange.call.kind[0], []).append(exchange)
        for service, queue in queues.items():
            queue.sort(key=lambda exchange: exchange.precedence)
            rows = [(each, latest_start(each.call)) for each in queue]
            for exchange in too_late(rows, self.starts.rate(service, now), now):
                exchange.end_by(now, WHY_TOO_LATE)
