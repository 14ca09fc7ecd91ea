"""Orders to targets: fenced by lease, in time, never two at once."""

import time

from hypothesis import given
from hypothesis import strategies as st

from lovagepier.decisions.fencing import may_order
from trials.cluster import Cluster, http_json, wait_until

LEASE_S = 30.0
ORDER_S = 10.0


@given(
    st.lists(st.tuples(st.floats(0, 20), st.booleans()), min_size=1, max_size=20),
    st.floats(0, 5),
)
def test_orders_to_unfenced_targets_never_overlap_between_holders(pauses, answer):
    """Holders pause at will; the store ends a lease at its own time."""
    now = 0.0
    renewed = since = 0.0
    busy_until = float("-inf")
    for pause, renews in pauses:
        now += pause
        if renews and now < renewed + LEASE_S:
            renewed = now
            now += answer
        if may_order(now, renewed, LEASE_S, since, ORDER_S, False):
            busy_until = now + ORDER_S
            # The order ends before the lease can lapse.
            assert busy_until <= renewed + LEASE_S
    taken = renewed + LEASE_S
    for step in range(40):
        at = taken + step
        if may_order(at, taken + step, LEASE_S, taken, ORDER_S, False):
            assert at >= busy_until


def test_a_lapsed_lease_gives_no_order_at_all():
    assert not may_order(40.0, 0.0, LEASE_S, 0.0, ORDER_S, True)
    assert may_order(29.0, 0.0, LEASE_S, 0.0, ORDER_S, True)


def test_weights_are_loaded_before_the_move_and_old_numbers_refused():
    with Cluster(zones={"a1": "west"}) as cluster:
        cluster.start_platform(weights=["drafter:v2:2000"], rate=1000.0)
        cluster.start_engine("old", "a1")
        store = cluster.processes["weights"].url
        for name in ("new1", "new2"):
            cluster.start_engine(name, "a1", version="v2", unloaded=True, weights=store)
        cluster.add_account("high", "urgent")
        for name in ("n0", "n1"):
            cluster.start_node(name, "a1")
        cluster.await_members(2)
        cluster.configure(models={"drafter": {"serving": "v1"}})
        now = time.time()
        move = {"model": "drafter", "to": "v2", "start": now + 8, "finish_by": now + 60}
        cluster.patch([{"op": "add", "path": "/moves/m", "value": move}])
        for name in ("new1", "new2"):
            wait_until(lambda name=name: cluster.counts(name)["orders"], 20, name)
        orders = [o for n in ("new1", "new2") for o in cluster.counts(n)["orders"]]
        assert {order["version"] for order in orders} == {"v2"}
        assert all(order["at"] <= now + 8 for order in orders)
        stale = {"order": "load", "model": "drafter", "version": "v0", "fence": 1}
        url = cluster.processes["new1"].url
        assert http_json("POST", f"{url}/v1/orders", stale)[0] == 409
        assert cluster.counts("new1")["orders_at_once"] == 1
