"""The view of the store: versions only increase, expired entries get a grace period."""

import json

from hypothesis import given
from hypothesis import strategies as st

from lovagepier.entry._store.view import LAPSE_GRACE_S, StoreView
from lovagepier.platform import Event, Item
from test.entry_builders import config


def item(key, value, revision, created=None):
    return Item(key, json.dumps(value).encode(), revision, created or revision)


def target(name="w1", state="ready"):
    return {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "a1",
        "version": "v1",
        "slots": 4,
        "state": state,
    }


def put(view, key, value, revision, now=0.0):
    made = item(key, value, revision)
    return view.on_events([Event(key, revision, made)], revision, now)


@given(st.permutations(range(1, 9)))
def test_the_configuration_version_never_decreases(order):
    view = StoreView()
    highest = 0
    for revision, version in enumerate(order, 1):
        put(view, "op/config", config(version), revision)
        highest = max(highest, version)
        assert view.version == highest


def test_a_first_configuration_of_version_zero_is_taken():
    view = StoreView()
    put(view, "op/config", config(0), 1)
    assert view.catalog is not None


def test_old_revisions_are_ignored():
    view = StoreView()
    put(view, "servers/w1", target(state="draining"), 5)
    put(view, "servers/w1", target(), 4)
    assert view.target("w1").draining
    assert view.on_snapshot([item("servers/w1", target(), 3)], 4, 0.0) == []
    assert view.target("w1").draining


def test_a_late_delta_does_not_bring_back_a_removed_key():
    """Replays a former coordinator whose delta arrives after a target was removed."""
    view = StoreView()
    put(view, "servers/w1", target(), 5)
    view.on_events([Event("servers/w1", 8, None)], 8, 0.0)
    late = [Event("servers/w1", 5, item("servers/w1", target(), 5))]
    assert view.on_delta(late, 6, 0.0) == []
    assert view.target("w1") is None


def test_a_scan_drops_deleted_targets():
    view = StoreView()
    put(view, "servers/w1", target(), 5)
    put(view, "servers/w2", target(), 6)
    view.on_scan([item("servers/w2", target(), 6)], 9, 1.0)
    assert view.target("w1") is None and view.target("w2") is not None


def test_targets_that_expire_in_an_outage_are_kept_for_the_grace_period():
    view = StoreView()
    put(view, "servers/w1", target(), 5)
    view.on_fault(10.0)
    view.on_events([Event("servers/w1", 6, None)], 6, 11.0)
    assert view.target("w1") is not None
    view.expire_lapsed(11.0 + LAPSE_GRACE_S - 0.1)
    assert view.target("w1") is not None
    put(view, "servers/w1", target(), 7, 12.0)
    view.expire_lapsed(99.0)
    assert view.target("w1") is not None


def test_targets_that_do_not_register_again_are_dropped():
    view = StoreView()
    put(view, "servers/w1", target(), 5)
    view.on_fault(10.0)
    view.on_events([Event("servers/w1", 6, None)], 6, 11.0)
    assert view.expire_lapsed(11.0 + LAPSE_GRACE_S)
    assert view.target("w1") is None


def test_targets_that_expire_without_an_outage_are_dropped_at_once():
    view = StoreView()
    put(view, "servers/w1", target(), 5)
    view.on_events([Event("servers/w1", 6, None)], 6, 11.0)
    assert view.target("w1") is None
