"""Rollouts on entry hosts: orders, evidence, rollback and the states in the store."""

import asyncio

import pytest

from test.entry_builders import call, entry_fleet, wait_until

DURATION_S = 2.0
# Much longer than the test's own time for a call, so that neither version seems slow.
WORK_S = 0.03
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 50


def state_of(fleet):
    return fleet.store.value("status/rollout/ledger") or {}


async def order_rollout(fleet):
    raw = {"service": "ledger", "target": "v2", "duration_s": DURATION_S}
    await fleet.store.write("op/rollout/ledger", raw)


async def send_until(fleet, condition):
    """Send calls in batches of five until `condition()`; return the number sent."""
    sent = 0
    async with asyncio.timeout(15):
        while not condition():
            calls = [
                call(
                    fleet.hosts[number % len(fleet.hosts)],
                    "/read/x",
                    f"r{sent + number}",
                )
                for number in range(5)
            ]
            await asyncio.gather(*calls)
            sent += 5
    return sent


async def with_rollout(mode, hosts, scenario):
    async with entry_fleet(hosts=hosts) as fleet:
        new = await fleet.add_target("w2", "ledger", version="v2")
        new.mode = mode
        new.work_s = fleet.targets["w1"].work_s = WORK_S
        await wait_until(lambda: all(h.view.target("w2") for h in fleet.hosts))
        await order_rollout(fleet)
        await wait_until(lambda: state_of(fleet).get("state") == "running")
        await scenario(fleet, new)


@pytest.mark.parametrize("hosts", [1, 2])
def test_a_good_version_gets_all_traffic_and_completes(hosts):
    async def scenario(fleet, new):
        before = len(new.runs)
        await send_until(fleet, lambda: state_of(fleet)["state"] != "running")
        assert state_of(fleet)["state"] == "completed"
        assert state_of(fleet)["target"] == "v2"
        old = len(fleet.targets["w1"].runs)
        for number in range(20):
            assert (await call(fleet.hosts[0], "/read/x", f"s{number}")).status == 200
        assert len(fleet.targets["w1"].runs) == old
        assert len(new.runs) >= before + 20

    asyncio.run(with_rollout("ok", hosts, scenario))


def test_a_rollout_continues_on_the_next_coordinator():
    async def scenario(fleet, new):
        first, second = fleet.hosts
        await send_until(
            fleet, lambda: first.coordinator.rollouts.progress_rows()[0][3] >= 3
        )
        counted = first.coordinator.rollouts.progress_rows()[0]
        await wait_until(
            lambda: second.coordinator.rollouts.progress_rows()[0][3] >= counted[3]
        )
        await fleet.store.remove(next(k for k in fleet.store.items if "/n1." in k))
        first.cluster.followers.draining = True
        await wait_until(lambda: second.cluster.coordinator_name == "n2")
        await send_until(fleet, lambda: state_of(fleet)["state"] != "running")
        assert state_of(fleet)["state"] == "completed"

    asyncio.run(with_rollout("ok", 2, scenario))


@pytest.mark.parametrize("mode", ["error", "reset"])
def test_a_bad_version_is_rolled_back_and_gets_no_more_calls(mode):
    async def scenario(fleet, new):
        sent = await send_until(fleet, lambda: state_of(fleet)["state"] != "running")
        assert state_of(fleet)["state"] == "rolled_back"
        assert len(new.runs) <= EXPOSURE_SHARE * sent + EXPOSURE_SLACK
        exposed = len(new.runs)
        for number in range(20):
            assert (await call(fleet.hosts[1], "/read/x", f"s{number}")).status == 200
        assert len(new.runs) == exposed

    asyncio.run(with_rollout(mode, 2, scenario))


def test_a_bad_version_is_rolled_back_while_the_store_is_down():
    async def scenario(fleet, new):
        fleet.store.fault = "busy"
        coordinator = fleet.hosts[0].coordinator
        sent = await send_until(fleet, lambda: coordinator.rollouts.rollbacks())
        assert len(new.runs) <= EXPOSURE_SHARE * sent + EXPOSURE_SLACK
        # No change in the store says so, and the ejection of the target ends.
        assert coordinator._pools["ledger"].scheduler.fleet.get("w2").draining
        exposed = len(new.runs)
        for number in range(20):
            assert (await call(fleet.hosts[1], "/read/x", f"s{number}")).status == 200
        assert len(new.runs) == exposed
        fleet.store.fault = None
        await wait_until(lambda: state_of(fleet)["state"] == "rolled_back", 15)

    asyncio.run(with_rollout("error", 2, scenario))
