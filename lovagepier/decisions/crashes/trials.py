"""Trials of requests that may crash targets, and what their runs prove."""

from lovagepier.decisions.crashes.poison import PoisonDetector, Run, part_key

__all__ = ["Trials"]

# A trial that takes longer than this no longer holds up the suspect's other requests.
MAX_TRIAL_S = 2.0
# Targets crash soon after they began an answer. If it began longer ago than this, the
# request is less likely to be the cause.
ANSWER_SETTLED_S = 1.0
# Lost requests remembered for each target.
MAX_VANISHED = 64
# Requests that a target lost this long before it was seen to restart count as
# running when it crashed.
VANISHED_WINDOW_S = 5.0


class Trials:
    """Applies a `PoisonDetector` to the requests of one pool.

    `dispatched` is the pool's `DispatchLog`. The `detector` may be shared by pools.
    """

    __slots__ = ("_dispatched", "_seen_verdicts", "detector")

    def __init__(self, dispatched):
        self.detector = PoisonDetector()
        self._dispatched = dispatched
        self._seen_verdicts = 0

    # Requests

    def is_poison(self, work):
        """Return whether `work` must be refused."""
        if not len(self.detector):
            return False
        return any(self.detector.is_poison(name) for name in _names(work))

    def is_suspect(self, work):
        """Return whether `work` must not run beside other suspects."""
        return bool(self._suspect_names(work))

    def _suspect_names(self, work):
        if not len(self.detector):
            return []
        return [name for name in _names(work) if self.detector.is_suspect(name)]

    def awaits_trial(self, work, now):
        """Return whether a suspect waits for the trial of another request with it.

        If all of them ran at once, each could crash a target.
        """
        suspects = set(self._suspect_names(work))
        if not suspects:
            return False
        return any(
            now - item.granted_at < MAX_TRIAL_S
            and not suspects.isdisjoint(_names(item.work))
            for item in self._dispatched.values()
        )

    def targets_with_suspects(self):
        """Return the names of targets where a suspect runs.

        If a target with two suspects crashed, which one did it would stay unknown.
        """
        return {
            item.target
            for item in self._dispatched.values()
            if self.is_suspect(item.work)
        }

    def has_new_verdicts(self):
        """Return whether more was proved poisonous since the last call."""
        seen, self._seen_verdicts = self._seen_verdicts, self.detector.verdicts
        return seen != self._seen_verdicts

    # Evidence

    def on_success(self, work):
        """Clear what a completed request held."""
        self.detector.on_success(work.fingerprint, _part_keys(work))

    def on_lost(self, state, running, now):
        """Remember a request that its target lost, in case that has crashed."""
        state.vanished = state.vanished[-MAX_VANISHED:]
        state.vanished.append((_run_of(running, now), now))

    def on_crash(self, state, crash_id, now):
        """Record the requests that a target lost in a crash, if any.

        Returns the newly poisoned names.
        """
        lost = [item for item, at in state.vanished if now - at <= VANISHED_WINDOW_S]
        state.vanished = []
        if not lost:
            return []
        beside = [
            _run_of(running, now)
            for running in map(self._dispatched.get, state.running)
            if running is not None
        ]
        return self.detector.on_crash(crash_id, lost, now, beside)


def _part_keys(work):
    return [part_key(part) for part in work.parts]


def _names(work):
    """Return the names under which `work` can be a suspect of a crash."""
    return [work.fingerprint, *_part_keys(work)]


def _run_of(running, now):
    """Return the `Run` that a crash may blame for a `Running` entry."""
    began_at = running.first_byte_at
    return Run(
        running.work.fingerprint,
        _part_keys(running.work),
        running.on_trial,
        began_at is not None and now - began_at >= ANSWER_SETTLED_S,
    )
