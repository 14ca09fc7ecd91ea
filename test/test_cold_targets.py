"""Cold targets behind three entry hosts: what all hosts together send to them."""

import asyncio

import pytest

from lovagepier.decisions.limits.cold_limits import HOLD_S
from test.entry_builders import call, config, entry_fleet, route, wait_until
from test.test_cold_limits import most_in_a_second
from test.test_target_limits import send_to_all

PER_S, OVERAGE, SLACK = 4.0, 1.5, 5.0
MOST = PER_S * OVERAGE + SLACK
COLD_MS = 60_000
SETTINGS = {"cold_overage": OVERAGE, "cold_slack": SLACK}


def run_scenario(scenario, cold=SETTINGS, fields=(("cold_per_s", PER_S),)):
    """Run with three hosts and two targets of a service that has a cold bound."""

    async def run():
        async with entry_fleet(hosts=0, targets=False) as fleet:
            service = {"name": "ledger", "cold_start_s": 3.0, **dict(fields)}
            routes = [route("read", "idempotent", "ledger", timeout_ms=2000)]
            raw = config(2, services=[service], routes=routes)
            await fleet.store.write("op/config", raw)
            for name in ("w1", "w2"):
                await fleet.add_target(name, "ledger", slots=50)
            for number in (1, 2, 3):
                host = await fleet.host(f"n{number}", targets=cold)
                await wait_until(lambda host=host: len(host.view.targets) == 2)
                await wait_until(
                    lambda host=host, n=number: len(host.view.members()) == n
                )
            await wait_until(
                lambda: {h.cluster.coordinator_name for h in fleet.hosts} == {"n1"}
            )
            # The coordinator's share counts from here on.
            await asyncio.sleep(HOLD_S + 0.3)
            await scenario(fleet)

    asyncio.run(run())


async def turn_cold(fleet, *names):
    """Let targets state that they are cold; forget what they got before."""
    for name in names:
        target = fleet.targets[name]
        target.cold_left_ms = COLD_MS
        await fleet.store.write(f"servers/{name}", target.entry())
        for host in fleet.hosts:
            await wait_until(
                lambda host=host, name=name: host.view.target(name).cold_left_s > 0
            )
    for target in fleet.targets.values():
        target.arrived_at.clear()


def test_warm_targets_take_what_a_cold_one_may_not_get():
    async def scenario(fleet):
        await turn_cold(fleet, "w1")
        statuses = await send_to_all(fleet, "/read/x", per_second=40, seconds=2)
        assert set(statuses) == {200}
        cold = fleet.targets["w1"].arrived_at
        assert most_in_a_second(cold) <= MOST
        assert len(cold) + len(fleet.targets["w2"].arrived_at) == 80

    run_scenario(scenario)


def test_targets_that_are_all_cold_keep_their_bound_over_a_split_of_the_hosts():
    """One host decides for itself and comes back, while work waits everywhere."""

    async def scenario(fleet):
        third = fleet.hosts[2]
        for host in fleet.hosts:
            host.cluster._keeps_first_coordinator = lambda: True
        await turn_cold(fleet, "w1", "w2")
        sending = asyncio.create_task(
            send_to_all(fleet, "/read/x", per_second=40, seconds=6)
        )
        await asyncio.sleep(1.0)
        third.cluster._switch_to("n3")
        await asyncio.sleep(HOLD_S + 0.7)
        third.cluster._switch_to("n1")
        assert set(await sending) <= {200, 429, 503}
        for target in fleet.targets.values():
            assert 0 < most_in_a_second(target.arrived_at) <= MOST
        # Most of what the bound allows is used, also during the split.
        assert len(fleet.targets["w1"].arrived_at) >= 0.5 * PER_S * 6

    run_scenario(scenario)


@pytest.mark.parametrize(
    "cold, fields",
    [({}, (("cold_per_s", PER_S),)), (SETTINGS, ()), (SETTINGS, [("cold_per_s", 0)])],
)
def test_without_settings_or_fields_targets_get_what_they_have_slots_for(cold, fields):
    async def scenario(fleet):
        await turn_cold(fleet, "w1", "w2")
        statuses = await send_to_all(fleet, "/read/x", per_second=40, seconds=1)
        assert set(statuses) == {200}
        assert max(map(most_in_a_second, _arrivals(fleet))) > MOST

    run_scenario(scenario, cold, fields)


def _arrivals(fleet):
    return [target.arrived_at for target in fleet.targets.values()]


def test_a_host_that_sees_a_target_turn_cold_first_does_not_flood_it():
    """The coordinator's view is late: it grants as many as the target has slots for."""

    async def scenario(fleet):
        fleet.hosts[0].coordinator.refresh = lambda now: None
        await turn_cold(fleet, "w1", "w2")
        answers = await asyncio.gather(
            *(call(fleet.hosts[1], "/read/x", f"r{number}") for number in range(30))
        )
        assert {answer.status for answer in answers} == {503}
        assert all("retry-after" in answer.headers for answer in answers)
        assert not fleet.targets["w1"].arrived_at
        assert not fleet.targets["w2"].arrived_at

    run_scenario(scenario)


def test_what_happens_to_targets_makes_them_cold_until_they_register_again():
    async def scenario(fleet):
        loop = asyncio.get_running_loop()

        async def wait_for_cold(count, hosts=fleet.hosts):
            for host in hosts:
                known = host.coordinator.cold_targets
                await wait_until(lambda known=known: known.count(loop.time()) == count)

        async def register(name, **fields):
            entry = {**fleet.targets[name].entry(), **fields}
            await fleet.store.write(f"servers/{name}", entry)

        await wait_for_cold(0)
        await fleet.store.write("op/evacuate/a1", {})
        for host in fleet.hosts:
            await wait_until(lambda host=host: host.view.evacuations.zones)
        await fleet.store.remove("op/evacuate/a1")
        await wait_for_cold(2)
        # Longer than a registration may take that was written before the event.
        await asyncio.sleep(0.6)
        await register("w1", seq=2)
        await register("w2", seq=2)
        await wait_for_cold(0)
        await register("w1", born=2)
        await wait_for_cold(1)
        await asyncio.sleep(0.6)
        await register("w1", born=2, seq=2)
        await wait_for_cold(0)
        # The other one shows that the hosts' paths are whole.
        await register("w2", state="draining", seq=3)
        await wait_until(lambda: fleet.hosts[0].view.target("w2").draining)
        await fleet.targets["w1"].stop()
        await call(fleet.hosts[0], "/read/x", "r1")
        await wait_for_cold(1, fleet.hosts[:1])

    run_scenario(scenario)
