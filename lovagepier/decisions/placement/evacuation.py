"""Refusals of a pool whose targets are all in evacuated zones.

Answers the load of an evacuation of the last zones of a service: without it, each
request would wait until its deadline for targets that take no work for minutes, and
callers would learn only then that they should come back later.
"""

from lovagepier.decisions.placement.work import Refusal
from lovagepier.errors import ErrorKind

__all__ = ["has_only_evacuated", "refuse", "refuse_waiting"]

# Operators evacuate zones for many seconds, so callers need not come back sooner.
RETRY_AFTER_S = 1.0


def has_only_evacuated(fleet):
    """Return whether evacuations leave a pool no target.

    Without one that is evacuated, targets that drain are about to be replaced.
    """
    has_evacuated = False
    for state in fleet:
        if state.evacuated:
            has_evacuated = True
        elif not state.draining:
            return False
    return has_evacuated


def refuse(work):
    """Return the `Refusal` of a request whose pool has only evacuated targets."""
    why = "all targets are in evacuated zones"
    return Refusal(work, ErrorKind.NO_TARGET, why, retry_after=RETRY_AFTER_S)


def refuse_waiting(fleet, waiting):
    """Remove and refuse all queued requests if evacuations leave a pool no target."""
    if not has_only_evacuated(fleet):
        return []
    works = list(waiting.works())
    for work in works:
        waiting.remove(work.id)
    return [refuse(work) for work in works]
