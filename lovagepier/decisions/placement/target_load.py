"""The load that the targets of each version of a service have during a rollout."""

from collections import deque

from lovagepier.decisions.queueing.request_rate import RequestRate

__all__ = ["TargetLoads"]

# Requests are counted over this time, and at first over no less than `MIN_SPAN_S`.
RATE_SPAN_S = 5.0
MIN_SPAN_S = 2.0
# Loads are kept so long, for requests that began that long ago.
HISTORY_S = 60.0
# Loads are noted at most this often, unless the shares change.
MIN_INTERVAL_S = 0.1


class TargetLoads:
    """Requests per second and target of each version, as a pool grants them.

    Requests in flight would not do: a slow version has more of them at the same rate,
    so that its slowness would look like load.
    """

    __slots__ = ("_history", "_rate", "_sent")

    def __init__(self):
        self._rate = RequestRate(RATE_SPAN_S, MIN_SPAN_S)
        self._sent = None
        self._history = deque()

    def update(self, sent, shares, targets, now):
        """Note the loads at `now`, in seconds.

        `sent` is the number of requests granted until then, `shares` are the fractions
        of them that go to each version and `targets` the numbers of its targets.
        """
        self._count(sent, now)
        rate = self._rate.current()
        loads = {}
        if rate is not None:
            loads = {
                version: rate * share / targets[version]
                for version, share in shares.items()
                if targets.get(version)
            }
        shares = dict(shares)
        if self._history:
            noted_at, noted_shares, _ = self._history[-1]
            if now - noted_at < MIN_INTERVAL_S and shares == noted_shares:
                return
        self._history.append((now, shares, loads))
        while len(self._history) > 1 and now - self._history[1][0] >= HISTORY_S:
            self._history.popleft()

    def _count(self, sent, now):
        # The count starts anew with each coordinator. One that has not changed may be
        # an old report.
        if self._sent is not None and sent < self._sent:
            self._rate = RequestRate(RATE_SPAN_S, MIN_SPAN_S)
        if sent != self._sent:
            self._rate.add(sent, now)
        self._sent = sent

    def highest(self, version, since):
        """Return the highest load of a version's targets from `since` on, or None."""
        highest = None
        for noted_at, _, loads in reversed(self._history):
            load = loads.get(version)
            if load is not None and (highest is None or load > highest):
                highest = load
            if noted_at <= since:
                break
        return highest
