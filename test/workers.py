"""How the files of tests are dealt out to the worker processes of a whole run."""

from types import SimpleNamespace

import pytest
from xdist.scheduler import LoadFileScheduling

__all__ = ["DeselectedTests", "FileScheduling", "longest_first"]

# Files that take longest, longest first. One that starts last would run by itself in
# the end.
_LONG = (
    "test_second_answers.py",
    "test_moves.py",
    "test_soak.py",
    "test_mixed_builds.py",
    "test_mixed_quotas.py",
    "test_mixed_splits.py",
    "test_target_faults.py",
    "test_interleaved_responses.py",
    "test_kills.py",
    "test_inputs.py",
    "test_platform_faults.py",
    "test_broken_streams.py",
    "test_odd_entries.py",
    "test_stop_answers.py",
    "test_cut_heads.py",
    "test_cuts.py",
    "test_entry_path.py",
    "test_entry_rollouts.py",
    "test_capacity_hold.py",
    "test_leaving_targets.py",
    "test_stop_while_starting.py",
    "test_stray_responses.py",
    "test_odd_entries_path.py",
)
_RANKS = {name: rank for rank, name in enumerate(_LONG)}

# Files that stay in one worker: a worker has its own pool of simulations and its own
# session cluster, and three of either would take the processors from timed tests.
_GROUPS = {
    "test_brittle_targets.py": "simulations",
    "test_moves.py": "simulations",
    "test_rollout_plan.py": "simulations",
    "test_commands.py": "cluster",
    "test_inputs.py": "cluster",
    "test_path.py": "cluster",
    # These start many processes at once.
    "test_mixed_builds.py": "builds",
    "test_mixed_quotas.py": "builds",
    "test_mixed_splits.py": "builds",
    # One host under load at a time.
    "test_misbehaving_callers.py": "caller_floods",
}


def longest_first(items):
    """Sort tests so that the longest files come first, each in its own order."""
    items.sort(key=lambda item: _RANKS.get(item.path.name, len(_RANKS)))


class FileScheduling(LoadFileScheduling):
    """Gives a worker whole files, or whole groups of files, in their order.

    Files must not be parted: the first test of some starts all of them.
    """

    def _split_scope(self, nodeid):
        path = super()._split_scope(nodeid)
        return _GROUPS.get(path.rpartition("/")[2], path)


class DeselectedTests:
    """Plugin that has the summary count what was deselected; only workers know it."""

    def __init__(self):
        self._ids = []

    def pytest_deselected(self, items):
        """Remember the ids."""
        self._ids += [item.nodeid for item in items]

    def pytest_sessionfinish(self, session):
        """Send the ids from a worker."""
        if hasattr(session.config, "workeroutput"):
            session.config.workeroutput["deselected"] = self._ids

    @pytest.hookimpl(optionalhook=True)
    def pytest_testnodedown(self, node, error):
        """Report the ids of the first worker that ends; all have the same."""
        ids = getattr(node, "workeroutput", {}).get("deselected", ())
        if ids and not self._ids:
            items = [SimpleNamespace(nodeid=nodeid) for nodeid in ids]
            node.config.hook.pytest_deselected(items=items)
