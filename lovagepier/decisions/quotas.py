"""Client accounts' quotas: one token bucket an account."""

__all__ = ["Quotas"]


class _Bucket:
    __slots__ = ("at", "burst", "level", "promised", "rate")

    def __init__(self, rate, burst, level, now):
        self.rate = rate
        self.burst = burst
        self.level = level
        self.promised = 0.0
        self.at = now

    def refill(self, now):
        earned = (now - self.at) * self.rate
        self.level = min(self.level + earned, self.burst)
        self.promised = max(self.promised - earned, 0.0)
        self.at = now


class Quotas:
    """Admit what lies within each account's rate and burst.

    A refusal within the quota costs its caller, a little too much costs
    nobody, so rate and burst are widened: both by `overage` (0.05 is 5%), the
    burst by `extra_burst` and the rate by `extra_rate`, in the quota's unit. In any
    span T an account gets (rate x T + burst) of these at the most, and
    `max_debt` beyond. `share` is the part of every quota that this place may
    give out while others may be giving out the rest. After `take_over` a
    bucket starts with `INITIAL_FILL` of its burst, or with what the place before
    told that it had left if that is less; where nothing was told, with no more
    than `max_initial_level`.
    """

    INITIAL_FILL = 0.4

    __slots__ = (
        "_buckets",
        "_extra_burst",
        "_extra_rate",
        "_max_initial_level",
        "_inherited_levels",
        "_max_debt",
        "_overage",
        "_taken_over_at",
        "share",
    )

    def __init__(
        self,
        overage=0.0,
        extra_burst=0.0,
        extra_rate=0.0,
        max_debt=float("inf"),
        max_initial_level=float("inf"),
    ):
        self._max_initial_level = max_initial_level
        self._overage = overage
        self._extra_burst = extra_burst
        self._extra_rate = extra_rate
        self._max_debt = max_debt
        self._taken_over_at = float("-inf")
        self._buckets = {}
        self._inherited_levels = {}
        self.share = 1.0

    def take_over(self, now, levels=None):
        """Begin to give out what another place gave out until now.

        `levels` are that place's `low_levels` as it told them last, None where
        it was lost before it could tell.
        """
        self._taken_over_at = now
        self._buckets = {}
        self._inherited_levels = levels

    def low_levels(self, now):
        """Return {account: part of its burst that is left}.

        Those that have more than the first fill are left out.
        """
        levels = {}
        for name, bucket in self._buckets.items():
            bucket.refill(now)
            if bucket.level < bucket.burst * self.INITIAL_FILL:
                levels[name] = bucket.level / bucket.burst
        return levels

    def _initial_level(self, name, rate, burst, now):
        first = burst * self.INITIAL_FILL
        if self._inherited_levels is None:
            first = min(first, self._max_initial_level * self.share)
        elif name in self._inherited_levels:
            first = burst * min(self._inherited_levels[name], self.INITIAL_FILL)
        return min(first + rate * (now - self._taken_over_at), burst)

    def _bucket(self, name, rate, burst, now):
        rate = (rate * (1.0 + self._overage) + self._extra_rate) * self.share
        burst = (burst * (1.0 + self._overage) + self._extra_burst) * self.share
        bucket = self._buckets.get(name)
        if bucket is None:
            level = self._initial_level(name, rate, burst, now)
            bucket = _Bucket(rate, burst, level, now)
            self._buckets[name] = bucket
            return bucket
        bucket.refill(now)
        bucket.rate = rate
        bucket.burst = burst
        bucket.level = min(bucket.level, burst)
        return bucket

    def spend(self, name, rate, burst, cost, now, reserve=0.0):
        """Return 0 if a request is within the quota, else seconds to come back in.

        A request passes while more than `reserve` is left, which it leaves to
        the account's more urgent requests; no more than what the burst was
        widened by, so that nothing within the quota is refused. It may leave a
        bounded debt: else a spent quota would serve small requests only. Those
        refused are told to come back one after the other.
        """
        if not rate or not cost:
            return 0.0
        bucket = self._bucket(name, rate, burst, now)
        reserve = min(reserve, bucket.burst - burst * self.share)
        least = min(cost - self._max_debt * self.share, bucket.burst)
        if bucket.level > reserve and bucket.level >= least:
            bucket.level -= cost
            return 0.0
        bucket.promised += cost
        return (bucket.promised + reserve - bucket.level) / max(bucket.rate, 1e-9)

    def refund(self, name, cost):
        """Give back what a request cost that was not run after all."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.level = min(bucket.level + cost, bucket.burst)
