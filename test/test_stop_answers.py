"""A stopping host answers all that it accepted, and begins only what can end."""

import asyncio
import os
import signal

from lovagepier.decisions.learning.durations import MIN_SAMPLES
from test.entry_builders import (
    config,
    connect,
    entry_fleet,
    raw_request,
    read_response,
    route,
    wait_until,
)

CUT = "cut"
# What the end of a call may differ by from the time that a test computes.
SLACK_S = 0.35


class Ended:
    """One call: when it was sent and ended, and its status or `CUT`."""

    def __init__(self, request_id, sent_at, ended_at, status):
        self.id = request_id
        self.sent_at = sent_at
        self.ended_at = ended_at
        self.status = status

    def __repr__(self):
        return f"{self.id} {self.sent_at:.2f} {self.ended_at:.2f} {self.status}"


class Stop:
    """What callers and targets saw of a stop; times are in seconds after the signal."""

    def __init__(self, ended, runs, exit_s):
        self.ended = ended
        self.runs = runs
        self.exit_s = exit_s

    def of(self, status):
        """Return the calls that ended so after the signal."""
        return [
            call for call in self.ended if call.status == status and call.ended_at > 0
        ]

    def check(self, grace_s, statuses=(200, 503)):
        """Check what holds for every stop."""
        assert not self.of(CUT), self.of(CUT)
        assert {call.status for call in self.ended} <= set(statuses), self.ended
        refused = {call.id for call in self.ended if call.status == 503}
        assert not refused & set(self.runs)
        assert len(self.runs) == len(set(self.runs))
        assert self.exit_s < grace_s


def config_of(timeout_ms=15000, objective_ms=15000):
    common = {"timeout_ms": timeout_ms, "target_latency_ms": objective_ms}
    once = {**common, "max_attempts": 1}
    return config(
        version=2,
        routes=[
            route("read", "idempotent", "ledger", **common),
            route("file", "non_idempotent", "ledger", **once),
            route("talk", "streaming", "ledger", stream_resume=True, **common),
            route("note", "streaming", "ledger", **once),
        ],
    )


async def _send(host, conn, path, request_id, **options):
    """Send one call; return its status, `CUT`, or None if no host accepts it."""
    if conn[0] is None:
        try:
            conn[0] = await connect(host)
        except OSError:
            return None
    try:
        reader, writer = conn[0]
        writer.write(raw_request(path, request_id, "POST", **options))
        answer = await read_response(reader)
    except (OSError, asyncio.IncompleteReadError):
        _close(conn)
        return CUT
    if answer.headers.get("connection") == "close":
        _close(conn)
    return answer.status if answer.is_complete else CUT


def _close(conn):
    if conn[0] is not None:
        conn[0][1].close()
        conn[0] = None


async def stop_under_load(
    grace_s,
    callers,
    work_s,
    path="/file/x",
    mode="ok",
    warm_s=None,
    objective_ms=15000,
    timeout_ms=15000,
    headers=(),
    slots=1,
    pause_s=0.0,
    during=None,
):
    """Stop a host whose callers send one call after the other; return the `Stop`.

    It has two targets with `slots` places each. After a refusal a caller waits for
    `pause_s`, and stops for 0. `during(host)` is awaited after the signal.
    """
    loop = asyncio.get_running_loop()
    async with entry_fleet(targets=False, shutdown={"grace": f"{grace_s}s"}) as fleet:
        await fleet.store.write("op/config", config_of(timeout_ms, objective_ms))
        for name in ("w1", "w2"):
            target = await fleet.add_target(name, "ledger", slots=slots)
            target.work_s = work_s
            target.mode = mode
        host = fleet.hosts[0]
        await wait_until(lambda: host.view.version == 2 and len(host.view.targets) == 2)
        ended = []
        is_over = asyncio.Event()

        async def call_on(name):
            number = 0
            conn = [None]
            while not is_over.is_set():
                number += 1
                request_id = f"{name}-{number}"
                sent_at = loop.time()
                status = await _send(host, conn, path, request_id, headers=headers)
                if status is None:
                    return
                ended.append(Ended(request_id, sent_at, loop.time(), status))
                if status == 503 and not pause_s:
                    break
                if status != 200:
                    await asyncio.sleep(pause_s)
            _close(conn)

        tasks = [asyncio.create_task(call_on(f"c{n}")) for n in range(callers)]
        if warm_s is None:
            await asyncio.sleep(2.2 * work_s)
            await wait_until(lambda: len(ended) >= MIN_SAMPLES)
        else:
            await asyncio.sleep(warm_s)
        told_at = loop.time()
        host._stopping.set()
        if during is not None:
            await during(host)
        await fleet.tasks[0]
        exit_s = loop.time() - told_at
        # The process ends here, and the system closes what is open.
        is_over.set()
        for conn in list(host.frontend._caller_conns):
            conn._transport.abort()
        for server, _, _ in host.frontend._servers:
            server.close()
        await asyncio.gather(*tasks)
        for call in ended:
            call.sent_at -= told_at
            call.ended_at -= told_at
        runs = [run[0] for target in fleet.targets.values() for run in target.runs]
        return Stop(ended, runs, exit_s)


def stops(*cases):
    """Run stops at the same time; return a `Stop` for each case of keywords."""

    async def run():
        return await asyncio.gather(*(stop_under_load(**case) for case in cases))

    return asyncio.run(run())


def test_calls_that_wait_in_a_stop_are_answered_while_their_callers_have_time():
    cases = [
        {"grace_s": 1.5, "callers": 16, "work_s": 0.6},
        {"grace_s": 1.5, "callers": 40, "work_s": 0.2},
        {"grace_s": 3.0, "callers": 16, "work_s": 0.6},
        {"grace_s": 3.0, "callers": 40, "work_s": 0.6},
    ]
    for case, stop in zip(cases, stops(*cases), strict=True):
        grace_s, work_s = case["grace_s"], case["work_s"]
        stop.check(grace_s)
        # No answer comes later than the last call that could begin; what is sent
        # after that moment is refused at once.
        last_start = grace_s - 0.5 - work_s
        assert stop.of(503)
        for call in stop.of(503):
            assert call.ended_at < max(last_start, call.sent_at) + SLACK_S, call
        # Two targets with one place each work nearly to the end.
        possible = 2 * int((grace_s - 0.5 - SLACK_S) / work_s)
        assert len(stop.of(200)) >= possible - 2, (case, len(stop.of(200)))


def test_what_can_not_begin_in_time_is_refused_at_once():
    cases = [
        # One call at each target lasts longer than the grace.
        {"grace_s": 1.5, "callers": 16, "work_s": 1.3, "warm_s": 3.0},
        # A queue of 38 calls, of which six can begin.
        {"grace_s": 3.0, "callers": 40, "work_s": 0.6, "warm_s": 2.0},
    ]
    long, queued = stops(*cases)
    assert max(call.ended_at for call in long.of(503)) < SLACK_S
    early = [call for call in queued.of(503) if call.ended_at < SLACK_S]
    assert len(early) >= 24, queued.ended


def test_streams_in_a_stop_end_complete_or_are_refused():
    stream = {"mode": "stream", "work_s": 0.5, "headers": ["X-Token-Count: 10,40"]}
    cases = [
        {"grace_s": 1.5, "callers": 16, "path": "/note/x", **stream},
        {"grace_s": 2.5, "callers": 16, "path": "/talk/x", **stream},
        {"grace_s": 2.5, "callers": 40, "path": "/note/x", **stream},
    ]
    for case, stop in zip(cases, stops(*cases), strict=True):
        stop.check(case["grace_s"])


def test_calls_that_last_longer_than_ever_before_get_an_answer_in_a_stop():
    """No figure is known for them: the first ones of their route are running."""
    cases = [
        {"grace_s": 1.5, "callers": 8, "work_s": 4.0, "warm_s": 0.3, "path": path}
        for path in ("/file/x", "/read/x", "/note/x", "/talk/x")
    ]
    for case, stop in zip(cases, stops(*cases), strict=True):
        stop.check(case["grace_s"], (503, 502))
        lost = stop.of(502)
        assert {call.id for call in lost} == set(stop.runs)
        # As late as can be, and early enough to be read.
        assert all(call.ended_at > 0.9 for call in lost), lost
        assert all(call.ended_at < 1.4 for call in stop.ended), stop.ended


def test_callers_that_come_back_during_a_stop_are_answered_at_any_moment():
    cases = [
        {"grace_s": grace_s, "callers": 12, "work_s": work_s, "pause_s": 0.03}
        for grace_s in (1.5, 3.5)
        for work_s in (0.05, 0.7)
    ]
    for case, stop in zip(cases, stops(*cases), strict=True):
        stop.check(case["grace_s"])


def test_a_call_is_begun_just_before_the_last_moment_and_refused_just_after_it():
    async def scenario(after_s):
        async with entry_fleet(targets=False, shutdown={"grace": "2s"}) as fleet:
            await fleet.store.write("op/config", config_of())
            target = await fleet.add_target("w1", "ledger", slots=4)
            target.work_s = 0.5
            host = fleet.hosts[0]
            await wait_until(lambda: host.view.version == 2 and host.view.targets)
            for number in range(4):
                assert await _send(host, [None], "/file/x", f"r{number}") == 200
            host._stopping.set()
            await asyncio.sleep(after_s)
            status = await _send(host, [None], "/file/x", "last")
            return status, "last" in [run[0] for run in target.runs]

    async def run():
        # The stop ends its work 1.5 s after the signal.
        return await asyncio.gather(scenario(0.7), scenario(1.05))

    before, after = asyncio.run(run())
    assert before == (200, True)
    assert after == (503, False)


def test_a_second_signal_changes_nothing():
    async def again(host):
        await asyncio.sleep(0.3)
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(0.3)
        os.kill(os.getpid(), signal.SIGTERM)

    (stop,) = stops({"grace_s": 2.0, "callers": 16, "work_s": 0.4, "during": again})
    stop.check(2.0)
    assert len(stop.of(200)) >= 4


def test_what_a_stopping_coordinator_gives_back_runs_at_another_host():
    async def serve_one(hosts, conns, request_id):
        """Send a call until it is served; return the statuses of its attempts."""
        statuses = []
        while not statuses or statuses[-1] == 503:
            if conns[0] != hosts[0]:
                conns[:] = [hosts[0], [None]]
            attempt = f"{request_id}-{len(statuses)}"
            status = await _send(hosts[0], conns[1], "/file/x", attempt)
            if status is not None:
                statuses.append(status)
            if status != 200:
                hosts.append(hosts.pop(0))
                await asyncio.sleep(0.05)
        return statuses

    async def run():
        async with entry_fleet(hosts=2, targets=False, shutdown={"grace": "2s"}) as f:
            await f.store.write("op/config", config_of())
            for name in ("w1", "w2"):
                target = await f.add_target(name, "ledger", slots=1)
                target.work_s = 0.3
            first, second = f.hosts
            await wait_until(
                lambda: all(
                    host.view.version == 2
                    and len(host.view.targets) == 2
                    and len(host.cluster.live_hosts()) == 2
                    and host.cluster.coordinator_name == "n1"
                    for host in f.hosts
                )
            )
            seen = []

            async def call_on(name):
                hosts, conns = [first, second], [None, [None]]
                for number in range(4):
                    seen.append(await serve_one(hosts, conns, f"{name}-{number}"))

            callers = [asyncio.create_task(call_on(f"c{n}")) for n in range(12)]
            await asyncio.sleep(1.2)
            first._stopping.set()
            await f.tasks[0]
            for conn in list(first.frontend._caller_conns):
                conn._transport.abort()
            for server, _, _ in first.frontend._servers:
                server.close()
            await asyncio.gather(*callers)
            runs = [run[0] for target in f.targets.values() for run in target.runs]
            return seen, runs

    statuses, runs = asyncio.run(run())
    assert len(statuses) == 48
    assert {each[-1] for each in statuses} == {200}
    assert {status for each in statuses for status in each} == {200, 503}
    assert max(map(len, statuses)) <= 3
    # Each call ran once, whatever was refused before.
    assert len(runs) == len(set(runs)) == 48


def test_a_request_that_is_not_read_whole_at_the_end_is_refused():
    async def run():
        async with entry_fleet(shutdown={"grace": "1.5s"}) as fleet:
            host = fleet.hosts[0]
            raw = config_of()
            raw["limits"]["header_timeout_ms"] = 5000
            await fleet.store.write("op/config", raw)
            await wait_until(lambda: host.view.version == 2)
            host._stopping.set()
            await asyncio.sleep(0.3)
            reader, writer = await connect(host)
            body = b"a" * 50
            whole = raw_request("/file/x", "r1", "POST", body=body)
            writer.write(whole[:-10])
            answer = await read_response(reader)
            await fleet.tasks[0]
            writer.close()
            return answer, fleet.targets["w1"].runs

    answer, runs = asyncio.run(run())
    assert (answer.status, answer.headers["connection"]) == (503, "close")
    assert not runs
