"""Tests of the detection of poison requests, which crash targets."""

from hypothesis import given
from hypothesis import strategies as st

from lovagepier.decisions.crashes.poison import PoisonDetector, Run
from test.builders import ended, make_scheduler, make_work


def _runs(*bodies):
    return [Run(body) for body in bodies]


def test_the_only_suspect_of_two_crashes_is_poison():
    poison_detector = PoisonDetector()
    assert poison_detector.on_crash("e1/1", _runs("bad", "x"), 1.0) == []
    assert poison_detector.on_crash("e2/1", _runs("bad", "y"), 2.0) == ["bad"]
    assert poison_detector.is_poison("bad")
    assert not poison_detector.is_poison("x") and not poison_detector.is_poison("y")


def test_a_suspect_that_completes_is_cleared():
    poison_detector = PoisonDetector()
    poison_detector.on_crash("e1/1", _runs("bad", "x"), 1.0)
    poison_detector.on_success("x")
    assert not poison_detector.is_suspect("x")
    assert poison_detector.is_suspect("bad")


@given(st.lists(st.sets(st.sampled_from("abcdef"), max_size=4), min_size=3, max_size=9))
def test_a_body_that_runs_during_three_crashes_is_always_poison(crashes):
    poison_detector = PoisonDetector(max_crashes=3)
    for number, others in enumerate(crashes):
        if poison_detector.is_poison("bad"):
            break
        poison_detector.on_crash(f"e{number}/1", _runs(*others, "bad"), float(number))
    assert poison_detector.is_poison("bad")


def test_the_scheduler_refuses_poison_requests():
    scheduler = make_scheduler(("e1", "e2", "e3"))
    for number in range(2):
        work = make_work(f"r{number}", fingerprint="bad")
        (grant,) = scheduler.offer(work, 1.0)
        scheduler.finish(ended(work, grant.target, "died"), 1.5)
    (refusal,) = scheduler.offer(make_work("r9", fingerprint="bad"), 2.0)
    assert refusal.kind == "suspect-request"


def test_a_crash_counts_if_the_target_has_restarted_before_it_is_noticed():
    scheduler = make_scheduler(("e1", "e2"))
    for number, name in enumerate(("e1", "e2")):
        work = make_work(f"r{number}", fingerprint="bad", exclude=frozenset())
        (grant,) = scheduler.offer(work, 1.0)
        scheduler.finish(ended(work, grant.target, "vanished"), 1.5)
        scheduler.targets.report(grant.target, 0, 0, 2.0, f"after-{name}")
    (refusal,) = scheduler.offer(make_work("r9", fingerprint="bad"), 2.5)
    assert refusal.kind == "suspect-request"


def test_an_id_unknown_to_a_running_target_makes_no_suspect():
    scheduler = make_scheduler()
    work = make_work("r1", fingerprint="fine")
    scheduler.offer(work, 1.0)
    scheduler.finish(ended(work, status="vanished"), 1.5)
    scheduler.targets.report("e1", 0, 0, 2.0, "i1")
    assert not scheduler.poison_detector.is_suspect("fine")


def test_two_suspects_never_run_on_one_target():
    scheduler = make_scheduler(("e1", "e2"), slots=8.0)
    scheduler.poison_detector.on_crash("e0/1", _runs("b1", "b2", "b3"), 0.5)
    granted = []
    for name in ("b1", "b2", "b3"):
        granted += scheduler.offer(make_work(name, fingerprint=name), 1.0)
    assert sorted(grant.target for grant in granted) == ["e1", "e2"]
    first = granted[0]
    later = scheduler.finish(ended(first.work, first.target), 2.0)
    assert [grant.work.id for grant in later] == ["b3"]


def test_a_crash_counts_if_only_the_new_incarnation_or_the_removal_is_seen():
    for see in ("new life", "removal"):
        scheduler = make_scheduler()
        for incarnation in ("i1", "i2", "i3"):
            scheduler.set_target("e1", "a1", "v1", incarnation, 1.0)
            work = make_work(f"r-{incarnation}", fingerprint="poison", deadline=1000.0)
            scheduler.offer(work, 1.0)
            scheduler.finish(ended(work, status="vanished"), 1.0)
            if see == "removal":
                scheduler.targets.remove("e1", 1.5)
        scheduler.set_target("e1", "a1", "v1", "i4", 2.0)
        assert scheduler.poison_detector.is_poison("poison")


def test_a_recorded_crash_names_its_suspects_once():
    poison_detector = PoisonDetector()
    poison_detector.on_crash("e1/1", _runs("bad", "x"), 1.0)
    (crash,) = poison_detector.take_crashes()
    assert (crash.id, crash.suspects, crash.poisoned) == ("e1/1", ["bad", "x"], [])
    poison_detector.on_crash("e2/1", _runs("bad"), 2.0)
    (crash,) = poison_detector.take_crashes()
    assert crash.poisoned == ["bad"]
    assert poison_detector.take_crashes() == []


def _crash(scheduler, grants, now):
    """End the runs of `grants` and their targets, as a body does that crashes them."""
    decisions = []
    for grant in grants:
        scheduler.targets.on_crash(grant.target, f"{grant.target}/i1", now)
        broken_off = ended(grant.work, grant.target, "vanished")
        decisions += scheduler.finish(broken_off, now)
    return decisions


def test_copies_that_wait_when_a_body_proves_poisonous_are_not_granted():
    """Replays BUDGET at 72.913 s: four waiting copies crashed four new targets."""
    scheduler = make_scheduler(("e1", "e2", "e3"), slots=1.0)
    copies = [make_work(f"r{number}", fingerprint="bad") for number in range(7)]
    decisions = [d for work in copies for d in scheduler.offer(work, 1.0)]
    assert len(decisions) == 3
    decisions = _crash(scheduler, decisions, 1.2)
    for name in ("n1", "n2", "n3", "n4"):
        decisions += scheduler.set_target(name, "a1", "v1", "i1", 4.5)
    assert sorted(d.work.id for d in decisions) == ["r3", "r4", "r5", "r6"]
    assert {getattr(d, "kind", "granted") for d in decisions} == {"suspect-request"}


def test_one_copy_of_a_suspect_runs_at_a_time():
    scheduler = make_scheduler(("e1", "e2", "e3", "e4"), slots=2.0)
    first = scheduler.offer(make_work("r0", fingerprint="bad"), 1.0)
    _crash(scheduler, first, 1.2)
    copies = [make_work(f"r{number}", fingerprint="bad") for number in (1, 2, 3)]
    granted = [d for work in copies for d in scheduler.offer(work, 2.0)]
    assert [grant.work.id for grant in granted] == ["r1"]
    # Other work does not wait for them.
    (other,) = scheduler.offer(make_work("other"), 2.0)
    assert other.work.id == "other"
    later = scheduler.finish(ended(granted[0].work, granted[0].target), 2.5)
    assert sorted(grant.work.id for grant in later) == ["r2", "r3"]


def test_a_request_that_was_refused_a_connection_is_no_suspect():
    scheduler = make_scheduler(("e1",), slots=2.0)
    ran, refused = make_work("r1"), make_work("r2")
    scheduler.offer(ran, 1.0)
    scheduler.offer(refused, 1.0)
    scheduler.finish(ended(ran, "e1", "vanished"), 1.1)
    scheduler.finish(ended(refused, "e1", "unreachable"), 1.2)
    assert scheduler.poison_detector.is_suspect(ran.fingerprint)
    assert not scheduler.poison_detector.is_suspect(refused.fingerprint)


def test_a_late_report_of_a_crash_leaves_its_suspects_active():
    detector = PoisonDetector()
    detector.on_crash("e1/1", [Run("body-1", ("part:a",))], 1.0)
    settled = Run("body-2", ("part:a",), settled=True)
    detector.on_crash("e1/1", [settled], 1.1)
    assert detector.is_suspect("part:a")
    assert not detector.is_suspect("body-2")
