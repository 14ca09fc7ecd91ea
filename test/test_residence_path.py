"""Requests with a residence, over sockets: hosts and targets in two regions."""

import asyncio
import contextlib
import json
from dataclasses import replace

import cbor2

from test.entry_builders import (
    call,
    config,
    connect,
    entry_fleet,
    read_response,
    wait_until,
)
from test.test_target_paths import CuttablePool, cut

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


def test_no_message_to_a_coordinator_has_a_body():
    # A coordinator elsewhere may hold the description of a request, never its body.
    async def run():
        sent = []
        async with two_regions("b1") as fleet:
            await add_target(fleet, "w1", "a1", slots=1)
            for host in fleet.hosts:
                for link in host.cluster._outgoing.links.values():
                    link._conn.send = _recorder(link._conn.send, sent)
                for link in host.cluster.followers.links.values():
                    link._conn.send = _recorder(link._conn.send, sent)
            body = b"private words of a caller"
            answers = await asyncio.gather(
                *(
                    call(fleet.hosts[1], "/read/x", f"r{n}", method="POST", body=body)
                    for n in range(4)
                )
            )
            assert [each.status for each in answers] == [200] * 4
            await asyncio.sleep(0.6)
            frames = [cbor2.loads(data) for data in sent]
            assert {"e.ask", "e.done", "e.grant"} <= {frame[0] for frame in frames}
            (ask, *_) = (frame for frame in frames if frame[0] == "e.ask")
            assert ask[-1] == ["a"]
            assert not any(body in data for data in sent)

    asyncio.run(run())


def _recorder(send, sent):
    async def record(data):
        sent.append(data)
        await send(data)

    return record


def test_a_coordinator_that_knows_no_regions_is_corrected_by_the_entry_host():
    # A coordinator of format 6, or with an older configuration, grants any target.
    async def run():
        async with two_regions("b1") as fleet:
            near = await add_target(fleet, "w9", "a1")
            far = [await add_target(fleet, f"w{n}", "b1") for n in range(1, 4)]
            home, entry = fleet.hosts
            decide = home.coordinator.on_dispatch_request
            asked = []

            def on_request(name, req, now):
                asked.append(req.exclude)
                decide(name, replace(req, regions=[], zone="b1"), now)

            home.coordinator.on_dispatch_request = on_request
            assert (await call(entry, "/read/x", "r1")).status == 200
            assert asked == [[], ["w1", "w2", "w3"]]
            assert entry.frontend.metrics.value("residence_grants_returned") == 1
            await near.stop()
            await fleet.store.remove("servers/w9")
            await wait_until(lambda: not entry.view.target("w9"))
            answer = await call(entry, "/read/x", "r2")
            assert (answer.status, "retry-after" in answer.headers) == (503, True)
            assert not any(each.arrivals for each in far)

    asyncio.run(run())


def test_a_stream_goes_on_only_in_its_regions():
    async def run():
        async with two_regions() as fleet:
            broken = await add_target(fleet, "m1", "a1", "model", slots=1)
            far = await add_target(fleet, "m2", "b1", "model")
            broken.mode = "broken_stream"
            answer = await call(fleet.hosts[0], "/talk/x", "r1")
            assert not answer.is_complete
            assert far.arrivals == []
            near = await add_target(fleet, "m3", "a1", "model")
            near.mode = "stream"
            answer = await call(fleet.hosts[0], "/talk/x", "r2")
            assert answer.is_complete
            assert far.arrivals == []

    asyncio.run(run())


def test_a_tunnel_goes_only_through_a_host_in_an_allowed_region():
    # The host of the other region reaches the target, but must not see the request.
    async def run():
        async with two_regions() as fleet:
            near = await add_target(fleet, "w1", "a1")
            CuttablePool.cuts.clear()
            CuttablePool.opened_conns.clear()
            for host in fleet.hosts:
                host.frontend.target_connections.__class__ = CuttablePool
            cut(fleet.hosts[0], "silent")
            answer = await call(
                fleet.hosts[0], "/read/x", "r1", headers=["X-Timeout-Ms: 1500"]
            )
            assert (answer.status, near.runs) == (503, [])
            assert "retry-after" in answer.headers
            # Without a residence the request goes through the other host.
            assert (await call(fleet.hosts[0], "/file/x", "r2")).status == 200
            await fleet.host("n3", zone="a2", **ZONES)
            first = fleet.hosts[0]
            await wait_until(lambda: len(first.cluster.live_hosts()) == 3)
            # The address of a host for tunnels is that of its registration.
            await wait_until(lambda: len(first.view.members()) == 3)
            assert (await call(first, "/read/x", "r3")).status == 200

    asyncio.run(run())


def test_the_configuration_in_force_binds_a_request_that_waits():
    async def run():
        async with two_regions(regions=()) as fleet:
            near = await add_target(fleet, "w1", "b1", slots=1)
            near.work_s = 0.4
            host = fleet.hosts[0]
            first = asyncio.create_task(call(host, "/file/x", "r1", method="POST"))
            await wait_until(lambda: near.runs)
            second = asyncio.create_task(call(host, "/read/x", "r2"))
            await wait_until(lambda: host.coordinator.waiting_count())
            await fleet.store.write("op/config", restricted(version=3))
            await wait_until(lambda: host.view.version == 3)
            assert (await first).status == 200
            assert (await second).status == 503
            assert len(near.runs) == 1

    asyncio.run(run())


async def addresses(host, region, zone):
    reader, writer = await connect(host, "directory")
    path = f"/resolve?region={region}&zone={zone}"
    writer.write(f"GET {path} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
    answer = await read_response(reader)
    writer.close()
    return json.loads(answer.body)["addresses"]


def test_the_directory_names_no_host_that_a_restriction_forbids():
    # Callers in b with one host left in their region were sent to region a: 88
    # requests on one day.
    async def run():
        async with two_regions() as fleet:
            await wait_until(
                lambda: all(len(h.cluster.live_hosts()) == 2 for h in fleet.hosts)
            )
            own = ["{}:{}".format(*host.cfg.callers_listen) for host in fleet.hosts]
            for host in fleet.hosts:
                assert await addresses(host, "a", "a1") == own[:1]
                assert set(await addresses(host, "b", "b1")) == set(own)
            await fleet.store.write("op/config", restricted(3, ("b",)))
            await wait_until(lambda: all(h.view.version == 3 for h in fleet.hosts))
            assert await addresses(fleet.hosts[0], "b", "b1") == own[1:]
            await fleet.store.write("op/config", config(4))
            await wait_until(lambda: all(h.view.version == 4 for h in fleet.hosts))
            assert set(await addresses(fleet.hosts[1], "a", "a1")) == set(own)

    asyncio.run(run())
