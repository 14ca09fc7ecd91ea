"""The pool actor: one pool's scheduler at its home node."""

import random

from lovagepier.decisions.scheduler import PoolScheduler, SchedulerOptions
from lovagepier.decisions.work import Grant, Join, Outcome, Refusal, Work
from lovagepier.errors import ErrorKind
from lovagepier.node._actors import NodeActor, Tick
from lovagepier.node._pool_messages import (
    Asked,
    Finished,
    FirstByte,
    KnownIds,
    Looked,
    Paused,
    Registered,
    Reported,
    Retire,
    TargetsLeaving,
    Withdrawn,
    decode_work,
)
from lovagepier.peers import messages

__all__ = ["PoolActor"]

ALL_KNOWN_WAIT_S = 1.0
RELEASE_PERIOD_S = 2.0
PUBLISH_PERIOD_S = 0.5
PAUSE_PERIOD_S = 0.1


class PoolActor(NodeActor):
    """Serves one pool while this node is asked as its home."""

    part = "pool"
    handlers = {
        Asked: "on_asked",
        Looked: "on_looked",
        FirstByte: "on_first_byte",
        Finished: "on_finished",
        Withdrawn: "on_withdrawn",
        Paused: "on_paused",
        Registered: "on_registered",
        Reported: "on_reported",
        KnownIds: "on_known_ids",
        TargetsLeaving: "on_leaving",
        Retire: "on_retire",
        Tick: "on_tick",
    }

    def __init__(self, node, subject, region):
        super().__init__(node)
        self.subject = subject
        self.region = region
        self._view_version = -1
        self._view_shares = None
        cfg = node.cfg
        options = SchedulerOptions(
            tiers=max(len(node.view.tiers), 1),
            max_waiting=cfg.pools_max_waiting,
            policy=cfg.pools_policy,
            slots=float(cfg.pools_first_slots),
        )
        rng = random.Random(f"{node.boot}/{subject}/{region}")
        self.scheduler = PoolScheduler(options, rng)
        self.epoch = f"{cfg.node_name}/{node.boot}/{node.next_epoch()}"
        self.began = node.clock()
        self._replies = {}
        self._waiting_known = set()
        self._parked = []
        self._unanswered = set()
        self._leaving = frozenset()
        self._retired = None
        self._condemned = frozenset()
        self._dead = frozenset()
        self._released_at = self.began
        self._published_at = float("-inf")
        self._shed_told = None
        self._pause_sent_at = float("-inf")
        self.stats = {"granted": 0, "refused": 0, "joined": 0}

    def on_start(self):
        """Learn the targets and ask each what it was given before."""
        self._adopt_view()
        self.node.timeline.add(
            "pool",
            "home taken",
            why="preferred live node of the region",
            pool=f"{self.subject}/{self.region}",
            epoch=self.epoch,
        )
        for target in self._targets():
            self._waiting_known.add(target.name)
            self.node.fetch_known_ids(self.actor_ref, target)

    def _targets(self):
        return self.node.view.pools().get((self.subject, self.region), [])

    def _adopt_view(self):
        view = self.node.view
        now = self.node.clock()
        if view.version == self._view_version:
            return
        self._view_version = view.version
        wanted = {target.name: target for target in self._targets()}
        for state in list(self.scheduler.fleet):
            if state.name not in wanted:
                self.scheduler.remove_target(state.name, now)
        decisions = []
        for target in wanted.values():
            decisions += self.scheduler.set_target(
                target.name, target.zone, target.version, "", now
            )
        self._apply_leaving()
        self._carry_out(decisions, now)

    def _adopt_shares(self):
        shares = self.node.shares.get(self.subject)
        model = self.node.view.models.get(self.subject)
        if model is None:
            return
        old, share = shares if shares else (model.serving, {})
        self.scheduler.old_version = old
        self.scheduler.share = share

    # Requests

    def on_asked(self, message):
        """Grant, queue, join or refuse one request."""
        body = message.body
        if self._retired is not None:
            message.reply(self._moved(body))
            return
        if not body.fresh and self._waiting_known:
            if self.node.clock() - self.began < ALL_KNOWN_WAIT_S:
                self._parked.append(message)
                message.reply(messages.PermitResponse("queued", body.id, body.nonce))
                return
            self._give_up_known()
        self._offer(message)

    def _offer(self, message):
        now = self.node.clock()
        self._adopt_view()
        self._adopt_shares()
        body = message.body
        head = (body.id, body.tier, body.nonce)
        work = decode_work(head, body.work, now + body.remaining)
        work.tier = min(work.tier, self.scheduler.options.tiers - 1)
        if not self._known_enough(work):
            return self._refuse_unknown(work, message.reply)
        if body.may_cross and self._better_elsewhere(work, now):
            why = "the expected wait is past the deadline"
            message.reply(self._refusal(Refusal(work, ErrorKind.SHED, why, 1.0)))
            return None
        self._replace_asker(work)
        self._replies[work.id] = (message.reply, work.nonce)
        decisions = self.scheduler.offer(work, now)
        self._carry_out(decisions, now)
        if work.id in self.scheduler.waiting:
            message.reply(messages.PermitResponse("queued", work.id, work.nonce))
        return None

    def on_looked(self, message):
        """Tell whether an id is known; a home that can't know says nothing."""
        body = message.body
        work = Work(body.id, "", "", 0, 0.0, fingerprint=body.fingerprint)
        known = self.scheduler.look(work)
        if known is not None:
            message.reply(self._answer(known))
        elif self._waiting_known:
            self._parked.append(message)
        elif not self._unanswered:
            message.reply(messages.PermitResponse("unknown", body.id))

    def _replace_asker(self, work):
        earlier = self._replies.pop(work.id, None)
        if earlier is None:
            return
        reply, nonce = earlier
        why = "the same id was sent again and is served there"
        answer = self._refusal(Refusal(work, ErrorKind.KEY_IN_USE, why))
        answer.nonce = nonce
        reply(answer)

    def _known_enough(self, work):
        """Return whether a request sent again may be granted as if new."""
        if work.attempt == 0 or not self._unanswered:
            return True
        young = self.node.clock() - self.began < self.node.cfg.callers_longest_deadline
        return not young or self.scheduler.find_running(work.id) is not None

    def _refuse_unknown(self, work, reply):
        why = "a target that may have run it does not say"
        reply(self._refusal(Refusal(work, ErrorKind.ANSWER_LOST, why, 1.0)))

    def _better_elsewhere(self, work, now):
        return self.scheduler.expected_wait(work.tier) > work.deadline - now

    def _moved(self, body):
        return messages.PermitResponse("moved", body.id, body.nonce, why=self._retired)

    def on_known_ids(self, message):
        """Take in what a target was given before this home began."""
        if message.ids is None:
            self._unanswered.add(message.target)
        else:
            self._unanswered.discard(message.target)
            for request_id in message.ids:
                self.scheduler.note_dispatched(
                    str(request_id), message.target, self.node.clock()
                )
        self._waiting_known.discard(message.target)
        if not self._waiting_known:
            self._unpark()

    def _give_up_known(self):
        self._unanswered |= self._waiting_known
        self._waiting_known.clear()
        self._unpark()

    def _unpark(self):
        parked, self._parked = self._parked, []
        for message in parked:
            if isinstance(message, Looked):
                self.on_looked(message)
            else:
                self._offer(message)

    def on_withdrawn(self, message):
        """Drop waiting work whose caller went away."""
        if self.scheduler.withdraw(message.id, self.node.clock()):
            self._replies.pop(message.id, None)

    def on_paused(self, message):
        """Start no lower work while another region sheds higher work."""
        self.scheduler.pause_below(message.tier, self.node.clock())

    def _spread_pause(self, now):
        shed = self.scheduler.last_shed
        if shed == self._shed_told or now - self._pause_sent_at < PAUSE_PERIOD_S:
            return
        self._shed_told = shed
        self._pause_sent_at = now
        for subject, region in self.node.view.pools():
            if subject == self.subject and region != self.region:
                home = self.node.roster.owner(f"pool/{subject}/{region}", region)
                if home is not None:
                    self.node.tell(home, messages.PoolPause(subject, region, shed[0]))

    def _carry_out(self, decisions, now):
        self._spread_pause(now)
        for decision in decisions:
            entry = self._replies.pop(decision.work.id, None)
            answer = self._answer(decision)
            if entry is not None:
                reply, nonce = entry
                answer.nonce = nonce
                reply(answer)

    def _answer(self, decision):
        if isinstance(decision, Grant):
            return self._grant(decision)
        if isinstance(decision, Join):
            self.stats["joined"] += 1
            self._note(decision.work, "joined", "the id was dispatched before")
            return messages.PermitResponse(
                "join",
                decision.work.id,
                target=decision.target,
                epoch=self.epoch,
                finished=decision.finished,
            )
        return self._refusal(decision)

    def _grant(self, grant):
        self.stats["granted"] += 1
        work = grant.work
        waited = self.node.clock() - work.arrived
        self._note(
            work,
            "granted",
            grant.why,
            target=grant.target,
            version=grant.version,
            waited_ms=round(waited * 1000, 1),
        )
        return messages.PermitResponse(
            "grant",
            work.id,
            target=grant.target,
            version=grant.version,
            epoch=self.epoch,
        )

    def _refusal(self, refusal):
        self.stats["refused"] += 1
        work = refusal.work
        self._note(work, f"refused: {refusal.kind}", refusal.why, tier=work.tier)
        return messages.PermitResponse(
            "refuse",
            work.id,
            work.nonce,
            kind=str(refusal.kind),
            why=refusal.why,
            retry_after=refusal.retry_after,
        )

    def _note(self, work, event, why, **facts):
        self.node.timeline.add("pool", event, why=why, request=work.id, **facts)

    # Outcomes

    def on_first_byte(self, message):
        """Learn from a first byte."""
        body = message.body
        self.scheduler.first_byte(body.id, body.seconds, self.node.clock())

    def on_finished(self, message):
        """Learn from an outcome and start what waits."""
        now = self.node.clock()
        outcome = Outcome(*message.body.outcome)
        running = self.scheduler.find_running(outcome.id)
        condemned_before = set(self.scheduler.strikes.condemned())
        decisions = self.scheduler.finish(outcome, now)
        self._tell_strikes(condemned_before)
        if running is not None:
            self.node.observe_outcome(self.subject, running, outcome)
        self._carry_out(decisions, now)

    def _tell_strikes(self, before):
        for name in set(self.scheduler.strikes.condemned()) - before:
            self.node.timeline.add(
                "pool",
                "request condemned",
                why="targets died while it ran",
                fingerprint=name,
            )
            self.node.spread_condemned(name)

    def on_registered(self, message):
        """Adopt running work that another home granted."""
        now = self.node.clock()
        for *head, fields, target in message.running:
            work = decode_work(head, fields, now)
            self.scheduler.adopt_running(work, target, now)

    # Targets

    def on_reported(self, message):
        """Fold in a load report, or the lack of one."""
        now = self.node.clock()
        report = message.report
        if report is None:
            return
        self.scheduler.report(
            message.target, report.running, report.waiting, now, report.incarnation
        )
        if report.evicted_blocks:
            self.scheduler.cache_event(message.target, (), report.evicted_blocks)
        if message.target in self._unanswered:
            target = self.node.view.targets.get(message.target)
            if target is not None:
                self.node.fetch_known_ids(self.actor_ref, target)

    def on_leaving(self, message):
        """Stop new work to leaving targets at once."""
        if message.names == self._leaving:
            return
        for name in message.names - self._leaving:
            if self.scheduler.fleet.get(name) is not None:
                self.node.timeline.add(
                    "pool", "target leaving", why="the host list says so", subject=name
                )
        self._leaving = message.names
        self._apply_leaving()

    def _apply_leaving(self):
        for state in self.scheduler.fleet:
            self.scheduler.target_leaving(state.name, state.name in self._leaving)

    # Time

    def on_tick(self, _):
        """Refuse what is late, start what fits, adopt what changed."""
        if self._retired is not None:
            return
        now = self.node.clock()
        if self._waiting_known and now - self.began >= ALL_KNOWN_WAIT_S:
            self._give_up_known()
        self._adopt_view()
        self._adopt_shares()
        self._adopt_condemned(now)
        self._forget_dead(now)
        self._carry_out(self.scheduler.tick(now), now)
        self._publish(now)

    def _publish(self, now):
        if now - self._published_at < PUBLISH_PERIOD_S:
            return
        self._published_at = now
        status = {
            "epoch": self.epoch,
            "waiting": self.scheduler.waiting.sizes(),
            "counts": dict(self.stats),
            "targets": [_target_status(state) for state in self.scheduler.fleet],
        }
        self.node.pools.publish(self.subject, self.region, status)

    def _adopt_condemned(self, now):
        condemned = self.node.condemned
        for name in condemned - self._condemned:
            self.scheduler.strikes.adopt(name, (), True, now)
        self._condemned = condemned

    def _forget_dead(self, now):
        dead = self.node.roster.dead
        for entry in dead - self._dead:
            self.scheduler.forget_entry(entry, now)
        self._dead = dead
        if now - self._released_at >= RELEASE_PERIOD_S:
            self._released_at = now
            self._carry_out(self.scheduler.release_lost(dead, now), now)

    def on_retire(self, message):
        """Send waiting work to the new home; running work is told to it."""
        self._retired = message.home
        for work in list(self.scheduler.waiting.works()):
            self.scheduler.withdraw(work.id, self.node.clock())
            entry = self._replies.pop(work.id, None)
            if entry is not None:
                reply, nonce = entry
                answer = messages.PermitResponse(
                    "moved", work.id, nonce, why=message.home
                )
                reply(answer)
        self.node.timeline.add(
            "pool",
            "home given up",
            why=f"{message.home} is preferred now",
            pool=f"{self.subject}/{self.region}",
        )
        self.stop()


def _target_status(state):
    return {
        "name": state.name,
        "version": state.version,
        "in_flight": state.in_flight,
        "limit": round(state.limit.value, 1),
        "leaving": state.leaving,
        "down": state.down,
        "ms_a_token": round(state.speed.token_seconds * 1000, 2),
        "prefill_rate": round(state.speed.prefill_rate),
    }
