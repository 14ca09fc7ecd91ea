"""The scheduler of one pool: dispatch, queueing, admission and load shedding."""

from lovagepier.decisions.crashes.trials import Trials
from lovagepier.decisions.learning.estimates import LengthEstimates
from lovagepier.decisions.learning.outcome_learning import OutcomeLearning
from lovagepier.decisions.limits.pauses import Pauses
from lovagepier.decisions.placement.admission import Admission
from lovagepier.decisions.placement.dispatch_log import DispatchLog
from lovagepier.decisions.placement.fleet import Fleet
from lovagepier.decisions.placement.policies import POLICIES
from lovagepier.decisions.placement.pool_paces import PoolPaces
from lovagepier.decisions.placement.pool_targets import PoolTargets
from lovagepier.decisions.placement.prefixes import PrefixIndex
from lovagepier.decisions.placement.residence import why_full
from lovagepier.decisions.placement.room_hook import RoomHook
from lovagepier.decisions.placement.scheduler_options import SchedulerOptions
from lovagepier.decisions.placement.versions import preferred_versions
from lovagepier.decisions.placement.work import Grant, Outcome, Refusal
from lovagepier.decisions.queueing.feasibility import Feasibility
from lovagepier.decisions.queueing.late_requests import LateRequests
from lovagepier.decisions.queueing.queue_scan import QueueScan
from lovagepier.decisions.queueing.queue_time import expected_wait, limited_wait
from lovagepier.decisions.queueing.shedding import ShedPause
from lovagepier.decisions.queueing.start_rates import StartRates
from lovagepier.decisions.queueing.waiting import WaitingRequests
from lovagepier.errors import ErrorKind

__all__ = ["PoolScheduler", "SchedulerOptions"]

# Queued requests that a later one may overtake in one pass over the queue.
MAX_PASSED_OVER = 4
# Queued requests looked at in one pass, with the suspects that wait for a trial.
MAX_SCANNED = 64


class PoolScheduler:
    """The queue, the targets and the running requests of one pool.

    Methods take the time `now` in seconds. Those that grant or refuse requests return
    these decisions, a list of `Grant`, `Join` and `Refusal` objects; after any other
    change the next `tick` starts the queued requests that can run. An id is granted at
    most once as long as this scheduler remembers it.

    `old_version` is the version in service; if it is None, targets of every version
    serve. During a rollout `share` is {new version: fraction of new requests}.
    `last_shed` is (tier, time) of the last request shed for lack of a slot. `pauses`
    are what targets want from single entry hosts; several pools may share them. `room`
    is the `RoomHook`, None unless the options have `reserve_room`.
    `targets` are the `PoolTargets` of `fleet`, `paces` its `PoolPaces`, `learning` is
    the `OutcomeLearning`.
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
        self._rng = rng
        self._dispatched = DispatchLog(options.finished_retention_s)
        self._trials = Trials(self._dispatched)
        self._start_rates = StartRates(options.tiers)
        self._pause = ShedPause(options.shed_pause_s)
        self.last_shed = None
        self._sequence = 0
        self.admission = Admission(self.fleet, self._trials, self.retry_budget)
        self.paces = PoolPaces(self.fleet, options.pace)
        parts = (self.fleet, self.prefixes, self._trials, self._dispatched, self.paces)
        self.targets = PoolTargets(options, *parts)
        self.learning = OutcomeLearning(
            self.fleet, self.targets, self._trials, self.lengths, self.paces
        )
        self._feasibility = Feasibility(
            self.fleet, self.lengths, self.learning, options.demote_late
        )
        self.room = None
        if options.reserve_room:
            self.room = RoomHook(
                self.fleet, self.waiting, self._start_rates, self._dispatched
            )
        self._late = LateRequests(
            self.fleet, self.waiting, self._start_rates, self.room
        )

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
        refusal = self.admission.refuse(work, now)
        if refusal is not None:
            return [refusal]
        self._sequence += 1
        work.sequence = self._sequence
        work.arrived = now
        self._feasibility.set_latest_start(work, now)
        is_idle = not len(self._dispatched) and not len(self.waiting)
        if self.policy.sheds and self._feasibility.is_infeasible(work, is_idle, now):
            kind = ErrorKind.DEADLINE_INFEASIBLE
            why = "an idle target could not finish by the deadline"
            return [Refusal(work, kind, why, retry_after=0)]
        ahead = self.waiting.ahead_of(work)
        wait_s = limited_wait(self.fleet, ahead, work.regions)
        excess_s = now + wait_s - work.latest_start
        if self.policy.sheds and excess_s > 0:
            kind = ErrorKind.DEADLINE_WAITING
            why = "the rate limits of all targets leave it no time"
            return [Refusal(work, kind, why, retry_after=excess_s)]
        if self.room and (refusal := self.room.refuse_early(work, now)):
            return [refusal]
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

    def withdraw(self, request_id, now):
        """Drop a request that no longer needs a grant; return its work if queued."""
        return self.waiting.remove(request_id)

    def find_dispatched(self, work):
        """Return the `Join` or `Refusal` for an id granted before, or None."""
        return self._dispatched.find(work)

    # Queue

    def tick(self, now):
        """Refuse requests that can't meet their deadline; start those that can."""
        self.paces.expire(now)
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
            if work.overtaken_until > float("-inf"):
                why += "; targets lacked memory for it"
            kind = ErrorKind.DEADLINE_WAITING
            decisions.append(self._shed(work, now, kind, why))
        return decisions

    def _shed(self, work, now, kind, why):
        # With a free slot in the pool, lower tiers did not cause this refusal.
        # Pausing them would only make their requests miss deadlines in turn.
        if not self.fleet.has_room(now):
            self._pause.on_shed(work.tier, now)
            self.last_shed = (work.tier, now)
        elif work.regions and kind == ErrorKind.DEADLINE_WAITING:
            ahead = self.waiting.ahead_of(work)
            tokens = self.lengths.typical()
            wait = expected_wait(self.fleet, ahead, tokens, work.regions)
            return Refusal(work, ErrorKind.RESIDENCE, why_full(work.regions), wait)
        refusal = Refusal(work, kind, why)
        return self.room.delay_retry(refusal, now) if self.room else refusal

    def pause_below(self, tier, now):
        """Pause tiers below `tier`, which another pool of the model had to shed."""
        self._pause.on_shed(tier, now)

    def _drain(self, now):
        decisions = self.admission.remove_poisonous(self.waiting) + self._expire(now)
        if self.options.demote_late:
            why = "it is late already, and more such work waits than can run"
            kind = ErrorKind.DEADLINE_WAITING
            for work in self._late.demote(now):
                decisions.append(self._shed(work, now, kind, why))
        while len(self.waiting):
            started = self._start_next(now)
            if started is None and self.paces.open(self.waiting, now):
                started = self._start_next(now)
            if started is None:
                break
            decisions.append(started)
        return decisions

    def _start_next(self, now):
        scan = QueueScan(self.waiting, MAX_SCANNED, MAX_PASSED_OVER)
        for work in scan:
            if self._pause.is_paused(work.tier, now):
                return None
            if self._trials.awaits_trial(work, now):
                continue
            grant = self._place(work, now)
            if grant is not None:
                self.waiting.take(work, self._cost(work, grant))
                return grant
            # Later requests may overtake only one that a free slot can't help.
            if not scan.goes_on(work, self._may_be_passed_over(work, now)):
                return None
        return None

    def _may_be_passed_over(self, work, now):
        if work.exclude or work.awaits_cache or now < work.overtaken_until:
            return True
        if self.pauses.avoided(work.entry, self.fleet, now):
            return True
        return self._trials.is_suspect(work)

    def _cost(self, work, grant):
        """Return the seconds charged to the account in fair queueing."""
        state = self.fleet.get(grant.target)
        return max(state.finish_seconds(work, grant.hit_tokens), 1e-3)

    def _place(self, work, now):
        if work.regions and not self.fleet.regional.has_room(work.regions):
            return None
        excluded = work.exclude
        work.exclude = excluded | self.pauses.avoided(work.entry, self.fleet, now)
        if self._trials.is_suspect(work):
            work.exclude |= self._trials.targets_with_suspects()
        avoided = work.exclude
        if self.room:
            self.policy.overbooks = not self.room.waits_in_queue(work, now)
        try:
            work.exclude = avoided | self.paces.spared(work)
            grant = self._place_on_any(work, now)
            if grant is None and work.exclude != avoided and not work.awaits_cache:
                work.exclude = avoided
                grant = self._place_on_any(work, now)
            return grant
        finally:
            work.exclude = excluded

    def _place_on_any(self, work, now):
        versions = preferred_versions(
            self.fleet, self.old_version, self.share, work.draw, work.regions
        )
        for version in versions:
            chosen = self.policy.choose(
                self.fleet, version, work, self.prefixes, now, self._rng
            )
            if work.awaits_cache:
                return None
            if chosen is not None:
                state, hit, why = chosen
                return self._start(work, state, hit, why, now)
        return None

    def _start(self, work, state, hit, why, now):
        state.start(work, hit)
        state.rate_limit.spend(now)
        paced = state.cold_limit.spend(now) if state.cold_limit else None
        state.rejection_limit.on_start(work.id, state.in_flight, now)
        state.last_start_at = now
        self.paces.on_start(state, now)
        self.fleet.reindex(state)
        on_trial = self._trials.is_suspect(work)
        self._dispatched.begin(work, state.name, state.version, now, on_trial)
        self._start_rates.on_start(work.tier, now)
        if work.blocks:
            self.prefixes.add(state.name, work.blocks)
        return Grant(work, state.name, state.version, hit, why, paced)

    # Outcomes

    def first_byte(self, request_id, seconds, now):
        """Record that the first byte arrived `seconds` after dispatch."""
        running = self._dispatched.get(request_id)
        if running is None:
            return
        running.first_byte_at = now
        if self.room:
            self.room.on_first_event(running.work, seconds)
        state = self.fleet.get(running.target)
        if state is None:
            return
        state.rejection_limit.on_accepted(request_id)
        self.paces.on_first(state, running, seconds, now)
        self.learning.learn_first(state, request_id, seconds, now)
        self.fleet.reindex(state)

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
            self.learning.learn(state, running, outcome, self.pauses, now)
        return self._drain(now)

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
            self.paces.on_adopted(state)
            self.fleet.reindex(state)

    def forget_entry(self, entry, now):
        """Drop and return the queued requests of a dead entry host.

        Its running requests stay: a retry under the same id joins the running one.
        """
        dropped = [work for work in self.waiting.works() if work.entry == entry]
        for work in dropped:
            self.waiting.remove(work.id)
        return dropped

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

    def _ahead(self, tier):
        """Return how many requests wait that have precedence over a new one."""
        return sum(self.waiting.sizes()[: tier + 1])

    def expected_wait(self, tier):
        """Return the expected queueing time in seconds of a new request of a tier.

        Infinite where requests wait and no target can take any.
        """
        return expected_wait(self.fleet, self._ahead(tier), self.lengths.typical())

    def set_target(self, name, zone, version, incarnation, now, **options):
        """Add or update a target, see `PoolTargets.set`; return the decisions."""
        self.targets.set(name, zone, version, incarnation, now, **options)
        return self._drain(now)
