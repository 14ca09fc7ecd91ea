"""Find the request that crashes targets, and stop it."""

from collections import OrderedDict

__all__ = ["PoisonDetector"]

_MAX_SUSPECTS = 10_000


class _Suspect:
    __slots__ = ("at", "poisoned", "deaths")

    def __init__(self, at):
        self.at = at
        self.deaths = set()
        self.poisoned = False


class PoisonDetector:
    """Suspects by body fingerprint.

    All that ran on a target when it died are suspects. Suspects are kept
    apart from each other from then on; a suspect that finishes is cleared,
    and one that runs on a second dying target as the only suspect there, or
    on `max_deaths` in any company, is poisoned: refused until it ages out.
    """

    __slots__ = ("_age", "_max_deaths", "_suspects")

    def __init__(self, max_deaths=3, age_seconds=3600.0):
        self._max_deaths = max_deaths
        self._age = age_seconds
        self._suspects = OrderedDict()

    def is_suspect(self, fingerprint):
        """Return whether the fingerprint must run apart from suspects."""
        return fingerprint in self._suspects

    def is_poison(self, fingerprint):
        """Return whether the fingerprint must be refused."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.poisoned

    def on_death(self, death_id, running, now):
        """Fold in a death of a target while `running` fingerprints ran.

        `death_id` names the target and incarnation. Returns the newly
        poisoned fingerprints.
        """
        self._drop_aged(now)
        fingerprints = {name for name in running if name}
        known = {name for name in fingerprints if name in self._suspects}
        poisoned = []
        for name in fingerprints:
            suspect = self._suspects.setdefault(name, _Suspect(now))
            suspect.deaths.add(death_id)
            suspect.at = now
            alone = len(suspect.deaths) >= 2 and known == {name}
            if alone or len(suspect.deaths) >= self._max_deaths:
                if not suspect.poisoned:
                    poisoned.append(name)
                suspect.poisoned = True
        while len(self._suspects) > _MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return sorted(poisoned)

    def on_finish(self, fingerprint):
        """Clear a suspect that ran to its end."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and not suspect.poisoned:
            del self._suspects[fingerprint]

    def merge(self, fingerprint, deaths, poisoned, now):
        """Merge what a peer knows of a suspect; only adds."""
        suspect = self._suspects.setdefault(fingerprint, _Suspect(now))
        suspect.deaths.update(deaths)
        suspect.poisoned = suspect.poisoned or poisoned

    def poisoned(self):
        """Return the refused fingerprints."""
        return [name for name, item in self._suspects.items() if item.poisoned]

    def _drop_aged(self, now):
        old = [n for n, item in self._suspects.items() if now - item.at > self._age]
        for name in old:
            del self._suspects[name]
