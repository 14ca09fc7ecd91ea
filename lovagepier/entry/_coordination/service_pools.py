"""The schedulers of all services, with the targets that the view of the store has."""

from dataclasses import dataclass, field

from lovagepier.decisions.placement.evacuation import refuse_waiting
from lovagepier.decisions.placement.partition import slots_for_host
from lovagepier.decisions.placement.residence import region_finder
from lovagepier.decisions.placement.scheduler import PoolScheduler, SchedulerOptions
from lovagepier.entry._coordination.backoffs import TargetBackoffs
from lovagepier.entry._coordination.budgets import make_retry_budget
from lovagepier.entry._coordination.cold_targets import ColdTargets
from lovagepier.entry._coordination.room_log import RoomLog
from lovagepier.entry._coordination.stated_limits import StatedLimits
from lovagepier.entry._coordination.target_groups import targets_by_service
from lovagepier.entry._coordination.work import BANDS_PER_TIER, TIERS
from lovagepier.entry._zones import make_zone_cost
from lovagepier.logs import component_logger

__all__ = ["ServicePools"]

# Finished requests are remembered this long, for results that arrive late.
FINISHED_RETENTION_S = 30.0
# Entry hosts end all work at its deadline; a result that is later than this is lost.
LOST_AFTER_S = 2.0
# After a request of a higher tier was shed, lower tiers wait this long.
SHED_PAUSE_S = 0.05

_log = component_logger("pool")


@dataclass(slots=True)
class _Pool:
    """The scheduler of one service, and its targets' incarnations and backoffs."""

    scheduler: PoolScheduler
    incarnations: dict = field(default_factory=dict)
    backoffs: TargetBackoffs = field(default_factory=TargetBackoffs)
    room_log: RoomLog = field(default_factory=RoomLog)


class ServicePools:
    """The pools by service.

    `rollouts` are the coordinator's `Rollouts`; the schedulers share `pauses` and
    `poison_detector`. `on_decisions(decisions)` gets what the schedulers decide when
    targets change. `stated_limits` are the `StatedLimits` by kind, `cold_targets` the
    `ColdTargets`; `share` is the fraction of all targets that this host hands out.
    """

    def __init__(self, cfg, view, rng, rollouts, pauses, poison_detector, on_decisions):
        self._cfg = cfg
        self._view = view
        self._rng = rng
        self._rollouts = rollouts
        self._pauses = pauses
        self._poison_detector = poison_detector
        self._on_decisions = on_decisions
        self._pools = {}
        self._quota_share = 1.0
        self.stated_limits = {
            kind: StatedLimits(kind, self.schedulers)
            for kind in ("rate_limit", "rejection_limit")
        }
        self.cold_targets = ColdTargets(cfg, view)
        self.share = 1.0

    def __iter__(self):
        return iter(self._pools)

    def __contains__(self, service):
        return service in self._pools

    def __getitem__(self, service):
        return self._pools[service]

    def items(self):
        """Return the (service, pool) pairs."""
        return self._pools.items()

    def values(self):
        """Return the pools."""
        return self._pools.values()

    def schedulers(self):
        """Return the schedulers of all services."""
        return [pool.scheduler for pool in self._pools.values()]

    def get(self, service):
        """Return a service's pool; a new one has no targets yet."""
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = self._make_pool()
        return pool

    def get_filled(self, service, now):
        """Return a service's pool; a new one gets the targets of the view."""
        return self._pools.get(service) or self.fill(service, now)

    def _make_pool(self):
        options = SchedulerOptions(
            tiers=TIERS * BANDS_PER_TIER,
            demote_late=True,
            zone_cost=make_zone_cost(self._cfg),
            lost_after_s=LOST_AFTER_S,
            max_waiting=self._cfg.scheduling_max_waiting,
            pace=self._cfg.paces_targets,
            reserve_room=self._cfg.scheduling_reserve_room == "on",
            shed_pause_s=SHED_PAUSE_S,
            finished_retention_s=FINISHED_RETENTION_S,
            make_retry_budget=lambda: make_retry_budget(self._cfg, self._quota_share),
            region_of=region_finder(self._cfg),
        )
        pool = _Pool(PoolScheduler(options, self._rng))
        pool.scheduler.poison_detector = self._poison_detector
        pool.scheduler.pauses = self._pauses
        pool.scheduler.targets.set_rate_share(self._quota_share, 0.0)
        return pool

    def room_counts(self):
        """Return counts of decisions on places and memory, by name of the metric."""
        rooms = [each.room for each in self.schedulers() if each.room is not None]
        return {
            "early_refusals": sum(room.decision.early_refusals for room in rooms),
            "kept_in_queue": sum(room.kept_in_queue for room in rooms),
            "memory_waits": sum(each.policy.memory_waits for each in self.schedulers()),
        }

    # Targets

    def refresh(self, now):
        """Update the targets of all services from the view of the store."""
        self._view.evacuations.log_changes(self._cfg.zones, self._view.targets.values())
        targets = targets_by_service(self._view, self._pools)
        for service in set(targets) | set(self._pools):
            self._refresh_pool(service, targets.get(service, {}), now)

    def fill(self, service, now):
        """Return a service's pool with the targets of the view."""
        targets = targets_by_service(self._view, (service,)).get(service, {})
        self._refresh_pool(service, targets, now)
        return self._pools[service]

    def _refresh_pool(self, service, targets, now):
        pool = self.get(service)
        self.apply_rollout(service, pool, now)
        for name in [name for name in pool.incarnations if name not in targets]:
            pool.scheduler.targets.remove(name, now)
            self._drop_limits(name, pool.incarnations.pop(name))
            self._pauses.drop(name)
            self.cold_targets.drop(name, now)
        slots = self._usable_slots(targets.values())
        labels = {
            target.id: self._rollouts.version_label(target)
            for target in targets.values()
        }
        draining = {
            target.id: target.draining or labels[target.id] is None
            for target in targets.values()
        }
        for name, is_draining in draining.items():
            pool.scheduler.targets.set_draining(name, is_draining, now)
        evacuated = {
            target.id: self._view.evacuations.holds(target)
            for target in targets.values()
        }
        for name, is_evacuated in evacuated.items():
            pool.scheduler.targets.set_evacuated(name, is_evacuated, now)
        # Each update may grant waiting requests, so all draining and evacuated targets
        # are excluded before the first one, and it is known which ones are cold.
        cold_limits = {
            target.id: self.cold_targets.limit(target, evacuated[target.id], now)
            for target in targets.values()
        }
        rejection_limits = self.stated_limits["rejection_limit"]
        rejection_limit = rejection_limits.lowest(targets)
        for target in targets.values():
            known = pool.incarnations.get(target.id)
            if known != target.incarnation:
                pool.incarnations[target.id] = target.incarnation
                self._drop_limits(target.id, known)
                pool.backoffs.end_pause(target.id)
                # The targets of a service are brittle together.
                rejection_limits.expect(target.id, target.incarnation, rejection_limit)
            decisions = pool.scheduler.set_target(
                target.id,
                target.zone,
                labels[target.id] or "",
                target.incarnation,
                now,
                slots=slots[target.id],
                draining=draining[target.id],
                rejection_limit=rejection_limit,
                evacuated=evacuated[target.id],
                cold_limit=cold_limits[target.id],
                memory_tokens=self._usable_memory(target, slots[target.id]),
            )
            self._on_decisions(decisions)
        self._on_decisions(refuse_waiting(pool.scheduler.fleet, pool.scheduler.waiting))

    def _drop_limits(self, target, incarnation):
        for limits in self.stated_limits.values():
            limits.drop(target, incarnation)

    def apply_stage_changes(self, now):
        """Update the targets of services whose rollout changed its stage.

        The store need not have changed: it may be down while a rollback takes effect.
        """
        for service in self._rollouts.take_changed():
            self.fill(service, now)

    def apply_rollout(self, service, pool, now):
        """Set the share of a pool's traffic that a rollout's new version gets."""
        share = self._rollouts.share(service, now)
        pool.scheduler.old_version = None if share is None else "old"
        pool.scheduler.share = {} if share is None else {"new": share}

    # Shares of this host

    def set_share(self, share, quota_share, now, is_used=True):
        """Set the fractions of all targets and quotas that this host hands out.

        `is_used` tells whether any host uses its coordinator.
        """
        self._quota_share = quota_share
        self.cold_targets.share.set(quota_share if is_used else 0.0, now)
        for pool in self._pools.values():
            pool.scheduler.retry_budget.set_share(quota_share, now)
            pool.scheduler.targets.set_rate_share(quota_share, now)
        if share == self.share:
            return
        _log.info(
            "part of the targets that this coordinator uses",
            share=round(share, 3),
            quotas=round(quota_share, 3),
        )
        self.share = share
        for pool in self._pools.values():
            targets = map(self._view.target, pool.incarnations)
            slots = self._usable_slots(
                target for target in targets if target is not None
            )
            for state in pool.scheduler.fleet:
                if state.name in slots:
                    state.limit.value = slots[state.name]
                    target = self._view.target(state.name)
                    state.memory_tokens = self._usable_memory(target, state.limit.value)
                    pool.scheduler.fleet.reindex(state)

    def _usable_memory(self, target, slots):
        """Return the tokens that `slots` of a target may hold, 0 for no bound."""
        catalog = self._view.catalog
        service = catalog.services.get(target.service) if catalog else None
        if service is None or not service.memory_tokens:
            return 0
        return service.memory_tokens * min(slots / max(target.slots, 1), 1.0)

    def _usable_slots(self, targets):
        slots = {target.id: target.slots for target in targets}
        return slots_for_host(self._cfg.host_name, slots, self.share)
