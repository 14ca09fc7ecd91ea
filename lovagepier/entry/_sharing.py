"""Share what the store holds between hosts: copies, and changes as they come."""

import asyncio
import zlib

import cbor2

from lovagepier.entry._deltas import apply_delta, make_delta
from lovagepier.entry._messages import Changed, MirrorAsk, MirrorTold
from lovagepier.platform import Event, Item

__all__ = ["Sharing"]

# A peer that is ahead for this long is asked for its copy of the store: the
# watch or what the home passes on usually closes the gap sooner.
STALE_S = 0.7
# A peer that has a newer configuration is asked after this: what the home passes on
# is there within a beat, and 60 hosts that ask at once hold it up for a second.
NEWER_S = 0.3
# A copy is packed anew no more often than this while the configuration is the same.
PACKED_S = 0.5
# A copy is asked for no more often than this.
ASK_AGAIN_S = 0.25
# zlib's level for what hosts pass on of the store.
PACK_LEVEL = 6


def _pack(rows):
    """Return rows as bytes; a configuration shrinks to about a tenth.

    Thirty whole ones of 350 routes fill a narrow link between regions for
    two seconds, in which the home is not heard.
    """
    return zlib.compress(cbor2.dumps(rows), PACK_LEVEL)


def _unpack(packed):
    return cbor2.loads(zlib.decompress(packed))


class Sharing:
    """Keeps this host's view level with its peers'.

    `apply_keys(keys)` is called with what changed in the view.
    """

    def __init__(self, view, apply_keys):
        self._view = view
        self._apply_keys = apply_keys
        self._loop = asyncio.get_running_loop()
        self._mirror_asked = 0.0
        self._behind = None
        self._behind_since = 0.0
        self._to_pass_on = {}
        self._passed_on = None
        self._packed = None
        self._packed_at = 0.0
        self._packed_version = 0

    def compare(self, link, told):
        """Ask for the peer's copy of the store where ours stays behind it.

        A peer that is no further than this host says nothing of the others.
        """
        now = self._loop.time()
        if self._behind is not None and self._has(self._behind):
            self._behind = None
        if self._has(told):
            return
        if self._behind is None:
            self._behind = told
            self._behind_since = now
        patience = NEWER_S if told.version > self._view.version else STALE_S
        if not self._view.version:
            patience = 0.0
        stuck = now - self._behind_since >= patience
        if stuck and now - self._mirror_asked > ASK_AGAIN_S:
            self._mirror_asked = now
            link.send(MirrorAsk(self._view.as_of))

    def _has(self, told):
        return told.version <= self._view.version and told.as_of <= self._view.as_of

    def note_changes(self, changed, after):
        """Remember what the hosts that ask here have to be told.

        `changed` maps keys to their `Item` before, `after` is the revision
        that this host had until now.
        """
        if self._passed_on is None:
            self._passed_on = after
        for key, before in changed.items():
            self._to_pass_on.setdefault(key, before)

    def forget_changes(self):
        """Pass nothing on: the whole contents are read anew.

        The hosts that ask here see a gap then and ask for all of it.
        """
        self._passed_on = None
        self._to_pass_on = {}

    def pass_on(self, links):
        """Pass changes of the store on, the last state of each key only."""
        after, as_of = self._passed_on, self._view.as_of
        self._passed_on = None
        changed, self._to_pass_on = self._to_pass_on, {}
        if after is None or as_of <= after or not links:
            return
        rows = [self._row(key, before, as_of) for key, before in changed.items()]
        told = Changed(after, as_of, _pack(rows))
        for link in links:
            link.send(told)

    def _row(self, key, before, as_of):
        item = self._view.items.get(key)
        if item is None:
            return [key, as_of, 0, None, 0]
        steps = make_delta(before and before.value, item.value)
        if steps is None:
            return [key, item.revision, item.create_revision, item.value, 0]
        return [key, item.revision, item.create_revision, steps, before.revision]

    def on_changed(self, told):
        """Take in what the home passed on."""
        if told.after > self._view.as_of:
            # Something between was missed; the next beat asks for all of it.
            return
        events = []
        for row in _unpack(told.packed):
            event = self._event(*row)
            if event is None:
                return
            events.append(event)
        now = self._loop.time()
        self._apply_keys(self._view.on_changed(events, told.as_of, now))

    def _event(self, key, revision, created, value, base):
        """Return the `Event` of a row, None if its base is not known here."""
        if value is None:
            return Event(key, revision, None)
        if base:
            known = self._view.items.get(key)
            if known is not None and known.revision >= revision:
                return Event(key, known.revision, known)
            if known is None or known.revision != base:
                return None
            value = apply_delta(known.value, value)
        return Event(key, revision, Item(key, value, revision, created))

    def packed(self):
        """Return this host's copy of the store, one packed lately if that will do."""
        now = self._loop.time()
        if (
            self._packed is not None
            and self._packed_version == self._view.version
            and now - self._packed_at < PACKED_S
        ):
            return self._packed
        self._packed = self._pack()
        self._packed_version = self._view.version
        self._packed_at = now
        return self._packed

    def _pack(self):
        rows = [
            [item.key, item.value, item.revision, item.create_revision]
            for item in self._view.items.values()
        ]
        return MirrorTold(self._view.as_of, _pack(rows))

    def on_mirror(self, told):
        """Take a peer's copy of the store in."""
        items = [Item(*row) for row in _unpack(told.packed)]
        self.forget_changes()
        self._apply_keys(self._view.on_mirror(items, told.as_of, self._loop.time()))
