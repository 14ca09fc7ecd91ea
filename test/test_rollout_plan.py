"""Tests of rollout plans: bounded exposure of bad versions, completion in time."""

from dataclasses import replace
from functools import partial

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagepier.bench.rollouts import SMALL_SERVICE
from lovagepier.bench.rollouts import run_rollout as simulate
from lovagepier.decisions.rollouts.rollout_plan import (
    MAX_END_FRACTION,
    RolloutPlan,
    RolloutProgress,
    Stage,
)
from test.processes import map_in_processes

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


def switched(duration=10.0, rate=10.0, sent_new=20):
    """Return (plan, progress, time) of a rollout right after its switch."""
    plan = RolloutPlan(duration, SHARE, SLACK, 0.0)
    progress = RolloutProgress(0, sent_new, 40, True)
    now = 0.0
    while plan.stage == Stage.CANARY:
        now += 0.1
        progress.sent = int(now * rate)
        plan.step(progress, now)
    assert plan.stage == Stage.SWITCHED
    return plan, progress, now


def test_a_rollout_is_watched_before_it_is_done():
    """Replays EXPOSURE: done 0.75 s after the switch, before slow answers were in."""
    plan, progress, now = switched()
    assert plan.step(progress, now + 1.1) == Stage.SWITCHED
    plan.roll_back("slowness on all routes")
    assert plan.stage == Stage.ROLLED_BACK


def test_a_rollout_is_done_once_the_old_version_runs_no_requests():
    plan, progress, now = switched()
    assert now < 8.4
    progress.sent += 40
    progress.sent_new += 45
    progress.old_running = 3
    assert plan.step(progress, 8.5) == Stage.SWITCHED
    progress.old_running = 0
    assert plan.step(progress, 8.6) == Stage.DONE


@pytest.mark.parametrize("rate", [1.0, 10.0, 17.0, 60.0, 400.0])
@pytest.mark.parametrize("duration", [8.0, 15.0, 60.0])
def test_all_requests_from_the_switch_to_the_end_keep_the_exposure_bound(
    rate, duration
):
    """Replays EXPOSURE: all traffic moved at 0.45 of the time, found bad too late."""
    plan = RolloutPlan(duration, SHARE, SLACK, 0.0)
    progress = RolloutProgress(new_ready=True)
    due = 0.0
    now = 0.0
    while now < duration * MAX_END_FRACTION:
        for _ in range(int(rate * (now + 0.05)) - int(rate * now)):
            progress.sent += 1
            due += plan.share(progress)
            if due >= 1.0:
                due -= 1.0
                progress.sent_new += 1
                progress.outcomes_new += 1
        now += 0.05
        plan.step(progress, now)
    assert progress.sent_new <= SHARE * progress.sent + SLACK


def test_a_suspected_version_is_rolled_back_at_the_exposure_bound():
    for suspicion, score, stage in (
        (0.2, 2.0, Stage.DONE),
        (0.4, 2.0, Stage.ROLLED_BACK),
        (0.2, 3.5, Stage.ROLLED_BACK),
        (0.9, 0.0, Stage.ROLLED_BACK),
    ):
        plan, progress, now = switched()
        progress.suspicion = suspicion
        progress.score = score
        assert plan.step(progress, 8.5) == Stage.SWITCHED
        progress.sent_new = int(SHARE * progress.sent + SLACK)
        assert plan.step(progress, 8.6) == stage


def test_a_burst_after_the_switch_brings_the_verdict_forward():
    plan, progress, now = switched()
    progress.suspicion = 0.4
    progress.score = 2.0
    progress.sent += 50
    progress.sent_new += 50
    assert plan.step(progress, now + 0.5) == Stage.ROLLED_BACK


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
        assert plan.step(progress, 8.6) == Stage.CANARY
        assert plan.step(progress, 8.8) == stage


def test_the_switch_waits_while_the_new_version_is_suspected():
    plan = RolloutPlan(10.0, SHARE, SLACK, 0.0)
    progress = RolloutProgress(100, 30, 30, True, suspicion=0.9)
    assert plan.step(progress, 7.0) == Stage.CANARY
    progress.sent = 110
    assert plan.step(progress, 8.0) == Stage.CANARY
    progress.suspicion = 0.2
    assert plan.step(progress, 8.1) == Stage.SWITCHED


def test_a_version_that_stays_suspected_is_rolled_back():
    for suspicion, stage in ((0.4, Stage.SWITCHED), (0.6, Stage.ROLLED_BACK)):
        plan = RolloutPlan(10.0, SHARE, SLACK, 0.0)
        progress = RolloutProgress(100, 20, 20, True, suspicion=suspicion)
        assert plan.step(progress, 8.6) == Stage.CANARY
        assert plan.step(progress, 8.8) == stage


@pytest.mark.parametrize("fault", ["slow-at-once", "fails-at-once"])
def test_a_bad_version_stays_within_the_exposure_bound(fault):
    """Replays EXPOSURE on traffic that moves at once after the canary stage."""
    play = partial(simulate, fault, rate=80.0, length=15.0, switches_at_once=True)
    for seed, run in enumerate(map_in_processes(play, range(40))):
        assert run.rolled_back_open and not run.exceeds_exposure, seed


# Most callers leave before a slow response is there; some requests hang.
BEHAVIOURS = {
    "calm": {},
    "leaving": {"leaving_share": 0.8, "patience_s": 0.1},
    # Before it can be said whether the response is slow.
    "leaving-early": {"leaving_share": 0.8, "patience_s": 0.05},
    "hanging": {"hanging_share": 0.1},
}


@pytest.mark.parametrize("behaviour", BEHAVIOURS)
def test_a_slow_version_of_a_small_service_stays_within_the_exposure_bound(behaviour):
    """Replays EXPOSURE: half of the responses are slow, 17 requests a second."""
    service = replace(SMALL_SERVICE, faulty_share=0.5, **BEHAVIOURS[behaviour])
    play = partial(simulate, "slow-at-once", switches_at_once=True, service=service)
    runs = map_in_processes(play, range(100))
    assert len(runs) == 100
    assert not sum(run.exceeds_exposure for run in runs)
    assert not sum(not run.rolled_back_open for run in runs)


@pytest.mark.parametrize("behaviour", BEHAVIOURS)
def test_a_good_version_of_a_small_service_is_completed(behaviour):
    service = replace(SMALL_SERVICE, **BEHAVIOURS[behaviour])
    play = partial(simulate, "", switches_at_once=True, service=service)
    runs = map_in_processes(play, range(100))
    assert len(runs) == 100
    assert not sum(run.rolled_back_open or not run.completed for run in runs)


def test_a_version_without_targets_is_not_completed():
    """Once it is, the old version's targets get no more requests either."""
    plan, progress, now = switched()
    progress.new_ready = False
    while now < 10.0:
        now += 0.1
        progress.sent = int(now * 10)
        plan.step(progress, now)
    assert plan.stage != Stage.DONE
