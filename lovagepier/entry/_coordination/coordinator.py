"""The coordinator: one host's schedulers for all services, quotas and rollouts.

Every entry host runs one, and decides with it for the hosts that use it as their
coordinator: usually one host for all, or several that can't reach each other. Logs and
metrics call the coordinator the home.
"""

import math
from dataclasses import dataclass, field

from lovagepier.decisions.partition import slots_for_host
from lovagepier.decisions.pauses import Pauses
from lovagepier.decisions.poison import PoisonDetector
from lovagepier.decisions.quotas import Quotas
from lovagepier.decisions.rendezvous import hash_fraction
from lovagepier.decisions.scheduler import PoolScheduler, SchedulerOptions
from lovagepier.decisions.work import Grant, Outcome, Refusal, Work, bounded_tokens
from lovagepier.entry._cluster.messages import Granted, Refused
from lovagepier.entry._coordination.budgets import make_quotas, make_retry_budget
from lovagepier.entry._coordination.rollouts import Rollouts
from lovagepier.entry._coordination.stated_limits import StatedLimits
from lovagepier.entry._coordination.target_groups import targets_by_service
from lovagepier.entry._zones import make_zone_cost
from lovagepier.entry.catalog import ROUTE_TIERS
from lovagepier.errors import ErrorKind
from lovagepier.logs import component_logger

__all__ = ["Coordinator"]

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
# A request leaves this many times its own cost in its account's quota for each route
# tier above its own. An account over its quota then keeps its most urgent work, and
# small requests still pass.
QUOTA_RESERVE_COSTS = 10.0
# Finished requests are remembered this long, for results that arrive late.
FINISHED_RETENTION_S = 30.0
# Entry hosts end all work at its deadline; a result that is later than this is lost.
LOST_AFTER_S = 2.0
# After a request of a higher tier was shed, lower tiers wait this long.
SHED_PAUSE_S = 0.05
# A target that refuses connections is retried after twice this time, which doubles
# with each failure.
DOWN_BACKOFF_BASE_S = 0.4
MAX_DOWN_BACKOFF_S = 3.0
# Bounds of the Retry-After of a scheduler's refusals. A refusal over the quota states
# when the quota will suffice, without these bounds.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 5.0
# Fingerprints named in the log line of a crash.
MAX_LOGGED_SUSPECTS = 8

_log = component_logger("pool")


@dataclass(slots=True)
class _Pool:
    """The scheduler of one service, and its targets' incarnations and backoffs."""

    scheduler: PoolScheduler
    incarnations: dict = field(default_factory=dict)
    down_until: dict = field(default_factory=dict)
    down_backoff_s: dict = field(default_factory=dict)


class Coordinator:
    """Decides which target runs each request of the hosts that it coordinates.

    `send(entry, message)` sends an answer to an entry host, `write_state` writes a
    rollout's state to the store (see `Rollouts`). `quotas` decides what passes;
    `base_quotas` are the quotas without slack and overage. `rate_limits` and
    `rejection_limits` are those that targets state, `stated_limits` both by kind.
    `pauses` are what targets want from single hosts. Times (`now`) are in seconds on
    the event loop's clock.
    """

    def __init__(self, cfg, view, rng, send, write_state):
        self._cfg = cfg
        self._view = view
        self._rng = rng
        self._send = send
        self._pools = {}
        self._share = 1.0
        self._quota_share = 1.0
        self.pauses = Pauses()
        self.poison_detector = PoisonDetector()
        self.quotas = make_quotas(cfg)
        self.base_quotas = Quotas()
        self.rollouts = Rollouts(cfg, view, write_state)
        self.rate_limits = StatedLimits("rate_limit", self._schedulers)
        self.rejection_limits = StatedLimits("rejection_limit", self._schedulers)
        self.stated_limits = {
            limits.kind: limits for limits in (self.rate_limits, self.rejection_limits)
        }

    def _schedulers(self):
        return [pool.scheduler for pool in self._pools.values()]

    def _pool(self, service):
        pool = self._pools.get(service)
        if pool is None:
            options = SchedulerOptions(
                tiers=TIERS * BANDS_PER_TIER,
                demote_late=True,
                zone_cost=make_zone_cost(self._cfg),
                lost_after_s=LOST_AFTER_S,
                max_waiting=self._cfg.scheduling_max_waiting,
                shed_pause_s=SHED_PAUSE_S,
                finished_retention_s=FINISHED_RETENTION_S,
                make_retry_budget=lambda: make_retry_budget(
                    self._cfg, self._quota_share
                ),
            )
            pool = _Pool(PoolScheduler(options, self._rng))
            pool.scheduler.poison_detector = self.poison_detector
            pool.scheduler.pauses = self.pauses
            pool.scheduler.targets.set_rate_share(self._quota_share, 0.0)
            self._pools[service] = pool
        return pool

    # Changes in the store

    def refresh(self, now):
        """Update targets and rollouts from the view of the store."""
        self.rollouts.refresh(now)
        self.rollouts.take_changed()
        targets = targets_by_service(self._view, self._pools)
        for service in set(targets) | set(self._pools):
            self._refresh_pool(service, targets.get(service, {}), now)
        for limits in self.stated_limits.values():
            limits.apply(now)
        self._log_crashes()

    def _log_crashes(self):
        for crash in self.poison_detector.take_crashes():
            _log.warning(
                "a target crashed",
                target=crash.id,
                suspects=crash.suspects[:MAX_LOGGED_SUSPECTS],
                suspect_count=len(crash.suspects),
                explained=crash.explained,
                poisoned=crash.poisoned,
            )

    def _refresh_pool(self, service, targets, now):
        pool = self._pool(service)
        self._apply_rollout(service, pool, now)
        for name in [name for name in pool.incarnations if name not in targets]:
            pool.scheduler.targets.remove(name, now)
            self._drop_limits(name, pool.incarnations.pop(name))
            self.pauses.drop(name)
        slots = self._usable_slots(targets.values())
        labels = {
            target.id: self.rollouts.version_label(target)
            for target in targets.values()
        }
        draining = {
            target.id: target.draining or labels[target.id] is None
            for target in targets.values()
        }
        for name, is_draining in draining.items():
            pool.scheduler.targets.set_draining(name, is_draining)
        # Each update may grant waiting requests, so all draining targets are excluded
        # before the first one.
        rejection_limit = self.rejection_limits.lowest(targets)
        for target in targets.values():
            known = pool.incarnations.get(target.id)
            if known != target.incarnation:
                pool.incarnations[target.id] = target.incarnation
                self._drop_limits(target.id, known)
                pool.down_until.pop(target.id, None)
                # The targets of a service are brittle together.
                self.rejection_limits.expect(
                    target.id, target.incarnation, rejection_limit
                )
            decisions = pool.scheduler.set_target(
                target.id,
                target.zone,
                labels[target.id] or "",
                target.incarnation,
                now,
                slots=slots[target.id],
                draining=draining[target.id],
                rejection_limit=rejection_limit,
            )
            self._send_decisions(decisions)

    def _drop_limits(self, target, incarnation):
        for limits in self.stated_limits.values():
            limits.drop(target, incarnation)

    def _apply_stage_changes(self, now):
        """Update the targets of services whose rollout changed its stage.

        The store need not have changed: it may be down while a rollback takes effect.
        """
        for service in self.rollouts.take_changed():
            self._fill_pool(service, now)

    def _fill_pool(self, service, now):
        """Return a service's pool with the targets of the view."""
        targets = targets_by_service(self._view, (service,)).get(service, {})
        self._refresh_pool(service, targets, now)
        return self._pools[service]

    def _apply_rollout(self, service, pool, now):
        share = self.rollouts.share(service, now)
        pool.scheduler.old_version = None if share is None else "old"
        pool.scheduler.share = {} if share is None else {"new": share}

    def set_share(self, share, quota_share, now):
        """Set the fractions of all targets and quotas that this host hands out."""
        self.quotas.set_share(quota_share, now)
        self._quota_share = quota_share
        self.rollouts.set_slack_fraction(quota_share)
        for pool in self._pools.values():
            pool.scheduler.retry_budget.set_share(quota_share, now)
            pool.scheduler.targets.set_rate_share(quota_share, now)
        if share == self._share:
            return
        _log.info(
            "part of the targets that this home uses",
            share=round(share, 3),
            quotas=round(quota_share, 3),
        )
        self._share = share
        for pool in self._pools.values():
            targets = map(self._view.target, pool.incarnations)
            slots = self._usable_slots(
                target for target in targets if target is not None
            )
            for state in pool.scheduler.fleet:
                if state.name in slots:
                    state.limit.value = slots[state.name]
                    pool.scheduler.fleet.reindex(state)

    def _usable_slots(self, targets):
        slots = {target.id: target.slots for target in targets}
        return slots_for_host(self._cfg.host_name, slots, self._share)

    def take_over(self, now, quota_levels=None, retry_levels=None):
        """Start to decide for hosts that used another coordinator until now.

        `quota_levels` are the last levels that it sent of its `Quotas`, None if
        they are unknown. `retry_levels` are those of its `RetryBudget`s.
        """
        self.quotas.take_over(now, quota_levels)
        for limits in self.stated_limits.values():
            limits.take_over(now)
        for service, level in (retry_levels or {}).items():
            pool = self._pools.get(service) or self._fill_pool(service, now)
            pool.scheduler.retry_budget.adopt(level)

    def retry_levels(self):
        """Return {service: tokens left in its retry budget}."""
        return {
            service: round(pool.scheduler.retry_budget.level, 1)
            for service, pool in self._pools.items()
        }

    # Messages from entry hosts

    def on_dispatch_request(self, entry, req, now):
        """Refuse a request that is over its quota, or offer it to the scheduler."""
        refusal = self._check_quota(req, now)
        if refusal is not None:
            self._send(entry, refusal)
            return
        pool = self._pools.get(req.service) or self._fill_pool(req.service, now)
        if req.attempt == 0:
            self.rollouts.count_sent(req.service)
        work = self._make_work(entry, req, now)
        if self._is_over_base_quota(req, now):
            work.tier += OVER_QUOTA_BAND
        self._send_decisions(pool.scheduler.offer(work, now))

    def _find_account(self, req):
        catalog = self._view.catalog
        return catalog.accounts.get(req.account) if catalog else None

    def _is_over_base_quota(self, req, now):
        """Return whether a request uses its account's slack or overage.

        Such a request runs after those of the same tier that are within their quota.
        """
        account = self._find_account(req)
        if account is None:
            return False
        wait = self.base_quotas.spend(
            account.name, account.rate, account.burst, req.cost, now
        )
        return wait > 0

    def _check_quota(self, req, now):
        account = self._find_account(req)
        if account is None or not req.cost:
            return None
        reserve = (req.tier % ROUTE_TIERS) * QUOTA_RESERVE_COSTS * req.cost
        wait = self.quotas.spend(
            account.name, account.rate, account.burst, req.cost, now, reserve
        )
        if not wait:
            return None
        why = (
            f"{account.name} is over {account.rate:g} a second and {account.burst:g}: "
            f"costs {req.cost:g}"
        )
        return Refused(req.id, ErrorKind.OVER_QUOTA, why, wait)

    def _make_work(self, entry, req, now):
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
        )

    def on_first_event(self, entry, event, now):
        """Record the time to the first event of a response."""
        work_id = f"{entry}/{event.id}"
        for pool in self._pools.values():
            if pool.scheduler.find_running(work_id) is not None:
                pool.scheduler.first_byte(work_id, event.seconds, now)
                return

    def on_result(self, entry, result, now):
        """Record the outcome of a dispatch; results of unknown work are ignored."""
        work_id = f"{entry}/{result.id}"
        outcome = Outcome(
            work_id,
            result.target,
            result.status,
            result.first,
            result.total,
            bounded_tokens(result.tokens),
        )
        for service, pool in self._pools.items():
            found = pool.scheduler.find_running(work_id)
            if found is None:
                continue
            work, target, version = found
            self._record_target_outcome(pool, target, outcome, now)
            self.rollouts.observe(service, version, work, outcome, now)
            self._apply_stage_changes(now)
            self._send_decisions(pool.scheduler.finish(outcome, now))
            self._log_crashes()
            return

    def on_target_down(self, message, now):
        """Record that a target crashed; reports of earlier incarnations are ignored."""
        pool = self._pool(message.service)
        state = pool.scheduler.fleet.get(message.target)
        if state is None or state.down or state.incarnation != message.incarnation:
            return
        self._back_off(pool, message.target, now)
        pool.scheduler.targets.on_crash(message.target, state.incarnation_id, now)
        self._log_crashes()

    def _back_off(self, pool, target, now):
        pause = min(
            pool.down_backoff_s.get(target, DOWN_BACKOFF_BASE_S) * 2,
            MAX_DOWN_BACKOFF_S,
        )
        pool.down_backoff_s[target] = pause
        pool.down_until[target] = now + pause

    def _record_target_outcome(self, pool, target, outcome, now):
        if outcome.status == "unreachable":
            # Requests that were refused at the same time are one failure.
            state = pool.scheduler.fleet.get(target)
            if state is None or not state.down:
                self._back_off(pool, target, now)
        elif outcome.status == "ok":
            pool.down_backoff_s.pop(target, None)

    def replace_limits(self, roster, now):
        """Adopt the limits in the `Roster` of the coordinator in use."""
        if roster.rate_limits is not None:
            self.rate_limits.replace(roster.rate_limits, now)
        if roster.rejection_limits is not None:
            self.rejection_limits.replace(roster.rejection_limits, now)

    def on_limit_stated(self, entry, message, now):
        """Apply the limit that a target stated to an entry host."""
        limits = self.stated_limits.get(message.kind)
        if limits is not None:
            limits.on_stated(message, f"{entry}/{message.id}", now)

    def on_withdraw(self, entry, request_id, now):
        """Drop a waiting request that no longer needs a grant; see `Withdraw`."""
        for pool in self._pools.values():
            if pool.scheduler.withdraw(f"{entry}/{request_id}", now):
                return

    def on_running_report(self, entry, report, now):
        """Adopt work that an entry host runs and another coordinator granted."""
        self.poison_detector.merge_poisoned(report.poisoned, now)
        self.poison_detector.merge_rows(report.suspects, now)
        for service, revision, cause in report.rollbacks:
            self.rollouts.roll_back(service, revision, cause)
        for account, tokens in report.spent.items():
            self.quotas.debit(account, tokens)
        self.rate_limits.merge(report.rate_limits, now)
        self.rejection_limits.merge(report.rejection_limits, now)
        self.pauses.merge_rows(entry, report.pauses, now)
        self._apply_stage_changes(now)
        for req, target in report.running:
            pool = self._pools.get(req.service) or self._fill_pool(req.service, now)
            pool.scheduler.adopt_running(self._make_work(entry, req, now), target, now)

    def on_entry_lost(self, entry, now):
        """Drop all work of an entry host that is gone or has another coordinator."""
        for pool in self._pools.values():
            pool.scheduler.forget_entry(entry, now)
            for work_id in pool.scheduler.running_of(entry):
                outcome = Outcome(work_id, "", "lost")
                self._send_decisions(pool.scheduler.finish(outcome, now))

    # Periodic work

    def tick(self, now, is_coordinator=True):
        """Refuse work that can no longer be served and retry targets that were down.

        Rollouts advance only on the host that is the coordinator in use
        (`is_coordinator`), because only that one has the evidence.
        """
        self.poison_detector.drop_aged(now)
        if is_coordinator:
            self.rollouts.step(self._running_on_old_version, now)
        self._apply_stage_changes(now)
        for service, pool in self._pools.items():
            self._apply_rollout(service, pool, now)
            for name, retry_at in list(pool.down_until.items()):
                if now >= retry_at:
                    del pool.down_until[name]
                    pool.scheduler.targets.begin_probing(name)
            self._send_decisions(pool.scheduler.release_lost((), now))
            self._send_decisions(pool.scheduler.tick(now))

    def _running_on_old_version(self, service):
        return self._pool(service).scheduler.fleet.in_flight("old")

    def has_waiting(self):
        """Return whether any request waits in a queue."""
        return self.waiting_count() > 0

    def waiting_count(self):
        """Return the number of requests that wait in queues."""
        return sum(len(pool.scheduler.waiting) for pool in self._pools.values())

    # Decisions

    def _send_decisions(self, decisions):
        for decision in decisions:
            work = decision.work
            request_id = work.id[len(work.entry) + 1 :]
            if isinstance(decision, Grant):
                self._send_grant(work, request_id, decision)
            elif isinstance(decision, Refusal):
                self._send_refusal(work, request_id, decision)
            else:
                # The request was sent again because the first grant got lost.
                self._send_grant(work, request_id, Grant(work, decision.target, "", 0))

    def _send_grant(self, work, request_id, grant):
        target = self._view.target(grant.target)
        incarnation = target.incarnation if target else ""
        if grant.version == "new" and target is not None:
            self.rollouts.count_new(target.service)
        self._send(
            work.entry,
            Granted(request_id, grant.target, incarnation, grant.version, grant.why),
        )

    def _send_refusal(self, work, request_id, refusal):
        self.quotas.refund(work.account, work.cost)
        wait = min(
            max(refusal.retry_after or 0.0, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S
        )
        self._send(work.entry, Refused(request_id, refusal.kind, refusal.why, wait))
