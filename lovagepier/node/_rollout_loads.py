"""The loads of the targets in the pools that a node coordinates, during rollouts."""

from collections import Counter

from lovagepier.decisions.placement.target_load import TargetLoads

__all__ = ["RolloutLoads"]


class RolloutLoads:
    """Keeps `TargetLoads` for each pool whose model has an open rollout."""

    __slots__ = ("_loads", "_node")

    def __init__(self, node):
        self._node = node
        self._loads = {}

    def update(self, shares, now):
        """Note the loads of now; `shares` is {model: (old, {new: its share})}."""
        for status in self._node.pools.statuses():
            key = (status["subject"], status["region"])
            if key[0] not in shares or "counts" not in status:
                continue
            serving = _serving(status)
            loads = self._loads.setdefault(key, TargetLoads())
            granted = status["counts"]["granted"]
            loads.update(granted, _served(serving, *shares[key[0]]), serving, now)
        for key in [key for key in self._loads if key[0] not in shares]:
            del self._loads[key]

    def highest(self, model, target, version, since):
        """Return the highest load that a target had from `since` on, or None."""
        known = self._node.view.targets.get(target)
        loads = self._loads.get((model, known.region)) if known else None
        return None if loads is None else loads.highest(version, since)


def _served(serving, old, new_shares):
    """Return {version: share}; the old one serves what a pool has no new target for."""
    served = {each: part for each, part in new_shares.items() if serving[each]}
    return {old: 1.0 - sum(served.values()), **served}


def _serving(status):
    """Return {version: number of its targets that take requests}."""
    return Counter(
        each["version"]
        for each in status["targets"]
        if not each["leaving"] and not each["down"]
    )
