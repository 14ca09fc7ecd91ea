"""Refusals of a pool whose targets are all in evacuated zones.

Answers the load of an evacuation of the last zones of a service: without it, each
request would wait until its deadline for targets that take no work for minutes, and
callers would learn only then that they should come back later.
"""

from lovagepier.decisions.placement.residence import may_go
from lovagepier.decisions.placement.work import Refusal
from lovagepier.errors import ErrorKind

__all__ = ["has_only_evacuated", "refuse", "refuse_waiting"]

# Operators evacuate zones for many seconds, so callers need not come back sooner.
RETRY_AFTER_S = 1.0


def has_only_evacuated(fleet, regions=()):
    """Return whether evacuations leave no target to requests with `regions`.

    Without one that is evacuated, targets that drain are about to be replaced.
    """
    has_evacuated = False
    for state in fleet:
        if not may_go(regions, state.region):
            continue
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
    """Remove and refuse the queued requests to which evacuations leave no target."""
    if not any(state.evacuated for state in fleet):
        return []
    works = list(waiting.works())
    without_target = {
        regions
        for regions in {work.regions for work in works}
        if has_only_evacuated(fleet, regions)
    }
    refused = [work for work in works if work.regions in without_target]
    for work in refused:
        waiting.remove(work.id)
    return [refuse(work) for work in refused]
