"""The zones that the operators evacuate, by the keys in the store."""

from lovagepier import platform
from lovagepier.logs import component_logger

__all__ = ["Evacuations"]

_log = component_logger("config")


class Evacuations:
    """The zones whose targets get no new requests.

    A zone is evacuated while its key exists, whatever the value. Names of zones are
    compared in lower case, as the settings have them. `zones` is replaced when it
    changes.
    """

    __slots__ = ("_logged", "_zone_by_key", "zones")

    def __init__(self):
        self.zones = frozenset()
        self._zone_by_key = {}
        self._logged = frozenset()

    def put(self, item):
        """Evacuate the zone of a key.

        Raise `DocumentError` afterwards if the key's value can't be read, or before if
        the key names no zone.
        """
        zone = platform.evacuated_zone(item.key)
        self._zone_by_key[item.key] = zone.lower()
        self._update()
        platform.load_document(item.value)

    def remove(self, key):
        """End the evacuation of a key's zone."""
        self._zone_by_key.pop(key, None)
        self._update()

    def _update(self):
        self.zones = frozenset(self._zone_by_key.values())

    def holds(self, target):
        """Return whether a target is in a zone that is evacuated."""
        return bool(self.zones) and target.zone.lower() in self.zones

    def count(self, targets):
        """Return how many of some targets are in evacuated zones."""
        return sum(map(self.holds, targets)) if self.zones else 0

    def log_changes(self, known_zones, targets):
        """Log the zones that were evacuated, or came back, since the last call.

        `known_zones` are those that the settings name, in lower case.
        """
        if self.zones == self._logged:
            return
        for zone in sorted(self.zones - self._logged):
            count = sum(target.zone.lower() == zone for target in targets)
            _log.warning("zone evacuated", zone=ascii(zone), targets=count)
            if zone not in known_zones and not count:
                _log.warning("an evacuated zone is not known", zone=ascii(zone))
        for zone in sorted(self._logged - self.zones):
            _log.warning("zone back from its evacuation", zone=ascii(zone))
        self._logged = self.zones
