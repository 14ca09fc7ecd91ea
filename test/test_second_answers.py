"""A target that breaks off inside a framed body and writes a second answer."""

import pytest

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
