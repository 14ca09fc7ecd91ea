"""Nodes that die, freeze or stop while requests run."""

import signal
import time

import pytest

from test.faults import Traffic, make_fleet, streams
from trials.cluster import wait_until


@pytest.fixture
def fleet():
    cluster = make_fleet()
    yield cluster
    cluster.close()


def _home(cluster, subject="drafter", region="west"):
    """Return the name of the node that is home of a pool."""

    def find():
        for node in cluster.operator_call("GET", "/v1/status")[1]["nodes"]:
            for pool in node["pools"]:
                if (pool["subject"], pool["region"]) == (subject, region):
                    return node["node"]
        return None

    return wait_until(find, 10, f"a home of {subject}/{region}")


def test_a_stream_goes_on_after_its_entry_node_dies(fleet):
    futures = streams(fleet, 9, tokens=300)
    time.sleep(1.0)
    fleet.nodes["n1"].kill()
    replies = [fut.result(60) for fut in futures]
    counted = fleet.dispatch_counts()
    for reply in replies:
        assert (reply.status, reply.is_complete) == (200, True), reply.error_kind()
        assert reply.body.count(b'"content"') == 300
        assert counted[f"high.{reply.id}"] == 1
    assert any(reply.attempts > 1 for reply in replies)


def test_books_agree_when_the_home_dies(fleet):
    traffic = Traffic(fleet, senders=4)
    try:
        traffic.await_more(20)
        fleet.nodes[_home(fleet)].kill()
        traffic.await_more(60, 40)
    finally:
        traffic.stop()
    assert traffic.faults() == []


def test_books_agree_when_the_home_freezes_and_wakes(fleet):
    traffic = Traffic(fleet, senders=4)
    try:
        traffic.await_more(20)
        frozen = fleet.nodes[_home(fleet)]
        frozen.signal(signal.SIGSTOP)
        time.sleep(5)
        frozen.signal(signal.SIGCONT)
        traffic.await_more(60, 40)
    finally:
        traffic.stop()
    assert traffic.faults() == []


def test_a_rolling_replacement_cuts_nothing(fleet):
    # Longer than callers keep entries and than the server's own patience.
    long_streams = streams(fleet, 3, tokens=800)
    traffic = Traffic(fleet, senders=2, tokens=100)
    try:
        traffic.await_more(10)
        for number in range(3):
            fleet.start_node(f"new{number}", ("a1", "a2", "b1")[number])
        fleet.await_members(6)
        for number in range(3):
            old = fleet.nodes[f"n{number}"]
            old.terminate()
            old.terminate()
            assert old.wait(60) == 0
            traffic.await_more(10, 40)
    finally:
        traffic.stop()
    assert traffic.faults() == []
    assert traffic.unanswered() == []
    # No connection was cut: nothing had to be sent a second time.
    assert {reply.attempts for _, reply in traffic.replies} == {1}
    for fut in long_streams:
        reply = fut.result(60)
        assert (reply.status, reply.is_complete, reply.attempts) == (200, True, 1)
