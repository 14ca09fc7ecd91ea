"""Tests of quotas: nothing within them is refused, and what is admitted is bounded."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from lovagepier.decisions.limits.quotas import Quotas
from lovagepier.entry._coordination.budgets import (
    QUOTA_BURST_FRACTION,
    QUOTA_DEBT_FRACTION,
    QUOTA_OVERAGE_FRACTION,
    QUOTA_RATE_FRACTION,
    QUOTA_REFILL_FRACTION,
)
from lovagepier.entry._store.view import encode_host
from test.entry_builders import entry_fleet

RATE, BURST = 100.0, 300.0
steps = st.lists(st.tuples(st.floats(0, 2), st.floats(1, 120)), max_size=60)


@given(steps, st.floats(0.0, 50.0))
def test_any_window_admits_at_most_rate_burst_and_one_request(rows, extra):
    quotas = Quotas(extra_burst=extra)
    now = 0.0
    passed = []
    for gap, cost in rows:
        now += gap
        if not quotas.spend("a", RATE, BURST, cost, now):
            passed.append((now, cost))
    for start, _ in passed:
        for span in (1.0, 8.0):
            inside = [c for at, c in passed if start <= at <= start + span]
            most = RATE * span + BURST + extra + max(inside)
            assert sum(inside) <= most + 1e-6


def test_an_exhausted_quota_admits_large_and_small_requests_alike():
    quotas = Quotas()
    passed = {10.0: 0, 200.0: 0}
    for step in range(4000):
        cost = (10.0, 200.0)[step % 2]
        passed[cost] += not quotas.spend("a", RATE, BURST, cost, step * 0.05)
    assert passed[200.0] > passed[10.0] * 0.6


def test_refused_requests_get_increasing_retry_times():
    quotas = Quotas()
    while not (wait := quotas.spend("a", RATE, BURST, 50.0, 0.0)):
        pass
    waits = [wait] + [quotas.spend("a", RATE, BURST, 50.0, 0.0) for _ in range(3)]
    assert waits == sorted(waits)
    assert [round(b - a, 6) for a, b in zip(waits, waits[1:], strict=False)] == [
        50.0 / RATE
    ] * 3
    assert not quotas.spend("a", RATE, BURST, 50.0, wait)


def test_a_lowered_quota_applies_at_once():
    quotas = Quotas()
    assert not quotas.spend("a", RATE, BURST, 10.0, 0.0)
    assert not quotas.spend("a", 1.0, 20.0, 20.0, 0.0)
    assert quotas.spend("a", 1.0, 20.0, 1.0, 0.0)


def test_shares_of_a_quota_add_up_to_at_most_the_whole():
    coordinators = [Quotas() for _ in range(3)]
    total = 0.0
    for coordinator in coordinators:
        coordinator.share = 1 / 3
        for _ in range(100):
            total += 0.0 if coordinator.spend("a", RATE, BURST, 5.0, 0.0) else 5.0
    assert total <= BURST


def test_a_coordinator_that_takes_over_admits_less_at_first():
    before, after = Quotas(), Quotas()
    after.take_over(0.0)
    spent = [0.0, 0.0]
    for number, quotas in enumerate((before, after)):
        while not quotas.spend("a", RATE, BURST, 5.0, 0.0):
            spent[number] += 5.0
    assert spent[0] == BURST
    assert spent[1] <= BURST * Quotas.INITIAL_FILL
    lost = Quotas(max_initial_level=0.0)
    lost.take_over(0.0)
    assert lost.spend("a", RATE, BURST, 5.0, 0.0)


WINDOW, SLACK = 8.0, 110_000.0
TOKEN_RATE, TOKEN_BURST = 29_000.0, 48_000.0


def _new_quotas():
    return Quotas(
        overage=0.1 * QUOTA_OVERAGE_FRACTION,
        extra_burst=SLACK * QUOTA_BURST_FRACTION,
        extra_rate=SLACK * QUOTA_RATE_FRACTION / WINDOW,
        max_debt=SLACK * QUOTA_DEBT_FRACTION,
        max_initial_level=SLACK * QUOTA_REFILL_FRACTION,
        window_s=WINDOW,
    )


@given(
    st.lists(
        st.tuples(st.floats(0, 0.5), st.floats(1, 40_000), st.booleans()),
        min_size=20,
        max_size=120,
    ),
    st.integers(0, 119),
    st.lists(st.integers(0, 119), max_size=3),
)
def test_no_window_exceeds_its_bound_when_coordinators_change(rows, lost, changes):
    """The bound is (rate x window + burst) x 1.1 + slack.

    At `lost` all coordinators are lost, so that no levels are known afterwards. At
    `changes` another coordinator takes over with the reported levels.
    """
    coordinator = _new_quotas()
    now = 0.0
    passed = []
    for number, (gap, cost, runs) in enumerate(rows):
        now += gap
        if number == lost or number in changes:
            known = coordinator.low_levels(now) if number != lost else None
            coordinator = _new_quotas()
            coordinator.take_over(now, known)
        if not coordinator.spend("a", TOKEN_RATE, TOKEN_BURST, cost, now):
            if runs:
                passed.append((now, cost))
            else:
                coordinator.refund("a", cost)
    most = (TOKEN_RATE * WINDOW + TOKEN_BURST) * 1.1 + SLACK
    for start, _ in passed:
        inside = [c for at, c in passed if start <= at <= start + WINDOW]
        assert sum(inside) <= most + 1e-6


def test_a_coordinator_that_takes_over_continues_with_the_reported_levels():
    before, after = Quotas(), Quotas()
    before.spend("a", RATE, BURST, BURST, 0.0)
    before.spend("b", RATE, BURST, 1.0, 0.0)
    levels = before.low_levels(0.0)
    assert levels == {"a": 0.0}
    after.take_over(0.0, levels)
    assert after.spend("a", RATE, BURST, 1.0, 0.0)
    assert not after.spend("b", RATE, BURST, 1.0, 0.0)


def test_sustained_load_over_the_quota_gets_the_extra_rate():
    quotas = Quotas(extra_rate=50.0)
    passed = sum(
        not quotas.spend("a", RATE, 20.0, 10.0, step * 0.01) for step in range(2000)
    )
    assert passed * 10.0 >= (RATE + 50.0) * 20.0 * 0.98


def test_an_account_over_its_quota_keeps_its_urgent_requests():
    quotas = Quotas(extra_burst=200.0)
    passed = {"urgent": 0, "other": 0, "small": 0}
    costs = {"urgent": 30.0, "other": 30.0, "small": 1.0}
    for step in range(3000):
        for name, cost in costs.items():
            reserve = 0.0 if name == "urgent" else 5.0 * cost
            wait = quotas.spend("a", RATE, BURST, cost, step * 0.32, reserve)
            passed[name] += not wait
    assert passed["urgent"] >= 0.98 * 3000
    assert passed["small"] >= 0.9 * 3000
    assert passed["other"] < 0.1 * 3000


@given(steps, st.floats(0.0, 100.0), st.floats(0.0, 1e6))
def test_nothing_within_the_quota_is_refused(rows, extra, reserve):
    wide, plain = Quotas(extra_burst=extra, extra_rate=extra), Quotas()
    now = 0.0
    for gap, cost in rows:
        now += gap
        refused = wide.spend("a", RATE, BURST, cost, now, reserve)
        if not refused:
            plain.spend("a", RATE, BURST, cost, now)
        else:
            assert plain.spend("a", RATE, BURST, cost, now)


def test_a_refund_restores_the_quota():
    quotas = Quotas()
    assert not quotas.spend("a", RATE, BURST, BURST, 0.0)
    assert quotas.spend("a", RATE, BURST, 50.0, 0.0)
    quotas.refund("a", BURST)
    assert not quotas.spend("a", RATE, BURST, 50.0, 0.0)


def test_debt_is_bounded():
    quotas = Quotas(max_debt=40.0)
    assert not quotas.spend("a", RATE, BURST, BURST - 10.0, 0.0)
    assert quotas.spend("a", RATE, BURST, 60.0, 0.0)
    assert not quotas.spend("a", RATE, BURST, 50.0, 0.0)
    # A request larger than the burst is admitted once the bucket is full.
    assert quotas.spend("a", RATE, BURST, 900.0, 0.5)
    assert not quotas.spend("a", RATE, BURST, 900.0, 10.0)


def test_shares_leave_no_more_debt_than_the_whole():
    total = 0.0
    for _ in range(10):
        coordinator = Quotas(max_debt=40.0)
        coordinator.share = 0.1
        coordinator.spend("a", RATE, BURST, 29.0, 0.0)
        total += 0.0 if coordinator.spend("a", RATE, BURST, 10.0, 0.0) else 10.0
    assert total <= 40.0


def test_a_quota_without_a_rate_admits_everything():
    assert not Quotas().spend("a", 0.0, 0.0, 1e9, 0.0)


def test_a_request_larger_than_the_burst_leaves_a_debt():
    quotas = Quotas()
    assert not quotas.spend("a", RATE, 10.0, 50.0, 0.0)
    assert quotas.spend("a", RATE, 10.0, 1.0, 0.3)
    assert not quotas.spend("a", RATE, 10.0, 1.0, 0.5)


@given(
    st.lists(
        st.tuples(st.integers(0, 5), st.floats(0, 0.1), st.floats(1, 40_000)),
        max_size=80,
    ),
    st.lists(st.integers(0, 79), min_size=5, max_size=5),
)
def test_starting_coordinators_that_join_spend_no_more_than_one(rows, joins):
    """Six start with a sixth each; at `joins` one after the other joins the first."""
    alone = [_new_quotas() for _ in range(6)]
    for coordinator in alone:
        coordinator.take_over(0.0)
        coordinator.set_share(1 / 6, 0.0)
    total = now = 0.0
    joined = {0}
    for number, (entry, gap, cost) in enumerate(rows):
        now += gap
        for other in [n + 1 for n, at in enumerate(joins) if at == number]:
            joined.add(other)
            alone[0].set_share(len(joined) / 6, now)
            for name, tokens in alone[other].take_spent(now).items():
                alone[0].debit(name, tokens)
        coordinator = alone[0] if entry in joined else alone[entry]
        if not coordinator.spend("a", TOKEN_RATE, TOKEN_BURST, cost, now):
            total += cost
    one = _new_quotas()
    most = one._max_initial_level + one._max_debt
    rate = TOKEN_RATE * (1.0 + one._overage) + one._extra_rate
    assert total <= most + rate * now + 1e-6


def test_a_starting_coordinator_gets_the_first_fill_of_the_shares_that_it_takes_over():
    """Replays a start of six hosts: the allowance stayed that of the first share."""
    first = _new_quotas()
    first.take_over(0.0)
    first.set_share(1 / 6, 0.0)
    first.spend("a", TOKEN_RATE, TOKEN_BURST, 1.0, 0.0)
    first.set_share(1.0, 0.0)
    spent = 0.0
    while not first.spend("a", TOKEN_RATE, TOKEN_BURST, 100.0, 0.0):
        spent += 100.0
    assert spent >= min(SLACK * QUOTA_REFILL_FRACTION, TOKEN_BURST * 0.4)
    # A share that was lost and regained adds nothing.
    first.set_share(0.5, 0.0)
    first.set_share(1.0, 0.0)
    assert first.spend("a", TOKEN_RATE, TOKEN_BURST, 100.0, 0.0)


def test_only_a_starting_coordinator_reports_what_it_spent():
    known, unknown = _new_quotas(), _new_quotas()
    known.take_over(0.0, {})
    unknown.take_over(0.0)
    for quotas in (known, unknown):
        assert not quotas.spend("a", TOKEN_RATE, TOKEN_BURST, 10.0, 0.0)
    assert known.take_spent(0.1) == {}
    assert unknown.take_spent(0.1) == {"a": 10.0}
    assert unknown.take_spent(0.1) == {}
    assert not unknown.spend("a", TOKEN_RATE, TOKEN_BURST, 10.0, 9.0)
    assert unknown.take_spent(9.0) == {}


def test_the_time_since_a_process_began_counts_after_a_loss_of_all_hosts():
    quotas = _new_quotas()
    quotas.take_over(10.0)
    spent = 0.0
    while not quotas.spend("a", TOKEN_RATE, TOKEN_BURST, 100.0, 10.5):
        spent += 100.0
    assert spent >= TOKEN_BURST * 0.4 + TOKEN_RATE * 0.5


def test_a_successor_of_a_coordinator_that_knows_no_levels_knows_none_either():
    """Replays QUOTA after a loss of 195 hosts: accounts that had sent nothing yet
    counted as untouched, and a second change of the coordinator filled them."""
    burst = 400_000.0
    first, second = _new_quotas(), _new_quotas()
    first.take_over(0.0)
    second.take_over(1.0, first.low_levels(1.0))
    spent = 0.0
    while not second.spend("a", TOKEN_RATE, burst, 1000.0, 1.0):
        spent += 1000.0
    assert spent <= SLACK * (QUOTA_REFILL_FRACTION + QUOTA_DEBT_FRACTION)


def test_levels_are_known_again_a_window_after_a_loss_of_all_hosts():
    quotas = _new_quotas()
    quotas.take_over(0.0)
    quotas.spend("a", TOKEN_RATE, TOKEN_BURST, 1.0, 0.0)
    assert quotas.low_levels(WINDOW / 2) is None
    assert quotas.low_levels(WINDOW) is not None


def test_a_starting_host_knows_its_share_before_it_serves():
    """Replays a loss of 195 hosts: each admitted an eighth until its next round."""

    async def scenario():
        async with entry_fleet() as fleet:
            for number in range(100):
                value = encode_host(f"n{number}", "127.0.0.1:9")
                await fleet.store.write(f"lovagepier/hosts/n{number}.before", value)
            host = await fleet.host("n200", host={"first_start": "false"})
            await host.frontend.has_catalog.wait()
            assert host.coordinator.quotas.share <= 1 / 100

    asyncio.run(scenario())
