"""What a coordinator may decide on a rollout after it stood still or was replaced."""

import itertools
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lovagepier.decisions.rollouts.rollout_plan import (
    MAX_END_FRACTION,
    RESUMED_WATCH_S,
    Stage,
    may_follow,
)
from lovagepier.decisions.rollouts.terms import MAX_TICK_GAP_S, Terms
from test.rollout_hosts import DURATION_S, TICK_S, RolloutHost, StateStore

END_S = DURATION_S * MAX_END_FRACTION
FREEZE_S = 2.05
# What a host that was the coordinator does after a freeze, and its successor meanwhile.
FORMER_STEPS = ("tick", "land", "see", "tick", "land")
SUCCESSOR_STEPS = ("tick", "land", "see", "find_failures", "tick", "land")


def switched_pair():
    """Return two hosts, the first the coordinator, and the time: all but ended."""
    store = StateStore()
    first = RolloutHost(store, is_coordinator=True)
    second = RolloutHost(store)
    now = first.run(0.0, END_S - 1.0)
    second.see(now)
    assert first.plan.stage == Stage.SWITCHED
    assert store.states == ["running"]
    return store, first, second, now


def assert_legal(states):
    for stored, state in itertools.pairwise([None, *states]):
        assert may_follow(stored, state), states


# A frozen coordinator wrote "completed" over the "rolled_back" of its successor.
def test_a_coordinator_that_was_frozen_does_not_complete_what_was_rolled_back():
    store, first, second, now = switched_pair()
    second.is_coordinator = True
    second.run(now, now + 1.0)
    second.find_failures()
    second.run(now + 1.0, now + FREEZE_S)
    assert store.states[-1] == "taken-back"
    first.run(now + FREEZE_S, DURATION_S + 5.0)
    assert store.states[-1] == "taken-back"
    assert first.plan.stage == Stage.ROLLED_BACK
    assert_legal(store.states)


# A frozen coordinator completed a rollout in its first tick, before it heard anything.
def test_a_coordinator_that_was_frozen_decides_nothing_in_its_first_tick():
    store, first, second, now = switched_pair()
    second.is_coordinator = True
    now += FREEZE_S
    first.tick(now)
    first.land()
    assert "done" not in store.states
    second.tick(now)
    second.find_failures()
    second.tick(now + TICK_S)
    second.land()
    second.see(now + TICK_S)
    first.see(now + TICK_S)
    second.run(now, now + 1.0)
    first.run(now, now + 10.0)
    assert store.states[-1] == "taken-back"


def steps_of(host, names, clock):
    for name in names:
        if name in ("tick", "see"):
            yield lambda name=name: getattr(host, name)(clock())
        else:
            yield getattr(host, name)


# The same, in every order of the two hosts' steps around the freeze.
@pytest.mark.parametrize("freeze_s", [0.5, FREEZE_S])
def test_no_order_of_freeze_take_over_and_writes_replaces_an_end(freeze_s):
    count = len(FORMER_STEPS) + len(SUCCESSOR_STEPS)
    for former in itertools.combinations(range(count), len(FORMER_STEPS)):
        store, first, second, now = switched_pair()
        second.is_coordinator = True
        times = itertools.count()

        def clock(now=now, times=times):
            return now + freeze_s + next(times) * 0.02

        of_first = steps_of(first, FORMER_STEPS, clock)
        of_second = steps_of(second, SUCCESSOR_STEPS, clock)
        for number in range(count):
            next(of_first if number in former else of_second)()
        assert_legal(store.states)
        if freeze_s > MAX_TICK_GAP_S:
            assert "done" not in store.states, former
        end = now + freeze_s + 0.5
        for host in (first, second):
            host.run(end, end + 3.0)
            assert_legal(store.states)


@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 1),
            st.sampled_from(
                ("tick", "land", "see", "find_failures", "lead", "follow", "wait")
            ),
        ),
        max_size=40,
    )
)
def test_no_sequence_of_events_replaces_an_end_or_ends_another_hosts_term(events):
    store, *hosts, now = switched_pair()
    for number, name in events:
        host = hosts[number]
        now += 0.05
        if name in ("lead", "follow"):
            host.is_coordinator = name == "lead"
        elif name == "wait":
            now += 1.0
        elif name in ("tick", "see"):
            getattr(host, name)(now)
        else:
            before = store.item
            getattr(host, name)()
            if store.item is not before and store.states[-1] == "done":
                terms = [
                    json.loads(each.value)["term"] for each in (before, store.item)
                ]
                assert terms[0] == terms[1]
        assert_legal(store.states)


# A host that was cut off came to an end by itself and kept it for a later take-over.
def test_an_end_that_was_never_stored_is_decided_again_at_a_take_over():
    store, first, second, now = switched_pair()
    second.is_coordinator = True
    now = now + 2.0
    for _ in range(8):
        now += TICK_S
        second.tick(now)
    assert second.plan.stage == Stage.DONE
    second.unsent.clear()
    second.is_coordinator = False
    second.tick(now + TICK_S)
    second.is_coordinator = True
    second.tick(now + 2 * TICK_S)
    assert second.plan.stage == Stage.SWITCHED
    second.find_failures()
    assert second.plan.stage == Stage.ROLLED_BACK
    second.run(now + TICK_S, now + 1.0)
    assert store.states[-1] == "taken-back"


# The successor, whose canary budget was used up, completed a rollout a second after it
# took over, without one outcome of the new version.
def test_a_successor_does_not_complete_what_it_has_seen_no_outcome_of():
    store, _, second, now = switched_pair()
    second.is_coordinator = True
    second.has_outcomes = False
    now = second.run(now, DURATION_S - TICK_S)
    assert "done" not in store.states
    second.find_failures()
    second.run(now, DURATION_S + 3.0)
    assert store.states[-1] == "taken-back"


def test_a_service_without_requests_ends_at_its_time_limit():
    store, _, second, now = switched_pair()
    second.is_coordinator = True
    second.has_outcomes = False
    second.run(now, DURATION_S + 1.0)
    assert store.states[-1] == "done"


# Failures that came between the end of the plan and its write were not counted.
def test_a_rollout_can_be_rolled_back_until_the_store_holds_its_end():
    store, first, _, now = switched_pair()
    while first.plan.stage != Stage.DONE:
        now += TICK_S
        first.tick(now)
    first.find_failures()
    assert first.plan.stage == Stage.ROLLED_BACK
    assert not first.plan.is_open


def test_what_the_store_holds_is_final_also_against_evidence():
    store, first, second, now = switched_pair()
    first.run(now, DURATION_S)
    assert store.states[-1] == "done"
    second.find_failures()
    second.see(DURATION_S)
    assert second.plan.stage == Stage.DONE
    second.is_coordinator = True
    second.run(DURATION_S, DURATION_S + 3.0)
    assert store.states == ["running", "done"]


def test_a_take_over_without_trouble_ends_the_rollout_in_time():
    store, first, second, now = switched_pair()
    first.is_coordinator = False
    second.is_coordinator = True
    second.run(now, DURATION_S)
    assert store.states[-1] == "done"
    first.see(DURATION_S)
    assert first.plan.stage == Stage.DONE


def test_two_coordinators_that_do_not_reach_each_other_end_the_rollout():
    store, first, second, now = switched_pair()
    second.is_coordinator = True
    while now < DURATION_S + RESUMED_WATCH_S:
        now += TICK_S
        for host in (first, second):
            host.tick(now)
        for host in (first, second):
            host.land()
            host.see(now)
    assert store.states[-1] == "done"
    assert_legal(store.states)


def test_a_term_begins_with_the_role_and_after_a_gap():
    terms = Terms()
    assert terms.beginning(False, 0.0) == ""
    assert terms.beginning(True, 0.25)
    assert terms.beginning(True, 0.5) == ""
    assert "1.50 s" in terms.beginning(True, 2.0)
    assert terms.beginning(True, 2.25) == ""
