"""Rate limits of targets: the token bucket, and a model of hosts that share it."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagepier.decisions.limits.rate_limits import RateLimit
from lovagepier.decisions.placement.work import Grant
from lovagepier.errors import ErrorKind
from test.builders import ended, make_scheduler, make_work
from test.rate_model import RateModel
from test.test_target_limits import WINDOW_S, allowed, most_in_a_window

# The rule holds from this long after a limit was first stated.
CONTACT_S = 3.0
SEEDS = range(6)
RATES = (0.5, 1.0, 3.2, 8.0)


def between(times, start, end):
    return [at for at in times if start <= at < end]


def starts(limit, begin, end, step=0.01):
    """Start a request whenever `limit` allows one; return the times."""
    times = []
    for number in range(int((end - begin) / step)):
        now = begin + number * step
        if limit.allows(now):
            limit.spend(now)
            times.append(now)
    return times


@given(
    rates=st.lists(st.floats(0.1, 50), min_size=1, max_size=4),
    shares=st.lists(st.integers(1, 9), min_size=1, max_size=9),
)
def test_coordinators_that_share_a_limit_start_no_more_than_the_whole(rates, shares):
    limits = []
    for part in shares:
        limit = RateLimit()
        limit.set_share(part / sum(shares), 0.0)
        limits.append(limit)
    for number, rate in enumerate(rates):
        begin = number * 10.0
        for limit in limits:
            limit.state(rate, begin, begin)
        times = [
            at
            for limit in limits
            for at in starts(limit, begin, begin + 10.0, step=0.05)
        ]
        last = between(times, begin + WINDOW_S, math.inf)
        assert most_in_a_window(last) <= allowed(rate)


def test_a_limit_is_used_while_work_waits():
    limit = RateLimit()
    limit.state(2.0, 0.0, 0.0)
    assert len(starts(limit, 0.0, 20.0)) >= 0.9 * 2.0 * 20.0


def test_a_late_response_does_not_lift_a_limit():
    limit = RateLimit()
    limit.state(2.0, 1.0, 5.0)
    assert not limit.state(math.inf, 4.9, 5.5)
    assert not limit.state(9.0, 4.9, 5.5)
    assert limit.state(1.0, 4.9, 5.5)
    assert limit.state(math.inf, 5.6, 5.7)


def test_a_limit_of_zero_still_lets_a_request_find_out_that_it_ended():
    limit = RateLimit()
    limit.state(0.0, 0.0, 0.0)
    assert 1 <= len(starts(limit, 0.0, 40.0)) <= allowed(0.0)


def test_a_new_coordinator_begins_without_tokens():
    limit = RateLimit()
    limit.state(5.0, 0.0, 0.0)
    limit.take_over(10.0)
    assert not limit.allows(10.0)
    assert limit.allows(10.3)


@pytest.mark.parametrize("changes", [False, True])
@pytest.mark.parametrize("rate", RATES)
def test_a_target_gets_no_more_than_its_limit_over_changes_of_coordinators(
    rate, changes
):
    for seed in SEEDS:
        model = RateModel(seed, [(0, None), (4, rate), (20, None)], changes=changes)
        model.run(20)
        limited = between(model.arrivals, 4 + CONTACT_S, 20)
        assert most_in_a_window(limited) <= allowed(rate), seed
        if not changes:
            expected = 0.9 * rate * (20 - 4 - CONTACT_S)
            assert len(limited) >= math.floor(expected), seed


@pytest.mark.parametrize("seed", SEEDS)
def test_limits_that_fall_rise_and_end_are_followed(seed):
    model = RateModel(seed, [(0, None), (4, 6), (12, 1.5), (20, 4), (28, None)])
    model.run(36)
    for begin, end, rate in ((4, 12, 6), (12, 20, 1.5), (20, 28, 4)):
        limited = between(model.arrivals, begin + CONTACT_S, end)
        assert most_in_a_window(limited) <= allowed(rate)
    assert len(between(model.arrivals, 32, 36)) > 4 * 15


def test_work_beyond_a_limit_goes_to_other_targets():
    scheduler = make_scheduler(("e1", "e2"), slots=8.0)
    scheduler.fleet.get("e1").rate_limit.state(1.0, 0.0, 0.0)
    granted = []
    for number in range(8):
        granted += scheduler.offer(make_work(f"r{number}"), 0.1)
    assert {grant.target for grant in granted} == {"e2"}


def test_refusals_of_what_exceeded_a_limit_do_not_eject_its_target():
    scheduler = make_scheduler(("e1", "e2"), slots=8.0)
    works = [make_work(f"r{number}", exclude=frozenset(("e2",))) for number in range(4)]
    for work in works:
        (grant,) = scheduler.offer(work, 0.0)
        assert isinstance(grant, Grant)
    scheduler.targets.state_limit("rate_limit", "e1", "i1", 5.0, works[0].id, 0.1)
    for work in works:
        scheduler.finish(ended(work, "e1", "not-run"), 0.2)
    assert scheduler.fleet.get("e1").takes_work(1.0)


def test_a_restarted_target_has_no_limit():
    scheduler = make_scheduler(("e1",))
    scheduler.targets.state_limit("rate_limit", "e1", "i1", 0.0, "", 0.1)
    assert not scheduler.offer(make_work("r1"), 0.2)
    (grant,) = scheduler.set_target("e1", "a1", "v1", "i2", 0.3)
    assert isinstance(grant, Grant)


def test_word_of_an_earlier_incarnation_is_dropped():
    scheduler = make_scheduler(("e1",))
    assert not scheduler.targets.state_limit("rate_limit", "e1", "i0", 0.0, "", 0.1)
    assert scheduler.offer(make_work("r1"), 0.2)


def test_a_grant_that_was_not_used_does_not_count():
    scheduler = make_scheduler(("e1",))
    scheduler.targets.state_limit("rate_limit", "e1", "i1", 1.0, "", 0.0)
    work = make_work("r1")
    (grant,) = scheduler.offer(work, 1.5)
    assert not scheduler.offer(make_work("r2"), 1.5)
    (second,) = scheduler.finish(ended(work, "e1", "returned"), 1.5)
    assert (second.work.id, grant.target) == ("r2", "e1")


def test_the_wait_for_a_limited_target_ends_at_the_deadline():
    scheduler = make_scheduler(("e1",))
    scheduler.targets.state_limit("rate_limit", "e1", "i1", 0.0, "", 0.0)
    assert not scheduler.offer(make_work("r1", deadline=2.0), 0.0)
    (refusal,) = scheduler.tick(2.1)
    assert refusal.kind == ErrorKind.DEADLINE_WAITING


def test_what_the_limits_of_all_targets_leave_no_time_is_refused_at_once():
    scheduler = make_scheduler(("e1", "e2"), slots=8.0)
    for name in ("e1", "e2"):
        scheduler.targets.state_limit("rate_limit", name, "i1", 1.0, "", 0.0)
    decisions = []
    for number in range(6):
        work = make_work(f"r{number}", deadline=2.0)
        decisions += scheduler.offer(work, 0.0)
    assert {decision.kind for decision in decisions} == {ErrorKind.DEADLINE_WAITING}
    assert len(scheduler.waiting) == 5
    assert 0 < decisions[0].retry_after < 1.0
    urgent = make_work("urgent", deadline=2.0, tier=0)
    assert not scheduler.offer(urgent, 0.0)


def test_a_target_without_a_limit_keeps_others_waiting():
    scheduler = make_scheduler(("e1", "e2"), slots=1.0)
    scheduler.targets.state_limit("rate_limit", "e1", "i1", 1.0, "", 0.0)
    for number in range(6):
        work = make_work(f"r{number}", deadline=2.0)
        assert not any(
            hasattr(decision, "kind") for decision in scheduler.offer(work, 0.0)
        )
