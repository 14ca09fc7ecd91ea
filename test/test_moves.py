"""Rollouts: shares, evidence, the rollback trigger and simulated rollouts."""

from functools import partial

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagepier.bench.rollouts import Service, run_rollout, run_rollouts, summarize
from lovagepier.decisions.rollouts.evidence import Counts, Evidence, EvidenceKey
from lovagepier.decisions.rollouts.rollback import RollbackTrigger
from lovagepier.decisions.rollouts.rollout_share import (
    MIN_FULL_SHARE_OUTCOMES,
    Rollout,
    RolloutState,
    share_at,
    state_at,
)
from test.processes import map_in_processes

ROLLOUT = Rollout("m", "drafter", "v1", "v2", 100.0, 200.0)
_STATES = st.builds(
    RolloutState,
    st.integers(0, 500),
    st.integers(0, 5000),
    st.booleans(),
    st.floats(0, 2),
)


@given(_STATES, st.floats(0, 400))
def test_a_share_is_between_0_and_1_and_0_after_a_rollback(state, now):
    share = share_at(ROLLOUT, state, now)
    assert 0.0 <= share <= 1.0
    if state.rolled_back or now < ROLLOUT.start:
        assert share == 0.0


@given(st.integers(0, 15), st.floats(100, 124))
def test_a_version_with_few_outcomes_gets_a_small_share(clean_outcomes, now):
    assert share_at(ROLLOUT, RolloutState(clean_outcomes, 1000), now) <= 0.011


@given(st.floats(200, 400))
def test_a_rollout_with_enough_outcomes_is_done_at_its_end(now):
    state = RolloutState(MIN_FULL_SHARE_OUTCOMES, 5000)
    assert share_at(ROLLOUT, state, now) == 1.0
    assert state_at(ROLLOUT, state, now) == "done"


def test_a_rollout_without_outcomes_is_held_past_its_end():
    assert share_at(ROLLOUT, RolloutState(0, 10), 250.0) <= 0.25
    assert state_at(ROLLOUT, RolloutState(0, 10), 250.0) == "held"


_ROWS = st.lists(
    st.tuples(
        st.sampled_from(["n1", "n2"]),
        st.sampled_from(["v1", "v2"]),
        st.booleans(),
        st.booleans(),
    ),
    max_size=40,
)


@given(_ROWS, st.randoms(use_true_random=False))
def test_merging_evidence_is_commutative_and_idempotent(rows, rng):
    owner = Evidence()
    updates = []
    for source, version, failed, slow in rows:
        key = EvidenceKey("m", version, "note", source)
        owner.count(key, failed, slow)
        updates.append((key, owner.rows()[key]))
    shuffled = updates + updates[: len(updates) // 2]
    rng.shuffle(shuffled)
    other = Evidence()
    for key, counts in shuffled:
        other.merge(key, counts)
    assert other.rows() == owner.rows()


@given(_ROWS)
def test_counts_returned_by_merges_add_up_to_the_total(rows):
    owner, other = Evidence(), Evidence()
    added = Counts()
    for source, version, failed, slow in rows:
        key = EvidenceKey("m", version, "note", source)
        owner.count(key, failed, slow)
        added = added.plus(other.merge(key, owner.rows()[key]))
    total = owner.total("m", "v1").plus(owner.total("m", "v2"))
    assert added == total


def test_a_few_failures_trigger_a_rollback_that_stays():
    trigger = RollbackTrigger()
    trigger.observe("note", False, Counts(200, 2, 5), 1.0)
    sent = 0
    while not trigger.is_set and sent < 20:
        trigger.observe("note", True, Counts(1, 1, 0), 2.0)
        sent += 1
    assert sent <= 8
    for _ in range(500):
        trigger.observe("note", True, Counts(1, 0, 0), 3.0)
    assert trigger.is_set


def test_failures_of_both_versions_trigger_no_rollback():
    trigger = RollbackTrigger()
    for second in range(60):
        trigger.observe("note", False, Counts(20, 10, 0), float(second))
        trigger.observe("note", True, Counts(2, 1, 0), float(second))
    assert not trigger.is_set


def test_a_late_fault_triggers_a_rollback_as_soon_as_an_early_one():
    trigger = RollbackTrigger()
    trigger.observe("note", False, Counts(200, 2, 5), 1.0)
    for _ in range(5000):
        trigger.observe("note", True, Counts(1, 0, 0), 2.0)
    sent = 0
    while not trigger.is_set and sent < 20:
        trigger.observe("note", True, Counts(1, 1, 0), 3.0)
        sent += 1
    assert sent <= 8


def test_simulated_rollouts_keep_the_stated_rates():
    found = summarize(run_rollouts(56, seed=11, map_cases=map_in_processes))
    assert found["bad_taken_back"] >= 0.99
    assert found["sent_after_brake"] == 0
    assert found["good_taken_back"] < 0.01
    assert found["good_finished"] >= 0.99
    assert found["exposed_share_mean"] < 0.02


def _run_disturbed(disturbance, seed):
    return run_rollout("", f"g{seed}", length=60.0, disturbance=disturbance)


@pytest.mark.parametrize(
    "disturbance",
    [
        "unlike-targets",
        "busier-new-targets",
        "slow-old-target",
        "slow-new-target",
        "slow-together",
        "slow-host",
        "fewer-new-targets",
    ],
)
def test_a_good_version_is_not_rolled_back_for_slowness_of_something_else(disturbance):
    play = partial(_run_disturbed, disturbance)
    for seed, run in enumerate(map_in_processes(play, range(25))):
        assert not run.rolled_back_open and run.completed, seed


# A schedule that allows all traffic before the rollout can be done.
_WATCHED_STEPS = ((0.0, 0.05), (0.2, 0.2), (0.4, 0.6), (0.6, 1.0))


def _run_watched(seed):
    return run_rollout(
        "",
        f"d{seed}",
        disturbance="fewer-new-targets",
        service=Service(rate=50.0, length=14.0),
        steps=_WATCHED_STEPS,
    )


def test_a_good_version_is_not_rolled_back_for_the_load_of_all_traffic():
    """Two targets take over from four; a false verdict in 1,000 is allowed."""
    for seed, run in enumerate(map_in_processes(_run_watched, range(160))):
        assert not run.rolled_back_open and run.completed, seed
