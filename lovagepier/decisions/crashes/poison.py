"""Detection of poison: request bodies and parts of prompts that crash targets."""

from collections import OrderedDict, deque

__all__ = ["Crash", "PoisonDetector", "Run", "part_key"]

_MAX_SUSPECTS = 10_000
# Parts remembered as harmless; the ones that completed last stay.
_MAX_HARMLESS_PARTS = 20_000
# Suspects sent to other hosts.
MAX_SUSPECT_ROWS = 200
# Crashes kept for the log until they are taken, and those that a trial explains.
_MAX_CRASHES = 100
# Trials that a part must fail. A false verdict on a part refuses many requests.
MIN_FAILED_TRIALS = 2


def part_key(part):
    """Return the name under which a part of a prompt is suspected."""
    return f"part:{part}"


class Crash:
    """A target's crash as it was recorded, for the log.

    `id` identifies the target and its incarnation, `suspects` are the names that it
    made or kept suspects, `poisoned` those that it proved poisonous. `explained`
    tells whether a suspect on trial explains it.
    """

    __slots__ = ("explained", "id", "poisoned", "suspects")

    def __init__(self, crash_id, suspects, poisoned, explained):
        self.id = crash_id
        self.suspects = suspects
        self.poisoned = poisoned
        self.explained = explained


class Run:
    """One request that ran on a target when it crashed.

    `body` is its fingerprint and `parts` are the `part_key`s that it may share with
    others. `on_trial` tells whether it was known to have a suspect when it started,
    `settled` whether its answer had begun long before the crash.
    """

    __slots__ = ("body", "on_trial", "parts", "settled")

    def __init__(self, body, parts=(), on_trial=False, settled=False):
        self.body = body
        self.parts = parts
        self.on_trial = on_trial
        self.settled = settled

    def names(self):
        """Return the names under which the run can be suspected."""
        return [name for name in (self.body, *self.parts) if name]


class _Suspect:
    """What is known of a name; `at` is the time of the last crash.

    `crashes` are the crashes that it may have caused, `failed_trials` those that
    happened while it was on trial. Only an `active` suspect is kept apart.
    """

    __slots__ = ("active", "at", "crashes", "failed_trials", "poisoned")

    def __init__(self, at):
        self.at = at
        self.active = False
        self.crashes = set()
        self.failed_trials = set()
        self.poisoned = False


class PoisonDetector:
    """Tracks suspects: bodies by fingerprint, parts of prompts by `part_key`.

    Every request that ran on a target when it crashed makes its body and its parts
    suspects, except for parts known to be harmless: a poisonous one never completes.
    Most crashes come as an answer begins, so requests whose answer had begun long
    before become active suspects only by a second crash.

    An active suspect is tried: one request with it at a time, on a target without
    other suspects. If the target crashes, only suspects on trial there are blamed. A
    request that completes clears its body and its parts.

    Poisoned, which means refused, is a body that takes part in a second crash as the
    only suspect there, or in `max_crashes` crashes in all, and a part that fails
    `MIN_FAILED_TRIALS` trials. That clears others of the same crashes. Names age out
    `age_seconds` after their last crash.

    `verdicts` counts the names that became poisoned, `revision` all changes.
    """

    __slots__ = (
        "_age",
        "_crashes",
        "_explained",
        "_harmless",
        "_max_crashes",
        "_suspects",
        "revision",
        "verdicts",
    )

    def __init__(self, max_crashes=3, age_seconds=3600.0):
        self._max_crashes = max_crashes
        self._age = age_seconds
        self._suspects = OrderedDict()
        self._harmless = OrderedDict()
        self._crashes = deque(maxlen=_MAX_CRASHES)
        self._explained = deque(maxlen=_MAX_CRASHES)
        self.verdicts = 0
        self.revision = 0

    def __len__(self):
        """The number of suspects, poisoned ones included."""
        return len(self._suspects)

    def is_suspect(self, name):
        """Return whether a request with `name` must not run beside other suspects."""
        suspect = self._suspects.get(name)
        return suspect is not None and suspect.active

    def is_poison(self, name):
        """Return whether a request with `name` must be refused."""
        suspect = self._suspects.get(name)
        return suspect is not None and suspect.poisoned

    # Evidence

    def on_crash(self, crash_id, running, now, beside=()):
        """Record the crash of a target while the `Run`s `running` ran there.

        `crash_id` identifies the target and its incarnation: a crash may be reported
        several times, each time with other runs, and counts once for a name. `beside`
        are runs that may have been there, too. Returns the newly poisoned names.
        """
        self.drop_aged(now)
        blamed, explained = self._blame(crash_id, running, beside)
        known = [r for r in (*running, *beside) if self._is_known(r, crash_id)]
        alone = len(known) == 1
        for name, run in blamed.items():
            suspect = self._suspects.setdefault(name, _Suspect(now))
            suspect.crashes.add(crash_id)
            suspect.at = now
            if not run.settled or len(suspect.crashes) > 1:
                suspect.active = True
            if run.on_trial:
                suspect.failed_trials.add(crash_id)
        poisoned = [
            name
            for name, run in blamed.items()
            if not self.is_poison(name) and self._is_proved(name, run, alone)
        ]
        proved = [self._suspects[name] for name in poisoned]
        for suspect in proved:
            self._mark_poisoned(suspect)
        for suspect in proved:
            self._clear_explained(suspect.crashes)
        while len(self._suspects) > _MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        poisoned.sort()
        self.revision += 1
        self._crashes.append(Crash(crash_id, sorted(blamed), poisoned, explained))
        return poisoned

    def _blame(self, crash_id, running, beside):
        """Return ({name: run} of what may have caused a crash, whether a trial did).

        Runs with a suspect are blamed before others.
        """
        on_trial = [run for run in running if run.on_trial]
        if on_trial and crash_id not in self._explained:
            self._explained.append(crash_id)
        if on_trial:
            return self._names(on_trial, self._may_harm), True
        if crash_id in self._explained or any(run.on_trial for run in beside):
            return {}, True
        known = [run for run in running if self._is_known(run, crash_id)]
        if known:
            return self._names(known, self.is_suspect), False
        return self._names(running, self._may_harm), False

    def _may_harm(self, name):
        return name not in self._harmless

    def _names(self, runs, wanted):
        """Return {name: run} for the wanted names; the latest runs come first."""
        ordered = sorted(runs, key=lambda run: not run.settled)
        return {name: run for run in ordered for name in run.names() if wanted(name)}

    def _is_known(self, run, crash_id):
        """Return whether a run has a suspect from before this crash."""
        return any(
            self.is_suspect(name) and self._suspects[name].crashes != {crash_id}
            for name in run.names()
        )

    def _is_proved(self, name, run, alone):
        suspect = self._suspects[name]
        if name in run.parts:
            return self._is_proved_part(name, run)
        if len(suspect.crashes) >= self._max_crashes:
            return True
        return alone and len(suspect.crashes) >= 2

    def _is_proved_part(self, name, run):
        """Return whether a part's trials show it, and no other part, to be poisonous.

        Of two parts that failed the same trials it is the later one in the prompt:
        had it been the earlier one, other requests with that would have failed, too.
        """
        trials = len(self._suspects[name].failed_trials)
        if trials < MIN_FAILED_TRIALS:
            return False
        for part in run.parts[run.parts.index(name) + 1 :]:
            if self._failed_trials(part) >= trials:
                return False
        return all(self._failed_trials(part) <= trials for part in run.parts)

    def _failed_trials(self, name):
        suspect = self._suspects.get(name)
        return 0 if suspect is None else len(suspect.failed_trials)

    def _clear_explained(self, crashes):
        """Clear other suspects of the crashes that a poisonous one explains."""
        for name, suspect in list(self._suspects.items()):
            if suspect.poisoned or suspect.crashes.isdisjoint(crashes):
                continue
            suspect.crashes -= crashes
            suspect.failed_trials -= crashes
            if not suspect.crashes:
                del self._suspects[name]

    def _mark_poisoned(self, suspect):
        if not suspect.poisoned:
            suspect.poisoned = True
            suspect.active = True
            self.verdicts += 1

    def on_success(self, body, parts=()):
        """Clear what a completed request held; what is poisoned stays."""
        for name in (body, *parts):
            suspect = self._suspects.get(name)
            if suspect is not None and not suspect.poisoned:
                del self._suspects[name]
                self.revision += 1
        for name in parts:
            self._harmless[name] = None
            self._harmless.move_to_end(name)
        while len(self._harmless) > _MAX_HARMLESS_PARTS:
            self._harmless.popitem(last=False)

    def take_crashes(self):
        """Return the crashes recorded since the last call, oldest first."""
        crashes = list(self._crashes)
        self._crashes.clear()
        return crashes

    def drop_aged(self, now):
        """Drop the names whose last crash is too long ago."""
        old = [n for n, item in self._suspects.items() if now - item.at > self._age]
        for name in old:
            del self._suspects[name]

    # Exchange with other hosts

    def merge(self, name, crashes, poisoned, now, failed_trials=(), active=True):
        """Merge another host's record of a suspect; never clears anything."""
        suspect = self._suspects.setdefault(name, _Suspect(now))
        suspect.crashes.update(crashes)
        suspect.failed_trials.update(failed_trials)
        suspect.active = suspect.active or active
        self.revision += 1
        if poisoned:
            self._mark_poisoned(suspect)

    def merge_poisoned(self, names, now):
        """Merge verdicts of other hosts or of the store."""
        for name in names:
            if not self.is_poison(name):
                self.merge(name, (), True, now)

    def poisoned(self):
        """Return the poisoned names."""
        return [name for name, item in self._suspects.items() if item.poisoned]

    def suspect_rows(self):
        """Return rows of the latest unproven suspects.

        A row holds the name, the ids of its crashes and of its failed trials, and
        whether it is active.
        """
        rows = [
            [name, sorted(item.crashes), sorted(item.failed_trials), item.active]
            for name, item in self._suspects.items()
            if not item.poisoned
        ]
        return rows[-MAX_SUSPECT_ROWS:]

    def merge_rows(self, rows, now):
        """Merge the `suspect_rows` of another host."""
        for name, crashes, failed_trials, active in rows:
            self.merge(name, crashes, False, now, failed_trials, active)

    def replace_rows(self, rows, now):
        """Replace the unproven suspects by another host's, which decides for this."""
        for name in [n for n, item in self._suspects.items() if not item.poisoned]:
            del self._suspects[name]
        self.merge_rows(rows, now)
