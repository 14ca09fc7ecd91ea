"""The home: one host's schedulers for all services, quotas and moves.

Every entry host carries a home; only the one that the others turn to, or
that is cut off from them, gets asked.
"""

from dataclasses import dataclass, field

from lovagepier.decisions.homes import stable_draw
from lovagepier.decisions.parting import part_of_slots
from lovagepier.decisions.quotas import Quotas
from lovagepier.decisions.retries import RetryBudget
from lovagepier.decisions.scheduler import PoolScheduler, SchedulerOptions
from lovagepier.decisions.strikes import Strikes
from lovagepier.decisions.work import Grant, Outcome, Refusal, Work
from lovagepier.entry._messages import Granted, Refused
from lovagepier.entry._moves import Moves
from lovagepier.entry.catalog import ROUTE_TIERS
from lovagepier.errors import ErrorKind
from lovagepier.logs import component_logger

__all__ = ["Home"]

# What the way to a target in another zone or region costs: the round trip, and
# the bytes that are paid for, weighed as time.
ZONE_COST_S = 0.001
REGION_COST_S = 0.035
# Ranks of work: accounts' and routes' priorities together.
RANKS = 16
# Bands of a rank, most urgent first: on time; over its account's quota, but within
# the bound on it; late.
BANDS = 3
OVER_QUOTA_BAND = 1
LATE_BAND = 2
# Part of the retry bound that is used; the rest is for other hosts' view of
# the window and for a home that changes in its middle.
RETRY_PART = 0.85
# Each rank of routes leaves this part more of the retry budget to higher ones.
RETRY_RESERVE = 0.05
# Retries that a quiet pool earns a second, whatever its load.
RETRY_FLOOR_PER_S = 0.5
# Parts of the quota's slack that are given out beyond rate and burst, where nobody
# else wants the room: spread over the window, at once, and as a debt that one large
# request may leave, and for a burst that begins anew after the loss of all hosts,
# when nobody knows what was given out.
QUOTA_RATE_PART = 0.45
QUOTA_BURST_PART = 0.05
QUOTA_DEBT_PART = 0.2
QUOTA_REFILL_PART = 0.3
# A request leaves room in its account's quota for so many of its size for each rank
# of routes above its own: an account over its quota keeps its most urgent work, and
# small calls pass beside it.
QUOTA_RESERVE_SIZES = 10.0
# Part of the bound's overage that is used.
QUOTA_OVERAGE_PART = 0.8
# Finished requests are remembered for outcomes that come late.
FINISHED_KEEP_S = 30.0
# An entry host ends all work at its deadline; an outcome later than this is lost.
LOST_AFTER_S = 2.0
# A higher tier that was refused holds lower ones back this long.
SHED_HOLD_S = 0.05
# A target that nothing listens at is tried again after this, doubled each time.
DOWN_LEAST_S = 0.4
DOWN_MOST_S = 3.0
# Callers told to come back wait at least and at most this long.
RETRY_AFTER_LEAST_S = 0.2
RETRY_AFTER_MOST_S = 5.0

_log = component_logger("pool")


@dataclass(slots=True)
class _Pool:
    """One service: its scheduler and what is known of its targets."""

    scheduler: PoolScheduler
    lives: dict = field(default_factory=dict)
    down_until: dict = field(default_factory=dict)
    down_for: dict = field(default_factory=dict)


class Home:
    """Decides for the entry hosts that ask; `send(entry, message)` answers."""

    def __init__(self, cfg, view, rng, send, write_state):
        self._cfg = cfg
        self._view = view
        self._rng = rng
        self._send = send
        self._pools = {}
        self._share = 1.0
        self.strikes = Strikes()
        slack = cfg.budgets_quota_slack
        self.quotas = Quotas(
            overage=cfg.budgets_quota_overage * QUOTA_OVERAGE_PART,
            extra=slack * QUOTA_BURST_PART,
            extra_rate=slack * QUOTA_RATE_PART / cfg.budgets_quota_window,
            most_debt=slack * QUOTA_DEBT_PART,
            first_most=slack * QUOTA_REFILL_PART,
        )
        self.fair_quotas = Quotas()
        self.moves = Moves(cfg, view, write_state)

    def _retries(self):
        return RetryBudget(
            ratio=self._cfg.budgets_retry_ratio * RETRY_PART,
            floor_rate=RETRY_FLOOR_PER_S,
            most=self._cfg.budgets_retry_slack * RETRY_PART,
        )

    def _pool(self, service):
        pool = self._pools.get(service)
        if pool is None:
            options = SchedulerOptions(
                tiers=RANKS * BANDS,
                late_bands=True,
                distance=self._distance,
                lost_after=LOST_AFTER_S,
                max_waiting=self._cfg.scheduling_max_waiting,
                shed_hold=SHED_HOLD_S,
                finished_keep=FINISHED_KEEP_S,
                retries=self._retries,
            )
            pool = _Pool(PoolScheduler(options, self._rng))
            pool.scheduler.strikes = self.strikes
            self._pools[service] = pool
        return pool

    def _distance(self, here, there):
        if here == there:
            return 0.0
        zones = self._cfg.zones
        same = zones.get(here.lower()) == zones.get(there.lower())
        return ZONE_COST_S if same else REGION_COST_S

    # What the store says

    def refresh(self, now):
        """Bring targets and moves in line with the view."""
        self.moves.refresh(now)
        wanted = {}
        for target in self._view.targets.values():
            wanted.setdefault(target.service, {})[target.id] = target
        for service in set(wanted) | set(self._pools):
            self._refresh_pool(service, wanted.get(service, {}), now)

    def _refresh_pool(self, service, targets, now):
        pool = self._pool(service)
        self._apply_move(service, pool, now)
        for name in [name for name in pool.lives if name not in targets]:
            pool.scheduler.remove_target(name, now)
            del pool.lives[name]
        slots = self._slots(targets.values())
        for target in targets.values():
            label = self.moves.label(target)
            decisions = pool.scheduler.set_target(
                target.id,
                target.zone,
                label or "",
                target.incarnation,
                now,
                slots=slots[target.id],
            )
            if pool.lives.get(target.id) != target.incarnation:
                pool.lives[target.id] = target.incarnation
                pool.down_until.pop(target.id, None)
            leaving = target.draining or label is None
            pool.scheduler.target_leaving(target.id, leaving)
            self._carry_out(decisions)

    def _apply_move(self, service, pool, now):
        share = self.moves.share(service, now)
        pool.scheduler.old_version = None if share is None else "old"
        pool.scheduler.share = {} if share is None else {"new": share}

    def set_share(self, share, quota_share, now):
        """Take the parts of all targets and of the quotas that this home gives out."""
        self.quotas.share = quota_share
        if share == self._share:
            return
        _log.info(
            "part of the targets that this home uses",
            share=round(share, 3),
            quotas=round(quota_share, 3),
        )
        self._share = share
        for pool in self._pools.values():
            targets = map(self._view.target, pool.lives)
            slots = self._slots(target for target in targets if target is not None)
            for state in pool.scheduler.fleet:
                if state.name in slots:
                    state.limit.value = slots[state.name]
                    pool.scheduler.fleet.reindex(state)

    def _slots(self, targets):
        slots = {target.id: target.slots for target in targets}
        return part_of_slots(self._cfg.host_name, slots, self._share)

    def take_over(self, now, quota_levels=None):
        """Begin to decide for hosts that asked another home until now.

        `quota_levels` are what that home told last of its `Quotas`.
        """
        self.quotas.take_over(now, quota_levels)

    # What entry hosts say

    def on_ask(self, entry, ask, now):
        """Take in a request that wants to be dispatched."""
        refusal = self._over_quota(ask, now)
        if refusal is not None:
            self._send(entry, refusal)
            return
        pool = self._pool(ask.service)
        if ask.attempt == 0:
            self.moves.count_sent(ask.service)
        work = self._work(entry, ask, now)
        if self._is_over_fair_quota(ask, now):
            work.tier += OVER_QUOTA_BAND
        self._carry_out(pool.scheduler.offer(work, now))

    def _account(self, ask):
        catalog = self._view.catalog
        return catalog.accounts.get(ask.account) if catalog else None

    def _is_over_fair_quota(self, ask, now):
        """Return whether a request is within the bound on its quota but over it.

        Such work comes after that of the same rank that is within its quota.
        """
        account = self._account(ask)
        if account is None:
            return False
        wait = self.fair_quotas.spend(
            account.name, account.rate, account.burst, ask.cost, now
        )
        return wait > 0

    def _over_quota(self, ask, now):
        account = self._account(ask)
        if account is None or not ask.cost:
            return None
        reserve = (ask.tier % ROUTE_TIERS) * QUOTA_RESERVE_SIZES * ask.cost
        wait = self.quotas.spend(
            account.name, account.rate, account.burst, ask.cost, now, reserve
        )
        if not wait:
            return None
        why = (
            f"{account.name} is over {account.rate:g} a second and {account.burst:g}: "
            f"costs {ask.cost:g}"
        )
        return Refused(ask.id, ErrorKind.OVER_QUOTA, why, wait)

    def _work(self, entry, ask, now):
        rank = min(max(ask.tier, 0), RANKS - 1)
        return Work(
            id=f"{entry}/{ask.id}",
            entry=entry,
            account=ask.account,
            tier=rank * BANDS,
            late_tier=rank * BANDS + LATE_BAND,
            deadline=now + ask.left,
            aim=now + ask.aim,
            route=ask.route,
            prefill_tokens=ask.prefill,
            max_decode_tokens=ask.decode,
            decode_tokens=ask.decode,
            blocks=tuple(name for name, _ in ask.parts),
            block_tokens=tuple(tokens for _, tokens in ask.parts),
            draw=stable_draw(ask.id),
            fingerprint=ask.fingerprint,
            zone=ask.zone,
            exclude=frozenset(ask.exclude),
            attempt=ask.attempt,
            retry_reserve=RETRY_RESERVE * (ask.tier % ROUTE_TIERS),
            overbooks=ask.tier % ROUTE_TIERS == 0,
            cost=ask.cost,
        )

    def on_first(self, entry, first, now):
        """Take in that an answer has begun."""
        work_id = f"{entry}/{first.id}"
        for pool in self._pools.values():
            if pool.scheduler.find_running(work_id) is not None:
                pool.scheduler.first_byte(work_id, first.seconds, now)
                return

    def on_done(self, entry, done, now):
        """Take in what became of a dispatch."""
        work_id = f"{entry}/{done.id}"
        outcome = Outcome(
            work_id, done.target, done.status, done.first, done.total, done.tokens
        )
        for service, pool in self._pools.items():
            found = pool.scheduler.find_running(work_id)
            if found is None:
                continue
            work, target, version = found
            self._judge_target(pool, target, outcome, now)
            self.moves.observe(service, version, work, outcome, now)
            self._carry_out(pool.scheduler.finish(outcome, now))
            return

    def _judge_target(self, pool, target, outcome, now):
        if outcome.status == "died":
            pause = min(pool.down_for.get(target, DOWN_LEAST_S) * 2, DOWN_MOST_S)
            pool.down_for[target] = pause
            pool.down_until[target] = now + pause
        elif outcome.status == "ok":
            pool.down_for.pop(target, None)

    def on_withdraw(self, entry, request_id, now):
        """Forget waiting work whose caller went away."""
        for pool in self._pools.values():
            if pool.scheduler.withdraw(f"{entry}/{request_id}", now):
                return

    def on_register(self, entry, register, now):
        """Take in what an entry host runs that this home did not grant."""
        for fingerprint in register.condemned:
            self.strikes.adopt(fingerprint, (), True, now)
        for service, revision, cause in register.brakes:
            self.moves.take_back(service, revision, cause)
        for ask, target in register.running:
            pool = self._pool(ask.service)
            pool.scheduler.adopt_running(self._work(entry, ask, now), target, now)

    def on_entry_lost(self, entry, now):
        """Forget all work of an entry host that is gone or asks another home."""
        for pool in self._pools.values():
            pool.scheduler.forget_entry(entry, now)
            for work_id in pool.scheduler.running_of(entry):
                outcome = Outcome(work_id, "", "lost")
                self._carry_out(pool.scheduler.finish(outcome, now))

    # Time

    def tick(self, now, is_home=True):
        """Refuse what can't be served any more; try lost targets again.

        Only the home that others turn to judges moves: it has the evidence.
        """
        if is_home:
            self.moves.step(self._old_running, now)
        for service, pool in self._pools.items():
            self._apply_move(service, pool, now)
            for name, until in list(pool.down_until.items()):
                if now >= until:
                    del pool.down_until[name]
                    pool.scheduler.try_again(name)
            self._carry_out(pool.scheduler.release_lost((), now))
            self._carry_out(pool.scheduler.tick(now))

    def _old_running(self, service):
        return self._pool(service).scheduler.fleet.in_flight("old")

    def busy(self):
        """Return whether any request waits here."""
        return self.waiting() > 0

    def waiting(self):
        """Return how many requests wait."""
        return sum(len(pool.scheduler.waiting) for pool in self._pools.values())

    # Decisions

    def _carry_out(self, decisions):
        for decision in decisions:
            work = decision.work
            request_id = work.id[len(work.entry) + 1 :]
            if isinstance(decision, Grant):
                self._grant(work, request_id, decision)
            elif isinstance(decision, Refusal):
                self._refuse(work, request_id, decision)
            else:
                # The same ask again: its first answer got lost on the way.
                self._grant(work, request_id, Grant(work, decision.target, "", 0))

    def _grant(self, work, request_id, grant):
        target = self._view.target(grant.target)
        life = target.incarnation if target else ""
        if grant.version == "new" and target is not None:
            self.moves.count_new(target.service)
        self._send(
            work.entry,
            Granted(request_id, grant.target, life, grant.version, grant.why),
        )

    def _refuse(self, work, request_id, refusal):
        self.quotas.refund(work.account, work.cost)
        wait = min(
            max(refusal.retry_after or 0.0, RETRY_AFTER_LEAST_S), RETRY_AFTER_MOST_S
        )
        self._send(work.entry, Refused(request_id, refusal.kind, refusal.why, wait))
