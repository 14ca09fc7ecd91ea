"""The calls that this host serves, and their end in its stop."""

__all__ = ["STOPPING_RETRY_AFTER_S", "RunningCalls"]

# Retry-After of a stopping host: callers go to another host at once.
STOPPING_RETRY_AFTER_S = 0.05
WHY_ENDED = "the host stops"


class RunningCalls:
    """All exchanges in progress; `end_by` sets when the stop ends them."""

    __slots__ = ("_ends_at", "_exchanges")

    def __init__(self):
        self._exchanges = set()
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
