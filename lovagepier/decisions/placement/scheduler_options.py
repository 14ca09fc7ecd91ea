"""Settings of a pool's scheduler."""

from lovagepier.decisions.limits.retries import RetryBudget

__all__ = ["SchedulerOptions"]

SHED_PAUSE_S = 1.0
FINISHED_RETENTION_S = 600.0
# Time past the deadline after which a missing outcome is taken as lost.
LOST_AFTER_S = 90.0


class SchedulerOptions:
    """Settings of one pool scheduler; times in seconds.

    `tiers` is the number of tiers, `max_waiting` the queue length and
    `initial_limit` the first in-flight limit of a target that states no slots.
    `shed_pause_s` is how long lower tiers pause after a request was shed,
    `finished_retention_s` how long finished ids are remembered, and `lost_after_s`
    the time past its deadline after which a request's outcome is taken as lost.

    `make_retry_budget` creates the pool's `RetryBudget`. `zone_cost(zone, zone)`
    returns the cost in seconds of dispatching to another zone. With `demote_late` a
    request that will miss its soft deadline moves to its `late_tier`: a late response
    is worth little, so it must not make the next one late as well. `region_of(zone)`
    returns a zone's region, "" if it is unknown; without it no zone has one. With
    `pace` targets that start or recover get a `Pace`, with `reserve_room` long answers
    yield to urgent requests, see `ReserveRoom`.
    """

    __slots__ = (
        "demote_late",
        "finished_retention_s",
        "initial_limit",
        "lost_after_s",
        "make_retry_budget",
        "max_waiting",
        "pace",
        "policy",
        "region_of",
        "reserve_room",
        "shed_pause_s",
        "tiers",
        "zone_cost",
    )

    def __init__(
        self,
        tiers=4,
        max_waiting=10_000,
        policy="finish-time",
        initial_limit=8.0,
        shed_pause_s=SHED_PAUSE_S,
        finished_retention_s=FINISHED_RETENTION_S,
        make_retry_budget=None,
        demote_late=False,
        zone_cost=None,
        lost_after_s=LOST_AFTER_S,
        region_of=None,
        pace=False,
        reserve_room=False,
    ):
        self.tiers = tiers
        self.max_waiting = max_waiting
        self.policy = policy
        self.initial_limit = initial_limit
        self.shed_pause_s = shed_pause_s
        self.finished_retention_s = finished_retention_s
        self.make_retry_budget = make_retry_budget or RetryBudget
        self.demote_late = demote_late
        self.zone_cost = zone_cost
        self.lost_after_s = lost_after_s
        self.region_of = region_of or (lambda zone: "")
        self.pace = pace
        self.reserve_room = reserve_room
