"""What cheroot and urllib3 hide, and what the entry host does in their place.

These decide the HTTP libraries of the entry host; see docs/PLATFORM.md.
"""

import asyncio
import socket
import threading

import urllib3

from lovagepier.web import Response, WebServer
from test.entry_builders import (
    call,
    connect,
    entry_fleet,
    raw_request,
    read_response,
    wait_until,
)
from test.platform_standins import TargetStandin


def test_cheroot_does_not_tell_that_a_caller_has_left():
    began, left, told = threading.Event(), threading.Event(), []

    def handle(request):
        began.set()
        left.wait(5)
        told.append("ran to its end")
        return Response(200, [], [b"late"])

    server = WebServer(("127.0.0.1", 0), handle, 2, "", "")
    server.bind()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    sock = socket.create_connection(("127.0.0.1", server.port))
    sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    assert began.wait(5)
    sock.close()
    left.set()
    server.stop()
    assert told == ["ran to its end"]


def test_urllib3_takes_an_answer_to_another_request_for_its_own():
    async def run():
        worker = await TargetStandin("w1", "s").start()
        worker.mode = "late_extra"
        pool = urllib3.HTTPConnectionPool("127.0.0.1", worker.port, retries=False)
        headers = {"X-Request-Id": "r1", "X-Expect-Instance": "w1"}
        answer = await asyncio.to_thread(pool.request, "GET", "/", headers=headers)
        pool.close()
        await worker.stop()
        return answer.data

    assert asyncio.run(run()) == b"of another"


def play(scenario, **options):
    async def run():
        async with entry_fleet(**options) as made:
            await scenario(made.hosts[0], made)

    asyncio.run(run())


SMUGGLED = b"GET /read/evil HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: evil\r\n\r\n"


def test_a_body_with_two_framings_is_refused_and_nothing_is_smuggled():
    async def scenario(host, made):
        reader, writer = await connect(host)
        both = ["Transfer-Encoding: chunked", f"Content-Length: {len(SMUGGLED) + 5}"]
        writer.write(
            raw_request("/read/x", "r1", headers=both) + b"0\r\n\r\n" + SMUGGLED
        )
        answer = await read_response(reader)
        assert answer.status == 400
        assert await reader.read() == b""
        assert not made.targets["w1"].runs

    play(scenario)


def test_a_bad_chunk_is_refused():
    async def scenario(host, made):
        reader, writer = await connect(host)
        chunked = ["Transfer-Encoding: chunked"]
        writer.write(raw_request("/read/x", "r1", headers=chunked) + b"zz\r\nabc\r\n")
        assert (await read_response(reader)).status == 400
        assert not made.targets["w1"].runs

    play(scenario)


def test_a_chunked_body_arrives_whole():
    async def scenario(host, made):
        reader, writer = await connect(host)
        chunked = ["Transfer-Encoding: chunked"]
        raw = raw_request("/file/x", "r1", headers=chunked).replace(b"GET", b"PUT", 1)
        writer.write(raw + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        assert (await read_response(reader)).status == 200
        assert made.targets["w1"].runs[0][4] == b"abcde"

    play(scenario)


def test_a_head_that_trickles_gets_its_time_and_no_more():
    async def scenario(host, made):
        reader, writer = await connect(host)
        raw = raw_request("/read/x", "r1")
        for byte in (raw[:20], raw[20:30], raw[30:40]):
            writer.write(byte)
            await asyncio.sleep(0.15)
        assert (await read_response(reader)).status == 408
        assert await reader.read() == b""

    play(scenario)


def test_too_long_heads_and_bodies():
    async def scenario(host, made):
        long = await call(host, "/read/x", "r1", headers=["X-Long: " + "a" * 5000])
        assert long.status == 431
        large = await call(host, "/file/x", "r2", method="POST", body=b"a" * 10001)
        assert large.status == 413
        assert not made.targets["w1"].runs

    play(scenario)


def test_an_idle_connection_is_kept_and_then_closed_without_an_answer():
    async def scenario(host, made):
        reader, writer = await connect(host)
        writer.write(raw_request("/read/x", "r1"))
        assert (await read_response(reader)).status == 200
        await asyncio.sleep(0.9 * 0.8)
        writer.write(raw_request("/read/x", "r2"))
        assert (await read_response(reader)).status == 200
        assert await reader.read() == b""

    play(scenario)


def test_requests_sent_ahead_are_answered_in_order():
    async def scenario(host, made):
        reader, writer = await connect(host)
        writer.write(raw_request("/read/x", "r1") + raw_request("/read/x", "r2"))
        assert (await read_response(reader)).body == b"done r1"
        assert (await read_response(reader)).body == b"done r2"

    play(scenario)


def test_a_caller_that_expects_to_be_asked_is():
    async def scenario(host, made):
        reader, writer = await connect(host)
        expect = ["Expect: 100-continue", "Content-Length: 3"]
        raw = raw_request("/file/x", "r1", headers=expect).replace(b"GET", b"PUT", 1)
        writer.write(raw)
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
        writer.write(b"abc")
        assert (await read_response(reader)).status == 200

    play(scenario)


def test_a_caller_that_leaves_in_a_stream_ends_it():
    async def scenario(host, made):
        worker = made.targets["m1"]
        worker.mode, worker.gap_s, worker.events = "stream", 0.05, 100
        reader, writer = await connect(host)
        writer.write(raw_request("/talk/x", "r1", method="POST", body=b"{}"))
        await reader.readuntil(b"piece 1\n\n\r\n")
        writer.close()
        await wait_until(lambda: not worker.connections)

    play(scenario)


def test_a_caller_that_reads_slowly_holds_its_target_back():
    async def scenario(host, made):
        worker = made.targets["m1"]
        worker.mode = "flood"
        reader, writer = await connect(host)
        writer.transport.pause_reading()
        writer.write(raw_request("/talk/x", "r1", method="POST", body=b"{}"))
        await wait_until(lambda: worker.sent > 0)
        before = -1
        while worker.sent != before:
            before = worker.sent
            await asyncio.sleep(0.2)
        assert worker.sent < 60_000_000
        writer.transport.abort()

    play(scenario)
