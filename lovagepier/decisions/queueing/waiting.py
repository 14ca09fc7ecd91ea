"""The queue of one pool, ordered by tier, fair share of accounts and latest start."""

from sortedcontainers import SortedList

__all__ = ["WaitingRequests"]


class _Account:
    """The queued requests of one account in one tier.

    `virtual_time` counts the service that it got in this tier, in seconds divided by
    its weight.
    """

    __slots__ = ("cost", "name", "virtual_time", "works")

    def __init__(self, name, virtual_time):
        self.name = name
        self.virtual_time = virtual_time
        self.cost = 0.0
        self.works = SortedList(key=_latest_start_key)


class _Tier:
    """The accounts of one tier; `order` holds (virtual time, name) of queued ones.

    `floor` is the tier's virtual time. An account that was idle starts there at the
    earliest, so it earns no credit while idle.
    """

    __slots__ = ("accounts", "floor", "order", "size")

    def __init__(self):
        self.accounts = {}
        self.order = SortedList()
        self.floor = 0.0
        self.size = 0


def _latest_start_key(work):
    return (work.latest_start, work.sequence)


def _on_time_start_key(work):
    return (work.latest_on_time_start, work.sequence)


class WaitingRequests:
    """A bounded queue of `Work` with strict priority between tiers.

    Within a tier the account with the least service per weight has precedence
    (start-time fair queueing over estimated seconds), and within an account the
    request with the earliest latest start. Adding and removing take O(log n).
    """

    __slots__ = ("_by_id", "_by_latest_start", "_by_on_time_start", "_tiers", "limit")

    def __init__(self, tiers, limit):
        self._tiers = [_Tier() for _ in range(tiers)]
        self._by_id = {}
        self._by_latest_start = SortedList(key=_latest_start_key)
        self._by_on_time_start = SortedList(key=_on_time_start_key)
        self.limit = limit

    def __len__(self):
        return len(self._by_id)

    def __contains__(self, request_id):
        return request_id in self._by_id

    def get(self, request_id):
        """Return the queued `Work` of an id, or None."""
        return self._by_id.get(request_id)

    def sizes(self):
        """Return the number of queued requests per tier, highest tier first."""
        return [tier.size for tier in self._tiers]

    def add(self, work):
        """Add `work`; return the request evicted from a full queue, or None.

        The evicted request may be `work` itself.
        """
        self._insert(work)
        if len(self._by_id) <= self.limit:
            return None
        victim = self._victim()
        self.remove(victim.id)
        return victim

    def _insert(self, work):
        tier = self._tiers[work.tier]
        account = tier.accounts.get(work.account)
        if account is None:
            account = _Account(work.account, tier.floor)
            tier.accounts[work.account] = account
        if not account.works:
            account.virtual_time = max(account.virtual_time, tier.floor)
            tier.order.add((account.virtual_time, account.name))
        account.works.add(work)
        tier.size += 1
        self._by_id[work.id] = work
        self._by_latest_start.add(work)
        self._by_on_time_start.add(work)

    def _victim(self):
        """Return the request to evict.

        It is the one with the most slack of the account furthest over its fair
        share in the lowest tier.
        """
        tier = next(tier for tier in reversed(self._tiers) if tier.size)
        greedy = max(
            (tier.accounts[name] for _, name in tier.order),
            key=lambda account: len(account.works) / account.works[0].weight,
        )
        return greedy.works[-1]

    def remove(self, request_id):
        """Remove and return the request with an id, or None."""
        work = self._by_id.pop(request_id, None)
        if work is None:
            return None
        self._by_latest_start.remove(work)
        self._by_on_time_start.remove(work)
        tier = self._tiers[work.tier]
        account = tier.accounts[work.account]
        account.works.remove(work)
        tier.size -= 1
        if not account.works:
            tier.order.remove((account.virtual_time, account.name))
            self._drop_if_settled(tier, account)
        return work

    def _drop_if_settled(self, tier, account):
        # An idle account at or below the floor would begin at the floor anyway.
        if account.virtual_time <= tier.floor:
            del tier.accounts[account.name]

    def candidates(self):
        """Yield queued requests in service order without removing them.

        Within a tier the first request of each account comes first, then the second
        one of each, and so on.
        """
        for tier in self._tiers:
            deeper = []
            for _, name in tier.order:
                account = tier.accounts[name]
                yield account.works[0]
                deeper.append(account)
            depth = 1
            while deeper:
                deeper = [a for a in deeper if len(a.works) > depth]
                for account in deeper:
                    yield account.works[depth]
                depth += 1

    def ahead_of(self, work):
        """Return how many queued requests would be served before a new one.

        Of the other accounts of its tier only those that come before it in fair
        queueing count, so an account that sends much waits for itself. O(accounts).
        """
        tier = self._tiers[work.tier]
        own = tier.accounts.get(work.account)
        rounds = (len(own.works) + 1 if own else 1) / max(work.weight, 1e-6)
        ahead = sum(each.size for each in self._tiers[: work.tier])
        for _, name in tier.order:
            account = tier.accounts[name]
            turns = rounds * max(account.works[0].weight, 1e-6)
            ahead += min(len(account.works), int(turns))
        return ahead

    def take(self, work, cost):
        """Remove `work` for service and charge its account `cost` seconds."""
        tier = self._tiers[work.tier]
        account = tier.accounts[work.account]
        tier.order.remove((account.virtual_time, account.name))
        tier.floor = max(tier.floor, account.virtual_time)
        account.virtual_time += cost / max(work.weight, 1e-6)
        tier.order.add((account.virtual_time, account.name))
        return self.remove(work.id)

    def expired(self, now):
        """Remove and return all requests whose latest start has passed."""
        late = []
        while self._by_latest_start and self._by_latest_start[0].latest_start < now:
            work = self._by_latest_start[0]
            self.remove(work.id)
            late.append(work)
        return late

    def demote_late(self, now):
        """Move requests that will miss their soft deadline to their late tier.

        Returns the requests moved.
        """
        late = []
        while (
            self._by_on_time_start
            and self._by_on_time_start[0].latest_on_time_start < now
        ):
            work = self._by_on_time_start[0]
            self.remove(work.id)
            work.latest_on_time_start = float("inf")
            work.tier = work.late_tier
            self._insert(work)
            late.append(work)
        return late

    def most_urgent(self, tier):
        """Return the request of a tier with the earliest latest start, or None."""
        works = [a.works[0] for a in self._tiers[tier].accounts.values() if a.works]
        return min(works, key=_latest_start_key, default=None)

    def first_expiry(self):
        """Return the earliest latest start in seconds, or None if empty."""
        return self._by_latest_start[0].latest_start if self._by_latest_start else None

    def works(self):
        """Return all queued requests in arbitrary order."""
        return self._by_id.values()

    def highest_waiting_tier(self):
        """Return the number of the highest tier with queued requests, or None."""
        for number, tier in enumerate(self._tiers):
            if tier.size:
                return number
        return None
