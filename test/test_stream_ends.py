"""How a caller's stream ends when no target ends it: it has to look cut.

A caller of HTTP/1.0 gets no chunks: its body ends with the connection, and only a reset
tells that it is not complete.
"""

import asyncio

import pytest

from lovagepier.entry._callers.caller_conn import CallerConnection
from test.entry_builders import HOST, KEY, connect, entry_fleet
from test.stream_targets import (
    LAST_CHUNK,
    WHOLE,
    Answer,
    StreamTargets,
    ask,
    chunk,
    head,
    piece,
    receive,
    stream,
)

VERSIONS = ("1.1", "1.0")
# One event, then no more and no end.
SILENT = Answer(head(), chunk(piece(1)), end="silent")


def play(scenario, *script, **options):
    async def run():
        async with entry_fleet(targets=False, **options) as fleet:
            targets = StreamTargets(fleet)
            await targets.renew(1)
            targets.play(*script)
            await scenario(fleet.hosts[0], targets)

    asyncio.run(run())


def is_cut(seen):
    return (seen.status, seen.body, seen.is_complete) == (200, piece(1), False)


@pytest.mark.parametrize("version", VERSIONS)
def test_a_whole_stream_ends_as_complete(version):
    async def scenario(host, targets):
        seen = await ask(host, "/talk/x", "r1", version)
        assert (seen.status, seen.body, seen.is_complete) == (200, WHOLE, True)

    play(scenario, stream(1, 2, 3, 4))


@pytest.mark.parametrize("version", VERSIONS)
def test_a_stream_that_is_cut_at_the_deadline_looks_cut(version):
    async def scenario(host, targets):
        seen = await ask(host, "/note/x", "r1", version, ["X-Deadline-Ms: 200"])
        assert is_cut(seen)

    play(scenario, SILENT)


@pytest.mark.parametrize("version", VERSIONS)
def test_a_stream_looks_cut_after_an_unexpected_error(version, monkeypatch):
    async def fail(self, data):
        if data == piece(2):
            raise RuntimeError("for the test")
        await send_data(self, data)

    send_data = CallerConnection.send_data
    monkeypatch.setattr(CallerConnection, "send_data", fail)

    async def scenario(host, targets):
        seen = await ask(host, "/note/x", "r1", version)
        assert is_cut(seen)

    play(scenario, stream(1, 2, 3, 4))


@pytest.mark.parametrize("version", VERSIONS)
def test_a_stream_that_outlasts_the_stop_of_its_host_looks_cut(version):
    async def scenario(host, targets):
        reader, writer = await connect(host)
        line = f"POST /note/x HTTP/{version}\r\nHost: {HOST}\r\nX-Request-Id: r1\r\n"
        line += f"Authorization: Token {KEY}\r\nContent-Length: 0\r\n\r\n"
        writer.write(line.encode())
        receiving = asyncio.ensure_future(receive(reader, version))
        await asyncio.sleep(0.2)
        host._stopping.set()
        await asyncio.sleep(0.2)
        # The rest of the grace period passes, and the process ends its tasks.
        for conn in list(host.frontend._caller_conns):
            conn._task.cancel()
        assert is_cut(await receiving)

    play(scenario, SILENT)


@pytest.mark.parametrize("end", ["fin", "reset"])
def test_a_stream_without_a_length_is_complete_only_if_its_target_closes_it(end):
    async def scenario(host, targets):
        seen = await ask(host, "/note/x", "r1")
        assert seen.body == WHOLE
        assert seen.is_complete == (end == "fin")

    play(scenario, Answer(head(length=None), WHOLE, end=end))


@pytest.mark.parametrize(
    "rest",
    [b"\n", b"\n\n\n", b"\r\n", b"\r\r", b": the end\n\n", b"\r\n\r\n\n"],
    ids=repr,
)
def test_blank_lines_and_comments_after_the_last_event_belong_to_the_stream(rest):
    async def scenario(host, targets):
        seen = await ask(host, "/note/x", "r1")
        assert (seen.body, seen.is_complete) == (WHOLE + rest, True)
        assert len(targets.asked) == 1

    play(scenario, Answer(head(), chunk(WHOLE), chunk(rest), LAST_CHUNK))


@pytest.mark.parametrize(
    "separator",
    [b"\n\n", b"\r\n\r\n", b"\r\r", b"\n\r\n", b"\r\n\n", b"\r\r\n", b"\n\r"],
    ids=repr,
)
def test_a_stream_is_whole_whatever_ends_its_lines(separator):
    body = b"".join(piece(number, separator) for number in (1, 2, 3))

    async def scenario(host, targets):
        seen = await ask(host, "/note/x", "r1")
        assert (seen.body, seen.is_complete) == (body, True)

    single = [chunk(bytes([byte])) for byte in body]
    play(scenario, Answer(head(), *single, LAST_CHUNK))


def test_a_caller_that_reads_slowly_does_not_make_its_target_look_silent():
    big = b"".join(b"id: %d\ndata: %s\n\n" % (n, b"x" * 200_000) for n in range(1, 60))

    async def scenario(host, targets):
        await targets.renew(2)
        targets.play(Answer(head(), chunk(big), LAST_CHUNK))
        reader, writer = await connect(host)
        writer.transport.pause_reading()
        line = f"POST /talk/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r1\r\n"
        line += f"Authorization: Token {KEY}\r\nContent-Length: 0\r\n\r\n"
        writer.write(line.encode())
        # Longer than a silent target is waited for.
        await asyncio.sleep(1.5)
        writer.transport.resume_reading()
        seen = await receive(reader, "1.1")
        assert seen.is_complete
        assert seen.body == big
        assert targets.asked == [None]

    play(scenario)
