"""Nodes that are killed, suspended or replaced while requests run."""

import signal
import time

from test.concurrent_tests import ConcurrentTests
from test.faults import Traffic, make_fleet, start_streams
from trials.cluster import wait_until

together = ConcurrentTests(make_fleet, at_once=2)


def _coordinator_of(cluster, subject="drafter", region="west"):
    """Return the name of the node that coordinates a pool."""

    def find():
        for node in cluster.operator_call("GET", "/v1/status")[1]["nodes"]:
            for pool in node["pools"]:
                if (pool["subject"], pool["region"]) == (subject, region):
                    return node["node"]
        return None

    return wait_until(find, 10, f"a home of {subject}/{region}")


@together
def test_a_stream_resumes_after_its_entry_host_is_killed(fleet):
    futures = start_streams(fleet, 9, tokens=300)
    time.sleep(1.0)
    fleet.nodes["n1"].kill()
    replies = [fut.result(60) for fut in futures]
    dispatch_counts = fleet.dispatch_counts()
    for reply in replies:
        assert (reply.status, reply.is_complete) == (200, True), reply.error_kind()
        assert reply.body.count(b'"content"') == 300
        assert dispatch_counts[f"high.{reply.id}"] == 1
    assert any(reply.attempts > 1 for reply in replies)


@together
def test_replies_match_executions_when_the_coordinator_is_killed(fleet):
    traffic = Traffic(fleet, senders=4)
    try:
        traffic.wait_for_more(20)
        fleet.nodes[_coordinator_of(fleet)].kill()
        traffic.wait_for_more(60, 40)
    finally:
        traffic.stop()
    assert traffic.mismatches() == []


@together
def test_replies_match_executions_when_the_coordinator_is_suspended(fleet):
    traffic = Traffic(fleet, senders=4)
    try:
        traffic.wait_for_more(20)
        coordinator = fleet.nodes[_coordinator_of(fleet)]
        coordinator.signal(signal.SIGSTOP)
        time.sleep(5)
        coordinator.signal(signal.SIGCONT)
        traffic.wait_for_more(60, 40)
    finally:
        traffic.stop()
    assert traffic.mismatches() == []


@together
def test_a_rolling_replacement_interrupts_no_request(fleet):
    # These streams last longer than callers keep their list of entry hosts and
    # longer than the shutdown timeout of the web server.
    long_streams = start_streams(fleet, 3, tokens=800)
    traffic = Traffic(fleet, senders=2, tokens=100)
    try:
        traffic.wait_for_more(10)
        for number in range(3):
            fleet.start_node(f"new{number}", ("a1", "a2", "b1")[number])
        fleet.await_members(6)
        for number in range(3):
            old = fleet.nodes[f"n{number}"]
            old.terminate()
            # A second SIGTERM must not cut the shutdown short.
            old.terminate()
            assert old.wait(60) == 0
            traffic.wait_for_more(10, 40)
    finally:
        traffic.stop()
    assert traffic.mismatches() == []
    assert traffic.unanswered() == []
    # No connection was closed early, so no request needed a second attempt.
    assert {reply.attempts for _, reply in traffic.replies} == {1}
    for fut in long_streams:
        reply = fut.result(60)
        assert (reply.status, reply.is_complete, reply.attempts) == (200, True, 1)
