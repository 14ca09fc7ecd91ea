"""Requests with a residence, over sockets: hosts and targets in two regions."""

import asyncio
import contextlib

from test.entry_builders import call, config, entry_fleet, wait_until

ZONES = {"zones": {"b1": "b"}}


def restricted(version=2, regions=("a",), **extra):
    """Return a configuration whose read and talk routes allow some regions."""
    rows = config()["routes"]
    for row in rows:
        if row["name"] in ("read", "talk"):
            row["allowed_regions"] = list(regions)
    return config(version=version, routes=rows, **extra)


@contextlib.asynccontextmanager
async def two_regions(first_zone="a1", **options):
    """Start n1 in `first_zone` and n2 in the other region, restricted to a."""
    zones = {"a1": "a", "b1": "b"}
    other = "b1" if first_zone == "a1" else "a1"
    async with entry_fleet(
        targets=False,
        zone=first_zone,
        host={"zone": first_zone, "region": zones[first_zone]},
        **ZONES,
    ) as fleet:
        await fleet.host(
            "n2", zone=other, host={"zone": other, "region": zones[other]}, **ZONES
        )
        await wait_until(lambda: len(fleet.hosts[1].view.members()) == 2)
        await wait_until(lambda: fleet.hosts[1].cluster.coordinator_name == "n1")
        await fleet.store.write("op/config", restricted(**options))
        await wait_until(lambda: all(h.view.version == 2 for h in fleet.hosts))
        yield fleet


async def add_target(fleet, name, zone, service="ledger", **options):
    target = await fleet.add_target(name, service, zone=zone, **options)
    await wait_until(lambda: all(h.view.target(name) for h in fleet.hosts))
    return target


def test_no_target_of_another_region_gets_a_request():
    # Without the rule, what doesn't fit into the allowed region goes to the other one.
    async def run():
        async with two_regions() as fleet:
            near = await add_target(fleet, "w1", "a1", slots=1)
            far = await add_target(fleet, "w2", "b1", slots=4)
            near.work_s = far.work_s = 0.05
            answers = await asyncio.gather(
                *(call(fleet.hosts[n % 2], "/read/x", f"r{n}") for n in range(8))
            )
            assert [each.status for each in answers] == [200] * 8
            assert (len(near.runs), far.arrivals) == (8, [])

    asyncio.run(run())


def test_without_a_target_in_the_allowed_region_a_request_is_refused():
    # A refusal is accurate: nothing has run, and it says when to come back and why.
    async def run():
        async with two_regions() as fleet:
            far = await add_target(fleet, "w2", "b1")
            # A zone that the settings don't name has no region.
            lost = await add_target(fleet, "w3", "c9")
            for host in fleet.hosts:
                answer = await call(host, "/read/x", "r1")
                assert answer.status == 503
                assert 0 < float(answer.headers["retry-after"]) <= 5
                assert host.frontend.metrics.value("answered_residence") == 1
            assert far.arrivals == lost.arrivals == []
            assert (await call(fleet.hosts[0], "/file/x", "r2")).status == 200

    asyncio.run(run())
