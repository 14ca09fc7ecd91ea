"""Targets that say in their answers that they leave: no request is sent to them."""

import asyncio
import json
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagepier.entry._store.view import StoreView
from lovagepier.platform import Item, decode_response
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


def test_another_target_at_the_address_does_not_speak_for_the_one_before():
    headers = [(b"server-leaving", b"1")]
    assert decode_response(200, headers).is_leaving
    assert decode_response(503, headers).is_leaving
    assert not decode_response(421, headers).is_leaving


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


class _Callers:
    """Sends requests to all hosts until stopped; notes when each began and ended."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._loop = asyncio.get_running_loop()
        self._tasks = [asyncio.create_task(self._run(host)) for host in fleet.hosts]
        self.began = {}
        self.ended = {}
        self.statuses = set()

    async def _run(self, host):
        number = 0
        while True:
            number += 1
            burst = (self._send(host, f"{number}-{each}") for each in range(6))
            await asyncio.gather(*burst)
            await asyncio.sleep(0.02)

    async def _send(self, host, number):
        request_id = f"{host.cfg.host_name}/{number}"
        self.began[request_id] = self._loop.time()
        response = await call(host, "/read/x", request_id)
        self.ended[request_id] = self._loop.time()
        self.statuses.add(response.status)

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def disturb(fleet, rng, store_copy):
    """Do something after which hosts could take a leaving target for sound."""
    leaving = fleet.targets["w1"]
    action = rng.choice(["switch", "ready", "restore", "fault"])
    if action == "switch":
        host = rng.choice(fleet.hosts[1:])
        name = host.cfg.host_name
        host.cluster._switch_to(rng.choice(["n1", name]))
    elif action == "ready":
        await fleet.store.write("servers/w1", leaving.entry())
    elif action == "restore":
        fleet.store.restore(store_copy)
    else:
        fleet.store.fault = rng.choice([None, "busy"])


@pytest.mark.parametrize("seed", range(6))
def test_no_request_follows_whatever_happens_to_store_and_coordinators(seed):
    """A request sent after a host passed on such an answer never reaches the target."""

    async def scenario(fleet):
        rng = random.Random(seed)
        leaving = fleet.targets["w1"]
        copy = fleet.store.copy()
        for target in fleet.targets.values():
            target.work_s = 0.02
        for host in fleet.hosts:
            host.cluster._keeps_first_coordinator = lambda: True
        callers = _Callers(fleet)
        await wait_until(lambda: len(leaving.arrivals) > 10)
        leaving.leaving = True
        for _ in range(12):
            await disturb(fleet, rng, copy)
            await asyncio.sleep(rng.uniform(0.02, 0.2))
        await callers.stop()
        known = {}
        for request_id in leaving.stated_leaving & callers.ended.keys():
            host = request_id.split("/")[0]
            at = callers.ended[request_id]
            known[host] = min(known.get(host, at), at)
        for request_id, _ in leaving.arrivals:
            host = request_id.split("/")[0]
            assert callers.began[request_id] <= known.get(host, float("inf"))
        assert known

    run_scenario(scenario)
