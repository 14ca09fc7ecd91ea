"""Responses that end too soon, as each HTTP client of the program reads them."""

import re
from collections import Counter
from pathlib import Path

import pytest

import lovagepier
from lovagepier.client import Caller
from test.cut_responses import (
    CLIENTS,
    FRAMINGS,
    LAST_CHUNK,
    LOST,
    CuttingServer,
    framed,
    without_pauses,
)

ENDS = ("close", "reset")
STATUSES = (b"404 Not Found", b"412 Precondition Failed", b"503 Unavailable")


@pytest.fixture(scope="module")
def server():
    """A server that closes inside its responses."""
    made = CuttingServer()
    yield made
    made.close()


@pytest.fixture(autouse=True)
def _quick(monkeypatch):
    without_pauses(monkeypatch)


def taken(server, name, response, ends):
    """Return what a client takes the bytes of a response for."""
    server.response = response
    server.ends = ends
    return CLIENTS[name][2](server.url)


def whole(server, name):
    """Return what a client takes a whole response for."""
    fields, body, _ = CLIENTS[name]
    head, text = framed(body, "1.1 length", fields=fields)
    return taken(server, name, head + text, "close")


def accepted_cuts(server, name, ends, cuts, status=b"200 OK", framings=FRAMINGS):
    """Return what a client takes for an answer among responses cut at `cuts`.

    `cuts(head, text, framing)` gives the numbers of bytes that are sent.
    """
    fields, body, _ = CLIENTS[name]
    found = Counter()
    for framing in framings:
        head, text = framed(body, framing, status, fields)
        for length in cuts(head, text, framing):
            value = taken(server, name, (head + text)[:length], ends)
            if value != LOST:
                found[f"{framing}: {value}"] += 1
    return found


def within_head(head, text, framing):
    """Return the lengths of responses that end before their heads do."""
    return range(len(head))


def within_framed_body(head, text, framing):
    """Return the lengths of responses whose framing shows that their bodies are cut."""
    if framing.endswith("none"):
        return ()
    size = len(text)
    if framing.endswith("chunks"):
        # The last chunk is whole once its line is.
        size -= len(LAST_CHUNK) - len(b"0\r\n")
    return range(len(head), len(head) + size)


@pytest.mark.parametrize("ends", ENDS)
@pytest.mark.parametrize("name", CLIENTS)
def test_a_cut_head_is_no_answer(server, name, ends):
    assert whole(server, name) != LOST
    assert not accepted_cuts(server, name, ends, within_head)


@pytest.mark.parametrize("status", STATUSES, ids=lambda status: status[:3].decode())
@pytest.mark.parametrize("name", CLIENTS)
def test_the_cut_head_of_an_error_is_no_answer(server, name, status):
    framings = ("1.1 length", "1.0 none")
    assert not accepted_cuts(server, name, "close", within_head, status, framings)


@pytest.mark.parametrize("ends", ENDS)
@pytest.mark.parametrize("name", CLIENTS)
def test_a_framed_body_that_is_cut_is_no_answer(server, name, ends):
    found = accepted_cuts(server, name, ends, within_framed_body)
    if name == "etcd watch":
        # A watch ends with its first event, whatever follows.
        event = str(whole(server, name))
        found = [value for value in found if event not in value]
    assert not found


REFUSAL = b"HTTP/1.1 429 Too Many Requests\r\nX-Run: no\r\nContent-Length: 2\r\n\r\n{}"
LOST_ANSWERS = {
    "no byte": b"",
    "a cut head": b"HTTP/1.1 200 OK\r\nX-Run: yes\r\n",
    "a cut body": b"HTTP/1.1 200 OK\r\nX-Run: maybe\r\nContent-Length: 9\r\n\r\n{",
    "a cut refusal": REFUSAL[:-1],
}


@pytest.mark.parametrize("lost", LOST_ANSWERS)
def test_a_refusal_says_nothing_of_an_earlier_send(server, lost):
    server.response = REFUSAL
    server.once = LOST_ANSWERS[lost]
    server.ends = "close"
    reply = Caller([server.url], "key", pinned=True).record("POST", "/s", b"b", "k")
    run = "no" if lost == "a cut refusal" else "maybe"
    assert (reply.status, reply.run, reply.is_complete) == (429, run, True)


@pytest.mark.parametrize("name", CLIENTS)
def test_a_body_without_a_length_ends_with_its_connection(server, name):
    expected = whole(server, name)
    fields, body, _ = CLIENTS[name]
    for framing in ("1.1 none", "1.0 none"):
        response = b"".join(framed(body, framing, fields=fields))
        assert taken(server, name, response, "close") == expected


@pytest.mark.parametrize("name", CLIENTS)
def test_a_whole_chunked_body_is_read(server, name):
    expected = whole(server, name)
    fields, body, _ = CLIENTS[name]
    response = b"".join(framed(body, "1.1 chunks", fields=fields))
    assert taken(server, name, response, "close") == expected


def test_all_clients_share_one_kind_of_pool():
    pools = re.compile(r"urllib3\.(PoolManager|request|connection)|http\.client\b")
    found = {
        path.name
        for path in Path(lovagepier.__file__).parent.rglob("*.py")
        if pools.search(path.read_text())
    }
    assert found == {"http_pools.py"}
