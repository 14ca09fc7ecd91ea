"""The pool actor: runs one pool's scheduler at the pool's coordinator."""

import random

from lovagepier.decisions.placement.scheduler import PoolScheduler, SchedulerOptions
from lovagepier.decisions.placement.work import Outcome, Refusal, Work
from lovagepier.errors import ErrorKind
from lovagepier.node._actors import NodeActor, Tick
from lovagepier.node._known_ids import KnownIds
from lovagepier.node._pool_answers import PoolAnswers, redirection
from lovagepier.node._pool_messages import (
    FirstByteReported,
    KnownIdsReported,
    LoadReported,
    LookupRequested,
    OutcomeReported,
    PauseRequested,
    PermitRequested,
    RequestWithdrawn,
    Retire,
    RunningReported,
    TargetsDraining,
    decode_work,
)
from lovagepier.node._pool_pauses import PauseAnnouncer
from lovagepier.node._pool_status import PoolStatus
from lovagepier.peers import messages

__all__ = ["PoolActor"]

MAX_KNOWN_IDS_WAIT_S = 1.0
LOST_WORK_CHECK_S = 2.0


class PoolActor(NodeActor):
    """Coordinates one pool: grants, queues, joins or refuses its requests.

    It starts with the first message for the pool. Then it does not know what the
    previous coordinator granted, so it asks each target for its known request
    ids, and defers ids that are not new until the targets have answered or
    `MAX_KNOWN_IDS_WAIT_S` has passed. In names of events and metrics "home"
    means the coordinator.
    """

    component = "pool"
    handlers = {
        PermitRequested: "on_permit_requested",
        LookupRequested: "on_lookup_requested",
        FirstByteReported: "on_first_byte",
        OutcomeReported: "on_outcome",
        RequestWithdrawn: "on_withdrawn",
        PauseRequested: "on_paused",
        RunningReported: "on_running_reported",
        LoadReported: "on_load_reported",
        KnownIdsReported: "on_known_ids",
        TargetsDraining: "on_targets_draining",
        Retire: "on_retire",
        Tick: "on_tick",
    }

    def __init__(self, node, subject, region):
        super().__init__(node)
        self.subject = subject
        self.region = region
        self._config_version = -1
        self._view_shares = None
        cfg = node.cfg
        options = SchedulerOptions(
            tiers=max(len(node.view.tiers), 1),
            max_waiting=cfg.pools_max_waiting,
            policy=cfg.pools_policy,
            initial_limit=float(cfg.pools_first_slots),
        )
        rng = random.Random(f"{node.boot}/{subject}/{region}")
        self.scheduler = PoolScheduler(options, rng)
        self.epoch = f"{cfg.node_name}/{node.boot}/{node.next_epoch()}"
        self.started_at = node.clock()
        self._replies = {}
        self._known_ids = KnownIds()
        self._draining = frozenset()
        self._successor = None
        self._poisoned = frozenset()
        self._dead_nodes = frozenset()
        self._last_lost_check_at = self.started_at
        self._status = PoolStatus(self)
        self._pauses = PauseAnnouncer(node, subject, region)
        self._answers = PoolAnswers(node, self.epoch)

    def on_start(self):
        """Add the pool's targets and ask each for its known request ids."""
        self._apply_config()
        self.node.timeline.add(
            "pool",
            "home taken",
            why="preferred live node of the region",
            pool=f"{self.subject}/{self.region}",
            epoch=self.epoch,
        )
        for target in self._targets():
            self._known_ids.awaiting.add(target.name)
            self.node.fetch_known_ids(self.actor_ref, target)

    def _targets(self):
        return self.node.view.pools().get((self.subject, self.region), [])

    def _apply_config(self):
        view = self.node.view
        now = self.node.clock()
        if view.version == self._config_version:
            return
        self._config_version = view.version
        wanted = {target.name: target for target in self._targets()}
        for state in list(self.scheduler.fleet):
            if state.name not in wanted:
                self.scheduler.targets.remove(state.name, now)
        decisions = []
        for target in wanted.values():
            decisions += self.scheduler.set_target(
                target.name, target.zone, target.version, "", now
            )
        self._apply_draining()
        self._send_decisions(decisions, now)

    def _apply_shares(self):
        shares = self.node.shares.get(self.subject)
        model = self.node.view.models.get(self.subject)
        if model is None:
            return
        old, share = shares if shares else (model.serving, {})
        self.scheduler.old_version = old
        self.scheduler.share = share

    # Requests

    def on_permit_requested(self, message):
        """Grant, queue, join or refuse one request."""
        body = message.body
        if self._successor is not None:
            message.reply(redirection(body.id, body.nonce, self._successor))
            return
        if not body.fresh and self._known_ids.awaiting:
            if self.node.clock() - self.started_at < MAX_KNOWN_IDS_WAIT_S:
                self._known_ids.defer(message)
                message.reply(messages.PermitResponse("queued", body.id, body.nonce))
                return
            self._stop_awaiting_known_ids()
        self._offer(message)

    def _offer(self, message):
        now = self.node.clock()
        self._apply_config()
        self._apply_shares()
        body = message.body
        head = (body.id, body.tier, body.nonce)
        work = decode_work(head, body.work, now + body.remaining_s)
        work.tier = min(work.tier, self.scheduler.options.tiers - 1)
        if not self._may_grant(work):
            return self._refuse_unknown(work, message.reply)
        if body.may_cross_region and self._would_miss_deadline(work, now):
            why = "the expected wait is past the deadline"
            message.reply(
                self._answers.refusal(Refusal(work, ErrorKind.SHED, why, 1.0))
            )
            return None
        self._refuse_earlier_caller(work)
        self._replies[work.id] = (message.reply, work.nonce)
        decisions = self.scheduler.offer(work, now)
        self._send_decisions(decisions, now)
        if work.id in self.scheduler.waiting:
            message.reply(messages.PermitResponse("queued", work.id, work.nonce))
        return None

    def on_lookup_requested(self, message):
        """Answer whether an id was dispatched in this pool.

        An unknown id gets no answer while a target has not reported its known ids.
        """
        body = message.body
        work = Work(body.id, "", "", 0, 0.0, fingerprint=body.fingerprint)
        known = self.scheduler.find_dispatched(work)
        if known is not None:
            message.reply(self._answers.decision(known))
        elif self._known_ids.awaiting:
            self._known_ids.defer(message)
        elif not self._known_ids.silent:
            message.reply(messages.PermitResponse("unknown", body.id))

    def _refuse_earlier_caller(self, work):
        previous = self._replies.pop(work.id, None)
        if previous is None:
            return
        reply, nonce = previous
        why = "the same id was sent again and is served there"
        answer = self._answers.refusal(Refusal(work, ErrorKind.KEY_IN_USE, why))
        answer.nonce = nonce
        reply(answer)

    def _may_grant(self, work):
        """Return whether a request may be granted without risk of a second run.

        A retried request is refused while some target has not reported its known
        ids and a request that the previous coordinator granted may still run there.
        It passes if this coordinator knows its id, as it is then not run again.
        """
        if work.attempt == 0 or not self._known_ids.silent:
            return True
        is_new_coordinator = (
            self.node.clock() - self.started_at < self.node.cfg.callers_longest_deadline
        )
        return (
            not is_new_coordinator or self.scheduler.find_running(work.id) is not None
        )

    def _refuse_unknown(self, work, reply):
        why = "a target that may have run it does not say"
        reply(self._answers.refusal(Refusal(work, ErrorKind.ANSWER_LOST, why, 1.0)))

    def _would_miss_deadline(self, work, now):
        return self.scheduler.expected_wait(work.tier) > work.deadline - now

    def on_known_ids(self, message):
        """Remember the ids that a target was given before this actor started."""
        self._known_ids.on_answer(message.target, message.ids)
        for request_id in message.ids or ():
            self.scheduler.note_dispatched(
                str(request_id), message.target, self.node.clock()
            )
        if not self._known_ids.awaiting:
            self._process_deferred()

    def _stop_awaiting_known_ids(self):
        self._known_ids.stop_awaiting()
        self._process_deferred()

    def _process_deferred(self):
        for message in self._known_ids.take_deferred():
            if isinstance(message, LookupRequested):
                self.on_lookup_requested(message)
            else:
                self._offer(message)

    def on_withdrawn(self, message):
        """Drop a queued request that its entry host no longer waits for."""
        if self.scheduler.withdraw(message.id, self.node.clock()):
            self._replies.pop(message.id, None)

    def on_paused(self, message):
        """Pause lower tiers because another region's pool shed a request."""
        self.scheduler.pause_below(message.tier, self.node.clock())

    def _send_decisions(self, decisions, now):
        self._pauses.announce(self.scheduler.last_shed, now)
        for decision in decisions:
            waiting_reply = self._replies.pop(decision.work.id, None)
            answer = self._answers.decision(decision)
            if waiting_reply is not None:
                reply, nonce = waiting_reply
                answer.nonce = nonce
                reply(answer)

    # Outcomes

    def on_first_byte(self, message):
        """Pass the time to first byte to the scheduler's estimates."""
        body = message.body
        self.scheduler.first_byte(body.id, body.seconds, self.node.clock())

    def on_outcome(self, message):
        """Apply an outcome: update estimates, announce poison, start waiting work."""
        now = self.node.clock()
        outcome = Outcome(*message.body.outcome)
        running = self.scheduler.find_running(outcome.id)
        poisoned_before = set(self.scheduler.poison_detector.poisoned())
        decisions = self.scheduler.finish(outcome, now)
        self._announce_poison(poisoned_before)
        if running is not None:
            self.node.observe_outcome(self.subject, running, outcome)
        self._send_decisions(decisions, now)

    def _announce_poison(self, before):
        for name in set(self.scheduler.poison_detector.poisoned()) - before:
            self.node.timeline.add(
                "pool",
                "request condemned",
                why="targets died while it ran",
                fingerprint=name,
            )
            self.node.announce_poison(name)

    def on_running_reported(self, message):
        """Track running requests that the previous coordinator granted."""
        now = self.node.clock()
        for *head, fields, target in message.running:
            work = decode_work(head, fields, now)
            self.scheduler.adopt_running(work, target, now)

    # Targets

    def on_load_reported(self, message):
        """Apply a target's load report.

        If the target has not reported its known ids, ask it again: it answers now.
        """
        now = self.node.clock()
        report = message.report
        if report is None:
            return
        self.scheduler.targets.report(
            message.target, report.running, report.waiting, now, report.incarnation
        )
        if report.evicted_blocks:
            self.scheduler.targets.cache_event(
                message.target, (), report.evicted_blocks
            )
        if message.target in self._known_ids.silent:
            target = self.node.view.targets.get(message.target)
            if target is not None:
                self.node.fetch_known_ids(self.actor_ref, target)

    def on_targets_draining(self, message):
        """Give draining targets no more work, and returned ones work again."""
        if message.names == self._draining:
            return
        for name in message.names - self._draining:
            if self.scheduler.fleet.get(name) is not None:
                self.node.timeline.add(
                    "pool", "target leaving", why="the host list says so", subject=name
                )
        self._draining = message.names
        self._apply_draining()

    def _apply_draining(self):
        for state in self.scheduler.fleet:
            self.scheduler.targets.set_draining(
                state.name, state.name in self._draining
            )

    # Time

    def on_tick(self, _):
        """Apply changed state, refuse expired requests and start those that fit."""
        if self._successor is not None:
            return
        now = self.node.clock()
        if self._known_ids.awaiting and now - self.started_at >= MAX_KNOWN_IDS_WAIT_S:
            self._stop_awaiting_known_ids()
        self._apply_config()
        self._apply_shares()
        self._merge_poison(now)
        self._forget_dead_hosts(now)
        self._send_decisions(self.scheduler.tick(now), now)
        self._status.publish(self._answers.counts, now)

    def _merge_poison(self, now):
        poisoned = self.node.poisoned
        for name in poisoned - self._poisoned:
            self.scheduler.poison_detector.merge(name, (), True, now)
        self._poisoned = poisoned

    def _forget_dead_hosts(self, now):
        dead = self.node.roster.dead
        for host in dead - self._dead_nodes:
            self.scheduler.forget_entry(host, now)
        self._dead_nodes = dead
        if now - self._last_lost_check_at >= LOST_WORK_CHECK_S:
            self._last_lost_check_at = now
            self._send_decisions(self.scheduler.release_lost(dead, now), now)

    def on_retire(self, message):
        """Redirect waiting requests to the new coordinator and end the actor.

        The entry hosts register the running requests there themselves.
        """
        self._successor = message.new_coordinator
        for work in list(self.scheduler.waiting.works()):
            self.scheduler.withdraw(work.id, self.node.clock())
            waiting_reply = self._replies.pop(work.id, None)
            if waiting_reply is not None:
                reply, nonce = waiting_reply
                reply(redirection(work.id, nonce, message.new_coordinator))
        self.node.timeline.add(
            "pool",
            "home given up",
            why=f"{message.new_coordinator} is preferred now",
            pool=f"{self.subject}/{self.region}",
        )
        self.stop()
