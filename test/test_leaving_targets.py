"""Targets that say in their answers that they leave: no request is sent to them."""

import asyncio
import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagepier.entry._view import StoreView
from lovagepier.platform import Item
from test.entry_builders import call, entry_fleet, wait_until
from test.test_target_paths import CuttablePool, cut
from test.test_tunnels import relay_of


def run_scenario(scenario, hosts=3):
    async def run():
        async with entry_fleet(hosts=hosts) as fleet:
            await wait_until(
                lambda: {h.cluster.coordinator_name for h in fleet.hosts} == {"n1"}
            )
            await fleet.add_target("w2", "ledger")
            for host in fleet.hosts:
                await wait_until(lambda host=host: len(host.view.targets) == 3)
                await wait_until(lambda host=host: len(host.view.members()) == hosts)
            await scenario(fleet)

    asyncio.run(run())


async def call_until_served_by(host, target, path="/read/x"):
    """Call until one target has got a request."""
    number = 0
    while not target.arrivals:
        number += 1
        await call(host, path, f"{host.cfg.host_name}-first-{number}")


async def call_all(hosts, count=6):
    for number in range(count):
        for host in hosts:
            response = await call(host, "/read/x", f"{host.cfg.host_name}-{number}")
            assert response.status == 200


@pytest.mark.parametrize("mode", ["ok", "error", "shed", "late_extra"])
def test_no_host_sends_to_a_target_that_says_it_leaves(mode):
    """The store shows it as ready all the while."""

    async def scenario(fleet):
        leaving = fleet.targets["w1"]
        leaving.leaving, leaving.mode = True, mode
        await call_until_served_by(fleet.hosts[1], leaving)
        count = len(leaving.arrivals)
        await call_all([fleet.hosts[1]])
        assert len(leaving.arrivals) == count
        for host in fleet.hosts:
            await wait_until(lambda host=host: host.view.target("w1").draining)
        await call_all(fleet.hosts)
        assert len(leaving.arrivals) == count
        await fleet.store.write("servers/w1", leaving.entry())
        await call_all(fleet.hosts)
        assert len(leaving.arrivals) == count

    run_scenario(scenario)


def test_a_stream_says_so_at_its_head():
    async def scenario(fleet):
        host, target = fleet.hosts[0], fleet.targets["m1"]
        target.mode, target.leaving, target.gap_s = "stream", True, 0.2
        running = asyncio.create_task(call(host, "/talk/x", "r1"))
        await wait_until(lambda: host.view.target("m1").draining)
        assert not running.done()
        assert (await running).is_complete

    run_scenario(scenario)


def test_it_is_known_over_a_change_of_the_coordinator_and_to_hosts_that_join():
    async def scenario(fleet):
        first, second, third = fleet.hosts
        leaving = fleet.targets["w1"]
        for host in fleet.hosts:
            host.cluster._keeps_first_coordinator = lambda: True
        third.cluster._switch_to("n3")
        leaving.leaving = True
        await call_until_served_by(third, leaving)
        assert not first.view.target("w1").draining
        third.cluster._switch_to("n1")
        for host in fleet.hosts:
            await wait_until(lambda host=host: host.view.target("w1").draining)
        fourth = await fleet.host("n4")
        await wait_until(lambda: fourth.view.target("w1") is not None)
        await wait_until(lambda: fourth.view.target("w1").draining)

    run_scenario(scenario)


def test_a_new_incarnation_is_a_new_target():
    async def scenario(fleet):
        host, leaving = fleet.hosts[0], fleet.targets["w1"]
        leaving.leaving = True
        await call_until_served_by(host, leaving)
        await wait_until(lambda: host.view.target("w1").draining)
        leaving.leaving, leaving.born = False, 2
        await fleet.store.write("servers/w1", leaving.entry())
        await fleet.store.remove("servers/w2")
        for host in fleet.hosts:
            await wait_until(lambda host=host: not host.view.target("w1").draining)
        await call_all(fleet.hosts, count=2)

    run_scenario(scenario)


def target_item(born, revision, state="ready"):
    value = {
        "service": "ledger",
        "address": "10.0.0.1:80",
        "zone": "a1",
        "version": "v1",
        "slots": 4,
        "state": state,
        "cold_left_ms": 0,
        "seq": 1,
        "born": born,
    }
    return Item("servers/w1", json.dumps(value).encode(), revision, revision)


steps = st.lists(
    st.sampled_from(["write", "restart", "leave", "scan", "late"]), max_size=20
)


@given(steps, st.integers(0, 1000))
def test_an_incarnation_that_left_stays_so_in_any_view(steps, seed):
    """Whatever the store shows later, also older entries of the same incarnation."""
    rng = random.Random(seed)
    view = StoreView()
    revision, born, left = 1, 1, set()
    for now, step in enumerate(steps):
        revision += 1
        if step == "restart":
            born += 1
        if step == "leave":
            known = view.target("w1")
            if known is not None:
                left.add(known.incarnation)
                view.mark_leaving([known.incarnation])
        elif step == "late":
            old = f"w1/{rng.randint(1, born)}"
            left.add(old)
            view.mark_leaving([old])
        else:
            view.on_scan([target_item(born, revision)], revision, float(now))
        target = view.target("w1")
        if target is not None:
            assert target.draining == (target.incarnation in left)


def test_the_host_of_a_tunnel_learns_it_too():
    """The target counts the requests of both as that host's."""

    async def scenario(fleet):
        first, _, third = fleet.hosts
        leaving = fleet.targets["w1"]
        third.frontend.target_connections.__class__ = CuttablePool
        cut(third, "refused")
        leaving.leaving = True
        for host in fleet.hosts:
            host.cluster._keeps_first_coordinator = lambda: True
        third.cluster._switch_to("n3")
        await call_until_served_by(third, leaving)
        relay = relay_of(third)
        host = next(h for h in fleet.hosts if h.cfg.host_name == relay)
        await wait_until(lambda: host.view.target("w1").draining)

    run_scenario(scenario)
