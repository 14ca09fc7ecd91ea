"""Requests that are answered before their body is read, and what callers get of it."""

import asyncio
import socket

import pytest

from lovagepier.decisions.limits.connection_places import connection_places
from lovagepier.decisions.limits.memory_account import (
    MIB,
    MemoryAccount,
    memory_parts,
    refusal_rank,
)
from lovagepier.entry._settings import parse_entry_settings
from lovagepier.entry._sockets import RECEIVE_BUFFER_BYTES, open_sockets
from test.entry_builders import (
    connect,
    raw_request,
    read_response,
    settings,
    wait_until,
)
from test.test_http_edges import run_scenario


def test_the_largest_body_fits_the_smallest_machine_and_parts_stay_within_it():
    parts = memory_parts(128 * MIB)
    assert parts.callers + parts.targets < 64 * MIB
    account = MemoryAccount(parts)
    while account.take_connection(16 * 1024):
        pass
    # Two of the longest bodies beside as many connections as may be open.
    assert account.take_body(4 * MIB) and account.take_body(4 * MIB)
    while account.take_body(MIB):
        pass
    assert account.bodies + account.connections <= parts.callers


def test_bodies_that_stopped_are_refused_first_then_less_urgent_ones():
    stopped = refusal_rank(4 * MIB, 0, 0, silent_s=1.0)
    low_tier = refusal_rank(MIB, 0, 3, silent_s=0.0)
    large = refusal_rank(4 * MIB, 0, 0, silent_s=0.0)
    known = refusal_rank(4 * MIB, 9, 0, silent_s=0.0)
    assert stopped > low_tier > large > known


@pytest.mark.parametrize("max_fds", [260, 4100, 65536])
def test_callers_leave_descriptors_for_targets_and_the_store(max_fds):
    places = connection_places(max_fds)
    assert sum(places.values()) <= 0.75 * (max_fds - 200)
    assert places["callers_listen"] == max(places.values())
    assert connection_places(0)["callers_listen"] == float("inf")
    # A coordinator of the largest fleet has a link from each other host.
    assert connection_places(4100)["peers_listen"] >= 420


def test_a_short_body_that_nobody_wants_leaves_the_connection_usable():
    """Guards against closing the connections of sound callers with a stale route."""

    async def scenario(host, fleet):
        reader, writer = await connect(host)
        raw = raw_request("/nothing/x", "r1", "POST", body=b"a" * 9000)
        writer.write(raw[:-5000])
        answer = await read_response(reader)
        assert (answer.status, "connection" in answer.headers) == (404, False)
        writer.write(raw[-5000:] + raw_request("/read/x", "r2"))
        assert (await read_response(reader)).body == b"done r2"

    run_scenario(scenario)


@pytest.mark.parametrize(
    "path, key, framing, status",
    [
        ("/nothing/x", "", "Content-Length: 3000000", 404),
        ("/file/x", "wrong", "Content-Length: 3000000", 401),
        ("/file/x", "key-of-blue", "Content-Length: 3000000", 413),
        ("/nothing/x", "", "Transfer-Encoding: chunked", 404),
    ],
)
def test_an_early_answer_is_not_lost_by_a_reset(path, key, framing, status):
    """A caller that sends its whole body before it reads still gets the answer."""

    async def scenario(host, fleet):
        reader, writer = await connect(host)
        writer.write(raw_request(path, "r1", "PUT", key, [framing]))
        chunk = b"10000\r\n" + bytes(65536) + b"\r\n"
        for _ in range(45):
            writer.write(chunk if "chunked" in framing else bytes(65536))
            await asyncio.sleep(0.001)
        answer = await read_response(reader)
        assert (answer.status, answer.headers["connection"]) == (status, "close")
        assert await reader.read() == b""
        assert not fleet.targets["w1"].runs

    def limits(host):
        return host.view.catalog.limits

    async def with_larger_limit(host, fleet):
        # What is dropped is bounded by the longest body, 10,000 bytes here otherwise.
        object.__setattr__(limits(host), "max_body_bytes", 2_950_000)
        await scenario(host, fleet)

    run_scenario(with_larger_limit)


def test_a_body_without_memory_is_refused_and_has_not_run():
    """Guards the promise of 503; its caller is told when to come again."""

    async def scenario(host, fleet):
        account = host.frontend._caller_conns.account
        reader, writer = await connect(host)
        await wait_until(lambda: host.frontend.open_connections == 1)
        account.bodies += account.parts.purpose
        writer.write(raw_request("/file/x", "r1", "POST", body=bytes(9900)))
        answer = await read_response(reader)
        assert (answer.status, answer.headers["connection"]) == (503, "close")
        assert float(answer.headers["retry-after"]) > 0
        account.bodies -= account.parts.purpose
        assert not fleet.targets["w1"].runs
        assert account.bodies == 0

    run_scenario(scenario)


@pytest.mark.parametrize("host, is_bounded", [({"memory_mb": 128}, True), ({}, False)])
def test_the_kernel_holds_little_for_a_connection_that_is_not_read(host, is_bounded):
    """Guards against megabytes in the kernel; without the setting nothing changes."""
    cfg = parse_entry_settings(settings("n1", 80, host=host))
    for sock in open_sockets(cfg).values():
        size = sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        assert (size == 2 * RECEIVE_BUFFER_BYTES) == is_bounded
        sock.close()
