"""Entry hosts with stand-ins for store and targets, from caller to target."""

import asyncio

import pytest

from lovagepier.entry._callers import stream_relay as _stream_relay
from lovagepier.entry._callers.frontend import REFUSE_AFTER_S
from lovagepier.entry._cluster import cluster as _cluster
from lovagepier.entry._store.view import encode_host
from test.entry_builders import (
    KEY,
    call,
    config,
    connect,
    entry_fleet,
    raw_request,
    read_response,
    settings,
    wait_until,
)
from trials.ports import free_port


def run_scenario(scenario, **options):
    async def run():
        async with entry_fleet(**options) as fleet:
            await scenario(fleet)

    asyncio.run(run())


def test_the_answer_is_relayed_unchanged_and_signed():
    async def scenario(fleet):
        answer = await call(fleet.hosts[0], "/read/x?y=1", "r1")
        assert answer.status == 200
        assert answer.body == b"done r1"
        assert answer.headers["x-server-seal"] == "s.w1"
        request_id, method, path, headers, _ = fleet.targets["w1"].runs[0]
        assert (request_id, method, path) == ("r1", "GET", "/read/x?y=1")
        assert headers["x-tenant"] == "blue"
        assert headers["x-expect-instance"] == "w1"
        assert int(headers["x-deadline-ms"]) <= 3000
        assert "authorization" not in headers

    run_scenario(scenario)


def test_callers_cannot_set_the_schedulers_headers():
    async def scenario(fleet):
        forged = ["X-Tenant: red", "X-Hold: h", "Kv-From: a/b", "X-Kv-Backup: c"]
        answer = await call(fleet.hosts[0], "/read/x", "r1", headers=forged)
        assert answer.status == 200
        headers = fleet.targets["w1"].runs[0][3]
        assert headers["x-tenant"] == "blue"
        assert not {"x-hold", "kv-from", "x-kv-backup"} & set(headers)

    run_scenario(scenario)


def test_events_are_relayed_as_they_arrive():
    async def scenario(fleet):
        target = fleet.targets["m1"]
        target.mode = "stream"
        target.gap_s = 0.3
        reader, writer = await connect(fleet.hosts[0])
        writer.write(raw_request("/talk/x", "r1", method="POST", body=b"{}"))
        raw = await reader.readuntil(b"piece 1\n\n\r\n")
        assert b"piece 2" not in raw
        writer.close()

    run_scenario(scenario)


@pytest.mark.parametrize("mode", ["error", "reset", "rubbish", "short", "unsigned"])
def test_repeatable_calls_are_retried_at_another_target(mode):
    async def scenario(fleet):
        fleet.targets["w1"].mode = mode
        for number in range(6):
            if number == 3:
                await fleet.add_target("w2", "ledger")
                await wait_until(lambda: fleet.hosts[0].view.target("w2") is not None)
            answer = await call(fleet.hosts[0], "/read/x", f"r{number}")
            if number >= 3:
                assert answer.status == 200
                assert answer.headers["x-server-seal"] == "s.w2"
            else:
                assert answer.status == (500 if mode == "error" else 502)

    run_scenario(scenario)


@pytest.mark.parametrize("mode", ["reset", "rubbish", "short", "unsigned"])
def test_calls_that_may_run_only_once_are_not_retried_nor_reported_as_not_run(mode):
    async def scenario(fleet):
        second = await fleet.add_target("w2", "ledger")
        await wait_until(lambda: fleet.hosts[0].view.target("w2") is not None)
        for target in (fleet.targets["w1"], second):
            target.mode = mode
        answer = await call(fleet.hosts[0], "/file/x", "r1", method="POST", body=b"1")
        assert answer.status == 502
        assert len(fleet.targets["w1"].runs) + len(second.runs) == 1

    run_scenario(scenario)


def test_refused_calls_go_to_another_target_even_if_they_may_run_only_once():
    async def scenario(fleet):
        fleet.targets["w1"].mode = "shed"
        await fleet.add_target("w2", "ledger")
        await wait_until(lambda: fleet.hosts[0].view.target("w2") is not None)
        for number in range(4):
            answer = await call(
                fleet.hosts[0], "/file/x", f"r{number}", method="POST", body=b"1"
            )
            assert answer.status == 200

    run_scenario(scenario)


@pytest.mark.parametrize(
    "mode",
    [
        "extra",
        "late_extra",
        "unnamed_extra",
        "unnamed_refusal",
        "unframed",
        "unframed_twice",
    ],
)
def test_each_caller_gets_the_answer_to_its_own_request(mode):
    async def scenario(fleet):
        fleet.targets["w1"].mode = mode
        for number in range(5):
            answer = await call(fleet.hosts[0], "/read/x", f"r{number}")
            assert answer.status == 200
            expected = b"up to the end" if mode == "unframed" else b"done r%d" % number
            assert answer.body == expected

    run_scenario(scenario)


def test_a_broken_stream_resumes_after_the_last_whole_event():
    async def scenario(fleet):
        fleet.targets["m1"].mode = "broken_stream"
        second = await fleet.add_target("m2", "model")
        second.mode = "broken_stream"
        await wait_until(lambda: fleet.hosts[0].view.target("m2") is not None)
        answer = await call(fleet.hosts[0], "/talk/x", "r1", method="POST", body=b"{}")
        assert answer.is_complete
        ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]
        assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]
        assert b"ha\n" not in answer.body

    run_scenario(scenario)


def test_a_silent_stream_resumes_at_another_target(monkeypatch):
    monkeypatch.setattr(_stream_relay, "MIN_SILENCE_TIMEOUT_S", 0.1)

    async def scenario(fleet):
        fleet.targets["m1"].mode = "silent_stream"
        second = await fleet.add_target("m2", "model")
        second.mode = "stream"
        await wait_until(lambda: fleet.hosts[0].view.target("m2") is not None)
        for number in range(4):
            path = "/talk/x"
            answer = await call(
                fleet.hosts[0], path, f"r{number}", method="POST", body=b"{}"
            )
            assert answer.is_complete
            ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]
            assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]
            assert b"ha\n" not in answer.body
        assert fleet.targets["m1"].runs

    run_scenario(scenario)


def test_a_silent_stream_is_not_cut_without_another_target(monkeypatch):
    monkeypatch.setattr(_stream_relay, "MIN_SILENCE_TIMEOUT_S", 0.1)

    async def scenario(fleet):
        fleet.targets["m1"].mode = "stream"
        fleet.targets["m1"].gap_s = 0.3
        answer = await call(fleet.hosts[0], "/talk/x", "r1", method="POST", body=b"{}")
        assert answer.is_complete
        assert len(fleet.targets["m1"].runs) == 1

    run_scenario(scenario)


def test_a_broken_stream_that_may_not_resume_is_cut():
    async def scenario(fleet):
        fleet.targets["m1"].mode = "broken_stream"
        answer = await call(fleet.hosts[0], "/note/x", "r1", method="POST", body=b"{}")
        assert not answer.is_complete
        assert answer.body.endswith(b"piece 2\n\n")

    run_scenario(scenario)


def test_running_work_is_cancelled_when_its_caller_disconnects():
    async def scenario(fleet):
        target = fleet.targets["w1"]
        target.work_s = 5.0
        _, writer = await connect(fleet.hosts[0])
        writer.write(raw_request("/read/x", "r1"))
        await wait_until(lambda: target.runs)
        writer.close()
        await wait_until(lambda: target.cancelled == ["r1"])

    run_scenario(scenario)


def test_waiting_requests_are_dropped_when_their_callers_disconnect():
    async def scenario(fleet):
        target = fleet.targets["w1"]
        target.work_s = 2.0
        host = fleet.hosts[0]
        writers = []
        for number in range(6):
            _, writer = await connect(host)
            writer.write(raw_request("/read/x", f"r{number}"))
            writers.append(writer)
        await wait_until(lambda: host.coordinator.waiting_count() == 2)
        for writer in writers:
            writer.close()
        await wait_until(lambda: host.coordinator.waiting_count() == 0)
        await wait_until(lambda: len(target.cancelled) == 4)
        assert len(target.runs) == 4

    run_scenario(scenario)


def test_a_call_fails_at_the_timeout_of_its_route():
    async def scenario(fleet):
        raw = config(2)
        for row in raw["routes"]:
            row["timeout_ms"] = 300
        await fleet.store.write("op/config", raw)
        await wait_until(lambda: fleet.hosts[0].view.version == 2)
        fleet.targets["w1"].mode = "mute"
        answer = await call(fleet.hosts[0], "/file/x", "r1", method="POST", body=b"1")
        assert answer.status == 504

    run_scenario(scenario)


def test_a_host_without_a_configuration_asks_callers_to_retry():
    async def run():
        async with entry_fleet(hosts=0) as fleet:
            await fleet.store.remove("op/config")
            host = await fleet.host("n1")
            await wait_until(lambda: host.view.last_answer_at is not None)
            answer = await call(host, "/nowhere/x", "r1", key="unknown")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0

    asyncio.run(run())


def test_unknown_routes_and_keys_are_refused():
    async def scenario(fleet):
        host = fleet.hosts[0]
        assert (await call(host, "/nowhere/x", "r1")).status == 404
        assert (await call(host, "/read/x", "r2", key="unknown")).status == 401
        assert not fleet.targets["w1"].arrivals

    run_scenario(scenario)


def test_draining_targets_get_no_new_work():
    async def scenario(fleet):
        second = await fleet.add_target("w2", "ledger")
        first = fleet.targets["w1"]
        await fleet.store.write("servers/w1", first.entry("draining"))
        await wait_until(lambda: fleet.hosts[0].view.target("w1").draining)
        before = len(first.runs)
        for number in range(5):
            answer = await call(fleet.hosts[0], "/read/x", f"r{number}")
            assert answer.status == 200
        assert len(first.runs) == before
        assert len(second.runs) == 5

    run_scenario(scenario)


def test_invalid_target_entries_are_ignored():
    async def scenario(fleet):
        await fleet.store.write("servers/bad", b"\xff\x00")
        await fleet.store.write("servers/odd", {"service": "ledger", "address": 7})
        bad_state = fleet.targets["w1"].entry("resting")
        await fleet.store.write("servers/rest", bad_state)
        host = fleet.hosts[0]
        await wait_until(lambda: "servers/rest" in host.view.items)
        assert {target.id for target in host.view.targets.values()} == {"w1", "m1"}
        assert (await call(host, "/read/x", "r1")).status == 200

    run_scenario(scenario)


def test_hosts_use_one_coordinator_and_continue_without_it():
    async def scenario(fleet):
        first, second = fleet.hosts
        await wait_until(lambda: second.cluster.coordinator_name == "n1")
        assert (await call(second, "/read/x", "r1")).status == 200
        fleet.tasks[0].cancel()
        for link in list(first.cluster.followers.links.values()):
            link.close()
        first._registrar.stop(block=False)
        await wait_until(lambda: first._loop and not second.cluster._outgoing.links)
        await fleet.store.remove(next(k for k in fleet.store.items if "/n1." in k))
        await wait_until(lambda: second.cluster.coordinator_name == "n2")
        assert (await call(second, "/read/x", "r2")).status == 200

    run_scenario(scenario, hosts=2)


def test_requests_in_flight_survive_the_loss_of_the_coordinator():
    async def scenario(fleet):
        first, second = fleet.hosts
        fleet.targets["w1"].work_s = 0.6
        await wait_until(lambda: second.cluster.coordinator_name == "n1")
        calls = [
            asyncio.create_task(call(second, "/read/x", f"r{number}"))
            for number in range(7)
        ]
        await wait_until(lambda: first.coordinator.waiting_count() == 3)
        await fleet.store.remove(next(k for k in fleet.store.items if "/n1." in k))
        for link in list(first.cluster.followers.links.values()):
            link.close()
        answers = await asyncio.gather(*calls)
        assert [answer.status for answer in answers] == [200] * 7
        assert len(fleet.targets["w1"].runs) == 7

    run_scenario(scenario, hosts=2)


def test_a_stopping_host_leaves_the_directory_and_finishes_its_requests():
    async def scenario(fleet):
        first, second = fleet.hosts
        await wait_until(lambda: len(second.cluster.live_hosts()) == 2)
        fleet.targets["w1"].work_s = 1.0
        running = asyncio.create_task(call(first, "/read/x", "r1"))
        await wait_until(lambda: fleet.targets["w1"].runs)
        first._stopping.set()
        await wait_until(
            lambda: (
                second.frontend._addresses("", "")
                == [second.cluster.followers.own_address]
            )
        )
        assert (await call(first, "/read/x", "r2")).status == 200
        reader, writer = await connect(first, "ready")
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await read_response(reader)).status == 503
        answer = await running
        assert answer.status == 200 and answer.body == b"done r1"
        await asyncio.wait_for(fleet.tasks[0], 8)

    run_scenario(scenario, hosts=2)


def test_a_host_that_starts_during_a_store_outage_learns_from_its_peers():
    async def scenario(fleet):
        first = fleet.hosts[0]
        fleet.store.fault = "busy"
        host, port = first.cfg.peers_listen
        second = await fleet.host("n2", seeds=f"{host}:{port}")
        await wait_until(lambda: second.view.version == 1)
        assert (await call(second, "/read/x", "r1")).status == 200

    run_scenario(scenario)


def test_a_silent_target_is_replaced_by_another():
    async def scenario(fleet):
        host = fleet.hosts[0]
        fleet.targets["w1"].mode = "mute"
        silent = asyncio.create_task(call(host, "/read/x", "r1"))
        await wait_until(lambda: fleet.targets["w1"].runs)
        await fleet.add_target("w2", "ledger")
        answer = await silent
        assert (answer.status, answer.headers["x-server-seal"]) == (200, "s.w2")

    run_scenario(scenario)


def test_a_slow_target_keeps_the_request_if_no_other_can_take_it():
    async def scenario(fleet):
        fleet.targets["w1"].work_s = 0.8
        answer = await call(fleet.hosts[0], "/read/x", "r1")
        assert answer.status == 200
        assert len(fleet.targets["w1"].runs) == 1

    run_scenario(scenario)


def test_a_stopping_host_refuses_requests_that_it_cannot_finish():
    async def scenario(fleet):
        host = fleet.hosts[0]
        fleet.targets["w1"].work_s = 4.0
        running = asyncio.create_task(call(host, "/read/x", "r1"))
        await wait_until(lambda: fleet.targets["w1"].runs)
        host._stopping.set()
        await wait_until(lambda: host.frontend.stops_at is not None)
        long = ["X-Token-Count: 10,5000"]
        answer = await call(host, "/talk/x", "r2", method="POST", headers=long)
        assert (answer.status, answer.headers["connection"]) == (503, "close")
        host.frontend.stops_at -= REFUSE_AFTER_S
        answer = await call(host, "/read/x", "r3")
        assert answer.status == 503 and float(answer.headers["retry-after"]) < 1
        assert not fleet.targets["m1"].runs
        running.cancel()

    run_scenario(scenario)


def test_hosts_that_do_not_watch_the_store_learn_from_the_coordinator(monkeypatch):
    monkeypatch.setattr(_cluster, "MAX_WATCHING_HOSTS", 1)

    async def scenario(fleet):
        first, second, third = fleet.hosts
        await wait_until(lambda: not second._watching.is_set())
        await wait_until(lambda: not third._watching.is_set())
        raw = config(2)
        spare = raw["routes"][0]
        raw["routes"] += [{**spare, "prefix": f"/more{n}/"} for n in range(200)]
        for version in range(2, 7):
            raw["version"] = version
            raw["routes"][-1]["timeout_ms"] = 1000 + version
            await fleet.store.write("op/config", raw)
            await wait_until(lambda v=version: third.view.version == v)
            assert third.view.catalog.routes[-1].timeout_s == 1 + version / 1000
        await fleet.store.remove("servers/w1")
        await wait_until(lambda: third.view.target("w1") is None)

    run_scenario(scenario, hosts=3)


def test_hosts_watch_the_store_once_the_coordinator_is_out_of_date(monkeypatch):
    monkeypatch.setattr(_cluster, "MAX_WATCHING_HOSTS", 1)

    async def scenario(fleet):
        first, second = fleet.hosts
        await wait_until(lambda: not second._watching.is_set())
        first.view.last_answer_at -= _cluster.MAX_COORDINATOR_STORE_AGE_S
        first._watching.clear()
        first._set_watching = lambda: None
        await wait_until(lambda: second._watching.is_set())
        await fleet.store.write("op/config", config(2))
        await wait_until(lambda: second.view.version == 2)

    run_scenario(scenario, hosts=2)


def test_settings_are_reloaded_and_an_invalid_file_is_ignored(tmp_path):
    async def run():
        async with entry_fleet(hosts=0) as fleet:
            path = tmp_path / "node.ini"
            path.write_text(settings("n1", fleet.store.port))
            host = await fleet.host("n1", path=path)
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


def test_a_former_coordinator_holds_no_slots():
    async def scenario(fleet):
        first, second = fleet.hosts
        await wait_until(lambda: second.cluster.coordinator_name == "n1")
        fleet.targets["w1"].work_s = 1.0
        running = asyncio.create_task(call(second, "/read/x", "r1"))
        await wait_until(lambda: fleet.targets["w1"].runs)
        held = first.coordinator._pools["ledger"].scheduler.fleet.in_flight
        assert held() == 1
        await fleet.store.remove(next(k for k in fleet.store.items if "/n1." in k))
        await wait_until(lambda: second.cluster.coordinator_name == "n2")
        await wait_until(lambda: held() == 0)
        assert second.coordinator._pools["ledger"].scheduler.fleet.in_flight() == 1
        assert (await running).status == 200
        await wait_until(
            lambda: not second.coordinator._pools["ledger"].scheduler.fleet.in_flight()
        )

    run_scenario(scenario, hosts=2)


def test_urgent_work_over_its_quota_still_runs_before_less_urgent_work():
    async def scenario(fleet):
        raw = config(2)
        raw["tenants"] = [
            {"name": "blue", "api_keys": [KEY], "rate_per_s": 0.001, "burst": 5},
            {"name": "red", "api_keys": ["key-of-red"]},
        ]
        for row in raw["routes"]:
            row["priority"] = 0 if row["name"] == "read" else 2
        await fleet.store.write("op/config", raw)
        host, target = fleet.hosts[0], fleet.targets["w1"]
        await wait_until(lambda: host.view.version == 2)
        target.work_s = 0.3
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
        await wait_until(lambda: host.coordinator.waiting_count() == 4)
        calls += [asyncio.create_task(send("file", number)) for number in range(2)]
        await wait_until(lambda: host.coordinator.waiting_count() == 6)
        answers = await asyncio.gather(*calls)
        assert [answer.status for answer in answers] == [200] * 11
        order = [run[0][:4] for run in target.runs]
        assert order == ["read"] * 9 + ["file"] * 2

    run_scenario(scenario, budgets={"quota_overage": "0", "quota_slack": "100"})


def test_a_starting_host_serves_before_it_reaches_the_senior_host(monkeypatch):
    monkeypatch.setattr(_cluster, "STARTUP_S", 1000.0)

    async def run():
        async with entry_fleet(hosts=0) as fleet:
            # Registered before a loss of all hosts; nothing listens at its address yet.
            lost = encode_host("n0", f"127.0.0.1:{free_port()}", 9)
            await fleet.store.write("lovagepier/hosts/n0.before", lost)
            host = await fleet.host("n1", host={"first_start": "false"})
            await wait_until(lambda: "n0" in host.view.members())
            assert (await call(host, "/read/x", "r1")).status == 200
            states = host.coordinator._pools["model"].scheduler.fleet
            assert [state.limit.value for state in states] == [1.0]

    asyncio.run(run())


def test_a_starting_host_keeps_the_first_coordinator_that_it_reaches(monkeypatch):
    monkeypatch.setattr(_cluster, "STARTUP_S", 1000.0)
    monkeypatch.setattr(_cluster, "STARTUP_SWITCH_S", 0.0)

    async def scenario(fleet):
        first, second = fleet.hosts
        await wait_until(lambda: second.cluster.coordinator_name == "n1")
        # Without its registration, n1 is no longer the most senior host.
        await fleet.store.remove(next(k for k in fleet.store.items if "/n1." in k))
        await wait_until(lambda: "n1" not in second.view.members())
        second.cluster.choose_coordinator()
        assert second.cluster.coordinator_name == "n1"

    run_scenario(scenario, hosts=2)


def test_a_restarted_host_does_not_grant_a_second_burst():
    async def spent(first_start):
        async with entry_fleet(hosts=0) as fleet:
            raw = config(2)
            raw["tenants"][0].update(rate_per_s=1, burst=20)
            await fleet.store.write("op/config", raw)
            host = await fleet.host(
                "n1",
                host={"first_start": first_start},
                budgets={"quota_overage": "0", "quota_slack": "0"},
            )
            await wait_until(lambda: host.view.catalog is not None)
            answers = [await call(host, "/read/x", f"r{n}") for n in range(25)]
            return sum(answer.status == 200 for answer in answers)

    assert asyncio.run(spent("true")) >= 20
    assert asyncio.run(spent("false")) <= 5


def test_a_request_counts_once_against_its_quota_when_retried():
    async def scenario(fleet):
        raw = config(2)
        raw["tenants"][0].update(rate_per_s=0.001, burst=4)
        await fleet.store.write("op/config", raw)
        host = fleet.hosts[0]
        await wait_until(lambda: host.view.version == 2)
        await fleet.targets["w1"].stop()
        await fleet.add_target("w2", "ledger")
        await wait_until(lambda: host.view.target("w2") is not None)
        # Without slack, requests may not overdraw the quota.
        for number in range(4):
            assert (await call(host, "/read/x", f"r{number}")).status == 200
        assert (await call(host, "/read/x", "r5")).status == 429

    run_scenario(
        scenario,
        host={"first_start": "true"},
        budgets={"quota_overage": "0", "quota_slack": "0"},
    )


def test_a_stopping_follower_tells_the_coordinator_at_once():
    async def scenario(fleet):
        first, second = fleet.hosts
        await wait_until(lambda: second.cluster.coordinator_name == "n1")
        await wait_until(lambda: len(first.frontend._addresses("", "")) == 2)
        second.cluster._maintain = lambda: None
        second._registrar.stop(block=False)
        second._stopping.set()
        await wait_until(
            lambda: len(first.frontend._addresses("", "")) == 1, seconds=0.5
        )

    run_scenario(scenario, hosts=2)
