"""No malformed message or document of another writer ends a host or hides the rest."""

import asyncio
import json
import math
import socket
import threading

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from lovagepier import platform
from lovagepier.entry._store.view import HOST_PREFIX, StoreView, encode_host
from lovagepier.frames import FORMAT, CodecError, decode
from test.entry_builders import call, config, connect, entry_fleet, wait_until

scalars = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)
values = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
TARGET = {
    "service": "ledger",
    "address": "10.0.0.1:80",
    "zone": "a1",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "born": 1,
}
HOST = json.loads(encode_host("n1", "10.0.0.2:90", 1))
ORDER = {"service": "ledger", "target": "v2", "duration_s": 5}
DOCUMENTS = {
    platform.CONFIG_KEY: config(3),
    platform.TARGET_PREFIX + "w1": TARGET,
    HOST_PREFIX + "n1.boot": HOST,
    "op/rollout/ledger": ORDER,
}
good_target = platform.Item(
    platform.TARGET_PREFIX + "good", json.dumps(TARGET).encode(), 2, 2
)


@st.composite
def spoilt(draw):
    """Draw a key and its document with one field replaced or removed, as bytes."""
    key = draw(st.sampled_from(sorted(DOCUMENTS)))
    document = dict(DOCUMENTS[key])
    field = draw(st.sampled_from(sorted(document)))
    if draw(st.booleans()):
        document[field] = draw(values)
    else:
        del document[field]
    return key, json.dumps(document).encode()


raw_documents = st.tuples(
    st.sampled_from(sorted(DOCUMENTS)),
    st.one_of(
        st.binary(max_size=60),
        values.map(lambda value: json.dumps(value).encode()),
        st.just(b"[" * 100_000),
    ),
)


@given(st.one_of(spoilt(), raw_documents))
def test_one_unreadable_document_does_not_hide_the_others(row):
    key, value = row
    view = StoreView()
    spoilt_item = platform.Item(key, value, 3, 3)
    view.on_scan([spoilt_item, good_target], 5, 1.0)
    assert view.target("good") is not None
    assert view.as_of == 5
    for host in view.members().values():
        platform.decode_address(host.peer_address)
    for target in view.targets.values():
        assert 0 < target.port < 65536
    for order in view.orders.values():
        assert 0.0 < order.duration_s < math.inf


@pytest.mark.parametrize("tag", ["e.beat", "e.roster", "e.ask", "e.done", "e.changed"])
def test_messages_with_fields_of_any_type_end_neither_host_nor_link(tag):
    """Sends wrong types where the link server hands messages to the cluster."""

    async def scenario():
        async with entry_fleet() as fleet:
            host = fleet.hosts[0]
            link = _Link()
            for value in (None, -1, "x", [1], {"a": None}, 1e308, b"\x00"):
                for count in range(3, 20):
                    frame = cbor2.dumps([tag, 0, False, *[value] * (count - 3)])
                    try:
                        message = decode(frame).message
                    except CodecError:
                        continue
                    link.handle(host.cluster.on_message, message)
            await asyncio.sleep(0)
            assert (await call(host, "/read/x", "r1")).status == 200

    asyncio.run(scenario())


class _Link:
    """A link as far as the cluster uses it, without a connection."""

    def __init__(self):
        self.peer = "n9"
        self.boot = None
        self.build = ""
        self.format = FORMAT
        self.in_use = False
        self.is_open = True
        self.last_frame_at = 0.0
        self.roster = []
        self.store_answered_at = 0.0

    def send(self, body):
        return True

    def close(self):
        self.is_open = False

    def handle(self, on_message, message):
        from lovagepier.entry._cluster.links import Link

        Link._handle(self, on_message, message)


def _serve_once(respond):
    """Serve connections with `respond(conn)` until closed; return (address, close)."""
    server = socket.create_server(("127.0.0.1", 0))
    closed = threading.Event()

    def run():
        while not closed.is_set():
            try:
                conn, _ = server.accept()
            except OSError:
                return
            with conn:
                conn.recv(65536)
                try:
                    respond(conn)
                except OSError:
                    continue

    threading.Thread(target=run, daemon=True).start()

    def close():
        closed.set()
        server.close()

    return server.getsockname(), close


@pytest.mark.parametrize(
    "body", [b"{}", b"[]", b"null", b'{"lease": 1e999}', b'{"revision": {}}', b"7"]
)
def test_answers_of_the_store_of_any_shape_are_faults(body):
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    address, close = _serve_once(lambda conn: conn.sendall(head + body))
    store = platform.PlatformStore(address)
    assert isinstance(store.put("k", b"v"), Err)
    assert isinstance(store.grant_lease(3.0), Err)
    assert isinstance(store.scan(""), Err)
    assert isinstance(store.watch("", 1, 0.1), Err)
    close()


def test_an_answer_of_the_store_without_an_end_is_a_fault():
    sent = []

    def endless(conn):
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n")
        while True:
            sent.append(conn.send(b" " * 65536))

    address, close = _serve_once(endless)
    assert isinstance(platform.PlatformStore(address).scan(""), Err)
    close()


def test_an_unexpected_error_of_a_callback_is_logged_and_the_host_goes_on(capsys):
    async def scenario():
        async with entry_fleet() as fleet:
            host = fleet.hosts[0]

            def fail():
                raise RuntimeError("of a test")

            host._loop.call_soon(fail)
            host.cluster._dial_peers = fail
            rounds = host.cluster._rounds
            await asyncio.sleep(0)
            del host.cluster._dial_peers
            await wait_until(lambda: host.cluster._rounds > rounds)
            reader, writer = await connect(host)
            writer.close()
            assert (await call(host, "/read/x", "r1")).status == 200

    asyncio.run(scenario())
    assert "unexpected error" in capsys.readouterr().out
