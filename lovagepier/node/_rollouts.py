"""The moves actor: merges evidence, holds brakes, publishes shares."""

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from lovagepier.decisions.brake import Brake
from lovagepier.decisions.evidence import Counts, Evidence, Key
from lovagepier.decisions.shares import MoveState, share_at, state_at
from lovagepier.decisions.slowness import SlownessJudge
from lovagepier.errors import RequestError
from lovagepier.node._actors import NodeActor, Tick
from lovagepier.node._members import PeerMessage
from lovagepier.peers import messages

__all__ = ["MovesActor", "Observed"]

PUSH_PERIOD_S = 0.2
FULL_PUSH_PERIOD_S = 2.0
RECORD_PERIOD_S = 1.0
SHOWN_STEPS = 10
FAILED = ("failed", "died", "vanished")


@dataclass(slots=True, frozen=True)
class Observed:
    """An outcome at a pool home: the granted work and how it went."""

    model: str
    version: str
    work: object
    outcome: object


class _Open:
    """One open move with its brake and when it was last told of."""

    __slots__ = ("brake", "clears", "move", "shown", "told")

    def __init__(self, move, clears):
        self.move = move
        self.clears = clears
        self.brake = Brake()
        self.shown = None
        self.told = False


class MovesActor(NodeActor):
    """Computes, from (schedule, time, merged evidence), each model's share."""

    part = "moves"
    handlers = {
        Tick: "on_tick",
        Observed: "on_observed",
        PeerMessage: "on_peer",
    }

    def __init__(self, node):
        super().__init__(node)
        self._evidence = Evidence()
        self._judge = SlownessJudge()
        self._open = {}
        self._version = -1
        self._source = f"{node.cfg.node_name}/{node.boot}"
        self._changed = set()
        self._pushed_at = float("-inf")
        self._full_at = float("-inf")
        self._recorded_at = {}
        self._recorder = ThreadPoolExecutor(1, thread_name_prefix="moves-record")
        self._shares = {}

    # Evidence

    def on_observed(self, message):
        """Count an outcome of a model that is moving, and learn the usual."""
        entry = self._entry(message.model)
        old = entry.move.old if entry else message.version
        outcome = message.outcome
        if outcome.status not in ("ok", "late", *FAILED):
            return
        key = (message.model, message.work.route)
        is_old = message.version == old
        slow = outcome.status == "late" or self._judge.judge(
            key, is_old, message.work, outcome
        )
        if entry is None or message.version not in (old, entry.move.new):
            return
        failed = outcome.status in FAILED
        row = Key(
            self._evidence_id(entry),
            message.version,
            message.work.route,
            self._source,
        )
        self._evidence.count(row, failed, slow and not failed)
        self._changed.add(row)
        self._observe(entry, row, Counts(1, int(failed), int(slow and not failed)))

    def _evidence_id(self, entry):
        # After an operator clears a brake the evidence starts afresh.
        return f"{entry.move.id}#{entry.clears}"

    def _entry(self, model):
        for entry in self._open.values():
            if entry.move.model == model:
                return entry
        return None

    def _observe(self, entry, row, counts):
        if not counts.seen:
            return
        is_new = row.version == entry.move.new
        cause = entry.brake.observe(row.route, is_new, counts, self.node.clock())
        if cause is not None:
            self._on_brake(entry, cause)

    def _on_brake(self, entry, cause):
        move = entry.move
        total = self._evidence.total(self._evidence_id(entry), move.new)
        self.node.timeline.add(
            "moves",
            "brake set",
            why=f"{cause}: {total.failed} failed, {total.slow} slow of {total.seen}",
            move=move.id,
            version=move.new,
        )
        self.log.warning("a brake is set", move=move.id, why=cause)
        self._spread_brake(entry)
        self._publish()

    def _spread_brake(self, entry):
        body = messages.RollbackNotice(entry.move.id, entry.clears, entry.brake.cause)
        for name in self.node.roster.live:
            if name != self.node.cfg.node_name:
                self.node.tell(name, body)

    def on_peer(self, message):
        """Merge rows or a brake from a peer."""
        body = message.body
        if isinstance(body, messages.RollbackNotice):
            self._take_brake(body)
            return
        for move, version, route, source, *numbers in body.rows:
            row = Key(move, version, route, source)
            added = self._evidence.merge(row, Counts(*numbers))
            entry = self._open.get(move.partition("#")[0])
            if entry is not None and self._evidence_id(entry) == move:
                self._observe(entry, row, added)

    def _take_brake(self, body):
        entry = self._open.get(body.move)
        if entry is None or body.clears != entry.clears or entry.brake.is_set:
            return
        entry.brake.set(body.cause)
        self.node.timeline.add(
            "moves", "brake adopted", why=f"a peer: {body.cause}", move=body.move
        )
        self._spread_brake(entry)
        self._publish()

    # Time

    def on_tick(self, _):
        """Follow the configuration, publish shares, push evidence."""
        self._follow_view()
        self._publish()
        self._push()

    def _follow_view(self):
        view = self.node.view
        if view.version == self._version:
            return
        self._version = view.version
        wanted = {
            name: move
            for name, move in view.moves.items()
            if view.move_state(name) == "open"
        }
        for name in list(self._open):
            if name not in wanted:
                self._evidence.forget(self._evidence_id(self._open[name]))
                self._note_end(view, name)
                del self._open[name]
        for name, move in wanted.items():
            clears = view.brake_clears(name)
            entry = self._open.get(name)
            if entry is None or entry.clears != clears:
                self._open[name] = _Open(move, clears)
            else:
                entry.move = move

    def _note_end(self, view, name):
        state = view.move_state(name) if name in view.moves else "removed"
        cause = ""
        if name in view.moves:
            cause = view.document["moves"][name].get("cause", "")
        self.node.timeline.add("moves", f"move {state}", why=cause, move=name)

    def _state(self, entry):
        evidence_id = self._evidence_id(entry)
        new = self._evidence.total(evidence_id, entry.move.new)
        old = self._evidence.total(evidence_id, entry.move.old)
        return MoveState(
            judged=new.seen - new.failed - new.slow,
            all_seen=new.seen + old.seen,
            braked=entry.brake.is_set,
            suspicion=entry.brake.suspicion(),
        )

    def _publish(self):
        now = self.node.wall()
        shares = {}
        for entry in self._open.values():
            state = self._state(entry)
            share = share_at(entry.move, state, now)
            shares[entry.move.model] = (entry.move.old, {entry.move.new: share})
            self._show(entry, state, share, now)
        if shares != self._shares:
            self._shares = shares
            self.node.set_shares(shares)

    def _show(self, entry, state, share, now):
        word = state_at(entry.move, state, now)
        shown = (word, round(share * SHOWN_STEPS))
        if shown != entry.shown:
            entry.shown = shown
            why = f"{state.judged} clean outcomes, suspicion {state.suspicion:.2f}"
            self.node.timeline.add(
                "moves", f"{word} at {share:.0%}", why=why, move=entry.move.id
            )
        self.node.set_move_state(entry.move.id, word, share, entry.brake.cause)
        if word in ("done", "taken-back"):
            self._record(entry, word)

    def _record(self, entry, word):
        """Have the outcome written once, by the node that carries the duty."""
        move = entry.move
        if not self.node.roster.owns(f"move/{move.id}"):
            return
        now = self.node.clock()
        if now - self._recorded_at.get(move.id, float("-inf")) < RECORD_PERIOD_S:
            return
        self._recorded_at[move.id] = now
        operations = [
            {"op": "add", "path": f"/moves/{move.id}/state", "value": word},
        ]
        if word == "done":
            path = f"/models/{move.model}/serving"
            operations.append({"op": "replace", "path": path, "value": move.new})
        else:
            cause = (entry.brake.cause or "")[:300]
            operations.append(
                {"op": "add", "path": f"/moves/{move.id}/cause", "value": cause}
            )
        patch_id = f"move-{move.id}-{word}-{entry.clears}"
        self._recorder.submit(self._write, operations, patch_id)

    def _write(self, operations, patch_id):
        try:
            self.node.submit_patch(operations, None, patch_id, "moves")
        except RequestError as exc:
            self.log.warning("an outcome could not be written yet", why=exc.detail)

    # Peers

    def _push(self):
        now = self.node.clock()
        if now - self._pushed_at < PUSH_PERIOD_S:
            return
        self._pushed_at = now
        rows = self._changed
        if now - self._full_at >= FULL_PUSH_PERIOD_S:
            self._full_at = now
            rows = set(self._evidence.rows())
            for entry in self._open.values():
                if entry.brake.is_set:
                    self._spread_brake(entry)
        self._changed = set()
        if not rows:
            return
        table = self._evidence.rows()
        body = messages.EvidenceUpdate(
            [[*key, *table[key]] for key in rows if key in table]
        )
        for name in self._receivers():
            self.node.tell(name, body)

    def _receivers(self):
        """Return the homes of the moving models, and who records the outcome."""
        names = set()
        for entry in self._open.values():
            names.add(self.node.roster.owner(f"move/{entry.move.id}"))
            for region in set(self.node.view.zones.values()):
                duty = f"pool/{entry.move.model}/{region}"
                names.update(self.node.roster.ranked_nodes(duty, region)[:2])
        return names - {self.node.cfg.node_name, None}
