"""Orders targets to load new versions before their rollouts, under one lease."""

import threading

from lovagepier.backing import Compare, Put, StoreError
from lovagepier.decisions.membership.fencing import may_order
from lovagepier.decisions.placement.loading import plan_loads
from lovagepier.logs import component_logger
from lovagepier.targets import NotDispatched, TargetBroken

__all__ = ["Orders"]

LEASE_KEY = "lovagepier/orders"
LEASE_S = 30.0
LEASE_RENEW_PERIOD_S = 5.0
STEP_PERIOD_S = 0.5
MAX_ORDER_S = 10.0
# An accepted order is repeated only after this time: reports lag, and a repeated load
# would delay the next target's.
REPEAT_ORDER_AFTER_S = 5.0
REPORT_TIMEOUT_S = 0.5


class Orders:
    """Runs on every node, but gives orders only while it holds the lease.

    The lease is attached to a store key that names the holder. The key's
    revision is the fencing number that goes out with each order; it is higher
    for every later holder.
    """

    def __init__(self, node):
        self._node = node
        self._log = component_logger("targets")
        self._lease = 0
        self._fencing_number = 0
        self._lease_renewed_at = float("-inf")
        self._lease_acquired_at = float("-inf")
        self._loaded = set()
        self._accepted_at = {}

    def start(self):
        """Run in a background thread until the node has stopped."""
        threading.Thread(target=self._run, name="orders", daemon=True).start()

    def _run(self):
        while not self._node.stopped.wait(STEP_PERIOD_S):
            try:
                self._step()
            except StoreError as exc:
                self._log.debug("failed to renew the lease for orders", why=str(exc))

    def _step(self):
        pending = self._pending_loads()
        is_owner = self._node.roster.owns("orders") and not self._node.stopping.is_set()
        if not is_owner or not pending:
            self._release_lease()
            return
        if self._hold_lease():
            self._order_next_load(pending)

    # Lease

    def _hold_lease(self):
        # `now` is read before the calls to the store, so the lease lasts at least
        # `LEASE_S` from it.
        now = self._node.clock()
        if self._lease and now - self._lease_renewed_at < LEASE_RENEW_PERIOD_S:
            return True
        if self._lease:
            remaining_s = self._node.store.lease_keepalive(self._lease)
            if remaining_s > 0:
                self._lease_renewed_at = now
                return True
            self._lease = 0
        return self._acquire_lease(now)

    def _acquire_lease(self, now):
        lease = self._node.store.lease_grant(LEASE_S)
        put = Put(LEASE_KEY, self._node.cfg.node_name.encode(), lease)
        result = self._node.store.txn([Compare(LEASE_KEY, "mod", 0)], [put])
        if not result.succeeded:
            self._node.store.lease_revoke(lease)
            return False
        found = self._node.store.get(LEASE_KEY)
        if found is None or found.lease != lease:
            return False
        self._lease = lease
        self._fencing_number = found.mod_revision
        self._lease_renewed_at = self._lease_acquired_at = now
        self._node.timeline.add("orders", "lease taken", fence=self._fencing_number)
        return True

    def _release_lease(self):
        if not self._lease:
            return
        lease, self._lease = self._lease, 0
        self._node.store.lease_revoke(lease)

    # Load orders

    def _pending_loads(self):
        """Return (rollout, target) for the targets not known to have loaded.

        Only targets with the new version of an open rollout count.
        """
        view = self._node.view
        pending = []
        for name, rollout in view.rollouts.items():
            if view.rollout_state(name) != "open":
                continue
            for target in view.targets.values():
                if target.model != rollout.model or target.version != rollout.new:
                    continue
                if (name, target.name) not in self._loaded:
                    pending.append((rollout, target))
        return pending

    def _order_next_load(self, pending):
        sizes, rate = self._node.weight_store.read()
        if not rate:
            return
        now = self._node.wall()
        pending = [item for item in pending if not self._awaits_report(*item)]
        by_name = {target.name: (rollout, target) for rollout, target in pending}
        needs = [
            (
                rollout.start,
                target.name,
                rollout.new,
                sizes.get((rollout.model, rollout.new), 0),
            )
            for rollout, target in pending
        ]
        for load in plan_loads(needs, rate, now):
            if load.begin <= now:
                self._order_load(*by_name[load.target])
                return

    def _awaits_report(self, rollout, target):
        accepted_at = self._accepted_at.get((rollout.id, target.name))
        if accepted_at is None:
            return False
        return self._node.clock() - accepted_at < REPEAT_ORDER_AFTER_S

    def _order_load(self, rollout, target):
        adapter = self._node.targets.adapter(target)
        try:
            report = adapter.load(REPORT_TIMEOUT_S)
        except (NotDispatched, TargetBroken):
            return
        # A target without a load report is taken as loaded.
        if report is None or rollout.new in report.loaded:
            self._loaded.add((rollout.id, target.name))
            return
        now = self._node.clock()
        if not may_order(
            now,
            self._lease_renewed_at,
            LEASE_S,
            self._lease_acquired_at,
            MAX_ORDER_S,
            target.fenced,
        ):
            return
        body = {"order": "load", "model": rollout.model, "version": rollout.new}
        taken = adapter.order(body, self._fencing_number, MAX_ORDER_S)
        if taken:
            self._accepted_at[(rollout.id, target.name)] = self._node.clock()
        self._node.timeline.add(
            "orders",
            "load taken" if taken else "load refused",
            why=f"{rollout.new} is needed for the move",
            move=rollout.id,
            subject=target.name,
            fence=self._fencing_number,
        )
