"""Parts of prompts that crash each target that begins to answer them."""

import pytest

from test.builders import ended, make_scheduler, make_work
from test.crash_model import CrashModel

# What may be sent later than a time after the crash with this number.
ALLOWED_CRASHES = 5
ALLOWED_SENDS = 3
CONTACT_S = 3.0


def late_sends(model):
    """Return how many bad requests were sent later than `CONTACT_S` after the limit."""
    if len(model.crashes) < ALLOWED_CRASHES:
        return 0
    limit = model.crashes[ALLOWED_CRASHES - 1] + CONTACT_S
    return sum(at > limit for at in model.sent_bad)


@pytest.mark.parametrize("seed", range(12))
def test_requests_with_a_part_that_crashes_targets_are_stopped(seed):
    """Replays BUDGET at 21.462 s: 25 targets ended, no two bodies alike."""
    model = CrashModel(seed, bad_share=(0.05, 0.2, 0.4)[seed % 3])
    model.run(30.0)
    assert len(model.crashes) <= ALLOWED_CRASHES + ALLOWED_SENDS
    assert late_sends(model) <= ALLOWED_SENDS


@pytest.mark.parametrize("seed", range(6))
def test_a_part_is_stopped_over_changes_of_the_coordinator(seed):
    model = CrashModel(seed, bad_share=0.2)
    for _ in range(15):
        model.run(2.0)
        model.replace_coordinator()
    assert len(model.crashes) <= ALLOWED_CRASHES + ALLOWED_SENDS
    assert late_sends(model) <= ALLOWED_SENDS


@pytest.mark.parametrize("seed", range(6))
def test_sound_requests_beside_such_a_part_are_served(seed):
    """Replays the 422 answers from 12.1 s on, given to sound requests."""
    model = CrashModel(seed, bad_share=0.2)
    model.run(30.0)
    assert model.refused_sound == []
    assert model.answered_sound >= 0.9 * model.offered_sound


@pytest.mark.parametrize("seed", [104, 108, 118, 150, 201, 211])
def test_a_shared_part_is_not_convicted_before_any_request_completed(seed):
    """Half of the first requests have the part; with these seeds none completed."""
    model = CrashModel(seed, bad_share=0.5, rate=(10.0, 25.0)[seed % 2])
    model.run(20.0)
    assert not model.scheduler.poison_detector.is_poison("part:system")
    assert model.refused_sound == []
    assert late_sends(model) <= ALLOWED_SENDS


def test_a_part_is_suspected_until_it_completes():
    scheduler = make_scheduler()
    work = make_work("r1", parts=("system",))
    scheduler.offer(work, 1.0)
    scheduler.finish(ended(work, status="died"), 1.5)
    detector = scheduler.poison_detector
    assert detector.is_suspect("body-r1")
    assert detector.is_suspect("part:system")
    detector.on_success("body-r2", ("part:system",))
    assert detector.is_suspect("body-r1")
    assert not detector.is_suspect("part:system")


def test_a_part_that_has_completed_is_never_suspected():
    scheduler = make_scheduler(("e1",), slots=4.0)
    sound = make_work("r1", parts=("system", "document"))
    scheduler.offer(sound, 1.0)
    scheduler.finish(ended(sound), 1.5)
    work = make_work("r2", parts=("system", "other"))
    scheduler.offer(work, 2.0)
    scheduler.finish(ended(work, status="died"), 2.5)
    detector = scheduler.poison_detector
    assert not detector.is_suspect("part:system")
    assert detector.is_suspect("part:other")


def test_targets_that_crash_at_one_moment_convict_no_part():
    scheduler = make_scheduler(("e1", "e2", "e3", "e4"), slots=1.0)
    grants = []
    for number in range(4):
        grants += scheduler.offer(make_work(f"r{number}", parts=("system",)), 1.0)
    for grant in grants[:3]:
        scheduler.finish(ended(grant.work, grant.target, "died"), 2.0)
    detector = scheduler.poison_detector
    assert detector.is_suspect("part:system")
    assert not detector.is_poison("part:system")
    scheduler.finish(ended(grants[3].work, grants[3].target), 3.0)
    assert not detector.is_suspect("part:system")
