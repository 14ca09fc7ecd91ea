"""Detection of poison requests: request bodies that crash targets."""

from collections import OrderedDict, deque

__all__ = ["Crash", "PoisonDetector"]

_MAX_SUSPECTS = 10_000
# Suspects told to other hosts.
MAX_SUSPECT_ROWS = 200
# Crashes kept for the log until they are taken.
_MAX_UNREAD_CRASHES = 100


class Crash:
    """A target's crash as it was recorded, for the log.

    `id` identifies the target and its incarnation, `suspects` are the fingerprints
    that it made or kept suspects, `poisoned` those that it proved poisonous.
    """

    __slots__ = ("id", "poisoned", "suspects")

    def __init__(self, crash_id, suspects, poisoned):
        self.id = crash_id
        self.suspects = suspects
        self.poisoned = poisoned


class _Suspect:
    """The crashes during which a fingerprint ran; `at` is the time of the last."""

    __slots__ = ("at", "crashes", "poisoned")

    def __init__(self, at):
        self.at = at
        self.crashes = set()
        self.poisoned = False


class PoisonDetector:
    """Tracks suspects by the fingerprint of their body.

    Every request that runs on a target when it crashes becomes a suspect. From then
    on no two suspects run on the same target. A suspect that completes is cleared.
    One that takes part in a second crash as the only suspect there, or in
    `max_crashes` crashes in all, is poisoned, which means refused. Fingerprints age
    out `age_seconds` after their last crash, checked whenever a crash is recorded.

    `verdicts` counts the fingerprints that became poisoned, `revision` all changes.
    """

    __slots__ = (
        "_age",
        "_crashes",
        "_max_crashes",
        "_suspects",
        "revision",
        "verdicts",
    )

    def __init__(self, max_crashes=3, age_seconds=3600.0):
        self._max_crashes = max_crashes
        self._age = age_seconds
        self._suspects = OrderedDict()
        self._crashes = deque(maxlen=_MAX_UNREAD_CRASHES)
        self.verdicts = 0
        self.revision = 0

    def is_suspect(self, fingerprint):
        """Return whether a fingerprint must not run beside other suspects."""
        return fingerprint in self._suspects

    def is_poison(self, fingerprint):
        """Return whether a fingerprint must be refused."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.poisoned

    def on_crash(self, crash_id, running, now, beside=()):
        """Record the crash of a target while the fingerprints `running` ran there.

        `crash_id` identifies the target and its incarnation, so a crash reported
        twice counts once. `beside` may have run there, too. Returns the newly
        poisoned fingerprints.
        """
        self._drop_aged(now)
        self.revision += 1
        fingerprints = {name for name in running if name}
        known = {name for name in (*fingerprints, *beside) if name in self._suspects}
        poisoned = []
        for name in fingerprints:
            suspect = self._suspects.setdefault(name, _Suspect(now))
            suspect.crashes.add(crash_id)
            suspect.at = now
            alone = len(suspect.crashes) >= 2 and known == {name}
            if alone or len(suspect.crashes) >= self._max_crashes:
                if not suspect.poisoned:
                    poisoned.append(name)
                self._convict(suspect)
        while len(self._suspects) > _MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        poisoned.sort()
        self._crashes.append(Crash(crash_id, sorted(fingerprints), poisoned))
        return poisoned

    def take_crashes(self):
        """Return the crashes recorded since the last call, oldest first."""
        crashes = list(self._crashes)
        self._crashes.clear()
        return crashes

    def on_success(self, fingerprint):
        """Clear a suspect that completed; a poisoned one stays."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and not suspect.poisoned:
            del self._suspects[fingerprint]
            self.revision += 1

    def merge(self, fingerprint, crashes, poisoned, now):
        """Merge a peer's record of a suspect; never clears anything."""
        suspect = self._suspects.setdefault(fingerprint, _Suspect(now))
        suspect.crashes.update(crashes)
        self.revision += 1
        if poisoned:
            self._convict(suspect)

    def _convict(self, suspect):
        if not suspect.poisoned:
            suspect.poisoned = True
            self.verdicts += 1

    def poisoned(self):
        """Return the poisoned fingerprints."""
        return [name for name, item in self._suspects.items() if item.poisoned]

    def suspect_rows(self):
        """Return [fingerprint, crash ids] rows of the latest unproven suspects."""
        rows = [
            [name, sorted(item.crashes)]
            for name, item in self._suspects.items()
            if not item.poisoned
        ]
        return rows[-MAX_SUSPECT_ROWS:]

    def merge_rows(self, rows, now):
        """Merge the `suspect_rows` of another host."""
        for name, crashes in rows:
            self.merge(name, crashes, False, now)

    def replace_rows(self, rows, now):
        """Replace the unproven suspects by another host's, which decides for this."""
        for name in [n for n, item in self._suspects.items() if not item.poisoned]:
            del self._suspects[name]
        self.merge_rows(rows, now)

    def _drop_aged(self, now):
        old = [n for n, item in self._suspects.items() if now - item.at > self._age]
        for name in old:
            del self._suspects[name]
