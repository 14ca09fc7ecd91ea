"""The queue of one pool, ordered by tier, fair share of accounts and latest start.

Load pattern: requests that may go to some regions only, any number of them, wait for
room there in front of requests that could start elsewhere.
"""

from collections import defaultdict
from heapq import heapify, heappop, heappush

from sortedcontainers import SortedList

__all__ = ["WaitingRequests"]


class _Account:
    """The queued requests of one account in one tier.

    `virtual_time` counts the service that it got in this tier, in seconds divided by
    its weight. `lanes` holds its requests by their regions, `size` is their number.
    """

    __slots__ = ("cost", "lanes", "name", "size", "virtual_time")

    def __init__(self, name, virtual_time):
        self.name = name
        self.virtual_time = virtual_time
        self.cost = 0.0
        self.lanes = defaultdict(_new_lane)
        self.size = 0


class _Tier:
    """The accounts of one tier.

    A lane holds the requests that may go to the same regions, `()` for any. `orders`
    holds by lane the (virtual time, name) of the accounts that have requests there.
    `floor` is the tier's virtual time. An account that was idle
    starts there at the earliest, so it earns no credit while idle.
    """

    __slots__ = ("accounts", "floor", "orders", "size")

    def __init__(self):
        self.accounts = {}
        self.orders = defaultdict(SortedList)
        self.floor = 0.0
        self.size = 0


def _new_lane():
    return SortedList(key=_latest_start_key)


def _latest_start_key(work):
    return (work.latest_start, work.sequence)


def _on_time_start_key(work):
    return (work.latest_on_time_start, work.sequence)


def _first(account):
    """Return the request of an account with the earliest latest start."""
    works = [lane[0] for lane in account.lanes.values() if lane]
    return min(works, key=_latest_start_key)


def _lane(tier, regions, order):
    """Yield ((depth, virtual time, name), request) of one lane in service order."""
    deeper = []
    for virtual_time, name in order:
        lane = tier.accounts[name].lanes[regions]
        yield (0, virtual_time, name), lane[0]
        deeper.append((virtual_time, name, lane))
    depth = 1
    while deeper:
        deeper = [item for item in deeper if len(item[2]) > depth]
        for virtual_time, name, lane in deeper:
            yield (depth, virtual_time, name), lane[depth]
        depth += 1


def _merged(lanes, closed):
    """Yield the requests of several lanes in service order until each is closed."""
    heads = []
    for lane in lanes:
        key, work = next(lane)
        heads.append((key, work.latest_start, work.sequence, work, lane))
    heapify(heads)
    while heads:
        *_, work, lane = heappop(heads)
        if work.regions in closed:
            continue
        yield work
        if work.regions not in closed and (item := next(lane, None)) is not None:
            key, after = item
            heappush(heads, (key, after.latest_start, after.sequence, after, lane))


class WaitingRequests:
    """A bounded queue of `Work` with strict priority between tiers.

    Within a tier the account with the least service per weight has precedence
    (start-time fair queueing over estimated seconds), and within an account the
    request with the earliest latest start. Adding and removing take O(log n).
    `restricted` holds the number of queued requests by their regions, of those that
    have any.
    """

    __slots__ = (
        "_by_id",
        "_by_latest_start",
        "_by_on_time_start",
        "restricted",
        "_tiers",
        "limit",
    )

    def __init__(self, tiers, limit):
        self._tiers = [_Tier() for _ in range(tiers)]
        self._by_id = {}
        self.restricted = {}
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

    def ahead_of(self, work):
        """Return how many requests of its tier or a higher one wait for its targets.

        While restricted requests are queued these are the ones with the same regions:
        the others may start elsewhere, or wait for other targets.
        """
        if not self.restricted:
            return sum(self.sizes()[: work.tier + 1])
        return sum(self.lane_size(tier, work.regions) for tier in range(work.tier + 1))

    def lane_size(self, number, regions):
        """Return how many requests of one tier wait with these regions."""
        tier = self._tiers[number]
        if not self.restricted:
            return 0 if regions else tier.size
        return sum(
            len(tier.accounts[name].lanes[regions])
            for _, name in tier.orders.get(regions, ())
        )

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
        if not account.size:
            account.virtual_time = max(account.virtual_time, tier.floor)
        lane = account.lanes[work.regions]
        if not lane:
            tier.orders[work.regions].add((account.virtual_time, account.name))
        lane.add(work)
        account.size += 1
        tier.size += 1
        if work.regions:
            count = self.restricted.get(work.regions, 0)
            self.restricted[work.regions] = count + 1
        self._by_id[work.id] = work
        self._by_latest_start.add(work)
        self._by_on_time_start.add(work)

    def _victim(self):
        """Return the request to evict.

        It is the one with the most slack of the account furthest over its fair
        share in the lowest tier.
        """
        tier = next(tier for tier in reversed(self._tiers) if tier.size)
        greedy = min(
            (account for account in tier.accounts.values() if account.size),
            key=lambda account: (
                -account.size / _first(account).weight,
                account.virtual_time,
                account.name,
            ),
        )
        works = [lane[-1] for lane in greedy.lanes.values() if lane]
        return max(works, key=_latest_start_key)

    def remove(self, request_id):
        """Remove and return the request with an id, or None."""
        work = self._by_id.pop(request_id, None)
        if work is None:
            return None
        self._by_latest_start.remove(work)
        self._by_on_time_start.remove(work)
        tier = self._tiers[work.tier]
        account = tier.accounts[work.account]
        lane = account.lanes[work.regions]
        lane.remove(work)
        account.size -= 1
        tier.size -= 1
        if not lane:
            tier.orders[work.regions].remove((account.virtual_time, account.name))
            if not account.size:
                self._drop_if_settled(tier, account)
        if work.regions:
            self.restricted[work.regions] -= 1
            if not self.restricted[work.regions]:
                del self.restricted[work.regions]
        return work

    def _drop_if_settled(self, tier, account):
        # An idle account at or below the floor would begin at the floor anyway.
        if account.virtual_time <= tier.floor:
            del tier.accounts[account.name]

    def candidates(self, closed=frozenset()):
        """Return an iterator over queued requests in service order.

        Within a tier the first request of each account comes first, then the second
        one of each, and so on. Requests whose regions are in `closed`, also if they are
        added meanwhile, are left out at no cost for each.
        """
        return self._of_all_lanes(closed) if self.restricted else self._of_one_lane()

    def _of_one_lane(self):
        for tier in self._tiers:
            deeper = []
            for _, name in tier.orders[()]:
                lane = tier.accounts[name].lanes[()]
                yield lane[0]
                deeper.append(lane)
            depth = 1
            while deeper:
                deeper = [lane for lane in deeper if len(lane) > depth]
                for lane in deeper:
                    yield lane[depth]
                depth += 1

    def _of_all_lanes(self, closed):
        for tier in self._tiers:
            lanes = [_lane(tier, *item) for item in tier.orders.items() if item[1]]
            yield from _merged(lanes, closed)

    def ahead_in_fair_order(self, work):
        """Return how many requests with its regions would be served before a new one.

        Of the other accounts of its tier only those that come before it in fair
        queueing count, so an account that sends much waits for itself. O(accounts).
        """
        tier = self._tiers[work.tier]
        own = tier.accounts.get(work.account)
        own_size = len(own.lanes.get(work.regions, ())) if own else 0
        rounds = (own_size + 1) / max(work.weight, 1e-6)
        ahead = sum(self.lane_size(each, work.regions) for each in range(work.tier))
        for _, name in tier.orders.get(work.regions, ()):
            lane = tier.accounts[name].lanes[work.regions]
            turns = rounds * max(lane[0].weight, 1e-6)
            ahead += min(len(lane), int(turns))
        return ahead

    def take(self, work, cost):
        """Remove `work` for service and charge its account `cost` seconds."""
        tier = self._tiers[work.tier]
        account = tier.accounts[work.account]
        orders = (tier.orders[()],)
        if self.restricted:
            orders = [tier.orders[each] for each, lane in account.lanes.items() if lane]
        for order in orders:
            order.remove((account.virtual_time, account.name))
        tier.floor = max(tier.floor, account.virtual_time)
        account.virtual_time += cost / max(work.weight, 1e-6)
        for order in orders:
            order.add((account.virtual_time, account.name))
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

    def most_urgent(self, number, regions=()):
        """Return the request of a lane with the earliest latest start, or None."""
        tier = self._tiers[number]
        works = [
            tier.accounts[name].lanes[regions][0]
            for _, name in tier.orders.get(regions, ())
        ]
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
