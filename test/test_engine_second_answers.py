"""A target that breaks off inside a framed body and writes a second answer."""

import pytest

from lovagepier.targets._openai_bodies import MAX_EVENT_BYTES, whole_events
from test.cut_responses import (
    CLIENTS,
    EVENTS,
    LOST,
    CuttingServer,
    framed,
    relayed_bytes,
    without_pauses,
)

BODY = b'{"choices":[{"message":{"content":"a HTTP/1.1 200 b"}}],"n":[1,2]}'
OTHER = b'{"choices":[{"message":{"content":"of another caller"}}],"n":[3]}'
SSE = b"Content-Type: text/event-stream\r\n"
LONG_STREAM = b"".join(b'data: {"n":%d}\n\n' % n for n in range(12)) + EVENTS[-14:]
FRAMED = ("1.1 length", "1.1 chunks", "1.0 length")


@pytest.fixture(scope="module")
def server():
    """A server whose bytes a test chooses."""
    made = CuttingServer()
    yield made
    made.close()


@pytest.fixture(autouse=True)
def _quick(monkeypatch):
    without_pauses(monkeypatch)


def mixed(server, name, body, second, framing):
    """Return what a client takes for an answer, of all places to break off."""
    fields, _, call = CLIENTS[name]
    head, text = framed(body, framing, fields=fields)
    found = []
    for length in range(len(text)):
        server.response = head + text[:length] + second
        value = call(server.url)
        if value not in (LOST, (200, body)):
            found.append(value)
    return found


@pytest.mark.parametrize("framing", FRAMED)
@pytest.mark.parametrize("status", (b"200 OK", b"500 Internal Server Error"))
def test_a_second_answer_is_no_part_of_a_model_answer(server, framing, status):
    second = b"".join(framed(OTHER, framing, status))
    assert not mixed(server, "relay of an answer", BODY, second, framing)


@pytest.mark.parametrize("framing", FRAMED)
def test_a_second_answer_is_no_part_of_a_stream(server, framing):
    head, text = framed(LONG_STREAM, framing, fields=SSE)
    second = b"".join(framed(EVENTS, framing, fields=SSE))
    found = []
    for length in range(len(text)):
        server.response = head + text[:length] + second
        data = relayed_bytes(server.url)
        if not LONG_STREAM.startswith(data):
            found.append(data)
    assert not found


@pytest.mark.parametrize("framing", FRAMED)
def test_a_whole_model_answer_is_relayed_as_it_is(server, framing):
    call = CLIENTS["relay of an answer"][2]
    server.response = b"".join(framed(BODY, framing))
    assert call(server.url) == (200, BODY)


SOUND_STREAM = (
    b': hello\r\n\r\nevent: x\ndata: {"a":\ndata: 1}\n\nretry\nid:2\n\n' + EVENTS
)


@pytest.mark.parametrize("size", (1, 2, 3, 7, 1000))
def test_a_sound_stream_passes_as_whole_events(size):
    chunks = [SOUND_STREAM[i : i + size] for i in range(0, len(SOUND_STREAM), size)]
    passed = list(whole_events(chunks))
    assert b"".join(passed) == SOUND_STREAM
    assert all(part.endswith((b"\n\n", b"\r\n\r\n")) for part in passed)


def test_a_resumed_stream_may_begin_inside_an_event():
    for offset in range(1, len(SOUND_STREAM)):
        rest = SOUND_STREAM[offset:]
        assert b"".join(whole_events([rest], is_checked=False)) == rest


def test_a_stream_without_its_last_blank_line_passes():
    assert b"".join(whole_events([EVENTS[:-1]])) == EVENTS[:-1]


def test_a_long_event_is_passed_on_in_parts():
    event = b"data: " + b"x" * (2 * MAX_EVENT_BYTES) + b"\n\n"
    chunks = [event[i : i + 65536] for i in range(0, len(event), 65536)]
    passed = list(whole_events(chunks))
    assert b"".join(passed) == event
    assert len(passed[0]) <= MAX_EVENT_BYTES + 65536


TWO_HEADS = b"HTTP/1.1 200 OK\r\nServer: a\r\nContent-Length: 2\r\n\r\n"


@pytest.mark.parametrize("name", ("relay of a service", "http target"))
@pytest.mark.parametrize("second", ("503 Unavailable", "200 OK"))
def test_one_head_is_not_read_from_two(server, name, second):
    found = []
    for length in range(1, len(TWO_HEADS)):
        begun = TWO_HEADS[:length]
        line = begun.rpartition(b"\n")[2]
        if b":" in line or line == b"\r":
            # A status line within a field's value, or after a blank line.
            continue
        server.response = begun + b"".join(framed(b"{}", "1.1 length", second.encode()))
        value = CLIENTS[name][2](server.url)
        if value != LOST:
            found.append((begun, value))
    assert not found


@pytest.mark.parametrize("name", ("relay of a service", "http target"))
def test_a_legal_head_is_read(server, name):
    heads = (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\nX: y\r\n\r\nHTTP/1.1 200\r\nContent-Length:2\n\n",
        b"HTTP/1.1 200 \r\nX: a\r\n b HTTP/1.1 200\r\nContent-Length: 2\r\n\r\n",
        b"HTTP/1.0 200 OK\nContent-Length: 2\n\n",
        b"HTTP/1.1 200 OK\r\n\r\n",
    )
    for head in heads:
        server.response = head + b"{}"
        assert CLIENTS[name][2](server.url) == (200, b"{}")
