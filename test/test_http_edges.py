"""Edge cases of HTTP/1.1 on the entry host's connections.

The first two tests show why the entry host does not use cheroot and urllib3; see
docs/PLATFORM.md.
"""

import asyncio
import socket
import threading

import urllib3

from lovagepier.entry._targets.pool import MAX_IDLE_PER_TARGET
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


def test_cheroot_does_not_report_that_a_caller_has_disconnected():
    started, closed, log = threading.Event(), threading.Event(), []

    def handle(request):
        started.set()
        closed.wait(5)
        log.append("ran to its end")
        return Response(200, [], [b"late"])

    server = WebServer(("127.0.0.1", 0), handle, 2, "", "")
    server.bind()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    sock = socket.create_connection(("127.0.0.1", server.port))
    sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    assert started.wait(5)
    sock.close()
    closed.set()
    server.stop()
    assert log == ["ran to its end"]


def test_urllib3_accepts_a_response_to_another_request():
    async def run():
        target = await TargetStandin("w1", "s").start()
        target.mode = "late_extra"
        pool = urllib3.HTTPConnectionPool("127.0.0.1", target.port, retries=False)
        headers = {"X-Request-Id": "r1", "X-Expect-Instance": "w1"}
        resp = await asyncio.to_thread(pool.request, "GET", "/", headers=headers)
        pool.close()
        await target.stop()
        return resp.data

    assert asyncio.run(run()) == b"of another"


def run_scenario(scenario, **options):
    async def run():
        async with entry_fleet(**options) as fleet:
            await scenario(fleet.hosts[0], fleet)

    asyncio.run(run())


SMUGGLED = b"GET /read/evil HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: evil\r\n\r\n"


def test_a_body_with_two_framings_is_rejected_and_nothing_is_smuggled():
    async def scenario(host, fleet):
        reader, writer = await connect(host)
        both = ["Transfer-Encoding: chunked", f"Content-Length: {len(SMUGGLED) + 5}"]
        writer.write(
            raw_request("/read/x", "r1", headers=both) + b"0\r\n\r\n" + SMUGGLED
        )
        resp = await read_response(reader)
        assert resp.status == 400
        assert await reader.read() == b""
        assert not fleet.targets["w1"].runs

    run_scenario(scenario)


def test_a_malformed_chunk_is_rejected():
    async def scenario(host, fleet):
        reader, writer = await connect(host)
        chunked = ["Transfer-Encoding: chunked"]
        writer.write(raw_request("/read/x", "r1", headers=chunked) + b"zz\r\nabc\r\n")
        assert (await read_response(reader)).status == 400
        assert not fleet.targets["w1"].runs

    run_scenario(scenario)


def test_a_chunked_body_arrives_complete():
    async def scenario(host, fleet):
        reader, writer = await connect(host)
        chunked = ["Transfer-Encoding: chunked"]
        raw = raw_request("/file/x", "r1", headers=chunked).replace(b"GET", b"PUT", 1)
        writer.write(raw + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        assert (await read_response(reader)).status == 200
        assert fleet.targets["w1"].runs[0][4] == b"abcde"

    run_scenario(scenario)


def test_a_slow_head_times_out():
    async def scenario(host, fleet):
        reader, writer = await connect(host)
        raw = raw_request("/read/x", "r1")
        # Together the pieces take longer than the header timeout of 0.4 s.
        for piece in (raw[:20], raw[20:30], raw[30:40]):
            writer.write(piece)
            await asyncio.sleep(0.15)
        assert (await read_response(reader)).status == 408
        assert await reader.read() == b""

    run_scenario(scenario)


def test_too_long_heads_and_bodies_are_rejected():
    async def scenario(host, fleet):
        long = await call(host, "/read/x", "r1", headers=["X-Long: " + "a" * 5000])
        assert long.status == 431
        large = await call(host, "/file/x", "r2", method="POST", body=b"a" * 10001)
        assert large.status == 413
        assert not fleet.targets["w1"].runs

    run_scenario(scenario)


def test_an_idle_connection_is_reused_and_closed_after_the_idle_timeout():
    async def scenario(host, fleet):
        reader, writer = await connect(host)
        writer.write(raw_request("/read/x", "r1"))
        assert (await read_response(reader)).status == 200
        # Less than the idle timeout of 0.9 s.
        await asyncio.sleep(0.9 * 0.8)
        writer.write(raw_request("/read/x", "r2"))
        assert (await read_response(reader)).status == 200
        assert await reader.read() == b""

    run_scenario(scenario)


def test_pipelined_requests_are_answered_in_order():
    async def scenario(host, fleet):
        reader, writer = await connect(host)
        writer.write(raw_request("/read/x", "r1") + raw_request("/read/x", "r2"))
        assert (await read_response(reader)).body == b"done r1"
        assert (await read_response(reader)).body == b"done r2"

    run_scenario(scenario)


def test_a_caller_that_expects_100_continue_gets_it():
    async def scenario(host, fleet):
        reader, writer = await connect(host)
        expect = ["Expect: 100-continue", "Content-Length: 3"]
        raw = raw_request("/file/x", "r1", headers=expect).replace(b"GET", b"PUT", 1)
        writer.write(raw)
        assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
        writer.write(b"abc")
        assert (await read_response(reader)).status == 200

    run_scenario(scenario)


def test_a_disconnect_during_a_stream_ends_the_targets_work():
    async def scenario(host, fleet):
        target = fleet.targets["m1"]
        target.mode, target.gap_s, target.events = "stream", 0.05, 100
        reader, writer = await connect(host)
        writer.write(raw_request("/talk/x", "r1", method="POST", body=b"{}"))
        await reader.readuntil(b"piece 1\n\n\r\n")
        writer.close()
        await wait_until(lambda: not target.connections)

    run_scenario(scenario)


def test_a_slow_caller_slows_down_its_target():
    async def scenario(host, fleet):
        target = fleet.targets["m1"]
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
        writer.transport.abort()

    run_scenario(scenario)


def test_a_host_keeps_few_idle_connections_to_a_target():
    """Calls that may run once open one each, which nothing reuses."""

    async def run():
        async with entry_fleet() as fleet:
            target = fleet.targets["w1"]
            host = fleet.hosts[0]
            for number in range(12):
                answer = await call(
                    host, "/file/x", f"r{number}", method="POST", body=b"1"
                )
                assert answer.status == 200
            await wait_until(lambda: len(target.connections) <= MAX_IDLE_PER_TARGET)
            answer = await call(host, "/read/x", "again")
            assert answer.status == 200
            assert host.frontend.target_connections.opened == 12

    asyncio.run(run())


def test_a_second_copy_without_an_id_is_not_taken_for_the_next_answer():
    """A target sends a copy of an earlier response on a connection in use again."""

    async def run():
        async with entry_fleet() as fleet:
            host, target = fleet.hosts[0], fleet.targets["w1"]
            assert (await call(host, "/read/x", "r1")).body == b"done r1"
            target.mode = "unnamed_extra"
            second = await fleet.add_target("w2", "ledger")
            await wait_until(lambda: host.view.target("w2"))
            for number in range(2, 6):
                answer = await call(host, "/read/x", f"r{number}")
                assert answer.status == 200
                assert answer.body == b"done r%d" % number
                target.mode = "ok"
            # The answer was ready behind the copy: no request ran a second time.
            assert len(target.runs) + len(second.runs) == 5
            assert len(target.connections) <= MAX_IDLE_PER_TARGET

    asyncio.run(run())


def test_a_stop_under_load_answers_every_request_that_it_accepted():
    """Callers send on new and on kept connections until the host is gone."""

    async def run():
        async with entry_fleet() as fleet:
            host = fleet.hosts[0]
            fleet.targets["w1"].work_s = 0.02
            cut, answered = [], []

            async def send_until_refused(name, kept):
                number = 0
                while True:
                    try:
                        reader, writer = await connect(host)
                    except OSError:
                        return
                    while True:
                        number += 1
                        request_id = f"{name}-{number}"
                        try:
                            writer.write(raw_request("/file/x", request_id, "POST"))
                            answer = await read_response(reader)
                        except (OSError, asyncio.IncompleteReadError):
                            cut.append(request_id)
                            break
                        answered.append(answer.status)
                        if not kept or answer.headers.get("connection") == "close":
                            break
                    writer.close()

            callers = [
                asyncio.create_task(send_until_refused(f"c{n}", n % 2))
                for n in range(6)
            ]
            await wait_until(lambda: len(answered) > 20)
            host._stopping.set()
            await fleet.tasks[0]
            await asyncio.gather(*callers)
            runs = [run[0] for run in fleet.targets["w1"].runs]
            assert not set(cut) & set(runs)
            assert not cut
            assert set(answered) <= {200, 503}

    asyncio.run(run())
