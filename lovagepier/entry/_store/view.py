"""This host's copy of the platform's store, decoded for look-ups."""

from dataclasses import replace

from lovagepier import platform
from lovagepier.entry._coordination.verdicts import POISON_PREFIX, decode_verdict
from lovagepier.entry._store.evacuations import Evacuations
from lovagepier.entry._store.host_entries import HOST_PREFIX, decode_host, encode_host
from lovagepier.logs import component_logger

__all__ = ["HOST_PREFIX", "StoreView", "encode_host"]

# Targets whose entries expired during an outage of the store are kept this long. The
# platform promises that live targets register again within 2 s after the outage; the
# rest is for the watch.
LAPSE_GRACE_S = 2.3
# Entries may expire because of an outage until this long after the last failed call.
OUTAGE_EFFECT_S = 3.0
# What left is remembered this long, in case the store comes back from an older copy.
LEFT_RETENTION_S = 120.0
# Incarnations remembered as leaving; the ones that were marked last stay.
MAX_LEAVING = 2000
# Characters of what a document holds that a line of the log repeats.
MAX_LOGGED_CHARS = 200

_log = component_logger("config")


def _printable(text):
    """Return the start of a text of any writer as ASCII, for a line of the log."""
    return text[:MAX_LOGGED_CHARS].encode("ascii", "backslashreplace").decode()


class StoreView:
    """The catalog, targets, hosts and rollout orders that this host works with.

    `poisoned` holds the names that were proved poisonous, by key. `items` are the
    documents by key, without the values of those that can't be decoded;
    `undecoded_changes` counts the changes of these.

    The catalog's version only increases, also while the store shows an older one.
    `as_of` is the newest store revision applied. `last_answer_at` is when the store
    last answered this host, None before the first answer. `restored_at` is when this
    host first had the contents of a later era, None if that did not happen. Times are
    in seconds on the event loop's clock.

    A new era begins with an older copy of the store. Targets that it lacks are kept
    for a grace period, as after an outage. Those that left since get no work, until
    they are written again.

    `leaving` are the incarnations of targets that said so themselves, oldest first.
    They are draining whatever the store shows. The list is replaced when it changes.
    `evacuations` are the `Evacuations`.
    """

    def __init__(self):
        self.items = {}
        self.as_of = 0
        self.last_answer_at = None
        self.fault_at = None
        self.catalog = None
        self.targets = {}
        self.hosts = {}
        self.orders = {}
        self.states = {}
        self.poisoned = {}
        self.evacuations = Evacuations()
        self.restored_at = None
        self.leaving = []
        self._era_began = 0
        self._lapsed = {}
        self._left = {}
        self._undecoded = {}
        self.undecoded_changes = 0

    # Updates

    def on_fault(self, now):
        """Record that a call to the store failed."""
        self.fault_at = now

    def on_scan(self, items, as_of, now):
        """Apply the store's whole contents; return the changed keys."""
        self.last_answer_at = now
        return self._replace(items, as_of, now)

    def on_events(self, events, as_of, now):
        """Apply changes from the store; return the changed keys."""
        self.last_answer_at = now
        return self._apply_events(events, as_of, now)

    def on_delta(self, events, as_of, now):
        """Apply changes from a peer; return the changed keys."""
        return self._apply_events(events, as_of, now)

    def _apply_events(self, events, as_of, now):
        # Changes up to `as_of` are applied already. A late delta that repeats one must
        # not bring back a key that was removed since.
        newer = [event for event in events if event.revision > self.as_of]
        changed = [event.key for event in newer if self._apply(event, now)]
        self.as_of = max(self.as_of, as_of)
        return changed

    def on_snapshot(self, items, as_of, now):
        """Apply a peer's snapshot if it is newer; return the changed keys.

        Its configuration may be newer by itself: peers keep it while the store shows
        an older one.
        """
        if as_of <= self.as_of:
            configs = [item for item in items if item.key == platform.CONFIG_KEY]
            return [item.key for item in configs if self._put_catalog(item)]
        _log.info(
            "applied a snapshot of the store from a peer",
            as_of=platform.number_of(as_of),
            era=platform.era_of(as_of),
            had=platform.number_of(self.as_of),
        )
        return self._replace(items, as_of, now)

    def _begin_era(self, as_of, now):
        _log.warning(
            "the store came back from an older copy",
            era=platform.era_of(as_of),
            as_of=platform.number_of(as_of),
            had=platform.number_of(self.as_of),
        )
        self.restored_at = now
        self._era_began = as_of

    def _replace(self, items, as_of, now):
        if as_of < self.as_of:
            return []
        if self.as_of and platform.era_of(as_of) > platform.era_of(self.as_of):
            self._begin_era(as_of, now)
        fresh = {item.key: item for item in items}
        changed = []
        for key in [key for key in self._undecoded if key not in fresh]:
            del self._undecoded[key]
        for key in [key for key in self.items if key not in fresh]:
            self._remove(key, now)
            changed.append(key)
        for item in items:
            known = self.items.get(item.key)
            if known is not None and known.revision >= item.revision:
                continue
            if self._put(item, now):
                changed.append(item.key)
        self.as_of = as_of
        return changed

    def _apply(self, event, now):
        if event.item is None:
            self._undecoded.pop(event.key, None)
        known = self.items.get(event.key)
        if known is not None and known.revision >= event.revision:
            return False
        if event.item is not None:
            return self._put(event.item, now)
        if known is None:
            return False
        self._remove(event.key, now)
        return True

    def _put(self, item, now):
        """Apply a key's new value; return whether it is kept."""
        key = item.key
        if not platform.is_key(key):
            self._note_undecoded(item, "the key is too long or can't be encoded")
            return False
        if key == platform.CONFIG_KEY:
            return self._put_catalog(item)
        try:
            if key.startswith(platform.TARGET_PREFIX):
                self._put_target(key, item, now)
            elif key.startswith(HOST_PREFIX):
                self.hosts[key] = decode_host(item)
            elif key.startswith(POISON_PREFIX):
                self.poisoned[key] = decode_verdict(key, item.value)
            elif platform.is_evacuation(key):
                self.evacuations.put(item)
            elif platform.rollout_service(key):
                self._put_order(platform.rollout_service(key), item)
            elif platform.is_rollout_state(key):
                platform.decode_rollout_state(item.value)
            elif len(item.value) > platform.MAX_DOCUMENT_BYTES:
                raise platform.DocumentError(f"has {len(item.value)} bytes")
        except Exception as exc:  # noqa: BLE001  one entry must not hide the others
            self._note_undecoded(item, exc)
            # Its value would only fill snapshots, and frames have a size limit.
            item = replace(item, value=b"")
        else:
            self._undecoded.pop(key, None)
        self.items[key] = item
        return True

    def _note_undecoded(self, item, why):
        """Count and log a document that can't be decoded, once for each change."""
        if self._undecoded.get(item.key) == item.revision:
            return
        self._undecoded[item.key] = item.revision
        self.undecoded_changes += 1
        _log.warning(
            "could not decode a document of the store",
            key=_printable(item.key),
            why=_printable(str(why)),
        )

    def _put_order(self, service, item):
        order = platform.decode_rollout(item.value, item.revision)
        if order.service != service:
            raise platform.DocumentError("names another service than its key")
        self.orders[service] = order

    def _put_catalog(self, item):
        """Keep a configuration document unless it is older than the one in force."""
        try:
            catalog = platform.decode_catalog(item.value)
        except platform.DocumentError as exc:
            self._note_undecoded(item, exc)
            return False
        self._undecoded.pop(item.key, None)
        known = self.items.get(item.key)
        is_known = known is not None and catalog.version == self.version
        if is_known and known.revision >= item.revision:
            return False
        if catalog.version < self.version:
            _log.warning(
                "the store shows an older configuration",
                version=catalog.version,
                in_force=self.version,
            )
            return False
        self.items[item.key] = item
        if self.catalog is None or catalog.version > self.catalog.version:
            self._set_catalog(catalog)
        return True

    def _set_catalog(self, catalog):
        _log.info(
            "configuration in force",
            version=catalog.version,
            routes=len(catalog.routes),
            accounts=len(catalog.accounts),
        )
        self.catalog = catalog

    def _put_target(self, key, item, now):
        # What can't be decoded names no target, so the one before is dropped first.
        before = self.targets.pop(key, None)
        self._lapsed.pop(key, None)
        target = platform.decode_target(key, item.value)
        if target.draining:
            self._left[key] = (target.started_at_ms, item.revision, now)
        elif self._has_left(key, target, item.revision, before):
            target = replace(target, draining=True)
        elif key in self._left:
            self._left[key] = (target.started_at_ms, 0, now)
        if target.incarnation in self.leaving:
            target = replace(target, draining=True)
        self.targets[key] = target

    def mark_leaving(self, incarnations):
        """Mark targets as draining that stated it; return the changed keys."""
        known = set(self.leaving)
        new = {each: None for each in incarnations if each not in known}
        if not new:
            return []
        self.leaving = [*self.leaving, *new][-MAX_LEAVING:]
        changed = [
            key for key, target in self.targets.items() if target.incarnation in new
        ]
        for key in changed:
            self.targets[key] = replace(self.targets[key], draining=True)
        return changed

    def _has_left(self, key, target, revision, before):
        """Return whether an entry is older than its target's leaving.

        It is if the copy of the store that began this era has it, and a later
        incarnation is known or the entry was written no later than the last one that
        is known of an earlier era. `before` is the target known until now, if any.
        """
        if revision > self._era_began:
            return False
        started, left_at_revision, _ = self._left.get(key, (0, 0, 0.0))
        newest = max(started, before.started_at_ms if before is not None else 0)
        if target.started_at_ms < newest:
            return True
        if target.started_at_ms != started:
            return False
        if platform.era_of(revision) == platform.era_of(left_at_revision):
            return False
        return platform.number_of(revision) <= platform.number_of(left_at_revision)

    def _remove(self, key, now):
        if key == platform.CONFIG_KEY:
            # Only an older copy of the store lacks it.
            return
        item = self.items.pop(key, None)
        if key.startswith(platform.TARGET_PREFIX):
            if key in self.targets and self._had_outage(now):
                self._lapsed[key] = now
            elif key in self.targets:
                self._drop_target(key, item.revision, now)
        elif key.startswith(HOST_PREFIX):
            self.hosts.pop(key, None)
        elif key.startswith(POISON_PREFIX):
            self.poisoned.pop(key, None)
        elif platform.is_evacuation(key):
            self.evacuations.remove(key)
        elif platform.rollout_service(key):
            self.orders.pop(platform.rollout_service(key), None)

    def _drop_target(self, key, revision, now):
        target = self.targets.pop(key)
        self._left[key] = (target.started_at_ms, revision, now)
        for left, (_, _, left_at) in list(self._left.items()):
            if left not in self.targets and now - left_at >= LEFT_RETENTION_S:
                del self._left[left]

    def _had_outage(self, now):
        return any(
            at is not None and now - at < OUTAGE_EFFECT_S
            for at in (self.fault_at, self.restored_at)
        )

    def expire_lapsed(self, now):
        """Drop targets that did not register again; return whether any were dropped."""
        gone = [key for key, at in self._lapsed.items() if now - at >= LAPSE_GRACE_S]
        for key in gone:
            del self._lapsed[key]
            target = self.targets.pop(key)
            _log.info("a target did not register again after an outage", id=target.id)
        return bool(gone)

    # Look-ups

    @property
    def version(self):
        """The version of the configuration, 0 before there is one."""
        return self.catalog.version if self.catalog else 0

    @property
    def undecoded_count(self):
        """Number of documents in the store that can't be decoded."""
        return len(self._undecoded)

    def store_age(self, now):
        """Return the seconds since the store last answered, a large number if never."""
        return 1e6 if self.last_answer_at is None else now - self.last_answer_at

    def target(self, target_id):
        """Return the `Target` of an id, or None."""
        return self.targets.get(platform.TARGET_PREFIX + target_id)

    def members(self):
        """Return the registered hosts by name, the newest registration of each."""
        newest = {}
        for host in self.hosts.values():
            known = newest.get(host.name)
            if known is None or known.create_revision < host.create_revision:
                newest[host.name] = host
        return newest

    def rollout_state(self, service):
        """Return the store's `Item` with the state of a service's rollout, or None."""
        return self.items.get(platform.rollout_state_key(service))
