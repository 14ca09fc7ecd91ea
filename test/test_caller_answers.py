"""What reaches a caller on its own connection: its answers, whole, in order."""

import asyncio

import pytest

from test.entry_builders import (
    HOST,
    KEY,
    config,
    connect,
    entry_fleet,
    raw_request,
    read_response,
    wait_until,
)
from test.stuttering_target import (
    Turn,
    add_stuttering,
    marks,
    plain,
    response,
    stream_body,
    whole_body,
)


def run_scenario(scenario, service="ledger"):
    async def run():
        async with entry_fleet(targets=False) as fleet:
            target = await add_stuttering(fleet, "w1", service)
            async with asyncio.timeout(30):
                await scenario(fleet, fleet.hosts[0], target)

    asyncio.run(run())


def old_request(path, request_id):
    """Return a request of HTTP/1.0, whose answer ends with its connection."""
    lines = [
        f"POST {path} HTTP/1.0",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"Authorization: Token {KEY}",
        "Content-Length: 0",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def broken_stream(request_id):
    """Return a stream that breaks off inside its last event."""
    headers = ["Content-Type: text/event-stream", *marks(request_id)]
    whole = response(200, stream_body(request_id), headers, "chunks")
    return whole[:-20]


def test_a_cut_stream_is_reset_for_a_caller_that_knows_no_chunks():
    async def scenario(fleet, host, target):
        target.plan = lambda rid, conn: Turn(broken_stream(rid), ends="reset")
        reader, writer = await connect(host)
        writer.write(old_request("/note/x", "r1"))
        with pytest.raises(ConnectionError):
            await reader.read()
            await reader.read()

    run_scenario(scenario, "model")


def test_a_whole_stream_ends_cleanly_for_a_caller_that_knows_no_chunks():
    async def scenario(fleet, host, target):
        target.plan = lambda rid, conn: plain(rid, "stream", "chunks")
        reader, writer = await connect(host)
        writer.write(old_request("/note/x", "r1"))
        raw = await reader.read()
        assert raw.endswith(stream_body("r1"))

    run_scenario(scenario, "model")


@pytest.mark.parametrize("pipelined", [True, False])
def test_an_answer_after_its_deadline_is_not_the_next_requests(pipelined):
    async def scenario(fleet, host, target):
        raw = config(2)
        for row in raw["routes"]:
            row["timeout_ms"] = 200
        await fleet.store.write("op/config", raw)
        await wait_until(lambda: host.view.version == 2)

        def plan(rid, conn):
            # The connection stays; the answer comes after the deadline.
            late = plain(rid)
            return Turn(after=(b"",) * 12 + (late.answer,)) if rid == "r1" else late

        target.plan = plan
        reader, writer = await connect(host)
        first = raw_request("/file/x", "r1", method="POST", body=b"1")
        second = raw_request("/read/x", "r2")
        writer.write(first + second if pipelined else first)
        answer = await read_response(reader)
        assert (answer.status, answer.headers["x-request-id"]) == (504, "r1")
        if not pipelined:
            writer.write(second)
        answer = await read_response(reader)
        assert (answer.status, answer.body) == (200, whole_body("r2"))
        await asyncio.sleep(0.3)
        writer.write(raw_request("/read/x", "r3"))
        answer = await read_response(reader)
        assert (answer.status, answer.body) == (200, whole_body("r3"))

    run_scenario(scenario)


def test_an_answer_of_an_abandoned_call_reaches_no_other():
    async def scenario(fleet, host, target):
        def plan(rid, conn):
            late = plain(rid)
            return Turn(after=(b"", b"", late.answer)) if rid == "r1" else late

        target.plan = plan
        _, writer = await connect(host)
        writer.write(raw_request("/read/x", "r1"))
        await wait_until(lambda: target.runs)
        writer.transport.abort()
        for number in range(2, 8):
            reader, writer = await connect(host)
            writer.write(raw_request("/read/x", f"r{number}"))
            answer = await read_response(reader)
            assert (answer.status, answer.body) == (200, whole_body(f"r{number}"))
            writer.close()

    run_scenario(scenario)
