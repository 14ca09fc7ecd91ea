"""The bound of cold targets: the limit, its shares, and what makes a target cold."""

import random
import types

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagepier.decisions.limits.cold_limits import (
    HOLD_S,
    MAX_DELAY_S,
    MAX_GRANT_AGE_S,
    ColdBound,
    ColdLimit,
    ColdShare,
)
from lovagepier.decisions.placement.work import Grant
from lovagepier.entry._coordination.cold_targets import SETTLING_S, ColdTargets
from test.builders import ended, make_scheduler, make_work

STEP_S = 0.01
ROUND_S = 0.25
# A lost follower is noticed after the link's time-out and a round.
DETECTION_S = 1.25
PER_S, OVERAGE, SLACK = 9.8, 1.5, 5.0


def most_in_a_second(times):
    times = sorted(times)
    return max(
        (sum(at <= other <= at + 1.0 for other in times) for at in times), default=0
    )


def settled_share(share, now):
    """Return a `ColdShare` that has held for long."""
    result = ColdShare()
    at = now - HOLD_S - 1.0
    while at <= now:
        result.set(share, at)
        at += ROUND_S
    return result


@given(
    per_s=st.floats(2.0, 40.0),
    overage=st.floats(1.0, 3.0),
    slack=st.floats(2.0, 20.0),
    parts=st.lists(st.integers(1, 9), min_size=1, max_size=7),
    warm_per_s=st.integers(0, 60),
    seed=st.integers(0, 10_000),
)
def test_a_cold_target_gets_no_more_than_its_bound(
    per_s, overage, slack, parts, warm_per_s, seed
):
    """Coordinators out of touch, grants that come late, and a host that was paused.

    The target turns cold at 1.0, with requests under way, and for good.
    """
    rng = random.Random(seed)
    bound = ColdBound(per_s, overage, slack)
    shares = [settled_share(part / sum(parts), 0.0) for part in parts]
    limits = [ColdLimit(bound, share) for share in shares]
    paused_until = 1.0 + rng.random() * 4.0
    paused = ColdLimit(bound, shares[0])
    late = []
    sent = []
    for step in range(500):
        now = step * STEP_S
        for share, part in zip(shares, parts, strict=True):
            share.set(part / sum(parts), now)
        if step == round(1.0 / STEP_S):
            for limit in (*limits, paused):
                limit.state(30.0, now)
        for limit in limits:
            is_wanted = now >= 1.0 or rng.random() < warm_per_s * STEP_S
            while is_wanted and limit.allows(now):
                is_paced = limit.spend(now)
                if is_paced and limit is limits[0] and now < paused_until:
                    late.append(now)
                elif is_paced:
                    sent.append(now + rng.random() * MAX_DELAY_S)
                is_wanted = is_paced
        if now >= paused_until and late:
            sent += [now for _ in late if paused.may_send(True, 0.0, now)]
            late = []
    assert most_in_a_second(sent) <= per_s * overage + slack


def test_the_bound_is_used_while_work_waits():
    limit = ColdLimit(ColdBound(PER_S, OVERAGE, SLACK), settled_share(1.0, 0.0))
    limit.state(30.0, 0.0)
    count = 0
    for step in range(300):
        now = step * STEP_S
        limit._share.set(1.0, now)
        while limit.allows(now):
            count += limit.spend(now)
    assert count >= 0.95 * PER_S * 3.0 - 1


def test_requests_from_before_the_cold_count():
    """At 30 a second, a second of them fills the bound until they have arrived."""
    share = settled_share(1.0, 1.0)
    limit = ColdLimit(ColdBound(PER_S, OVERAGE, SLACK), share)
    for number in range(30):
        assert limit.spend(number / 30) is False
    limit.begin(3.0, 1.0)
    share.set(1.0, 1.4)
    assert not limit.allows(1.4)
    share.set(1.0, 2.3)
    assert limit.allows(2.3)


def test_late_and_uncounted_grants_are_not_used():
    limit = ColdLimit(ColdBound(PER_S, OVERAGE, SLACK), settled_share(1.0, 0.0))
    limit.state(3.0, 0.0)
    assert not limit.may_send(False, 0.0, 0.1)
    assert not limit.may_send(True, MAX_GRANT_AGE_S + 0.1, 0.1)
    assert [limit.may_send(True, 0.0, 0.1) for _ in range(4)].count(True) == 2
    # The coordinator may have seen the end a moment before.
    assert limit.may_send(False, 0.0, 2.8)


@given(
    moves=st.lists(
        st.tuples(st.integers(0, 5), st.integers(0, 2), st.floats(0.0, 1.0)),
        max_size=8,
    )
)
def test_shares_add_up_to_no_more_than_the_whole(moves):
    """Hosts change to other coordinators, which lose them without a word.

    Moves are further apart than `HOLD_S`, several hosts may move in one.
    """
    count = 6
    shares = [ColdShare() for _ in range(3)]
    counted = [{0, 1, 2, 3, 4, 5}, set(), set()]
    leaving = []
    moves = [(1.0 + number * (HOLD_S + 0.5), *m) for number, m in enumerate(moves)]
    for step in range(int((len(moves) + 2) * (HOLD_S + 0.5) / 0.05)):
        now = step * 0.05
        while moves and moves[0][0] <= now:
            _, last, to, delay = moves.pop(0)
            for host in range(last + 1):
                source = next(n for n in range(3) if host in counted[n])
                if source != to:
                    counted[to].add(host)
                    leaving.append((now + delay * DETECTION_S, source, host))
        for at, source, host in [each for each in leaving if each[0] <= now]:
            counted[source].discard(host)
            leaving.remove((at, source, host))
        for share, hosts in zip(shares, counted, strict=True):
            share.set(len(hosts) / count, now)
        assert sum(share.value(now) for share in shares) <= 1.0 + 1e-9


def test_a_coordinator_that_was_paused_begins_anew():
    share = settled_share(1.0, 10.0)
    assert share.value(10.5) == 1.0
    assert share.value(12.0) == 0.0
    share.set(1.0, 12.0)
    assert share.value(12.1) == 0.0


# What makes a target cold


class _View:
    """A view with one service; `put` registers a target."""

    def __init__(self, cold_start_s=3.0):
        service = types.SimpleNamespace(
            name="ledger", cold_start_s=cold_start_s, cold_per_s=PER_S
        )
        self.catalog = types.SimpleNamespace(services={"ledger": service})
        self.items = {}

    def put(self, name, cold_left_s=0.0, incarnation="1"):
        number = len(self.items) + sum(i.revision for i in self.items.values()) + 1
        self.items[f"servers/{name}"] = types.SimpleNamespace(revision=number)
        return types.SimpleNamespace(
            id=name, service="ledger", cold_left_s=cold_left_s, incarnation=incarnation
        )


def make_cold_targets(overage=OVERAGE, **options):
    view = _View(**options)
    cfg = types.SimpleNamespace(targets_cold_overage=overage, targets_cold_slack=SLACK)
    return view, ColdTargets(cfg, view)


def test_each_cause_makes_a_target_cold_until_a_later_registration():
    view, cold = make_cold_targets()
    limit = cold.limit(view.put("w1"), False, 0.0)
    assert not limit.is_cold(0.0), "the fleet starts"
    cold.limit(view.put("w1", cold_left_s=2.0), False, 1.0)
    assert limit.is_cold(2.9)
    assert not limit.is_cold(3.1)
    cold.limit(view.put("w1", incarnation="2"), False, 10.0)
    assert limit.is_cold(12.9), "its own first registration says that it is warm"
    cold.limit(view.put("w1", incarnation="2"), False, 11.2)
    assert not limit.is_cold(11.2)
    cold.on_return("w1", "ledger", 20.0)
    assert limit.is_cold(22.9)
    same = view.put("w1", incarnation="2")
    cold.limit(same, True, 30.0)
    assert not limit.is_cold(30.0)
    cold.limit(same, False, 31.0)
    assert limit.is_cold(33.9)
    late = cold.limit(view.put("w2"), False, SETTLING_S + 32.0)
    assert late.is_cold(SETTLING_S + 34.0), "it registers in traffic"
    assert cold.count(SETTLING_S + 32.0) == 1


def test_a_target_that_registers_again_after_an_outage_has_not_started():
    view, cold = make_cold_targets()
    cold.limit(view.put("w1"), False, 0.0)
    for gone_at, is_cold in ((20.0, False), (40.0, True)):
        cold.drop("w1", gone_at)
        at = gone_at + (200.0 if is_cold else 10.0)
        # Another one that leaves then lets those be forgotten that left long ago.
        cold.limit(view.put("w2"), False, at)
        cold.drop("w2", at)
        limit = cold.limit(view.put("w1"), False, at)
        assert limit.is_cold(at + 1.0) == is_cold


@pytest.mark.parametrize("options", [{"overage": None}, {"cold_start_s": 0.0}])
def test_without_settings_or_fields_there_is_no_limit(options):
    view, cold = make_cold_targets(**options)
    target = view.put("w1", cold_left_s=2.0)
    assert cold.limit(target, False, 0.0) is None
    assert cold.may_send(target, True, 9.0, 0.0)
    scheduler = make_scheduler(("w1",))
    (grant,) = scheduler.offer(make_work("r1"), 0.0)
    assert grant.paced is None
    assert scheduler.fleet.get("w1").evacuated is False


# The scheduler


@pytest.mark.parametrize("cold_count", [1, 2, 4])
def test_warm_targets_take_what_cold_ones_may_not(cold_count):
    """One target, half of them, and all of them turn cold at once."""
    share = settled_share(1.0, 0.0)
    bound = ColdBound(PER_S, OVERAGE, SLACK)
    limits = {f"w{number}": ColdLimit(bound, share) for number in range(4)}
    scheduler = make_scheduler(())
    for name, limit in limits.items():
        scheduler.set_target(name, "a1", "v1", "i1", 0.0, slots=50.0, cold_limit=limit)
    for limit in list(limits.values())[:cold_count]:
        limit.state(9.0, 0.0)
    times = {name: [] for name in limits}
    for step in range(300):
        now = step * STEP_S
        share.set(1.0, now)
        work = make_work(f"r{step}", deadline=now + 20.0)
        for grant in scheduler.offer(work, now) + scheduler.tick(now):
            assert isinstance(grant, Grant)
            assert grant.paced is limits[grant.target].is_cold(now)
            times[grant.target].append(now)
            scheduler.finish(ended(grant.work, grant.target), now)
    for name, limit in limits.items():
        if limit.is_cold(3.0):
            assert most_in_a_second(times[name]) <= PER_S * OVERAGE + SLACK
    served = sum(map(len, times.values()))
    assert served == 300 if cold_count < 4 else served >= 4 * PER_S * 3 * 0.9 - 4
