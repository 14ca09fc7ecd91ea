"""Quotas of client accounts: one token bucket per account."""

__all__ = ["Quotas"]


class _Bucket:
    """One account's tokens; `promised` are those that refused requests wait for.

    `spent` are those that admitted requests cost and that no other coordinator has
    been informed of yet. `rate` and `burst` are the fraction `share` of the quota's.
    """

    __slots__ = ("at", "burst", "level", "promised", "rate", "share", "spent")

    def __init__(self, rate, burst, level, now):
        self.rate = rate
        self.burst = burst
        self.level = level
        self.promised = 0.0
        self.share = 1.0
        self.spent = 0.0
        self.at = now

    def refill(self, now):
        earned = (now - self.at) * self.rate
        self.level = min(self.level + earned, self.burst)
        self.promised = max(self.promised - earned, 0.0)
        self.at = now


class Quotas:
    """Admission by each account's rate and burst.

    Refusing a request within its quota harms the caller, while admitting a little
    too much does no harm. So rate and burst are widened: both by `overage` (0.05 is
    5%), the burst by `extra_burst` and the rate by `extra_rate`, in the quota's
    unit. Over any time T an account gets at most (rate x T + burst) of the widened
    values, plus a debt of `max_debt`.

    `window_s` is the time over which an account's use is bounded.

    `share` is the fraction of every quota that this coordinator may admit, while
    others may admit the rest. After `take_over` a bucket starts with `INITIAL_FILL`
    of its burst, or with the level that the previous coordinator reported if that
    is less. If that one reported nothing, a bucket starts with `max_initial_level`
    at most.

    After a loss of all coordinators each new one begins with a small share, and one
    of them takes over the others' shares as their hosts join it: `set_share` then adds
    what the additional share would have begun with, `debit` subtracts what the joining
    hosts report that they spent (`take_spent`).
    """

    # Fraction of the burst that a bucket holds after a change of coordinator.
    INITIAL_FILL = 0.4
    # Coordinators that start without knowing earlier levels join their shares within
    # this time.
    JOIN_PERIOD_S = 3.0

    __slots__ = (
        "_buckets",
        "_debits",
        "_extra_burst",
        "_extra_rate",
        "_inherited_levels",
        "_max_debt",
        "_max_initial_level",
        "_max_share",
        "_overage",
        "_taken_over_at",
        "_window_s",
        "share",
    )

    def __init__(
        self,
        overage=0.0,
        extra_burst=0.0,
        extra_rate=0.0,
        max_debt=float("inf"),
        max_initial_level=float("inf"),
        window_s=0.0,
    ):
        self._max_initial_level = max_initial_level
        self._overage = overage
        self._extra_burst = extra_burst
        self._extra_rate = extra_rate
        self._max_debt = max_debt
        self._window_s = window_s
        self._taken_over_at = float("-inf")
        self._buckets = {}
        self._debits = {}
        self._inherited_levels = {}
        self._max_share = 1.0
        self.share = 1.0

    def take_over(self, now, levels=None):
        """Start to admit requests that another coordinator admitted until now.

        `levels` are the last `low_levels` reported by that coordinator, None if it
        was lost before it could report any. All buckets start anew.
        """
        self._taken_over_at = now
        self._buckets = {}
        self._debits = {}
        self._inherited_levels = levels
        self._max_share = 0.0 if levels is None else 1.0

    def set_share(self, share, now):
        """Hand out the fraction `share` of every quota from now on."""
        gained = share - max(self._max_share, self.share)
        self.share = share
        if gained <= 0.0 or not self._is_joining(now):
            return
        self._max_share = share
        for bucket in self._buckets.values():
            bucket.refill(now)
            full_burst = bucket.burst / bucket.share
            full_rate = bucket.rate / bucket.share
            first = min(full_burst * self.INITIAL_FILL, self._max_initial_level)
            first += full_rate * (now - self._taken_over_at)
            bucket.share = share
            bucket.burst = full_burst * share
            bucket.rate = full_rate * share
            bucket.level = min(bucket.level + gained * first, bucket.burst)

    def _is_joining(self, now):
        if self._inherited_levels is not None:
            return False
        return now - self._taken_over_at < self.JOIN_PERIOD_S

    def take_spent(self, now):
        """Return {account: tokens} spent since the last call by a starting coordinator.

        Empty unless this one started without knowing earlier levels, and recently.
        """
        if not self._is_joining(now):
            return {}
        spent = {name: each.spent for name, each in self._buckets.items() if each.spent}
        for bucket in self._buckets.values():
            bucket.spent = 0.0
        return spent

    def debit(self, name, tokens):
        """Count tokens that another coordinator of this quota has spent."""
        bucket = self._buckets.get(name)
        if bucket is None:
            self._debits[name] = self._debits.get(name, 0.0) + tokens
        else:
            bucket.level -= tokens

    def low_levels(self, now):
        """Return {account: fraction of its burst that is left}.

        Accounts with at least `INITIAL_FILL` left are omitted. None for `window_s`
        after a start without earlier levels: accounts that were not seen since may
        have spent theirs before.
        """
        since = now - self._taken_over_at
        if self._inherited_levels is None and since < self._window_s:
            return None
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
            level -= self._debits.pop(name, 0.0)
            bucket = _Bucket(rate, burst, level, now)
            bucket.share = self.share
            self._buckets[name] = bucket
            return bucket
        bucket.refill(now)
        bucket.share = self.share
        bucket.rate = rate
        bucket.burst = burst
        bucket.level = min(bucket.level, burst)
        return bucket

    def spend(self, name, rate, burst, cost, now, reserve=0.0):
        """Charge a request; return 0 if admitted, else the seconds to retry after.

        A request is admitted while more than `reserve` tokens are left, which are
        kept for the account's more urgent requests. The reserve is bounded by what
        the burst was widened by, so that nothing within the quota is refused. A
        request may leave a debt of at most `max_debt`; otherwise an exhausted quota
        would admit small requests only. Refused requests get increasing retry
        times, so that they don't return all at once. A quota without a rate admits
        everything.
        """
        if not rate or not cost:
            return 0.0
        bucket = self._bucket(name, rate, burst, now)
        reserve = min(reserve, bucket.burst - burst * self.share)
        least = min(cost - self._max_debt * self.share, bucket.burst)
        if bucket.level > reserve and bucket.level >= least:
            bucket.level -= cost
            bucket.spent += cost
            return 0.0
        bucket.promised += cost
        return (bucket.promised + reserve - bucket.level) / max(bucket.rate, 1e-9)

    def refund(self, name, cost):
        """Return the cost of an admitted request that was not run."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.level = min(bucket.level + cost, bucket.burst)
            bucket.spent = max(bucket.spent - cost, 0.0)
