"""Responses that are not the caller's: unnamed, repeated, or inside another's body.

The targets write bytes of their own choice; entry hosts and callers are as always.
"""

import asyncio

import pytest

from lovagepier.entry._targets.conn import TargetConnection
from test.entry_builders import (
    Response,
    connect,
    entry_fleet,
    raw_request,
)
from test.stuttering_target import (
    DELIMITED,
    KINDS,
    NOT_RUN,
    PAUSE_S,
    Turn,
    add_stuttering,
    check_truth,
    failure_body,
    marks,
    plain,
    refusal,
    response,
    send,
    stream_body,
    whole,
    whole_body,
)

ROUTES = {"read": "ledger", "file": "ledger", "talk": "model", "note": "model"}


def run_scenario(scenario, route="read", **options):
    """Run `scenario(host, target)` with one target of the route's service."""

    async def run():
        async with entry_fleet(targets=False, **options) as fleet:
            target = await add_stuttering(fleet, "w1", ROUTES[route])
            async with asyncio.timeout(30):
                await scenario(fleet.hosts[0], target)

    asyncio.run(run())


# Responses without an id


@pytest.mark.parametrize("route", ["read", "file"])
@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("kind", ["whole", "failure", "refusal"])
def test_an_unnamed_response_is_not_taken_for_the_callers(route, framing, kind):
    async def scenario(host, target):
        stray = KINDS[kind](None, framing, "another")
        target.plan = lambda rid, conn: plain(rid, before=(stray, b""))
        answer = await send(host, f"/{route}/x", "r1", b"1")
        check_truth(answer, "r1", "r1" in target.runs)
        assert (answer.status, answer.body) == (200, whole_body("r1"))

    run_scenario(scenario, route)


@pytest.mark.parametrize("route", ["read", "file"])
def test_an_unnamed_refusal_proves_nothing(route):
    async def scenario(host, target):
        stray = refusal(None)
        target.plan = lambda rid, conn: Turn(stray, ends="close")
        answer = await send(host, f"/{route}/x", "r1", b"1")
        assert answer.status not in NOT_RUN
        assert answer.status != 200

    run_scenario(scenario, route)


@pytest.mark.parametrize("named", [None, "other"])
def test_a_stray_refusal_sends_no_call_to_a_second_target(named):
    async def run():
        async with entry_fleet(targets=False) as fleet:
            targets = [await add_stuttering(fleet, name) for name in ("w1", "w2")]
            for target in targets:
                target.plan = lambda rid, conn: plain(rid, before=(refusal(named), b""))
            for number in range(4):
                answer = await send(fleet.hosts[0], "/file/x", f"r{number}", b"1")
                assert (answer.status, answer.body) == (200, whole_body(f"r{number}"))
            runs = [rid for target in targets for rid in target.runs]
            assert sorted(runs) == ["r0", "r1", "r2", "r3"]

    asyncio.run(run())


@pytest.mark.parametrize("delay_s", [0.0, 0.001, 0.005])
@pytest.mark.parametrize("kind", ["whole", "refusal"])
@pytest.mark.parametrize("named", [None, "other"])
def test_a_response_before_the_request_is_no_answer(named, kind, delay_s):
    """It is written as soon as the connection is accepted."""

    async def scenario(host, target):
        target.on_accept = KINDS[kind](named, "length", "early")
        target.accept_s = delay_s
        for number in range(5):
            before = len(target.runs)
            answer = await send(host, "/file/x", f"r{number}", b"1")
            check_truth(answer, f"r{number}", len(target.runs) > before)

    run_scenario(scenario, "file")


# Bodies that end with the connection


@pytest.mark.parametrize("framing", ["none", "http10"])
@pytest.mark.parametrize("place", ["joined", "after"])
@pytest.mark.parametrize("route", ["read", "file", "talk", "note"])
def test_a_repeated_answer_is_not_read_into_the_body(route, place, framing):
    kind = "whole" if route in ("read", "file") else "stream"
    own_body = whole_body("r1") if kind == "whole" else stream_body("r1")

    async def scenario(host, target):
        def plan(rid, conn):
            copy = KINDS[kind](rid, framing)
            parts = {"joined": copy} if place == "joined" else {"after": (copy,)}
            return plain(rid, kind, framing, **parts)

        target.plan = plan
        answer = await send(host, f"/{route}/x", "r1", b"1")
        # Both say the same, so the answer is known and whole.
        assert (answer.status, answer.is_complete) == (200, True)
        assert answer.body == own_body
        assert target.runs == ["r1"]

    run_scenario(scenario, route)


@pytest.mark.parametrize("framing", ["none", "http10"])
@pytest.mark.parametrize("named", [None, "other", True])
@pytest.mark.parametrize("kind", ["whole", "refusal", "failure", "stream"])
@pytest.mark.parametrize("route", ["file", "note"])
def test_another_answer_is_not_read_into_the_body(route, kind, named, framing):
    async def scenario(host, target):
        def plan(rid, conn):
            bears = {None: None, "other": "other", True: rid}[named]
            other = KINDS[kind](bears, framing, "another")
            first = "whole" if route == "file" else "stream"
            return plain(rid, first, framing, after=(other,))

        target.plan = plan
        answer = await send(host, f"/{route}/x", "r1", b"1")
        check_truth(answer, "r1", "r1" in target.runs)
        assert answer is None or answer.status not in NOT_RUN

    run_scenario(scenario, route)


@pytest.mark.parametrize("length", [7, 12, 30, 90])
@pytest.mark.parametrize("route", ["file", "note"])
def test_a_part_of_a_repeated_answer_is_not_read_into_the_body(route, length):
    async def scenario(host, target):
        kind = "whole" if route == "file" else "stream"

        def plan(rid, conn):
            copy = KINDS[kind](rid, "none")[:length]
            return plain(rid, kind, "none", after=(copy,))

        target.plan = plan
        check_truth(
            await send(host, f"/{route}/x", "r1", b"1"), "r1", "r1" in target.runs
        )

    run_scenario(scenario, route)


def test_a_body_that_speaks_of_http_is_passed_on_whole():
    text = (
        b"A reply begins with HTTP/1.1 200 OK and goes on:\r\n\r\n"
        b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\nHTTP/1.1 or HTTP/2?\n"
    )

    async def scenario(host, target):
        target.plan = lambda rid, conn: Turn(
            response(200, text, marks(rid), "none"), ends="close"
        )
        answer = await send(host, "/file/x", "r1", b"1")
        assert (answer.status, answer.body) == (200, text)

    run_scenario(scenario, "file")


@pytest.mark.parametrize("text", [b"", b"H", b"by HTTP", b"\r\n", b"HTTP/2.0 200\r\n"])
def test_a_body_that_ends_like_the_start_of_a_response_is_passed_on(text):
    async def scenario(host, target):
        raw = response(200, text, marks("r1"), "none")
        target.plan = lambda rid, conn: Turn(raw, ends="close")
        answer = await send(host, "/file/x", "r1", b"1")
        assert (answer.status, answer.body) == (200, text)

    run_scenario(scenario, "file")


def test_an_answer_with_a_length_is_whole_or_lost_if_a_reset_follows():
    async def scenario(host, target):
        target.plan = lambda rid, conn: Turn(whole(rid), ends="reset")
        for number in range(20):
            answer = await send(host, "/file/x", f"r{number}", b"1")
            check_truth(answer, f"r{number}", True)

    run_scenario(scenario, "file")


def test_an_unframed_answer_that_is_reset_is_not_complete():
    async def scenario(host, target):
        target.plan = lambda rid, conn: Turn(
            whole(rid, "none"), after=(b"",), ends="reset"
        )
        answer = await send(host, "/file/x", "r1", b"1")
        assert answer.status == 502

    run_scenario(scenario, "file")


# One id twice on one connection


@pytest.mark.parametrize("kind", ["refusal", "failure"])
def test_an_earlier_answer_is_not_taken_for_that_to_a_second_attempt(kind):
    """The caller repeats its request; the target writes its first answer once more."""

    async def scenario(host, target):
        def plan(rid, conn):
            if not target.arrivals:
                target.arrivals.append(rid)
                return plain(rid, kind, executes=False)
            return plain(rid, before=(*conn.written, b""))

        target.plan = plan
        first = await send(host, "/read/x", "again")
        assert first.status == (503 if kind == "refusal" else 500)
        second = await send(host, "/read/x", "again")
        assert "again" in target.runs
        assert second.status == 200
        assert second.body == whole_body("again")

    run_scenario(scenario)


def test_a_connection_carries_an_id_once():
    async def scenario(host, target):
        seen = {}

        def plan(rid, conn):
            assert rid not in seen.setdefault(conn.number, set())
            seen[conn.number].add(rid)
            return plain(rid)

        target.plan = plan
        for rid in ("r1", "r1", "r2", "r1"):
            assert (await send(host, "/read/x", rid)).status == 200
        # Other ids still share connections.
        assert len(seen) <= 3

    run_scenario(scenario)


# The framing of responses that are skipped


@pytest.mark.parametrize("named", [None, "other"])
@pytest.mark.parametrize("framing", ["none", "http10"])
@pytest.mark.parametrize("kind", ["whole", "refusal"])
def test_a_skipped_response_without_a_length_ends_the_attempt_at_once(
    kind, framing, named
):
    async def scenario(host, target):
        stray = KINDS[kind](named, framing, "other")
        target.plan = lambda rid, conn: plain(rid, before=(stray, b""))
        loop = asyncio.get_running_loop()
        began = loop.time()
        answer = await send(host, "/file/x", "r1", b"1")
        check_truth(answer, "r1", "r1" in target.runs)
        assert answer.status not in NOT_RUN
        # The route's timeout is 3 s; the target keeps the connection open.
        assert loop.time() - began < 1.0

    run_scenario(scenario, "file")


def test_an_answer_behind_a_stray_one_is_read_though_the_connection_has_ended():
    """The host reads both responses and the end of the connection at one time."""

    async def run():
        conn = TargetConnection()
        conn.connection_made(_SilentTransport())
        conn.send(b"GET", b"/", [(b"host", b"x")], b"")
        conn.data_received(whole("other") + whole("r1", "none"))
        conn.eof_received()
        conn.connection_lost(None)
        assert (await conn.read_head("r1")).status == 200
        assert await conn.read_body() == whole_body("r1")

    asyncio.run(run())


class _SilentTransport(asyncio.Transport):
    def write(self, data):
        pass


def test_a_copy_for_head_is_not_framed_by_another_method():
    async def scenario(host, target):
        def plan(rid, conn):
            if rid == "head":
                head = response(200, b"12345", marks(rid)).removesuffix(b"12345")
                return Turn(head)
            copies = tuple(conn.written)
            return plain(rid, before=(*copies, b"") if copies else ())

        target.plan = plan
        reader, writer = await connect(host)
        writer.write(raw_request("/read/x", "head", method="HEAD"))
        await reader.readuntil(b"\r\n\r\n")
        writer.close()
        loop = asyncio.get_running_loop()
        began = loop.time()
        answer = await send(host, "/read/x", "r2")
        check_truth(answer, "r2", "r2" in target.runs)
        assert loop.time() - began < 1.0
        assert answer.status == 200

    run_scenario(scenario)


# Marks that contradict each other


@pytest.mark.parametrize(
    "lines",
    [
        ["X-Request-Id: r1", "X-Request-Id: other"],
        ["X-Request-Id: other", "X-Request-Id: r1"],
        ["X-Request-Id: R1"],
        ["X-Request-Id: r1, r1"],
    ],
)
def test_a_response_that_names_several_requests_belongs_to_none(lines):
    async def scenario(host, target):
        stray = response(200, b"of another", [*lines, "X-Server-Seal: s.w1"])
        target.plan = lambda rid, conn: plain(rid, before=(stray, b""))
        answer = await send(host, "/file/x", "r1", b"1")
        assert (answer.status, answer.body) == (200, whole_body("r1"))

    run_scenario(scenario, "file")


def test_an_id_with_spaces_around_it_names_the_request():
    async def scenario(host, target):
        body = whole_body("r1")
        lines = ["X-Request-Id: \t r1 ", "X-Server-Seal: s.w1"]
        target.plan = lambda rid, conn: Turn(response(200, body, lines))
        assert (await send(host, "/file/x", "r1", b"1")).status == 200

    run_scenario(scenario, "file")


@pytest.mark.parametrize(
    "lines",
    [
        ["Content-Length: 7", "Content-Length: 3"],
        ["Content-Length: 7, 3"],
        ["Content-Length: 7", "Transfer-Encoding: chunked"],
        ["Transfer-Encoding: gzip"],
        ["X-Server-Seal: s.w2", "Content-Length: 7"],
    ],
)
def test_a_success_whose_marks_contradict_each_other_is_not_passed_on(lines):
    async def scenario(host, target):
        raw = response(200, b"", [*marks("r1"), *lines], "none") + whole_body("r1")
        target.plan = lambda rid, conn: Turn(raw, ends="close")
        answer = await send(host, "/file/x", "r1", b"1")
        assert answer.status == 502

    run_scenario(scenario, "file")


def test_interim_responses_with_an_id_are_no_answer():
    async def scenario(host, target):
        interim = b"HTTP/1.1 103 Early Hints\r\nX-Request-Id: r1\r\n"
        interim += b"X-Not-Executed: 1\r\nX-Server-Seal: s.w1\r\n\r\n"
        target.plan = lambda rid, conn: plain(rid, before=(interim, b""))
        answer = await send(host, "/file/x", "r1", b"1")
        assert (answer.status, answer.body) == (200, whole_body("r1"))

    run_scenario(scenario, "file")


@pytest.mark.parametrize("status", [204, 304])
def test_a_body_of_a_status_without_one_is_no_answer_to_the_next(status):
    async def scenario(host, target):
        def plan(rid, conn):
            if rid == "r1":
                return Turn(response(status, whole("r2"), marks(rid), "none"))
            return plain(rid)

        target.plan = plan
        answer = await send(host, "/read/x", "r1")
        assert (answer.status, answer.body) == (status, b"")
        answer = await send(host, "/read/x", "r2")
        assert (answer.status, answer.body) == (200, whole_body("r2"))
        assert target.runs == ["r1", "r2"]

    run_scenario(scenario)


# The matrix: a first answer, a copy of it, and a second request

PLACES = ("joined", "idle", "early", "before", "after")
FIRST_ANSWERS = [
    *((kind, framing) for kind in KINDS for framing in ("length", "none")),
    ("whole", "chunks"),
    ("whole", "http10"),
]
BODY = b"1" * 5000


@pytest.mark.parametrize("connection", ["kept", "fresh", "checked"])
@pytest.mark.parametrize(("kind", "framing"), FIRST_ANSWERS)
def test_a_copy_of_an_answer_reaches_no_other_caller(kind, framing, connection):
    """A copy comes in one segment with the answer, while the connection is idle, while
    the body of the next request is written, ahead of its answer or after it.

    With fresh connections each request may run once only; a checked one has been
    opened by a check of the target before.
    """

    async def run():
        cases = [
            _play_copy(kind, framing, connection, place, bears)
            for place in PLACES
            for bears in ("r1", None, "other")
        ]
        await asyncio.gather(*cases)

    asyncio.run(run())


async def _play_copy(kind, framing, connection, place, bears):
    is_stream = kind == "stream"
    names = ("talk", "note") if is_stream else ("read", "file")
    path = f"/{names[connection == 'fresh']}/x"
    copy = KINDS[kind](bears, framing, "r1")

    def plan(rid, conn):
        parts = {}
        if rid == "r1" and place in ("joined", "idle"):
            parts = {"joined": copy} if place == "joined" else {"after": (copy,)}
        if rid == "r2" and place in ("early", "before"):
            parts = {place: (copy, b"")}
        if rid == "r2" and place == "after":
            parts = {"after": (copy,)}
        if rid == "r1":
            return plain(rid, kind, framing, **parts)
        return plain(rid, "stream" if is_stream else "whole", **parts)

    async with entry_fleet(targets=False) as fleet:
        target = await add_stuttering(fleet, "w1", ROUTES[names[0]], plan)
        host = fleet.hosts[0]
        if connection == "checked":
            await _check_target(host)
        first = await send(host, path, "r1", BODY)
        check_truth(first, "r1", "r1" in target.runs)
        if place == "idle":
            await asyncio.sleep(3 * PAUSE_S)
        second = await send(host, path, "r2", BODY)
        check_truth(second, "r2", "r2" in target.runs)
        # A copy with a detectable end costs no caller its answer.
        if framing in DELIMITED or place in ("joined", "idle", "after"):
            case = (place, bears, first.status)
            assert (case, second.status, second.is_complete) == (case, 200, True)
        assert target.runs.count("r2") <= 1


async def _check_target(host):
    """Make the host keep an idle connection that has carried nothing."""
    checked = asyncio.Event()
    host.frontend.target_checks.start(
        host.view.target("w1"), lambda is_broken: checked.set()
    )
    await checked.wait()


def test_the_truth_check_fails_for_answers_of_another_request():
    def make_answer(status, body, **headers):
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        return Response(status, headers, body, True)

    own = {"x_request_id": "r1", "x_server_seal": "s.w1"}
    check_truth(make_answer(200, whole_body("r1"), **own), "r1", True)
    for wrong in (
        make_answer(200, whole_body("r2"), **own),
        make_answer(200, whole_body("r1") + whole("r1"), **own),
        make_answer(200, stream_body("r1")[:-1], **own),
        make_answer(200, whole_body("r1"), x_request_id="r1"),
        make_answer(503, b""),
        make_answer(502, failure_body("r1"), x_server_seal="s.w1"),
        make_answer(500, failure_body("r2"), **own),
    ):
        with pytest.raises(AssertionError):
            check_truth(wrong, "r1", True)
