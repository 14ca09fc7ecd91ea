"""Slowness that begins as the load of a target grows past what was compared."""

import pytest

from lovagepier.bench.rollouts import Service, run_rollout
from lovagepier.decisions.placement.target_load import TargetLoads
from lovagepier.decisions.rollouts.capacity_hold import CapacityHold
from lovagepier.decisions.rollouts.evidence import Evidence, EvidenceKey, LoadCounts
from lovagepier.decisions.rollouts.rollout_share import (
    MIN_FULL_SHARE_OUTCOMES,
    Rollout,
    RolloutState,
    share_at,
    state_at,
)
from lovagepier.decisions.rollouts.slowness import Pace, SlownessDetector
from test.builders import ended, make_work

STEPS = ((0.0, 0.05), (0.2, 0.2), (0.4, 0.6), (0.6, 1.0))
ROLLOUT = Rollout("m", "drafter", "v1", "v2", 100.0, 200.0, STEPS)
ENOUGH = MIN_FULL_SHARE_OUTCOMES
RATE = 40.0
USUAL_S, SLOW_S = 0.1, 0.4


# Decisions


def test_a_strained_version_stays_at_its_step():
    state = RolloutState(ENOUGH, 5000, is_strained=True, reached_step=0.6)
    for now in (165.0, 200.0, 400.0):
        assert share_at(ROLLOUT, state, now) == 0.6
        assert state_at(ROLLOUT, state, now) == "held"
    free = RolloutState(ENOUGH, 5000, is_strained=False, reached_step=0.6)
    assert share_at(ROLLOUT, free, 165.0) == 1.0


def test_a_strained_version_at_its_last_step_is_done_only_as_the_time_is_up():
    state = RolloutState(ENOUGH, 5000, is_strained=True, reached_step=1.0)
    for now in (165.0, 180.0, 199.9):
        assert share_at(ROLLOUT, state, now) == 1.0
        assert state_at(ROLLOUT, state, now) == "held"
    assert state_at(ROLLOUT, state, 200.0) == "done"
    free = RolloutState(ENOUGH, 5000)
    assert state_at(ROLLOUT, free, 180.0) == "done"


def test_steps_that_operators_wrote_are_kept_as_written():
    state = RolloutState(ENOUGH, 5000)
    for now, share in ((100, 0.05), (125, 0.2), (145, 0.6), (160, 1.0), (199, 1.0)):
        assert share_at(ROLLOUT, state, now) == share


def test_without_steps_half_stays_with_the_old_version_until_the_end():
    rollout = Rollout("m", "drafter", "v1", "v2", 100.0, 200.0)
    state = RolloutState(ENOUGH, 5000)
    for now in (150.0, 170.0, 190.0, 194.9):
        assert share_at(rollout, state, now) == 0.5
        assert state_at(rollout, state, now) == "moving"
    assert state_at(rollout, state, 196.0) == "done"


def test_a_hold_begins_with_few_slow_outcomes_and_ends_with_usual_ones():
    hold = CapacityHold()
    hold.add(200, 0)
    assert not hold.add(1, 1)
    while not hold.is_held:
        hold.add(1, 1)
    hold.add(1000, 1000)
    needed = 0
    while hold.is_held:
        hold.add(1, 0)
        needed += 1
    assert 10 < needed < 100


def test_a_load_is_the_highest_one_while_a_request_ran():
    loads = TargetLoads()
    for tenth in range(101):
        share = 0.5 if tenth < 80 else 1.0
        shares = {"v1": 1.0 - share, "v2": share}
        loads.update(tenth * 4, shares, {"v1": 4, "v2": 2}, tenth / 10)
    assert loads.highest("v2", 9.0) == pytest.approx(RATE / 2)
    assert loads.highest("v2", 10.0) == pytest.approx(RATE / 2)
    assert loads.highest("v1", 10.0) == 0.0
    assert loads.highest("v1", 7.0) == pytest.approx(RATE / 8)
    assert loads.highest("v3", 0.0) is None


def test_a_load_is_not_known_at_once_nor_after_a_change_of_the_coordinator():
    loads = TargetLoads()
    for tenth in range(20):
        loads.update(tenth * 4, {"v1": 1.0}, {"v1": 4}, tenth / 10)
    assert loads.highest("v1", 0.0) is None
    loads.update(80, {"v1": 1.0}, {"v1": 4}, 2.0)
    assert loads.highest("v1", 0.0) is not None
    loads.update(4, {"v1": 1.0}, {"v1": 4}, 2.1)
    assert loads.highest("v1", 2.1) is None


def classify(detector, is_old, seconds, load, target="t", number=0):
    work = make_work(f"r{number}", route="note")
    outcome = ended(
        work, target, first_seconds=None, total_seconds=seconds, decode_tokens=1
    )
    return detector.classify(("m", "note"), is_old, work, outcome, "m", load)


def learnt(*loads):
    detector = SlownessDetector()
    for load, seconds in loads:
        for number in range(200):
            classify(detector, True, seconds, load, number=number)
    return detector


def test_slowness_is_strain_only_past_the_load_of_the_old_version():
    detector = learnt((10.0, USUAL_S))
    assert classify(detector, False, SLOW_S, 10.0) is Pace.SLOW
    assert classify(detector, False, SLOW_S, 5.0) is Pace.SLOW
    assert classify(detector, False, SLOW_S, 20.0) is Pace.STRAINED
    assert classify(detector, False, USUAL_S, 20.0) is Pace.USUAL
    assert classify(detector, False, SLOW_S, None) is Pace.SLOW


def test_the_old_versions_times_at_its_highest_load_are_remembered():
    detector = learnt((20.0, SLOW_S), (5.0, USUAL_S))
    assert classify(detector, False, SLOW_S, 20.0) is Pace.USUAL
    assert classify(detector, False, SLOW_S * 2, 20.0) is Pace.SLOW
    assert classify(detector, False, SLOW_S, 5.0) is Pace.SLOW
    assert classify(detector, False, SLOW_S * 2, 40.0) is Pace.STRAINED
    detector.begin("m")
    assert classify(detector, False, SLOW_S, 20.0) is Pace.STRAINED


def test_without_loads_slowness_counts_as_before():
    detector = learnt((None, USUAL_S))
    assert classify(detector, False, SLOW_S, 20.0) is Pace.SLOW
    assert detector.compared_load(("m", "note")) is None
    assert not detector.is_past_compared(("m", "note"), 20.0)


def test_loads_merge_in_any_order():
    rows = [
        LoadCounts(3, 20_000, 10_000, 600, 400, 130),
        LoadCounts(5, 18_000, 10_000, 1000, 300, 130),
    ]
    key = EvidenceKey("m#0", "v2", "note", "n1/x")
    merged = []
    for order in (rows, rows[::-1], rows * 2):
        evidence = Evidence()
        added = sum(evidence.merge_loads(key, row) for row in order)
        assert added == 5
        merged.append(evidence.highest_loads("m#0"))
    assert set(merged) == {LoadCounts(5, 20_000, 10_000, 1000, 400, 130)}
    evidence.forget("m#0")
    assert evidence.highest_loads("m#0") == LoadCounts()


# Simulation


def test_a_version_slow_at_the_load_of_the_old_one_is_rolled_back():
    """Also at its last step, where its targets have the load that the old ones had."""
    service = Service(rate=50.0, length=40.0)
    for fault in ("slow-at-once", "slow-under-load"):
        for seed in range(10):
            run = run_rollout(fault, f"c{seed}", service=service, steps=STEPS)
            assert run.rolled_back_open, (fault, seed)


def test_a_version_failing_past_the_load_of_the_old_one_is_rolled_back():
    service = Service(rate=50.0, length=40.0)
    for seed in range(20):
        run = run_rollout(
            "fails-under-load",
            f"c{seed}",
            disturbance="fewer-new-targets",
            service=service,
            steps=STEPS,
        )
        assert run.rolled_back_open, seed


def test_want_of_capacity_is_shown():
    service = Service(rate=50.0, length=14.0)
    held = 0
    for seed in range(20):
        run = run_rollout(
            "",
            f"c{seed}",
            disturbance="fewer-new-targets",
            service=service,
            steps=STEPS,
        )
        held += run.held_at is not None
        assert run.completed and not run.rolled_back_open, seed
    assert held >= 18
