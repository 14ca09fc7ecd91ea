"""Tests of the smaller decisions.

Rendezvous hashing, limits, lengths, prefixes, retry budget, loads, link budget.
"""

from hypothesis import given
from hypothesis import strategies as st

from lovagepier.decisions.learning.estimates import LengthEstimates
from lovagepier.decisions.limits.limits import InFlightLimit
from lovagepier.decisions.limits.link_budget import LinkBudget
from lovagepier.decisions.limits.retries import RetryBudget
from lovagepier.decisions.placement.loading import plan_loads
from lovagepier.decisions.placement.prefixes import PrefixIndex
from lovagepier.decisions.placement.rendezvous import choose_owner, rank

_NAMES = st.lists(
    st.sampled_from([f"n{i}" for i in range(12)]), min_size=2, unique=True
)


@given(_NAMES, st.text(max_size=20))
def test_losing_a_node_moves_only_its_own_roles(names, role):
    owner = choose_owner(role, names)
    gone = names[0]
    after = choose_owner(role, names[1:])
    if owner != gone:
        assert after == owner
    assert rank(role, names)[0] == owner


def test_roles_are_spread_over_nodes():
    names = [f"n{i}" for i in range(8)]
    owners = [choose_owner(f"pool/{i}", names) for i in range(800)]
    assert all(60 <= owners.count(name) <= 140 for name in names)


def test_a_limit_grows_without_queueing_and_shrinks_with_it():
    limit = InFlightLimit(4.0)
    for step in range(100):
        limit.on_first_byte(0.0, int(limit.value), float(step))
    assert limit.value > 8
    for step in range(100):
        limit.on_first_byte(1.0, 20, 200.0 + 2 * step)
    assert limit.value == 1.0


def test_a_limit_adapts_to_the_load_that_a_target_reports():
    limit = InFlightLimit(50.0)
    limit.on_report(running=8, waiting=20, now=1.0)
    assert limit.value == 9.0


def test_lengths_are_learnt_per_account_and_route():
    lengths = LengthEstimates()
    for _ in range(20):
        lengths.learn("blue", "report", 2000)
        lengths.learn("blue", "note", 20)
    assert 1900 < lengths.expect("blue", "report", 0) < 2100
    assert lengths.expect("other", "note", 0) < 50
    assert lengths.expect("blue", "report", 100) == 100


@given(st.lists(st.integers(0, 30), max_size=30), st.lists(st.integers(0, 30)))
def test_hits_count_the_leading_blocks_held(held, wanted):
    index = PrefixIndex()
    index.add("e1", held)
    depth = 0
    for block in wanted:
        if block not in held:
            break
        depth += 1
    assert index.hits(wanted).get("e1", 0) == depth


def test_blocks_beyond_the_bound_and_forgotten_ones_are_no_hits():
    index = PrefixIndex(blocks_per_target=3)
    index.add("e1", [1, 2, 3, 4])
    assert index.hits([1]) == {}
    assert index.hits([2, 3, 4]) == {"e1": 3}
    index.forget("e1")
    assert index.hits([3]) == {}


def test_an_eviction_also_removes_blocks_used_before():
    index = PrefixIndex()
    index.add("e1", range(10))
    index.remove("e1", [3])
    assert all(index.hits([block]) == {} for block in range(4))
    assert index.hits([4]) == {"e1": 1}


def test_an_outdated_eviction_is_ignored():
    index = PrefixIndex()
    index.add("e1", range(10))
    index.add("e1", [0])
    index.remove("e1", [0])
    assert index.hits([0]) == {"e1": 1}


@given(
    st.lists(
        st.tuples(st.booleans(), st.lists(st.integers(0, 12), max_size=6)), max_size=30
    )
)
def test_holders_and_held_blocks_agree(steps):
    index = PrefixIndex(blocks_per_target=8)
    for adds, blocks in steps:
        (index.add if adds else index.remove)("e1", blocks)
    held = index._by_target["e1"].blocks if "e1" in index._by_target else {}
    assert set(held) == set(index._holders)
    assert len(held) <= 8


@given(st.integers(0, 500), st.integers(0, 500))
def test_retries_stay_below_a_share_of_first_attempts(first_attempts, wanted):
    budget = RetryBudget(ratio=0.1, floor_rate=0.0, capacity=50.0)
    for _ in range(first_attempts):
        budget.on_first_attempt(1.0)
    spent = sum(budget.spend(1.0) for _ in range(wanted))
    assert spent <= 10 + 0.1 * first_attempts + 1e-6


@given(
    st.lists(
        st.tuples(st.floats(10, 100), st.sampled_from("ab"), st.integers(1, 500)),
        max_size=8,
    )
)
def test_loads_never_exceed_the_rate_of_the_weight_store(wanted):
    loads = plan_loads([(at, t, "v2", size) for at, t, size in wanted], 10.0, 0.0)
    for before, after in zip(loads, loads[1:], strict=False):
        assert after.begin >= before.begin + before.seconds - 1e-6


def test_a_load_with_enough_time_ends_before_its_need():
    loads = plan_loads([(100.0, "e1", "v2", 100), (100.0, "e2", "v2", 100)], 10.0, 0.0)
    assert all(load.begin + load.seconds <= 100.0 for load in loads)


def test_the_link_budget_keeps_a_reserve_for_higher_tiers():
    budget = LinkBudget(rate=100.0, burst=1000.0, reserve=0.2)
    assert budget.allow(500, 2, 0.0)
    assert not budget.allow(200, 2, 0.0)
    assert budget.allow(200, 0, 0.0)
    assert budget.allow(300, 2, 10.0)
