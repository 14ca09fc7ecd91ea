"""The whole path on stand-ins: promises that must hold whatever targets do."""

import asyncio

import pytest

from lovagepier.entry import _cluster, _exchange
from lovagepier.entry._front import REFUSE_AFTER_S
from lovagepier.entry._view import encode_host
from test.entry_builders import (
    KEY,
    call,
    config,
    connect,
    head,
    read_answer,
    settings,
    until,
    world,
)
from trials.ports import free_port


def play(scenario, **options):
    async def run():
        async with world(**options) as made:
            await scenario(made)

    asyncio.run(run())


def test_answer_unchanged_and_signed():
    async def scenario(made):
        answer = await call(made.hosts[0], "/read/x?y=1", "r1")
        assert answer.status == 200
        assert answer.body == b"done r1"
        assert answer.headers["x-server-seal"] == "s.w1"
        request_id, method, path, headers, _ = made.workers["w1"].runs[0]
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
        headers = made.workers["w1"].runs[0][3]
        assert headers["x-tenant"] == "blue"
        assert not {"x-hold", "kv-from", "x-kv-backup"} & set(headers)

    play(scenario)


def test_events_pass_as_they_come():
    async def scenario(made):
        worker = made.workers["m1"]
        worker.mode = "stream"
        worker.gap_s = 0.3
        reader, writer = await connect(made.hosts[0])
        writer.write(head("/talk/x", "r1", method="POST", body=b"{}"))
        raw = await reader.readuntil(b"piece 1\n\n\r\n")
        assert b"piece 2" not in raw
        writer.close()

    play(scenario)


@pytest.mark.parametrize("mode", ["error", "reset", "rubbish", "short", "unsigned"])
def test_repeatable_calls_go_to_another_target(mode):
    async def scenario(made):
        made.workers["w1"].mode = mode
        for number in range(6):
            if number == 3:
                await made.worker("w2", "ledger")
                await until(lambda: made.hosts[0].view.target("w2") is not None)
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
        second = await made.worker("w2", "ledger")
        await until(lambda: made.hosts[0].view.target("w2") is not None)
        for worker in (made.workers["w1"], second):
            worker.mode = mode
        answer = await call(made.hosts[0], "/file/x", "r1", method="POST", body=b"1")
        assert answer.status == 502
        assert len(made.workers["w1"].runs) + len(second.runs) == 1

    play(scenario)


def test_refused_work_goes_elsewhere_even_if_it_may_run_once():
    async def scenario(made):
        made.workers["w1"].mode = "shed"
        await made.worker("w2", "ledger")
        await until(lambda: made.hosts[0].view.target("w2") is not None)
        for number in range(4):
            answer = await call(
                made.hosts[0], "/file/x", f"r{number}", method="POST", body=b"1"
            )
            assert answer.status == 200

    play(scenario)


@pytest.mark.parametrize("mode", ["extra", "late_extra", "unframed"])
def test_each_caller_gets_the_answer_to_its_own_request(mode):
    async def scenario(made):
        made.workers["w1"].mode = mode
        for number in range(5):
            answer = await call(made.hosts[0], "/read/x", f"r{number}")
            assert answer.status == 200
            expected = b"up to the end" if mode == "unframed" else b"done r%d" % number
            assert answer.body == expected

    play(scenario)


def test_a_broken_stream_goes_on_at_a_whole_event():
    async def scenario(made):
        made.workers["m1"].mode = "broken_stream"
        second = await made.worker("m2", "model")
        second.mode = "broken_stream"
        await until(lambda: made.hosts[0].view.target("m2") is not None)
        answer = await call(made.hosts[0], "/talk/x", "r1", method="POST", body=b"{}")
        assert answer.is_whole
        ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]
        assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]
        assert b"ha\n" not in answer.body

    play(scenario)


def test_a_stream_that_fell_silent_goes_on_elsewhere(monkeypatch):
    monkeypatch.setattr(_exchange, "GAP_LEAST_S", 0.1)

    async def scenario(made):
        made.workers["m1"].mode = "silent_stream"
        second = await made.worker("m2", "model")
        second.mode = "stream"
        await until(lambda: made.hosts[0].view.target("m2") is not None)
        for number in range(4):
            path = "/talk/x"
            answer = await call(
                made.hosts[0], path, f"r{number}", method="POST", body=b"{}"
            )
            assert answer.is_whole
            ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]
            assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]
            assert b"ha\n" not in answer.body
        assert made.workers["m1"].runs

    play(scenario)


def test_a_silent_stream_without_another_target_is_not_cut(monkeypatch):
    monkeypatch.setattr(_exchange, "GAP_LEAST_S", 0.1)

    async def scenario(made):
        made.workers["m1"].mode = "stream"
        made.workers["m1"].gap_s = 0.3
        answer = await call(made.hosts[0], "/talk/x", "r1", method="POST", body=b"{}")
        assert answer.is_whole
        assert len(made.workers["m1"].runs) == 1

    play(scenario)


def test_a_stream_that_may_not_go_on_looks_cut():
    async def scenario(made):
        made.workers["m1"].mode = "broken_stream"
        answer = await call(made.hosts[0], "/note/x", "r1", method="POST", body=b"{}")
        assert not answer.is_whole
        assert answer.body.endswith(b"piece 2\n\n")

    play(scenario)


def test_work_ends_when_its_caller_leaves():
    async def scenario(made):
        worker = made.workers["w1"]
        worker.work_s = 5.0
        _, writer = await connect(made.hosts[0])
        writer.write(head("/read/x", "r1"))
        await until(lambda: worker.runs)
        writer.close()
        await until(lambda: worker.cut == ["r1"])

    play(scenario)


def test_a_waiting_caller_that_leaves_is_forgotten():
    async def scenario(made):
        worker = made.workers["w1"]
        worker.work_s = 2.0
        host = made.hosts[0]
        writers = []
        for number in range(6):
            _, writer = await connect(host)
            writer.write(head("/read/x", f"r{number}"))
            writers.append(writer)
        await until(lambda: host.home.waiting_count() == 2)
        for writer in writers:
            writer.close()
        await until(lambda: host.home.waiting_count() == 0)
        await until(lambda: len(worker.cut) == 4)
        assert len(worker.runs) == 4

    play(scenario)


def test_a_final_answer_comes_at_the_routes_timeout():
    async def scenario(made):
        raw = config(2)
        for row in raw["routes"]:
            row["timeout_ms"] = 300
        await made.store.write("op/config", raw)
        await until(lambda: made.hosts[0].view.version == 2)
        made.workers["w1"].mode = "mute"
        answer = await call(made.hosts[0], "/file/x", "r1", method="POST", body=b"1")
        assert answer.status == 504

    play(scenario)


def test_a_host_without_a_configuration_denies_nothing():
    async def run():
        async with world(hosts=0) as made:
            await made.store.remove("op/config")
            host = await made.host("n1")
            await until(lambda: host.view.last_answer_at is not None)
            answer = await call(host, "/nowhere/x", "r1", key="unknown")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0

    asyncio.run(run())


def test_unknown_routes_and_keys():
    async def scenario(made):
        host = made.hosts[0]
        assert (await call(host, "/nowhere/x", "r1")).status == 404
        assert (await call(host, "/read/x", "r2", key="unknown")).status == 401
        assert not made.workers["w1"].arrivals

    play(scenario)


def test_leaving_targets_get_nothing_new():
    async def scenario(made):
        second = await made.worker("w2", "ledger")
        first = made.workers["w1"]
        await made.store.write("servers/w1", first.entry("draining"))
        await until(lambda: made.hosts[0].view.target("w1").leaving)
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
        bad_state = made.workers["w1"].entry("resting")
        await made.store.write("servers/rest", bad_state)
        host = made.hosts[0]
        await until(lambda: "servers/rest" in host.view.items)
        assert {target.id for target in host.view.targets.values()} == {"w1", "m1"}
        assert (await call(host, "/read/x", "r1")).status == 200

    play(scenario)


def test_hosts_ask_one_home_and_go_on_without_it():
    async def scenario(made):
        first, second = made.hosts
        await until(lambda: second.desk.coordinator_name == "n1")
        assert (await call(second, "/read/x", "r1")).status == 200
        made.tasks[0].cancel()
        for link in list(first.desk.followers.links.values()):
            link.close()
        first._registrar.stop(block=False)
        await until(lambda: first._loop and not second.desk._outgoing.links)
        await made.store.remove(next(k for k in made.store.items if "/n1." in k))
        await until(lambda: second.desk.coordinator_name == "n2")
        assert (await call(second, "/read/x", "r2")).status == 200

    play(scenario, hosts=2)


def test_requests_in_flight_survive_the_loss_of_the_home():
    async def scenario(made):
        first, second = made.hosts
        made.workers["w1"].work_s = 0.6
        await until(lambda: second.desk.coordinator_name == "n1")
        calls = [
            asyncio.create_task(call(second, "/read/x", f"r{number}"))
            for number in range(7)
        ]
        await until(lambda: first.home.waiting_count() == 3)
        await made.store.remove(next(k for k in made.store.items if "/n1." in k))
        for link in list(first.desk.followers.links.values()):
            link.close()
        answers = await asyncio.gather(*calls)
        assert [answer.status for answer in answers] == [200] * 7
        assert len(made.workers["w1"].runs) == 7

    play(scenario, hosts=2)


def test_a_stopping_host_leaves_the_directory_and_cuts_nothing():
    async def scenario(made):
        first, second = made.hosts
        await until(lambda: len(second.desk.live_hosts()) == 2)
        made.workers["w1"].work_s = 1.0
        running = asyncio.create_task(call(first, "/read/x", "r1"))
        await until(lambda: made.workers["w1"].runs)
        first._stopping.set()
        await until(
            lambda: second.front._addresses("", "") == [second.desk.followers.own_address]
        )
        assert (await call(first, "/read/x", "r2")).status == 200
        reader, writer = await connect(first, "ready")
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await read_answer(reader)).status == 503
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
        await until(lambda: second.view.version == 1)
        assert (await call(second, "/read/x", "r1")).status == 200

    play(scenario)


def test_a_silent_target_is_replaced_by_another():
    async def scenario(made):
        host = made.hosts[0]
        made.workers["w1"].mode = "mute"
        quiet = asyncio.create_task(call(host, "/read/x", "r1"))
        await until(lambda: made.workers["w1"].runs)
        await made.worker("w2", "ledger")
        answer = await quiet
        assert (answer.status, answer.headers["x-server-seal"]) == (200, "s.w2")

    play(scenario)


def test_a_slow_target_keeps_the_request_where_no_other_can_take_it():
    async def scenario(made):
        made.workers["w1"].work_s = 0.8
        answer = await call(made.hosts[0], "/read/x", "r1")
        assert answer.status == 200
        assert len(made.workers["w1"].runs) == 1

    play(scenario)


def test_a_stopping_host_takes_nothing_that_it_cannot_see_through():
    async def scenario(made):
        host = made.hosts[0]
        made.workers["w1"].work_s = 4.0
        running = asyncio.create_task(call(host, "/read/x", "r1"))
        await until(lambda: made.workers["w1"].runs)
        host._stopping.set()
        await until(lambda: host.front.stops_at is not None)
        long = ["X-Token-Count: 10,5000"]
        answer = await call(host, "/talk/x", "r2", method="POST", headers=long)
        assert (answer.status, answer.headers["connection"]) == (503, "close")
        host.front.stops_at -= REFUSE_AFTER_S
        answer = await call(host, "/read/x", "r3")
        assert answer.status == 503 and float(answer.headers["retry-after"]) < 1
        assert not made.workers["m1"].runs
        running.cancel()

    play(scenario)


def test_hosts_that_do_not_watch_learn_from_the_home(monkeypatch):
    monkeypatch.setattr(_cluster, "WATCHING_HOSTS", 1)

    async def scenario(made):
        first, second, third = made.hosts
        await until(lambda: not second._watching.is_set())
        await until(lambda: not third._watching.is_set())
        raw = config(2)
        spare = raw["routes"][0]
        raw["routes"] += [{**spare, "prefix": f"/more{n}/"} for n in range(200)]
        for version in range(2, 7):
            raw["version"] = version
            raw["routes"][-1]["timeout_ms"] = 1000 + version
            await made.store.write("op/config", raw)
            await until(lambda v=version: third.view.version == v)
            assert third.view.catalog.routes[-1].timeout_s == 1 + version / 1000
        await made.store.remove("servers/w1")
        await until(lambda: third.view.target("w1") is None)

    play(scenario, hosts=3)


def test_hosts_watch_for_themselves_once_the_home_knows_nothing_new(monkeypatch):
    monkeypatch.setattr(_cluster, "WATCHING_HOSTS", 1)

    async def scenario(made):
        first, second = made.hosts
        await until(lambda: not second._watching.is_set())
        first.view.last_answer_at -= _cluster.MAX_COORDINATOR_STORE_AGE_S
        first._watching.clear()
        first._set_watching = lambda: None
        await until(lambda: second._watching.is_set())
        await made.store.write("op/config", config(2))
        await until(lambda: second.view.version == 2)

    play(scenario, hosts=2)


def test_settings_are_read_again_and_a_bad_file_is_kept_out(tmp_path):
    async def run():
        async with world(hosts=0) as made:
            path = tmp_path / "node.ini"
            path.write_text(settings("n1", made.store.port))
            host = await made.host("n1", path=path)
            await until(lambda: host.view.catalog is not None)
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
        await until(lambda: second.desk.coordinator_name == "n1")
        made.workers["w1"].work_s = 1.0
        running = asyncio.create_task(call(second, "/read/x", "r1"))
        await until(lambda: made.workers["w1"].runs)
        held = first.home._pools["ledger"].scheduler.fleet.in_flight
        assert held() == 1
        await made.store.remove(next(k for k in made.store.items if "/n1." in k))
        await until(lambda: second.desk.coordinator_name == "n2")
        await until(lambda: held() == 0)
        assert second.home._pools["ledger"].scheduler.fleet.in_flight() == 1
        assert (await running).status == 200
        await until(
            lambda: not second.home._pools["ledger"].scheduler.fleet.in_flight()
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
        host, worker = made.hosts[0], made.workers["w1"]
        await until(lambda: host.view.version == 2)
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
        await until(lambda: host.home.waiting_count() == 4)
        calls += [asyncio.create_task(send("file", number)) for number in range(2)]
        await until(lambda: host.home.waiting_count() == 6)
        answers = await asyncio.gather(*calls)
        assert [answer.status for answer in answers] == [200] * 11
        order = [run[0][:4] for run in worker.runs]
        assert order == ["read"] * 9 + ["file"] * 2

    play(scenario, budgets={"quota_overage": "0", "quota_slack": "100"})


def test_a_host_that_starts_serves_before_it_has_found_the_senior_one(monkeypatch):
    monkeypatch.setattr(_cluster, "SETTLE_S", 1000.0)

    async def run():
        async with world(hosts=0) as made:
            # Registered before a loss of all hosts; nothing listens there yet.
            lost = encode_host("n0", f"127.0.0.1:{free_port()}", 9)
            await made.store.write("lovagepier/hosts/n0.before", lost)
            host = await made.host("n1", host={"first_start": "false"})
            await until(lambda: "n0" in host.view.members())
            assert (await call(host, "/read/x", "r1")).status == 200
            fleet = host.home._pools["model"].scheduler.fleet
            assert [state.limit.value for state in fleet] == [1.0]

    asyncio.run(run())


def test_a_host_that_starts_keeps_the_first_home_that_it_reaches(monkeypatch):
    monkeypatch.setattr(_cluster, "SETTLE_S", 1000.0)
    monkeypatch.setattr(_cluster, "SETTLE_PICK_S", 0.0)

    async def scenario(made):
        first, second = made.hosts
        await until(lambda: second.desk.coordinator_name == "n1")
        # Registered again, n1 is no longer the most senior.
        await made.store.remove(next(k for k in made.store.items if "/n1." in k))
        await until(lambda: "n1" not in second.view.members())
        second.desk.choose_coordinator()
        assert second.desk.coordinator_name == "n1"

    play(scenario, hosts=2)


def test_a_host_that_starts_again_gives_out_no_second_burst():
    async def spent(first_start):
        async with world(hosts=0) as made:
            raw = config(2)
            raw["tenants"][0].update(rate_per_s=1, burst=20)
            await made.store.write("op/config", raw)
            host = await made.host(
                "n1",
                host={"first_start": first_start},
                budgets={"quota_overage": "0", "quota_slack": "0"},
            )
            await until(lambda: host.view.catalog is not None)
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
        await until(lambda: host.view.version == 2)
        await made.workers["w1"].stop()
        await made.worker("w2", "ledger")
        await until(lambda: host.view.target("w2") is not None)
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
        await until(lambda: second.desk.coordinator_name == "n1")
        await until(lambda: len(first.front._addresses("", "")) == 2)
        second.desk._upkeep = lambda: None
        second._registrar.stop(block=False)
        second._stopping.set()
        await until(lambda: len(first.front._addresses("", "")) == 1, seconds=0.5)

    play(scenario, hosts=2)
