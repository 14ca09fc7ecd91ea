"""Pauses of targets as pure decisions, and a model of them over seeds."""

import pytest

from lovagepier.decisions.limits.pauses import Pauses
from test.builders import ended, make_scheduler, make_work
from test.pause_model import PauseModel
from test.statement_model import StatementModel

# BUDGET allows two for what is on its way.
MAX_IN_A_PAUSE = 2
# DRAIN counts from this long after a host passed on an answer of a leaving target.
DRAIN_S = 2.5


@pytest.mark.parametrize("seed", range(40))
@pytest.mark.parametrize("replace_every", [None, 1.5])
def test_a_host_sends_next_to_nothing_in_a_pause(seed, replace_every):
    model = PauseModel(seed, replace_every=replace_every)
    model.run(12.0)
    assert model.pauses
    assert model.most_in_a_pause() <= MAX_IN_A_PAUSE
    # A third of the slots would do for this load, so nothing is lost by pauses.
    assert not model.refused
    assert model.served == set(model.sent)


def play_faults(seed, heeds=True):
    """Play splits, restarts and freezes, then until all requests have ended."""
    model = StatementModel(
        seed, leave_at={"t1": 6.0}, hosts=4, per_second=20.0, heeds=heeds
    )
    model.run(14.0)
    model.per_second, model.changes = 0.0, False
    model._group([model.names])
    model.run(10.0)
    return model


@pytest.mark.parametrize("seed", range(20))
def test_what_targets_state_binds_over_splits_restarts_and_freezes(seed):
    model = play_faults(seed)
    assert model.pauses and model.passed_on
    assert model.most_in_a_pause() <= MAX_IN_A_PAUSE
    assert model.latest_after_leaving() <= DRAIN_S
    # Only requests of hosts that restarted are not served.
    assert not model.refused
    assert len(model.served | model.lost) == model.requests
    assert not model.served & model.lost


def test_the_faults_show_what_hosts_do_that_ignore_targets():
    models = [play_faults(seed, heeds=False) for seed in range(5)]
    assert min(model.most_in_a_pause() for model in models) > MAX_IN_A_PAUSE
    assert min(model.latest_after_leaving() for model in models) > DRAIN_S


def test_a_longer_pause_extends_one_and_a_shorter_does_not_cut_it_short():
    pauses = Pauses()
    assert pauses.pause("n1", "t1", "i1", 5.0)
    assert not pauses.pause("n1", "t1", "i1", 3.0)
    assert pauses.is_paused("n1", "t1", "i1", 4.9)
    assert pauses.pause("n1", "t1", "i1", 7.0)
    assert pauses.is_paused("n1", "t1", "i1", 6.9)
    assert not pauses.is_paused("n1", "t1", "i1", 7.0)
    assert not pauses.is_paused("n2", "t1", "i1", 1.0)
    assert not pauses.is_paused("n1", "t1", "i2", 1.0)


def test_work_returns_little_by_little_after_a_pause():
    scheduler = make_scheduler(("e1",), slots=8.0)
    scheduler.pauses.pause("n1", "e1", "i1", 2.0)
    works = [make_work(f"n1/r{number}") for number in range(16)]
    for work in works:
        assert scheduler.offer(work, 1.0) == []
    granted = scheduler.tick(2.0)
    sizes = [len(granted)]
    while granted:
        finished, granted = granted, []
        for grant in finished:
            granted += scheduler.finish(ended(grant.work, "e1"), 2.5)
        sizes.append(len(granted))
    assert sizes[0] == 1
    assert max(sizes) > 2
    assert sum(sizes) == 16


def test_work_of_other_hosts_overtakes_that_of_a_paused_one():
    scheduler = make_scheduler(("e1",), slots=8.0)
    scheduler.pauses.pause("n1", "e1", "i1", 2.0)
    assert scheduler.offer(make_work("n1/r1"), 1.0) == []
    (grant,) = scheduler.offer(make_work("n2/r2", entry="n2"), 1.1)
    assert grant.work.id == "n2/r2"


def test_a_refusal_with_a_pause_is_no_failure_of_the_target():
    scheduler = make_scheduler(("e1",), slots=8.0)
    for number in range(5):
        work = make_work(f"n1/r{number}")
        (grant,) = scheduler.offer(work, 1.0)
        scheduler.finish(ended(work, grant.target, "paused"), 1.1)
    state = scheduler.fleet.get("e1")
    assert not state.failures and state.takes_work(1.2)
