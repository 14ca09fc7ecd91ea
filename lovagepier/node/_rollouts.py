"""The rollouts actor: merges evidence, triggers rollbacks and publishes shares."""

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from lovagepier.decisions.rollouts.evidence import (
    Counts,
    Evidence,
    EvidenceKey,
    LoadCounts,
)
from lovagepier.decisions.rollouts.rollout_share import (
    RolloutState,
    share_at,
    state_at,
    step_at,
)
from lovagepier.decisions.rollouts.slowness import Pace
from lovagepier.errors import RequestError
from lovagepier.node._actors import NodeActor, Tick
from lovagepier.node._members import PeerMessage
from lovagepier.node._open_rollout import OpenRollout
from lovagepier.node._outcome_judge import OutcomeJudge
from lovagepier.peers import messages

__all__ = ["OutcomeObserved", "RolloutsActor"]

PUSH_PERIOD_S = 0.2
FULL_PUSH_PERIOD_S = 2.0
RECORD_RETRY_S = 1.0
# Peers repeat a rollback with each full push. A node that has owned a rollout for less,
# or that did not run for a while, may not have heard of one.
MIN_TERM_S = FULL_PUSH_PERIOD_S + 0.5
# The time line gets an event whenever the share, rounded to tenths, changes.
SHARE_EVENT_STEPS = 10
# The bound of the configuration's schema.
MAX_CAUSE_CHARS = 300
FAILED_STATUSES = ("failed", "died", "vanished")


@dataclass(slots=True, frozen=True)
class OutcomeObserved:
    """The outcome of a granted request, as its pool's coordinator received it."""

    model: str
    version: str
    work: object
    outcome: object


class RolloutsActor(NodeActor):
    """Computes the new version's share of each open rollout.

    The share follows from the schedule, the time and the merged evidence, so
    nodes with the same evidence agree on it without a leader. In names that leave
    the process a rollout is a "move", its rollback trigger a "brake", and
    "taken-back" means rolled back.
    """

    component = "moves"
    handlers = {
        Tick: "on_tick",
        OutcomeObserved: "on_outcome_observed",
        PeerMessage: "on_peer_message",
    }

    def __init__(self, node):
        super().__init__(node)
        self._evidence = Evidence()
        self._judge = OutcomeJudge(node)
        self._open_rollouts = {}
        self._config_version = -1
        self._source_id = f"{node.cfg.node_name}/{node.boot}"
        self._changed_rows = set()
        self._last_push_at = float("-inf")
        self._last_full_push_at = float("-inf")
        self._last_record_at = {}
        self._recorder = ThreadPoolExecutor(1, thread_name_prefix="moves-record")
        self._shares = {}

    # Evidence

    def on_outcome_observed(self, message):
        """Count an outcome of a model with an open rollout.

        The slowness baseline learns from the outcomes of all models.
        """
        entry = self._rollout_of_model(message.model)
        old = entry.rollout.old if entry else message.version
        outcome = message.outcome
        if outcome.status not in ("ok", "late", *FAILED_STATUSES):
            return
        judged = self._judge.judge(message, message.version == old)
        if entry is None or message.version not in (old, entry.rollout.new):
            return
        if judged.pace is None:
            return
        failed = outcome.status in FAILED_STATUSES
        if judged.pace is not Pace.USUAL and not failed:
            self._log_slow(entry, message, judged)
        row = EvidenceKey(
            entry.evidence_id,
            message.version,
            message.work.route,
            self._source_id,
        )
        self._changed_rows.add(row)
        is_strained = judged.pace is Pace.STRAINED and not failed
        is_strained = is_strained and not entry.trigger.is_slow(row.route)
        if message.version == entry.rollout.new:
            figures = (judged.load, judged.load_compared, entry.step)
            times = judged.times() if is_strained else (0.0, 0.0)
            self._evidence.note_load(row, is_strained, *figures, times)
        if is_strained:
            entry.excess = judged.excess or entry.excess
            self._add_strained(entry, 1)
            return
        slow = judged.pace is not Pace.USUAL and not failed
        self._evidence.count(row, failed, slow)
        self._observe(entry, row, Counts(1, int(failed), int(slow)))

    def _log_slow(self, entry, message, judged):
        loads = {}
        if judged.pace is Pace.STRAINED:
            loads["load"] = round(judged.load, 2)
            loads["load_compared"] = round(judged.load_compared, 2)
        self.log.info(
            "slower than the old version",
            move=entry.rollout.id,
            version=message.version,
            route=message.work.route,
            request=message.work.id,
            target=message.outcome.target,
            status=message.outcome.status,
            excess=judged.excess,
            **loads,
        )

    def _add_strained(self, entry, count):
        if entry.hold.add(count, count):
            self._on_hold_changed(entry)

    def _on_hold_changed(self, entry):
        """Tell operators that the advance stopped for want of capacity, or goes on."""
        rollout = entry.rollout
        loads = self._evidence.highest_loads(entry.evidence_id)
        event, why = "no longer held", "outcomes are usual again"
        entry.hold_cause = None
        if entry.hold.is_held:
            event, why = "held for capacity", entry.figures(loads)
            entry.hold_cause = f"{event}: {why}"
        self.node.timeline.add(
            "moves", event, why=why, move=rollout.id, version=rollout.new
        )
        self.log.warning(
            f"rollout {event}",
            move=rollout.id,
            version=rollout.new,
            load=loads.load / 1000,
            load_compared=loads.compared / 1000,
            strained=loads.strained,
            excess=entry.excess,
        )
        if entry.hold.is_held:
            self.node.metrics.count("rollout_capacity_holds")
        self._publish()

    def _rollout_of_model(self, model):
        for entry in self._open_rollouts.values():
            if entry.rollout.model == model:
                return entry
        return None

    def _observe(self, entry, row, counts):
        cause, hold_changed = entry.observe(row, counts, self.node.clock())
        if cause is not None:
            self._on_trigger(entry, cause)
        if hold_changed:
            self._on_hold_changed(entry)

    def _on_trigger(self, entry, cause):
        rollout = entry.rollout
        total = self._evidence.total(entry.evidence_id, rollout.new)
        self.node.timeline.add(
            "moves",
            "brake set",
            why=f"{cause}: {total.failed} failed, {total.slow} slow of {total.seen}",
            move=rollout.id,
            version=rollout.new,
        )
        self.log.warning("rollback triggered", move=rollout.id, why=cause)
        self._send_notice(entry)
        self._publish()

    def _send_notice(self, entry):
        notice = messages.RollbackNotice(
            entry.rollout.id, entry.clear_count, entry.trigger.cause
        )
        for name in self.node.roster.live:
            if name != self.node.cfg.node_name:
                self.node.tell(name, notice)

    def on_peer_message(self, message):
        """Merge evidence from a peer or apply its rollback."""
        body = message.body
        if isinstance(body, messages.RollbackNotice):
            self._apply_notice(body)
            return
        for evidence_id, version, route, source, *numbers in body.rows:
            row = EvidenceKey(evidence_id, version, route, source)
            added = self._evidence.merge(row, Counts(*numbers))
            entry = self._open_rollouts.get(evidence_id.partition("#")[0])
            if entry is not None and entry.evidence_id == evidence_id:
                self._observe(entry, row, added)
        for evidence_id, version, route, source, *numbers in body.loads:
            row = EvidenceKey(evidence_id, version, route, source)
            strained = self._evidence.merge_loads(row, LoadCounts(*numbers))
            entry = self._open_rollouts.get(evidence_id.partition("#")[0])
            if entry is not None and entry.evidence_id == evidence_id:
                self._add_strained(entry, strained)

    def _apply_notice(self, notice):
        entry = self._open_rollouts.get(notice.rollout)
        if (
            entry is None
            or notice.clear_count != entry.clear_count
            or entry.trigger.is_set
        ):
            return
        entry.trigger.set(notice.cause)
        self.node.timeline.add(
            "moves", "brake adopted", why=f"a peer: {notice.cause}", move=notice.rollout
        )
        self._send_notice(entry)
        self._publish()

    # Time

    def on_tick(self, _):
        """Apply a new configuration, publish the shares and push evidence."""
        self._apply_config()
        self._begin_terms()
        self._publish()
        self._push()

    def _begin_terms(self):
        for entry in self._open_rollouts.values():
            is_owner = self.node.roster.owns(f"move/{entry.rollout.id}")
            why = entry.terms.beginning(is_owner, self.node.uptime())
            if why:
                entry.term_began_at = self.node.clock()
                self.log.info(
                    "a term as owner of a rollout begins",
                    move=entry.rollout.id,
                    why=why,
                )

    def _apply_config(self):
        view = self.node.view
        if view.version == self._config_version:
            return
        self._config_version = view.version
        open_now = {
            name: rollout
            for name, rollout in view.rollouts.items()
            if view.rollout_state(name) == "open"
        }
        for name in list(self._open_rollouts):
            if name not in open_now:
                self._evidence.forget(self._open_rollouts[name].evidence_id)
                self._add_end_event(view, name)
                del self._open_rollouts[name]
        for name, rollout in open_now.items():
            clear_count = view.clear_count(name)
            entry = self._open_rollouts.get(name)
            if entry is None or entry.clear_count != clear_count:
                self._open_rollouts[name] = OpenRollout(rollout, clear_count)
                self._judge.begin(rollout.model)
            else:
                entry.rollout = rollout

    def _add_end_event(self, view, name):
        state = view.rollout_state(name) if name in view.rollouts else "removed"
        cause = ""
        if name in view.rollouts:
            cause = view.document["moves"][name].get("cause", "")
        self.node.timeline.add("moves", f"move {state}", why=cause, move=name)

    def _state(self, entry):
        evidence_id = entry.evidence_id
        new = self._evidence.total(evidence_id, entry.rollout.new)
        old = self._evidence.total(evidence_id, entry.rollout.old)
        return RolloutState(
            clean_outcomes=new.seen - new.failed - new.slow,
            total_outcomes=new.seen + old.seen,
            rolled_back=entry.trigger.is_set,
            suspicion=entry.trigger.suspicion(),
            is_strained=entry.hold.is_held,
            reached_step=self._evidence.highest_loads(evidence_id).step / 1000,
        )

    def _publish(self):
        now = self.node.wall()
        shares = {}
        for entry in self._open_rollouts.values():
            state = self._state(entry)
            share = share_at(entry.rollout, state, now)
            entry.step = step_at(entry.rollout, state, now)
            shares[entry.rollout.model] = (
                entry.rollout.old,
                {entry.rollout.new: share},
            )
            self._publish_state(entry, state, share, now)
        self._judge.update(shares)
        if shares != self._shares:
            self._shares = shares
            self.node.set_shares(shares)

    def _publish_state(self, entry, state, share, now):
        stage = state_at(entry.rollout, state, now)
        event = (stage, round(share * SHARE_EVENT_STEPS))
        if event != entry.last_event:
            entry.last_event = event
            why = (
                f"{state.clean_outcomes} clean outcomes, "
                f"suspicion {state.suspicion:.2f}"
            )
            self.node.timeline.add(
                "moves", f"{stage} at {share:.0%}", why=why, move=entry.rollout.id
            )
        cause = entry.trigger.cause or entry.hold_cause
        self.node.set_rollout_state(entry.rollout.id, stage, share, cause)
        if stage in ("done", "taken-back"):
            self._record(entry, stage)

    def _record(self, entry, stage):
        """Write the outcome to the configuration if this node owns the rollout.

        The patch id is the same in every retry, so the patch is applied once. It is
        for the version that shows the rollout as open: what another node has recorded
        since is not replaced.
        """
        rollout = entry.rollout
        if not self.node.roster.owns(f"move/{rollout.id}"):
            return
        now = self.node.clock()
        if stage == "done" and now - entry.term_began_at < MIN_TERM_S:
            return
        if now - self._last_record_at.get(rollout.id, float("-inf")) < RECORD_RETRY_S:
            return
        self._last_record_at[rollout.id] = now
        operations = [
            {"op": "add", "path": f"/moves/{rollout.id}/state", "value": stage},
        ]
        if stage == "done":
            path = f"/models/{rollout.model}/serving"
            operations.append({"op": "replace", "path": path, "value": rollout.new})
        cause = entry.hold_cause if stage == "done" else entry.trigger.cause
        if cause:
            operations.append(
                {
                    "op": "add",
                    "path": f"/moves/{rollout.id}/cause",
                    "value": cause[:MAX_CAUSE_CHARS],
                }
            )
        patch_id = f"move-{rollout.id}-{stage}-{entry.clear_count}"
        base = self._config_version
        self._recorder.submit(self._write, operations, base, patch_id)

    def _write(self, operations, base, patch_id):
        try:
            self.node.submit_patch(operations, base, patch_id, "moves")
        except RequestError as exc:
            self.log.warning(
                "failed to write the outcome of a rollout; will retry",
                why=exc.detail,
            )

    # Peers

    def _push(self):
        now = self.node.clock()
        if now - self._last_push_at < PUSH_PERIOD_S:
            return
        self._last_push_at = now
        rows = self._changed_rows
        if now - self._last_full_push_at >= FULL_PUSH_PERIOD_S:
            self._last_full_push_at = now
            rows = {*self._evidence.rows(), *self._evidence.loads()}
            for entry in self._open_rollouts.values():
                if entry.trigger.is_set:
                    self._send_notice(entry)
        self._changed_rows = set()
        if not rows:
            return
        counts, loads = self._evidence.rows(), self._evidence.loads()
        update = messages.EvidenceUpdate(
            [[*key, *counts[key]] for key in rows if key in counts],
            [[*key, *loads[key]] for key in rows if key in loads],
        )
        for name in self._receivers():
            self.node.tell(name, update)

    def _receivers(self):
        """Return the nodes that need the evidence.

        These are the first two ranked coordinators of each pool with an open
        rollout, and the node that records the rollout's outcome.
        """
        receivers = set()
        for entry in self._open_rollouts.values():
            receivers.add(self.node.roster.owner(f"move/{entry.rollout.id}"))
            for region in set(self.node.view.zones.values()):
                role = f"pool/{entry.rollout.model}/{region}"
                receivers.update(self.node.roster.ranked_nodes(role, region)[:2])
        return receivers - {self.node.cfg.node_name, None}
