"""The scheduler's description of a request that an entry host sends."""

import math

from lovagepier.decisions.placement.rendezvous import hash_fraction
from lovagepier.decisions.placement.residence import read_regions
from lovagepier.decisions.placement.work import Work, bounded_tokens
from lovagepier.entry.catalog import ROUTE_TIERS

__all__ = ["BANDS_PER_TIER", "OVER_QUOTA_BAND", "TIERS", "make_work"]

# Tiers of requests: the tiers of accounts and of routes combined.
TIERS = 16
# Each tier of requests is split into this many tiers of a scheduler (bands), most
# urgent first: on time; over the account's quota but within the allowed overage; late.
BANDS_PER_TIER = 3
OVER_QUOTA_BAND = 1
LATE_BAND = 2
# A route leaves this fraction of the retry budget to more urgent routes, times the
# number of route tiers above its own.
RETRY_RESERVE_FRACTION = 0.05


def make_work(entry, req, now):
    """Return the `Work` of a `DispatchRequest` of an entry host, in its first band."""
    tier = min(max(req.tier, 0), TIERS - 1)
    return Work(
        id=f"{entry}/{req.id}",
        entry=entry,
        account=req.account,
        tier=tier * BANDS_PER_TIER,
        late_tier=tier * BANDS_PER_TIER + LATE_BAND,
        deadline=now + req.remaining_s,
        soft_deadline=now + req.soft_deadline_s,
        abandoned_at=now + req.patience_s if req.patience_s else math.inf,
        route=req.route,
        prefill_tokens=bounded_tokens(req.prefill_tokens),
        max_decode_tokens=bounded_tokens(req.decode_tokens),
        decode_tokens=bounded_tokens(req.decode_tokens),
        blocks=tuple(name for name, _ in req.prefix_blocks),
        block_tokens=tuple(bounded_tokens(size) for _, size in req.prefix_blocks),
        draw=hash_fraction(req.id),
        fingerprint=req.fingerprint,
        # The last part belongs to this request or its session alone.
        parts=tuple(name for name, _ in req.prefix_blocks[:-1]),
        zone=req.zone,
        exclude=frozenset(req.exclude),
        attempt=req.attempt,
        retry_reserve=RETRY_RESERVE_FRACTION * (req.tier % ROUTE_TIERS),
        may_overbook=req.tier % ROUTE_TIERS == 0,
        cost=req.cost,
        regions=read_regions(req.regions),
    )
