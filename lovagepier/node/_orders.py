"""Orders to targets: load versions ahead of their moves, under one lease."""

import threading

from lovagepier.backing import Compare, Put, StoreError
from lovagepier.decisions.fencing import may_order
from lovagepier.decisions.loading import plan_loads
from lovagepier.logs import part_log
from lovagepier.targets import NotDispatched, TargetBroken

__all__ = ["Orders"]

LEASE_KEY = "lovagepier/orders"
LEASE_S = 30.0
RENEW_S = 5.0
PERIOD_S = 0.5
ORDER_S = 10.0
LOAD_TIMEOUT_S = 0.5


class Orders:
    """Runs on every node; acts only while it holds the lease for the duty.

    The lease's key names its holder, and the key's revision is the fencing
    number: a later holder's is always higher.
    """

    def __init__(self, node):
        self._node = node
        self._log = part_log("targets")
        self._lease = 0
        self._fence = 0
        self._renewed_at = float("-inf")
        self._held_since = float("-inf")
        self._done = set()

    def start(self):
        """Run in a thread of its own until the node has stopped."""
        threading.Thread(target=self._run, name="orders", daemon=True).start()

    def _run(self):
        while not self._node.stopped.wait(PERIOD_S):
            try:
                self._step()
            except StoreError as exc:
                self._log.debug("the lease for orders is not renewed", why=str(exc))

    def _step(self):
        wanted = self._wanted()
        mine = self._node.roster.owns("orders") and not self._node.stopping.is_set()
        if not mine or not wanted:
            self._give_up()
            return
        if self._hold():
            self._order(wanted)

    # The lease

    def _hold(self):
        now = self._node.clock()
        if self._lease and now - self._renewed_at < RENEW_S:
            return True
        if self._lease:
            left = self._node.store.lease_keepalive(self._lease)
            if left > 0:
                self._renewed_at = now
                return True
            self._lease = 0
        return self._take(now)

    def _take(self, now):
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
        self._fence = found.mod_revision
        self._renewed_at = self._held_since = now
        self._node.timeline.add("orders", "lease taken", fence=self._fence)
        return True

    def _give_up(self):
        if not self._lease:
            return
        lease, self._lease = self._lease, 0
        self._node.store.lease_revoke(lease)

    # Loads

    def _wanted(self):
        """Return the targets of open moves that lack their new version."""
        view = self._node.view
        wanted = []
        for name, move in view.moves.items():
            if view.move_state(name) != "open":
                continue
            for target in view.targets.values():
                if target.model != move.model or target.version != move.new:
                    continue
                if (name, target.name) not in self._done:
                    wanted.append((move, target))
        return wanted

    def _order(self, wanted):
        sizes, rate = self._node.weight_store.read()
        if not rate:
            return
        now = self._node.wall()
        by_name = {target.name: (move, target) for move, target in wanted}
        needs = [
            (move.start, target.name, move.new, sizes.get((move.model, move.new), 0))
            for move, target in wanted
        ]
        for load in plan_loads(needs, rate, now):
            if load.begin <= now:
                self._load(*by_name[load.target])
                return

    def _load(self, move, target):
        adapter = self._node.targets.adapter(target)
        try:
            report = adapter.load(LOAD_TIMEOUT_S)
        except (NotDispatched, TargetBroken):
            return
        if report is None or move.new in report.loaded:
            self._done.add((move.id, target.name))
            return
        now = self._node.clock()
        if not may_order(
            now, self._renewed_at, LEASE_S, self._held_since, ORDER_S, target.fenced
        ):
            return
        body = {"order": "load", "model": move.model, "version": move.new}
        taken = adapter.order(body, self._fence, ORDER_S)
        self._node.timeline.add(
            "orders",
            "load taken" if taken else "load refused",
            why=f"{move.new} is needed for the move",
            move=move.id,
            subject=target.name,
            fence=self._fence,
        )
