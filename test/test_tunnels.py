"""Connections to targets through another host, which outlive or follow their ends."""

import asyncio

import pytest

from lovagepier.entry._targets.tunnels import HostUnreachable
from test.entry_builders import call, connect, raw_request, wait_until
from test.stream_targets import Answer, StreamTargets, ask, head, piece
from test.stuttering_target import Turn, add_stuttering, whole, whole_body
from test.test_target_paths import cut, run_scenario


def test_a_caller_that_leaves_ends_its_work_through_another_host():
    async def scenario(fleet):
        host, target = fleet.hosts[2], fleet.targets["m1"]
        cut(host, "refused")
        target.work_s = 5.0
        _, writer = await connect(host)
        writer.write(raw_request("/note/x", "r1"))
        await wait_until(lambda: target.runs)
        writer.transport.abort()
        await wait_until(lambda: target.cancelled == ["r1"])

    run_scenario(scenario)


def test_a_slow_caller_slows_down_its_target_through_another_host():
    async def scenario(fleet):
        host, target = fleet.hosts[2], fleet.targets["m1"]
        cut(host, "refused")
        target.mode = "flood"
        reader, writer = await connect(host)
        writer.transport.pause_reading()
        writer.write(raw_request("/talk/x", "r1", method="POST", body=b"{}"))
        await wait_until(lambda: target.sent > 0)
        before = -1
        while target.sent != before:
            before = target.sent
            await asyncio.sleep(0.2)
        assert target.sent < 60_000_000
        writer.transport.resume_reading()
        await reader.readexactly(before + 1_000_000)
        writer.transport.abort()

    run_scenario(scenario)


def test_large_bodies_pass_whole_both_ways():
    async def scenario(fleet):
        host, target = fleet.hosts[2], fleet.targets["w1"]
        cut(host, "refused")
        body = bytes(range(256)) * 39
        response = await call(host, "/file/x", "r1", method="POST", body=body)
        assert response.status == 200
        assert target.runs[0][4] == body

    run_scenario(scenario)


def relay_of(host):
    """Return the name of the host that this one's tunnels go through."""
    (name,) = host.frontend.connector._tunnels._links
    return name


def test_a_lost_tunnel_host_is_replaced_by_another_one():
    async def scenario(fleet):
        host, target = fleet.hosts[2], fleet.targets["w1"]
        cut(host, "refused")
        assert (await call(host, "/read/x", "r0")).status == 200
        name = relay_of(host)
        target.work_s = 0.5
        running = asyncio.create_task(call(host, "/read/x", "r1"))
        await wait_until(lambda: len(target.runs) == 2)
        host.frontend.connector._tunnels._links[name].close()
        target.work_s = 0.0
        assert (await running).status == 200
        assert [run[0] for run in target.runs] == ["r0", "r1", "r1"]

    run_scenario(scenario)


def test_a_stopping_host_sees_its_tunnels_through():
    async def scenario(fleet):
        host, target = fleet.hosts[2], fleet.targets["w1"]
        cut(host, "refused")
        assert (await call(host, "/read/x", "r0")).status == 200
        stopping = next(h for h in fleet.hosts if h.cfg.host_name == relay_of(host))
        target.work_s = 2.6
        running = asyncio.create_task(call(host, "/file/x", "r1", method="POST"))
        await wait_until(lambda: len(target.runs) == 2)
        stopping._stopping.set()
        assert (await running).status == 200
        assert len(target.runs) == 2

    run_scenario(scenario)


def test_a_call_that_outlasts_the_stop_of_its_tunnels_host_is_answered():
    async def scenario(fleet):
        host, target = fleet.hosts[2], fleet.targets["w1"]
        cut(host, "refused")
        assert (await call(host, "/read/x", "r0")).status == 200
        number, stopping = next(
            (n, h)
            for n, h in enumerate(fleet.hosts)
            if h.cfg.host_name == relay_of(host)
        )
        stopping.cfg.shutdown_grace = 1.5
        target.work_s = 2.0
        running = [
            asyncio.create_task(call(host, path, path, method="POST"))
            for path in ("/file/x", "/read/x")
        ]
        await wait_until(lambda: len(target.runs) == 3)
        told_at = asyncio.get_running_loop().time()
        stopping._stopping.set()
        await fleet.tasks[number]
        assert 0.9 < asyncio.get_running_loop().time() - told_at < 1.5
        # The process ends here, and its links with it.
        target.work_s = 0.0
        host.frontend.connector._tunnels._links[stopping.cfg.host_name].close()
        assert [(await each).status for each in running] == [502, 200]
        assert [run[0] for run in target.runs].count("/file/x") == 1

    run_scenario(scenario)


def test_tunnels_outlive_a_moment_without_their_host_in_the_rosters():
    """A stopping host was missing while the others changed their coordinator."""

    async def scenario(fleet):
        host, target = fleet.hosts[2], fleet.targets["w1"]
        cut(host, "refused")
        assert (await call(host, "/read/x", "r0")).status == 200
        tunnels = host.frontend.connector._tunnels
        target.work_s = 0.5
        running = asyncio.create_task(call(host, "/file/x", "r1", method="POST"))
        await wait_until(lambda: len(target.runs) == 2)
        tunnels.close_unused({"n9"})
        assert (await running).status == 200
        tunnels.close_unused({"n9"})
        await wait_until(lambda: not tunnels.has_links())

    run_scenario(scenario)


def test_tunnels_through_a_host_that_is_gone_end():
    async def scenario(fleet):
        host, target = fleet.hosts[2], fleet.targets["w1"]
        cut(host, "refused")
        assert (await call(host, "/read/x", "r0")).status == 200
        connector = host.frontend.connector
        target.work_s = 5.0
        running = asyncio.create_task(call(host, "/file/x", "r1", method="POST"))
        await wait_until(lambda: len(target.runs) == 2)
        connector._peers = lambda: []
        host.cluster.live_hosts = lambda: []
        assert (await running).status == 502
        assert len(target.runs) == 2

    run_scenario(scenario)


def test_hosts_for_tunnels_are_found_in_rosters_of_an_earlier_version():
    """During an update a coordinator may send rows without the last column."""

    async def scenario(fleet):
        third = fleet.hosts[2]
        cut(third, "refused")
        third.cluster.live_hosts = lambda: [
            row[:4] for row in fleet.hosts[0].cluster.live_hosts()
        ]
        assert (await call(third, "/read/x", "r0")).status == 200

    run_scenario(scenario)


def test_a_host_whose_address_was_unknown_is_asked_again():
    async def scenario(fleet):
        host, target = fleet.hosts[2], fleet.hosts[2].view.target("w1")
        tunnels = host.frontend.connector._tunnels
        find_address = tunnels._find_address
        tunnels._find_address = lambda name: None
        with pytest.raises(HostUnreachable):
            await tunnels.open("n1", target)
        tunnels._find_address = find_address
        conn = await tunnels.open("n1", target)
        assert conn.via == "n1"
        conn.close()

    run_scenario(scenario)


@pytest.mark.parametrize("end", ["close", "reset", "host"])
def test_an_answer_without_a_length_is_whole_only_if_the_target_ended_it(end):
    """It is lost if the target resets the connection, or the host between is lost."""

    async def scenario(fleet):
        host = fleet.hosts[2]
        await fleet.store.remove("servers/w1")
        target = await add_stuttering(fleet, "w2", "ledger")
        cut(host, "refused")
        pauses = 1 if end in ("close", "reset") else 20

        def plan(rid, conn):
            ends = "reset" if end == "reset" else "close"
            return Turn(whole(rid, "none"), after=(b"",) * pauses, ends=ends)

        target.plan = plan
        running = asyncio.create_task(
            call(host, "/file/x", "r1", method="POST", body=b"1")
        )
        await wait_until(lambda: target.runs)
        await asyncio.sleep(0.1)
        if end == "host":
            host.frontend.connector._tunnels._links[relay_of(host)].close()
        answer = await running
        whole_answer = (200, whole_body("r1"))
        expected = whole_answer if end == "close" else (502, b"")
        assert (answer.status, answer.body) == expected

    run_scenario(scenario)


@pytest.mark.parametrize("ended_by", ["fin", "reset", "link"])
def test_a_stream_without_a_length_ends_through_another_host_as_at_its_target(ended_by):
    async def scenario(fleet):
        host = fleet.hosts[2]
        targets = StreamTargets(fleet)
        await targets.renew(1)
        await fleet.store.remove("servers/m1")
        await wait_until(lambda: all(h.view.target("m1") is None for h in fleet.hosts))
        cut(host, "refused")
        end = "silent" if ended_by == "link" else ended_by
        targets.play(Answer(head(length=None), piece(1) + piece(2), end=end))
        asking = asyncio.create_task(ask(host, "/note/x", "r1"))
        await wait_until(lambda: targets.asked)
        if ended_by == "link":
            await asyncio.sleep(0.1)
            host.frontend.connector._tunnels._links[relay_of(host)].close()
        seen = await asking
        assert (seen.status, seen.body) == (200, piece(1) + piece(2))
        assert seen.is_complete == (ended_by == "fin")

    run_scenario(scenario)
