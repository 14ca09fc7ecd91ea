"""Keeps a burst of long answers from delaying urgent requests and each other.

Answers this load: a burst of the least urgent kind, whose answers are long, takes all
places some seconds before a burst of the most urgent kind, and in between one account
sends several times its usual load. Engines admit in order of arrival, so a place that
is taken stays taken to the end.
"""

from lovagepier.decisions.learning.estimates import Mean

__all__ = ["EarlyRefusal", "ReserveRoom"]

# A kind counts as long beside a more urgent one if its answers are this many times as
# long, and as present for this time after its last request.
LONG_FACTOR = 2.0
PRESENT_S = 60.0
_LENGTH_GAIN = 0.05
# No request is refused early while less than this fraction of the places is taken.
MIN_TAKEN_FRACTION = 0.5
# Callers honour a Retry-After up to this fraction of the time that they have left.
RETRY_FRACTION = 1 / 3
# Refused callers come back over this fraction of that time, not at one moment.
RETRY_SPREAD = 0.25
# A request is refused early if its expected wait is this many times what it has. In the
# replay of that load (test/urgent_replay.py), 1.0 refused more that would have been on
# time, and with 1.5 refused requests had waited for longer.
LATE_FACTOR = 1.25
# Longer requests than this many times their kind's mean are not refused early: little
# time would be left for them when they come back. Without it the largest tenth was
# answered on time less often than the kind (0.50 to 0.54 in the replay).
SIZE_FACTOR = 1.5
# At most this fraction of the recent requests of a kind, an account or a size is
# refused early, so that none is starved.
MAX_REFUSED_FRACTION = 0.5
# Requests that arrive while others wait count towards it, half as much after this time.
# The first ones of a key are too few to judge by.
FLOOR_HALF_LIFE_S = 7.0
MIN_FLOOR_REQUESTS = 4.0
MAX_KEYS = 4_096
# Which kinds differ is determined anew after this time, as it rarely changes.
MAX_PAIRS_AGE_S = 0.2
# If a place in the pool is freed at least this often, urgent requests wait for it and
# not at a full target, where only the places of that target would serve them.
MAX_NEXT_PLACE_S = 0.05
# The time to the first event beyond the least possible one is learnt as this quantile,
# with steps of this size. With the mean, half of the last starts would be late.
_EXCESS_QUANTILE = 0.8
_EXCESS_STEP_S = 0.005
MAX_EXCESS_S = 0.5


class EarlyRefusal:
    """Why a request is refused on arrival, and when it may come again; in seconds.

    `wait_s` is its expected queueing time, `left_s` the time to start in order to be
    on time.
    """

    __slots__ = ("ahead", "left_s", "rate", "retry_after", "wait_s")

    def __init__(self, ahead, rate, wait_s, left_s, retry_after):
        self.ahead = ahead
        self.rate = rate
        self.wait_s = wait_s
        self.left_s = left_s
        self.retry_after = retry_after

    def __str__(self):
        return (
            f"it would be late: {self.ahead} ahead at {self.rate:.0f}/s need "
            f"{self.wait_s:.1f} s of {max(self.left_s, 0.0):.1f} s left"
        )


class _Kind:
    """The requests of one tier: their mean length in output tokens."""

    __slots__ = ("excess_s", "last_at", "length")

    def __init__(self, length):
        self.length = Mean(length, _LENGTH_GAIN)
        self.last_at = float("-inf")
        self.excess_s = 0.0


class _Share:
    """Recent requests and early refusals of one kind, account or size."""

    __slots__ = ("at", "offered", "refused")

    def __init__(self, now):
        self.at = now
        self.offered = 0.0
        self.refused = 0.0

    def offer(self, now):
        if now - self.at >= FLOOR_HALF_LIFE_S:
            factor = 0.5 ** ((now - self.at) / FLOOR_HALF_LIFE_S)
            self.at = now
            self.offered *= factor
            self.refused *= factor
        self.offered += 1.0

    def may_refuse(self):
        if self.offered < MIN_FLOOR_REQUESTS:
            return False
        return self.refused + 1.0 <= self.offered * MAX_REFUSED_FRACTION


class ReserveRoom:
    """Decides which long, less urgent requests a pool refuses on arrival.

    It knows only what this scheduler was offered, so a new coordinator refuses nothing
    early until it has seen enough. `early_refusals` counts them. Times are in seconds.
    """

    __slots__ = (
        "_kinds",
        "_pairs_at",
        "_shares",
        "_yielding",
        "_yielded_to",
        "early_refusals",
    )

    def __init__(self):
        self._kinds = {}
        self._pairs_at = float("-inf")
        self._yielding = ()
        self._yielded_to = ()
        self._shares = {}
        self.early_refusals = 0

    def on_offer(self, work, now):
        """Count a request whose expected length is known."""
        kind = self._kinds.get(work.tier)
        if kind is None:
            kind = self._kinds[work.tier] = _Kind(work.decode_tokens)
        kind.length.add(work.decode_tokens)
        kind.last_at = now

    def _count_shares(self, work, now):
        shares = []
        for key in _keys(work):
            share = self._shares.get(key)
            if share is None:
                if len(self._shares) >= MAX_KEYS:
                    self._shares.pop(next(iter(self._shares)))
                share = self._shares[key] = _Share(now)
            share.offer(now)
            shares.append(share)
        return shares

    def describe(self, now):
        """Return {tier: mean length in tokens} of the kinds that are present."""
        return {
            tier: round(kind.length.value)
            for tier, kind in sorted(self._kinds.items())
            if now - kind.last_at <= PRESENT_S
        }

    def on_first_event(self, work, least_s, seconds):
        """Learn how much later than `least_s` after its start a response begins."""
        kind = self._kinds.get(work.tier)
        if kind is None:
            return
        is_above = seconds - least_s > kind.excess_s
        step = _EXCESS_QUANTILE if is_above else _EXCESS_QUANTILE - 1.0
        excess_s = kind.excess_s + step * _EXCESS_STEP_S
        kind.excess_s = min(max(excess_s, 0.0), MAX_EXCESS_S)

    def yields(self, work, now):
        """Return whether a more urgent kind with much shorter answers is present."""
        self._find_pairs(now)
        return work.tier in self._yielding

    def affects(self, tier, now):
        """Return whether `tier` yields or is lower than one that does.

        Late requests have tiers of their own below their kind's.
        """
        self._find_pairs(now)
        return bool(self._yielding) and tier >= min(self._yielding)

    def retry_after(self, work, now):
        """Return when a queued request that is refused may come again, 0 for any time.

        It is late in the time that its caller may wait, as the queue is long then.
        """
        if not self.affects(work.tier, now):
            return 0.0
        longest_s = max(work.deadline - now, 0.0) * RETRY_FRACTION
        return longest_s * (1.0 - RETRY_SPREAD * work.draw)

    def _find_pairs(self, now):
        """Find the tiers that yield to a more urgent, shorter kind, and those kinds."""
        if 0.0 <= now - self._pairs_at < MAX_PAIRS_AGE_S:
            return
        self._pairs_at = now
        present = [
            (tier, kind.length.value)
            for tier, kind in self._kinds.items()
            if now - kind.last_at <= PRESENT_S
        ]
        pairs = [
            (tier, other)
            for tier, length in present
            for other, long in present
            if other > tier and long >= LONG_FACTOR * length
        ]
        self._yielded_to = {tier for tier, _ in pairs}
        self._yielding = {tier for _, tier in pairs}

    def latest_on_time_start(self, work, now):
        """Return the last start of `work` at which it is likely to be on time."""
        if not self.yields(work, now):
            return work.latest_on_time_start
        return work.latest_on_time_start - self._kinds[work.tier].excess_s

    def waits_in_queue(self, work, freed_per_s, now):
        """Return whether `work` waits for any place, not at a full target."""
        if freed_per_s * MAX_NEXT_PLACE_S < 1.0:
            return False
        self._find_pairs(now)
        return work.tier in self._yielded_to

    def is_late(self, work, ahead, rate, now):
        """Return whether `work` would start too late behind `ahead` requests."""
        left_s = work.latest_on_time_start - now
        return _wait_s(ahead, rate) > left_s * LATE_FACTOR

    def refuse_early(self, work, ahead, rate, taken_fraction, now):
        """Return the `EarlyRefusal` of a request, or None if it may wait.

        `ahead` requests have precedence over it; `rate` of its tier and lower ones
        start per second. `taken_fraction` of all places is taken. A request whose
        caller would come back before the queue is gone is not refused.
        """
        if work.attempt or not ahead or taken_fraction < MIN_TAKEN_FRACTION:
            return None
        shares = self._count_shares(work, now)
        left_s = work.latest_on_time_start - now
        wait_s = _wait_s(ahead, rate)
        longest_s = (work.deadline - now) * RETRY_FRACTION
        if not self.is_late(work, ahead, rate, now) or wait_s > longest_s:
            return None
        if work.decode_tokens > SIZE_FACTOR * self._kinds[work.tier].length.value:
            return None
        if not self.yields(work, now):
            return None
        if not all(share.may_refuse() for share in shares):
            return None
        for share in shares:
            share.refused += 1.0
        self.early_refusals += 1
        # Callers that come back at one moment would be the next burst.
        retry_after = wait_s + (longest_s - wait_s) * (0.5 + 0.5 * work.draw)
        return EarlyRefusal(ahead, rate, wait_s, left_s, retry_after)


def _wait_s(ahead, rate):
    return ahead / max(rate, 1e-3)


def _keys(work):
    # Sizes that differ by less than a factor of two count as one.
    size = int(work.decode_tokens).bit_length()
    return (
        ("kind", work.tier),
        ("account", work.tier, work.account),
        ("size", work.tier, size),
    )
