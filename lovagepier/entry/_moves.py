"""Moves between versions: orders, evidence, the brake and what is told of them."""

import time

from lovagepier import platform
from lovagepier.decisions.brake import Brake
from lovagepier.decisions.evidence import Counts
from lovagepier.decisions.moving import MovePlan, MoveProgress, Stage
from lovagepier.decisions.slowness import SlownessJudge
from lovagepier.logs import component_logger

__all__ = ["Moves"]

# A state that could not be written is written again after this.
REWRITE_S = 0.4
_BAD = ("failed", "vanished", "late")
_GOOD = ("ok",)
_STATE_OF = {
    Stage.TRIAL: "running",
    Stage.SWITCHED: "running",
    Stage.DONE: "done",
    Stage.TAKEN_BACK: "taken-back",
}

_log = component_logger("moves")


class _Move:
    __slots__ = (
        "brake",
        "judge",
        "order",
        "plan",
        "progress",
        "proven",
        "told",
        "tried_at",
    )

    def __init__(self, order, plan):
        self.order = order
        self.plan = plan
        self.progress = MoveProgress()
        self.brake = Brake()
        self.judge = SlownessJudge()
        # Whether it was taken back on evidence, not for want of it: a host that is
        # cut off sees too little to speak for the others.
        self.proven = False
        self.told = None
        self.tried_at = float("-inf")


class Moves:
    """The moves of all services; `write_state(key, value, expected)` tells one."""

    def __init__(self, cfg, view, write_state):
        self._cfg = cfg
        self._view = view
        self._write_state = write_state
        self._moves = {}
        self.active = False

    def refresh(self, now):
        """Take new orders up and told outcomes over."""
        for service, order in self._view.orders.items():
            move = self._moves.get(service)
            if move is None or move.order.revision < order.revision:
                self._moves[service] = self._begin(order, now)
            self._read_state(self._moves[service])

    def _begin(self, order, now):
        _log.info(
            "order to move",
            service=order.service,
            version=order.version,
            duration=order.duration_s,
            revision=order.revision,
        )
        plan = MovePlan(
            order.duration_s,
            self._cfg.moves_exposure_share,
            self._cfg.moves_exposure_slack,
            now,
        )
        return _Move(order, plan)

    def _read_state(self, move):
        item = self._view.move_state(move.order.service)
        if item is None:
            return
        try:
            revision, state, begun = platform.decode_rollout_state(item.value)
        except platform.DocumentError as exc:
            _log.warning("could not read a move's state", why=str(exc))
            return
        if revision != move.order.revision:
            return
        move.told = state
        if state == "done":
            move.plan.stage = Stage.DONE
        elif state == "taken-back":
            move.plan.take_back("told so in the store")
        elif begun:
            # Another home began it; its clock is the best there is.
            elapsed = max(time.time() - begun, 0.0)
            if elapsed < move.order.duration_s:
                now = self._view.heard_at or move.plan.began
                move.plan.began = min(move.plan.began, now - elapsed)

    def _open(self, service):
        move = self._moves.get(service)
        if move is None or move.plan.stage in (Stage.DONE, Stage.TAKEN_BACK):
            return None
        return move

    def label(self, target):
        """Return "old", "new", "" without a move, None where no work may go."""
        move = self._moves.get(target.service)
        if move is None:
            return ""
        is_new = target.version == move.order.version
        if move.plan.stage == Stage.DONE:
            return "" if is_new else None
        if move.plan.stage == Stage.TAKEN_BACK:
            return None if is_new else ""
        return "new" if is_new else "old"

    def share(self, service, now):
        """Return the new version's share, or None without an open move."""
        move = self._open(service)
        return None if move is None else move.plan.share(move.progress)

    # Evidence

    def count_sent(self, service):
        """Count a request of a service."""
        move = self._open(service)
        if move is not None:
            move.progress.sent += 1

    def count_new(self, service):
        """Count a dispatch to the new version."""
        move = self._open(service)
        if move is not None:
            move.progress.sent_new += 1

    def observe(self, service, version, work, outcome, now):
        """Fold one outcome in; the brake may be set by it."""
        move = self._open(service)
        if move is None or outcome.status not in (*_GOOD, *_BAD):
            return
        is_new = version == "new"
        failed = outcome.status in _BAD
        slow = not failed and move.judge.judge(work.route, not is_new, work, outcome)
        move.progress.outcomes_new += is_new
        move.progress.failed_new += is_new and failed
        counts = Counts(1, int(failed), int(slow))
        cause = move.brake.observe(work.route, is_new, counts, now)
        if cause is not None and is_new:
            self.take_back(service, move.order.revision, cause)

    def take_back(self, service, revision, cause):
        """End a move, as found here or told by a peer."""
        move = self._open(service)
        if move is None or move.order.revision != revision:
            return
        move.plan.take_back(cause)
        move.proven = True
        _log.warning(
            "a version is taken back",
            service=service,
            version=move.order.version,
            cause=cause,
            sent=move.progress.sent,
            sent_new=move.progress.sent_new,
        )

    def brakes(self):
        """Return the moves that evidence took back as rows for peers."""
        return [
            [service, move.order.revision, move.plan.cause]
            for service, move in self._moves.items()
            if move.plan.stage == Stage.TAKEN_BACK and move.proven
        ]

    def progress(self):
        """Return what open moves are judged on as rows for the next home."""
        return [
            [
                service,
                move.order.revision,
                move.progress.sent,
                move.progress.sent_new,
                move.progress.outcomes_new,
                move.progress.failed_new,
            ]
            for service, move in self._moves.items()
            if self._open(service) is not None
        ]

    def adopt(self, rows):
        """Take over what the home counted; a successor goes on from there."""
        for service, revision, *counts in rows:
            move = self._open(service)
            if move is None or move.order.revision != revision:
                continue
            known = move.progress
            known.sent = max(known.sent, counts[0])
            known.sent_new = max(known.sent_new, counts[1])
            known.outcomes_new = max(known.outcomes_new, counts[2])
            known.failed_new = max(known.failed_new, counts[3])

    # Duty

    def step(self, old_running, now):
        """Carry each open move on and tell what changed; the home's duty."""
        for service, move in self._moves.items():
            before = move.plan.stage
            if before in (Stage.TRIAL, Stage.SWITCHED):
                self._advance(service, move, old_running, now)
            if move.plan.stage != before:
                failed = move.progress.failed_new
                move.proven = move.plan.stage == Stage.TAKEN_BACK and failed > 0
                _log.info(
                    "a move goes on",
                    service=service,
                    stage=move.plan.stage,
                    sent=move.progress.sent,
                    sent_new=move.progress.sent_new,
                )

    def _advance(self, service, move, old_running, now):
        move.progress.old_running = old_running(service)
        move.progress.new_ready = any(
            target.service == service
            and target.version == move.order.version
            and not target.draining
            for target in self._view.targets.values()
        )
        move.plan.step(move.progress, now)

    def tell(self, now):
        """Write the states that the store does not have yet (the home's duty)."""
        for service, move in self._moves.items():
            wanted = _STATE_OF[move.plan.stage]
            if move.told == wanted or now - move.tried_at < REWRITE_S:
                continue
            move.tried_at = now
            item = self._view.move_state(service)
            began_ago = now - move.plan.began
            self._write_state(
                platform.rollout_state_key(service),
                platform.encode_rollout_state(
                    move.order, wanted, time.time() - began_ago, move.plan.cause
                ),
                item.revision if item else 0,
            )
