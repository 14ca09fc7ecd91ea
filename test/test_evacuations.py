"""Zones that the operators evacuate: nothing more is sent to the targets there."""

import asyncio
import random
import types

import pytest

from lovagepier.decisions.placement.evacuation import refuse_waiting
from lovagepier.decisions.placement.work import Refusal
from lovagepier.entry._store.view import StoreView
from lovagepier.platform import Event, Item, number_of
from test.builders import make_scheduler, make_work
from test.entry_builders import call, entry_fleet, wait_until

KEY = "op/evacuate/"


def run_scenario(scenario, hosts=2):
    """Run with w1 and m1 in zone a1, w2 in zone a2."""

    async def run():
        async with entry_fleet(hosts=hosts) as fleet:
            await wait_until(
                lambda: {h.cluster.coordinator_name for h in fleet.hosts} == {"n1"}
            )
            await fleet.add_target("w2", "ledger", zone="a2")
            await up_to_date(fleet)
            await scenario(fleet)

    asyncio.run(run())


async def up_to_date(fleet):
    """Wait until all hosts have the newest contents of the store."""
    newest = fleet.store.revision
    for host in fleet.hosts:
        await wait_until(lambda host=host: number_of(host.view.as_of) >= newest)


async def evacuate(fleet, *zones, value=b"{}"):
    for zone in zones:
        await fleet.store.write(KEY + zone, value)
    await up_to_date(fleet)


async def call_all(fleet, expected=200, count=6):
    for number in range(count):
        for host in fleet.hosts:
            name = f"{host.cfg.host_name}-{random.random()}-{number}"
            response = await call(host, "/read/x", name)
            assert response.status == expected
            if expected == 503:
                assert float(response.headers["retry-after"]) > 0


def counts(fleet, *names):
    return [len(fleet.targets[name].arrivals) for name in names]


async def check_served_by_w1(fleet):
    """Check that w1 gets requests, once there is no other target."""
    await fleet.store.write("servers/w2", fleet.targets["w2"].entry("draining"))
    await up_to_date(fleet)
    await call_all(fleet, count=1)
    assert counts(fleet, "w1") == [len(fleet.hosts)]


@pytest.mark.parametrize("value", [b"{}", b"\xff no JSON", b"x" * 40_000])
def test_nothing_is_sent_to_an_evacuated_zone_until_the_key_goes(value):
    async def scenario(fleet):
        await evacuate(fleet, "a1", value=value)
        await call_all(fleet)
        assert counts(fleet, "w1") == [0]
        await fleet.store.remove(KEY + "a1")
        await check_served_by_w1(fleet)

    run_scenario(scenario)


def test_requests_that_run_there_are_completed():
    async def scenario(fleet):
        target = fleet.targets["m1"]
        target.mode, target.gap_s = "stream", 0.2
        running = asyncio.create_task(call(fleet.hosts[1], "/talk/x", "r1"))
        await wait_until(lambda: target.runs)
        await evacuate(fleet, "a1")
        assert not running.done()
        assert (await running).is_complete

    run_scenario(scenario)


def test_with_all_zones_evacuated_requests_are_refused_at_once():
    """They would else wait until their deadline for targets that take no work."""

    async def scenario(fleet):
        await evacuate(fleet, "a1", "a2")
        async with asyncio.timeout(2.0):
            await call_all(fleet, 503, count=2)
        assert counts(fleet, "w1", "w2") == [0, 0]
        await fleet.store.remove(KEY + "a2")
        await up_to_date(fleet)
        await call_all(fleet)
        assert counts(fleet, "w1") == [0]

    run_scenario(scenario)


def test_a_host_checks_the_grants_of_a_coordinator_that_does_not_know():
    async def scenario(fleet):
        fleet.hosts[0].coordinator.refresh = lambda now: None
        await evacuate(fleet, "a1")
        await call_all(fleet)
        assert counts(fleet, "w1") == [0]

    run_scenario(scenario)


def test_a_zone_that_is_evacuated_while_a_connection_opens_gets_nothing():
    async def scenario(fleet):
        host = fleet.hosts[0]
        opening = host.frontend.connector.open

        async def open_late(target, regions=()):
            conn = await opening(target, regions)
            if target.id == "w1":
                await evacuate(fleet, "a1")
            return conn

        host.frontend.connector.open = open_late
        for number in range(8):
            response = await call(host, "/read/x", f"r{number}")
            assert response.status == 200
        assert KEY + "a1" in host.view.items
        assert counts(fleet, "w1") == [0]

    run_scenario(scenario, hosts=1)


def test_a_host_that_follows_its_coordinator_learns_it_by_deltas():
    async def scenario(fleet):
        follower = fleet.hosts[1]
        follower.cluster.should_watch = lambda: False
        follower._set_watching()
        # Any change ends the watch that is still open.
        await fleet.store.write("any", {})
        await up_to_date(fleet)
        await evacuate(fleet, "a1")
        fleet.hosts[0].coordinator.refresh = lambda now: None
        await call_all(fleet)
        assert counts(fleet, "w1") == [0]

    run_scenario(scenario)


def test_it_holds_while_the_store_is_away_and_for_hosts_that_start_meanwhile():
    async def scenario(fleet):
        await evacuate(fleet, "a1")
        fleet.store.compact()
        await fleet.host("n9")
        late = fleet.hosts[-1]
        await wait_until(lambda: late.view.catalog and late.cluster.coordinator_name)
        fleet.store.fault = "silent"
        await call_all(fleet)
        assert counts(fleet, "w1") == [0]

    run_scenario(scenario)


@pytest.mark.parametrize("in_copy", [True, False])
def test_a_restored_store_decides_by_what_it_has(in_copy):
    """A key that a copy brings back counts, although its revision is lower."""

    async def scenario(fleet):
        if in_copy:
            await fleet.store.write(KEY + "a1", {})
        copy = fleet.store.copy()
        await evacuate(fleet, "a1")
        if in_copy:
            await fleet.store.remove(KEY + "a1")
            await up_to_date(fleet)
        fleet.store.restore(copy)
        for host in fleet.hosts:
            items = host.view.items
            await wait_until(lambda items=items: (KEY + "a1" in items) == in_copy)
        if in_copy:
            await call_all(fleet)
            assert counts(fleet, "w1") == [0]
        else:
            await check_served_by_w1(fleet)

    run_scenario(scenario)


# The view of the store


def test_presence_of_the_key_alone_counts():
    view = StoreView()
    target = types.SimpleNamespace(zone="A1")
    view.on_scan([Item(KEY + "a1", b"", 5, 5), Item(KEY, b"{}", 5, 5)], 5, 0.0)
    assert view.evacuations.holds(target)
    assert not view.evacuations.holds(types.SimpleNamespace(zone=""))
    assert view.undecoded_count == 2
    view.on_events([Event(KEY + "a1", 6, None)], 6, 0.0)
    assert not view.evacuations.holds(target)
    assert view.undecoded_count == 1


# The scheduler


def test_a_pool_grants_nothing_in_an_evacuated_zone():
    scheduler = make_scheduler(("w1", "w2"))
    scheduler.targets.set_evacuated("w1", True, 0.0)
    scheduler.set_target("w3", "a1", "v1", "i1", 0.0, slots=4, evacuated=True)
    # A restart under the same id ends draining, but no evacuation.
    scheduler.set_target("w1", "a1", "v1", "i2", 0.0)
    granted = {
        decision.target
        for number in range(4)
        for decision in scheduler.offer(make_work(f"r{number}"), 0.0)
    }
    assert granted == {"w2"}
    scheduler.targets.set_evacuated("w1", False, 0.0)
    assert scheduler.fleet.get("w1").takes_work(0.0)


def test_waiting_requests_are_refused_once_nothing_is_left():
    scheduler = make_scheduler(("w1",), slots=1)
    scheduler.offer(make_work("r1"), 0.0)
    scheduler.offer(make_work("r2"), 0.0)
    assert refuse_waiting(scheduler.fleet, scheduler.waiting) == []
    scheduler.targets.set_evacuated("w1", True, 0.0)
    (refusal,) = refuse_waiting(scheduler.fleet, scheduler.waiting)
    assert isinstance(refusal, Refusal)
    assert refusal.retry_after > 0
    assert scheduler.find_running("r1") is not None
