"""Load orders to targets: given under a lease, in time and one at a time."""

import time

from hypothesis import given
from hypothesis import strategies as st

from lovagepier.decisions.membership.fencing import may_order
from trials.cluster import Cluster, http_json, wait_until

LEASE_S = 30.0
MAX_ORDER_S = 10.0


@given(
    st.lists(st.tuples(st.floats(0, 20), st.booleans()), min_size=1, max_size=20),
    st.floats(0, 5),
)
def test_orders_to_unfenced_targets_never_overlap_between_holders(stalls, answer):
    """A holder may stall at any time; the lease expires in the store meanwhile."""
    now = 0.0
    renewed_at = acquired_at = 0.0
    busy_until = float("-inf")
    for stall, is_renewed in stalls:
        now += stall
        if is_renewed and now < renewed_at + LEASE_S:
            renewed_at = now
            now += answer
        if may_order(now, renewed_at, LEASE_S, acquired_at, MAX_ORDER_S, False):
            busy_until = now + MAX_ORDER_S
            # The order ends before the lease can expire.
            assert busy_until <= renewed_at + LEASE_S
    takeover_at = renewed_at + LEASE_S
    for step in range(40):
        later = takeover_at + step
        if may_order(
            later, takeover_at + step, LEASE_S, takeover_at, MAX_ORDER_S, False
        ):
            assert later >= busy_until


def test_no_order_is_given_after_the_lease_has_expired():
    assert not may_order(40.0, 0.0, LEASE_S, 0.0, MAX_ORDER_S, True)
    assert may_order(29.0, 0.0, LEASE_S, 0.0, MAX_ORDER_S, True)


def test_weights_load_before_the_rollout_and_old_fencing_numbers_are_refused():
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
        # The report of the first target lags; its order is not repeated meanwhile.
        assert len(orders) == 2
        assert all(order["at"] <= now + 8 for order in orders)
        stale = {"order": "load", "model": "drafter", "version": "v0", "fence": 1}
        url = cluster.processes["new1"].url
        assert http_json("POST", f"{url}/v1/orders", stale)[0] == 409
        assert cluster.counts("new1")["orders_at_once"] == 1
