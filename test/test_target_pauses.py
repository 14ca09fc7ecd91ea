"""Targets that turn requests away and want nothing from a host for a while."""

import asyncio

import pytest

from test.entry_builders import call, wait_until
from test.test_leaving_targets import run_scenario


async def burst(host, prefix, count=8):
    """Send requests at once, more than one target has slots."""
    paths = [f"{host.cfg.host_name}-{prefix}-{number}" for number in range(count)]
    calls = (call(host, "/read/x", request_id) for request_id in paths)
    assert {response.status for response in await asyncio.gather(*calls)} == {200}


async def burst_until(condition, host, prefix):
    """Send bursts until `condition()` is true; fail after a number of them."""
    for number in range(40):
        if condition():
            return
        await burst(host, f"{prefix}{number}")
    raise AssertionError("the condition did not come true")


async def burst_until_paused(host, target):
    def is_paused():
        return host.cluster.statements.is_paused(host.view.target(target.id))

    await burst_until(is_paused, host, "first")


@pytest.mark.parametrize("name", ["n1", "n2"])
def test_a_host_sends_nothing_until_the_pause_is_over(name):
    async def scenario(fleet):
        host = next(h for h in fleet.hosts if h.cfg.host_name == name)
        target = fleet.targets["w1"]
        target.mode, target.pause = "shed", 1.5
        for each in fleet.targets.values():
            each.work_s = 0.03
        loop = asyncio.get_running_loop()
        await burst_until_paused(host, target)
        target.mode = "ok"
        count = len(target.arrivals)
        await burst(host, "meanwhile")
        assert host.cluster.statements.is_paused(host.view.target("w1"))
        assert len(target.arrivals) == count
        # The pause binds one host, and the target counts as sound.
        other = fleet.hosts[2]
        await burst_until(lambda: len(target.arrivals) > count, other, "other")
        state = fleet.hosts[0].coordinator._pool("ledger").scheduler.fleet.get("w1")
        assert not state.failures and state.ejected_until < loop.time()
        await wait_until(
            lambda: not host.cluster.statements.is_paused(host.view.target("w1"))
        )
        count = len(target.arrivals)
        await burst_until(lambda: len(target.arrivals) > count, host, "later")

    run_scenario(scenario)


def test_work_waits_for_the_only_target_until_its_pause_is_over():
    async def scenario(fleet):
        host, target = fleet.hosts[1], fleet.targets["w1"]
        await fleet.store.remove("servers/w2")
        for each in fleet.hosts:
            await wait_until(lambda each=each: each.view.target("w2") is None)
        target.mode, target.pause = "shed", "0.7"
        first = asyncio.create_task(call(host, "/file/x", "r1", method="POST"))
        await wait_until(lambda: target.arrivals)
        target.mode = "ok"
        second = await call(host, "/file/x", "r2", method="POST")
        assert second.status == 200
        times = target.arrived_at
        assert all(at >= times[0] + 0.7 for at in times[1:])
        assert (await first).status in (200, 503)

    run_scenario(scenario)


@pytest.mark.parametrize("value", ["Fri, 04 Dec 2026 20:00:00 GMT", "soon", "-1"])
def test_a_pause_that_cannot_be_read_has_no_effect(value):
    async def scenario(fleet):
        host, target = fleet.hosts[1], fleet.targets["w1"]
        target.mode, target.pause = "shed", value
        for each in fleet.targets.values():
            each.work_s = 0.03
        await burst_until(lambda: target.arrivals, host, "first")
        assert not host.cluster.statements.is_paused(host.view.target("w1"))

    run_scenario(scenario)


def test_a_new_coordinator_learns_the_pauses_of_its_hosts():
    async def scenario(fleet):
        _, second, third = fleet.hosts
        target = fleet.targets["w1"]
        target.mode, target.pause = "shed", 5.0
        for each in fleet.targets.values():
            each.work_s = 0.03
        await burst_until_paused(third, target)
        for host in fleet.hosts:
            host.cluster._keeps_first_coordinator = lambda: True
        third.cluster._outgoing.dial("n2", second.cfg.peers_listen, 0.0)
        await wait_until(lambda: third.cluster._outgoing.is_known("n2"))
        third.cluster._switch_to("n2")
        incarnation = third.view.target("w1").incarnation
        now = asyncio.get_running_loop().time
        await wait_until(
            lambda: second.coordinator.pauses.is_paused("n3", "w1", incarnation, now())
        )

    run_scenario(scenario)
