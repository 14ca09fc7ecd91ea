"""Copies of the store between hosts: no stampede on the one that is ahead."""

import asyncio

from lovagepier.entry import _replication
from lovagepier.entry._messages import SnapshotRequest
from lovagepier.entry._replication import Replication
from lovagepier.entry._view import StoreView
from lovagepier.platform import Item


class _Link:
    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class _Told:
    def __init__(self, version, as_of):
        self.version = version
        self.as_of = as_of


def _sharing_of(version):
    view = StoreView()
    view.on_scan([Item("a", b"1", 5, 5)], 5, 0.0)

    class _Catalog:
        pass

    if version:
        view.catalog = _Catalog()
        view.catalog.version = version
    return Replication(view, lambda keys: None)


def test_many_that_ask_get_one_copy_packed_once(monkeypatch):
    monkeypatch.setattr(_replication, "PACKED_S", 1000.0)

    async def run():
        sharing = _sharing_of(3)
        first = sharing.packed()
        assert all(sharing.packed() is first for _ in range(60))
        sharing._view.catalog.version = 4
        assert sharing.packed() is not first

    asyncio.run(run())


def test_a_newer_configuration_is_waited_for_before_it_is_asked_for(monkeypatch):
    monkeypatch.setattr(_replication, "NEWER_S", 1000.0)

    async def run():
        sharing, link = _sharing_of(3), _Link()
        sharing.request_if_behind(link, _Told(4, 9))
        assert not link.sent
        monkeypatch.setattr(_replication, "NEWER_S", 0.0)
        sharing.request_if_behind(link, _Told(4, 9))
        assert [type(message) for message in link.sent] == [SnapshotRequest]

    asyncio.run(run())


def test_a_host_without_a_configuration_asks_at_once(monkeypatch):
    monkeypatch.setattr(_replication, "NEWER_S", 1000.0)
    monkeypatch.setattr(_replication, "STALE_S", 1000.0)

    async def run():
        sharing, link = _sharing_of(0), _Link()
        sharing.request_if_behind(link, _Told(4, 9))
        assert len(link.sent) == 1

    asyncio.run(run())


def test_a_large_configuration_is_passed_on_small():
    async def run():
        view = StoreView()
        view.on_scan([Item("a", b"{}", 5, 5)], 5, 0.0)
        sharing, link = Replication(view, lambda keys: None), _Link()
        routes = b"".join(b'{"name":"r%d","host":"a.example"},' % n for n in range(400))
        sharing.record_changes({"a": view.items["a"]}, 5)
        view.on_scan([Item("a", routes, 7, 5)], 7, 1.0)
        sharing.pass_on([link])
        (told,) = link.sent
        assert len(told.packed) < len(routes) / 4
        got = StoreView()
        got.on_scan([Item("a", b"{}", 5, 5)], 5, 0.0)
        Replication(got, lambda keys: None).on_delta(told)
        assert got.items["a"].value == routes and got.as_of == 7

    asyncio.run(run())


class _Clock:
    now = 0.0

    def time(self):
        return self.now


def test_peers_that_are_behind_too_do_not_hide_a_newer_configuration():
    async def run():
        sharing, link, other = _sharing_of(3), _Link(), _Link()
        sharing._loop = clock = _Clock()
        for _ in range(20):
            clock.now += 0.1
            sharing.request_if_behind(link, _Told(4, 9))
            sharing.request_if_behind(other, _Told(3, 5))
        assert link.sent and not other.sent

    asyncio.run(run())


def test_a_peer_that_is_ever_a_little_ahead_is_not_asked():
    async def run():
        sharing, link = _sharing_of(3), _Link()
        sharing._loop = clock = _Clock()
        for step in range(40):
            clock.now += 0.1
            sharing.request_if_behind(link, _Told(3, 6 + step))
            sharing._view.as_of = 5 + step
        assert not link.sent

    asyncio.run(run())
