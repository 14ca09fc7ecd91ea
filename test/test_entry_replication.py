"""Replication of the store between hosts, with few requests to the one ahead."""

import asyncio

from lovagepier.entry._cluster import replication as _replication
from lovagepier.entry._cluster.messages import SnapshotRequest
from lovagepier.entry._cluster.replication import Replication
from lovagepier.entry._store.view import StoreView
from lovagepier.platform import Item


class _Link:
    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class _HostState:
    def __init__(self, version, as_of):
        self.version = version
        self.as_of = as_of


def _make_replication(version):
    view = StoreView()
    view.on_scan([Item("a", b"1", 5, 5)], 5, 0.0)

    class _Catalog:
        pass

    if version:
        view.catalog = _Catalog()
        view.catalog.version = version
    return Replication(view, lambda keys: None)


def test_many_requests_share_one_snapshot(monkeypatch):
    monkeypatch.setattr(_replication, "SNAPSHOT_CACHE_S", 1000.0)

    async def run():
        replication = _make_replication(3)
        first = replication.snapshot()
        assert all(replication.snapshot() is first for _ in range(60))
        replication._view.catalog.version = 4
        assert replication.snapshot() is not first

    asyncio.run(run())


def test_a_newer_configuration_is_awaited_before_a_snapshot_is_requested(monkeypatch):
    monkeypatch.setattr(_replication, "MAX_CONFIG_LAG_S", 1000.0)

    async def run():
        replication, link = _make_replication(3), _Link()
        replication.request_if_behind(link, _HostState(4, 9))
        assert not link.sent
        monkeypatch.setattr(_replication, "MAX_CONFIG_LAG_S", 0.0)
        replication.request_if_behind(link, _HostState(4, 9))
        assert [type(message) for message in link.sent] == [SnapshotRequest]

    asyncio.run(run())


def test_a_host_without_a_configuration_requests_a_snapshot_at_once(monkeypatch):
    monkeypatch.setattr(_replication, "MAX_CONFIG_LAG_S", 1000.0)
    monkeypatch.setattr(_replication, "MAX_LAG_S", 1000.0)

    async def run():
        replication, link = _make_replication(0), _Link()
        replication.request_if_behind(link, _HostState(4, 9))
        assert len(link.sent) == 1

    asyncio.run(run())


def test_a_large_configuration_is_sent_compressed():
    async def run():
        view = StoreView()
        view.on_scan([Item("a", b"{}", 5, 5)], 5, 0.0)
        replication, link = Replication(view, lambda keys: None), _Link()
        routes = b"".join(b'{"name":"r%d","host":"a.example"},' % n for n in range(400))
        replication.record_changes({"a": view.items["a"]}, 5)
        view.on_scan([Item("a", routes, 7, 5)], 7, 1.0)
        replication.send_delta([link])
        (delta,) = link.sent
        assert len(delta.packed) < len(routes) / 4
        received = StoreView()
        received.on_scan([Item("a", b"{}", 5, 5)], 5, 0.0)
        Replication(received, lambda keys: None).on_delta(delta)
        assert received.items["a"].value == routes and received.as_of == 7

    asyncio.run(run())


class _Clock:
    now = 0.0

    def time(self):
        return self.now


def test_peers_that_are_behind_too_do_not_delay_the_snapshot_request():
    async def run():
        replication, link, other = _make_replication(3), _Link(), _Link()
        replication._loop = clock = _Clock()
        for _ in range(20):
            clock.now += 0.1
            replication.request_if_behind(link, _HostState(4, 9))
            replication.request_if_behind(other, _HostState(3, 5))
        assert link.sent and not other.sent

    asyncio.run(run())


def test_a_peer_that_stays_slightly_ahead_is_not_asked_for_a_snapshot():
    async def run():
        replication, link = _make_replication(3), _Link()
        replication._loop = clock = _Clock()
        for step in range(40):
            clock.now += 0.1
            replication.request_if_behind(link, _HostState(3, 6 + step))
            replication._view.as_of = 5 + step
        assert not link.sent

    asyncio.run(run())
