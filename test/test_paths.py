"""Broken paths to targets, and the choice of hosts to connect through."""

from hypothesis import given
from hypothesis import strategies as st

from lovagepier.decisions.placement.paths import MAX_RETRY_S, Peer, TargetPaths

REGIONS = {"a1": "a", "a2": "a", "b1": "b"}


def zone_cost(here, there):
    if here == there:
        return 0
    return 1 if REGIONS[here] == REGIONS[there] else 35


def make_paths(name="n0", zone="a1"):
    return TargetPaths(name, zone, zone_cost)


def test_only_what_another_host_reaches_is_a_broken_path():
    paths = make_paths()
    assert paths.on_broken("t1/1", 1.0)
    assert not paths.on_broken("t1/1", 1.1)
    assert paths.is_broken("t1/1") and not paths.is_broken("t1/2")
    paths.keep({"t1/2"})
    assert not paths.is_broken("t1/1")


def test_most_targets_lost_make_a_host_cut_off():
    paths = make_paths()
    for number in range(3):
        assert not paths.is_cut_off(5)
        paths.on_broken(f"t{number}/1", 1.0)
    assert paths.is_cut_off(5)
    assert not paths.is_cut_off(6)


def test_one_path_that_is_back_makes_the_others_due():
    paths = make_paths()
    for number in range(3):
        paths.on_broken(f"t{number}/1", 1.0)
    for _ in range(9):
        paths.on_retry_failed("t1/1", 2.0)
    assert paths.due(2.0) == ["t0/1", "t2/1"]
    assert paths.on_reached("t0/1")
    assert paths.due(2.0) == ["t1/1", "t2/1"]


@given(st.lists(st.floats(0.0, 5.0), max_size=30))
def test_a_broken_path_is_tried_again_within_a_bounded_time(gaps):
    paths = make_paths()
    now = 0.0
    paths.on_broken("t1/1", now)
    for gap in gaps:
        now += gap
        if paths.due(now):
            paths.on_retry_failed("t1/1", now)
    assert paths.due(now + MAX_RETRY_S) == ["t1/1"]


peers = st.lists(
    st.builds(
        Peer,
        st.integers(1, 60).map("n{}".format),
        st.sampled_from(sorted(REGIONS)),
        st.booleans(),
    ),
    unique_by=lambda peer: peer.name,
    max_size=12,
)


@given(peers, st.sampled_from(sorted(REGIONS)), st.sets(st.integers(1, 60)))
def test_hosts_with_paths_are_asked_before_those_that_are_cut_off(hosts, zone, failed):
    paths = make_paths()
    for number in failed:
        paths.on_peer_failed(f"n{number}", "t1/1", 1.0)
    names = paths.rank_peers(hosts, zone, "t1/1", 1.5)
    assert sorted(names) == sorted(host.name for host in hosts)
    by_name = {host.name: host for host in hosts}
    keys = [(int(name[1:]) in failed, by_name[name].is_cut_off) for name in names]
    assert keys == sorted(keys)


def test_a_host_of_the_targets_zone_is_asked_before_a_far_one():
    hosts = [Peer("far", "b1"), Peer("near", "a2"), Peer("here", "a1")]
    names = make_paths().rank_peers(hosts, "a2", "t1/1", 0.0)
    assert names[-1] == "far"
    assert make_paths().rank_peers(hosts, "b1", "t1/1", 0.0)[0] != "near"


def test_hosts_of_a_zone_spread_over_those_that_they_ask():
    hosts = [Peer(f"n{number}", "a2") for number in range(10)]
    asked = {
        make_paths(f"cut-{number}").rank_peers(hosts, "a2", "t1/1", 0.0)[0]
        for number in range(65)
    }
    assert len(asked) >= 9
