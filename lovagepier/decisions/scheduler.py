"""The scheduler of one pool: dispatch, queueing, admission and load shedding."""

from dataclasses import replace
from itertools import islice

from lovagepier.decisions.dispatch_log import DispatchLog
from lovagepier.decisions.estimates import LengthEstimates
from lovagepier.decisions.fleet import Fleet, TargetState
from lovagepier.decisions.pauses import Pauses
from lovagepier.decisions.policies import POLICIES
from lovagepier.decisions.prefixes import PrefixIndex
from lovagepier.decisions.rate_limits import RateLimit
from lovagepier.decisions.rejections import RejectionLimit
from lovagepier.decisions.retries import RetryBudget
from lovagepier.decisions.shedding import ShedPause
from lovagepier.decisions.start_rates import StartRates
from lovagepier.decisions.trials import Trials
from lovagepier.decisions.waiting import WaitingRequests
from lovagepier.decisions.work import Grant, Outcome, Refusal
from lovagepier.errors import ErrorKind

__all__ = ["PoolScheduler", "SchedulerOptions"]

SHED_PAUSE_S = 1.0
FINISHED_RETENTION_S = 600.0
# Queued requests that a later one may overtake in one pass over the queue.
MAX_PASSED_OVER = 4
# Queued requests looked at in one pass, with the suspects that wait for a trial.
MAX_SCANNED = 64
# Added to the expected service time when the latest start of a request is computed.
DEADLINE_MARGIN_S = 0.02
# An idle pool runs one seemingly infeasible request per period, to correct its
# estimates.
MIN_EXPLORE_PERIOD_S = 1.0
# Speed estimates of a target without requests are relaxed after this time.
RELAX_AFTER_S = 2.0
# Time past the deadline after which a missing outcome is taken as lost.
LOST_AFTER_S = 90.0
# Bound on queued late requests, in multiples of all slots. More of them would only
# wait until they are refused.
MAX_LATE_ROUNDS = 4.0
# If fewer late requests than that can start before the first of them expires, by the
# rate at which their tier and lower ones start, the bound is lower. At a low rate, all
# slots are expected to be free for late requests once in this time.
LATE_ROUND_S = 4.0
# A version with a share may run this many requests, however few run in all.
MIN_SHARE_IN_FLIGHT = 3.0


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
    is worth little, so it must not make the next one late as well.
    """

    __slots__ = (
        "demote_late",
        "finished_retention_s",
        "initial_limit",
        "lost_after_s",
        "make_retry_budget",
        "max_waiting",
        "policy",
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


class PoolScheduler:
    """The queue, the targets and the running requests of one pool.

    Methods take the time `now` in seconds. Those that grant or refuse requests return
    these decisions, a list of `Grant`, `Join` and `Refusal` objects; after any other
    change the next `tick` starts the queued requests that can run. An id is granted at
    most once as long as this scheduler remembers it.

    `old_version` is the version in service; if it is None, targets of every version
    serve. During a rollout `share` is {new version: fraction of new requests}.
    `last_shed` is (tier, time) of the last request shed for lack of a slot. `pauses`
    are what targets want from single entry hosts; several pools may share them.
    """

    def __init__(self, options, rng):
        self.options = options
        self.policy = POLICIES[options.policy](options.zone_cost)
        self.fleet = Fleet()
        self.waiting = WaitingRequests(options.tiers, options.max_waiting)
        self.lengths = LengthEstimates()
        self.prefixes = PrefixIndex()
        self.retry_budget = options.make_retry_budget()
        self.pauses = Pauses()
        self.share = {}
        self.old_version = None
        self._rate_share = 1.0
        self._rng = rng
        self._dispatched = DispatchLog(options.finished_retention_s)
        self._trials = Trials(self._dispatched)
        self._start_rates = StartRates(options.tiers)
        self._pause = ShedPause(options.shed_pause_s)
        self.last_shed = None
        self._sequence = 0
        self._explored_at = float("-inf")
        self._has_outcomes = False

    @property
    def poison_detector(self):
        """The `PoisonDetector`, which several pools may share."""
        return self._trials.detector

    @poison_detector.setter
    def poison_detector(self, detector):
        self._trials.detector = detector

    # Requests

    def offer(self, work, now):
        """Admit, queue or refuse one request; return the resulting decisions."""
        known = self._dispatched.find(work)
        if known is not None:
            return [known]
        # A duplicate of a queued request replaces it: the entry host that asked
        # last serves the request.
        self.waiting.remove(work.id)
        refusal = self._refuse_at_once(work, now)
        if refusal is not None:
            return [refusal]
        self._prepare(work, now)
        if self.policy.sheds and self._infeasible(work, now):
            kind = ErrorKind.DEADLINE_INFEASIBLE
            why = "an idle target could not finish by the deadline"
            return [Refusal(work, kind, why, retry_after=0)]
        excess_s = now + self._limited_wait(work.tier) - work.latest_start
        if self.policy.sheds and excess_s > 0:
            kind = ErrorKind.DEADLINE_WAITING
            why = "the rate limits of all targets leave it no time"
            return [Refusal(work, kind, why, retry_after=excess_s)]
        if not self.policy.queues:
            grant = self._place(work, now)
            if grant is None:
                why = "no target takes work"
                return [Refusal(work, ErrorKind.NO_TARGET, why)]
            return [grant]
        victim = self.waiting.add(work)
        decisions = []
        if victim is not None:
            decisions.append(self._shed(victim, now, ErrorKind.SHED, "queue full"))
        return decisions + self._drain(now)

    def _refuse_at_once(self, work, now):
        if self._trials.is_poison(work):
            return _refuse_poison(work)
        if not len(self.fleet):
            return Refusal(work, ErrorKind.NO_TARGET, "the pool has no targets")
        if work.exclude and not self.fleet.has_target_besides(work.exclude):
            why = "no target but those that it was offered to"
            return Refusal(work, ErrorKind.NO_TARGET, why)
        if work.attempt == 0:
            self.retry_budget.on_first_attempt(now)
        elif not self.retry_budget.spend(now, work.retry_reserve):
            return Refusal(work, ErrorKind.SHED, "the retry budget is spent")
        return None

    def _prepare(self, work, now):
        self._sequence += 1
        work.sequence = self._sequence
        work.arrived = now
        if not work.decode_tokens:
            work.decode_tokens = self.lengths.expect(
                work.account, work.route, work.max_decode_tokens
            )
        work.latest_start = work.deadline - self._least_seconds(work, now)
        heeds_soft_deadline = self.options.demote_late and work.soft_deadline
        if not heeds_soft_deadline and work.abandoned_at == float("inf"):
            return
        first_s = self._least_first_seconds(work, now)
        work.latest_start = min(work.latest_start, work.abandoned_at - first_s)
        if heeds_soft_deadline:
            work.latest_on_time_start = work.soft_deadline - first_s

    def _least_seconds(self, work, now):
        """Return a lower bound in seconds on the service time of `work`.

        Anything without observations counts as zero. A default that is too long
        would refuse all requests of that kind, so no outcome could correct it.
        """
        if not self._has_outcomes:
            return 0.0
        if not self.lengths.knows(work.account, work.route, work.max_decode_tokens):
            return DEADLINE_MARGIN_S
        return (self.fleet.best_service(work, now) or 0.0) + DEADLINE_MARGIN_S

    def _least_first_seconds(self, work, now):
        """Return a lower bound in seconds on the time from start to first byte."""
        if not self._has_outcomes:
            return DEADLINE_MARGIN_S
        first = replace(work, decode_tokens=min(work.decode_tokens, 1))
        return (self.fleet.best_service(first, now) or 0.0) + DEADLINE_MARGIN_S

    def _infeasible(self, work, now):
        """Return whether `work` can't meet its deadline on any target.

        A request that may explore passes, and may start until its deadline.
        """
        if work.latest_start >= now:
            return False
        if work.deadline <= now or not self._may_explore(now):
            return True
        work.latest_start = work.deadline
        return False

    def _may_explore(self, now):
        """Return whether a seemingly infeasible request may run on an idle pool.

        Allowed once per `MIN_EXPLORE_PERIOD_S`: only outcomes can correct
        estimates that have become too high.
        """
        idle = not len(self._dispatched) and not len(self.waiting)
        if not idle or now - self._explored_at < MIN_EXPLORE_PERIOD_S:
            return False
        self._explored_at = now
        return True

    def withdraw(self, request_id, now):
        """Drop a request that needs no grant any more; return whether it was queued."""
        return self.waiting.remove(request_id) is not None

    def find_dispatched(self, work):
        """Return the `Join` or `Refusal` for an id granted before, or None."""
        return self._dispatched.find(work)

    # Queue

    def tick(self, now):
        """Refuse requests that can't meet their deadline; start those that can."""
        return self._drain(now)

    def next_event(self):
        """Return the time in seconds at which the next request expires, or None."""
        return self.waiting.first_expiry()

    def _expire(self, now):
        decisions = []
        if not self.policy.sheds:
            return decisions
        for work in self.waiting.expired(now):
            why = "it could not finish by its deadline if started now"
            kind = ErrorKind.DEADLINE_WAITING
            decisions.append(self._shed(work, now, kind, why))
        return decisions

    def _remove_poison(self):
        """Refuse queued requests that have proved poisonous since the last call."""
        if not self._trials.has_new_verdicts():
            return []
        poison = [work for work in self.waiting.works() if self._trials.is_poison(work)]
        for work in poison:
            self.waiting.remove(work.id)
        return [_refuse_poison(work) for work in poison]

    def _demote_late(self, now):
        """Move late requests to their late tiers; shed what exceeds the bound.

        Each late tier has a bound of its own; see `_late_room`.
        """
        late = self.waiting.demote_late(now)
        if not late:
            return []
        slots = sum(
            state.slots_within(LATE_ROUND_S)
            for state in self.fleet
            if not state.draining
        )
        decisions = []
        for tier in {work.tier for work in late}:
            # Without work ahead the next free slots are theirs, whatever ran there.
            is_next = self.waiting.highest_waiting_tier() == tier
            rate = float("inf")
            if self._start_rates.is_known(now):
                rate = self._start_rates.rate_from(0 if is_next else tier, now)
            while size := self.waiting.sizes()[tier]:
                work = self.waiting.most_urgent(tier)
                if size <= self._late_room(slots, rate, work.latest_start - now):
                    break
                self.waiting.remove(work.id)
                why = "it is late already, and more such work waits than can run"
                kind = ErrorKind.DEADLINE_WAITING
                decisions.append(self._shed(work, now, kind, why))
        return decisions

    def _late_room(self, slots, rate, remaining_s):
        """Return how many late requests of one tier may wait.

        `rate` are the starts per second that they can expect, `remaining_s` is the
        time in which the most urgent of them must start.
        """
        expected = max(rate, slots / LATE_ROUND_S) * remaining_s
        return min(expected, MAX_LATE_ROUNDS * slots)

    def _shed(self, work, now, kind, why):
        # With a free slot in the pool, lower tiers did not cause this refusal.
        # Pausing them would only make their requests miss deadlines in turn.
        if not self.fleet.has_room(now):
            self._pause.on_shed(work.tier, now)
            self.last_shed = (work.tier, now)
        return Refusal(work, kind, why)

    def pause_below(self, tier, now):
        """Pause tiers below `tier`, which another pool of the model had to shed."""
        self._pause.on_shed(tier, now)

    def _drain(self, now):
        decisions = self._remove_poison() + self._expire(now)
        if self.options.demote_late:
            decisions += self._demote_late(now)
        while len(self.waiting):
            started = self._start_next(now)
            if started is None:
                break
            decisions.append(started)
        return decisions

    def _start_next(self, now):
        passed_over = 0
        for work in islice(self.waiting.candidates(), MAX_SCANNED):
            if passed_over >= MAX_PASSED_OVER or self._pause.is_paused(work.tier, now):
                return None
            if self._trials.awaits_trial(work, now):
                continue
            grant = self._place(work, now)
            if grant is not None:
                self.waiting.take(work, self._cost(work, grant))
                return grant
            # Later requests may overtake only one that a free slot can't help.
            if not self._may_be_passed_over(work, now):
                return None
            passed_over += 1
        return None

    def _may_be_passed_over(self, work, now):
        if work.exclude or work.awaits_cache:
            return True
        if self.pauses.avoided(work.entry, self.fleet, now):
            return True
        return self._trials.is_suspect(work)

    def _cost(self, work, grant):
        """Return the seconds charged to the account in fair queueing."""
        state = self.fleet.get(grant.target)
        return max(state.finish_seconds(work, grant.hit_tokens), 1e-3)

    def _place(self, work, now):
        excluded = work.exclude
        work.exclude = excluded | self.pauses.avoided(work.entry, self.fleet, now)
        if self._trials.is_suspect(work):
            work.exclude |= self._trials.targets_with_suspects()
        try:
            return self._place_on_any(work, now)
        finally:
            work.exclude = excluded

    def _place_on_any(self, work, now):
        for version in self._versions(work):
            chosen = self.policy.choose(
                self.fleet, version, work, self.prefixes, now, self._rng
            )
            if work.awaits_cache:
                return None
            if chosen is not None:
                state, hit, why = chosen
                return self._start(work, state, hit, why, now)
        return None

    def _versions(self, work):
        """Return the versions `work` may go to, preferred first."""
        if self.old_version is None:
            return sorted(self.fleet.versions())
        drawn = self._drawn_version(work.draw)
        if drawn == self.old_version:
            return [drawn]
        if self._over_share(drawn):
            return [self.old_version]
        return [drawn, self.old_version]

    def _drawn_version(self, draw):
        """Return the version that the shares of [0, 1) assign to `draw`."""
        edge = 0.0
        for version, share in sorted(self.share.items()):
            edge += share
            if draw < edge:
                return version
        return self.old_version

    def _over_share(self, version):
        # Bound requests in flight as well: a slow version holds each request longer
        # and would occupy more than its share of slots.
        share = self.share.get(version, 0.0)
        if share >= 1.0:
            return False
        total = self.fleet.in_flight() + 1
        bound = max(MIN_SHARE_IN_FLIGHT, share * total * 2.0)
        return self.fleet.in_flight(version) + 1 > bound

    def _start(self, work, state, hit, why, now):
        state.start(work, hit)
        state.rate_limit.spend(now)
        state.rejection_limit.on_start(work.id, state.in_flight, now)
        state.last_start_at = now
        self.fleet.reindex(state)
        on_trial = self._trials.is_suspect(work)
        self._dispatched.begin(work, state.name, state.version, now, on_trial)
        self._start_rates.on_start(work.tier, now)
        if work.blocks:
            self.prefixes.add(state.name, work.blocks)
        return Grant(work, state.name, state.version, hit, why)

    # Outcomes

    def first_byte(self, request_id, seconds, now):
        """Record that the first byte arrived `seconds` after dispatch."""
        running = self._dispatched.get(request_id)
        if running is None:
            return
        running.first_byte_at = now
        state = self.fleet.get(running.target)
        if state is None:
            return
        state.rejection_limit.on_accepted(request_id)
        self._learn_first(state, request_id, seconds, now)
        self.fleet.reindex(state)

    def _learn_first(self, state, request_id, seconds, now):
        """Adapt limit and prefill rate of a target to a time to first byte.

        What exceeds 1.5 times the prefill alone counts as queueing.
        """
        tokens = state.prefilled(request_id)
        if tokens is None:
            return
        alone = tokens / state.speed.prefill_rate
        waited = max(0.0, seconds - alone * 1.5)
        state.limit.on_first_byte(waited, state.in_flight, now)
        if waited < 0.5 * alone or not state.speed.known:
            state.speed.learn_prefill(tokens, seconds)

    def finish(self, outcome, now):
        """Record the outcome of a granted request; return the resulting decisions.

        Outcomes of unknown ids are ignored.
        """
        running = self._dispatched.end(outcome.id)
        if running is None:
            return []
        if outcome.status not in ("not-run", "paused", "returned", "unreachable"):
            fingerprint = running.work.fingerprint
            self._dispatched.remember(outcome.id, running.target, fingerprint, now)
        state = self.fleet.get(running.target)
        if state is not None:
            if outcome.first_seconds is not None:
                self._learn_first(state, outcome.id, outcome.first_seconds, now)
            state.finish(outcome.id)
            self._learn_room(state, outcome, now)
            self._learn_outcome(state, running, outcome, now)
            self._learn_crash(state, running, outcome, now)
            self.fleet.reindex(state)
        return self._drain(now)

    def _learn_room(self, state, outcome, now):
        limit = state.rejection_limit
        if outcome.status in ("not-run", "paused"):
            limit.on_rejected(outcome.id, state.in_flight, now)
        elif outcome.status in ("returned", "unreachable"):
            limit.on_returned(outcome.id)
        elif outcome.status in ("ok", "failed"):
            limit.on_accepted(outcome.id)
        else:
            limit.on_lost(outcome.id, now)

    def _learn_outcome(self, state, running, outcome, now):
        if outcome.status == "ok":
            state.on_success()
            self.pauses.on_success(running.work.entry, state.name, now)
            self._trials.on_success(running.work)
            self._learn_lengths(state, running.work, outcome)
        elif outcome.status in ("returned", "unreachable"):
            state.rate_limit.refund(now)
        elif (
            outcome.status == "not-run" and running.granted_at < state.rate_limit.since
        ):
            # The target refused what exceeded a limit that was not known here yet.
            return
        elif outcome.status in ("failed", "not-run", "vanished"):
            state.on_failure(now, self.fleet.may_eject(now, state))

    def _learn_crash(self, state, running, outcome, now):
        """Record what an outcome tells of its target's crash.

        A request whose connection was refused did not run there. Those that ran
        may report their loss after the crash is known.
        """
        if outcome.status in ("vanished", "died"):
            self._trials.on_lost(state, running, now)
        if outcome.status in ("died", "unreachable") and not state.down:
            self.target_crashed(state.name, state.incarnation_id, now)
        elif outcome.status in ("vanished", "died") and state.down:
            self._trials.on_crash(state, state.incarnation_id, now)

    def _learn_lengths(self, state, work, outcome):
        if outcome.total_seconds is None:
            return
        self._has_outcomes = True
        if work.max_decode_tokens == 1:
            state.speed.learn_token_time(outcome.total_seconds)
            return
        if outcome.decode_tokens:
            self.lengths.learn(work.account, work.route, outcome.decode_tokens)
        before = outcome.first_seconds
        if before is None:
            before = work.prefill_tokens / state.speed.prefill_rate
        decoding = max(outcome.total_seconds - before, 0.0)
        state.speed.learn_decode(outcome.decode_tokens, decoding)

    def adopt_running(self, work, target, now):
        """Register a request that another coordinator granted.

        It occupies a slot of `target` and is not granted again.
        """
        if work.id in self._dispatched:
            return
        self.waiting.remove(work.id)
        state = self.fleet.get(target)
        version = state.version if state else ""
        self._dispatched.begin(work, target, version, now)
        if state is not None:
            state.start(work, 0)
            self.fleet.reindex(state)

    def forget_entry(self, entry, now):
        """Drop the queued requests of a dead entry host; return their number.

        Its running requests stay: a retry under the same id joins the running one.
        """
        dropped = [work for work in self.waiting.works() if work.entry == entry]
        for work in dropped:
            self.waiting.remove(work.id)
        return len(dropped)

    def running_of(self, entry):
        """Return the ids of the running requests of an entry host."""
        return [
            item.work.id
            for item in self._dispatched.values()
            if item.work.entry == entry
        ]

    def release_lost(self, dead, now):
        """Free the slots of requests whose outcome will not arrive.

        These are requests past their deadline whose entry host is in `dead`, and
        requests so far past it that their outcome must have been lost. The ids stay
        known and are not granted again. Returns the resulting decisions.
        """
        decisions = []
        for item in list(self._dispatched.values()):
            patience = 0.0 if item.work.entry in dead else self.options.lost_after_s
            if now >= item.work.deadline + patience:
                outcome = Outcome(item.work.id, item.target, "lost")
                decisions += self.finish(outcome, now)
        return decisions

    def find_running(self, request_id):
        """Return (work, target, version) of a running request, or None."""
        running = self._dispatched.get(request_id)
        if running is None:
            return None
        return running.work, running.target, running.version

    def note_dispatched(self, request_id, target, now):
        """Remember an id that was dispatched before this coordinator took over."""
        if request_id not in self._dispatched:
            self._dispatched.remember(request_id, target, "", now)

    def _limited_wait(self, tier):
        """Return the seconds that rate limits alone let a new request of a tier wait.

        0 while any target that takes requests has no limit.
        """
        rate = 0.0
        for state in self.fleet:
            if state.draining or state.down:
                continue
            if not state.rate_limit.is_stated:
                return 0.0
            rate += state.rate_limit.starts_within(1.0)
        ahead = sum(self.waiting.sizes()[: tier + 1])
        return ahead / rate if rate else 0.0

    def expected_wait(self, tier):
        """Return the expected queueing time in seconds of a new request of a tier.

        Infinite where requests wait and no target can take any.
        """
        ahead = sum(self.waiting.sizes()[: tier + 1])
        if not ahead:
            return 0.0
        rate = sum(
            min(
                max(state.limit.value, 1.0)
                / max(state.speed.token_seconds * self.lengths.typical(), 1e-3),
                state.rate_limit.starts_within(1.0),
            )
            for state in self.fleet
            if not state.draining and not state.down
        )
        return ahead / rate if rate else float("inf")

    # Targets

    def set_target(
        self,
        name,
        zone,
        version,
        incarnation,
        now,
        slots=None,
        draining=None,
        rejection_limit=None,
    ):
        """Add a target, or update its zone, version, incarnation or draining state.

        `slots` is the concurrency that a new target states, None where its limit
        has to be learnt. A new incarnation counts as a restart; `rejection_limit` is
        the number that it starts with, None for none. With `draining` None an update
        leaves that state as it is. Returns the resulting decisions.
        """
        state = self.fleet.get(name)
        if state is None:
            state = TargetState(
                name, zone, version, incarnation, self.options.initial_limit, slots
            )
            state.draining = bool(draining)
            self._reset_stated_limits(state, rejection_limit, now)
            self.fleet.add(state)
            return self._drain(now)
        if state.incarnation != incarnation and incarnation:
            self._count_restart(state, now)
            self._restart(state, incarnation)
            self._reset_stated_limits(state, rejection_limit, now)
        if state.version != version:
            state.version = version
        state.zone = zone
        if draining is not None:
            state.draining = draining
        self.fleet.reindex(state)
        return self._drain(now)

    def _restart(self, state, incarnation):
        state.incarnation = incarnation
        state.draining = False
        state.down = False
        state.limit.restart()
        self.prefixes.forget(state.name)

    def _reset_stated_limits(self, state, rejection_limit, now):
        state.rate_limit = RateLimit(self._rate_share)
        state.rejection_limit = RejectionLimit(self._rate_share)
        if rejection_limit is not None:
            state.rejection_limit.adopt(rejection_limit, now)

    def _count_restart(self, state, now):
        """Record a crash after which the target restarted unnoticed.

        Requests that vanished shortly before are the evidence of the crash.
        """
        if not state.down:
            self._trials.on_crash(state, state.incarnation_id, now)

    def set_draining(self, name, draining):
        """Stop or resume granting new requests to a target."""
        state = self.fleet.get(name)
        if state is not None and state.draining != draining:
            state.draining = draining
            self.fleet.reindex(state)

    def target_crashed(self, name, crash_id, now):
        """Record a target's crash; return the newly poisoned fingerprints."""
        state = self.fleet.get(name)
        if state is None:
            return []
        state.down = True
        state.limit.restart()
        self.prefixes.forget(name)
        self.fleet.reindex(state)
        return self._trials.on_crash(state, crash_id, now)

    def state_limit(self, kind, name, incarnation, value, request_id, now):
        """Apply the limit that a target stated; return whether that changed anything.

        `kind` is the attribute of `TargetState` with the limit. It was in the response
        to a request, whose grant tells how old it may be. The value is infinite if the
        response stated no limit.
        """
        state = self.fleet.get(name)
        if state is None or state.incarnation != incarnation:
            return False
        running = self._dispatched.get(request_id)
        started_at = running.granted_at if running else float("-inf")
        is_changed = getattr(state, kind).state(value, started_at, now)
        self.fleet.reindex(state)
        return is_changed

    def adopt_limit(self, kind, name, incarnation, value, now):
        """Apply the limit of a target as another coordinator had it."""
        state = self.fleet.get(name)
        if state is not None and state.incarnation == incarnation:
            getattr(state, kind).adopt(value, now)
            self.fleet.reindex(state)

    def set_rate_share(self, share, now):
        """Use a fraction of what all targets state as limits from now on."""
        self._rate_share = share
        for state in self.fleet:
            state.rate_limit.set_share(share, now)
            state.rejection_limit.set_share(share, now)

    def begin_probing(self, name):
        """Return a target that was down to service with one request at a time.

        The restriction ends with its first successful request.
        """
        state = self.fleet.get(name)
        if state is not None and state.down:
            state.down = False
            state.probing = True
            self.fleet.reindex(state)

    def remove_target(self, name, now):
        """Remove a target from the pool.

        If requests vanished there shortly before, this counts as a crash.
        """
        state = self.fleet.remove(name)
        if state is not None:
            self._count_restart(state, now)
        self.prefixes.forget(name)

    def report(self, name, running, waiting, now, incarnation=""):
        """Apply a target's load report, which lags behind its real load.

        A new `incarnation` counts as a restart.
        """
        state = self.fleet.get(name)
        if state is None:
            return
        if incarnation and state.incarnation != incarnation:
            self._count_restart(state, now)
            self._restart(state, incarnation)
            self._reset_stated_limits(state, None, now)
        state.down = False
        state.reported = running + waiting
        state.reported_at = now
        state.limit.on_report(running, waiting, now)
        if not state.running and now - state.last_start_at >= RELAX_AFTER_S:
            state.speed.relax()
        self.fleet.reindex(state)

    def cache_event(self, name, stored, evicted):
        """Apply a target's delayed report of stored and evicted prefix blocks."""
        if self.fleet.get(name) is None:
            return
        self.prefixes.add(name, stored)
        self.prefixes.remove(name, evicted)


def _refuse_poison(work):
    why = "targets died each time this body, or a part of its prompt, ran"
    return Refusal(work, ErrorKind.SUSPECT_REQUEST, why, retry_after=0)
