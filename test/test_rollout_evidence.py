"""What a coordinator that takes over in the middle of a rollout knows of it."""

import time
from types import SimpleNamespace

import pytest

from lovagepier import platform
from lovagepier.decisions.rollouts.rollout_plan import (
    CANARY_SHARE_FRACTION,
    CANARY_SLACK_FRACTION,
    MAX_SWITCH_SUSPICION,
    Stage,
)
from lovagepier.entry._cluster.messages import Roster
from lovagepier.entry._cluster.older_formats import readable_progress
from lovagepier.entry._coordination.rollouts import Rollouts
from lovagepier.entry._store.evacuations import Evacuations
from lovagepier.entry.store_types import RolloutOrder
from lovagepier.frames import decode, encode
from test.builders import ended, make_work

EXPOSURE_SLACK = 50
OLD_FIRST_S = 0.1
SLOW_FIRST_S = 0.8
# A slow version is seen by one coordinator within this many outcomes.
ENOUGH_OUTCOMES = 20
DURATION_S = 15.0
# A canary stage gets so many requests whatever the load is.
CANARY_OUTCOMES = int(EXPOSURE_SLACK * CANARY_SLACK_FRACTION)


def make_rollouts(is_ordered=True):
    order = RolloutOrder("model", "v2", DURATION_S, 18)
    view = SimpleNamespace(
        orders={"model": order} if is_ordered else {},
        rollout_state=lambda service: None,
        targets={
            "e1": SimpleNamespace(
                service="model", version="v2", draining=False, zone="a1"
            ),
        },
        last_answer_at=None,
        restored_at=None,
        evacuations=Evacuations(),
    )
    cfg = SimpleNamespace(moves_exposure_share=0.1, moves_exposure_slack=EXPOSURE_SLACK)
    rollouts = Rollouts(cfg, view, lambda *args: None)
    rollouts.refresh(0.0)
    return rollouts


def order_rollout(rollouts, now=0.0):
    rollouts._view.orders = {"model": RolloutOrder("model", "v2", DURATION_S, 18)}
    rollouts._view.last_answer_at = now
    rollouts.refresh(now)


def observe(rollouts, version, first_s, count, now=1.0):
    """Observe outcomes of a version; return after how many it was rolled back."""
    for number in range(count):
        work = make_work(f"{version}-{number}", route=("talk", "note")[number % 2])
        outcome = ended(work, first_seconds=first_s, total_seconds=first_s + 0.4)
        rollouts.observe("model", version, work, outcome, now)
        if rollouts.rollbacks():
            return number + 1
    return None


def take_over(rollouts):
    """Return what a follower of `rollouts` knows, by way of a roster on the wire."""
    follower = make_rollouts()
    rows = rollouts.progress_rows()
    roster = Roster("n1", None, 1, 1, 0.0, [], [], {}, rows)
    follower.merge_progress(decode(encode(roster)).message.rollouts)
    return follower


def test_one_coordinator_sees_a_slow_version():
    rollouts = make_rollouts()
    assert observe(rollouts, "old", OLD_FIRST_S, 60) is None
    assert observe(rollouts, "new", SLOW_FIRST_S, ENOUGH_OUTCOMES) is not None


def test_a_successor_knows_how_fast_the_old_version_was():
    """Replays EXPOSURE: a kill as all traffic moved, and no old outcomes after it."""
    rollouts = make_rollouts()
    observe(rollouts, "old", OLD_FIRST_S, 60)
    successor = take_over(rollouts)
    assert observe(successor, "new", SLOW_FIRST_S, ENOUGH_OUTCOMES) is not None


def test_a_successor_goes_on_from_the_outcomes_seen_so_far():
    rollouts = make_rollouts()
    observe(rollouts, "old", OLD_FIRST_S, 60)
    alike = make_rollouts()
    observe(alike, "old", OLD_FIRST_S, 60)
    needed = observe(alike, "new", SLOW_FIRST_S, ENOUGH_OUTCOMES)
    assert observe(rollouts, "new", SLOW_FIRST_S, needed - 1) is None
    assert observe(take_over(rollouts), "new", SLOW_FIRST_S, 1) == 1


def test_a_good_version_is_not_rolled_back_by_a_successor():
    rollouts = make_rollouts()
    observe(rollouts, "old", OLD_FIRST_S, 60)
    observe(rollouts, "new", OLD_FIRST_S, 10)
    assert observe(take_over(rollouts), "new", OLD_FIRST_S, 200) is None


def test_a_version_is_not_rolled_back_while_the_old_one_is_as_slow():
    """As on a machine under load."""
    rollouts = make_rollouts()
    observe(rollouts, "old", OLD_FIRST_S, 60)
    for step in range(40):
        now = 1.1 + step / 20
        for version in ("new", "new", "old"):
            assert observe(rollouts, version, SLOW_FIRST_S, 1, now) is None


def test_a_version_is_rolled_back_while_the_old_one_is_fast():
    rollouts = make_rollouts()
    observe(rollouts, "old", OLD_FIRST_S, 60)
    for step in range(40):
        now = 1.1 + step / 20
        observe(rollouts, "old", OLD_FIRST_S, 1, now)
        if observe(rollouts, "new", SLOW_FIRST_S, 1, now) is not None:
            break
    assert step < ENOUGH_OUTCOMES


def test_a_successor_still_waits_for_the_old_version():
    """It takes over between the first slow outcomes and those of the old version."""
    rollouts = make_rollouts()
    observe(rollouts, "old", OLD_FIRST_S, 60)
    observe(rollouts, "new", SLOW_FIRST_S, 3, 1.1)
    successor = take_over(rollouts)
    for step in range(40):
        now = 500.0 + step / 20
        for version in ("new", "old"):
            assert observe(successor, version, SLOW_FIRST_S, 1, now) is None


def observe_both(rollouts, count):
    """Observe fast outcomes of the old version and slow ones of the new one in turn.

    Return after how many of the new version it was rolled back, None if it was not.
    """
    for number in range(count):
        observe(rollouts, "old", OLD_FIRST_S, 1)
        if observe(rollouts, "new", SLOW_FIRST_S, 1) is not None:
            return number + 1
    return None


def test_a_successor_keeps_what_was_compared_with_the_old_version():
    """Replays EXPOSURE: the coordinator is killed one outcome short of a rollback."""
    alike = make_rollouts()
    observe(alike, "old", OLD_FIRST_S, 60)
    needed = observe_both(alike, ENOUGH_OUTCOMES)
    rollouts = make_rollouts()
    observe(rollouts, "old", OLD_FIRST_S, 60)
    assert observe_both(rollouts, needed - 1) is None
    successor = take_over(rollouts)
    observe(successor, "old", OLD_FIRST_S, 10)
    assert observe_both(successor, 1) == 1


def observe_many_targets(rollouts, count, slow_every):
    """Observe outcomes of the new version on nine targets, some of them slow.

    Return after how many it was rolled back, None if it was not.
    """
    for number in range(count):
        is_slow = number % slow_every == slow_every - 1
        work = make_work(f"new-{number}", route=("talk", "note")[number // 2 % 2])
        first_s = SLOW_FIRST_S if is_slow else OLD_FIRST_S
        outcome = ended(
            work,
            f"e{number % 9}",
            first_seconds=first_s,
            total_seconds=first_s + 0.4,
        )
        rollouts.observe("model", "new", work, outcome, 1.0)
        if rollouts.rollbacks():
            return number + 1
    return None


def test_slow_outcomes_at_many_targets_count_from_the_start():
    """Replays EXPOSURE: half of a slow version's outcomes show it, on nine targets."""
    rollouts = make_rollouts()
    observe(rollouts, "old", OLD_FIRST_S, 60)
    assert observe_many_targets(rollouts, CANARY_OUTCOMES, 2) is not None


def test_traffic_does_not_move_to_a_version_that_is_suspected():
    """Replays EXPOSURE: one outcome short of a rollback, at the time of the switch."""
    alike = make_rollouts()
    observe(alike, "old", OLD_FIRST_S, 60)
    needed = observe(alike, "new", SLOW_FIRST_S, ENOUGH_OUTCOMES)
    rollouts = make_rollouts()
    observe(rollouts, "old", OLD_FIRST_S, 60)
    observe(rollouts, "new", OLD_FIRST_S, ENOUGH_OUTCOMES)
    observe(rollouts, "new", SLOW_FIRST_S, needed - 1)
    rollouts.step(lambda service: 0, DURATION_S / 2)
    assert rollouts.share("model", DURATION_S / 2) < 0.5


@pytest.mark.parametrize("is_evacuated", [False, True])
def test_a_rollout_is_not_completed_into_an_evacuated_zone(is_evacuated):
    """The old version's targets would be stopped while those of the new get nothing."""
    rollouts = make_rollouts()
    observe(rollouts, "old", OLD_FIRST_S, 60)
    observe(rollouts, "new", OLD_FIRST_S, 60)
    if is_evacuated:
        rollouts._view.evacuations.put(platform.Item("op/evacuate/a1", b"{}", 1, 1))
    rollouts.step(lambda service: 0, DURATION_S * 0.99)
    rollouts.step(lambda service: 0, DURATION_S)
    stage = rollouts._rollouts["model"].plan.stage
    assert stage == (Stage.ROLLED_BACK if is_evacuated else Stage.DONE)


PATIENCE_S = 0.4


def observe_leaving(rollouts, version, count, seconds):
    """Observe requests whose callers left after `seconds` without a response.

    Return after how many the version was rolled back, None if it was not.
    """
    for number in range(count):
        work = make_work(f"left-{version}-{number}", route=("talk", "note")[number % 2])
        outcome = ended(work, status="cancelled", total_seconds=seconds)
        rollouts.observe("model", version, work, outcome, 1.0)
        if rollouts.rollbacks():
            return number + 1
    return None


def test_callers_that_leave_a_slow_version_count_against_it():
    """Replays EXPOSURE: most callers leave before a slow response is there."""
    rollouts = make_rollouts()
    observe(rollouts, "old", OLD_FIRST_S, 60)
    assert observe_leaving(rollouts, "new", ENOUGH_OUTCOMES, PATIENCE_S) is not None


def test_callers_that_leave_before_a_usual_response_tell_nothing():
    rollouts = make_rollouts()
    observe(rollouts, "old", OLD_FIRST_S, 60)
    assert observe_leaving(rollouts, "new", 200, OLD_FIRST_S / 2) is None


def test_callers_that_leave_both_versions_alike_do_not_roll_back_the_new_one():
    rollouts = make_rollouts()
    observe(rollouts, "old", OLD_FIRST_S, 60)
    for _ in range(60):
        observe(rollouts, "old", OLD_FIRST_S, 2)
        observe_leaving(rollouts, "old", 2, PATIENCE_S)
        observe(rollouts, "new", OLD_FIRST_S, 1)
        assert observe_leaving(rollouts, "new", 1, PATIENCE_S) is None


def test_a_new_version_is_compared_with_what_was_usual_before_its_order():
    """Replays EXPOSURE: its first responses come before enough of the old version's."""
    rollouts = make_rollouts(is_ordered=False)
    observe(rollouts, "", OLD_FIRST_S, 60)
    order_rollout(rollouts)
    assert observe(rollouts, "new", SLOW_FIRST_S, ENOUGH_OUTCOMES) is not None


def test_what_was_usual_before_a_rollback_is_learnt_anew_without_the_new_version():
    rollouts = make_rollouts()
    observe(rollouts, "old", OLD_FIRST_S, 60)
    assert observe(rollouts, "new", SLOW_FIRST_S, ENOUGH_OUTCOMES) is not None
    for number in range(60):
        for version, first_s in (("new", SLOW_FIRST_S), ("", OLD_FIRST_S)):
            work = make_work(f"{version}-{number}", route=("talk", "note")[number % 2])
            outcome = ended(work, first_seconds=first_s, total_seconds=first_s + 0.4)
            rollouts.observe("model", version, work, outcome, 1.5)
    order = RolloutOrder("model", "v3", DURATION_S, 40)
    rollouts._view.orders = {"model": order}
    rollouts.refresh(2.0)
    assert not rollouts.rollbacks()
    assert observe(rollouts, "new", SLOW_FIRST_S, ENOUGH_OUTCOMES) is not None


def grant_all(rollouts, seconds, rate=17, now=0.0):
    """Offer requests; return how many go to the new version."""
    due = granted = 0
    for number in range(int(seconds * rate)):
        rollouts.step(lambda service: 0, now + number / rate)
        rollouts.count_sent("model")
        due += rollouts.share("model", number / rate)
        if due >= 1:
            due -= 1
            granted += 1
            rollouts.count_new("model")
    return granted


def test_a_host_that_starts_in_a_rollout_does_not_grant_its_slack_again():
    """All hosts were killed at once, so no roster tells what they had granted."""
    order = RolloutOrder("model", "v2", DURATION_S, 18)
    value = platform.encode_rollout_state(order, "running", time.time() - 8.0)
    rollouts = make_rollouts(is_ordered=False)
    item = SimpleNamespace(value=value, revision=20)
    rollouts._view.rollout_state = lambda service: item
    order_rollout(rollouts, now=100.0)
    before = grant_all(make_rollouts(), 8.0)
    granted = grant_all(rollouts, 4.0, now=100.0)
    shared = 0.1 * CANARY_SHARE_FRACTION * 12 * 17
    assert before + granted <= CANARY_OUTCOMES + shared


def test_hosts_that_coordinate_apart_share_the_slack():
    halves = [make_rollouts(), make_rollouts()]
    for rollouts in halves:
        rollouts.set_slack_fraction(0.5)
    granted = sum(grant_all(rollouts, 3.0) for rollouts in halves)
    sent = 2 * 3 * 17
    assert granted <= 0.1 * sent + CANARY_OUTCOMES


def test_outcomes_before_the_bar_is_known_are_judged_once_it_is():
    """Replays EXPOSURE: the order came 3 s after the first request."""
    rollouts = make_rollouts()
    observe(rollouts, "new", SLOW_FIRST_S, ENOUGH_OUTCOMES)
    assert not rollouts.rollbacks()
    observe(rollouts, "old", OLD_FIRST_S, 60)
    assert observe(rollouts, "new", SLOW_FIRST_S, 3) is not None


def test_few_fast_outcomes_elsewhere_do_not_excuse_the_target_that_gets_most():
    """Replays EXPOSURE: one new target of three got nine requests of ten."""
    rollouts = make_rollouts()
    observe(rollouts, "old", OLD_FIRST_S, 60)
    for target in ("e2", "e3"):
        work = make_work(target, route="talk")
        outcome = ended(work, target, first_seconds=OLD_FIRST_S, total_seconds=0.5)
        rollouts.observe("model", "new", work, outcome, 1.0)
    assert observe(rollouts, "new", SLOW_FIRST_S, ENOUGH_OUTCOMES) is not None


def test_one_slow_target_of_several_does_not_roll_back():
    rollouts = make_rollouts()
    observe(rollouts, "old", OLD_FIRST_S, 60)
    for number in range(120):
        target = f"e{number % 3}"
        first_s = SLOW_FIRST_S if target == "e1" else OLD_FIRST_S
        work = make_work(f"n{number}", route=("talk", "note")[number % 2])
        outcome = ended(
            work, target, first_seconds=first_s, total_seconds=first_s + 0.4
        )
        rollouts.observe("model", "new", work, outcome, 1.0)
    assert not rollouts.rollbacks()


def leave_early(rollouts, new_left):
    """Let callers leave before the bar for 8 s: 1 of 8 old ones, and of the new ones.

    `new_left` is how many of 4 callers of the new version leave each second.
    """
    for second in range(8):
        now = 1.0 + second
        for version, count, left in (("old", 8, 1), ("new", 4, new_left)):
            for number in range(count):
                work = make_work(f"{version}-{second}-{number}", route="talk")
                outcome = ended(work, first_seconds=OLD_FIRST_S, total_seconds=0.5)
                if number < left:
                    seconds = OLD_FIRST_S * 0.9
                    outcome = ended(work, status="cancelled", total_seconds=seconds)
                rollouts.observe("model", version, work, outcome, now)


def stage_at_the_last_moment(rollouts):
    rollouts.step(lambda service: 0, DURATION_S * 0.9)
    return rollouts._rollouts["model"].plan.stage


def test_a_version_that_more_callers_leave_early_gets_no_more_traffic():
    """Their patience ends before a response can be called slow."""
    rollouts = make_rollouts()
    observe(rollouts, "old", OLD_FIRST_S, 60)
    leave_early(rollouts, new_left=3)
    successor = take_over(rollouts)
    assert stage_at_the_last_moment(rollouts) == Stage.ROLLED_BACK
    assert stage_at_the_last_moment(successor) == Stage.ROLLED_BACK


def test_callers_that_leave_both_versions_early_tell_nothing():
    rollouts = make_rollouts()
    observe(rollouts, "old", OLD_FIRST_S, 60)
    leave_early(rollouts, new_left=1)
    assert stage_at_the_last_moment(rollouts) == Stage.SWITCHED


def test_a_route_whose_requests_always_fail_is_no_evidence():
    """Its timeout is shorter than its requests take, whatever the version."""
    rollouts = make_rollouts()
    for number in range(40):
        for version in ("old", "new"):
            work = make_work(f"{version}-{number}", route="talk" if number % 4 else "x")
            status = "ok" if number % 4 else "late"
            rollouts.observe("model", version, work, ended(work, status=status), 1.0)
    rollouts.step(lambda service: 0, DURATION_S * 0.9)
    assert rollouts._rollouts["model"].progress.suspicion < MAX_SWITCH_SUSPICION


def odd_rows():
    """Return rows of a rollout's progress as no build sends them."""
    rollouts = make_rollouts()
    observe(rollouts, "old", OLD_FIRST_S, 60)
    observe(rollouts, "new", OLD_FIRST_S, 4)
    (row,) = rollouts.progress_rows()
    *counts, (thresholds, parts), left = row
    more = {key: [*values, 1.0] for key, values in thresholds.items()}
    texts = {"": [["x"] * 3] * 2}
    return {
        "short": row[:4],
        "no states": [*counts, None, left],
        "thresholds": [*counts, [more, parts], left],
        "texts": [*counts, [thresholds, texts], left],
        "not finite": [*counts, [thresholds, parts], [9, 1.0, float("inf")]],
        "left": [*counts, [thresholds, parts], [1, 2, 3, 4]],
        "counts": [*row[:2], "x", *row[3:]],
        "no row": None,
    }


@pytest.mark.parametrize("kind", odd_rows())
def test_progress_of_another_shape_is_not_adopted(kind):
    """The rest of a roster counts, and later outcomes are judged as before."""
    follower = make_rollouts()
    follower.merge_progress(readable_progress([odd_rows()[kind]]))
    assert follower._rollouts["model"].progress.sent_new == 0
    observe(follower, "old", OLD_FIRST_S, 60)
    observe(follower, "new", OLD_FIRST_S, 4)
    follower.step(lambda service: 0, 1.0)
    assert observe(follower, "new", SLOW_FIRST_S, ENOUGH_OUTCOMES) is not None
