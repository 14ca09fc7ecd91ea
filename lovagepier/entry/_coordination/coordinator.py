"""The coordinator: one host's schedulers for all services, quotas and rollouts.

Every entry host runs one, and decides with it for the hosts that use it as their
coordinator: usually one host for all, or several that can't reach each other. In
names of log fields and metrics "home" means the coordinator.
"""

import copy

from lovagepier.decisions.crashes.poison import PoisonDetector
from lovagepier.decisions.limits.pauses import Pauses
from lovagepier.decisions.placement.work import Grant, Outcome, Refusal, bounded_tokens
from lovagepier.entry._cluster.messages import Granted, Refused
from lovagepier.entry._coordination.account_quotas import AccountQuotas
from lovagepier.entry._coordination.pace_records import log_paces, pace_gauges
from lovagepier.entry._coordination.rollouts import Rollouts
from lovagepier.entry._coordination.service_pools import ServicePools
from lovagepier.entry._coordination.work import OVER_QUOTA_BAND, make_work
from lovagepier.logs import component_logger

__all__ = ["Coordinator"]

# Bounds of the Retry-After of a scheduler's refusals. A refusal over the quota states
# when the quota will suffice, without these bounds.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 5.0
# Fingerprints named in the log line of a crash.
MAX_LOGGED_SUSPECTS = 8

_log = component_logger("pool")


class Coordinator:
    """Decides which target runs each request of the hosts that it coordinates.

    `send(entry, message)` sends an answer to an entry host, `write_state` writes a
    rollout's state to the store (see `Rollouts`). `quotas` decides what passes.
    `rate_limits` and `rejection_limits` are those that targets state, `stated_limits`
    both by kind. `pauses` are what targets want from single hosts, `crash_reports`
    counts what was reported of crashes. Times (`now`) are in
    seconds on the event loop's clock.
    """

    def __init__(self, cfg, view, rng, send, write_state):
        self._view = view
        self._send = send
        self._has_pace = cfg.scheduling_pace == "on"
        self.pauses = Pauses()
        self.poison_detector = PoisonDetector()
        self.crash_reports = 0
        self._account_quotas = AccountQuotas(cfg, view)
        self.quotas = self._account_quotas.quotas
        self.rollouts = Rollouts(cfg, view, write_state)
        self._pools = ServicePools(
            cfg,
            view,
            rng,
            self.rollouts,
            self.pauses,
            self.poison_detector,
            self._send_decisions,
        )
        self.cold_targets = self._pools.cold_targets
        self.stated_limits = self._pools.stated_limits
        self.rate_limits = self.stated_limits["rate_limit"]
        self.rejection_limits = self.stated_limits["rejection_limit"]

    def _pool(self, service):
        return self._pools.get(service)

    # Changes in the store

    def refresh(self, now):
        """Update targets and rollouts from the view of the store."""
        self.rollouts.refresh(now)
        self.rollouts.take_changed()
        self._pools.refresh(now)
        for limits in self.stated_limits.values():
            limits.apply(now)
        self._log_crashes()

    def _log_crashes(self):
        for crash in self.poison_detector.take_crashes():
            self.crash_reports += 1
            _log.warning(
                "a target crashed",
                target=crash.id,
                suspects=crash.suspects[:MAX_LOGGED_SUSPECTS],
                suspect_count=len(crash.suspects),
                explained=crash.explained,
                poisoned=crash.poisoned,
            )

    def set_share(self, share, quota_share, now, is_used=True):
        """Set the fractions of all targets and quotas that this host hands out.

        `is_used` tells whether any host uses this coordinator.
        """
        self.quotas.set_share(quota_share, now)
        self.rollouts.set_slack_fraction(quota_share)
        self._pools.set_share(share, quota_share, now, is_used)

    def take_over(self, now, quota_levels=None, retry_levels=None):
        """Start to decide for hosts that used another coordinator until now.

        `quota_levels` are the last levels that it sent of its `Quotas`, None if
        they are unknown. `retry_levels` are those of its `RetryBudget`s.
        """
        self.quotas.take_over(now, quota_levels)
        for limits in self.stated_limits.values():
            limits.take_over(now)
        for service, level in (retry_levels or {}).items():
            pool = self._pools.get_filled(service, now)
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
        refusal = self._account_quotas.check(req, now)
        if refusal is not None:
            self._send(entry, refusal)
            return
        pool = self._pools.get_filled(req.service, now)
        if req.attempt == 0:
            self.rollouts.count_sent(req.service)
        work = self.make_work(self._account_quotas, entry, req, now)
        self._send_decisions(pool.scheduler.offer(work, now))

    def make_work(self, account_quotas, entry, req, now):
        """Return the `Work` of a request that has passed its account's quota."""
        work = make_work(entry, req, now)
        if account_quotas.is_over_base(req, now):
            work.tier += OVER_QUOTA_BAND
        if self._has_pace and self._view.catalog is not None:
            work.runs_once = req.route in self._view.catalog.once_routes
        return work

    def copy_quotas(self):
        """Return a copy of the `AccountQuotas`, to try a request on."""
        return copy.deepcopy(self._account_quotas, {id(self._view): self._view})

    def scheduler_of(self, service):
        """Return the `PoolScheduler` of a service, None if it had no request yet."""
        return self._pools[service].scheduler if service in self._pools else None

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
            self._pools.apply_stage_changes(now)
            self._send_decisions(pool.scheduler.finish(outcome, now))
            self._log_crashes()
            return

    def on_target_down(self, message, now):
        """Record that a target crashed; reports of earlier incarnations are ignored."""
        pool = self._pool(message.service)
        state = pool.scheduler.fleet.get(message.target)
        if state is None or state.down or state.incarnation != message.incarnation:
            return
        pool.backoffs.start(message.target, now)
        pool.scheduler.targets.on_crash(message.target, state.incarnation_id, now)
        self._log_crashes()

    def _record_target_outcome(self, pool, target, outcome, now):
        if outcome.status == "unreachable":
            # Requests that were refused at the same time are one failure.
            state = pool.scheduler.fleet.get(target)
            if state is None or not state.down:
                pool.backoffs.start(target, now)
        elif outcome.status == "ok":
            pool.backoffs.reset(target)

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
            work = pool.scheduler.withdraw(f"{entry}/{request_id}", now)
            if work is not None:
                self._account_quotas.refund(work)
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
        self._pools.apply_stage_changes(now)
        for req, target in report.running:
            pool = self._pools.get_filled(req.service, now)
            pool.scheduler.adopt_running(make_work(entry, req, now), target, now)

    def on_entry_lost(self, entry, now):
        """Drop all work of an entry host that is gone or has another coordinator."""
        for pool in self._pools.values():
            for work in pool.scheduler.forget_entry(entry, now):
                self._account_quotas.refund(work)
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
        self._pools.apply_stage_changes(now)
        for service, pool in self._pools.items():
            self._pools.apply_rollout(service, pool, now)
            for name in pool.backoffs.take_due(now):
                pool.scheduler.targets.begin_probing(name, now)
                self.cold_targets.on_return(name, service, now)
            self._send_decisions(pool.scheduler.release_lost((), now))
            self._send_decisions(pool.scheduler.tick(now))
            log_paces(service, pool.scheduler.paces, is_coordinator)
            pool.room_log.update(service, pool.scheduler.room, now)

    def _running_on_old_version(self, service):
        return self._pool(service).scheduler.fleet.in_flight("old")

    def pace_gauges(self):
        """Return gauges of the targets that start or recover, by name."""
        return pace_gauges(self._pools.schedulers())

    def has_waiting(self):
        """Return whether any request waits in a queue."""
        return self.waiting_count() > 0

    def waiting_count(self):
        """Return the number of requests that wait in queues."""
        return sum(len(pool.scheduler.waiting) for pool in self._pools.values())

    def residence_left_out(self):
        """Return how many targets requests could not go to because of residence."""
        pools = self._pools.values()
        return sum(pool.scheduler.admission.residence_left_out for pool in pools)

    def room_counts(self):
        """Return counts of decisions on places and memory, by name of the metric."""
        return self._pools.room_counts()

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
                again = Grant(work, decision.target, "", 0, paced=False)
                self._send_grant(work, request_id, again)

    def _send_grant(self, work, request_id, grant):
        target = self._view.target(grant.target)
        incarnation = target.incarnation if target else ""
        if grant.version == "new" and target is not None:
            self.rollouts.count_new(target.service)
        self._send(
            work.entry,
            Granted(
                request_id,
                grant.target,
                incarnation,
                grant.version,
                grant.why,
                grant.paced,
            ),
        )

    def _send_refusal(self, work, request_id, refusal):
        self._account_quotas.refund(work)
        self._send(work.entry, self.refusal_message(refusal, request_id))

    def refusal_message(self, refusal, request_id=""):
        """Return what the entry host of a refused request is sent."""
        wait = min(
            max(refusal.retry_after or 0.0, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S
        )
        return Refused(request_id, refusal.kind, refusal.why, wait)
