"""Tests of the pool scheduler: order, limits, at-most-once grants, ejection."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lovagepier.decisions.placement.work import Grant, Join, Refusal
from lovagepier.decisions.queueing.late_requests import MAX_LATE_ROUNDS
from lovagepier.errors import ErrorKind
from test.builders import ended, make_scheduler, make_work


def _granted_ids(decisions):
    return [d.work.id for d in decisions if isinstance(d, Grant)]


def test_a_free_target_is_granted_at_once():
    scheduler = make_scheduler()
    (grant,) = scheduler.offer(make_work("r1"), 1.0)
    assert (grant.target, grant.version) == ("e1", "v1")


def test_higher_tiers_start_first():
    scheduler = make_scheduler(slots=1.0)
    first = make_work("r0", tier=3)
    scheduler.offer(first, 1.0)
    for name, tier in (("low", 3), ("mid", 2), ("high", 1)):
        assert scheduler.offer(make_work(name, tier=tier), 1.0) == []
    over = ended(first, status="cancelled")
    assert _granted_ids(scheduler.finish(over, 2.0)) == ["high"]


def test_a_full_queue_sheds_the_lowest_tier():
    scheduler = make_scheduler(slots=1.0, max_waiting=2)
    scheduler.offer(make_work("r0"), 1.0)
    scheduler.offer(make_work("low", tier=3), 1.0)
    scheduler.offer(make_work("mid", tier=2), 1.0)
    (refusal,) = scheduler.offer(make_work("high", tier=1), 1.0)
    assert (refusal.work.id, refusal.kind) == ("low", ErrorKind.SHED)


def test_lower_tiers_pause_after_a_higher_tier_was_shed():
    scheduler = make_scheduler(slots=1.0, max_waiting=1, shed_pause_s=1.0)
    running = make_work("r0", tier=1)
    scheduler.offer(running, 1.0)
    scheduler.offer(make_work("r1", tier=1), 1.0)
    (refusal,) = scheduler.offer(make_work("r2", tier=1), 1.0)
    assert refusal.kind == ErrorKind.SHED
    kept = next(iter(scheduler.waiting.works()))
    assert _granted_ids(scheduler.finish(ended(running), 1.1)) == [kept.id]
    scheduler.finish(ended(kept), 1.2)
    assert scheduler.offer(make_work("low", tier=3), 1.3) == []
    assert _granted_ids(scheduler.tick(2.1)) == ["low"]


def test_a_request_that_cannot_meet_its_deadline_is_refused_on_arrival():
    scheduler = make_scheduler()
    _complete_requests(scheduler)
    (grant,) = scheduler.offer(make_work("long"), 11.0)
    (refusal,) = scheduler.offer(make_work("r2", deadline=12.0), 11.0)
    assert refusal.kind == ErrorKind.DEADLINE_INFEASIBLE
    assert grant.work.id == "long"


def _complete_requests(scheduler, times=3):
    for number in range(times):
        work = make_work(f"taught{number}")
        scheduler.offer(work, 1.0)
        scheduler.finish(ended(work, decode_tokens=100, total_seconds=10.0), 10.0)


def test_lower_tiers_pause_while_another_pool_sheds_a_higher_tier():
    scheduler = make_scheduler()
    scheduler.pause_below(1, 1.0)
    assert scheduler.offer(make_work("low", tier=2), 1.5) == []
    assert _granted_ids(scheduler.offer(make_work("same", tier=1), 1.5)) == ["same"]
    assert scheduler.last_shed is None
    assert _granted_ids(scheduler.tick(2.1)) == ["low"]


def test_a_request_of_unknown_length_is_not_refused_as_infeasible():
    scheduler = make_scheduler()
    _complete_requests(scheduler)
    work = make_work("r1", route="new", account="new", deadline=12.0)
    assert _granted_ids(scheduler.offer(work, 11.0)) == ["r1"]


def test_an_idle_pool_runs_an_infeasible_request_once_per_period():
    scheduler = make_scheduler()
    _complete_requests(scheduler)
    infeasible = make_work("r1", deadline=12.0)
    assert _granted_ids(scheduler.offer(infeasible, 11.0)) == ["r1"]
    scheduler.finish(ended(infeasible), 11.1)
    (refusal,) = scheduler.offer(make_work("r2", deadline=12.0), 11.2)
    assert refusal.kind == ErrorKind.DEADLINE_INFEASIBLE


def test_a_queued_request_is_refused_once_it_cannot_meet_its_deadline():
    scheduler = make_scheduler(slots=1.0)
    scheduler.offer(make_work("r0"), 1.0)
    scheduler.offer(make_work("r1", deadline=5.0), 1.0)
    assert scheduler.tick(4.0) == []
    (refusal,) = scheduler.tick(5.1)
    assert refusal.kind == ErrorKind.DEADLINE_WAITING


def test_a_draining_target_gets_no_new_requests():
    scheduler = make_scheduler(("e1", "e2"))
    scheduler.targets.set_draining("e1", True)
    names = {scheduler.offer(make_work(f"r{n}"), 1.0)[0].target for n in range(2)}
    assert names == {"e2"}


def test_a_draining_target_serves_again_under_a_new_incarnation():
    scheduler = make_scheduler()
    scheduler.targets.set_draining("e1", True)
    assert scheduler.offer(make_work("r1"), 1.0) == []
    scheduler.targets.report("e1", 0, 0, 2.0, "i2")
    assert _granted_ids(scheduler.tick(2.0)) == ["r1"]


def test_a_failing_target_is_ejected_and_probed():
    scheduler = make_scheduler(("e1", "e2"), slots=2.0)
    busy = frozenset({"e1"})
    for number in range(2):
        held = make_work(f"held{number}", exclude=busy)
        assert _granted_ids(scheduler.offer(held, 0.5)) == [held.id]
    for number in range(3):
        work = make_work(f"r{number}")
        scheduler.offer(work, 1.0)
        scheduler.finish(ended(work, status="failed"), 1.0)
    assert scheduler.offer(make_work("next"), 1.5) == []
    assert scheduler.offer(make_work("other"), 1.6) == []
    assert len(_granted_ids(scheduler.tick(3.1))) == 1


def test_unused_grants_do_not_count_against_a_target():
    scheduler = make_scheduler(("e1",), slots=8.0)
    for number in range(10):
        work = make_work(f"r{number}")
        scheduler.offer(work, 1.0)
        scheduler.finish(ended(work, status="returned"), 1.0)
    assert _granted_ids(scheduler.offer(make_work("next"), 1.5)) == ["next"]


def test_a_request_that_did_not_run_may_be_granted_again():
    scheduler = make_scheduler(("e1", "e2"))
    work = make_work("r1")
    scheduler.offer(work, 1.0)
    scheduler.finish(ended(work, status="not-run"), 1.0)
    again = make_work("r1", exclude=frozenset({"e1"}), attempt=1)
    (grant,) = scheduler.offer(again, 1.1)
    assert grant.target == "e2"


def test_a_duplicate_of_a_queued_request_replaces_it():
    scheduler = make_scheduler(slots=1.0)
    first = make_work("r0")
    scheduler.offer(first, 1.0)
    scheduler.offer(make_work("r1", entry="n1"), 1.0)
    assert scheduler.offer(make_work("r1", entry="n2"), 1.1) == []
    assert len(scheduler.waiting) == 1
    (grant,) = scheduler.finish(ended(first, status="cancelled"), 2.0)
    assert (grant.work.id, grant.work.entry) == ("r1", "n2")


def test_the_speed_estimate_of_an_idle_target_is_relaxed():
    scheduler = make_scheduler(("e1", "e2"), slots=50.0)
    for number in range(10):
        work = make_work(f"r{number}", exclude=frozenset({"e2"}))
        scheduler.offer(work, 1.0)
        scheduler.finish(ended(work, total_seconds=5.0), 1.0)
    (grant,) = scheduler.offer(make_work("before"), 1.5)
    assert grant.target == "e2"
    scheduler.finish(ended(grant.work, "e2", total_seconds=1.0), 2.0)
    for step in range(60):
        scheduler.targets.report("e1", 0, 0, 4.0 + step / 2)
    (grant,) = scheduler.offer(make_work("after"), 40.0)
    assert grant.target == "e1"


def test_slots_of_a_dead_entry_host_are_freed_after_the_deadline():
    scheduler = make_scheduler(slots=1.0)
    scheduler.offer(make_work("r1", entry="gone", deadline=5.0), 1.0)
    scheduler.offer(make_work("r2", entry="n2"), 1.0)
    assert scheduler.release_lost({"gone"}, 4.0) == []
    assert _granted_ids(scheduler.release_lost({"gone"}, 5.5)) == ["r2"]
    (join,) = scheduler.offer(make_work("r1"), 6.0)
    assert isinstance(join, Join)


def test_slots_of_lost_outcomes_are_freed_after_the_default_timeout():
    scheduler = make_scheduler(slots=1.0)
    scheduler.offer(make_work("r1", deadline=5.0), 1.0)
    assert scheduler.release_lost(set(), 90.0) == []
    assert scheduler.fleet.get("e1").in_flight == 1
    scheduler.release_lost(set(), 96.0)
    assert scheduler.fleet.get("e1").in_flight == 0


def test_an_unstreamed_response_changes_neither_prefill_rate_nor_limit():
    scheduler = make_scheduler(slots=4.0)
    state = scheduler.fleet.get("e1")
    rate = state.speed.prefill_rate
    for number in range(20):
        work = make_work(f"r{number}")
        scheduler.offer(work, 1.0)
        outcome = ended(work, first_seconds=None, total_seconds=2.0)
        scheduler.finish(outcome, 3.0)
    assert state.speed.prefill_rate == rate
    assert state.limit.value == 4.0
    assert 0.08 < state.speed.token_seconds < 0.12


def test_ids_dispatched_by_an_earlier_coordinator_are_joined():
    scheduler = make_scheduler()
    scheduler.note_dispatched("r1", "e1", 1.0)
    (join,) = scheduler.offer(make_work("r1"), 1.0)
    assert isinstance(join, Join) and join.finished


def test_a_new_version_gets_a_bounded_share_of_the_running_requests():
    scheduler = make_scheduler(("e1", "e2"), slots=50.0)
    scheduler.set_target("n1", "a1", "v2", "i1", 0.0)
    scheduler.share = {"v2": 0.1}
    versions = []
    for number in range(60):
        work = make_work(f"r{number}", draw=(number % 10) / 10)
        versions += [d.version for d in scheduler.offer(work, 1.0)]
    assert 1 <= versions.count("v2") <= 12


def test_a_slow_request_does_not_end_the_share_of_a_service_with_few_requests():
    """Replays EXPOSURE: one request at a time shows a slow version too late."""
    scheduler = make_scheduler(("e1", "e2"), slots=50.0)
    scheduler.set_target("n1", "a1", "v2", "i1", 0.0)
    scheduler.share = {"v2": 0.4}
    slow, next_one = (make_work(name, draw=0.1) for name in ("r1", "r2"))
    assert [d.version for d in scheduler.offer(slow, 1.0)] == ["v2"]
    assert [d.version for d in scheduler.offer(next_one, 1.1)] == ["v2"]


def test_a_version_without_a_rollout_gets_no_requests():
    scheduler = make_scheduler(("e1",), slots=1.0)
    scheduler.set_target("n1", "a1", "v2", "i1", 0.0)
    scheduler.offer(make_work("r0", draw=0.0), 1.0)
    assert scheduler.offer(make_work("r1", draw=0.0), 1.0) == []


class SchedulerMachine(RuleBasedStateMachine):
    """Requests, duplicates, outcomes, draining targets and time in any order.

    Checks that no id is granted twice, that draining targets get nothing, and that
    no lower tier starts within a second after a higher one was shed.
    """

    def __init__(self):
        super().__init__()
        self.scheduler = make_scheduler(("e1", "e2"), slots=2.0, max_waiting=5)
        self.now = 1.0
        self.sent = {}
        self.grants = {}
        self.running = {}
        self.answered = set()
        self.draining = set()
        self.shed = []

    def _take(self, decisions):
        for decision in decisions:
            work = decision.work
            if isinstance(decision, Grant):
                self._on_grant(decision)
            elif isinstance(decision, Refusal):
                self.answered.add(work.id)
                if decision.kind in (ErrorKind.SHED, ErrorKind.DEADLINE_WAITING):
                    self.shed.append((self.now, work.tier))
            else:
                assert work.id in self.grants

    def _on_grant(self, grant):
        work = grant.work
        assert work.id not in self.grants
        assert grant.target not in self.draining
        assert not any(
            tier < work.tier and self.now - at < 1.0 for at, tier in self.shed
        )
        self.grants[work.id] = grant.target
        self.running[work.id] = grant

    @rule(
        tier=st.integers(0, 3), account=st.sampled_from("ab"), slack=st.floats(0.1, 9)
    )
    def offer(self, tier, account, slack):
        name = f"r{len(self.sent)}"
        work = make_work(name, tier=tier, account=account, deadline=self.now + slack)
        self.sent[name] = work
        self._take(self.scheduler.offer(work, self.now))

    @rule(data=st.data())
    def resend(self, data):
        if not self.sent:
            return
        name = data.draw(st.sampled_from(sorted(self.sent)))
        if name in self.answered:
            return
        again = make_work(name, deadline=self.now + 5, tier=self.sent[name].tier)
        self._take(self.scheduler.offer(again, self.now))

    @rule(data=st.data(), status=st.sampled_from(["ok", "failed", "died", "cancelled"]))
    def finish(self, data, status):
        if not self.running:
            return
        name = data.draw(st.sampled_from(sorted(self.running)))
        grant = self.running.pop(name)
        outcome = ended(grant.work, grant.target, status)
        self._take(self.scheduler.finish(outcome, self.now))

    @rule(name=st.sampled_from(["e1", "e2"]), draining=st.booleans())
    def set_draining(self, name, draining):
        self.scheduler.targets.set_draining(name, draining)
        (self.draining.add if draining else self.draining.discard)(name)

    @rule(name=st.sampled_from(["e1", "e2"]), boot=st.integers(1, 3))
    def report(self, name, boot):
        before = self.scheduler.fleet.get(name).incarnation
        self.scheduler.targets.report(name, 1, 0, self.now, f"i{boot}")
        if before != f"i{boot}":
            self.draining.discard(name)

    @rule(seconds=st.floats(0.01, 3.0))
    def wait(self, seconds):
        self.now += seconds
        self._take(self.scheduler.tick(self.now))

    @invariant()
    def every_request_is_in_one_place(self):
        for name in self.sent:
            places = [
                name in self.scheduler.waiting,
                name in self.grants,
                name in self.answered,
            ]
            assert sum(places) == 1, (name, places)

    @invariant()
    def counts_agree(self):
        for state in self.scheduler.fleet:
            names = [n for n, g in self.running.items() if g.target == state.name]
            assert sorted(state.running) == sorted(names)
            assert state.queued_prefill == sum(state.prefilling.values())


TestSchedulerMachine = SchedulerMachine.TestCase
TestSchedulerMachine.settings = settings(max_examples=100, stateful_step_count=30)


def _grants(decisions):
    return [decision for decision in decisions if isinstance(decision, Grant)]


def test_no_more_than_a_third_of_the_targets_is_ejected():
    names = [f"e{number}" for number in range(6)]
    scheduler = make_scheduler(names, slots=1.0)
    for number in range(40):
        work = make_work(f"r{number}", deadline=1000.0)
        for grant in _grants(scheduler.offer(work, 1.0)):
            scheduler.finish(ended(work, grant.target, "failed"), 1.0)
    ejected = [state.name for state in scheduler.fleet if state.ejected_until > 1.0]
    assert 1 <= len(ejected) <= 2
    work = make_work("last", deadline=1000.0)
    assert _grants(scheduler.offer(work, 1.0))


def test_a_request_that_will_miss_its_soft_deadline_yields_to_others():
    scheduler = make_scheduler((), demote_late=True, tiers=6)
    scheduler.set_target("e1", "a1", "v1", "i1", 0.0, slots=1)
    work = make_work("r0", tier=2)
    scheduler.offer(work, 0.0)
    scheduler.offer(make_work("late", tier=2, soft_deadline=0.5), 0.0)
    scheduler.offer(make_work("fresh", tier=2, soft_deadline=1.5), 0.9)
    scheduler.offer(make_work("lower", tier=4, soft_deadline=9.0), 0.9)
    order = []
    while work is not None:
        grants = _grants(scheduler.finish(ended(work), 1.0))
        work = grants[0].work if grants else None
        order += [work.id] if work else []
    assert order == ["fresh", "late", "lower"]


def test_slots_of_lost_outcomes_are_freed_after_the_configured_timeout():
    scheduler = make_scheduler(slots=1.0, lost_after_s=2.0)
    work = make_work("r1", deadline=5.0)
    assert _grants(scheduler.offer(work, 0.0))
    scheduler.release_lost((), 6.9)
    assert scheduler.find_running("r1") is not None
    scheduler.release_lost((), 7.1)
    assert scheduler.find_running("r1") is None


def test_feasibility_counts_a_fast_target_that_is_busy():
    scheduler = make_scheduler(())
    for name in ("fast", "slow"):
        scheduler.set_target(name, "a1", "v1", "i1", 0.0, slots=1)
    scheduler.learning.has_outcomes = True
    scheduler.fleet.get("fast").speed.token_seconds = 0.01
    scheduler.fleet.get("slow").speed.token_seconds = 0.1
    first = make_work("r1", max_decode_tokens=500, deadline=100.0)
    assert _grants(scheduler.offer(first, 0.0))[0].target == "fast"
    second = make_work("r2", max_decode_tokens=500, deadline=12.0)
    assert not any(
        isinstance(decision, Refusal) for decision in scheduler.offer(second, 0.0)
    )


def test_late_requests_beyond_the_bound_are_refused():
    scheduler = make_scheduler((), demote_late=True, tiers=4)
    scheduler.set_target("e1", "a1", "v1", "i1", 0.0, slots=2)
    for number in range(20):
        work = make_work(
            f"r{number}", tier=2, soft_deadline=1.0, deadline=60.0 + number
        )
        scheduler.offer(work, 0.0)
    assert len(scheduler.waiting) == 18
    refused = [d.work.id for d in scheduler.tick(1.1) if isinstance(d, Refusal)]
    assert len(scheduler.waiting) == 2 * MAX_LATE_ROUNDS
    assert refused == [f"r{number}" for number in range(2, 12)]


def test_a_request_is_refused_before_its_caller_leaves():
    """Replays streams whose callers leave after 2 s without an event."""
    scheduler = make_scheduler(slots=1.0)
    scheduler.offer(make_work("r0"), 1.0)
    assert scheduler.offer(make_work("r1", abandoned_at=3.0), 1.0) == []
    assert scheduler.tick(2.9) == []
    (refusal,) = scheduler.tick(3.1)
    assert refusal.work.id == "r1"
    assert refusal.kind == ErrorKind.DEADLINE_WAITING


def _late_refusals(starting, observed_s=10.0):
    """Return how many of 60 late requests are refused early on 12 slots.

    Higher tiers hold all slots unless `starting` of the late ones started recently.
    The first start was `observed_s` ago.
    """
    scheduler = make_scheduler((), demote_late=True, tiers=4)
    scheduler.set_target("e1", "a1", "v1", "i1", 0.0, slots=12)
    scheduler._start_rates.on_start(0, 1.0 - observed_s)
    for _ in range(starting):
        scheduler._start_rates.on_start(3, 0.9)
    for number in range(12):
        scheduler.offer(make_work(f"held{number}", tier=0), 0.0)
    for number in range(60):
        work = make_work(
            f"r{number}", tier=2, soft_deadline=0.4, abandoned_at=2.0, deadline=15.0
        )
        scheduler.offer(work, 0.0)
    decisions = scheduler.tick(1.0)
    return sum(isinstance(decision, Refusal) for decision in decisions)


def test_late_requests_that_cannot_start_in_time_are_refused_early():
    """Replays a burst of higher tiers: late requests waited until callers left."""
    assert _late_refusals(starting=0) >= 55
    assert _late_refusals(starting=100) <= 15


def test_a_new_coordinator_refuses_no_late_requests_for_lack_of_starts():
    """Replays a loss of the coordinator, whose successor has seen no start yet."""
    assert _late_refusals(starting=0, observed_s=0.5) <= 15


def test_urgent_retries_continue_when_the_budget_is_low():
    scheduler = make_scheduler(slots=400.0, tiers=4)
    granted = {0.1: 0, 0.0: 0}
    for reserve in granted:
        for number in range(100):
            work = make_work(f"{reserve}-{number}", attempt=1, retry_reserve=reserve)
            granted[reserve] += len(_grants(scheduler.offer(work, 0.0)))
    assert granted[0.1] > 0
    assert granted[0.0] >= 4


def test_ejected_targets_do_not_hide_healthy_ones():
    names = [f"e{number}" for number in range(12)]
    scheduler = make_scheduler(names)
    for state in list(scheduler.fleet)[:8]:
        state.ejected_until = 10.0
        state.probing = True
        scheduler.fleet.reindex(state)
    for number in range(8):
        grants = _grants(scheduler.offer(make_work(f"r{number}"), 1.0))
        assert grants and grants[0].target in names[8:]


def test_the_last_target_is_not_ejected():
    """Replays records calls whose only target resets connections beyond its bound."""
    scheduler = make_scheduler(["only", "gone"], slots=6.0)
    scheduler.targets.set_draining("gone", True)
    now = 0.0
    for number in range(40):
        now += 0.02
        (grant,) = _grants(scheduler.offer(make_work(f"r{number}"), now))
        status = "vanished" if number % 10 < 6 else "ok"
        scheduler.finish(ended(grant.work, status=status), now + 0.01)


def test_one_of_two_targets_may_be_ejected():
    scheduler = make_scheduler(["bad", "good"], slots=6.0)
    for number in range(8):
        (grant,) = _grants(scheduler.offer(make_work(f"r{number}"), 0.0))
        status = "vanished" if grant.target == "bad" else "ok"
        scheduler.finish(ended(grant.work, status=status), 0.0)
    bad = scheduler.fleet.get("bad")
    bad.failures = 0
    for _ in range(3):
        bad.on_failure(1.0, scheduler.fleet.may_eject(1.0, bad))
    assert not bad.takes_work(1.5)
    assert not scheduler.fleet.may_eject(1.5, scheduler.fleet.get("good"))


def test_a_slow_idle_target_is_chosen_over_full_fast_ones():
    names = [f"fast{number}" for number in range(6)] + ["slow"]
    scheduler = make_scheduler(())
    for name in names:
        scheduler.set_target(name, "a1", "v1", "i1", 0.0, slots=1)
    for state in scheduler.fleet:
        state.speed.learn_token_time(0.5 if state.name == "slow" else 0.001)
        if state.name != "slow":
            state.start(make_work(f"held-{state.name}"), 0)
        scheduler.fleet.reindex(state)
    grants = _grants(scheduler.offer(make_work("r", tier=2), 0.0))
    assert [grant.target for grant in grants] == ["slow"]


def test_a_refusal_with_a_free_slot_does_not_pause_lower_tiers():
    scheduler = make_scheduler(slots=4.0)
    scheduler.offer(make_work("first"), 0.0)
    scheduler.finish(ended(scheduler.find_running("first")[0], decode_tokens=10), 1.0)
    # It waits, as it excludes the only healthy target, until its deadline is missed.
    stuck = make_work("stuck", tier=0, deadline=3.0, exclude=frozenset({"e1"}))
    scheduler.set_target("e2", "a1", "v1", "i1", 1.0)
    state = scheduler.fleet.get("e2")
    state.ejected_until = 100.0
    scheduler.offer(stuck, 1.5)
    refused = [d.work.id for d in scheduler.tick(3.5) if isinstance(d, Refusal)]
    assert refused == ["stuck"]
    grants = _grants(scheduler.offer(make_work("lower", tier=3), 3.5))
    assert [grant.work.id for grant in grants] == ["lower"]


def test_a_refusal_without_a_free_slot_pauses_lower_tiers():
    scheduler = make_scheduler((), demote_late=False)
    scheduler.set_target("e1", "a1", "v1", "i1", 0.0, slots=1)
    running = make_work("running", tier=0)
    scheduler.offer(running, 0.0)
    scheduler.offer(make_work("held", tier=0), 0.0)
    scheduler.offer(make_work("shed", tier=1, deadline=2.0), 0.5)
    refused = [d.work.id for d in scheduler.tick(2.5) if isinstance(d, Refusal)]
    assert refused == ["shed"]
    scheduler.offer(make_work("lower", tier=2), 2.5)
    held = scheduler.find_running("held")[0]
    assert not _grants(scheduler.finish(ended(running), 2.6))
    assert not _grants(scheduler.finish(ended(held), 2.7))
    grants = _grants(scheduler.tick(2.5 + scheduler.options.shed_pause_s + 0.1))
    assert [grant.work.id for grant in grants] == ["lower"]


# Failures after the ejection of one of few targets gave it its full traffic back.
def test_late_failures_do_not_end_the_probing_of_an_ejected_target():
    scheduler = make_scheduler(targets=("e1", "e2"), slots=20.0)
    granted = [scheduler.offer(make_work(f"r{n}"), 1.0)[0] for n in range(20)]
    bad = [grant.work for grant in granted if grant.target == "e1"]
    assert len(bad) >= 6
    for work in bad:
        scheduler.finish(ended(work, "e1", status="failed"), 2.0)
    state = scheduler.fleet.get("e1")
    assert state.probing
    grants = [scheduler.offer(make_work(f"q{n}"), 5.0)[0] for n in range(10)]
    assert sum(grant.target == "e1" for grant in grants) <= 1
