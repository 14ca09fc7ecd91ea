"""What a scheduler would decide on a request now, without any change to it.

Answers operators' questions about a request that waits, is refused or goes elsewhere.
"""

import copy
from dataclasses import dataclass

from lovagepier.decisions.placement.residence import may_go
from lovagepier.decisions.placement.versions import preferred_versions

__all__ = ["TargetView", "dry_run", "view_targets"]


@dataclass(slots=True)
class TargetView:
    """A target as the scheduler sees it for one request.

    `left_out` says why it can't get the request now, empty if it can. `finish_s` are
    the expected seconds to the end of the request there, `hit_tokens` the prompt tokens
    in its cache.
    """

    target: str
    zone: str
    version: str
    in_flight: int
    slots: float
    finish_s: float
    hit_tokens: int
    left_out: str


class _ReadOnlyPrefixes:
    """A pool's `PrefixIndex` whose changes are ignored."""

    def __init__(self, prefixes):
        self._prefixes = prefixes
        self.hits = prefixes.hits
        self.depth = prefixes.depth

    def add(self, target, blocks):
        """Do nothing."""


def dry_run(scheduler):
    """Return a copy of a scheduler to offer requests to, without effect on it.

    What offering a request only reads is shared: it may be large. Outcomes must not be
    reported to the copy.
    """
    shared = (
        scheduler.options,
        scheduler.policy,
        scheduler.lengths,
        scheduler.pauses,
        scheduler.poison_detector,
    )
    memo = {id(each): each for each in shared}
    # Offering a request changes queued requests, but not those that run.
    for state in scheduler.fleet:
        for work in state.running.values():
            memo[id(work)] = work
    for work in scheduler.waiting.works():
        memo[id(work)] = copy.copy(work)
    memo[id(scheduler.prefixes)] = _ReadOnlyPrefixes(scheduler.prefixes)
    return copy.deepcopy(scheduler, memo)


def view_targets(scheduler, work, now):
    """Return a `TargetView` of each target, from a scheduler made by `dry_run`."""
    versions = preferred_versions(
        scheduler.fleet,
        scheduler.old_version,
        scheduler.share,
        work.draw,
        work.regions,
    )
    paused = scheduler.pauses.avoided(work.entry, scheduler.fleet, now)
    rows = []
    for state in scheduler.fleet:
        depth = scheduler.prefixes.depth(state.name, work.blocks)
        hit = work.hit_tokens(depth)
        rows.append(
            TargetView(
                state.name,
                state.zone,
                state.version,
                state.in_flight,
                state.limit.value,
                round(state.finish_seconds(work, hit), 4),
                hit,
                _why_left_out(state, work, versions, paused, scheduler.paces, now),
            )
        )
    return sorted(rows, key=lambda row: (bool(row.left_out), row.finish_s, row.target))


def _why_left_out(state, work, versions, paused, paces, now):
    """Return why a target can't get `work`; in the order of `TargetState`'s checks."""
    overbook = int(work.may_overbook or work.tier == 0)
    reasons = (
        ("excluded version", state.version not in versions),
        ("excluded by the request", state.name in work.exclude),
        ("residence", not may_go(work.regions, state.region)),
        ("paused for this host", state.name in paused),
        ("draining", state.draining),
        ("down", state.down),
        ("evacuated", state.evacuated),
        (_ejection(state, now), now < state.ejected_until),
        ("probing", state.probing and state.pace is None and bool(state.running)),
        (
            "rejection limit",
            state.rejection_limit.is_stated
            and not state.rejection_limit.allows(state.in_flight, now),
        ),
        (
            "rate limit",
            state.rate_limit.is_stated and not state.rate_limit.allows(now),
        ),
        ("cold", state.cold_limit is not None and not state.cold_limit.allows(now)),
        (
            "pace",
            state.pace is not None and not state.pace.allows(state.in_flight, now),
        ),
        ("full", not state.has_room(extra=overbook)),
        ("half-open", state.name in paces.spared(work)),
    )
    for reason, holds in reasons:
        if holds:
            return reason
    # A check that is not named above, such as one of a newer part.
    return "" if state.takes_work(now) else "takes no work"


def _ejection(state, now):
    return f"ejected for {state.ejected_until - now:.1f} s"
