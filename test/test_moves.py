"""Moves: shares, evidence, the brake, and whole seeded runs."""

from hypothesis import given
from hypothesis import strategies as st

from lovagepier.bench.rollouts import run_rollouts, summarize
from lovagepier.decisions.brake import Brake
from lovagepier.decisions.evidence import Counts, Evidence, Key
from lovagepier.decisions.shares import (
    FULL_OUTCOMES,
    Move,
    MoveState,
    share_at,
    state_at,
)

MOVE = Move("m", "drafter", "v1", "v2", 100.0, 200.0)
_STATES = st.builds(
    MoveState,
    st.integers(0, 500),
    st.integers(0, 5000),
    st.booleans(),
    st.floats(0, 2),
)


@given(_STATES, st.floats(0, 400))
def test_a_share_is_a_share_and_a_braked_move_has_none(state, now):
    share = share_at(MOVE, state, now)
    assert 0.0 <= share <= 1.0
    if state.braked or now < MOVE.start:
        assert share == 0.0


@given(st.integers(0, 15), st.floats(100, 124))
def test_an_unproven_version_gets_a_small_share(judged, now):
    assert share_at(MOVE, MoveState(judged, 1000), now) <= 0.011


@given(st.floats(200, 400))
def test_a_proven_move_is_done_by_its_time(now):
    state = MoveState(FULL_OUTCOMES, 5000)
    assert share_at(MOVE, state, now) == 1.0
    assert state_at(MOVE, state, now) == "done"


def test_a_move_without_evidence_is_held_not_finished():
    assert share_at(MOVE, MoveState(0, 10), 250.0) <= 0.25
    assert state_at(MOVE, MoveState(0, 10), 250.0) == "held"


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
def test_evidence_merges_alike_in_any_order_with_repeats(rows, rng):
    owner = Evidence()
    told = []
    for source, version, failed, slow in rows:
        key = Key("m", version, "note", source)
        owner.count(key, failed, slow)
        told.append((key, owner.rows()[key]))
    shuffled = told + told[: len(told) // 2]
    rng.shuffle(shuffled)
    other = Evidence()
    for key, counts in shuffled:
        other.merge(key, counts)
    assert other.rows() == owner.rows()


@given(_ROWS)
def test_what_merging_adds_sums_to_the_whole(rows):
    owner, other = Evidence(), Evidence()
    added = Counts()
    for source, version, failed, slow in rows:
        key = Key("m", version, "note", source)
        owner.count(key, failed, slow)
        added = added.plus(other.merge(key, owner.rows()[key]))
    total = owner.total("m", "v1").plus(owner.total("m", "v2"))
    assert added == total


def test_the_brake_sets_on_a_few_failures_and_never_clears():
    brake = Brake()
    brake.observe("note", False, Counts(200, 2, 5), 1.0)
    sent = 0
    while not brake.is_set and sent < 20:
        brake.observe("note", True, Counts(1, 1, 0), 2.0)
        sent += 1
    assert sent <= 8
    for _ in range(500):
        brake.observe("note", True, Counts(1, 0, 0), 3.0)
    assert brake.is_set


def test_a_fault_shared_with_the_old_version_is_not_blamed_on_the_new():
    brake = Brake()
    for second in range(60):
        brake.observe("note", False, Counts(20, 10, 0), float(second))
        brake.observe("note", True, Counts(2, 1, 0), float(second))
    assert not brake.is_set


def test_a_late_fault_shows_as_soon_as_an_early_one():
    brake = Brake()
    brake.observe("note", False, Counts(200, 2, 5), 1.0)
    for _ in range(5000):
        brake.observe("note", True, Counts(1, 0, 0), 2.0)
    sent = 0
    while not brake.is_set and sent < 20:
        brake.observe("note", True, Counts(1, 1, 0), 3.0)
        sent += 1
    assert sent <= 8


def test_seeded_moves_keep_the_stated_rates():
    found = summarize(run_rollouts(56, seed=11))
    assert found["bad_taken_back"] >= 0.99
    assert found["sent_after_brake"] == 0
    assert found["good_taken_back"] < 0.01
    assert found["good_finished"] >= 0.99
    assert found["exposed_share_mean"] < 0.02
