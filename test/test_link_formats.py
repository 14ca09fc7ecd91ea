"""Opening a link: the formats that both ends state, nonsense, and no common format."""

import asyncio

import cbor2
import pytest
from structlog.testing import capture_logs
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed, InvalidStatus

from lovagepier.entry._build_gauges import build_gauges
from lovagepier.entry._cluster.links import Dialed, Link, LinkCounts, LinkServer, dial
from lovagepier.entry._cluster.messages import Heartbeat, TargetLeaving
from lovagepier.entry._cluster.outgoing import OutgoingLinks
from lovagepier.entry._targets.tunnel_messages import TunnelClosed
from lovagepier.formats import PeerFormats
from lovagepier.frames import FORMAT, MAX_FRAME_BYTES, OLDEST_FORMAT, encode
from test.entry_builders import wait_until
from trials.ports import free_port

STATED = "Lovagepier-Formats"
BEAT = Heartbeat("n9", False, "a1", "127.0.0.1:1", False, 1, 1, 0.0, False)


class Server:
    """A `LinkServer`, its links and what they received."""

    def __init__(self):
        self.counts = LinkCounts()
        self.links = []
        self.messages = []
        self.closed = []
        self.address = ("127.0.0.1", free_port())

    async def start(self):
        server = LinkServer(self._on_message, self.closed.append, self.counts)
        await server.start(self.address)
        return self

    def _on_message(self, link, message):
        if link not in self.links:
            self.links.append(link)
        self.messages.append(message)

    def connect(self, *stated):
        host, port = self.address
        return connect(
            f"ws://{host}:{port}/",
            additional_headers=[(STATED, value) for value in stated],
        )


@pytest.mark.parametrize(
    ("stated", "number"),
    [
        ((), OLDEST_FORMAT),
        ((f"1-{FORMAT}",), FORMAT),
        (("1-3",), 3),
        (("4-7",), FORMAT),
        (("1-999999",), FORMAT),
        (("five",), OLDEST_FORMAT),
        (("0-5",), OLDEST_FORMAT),
        (("5-2",), OLDEST_FORMAT),
        ((f"1-{FORMAT}", "1-3"), OLDEST_FORMAT),
        (("1-" + "9" * 400,), OLDEST_FORMAT),
        (("\u0661-5".encode().decode("latin-1"),), OLDEST_FORMAT),
    ],
)
def test_a_peer_is_sent_the_newest_common_format(stated, number):
    async def run():
        server = await Server().start()
        with capture_logs() as logs:
            async with server.connect(*stated) as conn:
                assert conn.response.headers[STATED] == f"{OLDEST_FORMAT}-{FORMAT}"
                await conn.send(encode(BEAT, number=1))
                await wait_until(lambda: server.messages)
        assert server.links[0].format == number
        is_odd = stated not in ((), (f"1-{FORMAT}",), ("1-3",), ("4-7",))
        assert len([log for log in logs if "own_formats" in log]) == is_odd

    asyncio.run(run())


def test_a_peer_without_a_number_has_that_of_what_it_sends():
    async def run():
        server = await Server().start()
        async with server.connect() as conn:
            await conn.send(encode(BEAT, number=1))
            await wait_until(lambda: len(server.messages) == 1)
            (link,) = server.links
            assert not link.send(TargetLeaving("w1.1", "q1"))
            assert link.is_open
            await conn.send(encode(BEAT, number=2))
            await wait_until(lambda: len(server.messages) == 2)
            assert link.format == 2
            assert link.send(TargetLeaving("w1.1", "q1"))
            await conn.send(encode(BEAT, number=1))
            await wait_until(lambda: len(server.messages) == 3)
            assert link.format == 2
        assert server.counts.omitted == 1

    asyncio.run(run())


def test_a_newer_peer_keeps_its_link_and_is_logged_once():
    async def run():
        server = await Server().start()
        with capture_logs() as logs:
            async with server.connect("1-7") as conn:
                for _ in range(30):
                    await conn.send(cbor2.dumps(["e.of-a-later-build", 0, False, 1]))
                    parts = cbor2.loads(encode(BEAT))
                    await conn.send(cbor2.dumps([*parts, "a field", "another"]))
                await wait_until(lambda: len(server.messages) == 30)
        assert server.messages == [BEAT] * 30
        assert server.counts.skipped == 60
        assert not server.counts.unreadable
        assert [log["event"] for log in logs].count(
            "peers: passed over what a peer of a newer format sends"
        ) == 1

    asyncio.run(run())


def test_a_peer_without_a_common_format_is_refused_with_both_numbers():
    async def run():
        server = await Server().start()
        with capture_logs() as logs, pytest.raises(InvalidStatus) as caught:
            async with server.connect("800-900"):
                pass
        response = caught.value.response
        own = f"{OLDEST_FORMAT}-{FORMAT}"
        assert response.status_code == 426
        assert response.headers.get_all(STATED) == [own]
        (line,) = [log for log in logs if "own_formats" in log]
        assert (line["formats"], line["own_formats"]) == ("800-900", own)
        assert server.counts.unsupported == 1

    asyncio.run(run())


async def _dial_for(seconds, address):
    """Dial an address in each round of a host; return the log lines."""
    outgoing = OutgoingLinks(
        lambda link, message: None,
        lambda link: link.send(BEAT),
        lambda: None,
        LinkCounts(),
    )
    with capture_logs() as logs:
        until = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < until:
            outgoing.dial("n9", address, 0.05)
            await asyncio.sleep(0.02)
    return logs


@pytest.mark.parametrize("how", ["refuses", "states", "closes"])
def test_a_host_that_cannot_be_talked_to_is_dialed_ever_more_rarely(how):
    """Dials a server of a later build, and one that closes at the first frame."""

    async def run():
        dials = []

        async def serve_link(conn):
            try:
                await conn.recv()
                await conn.close()
            except ConnectionClosed:
                return

        def process_request(conn, request):
            dials.append(request.headers[STATED])
            if how == "refuses":
                return conn.respond(426, "no common format\n")
            return None

        def process_response(conn, request, response):
            if how != "closes":
                response.headers[STATED] = "800-900"

        port = free_port()
        async with serve(
            serve_link,
            "127.0.0.1",
            port,
            process_request=process_request,
            process_response=process_response,
        ):
            logs = await _dial_for(2.5, ("127.0.0.1", port))
        assert 1 <= len(dials) <= 3
        assert set(dials) == {f"{OLDEST_FORMAT}-{FORMAT}"}
        if how != "closes":
            lines = [log for log in logs if "own_formats" in log]
            assert len(lines) == len(dials)
            assert {line["formats"] for line in lines} == {"800-900"}
        assert [log["event"] for log in logs].count(
            "members: could not talk to a host"
        ) == len(dials)

    asyncio.run(run())


@pytest.mark.parametrize("columns", [4, 5, 6, 7])
def test_metrics_show_the_builds_of_the_fleet(columns):
    row = ["n1", "127.0.0.1:1", "a1", False, False, 5, '0.1"0']
    gauges = build_gauges([row[:columns], row], LinkCounts(skipped=3))
    assert gauges["link_skipped"] == 3
    known = 'hosts_by_build{build="0.1\\"0",format="5"}'
    if columns == 7:
        assert gauges[known] == 2
    else:
        assert gauges[known] == 1
        assert gauges['hosts_by_build{build="unknown",format="unknown"}'] == 1


def test_metrics_stand_any_row_of_a_peer():
    rows = [[None] * 7, [[], {}, 1.5, "x", b"", {"a": []}, ["b"]], []]
    assert build_gauges(rows, LinkCounts())


class SilentConnection:
    """A connection whose other end does nothing."""

    transport = None


@pytest.mark.parametrize(
    "reason", ["\ud800", "x" * (MAX_FRAME_BYTES + 1)], ids=["surrogate", "too large"]
)
def test_a_message_that_cannot_be_encoded_leaves_the_link_open(reason):
    async def run():
        counts = LinkCounts()
        link = Link(SilentConnection(), PeerFormats(f"1-{FORMAT}"), counts)
        with capture_logs() as logs:
            for _ in range(2):
                assert not link.send(TunnelClosed(1, reason))
        assert link.send(BEAT)
        assert link.is_open and link.backlog == 1 and counts.unencodable == 2
        assert [log["log_level"] for log in logs] == ["error"]

    asyncio.run(run())


@pytest.mark.parametrize("host", ["fe80::1", "a b", "[", "x" * 300])
def test_an_address_that_is_no_uri_counts_as_unreachable(host):
    async def run():
        dialed = await dial((host, 9), None, None, None, LinkCounts())
        assert dialed is Dialed.FAILED

    asyncio.run(run())
