"""The whole path on stand-ins: promises that must hold whatever targets do."""

import asyncio

import pytest

from lovagepier.entry import _desk, _exchange
from lovagepier.entry._frontend import REFUSE_AFTER_S
from lovagepier.entry._view import encode_host
from test.entry_builders import (
    KEY,
    call,
    config,
    connect,
    raw_request,
    read_response,
    settings,
    wait_until,
    entry_fleet,
)
from trials.ports import free_port


def play(scenario, **options):
    async def run():
        async with entry_fleet(**options) as made:
            await scenario(made)

    asyncio.run(run())


def test_answer_unchanged_and_signed():
    async def scenario(made):
        answer = await call(made.hosts[0], "/read/x?y=1", "r1")
        assert answer.status == 200
        assert answer.body == b"done r1"
        assert answer.headers["x-server-seal"] == "s.w1"
        request_id, method, path, headers, _ = made.targets["w1"].runs[0]
        assert (request_id, method, path) == ("r1", "GET", "/read/x?y=1")
        assert headers["x-tenant"] == "blue"
        assert headers["x-expect-instance"] == "w1"
        assert int(headers["x-deadline-ms"]) <= 3000
        assert "authorization" not in headers

    play(scenario)


def test_callers_cannot_set_what_only_the_scheduler_says():
    async def scenario(made):
        forged = ["X-Tenant: red", "X-Hold: h", "Kv-From: a/b", "X-Kv-Backup: c"]
        answer = await call(made.hosts[0], "/read/x", "r1", headers=forged)
        assert answer.status == 200
        headers = made.targets["w1"].runs[0][3]
        assert headers["x-tenant"] == "blue"
        assert not {"x-hold", "kv-from", "x-kv-backup"} & set(headers)

    play(scenario)


def test_events_pass_as_they_come():
    async def scenario(made):
        worker = made.targets["m1"]
        worker.mode = "stream"
        worker.gap_s = 0.3
        reader, writer = await connect(made.hosts[0])
        writer.write(raw_request("/talk/x", "r1", method="POST", body=b"{}"))
        raw = await reader.readuntil(b"piece 1\n\n\r\n")
        assert b"piece 2" not in raw
        writer.close()

    play(scenario)


@pytest.mark.parametrize("mode", ["error", "reset", "rubbish", "short", "unsigned"])
def test_repeatable_calls_go_to_another_target(mode):
    async def scenario(made):
        made.targets["w1"].mode = mode
        for number in range(6):
            if number == 3:
                await made.add_target("w2", "ledger")
                await wait_until(lambda: made.hosts[0].view.target("w2") is not None)
            answer = await call(made.hosts[0], "/read/x", f"r{number}")
            if number >= 3:
                assert answer.status == 200
                assert answer.headers["x-server-seal"] == "s.w2"
            else:
                assert answer.status == (500 if mode == "error" else 502)

    play(scenario)


@pytest.mark.parametrize("mode", ["reset", "rubbish", "short", "unsigned"])
def test_what_may_run_once_is_not_repeated_nor_called_not_run(mode):
    async def scenario(made):
        second = await made.add_target("w2", "ledger")
        await wait_until(lambda: made.hosts[0].view.target("w2") is not None)
        for worker in (made.targets["w1"], second):
            worker.mode = mode
        answer = await call(made.hosts[0], "/file/x", "r1", method="POST", body=b"1")
        assert answer.status == 502
        assert len(made.targets["w1"].runs) + len(second.runs) == 1

    play(scenario)


def test_refused_work_goes_elsewhere_even_if_it_may_run_once():
    async def scenario(made):
        made.targets["w1"].mode = "shed"
        await made.add_target("w2", "ledger")
        await wait_until(lambda: made.hosts[0].view.target("w2") is not None)
        for number in range(4):
            answer = await call(
                made.hosts[0], "/file/x", f"r{number}", method="POST", body=b"1"
            )
            assert answer.status == 200

    play(scenario)


@pytest.mark.parametrize("mode", ["extra", "late_extra", "unframed"])
def test_each_caller_gets_the_answer_to_its_own_request(mode):
    async def scenario(made):
        made.targets["w1"].mode = mode
        for number in range(5):
            answer = await call(made.hosts[0], "/read/x", f"r{number}")
            assert answer.status == 200
            expected = b"up to the end" if mode == "unframed" else b"done r%d" % number
            assert answer.body == expected

    play(scenario)


def test_a_broken_stream_goes_on_at_a_whole_event():
    async def scenario(made):
        made.targets["m1"].mode = "broken_stream"
        second = await made.add_target("m2", "model")
        second.mode = "broken_stream"
        await wait_until(lambda: made.hosts[0].view.target("m2") is not None)
        answer = await call(made.hosts[0], "/talk/x", "r1", method="POST", body=b"{}")
        assert answer.is_complete
        ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]
        assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]
        assert b"ha\n" not in answer.body

    play(scenario)


def test_a_stream_that_fell_silent_goes_on_elsewhere(monkeypatch):
    monkeypatch.setattr(_exchange, "MIN_SILENCE_TIMEOUT_S", 0.1)

    async def scenario(made):
        made.targets["m1"].mode = "silent_stream"
        second = await made.add_target("m2", "model")
        second.mode = "stream"
        await wait_until(lambda: made.hosts[0].view.target("m2") is not None)
        for number in range(4):
            path = "/talk/x"
            answer = await call(
                made.hosts[0], path, f"r{number}", method="POST", body=b"{}"
            )
            assert answer.is_complete
            ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]
            assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]
            assert b"ha\n" not in answer.body
        assert made.targets["m1"].runs

    play(scenario)


def test_a_silent_stream_without_another_target_is_not_cut(monkeypatch):
    monkeypatch.setattr(_exchange, "MIN_SILENCE_TIMEOUT_S", 0.1)

    async def scenario(made):
        made.targets["m1"].mode = "stream"
        made.targets["m1"].gap_s = 0.3
        answer = await call(made.hosts[0], "/talk/x", "r1", method="POST", body=b"{}")
        assert answer.is_complete
        assert len(made.targets["m1"].runs) == 1

    play(scenario)


def test_a_stream_that_may_not_go_on_looks_cut():
    async def scenario(made):
        made.targets["m1"].mode = "broken_stream"
        answer = await call(made.hosts[0], "/note/x", "r1", method="POST", body=b"{}")
        assert not answer.is_complete
        assert answer.body.endswith(b"piece 2\n\n")

    play(scenario)


def test_work_ends_when_its_caller_leaves():
    async def scenario(made):
        worker = made.targets["w1"]
        worker.work_s = 5.0
        _, writer = await connect(made.hosts[0])
        writer.write(raw_request("/read/x", "r1"))
        await wait_until(lambda: worker.runs)
        writer.close()
        await wait_until(lambda: worker.cancelled == ["r1"])

    play(scenario)


def test_a_waiting_caller_that_leaves_is_forgotten():
    async def scenario(made):
        worker = made.targets["w1"]
        worker.work_s = 2.0
        host = made.hosts[0]
        writers = []
        for number in range(6):
            _, writer = await connect(host)
            writer.write(raw_request("/read/x", f"r{number}"))
            writers.append(writer)
        await wait_until(lambda: host.coordinator.waiting() == 2)
        for writer in writers:
            writer.close()
        await wait_until(lambda: host.coordinator.waiting() == 0)
        await wait_until(lambda: len(worker.cancelled) == 4)
        assert len(worker.runs) == 4

    play(scenario)


def test_a_final_answer_comes_at_the_routes_timeout():
    async def scenario(made):
        raw = config(2)
        for row in raw["routes"]:
            row["timeout_ms"] = 300
        await made.store.write("op/config", raw)
        await wait_until(lambda: made.hosts[0].view.version == 2)
        made.targets["w1"].mode = "mute"
        answer = await call(made.hosts[0], "/file/x", "r1", method="POST", body=b"1")
        assert answer.status == 504

    play(scenario)


def test_a_host_without_a_configuration_denies_nothing():
    async def run():
        async with entry_fleet(hosts=0) as made:
            await made.store.remove("op/config")
            host = await made.host("n1")
            await wait_until(lambda: host.view.heard_at is not None)
            answer = await call(host, "/nowhere/x", "r1", key="unknown")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0

    asyncio.run(run())


def test_unknown_routes_and_keys():
    async def scenario(made):
        host = made.hosts[0]
        assert (await call(host, "/nowhere/x", "r1")).status == 404
        assert (await call(host, "/read/x", "r2", key="unknown")).status == 401
        assert not made.targets["w1"].arrivals

    play(scenario)


def test_leaving_targets_get_nothing_new():
    async def scenario(made):
        second = await made.add_target("w2", "ledger")
        first = made.targets["w1"]
        await made.store.write("servers/w1", first.entry("draining"))
        await wait_until(lambda: made.hosts[0].view.target("w1").draining)
        before = len(first.runs)
        for number in range(5):
            answer = await call(made.hosts[0], "/read/x", f"r{number}")
            assert answer.status == 200
        assert len(first.runs) == before
        assert len(second.runs) == 5

    play(scenario)


def test_foreign_entries_name_no_target_and_harm_no_other():
    async def scenario(made):
        await made.store.write("servers/bad", b"\xff\x00")
        await made.store.write("servers/odd", {"service": "ledger", "address": 7})
        bad_state = made.targets["w1"].entry("resting")
        await made.store.write("servers/rest", bad_state)
        host = made.hosts[0]
        await wait_until(lambda: "servers/rest" in host.view.items)
        assert {target.id for target in host.view.targets.values()} == {"w1", "m1"}
        assert (await call(host, "/read/x", "r1")).status == 200

    play(scenario)


def test_hosts_ask_one_home_and_go_on_without_it():
    async def scenario(made):
        first, second = made.hosts
        await wait_until(lambda: second.cluster.current == "n1")
        assert (await call(second, "/read/x", "r1")).status == 200
        made.tasks[0].cancel()
        for link in list(first.cluster.served.links.values()):
            link.close()
        first._registrar.stop(block=False)
        await wait_until(lambda: first._loop and not second.cluster._reach.links)
        await made.store.remove(next(k for k in made.store.items if "/n1." in k))
        await wait_until(lambda: second.cluster.current == "n2")
        assert (await call(second, "/read/x", "r2")).status == 200

    play(scenario, hosts=2)


def test_requests_in_flight_survive_the_loss_of_the_home():
    async def scenario(made):
        first, second = made.hosts
        made.targets["w1"].work_s = 0.6
        await wait_until(lambda: second.cluster.current == "n1")
        calls = [
            asyncio.create_task(call(second, "/read/x", f"r{number}"))
            for number in range(7)
        ]
        await wait_until(lambda: first.coordinator.waiting() == 3)
        await made.store.remove(next(k for k in made.store.items if "/n1." in k))
        for link in list(first.cluster.served.links.values()):
            link.close()
        answers = await asyncio.gather(*calls)
        assert [answer.status for answer in answers] == [200] * 7
        assert len(made.targets["w1"].runs) == 7

    play(scenario, hosts=2)


def test_a_stopping_host_leaves_the_directory_and_cuts_nothing():
    async def scenario(made):
        first, second = made.hosts
        await wait_until(lambda: len(second.cluster.live_hosts()) == 2)
        made.targets["w1"].work_s = 1.0
        running = asyncio.create_task(call(first, "/read/x", "r1"))
        await wait_until(lambda: made.targets["w1"].runs)
        first._stopping.set()
        await wait_until(
            lambda: second.frontend._addresses("", "") == [second.cluster.served.own_address]
        )
        assert (await call(first, "/read/x", "r2")).status == 200
        reader, writer = await connect(first, "ready")
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await read_response(reader)).status == 503
        answer = await running
        assert answer.status == 200 and answer.body == b"done r1"
        await asyncio.wait_for(made.tasks[0], 8)

    play(scenario, hosts=2)


def test_a_host_that_starts_in_an_outage_learns_from_its_peers():
    async def scenario(made):
        first = made.hosts[0]
        made.store.fault = "busy"
        host, port = first.cfg.peers_listen
        second = await made.host("n2", seeds=f"{host}:{port}")
        await wait_until(lambda: second.view.version == 1)
        assert (await call(second, "/read/x", "r1")).status == 200

    play(scenario)


def test_a_silent_target_is_replaced_by_another():
    async def scenario(made):
        host = made.hosts[0]
        made.targets["w1"].mode = "mute"
        quiet = asyncio.create_task(call(host, "/read/x", "r1"))
        await wait_until(lambda: made.targets["w1"].runs)
        await made.add_target("w2", "ledger")
        answer = await quiet
        assert (answer.status, answer.headers["x-server-seal"]) == (200, "s.w2")

    play(scenario)


def test_a_slow_target_keeps_the_request_where_no_other_can_take_it():
    async def scenario(made):
        made.targets["w1"].work_s = 0.8
        answer = await call(made.hosts[0], "/read/x", "r1")
        assert answer.status == 200
        assert len(made.targets["w1"].runs) == 1

    play(scenario)


def test_a_stopping_host_takes_nothing_that_it_cannot_see_through():
    async def scenario(made):
        host = made.hosts[0]
        made.targets["w1"].work_s = 4.0
        running = asyncio.create_task(call(host, "/read/x", "r1"))
        await wait_until(lambda: made.targets["w1"].runs)
        host._stopping.set()
        await wait_until(lambda: host.frontend.stops_at is not None)
        long = ["X-Token-Count: 10,5000"]
        answer = await call(host, "/talk/x", "r2", method="POST", headers=long)
        assert (answer.status, answer.headers["connection"]) == (503, "close")
        host.frontend.stops_at -= REFUSE_AFTER_S
        answer = await call(host, "/read/x", "r3")
        assert answer.status == 503 and float(answer.headers["retry-after"]) < 1
        assert not made.targets["m1"].runs
        running.cancel()

    play(scenario)


def test_hosts_that_do_not_watch_learn_from_the_home(monkeypatch):
    monkeypatch.setattr(_desk, "WATCHING_HOSTS", 1)

    async def scenario(made):
        first, second, third = made.hosts
        await wait_until(lambda: not second._watching.is_set())
        await wait_until(lambda: not third._watching.is_set())
        raw = config(2)
        spare = raw["routes"][0]
        raw["routes"] += [{**spare, "prefix": f"/more{n}/"} for n in range(200)]
        for version in range(2, 7):
            raw["version"] = version
            raw["routes"][-1]["timeout_ms"] = 1000 + version
            await made.store.write("op/config", raw)
            await wait_until(lambda v=version: third.view.version == v)
            assert third.view.catalog.routes[-1].timeout_s == 1 + version / 1000
        await made.store.remove("servers/w1")
        await wait_until(lambda: third.view.target("w1") is None)

    play(scenario, hosts=3)


def test_hosts_watch_for_themselves_once_the_home_knows_nothing_new(monkeypatch):
    monkeypatch.setattr(_desk, "WATCHING_HOSTS", 1)

    async def scenario(made):
        first, second = made.hosts
        await wait_until(lambda: not second._watching.is_set())
        first.view.heard_at -= _desk.HOME_STALE_S
        first._watching.clear()
        first._set_watching = lambda: None
        await wait_until(lambda: second._watching.is_set())
        await made.store.write("op/config", config(2))
        await wait_until(lambda: second.view.version == 2)

    play(scenario, hosts=2)


def test_settings_are_read_again_and_a_bad_file_is_kept_out(tmp_path):
    async def run():
        async with entry_fleet(hosts=0) as made:
            path = tmp_path / "node.ini"
            path.write_text(settings("n1", made.store.port))
            host = await made.host("n1", path=path)
            await wait_until(lambda: host.view.catalog is not None)
            text = path.read_text()
            path.write_text(text + "\n[shutdown]\ngrace = 3s\n")
            host._reload()
            assert host.cfg.shutdown_grace == 3.0
            path.write_text(text + "\n[shutdown]\ngrace = soon\n")
            host._reload()
            assert host.cfg.shutdown_grace == 3.0
            assert (await call(host, "/read/x", "r1")).status == 200

    asyncio.run(run())


def test_a_home_that_is_no_longer_asked_holds_no_slots():
    async def scenario(made):
        first, second = made.hosts
        await wait_until(lambda: second.cluster.current == "n1")
        made.targets["w1"].work_s = 1.0
        running = asyncio.create_task(call(second, "/read/x", "r1"))
        await wait_until(lambda: made.targets["w1"].runs)
        held = first.coordinator._pools["ledger"].scheduler.fleet.in_flight
        assert held() == 1
        await made.store.remove(next(k for k in made.store.items if "/n1." in k))
        await wait_until(lambda: second.cluster.current == "n2")
        await wait_until(lambda: held() == 0)
        assert second.coordinator._pools["ledger"].scheduler.fleet.in_flight() == 1
        assert (await running).status == 200
        await wait_until(
            lambda: not second.coordinator._pools["ledger"].scheduler.fleet.in_flight()
        )

    play(scenario, hosts=2)


def test_over_its_quota_urgent_work_still_goes_before_less_urgent_work():
    async def scenario(made):
        raw = config(2)
        raw["tenants"] = [
            {"name": "blue", "api_keys": [KEY], "rate_per_s": 0.001, "burst": 5},
            {"name": "red", "api_keys": ["key-of-red"]},
        ]
        for row in raw["routes"]:
            row["priority"] = 0 if row["name"] == "read" else 2
        await made.store.write("op/config", raw)
        host, worker = made.hosts[0], made.targets["w1"]
        await wait_until(lambda: host.view.version == 2)
        worker.work_s = 0.3
        keys = {"read": KEY, "file": "key-of-red"}

        async def send(name, number):
            method = "GET" if name == "read" else "POST"
            body = b"" if name == "read" else b"1"
            path = f"/{name}/x"
            return await call(
                host, path, f"{name}{number}", method=method, key=keys[name], body=body
            )

        # Blue is over its quota by the second half of its calls; red is not.
        calls = [asyncio.create_task(send("read", number)) for number in range(9)]
        await wait_until(lambda: host.coordinator.waiting() == 4)
        calls += [asyncio.create_task(send("file", number)) for number in range(2)]
        await wait_until(lambda: host.coordinator.waiting() == 6)
        answers = await asyncio.gather(*calls)
        assert [answer.status for answer in answers] == [200] * 11
        order = [run[0][:4] for run in worker.runs]
        assert order == ["read"] * 9 + ["file"] * 2

    play(scenario, budgets={"quota_overage": "0", "quota_slack": "100"})


def test_a_host_that_starts_serves_before_it_has_found_the_senior_one(monkeypatch):
    monkeypatch.setattr(_desk, "SETTLE_S", 1000.0)

    async def run():
        async with entry_fleet(hosts=0) as made:
            # Registered before a loss of all hosts; nothing listens there yet.
            lost = encode_host("n0", f"127.0.0.1:{free_port()}", 9)
            await made.store.write("lovagepier/hosts/n0.before", lost)
            host = await made.host("n1", host={"first_start": "false"})
            await wait_until(lambda: "n0" in host.view.members())
            assert (await call(host, "/read/x", "r1")).status == 200
            fleet = host.coordinator._pools["model"].scheduler.fleet
            assert [state.limit.value for state in fleet] == [1.0]

    asyncio.run(run())


def test_a_host_that_starts_keeps_the_first_home_that_it_reaches(monkeypatch):
    monkeypatch.setattr(_desk, "SETTLE_S", 1000.0)
    monkeypatch.setattr(_desk, "SETTLE_PICK_S", 0.0)

    async def scenario(made):
        first, second = made.hosts
        await wait_until(lambda: second.cluster.current == "n1")
        # Registered again, n1 is no longer the most senior.
        await made.store.remove(next(k for k in made.store.items if "/n1." in k))
        await wait_until(lambda: "n1" not in second.view.members())
        second.cluster.choose()
        assert second.cluster.current == "n1"

    play(scenario, hosts=2)


def test_a_host_that_starts_again_gives_out_no_second_burst():
    async def spent(first_start):
        async with entry_fleet(hosts=0) as made:
            raw = config(2)
            raw["tenants"][0].update(rate_per_s=1, burst=20)
            await made.store.write("op/config", raw)
            host = await made.host(
                "n1",
                host={"first_start": first_start},
                budgets={"quota_overage": "0", "quota_slack": "0"},
            )
            await wait_until(lambda: host.view.catalog is not None)
            answers = [await call(host, "/read/x", f"r{n}") for n in range(25)]
            return sum(answer.status == 200 for answer in answers)

    assert asyncio.run(spent("true")) >= 20
    assert asyncio.run(spent("false")) <= 5


def test_a_request_counts_once_against_its_quota_wherever_it_is_offered():
    async def scenario(made):
        raw = config(2)
        raw["tenants"][0].update(rate_per_s=0.001, burst=4)
        await made.store.write("op/config", raw)
        host = made.hosts[0]
        await wait_until(lambda: host.view.version == 2)
        await made.targets["w1"].stop()
        await made.add_target("w2", "ledger")
        await wait_until(lambda: host.view.target("w2") is not None)
        # Without a slack no request may leave a debt.
        for number in range(4):
            assert (await call(host, "/read/x", f"r{number}")).status == 200
        assert (await call(host, "/read/x", "r5")).status == 429

    play(
        scenario,
        host={"first_start": "true"},
        budgets={"quota_overage": "0", "quota_slack": "0"},
    )


def test_a_stopping_host_that_is_not_home_tells_the_home_at_once():
    async def scenario(made):
        first, second = made.hosts
        await wait_until(lambda: second.cluster.current == "n1")
        await wait_until(lambda: len(first.frontend._addresses("", "")) == 2)
        second.cluster._upkeep = lambda: None
        second._registrar.stop(block=False)
        second._stopping.set()
        await wait_until(lambda: len(first.frontend._addresses("", "")) == 1, seconds=0.5)

    play(scenario, hosts=2)
