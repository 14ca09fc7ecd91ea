"""Rollouts of new versions: orders, evidence, rollback and the states in the store.

A rollout moves the traffic of one service to a new version. In logs and settings it
is called a move, and a rollback is called taking it back.
"""

import time
import uuid

from lovagepier import platform
from lovagepier.decisions.rollouts.rollout_plan import (
    RESUMED_WATCH_S,
    RolloutPlan,
    RolloutProgress,
    Stage,
    may_follow,
)
from lovagepier.entry._coordination.version_comparison import VersionComparison
from lovagepier.logs import component_logger

__all__ = ["Rollouts"]

# A state that the store does not show yet is written again after this.
REWRITE_INTERVAL_S = 0.4
# How long after the store came back from an older copy its writers write again what
# the copy lacks.
RESTORE_PERIOD_S = 10.0
# A rollout that others began so long ago has had a canary stage. Clocks may differ by
# less.
EARLIER_BEGIN_S = 2.0
# Numbers in the row of a rollout's progress, before the states of its comparison.
_PROGRESS_COUNTS = 4
_STATE_BY_STAGE = {
    Stage.CANARY: "running",
    Stage.SWITCHED: "running",
    Stage.DONE: "done",
    Stage.ROLLED_BACK: "taken-back",
}

_log = component_logger("moves")


def _is_state_of(order, revision, version):
    """Return whether a stored state is that of an order.

    The order may have been written again in a later era, with another revision.
    """
    if revision == order.revision:
        return True
    earlier = platform.era_of(revision) < platform.era_of(order.revision)
    return earlier and version == order.version


class _Rollout:
    """One ordered rollout.

    `stored_state` is the state that the store shows, None before there is one, and
    `stored_term` the term in which it was written, at `stored_revision`. Another
    coordinator wrote it at `others_wrote_at` as far as this host knows.
    """

    __slots__ = (
        "comparison",
        "has_claimed",
        "has_evidence",
        "last_write",
        "last_write_at",
        "order",
        "others_wrote_at",
        "plan",
        "progress",
        "stored_revision",
        "stored_state",
        "stored_term",
    )

    def __init__(self, order, plan, comparison):
        self.order = order
        self.plan = plan
        self.progress = RolloutProgress()
        self.comparison = comparison
        # Whether it was rolled back because of failures rather than for lack of
        # evidence. A host in a partition sees too few outcomes to roll back for
        # the other hosts.
        self.has_evidence = False
        self.stored_state = None
        self.stored_term = ""
        self.stored_revision = 0
        self.others_wrote_at = float("-inf")
        # Whether the store has shown a state of this host's present term.
        self.has_claimed = False
        self.last_write = None
        self.last_write_at = float("-inf")


class Rollouts:
    """The rollouts of all services, at most one for each.

    `write_state(key, value, expected)` writes a rollout's state to the store if
    the key is still at revision `expected`, 0 if it must not exist.

    A term is a time in which this host is the coordinator without a gap. The
    coordinator of a term first writes that the rollout is running. It ends a rollout
    on the condition that this is still the stored state, so no other coordinator has
    decided anything since. Only a rollback on evidence needs no claim.
    """

    def __init__(self, cfg, view, write_state):
        self._cfg = cfg
        self._view = view
        self._write_state = write_state
        self._rollouts = {}
        # Comparisons of services without a rollout: what is usual before the next.
        self._comparisons = {}
        self._slack_fraction = 1.0
        self._changed = set()
        self._term = uuid.uuid4().hex

    def begin_term(self, now, why):
        """Begin a term as coordinator: nothing decided before is known to hold."""
        self._term = uuid.uuid4().hex
        for service, rollout in self._rollouts.items():
            rollout.has_claimed = False
            rollout.others_wrote_at = float("-inf")
            if rollout.plan.is_confirmed:
                continue
            _log.info(
                "a term as coordinator of a rollout begins",
                service=service,
                why=why,
                term=self._term,
                stage=rollout.plan.stage,
                stored=rollout.stored_state,
                revision=platform.number_of(rollout.stored_revision),
            )
            self._resume(service, rollout, now)

    def _resume(self, service, rollout, now):
        """Decide again what is not stored yet, with the outcomes from now on."""
        if rollout.has_evidence:
            return
        before = rollout.plan.stage
        rollout.plan.resume(rollout.progress, now)
        if rollout.plan.stage != before:
            self._changed.add(service)
            _log.info(
                "an end that is not stored is decided again",
                service=service,
                before=before,
                stage=rollout.plan.stage,
            )

    def refresh(self, now):
        """Begin newly ordered rollouts and adopt the states found in the store."""
        for service, order in self._view.orders.items():
            rollout = self._rollouts.get(service)
            if rollout is not None and self._is_written_again(rollout, order, now):
                rollout.order = order
                rollout.stored_state = None
            elif rollout is None or rollout.order.revision < order.revision:
                self._begin_known(order, now)
                continue
            self._read_state(self._rollouts[service], now)

    def _begin_known(self, order, now):
        """Begin a rollout, which other hosts may have begun earlier."""
        rollout = self._rollouts[order.service] = self._begin(order, now)
        rollout.progress.slack_fraction = self._slack_fraction
        self._read_state(rollout, now)
        if now - rollout.plan.began >= EARLIER_BEGIN_S:
            rollout.plan.assume_canary(rollout.progress)
            rollout.plan.resume(rollout.progress, now)

    def set_slack_fraction(self, fraction):
        """Set this host's part of the exposure slack while several coordinate."""
        self._slack_fraction = fraction
        for rollout in self._rollouts.values():
            rollout.progress.slack_fraction = fraction

    def _is_written_again(self, rollout, order, now):
        """Return whether an order is the known one, from a copy of the store.

        Its revision is of a later era: it was in the copy, or is written again because
        the copy lacks it.
        """
        restored_at = self._view.restored_at
        if restored_at is None or now - restored_at >= RESTORE_PERIOD_S:
            return False
        known = rollout.order
        return known.revision < order.revision and (
            (known.version, known.duration_s) == (order.version, order.duration_s)
        )

    def _begin(self, order, now):
        _log.info(
            "rollout ordered",
            service=order.service,
            version=order.version,
            duration=order.duration_s,
            revision=order.revision,
        )
        plan = RolloutPlan(
            order.duration_s,
            self._cfg.moves_exposure_share,
            self._cfg.moves_exposure_slack,
            now,
        )
        comparison = self._comparisons.pop(order.service, None)
        return _Rollout(order, plan, comparison or VersionComparison())

    def _read_state(self, rollout, now):
        item = self._view.rollout_state(rollout.order.service)
        if item is None:
            rollout.stored_state = None
            return
        try:
            revision, version, state, begun = platform.decode_rollout_state(item.value)
        except platform.DocumentError:
            # The view has logged it; the state is written again.
            rollout.stored_state = None
            return
        if not _is_state_of(rollout.order, revision, version):
            return
        if revision == rollout.order.revision:
            rollout.stored_state = state
            self._note_writer(rollout, item, now)
        if state != "running":
            self._adopt_end(rollout, state)
        elif begun:
            # Another coordinator began it, so its start time is used.
            elapsed = max(time.time() - begun, 0.0)
            if elapsed < rollout.order.duration_s:
                now = self._view.last_answer_at or rollout.plan.began
                rollout.plan.began = min(rollout.plan.began, now - elapsed)

    def _note_writer(self, rollout, item, now):
        """Note who wrote the stored state; another coordinator has outcomes, too."""
        if item.revision == rollout.stored_revision:
            return
        rollout.stored_revision = item.revision
        rollout.stored_term = platform.rollout_state_term(item.value)
        if rollout.stored_term == self._term:
            rollout.has_claimed = True
            return
        rollout.others_wrote_at = now
        if rollout.stored_state == "running":
            self._resume(rollout.order.service, rollout, now)

    def _adopt_end(self, rollout, state):
        """Adopt the end that the store states, also against this host's evidence.

        The platform has acted on it.
        """
        stage = Stage.DONE if state == "done" else Stage.ROLLED_BACK
        before = rollout.plan.stage
        if not rollout.plan.confirm(stage):
            _log.error(
                "the store states another end of a rollout than before",
                service=rollout.order.service,
                stage=before,
                stored=state,
                revision=platform.number_of(rollout.stored_revision),
            )
        elif before != stage:
            rollout.plan.cause = f"the store states {state}"
            self._changed.add(rollout.order.service)
            _log.info(
                "adopted the end of a rollout from the store",
                service=rollout.order.service,
                before=before,
                stage=stage,
                had_evidence=rollout.has_evidence,
                revision=platform.number_of(rollout.stored_revision),
            )

    def take_changed(self):
        """Return the services whose rollout changed its stage since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def _open(self, service):
        """Return the rollout of a service that can still be rolled back, or None."""
        rollout = self._rollouts.get(service)
        return rollout if rollout is not None and rollout.plan.is_open else None

    def version_label(self, target):
        """Return "old" or "new" during a rollout and "" without one.

        Returns None if the target must get no work: it runs the old version after
        the rollout, or the new version after a rollback.
        """
        rollout = self._rollouts.get(target.service)
        if rollout is None:
            return ""
        is_new = target.version == rollout.order.version
        if rollout.plan.is_open:
            return "new" if is_new else "old"
        has_ended_on = rollout.plan.stage == Stage.DONE
        return "" if is_new == has_ended_on else None

    def share(self, service, now):
        """Return the new version's share of requests, None without an open rollout."""
        rollout = self._open(service)
        return None if rollout is None else rollout.plan.share(rollout.progress)

    # Evidence

    def count_sent(self, service):
        """Count a request to a service, until a dispatch of it has reached a target.

        Retries after that do not count again.
        """
        rollout = self._open(service)
        if rollout is not None:
            rollout.progress.sent += 1

    def count_new(self, service):
        """Count a dispatch to the new version of a service."""
        rollout = self._open(service)
        if rollout is not None:
            rollout.progress.sent_new += 1

    def observe(self, service, version, work, outcome, now):
        """Record an outcome and roll back once the new version is found to be bad.

        Without a rollout, outcomes show what is usual before the next one.
        """
        rollout = self._open(service)
        is_new = version == "new"
        if rollout is not None:
            cause = rollout.comparison.observe(
                rollout.progress, is_new, work, outcome, now
            )
            if cause is not None:
                self.roll_back(service, rollout.order.revision, cause)
        elif not is_new:
            comparison = self._comparisons.setdefault(service, VersionComparison())
            comparison.observe(None, False, work, outcome, now)

    def roll_back(self, service, revision, cause):
        """Roll back on evidence from this host or a peer, if the order still stands."""
        rollout = self._open(service)
        if rollout is None or rollout.order.revision != revision:
            return
        rollout.plan.roll_back(cause)
        rollout.has_evidence = True
        self._changed.add(service)
        _log.warning(
            "a version is taken back",
            service=service,
            version=rollout.order.version,
            cause=cause,
            sent=rollout.progress.sent,
            sent_new=rollout.progress.sent_new,
        )

    def rollbacks(self):
        """Return [service, order revision, cause] of rollbacks based on evidence."""
        return [
            [service, rollout.order.revision, rollout.plan.cause]
            for service, rollout in self._rollouts.items()
            if rollout.plan.stage == Stage.ROLLED_BACK and rollout.has_evidence
        ]

    def progress_rows(self):
        """Return the evidence of open rollouts as the rows of a `Roster`."""
        return [
            [
                service,
                rollout.order.revision,
                rollout.progress.sent,
                rollout.progress.sent_new,
                rollout.progress.outcomes_new,
                rollout.progress.failed_new,
                [
                    rollout.comparison.slowness.thresholds(),
                    rollout.comparison.trigger.state(),
                ],
                rollout.comparison.left.state(),
            ]
            for service, rollout in self._rollouts.items()
            if self._open(service) is not None
        ]

    def merge_progress(self, rows):
        """Adopt the coordinator's evidence, so that a successor continues from it."""
        for row in rows:
            try:
                self._merge_row(*row)
            except (AttributeError, LookupError, TypeError, ValueError) as exc:
                _log.warning("could not read the progress of a rollout", exc_info=exc)

    def _merge_row(self, service, revision, *counts):
        rollout = self._open(service)
        if rollout is None or rollout.order.revision != revision:
            return
        known = rollout.progress
        merged = [
            max(own, int(other))
            for own, other in zip(
                (known.sent, known.sent_new, known.outcomes_new, known.failed_new),
                counts[:_PROGRESS_COUNTS],
                strict=True,
            )
        ]
        if len(counts) > _PROGRESS_COUNTS:
            rollout.comparison.adopt(*counts[_PROGRESS_COUNTS], *counts[5:6])
        known.sent, known.sent_new, known.outcomes_new, known.failed_new = merged

    # Work of the coordinator in use

    def step(self, old_running, now):
        """Advance each open rollout and log a change of its stage.

        `old_running(service)` returns how many requests the old version runs.
        """
        for service, rollout in self._rollouts.items():
            before = rollout.plan.stage
            if before in (Stage.CANARY, Stage.SWITCHED):
                self._advance(service, rollout, old_running, now)
            if rollout.plan.stage != before:
                self._changed.add(service)
                failed = rollout.progress.failed_new
                rollout.has_evidence = (
                    rollout.plan.stage == Stage.ROLLED_BACK and failed > 0
                )
                _log.info(
                    "rollout changed stage",
                    service=service,
                    stage=rollout.plan.stage,
                    sent=rollout.progress.sent,
                    sent_new=rollout.progress.sent_new,
                    suspicion=round(rollout.progress.suspicion, 2),
                    score=round(rollout.progress.score, 2),
                )

    def _advance(self, service, rollout, old_running, now):
        rollout.progress.old_running = old_running(service)
        rollout.progress.suspicion = rollout.comparison.trigger.overall_suspicion()
        rollout.progress.score = rollout.comparison.score()
        rollout.progress.new_ready = any(
            target.service == service
            and target.version == rollout.order.version
            and not target.draining
            and not self._view.evacuations.holds(target)
            for target in self._view.targets.values()
        )
        rollout.plan.step(rollout.progress, now)

    def write_states(self, now):
        """Write the states that the store does not show yet."""
        for service, rollout in self._rollouts.items():
            state = self._next_state(rollout, now)
            if state is None:
                continue
            item = self._view.rollout_state(service)
            write = (state, item.revision if item else 0)
            is_repeated = write == rollout.last_write
            if is_repeated and now - rollout.last_write_at < REWRITE_INTERVAL_S:
                continue
            rollout.last_write, rollout.last_write_at = write, now
            began_ago = now - rollout.plan.began
            value = platform.encode_rollout_state(
                rollout.order,
                state,
                time.time() - began_ago,
                rollout.plan.cause,
                self._term,
            )
            self._write_state(platform.rollout_state_key(service), value, write[1])

    def _next_state(self, rollout, now):
        """Return the state to write, or None if the stored one stays."""
        state = _STATE_BY_STAGE[rollout.plan.stage]
        if not may_follow(rollout.stored_state, state):
            return None
        is_running = rollout.stored_state == "running"
        is_own = is_running and rollout.stored_term == self._term
        if state == "running":
            is_stored = is_running and rollout.has_claimed
        elif is_own or rollout.has_evidence or rollout.plan.is_confirmed:
            return state
        else:
            is_stored = False
        # The coordinator that wrote last may be about to end the rollout.
        is_due = now - rollout.others_wrote_at >= RESUMED_WATCH_S
        return None if is_stored or not is_due else "running"
