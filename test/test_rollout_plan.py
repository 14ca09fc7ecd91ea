"""Tests of rollout plans: bounded exposure of bad versions, completion in time."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagepier.bench.rollouts import SMALL_SERVICE
from lovagepier.bench.rollouts import run_rollout as simulate
from lovagepier.decisions.rollout_plan import RolloutPlan, RolloutProgress, Stage

SHARE, SLACK = 0.1, 50


def run_rollout(duration, rate, draws, ready_at=0.0, stop_at=None):
    """Run a rollout at `rate` requests per second; return (plan, progress, end).

    `draws` yields a number in [0, 1) for each request that may go to the new version.
    """
    plan = RolloutPlan(duration, SHARE, SLACK, 0.0)
    progress = RolloutProgress()
    now = 0.0
    while now < duration and plan.stage in (Stage.CANARY, Stage.SWITCHED):
        progress.new_ready = now >= ready_at
        progress.sent += 1
        if progress.new_ready and next(draws) < plan.share(progress):
            progress.sent_new += 1
            progress.outcomes_new += 1
        if stop_at is not None and plan.stage == Stage.CANARY and now >= stop_at:
            plan.roll_back("found bad")
        plan.step(progress, now)
        now += 1.0 / rate
    return plan, progress, now


def uniform(seed):
    import random

    rng = random.Random(seed)
    while True:
        yield rng.random()


@given(st.integers(0, 1000), st.floats(4, 30), st.floats(5, 80))
def test_a_canary_stays_within_the_exposure_bound(seed, duration, rate):
    _, progress, end = run_rollout(
        duration, rate, uniform(seed), stop_at=duration * 0.44
    )
    assert progress.sent_new <= SHARE * progress.sent + SLACK


@given(st.integers(0, 1000), st.floats(6, 30), st.floats(10, 80))
def test_rollouts_of_good_versions_are_done_in_time(seed, duration, rate):
    plan, _, end = run_rollout(duration, rate, uniform(seed))
    assert plan.stage == Stage.DONE
    assert end < duration


def test_a_version_that_never_gets_ready_is_rolled_back_in_time():
    plan, progress, end = run_rollout(10.0, 30.0, uniform(1), ready_at=99.0)
    assert plan.stage == Stage.ROLLED_BACK and end < 10.0
    assert not progress.sent_new


def test_a_rollout_is_watched_before_it_is_done():
    """Replays EXPOSURE: done 0.75 s after the switch, before slow answers were in."""
    plan = RolloutPlan(10.0, SHARE, SLACK, 0.0)
    progress = RolloutProgress(100, 20, 20, True, old_running=0)
    assert plan.step(progress, 5.0) == Stage.SWITCHED
    assert plan.step(progress, 6.1) == Stage.SWITCHED
    plan.roll_back("slowness on all routes")
    assert plan.stage == Stage.ROLLED_BACK


def test_a_rollout_is_done_once_the_old_version_runs_no_requests():
    plan = RolloutPlan(10.0, SHARE, SLACK, 0.0)
    progress = RolloutProgress(100, 20, 20, True, old_running=3)
    assert plan.step(progress, 5.0) == Stage.SWITCHED
    assert plan.step(progress, 8.5) == Stage.SWITCHED
    progress.old_running = 0
    assert plan.step(progress, 8.6) == Stage.DONE


def test_a_version_that_is_rolled_back_gets_nothing_from_then_on():
    plan = RolloutPlan(10.0, SHARE, SLACK, 0.0)
    plan.roll_back("failures")
    progress = RolloutProgress(1000, 0, 100, True)
    assert plan.share(progress) == 0.0
    assert plan.step(progress, 9.0) == Stage.ROLLED_BACK


def test_a_version_that_often_fails_is_rolled_back_on_little_evidence():
    for failed, stage in (
        (0, Stage.SWITCHED),
        (1, Stage.SWITCHED),
        (2, Stage.ROLLED_BACK),
    ):
        plan = RolloutPlan(10.0, SHARE, SLACK, 0.0)
        progress = RolloutProgress(100, 5, 5, True, failed_new=failed)
        assert plan.step(progress, 7.5) == stage


def test_the_switch_waits_while_the_new_version_is_suspected():
    plan = RolloutPlan(10.0, SHARE, SLACK, 0.0)
    progress = RolloutProgress(100, 20, 20, True, suspicion=0.9)
    assert plan.step(progress, 6.0) == Stage.CANARY
    progress.suspicion = 0.2
    assert plan.step(progress, 6.1) == Stage.SWITCHED


def test_a_version_that_stays_suspected_is_rolled_back():
    for suspicion, stage in ((0.4, Stage.SWITCHED), (0.6, Stage.ROLLED_BACK)):
        plan = RolloutPlan(10.0, SHARE, SLACK, 0.0)
        progress = RolloutProgress(100, 20, 20, True, suspicion=suspicion)
        assert plan.step(progress, 6.9) == Stage.CANARY
        assert plan.step(progress, 7.1) == stage


@pytest.mark.parametrize("fault", ["slow-at-once", "fails-at-once"])
def test_a_bad_version_stays_within_the_exposure_bound(fault):
    """Replays EXPOSURE on traffic that moves at once after the canary stage."""
    for seed in range(40):
        run = simulate(fault, seed, 80.0, 15.0, switches_at_once=True)
        assert run.rolled_back_open and not run.exceeds_exposure, seed


# Most callers leave before a slow response is there; some requests hang.
BEHAVIOURS = {
    "calm": {},
    "leaving": {"leaving_share": 0.8, "patience_s": 0.1},
    "hanging": {"hanging_share": 0.1},
}


@pytest.mark.parametrize("behaviour", BEHAVIOURS)
def test_a_slow_version_of_a_small_service_stays_within_the_exposure_bound(behaviour):
    """Replays EXPOSURE: half of the responses are slow, 17 requests a second."""
    service = replace(SMALL_SERVICE, faulty_share=0.5, **BEHAVIOURS[behaviour])
    runs = [
        simulate("slow-at-once", seed, switches_at_once=True, service=service)
        for seed in range(100)
    ]
    assert not sum(run.exceeds_exposure for run in runs)
    assert not sum(not run.rolled_back_open for run in runs)


@pytest.mark.parametrize("behaviour", BEHAVIOURS)
def test_a_good_version_of_a_small_service_is_completed(behaviour):
    service = replace(SMALL_SERVICE, **BEHAVIOURS[behaviour])
    runs = [
        simulate("", seed, switches_at_once=True, service=service)
        for seed in range(100)
    ]
    assert not sum(run.rolled_back_open or not run.completed for run in runs)
