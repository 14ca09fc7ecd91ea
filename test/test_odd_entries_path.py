"""Hosts that read odd entries from a store serve on, and follow what comes later."""

import asyncio
import base64
import contextlib
import itertools
import json

import pytest

from lovagepier import platform
from lovagepier.entry._cluster import cluster as _cluster
from lovagepier.entry._store.view import encode_host
from test import odd_documents
from test.entry_builders import (
    call,
    config,
    connect,
    entry_fleet,
    raw_request,
    read_response,
    wait_until,
)

ODD = [(key, make) for _, key, make in odd_documents.ODD_TARGETS]
_ids = itertools.count()
NAMES = [name for name, _, _ in odd_documents.ODD_TARGETS]


class _Calls:
    """Requests to all hosts, one after the other, until stopped."""

    def __init__(self, hosts):
        self._hosts = hosts
        self._task = asyncio.create_task(self._run())
        self.statuses = []

    async def _run(self):
        while True:
            host = self._hosts[len(self.statuses) % len(self._hosts)]
            response = await call(host, "/read/x", f"c{next(_ids)}")
            self.statuses.append(response.status)

    async def stop(self):
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task


def assert_alive(host, task):
    assert not task.done()
    assert host._watcher.is_alive() and host._registrar.is_alive()


async def follow_on(fleet):
    """Check that all hosts use a target that comes and leave one that drains."""
    later = await fleet.add_target("w2", "ledger")
    for host in fleet.hosts:
        await wait_until(lambda host=host: host.view.target("w2") is not None)
    await fleet.store.write("servers/w1", fleet.targets["w1"].entry("draining"))
    for host in fleet.hosts:
        await wait_until(lambda host=host: host.view.target("w1").draining)
    before = len(fleet.targets["w1"].runs)
    calls = _Calls(fleet.hosts)
    await wait_until(lambda: len(later.runs) >= 4 and len(calls.statuses) >= 4)
    await calls.stop()
    assert set(calls.statuses) == {200}
    # A request that was granted before may still arrive.
    assert len(fleet.targets["w1"].runs) <= before + 1
    await fleet.store.write("op/config", config(9))
    for host in fleet.hosts:
        await wait_until(lambda host=host: host.view.version == 9)
    for host, task in zip(fleet.hosts, fleet.tasks, strict=True):
        assert_alive(host, task)


@pytest.mark.parametrize("key, make", ODD, ids=NAMES)
def test_a_host_serves_and_follows_the_store_after_an_odd_entry(
    cases, key, make, capsys
):
    async def scenario(key, make):
        async with entry_fleet() as fleet:
            host = fleet.hosts[0]
            calls = _Calls(fleet.hosts)
            await fleet.store.write(f"servers/{key}", make(odd_documents.TARGET))
            await wait_until(lambda: host.view.as_of % 2**48 == fleet.store.revision)
            count = len(calls.statuses)
            await wait_until(lambda: len(calls.statuses) > count + 3)
            await calls.stop()
            assert set(calls.statuses) == {200}
            await follow_on(fleet)
            assert host.view.target(key) is None

    cases.gather(scenario)
    # The first case has the output of all.
    output = capsys.readouterr().out
    assert "unexpected error" not in output and "tick failed" not in output


def test_an_odd_entry_is_logged_and_counted_with_each_change(capsys):
    async def scenario():
        async with entry_fleet() as fleet:
            host = fleet.hosts[0]
            high_port = {**odd_documents.TARGET, "address": "127.0.0.1:65536"}
            for _ in range(2):
                await fleet.store.write("servers/odd", high_port)
                await asyncio.sleep(0.3)
            await fleet.store.write("servers/w1", fleet.targets["w1"].entry())
            await follow_on(fleet)
            gauges = host.frontend.gauges()
            assert gauges["unreadable_documents"] == 1
            assert gauges["unreadable_document_changes"] == 2
            await fleet.store.remove("servers/odd")
            await wait_until(
                lambda: host.frontend.gauges()["unreadable_documents"] == 0
            )

    asyncio.run(scenario())
    output = capsys.readouterr().out
    assert output.count("could not decode a document of the store") == 2


def test_hosts_that_read_and_hosts_that_follow_survive_all_odd_entries(monkeypatch):
    """Has one host read the store, and a second and a later third follow it."""
    monkeypatch.setattr(_cluster, "MAX_WATCHING_HOSTS", 0)

    async def scenario():
        async with entry_fleet(hosts=2) as fleet:
            calls = _Calls(fleet.hosts)
            for number, (key, make) in enumerate(ODD):
                odd = make({**odd_documents.TARGET, "address": "127.0.0.1:9"})
                await fleet.store.write(f"servers/{key}{number}", odd)
                await fleet.store.write(f"lovagepier/hosts/{key}{number}", odd)
                await fleet.store.write(f"lovagepier/poison/{key}{number}", odd)
                await fleet.store.write(f"op/rollout/{key}{number}", odd)
            for host in fleet.hosts:
                await wait_until(
                    lambda host=host: host.view.as_of % 2**48 == fleet.store.revision
                )
                assert len(host.view.members()) == 2
            seeds = ",".join(
                ":".join(map(str, host.cfg.peers_listen)) for host in fleet.hosts
            )
            third = await fleet.host("n3", seeds=seeds)
            await wait_until(lambda: third.cluster.coordinator_name == "n1")
            await wait_until(lambda: third.view.target("w1") is not None)
            await calls.stop()
            assert set(calls.statuses) == {200}
            await follow_on(fleet)
            assert {host.cluster.coordinator_name for host in fleet.hosts} == {"n1"}

    asyncio.run(scenario())


def test_thousands_of_odd_entries_delay_no_request():
    async def scenario():
        async with entry_fleet() as fleet:
            for number in range(3000):
                name, key, make = odd_documents.ODD_TARGETS[number % 8 + 3]
                key = f"servers/{key}{number}"
                fleet.store.revision += 1
                item = {
                    "key": key,
                    "value": base64.b64encode(make(odd_documents.TARGET)).decode(),
                    "revision": fleet.store.revision,
                    "created_rev": fleet.store.revision,
                    "lease": 0,
                }
                fleet.store.items[key] = item
                fleet.store.history.append(item)
            calls = _Calls(fleet.hosts)
            await follow_on(fleet)
            await calls.stop()
            assert set(calls.statuses) == {200}
            host = fleet.hosts[0]
            assert set(host.view.targets) == {"servers/w1", "servers/m1", "servers/w2"}

    asyncio.run(scenario())


@pytest.mark.parametrize("spoil", ["value", "key", "revision", "row"])
def test_one_unreadable_row_of_the_store_does_not_hide_the_others(spoil):
    """Covers the pages of a scan at the start and the events of a watch."""

    async def scenario():
        async with entry_fleet() as fleet:
            row = {"key": "servers/odd", "value": "", "revision": 12, "created_rev": 12}
            if spoil == "row":
                row = [1]
            else:
                row[spoil] = {"value": "\u00e9\ud800", "key": [], "revision": {}}[spoil]
            call_store = fleet.store._call

            async def add_row(method, path, query, body):
                status, result = await call_store(method, path, query, body)
                for field in ("items", "events"):
                    if status == 200 and result.get(field):
                        result[field] = [row, *result[field]]
                return status, result

            fleet.store._call = add_row
            second = await fleet.host("n2")
            await wait_until(lambda: second.view.target("w1") is not None)
            await follow_on(fleet)

    asyncio.run(scenario())


def test_a_key_with_half_a_surrogate_pair_at_the_end_of_a_page():
    async def scenario():
        async with entry_fleet() as fleet:
            # The stand-in has five items a page, in the order of their keys.
            for number in range(12):
                key = f"servers/{number}{odd_documents.HALF_PAIR}"
                await fleet.store.write(key, b"{}")
            second = await fleet.host("n2")
            await wait_until(lambda: second.view.target("w1") is not None)
            await follow_on(fleet)

    asyncio.run(scenario())


def test_a_watch_answer_that_is_too_long_is_followed_by_a_scan(monkeypatch):
    from lovagepier.platform import _store

    async def scenario():
        async with entry_fleet() as fleet:
            monkeypatch.setattr(_store, "MAX_ANSWER_BYTES", 200_000)
            for number in range(6):
                value = json.dumps("v" * 60_000).encode()
                fleet.store.revision += 1
                item = {
                    "key": f"servers/odd{number}",
                    "value": base64.b64encode(value).decode(),
                    "revision": fleet.store.revision,
                    "created_rev": fleet.store.revision,
                    "lease": 0,
                }
                fleet.store.history.append(item)
            await follow_on(fleet)

    asyncio.run(scenario())


@pytest.mark.parametrize("era", ["\u00b2", "1" * 5000, "-1", "1e3", "0x1"])
def test_an_era_that_is_no_number_does_not_end_the_watch(cases, era):
    async def scenario(era):
        async with entry_fleet() as fleet:
            fleet.store.era = era
            await asyncio.sleep(0.3)
            fleet.store.era = 1
            await follow_on(fleet)

    cases.gather(scenario)


def test_an_unexpected_error_ends_neither_watch_nor_registration(monkeypatch):
    failures = {}
    call_store = platform.PlatformStore._call

    def fail_at_first(store, *args, **options):
        failures[store] = failures.get(store, 0) + 1
        if is_failing and failures[store] <= 2:
            raise RuntimeError("of a test")
        return call_store(store, *args, **options)

    is_failing = []
    monkeypatch.setattr(platform.PlatformStore, "_call", fail_at_first)

    async def scenario():
        async with entry_fleet() as fleet:
            failures.clear()
            is_failing.append(True)
            await wait_until(
                lambda: len(failures) == 2 and min(failures.values()) >= 3, 8.0
            )
            await follow_on(fleet)
            assert set(fleet.hosts[0].view.members()) == {"n1"}

    asyncio.run(scenario())


def test_an_odd_entry_of_this_program_does_not_reach_a_peer():
    async def scenario():
        async with entry_fleet() as fleet:
            await fleet.store.write("lovagepier/poison/odd", {"name": "x\ud800"})
            odd = {**odd_documents.ORDER, "service": "a\ud800"}
            await fleet.store.write("op/rollout/a", odd)
            await fleet.store.write("lovagepier/hosts/n9.x", odd_documents.HOST)
            second = await fleet.host("n2")
            await wait_until(lambda: second.cluster.coordinator_name == "n1")
            await follow_on(fleet)
            assert set(fleet.hosts[0].view.members()) == {"n1", "n2"}

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "header",
    [f"X-Token-Count: {'9' * 400},5", f"X-Token-Count: 5,{'9' * 400}"]
    + [f"X-Prompt-Prefix: b:{'9' * 400}", f"X-Length-Hint: {'9' * 400}"]
    + ["X-Token-Count: \xb2,5", f"X-Token-Count: {'9' * 9},{'9' * 9}"],
)
def test_a_count_out_of_range_stops_no_other_request(header):
    async def scenario():
        async with entry_fleet() as fleet:
            host = fleet.hosts[0]
            reader, writer = await connect(host)
            data = raw_request("/read/x", "odd", headers=[header]).decode()
            writer.write(data.encode("latin-1"))
            async with asyncio.timeout(5):
                assert (await read_response(reader)).status in (200, 429, 503, 504)
            writer.close()
            for number in range(5):
                assert (await call(host, "/read/x", f"r{number}")).status == 200

    asyncio.run(scenario())


def test_a_registration_that_no_link_can_be_opened_to_is_not_dialed(capsys):
    async def scenario():
        async with entry_fleet() as fleet:
            for number, address in enumerate(("fe80::1:9", "a.example:9", "0.0.0.0:9")):
                odd = encode_host(f"n{number + 7}", address, 9)
                await fleet.store.write(f"lovagepier/hosts/n{number + 7}.x", odd)
            await follow_on(fleet)
            await asyncio.sleep(1.0)
            assert set(fleet.hosts[0].view.members()) == {"n1"}

    asyncio.run(scenario())
    assert "unexpected error" not in capsys.readouterr().out


def test_an_unreadable_entry_of_a_host_keeps_what_was_known():
    async def scenario():
        async with entry_fleet(hosts=2) as fleet:
            first = fleet.hosts[0]
            for key in [
                key
                for key in first.view.hosts
                if ".".join(key.split(".")[:-1]).endswith("n2")
            ]:
                await fleet.store.write(key, b"[" * 100_000)
            await wait_until(lambda: first.view.as_of % 2**48 == fleet.store.revision)
            assert set(first.view.members()) == {"n1", "n2"}
            assert platform.era_of(first.view.as_of) == 1

    asyncio.run(scenario())
