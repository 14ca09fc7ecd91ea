"""Network partitions between nodes, and a suspended owner of a ledger shard.

Guards against requests that run twice or get a wrong answer because two nodes
both act as coordinator of a pool or as owner of a shard.
"""

import signal
import time

import pytest

from lovagepier.client import Caller
from lovagepier.decisions.placement.rendezvous import choose_owner, shard_of
from test.concurrent_tests import ConcurrentTests
from test.faults import Traffic
from trials.cluster import Cluster, wait_until


def make_relayed_fleet():
    """Return a started `Cluster` whose nodes reach each other through relays."""
    cluster = Cluster(callers_entry_ttl="1s")
    try:
        _populate(cluster)
    except BaseException:
        cluster.close()
        raise
    return cluster


def _populate(cluster):
    cluster.start_platform()
    for number, zone in enumerate(("a1", "a2", "b1")):
        cluster.start_engine(f"e{number}", zone)
    cluster.start_records_worker("r0", "a1")
    for name, tier in (("high", "urgent"), ("mid", "standard"), ("low", "batch")):
        cluster.add_account(name, tier)
    for number, zone in enumerate(("a1", "a2", "b1")):
        cluster.start_node(f"n{number}", zone, relayed=True)
    cluster.await_members(3)
    cluster.configure()


together = ConcurrentTests(make_relayed_fleet, at_once=2)


@pytest.mark.parametrize("cut", [["n0"], ["n0", "n1", "n2"]])
@together
def test_replies_match_executions_across_a_network_partition(fleet, cut):
    traffic = Traffic(fleet, senders=3, records=2)
    try:
        traffic.wait_for_more(20)
        for name in cut:
            fleet.relays[name].cut()
        time.sleep(5)
        for name in cut:
            fleet.relays[name].restore()
        fleet.await_members(3, 20)
        traffic.wait_for_more(40, 40)
    finally:
        traffic.stop()
    assert traffic.mismatches() == []


@together
def test_a_version_accepted_during_a_partition_is_in_force_everywhere_after(fleet):
    for relay in fleet.relays.values():
        relay.cut()
    version = fleet.patch([{"op": "add", "path": "/routes/parted", "value": {}}])
    fleet.await_version(version, 7)
    for relay in fleet.relays.values():
        relay.restore()
    assert fleet.operator_call("GET", "/v1/config")[1]["version"] == version


@together
def test_a_write_is_made_once_when_the_ledger_owner_is_suspended(fleet):
    key = "frozen-owner"
    shard = shard_of(f"mid/ledger/{key}", fleet.shards)
    owner = choose_owner(f"ledger/{shard}", list(fleet.nodes))
    others = [node.url for name, node in fleet.nodes.items() if name != owner]
    caller = Caller(others, "key-of-mid", pinned=True)
    first = caller.record("POST", "/ledger/e", b"{}", key, 8000)
    assert first.status == 201
    fleet.nodes[owner].signal(signal.SIGSTOP)
    try:

        def replayed():
            reply = caller.record("POST", "/ledger/e", b"{}", key, 5000)
            return reply if reply.status == 201 else None

        reply = wait_until(replayed, 30, "the stored answer")
        assert reply.body == first.body
    finally:
        fleet.nodes[owner].signal(signal.SIGCONT)
    resumed_node = Caller([fleet.nodes[owner].url], "key-of-mid", pinned=True)
    wait_until(
        lambda: (
            resumed_node.record("POST", "/ledger/e", b"{}", key, 5000).status == 201
        ),
        20,
        "the woken node's answer",
    )
    assert [entry["key"] for entry in fleet.journal("r0")].count(key) == 1
