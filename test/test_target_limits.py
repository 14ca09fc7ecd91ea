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
