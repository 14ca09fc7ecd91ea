"""Nodes of other formats: what they are sent, and peers without a common one."""

import gc
import threading
import time
from types import SimpleNamespace

import cbor2
import pytest
from websockets.sync.client import connect
from websockets.sync.server import serve

from lovagepier.frames import FORMAT, OLDEST_FORMAT, decode, encode
from lovagepier.peers import Links, messages
from lovagepier.peers._links import PeerUnreachable
from trials.ports import free_port

STATED = "Lovagepier-Formats"
OWN = f"{OLDEST_FORMAT}-{FORMAT}"
KEY = "the key of all nodes"


@pytest.fixture
def links():
    """Links that answer a `ConfigPull` with a `ConfigSnapshot`."""
    cfg = SimpleNamespace(
        peers_listen=("127.0.0.1", free_port()),
        peers_key=KEY,
        peers_accept_key_hashes=[],
        peers_certificate="",
    )
    served = Links(cfg, lambda body, reply: reply(messages.ConfigSnapshot(3, b"x")))
    served.start()
    yield served
    served.stop()


def dial(links, *stated):
    headers = [("Authorization", f"Bearer {KEY}")]
    headers += [(STATED, value) for value in stated]
    return connect(f"ws://127.0.0.1:{links.port}/", additional_headers=headers)


@pytest.mark.parametrize("stated", [(), ("1-1",), ("1-900",), ("nonsense",)])
def test_a_node_of_another_format_is_answered(links, stated):
    with dial(links, *stated) as conn:
        assert conn.response.headers[STATED] == OWN
        conn.send(cbor2.dumps(["of-a-later-build", 5, False, 1]))
        parts = cbor2.loads(encode(messages.ConfigPull(1), 6))
        conn.send(cbor2.dumps([*parts, "a field of a later build"]))
        frame = decode(conn.recv(timeout=5))
    assert (frame.correlation, frame.message.version) == (6, 3)
    assert links.frames_skipped == 2


class OtherBuild:
    """A server that states formats, or refuses; it counts the links to it."""

    def __init__(self, stated, is_refusing=False):
        self.dials = 0
        self._stated = stated
        self._is_refusing = is_refusing
        self._server = serve(
            self._answer,
            "127.0.0.1",
            0,
            process_request=self._process_request,
            process_response=self._process_response,
        )
        self.address = self._server.socket.getsockname()[:2]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def _process_request(self, conn, request):
        self.dials += 1
        assert request.headers[STATED] == OWN
        return conn.respond(426, "no\n") if self._is_refusing else None

    def _process_response(self, conn, request, response):
        if self._stated:
            response.headers[STATED] = self._stated

    def _answer(self, conn):
        for data in conn:
            answer = messages.ConfigSnapshot(7, b"y")
            conn.send(encode(answer, decode(data).correlation, True))

    def close(self):
        self._server.shutdown()


@pytest.mark.parametrize("stated", ["", "1-1", OWN])
def test_a_node_of_an_older_format_is_asked(links, stated):
    peer = OtherBuild(stated)
    try:
        answer = links.ask(peer.address, messages.ConfigPull(1)).result(5)
        assert answer.version == 7
    finally:
        peer.close()


@pytest.mark.parametrize("is_refusing", [True, False])
def test_a_node_without_a_common_format_is_not_dialed_in_a_loop(links, is_refusing):
    peer = OtherBuild("800-900", is_refusing)
    try:
        until = time.monotonic() + 1.0
        while time.monotonic() < until:
            with pytest.raises(PeerUnreachable):
                links.ask(peer.address, messages.ConfigPull(1)).result(5)
            time.sleep(0.02)
        assert peer.dials == 1
    finally:
        peer.close()


def test_what_cannot_be_encoded_ends_no_link(links):
    bad = messages.ConfigSnapshot(3, "\ud800")
    own = ("127.0.0.1", links.port)
    links.tell(own, bad)
    with pytest.raises(PeerUnreachable):
        links.ask(own, bad).result(5)
    assert not links._reply_handlers
    links._on_message = lambda body, reply: (reply(bad), reply(body))
    assert links.ask(own, messages.ConfigPull(1)).result(5) == messages.ConfigPull(1)


def test_an_address_that_is_no_uri_is_unreachable(links, caplog):
    with pytest.raises(PeerUnreachable):
        links.ask(("fe80::1", 9), messages.ConfigPull(1)).result(5)
    gc.collect()
    assert "never retrieved" not in caplog.text
