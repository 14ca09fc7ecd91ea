"""Targets that crash, truncate, drain, freeze or respond late; poison requests."""

import json
import time
from collections import Counter

import pytest
import urllib3

from lovagepier.client import Caller
from test.builders import completion
from test.faults import Traffic, make_fleet
from trials.cluster import wait_until


@pytest.fixture(scope="module")
def fleet():
    cluster = make_fleet(nodes=2, engines=5, records=2)
    yield cluster
    cluster.close()


@pytest.fixture
def caller(fleet):
    return Caller(fleet.addresses(), "key-of-high", "a1")


def _restart_dead(fleet):
    for name in fleet.engines:
        if not fleet.processes[name].alive():
            fleet.processes[name].start().wait_ready()


def test_a_truncated_response_of_an_engine_is_never_passed_on_as_complete(
    fleet, caller
):
    for name in fleet.engines:
        fleet.set_faults(name, close_early=1)
    reply = caller.complete(completion(tokens=30), 4000)
    for name in fleet.engines:
        fleet.set_faults(name, close_early=None)
    assert reply.status != 200 or not reply.is_complete
    assert reply.run != "no"


def test_a_truncated_stream_never_ends_like_a_complete_one(fleet):
    for name in fleet.engines:
        fleet.set_faults(name, close_early=1)
    try:
        resp = urllib3.request(
            "POST",
            f"{fleet.addresses()[0]}/v1/chat/completions",
            body=json.dumps(completion(tokens=30)),
            headers={"Authorization": "Bearer key-of-high", "X-Deadline-Ms": "4000"},
            preload_content=False,
            retries=False,
        )
        with pytest.raises(urllib3.exceptions.HTTPError):
            b"".join(resp.stream())
    finally:
        for name in fleet.engines:
            fleet.set_faults(name, close_early=None)


def test_a_failing_engine_is_reported_as_maybe_run(fleet, caller):
    for name in fleet.engines:
        fleet.set_faults(name, failing=1)
    reply = caller.complete(completion(tokens=3), 4000)
    for name in fleet.engines:
        fleet.set_faults(name, failing=None)
    assert (reply.status, reply.error_kind(), reply.run) == (
        502,
        "target-failed",
        "maybe",
    )
    assert sum(fleet.dispatch_counts()[f"high.{reply.id}"] for _ in range(1)) == 1
    time.sleep(2.5)


def test_a_poison_request_is_rejected_after_a_few_crashes(fleet, caller):
    crashed = 0
    last = None
    for _ in range(8):
        last = caller.complete(completion("CRASH-TARGET", 5), 8000)
        dead = [n for n in fleet.engines if not fleet.processes[n].alive()]
        crashed += len(dead)
        _restart_dead(fleet)
        time.sleep(1.2)
        if last.error_kind() == "suspect-request":
            break
    assert (last.error_kind(), last.run) == ("suspect-request", "no")
    assert crashed <= 3
    after = caller.complete(completion("harmless", 5), 8000)
    assert after.status == 200


def test_replies_match_executions_when_engines_crash_under_load(fleet):
    traffic = Traffic(fleet, senders=3, records=0)
    try:
        for name in ("e0", "e1"):
            traffic.wait_for_more(10, 40)
            fleet.processes[name].kill()
            # A dead engine's dispatch counts are lost: what it ran counts as maybe run.
            traffic.wait_for_more(10, 40)
            fleet.processes[name].start().wait_ready()
    finally:
        traffic.stop()
    assert traffic.mismatches() == []
    kinds = Counter(kind for *_, kind in traffic.unanswered())
    assert set(kinds) <= {"target-failed", "answer-lost"}, kinds


def test_a_draining_target_gets_no_new_work_after_a_few_seconds(fleet):
    traffic = Traffic(fleet, senders=3, records=0, tokens=5)
    try:
        traffic.wait_for_more(20)
        fleet.set_host_state("e0", "leaving")
        time.sleep(4)
        before = sum(fleet.counts("e0")["dispatches"].values())
        traffic.wait_for_more(40)
        after = sum(fleet.counts("e0")["dispatches"].values())
        fleet.set_host_state("e0", "live", incarnation="2")
        wait_until(
            lambda: sum(fleet.counts("e0")["dispatches"].values()) > after,
            15,
            "work for the returned target",
        )
    finally:
        traffic.stop()
    assert after == before
    assert traffic.mismatches() == []


def test_a_frozen_engine_affects_only_its_own_requests(fleet):
    fleet.set_faults("e0", freeze=(1, 4))
    traffic = Traffic(fleet, senders=3, records=0, deadline_ms=9000)
    try:
        traffic.wait_for_more(100, 40)
    finally:
        traffic.stop()
    assert traffic.mismatches() == []


def test_requests_on_a_frozen_engine_do_not_run_elsewhere_too(fleet):
    fleet.set_faults("e0", freeze=(1, 5))
    fleet.set_faults("e1", freeze=(1, 5))
    traffic = Traffic(fleet, senders=4, records=0, deadline_ms=1500)
    try:
        time.sleep(6)
        traffic.wait_for_more(20, 40)
    finally:
        traffic.stop()
    assert traffic.unanswered()
    assert traffic.mismatches() == []


def test_a_write_without_a_response_is_not_executed_again(fleet, caller):
    for name in fleet.services:
        fleet.set_faults(name, silent=1)
    first = caller.record("POST", "/ledger/e", b"{}", "silent", deadline_ms=3000)
    for name in fleet.services:
        fleet.set_faults(name, silent=None)
    again = caller.record("POST", "/ledger/e", b"{}", "silent", deadline_ms=3000)
    assert first.run == again.run == "maybe"
    assert first.error_kind() == again.error_kind() == "answer-lost"
    journal = [entry["key"] for n in fleet.services for entry in fleet.journal(n)]
    assert journal.count("silent") == 1


def test_a_records_worker_that_responds_late_executes_once(fleet, caller):
    for name in fleet.services:
        fleet.set_faults(name, slow=(1.5, 2))
    first = caller.record("POST", "/ledger/e", b"{}", "late", deadline_ms=6000)
    again = caller.record("POST", "/ledger/e", b"{}", "late", deadline_ms=6000)
    assert (first.status, again.status) == (201, 201)
    assert first.body == again.body


def test_requests_are_served_when_a_target_refuses_connections(fleet, caller):
    fleet.processes["e2"].kill()
    replies = [caller.complete(completion(tokens=3), 5000) for _ in range(10)]
    fleet.processes["e2"].start().wait_ready()
    assert {reply.status for reply in replies} == {200}


def _start_rollout(fleet, name, version, seconds):
    now = time.time()
    value = {
        "model": "drafter",
        "to": version,
        "start": now,
        "finish_by": now + seconds,
    }
    steps = [[0, 0.05], [0.2, 0.3], [0.5, 1.0]]
    fleet.patch(
        [{"op": "add", "path": f"/moves/{name}", "value": {**value, "steps": steps}}]
    )


def test_a_version_that_fails_late_is_rolled_back_on_all_nodes(fleet):
    fleet.start_engine("bad", "a2", version="v9", pace=0.005)
    fleet.wait_ready()
    path = "/targets/bad"
    fleet.patch([{"op": "add", "path": path, "value": fleet.engines["bad"]}])
    traffic = Traffic(fleet, senders=4, records=0, tokens=5)
    try:
        _start_rollout(fleet, "late-fault", "v9", 12)

        def share():
            moves = fleet.operator_call("GET", "/v1/moves")[1]["moves"]
            return next(m for m in moves if m["move"] == "late-fault")["share"]

        wait_until(lambda: share() >= 0.3, 12, "a share of 30%")
        fleet.set_faults("bad", failing=0.9)
        move = wait_until(
            lambda: fleet.finished_rollout("late-fault"), 20, "the outcome"
        )
        assert (move["state"], move["to"]) == ("taken-back", "v9")
        time.sleep(2)
        before = len(fleet.counts("bad")["dispatches"])
        traffic.wait_for_more(60)
        assert len(fleet.counts("bad")["dispatches"]) == before
    finally:
        traffic.stop()
    assert traffic.mismatches() == []
    document = fleet.operator_call("GET", "/v1/config")[1]["document"]
    assert document["models"]["drafter"]["serving"] == "v1"
