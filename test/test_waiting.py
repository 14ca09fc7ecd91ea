"""Tests of the request queue: tier order, fairness, eviction."""

from hypothesis import given
from hypothesis import strategies as st

from lovagepier.decisions.queueing.waiting import WaitingRequests
from test.builders import make_work

_WORKS = st.lists(
    st.tuples(st.integers(0, 3), st.sampled_from("abcd"), st.floats(0, 50)),
    max_size=60,
)


def _fill(queue, works):
    evicted = []
    for number, (tier, account, start) in enumerate(works):
        work = make_work(f"r{number}", tier=tier, account=account)
        work.latest_start = start
        work.sequence = number
        victim = queue.add(work)
        if victim is not None:
            evicted.append(victim)
    return evicted


@given(_WORKS, st.integers(1, 20))
def test_eviction_takes_from_the_lowest_tier(works, limit):
    queue = WaitingRequests(4, limit)
    for number, (tier, account, start) in enumerate(works):
        work = make_work(f"r{number}", tier=tier, account=account)
        work.latest_start = start
        work.sequence = number
        victim = queue.add(work)
        if victim is not None:
            assert all(victim.tier >= kept.tier for kept in queue.works())
    assert len(queue) == min(len(works), limit)


@given(_WORKS)
def test_nothing_is_lost_or_served_twice(works):
    queue = WaitingRequests(4, 1000)
    _fill(queue, works)
    served = []
    while len(queue):
        work = next(iter(queue.candidates()))
        assert work.tier == queue.highest_waiting_tier()
        served.append(queue.take(work, 1.0).id)
    assert sorted(served) == sorted(f"r{n}" for n in range(len(works)))


@given(_WORKS, st.floats(0, 50))
def test_exactly_the_expired_requests_are_removed(works, now):
    queue = WaitingRequests(4, 1000)
    _fill(queue, works)
    expired = queue.expired(now)
    assert all(work.latest_start < now for work in expired)
    assert all(work.latest_start >= now for work in queue.works())


def test_a_burst_of_one_account_does_not_starve_another():
    queue = WaitingRequests(2, 1000)
    _fill(queue, [(0, "large", 10.0)] * 100 + [(0, "small", 10.0)] * 5)
    order = []
    for _ in range(12):
        work = next(iter(queue.candidates()))
        order.append(queue.take(work, 1.0).account)
    assert order.count("small") == 5


def test_service_is_divided_by_weight():
    queue = WaitingRequests(1, 1000)
    for number in range(100):
        account, weight = ("heavy", 3.0) if number % 2 else ("light", 1.0)
        work = make_work(f"r{number}", tier=0, account=account, weight=weight)
        work.sequence = number
        queue.add(work)
    order = []
    for _ in range(40):
        work = next(iter(queue.candidates()))
        order.append(queue.take(work, 1.0).account)
    assert order.count("heavy") == 30
