"""Decisions on requests that may be served in some regions only, without a network."""

import json
from dataclasses import fields
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lovagepier.decisions.placement import residence
from lovagepier.decisions.placement.paths import Peer, TargetPaths
from lovagepier.decisions.placement.policies import POLICIES, default_zone_cost
from lovagepier.decisions.placement.work import Grant, Refusal
from lovagepier.entry._callers.residence_check import ResidenceCheck
from lovagepier.entry._cluster.messages import (
    DispatchRequest,
    StoreDelta,
    StoreSnapshot,
)
from lovagepier.entry._targets.tunnel_messages import TunnelData
from lovagepier.errors import ErrorKind
from lovagepier.frames import layouts
from lovagepier.platform import decode_catalog
from test.builders import ended, make_scheduler, make_work
from test.entry_builders import HOST, KEY, config, route
from test.work_counts import count_lines

REGIONS = {"a1": "a", "a2": "a", "b1": "b"}


def pool(targets, slots=2, **options):
    """Return a scheduler with targets {name: zone}; c9 has no region."""
    options.setdefault("region_of", lambda zone: REGIONS.get(zone, ""))
    scheduler = make_scheduler((), **options)
    for name, zone in targets.items():
        scheduler.set_target(name, zone, "v1", "i1", 0.0, slots=slots)
    return scheduler


def grants(decisions):
    return {each.work.id: each.target for each in decisions if isinstance(each, Grant)}


def offer(scheduler, request_id, regions=("a",), now=1.0, **fields):
    work = make_work(request_id, regions=regions, **fields)
    return scheduler.offer(work, now)


# The configuration


@pytest.mark.parametrize(
    ("value", "allowed"),
    [
        ([], {"a", "b", ""}),
        (["a"], {"a"}),
        (["a", 5, "a", None, ["b"]], {"a"}),
        *((odd, set()) for odd in (None, "a", "", 0, 5, True, {"a": 1}, {}, [""])),
        *((odd, set()) for odd in ([None], [["a"]], ["a\n"], ["\ud800"], ["A"])),
    ],
)
def test_an_odd_restriction_never_opens_a_request_to_all_regions(value, allowed):
    raw = config(
        routes=[route("read", "idempotent", "ledger", allowed_regions=value)],
        tenants=[{"name": "blue", "api_keys": [KEY], "allowed_regions": value}],
    )
    catalog = decode_catalog(json.dumps(raw).encode())
    for each in (catalog.find_route(HOST, "/read/x"), catalog.account_for_key(KEY)):
        found = {name for name in ("a", "b", "")}
        may = {n for n in found if residence.may_go(each.allowed_regions, n)}
        assert may == allowed


def test_route_and_account_both_bind():
    rows = [
        route("read", "idempotent", "ledger", allowed_regions=["a", "b"]),
        route("file", "idempotent", "ledger", allowed_regions=["a"]),
        route("talk", "idempotent", "ledger"),
    ]
    blue = {"name": "blue", "api_keys": [KEY], "allowed_regions": ["b"]}
    raw = config(routes=rows, tenants=[blue])
    catalog = decode_catalog(json.dumps(raw).encode())
    account = catalog.account_for_key(KEY)
    regions = [residence.allowed_regions(each, account) for each in catalog.routes]
    assert regions == [("b",), residence.NOWHERE, ("b",)]
    alone = [residence.allowed_regions(each, None) for each in catalog.routes]
    assert alone == [("a", "b"), ("a",), ()]
    assert catalog.common_regions == residence.NOWHERE


def test_the_route_that_a_waiting_call_came_with_binds_if_it_is_gone():
    def catalog(*names, regions):
        rows = [
            route(name, "idempotent", "ledger", prefix=prefix, allowed_regions=each)
            for (name, prefix), each in zip(names, regions, strict=True)
        ]
        return decode_catalog(json.dumps(config(routes=rows)).encode())

    every, read = ("all", "/"), ("read", "/read/")
    first = catalog(every, read, regions=[["b"], ["a"]])
    found = first.find_route(HOST, "/read/x")
    call = SimpleNamespace(host=HOST, path="/read/x", key="", route=found, account=None)
    view = SimpleNamespace(catalog=first)
    check = ResidenceCheck(SimpleNamespace(zones=REGIONS), view, None)
    assert check.regions(call) == ("a",)
    view.catalog = catalog(every, regions=[["b"]])
    assert check.regions(call) == ("a",)
    view.catalog = catalog(every, read, regions=[[], ["b"]])
    assert check.regions(call) == ("b",)


# Placement


@given(
    st.lists(
        st.tuples(
            st.sampled_from([(), ("a",), ("b",), ("a", "b"), residence.NOWHERE]),
            st.integers(0, 3),
            st.sampled_from(["red", "blue"]),
            st.booleans(),
            st.sampled_from([(), ("p",), ("p", "q")]),
        ),
        max_size=60,
    ),
    st.sampled_from(sorted(POLICIES)),
)
@settings(deadline=None)
def test_no_request_is_ever_placed_outside_its_regions(steps, policy):
    # Also the holders of a cached prefix, overbooking and full or leaving targets.
    zones = {"e1": "a1", "e2": "b1", "e3": "c9", "e4": "a2"}
    scheduler = pool(zones, policy=policy)
    works = {}
    now = 0.0
    for number, (regions, tier, account, ends, blocks) in enumerate(steps):
        now += 0.01
        work = make_work(
            f"r{number}", regions=regions, tier=tier, account=account, blocks=blocks
        )
        work.may_overbook = tier == 1
        works[work.id] = work
        decisions = scheduler.offer(work, now)
        if ends and len(steps) > number + 1:
            for state in list(scheduler.fleet):
                for running in list(state.running.values())[:1]:
                    decisions += scheduler.finish(ended(running, state.name), now)
            scheduler.targets.set_draining("e1", number % 3 == 0)
        for request_id, target in grants(decisions).items():
            region = REGIONS.get(zones[target], "")
            assert residence.may_go(works[request_id].regions, region)


def test_waiting_restricted_requests_stop_nobody_else():
    # A burst to a full region once stood before everything: the bound on requests that
    # may be overtaken in one pass is four.
    scheduler = pool({"e1": "a1", "e2": "b1"}, slots=1)
    assert grants(offer(scheduler, "r0")) == {"r0": "e1"}
    for number in range(1, 150):
        retried = frozenset(["e9"]) if number % 2 else frozenset()
        assert offer(scheduler, f"r{number}", exclude=retried) == []
    free = offer(scheduler, "free", (), now=1.1, tier=2)
    assert grants(free) == {"free": "e2"}
    assert offer(scheduler, "other", ("b",), now=1.2, tier=2) == []
    # The region's own queue stays in order.
    free = make_work("free")
    assert grants(scheduler.finish(ended(free, "e2"), 1.3)) == {"other": "e2"}
    first = scheduler.finish(ended(make_work("r0"), "e1"), 1.4)
    assert list(grants(first).values()) == ["e1"]


def test_a_residence_does_not_raise_the_share_of_a_new_version():
    # The bound on the exposure to a new version holds also where only it has targets.
    scheduler = pool({})
    scheduler.set_target("e1", "a1", "new", "i1", 0.0, slots=4)
    scheduler.set_target("e2", "b1", "old", "i1", 0.0, slots=4)
    scheduler.old_version, scheduler.share = "old", {"new": 0.1}
    assert offer(scheduler, "r1", draw=0.5) == []
    assert grants(offer(scheduler, "r2", (), draw=0.5)) == {"r2": "e2"}
    assert grants(offer(scheduler, "r3", tier=0, draw=0.05)) == {"r3": "e1"}


def test_an_overtaken_request_keeps_its_precedence_and_its_account_its_share():
    scheduler = pool({"e1": "a1", "e2": "b1"}, slots=1)
    offer(scheduler, "x1")
    offer(scheduler, "x2", ("b",))
    offer(scheduler, "late", ("a",), now=1.1, tier=2)
    offer(scheduler, "soon", (), now=1.2, tier=1)
    done = scheduler.finish(ended(make_work("x1"), "e1"), 1.3)
    assert grants(done) == {"soon": "e1"}
    offer(scheduler, "blue", (), now=1.4, account="blue", tier=1)
    offer(scheduler, "red", ("b",), now=1.4, account="red", tier=1)
    # blue has had a request served in this tier, in another lane.
    done = scheduler.finish(ended(make_work("x2"), "e2"), 1.5)
    assert grants(done) == {"red": "e2"}


def test_the_work_for_a_placement_does_not_grow_with_the_queue_or_the_pool():
    def place_behind(waiting, limit):
        scheduler = pool({"e1": "a1", "e2": "b1"}, slots=1)
        offer(scheduler, "r0")
        for number in range(waiting):
            offer(scheduler, f"w{number}")
        free = make_work("free", tier=2)
        decisions = count_lines(lambda: scheduler.offer(free, 1.1), limit)
        assert grants(decisions) == {"free": "e2"}

    # 1,093 and 1,091 lines.
    place_behind(5, 1300)
    place_behind(1500, 1300)
    scheduler = pool({f"b{n}": "b1" for n in range(300)})
    scheduler.set_target("e1", "a1", "v1", "i1", 0.0)
    names = [s.name for s in scheduler.fleet.soonest("v1", 4, 1.0, regions=("a",))]
    assert names == ["e1"]
    fleet = scheduler.fleet
    count_lines(lambda: list(fleet.soonest("v1", 4, 1.0, regions=("a",))), 60)


def test_without_a_residence_no_lane_and_no_index_exists():
    # A configuration without residence runs the same path as before.
    scheduler = pool({f"e{n}": "a1" for n in range(8)}, slots=1)
    for number in range(40):
        offer(scheduler, f"r{number}", ())
    for state in scheduler.fleet:
        for work in list(state.running.values()):
            scheduler.finish(ended(work, state.name), 2.0)
    assert scheduler.fleet._regional is None
    assert not scheduler.waiting.restricted
    assert all(set(tier.orders) <= {()} for tier in scheduler.waiting._tiers)
    # 317 lines on the code before residence, 356 now.
    scheduler = pool({"e1": "a1", "e2": "b1"}, slots=1)
    for number in range(50):
        offer(scheduler, f"r{number}", ())
    late = make_work("late", tier=2)
    count_lines(lambda: scheduler.offer(late, 1.1), 400)


# Refusals


def test_a_region_without_targets_refuses_at_once_and_a_full_one_in_time():
    scheduler = pool({"e1": "a1", "e2": "c9", "e3": "b1"}, slots=1)
    (refusal,) = offer(scheduler, "r1", ("c",))
    assert (refusal.kind, scheduler.admission.residence_left_out) == (
        ErrorKind.RESIDENCE,
        3,
    )
    assert "allowed regions c" in refusal.why
    offer(scheduler, "r2", ("a",))
    assert offer(scheduler, "r3", ("a",), deadline=2.0) == []
    (refusal,) = scheduler.tick(2.1)
    assert isinstance(refusal, Refusal)
    assert (refusal.work.id, refusal.kind) == ("r3", ErrorKind.RESIDENCE)
    # Nothing had room anywhere: residence is not the cause.
    offer(scheduler, "r4", (), now=2.2)
    offer(scheduler, "r5", (), now=2.2)
    offer(scheduler, "r6", ("a",), now=2.2, deadline=3.0)
    kinds = {each.work.id: each.kind for each in scheduler.tick(3.1)}
    assert kinds["r6"] == ErrorKind.DEADLINE_WAITING


def test_late_requests_that_wait_for_a_full_region_refuse_no_others():
    # Four rounds of two slots may wait late in all, four rounds of one in region a.
    scheduler = pool({"e1": "a1", "e2": "b1"}, slots=1, demote_late=True, tiers=6)
    late = {"soft_deadline": 1.5, "late_tier": 2, "deadline": 60.0}
    for number in range(7):
        offer(scheduler, f"r{number}", ("a",), **late)
    offer(scheduler, "x1", ())
    offer(scheduler, "x2", (), soft_deadline=1.5, late_tier=2, deadline=50.0)
    refused = [each.work.id for each in scheduler.tick(2.0)]
    assert refused == ["r1", "r2"]
    assert "x2" in scheduler.waiting


def test_leaving_targets_of_a_region_may_still_be_replaced_in_time():
    scheduler = pool({"e1": "a1", "e3": "b1"})
    scheduler.targets.set_draining("e1", True)
    assert offer(scheduler, "r1") == []
    joined = scheduler.set_target("e4", "a2", "v1", "i1", 1.1)
    assert grants(joined) == {"r1": "e4"}


def test_rate_limits_count_only_the_targets_of_the_region():
    scheduler = pool({"e1": "a1", "e2": "b1"}, slots=9)
    for name in ("e1", "e2"):
        scheduler.targets.adopt_limit("rate_limit", name, "i1", 1.0, 0.5)
    for number in range(30):
        offer(scheduler, f"r{number}", ("a",), deadline=40.0)
    (refusal,) = offer(scheduler, "r99", ("a",), deadline=9.0)
    assert refusal.kind == ErrorKind.DEADLINE_WAITING
    assert not any(
        isinstance(each, Refusal) for each in offer(scheduler, "x", (), deadline=9.0)
    )


# Hosts


def test_only_tunnels_carry_bytes_of_a_request_between_hosts():
    # The other two carry documents of the store.
    with_bytes = {
        layout.cls
        for layout in layouts().values()
        for each in fields(layout.cls)
        if each.type is bytes and layout.tag.startswith("e.")
    }
    assert with_bytes == {StoreDelta, StoreSnapshot, TunnelData}
    told = {each.name: each.type for each in fields(DispatchRequest)}
    assert told["regions"] is list
    assert not {"body", "headers", "target", "method"} & set(told)


def test_only_hosts_in_allowed_regions_are_asked_for_tunnels():
    paths = TargetPaths("n1", "a1", default_zone_cost)
    peers = [Peer("n2", "a1", region="a"), Peer("n3", "b1", region="b")]
    peers.append(Peer("n4", "a1"))
    assert len(paths.rank_peers(peers, "b1", "t1/1", 0.0)) == 3
    assert paths.rank_peers(peers, "b1", "t1/1", 0.0, ("b",)) == ["n3"]
    assert paths.rank_peers(peers, "b1", "t1/1", 0.0, ("c",)) == []


@pytest.mark.parametrize(
    ("zones", "region", "common", "named"),
    [
        ("a1 a2 b1", "a", ("b",), "a1 a2"),
        ("a1 b1 b1", "a", (), "a1 b1 b1"),
        ("a1 b1 b1", "a", ("a",), "a1"),
        ("a1 b1 c9", "a", ("a", "b"), "a1 b1"),
        ("a1 b1", "a", residence.NOWHERE, "a1"),
        ("b1 c9", "a", ("b",), "b1"),
        ("b1 c9", "a", ("a",), "b1 c9"),
        ("a1 c9 c9", "", ("a",), "a1"),
        ("a1 c9 c9", "", (), "a1 c9 c9"),
    ],
)
def test_the_directory_names_hosts_of_the_callers_or_of_allowed_regions(
    zones, region, common, named
):
    rows = [[f"n{n}", "", zone, False] for n, zone in enumerate(zones.split())]
    found = residence.nameable_hosts(
        rows, region, lambda zone: REGIONS.get(zone, ""), common, 2
    )
    assert [row[2] for row in found] == named.split()
