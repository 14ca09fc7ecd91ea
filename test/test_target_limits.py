"""Limits that targets name for the requests of all entry hosts together."""

import asyncio

from test.entry_builders import call, entry_fleet, wait_until

# What a target may get in any window: see LIMIT in the platform's rules.
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5


def allowed(rate):
    """Return how many requests a target with this limit may get in one window."""
    return LIMIT_FACTOR * rate * WINDOW_S + LIMIT_SLACK


def most_in_a_window(times):
    """Return the highest number of times within any `WINDOW_S`."""
    return max(
        (sum(at <= other < at + WINDOW_S for other in times) for at in times),
        default=0,
    )


async def send_to_all(fleet, path, per_second, seconds):
    """Send requests to the hosts in turn at a rate; return their statuses."""
    calls = []
    for number in range(int(per_second * seconds)):
        host = fleet.hosts[number % len(fleet.hosts)]
        calls.append(asyncio.create_task(call(host, path, f"r{number}")))
        await asyncio.sleep(1 / per_second)
    return [response.status for response in await asyncio.gather(*calls)]


def test_a_target_gets_no_more_from_all_hosts_than_the_limit_that_it_names():
    """Replays inc1: 23 requests in 4 s at a limit of 2.9 a second."""

    async def scenario():
        async with entry_fleet(hosts=3) as fleet:
            await wait_until(
                lambda: {h.cluster.coordinator_name for h in fleet.hosts} == {"n1"}
            )
            await fleet.add_target("m2", "model")
            await wait_until(
                lambda: all(host.view.target("m2") for host in fleet.hosts)
            )
            limited = fleet.targets["m1"]
            limited.limit = 2.9
            statuses = await send_to_all(fleet, "/note/x", per_second=30, seconds=5)
            assert set(statuses) == {200}
            assert most_in_a_window(limited.arrived_at) <= allowed(2.9)

    asyncio.run(scenario())


def test_hosts_know_limits_in_case_their_coordinator_is_lost():
    async def scenario():
        async with entry_fleet(hosts=2) as fleet:
            _, second = fleet.hosts
            await wait_until(lambda: second.cluster.coordinator_name == "n1")
            heard = second.coordinator.rate_limits
            fleet.targets["m1"].limit = 50
            assert (await call(second, "/note/x", "r1")).status == 200
            await wait_until(lambda: heard.rows == [["m1", "m1/1", 50.0]])
            second.cluster._switch_to("n2")
            heard.replace([], second._loop.time())
            second.cluster._switch_to("n1")
            await wait_until(lambda: heard.is_limited("m1"))
            fleet.targets["m1"].limit = None
            assert (await call(second, "/note/x", "r2")).status == 200
            await wait_until(lambda: not heard.is_limited("m1"))

    asyncio.run(scenario())


def test_a_target_that_names_a_limit_that_cannot_be_read_is_used_as_before():
    async def scenario():
        async with entry_fleet() as fleet:
            fleet.targets["m1"].limit = "some"
            statuses = await send_to_all(fleet, "/note/x", per_second=50, seconds=1)
            assert set(statuses) == {200}

    asyncio.run(scenario())
