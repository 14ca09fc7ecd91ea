"""How many requests targets get that start or recover (`decisions/placement/pace`)."""

import asyncio
from types import SimpleNamespace

import pytest

from lovagepier.decisions.placement import scheduler as scheduler_module
from lovagepier.decisions.placement.pace import ADAPT_AFTER_S, MAX_UNUSED_S, Pace
from lovagepier.decisions.placement.pool_paces import PoolPaces
from lovagepier.entry._cluster.messages import DispatchResult, Granted
from test.builders import ended, make_scheduler, make_work
from test.coordinator_builders import (
    make_cfg,
    make_coordinator,
    make_request,
    make_view,
)
from test.entry_builders import call, entry_fleet, wait_until
from test.pace_model import Load, PoolModel

SEEDS = (1, 2, 3)
# 0.22 s to the first event and 1.4 s in all on a warm target.
ENGINE = {"prefill": 800, "decode": 60, "objective_s": 0.6}
PLAIN = {"objective_s": 0.1}
START_S = 10.0


def _names(count):
    return [f"t{number}" for number in range(count)]


def _starts(model, name, begin, end):
    """Return the requests granted to a target between two times after `START_S`."""
    return sum(
        target == name and begin <= at - START_S < end for at, target in model.granted
    )


def _play_addition(names, load, pace, seed, **options):
    """Add a target to a busy pool; return the model 10 s later and the counts."""
    model = PoolModel(names, load, pace, seed, **options)
    model.play(START_S)
    model.add("new")
    return model, model.play(START_S + 10.0)


# Flood: a target gets its full share right after its start


@pytest.mark.parametrize("seed", SEEDS)
def test_a_slow_new_engine_is_not_filled(seed):
    load = Load(rate=37.2, **ENGINE)
    before, counts_before = _play_addition(_names(8), load, False, seed)
    model, counts = _play_addition(_names(8), load, True, seed)
    assert _starts(before, "new", 0, 1) >= 4
    assert _starts(model, "new", 0, 3) <= 3
    assert counts["late"] < counts_before["late"]
    assert _starts(model, "new", 3, 8) >= 8


@pytest.mark.parametrize("seed", SEEDS)
def test_a_fragile_new_target_does_not_crash(seed):
    load = Load(rate=1110.0, slots=4, **PLAIN)
    before, _ = _play_addition(_names(6), load, False, seed, is_fragile=True)
    model, counts = _play_addition(_names(6), load, True, seed, is_fragile=True)
    assert before.counts["crashes"] >= 3
    assert counts["crashes"] == counts["lost"] == 0
    assert _starts(model, "new", 5, 6) >= 60


# Idleness: a target that is well again gets next to nothing


@pytest.mark.parametrize("seed", SEEDS)
def test_a_target_is_used_again_after_a_slow_start(seed):
    """Without a pace its first slow answers let placement prefer others for good."""
    load = Load(rate=720.0, slots=100, **PLAIN)
    before, _ = _play_addition(_names(6), load, False, seed)
    model, counts = _play_addition(_names(6), load, True, seed)
    assert _starts(before, "new", 1, 10) == 0
    assert _starts(model, "new", 0, 3) <= 15
    assert _starts(model, "new", 4, 5) >= 60
    assert counts["late"] == counts["lost"] == 0
    assert 3.0 <= model.scheduler.paces.young.share_seconds <= 5.0


@pytest.mark.parametrize("seed", SEEDS)
def test_an_ejected_engine_with_long_answers_is_soon_in_full_use(seed):
    """Without a pace it runs one request at a time until a whole one succeeded."""
    load = Load(rate=8.3, prefill=800, decode=310, objective_s=0.6)
    running = {}
    for pace in (False, True):
        model = PoolModel(_names(8), load, pace, seed)
        model.play(START_S)
        model.eject("t0")
        model.play(START_S + 6.0)
        running[pace] = model.in_flight("t0")
    assert running[False] <= 1
    assert running[True] >= 4


@pytest.mark.parametrize("seed", SEEDS)
def test_a_third_of_the_targets_restarts_without_a_loss_of_capacity(seed):
    """Without a pace the requests lost in a restart eject the new process."""
    late = {}
    for pace in (False, True):
        model = PoolModel(_names(9), Load(rate=33.75, **ENGINE), pace, seed)
        model.play(START_S)
        for name in _names(3):
            model.restart(name)
        late[pace] = model.play(START_S + 10.0)["late"]
    assert late[True] * 2 < late[False]


@pytest.mark.parametrize("seed", SEEDS)
def test_fragile_targets_that_all_come_back_crash_no_more_than_once(seed):
    """The load of all meets targets that each take 15 a second: they can't serve it."""
    names, served = _names(9), {}
    for pace in (False, True):
        model = PoolModel(
            names, Load(rate=360.0, slots=100, **PLAIN), pace, seed, is_fragile=True
        )
        model.play(START_S)
        for name in names:
            model.restart(name)
        counts = model.play(START_S + 10.0)
        served[pace] = counts["good"] + counts["late"]
        assert (counts["crashes"] <= len(names)) == pace
    assert served[True] > 10 * served[False]


def test_all_engines_that_come_back_are_opened_for_what_waits():
    served = {}
    for pace in (False, True):
        model = PoolModel(_names(9), Load(rate=33.75, **ENGINE), pace)
        model.play(START_S)
        for name in _names(9):
            model.restart(name)
        counts = model.play(START_S + 10.0)
        served[pace] = counts["good"] + counts["late"]
    assert served[True] >= served[False]


# The bound of one target


def test_a_bound_grows_with_good_answers_and_falls_with_slow_ones():
    pace = Pace("added", 0.0)
    for number in range(6):
        assert pace.on_answer(0.1, 0.1, number * 0.1)
    assert pace.limit == 7.0
    assert not pace.on_answer(0.3, 0.1, 1.0)
    assert not pace.on_answer(0.3, 0.1, 1.1)
    assert pace.limit == 3.5
    pace.on_events(9.0, 1.0, 2.0)
    assert pace.limit == 1.75
    pace.on_refused(3.0)
    pace.open(1.0, 4.0)
    assert pace.bound(4.0) == 1.0


def test_requests_shorter_than_a_round_do_not_raise_the_rate():
    pace = Pace("added", 0.0)
    pace.on_start(0.0)
    assert not pace.allows(0, 0.1)
    assert pace.allows(0, 0.2)


def test_a_machine_slower_than_all_others_leaves_its_pace():
    load = Load(rate=45.0, **ENGINE)
    model = PoolModel(_names(8), load)
    model.play(START_S)
    model.add("slow", is_cold=False, slowness=2.8)
    model.play(START_S + ADAPT_AFTER_S + 15.0)
    assert model.scheduler.fleet.get("slow").pace is None


def test_an_empty_cache_is_not_slowness():
    """The prompt is expected to cost its full prefill, not what cache holders need."""
    scheduler = _scheduler()
    work = make_work("long", prefill_tokens=8000, blocks=("a", "b"), deadline=60.0)
    scheduler.prefixes.add("e2", ("a", "b"))
    _restart(scheduler, 20.0)
    scheduler.targets.set_draining("e2", True, 20.0)
    (grant,) = scheduler.offer(work, 20.0)
    scheduler.first_byte("long", 2.1, 22.1)
    assert grant.target == "e1"
    # A learnt limit starts at 2 again after a restart.
    assert scheduler.paces.take_events()[-1].cause == "all slots"


# When a pace begins and ends


def _scheduler(pace=True):
    """Return a scheduler with two targets, both known for 4,000 tokens/s."""
    scheduler = make_scheduler(("e1", "e2"), slots=4.0, pace=pace)
    for number in range(4):
        (grant,) = scheduler.offer(make_work(f"w{number}"), 15.0)
        scheduler.finish(ended(grant.work, grant.target), 15.5)
    return scheduler


def _eject(scheduler, name, now):
    for number in range(3):
        work = make_work(f"bad{number}")
        scheduler.adopt_running(work, name, now)
        scheduler.finish(ended(work, name, "failed"), now)


def _add(scheduler, now):
    scheduler.set_target("e1x", "a1", "v1", "i1", now)
    return "e1x"


def _restart(scheduler, now):
    scheduler.set_target("e1", "a1", "v1", "i2", now)


def _crash(scheduler, now):
    scheduler.targets.on_crash("e1", "c1", now)
    scheduler.targets.begin_probing("e1", now)


def _drain(scheduler, now):
    scheduler.targets.set_draining("e1", True, now)
    scheduler.targets.set_draining("e1", False, now)


CAUSES = [
    (_add, "added"),
    (_restart, "restart"),
    (_crash, "crash"),
    (lambda scheduler, now: _eject(scheduler, "e1", now), "ejection"),
    (_drain, "draining"),
]


@pytest.mark.parametrize("event, cause", CAUSES)
def test_a_pace_begins_with_each_return_of_a_target(event, cause):
    scheduler = _scheduler()
    name = event(scheduler, 20.0) or "e1"
    state = scheduler.fleet.get(name)
    assert (state.pace.cause, state.pace.limit) == (cause, 1.0)
    (begins,) = scheduler.paces.take_events()
    assert (begins.what, begins.target, begins.cause) == ("begins", name, cause)
    scheduler.tick(20.0 + 2.0 + MAX_UNUSED_S)
    assert state.pace is None
    assert [each.cause for each in scheduler.paces.take_events()] == ["unused"]


def test_the_first_targets_of_a_pool_have_no_pace():
    scheduler = make_scheduler(("e1", "e2", "e3"), pace=True)
    assert all(state.pace is None for state in scheduler.fleet)


def test_a_pace_ends_as_the_bound_reaches_the_slots():
    scheduler = _scheduler()
    _restart(scheduler, 20.0)
    scheduler.targets.set_draining("e2", True)
    for number in range(4):
        now = 20.0 + number
        (grant,) = scheduler.offer(make_work(f"r{number}"), now)
        scheduler.finish(ended(grant.work, "e1"), now + 0.5)
    assert scheduler.fleet.get("e1").pace is None
    assert scheduler.paces.take_events()[-1].cause == "all slots"


def test_a_successor_continues_from_what_runs():
    scheduler = make_scheduler(("e1", "e2"), slots=8.0, pace=True)
    scheduler.set_target("e3", "a1", "v1", "i1", 30.0)
    for number in range(5):
        scheduler.adopt_running(make_work(f"r{number}"), "e3", 31.0)
    assert scheduler.fleet.get("e3").pace.limit == 5.0


# Half-open targets


@pytest.mark.parametrize("fields", [{"tier": 0}, {"runs_once": True}])
def test_a_half_open_target_gets_nothing_precious_while_another_has_room(fields):
    scheduler = _scheduler()
    scheduler.fleet.get("e2").speed.assume(100.0, 5.0)
    _eject(scheduler, "e1", 20.0)
    (grant,) = scheduler.offer(make_work("dear", **fields), 23.0)
    assert grant.target == "e2"
    (grant,) = scheduler.offer(make_work("any"), 23.0)
    assert grant.target == "e1"
    # A good first event ends that, although the answer goes on.
    scheduler.first_byte("any", 0.03, 23.1)
    (grant,) = scheduler.offer(make_work("dear2", **fields), 23.3)
    assert grant.target == "e1"


def test_a_half_open_target_gets_precious_requests_if_no_other_has_room():
    scheduler = _scheduler()
    _eject(scheduler, "e1", 20.0)
    scheduler.targets.set_draining("e2", True, 20.0)
    (grant,) = scheduler.offer(make_work("dear", tier=0), 23.0)
    assert grant.target == "e1"


def test_calls_of_routes_that_may_run_once_are_marked():
    cfg, view = make_cfg(), make_view(2, 4)
    cfg.scheduling_pace = "on"
    coordinator = make_coordinator(cfg, view, None)
    for routes, expected in (({"read"}, True), (set(), False)):
        view.catalog = SimpleNamespace(once_routes=routes, accounts={})
        quotas = coordinator.copy_quotas()
        work = coordinator.make_work(quotas, "n1", make_request("r1"), 1.0)
        assert work.runs_once == expected


def test_a_restart_that_no_request_followed_leaves_nothing_behind():
    scheduler = _scheduler()
    _restart(scheduler, 20.0)
    assert scheduler.fleet.get("e1").probing
    scheduler.tick(20.0 + MAX_UNUSED_S)
    assert not scheduler.fleet.get("e1").probing


def test_a_target_added_during_traffic_serves_over_sockets():
    async def scenario():
        async with entry_fleet(scheduling={"pace": "on"}) as fleet:
            (host,) = fleet.hosts
            assert (await call(host, "/read/x", "r0")).status == 200
            added = await fleet.add_target("w2", "ledger")
            await wait_until(lambda: host.coordinator.pace_gauges()["paced_targets"])
            fleet.targets["w1"].leaving = True
            for number in range(4):
                response = await call(host, "/read/x", f"r{number + 1}")
                assert response.status == 200
            assert added.runs
            state = host.coordinator.scheduler_of("ledger").fleet.get("w2")
            assert state.pace is None or state.pace.limit > 1.0

    asyncio.run(scenario())


# The setting off


class _NoPaces(PoolPaces):
    """Paces that ignore everything."""

    def on_added(self, state, now):
        pass

    def begin(self, state, cause, now, began_at=None):
        pass

    def on_start(self, state, now):
        pass

    def on_first(self, state, running, seconds, now):
        pass

    def on_outcome(self, state, running, outcome, now):
        pass


def _play_all_events(seed):
    model = PoolModel(_names(6), Load(rate=25.0, **ENGINE), False, seed)
    model.play(START_S)
    model.add("new")
    model.restart("t1", 1.0)
    model.eject("t2")
    model.play(START_S + 5.0)
    model.scheduler.targets.set_draining("t3", True, model.now)
    model.play(START_S + 6.0)
    model.scheduler.targets.set_draining("t3", False, model.now)
    model.play(START_S + 20.0)
    return model


def test_nothing_changes_with_the_setting_off(monkeypatch):
    model = _play_all_events(1)
    assert not len(model.scheduler.paces)
    assert not model.scheduler.paces.take_events()
    assert model.scheduler.paces.young.shares > 0
    monkeypatch.setattr(scheduler_module, "PoolPaces", _NoPaces)
    same = _play_all_events(1)
    assert model.granted == same.granted
    assert model.counts == same.counts


# The coordinator


def test_the_coordinator_logs_and_counts_paces(capsys):
    cfg, view = make_cfg(), make_view(2, 4)
    cfg.scheduling_pace = "on"
    grants = []
    coordinator = make_coordinator(cfg, view, lambda entry, each: grants.append(each))
    coordinator.on_dispatch_request("n1", make_request("r1"), 5.0)
    (granted,) = [each for each in grants if isinstance(each, Granted)]
    view.targets.update(make_view(3, 4).targets)
    coordinator.refresh(6.0)
    gauges = coordinator.pace_gauges()
    assert gauges["paced_targets"] == 1
    result = DispatchResult("r1", granted.target, "ok", None, 0.1, 0)
    coordinator.on_result("n1", result, 6.0)
    coordinator.tick(6.5)
    coordinator.tick(30.0)
    lines = capsys.readouterr().out.splitlines()
    assert any("pace begins" in line and "added" in line for line in lines)
    assert any("pace ends" in line and "unused" in line for line in lines)
