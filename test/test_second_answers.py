"""A first answer that is cut anywhere, with a second one behind it.

The caller sees the first one as it was made, a part of it that is visibly cut, or an
honest failure: never bytes of both as one answer.
"""

import asyncio
import time

import pytest

from lovagepier.entry._targets.conn import SETTLE_TIMEOUT_S
from test.entry_builders import entry_fleet
from test.stream_targets import (
    LAST_CHUNK,
    Answer,
    StreamTargets,
    ask,
    chunk,
    head,
    piece,
)
from test.stuttering_target import Turn, add_stuttering, send

SEAL = "s.of-a-target"
OTHER_SEAL = "s.of-another"
BODIES = {
    "whole": b"done, in words of some length",
    "stream": b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in (1, 2, 3)),
    "failure": b"it failed",
    "refusal": b"full",
}
STATUSES = {"whole": 200, "stream": 200, "failure": 500, "refusal": 503}
FRAMINGS = ("length", "chunks", "none", "http10")
SECONDS = ("the same", "another's", "a failure", "a refusal", "an interim one")
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
# Statuses that state that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)


def answer_bytes(kind, framing, request_id, seal=SEAL, body=None, marks_last=True):
    """Return the bytes of an answer; "http10" has a length, "none" has none.

    A chunked body has two chunks.
    """
    body = BODIES[kind] if body is None else body
    version = "1.0" if framing == "http10" else "1.1"
    marks = [f"X-Request-Id: {request_id}", f"X-Server-Seal: {seal}"]
    if kind == "refusal":
        marks[1] = "X-Not-Executed: 1"
    own = [f"Content-Type: text/{'event-stream' if kind == 'stream' else 'plain'}"]
    if framing == "chunks":
        own.append("Transfer-Encoding: chunked")
    elif framing != "none":
        own.append(f"Content-Length: {len(body)}")
    lines = [*own, *marks] if marks_last else [*marks, *own]
    if framing == "chunks":
        parts = [part for part in (body[:20], body[20:]) if part]
        body = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
        body += b"0\r\n\r\n"
    top = "\r\n".join([f"HTTP/{version} {STATUSES[kind]} X", *lines])
    return top.encode() + b"\r\n\r\n" + body


def seconds_after(kind, framing, request_id):
    """Return the second answers to play after one of a kind, by name."""
    return {
        "the same": answer_bytes(kind, framing, request_id),
        "another's": answer_bytes(kind, framing, "other", OTHER_SEAL),
        "a failure": answer_bytes("failure", "length", request_id),
        "a refusal": answer_bytes("refusal", "length", request_id),
        "an interim one": INTERIM + answer_bytes(kind, framing, request_id),
    }


class Calls:
    """Sends calls that may run once to targets that play raw bytes."""

    def __init__(self, fleet):
        self._host = fleet.hosts[0]
        self._targets = {
            "file": StreamTargets(fleet, "ledger"),
            "note": StreamTargets(fleet, "model"),
        }
        self._left = {"file": 0, "note": 0}
        self._count = 0

    async def play(self, route, make, end="fin"):
        """Return (the request's id, what its caller has seen of `make(id)`'s parts)."""
        for _ in range(3):
            targets = self._targets[route]
            if not self._left[route]:
                await targets.renew(12)
                self._left[route] = 24
            self._left[route] -= 1
            self._count += 1
            request_id = f"r{self._count}"
            targets.play(Answer(*make(request_id), end=end))
            # A body of its own: failures of one call say nothing of the next.
            seen = await ask(
                self._host,
                f"/{route}/x",
                request_id,
                headers=["X-Deadline-Ms: 2000"],
                body=b"call %d" % self._count,
                settle=0.002,
            )
            if targets.asked:
                return request_id, seen
            self._left[route] = 0
        raise AssertionError("no target was asked")


@pytest.fixture(scope="module")
def runner():
    with asyncio.Runner() as made:
        yield made


@pytest.fixture(scope="module")
def calls(runner):
    fleets = entry_fleet(targets=False)
    fleet = runner.run(fleets.__aenter__())
    yield Calls(fleet)
    runner.run(fleets.__aexit__(None, None, None))


def route_of(kind):
    return "note" if kind == "stream" else "file"


def fault(seen, kind, request_id, own_body=None):
    """Return what is wrong with what a caller saw of an answer of a kind, or None."""
    own_body = BODIES[kind] if own_body is None else own_body
    if seen.extra:
        return f"bytes after the response: {seen.extra[:60]!r}"
    if not seen.status:
        return None
    seal = seen.headers.get("x-server-seal")
    if seen.status != STATUSES[kind]:
        if seen.status in NOT_RUN:
            return f"status {seen.status}"
        return f"{seen.status} with {seen.body[:60]!r}" if seen.body or seal else None
    if (seal, seen.headers.get("x-request-id")) != (SEAL, request_id):
        return f"marks {seal}"
    if kind == "stream" and not seen.is_complete:
        is_prefix = own_body.startswith(seen.body) and (
            not seen.body or seen.body.endswith(b"\n\n")
        )
        return None if is_prefix else f"cut after {seen.body[:90]!r}"
    if not seen.is_complete:
        return None
    return None if seen.body == own_body else f"complete: {seen.body[:90]!r}"


def cut_offsets(first):
    """Return where to cut an answer: anywhere behind its first byte."""
    return range(1, len(first) + 1)


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("kind", ["whole", "stream", "failure"])
@pytest.mark.parametrize("second", SECONDS)
def test_a_second_answer_behind_a_cut_one_is_not_read_as_its_rest(
    runner, calls, kind, framing, second
):
    async def scenario():
        wrong = {}
        for cut in cut_offsets(answer_bytes(kind, framing, "r1000")):

            def make(request_id, cut=cut):
                first = answer_bytes(kind, framing, request_id)
                behind = seconds_after(kind, framing, request_id)[second]
                return (first[:cut] + behind,)

            request_id, seen = await calls.play(route_of(kind), make)
            found = fault(seen, kind, request_id)
            if found is not None:
                wrong[cut] = found
        assert wrong == {}

    runner.run(scenario())


@pytest.mark.parametrize("kind", ["whole", "stream", "failure"])
def test_a_second_answer_that_comes_in_parts_is_not_read_as_the_rest(
    runner, calls, kind
):
    """Its first part ends where the body of the first answer seems to end."""

    async def play(missing):
        """Return (what is wrong, or None; the seconds between the two parts)."""
        sent_at = []

        def make(request_id):
            def timed(part):
                sent_at.append(time.monotonic())
                return part

            first = answer_bytes(kind, "length", request_id)
            behind = answer_bytes(kind, "length", request_id)
            begin = first[:-missing] + behind[:missing]
            return (
                lambda _: timed(begin),
                0.01,
                lambda _: timed(behind[missing:]),
            )

        request_id, seen = await calls.play(route_of(kind), make)
        return fault(seen, kind, request_id), sent_at[-1] - sent_at[0]

    async def scenario():
        wrong = {}
        for missing in range(1, len(BODIES[kind]) + 1):
            for _ in range(5):
                found, seconds = await play(missing)
                # A host waits no longer, and this loop may have been late.
                if found is None or seconds < SETTLE_TIMEOUT_S:
                    break
            if found is not None:
                wrong[missing] = found, seconds
        assert wrong == {}

    runner.run(scenario())


@pytest.mark.parametrize("kind", ["whole", "stream"])
def test_a_second_answer_as_chunks_of_the_first_is_not_read_as_its_rest(
    runner, calls, kind
):
    """The chunk that is cut ends with the second one's head, whose chunks go on."""

    async def scenario():
        wrong = {}
        for kept in range(len(BODIES[kind])):
            for less in (0, 2):

                def make(request_id, kept=kept, less=less):
                    first = answer_bytes(kind, "chunks", request_id)
                    top = first[: first.index(b"\r\n\r\n") + 4]
                    behind = answer_bytes(kind, "chunks", request_id)
                    swallowed = behind.index(b"\r\n\r\n") + 2 - less
                    size = b"%x\r\n" % (kept + swallowed)
                    return (top + size + BODIES[kind][:kept] + behind,)

                request_id, seen = await calls.play(route_of(kind), make)
                found = fault(seen, kind, request_id)
                if found is not None:
                    wrong[kept, less] = found
        assert wrong == {}

    runner.run(scenario())


@pytest.mark.parametrize("marks_last", [True, False], ids=["marks last", "marks first"])
@pytest.mark.parametrize("status", [b"200", b"503", b"103"])
def test_a_head_made_of_two_is_no_head(runner, calls, status, marks_last):
    """The first head, of any status, is cut; the caller's answer is then lost."""

    async def scenario():
        wrong = {}
        kind = "refusal" if status == b"503" else "whole"
        first = answer_bytes(kind, "length", "r1000", marks_last=marks_last)
        for cut in range(1, first.index(b"\r\n\r\n") + 4):

            def make(request_id, cut=cut):
                first = answer_bytes(
                    kind, "length", request_id, marks_last=marks_last
                ).replace(b" 200 ", b" " + status + b" ")
                return (first[:cut] + answer_bytes("failure", "length", request_id),)

            request_id, seen = await calls.play("file", make)
            if seen.status not in (0, 502):
                wrong[cut] = (seen.status, seen.body)
        assert wrong == {}

    runner.run(scenario())


@pytest.mark.parametrize("kind", ["whole", "failure", "refusal"])
def test_a_head_with_two_seals_proves_nothing(runner, calls, kind):
    async def scenario():
        def make(request_id):
            raw = answer_bytes(kind, "length", request_id)
            seals = f"\r\nX-Server-Seal: {SEAL}\r\nX-Server-Seal: {OTHER_SEAL}"
            return (raw.replace(b" X", b" X" + seals.encode(), 1),)

        _, seen = await calls.play("file", make)
        assert (seen.status, seen.body) == (502, b"")

    runner.run(scenario())


def test_a_refusal_with_another_answer_in_its_body_proves_nothing(runner, calls):
    async def scenario():
        def make(request_id):
            first = answer_bytes("refusal", "length", request_id, body=b"full" * 50)
            return (first[:-100] + answer_bytes("whole", "length", request_id),)

        _, seen = await calls.play("file", make)
        # No second target is asked either.
        assert seen.status == 502

    runner.run(scenario())


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_a_late_answer_to_an_earlier_request_is_not_read_into_a_body(runner, framing):
    """On a kept connection, without a seal: its id shows whose it is."""

    async def scenario():
        async with entry_fleet(targets=False) as fleet:
            target = await add_stuttering(fleet)
            text = b"x" * 400

            def plan(rid, conn):
                raw = answer_bytes("whole", framing, rid, body=text)
                if rid != "r2":
                    return Turn(raw)
                late = answer_bytes("whole", framing, "r1", body=b"late")
                late = late.replace(f"X-Server-Seal: {SEAL}\r\n".encode(), b"")
                return Turn(raw[:-300] + late + raw[-300:], ends="close")

            target.plan = plan
            assert (await send(fleet.hosts[0], "/read/x", "r1")).status == 200
            answer = await send(fleet.hosts[0], "/read/x", "r2")
            assert answer is None or answer.status == 502
            assert target.accepted <= 2

    runner.run(scenario())


# Events of one target out of order

OUT_OF_ORDER = {
    "backwards": (1, 2, 1, 3, 4),
    "again": (1, 2, 2, 3, 4),
    "from the start again": (1, 2, 3, 1, 2, 3, 4),
    "ahead": (1, 2, 4),
    "ahead at once": (1, 4),
    "ahead at the end": (1, 2, 3, 5),
    "exchanged": (1, 3, 2, 4),
}


@pytest.mark.parametrize("joined", [True, False], ids=["one chunk", "chunks"])
@pytest.mark.parametrize("name", OUT_OF_ORDER)
def test_events_out_of_order_within_one_stream_end_it(runner, calls, name, joined):
    async def scenario():
        numbers = OUT_OF_ORDER[name]
        pieces = [piece(number) for number in numbers]
        parts = [b"".join(pieces)] if joined else pieces

        def make(request_id):
            return (head(), *map(chunk, parts), LAST_CHUNK)

        _, seen = await calls.play("note", make)
        assert (seen.status, seen.is_complete) == (200, False)
        # All that came in order has been passed on.
        in_order = next(n for n, each in enumerate(numbers) if each != n + 1)
        assert seen.body == b"".join(pieces[:in_order])

    runner.run(scenario())


# Texts about HTTP

EXAMPLE = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n%s\r\nhello"
TEXTS = {
    "a status line": b"A reply begins with HTTP/1.1 200 OK and goes on.",
    "a head": EXAMPLE % b"",
    "a head with an id of its own": EXAMPLE % b"X-Request-Id: 7f3a\r\n",
    "two heads": EXAMPLE % b"" + b"\n\n" + EXAMPLE % b"",
    "a head at the end": b"As in:\n" + EXAMPLE[:28],
    "a status line at the end": b"As in: HTTP/1.1 404 Not Found",
    "a begun status line at the end": b"As in: HTTP/1.",
    "an H at the end": b"SMITH",
    "names of headers": b"HTTP/1.1 200 is sent.\n\nX-Server-Seal: is a header.\n",
}


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("name", TEXTS)
def test_a_text_about_http_is_passed_on_whole(runner, calls, name, framing):
    async def scenario():
        text = TEXTS[name]

        def make(request_id):
            return (answer_bytes("whole", framing, request_id, body=text),)

        for end in ("keep", "fin"):
            _, seen = await calls.play("file", make, end)
            assert (seen.status, seen.body, seen.is_complete) == (200, text, True)

    runner.run(scenario())


@pytest.mark.parametrize("framing", ["length", "chunks", "none"])
def test_events_about_http_are_passed_on(runner, calls, framing):
    async def scenario():
        body = (
            b"id: 1\ndata: HTTP/1.1 200 OK\n\n"
            b"x-weight-versions: 3\nid: 2\ndata: HTTP/1.1 200 OK\n"
            b"data: X-Server-Seal: one\ndata:\n: HTTP/1.1 200 OK\nretry: 10\n\n"
            b"x-other: 1\nid: 3\nevent: end\ndata: HTTP/1.1 200\n\n"
        )

        def make(request_id):
            return (answer_bytes("stream", framing, request_id, body=body),)

        _, seen = await calls.play("note", make)
        assert (seen.status, seen.body, seen.is_complete) == (200, body, True)

    runner.run(scenario())
