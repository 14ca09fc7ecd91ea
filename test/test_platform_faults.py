"""The store is down, slow or loses responses; operators submit patches at once."""

import threading
import time

import pytest

from lovagepier.client import Caller
from test.builders import completion
from test.faults import Traffic, make_fleet
from trials.cluster import http_json, wait_until


@pytest.fixture(scope="module")
def fleet():
    cluster = make_fleet()
    yield cluster
    cluster.close()


@pytest.fixture(autouse=True)
def clear_faults(fleet):
    yield
    fleet.set_faults("kv", down=None, slow=None, lost=None)


def _journal(fleet):
    return [entry["key"] for n in fleet.services for entry in fleet.journal(n)]


def test_requests_are_served_during_an_outage_of_the_store(fleet):
    fleet.set_faults("kv", down=1)
    caller = Caller(fleet.addresses(), "key-of-high")
    for number in range(10):
        assert caller.complete(completion(f"o{number}"), 5000).status == 200
    read = caller.record("GET", "/ledger/entries", deadline_ms=4000)
    assert read.status == 200


def test_a_write_during_an_outage_is_reported_as_not_run_and_can_be_retried(fleet):
    caller = Caller(fleet.addresses(), "key-of-high")
    fleet.set_faults("kv", down=1)
    first = caller.record("POST", "/ledger/e", b"{}", "outage", deadline_ms=2000)
    assert (first.status, first.run) == (503, "no")
    assert "outage" not in _journal(fleet)
    fleet.set_faults("kv", down=None)

    def recorded():
        reply = caller.record("POST", "/ledger/e", b"{}", "outage", deadline_ms=4000)
        return reply.status == 201

    wait_until(recorded, 15, "the write after the outage")
    assert _journal(fleet).count("outage") == 1


def test_replies_match_executions_when_store_responses_are_lost(fleet):
    traffic = Traffic(fleet, senders=1, records=4)
    try:
        traffic.wait_for_more(20)
        for _ in range(3):
            fleet.set_faults("kv", lost=(1, 0.7))
            time.sleep(1.4)
        traffic.wait_for_more(20, 40)
    finally:
        traffic.stop()
    assert traffic.mismatches() == []
    assert any(reply.status == 201 for _, reply in traffic.writes)


def test_replies_match_executions_when_the_store_is_slow(fleet):
    traffic = Traffic(fleet, senders=1, records=4)
    try:
        fleet.set_faults("kv", slow=0.4)
        time.sleep(4)
        fleet.set_faults("kv", slow=None)
        traffic.wait_for_more(20, 40)
    finally:
        traffic.stop()
    assert traffic.mismatches() == []


def test_a_patch_whose_response_is_lost_is_accepted_once(fleet):
    base = fleet.operator_call("GET", "/v1/config")[1]["version"]
    operation = {"op": "add", "path": "/routes/lost-answer", "value": {}}
    fleet.set_faults("kv", lost=1)
    headers = {"If-Match": str(base), "X-Patch-Id": "lost-1"}
    status, body = fleet.operator_call("PATCH", "/v1/config", [operation], headers)
    assert (status, body["version"]) == (200, base + 1)
    again = fleet.operator_call("PATCH", "/v1/config", [operation], headers)
    assert (again[0], again[1]["version"]) == (200, base + 1)
    fleet.set_faults("kv", lost=None)
    fleet.await_version(base + 1)
    assert fleet.operator_call("GET", "/v1/config")[1]["version"] == base + 1


def test_a_patch_during_an_outage_is_rejected_and_not_in_force(fleet):
    base = fleet.operator_call("GET", "/v1/config")[1]["version"]
    fleet.set_faults("kv", down=1)
    operation = {"op": "add", "path": "/routes/in-outage", "value": {}}
    headers = {"If-Match": str(base)}
    status, body = fleet.operator_call("PATCH", "/v1/config", [operation], headers)
    assert (status, body["type"]) == (503, "urn:lovagepier:error:config-unavailable")
    fleet.set_faults("kv", down=None)
    assert fleet.operator_call("GET", "/v1/config")[1]["version"] == base


def test_of_concurrent_patches_one_gets_each_version(fleet):
    base = fleet.operator_call("GET", "/v1/config")[1]["version"]
    accepted = []
    lock = threading.Lock()
    seen = {name: [] for name in fleet.nodes}
    stop = threading.Event()

    def watch():
        while not stop.is_set():
            for name, node in fleet.nodes.items():
                seen[name].append(fleet.version_at(node))
            time.sleep(0.02)

    def race(number):
        node = list(fleet.nodes.values())[number % len(fleet.nodes)]
        for attempt in range(5):
            now = fleet.operator_call("GET", "/v1/config", node=node)[1]["version"]
            value = {"note": f"{number}/{attempt}"}
            operation = {"op": "add", "path": f"/routes/race{number}", "value": value}
            headers = {"If-Match": str(now)}
            status, body = fleet.operator_call(
                "PATCH", "/v1/config", [operation], headers, node
            )
            assert status in (200, 409)
            if status == 200:
                with lock:
                    accepted.append(body["version"])
            else:
                assert body["current"] > now or body["current"] == now + 1

    watcher = threading.Thread(target=watch)
    watcher.start()
    threads = [threading.Thread(target=race, args=(n,)) for n in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    last = base + len(accepted)
    fleet.await_version(last)
    stop.set()
    watcher.join()
    assert sorted(accepted) == list(range(base + 1, last + 1))
    for versions in seen.values():
        assert versions == sorted(versions)
    status, body = fleet.operator_call("GET", f"/v1/config/{last}/in-force")
    assert body["everywhere"], body


def test_an_invalid_patch_is_rejected_with_the_path_of_each_error(fleet):
    operations = [
        {"op": "add", "path": "/targets/x", "value": {"kind": "engine"}},
        {"op": "add", "path": "/accounts/y", "value": {"tier": 5, "key_hashes": []}},
    ]
    base = fleet.operator_call("GET", "/v1/config")[1]["version"]
    headers = {"If-Match": str(base)}
    status, body = fleet.operator_call("PATCH", "/v1/config", operations, headers)
    assert status == 422
    places = {fault[0] for fault in body["faults"]}
    assert {"/targets/x", "/accounts/y/tier"} <= places


def test_a_node_that_starts_during_an_outage_gets_its_configuration_from_peers(fleet):
    version = fleet.operator_call("GET", "/v1/config")[1]["version"]
    fleet.set_faults("kv", down=1)
    late = fleet.start_node("late", "a1")
    try:
        late.wait_ready()
        wait_until(lambda: fleet.version_at(late) >= version, 10, "the version")
        events = fleet.operator_call("GET", "/v1/events", node=late)[1]["events"]
        assert any(
            event["node"] == "late" and "a peer" in event.get("why", "")
            for event in events
        )
        reply = Caller([late.url], "key-of-high", pinned=True).complete(
            completion(), 5000
        )
        assert reply.status == 200
    finally:
        late.kill()
        del fleet.nodes["late"]
        fleet.set_host_state("late", "gone")


def test_a_rollout_ends_in_time_while_the_store_is_down(fleet):
    fleet.start_engine("new-west", "a1", version="v2", pace=0.005)
    fleet.wait_ready()
    target = {"op": "add", "path": "/targets/new-west"}
    fleet.patch([{**target, "value": fleet.engines["new-west"]}])
    now = time.time()
    move = {"model": "drafter", "to": "v2", "start": now, "finish_by": now + 10}
    fleet.await_version(
        fleet.patch([{"op": "add", "path": "/moves/m1", "value": move}])
    )
    fleet.set_faults("kv", down=1)
    traffic = Traffic(fleet, senders=3, records=0)
    try:

        def share():
            moves = fleet.operator_call("GET", "/v1/moves")[1]["moves"]
            return next(m for m in moves if m["move"] == "m1")["share"]

        wait_until(lambda: share() >= 1.0, now + 11 - time.time(), "the whole share")
    finally:
        traffic.stop()
    fleet.set_faults("kv", down=None)

    wait_until(
        lambda: fleet.finished_rollout("m1"), 20, "the outcome in the configuration"
    )
    assert fleet.operator_call("GET", "/v1/config")[1]["document"]["models"][
        "drafter"
    ] == {"serving": "v2"}
    assert traffic.mismatches() == []


def test_calls_to_the_store_stay_within_its_rate_limits(fleet):
    counts = http_json("GET", f"{fleet.processes['kv'].url}/counts")[1]
    assert counts["refused"] == 0
    assert counts["peak_writes"] <= 300
    assert counts["peak_reads"] <= 2000
