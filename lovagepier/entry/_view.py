"""What this host believes of the world, put together from the store's contents."""

import json

from lovagepier import platform
from lovagepier.entry.store_types import HostRecord
from lovagepier.logs import component_logger

__all__ = ["HOST_PREFIX", "StoreView", "encode_host"]

HOST_PREFIX = "lovagepier/hosts/"
# Entries that lapsed in an outage of the store are back within two seconds of
# its return or gone (the platform's word); some more for the watch.
LAPSE_GRACE_S = 2.3
# An outage that ended this recently may still make entries lapse.
OUTAGE_MEMORY_S = 3.0

_log = component_logger("config")


def encode_host(name, peers, power=0):
    """Return the bytes that register an entry host."""
    return json.dumps({"name": name, "peers": peers, "power": power}).encode()


def _decode_host(item):
    raw = json.loads(item.value)
    return HostRecord(
        str(raw["name"]), str(raw["peers"]), item.create_revision, int(raw["power"])
    )


class StoreView:
    """The catalog, targets, hosts and moves in force on this host.

    `now` is loop seconds throughout. The catalog's version only rises.
    `as_of` is the newest store revision taken in; `heard_at` when the store
    last answered this host, None before.
    """

    def __init__(self):
        self.items = {}
        self.as_of = 0
        self.heard_at = None
        self.fault_at = None
        self.catalog = None
        self.targets = {}
        self.hosts = {}
        self.orders = {}
        self.states = {}
        self._lapsed = {}

    # What the store says

    def on_fault(self, now):
        """Note that a call to the store failed."""
        self.fault_at = now

    def on_scan(self, items, as_of, now):
        """Take the store's whole contents; return the changed keys."""
        self.heard_at = now
        return self._replace(items, as_of, now)

    def on_events(self, events, as_of, now):
        """Take changes in that the store told; return the changed keys."""
        self.heard_at = now
        return self._take(events, as_of, now)

    def on_changed(self, events, as_of, now):
        """Take changes in that a peer passed on; return the changed keys."""
        return self._take(events, as_of, now)

    def _take(self, events, as_of, now):
        changed = [event.key for event in events if self._apply(event, now)]
        self.as_of = max(self.as_of, as_of)
        return changed

    def on_mirror(self, items, as_of, now):
        """Take a peer's newer copy of the store in; return the changed keys."""
        if as_of <= self.as_of:
            return []
        _log.info("took a peer's copy of the store", as_of=as_of, had=self.as_of)
        return self._replace(items, as_of, now)

    def _replace(self, items, as_of, now):
        if as_of < self.as_of:
            return []
        fresh = {item.key: item for item in items}
        changed = []
        for key in [key for key in self.items if key not in fresh]:
            self._drop(key, now)
            changed.append(key)
        for item in items:
            known = self.items.get(item.key)
            if known is None or known.revision < item.revision:
                self._put(item, now)
                changed.append(item.key)
        self.as_of = as_of
        return changed

    def _apply(self, event, now):
        known = self.items.get(event.key)
        if known is not None and known.revision >= event.revision:
            return False
        if event.item is not None:
            self._put(event.item, now)
            return True
        if known is None:
            return False
        self._drop(event.key, now)
        return True

    def _put(self, item, now):
        self.items[item.key] = item
        key = item.key
        try:
            if key == platform.CONFIG_KEY:
                self._adopt(platform.decode_catalog(item.value))
            elif key.startswith(platform.TARGET_PREFIX):
                self._put_target(key, item)
            elif key.startswith(HOST_PREFIX):
                self.hosts[key] = _decode_host(item)
            elif platform.rollout_service(key):
                order = platform.decode_rollout(item.value, item.revision)
                self.orders[order.service] = order
        except (platform.DocumentError, ValueError, KeyError, TypeError) as exc:
            _log.warning("could not read a document", key=key, why=str(exc))

    def _adopt(self, catalog):
        if self.catalog is not None and catalog.version <= self.catalog.version:
            return
        _log.info(
            "configuration in force",
            version=catalog.version,
            routes=len(catalog.routes),
            accounts=len(catalog.accounts),
        )
        self.catalog = catalog

    def _put_target(self, key, item):
        self.targets.pop(key, None)
        self._lapsed.pop(key, None)
        self.targets[key] = platform.decode_target(key, item.value)

    def _drop(self, key, now):
        self.items.pop(key, None)
        if key.startswith(platform.TARGET_PREFIX):
            if key in self.targets and self._disturbed(now):
                self._lapsed[key] = now
            else:
                self.targets.pop(key, None)
        elif key.startswith(HOST_PREFIX):
            self.hosts.pop(key, None)
        elif platform.rollout_service(key):
            self.orders.pop(platform.rollout_service(key), None)

    def _disturbed(self, now):
        return self.fault_at is not None and now - self.fault_at < OUTAGE_MEMORY_S

    def expire_lapsed(self, now):
        """Drop targets that did not come back; return whether any went."""
        gone = [key for key, at in self._lapsed.items() if now - at >= LAPSE_GRACE_S]
        for key in gone:
            del self._lapsed[key]
            target = self.targets.pop(key, None)
            if target is not None:
                _log.info("a target did not come back after an outage", id=target.id)
        return bool(gone)

    # What follows from it

    @property
    def version(self):
        """The configuration's version, 0 before there is one."""
        return self.catalog.version if self.catalog else 0

    def store_age(self, now):
        """Return seconds since the store last answered, a large number if never."""
        return 1e6 if self.heard_at is None else now - self.heard_at

    def target(self, target_id):
        """Return the `Target` of an id, or None."""
        return self.targets.get(platform.TARGET_PREFIX + target_id)

    def members(self):
        """Return the live hosts by name, the newest boot of each."""
        newest = {}
        for host in self.hosts.values():
            known = newest.get(host.name)
            if known is None or known.create_revision < host.create_revision:
                newest[host.name] = host
        return newest

    def move_state(self, service):
        """Return the told state of a service's move as the store's `Item`."""
        return self.items.get(platform.rollout_state_key(service))
